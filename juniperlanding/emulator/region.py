"""Losses of whole sites in simulated time: the decision halves of all dispatchers, without sockets.

Emulated: each dispatcher's decisions, endpoints with lognormal answers, clients as a Poisson stream, a front,
what each member counts and tells, and the age that has elsewhere.  Not: links, ledgers, the view's way to a
death (it is given), the time that the processes themselves need."""

from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from math import exp
from random import Random

import msgspec

from juniperlanding.choice import MS, SEC, Dispatcher, benefit
from juniperlanding.sites import figures as words
from juniperlanding.sites.figures import Figures, Place, Seen
from juniperlanding.sites.outage import MEASURES, Outages
from juniperlanding.sites.project import Member, project

SITES, PRICE = ("east", "north", "west"), 0.05
TOPICS = [
    {
        "name": "news",
        "kind": "repeatable",
        "objective": 600 * MS,
        "ttl": 4 * SEC,
        "benefit": 1.0,
        "late_share": 0.1,
    },
    {
        "name": "status",
        "kind": "collapsible",
        "objective": 500 * MS,
        "ttl": 3 * SEC,
        "benefit": 2.0,
        "late_share": 0.1,
        "window": 1500 * MS,
    },
    {
        "name": "order",
        "kind": "once-only",
        "objective": SEC,
        "ttl": 4 * SEC,
        "benefit": 3.0,
        "late_share": 0.1,
    },
]
PARTS = {"news": 0.5, "status": 0.2, "order": 0.3}
BEGUN, CALM, LASTS, FROM = 100 * SEC, 14 * SEC, 24 * SEC, 6 * SEC


@dataclass
class Loss:
    """cells: (measure, topic) -> (Estimate, seen, by an even split, as now), a second."""

    site: str
    level: float
    cells: dict = field(default_factory=dict)
    offered: dict = field(default_factory=dict)


class One:
    """The host of one dispatcher."""

    def __init__(self, town, number):
        self.town, self.name, self.site = town, f"d{number:02}", SITES[number % len(SITES)]
        self.seen, self.lives, self.told = Seen(town.now), True, None
        self.start()

    def start(self):
        town = self.town
        settings = {
            "topic_types": TOPICS,
            "slots": town.slots,
            "most_held": 2000,
            "zone": SITES.index(self.site),
            "crossing_price": PRICE,
            "scale_kind": "nominal",
            "may_cancel": True,
            "dispatchers": town.count,
            "rank": int(self.name[1:]),
        }
        self.at = Dispatcher(self, settings, f"{town.seed}/{self.name}/{town.now}", town.now)
        self.at.update_endpoints(
            "whole",
            [(number, place, 0, 100.0, zone, "ready") for number, (place, zone) in town.endpoints.items()],
        )

    def push(self, ntf_id, endpoint_id, timeout, leave_within):
        ntf, town = self.at.state.notifications[ntf_id], self.town
        zone = town.endpoints[endpoint_id][1]
        lasts = int(town.median * exp(town.chance.gauss(0, town.spread)))
        ending = "delivered"
        if SITES[zone] in town.lost:
            ending, lasts = "unreachable", MS
        elif 0 < timeout < lasts:
            ending, lasts = "timeout", timeout
        town.later(lasts, partial(self.outcome, self.at, ntf, ntf.pushes - 1, zone, ending, lasts))

    def outcome(self, at, ntf, number, zone, ending, latency):
        town = self.town
        if at is not self.at or not self.lives or (ntf.id, number) not in at.state.pushes:
            return
        at.now = town.now
        if ending == "delivered":
            crossed = SITES[zone] != self.site
            self.seen.answered(ntf, SITES[zone], crossed, latency, True, town.now, town.now)
            town.ended(ntf, "delivered", crossed)
        at.outcome(ntf.id, number, ending, latency=latency, over=ending == "delivered")
        at.decide()

    def throttled(self, ntf_id, again_in):
        ntf = self.at.state.notifications[ntf_id]
        self.seen.refused(ntf.topic["name"], 1, self.town.now)
        self.town.ended(ntf, "refused", False)

    def expired(self, ntf_id):
        self.throttled(ntf_id, 0)

    def timer(self, delay, tok):
        self.town.later(delay, partial(self.woken, self.at, tok))

    def woken(self, at, tok):
        if at is self.at and self.lives:
            at.now = self.town.now
            at.wake(tok)
            at.decide()

    def cancel(self, ntf_id, number):
        self.town.later(
            0,
            partial(
                self.outcome, self.at, self.at.state.notifications.get(ntf_id), number, 0, "cancelled", 0
            ),
        )

    def close_idle(self, endpoint_id):
        pass

    def log(self, text):
        pass

    def tell(self):
        """What `part` tells, from the same records."""
        now, state, places = self.town.now, self.at.state, []
        for dest in state.destinations.values():
            order = words.picked([e for e in dest.endpoints if not e.ejected], SITES.index(self.site))
            places.append(
                Place(
                    dest.id,
                    self.seen.load.a_second(("place", dest.id), now),
                    int(1000 * 100 * 1.3 * max(0.25, 1 / self.town.count)),
                    0,
                    tuple(e.zone for e in order),
                    self.seen.told(dest.id, SITES, now),
                )
            )
        made = Figures(
            words.VERSION,
            words.BELIEVED // MS,
            SITES,
            tuple(self.seen.kind(topic["name"], now) for topic in TOPICS),
            tuple(places),
            self.town.slots,
            2000 - len(state.notifications),
            10_000,
            near=True,
        )
        self.told = now, words.decoded(words.encoded(made))


class Town:
    """`count` dispatchers in three sites at a level of what the neighbours of a lost one carry."""

    def __init__(self, count=9, seed=1, level=0.8, slots=6, age=2 * SEC, median=250 * MS, spread=0.3):
        self.count, self.seed, self.level, self.slots, self.age = count, seed, level, slots, age
        self.median, self.spread, self.now = median, spread, BEGUN
        self.chance, self.heap, self.sequence = Random(f"{seed}"), [], 0
        self.lost, self.noticed, self.endpoints, self.coming = set(), set(), {}, {}
        for place, sites in {1: 3, 2: 3, 3: 2}.items():
            for at in range(sites):
                self.endpoints[len(self.endpoints) + 1] = place, (place + at) % 3
        self.members = [One(self, number) for number in range(count)]
        self.weights = {m.name: self.chance.uniform(0.6, 1.4) for m in self.members}
        self.places = {1: 1.0, 2: self.chance.uniform(0.5, 1), 3: self.chance.uniform(0.3, 0.8)}
        neighbours = count * 2 // 3
        self.rate = level * neighbours * slots / (median * exp(spread**2 / 2) / SEC)
        self.plan, self.outages, self.ids, self.records, self.losses = {}, Outages(), 0, {}, []
        self.later(0, self.arrive)
        self.later(SEC, self.look)
        self.views = {}

    def later(self, delay, what):
        self.sequence += 1
        heappush(self.heap, (self.now + delay, self.sequence, what))

    def run(self, length):
        until = self.now + length
        while self.heap[0][0] <= until:
            self.now, _, what = heappop(self.heap)
            what()
        self.now = until

    def arrive(self):
        self.later(int(self.chance.expovariate(self.rate) * SEC), self.arrive)
        names = [*self.weights]
        name = self.chance.choices(names, [*self.weights.values()])[0]
        member = self.members[int(name[1:])]
        if member.site in self.noticed:
            name = self.chance.choices([*self.plan], [*self.plan.values()])[0]
            member = self.members[int(name[1:])]
        topic = self.chance.choices(range(3), [*PARTS.values()])[0]
        place = self.chance.choices([*self.places], [*self.places.values()])[0]
        if not member.lives:
            return  # the front has not noticed: the client hears nothing
        self.ids += 1
        self.records[self.ids] = [self.now, TOPICS[topic]["name"], None, 0.0, False]
        member.seen.handed_in(TOPICS[topic]["name"], place, self.now)
        member.at.now = self.now
        member.at.notification(self.ids, topic, place)
        member.at.decide()

    def ended(self, ntf, how, crossed):
        lost = ntf.topic["benefit"] - (benefit(ntf, self.now) if how == "delivered" else 0.0)
        self.records[ntf.id][2:] = how, lost, crossed

    def look(self):
        """Each tells, and what it told becomes known elsewhere after `age`."""
        self.later(SEC, self.look)
        for member in self.members:
            if member.lives:
                member.tell()
                self.later(self.age, partial(self.views.__setitem__, member.name, member.told))
        seen = self.view()
        self.outages.tick(seen, self.coming, self.now)

    def view(self):
        found = []
        for member in self.members:
            at, figures = self.views.get(member.name, (0, None))
            age = self.now - at
            found.append(Member(member.name, member.site, member.lives, words.believed(figures, age), age))
        return found

    def foretell(self, site, shares=None):
        return project(self.view(), site, TOPICS, lambda a, b: PRICE, shares, self.outages.error)

    def lose(self, site):
        """One loss and the return; the `Loss`."""
        self.run(CALM)
        made = self.foretell(site)
        near = [m.name for m in self.members if m.site != site]
        even = self.foretell(site, dict.fromkeys(near, 1 / len(near)))
        whole = sum(made.shares.values())
        self.plan = {name: share / whole if whole else 1 / len(near) for name, share in made.shares.items()}
        self.coming = {site: made}
        self.run(2 * SEC)
        at = self.now
        self.lost.add(site)
        for member in self.members:
            if member.site == site:
                member.lives = False
        self.run(SEC)
        self.noticed.add(site)
        self.run(LASTS - SEC)
        ended = self.now
        self.lost.discard(site)
        self.noticed.discard(site)
        for member in self.members:
            if member.site == site:
                member.lives, member.seen = True, Seen(self.now)
                member.start()
        self.coming = {}
        for member in self.members:
            member.seen.returned(self.now)
        self.run(6 * SEC)
        loss = Loss(site, self.level)
        seconds = (ended - 4 * SEC - at - FROM) / SEC
        for name, line in made.topics.items():
            mine = [r for r in self.records.values() if r[1] == name and at + FROM <= r[0] < ended - 4 * SEC]
            loss.offered[name] = line.offered, len(mine) / seconds
            came = {
                "refused": sum(r[2] == "refused" for r in mine) / seconds,
                "lost": sum(r[3] for r in mine) / seconds,
                "crossings": sum(r[4] for r in mine) / seconds,
            }
            for at_, measure in enumerate(m for m in MEASURES if m != "late"):
                loss.cells[f"{measure} {name}"] = (
                    getattr(line, measure),
                    came[measure],
                    getattr(even.topics[name], measure).value,
                    line.now[at_],
                )
        self.records = {number: r for number, r in self.records.items() if r[2] is None}
        self.losses.append(loss)
        return loss


def plain(loss):
    """For a file of results."""
    return msgspec.to_builtins(loss)
