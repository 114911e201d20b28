"""Policies for comparison only, behind the module's own calls: never a part of what serves.

one_try: first endpoint in turn, once.  fixed: a time-out of one second, up to four tries at once, round
robin.
textbook: the same with exponential back-off and full jitter.  omniscient: sees every server's true state,
sends to
the one that would answer soonest, and holds back while none would deliver; an upper bound, not a policy."""

import math
from dataclasses import dataclass, field
from types import SimpleNamespace
from zlib import crc32

MS, SEC = 1_000_000, 1_000_000_000
TIMEOUT, TRIES, FIRST_PAUSE, MOST_PAUSE = SEC, 4, 50 * MS, 2 * SEC
LOOK = 50 * MS


@dataclass(slots=True, eq=False)
class Item:
    id: str
    kind: str
    destination: int
    ttl_at: int
    window: int
    pushes: int = 0
    out: bool = False
    ran_at: int = 0
    not_before: int = 0
    order: int = field(default=0)


class OneTry:
    tries, timeout = 1, 0

    def __init__(self, host, settings, seed, now):
        self.host, self.settings, self.seed, self.now = host, settings, seed, now
        self.items, self.places, self.turns, self.out = {}, {}, {}, 0
        self.state = SimpleNamespace(notifications=self.items)

    def start(self):
        pass

    def update_endpoints(self, news, entries):
        self.places = {}
        for entry in entries:
            if entry[5] == "ready":
                self.places.setdefault(entry[1], []).append(entry[0])

    def notification(self, ntf_id, topic, destination, ttl_at=0, key=0, pushes=0, ran_zone=0, ran_at=0):
        topic = self.settings["topic_types"][topic]
        self.items[ntf_id] = Item(
            ntf_id, topic["kind"], destination, ttl_at, topic.get("window", 0), pushes, ran_at=ran_at
        )
        self.wake_in(ttl_at - self.now)

    def wake_in(self, delay):
        self.host.timer(max(int(delay), 1), 0)

    def wake(self, tok):
        pass

    def pick(self, item):
        places = self.places.get(item.destination, [])
        if not places:
            return None
        turn = self.turns[item.destination] = self.turns.get(item.destination, -1) + 1
        return places[turn % len(places)]

    def pause(self, item):
        return 0

    def may_go(self, item):
        if item.pushes >= self.tries or item.ttl_at <= self.now:
            return False
        if not item.ran_at or item.kind == "repeatable":
            return True
        return item.kind == "collapsible" and self.now < item.ran_at + item.window * 19 // 20

    def decide(self):
        for item in [item for item in self.items.values() if not item.out]:
            if not self.may_go(item):
                del self.items[item.id]
                (self.host.expired if item.ran_at else self.host.throttled)(
                    item.id, *([] if item.ran_at else [0])
                )
            elif item.not_before <= self.now and self.out < self.settings.get("slots", 1 << 30):
                if endpoint := self.pick(item):
                    item.out, item.pushes, self.out = True, item.pushes + 1, self.out + 1
                    timeout = min(self.timeout, item.ttl_at - self.now) if item.kind != "once-only" else 0
                    self.host.push(item.id, endpoint, timeout, 0)

    def outcome(self, ntf_id, number, ending, latency=0, wait=0, over=False, report=None):
        self.out -= 1
        item = self.items.get(ntf_id)
        if item is None:
            return
        if over:
            del self.items[ntf_id]
            return
        item.out = False
        if ending not in ("throttled", "unreachable", "moot"):
            item.ran_at = item.ran_at or self.now
        item.not_before = self.now + max(wait, self.pause(item))
        self.wake_in(item.not_before - self.now)


class Fixed(OneTry):
    tries, timeout = TRIES, TIMEOUT


class Textbook(Fixed):
    def pause(self, item):
        most = min(FIRST_PAUSE << item.pushes, MOST_PAUSE)
        return int(most * crc32(f"{self.seed}/{item.id}/{item.pushes}".encode()) / 2**32)


class Omniscient(OneTry):
    tries, timeout, world = 1 << 30, 0, None

    def pick(self, item):
        """The server that is there, answers, and has a place soonest; None while none would deliver."""
        now, best = self.now - 1_700_000_000 * SEC, (math.inf, None)
        for name in self.places.get(item.destination, []):
            model = self.world.servers[name]
            if model.silenced or not model.there(now, 0) or model.temper.errors + model.temper.resets >= 1:
                continue
            if model.temper.rate and model.tokens + (now - model.filled_at) / SEC * model.temper.rate < 1:
                continue
            busy = sum(at > now for at in model.free_at)
            cost = model.temper.median * model.slower / model.level(now) * (1 + busy // model.capacity.places)
            best = min(best, (cost + 4 * model.temper.median * model.temper.silence, name))
        if best[1] is None:
            item.not_before = self.now + LOOK
            self.wake_in(LOOK)
        return best[1]


POLICIES = {"one_try": OneTry, "fixed": Fixed, "textbook": Textbook, "omniscient": Omniscient}
