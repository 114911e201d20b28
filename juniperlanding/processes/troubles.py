"""Troubles of several processes, by name: faults between them, and how long the views took to settle.

A trouble is a generator over a `Rig` that yields (step, groups that can reach each other).  `play` waits for
each step and keeps its time; a step that does not settle within WITHIN is a breach."""

from dataclasses import dataclass, field

import trio

from juniperlanding.processes import verdict
from juniperlanding.standins.temper import SEC

WITHIN = 30.0  # seconds that a step may take; how fast it was is a figure, not a verdict
LOSS = 0.1


@dataclass
class Outcome:
    """steps: (name, seconds or None); false_deaths: of processes that lived and were never cut off."""

    trouble: str
    count: int
    seed: str
    steps: list = field(default_factory=list)
    false_deaths: list = field(default_factory=list)
    faults: dict = field(default_factory=dict)
    notifications: int = 0
    losses: list = field(default_factory=list)

    @property
    def well(self):
        return all(took is not None for _, took in self.steps) and not (self.false_deaths or self.faults)


async def none(rig):
    yield "calm", [rig.everybody]


async def crash(rig):
    """A third by SIGKILL, then back: once with their folders, once without."""
    third = rig.drawn(max(1, rig.count // 3))
    for lost in (False, True):
        for member in third:
            await member.kill(lost)
        yield "crash", [rig.everybody - {member.name for member in third}]
        for member in third:
            member.plain = True
            await member.start()
        yield "back without folders" if lost else "back", [rig.everybody]


async def cut(rig):
    """Halves that do not reach each other."""
    half = {member.name for member in rig.drawn(rig.count // 2)}
    rig.link(half, rig.everybody - half, cut=1)
    yield "cut", [half, rig.everybody - half]
    rig.mend()
    yield "heal", [rig.everybody]


async def cut_one_way(rig):
    """One is heard by another no more, and hears it still: nobody is to die of it."""
    one, other = rig.drawn(2)
    rig.link({one.name}, {other.name}, both=False, cut=1)
    await trio.sleep(6)
    yield "cut one way", [rig.everybody]
    rig.mend()


async def island(rig):
    one = rig.drawn(1)[0].name
    rig.link({one}, rig.everybody - {one}, cut=1)
    yield "island", [{one}, rig.everybody - {one}]
    rig.mend()
    yield "back", [rig.everybody]


async def lossy(rig):
    """A tenth of all datagrams is lost, some come twice, spoilt or late; a crash meanwhile."""
    rig.link(rig.everybody, rig.everybody, loss=LOSS, twice=LOSS, spoil=LOSS / 5, jitter=0.05)
    await trio.sleep(3)
    one = rig.drawn(1)[0]
    await one.kill()
    yield "crash under loss", [rig.everybody - {one.name}]
    await one.start()
    yield "back under loss", [rig.everybody]
    rig.mend()


async def slow_peer(rig):
    """One stands still for 0.2 to 2 s, again and again: slow is not dead."""
    one = rig.drawn(1)[0]
    for _ in range(6):
        one.stop()
        await trio.sleep(rig.chance.uniform(0.2, 2.0))
        one.go_on()
        await trio.sleep(0.5)
    rig.audit.excused_until = rig.now() + 5 * SEC
    yield "slow peer", [rig.everybody]


async def rolling(rig):
    """Replaced one after the other."""
    for member in rig.members:
        await member.replace()
    yield "rolling", [rig.everybody]


async def flap(rig):
    """A cut that comes and goes, too short to settle."""
    half = {member.name for member in rig.drawn(rig.count // 2)}
    for _ in range(5):
        rig.link(half, rig.everybody - half, cut=1)
        await trio.sleep(rig.chance.uniform(0.2, 3.0))
        rig.mend()
        await trio.sleep(rig.chance.uniform(0.2, 2.0))
    yield "after flapping", [rig.everybody]


async def mixed(rig):
    """Three drawn ones, one after the other."""
    for name in rig.chance.sample(sorted(TROUBLES.keys() - {"none", "mixed", "region"}), 3):
        async for step, groups in TROUBLES[name](rig):
            yield f"{name}: {step}", groups


async def region(rig):
    """Whole sites lost, one after the other (`region.Region` is the rig of it)."""
    from juniperlanding.processes.region import region

    async for step in region(rig):
        yield step


TROUBLES = {
    "none": none,
    "crash": crash,
    "cut": cut,
    "cut-one-way": cut_one_way,
    "island": island,
    "lossy": lossy,
    "slow-peer": slow_peer,
    "rolling": rolling,
    "flap": flap,
    "mixed": mixed,
    "region": region,
}
NOBODY_DIES = {"none", "cut-one-way", "slow-peer", "rolling"}


async def play(rig, name, outcome):
    """Join, the trouble, the last ends."""
    outcome.steps.append(("join", await rig.settled([rig.everybody], rig.now(), WITHIN)))
    begun = rig.now()
    async for step, groups in TROUBLES[name](rig):
        took = await rig.settled(groups, rig.now(), WITHIN)
        outcome.steps.append((step, took and round(took, 2)))
        if took is None:
            break
    if name in NOBODY_DIES:
        outcome.false_deaths = verdict.false_deaths(rig.history, rig.everybody, begun)
    outcome.faults, outcome.notifications = await rig.ends(), len(rig.audit.records)
    outcome.losses = rig.judged()
