"""Days on which stored bytes grow, played through `shards.plan` second by second: are splits begun in time?

Beside it two others on the same arrivals: one that splits once the bound is met, one with a straight line
through the last minute.  A split is true when its old range would have met the bound within `WITHIN` seconds
(as long as a needless one stands until it is merged), in time when it was done by then; a shard that met its
bound without one counts as late."""

from dataclasses import dataclass, field

import numpy as np

from juniperlanding.choice import SEC
from juniperlanding.emulator.chance import stream
from juniperlanding.shards.growth import Growth
from juniperlanding.shards.plan import LONG, Bounds, Foretold, Planner, Split, View, cut

DESTINATIONS, SECONDS, DAY, WITHIN, LINE = 64, 1200, 600, LONG // SEC, 60
MOST, SIZE, STAY = 1 << 20, 600, 8.0  # bound of a shard, bytes of a notification, seconds that it is owed
NS_A_BYTE = 250  # of a rewrite, before its noise


def rates(day, draw):
    """Load over the day as a share of that which fills one shard when it settles."""
    t, base = np.arange(SECONDS), draw.uniform(0.35, 0.7)
    if day == "trend":
        return base * (1 + draw.uniform(1, 3) * t / SECONDS)
    if day == "doubling":
        return base * 2 ** (t / draw.uniform(100, 250))
    if day == "jump":
        return np.where(t < draw.integers(100, 500), base, 2 * base)
    if day == "nothing":
        gone = draw.integers(150, 300)
        return base * np.where(t < gone, 1, np.clip((t - gone - 60) / 200, 0, 1.5))
    if day == "peaks":
        factor = np.ones(SECONDS)
        for at in draw.integers(30, SECONDS - 30, 12):
            factor[at : at + draw.integers(5, 20)] *= draw.uniform(1.3, 2.2)
        return base * factor
    return np.full(SECONDS, base) * (1 + t / SECONDS)  # "clumps", "one"


def arrivals(day, draw):
    """(bytes by second and destination, place of each destination)."""
    weights = draw.pareto(1.5, DESTINATIONS) + 0.2
    weights = np.minimum(weights / weights.sum(), 0.15)
    weights /= weights.sum()
    if day == "one":
        weights = np.where(np.arange(DESTINATIONS) == 0, 0.97, 0.03 / (DESTINATIONS - 1))
    each = rates(day, draw)[:, None] * weights * MOST / STAY / SIZE
    if day == "clumps":
        each = each * draw.gamma(0.15, 1 / 0.15, each.shape)
    return draw.poisson(each) * SIZE, np.sort(draw.integers(0, 1 << 16, DESTINATIONS))


@dataclass
class Score:
    """true, false, late: counts; ahead: seconds from a split's end to where the bound would have been met;
    foretold: seconds from the first word that no split helps to the bound."""

    true: int = 0
    false: int = 0
    late: int = 0
    ahead: list = field(default_factory=list)
    foretold: list = field(default_factory=list)

    @property
    def in_time(self):
        return 1 - self.late / max(1, self.true + self.late)

    @property
    def wrong(self):
        return self.false / max(1, self.true + self.false)

    def add(self, other):
        for name in ("true", "false", "late", "ahead", "foretold"):
            setattr(self, name, getattr(self, name) + getattr(other, name))


@dataclass(eq=False)
class Kept:
    """One shard of one dispatcher: low, high, growth, its live bytes so far."""

    low: int
    high: int
    growth: Growth
    lives: list = field(default_factory=list)
    met: bool = False
    foretold: int = -1


class Play:
    """One dispatcher over one day, under "forecast", "bound" or "line"."""

    def __init__(self, day, how, seed, number):
        self.how, self.score = how, Score()
        self.come, self.places = arrivals(day, stream(seed, "growth", day, number))
        self.draw = stream(seed, "growth", day, number, "splits")
        self.planner = Planner(Bounds(MOST, MOST // 4, 64))
        self.under_way = None  # (shard, edge, second when it is done)
        self.live, self.history = np.zeros(DESTINATIONS), []
        for come in self.come:
            ended = self.draw.binomial((self.live // SIZE).astype(int), 1 / STAY) * SIZE
            self.live = self.live + come - ended
            self.history.append((come, ended, self.live))

    def within(self, shard):
        return (self.places >= shard.low) & (self.places < shard.high)

    def run(self):
        shards = [Kept(0, 1 << 16, Growth())]
        for second, (come, ended, live) in enumerate(self.history[:DAY]):
            if self.under_way and second >= self.under_way[2]:
                shards = self.finish(shards, second)
            for shard in shards:
                own = self.within(shard)
                now = int(live[own].sum())
                shard.growth.sample(int(come[own].sum()), int(ended[own].sum()), now)
                shard.lives.append(now)
                if now >= MOST and not shard.met and second > 30:
                    shard.met = True
                    if shard.foretold >= 0:
                        self.score.foretold.append(second - shard.foretold)
                    elif cut(self.view(shard, live)) is not None:
                        self.score.late += 1
                elif now < MOST * 0.9:
                    shard.met = False
            if not self.under_way and second > 30:
                self.begin(shards, second, live)
        return self.score

    def view(self, shard, live):
        own = self.within(shard)
        return View(
            shard.low,
            shard.high,
            shard.growth,
            lambda: [
                (int(place), int(size))
                for place, size in zip(self.places[own], live[own], strict=True)
                if size
            ],
        )

    def begin(self, shards, second, live):
        views = {self.view(shard, live): shard for shard in shards}
        if self.how == "forecast":
            found = self.planner.plan([*views], second * SEC)
            if isinstance(found, Foretold) and views[found.shard].foretold < 0:
                views[found.shard].foretold = second
            if not isinstance(found, Split):
                return
            shard, edge = views[found.shard], found.cut
        else:
            due = [view for view, shard in views.items() if self.due(shard, view)]
            edges = [(views[view], edge) for view in due if (edge := cut(view)) is not None]
            if not edges:
                return
            shard, edge = edges[0]
        size = shard.growth.live
        took = size * NS_A_BYTE / SEC * self.draw.lognormal(0, 0.3)
        waited = self.draw.uniform(0.05, 1.0)
        done = second + took + waited
        self.planner.done(size, int(took * SEC), int(waited * SEC))
        self.under_way = shard, edge, done
        if shard.met:
            return  # late, and counted
        ahead = [
            later[self.within(shard)].sum() >= MOST
            for _, _, later in self.history[second + 1 : second + 1 + WITHIN]
        ]
        if True in ahead:
            met = second + 1 + ahead.index(True)
            if met >= done:  # else its lateness is counted when the bound is met
                self.score.true += 1
                self.score.ahead.append(met - done)
        else:
            self.score.false += 1

    def due(self, shard, view):
        if self.how == "bound":
            return shard.growth.live >= MOST
        lives = shard.lives[-LINE:]
        if len(lives) < 10:
            return False
        slope = np.polyfit(np.arange(len(lives)), lives, 1)[0]
        lead = self.planner.lead(shard.growth.live) / SEC
        return shard.growth.live + max(0, slope) * lead >= MOST

    def finish(self, shards, second):
        shard, edge, _ = self.under_way
        self.under_way = None
        live = self.history[second][2]
        both = [Kept(shard.low, edge, Growth()), Kept(edge, shard.high, Growth())]
        total = max(1, live[self.within(shard)].sum())
        for one in both:
            one.growth = shard.growth.share(live[self.within(one)].sum() / total)
        at = shards.index(shard)
        return [*shards[:at], *both, *shards[at + 1 :]]


DAYS = ("trend", "peaks", "clumps", "doubling", "jump", "nothing", "one")


def run(seed, dispatchers=30, days=DAYS, ways=("forecast", "line", "bound")):
    """{(day, way): Score} over so many dispatchers each."""
    found = {}
    for day in days:
        for way in ways:
            score = found[day, way] = Score()
            for number in range(dispatchers):
                score.add(Play(day, way, seed, number).run())
    return found


def page(found):
    lines = ["day       way       true false late in_time wrong ahead_p10 ahead_median foretold_median"]
    for (day, way), score in found.items():
        ahead = np.percentile(score.ahead, [10, 50]) if score.ahead else (0, 0)
        told = np.median(score.foretold) if score.foretold else 0
        lines.append(
            f"{day:9} {way:9} {score.true:4} {score.false:5} {score.late:4} {score.in_time:7.3f} "
            f"{score.wrong:5.3f} {ahead[0]:9.1f} {ahead[1]:12.1f} {told:.1f}"
        )
    return lines
