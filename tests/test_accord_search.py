"""The accord's proof: the verdict over a history, and the searches for a breach."""

import random

import pytest

from juniperlanding.processes import accord_verdict as verdict


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
        own = {item for item in items for other in items
               if other[2] == item[2] and other[1] <= item[0] and other[3] > item[3]}
        assert {older for older, _ in verdict.returns(items)} == own


def test_doubled_lost_and_pauses():
    assert verdict.doubled([(1, "x"), (2, "y"), (1, "x"), (2, "z")]) == {2: {"y", "z"}}
    standing = [("a", 2, "y"), ("b", 1, "x"), ("c", 2, "z"), ("d", 3, "w")]
    assert verdict.lost([(2, "y")], standing) == [(2, "y", "b"), (2, "y", "c")]
    items = [(0, 5, "a", 1), (1, 6, "b", 1), (8, 9, "a", 1), (30, 31, "a", 2), (10, 46, "b", 3)]
    assert verdict.pauses(items) == [("a", 1, 2, 22), ("b", 1, 3, 40)]
    assert verdict.middle_and_worst([22, 40, 30]) == (30, 40)
    assert verdict.middle_and_worst([]) == (None, None)


@pytest.mark.parametrize("readings, at", [
    ([(1, "a", 1), (2, "b", 2), (3, "a", 2), (4, "b", 2)], 3),
    ([(1, "a", 1), (2, "b", 2), (4, "b", 2)], None),  # neither everywhere nor nowhere
    ([(1, "a", 2), (2, "b", 2), (3, "b", None)], None),  # taken on nothing at the end
    ([(1, "a", 2), (2, "b", 2), (3, "b", None), (5, "b", 2), (6, "c", 1)], 5),
    ([(1, "a", 2)], None),  # one that serves was never read
])
def test_settled(readings, at):
    assert verdict.settled_at(readings, {"a", "b"}, 1) == at
