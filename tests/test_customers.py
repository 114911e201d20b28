"""Settings of some deployments: topic types delivered in order by key, and tenants with shares."""

import pytest
from conftest import ORDERED, WIRE, Bed
from test_net import handed

from juniperlanding.choice import SEC
from juniperlanding.drill.host import Drill
from juniperlanding.settings import translate_settings
from juniperlanding.standins.peers import http

STEP = {
    "name": "step",
    "effect": "safe",
    "fifo_by_key": True,
    "aim_ns": 2 * SEC,
    "deadline_ns": 20 * SEC,
    "worth": 1,
}
# At one of two dispatchers: two at once, then one every 10 s.
SHARES = {"tenants": {"a": 0.2, "b": 0.2}, "over_share": 0.05}


async def submit_keyed(site, number, query="", *more):
    text = handed(f"X-Trace-Id: {number}", "X-Qos: step", "X-Expires-In-Ms: 20000", *more)
    return (await site.ask(text.replace(b"/api ", b"/api" + query.encode() + b" ", 1)))[0]


def sent_ids(site):
    return [headers["x-trace-id"] for _, headers, _ in site.far.got if "x-trace-id" in headers]


def ordered(site, answer="late"):
    """Configures an ordered topic type; returns an endpoint that gives `answer` to `a1` and 200 to others."""
    site.wire = WIRE | {"request_classes": [STEP]}
    return lambda first, headers, body: answer if headers.get("x-trace-id") == "a1" else http(200)


def test_what_carries_one_key_goes_in_turn(site):
    """`c1` is accepted after `a2` and sent before it, so `a2` could have been sent by then."""

    async def scene(site):
        node = await site.start()
        for number, query in ("a1", "?key=1f"), ("a2", "?key=1f"), ("c1", "?key=20"), ("d1", ""):
            assert await submit_keyed(site, number, query) == 202
        await site.until(lambda: {"c1", "d1"} <= set(sent_ids(site)))
        assert "a2" not in sent_ids(site)
        site.far.go.set()
        await site.until(lambda: not node.ledger.notifications)
        assert sent_ids(site)[-1] == "a2"

    answer = ordered(site)
    site.run(scene, answer)


def test_what_carries_one_key_goes_in_turn_after_a_kill_too(site):
    async def scene(site):
        await site.start()
        for number in "a1", "a2":
            assert await submit_keyed(site, number, "?key=1f") == 202
        await site.until(lambda: sent_ids(site) == ["a1"])
        site.kill()
        site.far.answer = ordered(site, "late")
        node = await site.start()
        await site.until(lambda: sent_ids(site) == ["a1", "a1"])
        assert await submit_keyed(site, "c1", "?key=20") == 202
        await site.until(lambda: "c1" in sent_ids(site))
        assert "a2" not in sent_ids(site)
        site.far.go.set()
        await site.until(lambda: not node.ledger.notifications)
        assert sent_ids(site) == ["a1", "a1", "c1", "a2"]

    answer = ordered(site, None)
    site.run(scene, answer)


@pytest.mark.parametrize(
    "query, status",
    [
        ("?key=1&key=2", 400),
        ("?key=", 400),
        ("?key=" + "a" * 300, 400),
        ("?other=1", 202),
        ("?", 202),
        ("?other=1&key=2", 202),
    ],
)
def test_a_key_that_may_mean_two_things_is_refused(site, query, status):
    async def scene(site):
        await site.start()
        assert await submit_keyed(site, "b1", query) == status

    answer = ordered(site)
    site.run(scene, answer)


def test_two_tenants_of_one_request_are_refused(site):
    async def scene(site):
        await site.start()
        assert await submit_keyed(site, "b1", "", "X-Customer: a", "x-customer: b") == 400

    answer = ordered(site)
    site.run(scene, answer)


def test_what_is_inside_its_tenant_s_share_goes_first(site):
    """There is one slot: `a1` holds it while the others are accepted; `a2` is beyond its tenant's share."""
    site.wire = WIRE | {
        "tenants": [{"name": name, "allowance_per_s": 0.01} for name in "ab"],
        "over_share_worth": 0.05,
        "family_info": WIRE["family_info"] | {"workers": 1},
        "request_classes": [STEP],
    }

    async def scene(site):
        node = await site.start()
        assert await submit_keyed(site, "a1", "", "X-Customer: a") == 202
        await site.until(lambda: sent_ids(site))
        for number, tenant in ("a2", "a"), ("b1", "b"):
            assert await submit_keyed(site, number, "", f"X-Customer: {tenant}") == 202
        assert sent_ids(site) == ["a1"]
        site.far.go.set()
        await site.until(lambda: not node.ledger.notifications)
        assert sent_ids(site) == ["a1", "b1", "a2"]

    site.run(scene, lambda *message: "late")


def test_when_places_run_out_what_is_beyond_a_share_goes_first():
    bed = Bed(slots=0, most_held=10, **SHARES)
    for number, tenant in enumerate("aaaabbbbbb"):
        bed.dispatcher.notification(f"{tenant}{number}", 0, 1, tenant=tenant)
    bed.turn()
    assert [fields[0] for fields in bed.host.all("throttled")] == ["a2"]


def test_a_share_fills_again_and_no_tenant_has_one_where_none_is_told():
    bed = Bed(**SHARES)

    def counts(tenant, after=0.0):
        bed.dispatcher.now += int(after * SEC)
        bed.count += 1
        bed.dispatcher.notification(bed.count, 0, 1, tenant=tenant)
        return bed.dispatcher.state.notifications[bed.count].benefit_share

    assert [counts("a") for _ in range(4)] == [1, 1, 0.05, 0.05]
    assert counts("a", after=9) == 0.05 and counts("a", after=1) == 1 and counts("a") == 0.05
    assert counts("unheard-of") == counts("") == 1
    assert set(bed.dispatcher.state.tenant_next_at) == {"a"}


def test_shares_come_from_the_settings_and_tenants_over_the_simulator_s_wire():
    converted = translate_settings(
        {
            "tenants": [
                {"name": "a", "share": 0.5, "allowance_per_s": 0.2},
                {"name": "b", "share": 0.5, "allowance_per_s": 0.2},
            ],
            "over_share_worth": 0.05,
        }
    )
    assert {name: converted[name] for name in SHARES} == SHARES
    assert "tenants" not in translate_settings({"tenants": []})
    bed = Bed(**SHARES)
    Drill().incoming(bed.dispatcher, 1, 0, 1, 0, bed.dispatcher.now + SEC, 0, 1.0, 0)
    assert set(bed.dispatcher.state.tenant_next_at) == {"b"}
    Drill().incoming(Bed().dispatcher, 1, 0, 0, 0, SEC, 0, 1.0, 0)


def test_a_key_rests_until_a_call_of_several_is_over_in_which_one_timed_out():
    """A notification timed out in a batched call, which is still running: the endpoint may process it until
    the call ends, so the pause of its key begins only then."""
    bed = Bed(batch_by_kind=[5], order_pause=2 * SEC)
    first, other = bed.take(ORDERED, ttl=1, key="1f"), bed.take(ORDERED, key="20")
    bed.turn()
    late = bed.take(ORDERED, key="1f")
    assert len(bed.endpoint().calls) == 1 and len(bed.endpoint().calls[0].pushes) == 2
    bed.end(first, "timeout", after=1)
    bed.turn(5)
    assert late not in [ntf for ntf, *_ in bed.pushed]
    bed.end(other, "delivered", after=1)
    bed.turn(1.9)
    assert late not in [ntf for ntf, *_ in bed.pushed]
    bed.turn(0.2)
    assert late in [ntf for ntf, *_ in bed.pushed] and not bed.dispatcher.state.notifications[late].not_before
    bed.end(late, "delivered")
    bed.turn()
    assert not bed.dispatcher.state.key_holds
