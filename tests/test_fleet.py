"""The view of the fleet: its decisions, towns of them in simulated time, and real processes under faults."""

import os
import re
import socket
import subprocess
import sys
import time

import pytest
import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from juniperlanding.emulator.members import Town
from juniperlanding.fleet import members, words
from juniperlanding.fleet.members import SEC, Tuning, View
from juniperlanding.fleet.words import ALIVE, DEAD, SUSPECT, Message, Noise, Record
from juniperlanding.processes import rig, verdict
from juniperlanding.processes.rig import Rig

KEY = b"k" * 32


def record(name, inc=0, state=ALIVE, port=1, life=0, **more):
    return Record(name, inc, state, more.pop("host", "127.0.0.1"), port, life=life, **more)


def view(*others, life=5):
    made = View(record("a", port=100, life=life, phase=1), "f", [], 1, 0)
    for number, name in enumerate(others):
        made.heard(said("news", record(name, port=number + 1, life=9)), 0)
    made.out.clear()
    return made


def said(kind, source, *news, number=0, target=""):
    return Message(1, "f", kind, number, source, target, list(news))


# ---- one view


def test_an_old_incarnation_never_wins_and_of_one_the_worse_word_does():
    at = view("b")
    for inc, told, believed in [
        (0, SUSPECT, SUSPECT),
        (0, ALIVE, SUSPECT),
        (1, ALIVE, ALIVE),
        (0, DEAD, ALIVE),
        (1, DEAD, DEAD),
        (1, ALIVE, DEAD),
        (2, ALIVE, ALIVE),
    ]:
        at.apply(record("b", inc, told), "c", 1)
        assert at.members["b"].state == believed


def test_the_accused_refutes_with_a_higher_incarnation_and_doubts_itself():
    at = view("b")
    at.heard(said("ping", record("b", life=9), record("a", 3, SUSPECT, life=5), number=7), 1)
    assert (at.me.inc, at.doubt) == (4, 1)
    assert [m.kind for _, m in at.out] == ["ack"] and at.out[0][1].source.inc == 4


def test_a_restart_without_its_folder_overtakes_what_is_believed_of_it():
    peer, fresh = view("b"), View(record("b", port=1, life=77), "f", [], 1, 0)
    peer.apply(record("b", 6, DEAD, life=9), "c", 1)
    peer.heard(said("ping", fresh.me, number=1), 2)
    fresh.heard(peer.out[-1][1], 3)
    peer.heard(said("ping", fresh.me, number=2), 4)
    assert fresh.me.inc == 7 and peer.members["b"].state == ALIVE and peer.members["b"].record.life == 77


def test_two_under_one_name_are_told_apart_and_only_one_goes_on_claiming_it():
    peer, twins = view(), [View(record("b", port=port, life=port), "f", [], 1, 0) for port in (21, 22)]
    for turn in range(12):
        for twin in twins:
            peer.heard(said("ping", twin.me, number=turn), turn)
            twin.heard(peer.out[-1][1], turn)
    assert twins[1].twin == 21 and max(twin.me.inc for twin in twins) < 8
    assert peer.members["b"].record.life == 21


def test_who_stood_still_blames_itself_and_nobody_else():
    at = view("b", "c")
    at.tick(0)
    at.apply(record("b", 0, SUSPECT, life=9), "c", SEC)
    at.tick(60 * SEC)
    assert at.members["b"].state == SUSPECT and at.doubt and at.members["c"].state == ALIVE


def test_noise_changes_nothing():
    good = words.encoded(said("ping", record("b", life=9), number=1), KEY)
    assert words.decoded(good, KEY, "f").source.name == "b"
    spoilt = [good[:at] + bytes([good[at] ^ 1]) + good[at + 1 :] for at in range(len(good))]
    bad = [
        words.encoded(said("ping", one), KEY)
        for one in (
            record("b", inc=-1),
            record("b", port=70_000),
            record("b", host="a.name.to.look.up"),
            record("b", load=(1,)),
            record("b", host="1.2.3.999"),
            record("x" * 129),
            record("b", site="y" * 65),
            record("b", state=9),
        )
    ]
    for data in [b"", b"x", os.urandom(200), good[:-1], good + b"x", good * 20, *bad, *spoilt]:
        with pytest.raises(Noise):
            words.decoded(data, KEY, "f")
    for key, fleet in ((b"other" * 4, "f"), (KEY, "g")):
        with pytest.raises(Noise):
            words.decoded(good, key, fleet)
    long = record("x" * 128, site="y" * 64)
    whole = words.encoded(said("news", long, *[long] * 8), KEY)
    assert words.decoded(whole, KEY, "f").news and len(whole) <= words.MOST + words.DIGEST


def test_one_that_found_nobody_is_not_sure_of_itself():
    alone = View(record("a", port=100, life=5), "f", [("h", 1), ("h", 2)], 1, 0)
    assert alone.sure() < 0.5 < view("b", "c").sure()


# ---- towns


def town(count=12, seed=1, **more):
    made = Town(count, seed, **more)
    assert made.until_settled(30 * SEC)
    made.deaths.clear()
    return made


def lies(made):
    return [death for death in made.deaths if death[3]]


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_a_crash_a_cut_and_its_heal_settle(loss):
    made = town(loss=loss)
    made.kill(3)
    assert made.until_settled(15 * SEC) and not lies(made)
    assert made.until_settled(30 * SEC, made.halves())
    made.cut = set()
    assert made.until_settled(15 * SEC)


def test_three_parts_heal_in_two_steps_and_after_the_dead_are_forgotten():
    made = town(tuning=Tuning(kept=10 * SEC), seeds=12)
    parts = [set(range(at, at + 4)) for at in (0, 4, 8)]
    made.cut = {(a, b) for one in parts for other in parts if one is not other for a in one for b in other}
    assert made.until_settled(30 * SEC, parts)
    made.run(made.now + 60 * SEC)
    assert not any(
        v.members.keys() - {made.name(n) for n in part} for part in parts for v in [made.views[min(part)]]
    )
    made.cut = {(a, b) for a, b in made.cut if (a in parts[2]) != (b in parts[2])}
    assert made.until_settled(20 * SEC, [parts[0] | parts[1], parts[2]])
    made.cut = set()
    assert made.until_settled(20 * SEC)


def test_a_one_way_cut_to_one_of_many_kills_nobody():
    made = town(count=10)
    made.cut, before = {(0, 1)}, made.views[1].me.inc
    made.run(made.now + 60 * SEC)
    assert not lies(made) and made.views[1].me.inc == before  # others vouch for it: it is not even accused


def test_slow_peers_and_loss_kill_nobody_for_good():
    made = town(count=20, loss=0.1)
    for second in range(60):
        for slow in (5, 6):
            made.stop(slow, int((0.2 + 1.2 * made.draw()) * SEC))
        made.run(made.now + 2 * SEC)
        assert second < 0 or not lies(made), (second, lies(made))
    assert made.until_settled(20 * SEC)


def test_two_hundred_join_within_a_second_and_one_alone_for_an_hour_is_found():
    made = Town(200, 1)
    assert made.until_settled(30 * SEC)
    alone = Town(2, 1)
    alone.cut = {(0, 1), (1, 0)}
    alone.run(3600 * SEC)
    alone.cut = set()
    assert alone.until_settled(5 * SEC)


def test_all_restart_at_once():
    made = town()
    for number in list(made.views):
        made.kill(number)
    for number in range(12):
        made.start(number)
    assert made.until_settled(15 * SEC)


# ---- defects put in on purpose: what finds each


def crash_is_seen():
    made = town(count=30)
    made.kill(3)
    assert made.until_settled(8 * SEC)


DEFECTS = {
    "no_refutation": ("about_me", lambda self, record, now: None, "slow"),
    "the_dead_stay_alive": ("accuse", lambda self, member, state, now: None, "crash"),
    "no_news": ("spread", lambda self, name: None, "crash"),
    "no_exchange": ("sync", lambda self, now: setattr(self, "sync_at", now + SEC), "crash"),
    "nobody_probed": ("next", lambda self: None, "crash"),
    "suspects_die_at_once": ("end_of", lambda self, member, now: now if member.state else 0, "slow"),
    "old_words_win": ("apply", None, "old"),
    "no_helpers": ("relay", lambda self, message, now: None, "one-way"),
    "a_restart_is_not_told": ("say", None, "restart"),
    "time_lost_is_not_given_back": ("tick", None, "still"),
}
APPLY, SAY, TICK = View.apply, View.say, View.tick


def old_words_win(self, record, by, now):
    member = self.members.get(record.name)
    if member:
        member.record = member.record.but(inc=-1)
    APPLY(self, record, by, now)


def a_restart_is_not_told(self, address, kind, number=0, target="", news=(), about=None):
    SAY(self, address, kind, number, target, news, None)
    to, sent = self.out.pop()
    told = [record for record in sent.news if not about or record.name != about.name]
    self.out.append((to, Message(1, sent.fleet, kind, number, sent.source, target, told)))


def time_lost_is_not_given_back(self, now):
    self.ticked = now
    TICK(self, now)


DEFECTS["old_words_win"] = ("apply", old_words_win, "old")
DEFECTS["a_restart_is_not_told"] = ("say", a_restart_is_not_told, "restart")
DEFECTS["time_lost_is_not_given_back"] = ("tick", time_lost_is_not_given_back, "still")
CHECKS = {
    "crash": crash_is_seen,
    "slow": test_slow_peers_and_loss_kill_nobody_for_good,
    "old": test_an_old_incarnation_never_wins_and_of_one_the_worse_word_does,
    "one-way": test_a_one_way_cut_to_one_of_many_kills_nobody,
    "restart": test_a_restart_without_its_folder_overtakes_what_is_believed_of_it,
    "still": test_who_stood_still_blames_itself_and_nobody_else,
}


@pytest.mark.parametrize("name", DEFECTS)
def test_each_defect_is_found(name, monkeypatch):
    method, function, check = DEFECTS[name]
    monkeypatch.setattr(members.View, method, function)
    with pytest.raises((AssertionError, IndexError)):
        CHECKS[check]()


# ---- real processes


def test_a_port_that_one_rig_gave_away_is_passed_over_by_another(monkeypatch):
    """Another process of the machine begins where this one began, and nobody has bound any yet."""
    kinds = [socket.SOCK_STREAM, socket.SOCK_DGRAM] * 3
    monkeypatch.setattr(rig, "PORTS", iter([]))
    ours = [rig.free(kind) for kind in kinds]
    text = (
        f"import socket, os; os.getpid = lambda: {os.getpid()}\n"
        "from juniperlanding.processes.rig import free\n"
        f"print(*(free(socket.SocketKind(kind)) for kind in {list(map(int, kinds))}))"
    )
    theirs = subprocess.run([sys.executable, "-c", text], check=True, capture_output=True, text=True).stdout
    assert len({*ours, *map(int, theirs.split())}) == 2 * len(kinds)
    for kind, port in zip(kinds, ours, strict=True):
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.bind(("127.0.0.1", port))  # still there for whom it was given to


def processes(tmp_path, count, scene, rate=20.0, seed="1"):
    """Play a scene on real processes; every notification has one final answer."""
    rig = Rig(count, tmp_path, seed, rate)

    async def whole(rig):
        with trio.fail_after(100):
            everybody = rig.named(*range(count))
            assert await rig.settled([everybody], rig.now(), 20)
            await scene(rig, everybody)
            faults = await rig.ends()
            assert not faults, faults

    trio.run(rig.run, whole)
    assert not rate or len(rig.audit.records) > 20
    assert not [m.name for m in rig.members if "fault part=" in m.log()]
    return rig


def test_a_sigkill_and_a_restart_without_the_folder(tmp_path):
    async def scene(rig, everybody):
        for folder in (False, True):
            await rig.members[1].kill(folder)
            assert await rig.settled([everybody - rig.named(1)], rig.now(), 15)
            await rig.members[1].start()
            assert await rig.settled([everybody], rig.now(), 15)

    processes(tmp_path, 4, scene, rate=0)


def test_halves_cut_off_from_each_other_settle_apart_and_together_again(tmp_path):
    async def scene(rig, everybody):
        half = rig.named(0, 1, 2)
        rig.link(half, everybody - half, cut=1)
        assert await rig.settled([half, everybody - half], rig.now(), 30)
        rig.mend()
        assert await rig.settled([everybody], rig.now(), 20)

    processes(tmp_path, 5, scene)


def test_one_way_cuts_lossy_and_spoilt_links_kill_nobody(tmp_path):
    async def scene(rig, everybody):
        begun = rig.now()
        rig.link(everybody, everybody, loss=0.1, twice=0.1, spoil=0.05, jitter=0.05)
        rig.link(rig.named(0), rig.named(1), both=False, cut=1)
        await trio.sleep(8)
        assert not verdict.false_deaths(rig.history, everybody, begun)
        rig.mend()
        assert await rig.settled([everybody], rig.now(), 15)

    processes(tmp_path, 5, scene)


def test_one_that_stands_still_again_and_again_is_never_dead_and_blames_nobody(tmp_path):
    async def scene(rig, everybody):
        begun, slow = rig.now(), rig.members[2]
        rig.audit.excused_until = begun + 60 * SEC
        for _ in range(6):
            slow.stop()
            await trio.sleep(1.0)
            slow.go_on()
            await trio.sleep(0.4)
        assert not verdict.false_deaths(rig.history, everybody, begun)
        assert await rig.settled([everybody], rig.now(), 15)

    processes(tmp_path, 4, scene, rate=0)


def test_a_whole_fleet_restarts_with_its_seeds_gone_and_one_leaves_unsuspected(tmp_path):
    async def scene(rig, everybody):
        await trio.sleep(3)  # who is here is written down beside the flow
        rest = everybody - rig.named(3)
        assert await rig.members[3].term() == 0
        assert await rig.settled([rest], rig.now(), 10)
        assert not any((beliefs or {}).get("d03") in ("suspect", "dead") for _, _, beliefs in rig.history)
        for member in rig.members[:3]:
            member.write([])
            await member.kill()
        for member in rig.members[:3]:
            member.plain = True
            await member.start()
        assert await rig.settled([rest], rig.now(), 20)

    processes(tmp_path, 4, scene, rate=0)


def test_processes_replaced_one_after_the_other_are_never_suspected(tmp_path):
    async def scene(rig, everybody):
        begun = rig.now()
        for member in rig.members:
            await member.replace()
            await trio.sleep(0.5)
        assert await rig.settled([everybody], rig.now(), 10)
        wrong = [
            beliefs
            for at, _, beliefs in rig.history
            if at > begun and beliefs and set(beliefs.values()) - {"alive"}
        ]
        assert not wrong, wrong[:3]

    processes(tmp_path, 4, scene)


def test_a_flood_of_forged_datagrams_changes_nothing(tmp_path):
    async def scene(rig, everybody):
        begun, target = rig.now(), ("127.0.0.1", rig.members[0].port)
        forged = words.encoded(said("news", record("d01", 9, DEAD), record("d02", 9, DEAD)), b"wrong key" * 3)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for _ in range(30):
                for _ in range(300):
                    sock.sendto(forged, target)
                await trio.sleep(0.03)
        assert not verdict.false_deaths(rig.history, everybody, begun)
        assert "fleet.noise:" in await rig.members[0].ask("STATS")
        assert await rig.settled([everybody], rig.now(), 10)

    processes(tmp_path, 3, scene, rate=0)


# ---- off


def test_off_it_imports_nothing_and_opens_nothing(site, tmp_path):
    """As `run` starts it, whatever the platform's file and environment say of a fleet."""
    (tmp_path / "state").mkdir()
    site.told = {"fleet": {"enabled": True, "address": "127.0.0.1:9"}}

    async def scene(site):
        site.config()

    site.run(scene)
    environ = os.environ | site.environ | {"EDGE_FLEET": "true", "EDGE_FLEET_ENABLED": "true"}
    process = subprocess.Popen(
        [sys.executable, "-X", "importtime", "-m", "juniperlanding", "serve"],
        env=environ,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        heard = ""
        while "start" not in heard.rpartition("| ")[2]:
            heard += process.stderr.readline()
        time.sleep(0.2)
        links = [os.readlink(f"/proc/{process.pid}/fd/{fd}") for fd in os.listdir(f"/proc/{process.pid}/fd")]
        inodes = set(re.findall(r"socket:\[(\d+)\]", " ".join(links)))
        with open("/proc/net/udp", encoding="ascii") as file:
            assert inodes and not inodes & {line.split()[9] for line in file}
        assert "juniperlanding.net" in heard
        assert not re.search(r"juniperlanding\.(fleet|processes)|msgspec", heard)
    finally:
        process.kill()
        process.wait()


def test_half_told_it_is_refused_in_words(tmp_path):
    from juniperlanding.ground.file import FileError, read
    from juniperlanding.ground.seams import FileSystem

    (tmp_path / "key").write_text("k" * 40)
    (tmp_path / "key").chmod(0o644)
    for text, word in (
        ("enabled = true", "fleet.address"),
        ('address = "127.0.0.1:5"', "enabled = true"),
        ('enabled = true\naddress = "127.0.0.1:5"\nkey = "key"', "0600"),
        ('enabled = true\naddress = "127.0.0.1:5"\nkey = "none"', "no such file"),
        ('enabled = true\naddress = "0.0.0.0:5"\nkey = "key"', "address is any"),
    ):
        (tmp_path / "f.toml").write_text(f'[instance]\nname = "a"\n[fleet]\n{text}\n')
        with pytest.raises(FileError, match=word):
            read(tmp_path / "f.toml", FileSystem())


# ---- any order of faults


class AnyOrder(RuleBasedStateMachine):
    """Whatever happened: once links heal the views meet, and none goes back to an older incarnation."""

    @initialize(count=st.integers(3, 5), seed=st.integers(0, 1000))
    def begin(self, count, seed):
        self.town, self.count, self.seen = Town(count, seed), count, {}

    @rule(seconds=st.floats(0.05, 20))
    def time_goes_by(self, seconds):
        self.town.run(self.town.now + int(seconds * SEC))

    @rule(number=st.integers(0, 4))
    def killed_or_started(self, number):
        if number in self.town.views:
            self.town.kill(number)
        elif number < self.count:
            self.town.start(number)

    @rule(a=st.integers(0, 4), b=st.integers(0, 4), both=st.booleans())
    def cut_or_healed(self, a, b, both):
        self.town.cut ^= {(a, b), (b, a)} if both else {(a, b)}

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]))
    def weather(self, loss):
        self.town.loss = loss

    @rule(number=st.integers(0, 4), seconds=st.floats(0.1, 10))
    def stands_still(self, number, seconds):
        self.town.stop(number, int(seconds * SEC))

    @invariant()
    def no_older_incarnation(self):
        for view_ in getattr(self, "town", Town(0, 1)).views.values():
            for name, member in view_.members.items():
                before = self.seen.get((view_.me.life, name), -1)
                assert member.record.inc >= before
                self.seen[view_.me.life, name] = member.record.inc

    def teardown(self):
        if hasattr(self, "town"):
            self.town.cut, self.town.loss, self.town.paused = set(), 0.0, {}
            for number in set(range(self.count)) - self.town.views.keys():
                self.town.start(number)
            assert self.town.until_settled(90 * SEC), [v.members for v in self.town.views.values()]


AnyOrder.TestCase.settings = settings(
    max_examples=30, stateful_step_count=20, deadline=None, derandomize=True
)
TestAnyOrder = AnyOrder.TestCase
