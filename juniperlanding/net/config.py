"""The configuration of one dispatcher, from the platform's environment and JSON file and from the operators'
file.  Where both set a value, the platform's is used."""

import json
from dataclasses import dataclass

from juniperlanding.choice import SEC
from juniperlanding.ground.errors import OperatorError
from juniperlanding.net import protocol
from juniperlanding.settings import report_names, translate_settings

MAX_FILE_BYTES = 64 << 20  # of the platform's file; enough for some hundred thousand endpoints


class Untold(OperatorError, KeyError):
    """A value that is required to start is set by neither the platform nor an operators' file."""

    code = "config-untold"
    remedy = "Set it in the operators' file (docs/configuration.md) or by the platform's EDGE_* values."

    @property
    def what(self):
        return f"{self.args[0]} is set by neither the platform nor an operators' file"


class PlatformRefused(OperatorError, ValueError):
    """The platform's file has invalid contents; at SIGHUP the old values stay in force."""

    code = "platform-refused"
    remedy = "Have the file that EDGE_CONFIG names corrected, then start again or send SIGHUP."


class PlatformUnreadable(OperatorError, OSError):
    """The platform's file cannot be read; after SIGHUP the read is retried automatically."""

    code = "platform-unreadable"
    remedy = "Check the path that EDGE_CONFIG names, its permissions and its disk."


def to_operator_error(error):
    """The `OperatorError` to report for a configuration that could not be read, whatever was raised."""
    if isinstance(error, OperatorError):
        return error
    if isinstance(error, OSError):
        return PlatformUnreadable.from_os_error(error)
    return PlatformRefused(f"{type(error).__name__}: {error}")


@dataclass(slots=True)
class Config:
    name: str
    listen: tuple
    discovery: tuple
    management: tuple | None  # address of the admin port; None: no admin port
    state: str
    seed: str
    limits: dict
    known_endpoints: dict
    settings: dict
    kinds: list
    zones: list
    connect_timeout: int
    report: dict
    log: dict
    # The following are set by the operators' file alone.
    fleet: object = None  # a `Fleet`, or None when turned off
    policy: object = None  # a `Policy`, or None when turned off
    shards: object = None  # a `Shards`, or None when turned off
    sites: bool = False  # whether the cost of losing a site is forecast
    trace: bool = False  # whether the log follows single notifications

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
    """The configuration in force; `operators` is what `from_operators` returned.

    Raises KeyError for a required value that is not set, OSError or ValueError for a file that cannot be
    read, and other exceptions for one with unexpected contents; `to_operator_error` turns any of them into
    what is reported.  The discovery address of the platform's file overrides the environment's: the
    environment stays as it was when the process started, while the file is replaced."""
    platform, operator_settings = {}, operators or OperatorSettings()
    if "EDGE_CONFIG" in environ or not operators:
        platform = json.loads(files.read(required(environ.get("EDGE_CONFIG"), "EDGE_CONFIG"), MAX_FILE_BYTES))
        if not isinstance(platform, dict):
            raise PlatformRefused("the platform's file is not a JSON object")
    platform = without_nulls(platform)
    platform_settings = platform.get("settings", {})
    settings = translate_settings(platform_settings)
    if operators and not platform_settings.get("request_classes"):
        del settings["topic_types"]
    settings = {"topic_types": []} | operator_settings.settings | settings
    # `settings` has the platform's report fields without this program's names for them, the operators' file
    # has them with these names.
    report = (
        dict(zip(settings.get("report", []), report_names(settings), strict=True)) or operator_settings.report
    )
    management = environ.get("EDGE_MANAGEMENT") or platform.get("management") or operator_settings.management
    return Config(
        name=environ.get("EDGE_NAME") or platform.get("name") or operator_settings.name or "dispatcher",
        listen=protocol.address(
            environ.get("EDGE_LISTEN")
            or platform.get("listen")
            or required(operator_settings.listen, "listen")
        ),
        discovery=protocol.address(
            platform.get("discovery")
            or environ.get("EDGE_DISCOVERY")
            or required(operator_settings.discovery, "discovery")
        ),
        management=protocol.address(management) if management else None,
        state=environ.get("EDGE_STATE")
        or required(operator_settings.state, "EDGE_STATE" if not operators else "state"),
        seed=str(platform.get("seed", operator_settings.seed)),
        limits=operator_settings.limits | without_nulls(platform.get("limits", {})),
        known_endpoints=platform.get("known") or operator_settings.known_endpoints,
        settings=settings,
        kinds=platform_settings.get("models") or operator_settings.kinds,
        zones=platform_settings.get("areas") or operator_settings.zones,
        # `or`: with a time limit of zero no connection would ever be established.
        connect_timeout=(platform_settings.get("permissions") or {}).get("connect_timeout_ns")
        or operator_settings.connect_timeout,
        report=report,
        log=operator_settings.log,
        trace=operator_settings.trace,
        fleet=operator_settings.fleet,
        policy=operator_settings.policy,
        shards=operator_settings.shards,
        sites=operator_settings.sites,
    )


def without_nulls(values):
    """The same without nulls: a value that is null counts as not set."""
    return {name: value for name, value in values.items() if value is not None}


def required(value, name):
    if not value:
        raise Untold(name)
    return value


@dataclass(slots=True)
class OperatorSettings:
    """The values of the operators' file, to be merged with the platform's; the defaults stand for no file."""

    name: str = ""
    listen: str = ""
    discovery: str = ""
    management: str | None = None
    state: str = ""
    seed: str = ""
    limits: dict = None
    known_endpoints: dict = None
    settings: dict = None
    kinds: list = None
    zones: list = None
    connect_timeout: int = SEC
    report: dict = None
    log: dict = None
    fleet: object = None
    policy: object = None
    shards: object = None
    sites: bool = False
    trace: bool = False

    def __post_init__(self):
        for name in ("limits", "known_endpoints", "settings", "report", "log"):
            setattr(self, name, getattr(self, name) or {})
        self.kinds, self.zones = self.kinds or [], self.zones or []


def from_operators(operators_file):
    """The `OperatorSettings` of a file that `ground.file.read` has read."""
    from juniperlanding.ground import file

    values = {key: file.plain_value(found) for key, (found, _) in operators_file.values.items()}
    get = {**file.defaults(), **values}.get
    settings = {
        name: values[key] for key, name in file.setting_names().items() if values.get(key) is not None
    }
    kinds = [kind for kind, _ in operators_file.tables["kind"]]
    settings["batch_by_kind"] = [kind.batch for kind in kinds]
    settings["routes_apart"] = [kind.routes_apart for kind in kinds]
    if operators_file.tables["topic"]:
        settings["topic_types"] = [file.topic_settings(entry) for entry, _ in operators_file.tables["topic"]]
    members = [
        {
            "id": endpoint.id,
            "host_port": endpoint.address,
            "locality": endpoint.zone or "",
            "flavor": endpoint.kind,
            "cell": endpoint.destination,
            "phase": "in_service",
            "size": endpoint.scale,
        }
        for endpoint, _ in operators_file.tables["endpoint"]
    ]
    limits = {
        "memory_mb": get("limits.memory") / 1e6,
        "disk_mb": get("limits.disk") / 1e6,
        "sockets": get("limits.sockets"),
    }
    return OperatorSettings(
        name=get("instance.name"),
        listen=get("instance.listen"),
        discovery=get("instance.discovery"),
        management=get("instance.management"),
        state=get("instance.state"),
        seed=get("instance.seed"),
        limits=limits,
        known_endpoints={"members": members} if members else {},
        settings=settings,
        kinds=[kind.name for kind in kinds],
        zones=list(get("zones")),
        connect_timeout=int(get("connections.connect_within")),
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
    """How a dispatcher joins its fleet; addresses are (host, port)."""

    address: tuple
    advertise: tuple | None
    key: str
    name: str
    site: str
    seeds: list


def fleet(get):
    """The `Fleet`, or None unless the operators' file says `enabled = true`."""
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
    """How a dispatcher agrees on the fleet's policy."""

    voters: dict  # name -> (host, port)
    folder: str
    file: str | None
    lease: int  # length of a lease in nanoseconds
    drift: float


def policy(get):
    """The `Policy`, or None unless the operators' file says `enabled = true`."""
    if not get("policy.enabled"):
        return None
    voters = dict(voter.rpartition("@")[::2] for voter in get("policy.voters"))
    return Policy(
        voters={name: protocol.address(address) for name, address in voters.items()},
        folder=get("policy.folder"),
        file=get("policy.file"),
        lease=int(get("policy.licence")),
        drift=get("policy.drift"),
    )


@dataclass(slots=True)
class Shards:
    """How the ledger is split into shards."""

    most: int | None  # the largest size of a shard in bytes; None: derived from the disk limit
    least: int | None  # the size in bytes below which shards are merged; None: derived from `most`
    count: int  # the most shards that there may be


def shards(get):
    """The `Shards`, or None unless the operators' file says `enabled = true`."""
    if not get("shards.enabled"):
        return None
    return Shards(get("shards.most"), get("shards.least"), get("shards.count"))
