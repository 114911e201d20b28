"""Which shard is split or merged next, and when.  Decides only; times are whole nanoseconds, sizes bytes."""

from dataclasses import dataclass, field

from juniperlanding.choice import MIN_SAMPLES, SEC, add_sample
from juniperlanding.shards.growth import BAND, Growth, Record

START_TIME = 400  # ns a byte that a rewrite takes, until three were seen
LEAST_TIME = SEC // 2  # of a rewrite: the syncs and the look once a second
ONE = 0.7  # of a shard's bytes at one place: a cut through the rest leaves it as it is
AIM = 0.97  # of the bound, to be split by then: clumps of a second come on top of any forecast
LONG = 600 * SEC  # so long under `least` together, two neighbours are merged
FILLED = 4  # eighths of what the files may grow to, from which on the most wasteful is written anew
PAUSE, MOST_PAUSE = SEC, 300 * SEC  # after a rewrite that was given up, doubled each time


@dataclass(slots=True, eq=False)
class View:
    """A shard as the plan sees it: range, live bytes, its growth, and a sample of what it holds as
    [(place, bytes)], read only when a split is due."""

    low: int
    high: int
    growth: Growth
    sample: object = list


@dataclass(slots=True)
class Bounds:
    """most: live bytes of a shard; least: two neighbours under it together are merged; count: most shards."""

    most: int
    least: int
    count: int


@dataclass(slots=True)
class Split:
    shard: View
    cut: int
    left: float


@dataclass(slots=True)
class Merge:
    shards: list


@dataclass(slots=True)
class Foretold:
    """No split helps: `why` is "destination" or "count"; left: seconds until the bound, at the earliest."""

    shard: View
    why: str
    left: float


@dataclass(eq=False)
class Planner:
    """What one dispatcher learned of its own rewrites; `times` in ns a byte, `waits` in ns for a turn."""

    bounds: Bounds
    times: Record = field(default_factory=Record)
    waits: Record = field(default_factory=Record)
    small: dict = field(default_factory=dict)  # (low, middle, high): since when two neighbours are small
    not_before: int = 0
    failures: int = 0

    def lead(self, size):
        """How long before the bound a split of so many bytes must begin: its own time and the wait."""
        each = START_TIME
        if self.times.samples >= MIN_SAMPLES:
            each = self.times.forecast + BAND * self.times.rmse
        wait = self.waits.forecast + BAND * self.waits.rmse if self.waits.samples >= MIN_SAMPLES else 0
        return max(LEAST_TIME, size * each) + max(SEC, wait) + SEC  # the last: until it is looked at again

    def done(self, size, took, waited):
        """A rewrite of so many bytes came to its end."""
        add_sample(self.times, took // max(size, 1))
        add_sample(self.waits, waited)
        self.failures = 0

    def failed(self, now):
        self.not_before = now + min(PAUSE << self.failures, MOST_PAUSE)
        self.failures = min(self.failures + 1, 16)

    def plan(self, shards, now):
        """The most urgent thing to do now, or None.  `shards`: a `View` of each, by range."""
        foretold, last, queue = None, 0, 0
        timed = sorted(
            (left, shard.low, shard)
            for shard in shards
            if (left := shard.growth.left(self.bounds.most * AIM)) is not None
        )
        for at, (left, _, shard) in enumerate(timed):
            # Threat: many meet their bound together, and they are split one after the other.
            queue += self.lead(shard.growth.live)
            last = at + 1 if left * SEC <= queue else last
        for left, _, shard in timed[:last]:
            edge = cut(shard)
            if edge is None or len(shards) >= self.bounds.count:
                foretold = foretold or Foretold(shard, "destination" if edge is None else "count", left)
            elif now >= self.not_before:
                return Split(shard, edge, left)
        return self.merge(shards, now) or foretold

    def merge(self, shards, now):
        """Threat: a split that is soon undone, and done again; so both are small for long, by the edge."""
        small = {}
        for one, two in zip(shards, shards[1:], strict=False):
            both = [shard.growth.settles() for shard in (one, two)]
            live = one.growth.live + two.growth.live
            if live < self.bounds.least and sum(edge or 0 for edge in both) < self.bounds.most // 2:
                key = one.low, two.low, two.high
                small[key] = self.small.get(key, now)
                if now - small[key] >= LONG and now >= self.not_before:
                    self.small = small
                    return Merge([one, two])
        self.small = small
        return None


def cut(shard):
    """The place that halves a shard's bytes, by a sample; None where one place has nearly all."""
    by_place = {}
    for place, size in shard.sample():
        by_place[place] = by_place.get(place, 0) + size
    total = sum(by_place.values())
    if len(by_place) < 2 or max(by_place.values()) >= ONE * total:
        return None
    best, before = None, 0
    places = sorted(by_place)
    for place, after in zip(places, places[1:], strict=False):
        before += by_place[place]
        best = min(best or (total, 0), (abs(2 * before - total), after))
    return best[1]


def wasteful(sizes, most):
    """Which shard is written anew since its file is mostly of what is over: its index, or None.

    sizes: (bytes of the file, live bytes) of each.  Threat: the files fill the disk, and a round has to wait
    until all of them are written anew."""
    if sum(size for size, _ in sizes) < most * FILLED // 8:
        return None
    waste, at = max((size - live, at) for at, (size, live) in enumerate(sizes))
    return at if waste * 4 >= sizes[at][0] else None
