"""One dispatcher with a host that keeps what it was asked for."""

import pytest

from juniperlanding.choice import SEC, Dispatcher

TOPICS = [
    {"kind": "repeatable", "objective": 2 * SEC, "ttl": 20 * SEC, "benefit": 1, "late_share": 0.5},
    {"kind": "collapsible", "objective": 2 * SEC, "ttl": 20 * SEC, "benefit": 2, "window": 6 * SEC,
     "group": "all"},
    {"kind": "once-only", "objective": 2 * SEC, "ttl": 20 * SEC, "benefit": 5},
    {"kind": "repeatable", "objective": 2 * SEC, "ttl": 20 * SEC, "benefit": 1, "ordered": True},
]
REPEATABLE, COLLAPSIBLE, ONCE_ONLY, ORDERED = range(4)


class Host:
    """Answers to any request of the interface by writing it down."""

    def __init__(self):
        self.asked = []

    def __getattr__(self, name):
        return lambda *fields: self.asked.append((name, *fields))

    def all(self, name):
        return [fields for asked, *fields in self.asked if asked == name]


class Bed:
    """A dispatcher with one destination (number 1) and short words for what happens to it."""

    def __init__(self, endpoints=1, scale=50.0, **settings):
        self.host = Host()
        basic = {"rank": 0, "dispatchers": 2, "tick": 5_000_000, "scale_kind": "nominal",
                 "slots": 20, "most_held": 100, "most_pushes": 6,
                 "start_capacity": 0.2, "warm_within": 10 * SEC,
                 "overload_factor": 2.0, "fall_within": 2 * SEC, "topic_types": TOPICS}
        self.at = Dispatcher(self.host, basic | settings, seed=7, now=100 * SEC)
        self.at.start()
        self.at.listed("cached", [(10 + n, 1, 0, scale, 0, "ready") for n in range(endpoints)])
        self.count = 0

    @property
    def pushed(self):
        return self.host.all("push")

    def take(self, topic=REPEATABLE, destination=1, ttl=20, key=0):
        self.count += 1
        self.at.notification(self.count, topic, destination, ttl_at=self.at.now + int(ttl * SEC), key=key)
        return self.count

    def turn(self, after=0.0):
        self.at.now += int(after * SEC)
        self.at.turn()
        return len(self.pushed)

    def end(self, ntf, ending, after=0.1, number=0, **more):
        self.at.now += int(after * SEC)
        self.at.outcome(ntf, number, ending, latency=int(after * SEC), over=ending == "delivered", **more)

    def deliver(self, times=4, after=0.1, topic=REPEATABLE):
        for _ in range(times):
            ntf = self.take(topic)
            self.turn()
            self.end(ntf, "delivered", after)
            self.turn(1)

    def endpoint(self, number=10):
        return self.at.me.endpoints[number]


@pytest.fixture
def bed():
    return Bed()
