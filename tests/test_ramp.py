"""Many dispatchers that share nothing, and one endpoint that returns from an outage, in a small event loop.

What comes to it in each window is counted against N, what the settings allow there, plus what is put down to
chance.  All times in nanoseconds; the same seeds give the same verdict each time."""

import heapq
from math import sqrt
from random import Random

import pytest
from conftest import Bed

from juniperlanding.choice import MS, NOT_EXECUTED, SEC, Dispatcher

TRAVEL = 30 * MS


class Member:
    """One dispatcher's host, over all its restarts."""

    def __init__(self, fleet, rank):
        self.fleet, self.rank, self.told, self.begun = fleet, rank, False, 0
        self.held, self.calls, self.ran = {}, {}, {}
        self.begin()

    def begin(self):
        """As a new process does: what the ledger holds comes back; all else is forgotten."""
        fleet, self.begun = self.fleet, self.begun + 1
        self.calls.clear()
        self.dispatcher = Dispatcher(self, fleet.settings | {"rank": self.rank}, fleet.seed, fleet.now)
        self.dispatcher.start()
        self.dispatcher.update_endpoints("cached", [(1, 1, 0, fleet.limit, 0, "ready")])
        for ntf, (topic, ttl_at, pushes, ran_at) in self.held.items():
            self.dispatcher.notification(ntf, topic, 1, ttl_at, pushes=pushes, ran_at=ran_at)
        self.dispatcher.decide()

    def take(self, ntf, topic):
        ttl_at = self.fleet.now + self.fleet.settings["topic_types"][topic]["ttl"]
        self.held[ntf] = (topic, ttl_at, 0, 0)
        self.dispatcher.notification(ntf, topic, 1, ttl_at)

    def over(self, ntf, *_):
        self.held.pop(ntf, None)

    throttled = expired = over

    def push(self, ntf, endpoint, timeout, again):
        topic, ttl_at, pushes, ran_at = self.held[ntf]
        self.held[ntf] = (topic, ttl_at, pushes + 1, ran_at or self.fleet.now)
        call = self.calls[ntf] = (ntf, pushes, self.fleet.now)
        self.ran[ntf] = ran_at
        self.fleet.called(self, call, timeout)

    def cancel(self, ntf, number):
        if self.calls.get(ntf, (0, -1))[1] == number:
            self.fleet.after(0, self.end, self.begun, self.calls[ntf], "cancelled")

    def end(self, begun, call, ending, wait=0):
        if begun != self.begun or self.calls.get(call[0]) != call:
            return
        del self.calls[call[0]]
        fleet = self.fleet
        self.told = self.told or (fleet.struck() and ending != "delivered")
        if ending == "delivered":
            self.held.pop(call[0], None)
        elif ending in NOT_EXECUTED and call[0] in self.held:
            self.held[call[0]] = (*self.held[call[0]][:3], self.ran[call[0]])
        self.dispatcher.now = fleet.now
        self.dispatcher.outcome(call[0], call[1], ending, fleet.now - call[2], wait, ending == "delivered")
        self.dispatcher.decide()

    def timer(self, after, token):
        self.fleet.after(after, self.wake, self.begun, token)

    def wake(self, begun, token):
        if begun == self.begun:
            self.dispatcher.now = self.fleet.now
            self.dispatcher.wake(token)
            self.dispatcher.decide()

    def log(self, *_):
        pass

    note = close_idle = subscribe = log


class Fleet:
    """seed, limit (calls a second), load (its part that comes as traffic), how (hang, silent, refused, shut),
    uneven (a few carry most), restarts (so many begin anew about the return), down (seconds)."""

    def __init__(
        self,
        seed,
        count=30,
        limit=12.0,
        load=0.6,
        how="hang",
        uneven=False,
        restarts=0,
        down=15.0,
        before=60.0,
        **settings,
    ):
        self.seed, self.limit, self.how, self.now, self.events, self.serial = seed, limit, how, SEC, [], 0
        topics = [
            {"kind": "repeatable", "objective": 2 * SEC, "ttl": 25 * SEC},
            {"kind": "collapsible", "objective": 2 * SEC, "ttl": 25 * SEC, "window": 10 * SEC},
            {"kind": "once-only", "objective": 2 * SEC, "ttl": 25 * SEC},
        ]
        self.settings = {
            "dispatchers": count,
            "tick": 5 * MS,
            "scale_kind": "nominal",
            "slots": 30,
            "most_held": 500,
            "most_pushes": 8,
            "may_cancel": True,
            "start_capacity": 0.2,
            "warm_within": 10 * SEC,
            "overload_factor": 2.0,
            "fall_within": 2 * SEC,
            "topic_types": topics,
        } | settings
        self.random = Random(f"{seed}/fleet")
        self.down_at, self.up_at = int((1 + before) * SEC), int((1 + before + down) * SEC)
        self.until = self.up_at + self.settings["warm_within"] + 5 * SEC
        self.came = []  # (when, whether by one that had been told) since the return
        self.members = [Member(self, rank) for rank in range(count)]
        weights = [
            self.random.paretovariate(1.0) if uneven else self.random.uniform(0.5, 1.5) for _ in self.members
        ]
        for member, weight in zip(self.members, weights, strict=True):
            member.rate = limit * load * weight / sum(weights)
            self.arrive(member)
        for member in self.random.sample(self.members, restarts):
            self.after(self.up_at - self.now + int(self.random.uniform(-down, 5) * SEC), member.begin)

    def struck(self):
        return self.down_at <= self.now < self.up_at

    def after(self, delay, act, *args):
        self.serial += 1
        heapq.heappush(self.events, (self.now + int(delay), self.serial, act, args))

    def arrive(self, member, come=False):
        if come:
            self.serial += 1
            member.dispatcher.now = self.now
            member.take(self.serial, self.random.randrange(3))
            member.dispatcher.decide()
        self.after(self.random.expovariate(member.rate) * SEC, self.arrive, member, True)

    def called(self, member, call, timeout):
        """A call leaves; what it meets is looked at where it comes in."""
        if timeout:
            self.after(timeout, member.end, member.begun, call, "timeout")
        self.after(TRAVEL, self.meet, member, member.begun, call)

    def meet(self, member, begun, call):
        service = int(self.random.lognormvariate(0, 0.5) * 120 * MS)
        end = (member.end, begun, call)
        if not self.struck():
            if self.now >= self.up_at:
                self.came.append((self.now, member.told))
            late = self.down_at <= self.now + service < self.up_at and self.how in ("hang", "silent")
            if not late:
                return self.after(service + TRAVEL, *end, "delivered")
        if self.how == "refused":
            self.after(TRAVEL, *end, "unreachable")
        elif self.how == "shut":
            self.after(TRAVEL, *end, "throttled", self.up_at - self.now if self.random.random() < 0.3 else 0)
        elif self.how == "hang" and self.random.random() < 0.5:  # goes on with what it still has
            self.after(self.up_at - self.now + service, *end, "delivered")

    def play(self):
        while self.events and self.events[0][0] < self.until:
            self.now, _, act, args = heapq.heappop(self.events)
            act(*args)
        return self.came

    def allowed(self, since, until):
        """What the settings allow in a window after the return, in calls."""
        get, steps = self.settings.get, 20
        start, warm, total = get("start_capacity"), get("warm_within"), 0.0
        for step in range(steps):
            age = since + (until - since) * (step + 0.5) / steps - self.up_at
            total += start + (1 - start) * min(1.0, age / warm)
        return total / steps * (until - since) / SEC * self.limit * get("overload_factor")

    def windows(self):
        """For each window of `fall_within` that ends with a call while it warms: count, of those told, N."""
        fall, first, found = self.settings["fall_within"], 0, []
        for last, (at, _) in enumerate(self.came):
            if at > self.up_at + self.settings["warm_within"]:
                break
            while self.came[first][0] <= at - fall:
                first += 1
            window = self.came[first : last + 1]
            since = max(self.up_at, at - fall)
            found.append((len(window), sum(told for _, told in window), self.allowed(since, since + fall)))
        return found

    def worst(self):
        """By how many calls the worst window passes N + 2 sqrt(N) + 2, and whether one of these falls has
        over two thirds of its calls from dispatchers that had been told of the outage."""
        rooms = [
            (count - room, count > room and told * 3 > count * 2)
            for count, told, n in self.windows()
            for room in [n + 2 * sqrt(n) + 2]
        ]
        return max((over for over, _ in rooms), default=0.0), any(broken for _, broken in rooms)


# Before the mends fell, of 20 seeds each: 20, 16, 8, 9, 4, 2, 0 and 0; with restarts 14, 18, 13 and 2.
SCENES = [
    ("many-refused", 4, {"count": 200, "limit": 60.0, "how": "refused"}),
    ("short-refused", 12, {"limit": 20.0, "how": "refused", "down": 4.0}),
    ("little-refused", 20, {"limit": 6.0, "how": "refused"}),
    ("uneven-hung", 4, {"limit": 60.0, "how": "hang", "uneven": True, "load": 1.0}),
    ("little-hung", 20, {"limit": 6.0, "how": "hang"}),
    ("little-silent", 20, {"limit": 6.0, "how": "silent"}),
    ("little-shut", 20, {"limit": 6.0, "how": "shut"}),
    (
        "twenty-refused",
        12,
        {
            "count": 20,
            "limit": 12.0,
            "how": "refused",
            "start_capacity": 0.3,
            "overload_factor": 1.5,
            "warm_within": 8 * SEC,
            "fall_within": 3 * SEC,
        },
    ),
    ("restarted-hung", 12, {"limit": 20.0, "how": "hang", "restarts": 30}),
    ("restarted-refused", 12, {"limit": 20.0, "how": "refused", "restarts": 30}),
    ("some-restarted-refused", 4, {"limit": 60.0, "how": "refused", "restarts": 15}),
    ("one-in-six-restarted", 12, {"limit": 20.0, "how": "refused", "restarts": 5}),
    ("many-little-refused", 6, {"count": 200, "limit": 12.0, "how": "refused"}),  # before: 11 of 12, 2 of 12
    ("hundred-all-its-traffic", 8, {"count": 100, "limit": 30.0, "how": "refused", "load": 1.0}),  # 2 of 8
    ("many-uneven-refused", 6, {"count": 200, "limit": 12.0, "how": "refused", "uneven": True}),
]
# What those that were told of nothing send alone comes near the bound here: the rule's own verdict is held.
# Of 12 seeds each 11, 8 and 0 broke it before a second refusal was followed by a full turn.
VERDICTS = [
    ("all-its-traffic", {"load": 1.0}),
    ("restarted", {"restarts": 60}),
    ("short", {"down": 4.0}),
]


@pytest.mark.parametrize(
    ("seeds", "scene"), [scene[1:] for scene in SCENES], ids=[name for name, *_ in SCENES]
)
def test_what_all_send_to_a_cold_endpoint_stays_within_its_budget(seeds, scene):
    over = {}
    for seed in range(seeds):
        fleet = Fleet(seed, **scene)
        assert len(fleet.play()) > 10  # it is served again
        over[seed] = fleet.worst()[0]
    assert {seed: by for seed, by in over.items() if by > 0} == {}


@pytest.mark.parametrize("scene", [scene for _, scene in VERDICTS], ids=[name for name, _ in VERDICTS])
def test_no_cold_endpoint_of_200_falls_by_those_that_were_told(scene):
    broken = []
    for seed in range(6):
        fleet = Fleet(seed, count=200, limit=12.0, how="refused", **scene)
        assert len(fleet.play()) > 10
        broken += [seed] if fleet.worst()[1] else []
    assert broken == []


def test_calls_given_up_for_their_slots_tell_of_silence_too():
    """Else who fills all slots gives each up before it is overdue, and never learns of the outage."""
    bed = Bed(may_cancel=True)
    bed.deliver()
    for _ in range(60):
        bed.take(ttl=60)
    bed.turn()
    for _ in range(80):  # 8 s
        bed.turn(0.1)
        given_up = bed.host.all("cancel")
        bed.host.asked.clear()
        for ntf, number in given_up:
            bed.end(ntf, "cancelled", after=0, number=number)
        bed.turn()
    assert bed.endpoint().ejected


@pytest.mark.parametrize(
    ("run", "down", "gone", "left"),
    [
        (2, False, 6, 8),  # one reset: back for a third of the 6 s
        (2, False, 120, 20 / 3),  # two thirds of the ramp at least, however long nothing went there
        (2, True, 6, 10),
        (3, False, 6, 10),
    ],
)  # set aside, or more outcomes: all of it
def test_a_return_that_few_outcomes_tell_of_is_taken_as_sooner(run, down, gone, left):
    """Else one lost call of one of many costs its destination the whole ramp, after its whole pause."""
    bed = Bed(dispatchers=200, start_capacity=0.25, warm_within=10 * SEC, fall_within=2 * SEC)
    endpoint, bed.dispatcher.now = bed.endpoint(), 1000 * SEC
    endpoint.failure_run, endpoint.ejected, endpoint.failing_since = (
        run,
        down,
        bed.dispatcher.now - gone * SEC,
    )
    bed.dispatcher.health.record_success(endpoint)
    assert endpoint.warming_since + 10 * SEC - bed.dispatcher.now == pytest.approx(left * SEC)
