"""The plain records, grouped by how long they live; they point to each other and decide nothing."""

from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Call:
    """One slot and one fate: the pushes that travel together."""

    pushes: list = field(default_factory=list)
    judged: bool = False
    lost_at: int = 0
    idle: int = 0


@dataclass(slots=True, eq=False)
class Push:
    """Lives from the choice of an endpoint to the outcome."""

    ntf: "Notification"
    number: int
    options: list = field(default_factory=list)
    endpoint: "Endpoint | None" = None
    call: Call | None = None
    zone: int = 0
    sent_at: int = 0
    timeout: int = 0
    overdue_at: int = 0
    patience: int = 0
    overdue: bool = False
    cancelled: bool = False
    trial: bool = False


@dataclass(slots=True, eq=False)
class Notification:
    """Lives from the way in to the final answer."""

    id: int
    topic: dict
    destination: "Destination"
    ttl_at: int
    key: int = 0
    pushes: int = 0
    unsent: bool = False  # taken on by an earlier process; no push of it was seen
    cut: int = 0
    out: Push | None = None
    not_before: int = 0
    may_have_run: Push | None = None
    counts: float = 1.0
    over: bool = False


@dataclass(slots=True, eq=False)
class Route:
    """What shares one limit: a destination, or one endpoint where routes are apart."""

    scale: float = 0.0
    wait_until: int = 0
    refusals: int = 0
    refused_since: int = 0
    pace: float = 0.0
    limit: float = 0.0
    tokens: float = 1.0
    filled_at: int = 0
    slowed_at: int = 0
    left: float = 0.0


@dataclass(slots=True, eq=False)
class Endpoint:
    """Lives as long as the list names it, and while a push is out to it."""

    id: int
    destination: "Destination"
    route: Route
    kind: int
    zone: int
    rank: int
    state: str = "ready"
    calls: list = field(default_factory=list)
    trouble: float = 0.0
    bad_since: int = 0
    run: int = 0
    good_at: int = 0
    full_at: int = 0
    quiet_since: int = 0
    excused: int = 0
    down: bool = False
    trial_at: int = 0
    back_at: int = 0
    tokens: float = 0.0
    filled_at: int = 0


@dataclass(slots=True, eq=False)
class Destination:
    """One customer's system: its endpoints, what waits for it, and its forecaster's series."""

    id: int
    endpoints: list = field(default_factory=list)
    waiting: list = field(default_factory=list)
    route: Route = field(default_factory=Route)
    served_at: int = 0
    turn: int = 0
    load: float = 0.0
    samples: int = 0
    series: list = field(default_factory=list)
    mean: float = 0.0
    smooth: float = 0.0
    errors: list = field(default_factory=list)
    forecast: int = 0
    miss: int = 0
    back_off: int = 0
    calls_out: int = 0
    idle_until: int = 0
    look_at: int = 0


@dataclass(slots=True, eq=False)
class Instance:
    """Lives from start to kill."""

    settings: dict
    seed: int
    rank: int
    dispatchers: int
    counter: int = 0
    turns: int = 0
    notifications: dict = field(default_factory=dict)
    pushes: dict = field(default_factory=dict)
    endpoints: dict = field(default_factory=dict)
    destinations: dict = field(default_factory=dict)
    slots_out: int = 0
    loss: float = 0.0
    scarce: set = field(default_factory=set)
    keys: dict = field(default_factory=dict)
    key_rest: dict = field(default_factory=dict)
    tenants: dict = field(default_factory=dict)
    wakes: set = field(default_factory=set)
    list_failures: int = 0
    subscribe_at: int = 0
    shedding: bool = False
    stale_after: int = 0
    stale_seen: int = 0
    stops_at: int = 0
