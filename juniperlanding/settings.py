"""Maps the names in the operators' settings to those of the decision module, for every host.

What is absent in the operators' settings is absent in the result: the module has the defaults."""

SETTING_NAMES = {
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
KIND_OF_EFFECT = {"safe": "repeatable", "keyed": "collapsible"}
KNOWN_GROUPS = ("all", "zone", "cell", None)  # a cell is a destination, so "cell" means all of its endpoints
REPORT_NAMES = {"x0": "limit_left", "x1": "limit"}


def integral(value):
    """Whole numbers as int, also in lists.

    1e9 in the settings is a number of nanoseconds too, and arrives as float; where the program counts or
    shifts, a float would end the iteration with an error."""
    if isinstance(value, list):
        return [integral(entry) for entry in value]
    return int(value) if isinstance(value, float) and value.is_integer() else value


def topic_kind(entry):
    """The kind of a topic type.

    Once-only for an unknown effect, and for a group of which it is not known which endpoints drop repeats:
    what is sent again might run twice there."""
    is_group_unknown = entry.get("effect") == "keyed" and entry.get("group") not in KNOWN_GROUPS
    return "once-only" if is_group_unknown else KIND_OF_EFFECT.get(entry.get("effect"), "once-only")


def translate_settings(wire):
    """The module's settings from the operators' settings, `wire`, as read from JSON."""
    settings = {}
    for path, name in SETTING_NAMES.items():
        value = wire
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is not None:
            settings[name] = integral(value)
    if sizes := settings.get("batch_by_kind"):
        settings["batch_by_kind"] = [max(size or 1, 1) for size in sizes]  # null or 0 means one in a call
    # Notifications a second, over all dispatchers, up to which a tenant's count with their full benefit.
    shares = {entry.get("name"): entry.get("allowance_per_s") for entry in wire.get("tenants") or []}
    if shares:
        settings["tenants"] = shares
    fades = (wire.get("family_info") or {}).get("fades")
    topics = settings["topic_types"] = []
    for entry in wire.get("request_classes") or []:
        topic = {
            name: integral(entry[key]) for key, name in TOPIC_NAMES.items() if entry.get(key) is not None
        }
        topics.append(topic | {"kind": topic_kind(entry), "fades": fades})
    return settings


def report_names(settings):
    """The module's names for the fields of an endpoint's load report, in the order of the settings."""
    return [REPORT_NAMES.get(name, name) for name in settings.get("report", [])]
