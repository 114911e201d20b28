"""Policy changes on real processes under faults, and the verdict over what clients and staff heard."""

import json

import pytest
import trio

from juniperlanding.processes import policy, policy_verdict
from juniperlanding.processes.policy_verdict import UNKNOWN, Change, History, Order, Poll, Proposal


def order(at, member, number, took=1):
    return Order(at, at + took, f"{member}-{at}", member, 202, number)


def poll(at, member, number, digest=None, licence=500, pid=1):
    digest = digest or f"t{number}"
    return Poll(at, at + 1, member, pid, number, digest, licence, "-", UNKNOWN, "-", UNKNOWN, "-", "-", "-")


def change(number, begun, settled, which=1, before=0, digest=None):
    digest = digest or f"t{number}"
    return Change(begun, begun + 5, settled, which, "calm", "", before, f"t{before}", number, digest)


def sound():
    """d00 and d01 go from 0 to 1, and from 1 to 2; a third text is refused."""
    at_old = [poll(at, member, 0) for at in (1, 8) for member in ("d00", "d01")]
    return History(
        orders=[order(at, member, at // 20) for at in (2, 9, 22, 30, 42, 50) for member in ("d00", "d01")],
        polls=at_old + [poll(at, member, at // 20) for at in (25, 28, 45, 55) for member in ("d00", "d01")],
        proposals=[
            Proposal(10, 11, "d00", "t1", "ACK", 1),
            Proposal(31, 32, "d01", "t2", "ACK", 2),
            Proposal(60, 61, "d01", "t9", "NAK unfit", 3),
        ],
        changes=[change(1, 10, 27), change(2, 31, 47, 2, 1), change(2, 60, 67, 3, 2)],
    )


BREACHES = {
    "two numbers at once": lambda h: h.orders.append(order(24, "d01", 0)),
    "two licences at once": lambda h: h.polls.append(poll(26, "d01", 0)),
    "returned": lambda h: h.orders.append(order(46, "d00", 1)),
    "number fell": lambda h: h.polls.append(poll(57, "d00", 1, licence=0)),
    "two texts": lambda h: h.polls.append(poll(26, "d01", 1, "other")),
    "denied": lambda h: h.changes.__setitem__(2, change(1, 60, 67, 3, 1)),
    "denied, said by a leader": lambda h: h.polls.append(
        poll(56, "d00", 2)._replace(step="decided", proposal=3, proposed="t3")
    ),
    "came back": lambda h: h.polls.append(poll(80, "d00", 3, "t9")),
    "not settled": lambda h: h.changes.__setitem__(2, change(2, 60, UNKNOWN, 3, 2)),
    "no number told": lambda h: h.orders.append(order(58, "d00", UNKNOWN)),
}


def test_a_sound_history_has_no_breach_and_each_proposal_its_fate():
    history = sound()
    # In the air while the number changed, a late answer of a process that stood still, a start that asks.
    history.orders += [order(12, "d01", 0, took=15), Order(23, 70, "d01-x", "d01", 0, UNKNOWN)]
    history.polls += [poll(48, "d01", 1, licence=0, pid=2)]
    breaches, figures = policy_verdict.judge(history)
    assert not breaches
    assert figures["fates"] == {"decided": 2, "refused": 1}
    assert figures["pauses_ms"].keys() == {"calm"} and len(figures["pauses_ms"]["calm"]) >= 4


@pytest.mark.parametrize("breach", BREACHES)
def test_each_breach_is_found(breach):
    history = sound()
    BREACHES[breach](history)
    assert breach.partition(",")[0] in policy_verdict.judge(history)[0]


@pytest.mark.parametrize(
    "number, digest, answer, fate",
    [
        (2, "t1", "ACK", "kept"),
        (2, "t7", "ACK", "lost"),
        (1, "t1", "ACK", "nowhere"),
        (1, "t1", "", "unheard"),
    ],
)
def test_what_became_of_a_text_that_nobody_took_up(number, digest, answer, fate):
    history = History(
        proposals=[Proposal(10, 11, "d00", "t9", answer, 1)],
        changes=[change(number, 10, 27, before=1, digest=digest)],
    )
    assert [found for _, found in policy_verdict.fates(history)] == [fate]


def played(tmp_path, names, count=5, seed="1", mutant=None):
    rig = policy.Policies(count, tmp_path, seed, 60.0)
    rig.mutant, outcome = mutant, policy.Outcome("short", count, seed)

    async def whole(rig):
        with trio.fail_after(100):
            await policy.play(rig, names, outcome)

    trio.run(rig.run, whole)
    return rig, outcome


def test_a_kill_a_stop_longer_than_the_licence_and_a_cut_are_met_by_one_policy(tmp_path):
    rig, outcome = played(tmp_path, ["calm", "stopped", "halves", "proposer killed", "two at once", "unfit"])
    assert not outcome.breaches, json.dumps(outcome.breaches, indent=1)
    assert not outcome.faults
    fates = [
        (rig.policies.changes[proposal.change - 1].fault, fate)
        for proposal, fate in policy_verdict.fates(rig.policies)
    ]
    assert fates[0] == ("calm", "decided") and fates[-1] == ("unfit", "refused")
    assert len(rig.policies.changes) == 6 and rig.number >= 2 and outcome.notifications > 200
    assert not [member.name for member in rig.members if "fault part=" in member.log()]
    rig.save(tmp_path / "history.sqlite")
    assert policy.kept(tmp_path / "history.sqlite") == rig.policies


def test_an_answer_that_came_while_a_process_stood_still_counts(tmp_path):
    """It lies in a socket when all times are up at once: delivered, and no notice says otherwise."""
    rig = policy.Policies(3, tmp_path, rate=20.0)

    async def scene(rig):
        assert await rig.agreed() != UNKNOWN
        for one in rig.members:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(rig.burst, rig.clients(one), 40, 0.001)
                await trio.sleep(0.035)
                one.stop()
                await trio.sleep(2.6)
                one.go_on()
            await trio.sleep(1)
        faults = await rig.ends()
        assert not faults, faults

    trio.run(rig.run, scene)


def found(folder, names, mutant):
    """Whether a play shows the defect: the first in which it has a chance to has to.

    A busy machine refuses most changes of a play, and one number alone is never two at once; so another seed
    is played then, five at most."""
    for seed in "12345":
        (folder / seed).mkdir()
        _, outcome = played(folder / seed, names, seed=seed, mutant=mutant)
        if outcome.figures["fates"].get("decided", 0) > 1:
            return "two numbers at once" in outcome.breaches
    return False


def test_a_licence_that_never_runs_out_is_found(tmp_path):
    """The verdict can fail: the same rig over a program with that defect."""
    assert found(tmp_path, ["island"] * 4, "keeps licence")


def test_a_licence_that_outlives_a_stop_is_found(tmp_path):
    assert found(tmp_path, ["stopped"] * 4, "stands still")
