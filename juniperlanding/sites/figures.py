"""What one member tells of itself for the projection, and how it is counted.  No I/O, clock or trio.

Rates are thousandths a second, answer times microseconds, rests milliseconds: whole numbers, which
MessagePack keeps in one to five bytes."""

from functools import lru_cache

import msgspec

from juniperlanding.choice import MS, SEC, Dispatcher, EndpointSelection, add_sample, benefit
from juniperlanding.fleet.words import MOST_FIGURES
from juniperlanding.series import Series
from juniperlanding.state import Endpoint, Instance, Push

VERSION = 1
SPAN, LOAD_SPAN = 5, 30  # whole seconds over which ends are counted, and what is handed in
BELIEVED, ANSWERS_BELIEVED = 20 * SEC, 60 * SEC  # rates and room from when they were made; an answer time
MOST_SITES, MOST_ORDER = 64, 8  # names of sites; endpoints of one destination in the order of picking
MOST_SERIES, MOST_TOLD = 4096, 10**12
UNKNOWN, FEW = -1, 32


class Kind(msgspec.Struct, array_like=True, frozen=True):
    """One topic type: taken on, delivered in time, refused or given up; benefit lost to lateness alone;
    deliveries at an endpoint of another site."""

    name: str
    taken: int = 0
    delivered: int = 0
    refused: int = 0
    late: int = 0
    crossed: int = 0


class Place(msgspec.Struct, array_like=True, frozen=True):
    """One destination.  taken: a second; pace: what this member may offer it a second, `UNKNOWN` without a
    limit; each: the same for one endpoint where each has limits of its own; order: sites of its endpoints,
    as this member would pick them; answers: (site, forecast, root of the MSE, rest) of answer times."""

    destination: int
    taken: int
    pace: int = UNKNOWN
    each: int = 0
    order: tuple[int, ...] = ()
    answers: tuple[tuple[int, int, int, int], ...] = ()


class Figures(msgspec.Struct, array_like=True, frozen=True):
    """rest: for so long rates and room are believed; places: the busiest destinations, and left_out of them
    what found no room in a datagram, as a rate; slots: calls out at once; held and records: places that
    are free, in memory and in the ledger; near: endpoints of its own site go first.  Sites are numbers into
    `sites`."""

    version: int
    rest: int
    sites: tuple[str, ...] = ()
    kinds: tuple[Kind, ...] = ()
    places: tuple[Place, ...] = ()
    slots: int = 0
    held: int = 0
    records: int = 0
    left_out: int = 0
    near: bool = False


ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Figures)


def encoded(figures):
    """At most `MOST_FIGURES` bytes: the least busy destinations go first, then topic types, and left_out says
    how much of the load that was."""
    while len(data := ENCODER.encode(figures)) > MOST_FIGURES:
        if figures.places:
            gone = figures.places[-1]
            figures = msgspec.structs.replace(
                figures, places=figures.places[:-1], left_out=figures.left_out + gone.taken
            )
        elif figures.kinds:
            figures = msgspec.structs.replace(figures, kinds=figures.kinds[:-1])
        else:
            return b""  # names of sites alone fill it: nothing is told, which others show as unknown
    return data


def decoded(data):
    """`Figures`, or None for what is of another form.  Threat: figures that no member counts."""
    try:
        told = DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    sites = range(len(told.sites))
    numbers = [told.rest, told.slots, told.held, told.records, told.left_out]
    for kind in told.kinds:
        numbers += [kind.taken, kind.delivered, kind.refused, kind.late, kind.crossed]
    for place in told.places:
        numbers += [place.taken, place.pace - UNKNOWN, place.each]
        numbers += [figure for answer in place.answers for figure in answer[1:]]
        if not all(site in sites for site in (*place.order, *(answer[0] for answer in place.answers))):
            return None
    sound = told.version == VERSION and all(0 <= number < MOST_TOLD for number in numbers)
    return told if sound and len({kind.name for kind in told.kinds}) == len(told.kinds) else None


# ---- counting


class Rates:
    """Sums of the last `span` whole seconds by key.  Bounded by what is counted in so long."""

    def __init__(self, now, span=SPAN):
        self.begun, self.second, self.span, self.sums = 0, now // SEC, span, {}

    def add(self, key, now, amount=1.0):
        self.roll(now)
        self.begun = self.begun or now  # threat: a start before the first one comes makes it seem little
        ring = self.sums.setdefault(key, [0.0] * (self.span + 1))
        ring[self.second % (self.span + 1)] += amount

    def roll(self, now):
        gone, self.second = now // SEC - self.second, max(self.second, now // SEC)
        for step in range(min(max(gone, 0), self.span + 1)):
            for ring in self.sums.values():
                ring[(self.second - step) % (self.span + 1)] = 0.0
        if gone > 0:
            self.sums = {key: ring for key, ring in self.sums.items() if any(ring)}

    def a_second(self, key, now):
        """The rate in thousandths, over the whole seconds before this one."""
        self.roll(now)
        ring, whole = self.sums.get(key, [0.0]), min(self.span, max(1, self.second - self.begun / SEC))
        this = self.second % (self.span + 1)
        return int(1000 * sum(amount for at, amount in enumerate(ring) if at != this) / whole)


class Seen:
    """What this member has seen: handed in, ended, answered, by topic type, destination and site."""

    def __init__(self, now):
        self.rates, self.load, self.answers = Rates(now), Rates(now, LOAD_SPAN), {}

    def handed_in(self, topic, destination, now):
        self.load.add(("taken", topic), now)
        self.load.add(("place", destination), now)

    def refused(self, topic, count, now):
        if count > 0:
            self.rates.add(("refused", topic), now, count)

    def answered(self, ntf, site, crossed, latency, in_time, now, heard):
        """A push was delivered: its answer time counts, and of the notification what lateness cost.  heard:
        when, by the clock of TTLs."""
        name = ntf.topic.get("name")
        key = ntf.destination.id, site
        if key in self.answers or len(self.answers) < MOST_SERIES:
            series = self.answers.setdefault(key, Series())
            add_sample(series, latency)
            series.last_at = now
        if crossed:
            self.rates.add(("crossed", name), now)
        if in_time:
            self.rates.add(("delivered", name), now)
            self.rates.add(("late", name), now, ntf.topic.get("benefit", 1) - benefit(ntf, heard))

    def returned(self, now):
        """A lost site is back: what came from it meanwhile is no load of ours."""
        self.load = Rates(now, LOAD_SPAN)

    def kind(self, name, now):
        def rate(word):
            return max(0, self.rates.a_second((word, name), now))

        return Kind(
            name,
            self.load.a_second(("taken", name), now),
            *map(rate, ("delivered", "refused", "late", "crossed")),
        )

    def told(self, destination, sites, now):
        """(site number, forecast, root of the MSE, rest) of each site that answered there lately."""
        found = []
        for at, site in enumerate(sites):
            series = self.answers.get((destination, site))
            rest = series and series.last_at + ANSWERS_BELIEVED - now
            if series and rest > 0 and series.errors:
                found.append((at, series.forecast // 1000, series.rmse // 1000, rest // MS))
        return tuple(found)

    def forget(self, now):
        self.answers = {
            key: series for key, series in self.answers.items() if now - series.last_at < ANSWERS_BELIEVED
        }


def believed(figures, age):
    """What of them is still believed so long after they came; None for nothing."""
    if not figures or age > figures.rest * MS:
        return None
    places = tuple(
        msgspec.structs.replace(
            place, answers=tuple(answer for answer in place.answers if answer[3] * MS > age)
        )
        for place in figures.places
    )
    return msgspec.structs.replace(figures, places=places)


# ---- room and order, by the decisions' own functions


class Counted:
    """A host that only counts: what would be sent, and what is refused first."""

    def __init__(self):
        self.pushed, self.refused = 0, []

    def push(self, ntf_id, endpoint_id, timeout, leave_within):
        self.pushed += 1

    def throttled(self, ntf_id, again_in):
        self.refused.append(ntf_id)

    expired = throttled

    def timer(self, delay, tok):
        pass

    def close_idle(self, endpoint_id):
        pass

    def log(self, text):
        pass


@lru_cache(256)
def usable(slots, destinations):
    """How many of so many slots calls fill at once, when so many destinations have more to take than that:
    what a dispatcher in plenty sends in one turn.  Counted with `FEW` slots, which takes milliseconds; more
    are taken as a multiple of them."""
    if slots > FEW:
        return slots * usable(FEW, destinations) // FEW
    destinations, host, late = max(1, min(destinations, FEW // 2)), Counted(), 100 * SEC
    made = Dispatcher(
        host, {"slots": slots, "scale_kind": "nominal", "topic_types": [{"ttl": 1000 * SEC}]}, "", late
    )
    made.update_endpoints(
        "whole",
        [
            (f"{at}/{number}", number, 0, 1e9, 0, "ready")
            for number in range(destinations)
            for at in range(slots)
        ],
    )
    for number in range(destinations):
        made.notification(f"w{number}", 0, number)
    made.decide()  # paces begin to fill
    for call in [push.call for push in made.state.pushes.values()]:
        made.outcome(call.pushes[0].ntf.id, call.pushes[0].number, "delivered", over=True, latency=MS)
    host.pushed = 0
    for at in range(slots):
        for number in range(destinations):
            made.notification(f"{at}/{number}", 0, number)
    made.now += 10 * SEC
    made.decide()
    return host.pushed


class Anywhere:
    """What `EndpointSelection` asks of its dispatcher: where it stands, if its own site goes first."""

    def __init__(self, near):
        self.state = Instance({"zone": near, "crossing_price": 1}, 0, 0, 1)


def picked(endpoints, near):
    """Idle endpoints in the order in which `choice.EndpointSelection` takes them: `MOST_ORDER` at most."""
    pick, order = EndpointSelection(Anywhere(near)), []
    idle = {Endpoint(e.id, None, None, e.kind, e.zone, e.rank): e for e in endpoints}
    while idle and len(order) < MOST_ORDER:
        push = Push(None, 0, candidates=list(idle))
        pick.admit(push)
        order.append(idle.pop(push.endpoint))
    return order


def refusals(topics):
    """Names of topic types in the order in which the decisions would refuse fresh ones for room."""
    host = Counted()
    named = [dict(topic) for topic in topics]
    made = Dispatcher(host, {"topic_types": named, "most_held": 1, "slots": 0}, "", SEC)
    for at, topic in enumerate(named):
        made.notification(topic.get("name"), at, 1, ttl_at=SEC + topic.get("ttl", SEC))
    made.shed_load([made.destination(1)])
    return host.refused
