"""Functions that are to be called at a time.  No I/O and no clock."""

import heapq
from collections.abc import Callable
from typing import NamedTuple

MIN_TIMERS = 4096  # timers up to which pointless ones may stay


class Timer(NamedTuple):
    """A function with its arguments, and when to call it; of one time, the one added first comes first."""

    at: int  # nanoseconds
    sequence: int
    function: Callable
    fields: tuple


class Timers:
    """Timers in the order of their times.

    is_pointless(function, *fields): whether a timer is for something that is over.  Such timers stay until
    their time or until there are many; a TTL may be a day.  before_drop() is called before they are looked
    for."""

    def __init__(self, is_pointless, before_drop):
        self.is_pointless = is_pointless
        self.before_drop = before_drop
        self.heap = []
        self.sequence = 0
        self.drop_above = MIN_TIMERS

    def __len__(self):
        return len(self.heap)

    @property
    def next_at(self):
        """The earliest time, None without timers."""
        return self.heap[0].at if self.heap else None

    def add(self, at, function, *fields):
        """Have a function called at a time."""
        self.sequence += 1
        heapq.heappush(self.heap, Timer(at, self.sequence, function, fields))
        if len(self.heap) > self.drop_above:
            self.drop_pointless()

    def pop_due(self, now):
        """Yield the timers that are due, also those that are added meanwhile."""
        while self.heap and self.heap[0].at <= now:
            yield heapq.heappop(self.heap)

    def drop_pointless(self):
        """Drop the timers for what is over."""
        self.before_drop()
        self.heap = [timer for timer in self.heap if not self.is_pointless(timer.function, *timer.fields)]
        heapq.heapify(self.heap)
        self.drop_above = max(2 * len(self.heap), MIN_TIMERS)
