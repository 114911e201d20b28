"""The clock of a dispatcher: Unix-like time that neither a stepped wall clock nor a restart disturbs.

Deadlines, windows and waits are spans of real time.  They are kept as readings of `Clock.now`, which is an
epoch plus a clock that nobody sets (CLOCK_BOOTTIME).  The epoch is taken from the wall clock once, by the
first process on a folder since the machine came up; each later one goes on with the epoch that the folder's
files tell (`ClockStamp`), wherever the wall clock stands by then."""

import time
from dataclasses import dataclass

STEADY = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
BOOT_ID = "/proc/sys/kernel/random/boot_id"


@dataclass(frozen=True)
class ClockStamp:
    """A reading of a dispatcher's clock, with all that another process needs to go on with that clock.

    boot_id: the machine's start that `steady` counts from; epoch: Unix nanoseconds at its zero; now: the
    reading, in Unix nanoseconds."""

    boot_id: str
    epoch: int
    now: int


def boot_id():
    """What tells one start of the machine from another; "" where the system does not say."""
    try:
        with open(BOOT_ID, encoding="ascii") as file:
            return file.read().strip()
    except (OSError, ValueError):
        return ""


class Clock:
    """All times are nanoseconds.  `now` never runs backwards while the process lives.

    Without a boot id nothing is known of other processes' clocks, and each start takes the wall clock."""

    def __init__(self):
        self.boot_id = boot_id()
        self.epoch = self.wall() - self.steady()

    def now(self):
        """Unix time as the first process of this folder had it, plus what passed since."""
        return self.epoch + self.steady()

    def steady(self):
        """A clock that nobody sets and that goes on while the machine sleeps.

        A lease measured by a clock that stopped with its machine would outlive its real span."""
        return time.clock_gettime_ns(STEADY)

    def wall(self):
        """The machine's Unix time as it is set now; for log lines and for what machines agree on."""
        return time.time_ns()

    def stamp(self):
        """What a file keeps for `resume`; None where the machine's start cannot be told."""
        return ClockStamp(self.boot_id, self.epoch, self.now()) if self.boot_id else None

    def resume(self, stamp):
        """Go on with the clock of an earlier process; False when the machine came up anew since, or may have.

        A steady clock that shows less than then counts from another zero, whatever the boot id says."""
        if stamp.boot_id != self.boot_id or self.steady() < stamp.now - stamp.epoch:
            return False
        self.epoch = stamp.epoch
        return True
