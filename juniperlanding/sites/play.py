"""A neighbour at work in an outage, played: the decisions themselves under the load that it would have.

No I/O, clock, trio or chance: arrivals and answer times follow sequences that fill the unit evenly, so that
equal members fare alike and a few hundred notifications are enough."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import log
from statistics import NormalDist

from juniperlanding.choice import SEC, Dispatcher, benefit

LEAST_PLAYED, MOST_PLAYED = 600, 1600  # notifications in one play
MOST_TIME = 120 * SEC  # that it covers at most
LEAST_SLOTS = 6  # a play is made smaller than life no further than this
SLICE = 10  # events between two places where it lets others go on
BEGUN = 100 * SEC
STEPS = 0.8566748838545029, 0.733891856627126, 0.6287067210378087, 0.5385972572236101  # in four dimensions
NORMAL = NormalDist()


@dataclass
class Ends:
    """What became of one topic type's notifications: counts, the benefit that lateness cost, and deliveries
    by site."""

    offered: int = 0
    refused: int = 0
    late: float = 0.0
    at: dict = field(default_factory=dict)


class Play:
    """The host of one dispatcher.  rates: (topic name, destination) -> a second; answers: destination ->
    {site: (answer time, root of its MSE)} in seconds; orders: destination -> sites of its endpoints in the
    order of picking; paces: destination -> (a second, whether each endpoint has its own), or nothing."""

    def __init__(self, rates, answers, orders, paces, topics, slots, held, near):
        self.topics, self.answers, self.sites, self.heap = topics, answers, {}, []
        self.number = self.sequence = 0
        total = sum(rates.values())
        ttl = max((topic.get("ttl", 0) for topic in topics), default=0) or SEC
        # It covers four times what may wait.  Where that is too many it is played smaller than life: slots
        # and paces shrink with the rates, and what is counted in whole calls comes out less exact.
        long = total * 4 * ttl / SEC
        wanted = long / MOST_PLAYED
        self.scale = max(1.0, min(wanted, slots / LEAST_SLOTS))
        self.total = total / self.scale
        count = max(LEAST_PLAYED, min(long, MOST_PLAYED))
        self.lasts = min(MOST_TIME, int(count / self.total * SEC)) if total else 0
        self.warm, self.until = self.lasts // 4, self.lasts - min(ttl, self.lasts // 4)
        self.keys, self.sums, whole = sorted(rates), [], 0.0
        for key in self.keys:
            whole += rates[key] / total if total else 0.0
            self.sums.append(whole)
        apart = [any(each for _, each in paces.values())]
        settings = {
            "topic_types": topics,
            "slots": round(slots / self.scale),
            "most_held": held,
            "scale_kind": "nominal",
            "routes_apart": apart,
            "may_cancel": True,
        }
        settings |= {"zone": near, "crossing_price": 1} if near is not None else {}
        self.at = Dispatcher(self, settings, "", BEGUN)
        entries = []
        for destination, order in sorted(orders.items()):
            pace, _ = paces.get(destination, (1e9, False))
            for place, site in enumerate(order):
                entries.append(((destination, place), destination, 0, pace / self.scale, site, "ready"))
                self.sites[destination, place] = site
        self.at.update_endpoints("whole", entries)
        for (_, place), endpoint in self.at.state.endpoints.items():
            endpoint.rank = place
        self.ends = {topic.get("name"): Ends() for topic in topics}
        self.measured = {}  # notification -> its topic type, of those that count

    def run(self):
        """A generator that pauses now and then; returns topic name -> `Ends`."""
        names = [topic.get("name") for topic in self.topics]
        at, steps = BEGUN, 0
        while at < BEGUN + self.lasts:
            self.number += 1
            n = self.number
            at += int(-log(1 - n * STEPS[0] % 1) / self.total * SEC)
            self.until_then(at)
            lot = n * STEPS[1] % 1
            key = next((k for k, s in zip(self.keys, self.sums, strict=True) if lot < s), self.keys[-1])
            topic, destination = key
            if BEGUN + self.warm <= at < BEGUN + self.until:
                self.measured[n] = topic
                self.ends[topic].offered += 1
            self.at.now = at
            self.at.notification(n, names.index(topic), destination)
            self.at.decide()
            steps += 1
            if steps % SLICE == 0:
                yield
        return self.ends

    def until_then(self, until):
        while self.heap and self.heap[0][0] <= until:
            at, _, what, fields = heappop(self.heap)
            self.at.now = at
            what(*fields)
            self.at.decide()

    def later(self, at, what, *fields):
        self.sequence += 1
        heappush(self.heap, (at, self.sequence, what, fields))

    def ended(self, ntf, site):
        """It was delivered."""
        if topic := self.measured.pop(ntf.id, None):
            ends = self.ends[topic]
            ends.at[site] = ends.at.get(site, 0) + 1
            ends.late += ntf.topic.get("benefit", 1) - benefit(ntf, self.at.now)

    # ---- what the decisions ask for

    def push(self, ntf_id, endpoint_id, timeout, leave_within):
        destination, _ = endpoint_id
        site = self.sites[endpoint_id]
        time, miss = self.answers[destination][site]
        push = self.at.state.notifications[ntf_id].pushes
        drawn = NORMAL.inv_cdf(min(max((ntf_id * STEPS[2] + push * STEPS[3]) % 1, 0.001), 0.999))
        lasts = int(max(time / 4, time + miss * drawn, 0.0001) * SEC)
        ending, lasts = ("timeout", timeout) if 0 < timeout < lasts else ("delivered", lasts)
        self.later(self.at.now + lasts, self.outcome, ntf_id, push, ending, lasts, site)

    def outcome(self, ntf_id, number, ending, latency, site):
        ntf = self.at.state.notifications.get(ntf_id)
        if ending == "delivered" and (ntf_id, number - 1) in self.at.state.pushes:
            self.ended(ntf, site)
        self.at.outcome(ntf_id, number - 1, ending, latency=latency, over=ending == "delivered")

    def throttled(self, ntf_id, again_in):
        if topic := self.measured.pop(ntf_id, None):
            self.ends[topic].refused += 1

    def expired(self, ntf_id):
        self.throttled(ntf_id, 0)

    def cancel(self, ntf_id, number):
        self.later(self.at.now, self.at.outcome, ntf_id, number, "cancelled")

    def timer(self, delay, tok):
        self.later(self.at.now + delay, self.at.wake, tok)

    def close_idle(self, endpoint_id):
        pass

    def log(self, text):
        pass
