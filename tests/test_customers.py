"""What other customers' settings ask: topic types that keep their order, and tenants with shares."""

from conftest import Bed

from juniperlanding.choice import SEC
from juniperlanding.drill.host import Drill
from juniperlanding.settings import in_our_words

SHARES = {"tenants": {"a": 0.2, "b": 0.2}, "over_share": 0.05}  # two at once and one each 10 s, at one of two


def test_when_places_run_out_what_is_beyond_a_share_goes_first():
    bed = Bed(slots=0, most_held=10, **SHARES)
    for number, tenant in enumerate("aaaabbbbbb"):
        bed.at.notification(f"{tenant}{number}", 0, 1, tenant=tenant)
    bed.turn()
    assert [fields[0] for fields in bed.host.all("throttled")] == ["a2"]


def test_a_share_fills_again_and_no_tenant_has_one_where_none_is_told():
    bed = Bed(**SHARES)

    def counts(tenant, after=0.0):
        bed.at.now += int(after * SEC)
        bed.count += 1
        bed.at.notification(bed.count, 0, 1, tenant=tenant)
        return bed.at.me.notifications[bed.count].counts

    assert [counts("a") for _ in range(4)] == [1, 1, 0.05, 0.05]
    assert counts("a", after=9) == 0.05 and counts("a", after=1) == 1 and counts("a") == 0.05
    assert counts("unheard-of") == counts("") == 1
    assert set(bed.at.me.tenants) == {"a"}


def test_shares_come_from_the_settings_and_tenants_over_the_simulator_s_wire():
    told = in_our_words({"tenants": [{"name": "a", "share": 0.5, "allowance_per_s": 0.2},
                                     {"name": "b", "share": 0.5, "allowance_per_s": 0.2}],
                         "over_share_worth": 0.05})
    assert {name: told[name] for name in SHARES} == SHARES
    assert "tenants" not in in_our_words({"tenants": []})
    bed = Bed(**SHARES)
    Drill().incoming(bed.at, 1, 0, 1, 0, bed.at.now + SEC, 0, 1.0, 0)
    assert set(bed.at.me.tenants) == {"b"}
    Drill().incoming(Bed().at, 1, 0, 0, 0, SEC, 0, 1.0, 0)
