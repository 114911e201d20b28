"""The accord's proof: the verdict over a history, and the searches for a breach."""

import random
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from juniperlanding.emulator import accord, accord_mutants, accord_search, accord_swarm
from juniperlanding.processes import accord_verdict as verdict

AT = st.integers(0, 4)


def test_breach_needs_an_order_that_the_intervals_prove():
    newer = (10, 20, "a", 2)
    assert verdict.breaches([newer, (19, 40, "b", 1)]) == []  # may have been taken on before the newer
    assert verdict.breaches([newer, (0, 99, "b", 1)]) == []
    late = (20, 40, "b", 1)  # sent when the newer had been heard
    assert verdict.breaches([late, newer]) == [(late, newer)]
    same = (20, 20, "b", 1), (20, 20, "a", 2)  # an emulator's instants
    assert verdict.breaches(same) == [same]
    assert verdict.breaches([(5, 6, "a", 1), (7, 8, "b", 1), (9, 10, "b", 2), (12, 13, "a", 2)]) == []


def test_breaches_agree_with_every_pair_looked_at():
    chance = random.Random(7)
    for _ in range(200):
        items = []
        for _ in range(12):
            sent = chance.randrange(30)
            items.append((sent, sent + chance.randrange(8), chance.choice("abc"), chance.randrange(4)))
        slow = {item for item in items for other in items if other[1] <= item[0] and other[3] > item[3]}
        assert {older for older, _ in verdict.breaches(items)} == slow
        own = {
            item
            for item in items
            for other in items
            if other[2] == item[2] and other[1] <= item[0] and other[3] > item[3]
        }
        assert {older for older, _ in verdict.returns(items)} == own


def test_doubled_lost_and_pauses():
    assert verdict.doubled([(1, "x"), (2, "y"), (1, "x"), (2, "z")]) == {2: {"y", "z"}}
    standing = [("a", 2, "y"), ("b", 1, "x"), ("c", 2, "z"), ("d", 3, "w")]
    assert verdict.lost([(2, "y")], standing) == [(2, "y", "b"), (2, "y", "c")]
    items = [
        (0, 5, "a", 1),
        (1, 6, "b", 1),
        (8, 9, "a", 1),
        (30, 31, "a", 2),
        (10, 46, "b", 3),
        (9, 40, "a", 1),
        (50, 51, "a", 2),
    ]
    assert verdict.pauses(items) == [("a", 1, 2, 22), ("b", 1, 3, 40)]
    assert verdict.middle_and_worst([22, 40, 30]) == (30, 40)
    assert verdict.middle_and_worst([]) == (None, None)


@pytest.mark.parametrize(
    "readings, at",
    [
        ([(1, "a", 1), (2, "b", 2), (3, "a", 2), (4, "b", 2)], 3),
        ([(1, "a", 1), (2, "b", 2), (4, "b", 2)], None),  # neither everywhere nor nowhere
        ([(1, "a", 2), (2, "b", 2), (3, "b", None)], None),  # taken on nothing at the end
        ([(1, "a", 2), (2, "b", 2), (3, "b", None), (5, "b", 2), (6, "c", 1)], 5),
        ([(1, "a", 2)], None),  # one that serves was never read
    ],
)
def test_settled(readings, at):
    assert verdict.settled_at(readings, {"a", "b"}, 1) == at


class Change(RuleBasedStateMachine):
    """The whole change with licences and drift: whatever is drawn, one number at one instant."""

    @initialize(
        members=st.integers(3, 5),
        seed=st.integers(0, 99),
        loss=st.sampled_from([0.0, 0.1, 0.3]),
        ppm=st.lists(st.sampled_from([-10_000, 0, 10_000]), min_size=5, max_size=5),
    )
    def begin(self, members, seed, loss, ppm):
        names = [f"d{at}" for at in range(members)]
        self.fleet = accord.Fleet(names, 3, seed, ppm=ppm, loss=loss, double=loss)
        self.fleet.run(1500 * accord.MS)
        self.texts = 0

    def name(self, at):
        return self.fleet.names[at % len(self.fleet.names)]

    @rule(at=AT)
    def propose(self, at):
        self.texts += 1
        self.fleet.propose(self.name(at), accord.document(f"text {self.texts}"))

    @rule(span=st.sampled_from([5, 20, 60, 150, 400, 1200, 2600]))
    def wait(self, span):
        self.fleet.run(self.fleet.now + span * accord.MS)

    @rule(at=AT)
    def crash(self, at):
        self.fleet.crash(self.name(at))

    @rule(at=AT)
    def start(self, at):
        self.fleet.start(self.name(at))

    @rule(at=AT)
    def stop(self, at):
        self.fleet.stop(self.name(at))

    @rule(at=AT)
    def go_on(self, at):
        self.fleet.go_on(self.name(at))

    @rule(at=AT, other=AT)
    def cut(self, at, other):
        self.fleet.cuts.add((self.name(at), self.name(other)))

    @rule()
    def heal(self):
        self.fleet.cuts.clear()

    @rule(at=AT, fails=st.booleans())
    def disk(self, at, fails):
        self.fleet.machines[self.name(at)].disk_fails = fails

    @rule(at=AT, overlap=st.sampled_from([50, 1500]), talks=st.booleans())
    def replace(self, at, overlap, talks):
        self.fleet.replace(self.name(at), overlap * accord.MS, talks)

    @invariant()
    def sound(self):
        if hasattr(self, "fleet"):
            assert self.fleet.breaches() == []

    def teardown(self):
        if hasattr(self, "fleet"):
            accord_swarm.calm(self.fleet)
            assert accord_swarm.wait(self.fleet, accord_swarm.SETTLE) is not None
            assert self.fleet.breaches() + self.fleet.losses() == []


TestChange = Change.TestCase
TestChange.settings = settings(
    max_examples=25,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def test_swarm_finds_no_breach_and_repeats():
    for seed in range(1, 13):
        assert accord_swarm.play(accord_swarm.drawn(seed)).breaches == [], seed
    first, again = (accord_swarm.play(accord_swarm.drawn(3)).fleet for _ in range(2))
    assert (first.items, first.bytes, first.now) == (again.items, again.bytes, again.now)


@pytest.mark.parametrize(
    "mutant, seeds",
    [
        ("holders_list_forgotten", range(1, 7)),
        ("accepted_ignored_by_a_new_leader", [33]),
        ("accepted_cleared_by_a_promise", [27]),
    ],
)
def test_swarm_finds_a_defect(mutant, seeds):
    assert any(accord_swarm.tried(accord_swarm.drawn(seed), mutant).breaches for seed in seeds)


def test_search_through_orders():
    search, _, walks = accord_search.looked(2000, 1)
    assert search.breaches + walks.breaches == []
    assert search.depth > 100


def test_search_finds_a_defect():
    with accord_mutants.applied("ballots_of_all_alike"):
        search, _, walks = accord_search.looked(3000, 1)
    assert search.breaches + walks.breaches


def test_clocks_beyond_the_stated_drift_are_found():
    """The margin is no decoration: clocks that are off by more than is stated break the rule."""
    plans = [accord_swarm.drawn(seed) for seed in (12, 24, 36, 48)]
    assert not any(accord_swarm.play(plan).breaches for plan in plans)
    assert any(accord_swarm.play(replace(plan, drift=0.01)).breaches for plan in plans)
    with accord_mutants.applied("margin_dropped"):
        assert any(accord_swarm.play(plan).breaches for plan in plans)
