"""One process takes over from another: on loopback, with each side dying or stalling at each step."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from functools import partial

import pytest
import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from juniperlanding import carry
from juniperlanding.choice import SEC, Dispatcher
from juniperlanding.ground.errors import DiskFailing
from juniperlanding.ground.seams import AddressTaken
from juniperlanding.handover import channel, frames, steps
from juniperlanding.net import succession
from juniperlanding.net.node import Node
from juniperlanding.processes.rig import free
from juniperlanding.standins.peers import http


async def start(site, made):
    """Run a node that was made, as `Site.start` does; `site.scope` ends it."""
    site.node, scope = made, trio.CancelScope()

    async def run(task_status):
        with scope:
            await made.run(task_status)

    site.address = await site.nursery.start(run)
    made.scope = scope
    await site.until(lambda: made.owner.ready)
    return made


async def replace(site):
    """A second process's start beside the first's."""
    told = site.config()
    make = partial(node, site, told)
    return await start(site, await succession.begin(make, told, site.world))


def node(site, told, offer=None):
    return Node(told, site.world, log=site.log, offer=offer)


async def first(site):
    return await start(site, node(site, site.config()))


async def hello(site, **more):
    """A process that asks as a successor does, and says what a test wants."""
    end = channel.call(str(site.folder / "state"))
    await end.say(frames.HELLO, **({"listen": "127.0.0.1:0"} | more))
    return end


def gone(site):
    """As a process's death does: every socket and the lock go, nothing is finished."""
    before = site.node.before
    site.node.scope.cancel()
    if before:
        before.close()


# ---- what goes over


def test_a_call_out_at_the_hand_over_is_answered_at_the_new_process_and_runs_once(site):
    async def scene(site):
        old = await first(site)
        waiting = [await site.client() for _ in range(3)]
        for number, topic, stream in zip("abc", ("order", "news", "pay"), waiting, strict=True):
            assert await site.submit(number, topic, stream=stream) == 202
        await site.until(lambda: len(site.far.got) == 3)
        new = await replace(site)
        await site.until(lambda: old.replaced)
        site.far.go.set()
        await site.until(lambda: not new.ledger.owed)
        assert len(site.far.got) == 3 and site.far.connections == 3 and not site.platform.notices
        succeeded = [new.counters[f"svc.results.{topic}.succeeded"] for topic in ("order", "news", "pay")]
        assert succeeded == [1, 1, 1]

    site.run(scene, late)


def late(*message):
    return "late"


def test_clients_go_over_with_half_their_requests_and_are_not_closed(site):
    async def scene(site):
        await first(site)
        kept, half, fresh = [await site.client() for _ in range(3)]
        assert await site.submit("a1", stream=kept) == 202
        text = (
            b"POST /api HTTP/1.1\r\nHost: api\r\nX-Trace-Id: a2\r\nX-Qos: news\r\n"
            b"X-Expires-In-Ms: 5000\r\nX-Addressing: dest=7\r\nContent-Length: 5\r\n\r\nhello"
        )
        await half.send_all(text[:60])
        await trio.sleep(0.05)
        new = await replace(site)
        assert (await site.ask(text[60:], half))[0] == 202
        assert [await site.submit("a3", stream=kept), await site.submit("a4", stream=fresh)] == [202, 202]
        await site.until(lambda: not new.ledger.owed)
        assert {headers["x-trace-id"] for _, headers, _ in site.far.got} == {"a1", "a2", "a3", "a4"}

    site.run(scene)


def test_told_waits_and_what_is_set_aside_are_kept(site):
    async def scene(site):
        old = await first(site)
        await site.submit("a1")
        await site.until(lambda: old.counters["pushes_throttled"])
        endpoint = old.owner.at.me.endpoints["s-1"]
        endpoint.down, endpoint.run = True, 5
        until = endpoint.route.wait_until
        new = await replace(site)
        other = new.owner.at.me.endpoints["s-1"]
        assert (other.down, other.run, other.route.wait_until) == (True, 5, until) and other is not endpoint
        assert new.owner.held.keys() == {"a1"} and len(site.far.got) == 1

    site.run(scene, lambda *message: http(429, b"", "Retry-After: 3"))


def test_other_settings_keep_the_clients_and_begin_from_the_ledger(site):
    async def scene(site):
        await first(site)
        stream = await site.client()
        assert await site.submit("a1", "order", stream=stream) == 202
        await site.until(lambda: site.far.got)
        site.wire = site.wire | {"tick_ns": 6_000_000}
        new = await replace(site)
        await site.until(lambda: site.platform.notices)  # it may have run
        assert new.counters["svc.results.order.aborted"] == 1
        assert await site.submit("a2", stream=stream) == 202

    site.run(scene, lambda *message: None)


def test_three_replacements_in_a_row(site):
    async def scene(site):
        await first(site)
        stream = await site.client()
        for number in "abc":
            assert await site.submit(number, stream=stream) == 202
            await replace(site)
        await site.until(lambda: not site.node.ledger.owed)
        assert len(site.far.got) == 3 and site.far.connections == 1

    site.run(scene)


# ---- what fails


@pytest.mark.parametrize("word", ["dies", "noise", "stalls", "refuses the offer"])
def test_the_old_process_serves_on_when_nobody_takes_over(site, monkeypatch, word):
    monkeypatch.setattr(steps, "LOAD_WITHIN", SEC // 5)

    async def scene(site):
        old, stream = await first(site), await site.client()
        assert await site.submit("a1", "order", stream=stream) == 202
        await site.until(lambda: site.far.got)
        end = await hello(site)
        heard, files = await end.hear(whole=True)
        assert heard["say"] == frames.OFFER and len(files) >= 3
        for file in files:
            os.close(file)
        if word == "noise":
            await end.sock.send(b"GET / HTTP/1.1\r\n\r\n")
        elif word == "refuses the offer":
            await end.say(frames.REFUSED)
        if word != "stalls":
            end.close()
        await site.until(lambda: any("serving on" in text for _, text in site.lines))
        await site.until(lambda: old.owner.ready)
        site.far.go.set()
        assert await site.submit("a2", stream=stream) == 202
        await site.until(lambda: not old.ledger.owed)
        assert [headers["x-trace-id"] for _, headers, _ in site.far.got] == ["a1", "a2"]
        await replace(site)  # and the next attempt works
        assert await site.submit("a3", stream=stream) == 202

    site.run(scene, late)


def test_the_old_process_serves_again_when_the_new_one_is_gone(site):
    async def scene(site):
        old = await first(site)
        await replace(site)
        assert await site.submit("a1", dest=8) == 202
        gone(site)
        await site.until(lambda: not old.replaced and old.owner.ready and "a1" in old.owner.held)
        site.address = old.listener.address
        assert await site.submit("a2") == 202

    site.run(scene)


def test_a_stranger_and_noise_harm_nobody(site):
    async def scene(site):
        old = await first(site)
        path = str(site.folder / "state" / channel.FILE)
        assert os.stat(path).st_mode & 0o777 == 0o600
        for noise in (
            b"",
            b"\x00" * 10,
            b"JLH1\xff\xff\xff\xff\xff\xff",
            frames.pack("hello")[:-3],
            frames.HEAD.pack(frames.MARK, 2, 0) + b"[]",
        ):
            with socket.socket(socket.AF_UNIX) as stranger:
                stranger.connect(path)
                stranger.sendall(noise)
                stranger.shutdown(socket.SHUT_WR)
                await trio.to_thread.run_sync(stranger.recv, 1)
        assert not old.owner.frozen and await site.submit("a1") == 202

    site.run(scene)


def test_a_second_successor_and_one_that_listens_elsewhere_are_refused(site):
    async def scene(site):
        await first(site)
        elsewhere = await hello(site, listen="127.0.0.1:9")
        assert (await elsewhere.hear())[0] == {"say": "refused", "why": "it listens at 127.0.0.1:0"}
        one = await hello(site)
        await one.hear(whole=True)
        other = await hello(site)
        assert (await other.hear())[0]["why"] == "another replacement is under way"
        one.close()

    site.run(scene)


def test_a_word_brings_no_descriptors_and_no_bulk(site):
    async def scene(site):
        old = await first(site)
        for text, files in ((b" " * 5000, 0), (b"", 3)):
            end = channel.call(str(site.folder / "state"))
            said = frames.pack(frames.HELLO, files, listen="127.0.0.1:0", more=text.decode())
            await end.sock.send(said)
            with pytest.raises(OSError):  # it closes without taking them
                for _ in range(50):
                    await trio.sleep(0.01)
                    await end.sock.send(b"f")
            end.close()
        await site.until(lambda: not old.succession.callers)
        assert not old.owner.frozen and await site.submit("a1") == 202

    site.run(scene)


def test_callers_at_the_channel_are_few(site):
    async def scene(site):
        old = await first(site)
        path = str(site.folder / "state")
        mute = [channel.call(path) for _ in range(steps.MOST_CALLERS)]
        await site.until(lambda: old.succession.callers == steps.MOST_CALLERS)
        with trio.fail_after(0.5):
            assert await channel.call(path).sock.recv(1) == b""
        with trio.fail_after(2 * succession.HELLO_WITHIN):
            assert [await end.sock.recv(1) for end in mute] == [b""] * steps.MOST_CALLERS
        await replace(site)

    site.run(scene)


def test_what_a_new_process_lacks_is_found_out_before_the_old_one_stops_for_it(site):
    async def scene(site):
        old = await first(site)
        with socket.create_server(("127.0.0.1", 0)) as taken:
            site.told["management"] = f"127.0.0.1:{taken.getsockname()[1]}"
            with pytest.raises(AddressTaken, match="in use"):
                await replace(site)
        assert not any("takes over" in text for _, text in site.lines) and not old.owner.frozen

    site.run(scene)


@pytest.mark.parametrize("fails", ["to load", "at another form"])
def test_a_new_process_that_cannot_load_asks_once_and_keeps_nothing(site, monkeypatch, fails):
    async def scene(site):
        old, stream = await first(site), await site.client()
        assert await site.submit("a1", stream=stream) == 202
        await site.until(lambda: not old.ledger.owed)
        if fails == "to load":

            def make(offer):
                if offer:
                    raise OSError(5, "input/output error", "ledger")
                return node(site, site.config())
        else:
            make = partial(node, site, site.config())
            monkeypatch.setattr(succession, "FORM", 2)
            whole = succession.Offer.whole.__func__
            monkeypatch.setattr(succession.Offer, "whole", classmethod(lambda *given: formed(whole(*given))))
        before = len(os.listdir("/proc/self/fd"))
        with pytest.raises(DiskFailing if fails == "to load" else succession.OtherForm):
            await succession.begin(make, site.config(), site.world)
        await site.until(lambda: any("serving on" in text for _, text in site.lines) and old.owner.ready)
        assert await site.submit("a2", stream=stream) == 202
        await site.until(lambda: not old.ledger.owed)
        assert sum("takes over" in text for _, text in site.lines) == 1
        assert sum("code=hand-over-failed" in text for _, text in site.lines) == 1
        assert len(os.listdir("/proc/self/fd")) <= before + 1  # the watch asked anew

    site.run(scene)


def formed(offer):
    offer.state["form"] = 1
    return offer


def test_a_record_that_cannot_be_written_down_costs_the_module_and_not_the_process(site, monkeypatch):
    def fails(me):
        raise TypeError("odd")

    monkeypatch.setattr(carry, "taken_from", fails)

    async def scene(site):
        await first(site)
        stream = await site.client()
        assert await site.submit("a1", "order", dest=8, stream=stream) == 202
        new = await replace(site)
        assert await site.submit("a2", stream=stream) == 202
        assert "a1" in new.owner.held and any("begins from the ledger" in text for _, text in site.lines)

    site.run(scene)


def test_while_the_disk_fails_nothing_goes_over_and_then_all_does(site):
    async def scene(site):
        old, stream = await first(site), await site.client()
        assert await site.submit("a1", dest=8, stream=stream) == 202
        whole = old.ledger.flush

        def fails():
            raise OSError(28, "no space left on device")

        old.ledger.flush = fails
        assert await site.submit("a2", dest=8) == 503
        new = []

        async def take_over():
            new.append(await replace(site))

        site.nursery.start_soon(take_over)
        await trio.sleep(0.3)
        assert not new and not old.replaced
        old.ledger.flush = whole
        await site.until(lambda: new)
        assert list(new[0].owner.held) == ["a1"] and await site.submit("a3", dest=8, stream=stream) == 202

    site.run(scene)


def test_sigterm_while_a_hand_over_comes_to_nothing_still_stops_and_sighup_is_heard(site, monkeypatch):
    monkeypatch.setattr(steps, "LOAD_WITHIN", SEC // 5)

    async def scene(site):
        old = await first(site)
        end = await hello(site)
        _, files = await end.hear(whole=True)
        site.nursery.start_soon(old.drain)
        await site.until(lambda: old.stops_at)
        channel.drop(files)
        end.close()
        await site.until(lambda: any("serving on" in text for _, text in site.lines))
        await site.until(lambda: old.owner.ready and old.owner.at.me.stops_at)
        assert old.owner.at.me.stops_at == old.stops_at
        new = await replace(site)
        old.reload(site.reread)  # while it stands by
        new.reload(site.reread)
        assert await site.submit("a1") == 202

    site.run(scene)


def test_a_ledger_that_cannot_be_read_as_the_old_one_is_owner_again_is_tried_again(site):
    async def scene(site):
        old = await first(site)
        await replace(site)
        build, tries = old.build, []

        def fails(offer):
            tries.append(offer)
            if len(tries) < 3:
                raise OSError(5, "input/output error")
            build(offer)

        old.build = fails
        gone(site)
        await site.until(lambda: len(tries) == 3 and not old.replaced and old.owner.ready)
        site.address = old.listener.address
        assert await site.submit("a1") == 202

    site.run(scene)


def test_no_place_for_the_channel_is_one_line_and_serving_goes_on(site):
    async def scene(site):
        (site.folder / "state").mkdir()
        (site.folder / "state" / channel.FILE).mkdir()
        await first(site)
        assert await site.submit("a1") == 202
        assert sum("nobody can take over here" in text for _, text in site.lines) == 1

    site.run(scene)


def test_a_long_path_to_the_folder_does(site, tmp_path):
    site.folder = tmp_path / ("x" * 120)
    site.folder.mkdir()

    async def scene(site):
        old = await first(site)
        await replace(site)
        await site.until(lambda: old.replaced)

    site.run(scene)


# ---- who owns, whatever is lost


class Between(RuleBasedStateMachine):
    """Both machines with a channel between them that may end at any moment, and either process with it."""

    def __init__(self):
        super().__init__()
        self.now, self.giver, self.taker, self.words, self.open = 0, steps.Giver(), None, [], False
        self.giver_lives, self.free = True, False

    @precondition(
        lambda self: not self.open
        and self.giver_lives
        and (self.taker is None or self.taker.state == steps.ASKING)
    )
    @rule()
    def ask(self):
        self.taker = self.taker or steps.Taker(self.now)
        if self.giver.hello(self.now):
            self.open, self.words = True, ["offer"] if self.giver.frozen(self.now) else []

    @precondition(lambda self: self.open)
    @rule()
    def hears(self):
        if "offer" in self.words:
            self.words.remove("offer")
            if self.taker.offered() and self.taker.loaded():
                self.words.append("ready")
        elif "ready" in self.words:
            self.words.remove("ready")
            if self.giver.ready():
                self.words.append("yours")
        elif "yours" in self.words:
            self.words.remove("yours")
            self.taker.yours()

    @precondition(lambda self: self.open)
    @rule(unsaid=st.booleans())
    def channel_ends(self, unsaid):
        """By the giver's doubt, which it may have only while it owns."""
        if self.giver.owns:
            self.open, self.words = False, []
            self.giver.lost()
            self.taker.lost(self.now)
        elif unsaid and "yours" in self.words:
            self.open, self.words = False, []
            self.giver.unsaid()
            self.taker.lost(self.now)

    @precondition(lambda self: self.taker is not None)
    @rule()
    def taker_dies(self):
        self.taker, self.words = None, []
        if self.open:
            self.open = False
            if self.giver_lives:
                self.giver.lost()

    @precondition(lambda self: self.giver_lives and self.open)
    @rule()
    def giver_dies(self):
        heard = "yours" in self.words  # what was said before it died is still read
        self.giver_lives, self.open, self.words = False, False, []
        if heard:
            self.taker.yours()
        self.taker.lost(self.now)

    @rule(seconds=st.integers(0, 3))
    def time(self, seconds):
        self.now += seconds * SEC

    @invariant()
    def never_two(self):
        assert not (self.giver_lives and self.giver.owns and self.taker and self.taker.owns)

    @invariant()
    def never_none_while_nobody_speaks(self):
        if self.giver_lives and not self.open:
            assert self.giver.owns or self.taker and self.taker.owns


TestBetween = Between.TestCase
TestBetween.settings = settings(max_examples=200, stateful_step_count=30, derandomize=True, deadline=None)


def test_what_comes_out_of_turn_changes_nothing():
    giver, taker = steps.Giver(), steps.Taker(0)
    assert giver.ready() == giver.frozen(0) == taker.yours() == taker.loaded() == []
    assert giver.owns and not taker.owns
    loading = steps.Taker(0)
    assert loading.offered() and loading.lost(1) == [steps.RELEASE, steps.WAIT] and not loading.offered()
    assert loading.lost(steps.JOIN_WITHIN) == [steps.END]
    assert taker.lost(steps.JOIN_WITHIN - 1) == [steps.ASK] and taker.lost(steps.JOIN_WITHIN) == [steps.END]


# ---- the module's records


def test_the_module_goes_on_as_if_nothing_had_been(bed):
    """The same events after carrying over give the same requests as without."""
    bed.deliver(5)
    out, refused = bed.take(2), bed.take(1)
    bed.turn()
    bed.end(refused, "throttled", wait=3 * SEC)
    bed.take(0)
    bed.turn(0.01)
    told = json.loads(json.dumps(carry.taken_from(bed.at.me)))
    other = Dispatcher(type(bed.host)(), bed.at.me.settings, seed=7, now=bed.at.now)
    carry.given_to(other.me, told)
    asked = len(bed.host.asked)
    for at in (bed.at, other):
        at.outcome(out, 0, "delivered", latency=SEC // 9, over=True)
        for _ in range(100):
            at.now += SEC // 5
            at.wake(at.now)
            at.turn()
    assert bed.host.asked[asked:] == other.host.asked and other.host.all("push")


@pytest.mark.parametrize(
    "told",
    [
        {},
        {"records": [[99]], "instance": []},
        {"records": [], "instance": [1]},
        {"records": [[0, 1, 2, 3]], "instance": []},
        {"records": 5, "instance": 5},
    ],
)
def test_records_that_cannot_be_read_leave_the_module_as_it_was(bed, told):
    before = bed.at.me.endpoints
    with pytest.raises(carry.Unknown):
        carry.given_to(bed.at.me, told)
    assert bed.at.me.endpoints is before


# ---- real processes


def test_a_process_is_replaced_under_load_and_sigterm_ends_the_old_one(tmp_path):
    (tmp_path / "state").mkdir()
    port = free(socket.SOCK_STREAM)
    (tmp_path / "a.toml").write_text(
        f'[instance]\nlisten = "127.0.0.1:{port}"\ndiscovery = "127.0.0.1:1"\nstate = "state"\n'
        '[[kind]]\nname = "shop"\n'
        '[[topic]]\nname = "news"\nkind = "repeatable"\nobjective = "2s"\nttl = "20s"\n'
        '[[endpoint]]\nid = "e-1"\naddress = "127.0.0.1:1"\ndestination = 7\nkind = "shop"\n'
    )
    text = (
        "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {}\r\nX-Qos: news\r\nX-Expires-In-Ms: 9000\r\n"
        "X-Addressing: dest=7\r\nContent-Length: 0\r\n\r\n"
    )

    def run():
        return subprocess.Popen(
            [sys.executable, "-m", "juniperlanding", "serve", str(tmp_path / "a.toml")],
            text=True,
            stderr=subprocess.PIPE,
        )

    def until(process, word):
        while word not in (line := process.stderr.readline()):
            assert line, "ended early"

    processes = [run()]
    try:
        until(processes[0], " start ")
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.settimeout(5)
            for number in range(3):
                client.sendall(text.format(f"a{number}").encode())
                assert client.recv(4096).startswith(b"HTTP/1.1 202")
                processes.append(run())
                until(processes[-1], " start ")
                until(processes[-2], "replaced by=")
                processes[-2].send_signal(signal.SIGTERM)
                began = time.monotonic()
                assert processes[-2].wait(5) == 0 and time.monotonic() - began < 1
            client.sendall(text.format("a3").encode())
            assert client.recv(4096).startswith(b"HTTP/1.1 202")
    finally:
        for process in processes:
            process.kill()
            process.wait()
            process.stderr.close()


def test_a_hung_old_process_that_is_killed_leaves_the_folder_to_the_one_that_waits(tmp_path):
    (tmp_path / "state").mkdir()
    (tmp_path / "a.toml").write_text(
        '[instance]\nlisten = "127.0.0.1:0"\ndiscovery = "127.0.0.1:1"\nstate = "state"\n'
    )
    command = [sys.executable, "-m", "juniperlanding", "serve", str(tmp_path / "a.toml")]
    old = subprocess.Popen(command, text=True, stderr=subprocess.PIPE)
    new = None
    try:
        assert " start " in old.stderr.readline()
        old.send_signal(signal.SIGSTOP)
        new = subprocess.Popen(command, text=True, stderr=subprocess.PIPE)
        time.sleep(1)
        assert new.poll() is None
        old.kill()
        assert " start " in new.stderr.readline()
    finally:
        for process in (old, new):
            if process:
                process.kill()
                process.wait()
                process.stderr.close()
