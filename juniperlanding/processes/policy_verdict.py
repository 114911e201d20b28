"""What a history of policy changes on real processes shows, without I/O.

All times are nanoseconds of the machine's one steady clock.  Nothing that a member says of its own time
counts: an order, or a call at the door, lies somewhere between its sending and its answer."""

from collections import Counter, namedtuple
from dataclasses import dataclass, field

from juniperlanding.processes import accord_verdict

TAKEN_ON = 202
UNKNOWN = -1  # no number, or no time
Order = namedtuple("Order", "sent_at heard_at id member status number")  # status 0: no answer
Poll = namedtuple(
    "Poll", "sent_at heard_at member pid number digest licence_ms step proposal proposed last outcome by why"
)  # last: the number that the outcome is of
Proposal = namedtuple("Proposal", "sent_at heard_at member digest answer change")  # answer "": none came
Fault = namedtuple("Fault", "at word who")
# What became of a notification, as the audit saw it; notices as "given_up@12,..." with their times.
End = namedtuple("End", "id kind handed_at ttl delivered_at ran pushes outcome notices")
# From the beginning of a change until all that serve agree again; `struck`: who was killed, stopped, cut off
# or replaced, as "d01,d02".  mended_at: the last fault's end.  settled_at is UNKNOWN if they did not agree.
Change = namedtuple(
    "Change", "begun_at mended_at settled_at change fault struck before before_digest number digest"
)
AFTER = 500_000_000  # so long after all agreed, the outcome still stands at the door
TABLES = {
    "orders": Order,
    "polls": Poll,
    "proposals": Proposal,
    "faults": Fault,
    "changes": Change,
    "ends": End,
}


@dataclass
class History:
    """Rows of each kind, as the SQLite file has them (policy.py)."""

    orders: list = field(default_factory=list)
    polls: list = field(default_factory=list)
    proposals: list = field(default_factory=list)
    faults: list = field(default_factory=list)
    changes: list = field(default_factory=list)
    ends: list = field(default_factory=list)


def taken(history):
    """Items (accord_verdict.py) of all orders taken on under a number."""
    return [
        (order.sent_at, order.heard_at, order.member, order.number)
        for order in history.orders
        if order.status == TAKEN_ON and order.number != UNKNOWN
    ]


def held(history):
    """Items of all calls at the door that told of a licence."""
    return [
        (poll.sent_at, poll.heard_at, poll.member, poll.number)
        for poll in history.polls
        if poll.licence_ms > 0 and poll.number != UNKNOWN
    ]


def readings(polls):
    """(sent_at, member, (number, digest)), None in place of the pair without a licence."""
    return [
        (poll.sent_at, poll.member, (poll.number, poll.digest) if poll.licence_ms > 0 else None)
        for poll in polls
    ]


def fell(history):
    """[(earlier, later)]: polls of one process whose number fell, with a licence or without."""
    highest, found = {}, []
    for poll in sorted(history.polls):
        before = highest.get((poll.member, poll.pid))
        if before and poll.number < before.number:
            found += [(before, poll)] * (poll.sent_at >= before.heard_at)
        else:
            highest[poll.member, poll.pid] = poll
    return found


def ghosts(history, fated):
    """Proposals that were nowhere when all agreed, and yet came into force later."""
    first = {}
    for poll in sorted(history.polls):
        first.setdefault(poll.digest, poll)
    settled = {change.change: change.settled_at for change in history.changes}
    return [
        (proposal, first[proposal.digest])
        for proposal, fate in fated
        if fate in ("refused", "nowhere", "kept", "lost", "unheard")
        and proposal.digest in first
        and first[proposal.digest].sent_at > settled[proposal.change]
    ]


def fates(history):
    """[(proposal, fate)].  decided: its text stands under a number; refused: at the door or by a member;
    kept, lost: its number stands with the text before, or another's; nowhere: taken back before anything was
    closed; unheard: the door did not answer; unsettled: not all agree."""
    changes, found = {change.change: change for change in history.changes}, []
    for proposal in history.proposals:
        change = changes.get(proposal.change)
        if not change or change.settled_at == UNKNOWN:
            fate = "unsettled"
        elif proposal.digest in {
            poll.digest
            for poll in history.polls
            if poll.number > change.before and change.begun_at <= poll.sent_at <= change.settled_at + 1
        }:
            fate = "decided"
        elif proposal.answer.startswith("NAK"):
            fate = "refused"
        elif (proposal.member, change.before + 1) in {
            (poll.member, poll.last)
            for poll in history.polls
            if poll.outcome == "refused" and proposal.sent_at < poll.sent_at < change.settled_at + AFTER
        }:
            fate = "refused"
        elif change.number == change.before:
            fate = "nowhere" if proposal.answer else "unheard"
        else:
            fate = "kept" if change.digest == change.before_digest else "lost"
        found.append((proposal, fate))
    return found


def denied(history):
    """Decided numbers, by what was in force or a leader said, that members deny when they had settled."""
    found = []
    for change in history.changes:
        if change.settled_at != UNKNOWN:
            told = [
                (poll.number, poll.digest)
                for poll in history.polls
                if poll.sent_at <= change.settled_at and poll.number > 0
            ]
            told += [
                (poll.proposal, poll.proposed)
                for poll in history.polls
                if poll.sent_at <= change.settled_at and poll.step == "decided"
            ]
            found += accord_verdict.lost(told, [("all", change.number, change.digest)])
    return found


def pauses(history):
    """{fault: [ns]}: how long members that were not struck themselves took on nothing around a change."""
    by_number = {change.number: change for change in history.changes if change.number > change.before}
    found = {}
    for member, _, newer, span in accord_verdict.pauses(taken(history)):
        change = by_number.get(newer)
        if change and member not in change.struck.split(","):
            found.setdefault(change.fault, []).append(span)
    return found


def judge(history):
    """{breach: what shows it, as words}, and figures.  Breaches: two numbers at once, by what clients were
    told and by licences; a return; a number with two texts; a decided number denied; a text that came back;
    a change that was neither everywhere nor nowhere; an answer without a number."""
    fated = fates(history)
    both = taken(history) + held(history)
    found = {
        "two numbers at once": accord_verdict.breaches(taken(history)),
        "two licences at once": accord_verdict.breaches(both),
        "returned": accord_verdict.returns(both),
        "number fell": fell(history),
        "two texts": list(
            accord_verdict.doubled(
                (poll.number, poll.digest) for poll in history.polls if poll.number > 0
            ).items()
        ),
        "denied": denied(history),
        "came back": ghosts(history, fated),
        "not settled": [change for change in history.changes if change.settled_at == UNKNOWN],
        "no number told": [
            order for order in history.orders if order.status == TAKEN_ON and order.number == UNKNOWN
        ],
    }
    spans = pauses(history)
    settled = [change.settled_at - change.mended_at for change in history.changes if change.settled_at > 0]
    figures = {
        "proposals": len(history.proposals),
        "fates": dict(Counter(fate for _, fate in fated)),
        "faults": dict(Counter(change.fault for change in history.changes)),
        "why_refused": dict(
            Counter(proposal.answer or "-" for proposal, fate in fated if fate == "refused").most_common(5)
        ),
        "orders": len(history.orders),
        "taken_on": len(taken(history)),
        "polls": len(history.polls),
        "settled_ms": [ns // 1_000_000 for ns in accord_verdict.middle_and_worst(settled) if ns is not None],
        "pauses_ms": {
            fault: sorted(ns // 1_000_000 for ns in all_of_it) for fault, all_of_it in sorted(spans.items())
        },
    }
    return {
        name: [str(one) for one in all_of_it[:5]] + [f"{len(all_of_it)} in all"]
        for name, all_of_it in found.items()
        if all_of_it
    }, figures
