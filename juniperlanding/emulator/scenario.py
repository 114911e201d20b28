"""Scenarios: TOML with units, checked as the operators' file is; all faults of one are told at once."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, field

from juniperlanding.ground import file
from juniperlanding.ground.sections import Count, Figure, Name, Section, Share, Topic, told
from juniperlanding.ground.units import SEC, Duration, Size

MS = SEC // 1000
TEMPERS = ("fast", "slow", "throttling", "flapping", "silent", "erring")
KINDS = (
    "silence",
    "refusal",
    "slow",
    "errors",
    "resets",
    "spoilt",
    "throttle",
    "connections",  # endpoints
    "cut",
    "cut_in",
    "cut_out",
    "dribble",
    "loss",
    "latency",
    "slow_connect",  # paths
    "kill",
    "term",
    "vanish",
    "lose",
    "hup",
    "kill_at_disk",  # processes and machines
    "crowd",
    "callers",  # strangers at a dispatcher's two addresses
    "disk_full",
    "disk_error",
    "disk_short",
    "rename_error",  # disks
    "clock_step",  # clocks
    "discovery_silent",
    "discovery_empty",
    "discovery_late",
    "drain",
    "replace",
    "join",
)  # the list
Targets = Annotated[
    str,
    Meta(
        pattern=r"^(all|(destination|endpoint|dispatcher|zone) [A-Za-z0-9]+|part 0\.\d+)\Z",
        description="all, destination N, endpoint N, dispatcher N, zone Z or part 0.X",
    ),
]


class Fleet(Section):
    """The dispatchers."""

    count: told(Count, "How many.") = 3
    slots: told(Count, "Calls out at once.") = 24
    most_held: told(Count, "Notifications held.") = 400
    most_pushes: told(Count, "Pushes of one notification.") = 6
    disk: told(Size, "Bytes in each folder.") = Size(3 * 10**6)
    sockets: told(Count, "Descriptors.") = 512
    door: told(bool, "Whether staff ask each for its figures, twice a second.") = False
    list_mode: told(Literal["push", "ask"], "How the list is followed.") = "push"
    warm_within: told(Duration, "From cold to full.") = Duration(5 * SEC)
    start_capacity: told(Share, "What a cold endpoint takes.") = 0.2
    overload_factor: told(Figure, "So many times that may be offered.") = 2.0


class Destination(Section):
    """Customers' systems (a list of tables): `count` of them alike."""

    tempers: told(
        list[Literal["fast", "slow", "throttling", "flapping", "silent", "erring"]], "One endpoint for each."
    )
    count: told(Count, "How many destinations.") = 1
    rate: told(Figure, "Notifications a second that one endpoint takes when warm; 0 for any.") = 0.0
    places: told(Count, "Calls served at once by one endpoint.") = 16
    batch: told(Count, "Notifications in one call.") = 1
    routes_apart: told(bool, "Whether each endpoint has limits of its own.") = False
    cold: told(Share, "The share of the rate right after a start.") = 1.0
    warm: told(Duration, "From cold to full.") = Duration(0)
    fall_factor: told(Figure, "Offered so many times its rate for two seconds it falls; 0: never.") = 0.0
    connections: told(Count, "Connections that one endpoint takes.") = 64
    share: told(Figure, "Its part of the traffic beside the others'.") = 1.0


class Traffic(Section):
    """What clients hand in."""

    rate: told(Figure, "Notifications a second, over all dispatchers.") = 40.0
    clump: told(Count, "Arrivals come in clumps of up to so many.") = 1
    peak_at: told(Duration | None, "A peak begins.") = None
    peak_for: told(Duration, "It lasts.") = Duration(10 * SEC)
    peak_times: told(Figure, "So many times the rate.") = 4.0
    retries: told(Share, "Of refused or unheard ones, so many come again.") = 0.0
    leaves: told(Share, "So many clients leave within 20 ms.") = 0.0
    reuses: told(Share, "So many hand the same id in again once they heard 202.") = 0.0
    orders: told(Share, "So many have an ordering key.") = 0.0


class Net(Section):
    """The network where nothing is wrong."""

    latency: told(Duration, "One way.") = Duration(MS // 2)
    jitter: told(Duration, "On top, half a normal's spread.") = Duration(MS // 5)
    zones: told(list[Name], "Endpoints are dealt out over these.") = field(default_factory=lambda: ["a"])
    between: told(Duration, "Latency on top between zones.") = Duration(0)


class Fault(Section):
    """Something that goes wrong (a list of tables)."""

    kind: told(Literal[KINDS], "What.")
    at: told(Duration, "When it begins.")
    lasts: told(Duration, "For how long.") = Duration(5 * SEC)
    target: told(Targets, "Whom it meets.") = "all"
    amount: told(Figure, "How much of it: a share, a factor, a call's number, milliseconds.") = 0.5


class Scenario(Section):
    """A scenario."""

    name: told(Name, "Its name.") = "scenario"
    length: told(Duration, "For how long clients come.") = Duration(30 * SEC)
    fleet: Fleet = field(default_factory=Fleet)
    traffic: Traffic = field(default_factory=Traffic)
    net: Net = field(default_factory=Net)
    destination: list[Destination] = []
    topic: list[Topic] = []
    fault: list[Fault] = []


TABLES = {"destination": Destination, "topic": Topic, "fault": Fault}
TOPICS = [
    Topic(name="news", kind="repeatable", objective=Duration(500 * MS), ttl=Duration(4 * SEC)),
    Topic(
        name="status",
        kind="collapsible",
        objective=Duration(400 * MS),
        ttl=Duration(3 * SEC),
        window=Duration(1500 * MS),
        benefit=2.0,
    ),
    Topic(name="order", kind="once-only", objective=Duration(SEC), ttl=Duration(4 * SEC), benefit=5.0),
    Topic(name="ledger", kind="repeatable", objective=Duration(SEC), ttl=Duration(4 * SEC), ordered=True),
]


def read(path, files):
    """A `Scenario` from a file; `ground.file.FileError` with all that is wrong."""
    found = file.read(path, files, root=Scenario, tables=TABLES)
    sections = {}
    for key, (value, _) in found.values.items():
        section, _, name = key.rpartition(".")
        sections.setdefault(section, {})[name] = value
    top = sections.pop("", {})
    kinds = {"fleet": Fleet, "traffic": Traffic, "net": Net}
    top |= {name: kinds[name](**values) for name, values in sections.items()}
    top |= {name: [entry for entry, _ in entries] for name, entries in found.tables.items()}
    return completed(Scenario(**top))


def completed(scenario):
    """With a destination and topic types if it names none."""
    if not scenario.destination:
        scenario.destination = [
            Destination(tempers=["fast", "fast"], count=3),
            Destination(tempers=["slow", "fast"]),
        ]
    if not scenario.topic:
        scenario.topic = list(TOPICS)
    return scenario


def without(scenario, **more):
    """A copy with some fields replaced."""
    return msgspec.structs.replace(scenario, **more)
