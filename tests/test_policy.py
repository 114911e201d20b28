"""[policy] in the program: three dispatchers of one process on loopback, each with its own folder."""

import errno
import os
import re
import socket
import subprocess
import sys
import time
from functools import partial

import pytest
import trio
from conftest import Even, Site
from hypothesis import given, settings
from hypothesis import strategies as st

from juniperlanding.accord import document
from juniperlanding.accord.document import Unfit, read
from juniperlanding.accord.folder import KEPT, TERMS, Folder
from juniperlanding.accord.part import CHANNEL
from juniperlanding.accord.words import Grant, Kept, Released, Says
from juniperlanding.accord.words import decoded as accord_word
from juniperlanding.fleet import words
from juniperlanding.ground.errors import OperatorError
from juniperlanding.ground.file import FileError
from juniperlanding.ground.file import read as read_file
from juniperlanding.ground.seams import FileSystem
from juniperlanding.net import config, protocol, succession
from juniperlanding.net.ledger import Ledger
from juniperlanding.net.node import Node
from juniperlanding.processes.rig import free
from juniperlanding.standins.peers import Far, Platform

MS, SEC = 1_000_000, 1_000_000_000
TOPICS = (
    '[[topic]]\nname = "news"\nkind = "repeatable"\nobjective = "%s"\nttl = "20s"\n'
    '[[topic]]\nname = "order"\nkind = "once-only"\nobjective = "2s"\nttl = "20s"\n'
    '[[topic]]\nname = "pay"\nkind = "collapsible"\nobjective = "2s"\nttl = "20s"\nwindow = "6s"\n'
)
PLAIN = TOPICS % "2s"


class Failing(FileSystem):
    """A disk on which the file named by `full` cannot be written."""

    full = ""

    def open(self, path, fresh=False):
        if self.full and path.endswith(f"{self.full}.new"):
            raise OSError(errno.ENOSPC, "No space left on device", path)
        return super().open(path, fresh)


class Member(Site):
    def __init__(self, number, folder, addresses, licence, even):
        super().__init__(folder)
        folder.mkdir()
        (folder / "policies").mkdir()
        (folder / "key").write_text("k" * 40)
        self.number, self.addresses, self.licence = number, addresses, licence
        self.told = {"name": f"d{number}"}
        self.files = Failing()
        self.even = even
        self.system = even.system(self.system.network, self.files)

    def config(self):
        told = super().config()
        told.fleet = config.Fleet(
            self.addresses[self.number], None, str(self.folder / "key"), "fleet", "", list(self.addresses)
        )
        voters = {f"d{number}": address for number, address in enumerate(self.addresses)}
        told.policy = config.Policy(
            voters, str(self.folder / "policies"), str(self.folder / "policy.toml"), self.licence, 0.01
        )
        return told

    @property
    def policy(self):
        return self.node.parts[1]

    def write(self, text, name="a.toml"):
        (self.folder / "policies" / name).write_text(text)
        return name

    async def ready(self):
        await self.until(lambda: self.node.decision_loop.ready and not self.policy.not_ready_reason())

    async def in_force(self, number):
        await self.until(lambda: self.node.decision_loop.policy_number == number == self.policy.holds())

    async def offered(self, number, topic="news", **more):
        """(status, x-policy-number or None)."""
        text = (
            f"POST /api HTTP/1.1\r\nHost: api\r\nX-Trace-Id: {number}\r\nX-Qos: {topic}\r\n"
            f"X-Expires-In-Ms: 9000\r\nX-Addressing: dest=7\r\nContent-Length: 2\r\n\r\nhi"
        )
        status, self.headers = await self.ask(text.encode())
        return status, self.headers.get(protocol.POLICY_HEADER)


@pytest.fixture
def three(tmp_path):
    def run(scene, answer=lambda *message: "late", licence=500 * MS, started=3):
        addresses = [("127.0.0.1", free(socket.SOCK_DGRAM)) for _ in range(3)]
        even = Even()
        members = [Member(number, tmp_path / f"d{number}", addresses, licence, even) for number in range(3)]

        async def main():
            with trio.fail_after(25):
                async with trio.open_nursery() as nursery:
                    platform, far = await Platform().open(nursery), await Far(answer).open(nursery)
                    for member in members:
                        member.nursery, member.platform, member.far = nursery, platform, far
                    for member in members[:started]:
                        await member.start()
                    if started > 1:
                        for member in members:
                            await member.ready()
                    await scene(*members)
                    nursery.cancel_scope.cancel()

        even.run(main)
        assert not [line for member in members for line in member.lines if line[0] == "fault"]

    return run


# ---- in force everywhere or nowhere


def test_a_change_is_in_force_at_all_and_what_was_taken_on_keeps_its_terms_over_restarts(three):
    async def scene(a, b, c):
        assert await a.offered("a0") == (202, "0")
        for number, objective in ((1, "700ms"), (2, "900ms")):
            b.policy.propose(b.write(TOPICS % objective))
            for member in (a, b, c):
                await member.in_force(number)
            assert await a.offered(f"a{number}") == (202, str(number))
            assert await a.offered(f"a{number}") == (202, None)  # nothing is taken on by a repeat
        assert b.policy.lines()[2] == "last=2 outcome=decided by=d1 why=-"

        def objectives(node):
            found = node.decision_loop.dispatcher.state.notifications
            return [found[name].topic["objective"] // MS for name in ("a0", "a1", "a2")]

        assert objectives(a.node) == [2000, 700, 900]
        a.kill()
        await a.start()
        await a.until(lambda: a.node.decision_loop.ready)
        assert objectives(a.node) == [2000, 700, 900]
        assert [owed.policy_number for owed in a.node.ledger.notifications.values()] == [0, 1, 2]
        await a.in_force(2)
        # Another process takes over: it asks first, and has the module's records with their terms.
        told, life = a.config(), a.policy.accord.life
        old, made = a.node, partial(lambda offer: Node(told, a.system, log=a.log, offer=offer))
        a.node = await succession.start_node(made, told, a.system)
        assert a.node.parts[1].holds() is None and a.node.parts[1].before[:1] == [life]
        scope = trio.CancelScope()

        async def run():
            with scope:
                await a.node.run()

        a.nursery.start_soon(run)
        await a.in_force(2)
        assert old.replaced and old.parts[1].holds() is None
        assert objectives(a.node) == [2000, 700, 900]
        assert not any("begins from the ledger" in text for _, text in a.lines)
        lives, send = set(), a.node.parts[0].send

        def seen(byte, to, payload, life=0):
            if type(accord_word(payload)) is Released:
                lives.add(life)
            return send(byte, to, payload, life)

        a.node.parts[0].send = seen
        b.policy.propose(b.write(TOPICS % "950ms"))
        await a.in_force(3)
        assert lives == {0, *a.node.parts[1].before}  # nobody waits for the licence of one that handed over
        # It ends early, and the first one serves again: a life of its own, and no licence but a new one.
        scope.cancel()
        a.node.previous_process.close()
        a.node = old
        await a.in_force(3)
        assert not old.replaced and objectives(old) == [2000, 700, 900]

    three(scene)


def test_one_that_cannot_take_it_refuses_for_all_and_says_why(three):
    async def scene(a, b, c):
        for number in range(2):
            assert await c.offered(f"c{number}") == (202, "0")
        b.policy.propose(b.write("[holding]\nmost_held = 1\n" + PLAIN))
        await b.until(lambda: not b.policy.lines()[2].startswith("last=-"))
        first, _, last, _ = b.policy.lines()
        assert last == "last=1 outcome=refused by=d1 why=d2: most_held is 1, and it holds 2"
        for member in (a, b, c):  # nothing was closed
            assert member.policy.lines()[0].startswith("number=0 ") and member.policy.holds() == 0

    three(scene)


def hears(member, passed):
    """From now on it hears of the others' words on policies those for which `passed(name, word)` is true."""
    channels = member.node.parts[0].channels
    heard = channels[CHANNEL]

    def some(name, life, payload, address):
        if passed(name, accord_word(payload)):
            heard(name, life, payload, address)

    channels[CHANNEL] = some
    return partial(channels.__setitem__, CHANNEL, heard)


def test_a_proposal_over_which_its_process_stands_still_is_decided_all_the_same(three):
    """A stop of more than half a licence, as the last says that it can take it: its licence is as good as new
    once it was asked for again."""

    async def scene(a, b, c):
        left = {"d0", "d2"}

        def last(name, word):
            if type(word) is Says:
                left.discard(name)
                if not left:
                    b.even.stand_still(0.3)
            return True

        hears(b, last)
        b.policy.propose(b.write(TOPICS % "1s"))
        await b.until(lambda: not b.policy.lines()[2].startswith("last=-"))
        assert b.policy.lines()[2] == "last=1 outcome=decided by=d1 why=-" and not left
        for member in (a, b, c):
            await member.in_force(1)

    three(scene)


def test_one_that_is_heard_and_has_no_licence_again_is_refused_and_closes_nothing(three):
    async def scene(a, b, c):
        mend = hears(b, lambda name, word: type(word) is not Grant)
        name = b.write(TOPICS % "1s")
        await b.until(lambda: b.policy.accord.rest(b.policy.steady()) < 200 * MS)
        b.policy.propose(name)
        await b.until(lambda: not b.policy.lines()[2].startswith("last=-"))
        assert b.policy.lines()[2] == "last=1 outcome=refused by=d1 why=too few voters answer here"
        mend()
        for member in (a, b, c):
            assert not any(text.startswith("closed") for _, text in member.lines)
            await member.in_force(0)
        b.policy.propose(name)
        for member in (a, b, c):
            await member.in_force(1)

    three(scene)


def test_sighup_proposes_a_file_that_has_changed_and_no_other(three):
    async def scene(a, b, c):
        (a.folder / "policy.toml").write_text(TOPICS % "1s")
        for number in (1, 1):
            a.node.reload(a.reread)
            await c.in_force(number)
            await a.in_force(number)
        assert not any("not proposed" in text for _, text in a.lines)
        (a.folder / "policy.toml").write_text("this is no policy")
        a.node.reload(a.reread)
        assert any("not proposed" in text for event, text in a.lines if event == "policy")
        await trio.sleep(0.2)
        assert [member.node.decision_loop.policy_number for member in (a, b, c)] == [1, 1, 1]

    three(scene)


# ---- without a licence


def test_one_that_is_alone_takes_on_nothing_and_advises_when_to_come(three):
    async def scene(a, b, c):
        await a.until(lambda: a.node.decision_loop.ready)
        assert await a.offered("a1") == (503, None)
        assert 0 < float(a.headers["retry-after"]) < 1
        assert (await a.ask(b"GET /_health HTTP/1.1\r\nHost: api\r\n\r\n"))[0] == 503
        assert a.policy.not_ready_reason().startswith("no licence")
        assert not a.node.ledger.notifications and a.node.counters["unlicensed"] == 1
        with pytest.raises(OperatorError, match="no licence"):
            a.policy.propose(a.write(PLAIN))
        await b.start()
        await a.ready()
        assert await a.offered("a1") == (202, "0")
        b.kill()
        await a.until(lambda: a.policy.not_ready_reason())
        assert await a.offered("a2") == (503, None) and "a1" in a.node.ledger.notifications

    three(scene, started=1)


def test_a_licence_that_ends_while_the_ledger_is_written_takes_it_back(three):
    async def scene(a, b, c):
        flush, holds, decision_loop = a.node.ledger.flush, a.policy.holds, a.node.decision_loop

        def slow():
            flush()
            a.policy.holds = lambda: None

        a.node.ledger.flush = slow
        assert (await a.offered("a1"))[0] == 503 and "retry-after" in a.headers
        a.node.ledger.flush, a.policy.holds = flush, holds
        assert not a.node.ledger.notifications and not decision_loop.unfinished and not a.far.got
        assert await a.offered("a1") == (202, "0")
        await a.until(lambda: len(a.far.got) == 1)

    three(scene)


def test_what_was_taken_on_in_time_has_one_answer_though_the_licence_ends_before_it_leaves(three):
    async def scene(a, b, c):
        carry_out = a.node.decision_loop.execute_requests

        def released():
            took = [answer for answer in a.node.decision_loop.answers_due if answer.is_accepted]
            carry_out()
            if took:
                a.policy.holds = lambda: None

        a.node.decision_loop.execute_requests = released
        assert await a.offered("a1", "order") == (202, "0")  # its push has begun: a no would be untrue
        assert await a.offered("a2", "order") == (503, None)
        assert [*a.node.ledger.notifications] == ["a1"]

    three(scene)


# ---- the folder


@pytest.mark.parametrize(
    "spoil",
    [
        lambda data: data[:-3],
        lambda data: b"",
        lambda data: b"x" * 200,
        lambda data: data[:-1] + bytes([data[-1] ^ 1]),
    ],
)
def test_a_spoilt_record_counts_as_none_and_the_others_tell_what_it_was(three, spoil):
    async def scene(a, b, c):
        a.policy.propose(a.write(TOPICS % "1s"))
        for member in (a, b, c):
            await member.in_force(1)
        c.kill()
        path = c.folder / "state" / KEPT
        path.write_bytes(spoil(path.read_bytes()))
        await c.start()
        await c.in_force(1)
        assert any("counts as nothing" in text for _, text in c.lines)
        await c.until(lambda: c.policy.accord.voter.cleared)
        await c.until(lambda: Folder(FileSystem(), c.folder / "state", c.log).read(KEPT, Kept()).number == 1)

    three(scene)


def test_a_full_disk_where_the_promise_is_written_gives_no_promise(three):
    async def scene(a, b, c):
        b.files.full = KEPT
        stamp = b.policy.written
        a.policy.propose(a.write(TOPICS % "1s"))
        for member in (a, c):
            await member.in_force(1)
        assert b.policy.written is stamp
        assert any("cannot write down a promise" in text for _, text in b.lines)
        heard = a.policy.accord.stamps.get("d1", {})  # nobody heard from it what it has not on disk
        assert all(one <= stamp.stamp for one in heard.values())
        b.files.full = ""
        await b.in_force(1)
        await b.until(lambda: b.policy.written.number == 1)

    three(scene)


def test_nothing_is_taken_on_under_terms_that_are_not_on_disk(three):
    async def scene(a, b, c):
        b.files.full = TERMS
        a.policy.propose(a.write(TOPICS % "1s"))
        await a.in_force(1)
        await b.until(lambda: any("cannot be put in force yet" in text for _, text in b.lines))
        await b.until(lambda: b.policy.holds() == 1)
        assert await b.offered("b1") == (503, None) and b.policy.not_ready_reason()
        b.files.full = ""
        await b.in_force(1)
        assert await b.offered("b1") == (202, "1")

    three(scene)


def test_a_file_is_written_whole_or_not_at_all(tmp_path):
    class Short(FileSystem):
        left = 0

        def write(self, file, data):
            if Short.left <= 0:
                raise OSError(errno.ENOSPC, "full")
            Short.left -= 10
            return super().write(file, data[:10])

    folder = Folder(Short(), tmp_path, print)
    Short.left = 1 << 20
    folder.write(KEPT, Kept(stamp=3, documents={"d": b"text"}))
    for room in range(0, 60, 20):
        Short.left = room
        with pytest.raises(OSError):
            folder.write(KEPT, Kept(stamp=4))
        assert folder.read(KEPT, None) == Kept(stamp=3, documents={"d": b"text"})


def test_the_ledger_has_a_number_only_under_a_policy(tmp_path):
    for number, fields in ((0, 7), (3, 8)):
        ledger = Ledger(str(tmp_path), 1 << 20)
        ledger.add_accepted(f"a{number}", "news", 7, 9, "", b"hi", policy_number=number)
        assert ledger.unwritten[-1].count(b",") == fields - 1
        ledger.close()
    assert [owed.policy_number for owed in Ledger(str(tmp_path), 1 << 20).notifications.values()] == [0, 3]


# ---- the document


def test_every_fault_of_a_document_is_told_at_once():
    with pytest.raises(Unfit) as caught:
        read(
            b'include = ["/etc/passwd"]\nx = 1\nroster = [3]\n[holding]\nslots = "many"\ntick = "5ms"\n'
            b'[sites]\ncrossing = {east = 1.0}\nshare = {east = 2.0}\n[shards]\nmost = "1B"\n'
            + (TOPICS % "21s").encode()
            + PLAIN.encode(),
            "a.toml",
        )
    for word in (
        "include: found an unknown key",
        "a.toml: x",
        "roster",
        "holding.slots",
        "holding.tick",
        "sites.crossing",
        "sites.share",
        "shards.most",
        "topic news.objective",
        '"news" twice',
    ):
        assert word in str(caught.value), word
    for text in (b"", b"\xff", b"x" * 70_000, b"crossing_price = 1.0"):
        with pytest.raises(Unfit):
            read(text)


def test_a_document_changes_what_it_names_and_leaves_the_rest():
    own = {"slots": 5, "tick": 7, "topic_types": []}
    found = read(
        b'roster = ["a"]\ncrossing_price = 0.5\n[holding]\nmost_held = 9\n[clients]\n'
        b'most_again_in = "1s"\n' + PLAIN.encode()
    )
    told = found.settings(own)
    assert found.roster == {"a"} and [topic["name"] for topic in told.pop("topic_types")] == [
        "news",
        "order",
        "pay",
    ]
    assert told == {"slots": 5, "tick": 7, "crossing_price": 0.5, "most_held": 9, "most_again_in": SEC}


def test_what_a_process_cannot_take_it_says(site):
    async def scene(site):
        node = await site.start()
        own = node.config.settings

        def refused(text, memory=1 << 30, sockets=99, disk=1 << 20):
            return document.refusal(
                text.encode(), own, node.decision_loop, node.ledger, memory, sockets, disk
            )

        assert refused(PLAIN) == ""
        assert "pay is missing" in refused(PLAIN.replace('"pay"', '"else"'))
        assert "else is unknown" in refused(PLAIN.replace('"pay"', '"else"'))
        assert "news is repeatable, not once-only" in refused(PLAIN.replace("repeatable", "once-only"))
        assert "its memory has room for 4" in refused("[holding]\nmost_held = 5\n" + PLAIN, 4 * 1500)
        assert "folder room for 10" in refused(PLAIN, disk=5120)
        assert "sockets for 99" in refused("[holding]\nslots = 100\n" + PLAIN)
        assert await site.submit("a1") == 202 and await site.submit("a2") == 202
        assert "it holds 2" in refused("[holding]\nmost_held = 1\n" + PLAIN)

    site.run(scene, lambda *message: "late")


# ---- the channel


@settings(max_examples=60, deadline=None)
@given(payload=st.binary(max_size=words.MOST_PAYLOAD), at=st.integers(0, 4000))
def test_a_channel_s_datagram_is_whole_or_noise_and_noise_to_older_members(payload, at):
    key, said = b"k" * 32, words.Aside("f", "d1", 77, payload)
    data = words.aside(1, said, key)
    assert words.on_channel(data) == 1 and words.decoded_aside(data, key, "f") == said
    spoilt = data[: at % len(data)] + bytes([data[at % len(data)] ^ 1]) + data[at % len(data) + 1 :]
    for wrong in (spoilt, data[:-1]):
        with pytest.raises(words.Noise):
            words.decoded_aside(wrong, key, "f")
    with pytest.raises(words.Noise):
        words.decoded_aside(data, key, "other")
    with pytest.raises(words.Noise):
        words.decoded(data, key, "f")  # as a member reads it that knows of no channel


# ---- the operators' file, and off


VOTERS = '["a@127.0.0.1:5", "b@127.0.0.1:6", "c@127.0.0.1:7"]'


@pytest.mark.parametrize(
    "text, word",
    [
        (f"enabled = true\nvoters = {VOTERS}", None),
        (f"voters = {VOTERS}", "enabled = true"),
        ("enabled = true", "found 0 voters, expected 3, 5 or 7"),
        (f"enabled = true\nvoters = {VOTERS.replace('b@', 'a@')}", "one name twice"),
        (f"enabled = true\nvoters = {VOTERS.replace(':6', ':7')}", "one address twice"),
        (f"enabled = true\nvoters = {VOTERS.replace('a@127.0.0.1:5', 'a@127.0.0.1:9')}", "our own address"),
        (f"enabled = true\nvoters = {VOTERS.replace('c@', '')}", "policy.voters"),
        (f'enabled = true\nvoters = {VOTERS}\nlicence = "100ms"', "500ms to 60s"),
        (f"enabled = true\nvoters = {VOTERS}\ndrift = 0.06", "policy.drift"),
    ],
)
def test_half_told_it_is_refused_in_words(tmp_path, text, word):
    (tmp_path / "key").write_text("k" * 40)
    (tmp_path / "key").chmod(0o600)
    file = tmp_path / "f.toml"
    fleet = '[fleet]\nenabled = true\naddress = "127.0.0.1:5"\nkey = "key"\n'
    file.write_text(f'[instance]\nname = "a"\n{fleet}[policy]\n{text}\n')
    if word is None:
        told = config.from_operators(read_file(file, FileSystem()))
        assert told.policy.folder == str(tmp_path / "policies")
        assert told.policy.voters["b"] == ("127.0.0.1", 6)
        file.write_text(f'[instance]\nname = "a"\n[policy]\n{text}\n')
        word = r"policy.enabled: found true, expected `\[fleet\]`"
    with pytest.raises(FileError, match=word):
        read_file(file, FileSystem())


def test_off_it_imports_opens_and_writes_nothing(site, tmp_path):
    """As `run` starts it, whatever the platform's file and environment say of a policy."""
    (tmp_path / "state").mkdir()
    site.told = {"policy": {"enabled": True, "voters": ["n0@127.0.0.1:9"]}, "fleet": {"enabled": True}}

    async def scene(site):
        site.config()

    site.run(scene)
    environ = os.environ | site.environ | {"EDGE_POLICY": "true", "EDGE_POLICY_ENABLED": "true"}
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
        assert len(os.listdir(f"/proc/{process.pid}/task")) == 1
        assert "juniperlanding.net" in heard
        assert not re.search(r"juniperlanding\.(fleet|accord|shards)|msgspec", heard)
        assert sorted(os.listdir(tmp_path / "state")) == ["ledger", "lock", "successor"]
    finally:
        process.kill()
        process.wait()
