"""The emulated clocks: trio's, which jumps to the next event, and each host's Unix time, which faults may
bend."""

import random

import trio
from trio.testing import MockClock

from juniperlanding.ground.clock import Clock

SEC = 1_000_000_000
EPOCH = 1_700_000_000 * SEC  # Unix time at which every emulated run begins


def run(seed, main, *args):
    """`trio.run` in jumping time with the scheduler's own chance taken from the seed.

    Threats to sameness, found and closed: trio reverses its batches by a generator of its own, and its
    runnable tasks come in the order of their addresses unless it is told to sort them."""
    inner = trio._core._run
    before = inner._ALLOW_DETERMINISTIC_SCHEDULING, inner._r
    inner._ALLOW_DETERMINISTIC_SCHEDULING, inner._r = True, random.Random(seed)
    try:
        return trio.run(main, *args, clock=MockClock(autojump_threshold=0))
    finally:
        inner._ALLOW_DETERMINISTIC_SCHEDULING, inner._r = before


def elapsed():
    """Nanoseconds since the run began, the same for all."""
    return round(trio.current_time() * SEC)


class HostClock:
    """A host's Unix time.  `skew` is what its system clock is off by."""

    def __init__(self):
        self.skew, self.stopped_at = 0, None

    def system(self):
        return EPOCH + elapsed() + self.skew

    def process_clock(self):
        return ProcessClock(self)


class ProcessClock(Clock):
    """The seam, on one host that comes up once: production's rules over emulated clocks."""

    def __init__(self, host):
        self.host, self.boot_id = host, "emulated"
        self.epoch = self.wall() - self.steady()

    def steady(self):
        return elapsed()

    def wall(self):
        return self.host.system()
