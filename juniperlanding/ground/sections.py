"""The operators' file as types: each section a Struct, each key with its unit, bounds, default and meaning.

docs/configuration.md and `init` are made from here.  A key whose meta names a `setting` is handed to the
decision module under that name; absent means that the limit or permission is not there."""

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
    """A type with the words of the reference page, and the module's name for it."""
    return Annotated[kind, Meta(description=text, extra={"setting": setting} if setting else {})]


class Section(Struct, kw_only=True):
    pass


class Instance(Section):
    """Who this dispatcher is and where it works."""

    name: told(Name, "Its name in log lines, the same after a restart.") = "dispatcher"
    listen: told(Address, "Where clients connect.") = "127.0.0.1:7070"
    discovery: told(Address | None, "Where the list of endpoints is followed and notices are posted.") = None
    management: told(Address | None, "Where operators ask READY and STATS; absent: nowhere.") = None
    state: told(str | None, "The folder that outlives the process; a relative one starts at this file.") = (
        None
    )
    seed: told(str, "What its own random choices start from.") = ""
    rank: told(Whole | None, "Its number among all dispatchers, from 0.", "rank") = None
    dispatchers: told(Count | None, "How many dispatchers serve the same endpoints.", "dispatchers") = None


class Limits(Section):
    """What the process may use; new work is refused before any of it is reached."""

    memory: told(Size, "Resident memory.") = Size(512 * 10**6)
    disk: told(Size, "Bytes in the state folder.") = Size(64 * 10**6)
    sockets: told(Count, "File descriptors.") = 1024


class Log(Section):
    """What is written to standard error."""

    form: told(
        Literal["plain", "json", "console"], "One line of words, one JSON object, or aligned for people."
    ) = "plain"
    lines: told(Count, "Lines of one event within a second; what is over is counted on the next.") = 20
    trace: told(bool, "Whether each message and connection is followed, a line for each step.") = False


class Holding(Section):
    """How much is held and how often it may be sent."""

    slots: told(Count | None, "Calls out at once.", "slots") = None
    most_held: told(Count | None, "Notifications held at once; more are refused.", "most_held") = None
    most_pushes: told(Count | None, "Pushes of one notification.", "most_pushes") = None
    tick: told(Duration | None, "Shortest time between two turns of the module.", "tick") = None


class Listing(Section):
    """How the list of endpoints is followed."""

    mode: told(Literal["push", "ask"] | None, "A kept watch, or asked for.", "list_mode") = None
    must_ask_in: told(Duration | None, "The longest time without asking.", "must_ask_in") = None
    scale: told(
        Literal["off", "nominal", "rough"] | None, "What an endpoint's listed scale means.", "scale_kind"
    ) = None


class Connections(Section):
    """Connections to endpoints."""

    connect_within: told(Duration, "Until a connection that does not come up is given up.") = Duration(10**9)
    idle_closes: told(
        Duration | None, "After so long an idle one is closed by the endpoint.", "idle_closes"
    ) = None


class Clients(Section):
    """What clients are told."""

    advises_again: told(
        bool | None, "Whether a throttled client hears when to come back.", "advises_again"
    ) = None
    most_again_in: told(Duration | None, "The longest such advice.", "most_again_in") = None


class Rules(Section):
    """The figures of the rules that protect endpoints."""

    may_cancel: told(bool | None, "Whether a call may be called off.", "may_cancel") = None
    may_note: told(bool | None, "Whether dispatchers may send notes.", "may_note") = None
    start_capacity: told(
        Share | None, "What a cold endpoint takes, as a share of its full rate.", "start_capacity"
    ) = None
    warm_within: told(Duration | None, "From cold to full.", "warm_within") = None
    overload_factor: told(Figure | None, "So many times that may be offered.", "overload_factor") = None
    fall_within: told(Duration | None, "An endpoint offered more for so long falls over.", "fall_within") = (
        None
    )
    order_pause: told(
        Duration | None, "After a push that may still run, its ordering key rests.", "order_pause"
    ) = None


class Kind(Section):
    """A kind of destination (a table in the list `kind`)."""

    name: told(Name, "As discovery's list names it.")
    batch: told(Count, "Notifications in one call.") = 1
    routes_apart: told(bool, "Whether each endpoint has limits of its own.") = False


class Topic(Section):
    """A topic type (a table in the list `topic`)."""

    name: told(Name, "As clients name it.")
    kind: told(Literal["repeatable", "collapsible", "once-only"], "What a second delivery would do.")
    objective: told(Duration, "Latency objective: delivered within it, it has its whole benefit.")
    ttl: told(Duration, "The time to live where a client tells none.")
    benefit: told(Figure, "What a delivery in time is worth.") = 1.0
    late_share: told(Share, "The share of it that is left for one just within the TTL.") = 0.0
    fades: told(Literal["halves", "line"], "How it falls from the objective on.") = "line"
    window: told(Duration | None, "Collapsible: for so long a repeat of the key takes no effect.") = None
    group: told(Literal["all", "zone"], "Collapsible: who remembers the key.") = "all"
    ordered: told(bool, "One at a time for each key, in the order taken.") = False


class Fleet(Section):
    """The dispatchers' view of each other.  Off unless `enabled` and `address` are both told."""

    enabled: told(bool, "Whether this dispatcher takes part.") = False
    address: told(Address | None, "Where other members reach it, by UDP.") = None
    advertise: told(Address | None, "What it tells them instead, if they reach it elsewhere.") = None
    key: told(str | None, "A file of mode 0600 with the fleet's key; paths start at this file.") = None
    name: told(Name, "The fleet's name; others' members are not heard.") = "fleet"
    site: told(Annotated[str, Meta(max_length=64)], "The place where it stands.") = ""
    seeds: told(list[Address], "Members asked at the start, and again while it is alone.") = []


class Policy(Section):
    """A policy that is in force everywhere or nowhere.  Off unless `enabled`, with `[fleet]` on."""

    enabled: told(bool, "Whether this dispatcher takes on new work under the fleet's policy alone.") = False
    voters: told(list[Voter], "Three, five or seven members that decide, the same at all.") = []
    folder: told(str, "Where the files are that may be proposed; a relative one starts at this file.") = (
        "policies"
    )
    file: told(str | None, "A file that SIGHUP proposes if it differs from what is in force.") = None
    licence: told(Duration, "How long new work is taken on without word from a majority; 500ms to 60s.") = (
        Duration(3 * 10**9)
    )
    drift: told(Annotated[float, Meta(ge=0, le=0.05)], "The share by which steady clocks may differ.") = 0.01


class Shards(Section):
    """The ledger in several files, split ahead of time.  Off unless `enabled`, with `[fleet]` on."""

    enabled: told(bool, "Whether it may be split; off again only once it is one file.") = False
    most: told(Size | None, "Bytes owed in one file; absent: an eighth of the disk.") = None
    least: told(Size | None, "Two neighbours long under it are merged; absent: a quarter of `most`.") = None
    count: told(Annotated[int, Meta(ge=1, le=256)], "The most files.") = 64


class Sites(Section):
    """What it would cost to lose a site, foretold (docs/sites.md).  Needs `[fleet]` with a `site`."""

    enabled: told(bool, "Whether this dispatcher tells its room and projects.") = False


class Endpoint(Section):
    """An endpoint known before discovery answers (a table in the list `endpoint`)."""

    id: told(Name, "The same at every dispatcher.")
    address: told(Address, "Where it is reached.")
    destination: told(Annotated[int, Meta(ge=0, le=99_999_999)], "Whose system it belongs to.")
    kind: told(Name, "One of the kinds.")
    zone: told(Name | None, "One of the zones.") = None
    scale: told(Figure, "Its listed rate, calls a second.") = 0.0


class File(Section):
    """The whole file."""

    include: told(
        list[str], "Files read before this one, which goes before them; paths start at this file."
    ) = []
    zones: told(list[Name], "Network zones by the names in discovery's list.") = []
    reports: told(
        dict[str, Literal["limit", "limit_left"]], "Fields of load reports, and what each tells."
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
