"""Policy changes on real processes, under drawn faults (docs/accord.md).

`Policies` is a rig whose members have [policy] on; `FAULTS` are the ways in which one change is met.  What
clients and staff heard goes into one `History` (policy_verdict.py judges it, without I/O), which `save` keeps
as a SQLite file; `python -m juniperlanding.processes.policy FILE` judges a kept one again."""

import hashlib
import json
import shutil
import sqlite3
import sys
from contextlib import closing
from dataclasses import dataclass, field
from pathlib import Path

import trio

from juniperlanding.accord.document import HELD_BYTES
from juniperlanding.processes import accord_verdict, policy_verdict
from juniperlanding.processes.policy_verdict import (
    UNKNOWN,
    Change,
    End,
    Fault,
    History,
    Order,
    Poll,
    Proposal,
)
from juniperlanding.processes.rig import LOOK, Rig
from juniperlanding.standins.clients import TOPICS, Clients
from juniperlanding.standins.temper import MS, SEC

WITHIN = 25.0  # seconds after the last fault's end; how fast it was is a figure, not a verdict
AGREED_FOR = 300 * MS
LICENCE = 1.0  # seconds, by the members' files
SLOW = 0.03  # seconds that a datagram of the proposer takes, so that each step can be seen
STEPS = ("check", "close", "release", "accept", "decided")


class Policies(Rig):
    def __init__(self, count, folder, seed="1", rate=0.0, licence=LICENCE):
        super().__init__(count, folder, seed, rate)
        self.voters, self.licence = self.members[: 3 if count < 7 else 5], licence
        self.policies, self.change, self.struck, self.down = History(), 0, set(), set()
        self.members[-1].memory = "120MB"  # the others have 128: a text can be too much for it alone
        self.told, self.serial, self.number, self.digest = self.answered, 0, 0, ""

    # ---- what the members' files say

    def more_of_file(self):
        voters = [f"{voter.name}@127.0.0.1:{voter.port}" for voter in self.voters]
        return (
            f'[policy]\nenabled = true\nvoters = {json.dumps(voters)}\nfolder = "policies"\n'
            f'licence = "{int(self.licence * 1000)}ms"\n'
        )

    def document(self, held=None):
        """A drawn text that nobody proposed before; `held`: most_held."""
        self.serial += 1
        held = held or self.chance.randrange(1500, 3000)
        return f"# {self.seed}/{self.serial}\n[holding]\nmost_held = {held}\n" + "".join(
            f'[[topic]]\nname = "{topic.name}"\nkind = "{topic.kind}"\n'
            f'objective = "{topic.objective // MS + self.chance.randrange(200)}ms"\n'
            f'ttl = "{topic.ttl // MS}ms"\n'
            f"benefit = {self.chance.uniform(0.5, 4):.2f}\n"
            + (f'window = "{topic.window // MS}ms"\n' if topic.window else "")
            for topic in TOPICS
        )

    # ---- the history

    def answered(self, ntf_id, sent_at, heard_at, status, number):
        number = UNKNOWN if number is None else int(number)
        member = ntf_id.partition("-")[0]
        self.policies.orders.append(Order(sent_at, heard_at, ntf_id, member, status, number))

    def note(self, word, *members):
        names = [member.name for member in members]
        self.struck.update(names)
        self.policies.faults.append(Fault(self.now(), word, ",".join(names)))

    async def poll(self, member):
        """What POLICY says at a member now, as a row of the history; None without an answer."""
        sent_at, running = self.now(), member.running
        said = await member.ask("POLICY")
        if not said or not said.startswith("ACK") or member.running is not running:
            return None
        rows = [dict(word.partition("=")[::2] for word in line.split(" ")) for line in said.splitlines()[1:4]]
        standing, proposal, last = rows
        poll = Poll(
            sent_at,
            self.now(),
            member.name,
            running.pid,
            whole(standing["number"]),
            standing["digest"],
            thousandths(standing["licence"]),
            standing["step"],
            whole(proposal["proposal"]),
            proposal["digest"],
            whole(last["last"]),
            last["outcome"],
            last["by"],
            last["why"],
        )
        self.policies.polls.append(poll)
        return poll

    async def watch(self):
        async with trio.open_nursery() as nursery:
            for member in self.members:
                nursery.start_soon(self.follow, member)

    async def follow(self, member):
        while True:
            if member.alive and not member.stopped:
                await self.poll(member)
            await trio.sleep(LOOK)

    def agreed_at(self, since):
        """When all members came to stand under one number with a licence, and nothing was under way."""
        polls = [poll for poll in self.policies.polls if poll.sent_at >= since]
        last = {poll.member: poll for poll in polls}
        if any(poll.proposal != UNKNOWN or poll.step != "-" for poll in last.values()):
            return None
        return accord_verdict.settled_at(policy_verdict.readings(polls), self.everybody, since)

    async def agreed(self, within=WITHIN):
        """(when all agreed and went on agreeing, or UNKNOWN)."""
        since = self.now()
        while self.now() < since + int(within * SEC):
            at = self.agreed_at(since)
            if at is not None and self.now() - at > AGREED_FOR:
                poll = self.policies.polls[-1]
                self.number, self.digest = poll.number, poll.digest
                return at
            await trio.sleep(LOOK / 2)
        return UNKNOWN

    # ---- what a change and its faults are made of

    async def propose(self, member, document=None):
        """PROPOSE at a member's door; its answer's first line, "" if none came."""
        data = (document or self.document()).encode()
        digest, name = hashlib.blake2b(data, digest_size=16).hexdigest(), f"c{self.serial:04}.toml"
        (member.folder / "policies").mkdir(exist_ok=True)
        (member.folder / "policies" / name).write_bytes(data)
        sent_at = self.now()
        said = await member.ask(f"PROPOSE {name}") or ""
        answer = said.splitlines()[0] if said else ""
        proposal = Proposal(sent_at, self.now(), member.name, digest, answer, self.change)
        self.policies.proposals.append(proposal)
        return answer

    async def until_step(self, member, steps, within=4.0):
        """Ask a member until its change is at one of some steps, or over; the step."""
        seen, begun = False, self.now()
        while (poll := await self.poll(member)) and self.now() < begun + within * SEC:
            if poll.step in steps:
                return poll.step
            if poll.step == "-" and (seen or self.now() > begun + SEC // 2):
                return "-"
            seen = seen or poll.step != "-"
            await trio.sleep(0.004)
        return "-"

    def minority(self, members):
        """Of some members, such that most voters remain."""
        kept, most = [], (len(self.voters) - 1) // 2
        for member in members:
            voters = sum(one in self.voters for one in kept)
            if member not in self.voters or voters < most:
                kept.append(member)
        return kept

    async def kill(self, *members, folder="kept"):
        """SIGKILL at one moment; the folder is kept, lost, or older: all but the ledger as it was before."""
        self.note(f"kill, folder {folder}", *members)
        for member in members:
            self.down.add(member)
            member.running.kill()
        killed_at = self.now()
        self.audit.excused_until = max(self.audit.excused_until, self.now() + 10 * SEC)
        for member in members:
            await member.running.wait()
            self.killed(member, folder == "lost", killed_at)
            state, older = member.folder / "state", member.folder / "older"
            for path in state.iterdir() if folder == "lost" else ():
                path.unlink()
            for path in older.iterdir() if folder == "older" and older.exists() else ():
                shutil.copy(path, state / path.name)

    async def revive(self):
        for member in self.members:
            if member.stopped:
                member.go_on()
            if not member.alive:
                if member not in self.down:
                    raise RuntimeError(f"{member.name} ended by itself: {member.log()[-400:]}")
                self.down.discard(member)
                await member.start()

    def remember(self):
        """Copies of what members have on disk beside their ledgers, some changes old when put back."""
        for member in self.members:
            if self.chance.random() < 0.3:
                older = member.folder / "older"
                older.mkdir(exist_ok=True)
                for path in (member.folder / "state").iterdir():
                    if path.is_file() and not path.name.startswith(("ledger", "lock")):
                        shutil.copy(path, older / path.name)

    def clients(self, member, patience=0.4):
        self.serial += 1
        return Clients(
            ("127.0.0.1", member.listen),
            self.audit,
            self.now,
            f"{member.name}-b{self.serial}-{self.seed}",
            patience,
            self.told,
        )

    async def burst(self, clients, count, gap):
        """Orders at a stated pace beside the flow."""
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(self.order, clients)
                await trio.sleep(gap)

    async def order(self, clients):
        clients.count += 1
        await clients.submit(f"{clients.run_name}-{clients.count}", TOPICS[0], 1, 60)

    async def thick(self, seconds=0.8):
        """A denser flow to all for a moment, to see pauses by."""
        gap = 0.02 * max(1, self.count / 5)
        async with trio.open_nursery() as nursery:
            for member in self.members:
                nursery.start_soon(self.burst, self.clients(member), int(seconds / gap), gap)

    def cut(self, one, other, both=True):
        self.note("cut" if both else "cut one way", *one)
        names = [{member.name for member in side} for side in (one, other)]
        self.link(*names, both=both, cut=1)

    def halves(self):
        """Two halves at random, the one with fewer voters first: it is the one that is cut off."""
        order = self.drawn(self.count)
        return sorted(
            (order[: self.count // 2], order[self.count // 2 :]),
            key=lambda half: sum(member in self.voters for member in half),
        )

    async def play(self, name):
        """One change under one fault; whether all agreed within WITHIN of its end."""
        self.change += 1
        self.struck, begun = set(), self.now()
        before, before_digest = self.number, self.digest
        self.remember()
        await FAULTS[name](self)
        self.mend()
        await self.revive()
        self.audit.excused_until = max(self.audit.excused_until, self.now() + 5 * SEC * bool(self.struck))
        mended = self.now()
        settled = await self.agreed()
        self.policies.changes.append(
            Change(
                begun,
                mended,
                settled,
                self.change,
                name,
                ",".join(sorted(self.struck)),
                before,
                before_digest,
                self.number,
                self.digest,
            )
        )
        return settled != UNKNOWN

    def save(self, path):
        """The history as one SQLite file, a table for each kind of row."""
        Path(path).unlink(missing_ok=True)
        with closing(sqlite3.connect(path)) as base, base:
            for table, row in policy_verdict.TABLES.items():
                base.execute(f"create table {table} ({', '.join(row._fields)})")
                marks = ", ".join("?" * len(row._fields))
                base.executemany(f"insert into {table} values ({marks})", getattr(self.policies, table))


def kept(path):
    """The history of a file that `save` made."""
    with closing(sqlite3.connect(path)) as base:
        return History(
            **{
                table: [row(*found) for found in base.execute(f"select * from {table}")]
                for table, row in policy_verdict.TABLES.items()
            }
        )


def whole(text):
    return UNKNOWN if text == "-" else int(text)


def thousandths(text):
    return 0 if text == "-" else int(float(text) * 1000)


# ---- the ways in which one change is met: each proposes, plays its fault and leaves the mending to `play`


async def calm(rig):
    """All up and in reach."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(rig.thick)
        await trio.sleep(0.2)
        await rig.propose(rig.drawn(1)[0])


async def lossy(rig):
    """A tenth of all datagrams lost, as many twice, some late: agreed under it."""
    rig.note("loss")
    rig.link(rig.everybody, rig.everybody, loss=0.1, twice=0.1, jitter=0.05)
    await trio.sleep(rig.chance.uniform(0, rig.licence))
    await rig.propose(rig.drawn(1)[0])
    await rig.agreed()


async def two_at_once(rig):
    async with trio.open_nursery() as nursery:
        for member in rig.drawn(2):
            nursery.start_soon(rig.propose, member)


async def unfit(rig):
    """A text that one member cannot take, for want of memory."""
    await rig.propose(rig.drawn(1)[0], rig.document(held=124_000_000 // HELD_BYTES))


async def stopped(rig):
    """One stands still for longer than its licence; clients send to it before, and the moment it goes on."""
    one, proposer = rig.drawn(2)
    clients = rig.clients(one, patience=3.0)
    await rig.burst(clients, 5, 0.01)
    rig.note("stop", one)
    one.stop()
    await trio.sleep(rig.chance.uniform(0, rig.licence / 2))
    async with trio.open_nursery() as nursery:
        await rig.propose(proposer)
        # Until the change is through without it; a little more or less at random.
        await trio.sleep(rig.licence * rig.chance.uniform(1.5, 2.5))
        nursery.start_soon(rig.burst, clients, 30, 0.004)
        await trio.sleep(0.06)
        one.go_on()
        rig.note("go on", one)


async def stopped_early(rig):
    """One stands still for less than its licence, in the middle of a change."""
    one, proposer = rig.drawn(2)
    rig.note("stop", one)
    one.stop()
    await rig.propose(proposer)
    await trio.sleep(rig.licence * rig.chance.uniform(0.2, 0.9))


async def halves(rig):
    """Neither half reaches the other; proposed in the one, the other, or both at once."""
    one, other = rig.halves()
    rig.cut(one, other)
    await trio.sleep(rig.chance.choice((0, 0.5, 1.5)) * rig.licence)
    async with trio.open_nursery() as nursery:
        for side in rig.chance.choice(((one,), (other,), (one, other))):
            nursery.start_soon(rig.propose, rig.chance.choice(side))
    await trio.sleep(rig.licence * rig.chance.uniform(1, 4))


async def cut_in_flight(rig):
    """The cut comes while the change is under way."""
    one, other = rig.halves()
    proposer = rig.drawn(1)[0]
    rig.link({proposer.name}, rig.everybody, delay=SLOW)
    await rig.propose(proposer)
    await rig.until_step(proposer, (rig.chance.choice(STEPS),))
    rig.cut(one, other)
    await trio.sleep(rig.licence * rig.chance.uniform(0.5, 4))


async def island(rig):
    """One cut off, still reached by its clients; proposed at it, or at another."""
    one, other = rig.drawn(2)
    rig.cut([one], [member for member in rig.members if member is not one])
    await rig.propose(rig.chance.choice((one, other)))
    await trio.sleep(rig.licence * rig.chance.uniform(1.2, 3))
    await rig.burst(rig.clients(one), 10, 0.01)


async def one_way(rig):
    """Some are heard, and hear nothing; or hear, and are not heard."""
    some = rig.drawn(rig.chance.choice((1, 2)))
    others = [member for member in rig.members if member not in some]
    rig.cut(*rig.chance.choice(((some, others), (others, some))), both=False)
    rig.struck.update(member.name for member in some)
    await rig.propose(rig.drawn(1)[0])
    await trio.sleep(rig.licence * rig.chance.uniform(1, 3))


async def replaced(rig):
    """One is replaced in the middle of a change, perhaps the proposer."""
    one = rig.drawn(1)[0]
    rig.note("replace", one)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(one.replace)
        await trio.sleep(rig.chance.uniform(0, 0.6))
        await rig.propose(rig.drawn(1)[0])


async def killed(rig):
    """SIGKILL of some, before or after a change is proposed; folders kept, older or lost."""
    some = rig.minority(rig.drawn(rig.chance.choice((1, 1, 2))))
    folder = rig.chance.choice(("kept", "older", "lost"))
    proposer = rig.chance.choice([member for member in rig.members if member not in some])
    first = rig.chance.random() < 0.5
    if first:
        await rig.kill(*some, folder=folder)
    await rig.propose(proposer)
    await trio.sleep(rig.chance.uniform(0, 0.05))
    if not first:
        await rig.kill(*some, folder=folder)
    await trio.sleep(rig.chance.choice((0, rig.licence * rig.chance.uniform(0.5, 2.5))))


async def proposer_killed(rig):
    """SIGKILL of the proposer at a drawn step, every other time with a voter."""
    proposer, step = rig.drawn(1)[0], rig.chance.choice(STEPS)
    rig.link({proposer.name}, rig.everybody, delay=SLOW)
    await rig.propose(proposer)
    await rig.until_step(proposer, (step,))
    with_it = [rig.chance.choice(rig.voters)] if rig.chance.random() < 0.5 else []
    some = rig.minority(dict.fromkeys([proposer, *with_it]))
    await rig.kill(*some, folder=rig.chance.choice(("kept", "kept", "older")))
    await trio.sleep(rig.licence * rig.chance.uniform(0, 4))


async def all_killed(rig):
    """Everybody at once, most often between the decision and its news."""
    proposer = rig.drawn(1)[0]
    rig.link({proposer.name}, rig.everybody, delay=SLOW)
    await rig.propose(proposer)
    await rig.until_step(proposer, (rig.chance.choice(("accept", "decided", "decided", "decided")),))
    await rig.kill(*rig.members)
    await trio.sleep(rig.chance.uniform(0, 0.5))


async def voters_killed(rig):
    """Most voters are gone for a while: nobody takes on work, and nothing is decided, until they are back."""
    some = rig.chance.sample(rig.voters, len(rig.voters) // 2 + 1)
    proposer = rig.chance.choice([member for member in rig.members if member not in some])
    await rig.propose(proposer)
    await rig.kill(*some)
    await trio.sleep(rig.licence * rig.chance.uniform(0.5, 3))


FAULTS = {
    "calm": calm,
    "lossy": lossy,
    "two at once": two_at_once,
    "unfit": unfit,
    "stopped": stopped,
    "stopped early": stopped_early,
    "halves": halves,
    "cut in flight": cut_in_flight,
    "island": island,
    "one way": one_way,
    "replaced": replaced,
    "killed": killed,
    "proposer killed": proposer_killed,
    "all killed": all_killed,
    "voters killed": voters_killed,
}
TROUBLES = {
    "policy": ("calm", "calm", "lossy", "two at once", "unfit", "stopped", "stopped early", "replaced"),
    "policy-cut": ("halves", "cut in flight", "island", "one way", "stopped"),
    "policy-kill": ("killed", "proposer killed", "proposer killed", "all killed", "voters killed"),
    "policy-mixed": tuple(FAULTS),
}


@dataclass
class Outcome:
    trouble: str
    count: int
    seed: str
    breaches: dict = field(default_factory=dict)
    figures: dict = field(default_factory=dict)
    faults: dict = field(default_factory=dict)
    notifications: int = 0

    @property
    def well(self):
        return not self.breaches and not self.faults


async def play(rig, names, outcome, tell=lambda line: None):
    """Join, one change for each name of a fault, the last ends; a change that does not settle ends it."""
    if await rig.agreed() == UNKNOWN:
        raise RuntimeError("the members did not come to hold a licence")
    for name in names:
        begun = rig.now()
        well = await rig.play(name)
        tell(
            f"change {rig.change:3} {name:<16} number {rig.number:3} "
            f"{'settled' if well else 'NOT SETTLED'} {(rig.now() - begun) / SEC:5.1f} s"
        )
        if not well:
            break
    with trio.move_on_after(max(0.0, (rig.audit.excused_until - rig.now()) / SEC)):
        while rig.audit.open():
            await trio.sleep(0.05)
    outcome.faults, outcome.notifications = await rig.ends(), len(rig.audit.records)
    rig.policies.ends = [
        End(
            one.id,
            one.kind,
            one.handed_at,
            one.ttl,
            one.delivered_at,
            one.ran,
            one.pushes,
            one.outcome(),
            ",".join(f"{word}@{at}" for word, at in one.notices),
        )
        for one in rig.audit.records.values()
    ]
    outcome.breaches, outcome.figures = policy_verdict.judge(rig.policies)


if __name__ == "__main__":
    for path in sys.argv[1:]:
        print(path, json.dumps(policy_verdict.judge(kept(path)), indent=1))
