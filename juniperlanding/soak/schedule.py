"""What goes wrong when: a schedule of troubles that follows from its seed alone.  No I/O.

Troubles come in storms: two or three begin within half a second and last for seconds, so they overlap: of a
process, of its system, and of those whom it meets."""

import enum
from dataclasses import dataclass
from random import Random

STORM_EVERY = 6.0  # seconds from one storm to the next
WITHIN_STORM = 0.5  # seconds between the first and the last trouble of a storm
SHORTEST, LONGEST = 1.5, 4.5  # seconds that a trouble lasts
WARM_UP, COOL_DOWN = 3.0, 8.0  # seconds without troubles at the start and at the end
MOST_STOP = 0.15  # seconds for which a process is held
STEPS = (-3600, -10, -1, 1, 10, 3600)  # seconds by which a wall clock is stepped


class Kind(enum.StrEnum):
    """The troubles; each one's target is a process, an endpoint, or everybody (-1)."""

    TERM = "term"
    KILL = "kill"
    KILL_IN_WRITE = "kill-in-write"
    RELOAD = "reload"
    HOLD = "hold"
    CLOCK_STEP = "clock-step"
    SYSTEM_CALLS = "system-calls"
    DISK = "disk"
    SHORT_WRITES = "short-writes"
    LINK_DELAY = "link-delay"
    LINK_SILENCE = "link-silence"
    LINK_RESET = "link-reset"
    LINK_HALF_ANSWER = "link-half-answer"
    SLOW_DIAL = "slow-dial"
    ENDPOINT_HANG = "endpoint-hang"
    ENDPOINT_DOWN = "endpoint-down"
    ENDPOINT_DRAIN = "endpoint-drain"
    DISCOVERY_SILENT = "discovery-silent"
    HALF_REQUESTS = "half-requests"
    EARLY_LEAVERS = "early-leavers"
    CROWD = "crowd"


ON_ENDPOINTS = frozenset(
    {
        Kind.LINK_DELAY,
        Kind.LINK_SILENCE,
        Kind.LINK_RESET,
        Kind.LINK_HALF_ANSWER,
        Kind.SLOW_DIAL,
        Kind.ENDPOINT_HANG,
        Kind.ENDPOINT_DOWN,
        Kind.ENDPOINT_DRAIN,
    }
)
OF_PROCESSES = (Kind.TERM, Kind.KILL, Kind.KILL, Kind.KILL_IN_WRITE, Kind.RELOAD, Kind.HOLD)
OF_SYSTEM = (Kind.CLOCK_STEP, Kind.SYSTEM_CALLS, Kind.DISK, Kind.SHORT_WRITES)
OF_OTHERS = tuple(sorted(set(Kind) - set(OF_PROCESSES) - set(OF_SYSTEM)))


@dataclass(frozen=True, order=True)
class Trouble:
    """at, seconds: begin and length in seconds of the run; amount: its size, from 0 to 1."""

    at: float
    seconds: float
    kind: Kind
    target: int
    amount: float

    def __str__(self):
        return f"{self.at:.2f}s+{self.seconds:.2f}s {self.kind}({self.target}, {self.amount:.2f})"


@dataclass(frozen=True)
class Schedule:
    """One run: how many processes and endpoints, for how many seconds, and what goes wrong."""

    seed: int
    processes: int
    endpoints: int
    seconds: float
    troubles: tuple

    def without(self, some):
        """The same run with fewer troubles, for shrinking."""
        left = tuple(trouble for trouble in self.troubles if trouble not in some)
        return Schedule(self.seed, self.processes, self.endpoints, self.seconds, left)


def drawn(seed, processes, endpoints, seconds):
    """The schedule of a seed."""
    chance, troubles = Random(f"soak/{seed}"), []
    at = WARM_UP
    while at + LONGEST < seconds - COOL_DOWN:
        process = chance.randrange(processes)
        groups = chance.sample((OF_PROCESSES, OF_SYSTEM, OF_OTHERS), chance.choice((2, 3, 3)))
        for kind in map(chance.choice, groups):
            target = chance.randrange(endpoints) if kind in ON_ENDPOINTS else process
            begin = at + chance.uniform(0, WITHIN_STORM)
            length = chance.uniform(SHORTEST, LONGEST)
            troubles.append(Trouble(round(begin, 3), round(length, 3), kind, target, chance.random()))
        at += STORM_EVERY * chance.uniform(0.7, 1.3)
    return Schedule(seed, processes, endpoints, seconds, tuple(sorted(troubles)))
