"""Paths that end something, each held at the instant in which something is still owed (docs/endings.md)."""

import os
import re
import signal
import subprocess
import sys
import tomllib
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import trio
from test_upgrade import first, node, replace, start

from juniperlanding.choice import SEC
from juniperlanding.ground.lock import Lock
from juniperlanding.ground.seams import Network
from juniperlanding.handover.channel import Harbour
from juniperlanding.net import line, protocol, succession
from juniperlanding.standins.peers import Platform, http, read_message

REQUEST = (
    b"POST /api HTTP/1.1\r\nHost: api\r\nX-Trace-Id: a2\r\nX-Qos: news\r\n"
    b"X-Expires-In-Ms: 5000\r\nX-Addressing: dest=7\r\nContent-Length: 5\r\n\r\nhello"
)


class Replaced:
    """A hand-over that is asked for, and held until `go` freezes the old process."""

    def __init__(self, site, old):
        self.site, self.old, self.freeze, self.asked, self.new = site, old, old.owner.freeze, [], None
        old.owner.freeze = self.asked.append

    async def ask(self):
        self.site.nursery.start_soon(self.take)
        await self.site.until(lambda: self.asked)

    def go(self):
        self.freeze(self.asked.pop())
        self.old.owner.tell_now(list)  # wakes it

    async def take(self):
        self.new = await replace(self.site)

    async def over(self):
        await self.site.until(lambda: self.new)
        return self.new


def lists_asked(platform):
    return [first.split()[1] for first, _, _ in platform.got if first.startswith("GET")]


def mine(calls):
    """Those of these tests: on a machine with others' tests a stranger may call at a port that was theirs."""
    return [call for call in calls if call and call[1].get("x-trace-id") == "a1"]


# ---- hand-over


def test_a_client_that_is_answered_as_all_is_frozen_may_rest_after_it(site):
    async def scene(site):
        old, stream = await first(site), await site.client()
        hand_over, submit = Replaced(site, old), old.owner.submit

        def frozen_in_the_same_round(*fields):
            submit(*fields)
            hand_over.go()

        await hand_over.ask()
        old.owner.submit = frozen_in_the_same_round
        assert await site.submit("a1", stream=stream) == 202
        new = await hand_over.over()
        await site.until(lambda: new.clients.waiting)
        assert [one.until for one in new.clients.waiting] == [float("inf")]
        assert await site.submit("a2", stream=stream) == 202

    site.run(scene)


def test_a_client_that_comes_as_all_is_frozen_has_its_time_and_no_more(site):
    async def scene(site):
        old = await first(site)
        hand_over, attend = Replaced(site, old), old.clients.attend
        await hand_over.ask()

        async def frozen_before_its_first_look(*fields):
            hand_over.go()
            await attend(*fields)

        old.clients.attend = frozen_before_its_first_look
        stream = await site.client()
        new = await hand_over.over()
        await site.until(lambda: new.clients.waiting)
        latest = trio.current_time() + protocol.REQUEST_WITHIN
        assert all(one.until <= latest for one in new.clients.waiting)
        assert (await site.ask(REQUEST, stream))[0] == 202

    site.run(scene)


def test_the_list_is_asked_for_whole_when_a_move_was_not_over_at_the_hand_over(site, monkeypatch):
    send, asked = line.Line.send, []

    async def kept(self, *events):
        asked.extend(one.target.decode() for one in events if getattr(one, "method", b"") == b"GET")
        await send(self, *events)

    monkeypatch.setattr(line.Line, "send", kept)

    async def scene(site):
        old = await first(site)
        await site.until(lambda: len(asked) == 1)
        site.platform = await Platform().open(site.nursery)  # silent: what it is asked for does not come
        site.config()
        old.reload(site.reread)
        await site.until(lambda: len(asked) == 2)
        await late_first_round(site, lambda: len(asked) == 3)
        await site.until(lambda: len(asked) == 3)
        assert asked[1:] == [protocol.LIST] * 2

    site.run(scene)


async def late_first_round(site, unless):
    """A replacement whose owner has its first round only once all else could run, or `unless` holds."""
    told = site.config()

    def make(offer=None):
        made = node(site, told, offer)
        receive_events = made.owner.receive_events

        async def late():
            made.owner.receive_events = receive_events
            with trio.move_on_after(0.2):
                await site.until(unless)
            return await receive_events()

        made.owner.receive_events = late
        return made

    return await start(site, await succession.begin(make, told, site.world))


def test_what_an_earlier_process_read_of_a_request_outlives_a_freeze_before_it_is_looked_at(site):
    async def scene(site):
        await first(site)
        half = await site.client()
        await half.send_all(REQUEST[:60])
        told = site.config()

        def make(offer=None):
            made = node(site, told, offer)
            begin, give = made.owner.begin, made.succession.give

            def begin_and_freeze(*fields):
                begin(*fields)
                made.owner.begin = begin
                made.owner.freeze(0.5)

            async def nobody_takes_it(offer):
                made.succession.give = give
                return False

            made.owner.begin, made.succession.give = begin_and_freeze, nobody_takes_it
            return made

        await site.until(lambda: any(one.raw for one in site.node.clients.waiting))
        new = await succession.begin(make, told, site.world)
        site.nursery.start_soon(new.run)
        await site.until(lambda: new.clients.waiting and not new.owner.frozen)
        assert (await site.ask(REQUEST[60:], half))[0] == 202

    site.run(scene)


def test_an_answer_half_read_at_the_hand_over_is_heard_whole_by_the_new_process(site, monkeypatch):
    monkeypatch.setattr(line, "ANSWER_WITHIN", 60)
    whole, rest, calls = http(200), trio.Event(), []

    async def in_two(stream):
        calls.append(await read_message(stream, bytearray()))
        await stream.send_all(whole[:9])
        await rest.wait()
        await stream.send_all(whole[9:])
        await stream.receive_some()

    async def scene(site):
        listeners = await site.nursery.start(trio.serve_tcp, in_two, 0)
        site.far.address = listeners[0].socket.getsockname()[:2]
        old = await first(site)
        assert await site.submit("a1", "order") == 202
        out = old.owner.endpoints.out
        await site.until(lambda: any(call.line and call.line.head for call in out.values()))
        new = await replace(site)
        rest.set()
        await site.until(lambda: not new.ledger.owed)
        assert len(mine(calls)) == 1 and new.counters["svc.results.order.succeeded"] == 1

    site.run(scene)


def test_a_call_that_still_connects_at_the_hand_over_goes_from_the_new_process(site, monkeypatch):
    connect, up = Network.connect, trio.Event()

    async def late(self, address):
        if address == site.far.address:
            await up.wait()
        return await connect(self, address)

    monkeypatch.setattr(Network, "connect", late)
    site.wire = site.wire | {"permissions": site.wire["permissions"] | {"connect_timeout_ns": 60 * SEC}}

    async def scene(site):
        old = await first(site)
        assert await site.submit("a1", "order") == 202
        await site.until(lambda: old.owner.endpoints.out)
        new = await replace(site)
        up.set()
        await site.until(lambda: not new.ledger.owed)
        assert len(mine(site.far.got)) == 1 and old.counters["pushes_moot"] == 1
        assert new.counters["svc.results.order.succeeded"] == 1

    site.run(scene)


# ---- start and end

HERE = Path(__file__).parent
RUN = tomllib.loads((HERE.parent / "deploy" / "balancer.toml").read_text())["run"]


@asynccontextmanager
async def begun(site):
    """The program as the deploy file runs it, from the moment in which its interpreter begins."""
    site.config()
    # An address that no other test takes meanwhile: this process's own, and a port that is never given out.
    site.address = f"127.{os.getpid() // 200 % 200 + 1}.{os.getpid() % 200 + 1}.1", 20_000
    environ = dict(
        os.environ,
        EDGE_CONFIG=str(site.folder / "config.json"),
        EDGE_STATE=str(site.folder / "state"),
        EDGE_LISTEN="{}:{}".format(*site.address),
    )
    run = RUN.replace(".venv/bin/python", sys.executable)
    process = await trio.lowlevel.open_process(["/bin/sh", "-c", run], env=environ, stderr=subprocess.DEVNULL)
    try:
        command = Path(f"/proc/{process.pid}/cmdline")
        while not command.read_bytes().startswith(sys.executable.encode()):
            pass
        yield process
    finally:
        process.kill()
        with trio.CancelScope(shield=True):
            await process.wait()


async def ready(site, process):
    while process.returncode is None:
        with suppress(OSError):
            if (await site.ask(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200:
                return True
        await trio.sleep(0.02)
    return False


def test_a_sighup_after_the_file_was_read_and_before_anybody_listens_is_not_lost(site):
    async def scene(site):
        (site.folder / "state").mkdir()
        state, old = str(site.folder / "state"), site.platform
        lock, harbour = Lock(state), Harbour(state)  # holds the start where the file was read
        async with begun(site) as process:
            channel = await harbour.accept()
            site.platform = await Platform().open(site.nursery)
            site.config()
            process.send_signal(signal.SIGHUP)
            for one in (channel, harbour, lock):
                one.close()
            await site.until(lambda: lists_asked(site.platform))
            assert len(lists_asked(old)) <= 1

    site.run(scene)


def test_a_sighup_as_the_interpreter_begins_does_not_end_it(site):
    async def scene(site):
        async with begun(site) as process:
            process.send_signal(signal.SIGHUP)
            assert await ready(site, process)

    site.run(scene)


def test_a_sighup_as_the_interpreter_ends_does_not_end_it(site):
    async def scene(site):
        async with begun(site) as process:
            assert await ready(site, process)
            process.terminate()
            while process.returncode is None:  # at each instant of the drain and of the end
                process.send_signal(signal.SIGHUP)
                await trio.sleep(0.0005)
            assert process.returncode == 0

    site.run(scene)


def test_the_table_names_tests_that_there_are():
    named = set(re.findall(r"test_\w+", (HERE.parent / "docs" / "endings.md").read_text()))
    files = list(HERE.glob("test_*.py"))
    there = {name for file in files for name in re.findall(r"^def (test_\w+)", file.read_text(), re.M)}
    assert named <= there | {file.stem for file in files}
