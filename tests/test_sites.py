"""What the loss of a site costs, foretold: the projection alone, what is told, and real processes."""

import json
import os
import re
import subprocess
import sys
from types import SimpleNamespace

import msgspec
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from test_fleet import KEY, record, said, view

from juniperlanding.choice import MS, SEC, Dispatcher
from juniperlanding.emulator.region import Town
from juniperlanding.fleet import words
from juniperlanding.processes.region import Region
from juniperlanding.series import Series
from juniperlanding.sites import figures as told
from juniperlanding.sites.figures import Figures, Kind, Place
from juniperlanding.sites.outage import LOST, SETTLES, WHOLE, WINDOW, Outages
from juniperlanding.sites.part import Sites
from juniperlanding.sites.project import Estimate, Member, project, spread_over

SITES = ("east", "north", "west")
TOPICS = [
    {"name": "news", "kind": "repeatable", "objective": SEC, "ttl": 4 * SEC, "benefit": 1.0},
    {"name": "order", "kind": "once-only", "objective": SEC, "ttl": 4 * SEC, "benefit": 3.0},
    {"name": "status", "kind": "collapsible", "objective": SEC, "ttl": 3 * SEC, "benefit": 2.0},
]
TAKEN = {"news": 5000, "order": 3000, "status": 2000}


def figures(taken=None, places=(1, 2), slots=20, answer=200_000, miss=20_000, order=(0, 1, 2), **more):
    taken = TAKEN if taken is None else taken
    whole = sum(taken.values())
    answers = tuple((at, answer, miss, 60_000) for at in range(3))
    return Figures(
        1,
        20_000,
        SITES,
        tuple(Kind(name, rate, rate) for name, rate in sorted(taken.items())),
        tuple(Place(number, whole // len(places), order=order, answers=answers) for number in places),
        slots,
        5000,
        100_000,
        **more,
    )


def fleet(each=1, **at):
    """Members of three sites; `at`: figures of a site's members that differ."""
    return [
        Member(f"{site}{number}", site, True, at.get(site, figures()))
        for site in SITES
        for number in range(each)
    ]


def refused(made):
    return {name: line.refused.value for name, line in made.topics.items()}


# ---- the projection


some_figures = st.builds(
    figures,
    st.fixed_dictionaries({name: st.integers(0, 40_000) for name in TAKEN}),
    st.sampled_from([(1,), (1, 2), (2, 3), (1, 2, 3)]),
    st.integers(0, 60),
    st.integers(1000, 3 * 10**6),
    st.integers(0, 10**6),
    st.sampled_from([(0, 1, 2), (2, 0), (0,), (1,), ()]),
)
members = st.lists(
    st.tuples(st.sampled_from(SITES), st.booleans(), st.none() | some_figures), max_size=6
).map(lambda drawn: [Member(f"m{at}", *one) for at, one in enumerate(drawn)])


@settings(max_examples=150, deadline=None)
@given(members, st.sampled_from(SITES))
def test_shares_make_one_nobody_is_over_its_room_and_equal_views_project_equally(found, site):
    made = project(found, site, TOPICS)
    assert made == project(found[::-1], site, TOPICS)
    assert made.nothing or sum(made.shares.values()) + made.over == pytest.approx(1)
    near = {member.name for member in found if member.lives and member.site != site}
    assert made.shares.keys() <= near and (made.nothing or near == made.shares.keys())
    for line in made.topics.values():
        assert 0 <= line.refused.least <= line.refused.value <= line.refused.most + 1e-9
        assert line.refused.value <= line.offered + 1e-6 and line.crossings.value <= line.offered + 1e-6
    assert not made.load or all(
        share * made.load <= made.room[name] + 1e-6 for name, share in made.shares.items()
    )


@settings(max_examples=100, deadline=None)
@given(some_figures, some_figures, st.integers(1, 60), st.sampled_from([0, 1]))
def test_more_room_never_costs_more(one, other, more, at):
    answers = ((0, 300_000, 9000, 1), (1, 300_000, 9000, 1), (2, 300_000, 9000, 1))
    same = [
        msgspec.structs.replace(
            f, places=tuple(msgspec.structs.replace(p, answers=answers, order=(0, 1, 2)) for p in f.places)
        )
        for f in (one, other, figures())
    ]
    before = project(fleet(east=same[0], north=same[1], west=same[2]), "west", TOPICS)
    same[at] = msgspec.structs.replace(same[at], slots=same[at].slots + more)
    after = project(fleet(east=same[0], north=same[1], west=same[2]), "west", TOPICS)
    assert after.over <= before.over + 1e-9
    offered = sum(line.offered for line in after.topics.values())
    assert sum(refused(after).values()) <= sum(refused(before).values()) + 0.03 * offered  # a play is counted


class Full:
    """A host for the decisions themselves, which hear what they refuse."""

    def __init__(self):
        self.gone = []

    def throttled(self, ntf_id, again_in):
        self.gone.append(ntf_id)

    def timer(self, delay, tok):
        pass

    def log(self, text):
        pass


@settings(max_examples=60, deadline=None)
@given(st.permutations([0.5, 1.0, 2.0, 7.0]))
def test_the_order_of_refusals_is_that_of_the_decisions(benefits):
    topics = [
        {"name": f"t{at}", "benefit": worth, "objective": SEC, "ttl": 4 * SEC}
        for at, worth in enumerate(benefits)
    ]
    host = Full()
    real = Dispatcher(host, {"topic_types": topics, "most_held": 40, "slots": 0}, "", SEC)
    for number in range(40):
        real.notification(number, number % 4, 1)
    real.state.settings["most_held"] = 1
    real.decide()  # places run out, and one after the other goes
    crowd = figures({topic["name"]: 10_000 for topic in topics}, slots=4)
    made = project(fleet(west=crowd, east=crowd, north=crowd), "west", topics)
    assert list(made.topics) == list(dict.fromkeys(f"t{number % 4}" for number in host.gone))
    shares = [line.refused.value / line.offered for line in made.topics.values()]
    assert shares[0] > 0 and shares == sorted(shares, reverse=True)


def test_what_there_is_no_room_for_is_refused_least_benefit_first_and_costs_what_it_is_worth():
    made = project(fleet(**{s: figures(slots=3) for s in SITES}), "west", TOPICS)
    # Each carries 15/s with three calls of 0.2 s and takes 10/s; of the 10/s of west none is placed.
    assert made.over == pytest.approx(0, abs=1e-6)
    tight = project(fleet(**{s: figures(slots=2) for s in SITES}), "west", TOPICS)
    assert tight.over == pytest.approx(1) and list(tight.topics)[0] == "news"
    assert refused(tight) == pytest.approx({"news": 10, "status": 0, "order": 0}, abs=0.5)
    assert tight.topics["news"].lost.value >= refused(tight)["news"]


def test_crossings_count_where_endpoints_stand_and_cost_what_the_policy_says():
    here = {site: figures(order=(at,)) for at, site in enumerate(SITES)}
    whole = project(fleet(**here), "west", TOPICS, lambda a, b: {("east", "north"): 2.0}.get((a, b)))
    assert whole.crossings.value == pytest.approx(0) and whole.price.value == 0
    away = here | {"east": figures(order=(1,))}
    crossed = project(fleet(**away), "west", TOPICS, lambda a, b: {("east", "north"): 2.0}.get((a, b)))
    assert crossed.crossings.value == pytest.approx(15) and crossed.price.value == pytest.approx(30)
    unpriced = project(fleet(**away), "west", TOPICS, lambda a, b: None)
    assert unpriced.price is None and unpriced.crossings.value == pytest.approx(15)


def test_all_of_a_destinations_endpoints_in_the_lost_site_are_named_and_all_of_it_is_refused():
    def with_only_west(**more):
        made = figures(**more)
        return msgspec.structs.replace(
            made, places=(made.places[0], msgspec.structs.replace(made.places[1], order=(2,)))
        )

    made = project(fleet(**{site: with_only_west() for site in SITES}), "west", TOPICS)
    assert made.stranded == [2]
    assert refused(made) == pytest.approx({"news": 7.5, "status": 3, "order": 4.5})  # half of three sites'
    assert not project(fleet(**{site: with_only_west() for site in SITES}), "east", TOPICS).stranded


def test_unknown_is_said_and_never_counted_as_nothing():
    some = fleet(2)
    blind = [Member(m.name, m.site, m.lives) if m.name in ("west1", "east1") else m for m in some]
    made, full = project(blind, "west", TOPICS), project(some, "west", TOPICS)
    assert made.unknown == ["west1", "east1"] and made.rests_on == 4
    assert made.load == pytest.approx(full.load)
    assert made.shares["east1"] > 0
    line = made.topics["news"]
    assert line.offered == pytest.approx(full.topics["news"].offered) and line.refused.most > 4
    nobody = [Member(m.name, m.site, m.lives) if m.site == "west" else m for m in some]
    assert project(nobody, "west", TOPICS).nothing and not project(nobody, "west", TOPICS).topics
    assert project([m for m in some if m.site == "west"], "west", TOPICS).nothing


def test_a_second_lost_site_carries_nothing_and_the_third_all():
    two = [Member(m.name, m.site, m.site != "north", m.figures) for m in fleet()]
    made = project(two, "west", TOPICS)
    assert list(made.shares) == ["east0"] and made.shares["east0"] == pytest.approx(1)


def test_two_views_that_differ_each_say_what_they_rest_on():
    at, age = fleet(), 18 * SEC
    old = [
        Member(m.name, m.site, True, msgspec.structs.replace(m.figures, slots=5), age)
        if m.name == "east0"
        else m
        for m in at
    ]
    one, other = project(at, "west", TOPICS), project(old, "west", TOPICS)
    assert (one.oldest, other.oldest) == (0, age) and one.shares["east0"] > other.shares["east0"]


def test_calls_go_where_pick_sends_them():
    assert spread_over(("west", "east"), None, 0.0) == {"west": 1.0}
    near = spread_over(("west", "east"), "east", 0.7)
    assert near["west"] == pytest.approx(0.126, abs=0.01)  # two at once fill it: Erlang's loss of 0.7 in two
    assert set(spread_over(("west", "east"), None, 6.0)) == {"west", "east"}


def test_room_is_what_the_decisions_fill():
    assert [told.usable(slots, 3) for slots in (0, 1, 5, 6, 8)] == [0, 1, 5, 6, 7]
    assert told.usable(8, 1) == 5 and told.usable(640, 1) == 20 * told.usable(32, 1)


# ---- what is told


def test_figures_are_cut_to_their_bound_and_say_what_is_left_out():
    many = figures(places=tuple(range(200)))
    data = told.encoded(many)
    found = told.decoded(data)
    assert len(data) <= words.MOST_FIGURES and 0 < len(found.places) < 200
    assert found.left_out + sum(p.taken for p in found.places) == sum(p.taken for p in many.places)
    assert len(told.encoded(figures(places=(1, 2, 3)))) < 240


@pytest.mark.parametrize(
    "bad",
    [
        {"version": 9},
        {"rest": -1},
        {"slots": 10**13},
        {"kinds": (Kind("a", -5),)},
        {"kinds": (Kind("a"),) * 2},
        {"places": (Place(1, 1, order=(7,)),)},
        {"places": (Place(1, 1, answers=((9, 1, 1, 1),)),)},
    ],
)
def test_figures_that_nobody_counts_are_not_believed(bad):
    assert told.decoded(told.ENCODER.encode(msgspec.structs.replace(figures(), **bad))) is None
    for data in (b"", b"\x93", os.urandom(50)):
        assert told.decoded(data) is None


def test_each_figure_is_believed_for_its_own_time():
    made = figures()
    made = msgspec.structs.replace(
        made, places=(msgspec.structs.replace(made.places[0], answers=((0, 1, 1, 5000), (1, 1, 1, 30_000))),)
    )
    assert told.believed(made, 20 * SEC) and told.believed(made, 20 * SEC + 1) is None
    assert [a[0] for a in told.believed(made, 6 * SEC).places[0].answers] == [1]


class Old(msgspec.Struct, array_like=True, frozen=True):
    """A record as members wrote it before."""

    name: str
    inc: int
    state: int
    host: str
    port: int
    site: str = ""
    phase: int = 0
    program: str = ""
    versions: tuple = (1,)
    life: int = 0
    load: tuple = ()


def test_an_older_member_reads_a_newer_record_and_the_reverse():
    new = record("b", life=9, load=(1, 2), figures=b"x" * 100)
    old = msgspec.msgpack.decode(msgspec.msgpack.encode(new), type=Old)
    assert (old.name, old.load) == ("b", (1, 2))
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=words.Record) == new.but(figures=b"")


def test_figures_go_with_probes_and_answers_alone_and_are_not_told_on():
    at = view("b", "c")
    at.figures = b"mine"
    at.heard(said("ping", record("b", life=9, figures=b"theirs"), number=1), 5)
    assert (at.members["b"].figures, at.members["b"].figures_at) == (b"theirs", 5)
    assert at.members["b"].record.figures == b""
    at.say(("h", 1), words.NEWS, news=[at.members["b"].record])
    (_, answer), (_, news) = at.out
    assert answer.source.figures == b"mine" and news.source.figures == b"" == news.news[0].figures
    long = words.encoded(
        said(
            "ping",
            record("x" * 128, site="y" * 64, figures=b"z" * words.MOST_FIGURES),
            *[record("w" * 60, site="v" * 60)] * 8,
        ),
        KEY,
    )
    assert len(long) <= words.MOST + words.DIGEST and words.decoded(long, KEY, "f").source.figures
    with pytest.raises(words.Noise):
        words.decoded(words.encoded(said("ping", record("b", figures=b"z" * 700)), KEY), KEY, "f")


def test_rates_are_of_the_last_whole_seconds_and_fall_to_nothing():
    rates = told.Rates(0)
    for at in range(0, 10 * SEC, 100 * MS):
        rates.add("x", at)
    assert rates.a_second("x", 10 * SEC) == 10_000 and rates.a_second("x", 12 * SEC) == 6000
    assert rates.a_second("x", 60 * SEC) == 0 and not rates.sums


def test_prices_by_pair_are_those_of_the_document_in_force():
    from types import SimpleNamespace

    from juniperlanding.accord.part import Policy

    document = (
        b'[sites.crossing]\n"east>west" = 2.5\n[[topic]]\nname = "n"\nkind = "repeatable"\n'
        b'objective = "1s"\nttl = "4s"\n'
    )
    held = SimpleNamespace(accord=SimpleNamespace(document=document))
    assert Policy.crossings(held) == {("east", "west"): 2.5}
    assert Policy.crossings(SimpleNamespace(accord=None)) == {}


def test_an_emulated_loss_comes_as_foretold_and_the_same_again():
    one, other = (Town(seed=3, level=0.5).lose("west") for _ in range(2))
    assert one == other
    for name, (estimate, seen, _, now) in one.cells.items():
        assert estimate.holds(seen), (name, estimate, seen)
        assert not name.startswith("crossings") or seen > now > 0


# ---- an outage


def outage(seen_refused, at=0, rounds=4, made=None):
    """A site is lost; the neighbours tell so much refused; it comes back."""
    made = made or Outages()
    all_live = fleet(**{s: figures(slots=30) for s in SITES})
    for now in (at, at + SEC):
        made.tick(all_live, {s: project(all_live, s, TOPICS, errors=made.error) for s in SITES}, now)
    kinds = tuple(
        Kind(name, 2 * rate, rate, int(seen_refused * 1000 * (name == "news")))
        for name, rate in TAKEN.items()
    )
    during = [
        Member(m.name, m.site, m.site != "west", msgspec.structs.replace(m.figures, kinds=kinds))
        for m in all_live
    ]
    now = at + 2 * SEC
    for now in range(at + 2 * SEC, at + 2 * SEC + SETTLES + rounds * WINDOW, SEC):
        made.tick(during, {}, now)
    return made, all_live, now


def test_a_loss_is_said_once_and_its_end_with_what_was_foretold_and_seen():
    made, all_live, now = outage(2.0)
    assert made.sites["west"].state == LOST and [e for e, _ in made.said] == ["believed lost"]
    assert made.said[0][1]["refused"].startswith("0.00[") and made.said[0][1]["rests_on"] == 3
    rest = made.rest("west")["refused", "news"]
    assert rest.value == pytest.approx(4.0, abs=0.01) and rest.tested >= 3
    made.tick(all_live, {}, now + SEC)
    event, said_then = made.said[-1]
    assert event == "is back" and made.sites["west"].state == WHOLE
    assert float(said_then["seen_refused"]) == pytest.approx(4.0, abs=0.01)


def test_what_projections_missed_mends_the_next_one_and_makes_its_band():
    made, all_live, now = outage(2.0)
    made.tick(all_live, {}, now + SEC)
    after = project(all_live, "west", TOPICS, errors=made.error).topics["news"]
    # Windows of one outage miss alike: they make the band, and mend nothing.
    assert after.refused.value == 0 and after.refused.tested >= 3 and after.refused.holds(4.0)
    for _ in range(3):
        made, all_live, now = outage(2.0, now + 60 * SEC, made=made)
        made.tick(all_live, {}, now + SEC)
    mended = project(all_live, "west", TOPICS, errors=made.error).topics["news"].refused
    assert mended.value == pytest.approx(4.0, abs=0.2) and mended.model == 0 and mended.most < 6


def test_a_short_outage_and_two_at_once_teach_nothing():
    made, all_live, now = outage(2.0, rounds=-1)
    made.tick(all_live, {}, now + SEC)
    assert made.said[-1][1]["seen"] == "too short to tell" and not made.errors | made.windows
    two = Outages()
    two.tick(all_live, {s: project(all_live, s, TOPICS) for s in SITES}, 0)
    dark = [Member(m.name, m.site, m.site == "east", m.figures) for m in all_live]
    for at in range(1, 40):
        two.tick(dark, {}, at * SEC)
    assert not two.windows and [e for e, _ in two.said] == ["believed lost"] * 2


def test_an_estimate_holds_its_own_band_alone():
    assert Estimate(1, 0.5, 2).holds(0.5) and not Estimate(1, 0.5, 2).holds(2.1)
    series = Series()
    for value in (5, 5, 5, 5):
        told.add_sample(series, value)
    assert (series.forecast, series.rmse) == (5, 0)


@pytest.fixture
def part():
    lines = []
    made = Sites.__new__(Sites)
    made.outages, made.lines_of = Outages(), lines
    made.log = lambda event, text="", **fields: lines.append((event, text, fields))
    made.now = lambda: 9 * SEC
    return made


@pytest.mark.parametrize(
    "state",
    [None, [], {"errors": {}}, {"errors": {"a/b": [1] * 20}, "windows": {}}, {"errors": [1], "windows": {}}],
)
def test_what_another_version_hands_over_fails_no_replacement(part, state):
    part.import_state(state)
    assert part.outages.errors == part.outages.windows == {} and part.lines_of[0][0] == "sites"


def test_what_was_learnt_is_handed_over_whole(part):
    told.add_sample(part.outages.errors.setdefault(("refused", "news"), Series()), 5)
    state, part.outages = json.loads(json.dumps(part.export_state())), Outages()
    part.import_state(state)
    series = part.outages.errors["refused", "news"]
    assert (series.samples, series.recent) == (1, [5]) and not part.lines_of


def test_a_fault_in_counting_is_a_line_and_ends_no_outcome(part):
    part.seen = SimpleNamespace(handed_in=lambda *fields: fields[99])
    part.handed_in("news", 1)
    part.answered(None, None, 1, True, 1)
    assert [event for event, *_ in part.lines_of] == ["fault", "fault"]


# ---- real processes


async def foretell_a_load(rig, site):
    """Wait until each dispatcher foretells, from figures of all, a load that is lost with the site.

    Raises RuntimeError where one foretells nothing for half a minute."""
    for member in rig.members:
        while (await rig.foretold(member, site))["load"] < 1:
            await trio.sleep(0.5)


def test_a_site_that_is_lost_and_comes_back_is_said_with_what_was_foretold(tmp_path):
    rig = Region(3, tmp_path, "7", sites=3)

    async def whole(rig):
        with trio.fail_after(90):
            assert await rig.settled([rig.everybody], rig.now(), 20)
            await foretell_a_load(rig, "north")
            async for _, groups in rig.lose("north"):
                assert await rig.settled(groups, rig.now(), 20)
            faults = await rig.ends()
            assert not faults, faults

    trio.run(rig.run, whole)
    logs = [m.log() for m in rig.members if m.site != "north"]
    for log in logs:
        assert re.search(r"sites believed lost .*site=north load=[1-9].* rests_on=3 ", log)
        assert re.search(r"sites is back .*site=north .*seen_refused=", log)
        assert "fault part=" not in log
    (loss,) = rig.judged()
    assert loss.known == "3/3" and all(len(cell) == 6 for cell in loss.cells.values())
    assert any(cell[3] > 0 for name, cell in loss.cells.items() if name.startswith("crossings"))


# ---- off


def test_off_it_imports_nothing_and_half_told_it_is_refused(site, tmp_path):
    """As `run` starts it, whatever the platform's file and environment say of sites."""
    from juniperlanding.ground.file import FileError, read
    from juniperlanding.ground.seams import FileSystem

    (tmp_path / "state").mkdir()
    site.told = {"sites": {"enabled": True}, "fleet": {"enabled": True}}

    async def scene(site):
        site.config()

    site.run(scene)
    process = subprocess.Popen(
        [sys.executable, "-X", "importtime", "-m", "juniperlanding", "serve"],
        env=os.environ | site.environ | {"EDGE_SITES": "true"},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        heard = ""
        while "start" not in heard.rpartition("| ")[2]:
            heard += process.stderr.readline()
        assert "juniperlanding.net" in heard
        assert not re.search(r"juniperlanding\.(sites|fleet)|msgspec", heard)
    finally:
        process.kill()
        process.wait()
    for text in ("[sites]\nenabled = true", '[fleet]\nsite = "east"\n[sites]\nenabled = true'):
        (tmp_path / "f.toml").write_text(f'[instance]\nname = "a"\n{text}\n')
        with pytest.raises(FileError, match="since sites are enabled"):
            read(tmp_path / "f.toml", FileSystem())
