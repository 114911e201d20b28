"""The module's records as plain lists, for another process to go on with: what `choice` knows, no decision.

`taken_from` writes down every record that an instance reaches, `given_to` builds them again; what belongs to
the process (settings, seed, number, when it stops) stays.  `VERSION` follows from the outer names of the
records' fields: another version is not read."""

from zlib import crc32

from juniperlanding.state import Call, Destination, Endpoint, Notification, Push, Route

MEANING = 1  # counts up when a field means something else and keeps its name
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
            "options": "options",
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
            "unsent": "unsent",
            "cut": "timeout_doublings",
            "out": "in_flight",
            "not_before": "not_before",
            "may_have_run": "may_have_run",
            "counts": "counts",
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
            "pace": "pace",
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
            "bad_since": "bad_since",
            "run": "run",
            "good_at": "delivered_at",
            "full_at": "connection_refused_at",
            "quiet_since": "idle_since",
            "excused": "uncounted_reset_idle",
            "down": "down",
            "trial_at": "trial_at",
            "back_at": "back_at",
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
            "series": "series",
            "mean": "mean",
            "smooth": "smooth",
            "errors": "errors",
            "forecast": "forecast",
            "miss": "miss",
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
    "key_rest": "key_rest",
    "tenants": "tenants",
    "wakes": "wakes",
    "list_failures": "list_failures",
    "subscribe_at": "subscribe_at",
    "shedding": "shedding",
    "stale_after": "stale_after",
    "stale_seen": "stale_seen_at",
}
RECORDS = tuple(RECORD_NAMES)
FIELDS = {kind: list(names.values()) for kind, (_, names) in RECORD_NAMES.items()}
STAYS = {"settings", "seed", "rank", "dispatchers", "stops_at"}
GOES = list(INSTANCE_NAMES.values())
VERSION = crc32(
    repr((MEANING, [*INSTANCE_NAMES], [(name, [*names]) for name, names in RECORD_NAMES.values()])).encode()
)
RECORD, TOPIC, DICT, LIST, TUPLE, SET = range(6)


class Unknown(ValueError):
    """Records that this version cannot read."""


def taken_from(me, terms=None):
    """All that an instance knows: {"records": [[kind, field...]...], "instance": [field...]}.

    terms: number -> topic types of each policy that something owed was taken on under; 0 is the process's own
    settings."""
    known = terms or {0: me.settings.get("topic_types", [])}
    topics = {
        id(topic): [at, number] if number else [at]
        for number, types in sorted(known.items(), reverse=True)
        for at, topic in enumerate(types)
    }
    numbers, found, records = {}, [], []

    def plain(value):
        if type(value) in FIELDS:
            if id(value) not in numbers:
                numbers[id(value)] = len(found)
                found.append(value)
            return [RECORD, numbers[id(value)]]
        if isinstance(value, dict):
            return [DICT, *([plain(key), plain(one)] for key, one in value.items())]
        if isinstance(value, (list, tuple, set)):
            kind = LIST if isinstance(value, list) else TUPLE if isinstance(value, tuple) else SET
            return [kind, *map(plain, sorted(value) if kind == SET else value)]
        return value

    def field(record, name):
        value = getattr(record, name)
        return [TOPIC, *topics.get(id(value), [-1])] if name == "topic" else plain(value)

    instance = [field(me, name) for name in GOES]
    for record in found:  # grows while it is read
        records.append([RECORDS.index(type(record)), *(field(record, name) for name in FIELDS[type(record)])])
    return {"records": records, "instance": instance}


def given_to(me, told, terms=None):
    """Make an instance know what `taken_from` wrote down; `Unknown` leaves it as it was."""
    topics = (terms or {}) | {0: me.settings.get("topic_types", [])}
    try:
        kinds = [RECORDS[kind] for kind, *_ in told["records"]]
        found = [kind.__new__(kind) for kind in kinds]

        def whole(value):
            if not isinstance(value, list):
                return value
            kind, *rest = value
            if kind == RECORD:
                return found[rest[0]]
            if kind == TOPIC:
                return topics[sum(rest[1:])][rest[0]] if rest[0] >= 0 else {}
            if kind == DICT:
                return {whole(key): whole(one) for key, one in rest}
            return (list, tuple, set)[kind - LIST](map(whole, rest))

        for record, (_, *values) in zip(found, told["records"], strict=True):
            for name, value in zip(FIELDS[type(record)], values, strict=True):
                setattr(record, name, whole(value))
        known = [whole(value) for value in told["instance"]]
        pairs = list(zip(GOES, known, strict=True))
    except (ValueError, TypeError, KeyError, IndexError, RecursionError) as error:
        raise Unknown(f"{type(error).__name__}: {error}") from None
    for name, value in pairs:
        setattr(me, name, value)
