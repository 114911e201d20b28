"""Hand-over, start and end of the process, each interrupted while something is pending (docs/endings.md)."""

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
from juniperlanding.handover.channel import ChannelListener
from juniperlanding.net import line, protocol, succession
from juniperlanding.standins.peers import Platform, http, read_message

REQUEST = (
    b"POST /api HTTP/1.1\r\nHost: api\r\nX-Trace-Id: a2\r\nX-Qos: news\r\n"
    b"X-Expires-In-Ms: 5000\r\nX-Addressing: dest=7\r\nContent-Length: 5\r\n\r\nhello"
)


class HandOver:
    """A hand-over that a new process requests; the old process is frozen only when `proceed` is called."""

    def __init__(self, site, old):
        self.site = site
        self.old = old
        self.freeze = old.decision_loop.freeze
        self.requests = []  # the arguments of calls of `freeze`
        self.new = None
        old.decision_loop.freeze = self.requests.append

    async def request(self):
        self.site.nursery.start_soon(self.start_new_process)
        await self.site.until(lambda: self.requests)

    def proceed(self):
        self.freeze(self.requests.pop())
        self.old.decision_loop.try_enqueue(list)  # any event starts the next iteration

    async def start_new_process(self):
        self.new = await replace(self.site)

    async def completed(self):
        await self.site.until(lambda: self.new)
        return self.new


def list_requests(platform):
    return [request_line.split()[1] for request_line, _, _ in platform.got if request_line.startswith("GET")]


def calls_of_a1(calls):
    """Without calls from other tests on this machine, which may reach a port that was theirs before."""
    return [call for call in calls if call and call[1].get("x-trace-id") == "a1"]


# ---- hand-over


def test_a_client_that_is_answered_as_all_is_frozen_may_rest_after_it(site):
    async def scene(site):
        old, stream = await first(site), await site.client()
        hand_over, submit = HandOver(site, old), old.decision_loop.submit

        def submit_and_freeze(*fields):
            submit(*fields)
            hand_over.proceed()

        await hand_over.request()
        old.decision_loop.submit = submit_and_freeze
        assert await site.submit("a1", stream=stream) == 202
        new = await hand_over.completed()
        await site.until(lambda: new.clients.request_waits)
        assert [one.until for one in new.clients.request_waits] == [float("inf")]
        assert await site.submit("a2", stream=stream) == 202

    site.run(scene)


def test_a_client_that_comes_as_all_is_frozen_has_its_time_and_no_more(site):
    async def scene(site):
        old = await first(site)
        hand_over, attend = HandOver(site, old), old.clients.serve_connection
        await hand_over.request()

        async def freeze_before_attending(*fields):
            hand_over.proceed()
            await attend(*fields)

        old.clients.serve_connection = freeze_before_attending
        stream = await site.client()
        new = await hand_over.completed()
        await site.until(lambda: new.clients.request_waits)
        latest = trio.current_time() + protocol.REQUEST_TIMEOUT
        assert all(one.until <= latest for one in new.clients.request_waits)
        assert (await site.ask(REQUEST, stream))[0] == 202

    site.run(scene)


def test_the_list_is_asked_for_whole_when_a_move_was_not_over_at_the_hand_over(site, monkeypatch):
    send, requested = line.HttpConnection.send, []

    async def record_and_send(self, *events):
        requested.extend(event.target.decode() for event in events if getattr(event, "method", b"") == b"GET")
        await send(self, *events)

    monkeypatch.setattr(line.HttpConnection, "send", record_and_send)

    async def scene(site):
        old = await first(site)
        await site.until(lambda: len(requested) == 2)
        site.platform = await Platform().open(site.nursery)  # answers no request for the list
        site.config()
        old.reload(site.reread)
        await site.until(lambda: len(requested) == 3)
        await start_with_late_first_iteration(site, lambda: len(requested) == 4)
        await site.until(lambda: len(requested) == 4)
        assert requested[2:] == [protocol.MEMBERS_PATH] * 2

    site.run(scene)


async def start_with_late_first_iteration(site, unless):
    """Start a new process whose decision loop has its first iteration after 0.2 s, or as soon as `unless`
    holds, so that all other tasks have run before."""
    config = site.config()

    def make(offer=None):
        new = node(site, config, offer)
        receive_events = new.decision_loop.receive_events

        async def receive_late():
            new.decision_loop.receive_events = receive_events
            with trio.move_on_after(0.2):
                await site.until(unless)
            return await receive_events()

        new.decision_loop.receive_events = receive_late
        return new

    return await start(site, await succession.start_node(make, config, site.system))


def test_what_an_earlier_process_read_of_a_request_outlives_a_freeze_before_it_is_looked_at(site):
    async def scene(site):
        await first(site)
        stream = await site.client()
        await stream.send_all(REQUEST[:60])
        config = site.config()

        def make(offer=None):
            new = node(site, config, offer)
            begin, give = new.decision_loop.start_module, new.process_handover.hand_over

            def begin_and_freeze(*fields):
                begin(*fields)
                new.decision_loop.start_module = begin
                new.decision_loop.freeze(0.5)

            async def give_to_nobody(offer):
                new.process_handover.hand_over = give
                return False

            new.decision_loop.start_module, new.process_handover.hand_over = begin_and_freeze, give_to_nobody
            return new

        await site.until(
            lambda: any(connection.message_bytes for connection in site.node.clients.request_waits)
        )
        new = await succession.start_node(make, config, site.system)
        site.nursery.start_soon(new.run)
        await site.until(lambda: new.clients.request_waits and not new.decision_loop.frozen)
        assert (await site.ask(REQUEST[60:], stream))[0] == 202

    site.run(scene)


def test_an_answer_half_read_at_the_hand_over_is_heard_whole_by_the_new_process(site, monkeypatch):
    monkeypatch.setattr(line, "RESPONSE_TIMEOUT", 60)
    answer, send_rest, calls = http(200), trio.Event(), []

    async def answer_in_two_parts(stream):
        calls.append(await read_message(stream, bytearray()))
        await stream.send_all(answer[:9])
        await send_rest.wait()
        await stream.send_all(answer[9:])
        await stream.receive_some()

    async def scene(site):
        listeners = await site.nursery.start(trio.serve_tcp, answer_in_two_parts, 0)
        site.far.address = listeners[0].socket.getsockname()[:2]
        old = await first(site)
        assert await site.submit("a1", "order") == 202
        in_flight = old.decision_loop.endpoints.in_flight
        await site.until(
            lambda: any(call.connection and call.connection.unparsed_head for call in in_flight.values())
        )
        new = await replace(site)
        send_rest.set()
        await site.until(lambda: not new.ledger.notifications)
        assert len(calls_of_a1(calls)) == 1 and new.counters["svc.results.order.succeeded"] == 1

    site.run(scene)


def test_a_call_that_still_connects_at_the_hand_over_goes_from_the_new_process(site, monkeypatch):
    connect, may_connect = Network.connect, trio.Event()

    async def connect_late(self, address):
        if address == site.far.address:
            await may_connect.wait()
        return await connect(self, address)

    monkeypatch.setattr(Network, "connect", connect_late)
    site.wire = site.wire | {"permissions": site.wire["permissions"] | {"connect_timeout_ns": 60 * SEC}}

    async def scene(site):
        old = await first(site)
        assert await site.submit("a1", "order") == 202
        await site.until(lambda: old.decision_loop.endpoints.in_flight)
        new = await replace(site)
        may_connect.set()
        await site.until(lambda: not new.ledger.notifications)
        assert len(calls_of_a1(site.far.got)) == 1 and old.counters["pushes_moot"] == 1
        assert new.counters["svc.results.order.succeeded"] == 1

    site.run(scene)


# ---- start and end

HERE = Path(__file__).parent
RUN_COMMAND = tomllib.loads((HERE.parent / "deploy" / "balancer.toml").read_text())["run"]


@asynccontextmanager
async def starting(site):
    """The program, run as the deploy file runs it, from the moment its interpreter starts."""
    site.config()
    # An address that no other test uses at the same time: derived from the process id, with a port outside
    # the range of ephemeral ports.
    site.address = f"127.{os.getpid() // 200 % 200 + 1}.{os.getpid() % 200 + 1}.1", 20_000
    environ = dict(
        os.environ,
        EDGE_CONFIG=str(site.folder / "config.json"),
        EDGE_STATE=str(site.folder / "state"),
        EDGE_LISTEN="{}:{}".format(*site.address),
    )
    run = RUN_COMMAND.replace(".venv/bin/python", sys.executable)
    process = await trio.lowlevel.open_process(["/bin/sh", "-c", run], env=environ, stderr=subprocess.DEVNULL)
    try:
        command_line = Path(f"/proc/{process.pid}/cmdline")
        while not command_line.read_bytes().startswith(sys.executable.encode()):
            pass
        yield process
    finally:
        process.kill()
        with trio.CancelScope(shield=True):
            await process.wait()


async def becomes_ready(site, process):
    while process.returncode is None:
        with suppress(OSError):
            if (await site.ask(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200:
                return True
        await trio.sleep(0.02)
    return False


def test_a_sighup_after_the_file_was_read_and_before_anybody_listens_is_not_lost(site):
    async def scene(site):
        (site.folder / "state").mkdir()
        state, old_platform = str(site.folder / "state"), site.platform
        # As if another process had the folder: the start waits for it, after it has read the file.
        lock, listener = Lock(state), ChannelListener(state)
        async with starting(site) as process:
            channel = await listener.accept()
            site.platform = await Platform().open(site.nursery)
            site.config()
            process.send_signal(signal.SIGHUP)
            for resource in (channel, listener, lock):
                resource.close()
            await site.until(lambda: list_requests(site.platform))
            assert len(list_requests(old_platform)) <= 1

    site.run(scene)


def test_a_sighup_as_the_interpreter_begins_does_not_end_it(site):
    async def scene(site):
        async with starting(site) as process:
            process.send_signal(signal.SIGHUP)
            assert await becomes_ready(site, process)

    site.run(scene)


def test_a_sighup_as_the_interpreter_ends_does_not_end_it(site):
    async def scene(site):
        async with starting(site) as process:
            assert await becomes_ready(site, process)
            process.terminate()
            while process.returncode is None:  # throughout the drain and the exit
                process.send_signal(signal.SIGHUP)
                await trio.sleep(0.0005)
            assert process.returncode == 0

    site.run(scene)


def test_the_table_names_tests_that_there_are():
    listed = set(re.findall(r"test_\w+", (HERE.parent / "docs" / "endings.md").read_text()))
    files = list(HERE.glob("test_*.py"))
    existing = {name for file in files for name in re.findall(r"^def (test_\w+)", file.read_text(), re.M)}
    assert listed <= existing | {file.stem for file in files}
