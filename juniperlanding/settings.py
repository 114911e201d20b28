"""The operators' settings under the project's names, for every host: a renaming, what is absent stays so."""

NAMES = {
    "rank": "rank",
    "n_instances": "dispatchers",
    "tick_ns": "tick",
    "registry_mode": "list_mode",
    "weight_kind": "scale_kind",
    "over_share_worth": "over_share",
    "family_info.workers": "slots",
    "family_info.batch_by_kind": "batch_by_kind",
    "family_info.routes_apart": "routes_apart",
    "permissions.most_held": "most_held",
    "permissions.max_attempts": "most_pushes",
    "permissions.retry_after": "advises_again",
    "permissions.max_retry_after_ns": "most_again_in",
    "permissions.peer_messages": "may_note",
    "permissions.cancel": "may_cancel",
    "permissions.conn_idle_ns": "idle_closes",
    "permissions.streams_per_conn": "calls_a_connection",
    "az": "zone",
    "costs.cross_zone": "crossing_price",
    "report.fields": "report",
    "safety.must_ask_in_ns": "must_ask_in",
    "safety.start_capacity": "start_capacity",
    "safety.warm_within_ns": "warm_within",
    "safety.overload_factor": "overload_factor",
    "safety.fall_ns": "fall_within",
    "safety.order_pause_ns": "order_pause",
}
TOPIC_NAMES = {
    "name": "name",
    "aim_ns": "objective",
    "deadline_ns": "ttl",
    "effect": "kind",
    "group": "group",
    "repeat_window_ns": "window",
    "worth": "benefit",
    "late_worth": "late_share",
    "fifo_by_key": "ordered",
}
KINDS = {"safe": "repeatable", "keyed": "collapsible"}
GROUPS = ("all", "zone", "cell", None)  # a cell is a destination here, so all of its endpoints
REPORTED = {"x0": "limit_left", "x1": "limit"}


def whole(value):
    """Threat: 1e9 is a number of nanoseconds too, and a fraction where the program counts or shifts ends a
    round."""
    if isinstance(value, list):
        return [whole(one) for one in value]
    return int(value) if isinstance(value, float) and value.is_integer() else value


def kind(entry):
    """Threat: an effect that we have not heard of, or a group of which we cannot tell who drops repeats."""
    unknown = entry.get("effect") == "keyed" and entry.get("group") not in GROUPS
    return "once-only" if unknown else KINDS.get(entry.get("effect"), "once-only")


def in_our_words(wire):
    settings = {}
    for path, name in NAMES.items():
        value = wire
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is not None:
            settings[name] = whole(value)
    if sizes := settings.get("batch_by_kind"):
        settings["batch_by_kind"] = [max(size or 1, 1) for size in sizes]  # none or 0: one in a call
    # How many a second of each tenant's count in full, over all dispatchers.
    shares = {entry.get("name"): entry.get("allowance_per_s") for entry in wire.get("tenants") or []}
    if shares:
        settings["tenants"] = shares
    fades = (wire.get("family_info") or {}).get("fades")
    topics = settings["topic_types"] = []
    for entry in wire.get("request_classes") or []:
        topic = {name: whole(entry[key]) for key, name in TOPIC_NAMES.items() if entry.get(key) is not None}
        topics.append(topic | {"kind": kind(entry), "fades": fades})
    return settings


def report_names(settings):
    return [REPORTED.get(name, name) for name in settings.get("report", [])]
