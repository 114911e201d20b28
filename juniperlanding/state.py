"""The records of the decision module, grouped by how long they live; they hold no logic.

All times and durations are whole nanoseconds of the dispatcher's clock, 0 for none or never.  A new or
renamed field needs its place in carry.py's table, which has the name under which it is handed over."""

from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Call:
    """One call to an endpoint, which takes one slot: the pushes that travel in it and share its fate."""

    pushes: list = field(default_factory=list)
    sampled: bool = False  # it counted for outlier detection already, as one sample
    presumed_lost_at: int = 0  # from then on its slot may be reclaimed
    connection_idle: int = 0  # how long the endpoint's connections had been idle when it was sent


@dataclass(slots=True, eq=False)
class Push:
    """One attempt to deliver a notification; lives from the choice of an endpoint to the outcome."""

    ntf: "Notification"
    number: int  # among the pushes of its notification, from 0
    candidates: list = field(
        default_factory=list
    )  # endpoints that it may still go to while the stages narrow them
    endpoint: "Endpoint | None" = None
    call: Call | None = None
    zone: int = 0
    sent_at: int = 0
    timeout: int = 0  # 0: until the TTL
    overdue_at: int = 0
    lost_after: int = 0
    overdue: bool = False
    cancelled: bool = False  # to reclaim its slot
    is_probe: bool = False  # goes to an ejected endpoint


@dataclass(slots=True, eq=False)
class Notification:
    """Lives from acceptance to the final answer."""

    id: int
    topic: dict  # the topic type that it was accepted with
    destination: "Destination"
    ttl_at: int
    key: int = 0  # of its order, where the topic type is ordered
    pushes: int = 0
    never_sent: bool = False  # accepted by an earlier process; no endpoint has seen a push of it
    timeout_doublings: int = 0
    in_flight: Push | None = None
    not_before: int = 0
    may_have_run: Push | None = None  # the first push that may have been executed
    # Share of its benefit that counts; less where its tenant is over its allowance.
    benefit_share: float = 1.0
    finished: bool = False


@dataclass(slots=True, eq=False)
class Route:
    """What shares one limit: a destination, or one endpoint where routes are apart."""

    listed_limit: float = 0.0  # calls a second
    wait_until: int = 0
    throttle_run: int = 0  # throttled in a row; calls throttled together count once
    throttled_since: int = 0  # nothing was delivered since
    rate: float = 0.0  # calls a second that this dispatcher may make
    reported_limit: float = 0.0  # calls a second
    tokens: float = 1.0
    filled_at: int = 0
    slowed_at: int = 0  # when throttling last decreased the rate
    mean_limit_left: float = 0.0  # share of the limit that reports show as left


@dataclass(slots=True, eq=False)
class Endpoint:
    """Lives as long as the list names it, and while a call to it is in flight."""

    id: int
    destination: "Destination"
    route: Route
    kind: int
    zone: int
    rank: int  # by rendezvous hashing; the least goes first
    state: str = "ready"  # or draining, gone
    calls: list = field(default_factory=list)
    trouble: float = 0.0  # failure score from 0 to 1, an exponentially weighted mean
    failing_since: int = 0  # begin of the failures in a row
    failure_run: int = 0  # their number; silence counts as two, a silent connect as three
    delivered_at: int = 0
    connection_refused_at: int = 0
    idle_since: int = 0  # when its last call ended
    uncounted_reset_idle: int = 0  # idle time of the connection whose reset was not counted as a failure
    ejected: bool = False  # by outlier detection
    probe_at: int = 0  # earliest time of the next push while it fails, of the next probe while it is ejected
    warming_since: int = 0  # begin of its slow start
    tokens: float = 0.0  # of its slow start
    filled_at: int = 0


@dataclass(slots=True, eq=False)
class Destination:
    """One customer's system: its endpoints, what waits for it, and the forecast of its latencies."""

    id: int
    endpoints: list = field(default_factory=list)
    waiting: list = field(default_factory=list)
    route: Route = field(default_factory=Route)
    delivery_rate_at: int = 0
    last_served: int = 0  # number of the call in the count over all destinations
    delivery_rate: float = 0.0  # deliveries a second, as of delivery_rate_at
    samples: int = 0
    recent: list = field(default_factory=list)  # the most recent latencies
    mean: float = 0.0
    ewma: float = 0.0  # exponentially weighted mean
    errors: list = field(default_factory=list)  # sum of squared errors of each predictor
    forecast: int = 0
    rmse: int = 0  # root mean square error of the forecast
    timeout_doublings: int = 0
    calls_out: int = 0
    idle_until: int = 0  # nothing may be sent before
    expiry_check_at: int = 0  # nothing that waits can be over before


@dataclass(slots=True, eq=False)
class Instance:
    """One dispatcher; lives from start to kill."""

    settings: dict
    seed: int
    rank: int  # its number among the dispatchers
    dispatchers: int
    draw_count: int = 0  # pseudo-random numbers drawn
    served: int = 0  # calls sent
    notifications: dict = field(default_factory=dict)
    pushes: dict = field(default_factory=dict)  # in flight, by id and number
    endpoints: dict = field(default_factory=dict)
    destinations: dict = field(default_factory=dict)
    slots_out: int = 0  # slots in use
    own_loss: float = 0.0  # this dispatcher's own share of failures over all endpoints
    refusing_kinds: set = field(default_factory=set)  # kinds of which an endpoint has refused a connection
    keys: dict = field(default_factory=dict)  # pending notifications of each ordered key, in order
    # Key -> (held until, notification, call that may still run).
    key_holds: dict = field(default_factory=dict)
    tenant_next_at: dict = field(default_factory=dict)  # tenant -> time up to which its allowance is used
    wakes: set = field(default_factory=set)  # timers that are set
    list_failures: int = 0
    subscribe_at: int = 0
    shedding: bool = False
    stale_after: int = 0  # connections idle for longer are closed before a call
    stale_seen_at: int = 0  # when an idle connection last broke
    stops_at: int = 0
