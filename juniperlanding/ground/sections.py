"""The operators' file as types: a Struct for each section, with type, default and description of each key.

docs/configuration.md and the output of `init` are generated from these types.  A key whose annotation names
a `setting` is passed to the decision module under that name; without a value, the limit or permission does
not exist."""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from juniperlanding.ground.units import Duration, Size

Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Whole = Annotated[int, Meta(ge=0, le=1_000_000)]
Share = Annotated[float, Meta(ge=0, le=1)]
Figure = Annotated[float, Meta(ge=0, le=1e12)]
Name = Annotated[str, Meta(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9._:/-]+\Z")]
Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z", description="IPV4:PORT")]

Voter = Annotated[
    str,
    Meta(pattern=r"^[A-Za-z0-9._:/-]{1,128}@\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z", description="NAME@IPV4:PORT"),
]


def told(kind, text, setting=None):
    """A type annotated with its description for the reference page and the name of its setting, if any."""
    return Annotated[kind, Meta(description=text, extra={"setting": setting} if setting else {})]


class Section(Struct, kw_only=True):
    pass


class Instance(Section):
    """Identity, addresses and state folder of this dispatcher."""

    name: told(Name, "Name of this dispatcher in log lines, the same after a restart.") = "dispatcher"
    listen: told(Address, "Address on which clients connect.") = "127.0.0.1:7070"
    discovery: told(
        Address | None, "Address of discovery: source of the endpoint list, recipient of outcome notices."
    ) = None
    management: told(Address | None, "Address of the admin port (READY, STATS); none: no admin port.") = None
    state: told(
        str | None, "Folder for the state kept over restarts; a relative path is relative to this file."
    ) = None
    seed: told(str, "Seed for random choices.") = ""
    rank: told(Whole | None, "Index of this dispatcher among all of them, from 0.", "rank") = None
    dispatchers: told(Count | None, "Number of dispatchers that serve the same endpoints.", "dispatchers") = (
        None
    )


class Limits(Section):
    """Resource limits of the process; new work is refused before a limit is reached."""

    memory: told(Size, "Resident memory.") = Size(512 * 10**6)
    disk: told(Size, "Most bytes in the state folder.") = Size(64 * 10**6)
    sockets: told(Count, "Most open file descriptors.") = 1024


class Log(Section):
    """The log on standard error."""

    form: told(
        Literal["plain", "json", "console"],
        "Format of a line: plain text, a JSON object, or aligned columns.",
    ) = "plain"
    lines: told(
        Count, "Lines a second for each event; the next line written tells how many were dropped."
    ) = 20
    trace: told(bool, "Whether each message and connection is traced, one line for each step.") = False


class Holding(Section):
    """Limits on notifications held and on pushes."""

    slots: told(Count | None, "Most concurrent calls to endpoints.", "slots") = None
    most_held: told(
        Count | None, "Most notifications held at the same time; further ones are refused.", "most_held"
    ) = None
    most_pushes: told(Count | None, "Most pushes of one notification.", "most_pushes") = None
    tick: told(Duration | None, "Shortest time between two iterations of the decision loop.", "tick") = None


class Listing(Section):
    """How the dispatcher keeps its list of endpoints up to date."""

    mode: told(
        Literal["push", "ask"] | None,
        "Whether discovery pushes changes over an open watch, or is polled.",
        "list_mode",
    ) = None
    must_ask_in: told(Duration | None, "Longest time between two requests for the list.", "must_ask_in") = (
        None
    )
    scale: told(
        Literal["off", "nominal", "rough"] | None,
        "Meaning of an endpoint's listed scale: ignored, its rate, or a rough estimate of it.",
        "scale_kind",
    ) = None


class Connections(Section):
    """Connections to endpoints."""

    connect_within: told(Duration, "Time-out for opening a connection.") = Duration(10**9)
    idle_closes: told(
        Duration | None, "Idle time after which the endpoint closes a connection.", "idle_closes"
    ) = None


class Clients(Section):
    """Answers to clients."""

    advises_again: told(bool | None, "Whether a throttled client is told when to retry.", "advises_again") = (
        None
    )
    most_again_in: told(Duration | None, "Longest retry delay told to a client.", "most_again_in") = None


class Rules(Section):
    """Parameters of the rules that protect endpoints."""

    may_cancel: told(bool | None, "Whether a running call may be cancelled.", "may_cancel") = None
    may_note: told(bool | None, "Whether dispatchers may send notes to each other.", "may_note") = None
    start_capacity: told(
        Share | None, "Capacity of a cold endpoint, as a share of its full rate.", "start_capacity"
    ) = None
    warm_within: told(
        Duration | None, "Time in which a cold endpoint reaches its full rate.", "warm_within"
    ) = None
    overload_factor: told(
        Figure | None, "Multiple of an endpoint's capacity that may be offered to it.", "overload_factor"
    ) = None
    fall_within: told(
        Duration | None, "Time for which an endpoint survives being offered more than that.", "fall_within"
    ) = None
    order_pause: told(
        Duration | None, "Pause of an ordering key after a push that may still be running.", "order_pause"
    ) = None


class Kind(Section):
    """A kind of destination (a table in the list `kind`)."""

    name: told(Name, "Name of the kind in discovery's list.")
    batch: told(Count, "Most notifications in one call.") = 1
    routes_apart: told(
        bool, "Whether each endpoint has a rate limit of its own, not one shared with its destination."
    ) = False


class Topic(Section):
    """A topic type (a table in the list `topic`)."""

    name: told(Name, "Name of the topic type, as clients use it.")
    kind: told(
        Literal["repeatable", "collapsible", "once-only"],
        "A second delivery is harmless, is ignored within the window, or must not happen.",
    )
    objective: told(Duration, "Latency objective: a delivery within it has the full benefit.")
    ttl: told(Duration, "Time to live of notifications for which the client sets none.")
    benefit: told(Figure, "Benefit of a delivery within the objective.") = 1.0
    late_share: told(Share, "Share of the benefit that is left at the end of the TTL.") = 0.0
    fades: told(
        Literal["halves", "line"],
        "How the benefit falls after the objective: halved for each further objective, or linearly.",
    ) = "line"
    window: told(Duration | None, "Collapsible: time for which a repeat of the key has no effect.") = None
    group: told(
        Literal["all", "zone"], "Collapsible: whether all endpoints remember the key, or those of one zone."
    ) = "all"
    ordered: told(
        bool, "Whether notifications with the same key are sent one at a time, in order of acceptance."
    ) = False


class Fleet(Section):
    """Membership: the dispatchers' view of each other.  Off unless `enabled`, which needs an `address`."""

    enabled: told(bool, "Whether this dispatcher is a member of the fleet.") = False
    address: told(Address | None, "UDP address on which it listens for other members.") = None
    advertise: told(
        Address | None, "Address that it gives to other members, if they reach it at another one."
    ) = None
    key: told(
        str | None, "File with the fleet's key, of mode 0600; a relative path is relative to this file."
    ) = None
    name: told(Name, "The fleet's name; messages from members of other fleets are ignored.") = "fleet"
    site: told(Annotated[str, Meta(max_length=64)], "The site of this dispatcher.") = ""
    seeds: told(
        list[Address], "Members contacted at the start, and again while no other member is known."
    ) = []


class Policy(Section):
    """A policy for the whole fleet, set by a majority of voters.  Off unless `enabled`; needs `[fleet]`."""

    enabled: told(bool, "Whether this dispatcher accepts new work only under the fleet's policy.") = False
    voters: told(list[Voter], "Three, five or seven members that decide; the same list at all members.") = []
    folder: told(
        str, "Folder of the files that may be proposed; a relative path is relative to this file."
    ) = "policies"
    file: told(str | None, "File that SIGHUP proposes if it differs from the policy in force.") = None
    licence: told(
        Duration, "Lease: how long new work is accepted without contact with a majority; 500ms to 60s."
    ) = Duration(3 * 10**9)
    drift: told(
        Annotated[float, Meta(ge=0, le=0.05)], "Share by which the steady clocks of members may differ."
    ) = 0.01


class Shards(Section):
    """The ledger in several files, split before one is too large.  Off unless `enabled`; needs `[fleet]`."""

    enabled: told(
        bool, "Whether the ledger may be split; it can be disabled only once it is one file again."
    ) = False
    most: told(Size | None, "Most pending data in one file; none: an eighth of the disk limit.") = None
    least: told(
        Size | None,
        "Two neighbouring files that together stay below it are merged; none: a quarter of `most`.",
    ) = None
    count: told(Annotated[int, Meta(ge=1, le=256)], "Most files.") = 64


class Sites(Section):
    """Projections of the cost of losing a site (docs/sites.md).  Needs `[fleet]` with a `site`."""

    enabled: told(bool, "Whether this dispatcher publishes its capacity and computes projections.") = False


class Endpoint(Section):
    """An endpoint that is known before discovery answers (a table in the list `endpoint`)."""

    id: told(Name, "Identifier, the same at every dispatcher.")
    address: told(Address, "Address of the endpoint.")
    destination: told(
        Annotated[int, Meta(ge=0, le=99_999_999)], "Number of the destination to which it belongs."
    )
    kind: told(Name, "Name of its kind, a table in the list `kind`.")
    zone: told(Name | None, "Network zone, one of `zones`.") = None
    scale: told(Figure, "Listed rate in calls a second.") = 0.0


class File(Section):
    """The operators' file."""

    include: told(
        list[str],
        "Files read before this one, which overrides them; relative paths are relative to this file.",
    ) = []
    zones: told(list[Name], "Network zones, by their names in discovery's list.") = []
    reports: told(
        dict[str, Literal["limit", "limit_left"]], "Fields of load reports, and what each one means."
    ) = {}
    instance: Instance = field(default_factory=Instance)
    limits: Limits = field(default_factory=Limits)
    log: Log = field(default_factory=Log)
    holding: Holding = field(default_factory=Holding)
    listing: Listing = field(default_factory=Listing)
    connections: Connections = field(default_factory=Connections)
    clients: Clients = field(default_factory=Clients)
    rules: Rules = field(default_factory=Rules)
    fleet: Fleet = field(default_factory=Fleet)
    policy: Policy = field(default_factory=Policy)
    shards: Shards = field(default_factory=Shards)
    sites: Sites = field(default_factory=Sites)
    kind: list[Kind] = []
    topic: list[Topic] = []
    endpoint: list[Endpoint] = []
