"""Swarms: many runs of one scenario with drawn mixes of faults, over all cores; a breach is shrunk before
it is told.

A run is named by (scenario, seed): the seed draws the mix, the fleet, the traffic's manners and all chance
within.
Shrinking keeps what still breaks the same rule with fewer faults, then fewer dispatchers, destinations and
seconds."""

import multiprocessing
from dataclasses import dataclass

import msgspec

from juniperlanding.emulator import mutants, world
from juniperlanding.emulator.chance import stream
from juniperlanding.emulator.clock import SEC
from juniperlanding.emulator.faults import START_AGAIN
from juniperlanding.emulator.scenario import KINDS, MS, Fault, without
from juniperlanding.ground.units import Duration

AMOUNTS = {
    "slow": (0.2, 2.0),
    "errors": (0.1, 1.0),
    "resets": (0.1, 1.0),
    "spoilt": (0.1, 1.0),
    "throttle": (0.3, 6.0),
    "connections": (1.0, 6.0),
    "loss": (0.05, 0.5),
    "latency": (0.1, 2.0),
    "kill_at_disk": (0.0, 60.0),
    "disk_short": (1.0, 6.0),
    "rename_error": (1.0, 6.0),
    "clock_step": (1.0, 9.0),
}
OF_DISPATCHERS = (
    "kill",
    "term",
    "vanish",
    "lose",
    "kill_at_disk",
    "disk_full",
    "disk_error",
    "disk_short",
    "rename_error",
    "clock_step",
)
OF_ALL = ("hup", "discovery_silent", "discovery_empty", "discovery_late", "join")
MOST_FAULTS, NEAR = 7, 50 * MS
OF_DISKS = ("kill_at_disk", "disk_full", "disk_error", "disk_short", "rename_error")
OF_PROCESSES = ("kill", "term", "lose", "kill_at_disk")  # what ends one; START_AGAIN later it begins again
FAVOUR = 2.0  # times that a fault of the disk is likelier than another: they found the most
MOST_TRIES = 60  # runs that shrinking one breach may take


def drawn(scenario, seed):
    """The scenario with a mix of faults and manners drawn from the seed; its own faults stay."""
    chance = stream(seed, "mix")
    weights = [FAVOUR if kind in OF_DISKS else 1.0 for kind in KINDS]
    shares = [weight / sum(weights) for weight in weights]
    count = int(chance.integers(1, MOST_FAULTS + 1))
    kinds = [KINDS[at] for at in chance.choice(len(KINDS), count, replace=False, p=shares)]
    faults, before, edges = list(scenario.fault), None, []
    for kind in kinds:
        at = int(chance.integers(SEC, max(2 * SEC, int(scenario.length) - 4 * SEC)))
        lot = chance.random()
        if edges and lot < 0.25:  # around the end or the start of a process
            at = max(SEC, edges[int(chance.integers(len(edges)))] + int(chance.integers(-NEAR, NEAR)))
        elif before is not None and lot < 0.5:
            at = before + int(chance.integers(0, NEAR))  # what needs two faults at nearly the same time
        before = at
        if kind in OF_PROCESSES:
            edges += [at, at + int(START_AGAIN * SEC)]
        low, high = AMOUNTS.get(kind, (0.0, 1.0))
        faults.append(
            Fault(
                kind=kind,
                at=Duration(at),
                lasts=Duration(int(chance.integers(200 * MS, 6 * SEC))),
                target=target(kind, scenario, chance),
                amount=float(chance.uniform(low, high)),
            )
        )
    traffic = msgspec.structs.replace(
        scenario.traffic,
        clump=int(chance.choice([1, 1, 4, 12])),
        retries=float(chance.choice([0, 0.5, 1])),
        leaves=float(chance.choice([0, 0, 0.1])),
        reuses=float(chance.choice([0, 0.05])),
    )
    fleet = msgspec.structs.replace(
        scenario.fleet,
        slots=int(chance.choice([4, 12, 24])),
        most_held=int(chance.choice([30, 100, 400])),
        disk=type(scenario.fleet.disk)(int(chance.choice([60_000, 300_000, 3_000_000]))),
    )
    return without(scenario, fault=faults, traffic=traffic, fleet=fleet)


def target(kind, scenario, chance):
    if kind in OF_ALL:
        return "all"
    lot = chance.random()
    if kind in OF_DISPATCHERS:
        if lot < 0.5:
            return f"dispatcher {int(chance.integers(scenario.fleet.count))}"
        return "all" if lot < 0.65 else "part 0.4"
    destinations = sum(entry.count for entry in scenario.destination)
    if lot < 0.5:
        return f"destination {int(chance.integers(1, destinations + 1))}"
    return "all" if lot < 0.65 else "part 0.4"


@dataclass
class Job:
    scenario: object
    seed: int
    mutant: str = ""
    draw: bool = True


def one(job):
    """Play one job; in a process of its own, where a mutant may be put in."""
    scenario = drawn(job.scenario, job.seed) if job.draw else job.scenario
    with mutants.applied(job.mutant):
        try:
            return world.play(scenario, job.seed)
        except BaseExceptionGroup as error:  # threat: a worker that ends so is waited for without end
            raise RuntimeError(f"the rig failed at seed {job.seed}: {error.exceptions!r}") from error


def many(jobs, processes=None, found=lambda result: None):
    """Results in the order of the jobs, each told as it comes; ends early when `found` returns true."""
    context = multiprocessing.get_context("fork")
    results = []
    with context.Pool(processes or multiprocessing.cpu_count(), maxtasksperchild=50) as pool:
        for result in pool.imap(one, jobs):
            results.append(result)
            if found(result):
                pool.terminate()
                break
    return results


def shrunk(scenario, seed, rule, mutant="", tries=MOST_TRIES, processes=None):
    """The smallest scenario found that still breaks the same rule from this seed, and the runs it took.

    Each round plays all scenarios that are one step smaller at once, and goes on from the first that still
    breaks."""
    best, spent = drawn(scenario, seed), 0
    while spent < tries:
        smaller = list(steps(best))[: tries - spent]
        if not smaller:
            break
        results = many(
            [Job(one_less, seed, mutant, draw=False) for one_less in smaller],
            processes,
            lambda result: result.breach and result.breach.rule == rule,
        )
        spent += len(results)
        if not (results and results[-1].breach and results[-1].breach.rule == rule):
            break
        best = smaller[len(results) - 1]
    return best, spent


def steps(scenario):
    """Scenarios one step smaller, the boldest first."""
    faults = scenario.fault
    if len(faults) > 2:
        yield without(scenario, fault=faults[: len(faults) // 2])
        yield without(scenario, fault=faults[len(faults) // 2 :])
    for at in range(len(faults)):
        yield without(scenario, fault=faults[:at] + faults[at + 1 :])
    if scenario.fleet.count > 1:
        yield without(scenario, fleet=msgspec.structs.replace(scenario.fleet, count=1))
    if len(scenario.destination) > 1:
        for at in range(len(scenario.destination)):
            yield without(scenario, destination=scenario.destination[:at] + scenario.destination[at + 1 :])
    if scenario.length > 6 * SEC:
        yield without(scenario, length=Duration(int(scenario.length) // 2))
    for name in ("retries", "leaves", "reuses"):
        if getattr(scenario.traffic, name):
            yield without(scenario, traffic=msgspec.structs.replace(scenario.traffic, **{name: 0.0}))


def as_toml(scenario):
    """A scenario as a file that `emulate` reads, so that a breach can be kept and played again."""
    import tomlkit

    plain = msgspec.to_builtins(scenario, enc_hook=str, builtin_types=())
    document = tomlkit.document()
    for name, value in plain.items():
        if value not in ([], None) and name != "include":
            document[name] = pruned(value)
    return tomlkit.dumps(document)


def pruned(value):
    if isinstance(value, dict):
        return {key: pruned(one_value) for key, one_value in value.items() if one_value is not None}
    return [pruned(entry) for entry in value] if isinstance(value, list) else value
