"""The world's servers, without I/O: a character with places, a cold start and a way to fall over.

Builds on the stand-ins' tempers, so that `try` and an emulated run meet the same endpoints."""

import heapq
from dataclasses import dataclass, field

from juniperlanding.standins.temper import MS, SEC, TURNED_AWAY, Character, Reply, Temper

FULL = "full"  # turned away for want of a place, with no wait told


class Draws:
    """A numpy Generator behind the two methods that a character draws with; blocks of draws cost a tenth."""

    def __init__(self, generator, block=256):
        self.generator, self.block, self.even, self.bell = generator, block, [], []

    def random(self):
        if not self.even:
            self.even = self.generator.random(self.block).tolist()
        return self.even.pop()

    def gauss(self, middle, spread):
        if not self.bell:
            self.bell = self.generator.standard_normal(self.block).tolist()
        return middle + spread * self.bell.pop()


@dataclass(slots=True)
class Capacity:
    """What a server can carry.

    places, patience: calls served at once, and the longest that one may wait for a place; rate:
    notifications a
    second when warm, 0 for no bound; cold, warm: the share of the rate right after a start and how long it
    grows;
    fall_factor, fall_within, lie: offered so many times its present rate for so long, it falls, and lies
    for `lie`."""

    places: int = 16
    patience: int = 400 * MS
    rate: float = 0.0
    cold: float = 1.0
    warm: int = 0
    fall_factor: float = 0.0
    fall_within: int = 2 * SEC
    lie: int = 5 * SEC


@dataclass(slots=True)
class Server(Character):
    """A character with a capacity; `reply` as before, `there` says whether it lies."""

    capacity: Capacity = field(default_factory=Capacity)
    free_at: list = field(default_factory=list)  # when each place is free, a heap
    started_at: int = -(1 << 60)
    offered: float = 0.0
    offered_at: int = 0
    over_since: int = 0
    lies_until: int = 0
    falls: int = 0
    slower: float = 1.0  # a trouble: service takes so many times as long
    spoils: float = 0.0  # a trouble: share of spoilt answers

    def level(self, now):
        """The present share of its full capacity."""
        capacity = self.capacity
        if not capacity.warm:
            return 1.0
        return min(1.0, capacity.cold + (1 - capacity.cold) * max(0, now - self.started_at) / capacity.warm)

    def drawn(self, now, weight):
        if self.lies_until > now:
            return Reply("reset", 0)
        self.load(now, weight)
        if self.lies_until > now:
            return Reply("reset", 0)
        # Not `super()`: a slots dataclass is made anew, and the cell that `super` reads names the old class.
        reply = Character.drawn(self, now, weight)
        if reply.ending in (TURNED_AWAY, "silent"):
            return reply
        return self.placed(now, reply)

    def load(self, now, weight):
        """Count what is offered, and fall if it is too much for too long."""
        gone = max(0, now - self.offered_at) / SEC
        self.offered, self.offered_at = self.offered * 0.5**gone + weight, now
        capacity = self.capacity
        if not capacity.fall_factor or not capacity.rate:
            return
        # A stream of r a second settles at r / ln 2 in a count that halves each second.
        bound = capacity.fall_factor * capacity.rate * self.level(now) / 0.6931
        if self.offered <= bound:
            self.over_since = 0
        elif not self.over_since:
            self.over_since = now
        elif now - self.over_since >= capacity.fall_within:
            self.fall(now)

    def fall(self, now):
        self.falls += 1
        self.lies_until = now + self.capacity.lie
        self.started_at, self.over_since, self.offered = self.lies_until, 0, 0.0
        self.free_at.clear()

    def placed(self, now, reply):
        """Wait for a place, or be turned away when that would take too long."""
        service = int(reply.delay * self.slower / max(self.level(now), 0.05))
        while self.free_at and self.free_at[0] <= now:
            heapq.heappop(self.free_at)
        begin = now
        if len(self.free_at) >= self.capacity.places:
            begin = sorted(self.free_at)[len(self.free_at) - self.capacity.places]
            if begin - now > self.capacity.patience:
                return Reply(TURNED_AWAY, MS)
        heapq.heappush(self.free_at, begin + service)
        reply.delay = begin + service - now
        return reply

    def there(self, now, since):
        return now >= self.lies_until and Character.there(self, now, since)


def server(temper, chance, capacity=None):
    """A server of a temper, drawing from a numpy Generator."""
    return Server(
        temper if isinstance(temper, Temper) else Temper("plain"),
        Draws(chance),
        capacity=capacity or Capacity(),
    )
