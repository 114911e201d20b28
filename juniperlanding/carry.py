"""The records of the decision module as plain lists, for another process to go on with.  Decides nothing.

`export_state` writes every record that an instance reaches, `import_state` builds them again.  What
belongs to the process itself (settings, seed, number, planned stop) is left out.  `VERSION` is computed from
the outer names of the records' fields: records of another version are not read."""

from zlib import crc32

from juniperlanding.state import Call, Destination, Endpoint, Notification, Push, Route

MEANING = 1  # goes up when a field changes its meaning but keeps its outer name
# For each record its outer name, then outer name and attribute of each field, in the order in which they are
# written.  A field or class of state.py can be renamed: its outer name stays, and so does VERSION.
RECORD_NAMES = {
    Call: (
        "Call",
        {
            "pushes": "pushes",
            "judged": "sampled",
            "lost_at": "presumed_lost_at",
            "idle": "connection_idle",
        },
    ),
    Push: (
        "Push",
        {
            "ntf": "ntf",
            "number": "number",
            "options": "candidates",
            "endpoint": "endpoint",
            "call": "call",
            "zone": "zone",
            "sent_at": "sent_at",
            "timeout": "timeout",
            "overdue_at": "overdue_at",
            "patience": "lost_after",
            "overdue": "overdue",
            "cancelled": "cancelled",
            "trial": "is_probe",
        },
    ),
    Notification: (
        "Notification",
        {
            "id": "id",
            "topic": "topic",
            "destination": "destination",
            "ttl_at": "ttl_at",
            "key": "key",
            "pushes": "pushes",
            "unsent": "never_sent",
            "cut": "timeout_doublings",
            "out": "in_flight",
            "not_before": "not_before",
            "may_have_run": "may_have_run",
            "counts": "benefit_share",
            "over": "finished",
        },
    ),
    Route: (
        "Route",
        {
            "scale": "listed_limit",
            "wait_until": "wait_until",
            "refusals": "throttle_run",
            "refused_since": "throttled_since",
            "pace": "rate",
            "limit": "reported_limit",
            "tokens": "tokens",
            "filled_at": "filled_at",
            "slowed_at": "slowed_at",
            "left": "mean_limit_left",
        },
    ),
    Endpoint: (
        "Endpoint",
        {
            "id": "id",
            "destination": "destination",
            "route": "route",
            "kind": "kind",
            "zone": "zone",
            "rank": "rank",
            "state": "state",
            "calls": "calls",
            "trouble": "trouble",
            "bad_since": "failing_since",
            "run": "failure_run",
            "good_at": "delivered_at",
            "full_at": "connection_refused_at",
            "quiet_since": "idle_since",
            "excused": "uncounted_reset_idle",
            "down": "ejected",
            "trial_at": "probe_at",
            "back_at": "warming_since",
            "tokens": "tokens",
            "filled_at": "filled_at",
        },
    ),
    Destination: (
        "Destination",
        {
            "id": "id",
            "endpoints": "endpoints",
            "waiting": "waiting",
            "route": "route",
            "served_at": "delivery_rate_at",
            "turn": "last_served",
            "load": "delivery_rate",
            "samples": "samples",
            "series": "recent",
            "mean": "mean",
            "smooth": "ewma",
            "errors": "errors",
            "forecast": "forecast",
            "miss": "rmse",
            "back_off": "timeout_doublings",
            "calls_out": "calls_out",
            "idle_until": "idle_until",
            "look_at": "expiry_check_at",
        },
    ),
}
# As above, for what `Instance` hands over; what belongs to the process is left out.
INSTANCE_NAMES = {
    "counter": "draw_count",
    "turns": "served",
    "notifications": "notifications",
    "pushes": "pushes",
    "endpoints": "endpoints",
    "destinations": "destinations",
    "slots_out": "slots_out",
    "loss": "own_loss",
    "scarce": "refusing_kinds",
    "keys": "keys",
    "key_rest": "key_holds",
    "tenants": "tenant_next_at",
    "wakes": "wakes",
    "list_failures": "list_failures",
    "subscribe_at": "subscribe_at",
    "shedding": "shedding",
    "stale_after": "stale_after",
    "stale_seen": "stale_seen_at",
}
RECORDS = tuple(RECORD_NAMES)
FIELDS = {kind: list(names.values()) for kind, (_, names) in RECORD_NAMES.items()}
PROCESS_FIELDS = {"settings", "seed", "rank", "dispatchers", "stops_at"}
INSTANCE_FIELDS = list(INSTANCE_NAMES.values())
VERSION = crc32(
    repr((MEANING, [*INSTANCE_NAMES], [(name, [*names]) for name, names in RECORD_NAMES.values()])).encode()
)
# The first entry of a list that stands for something else than a plain value.
RECORD, TOPIC, DICT, LIST, TUPLE, SET = range(6)


class UnreadableState(ValueError):
    """Records that this version cannot read."""


def export_state(source, terms=None):
    """All that an instance knows: {"records": [[kind, field...]...], "instance": [field...]}.

    terms: number -> topic types of each policy under which a pending notification was accepted; 0 stands for
    the process's own settings."""
    types_by_policy = terms or {0: source.settings.get("topic_types", [])}
    topics = {
        id(topic): [position, number] if number else [position]
        for number, types in sorted(types_by_policy.items(), reverse=True)
        for position, topic in enumerate(types)
    }
    numbers = {}  # id of a record -> its number
    found = []
    records = []

    def plain(value):
        if type(value) in FIELDS:
            if id(value) not in numbers:
                numbers[id(value)] = len(found)
                found.append(value)
            return [RECORD, numbers[id(value)]]
        if isinstance(value, dict):
            return [DICT, *([plain(key), plain(entry)] for key, entry in value.items())]
        if isinstance(value, (list, tuple, set)):
            kind = LIST if isinstance(value, list) else TUPLE if isinstance(value, tuple) else SET
            return [kind, *map(plain, sorted(value) if kind == SET else value)]
        return value

    def field(record, name):
        value = getattr(record, name)
        return [TOPIC, *topics.get(id(value), [-1])] if name == "topic" else plain(value)

    instance = [field(source, name) for name in INSTANCE_FIELDS]
    for record in found:  # grows while its entries are written
        records.append([RECORDS.index(type(record)), *(field(record, name) for name in FIELDS[type(record)])])
    return {"records": records, "instance": instance}


def import_state(target, state, terms=None):
    """Give an instance what `export_state` wrote; on `UnreadableState` the instance is as it was."""
    topics = (terms or {}) | {0: target.settings.get("topic_types", [])}
    try:
        kinds = [RECORDS[kind] for kind, *_ in state["records"]]
        built = [kind.__new__(kind) for kind in kinds]

        def rebuilt(value):
            if not isinstance(value, list):
                return value
            kind, *rest = value
            if kind == RECORD:
                return built[rest[0]]
            if kind == TOPIC:
                return topics[sum(rest[1:])][rest[0]] if rest[0] >= 0 else {}
            if kind == DICT:
                return {rebuilt(key): rebuilt(entry) for key, entry in rest}
            return (list, tuple, set)[kind - LIST](map(rebuilt, rest))

        for record, (_, *values) in zip(built, state["records"], strict=True):
            for name, value in zip(FIELDS[type(record)], values, strict=True):
                setattr(record, name, rebuilt(value))
        instance = [rebuilt(value) for value in state["instance"]]
        pairs = list(zip(INSTANCE_FIELDS, instance, strict=True))
    except (ValueError, TypeError, KeyError, IndexError, RecursionError) as error:
        raise UnreadableState(f"{type(error).__name__}: {error}") from None
    for name, value in pairs:
        setattr(target, name, value)
