"""The clock of a dispatcher: Unix time that is unaffected by wall clock steps and process restarts.

Deadlines, windows and waits are spans of real time.  They are stored as readings of `Clock.now`, the sum of
an epoch and a clock that cannot be set (CLOCK_BOOTTIME).  The first process on a state folder after a boot
takes the epoch from the wall clock; later processes read that epoch from the files in the folder
(`ClockStamp`) and keep it, whatever the wall clock shows by then."""

import time
from dataclasses import dataclass

STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


@dataclass(frozen=True)
class ClockStamp:
    """A reading of a dispatcher's clock, with what another process needs to continue that clock.

    boot_id: the boot from which `Clock.steady` counts; epoch: Unix nanoseconds at the zero of
    `Clock.steady`; now: the reading, in Unix nanoseconds."""

    boot_id: str
    epoch: int
    now: int


def boot_id():
    """The identifier of the machine's current boot; "" where the system provides none."""
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as file:
            return file.read().strip()
    except (OSError, ValueError):
        return ""


class Clock:
    """All times are in nanoseconds.  `now` never goes backwards within one process.

    Without a boot identifier the clocks of earlier processes cannot be continued, and each start takes its
    epoch from the wall clock."""

    def __init__(self):
        self.boot_id = boot_id()
        self.epoch = self.wall() - self.steady()

    def now(self):
        """Unix time as seen by the first process of this folder, plus the time passed since."""
        return self.epoch + self.steady()

    def steady(self):
        """A monotonic clock that cannot be set and that continues while the machine is suspended.

        A clock that stops during suspend would let a lease last longer than its real duration."""
        return time.clock_gettime_ns(STEADY_CLOCK)

    def wall(self):
        """The machine's current Unix time; for log lines and for values compared between machines."""
        return time.time_ns()

    def stamp(self):
        """The value stored in files for `resume`; None when the boot cannot be identified."""
        return ClockStamp(self.boot_id, self.epoch, self.now()) if self.boot_id else None

    def resume(self, stamp):
        """Continue the clock of an earlier process; False when the machine has, or may have, rebooted since.

        A steady clock that shows less than at that time counts from another zero, whatever the boot
        identifier is."""
        if stamp.boot_id != self.boot_id or self.steady() < stamp.now - stamp.epoch:
            return False
        self.epoch = stamp.epoch
        return True
