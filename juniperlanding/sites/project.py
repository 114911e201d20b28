"""What it would cost if a site were lost now, from the view alone.  No I/O, clock or trio.

`project(members, site, topics, ...)` says who would carry which share of its load, by room, and the cost in
benefit, refusals and crossings.  Equal members give equal projections, whoever asks.  All rates are a second;
answer times are seconds."""

from dataclasses import dataclass, field
from functools import lru_cache
from heapq import heappop, heappush
from math import log, sqrt

from juniperlanding.choice import SEC, SHED_ABOVE_SHARE, TIMEOUT_ERROR_FACTOR, EndpointSelection, benefit
from juniperlanding.sites import figures as told
from juniperlanding.sites.play import Play
from juniperlanding.state import Endpoint, Notification, Push, Route

MILLI, MICRO = 1000, 1_000_000
MOST_PLACED = 240  # calls to one destination of which it is played where they go
EVENLY = 0.7548776662466927, 0.5698402909980532  # steps of a sequence that fills the unit square evenly
LEAST_SETTLED = 0.8  # of what was played, the least that must have ended for it to count
TO_SPARE = 0.01  # of a topic type: with more refused, room is what decides
NODES = ((-sqrt(3), 1 / 6), (0.0, 2 / 3), (sqrt(3), 1 / 6))  # three points that stand for a spread


@dataclass(frozen=True)
class Member:
    """One dispatcher as the view has it.  figures: None where it told none, or none that are believed;
    age: nanoseconds since they came."""

    name: str
    site: str
    lives: bool
    figures: told.Figures | None = None
    age: int = 0


@dataclass(frozen=True)
class Estimate:
    """A figure a second with its band.  tested: how many own errors the band is made of, 0: of forecasts;
    model: the figure before it was mended by them."""

    value: float
    least: float
    most: float
    tested: int = 0
    model: float = 0.0

    def holds(self, seen):
        return self.least <= seen <= self.most


@dataclass(frozen=True)
class Line:
    """One topic type while the site is lost: what is handed in, refused for want of room or of an endpoint,
    the benefit lost to lateness and in all, and crossings.  now: the same without the loss."""

    offered: float
    refused: Estimate
    late: Estimate
    lost: Estimate
    crossings: Estimate
    whole: float = 1.0  # benefit of one in time
    now: tuple = (0.0, 0.0, 0.0)  # refused, benefit lost, crossings


@dataclass
class Projection:
    """room: by member, what more it can carry a second; shares: of the site's load, by member, which with
    `over` make one; `over` is what nobody has room for.  topics: name -> Line, those that are refused first
    before others.  price: what crossings cost a second,
    None where nobody told a price.  stranded: destinations with no endpoint elsewhere.  unknown: members
    whose figures are not believed; guessed: what had to be taken from elsewhere; nothing: why there is no
    projection at all."""

    site: str
    load: float = 0.0
    room: dict = field(default_factory=dict)
    shares: dict = field(default_factory=dict)
    over: float = 0.0
    topics: dict = field(default_factory=dict)
    crossings: Estimate | None = None
    price: Estimate | None = None
    stranded: list = field(default_factory=list)
    unknown: list = field(default_factory=list)
    guessed: list = field(default_factory=list)
    rests_on: int = 0
    oldest: int = 0
    made_at: int = 0  # by whoever keeps it
    nothing: str = ""


def project(*fields, **more):
    """The projection that `steps` makes, at once."""
    making = steps(*fields, **more)
    while True:
        try:
            next(making)
        except StopIteration as made:
            return made.value


def steps(members, site, topics, price=None, shares=None, errors=None):
    """A generator that pauses every few milliseconds of work, and returns the `Projection`.

    topics: the settings' list of maps; price(from, to): of a crossing between two sites, None if not told;
    shares: member -> share, instead of by room; errors(measure, topic): (bias, root of the MSE, how many) of
    earlier projections as shares of what was handed in, or None."""
    members = sorted(members, key=lambda member: member.name)
    lost = [member for member in members if member.site == site]
    near = [member for member in members if member.site != site and member.lives]
    made = Projection(
        site,
        unknown=[m.name for m in (*lost, *near) if not m.figures],
        rests_on=sum(m.figures is not None for m in (*lost, *near)),
        oldest=max((m.age for m in (*lost, *near) if m.figures), default=0),
    )
    known, carriers = [m for m in lost if m.figures], [m for m in near if m.figures]
    if not lost or not known or not carriers:
        made.nothing = (
            "nobody stands there"
            if not lost
            else "nobody there tells what it takes"
            if not known
            else "no neighbour tells what it can take"
        )
        return made
    # Unknown is not nothing: who tells nothing is taken as the mean of those beside it who do.
    demand = Demand(known, len(lost) / len(known))
    if demand.left_out:
        made.guessed.append(f"{demand.left_out:.1f}/s to destinations that were not told")
    made.load = demand.total
    carriers = [Carrier(m, site, demand, carriers) for m in carriers]
    made.guessed += sorted({guess for carrier in carriers for guess in carrier.guessed})
    made.stranded = [
        number for number in demand.places if not any(number in carrier.reach for carrier in carriers)
    ]
    blind, extra = [m.name for m in near if not m.figures], 0.0
    room = {carrier.name: carrier.room for carrier in carriers}
    if blind:
        extra = sum(room.values()) / len(room)
    all_room = sum(room.values()) + extra * len(blind)
    part = min(1.0, all_room / demand.total) if demand.total else 1.0
    made.over = 1.0 - part
    whole = room | dict.fromkeys(blind, extra)
    # Where nobody has room it comes to them all the same, and is refused there.
    by_room = {name: r / all_room if all_room else 1 / len(whole) for name, r in sorted(whole.items())}
    made.room = whole
    made.shares, split = {name: part * share for name, share in by_room.items()}, shares or by_room
    named = {topic.get("name"): topic for topic in topics}
    order = [name for name in told.refusals(topics) if name in named]
    sums = {name: Sum() for name in order}
    stand_ins = len(blind) / len(carriers)
    alike = {}
    for carrier in carriers:
        weight = 1 + stand_ins
        share = split.get(carrier.name, 0.0) + sum(split.get(name, 0.0) for name in blind) / len(carriers)
        carrier.load(share * demand.total / weight, order)
        alike.setdefault(carrier.like(), []).append(carrier)
    for _, group in sorted(alike.items()):
        yield
        Carrier.together(group)
        ends = yield from group[0].played([named[name] for name in order])
        group[0].carry(ends, order, named, sums, weight * len(group), price)
    conclude(made, sums, order, errors, stand_ins)
    return made


class Demand:
    """What the members of the lost site take: by topic type and by destination, taken as independent."""

    def __init__(self, members, scale=1.0):
        self.kinds, self.places, self.left_out = {}, {}, 0.0
        for member in members:
            for kind in member.figures.kinds:
                self.kinds[kind.name] = self.kinds.get(kind.name, 0.0) + scale * kind.taken / MILLI
            for place in member.figures.places:
                self.places[place.destination] = (
                    self.places.get(place.destination, 0.0) + scale * place.taken / MILLI
                )
            self.left_out += scale * member.figures.left_out / MILLI
        self.places = {number: rate for number, rate in sorted(self.places.items()) if rate > 0}
        self.total = sum(self.kinds.values())

    def mix(self):
        """destination -> its share."""
        whole = sum(self.places.values())
        return {number: rate / whole for number, rate in self.places.items()} if whole else {}


class Carrier:
    """A neighbour: what it carries now, and what more it has room for, in notifications of the lost mix."""

    def __init__(self, member, lost, demand, all_members):
        self.name, self.site, self.figures = member.name, member.site, member.figures
        self.own, self.mix, self.guessed = Demand([member]), demand.mix(), []
        self.demand, self.reach = demand, {}
        self.order = {}
        for place in self.figures.places:
            sites = [self.figures.sites[at] for at in place.order]
            left = [s for s in sites if s != lost]
            if left:
                rate = place.taken / MILLI + demand.places.get(place.destination, 0.0) / len(all_members)
                self.reach[place.destination] = self.answers(place, left, rate, lost, all_members)
                self.order[place.destination] = place, left, sites
        for number in self.mix.keys() - {place.destination for place in self.figures.places}:
            self.unheard(number, lost, all_members)
        self.calls = told.usable(self.figures.slots, len(self.mix.keys() | self.own.places.keys()))
        self.room = self.free()

    def unheard(self, number, lost, all_members):
        """A destination that this member has not told: taken as one that told it, where there is one."""
        for member in all_members:
            place = next((p for p in member.figures.places if p.destination == number), None)
            sites = [member.figures.sites[at] for at in place.order] if place else []
            left = [s for s in sites if s != lost]
            if left:
                self.guessed.append(f"{self.name}'s way to {number}")
                self.reach[number] = self.answers(place, left, 0.0, lost, [member])
                return

    def answers(self, place, left, rate, lost, all_members):
        """site -> (share, answer time, its root of the MSE) for what this member would send there."""
        times = {
            self.figures.sites[at]: (f / MICRO, miss / MICRO)
            for at, f, miss, _ in place.answers
            if at < len(self.figures.sites)
        }
        for s in dict.fromkeys(left):
            if s not in times:
                times[s] = self.elsewhere(place.destination, s, all_members, times, lost)
        first = times[left[0]][0]
        used = spread_over(tuple(left), self.site if self.figures.near else None, round(rate * first, 1))
        return {s: (part, *times[s]) for s, part in used.items()}

    def elsewhere(self, number, site, all_members, times, lost):
        """An answer time that this member has not seen: what others see, or its own elsewhere, or a guess."""
        found = [
            (f / MICRO, miss / MICRO)
            for member in all_members
            for place in member.figures.places
            if place.destination == number
            for at, f, miss, _ in place.answers
            if member.figures.sites[at] == site
        ] or list(times.values())
        if not found:
            self.guessed.append(f"answer time at {number} in {site}")
            return 0.0, 0.0
        return sum(f for f, _ in found) / len(found), max(miss for _, miss in found)

    def lasts(self, number):
        """The mean time of a call to a destination; 0 where it cannot be reached, for then it fails at
        once."""
        return sum(part * f for part, f, _ in self.reach.get(number, {}).values())

    def busy(self):
        """Calls out at once for what this member takes now, once the site is lost."""
        mix = self.own.mix()
        return sum(self.own.total * part * self.lasts(number) for number, part in mix.items())

    def free(self):
        """How much more a second it can carry, of the lost site's mix: the least of what slots, paces, held
        places and the ledger leave.  0 where it is full already, and never less."""
        lasts = sum(part * self.lasts(number) for number, part in self.mix.items())
        bounds = [(self.calls - self.busy()) / lasts] if lasts else []
        if lasts:
            bounds += [self.figures.held * SHED_ABOVE_SHARE / lasts, self.figures.records / lasts]
        for number, part in self.mix.items():
            if number in self.order and part:
                place, left, _ = self.order[number]
                pace = place.each * len(left) if place.each else place.pace
                if pace >= 0:
                    bounds.append((pace - place.taken) / MILLI / part)
        return max(0.0, min(bounds, default=self.demand.total))

    def load(self, more, order):
        """What it would take: its own load, and so much of the lost site's; `dead` is for destinations with
        no endpoint left."""
        own, self.rates, self.dead, self.more = self.own.mix(), {}, {}, more
        for name in order:
            for part_of, total in (
                (own, self.own.kinds.get(name, 0.0)),
                (self.mix, share_of(self.demand, name) * more),
            ):
                for number, part in part_of.items():
                    where = self.rates if number in self.reach else self.dead
                    where[name, number] = where.get((name, number), 0.0) + total * part

    def like(self):
        """Equal for those that decide alike: one of them is played for all."""
        return (
            self.site,
            self.figures.slots,
            self.figures.near,
            tuple((number, tuple(left)) for number, (_, left, _) in sorted(self.order.items())),
            tuple(sorted(self.reach)),
        )

    @staticmethod
    def together(group):
        """The first of a group gets the mean of all."""
        first, count = group[0], len(group)
        for name in ("rates", "dead"):
            keys = sorted(set().union(*(getattr(one, name) for one in group)))
            setattr(
                first,
                name,
                {key: sum(getattr(one, name).get(key, 0.0) for one in group) / count for key in keys},
            )
        first.excess = sum(one.over() for one in group) / count
        first.now = {}
        for one in group:
            for kind in one.figures.kinds:
                was = first.now.get(kind.name, (0.0, 0.0, 0.0))
                first.now[kind.name] = tuple(
                    a + b / MILLI / count
                    for a, b in zip(was, (kind.refused, kind.late, kind.crossed), strict=True)
                )

    def over(self):
        """What it has no room for, a second, by rates alone."""
        lasts, live = (
            sum(r * self.lasts(number) for (_, number), r in self.rates.items()),
            sum(self.rates.values()),
        )
        reachable = sum(part for number, part in self.mix.items() if number in self.reach)
        excess = max(0.0, self.more - self.room) * reachable
        if live and lasts and self.busy() > self.calls:  # full of its own
            excess += (self.busy() - self.calls) / (lasts / live)
        return excess

    def played(self, topics):
        """What became of each topic type's notifications where this load was played; a generator."""
        if not self.rates or not any(self.rates.values()):
            return {}
        orders, answers, paces = {}, {}, {}
        for number, found in self.reach.items():
            place, left, _ = self.order.get(number, (None, list(found), None))
            orders[number] = left
            answers[number] = {site: (lasts, miss) for site, (_, lasts, miss) in found.items()}
            if place and (place.each or place.pace >= 0):
                paces[number] = (place.each or place.pace) / MILLI, bool(place.each)
        for number, order in orders.items():  # a site whose endpoints are picked last has an answer time too
            for site in order:
                answers[number].setdefault(site, next(iter(answers[number].values())))
        near = self.site if self.figures.near else None
        return (
            yield from Play(
                self.rates,
                answers,
                orders,
                paces,
                topics,
                self.figures.slots,
                max(1, self.figures.held),
                near,
            ).run()
        )

    def carry(self, ends, order, named, sums, weight, price):
        """Add to `sums` what becomes of the load; what its play did not settle goes by rates alone."""
        excess = self.excess
        sites = {}  # topic types differ in what is delivered, not in where: counted together
        for played in ends.values():
            for site, count in played.at.items():
                sites[site] = sites.get(site, 0) + count
        for name in order:
            into, topic = sums[name], named[name]
            rates = {number: r for (t, number), r in self.rates.items() if t == name}
            dead = sum(r for (t, _), r in self.dead.items() if t == name)
            offered = sum(rates.values())
            gone, into.whole = min(offered, excess), topic.get("benefit", 1)
            excess -= gone
            played = ends.get(name)
            settled = sum(played.at.values()) + played.refused if played else 0
            if settled >= LEAST_SETTLED * (played.offered if played else 1) and settled:
                gone, late = offered * played.refused / settled, offered * played.late / settled
                at = {site: (offered - gone) * count / sum(sites.values()) for site, count in sites.items()}
            else:
                late, at = self.by_rates(rates, topic, gone / offered if offered else 0.0)
            least, most = self.range(rates, topic, offered - gone)
            into.offered += weight * (offered + dead)
            into.refused += weight * (gone + dead)
            into.late += weight * late
            into.late_least, into.late_most = (
                into.late_least + weight * min(least, late / 2),
                into.late_most + weight * max(most, late * 2),
            )
            for site, rate in at.items():
                if site != self.site:
                    into.crossings += weight * rate
                    cost = price(self.site, site) if price else None
                    into.price += weight * rate * (cost or 0.0)
                    into.priced = into.priced and cost is not None
            refused, was_late, crossed = self.now.get(name, (0.0, 0.0, 0.0))
            into.now_refused, into.now_late, into.now_crossed = (
                into.now_refused + weight * refused,
                into.now_late + weight * was_late,
                into.now_crossed + weight * crossed,
            )

    def by_rates(self, rates, topic, refused):
        """(benefit lost to lateness a second, site -> deliveries).  Threat: of what is refused in part, the
        rest waited as long as its objective lets it."""
        waits, late, at = topic.get("objective", 0) / SEC if refused else 0.0, 0.0, {}
        for number, rate in rates.items():
            for site, (part, lasts, miss) in self.reach[number].items():
                carried = rate * part * (1 - refused)
                at[site] = at.get(site, 0.0) + carried
                late += carried * worth(topic, max(lasts, waits), miss)
        return late, at

    def range(self, rates, topic, carried):
        """The benefit lost to lateness with every answer at the forecast, and at forecast + 2 x root of
        MSE."""
        whole = sum(rates.values())
        found = [
            (rate / whole * part, lasts, miss)
            for number, rate in rates.items()
            if whole
            for part, lasts, miss in self.reach[number].values()
        ]
        return (
            carried * sum(part * fades(topic, lasts) for part, lasts, _ in found),
            carried
            * sum(part * fades(topic, lasts + TIMEOUT_ERROR_FACTOR * miss) for part, lasts, miss in found),
        )


def share_of(demand, name):
    return demand.kinds.get(name, 0.0) / demand.total if demand.total else 0.0


@dataclass
class Sum:
    """What is added up for one topic type over all neighbours."""

    offered: float = 0.0
    refused: float = 0.0
    late: float = 0.0
    late_least: float = 0.0
    late_most: float = 0.0
    crossings: float = 0.0
    price: float = 0.0
    priced: bool = True
    whole: float = 1.0
    now_refused: float = 0.0
    now_late: float = 0.0
    now_crossed: float = 0.0


def conclude(made, sums, order, errors, stand_ins):
    """Bands: of own errors where there are enough, else of the forecasts' own, of chance, and of who is
    unknown."""
    errors = errors or (lambda measure, topic: None)
    swing = TIMEOUT_ERROR_FACTOR * sqrt(sum(s.offered for s in sums.values()) / told.LOAD_SPAN)
    for name in order:
        s = sums[name]
        # Threat: a few more or fewer a second by chance alone are no wrong projection.
        chance = [
            TIMEOUT_ERROR_FACTOR * sqrt(max(count, 1 / told.SPAN) / told.SPAN)
            for count in (s.refused, s.crossings)
        ]
        if s.refused > TO_SPARE * s.offered:  # what is over is the difference of two large figures
            chance[0] = max(chance[0], swing)
        blind, whole = s.offered * stand_ins / (1 + stand_ins), s.offered * s.whole
        refused = banded(s.refused, chance[0], chance[0] + blind, errors("refused", name), s.offered)
        late = banded(s.late, s.late - s.late_least, s.late_most - s.late, errors("late", name), whole)
        model = s.late + s.refused * s.whole
        lost = banded(
            model,
            model - late.least - refused.least * s.whole,
            late.most + refused.most * s.whole - model,
            errors("lost", name),
            whole,
        )
        crossings = banded(s.crossings, chance[1], chance[1], errors("crossings", name), s.offered)
        now = s.now_refused, s.now_late + s.now_refused * s.whole, s.now_crossed
        made.topics[name] = Line(s.offered, refused, late, lost, crossings, s.whole, now)
    made.crossings = together([line.crossings for line in made.topics.values()])
    crossed, price = sum(s.crossings for s in sums.values()), sum(s.price for s in sums.values())
    if all(s.priced for s in sums.values()):
        each = price / crossed if crossed else 0.0
        made.price = Estimate(
            *(each * figure for figure in (made.crossings.value, made.crossings.least, made.crossings.most)),
            made.crossings.tested,
        )


def banded(value, under, over, error, offered):
    """An estimate with so much under and over it; where it is known what earlier ones missed, mended by the
    bias and wide by 2 x the root of the MSE if that is more."""
    bias, miss, count = error if error and offered else (0.0, 0.0, 0)
    at, band = max(0.0, value + bias * offered), TIMEOUT_ERROR_FACTOR * miss * offered
    return Estimate(at, max(0.0, at - max(under, band)), at + max(over, band), count, value)


def together(estimates):
    """The sum of several; their bands added up, as if all missed to one side."""
    return Estimate(
        *(sum(getattr(e, part) for e in estimates) for part in ("value", "least", "most")),
        min((e.tested for e in estimates), default=0),
        sum(e.model for e in estimates),
    )


# ---- the decisions' own functions, asked


def fades(topic, lasts):
    """The benefit lost by one delivery that takes so many seconds; all of it past the TTL."""
    ttl, whole = topic.get("ttl", 0), topic.get("benefit", 1)
    if ttl and lasts * SEC >= ttl:
        return whole
    return whole - benefit(Notification(0, topic, None, ttl), int(lasts * SEC))


def worth(topic, lasts, miss):
    """The same in the mean over answer times with this spread."""
    return sum(part * fades(topic, max(0.0, lasts + node * miss)) for node, part in NODES)


@lru_cache(4096)
def spread_over(order, near, out):
    """site -> share of the calls that go there when `out` are out at once in the mean:
    `choice.EndpointSelection` over endpoints whose sites stand in the order of its rank, for some calls that
    come and end unevenly.

    Chance is two sequences that fill the unit evenly, so that few calls are enough and equal ones fare
    alike."""
    endpoints = [Endpoint(at, None, Route(), 0, site, at) for at, site in enumerate(order)]
    pick, placed, ends, now = EndpointSelection(told.Anywhere(near)), dict.fromkeys(order, 0), [], 0.0
    for number in range(1, MOST_PLACED + 1) if out > 0 else ():
        now -= log(1 - number * EVENLY[0] % 1) / out
        while ends and ends[0][0] <= now:
            heappop(ends)[2].calls.pop()
        push = Push(None, 0, candidates=endpoints)
        pick.admit(push)
        push.endpoint.calls.append(push)
        heappush(ends, (now - log(1 - number * EVENLY[1] % 1), number, push.endpoint))
        placed[push.endpoint.zone] += 1
    whole = sum(placed.values())
    return {site: count / whole for site, count in placed.items() if count} or {order[0]: 1.0}
