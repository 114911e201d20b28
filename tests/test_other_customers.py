"""Unusual settings.  Whatever they say, every accepted notification ends exactly once, it is delivered where
that is possible, and one that may not run twice does not."""

import json
from collections import Counter

import pytest
from conftest import SEC, WIRE, Site
from test_net import handed

from juniperlanding.net import protocol
from juniperlanding.net.config import read
from juniperlanding.settings import translate_settings
from juniperlanding.standins.peers import Far, http, member

CLASSES = WIRE["request_classes"]
EFFECTS = {"news": "safe", "order": "unsafe", "pay": "keyed"}
# Destinations: one whose endpoint works, and what the endpoints of the others answer.
WORKING = 7
FAILING = {9: "reset", 10: None, 11: http(503), 12: http(429, b"", "Retry-After: 0.2")}
SHORT_TTL = 800  # milliseconds; for notifications that no endpoint accepts


def classes(**changes):
    """All request classes with these values changed."""
    return {"request_classes": [request_class | changes for request_class in CLASSES]}


def changed(section, **changes):
    """A section of the settings with these values changed."""
    return {section: WIRE[section] | changes}


SECTIONS = (
    "permissions",
    "safety",
    "family_info",
    "report",
    "models",
    "areas",
    "tenants",
    "n_instances",
    "tick_ns",
)
CASES = {
    "deadlines of half a second": classes(aim_ns=SEC // 10, deadline_ns=SEC // 2),
    "deadlines of ten minutes": classes(aim_ns=60 * SEC, deadline_ns=600 * SEC),
    "windows of 1 s": classes(repeat_window_ns=SEC),
    "windows of nothing": classes(repeat_window_ns=0),
    "objectives beyond the deadline": classes(aim_ns=100 * SEC),
    "objectives of nothing, by halves": classes(aim_ns=0) | changed("family_info", fades="halves"),
    "no benefit": classes(worth=0, late_worth=0),
    "neither objective, deadline nor benefit": classes(aim_ns=None, deadline_ns=None, worth=None),
    "figures with a point": classes(aim_ns=2e9, deadline_ns=20e9, repeat_window_ns=6e9)
    | changed("family_info", workers=20.0, batch_by_kind=[1.0, 5.0])
    | changed("permissions", most_held=50.0, max_attempts=6.0, conn_idle_ns=1e10, connect_timeout_ns=1e9)
    | changed("safety", warm_within_ns=1e10, must_ask_in_ns=1e10)
    | {"tick_ns": 5e6},
    "calls of none": changed("family_info", batch_by_kind=[0, 0]),
    "calls of nothing told": changed("family_info", batch_by_kind=[None, None]),
    "calls of 50, told of one kind alone": changed("family_info", batch_by_kind=[50], routes_apart=[]),
    "routes apart": changed("family_info", routes_apart=[True, True]),
    "one push": changed("permissions", max_attempts=1),
    "ten places": changed("permissions", most_held=10),
    "one slot": changed("family_info", workers=1),
    "connections close at once": changed("permissions", conn_idle_ns=1),
    "connections close in 1 s": changed("permissions", conn_idle_ns=SEC),
    "a close of nothing": changed("permissions", conn_idle_ns=0),
    "connections come up in 0.2 s": changed("permissions", connect_timeout_ns=SEC // 5),
    "connections come up in no time": changed("permissions", connect_timeout_ns=0),
    "nobody tells how connections come up": changed("permissions", connect_timeout_ns=None),
    "no call is called off": changed("permissions", cancel=False),
    "a thousand dispatchers": {"n_instances": 1000, "rank": 999},
    "no rule has a figure": changed(
        "safety", start_capacity=0, warm_within_ns=0, overload_factor=0, fall_ns=0, must_ask_in_ns=0
    ),
    "forty tenants, most without a share": {
        "over_share_worth": 0,
        "tenants": [
            {"name": f"t{n}", "share": 0.025, "allowance_per_s": 0.01 if n else 0} for n in range(40)
        ],
    },
    "limits of one call a second": {"weight_kind": "nominal"},
    "scales that say nothing": {"weight_kind": "off"},
    "every section empty": {name: {} for name in ("permissions", "safety", "family_info", "report")},
    "every section null": dict.fromkeys(SECTIONS),
    "effects never heard of": classes(effect="perhaps"),
    "no effect told": classes(effect=None),
    "groups never heard of": classes(group="hall"),
}


async def peers(site):
    """Starts one endpoint for each kind of answer; returns them by destination, of which each has one."""
    endpoints = {WORKING: site.far}
    for cell, answer in FAILING.items():
        endpoints[cell] = await Far(lambda *message, answer=answer: answer).open(site.nursery)
    members = [member(cell, far.address, cell=cell) | {"size": 1.0} for cell, far in endpoints.items()]
    site.told = {"known": {"revision": 1, "complete": True, "members": members}}
    return endpoints


def working(first, headers, body):
    """An endpoint that accepts every notification."""
    if first.split()[1] != protocol.BATCH_PATH:
        return http(200)
    outcomes = [{"id": message["id"], "state": "accepted"} for message in json.loads(body)]
    return http(200, json.dumps(outcomes).encode())


def ids(far):
    """How often each notification arrived, in a single or a batched call.

    Only calls on the two known paths count: a test running in parallel may call a port that was reused."""
    calls = [(first.split()[1], headers, body) for first, headers, body in far.got]
    batched = [
        message["id"]
        for path, _, body in calls
        if path == protocol.BATCH_PATH
        for message in json.loads(body)
    ]
    return Counter(
        batched + [headers["x-trace-id"] for path, headers, _ in calls if path == protocol.MESSAGE_PATH]
    )


@pytest.mark.parametrize("settings", CASES.values(), ids=CASES)
def test_each_gets_one_end_whatever_the_settings_say(site, settings):
    """A notification that the decision module does not end in time is ended for it and counted as a fault."""
    site.wire = WIRE | settings
    effects = {
        request_class["name"]: None
        if request_class["effect"] == "keyed" and request_class.get("group") not in ("all", None)
        else request_class["effect"]
        for request_class in site.wire["request_classes"]
    }

    async def scene(site):
        endpoints = await peers(site)
        node = await site.start()
        accepted = {}
        for cell in endpoints:
            for topic in EFFECTS:
                number = f"{topic}-{cell}"
                ttl, more = 5000 if cell == WORKING else SHORT_TTL, f"X-Customer: t{cell}\r\n"
                status = await site.submit(number, topic, ttl=ttl, dest=cell, more=more)
                if status == 202 or cell == WORKING:  # else at capacity, or its TTL has passed
                    assert status == 202
                    accepted[number] = topic, cell
                if cell == WORKING:
                    await site.until(lambda number=number: number not in node.ledger.notifications)
        await site.until(lambda: not node.ledger.notifications)
        assert not node.counters["faults"] and "fault" not in [event for event, _ in site.lines]
        notices = Counter(notice["message"] for notice in site.platform.notices)
        for number, (topic, cell) in accepted.items():
            runs = ids(endpoints[cell])[number]
            if cell == WORKING:
                assert (runs, notices[number]) == (1, 0)
            else:
                assert notices[number] == 1
            if cell in (9, 10) and effects[topic] not in ("safe", "keyed"):
                assert runs <= 1
        assert {cell for _, cell in accepted.values()} - {WORKING}

    site.run(scene, working)


@pytest.mark.parametrize("max_batch, pending, calls", [(1, 12, 12), (3, 12, 4), (50, 49, 1), (50, 60, 2)])
def test_a_call_carries_as_many_as_the_settings_say(site, max_batch, pending, calls):
    """The first notification occupies the only slot while the others are accepted."""
    site.wire = (
        WIRE
        | {"family_info": {"workers": 1, "batch_by_kind": [max_batch, 1]}}
        | changed("permissions", most_held=100, cancel=False)
    )

    async def scene(site):
        node = await site.start()
        stream = await site.client()
        assert await site.submit("first", stream=stream, ttl=60_000) == 202
        await site.until(lambda: site.far.got)
        for number in range(pending):
            assert await site.submit(f"n{number}", stream=stream, ttl=60_000) == 202
        site.far.go.set()
        await site.until(lambda: not node.ledger.notifications)
        assert ids(site.far) == Counter(["first", *(f"n{number}" for number in range(pending))])
        assert len(site.far.got) == 1 + calls and not site.platform.notices

    site.run(scene, lambda *message: "late" if message[1].get("x-trace-id") == "first" else working(*message))


@pytest.mark.parametrize(
    "name, written",
    [
        ("commande-payée", "utf-8"),
        ("commande-payée", "latin-1"),
        ("注文", "utf-8"),
        ("заказ срочный", "utf-8"),
        ("a:b|c,d;e=f{g}", "utf-8"),
        ("x" * 300, "utf-8"),
        ("None", "utf-8"),
        ("0", "utf-8"),
    ],
)
def test_topic_types_and_tenants_go_by_any_name(site, name, written):
    site.wire = WIRE | {
        "request_classes": [CLASSES[0] | {"name": name}],
        "over_share_worth": 0.5,
        "tenants": [{"name": name, "share": 1, "allowance_per_s": 5}],
    }

    async def scene(site):
        node = await site.start()
        text = handed("X-Trace-Id: a1", "X-Qos: {0}", "X-Expires-In-Ms: 5000", "X-Customer: {0}")
        assert (await site.ask(text.replace(b"{0}", name.encode(written))))[0] == 202
        await site.until(lambda: not node.ledger.notifications)
        assert ids(site.far) == {"a1": 1} and not site.platform.notices
        assert set(node.decision_loop.dispatcher.state.tenant_next_at) == {name}
        status, _ = await site.ask(b"GET /_counters HTTP/1.1\r\nHost: api\r\n\r\n")
        assert status == 200 and f"svc.results.{name}.succeeded 1\n" in site.payload.decode()

    site.run(scene)


@pytest.mark.parametrize(
    "settings", [{"effect": "perhaps"}, {"effect": None}, {}, {"effect": "keyed", "group": "hall"}]
)
def test_what_nobody_says_may_run_twice_is_once_only(settings):
    converted = translate_settings({"request_classes": [{"name": "odd", **settings}]})
    assert converted["topic_types"][0]["kind"] == "once-only"


def test_what_may_run_twice_anywhere_needs_no_group_that_drops_repeats():
    converted = translate_settings({"request_classes": [{"name": "odd", "effect": "safe", "group": "hall"}]})
    assert converted["topic_types"][0]["kind"] == "repeatable"


def test_what_the_platform_s_file_tells_as_null_is_not_told(tmp_path):
    site = Site(tmp_path)
    site.far = site.platform = type("", (), {"address": ("127.0.0.1", 1)})
    site.told = {"seed": None, "name": None, "limits": {"disk_mb": None, "memory_mb": None, "sockets": None}}
    config = site.config()
    assert (config.disk, config.memory, config.sockets) == (64_000_000, 512_000_000, 1024)
    site.told = {"limits": None, "settings": None, "known": None}
    config = site.config()
    assert config.connect_timeout == SEC and config.settings == {"topic_types": []}
    assert read(site.environ, site.system.files).name == "n0"
