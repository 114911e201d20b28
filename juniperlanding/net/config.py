"""What one dispatcher is told: the platform's environment and JSON file, and before their absence the
operators' file.  Where both name a value the platform's goes."""

import json
from dataclasses import dataclass

from juniperlanding.choice import SEC
from juniperlanding.ground.errors import Trouble
from juniperlanding.net import protocol
from juniperlanding.settings import in_our_words, report_names

MOST_FILE = 64 << 20  # bytes of the platform's file: some hundred thousand endpoints


class Untold(Trouble, KeyError):
    """Neither the platform nor an operators' file tells a value without which nothing can start."""

    code = "config-untold"
    remedy = "Tell it in the operators' file (docs/configuration.md) or by the platform's EDGE_* values."

    @property
    def what(self):
        return f"{self.args[0]} is told by neither the platform nor an operators' file"


class PlatformRefused(Trouble, ValueError):
    """The platform's file is not what it should be; at SIGHUP the old values stay in force."""

    code = "platform-refused"
    remedy = "Have the file that EDGE_CONFIG names mended, then start again or send SIGHUP."


class PlatformUnreadable(Trouble, OSError):
    """The platform's file cannot be read; after SIGHUP it is tried again by itself."""

    code = "platform-unreadable"
    remedy = "Look at the path that EDGE_CONFIG names, at the rights to it and at its disk."


def trouble(error):
    """What staff are told of a configuration that could not be read, whatever was raised."""
    if isinstance(error, Trouble):
        return error
    if isinstance(error, OSError):
        return PlatformUnreadable.of(error)
    return PlatformRefused(f"{type(error).__name__}: {error}")


@dataclass(slots=True)
class Config:
    name: str
    listen: tuple
    discovery: tuple
    management: tuple | None  # where operators ask; None: nowhere
    state: str
    seed: str
    limits: dict
    known: dict
    settings: dict
    kinds: list
    zones: list
    connect_within: int
    report: dict
    log: dict
    fleet: object = None  # the operators' `Fleet`; nothing else turns it on
    policy: object = None  # their `Policy`, in the same way
    shards: object = None  # their `Shards`, in the same way
    sites: bool = False  # whether the cost of losing a site is foretold; the operators' file alone says so
    trace: bool = False  # whether the log follows single messages; the operators' file alone says so

    @property
    def disk(self):
        return int(self.limits.get("disk_mb", 64) * 1_000_000)

    @property
    def memory(self):
        return int(self.limits.get("memory_mb", 512) * 1_000_000)

    @property
    def sockets(self):
        return int(self.limits.get("sockets", 1024))


def read(environ, files, operators=None):
    """The configuration in force; `operators` is `from_operators`'s result.

    Raises KeyError for what nobody told, OSError or ValueError for a file that cannot be read; `trouble`
    makes of each, and of what an odd file raises further in, what staff are told.
    Threat: the environment stays as it was at the start, while the file is replaced; so the file wins."""
    told, ours = {}, operators or Ours()
    if "EDGE_CONFIG" in environ or not operators:
        told = json.loads(files.read(need(environ.get("EDGE_CONFIG"), "EDGE_CONFIG"), MOST_FILE))
        if not isinstance(told, dict):
            raise PlatformRefused("the platform's file is no JSON object")
    told = without_nulls(told)
    wire = told.get("settings", {})
    settings = in_our_words(wire)
    if operators and not wire.get("request_classes"):
        del settings["topic_types"]
    settings = {"topic_types": []} | ours.settings | settings
    # The platform's report fields come without our names, the operators' with them.
    report = dict(zip(settings.get("report", []), report_names(settings), strict=True)) or ours.report
    management = environ.get("EDGE_MANAGEMENT") or told.get("management") or ours.management
    return Config(
        name=environ.get("EDGE_NAME") or told.get("name") or ours.name or "dispatcher",
        listen=protocol.address(
            environ.get("EDGE_LISTEN") or told.get("listen") or need(ours.listen, "listen")
        ),
        discovery=protocol.address(
            told.get("discovery") or environ.get("EDGE_DISCOVERY") or need(ours.discovery, "discovery")
        ),
        management=protocol.address(management) if management else None,
        state=environ.get("EDGE_STATE") or need(ours.state, "EDGE_STATE" if not operators else "state"),
        seed=str(told.get("seed", ours.seed)),
        limits=ours.limits | without_nulls(told.get("limits", {})),
        known=told.get("known") or ours.known,
        settings=settings,
        kinds=wire.get("models") or ours.kinds,
        zones=wire.get("areas") or ours.zones,
        # Threat: a time of nothing, in which no connection ever comes up.
        connect_within=(wire.get("permissions") or {}).get("connect_timeout_ns") or ours.connect_within,
        report=report,
        log=ours.log,
        trace=ours.trace,
        fleet=ours.fleet,
        policy=ours.policy,
        shards=ours.shards,
        sites=ours.sites,
    )


def without_nulls(told):
    """What is told as null is not told."""
    return {name: value for name, value in told.items() if value is not None}


def need(value, name):
    if not value:
        raise Untold(name)
    return value


@dataclass(slots=True)
class Ours:
    """The operators' file in the form that the platform's is merged with; as it stands, nothing told."""

    name: str = ""
    listen: str = ""
    discovery: str = ""
    management: str | None = None
    state: str = ""
    seed: str = ""
    limits: dict = None
    known: dict = None
    settings: dict = None
    kinds: list = None
    zones: list = None
    connect_within: int = SEC
    report: dict = None
    log: dict = None
    fleet: object = None
    policy: object = None
    shards: object = None
    sites: bool = False
    trace: bool = False

    def __post_init__(self):
        for name in ("limits", "known", "settings", "report", "log"):
            setattr(self, name, getattr(self, name) or {})
        self.kinds, self.zones = self.kinds or [], self.zones or []


def from_operators(told):
    """An `Ours` from what `ground.file.read` gives."""
    from juniperlanding.ground import file

    value = {key: file.plain_value(found) for key, (found, _) in told.values.items()}
    get = {**file.defaults(), **value}.get
    settings = {name: value[key] for key, name in file.setting_names().items() if value.get(key) is not None}
    kinds = [kind for kind, _ in told.tables["kind"]]
    settings["batch_by_kind"] = [kind.batch for kind in kinds]
    settings["routes_apart"] = [kind.routes_apart for kind in kinds]
    if told.tables["topic"]:
        settings["topic_types"] = [file.topic(entry) for entry, _ in told.tables["topic"]]
    members = [
        {
            "id": e.id,
            "host_port": e.address,
            "locality": e.zone or "",
            "flavor": e.kind,
            "cell": e.destination,
            "phase": "in_service",
            "size": e.scale,
        }
        for e, _ in told.tables["endpoint"]
    ]
    limits = {
        "memory_mb": get("limits.memory") / 1e6,
        "disk_mb": get("limits.disk") / 1e6,
        "sockets": get("limits.sockets"),
    }
    return Ours(
        name=get("instance.name"),
        listen=get("instance.listen"),
        discovery=get("instance.discovery"),
        management=get("instance.management"),
        state=get("instance.state"),
        seed=get("instance.seed"),
        limits=limits,
        known={"members": members} if members else {},
        settings=settings,
        kinds=[kind.name for kind in kinds],
        zones=list(get("zones")),
        connect_within=int(get("connections.connect_within")),
        report=dict(get("reports")),
        log={"form": get("log.form"), "lines": get("log.lines")},
        trace=bool(get("log.trace")),
        fleet=fleet(get),
        policy=policy(get),
        shards=shards(get),
        sites=bool(get("sites.enabled")),
    )


@dataclass(slots=True)
class Fleet:
    """How a dispatcher takes part in its fleet; addresses are (host, port)."""

    address: tuple
    advertise: tuple | None
    key: str
    name: str
    site: str
    seeds: list


def fleet(get):
    """A `Fleet`, or None unless the operators' own file says `enabled = true`."""
    if not get("fleet.enabled"):
        return None
    advertise = get("fleet.advertise")
    return Fleet(
        address=protocol.address(get("fleet.address")),
        advertise=protocol.address(advertise) if advertise else None,
        key=get("fleet.key"),
        name=get("fleet.name"),
        site=get("fleet.site"),
        seeds=[*map(protocol.address, get("fleet.seeds"))],
    )


@dataclass(slots=True)
class Policy:
    """How a dispatcher is bound by the fleet's policy; voters: name -> (host, port), licence in ns."""

    voters: dict
    folder: str
    file: str | None
    licence: int
    drift: float


def policy(get):
    """A `Policy`, or None unless the operators' own file says `enabled = true`."""
    if not get("policy.enabled"):
        return None
    voters = dict(voter.rpartition("@")[::2] for voter in get("policy.voters"))
    return Policy(
        voters={name: protocol.address(address) for name, address in voters.items()},
        folder=get("policy.folder"),
        file=get("policy.file"),
        licence=int(get("policy.licence")),
        drift=get("policy.drift"),
    )


@dataclass(slots=True)
class Shards:
    """How the ledger is split: bytes of a shard (None: by the disk), and how many there may be."""

    most: int | None
    least: int | None
    count: int


def shards(get):
    """A `Shards`, or None unless the operators' own file says `enabled = true`."""
    if not get("shards.enabled"):
        return None
    return Shards(get("shards.most"), get("shards.least"), get("shards.count"))
