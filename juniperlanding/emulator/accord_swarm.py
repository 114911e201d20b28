"""Many runs of drawn fault mixes over the emulated fleet of the accord; a breach is cut down before it is
told.

A run is a `Plan`, drawn from its seed, and repeats exactly: `python -m juniperlanding.emulator.accord_swarm
RUNS [SEED [PROCESSES [MUTANT]]]`.  Faults gather around proposals, where the record is in motion.

A folder put back to an older copy, or emptied, is drawn for one voter at a time and never beside another
fault: the program does not claim to bear an older copy while all who heard of the newer are gone."""

import multiprocessing
import sys
from collections import Counter
from dataclasses import dataclass, replace
from random import Random

from juniperlanding.accord.accord import Tuning
from juniperlanding.emulator import accord_mutants
from juniperlanding.emulator.accord import MS, QUICK, SEC, US, Fleet, document, read
from juniperlanding.processes.accord_verdict import middle_and_worst, pauses

QUICK_LINKS = (100 * US, 2 * MS)
STEPS = ("check", "close", "release", "accept")
SETTLE = 8 * SEC  # after the last fault a change is everywhere or nowhere within this, or the run is broken
LAST_CHANGE = 4 * SEC  # a change proposed when all is quiet is in force everywhere within this
MOST_TRIES = 80  # runs that cutting down one breach may take


@dataclass(frozen=True)
class Plan:
    """faults: (at, kind, *rest), proposals: (at, name, document); times in ns from the start."""

    seed: int
    members: tuple
    voters: int
    ppm: tuple
    loss: float
    double: float
    late: float
    wrong_view: float
    delay: tuple
    disk: tuple
    drift: float
    faults: tuple
    proposals: tuple


@dataclass
class Outcome:
    breaches: list
    changes: int = 0
    settled: int | None = None  # ns from the last fault until all that serve held one number
    last_change: int | None = None
    pauses: list = ()
    outcomes: Counter = None
    fleet: Fleet = None


def drawn(seed, most=15):
    """Every second run is a small fleet in a storm: slow links and disks make the gaps wide in which two
    leaders, or a crash, may meet."""
    chance = Random(seed * 7919 + 1)
    if seed % 12 == 0:
        return edge(seed, chance)
    if seed % 6 == 3:
        return duel(seed, chance)
    small = chance.random() < 0.5
    voters = 3 if small else chance.choice((3, 3, 5, 5, 7))
    members = tuple(
        f"d{at:02}"
        for at in range(
            chance.randint(3, 5)
            if small
            else chance.randint(voters, max(voters, chance.choice((6, 9, most))))
        )
    )
    drift = chance.choice((0.01, 0.2))
    ppm = tuple(chance.choice((chance.randint(-990, 990), -990, 990, 0)) * int(drift * 1000) for _ in members)
    proposals = []
    for turn in range(chance.randint(1, 5)):
        at = chance.randint(1200 * MS, 9 * SEC)
        proposals.append((at, chance.choice(members), text(turn, members, voters, chance)))
        while chance.random() < 0.5:  # two at once, or nearly
            proposals.append(
                (
                    at + chance.randrange(600 * MS),
                    chance.choice(members),
                    text(len(proposals) + 100, members, voters, chance),
                )
            )
    copies = chance.random() < 0.2
    faults = []
    for _ in range(1 if copies else chance.randint(0, 14 if small else 8)):
        at = chance.choice(proposals)[0] + chance.randint(-300 * MS, 1800 * MS)
        if chance.random() < 0.2:
            at = chance.randint(500 * MS, 10 * SEC)
        faults.append((at, *fault(members, voters, chance, copies)))
    slow = not copies and chance.random() < 0.5
    delay = chance.choice(((MS, 60 * MS), (MS, 300 * MS), (50 * MS, 90 * MS))) if slow else QUICK_LINKS
    disk = (MS, 250 * MS) if not copies and chance.random() < 0.25 else (50 * US, 3 * MS)
    return Plan(
        seed,
        members,
        voters,
        ppm,
        chance.choice((0.0, 0.02, 0.1, 0.3)),
        chance.choice((0.0, 0.1, 0.3)),
        0.0 if copies else chance.choice((0.0, 0.02, 0.1)),
        chance.choice((0.0, 0.0, 0.5, 1.0)),
        delay,
        disk,
        drift,
        tuple(sorted(faults)),
        tuple(sorted(proposals)),
    )


def edge(seed, chance, drift=0.2):
    """The clocks as far apart as they may be: who is cut off has a slow one, voters and leader fast ones."""
    members = "d00", "d01", "d02", "d03"
    at, ppm = chance.randint(3 * SEC, 4 * SEC), int(drift * 1_000_000)
    proposals = ((at + chance.randint(100 * MS, 900 * MS), "d00", document("edge")),)
    return Plan(
        seed,
        members,
        3,
        (ppm, ppm, ppm, -ppm),
        0.0,
        0.0,
        0.0,
        0.0,
        QUICK_LINKS,
        (50 * US, 3 * MS),
        drift,
        ((at, "cut", ("d03",), "both", 3 * SEC),),
        proposals,
    )


def duel(seed, chance):
    """A leader is heard no more, or dies, around its accept, and the next ones find what it left."""
    members = tuple(f"d{at:02}" for at in range(chance.randint(3, 5)))
    proposals, faults = [], []
    for turn in range(3):
        at = 1500 * MS + turn * 2500 * MS
        proposals.append((at, chance.choice(members), document(f"duel {turn}")))
        for step in ("accept", chance.choice(STEPS)):
            after = chance.randrange(chance.choice((2 * MS, 8 * MS, 60 * MS)))
            rest = (step, after, chance.randint(700 * MS, 1900 * MS))
            mute = chance.random() < 0.6
            faults.append((at, "mute_at", *rest, "mute") if mute else (at, "crash_at", *rest))
        if chance.random() < 0.5:
            side = (chance.choice(members),)
            way = chance.choice(("both", "out", "in"))
            faults.append(
                (at + chance.randint(0, 400 * MS), "cut", side, way, chance.randint(300 * MS, 1500 * MS))
            )
    return Plan(
        seed,
        members,
        3,
        (0,) * len(members),
        chance.choice((0.0, 0.3)),
        0.1,
        chance.choice((0.0, 0.2)),
        0.0,
        chance.choice((QUICK_LINKS, (MS, 30 * MS))),
        (50 * US, 3 * MS),
        0.01,
        tuple(sorted(faults)),
        tuple(proposals),
    )


def text(turn, members, voters, chance):
    others, lot = members[voters:], chance.random()
    roster = ()
    if others and lot < 0.15:
        out = chance.choice(others)
        roster = [name for name in members if name != out]
    refuser = chance.choice(members) if 0.15 <= lot < 0.25 else ""
    again = 0.25 <= lot < 0.35  # an older text under a new number
    return document("again" if again else f"text {turn}", roster, refuser, chance.choice((0, 0, 0, 2500)))


def fault(members, voters, chance, copies):
    name = chance.choice(members if chance.random() < 0.5 else members[:voters])
    span = int(10 ** chance.uniform(6.5, 9.5))  # 3 ms to 3 s
    if copies:
        return "crash", members[chance.randrange(voters)], span, chance.choice(("older", "none"))
    kind = chance.choice(
        (
            "crash",
            "crash",
            "crash_all",
            "stop",
            "stop",
            "cut",
            "cut",
            "cut",
            "disk",
            "replace",
            "crash_at",
            "crash_at",
            "mute_at",
            "storm",
        )
    )
    if kind == "crash":
        return kind, name, span, "written"
    if kind == "cut":
        side = tuple(sorted(chance.sample(members, chance.randint(1, max(1, len(members) // 2)))))
        return kind, side, chance.choice(("both", "both", "out", "in")), span
    if kind == "replace":
        return kind, name, span, chance.random() < 0.5
    if kind == "crash_at":
        return kind, chance.choice(STEPS), chance.randrange(30 * MS), span
    if kind == "mute_at":
        return kind, chance.choice(STEPS), chance.randrange(30 * MS), span, "mute"
    return (kind, span) if kind in ("crash_all", "storm") else (kind, name, span)


def put(fleet, plan, kind, *rest):
    """Make one fault happen now, and its end later."""
    if kind == "crash":
        name, span, copy = rest
        fleet.crash(name)
        fleet.after(span, fleet.start, name, copy)
    elif kind == "crash_all":
        for name in fleet.names:
            fleet.crash(name)
            fleet.after(fleet.chance.randrange(rest[0]) + MS, fleet.start, name)
    elif kind == "stop":
        fleet.stop(rest[0])
        fleet.after(rest[1], fleet.go_on, rest[0])
    elif kind == "cut":
        side, way, span = rest
        across = [(a, b) for a in fleet.names for b in fleet.names if (a in side) != (b in side)]
        pairs = {(a, b) for a, b in across if way == "both" or (a in side) == (way == "out")}
        fleet.cuts |= pairs
        fleet.after(span, fleet.cuts.difference_update, pairs)
    elif kind == "disk":
        fleet.machines[rest[0]].disk_fails = True
        fleet.after(rest[1], setattr, fleet.machines[rest[0]], "disk_fails", False)
    elif kind == "replace":
        fleet.replace(*rest)
    elif kind in ("crash_at", "mute_at"):
        fleet.armed.append(rest)
    elif kind == "storm":
        fleet.loss = 0.6
        fleet.after(rest[0], setattr, fleet, "loss", plan.loss)


def calm(fleet):
    """The last fault is over: everybody runs, reaches everybody, and writes."""
    fleet.armed.clear()
    fleet.cuts.clear()
    fleet.late, fleet.delay, fleet.disk = 0.0, QUICK_LINKS, (50 * US, 3 * MS)
    fleet.loss = min(fleet.loss, 0.1)
    for machine in fleet.machines.values():
        machine.disk_fails = False
        fleet.go_on(machine.name)
        if machine.older:
            fleet.end_older(machine.older)
        fleet.start(machine.name)


def set_up(plan):
    fleet = Fleet(
        plan.members,
        plan.voters,
        plan.seed,
        Tuning(**QUICK, drift=plan.drift),
        plan.ppm,
        plan.loss,
        plan.double,
        plan.delay,
        plan.late,
        plan.wrong_view,
        plan.disk,
    )
    for at, name, data in plan.proposals:
        fleet.after(at, fleet.propose, name, data)
    for at, *rest in plan.faults:
        fleet.after(at, put, fleet, plan, *rest)
    return fleet


def play(plan):
    """One run: faults, calm, everywhere or nowhere within SETTLE, and then one more change that must pass."""
    fleet = set_up(plan)
    last = max([at for at, *_ in plan.proposals + plan.faults])
    fleet.run(last + Random(plan.seed).randrange(3500 * MS))
    calm(fleet)
    outcome, since = Outcome([]), fleet.now
    found = wait(fleet, SETTLE)
    outcome.settled = found
    if found is None:
        outcome.breaches.append(f"neither everywhere nor nowhere {SETTLE // SEC} s after the last fault")
    outcome.breaches += fleet.losses() if found is not None else []
    before = max(process.accord.number for process in fleet.processes())
    for _ in range(5):
        number = fleet.propose(min(fleet.bound()), document("last"))
        if isinstance(number, int):
            break
        fleet.run(fleet.now + SEC)  # one that leads a change still, or a licence between two rounds
    if isinstance(number, int):
        took = wait(fleet, LAST_CHANGE, number)
        outcome.last_change = took
        if took is None:
            outcome.breaches.append(f"a change in the quiet was not in force after {LAST_CHANGE // SEC} s")
    elif found is not None:
        outcome.breaches.append(f"a change in the quiet was refused: {number}")
    outcome.breaches = fleet.breaches() + outcome.breaches
    outcome.changes = max(0, before) + 1
    outcome.pauses = [span for member, _, _, span in pauses(fleet.items)]
    outcome.fleet, outcome.since = fleet, since
    return outcome


def wait(fleet, most, least=0):
    """ns until all that serve hold one number, `least` or higher, and still do half a second later."""
    began, right = fleet.now, None
    while fleet.now - began <= most:
        fleet.run(fleet.now + 20 * MS)
        numbers = {process.accord.number for process in fleet.processes()}
        right = (right or fleet.now) if fleet.settled() and max(numbers) >= least else None
        if right and fleet.now - right >= 500 * MS:
            return right - began
    return None


def cut_down(plan, mutant=""):
    """The plan with fewer faults, proposals, members and chances that is still broken in the same manner."""
    tries = [0]

    def broken(candidate):
        tries[0] += 1
        return tries[0] <= MOST_TRIES and kinds(tried(candidate, mutant).breaches) & wanted

    wanted = kinds(tried(plan, mutant).breaches)
    again = True
    while again and tries[0] < MOST_TRIES:
        again = False
        for candidate in smaller(plan):
            if broken(candidate):
                plan, again = candidate, True
                break
    return plan


def kinds(breaches):
    return {breach.split(" ")[0] for breach in breaches}


def smaller(plan):
    for field in ("faults", "proposals"):
        entries = getattr(plan, field)
        for at in range(len(entries) if field == "faults" or len(entries) > 1 else 0):
            yield replace(plan, **{field: entries[:at] + entries[at + 1 :]})
    for field in ("loss", "double", "late", "wrong_view"):
        if getattr(plan, field):
            yield replace(plan, **{field: 0.0})
    if any(plan.ppm):
        yield replace(plan, ppm=())
    if len(plan.members) > plan.voters:
        gone = plan.members[-1]
        kept = tuple(f for f in plan.faults if gone not in f and not (f[1] == "cut" and gone in f[2]))
        proposals = tuple(p for p in plan.proposals if p[1] != gone and gone not in read(p[2]))
        if proposals:
            yield replace(
                plan, members=plan.members[:-1], ppm=plan.ppm[:-1], faults=kept, proposals=proposals
            )


def tried(plan, mutant=""):
    """A run with a defect may raise: that counts as found."""
    with accord_mutants.applied(mutant):
        try:
            return play(plan)
        except Exception as error:
            return Outcome([f"raised {type(error).__name__}: {error}"])


def one(job):
    seed, mutant = job
    outcome = tried(drawn(seed), mutant)
    outcome.fleet = None
    return seed, outcome


def swarm(runs, seed=1, processes=1, mutant=""):
    """(seed, outcome) of each run, in the order of the seeds."""
    jobs = [(seed + turn, mutant) for turn in range(runs)]
    if processes == 1:
        yield from map(one, jobs)
        return
    with multiprocessing.Pool(processes) as pool:
        yield from pool.imap(one, jobs, 4)


def main(runs="100", seed="1", processes="1", mutant=""):
    changes, settled, lasts, broken, spans = 0, [], [], [], []
    for number, outcome in swarm(int(runs), int(seed), int(processes), mutant):
        changes += outcome.changes
        spans += outcome.pauses
        settled += [outcome.settled] if outcome.settled is not None else []
        lasts += [outcome.last_change] if outcome.last_change is not None else []
        if outcome.breaches:
            broken.append(number)
            print(f"seed {number}: {'; '.join(outcome.breaches[:4])}", flush=True)
    for name, found in (("settled after the last fault", settled), ("last change", lasts), ("pause", spans)):
        if found:
            middle, worst = middle_and_worst(found)
            print(f"{name}: median {middle / SEC:.3f} s, worst {worst / SEC:.3f} s, of {len(found)}")
    print(f"{runs} runs, {changes} changes, {len(broken)} broken {broken[:20]}")
    if broken:
        plan = cut_down(drawn(broken[0]), mutant)
        found = tried(plan, mutant).breaches
        plan = replace(plan, proposals=tuple((at, name, data[:30]) for at, name, data in plan.proposals))
        print(f"cut down: {plan}\n{found}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
