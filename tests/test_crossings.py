"""Races of a call to an endpoint with another event, each with the one outcome that docs/sockets.md states.

Each test forces one order of events: the peer holds its bytes back until the node has reached a given point,
or a patched method lets the other side act before the node continues."""

import errno
import json
import os
import socket
import struct
from contextlib import suppress
from dataclasses import replace

import pytest
import trio
import trio.testing
from conftest import WIRE
from test_endings_endpoint import Held, each_accepted
from test_net import endpoints, owed, send

from juniperlanding.choice import SEC
from juniperlanding.net import line as lines
from juniperlanding.net import owner as owners
from juniperlanding.net import protocol
from juniperlanding.net.line import HttpConnection
from juniperlanding.standins.peers import http, member, read_message

KINDS = {"news": "repeatable", "pay": "collapsible", "order": "once-only"}
BATCHED = WIRE | {"family_info": WIRE["family_info"] | {"batch_by_kind": [5, 5]}}


def is_call(message):
    """Whether it is a call; requests of other kinds come from a test that used the same port before."""
    return message[0].startswith("POST /v1/")


def got(far):
    return [message for message in far.got if is_call(message)]


class Peer:
    """An endpoint controlled by the test; `calls` has the socket of each call."""

    def __init__(self):
        self.calls, self.got, self.answer = [], [], None

    async def open(self, nursery):
        listeners = await nursery.start(trio.serve_tcp, self.attend, 0)
        self.address = listeners[0].socket.getsockname()[:2]
        return self

    async def attend(self, stream):
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            buffer = bytearray()
            while message := await read_message(stream, buffer):
                if is_call(message):
                    self.got.append(message)
                    self.calls.append(stream.socket)
                if self.answer:
                    await stream.send_all(self.answer)

    def say(self, call, data):
        """Sends data and returns once it is in the node's socket; no task of the node runs in between."""
        self.calls[-1]._sock.send(data)
        while call.connection.sock.peek() is None:  # loopback: it arrives at once
            pass

    def reset(self):
        sock = self.calls[-1]
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()


def time_out(call):
    call.scope.cancel()  # as the deadline does, without polling the sockets in between


async def written_call(site, calls, count=1):
    """A call that is fully written, and of whose response nothing has arrived yet."""
    site.peer = await Peer().open(site.nursery)
    calls.addresses["s-1"] = site.peer.address
    calls.start(site.nursery, "s-1", [send("ab"[index], 8 * SEC) for index in range(count)])
    await site.until(lambda: site.peer.calls)
    (call,) = set(calls.in_flight.values())
    await site.until(lambda: call.written)
    await trio.testing.wait_all_tasks_blocked()
    return call


BOTH = b'[{"id":"a","state":"accepted"},{"id":"b","state":"accepted"}]'
HALF_A_LINE, HALF_A_HEAD = b"HTTP/1.1 20", b"HTTP/1.1 200 x\r\nContent-Le"
HALF_A_BODY = http(200, BOTH)[:-9]


# ---- a response that is unread, or arrived in part, when a call is ended


@pytest.mark.parametrize(
    "count, unread, on_time_out, on_cancel",
    [
        (1, http(200), "delivered", "delivered"),
        (1, HALF_A_HEAD, "delivered", "delivered"),
        (1, HALF_A_LINE, "timeout", "cancelled"),
        (1, http(500), "error", "error"),
        (1, http(429), "throttled", "throttled"),
        (1, http(429, b"hello")[:-1], "timeout", "cancelled"),
        (2, http(200, BOTH), "delivered", "delivered"),
        (2, HALF_A_HEAD, "timeout", "cancelled"),
        (2, HALF_A_BODY, "timeout", "cancelled"),
    ],
)
@pytest.mark.parametrize("how", ["time-out", "cancel"])
def test_what_lies_unread_as_a_call_is_ended_counts_as_far_as_it_came(
    site, monkeypatch, how, count, unread, on_time_out, on_cancel
):
    """What has arrived is read; the rest is not waited for."""
    outcomes = []
    monkeypatch.setattr(lines, "RESPONSE_TIMEOUT", 60)

    async def scene(site):
        calls = await endpoints(site, outcomes)
        call = await written_call(site, calls, count)
        site.peer.say(call, unread)
        if how == "cancel":
            for name in "ab"[:count]:
                calls.cancel(name, 0)
        else:
            time_out(call)
        await site.until(lambda: len(outcomes) == count)
        assert {outcome[2] for outcome in outcomes} == {on_cancel if how == "cancel" else on_time_out}
        assert not calls.in_flight

    site.run(scene)


@pytest.mark.parametrize(
    "count, arrived, ending",
    [
        (1, HALF_A_HEAD, "delivered"),
        (1, HALF_A_LINE, "timeout"),
        (1, http(500, b"hello")[:-1], "timeout"),
        (1, http(200, b"hello")[:-1], "delivered"),
        (2, HALF_A_HEAD, "timeout"),
        (2, HALF_A_BODY, "timeout"),
    ],
)
def test_an_answer_half_read_at_the_time_out_counts_as_far_as_it_came(
    site, monkeypatch, count, arrived, ending
):
    outcomes = []
    monkeypatch.setattr(lines, "RESPONSE_TIMEOUT", 60)

    async def scene(site):
        calls = await endpoints(site, outcomes)
        call = await written_call(site, calls, count)
        site.peer.say(call, arrived)
        await site.until(lambda: call.connection.sock.peek() is None)  # all of it was read
        await trio.testing.wait_all_tasks_blocked()
        time_out(call)
        await site.until(lambda: len(outcomes) == count and calls.connection_limit.value == 8)
        assert {outcome[2] for outcome in outcomes} == {ending} and not calls.in_flight

    site.run(scene)


@pytest.mark.parametrize("count, ending", [(1, "delivered"), (2, "timeout")])
@pytest.mark.parametrize("before", [b"", HALF_A_LINE])
def test_a_line_that_gets_whole_as_its_connection_is_closed_still_counts(
    site, monkeypatch, count, ending, before
):
    outcomes, original, late = [], HttpConnection.received_head, []

    def received_head(connection):
        if late:
            site.peer.say(*late.pop())
        return original(connection)

    async def scene(site):
        calls = await endpoints(site, outcomes)
        call = await written_call(site, calls, count)
        if before:
            site.peer.say(call, before)
            await site.until(lambda: call.connection.unparsed_head == before)
        late.append((call, HALF_A_HEAD[len(before) :]))
        monkeypatch.setattr(HttpConnection, "received_head", received_head)
        time_out(call)
        await site.until(lambda: len(outcomes) == count)
        assert {outcome[2] for outcome in outcomes} == {ending} and not late

    site.run(scene)


# ---- a connection that is established just as its call is cancelled


@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize("first", ["up", "off"])
@pytest.mark.parametrize("how", ["cancel", "time-out", "recall"])
def test_a_connection_that_comes_up_as_its_call_is_called_off_carries_nothing(site, how, first, count):
    """Both in one iteration of the event loop, in either order: nothing is sent, and only a time-out counts
    against the endpoint."""
    outcomes = []

    async def scene(site):
        calls = await endpoints(site, outcomes)
        calls.network = Held(site.far)
        calls.start(site.nursery, "s-1", [send("ab"[index], 8 * SEC) for index in range(count)])
        await site.until(lambda: calls.network.began)
        (call,) = set(calls.in_flight.values())

        def off():
            if how == "recall":
                calls.recall({"s-1"})
            elif how == "cancel":
                for name in "ab"[:count]:
                    calls.cancel(name, 0)
            else:
                time_out(call)

        for act in (calls.network.go.set, off) if first == "up" else (off, calls.network.go.set):
            act()
        await site.until(lambda: len(outcomes) == count and calls.connection_limit.value == 8)
        await trio.testing.wait_all_tasks_blocked()
        assert {outcome[2] for outcome in outcomes} == {"unreachable" if how == "time-out" else "moot"}
        assert not got(site.far) and not calls.in_flight

    site.run(scene)


def end_before_last_byte(monkeypatch, calls, how):
    """Has a call end when all of its request but the last byte is written."""
    original = HttpConnection.unread

    def unread(connection):
        if calls.in_flight:
            (call,) = calls.in_flight.values()
            if how == "cancel":
                calls.cancel("a", 0)
            elif how == "recall":
                calls.recall({"s-1"})
            else:
                call.scope.cancel()
        return original(connection)

    monkeypatch.setattr(HttpConnection, "unread", unread)


@pytest.mark.parametrize("how", ["cancel", "recall", "time-out"])
def test_a_call_whose_last_byte_is_held_back_has_not_run_once_it_is_called_off(site, monkeypatch, how):
    """The end comes after the check of the connection and before the last byte."""
    outcomes = []

    async def scene(site):
        calls = await endpoints(site, outcomes)
        end_before_last_byte(monkeypatch, calls, how)
        calls.start(site.nursery, "s-1", [send("a", 8 * SEC)])
        await site.until(lambda: outcomes and calls.connection_limit.value == 8)
        await trio.testing.wait_all_tasks_blocked()
        assert outcomes[0][2] == ("unreachable" if how == "time-out" else "moot")
        assert not got(site.far)

    site.run(scene)


# ---- outcomes for each kind of topic type


def endless(site, call):
    """A 500 whose body never ends."""

    async def flood(sock):
        with suppress(OSError, trio.ClosedResourceError):
            await sock.send(b"HTTP/1.1 500 x\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                await sock.send(b"400\r\n" + b"x" * 1024 + b"\r\n")

    site.nursery.start_soon(flood, site.peer.calls[-1])


def endless_200(site, call):
    site.peer.say(call, b"HTTP/1.1 200 x\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 70_000)


def says(data, then=None):
    """A peer that sends data; `then` is called with the call."""

    def act(site, call):
        site.peer.say(call, data)
        if then:
            then(call)

    return act


def reset(site, call):
    site.peer.reset()


RACES = {  # what the peer does with the first call; the outcome of that push; whether it may have run
    "endless": (endless, "reset", True),
    "endless, its line with 200 whole": (endless_200, "delivered", True),
    "half a line at the time-out": (says(HALF_A_LINE, time_out), "timeout", True),
    "a line with 200 at the time-out": (says(HALF_A_HEAD, time_out), "delivered", True),
    "200 unread at the time-out": (says(http(200), time_out), "delivered", True),
    "429 unread at the time-out": (says(http(429), time_out), "throttled", False),
    "a head, then nothing": (says(http(500, b"hello")[:-5]), "reset", True),
    "a head that says never ran, then nothing": (says(http(429, b"hello")[:-5]), "reset", True),
    "a head with 200, then nothing": (says(http(200, b"hello")[:-5]), "delivered", True),
    "reset": (reset, "reset", True),
}


@pytest.mark.parametrize("topic", KINDS)
@pytest.mark.parametrize("race", RACES)
def test_each_race_has_one_outcome_for_each_kind(site, monkeypatch, race, topic):
    act, outcome, ran = RACES[race]
    monkeypatch.setattr(lines, "RESPONSE_TIMEOUT", 0.05)

    async def scene(site):
        site.far = site.peer = await Peer().open(site.nursery)
        node = await site.start()
        assert await site.submit("a", topic, ttl=9000) == 202
        await site.until(lambda: site.peer.calls)
        (call,) = set(node.decision_loop.endpoints.in_flight.values())
        await site.until(lambda: call.written)
        site.peer.answer = http(200)
        act(site, call)
        await site.until(lambda: not node.ledger.notifications)
        assert node.counters[f"pushes_{outcome}"] >= 1
        given_up = ran and outcome != "delivered" and topic == "order"
        assert len(site.peer.got) == (1 if outcome == "delivered" or given_up else 2)
        assert {
            (notice["message"], notice["outcome"])
            for notice in site.platform.notices
            if notice["message"] == "a"
        } == ({("a", "given_up")} if given_up else set())  # a notice may be posted twice

    site.run(scene)


# ---- the process ends during a call

RESPONSES = {  # what has arrived of the response as the process ends; whether that means delivered
    "nothing": (b"", False),
    "half a line": (HALF_A_LINE, False),
    "a line with 200": (HALF_A_HEAD, True),
    "a head, the body never": (http(500, b"hello")[:-5], False),
    "a head that says never ran, the body never": (http(429, b"hello")[:-5], False),
    "a head with 200, the body never": (http(200, b"hello")[:-5], True),
}


@pytest.mark.parametrize("topic", KINDS)
@pytest.mark.parametrize("read", [True, False])
@pytest.mark.parametrize("response", RESPONSES)
def test_a_call_under_way_as_the_process_ends_has_one_outcome_for_each_kind(
    site, monkeypatch, response, read, topic
):
    data, delivered = RESPONSES[response]

    async def scene(site):
        site.far = site.peer = await Peer().open(site.nursery)
        node = await site.start()
        assert await site.submit("a", topic, ttl=9000) == 202
        await site.until(lambda: site.peer.calls)
        (call,) = set(node.decision_loop.endpoints.in_flight.values())
        await site.until(lambda: call.written)
        await node.decision_loop.enqueue(node.decision_loop.stop_loop)
        await node.decision_loop.loop_stopped.wait()
        await trio.testing.wait_all_tasks_blocked()
        if data:
            site.peer.say(call, data)
        if read:
            await trio.testing.wait_all_tasks_blocked()
            await site.until(lambda: call.connection is None or call.connection.sock.peek() is None)
            await trio.testing.wait_all_tasks_blocked()
        assert node.close()
        site.scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        node.release()
        assert list(owed(site)) == [] if delivered else ["a"]
        site.peer.answer = http(200)
        node = await site.start()
        await site.until(lambda: node.decision_loop.ready and not node.ledger.notifications)
        given_up = not delivered and topic == "order"
        assert len(site.peer.got) == (1 if delivered or given_up else 2)
        assert {
            (notice["message"], notice["outcome"])
            for notice in site.platform.notices
            if notice["message"] == "a"
        } == ({("a", "given_up")} if given_up else set())  # a notice may be posted twice

    site.run(scene)


@pytest.mark.parametrize("topic", KINDS)
@pytest.mark.parametrize("how", ["stopped", "killed"])
def test_a_call_that_still_connects_as_the_process_ends_is_made_by_the_next(site, how, topic):
    """A call that was never sent is not in the ledger, whatever the topic type."""

    async def scene(site):
        system = site.system
        site.system = replace(system, network=Held(site.far))
        node = await site.start()
        assert await site.submit("a", topic, ttl=9000) == 202
        await site.until(lambda: site.system.network.began)
        if how == "stopped":
            await node.finish_clients()
            site.system.network.go.set()
            assert node.close()
        site.scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        node.release()
        assert not got(site.far) and list(owed(site)) == ["a"] and untried(site, "a")
        site.system = system
        node = await site.start()
        await site.until(lambda: node.decision_loop.ready and not node.ledger.notifications)
        assert len(got(site.far)) == 1 and not noticed(site, "a")

    site.run(scene)


# ---- killed at each point of a call: its `p` record is written just before its last byte, and no sooner


def untried(site, name):
    one = owed(site)[name]
    return not one.pushes and not one.possible_runs


def noticed(site, name):
    """Outcomes in notices, of which each may be posted twice."""
    return {notice["outcome"] for notice in site.platform.notices if notice["message"] == name}


async def killed(site):
    """Simulates SIGKILL: what the tasks do as they are cancelled reaches neither the ledger nor a socket."""
    path = site.folder / "state" / "ledger"
    content = path.read_bytes()
    for call in set(site.node.decision_loop.endpoints.in_flight.values()):
        if call.connection:
            call.connection.sock.abort()
    site.kill()
    await trio.testing.wait_all_tasks_blocked()
    path.write_bytes(content)


async def next_process(site):
    node = await site.start()
    await site.until(lambda: node.decision_loop.ready and not node.ledger.notifications)
    return node


@pytest.mark.parametrize("topic", KINDS)
def test_a_call_that_waits_for_a_place_as_the_process_is_killed_is_made_by_the_next(site, topic):
    async def scene(site):
        node = await site.start()
        calls = node.decision_loop.endpoints
        calls.connection_limit = trio.Semaphore(0)
        assert await site.submit("a", topic, ttl=9000) == 202
        await site.until(lambda: calls.in_flight)
        await trio.testing.wait_all_tasks_blocked()
        await killed(site)
        assert untried(site, "a")
        await next_process(site)
        assert len(got(site.far)) == 1 and not noticed(site, "a")

    site.run(scene)


@pytest.mark.parametrize("topic", KINDS)
@pytest.mark.parametrize("kept", [True, False])
def test_a_kill_right_behind_the_yes_finds_it_untried(site, monkeypatch, kept, topic):
    """Over a new connection or a kept one: all but the last byte is written, so nothing has run."""
    original, is_killed = HttpConnection.unread, trio.Event()

    def unread(connection):
        if is_killed.is_set():
            return original(connection)
        for call in site.node.decision_loop.endpoints.in_flight.values():
            if call.connection is connection and not call.written and call.pushes[0].id == "a":
                site.content = (site.folder / "state" / "ledger").read_bytes()
                connection.sock.abort()
                site.kill()
                is_killed.set()
        return original(connection)

    async def scene(site):
        await site.start()
        if kept:
            assert await site.submit("z", "news") == 202
            await site.until(lambda: not site.node.ledger.notifications)
            assert site.node.decision_loop.endpoints.idle["s-1"]
        monkeypatch.setattr(HttpConnection, "unread", unread)
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError, TypeError):
            await site.submit("a", topic, ttl=9000)
        await is_killed.wait()
        await trio.testing.wait_all_tasks_blocked()
        (site.folder / "state" / "ledger").write_bytes(site.content)
        assert untried(site, "a") and len(got(site.far)) == kept
        await next_process(site)
        assert len(got(site.far)) == 1 + kept and not noticed(site, "a")

    site.run(scene)


@pytest.mark.parametrize("topic", KINDS)
@pytest.mark.parametrize("byte", ["before", "after"])
def test_a_kill_once_it_is_on_file_has_one_end_and_no_second_run(site, monkeypatch, byte, topic):
    """In the ledger but not sent, or sent but without a reported outcome: it may have run."""

    async def scene(site):
        site.far = site.peer = await Peer().open(site.nursery)
        node = await site.start()
        reached, write = trio.Event(), HttpConnection.write

        async def write_last_byte(connection, parts):
            if not reached.is_set() and len(parts) == 1 and len(parts[0]) == 1:
                if byte == "after":
                    await write(connection, parts)
                    await site.until(lambda: site.peer.got)
                reached.set()
                await trio.sleep_forever()
            await write(connection, parts)

        monkeypatch.setattr(HttpConnection, "write", write_last_byte)
        assert await site.submit("a", topic, ttl=9000) == 202
        await reached.wait()
        assert list(owed(site)["a"].possible_runs) == [0] and node.ledger.notifications["a"].pushes == 1
        await killed(site)
        site.peer.answer = http(200)
        await next_process(site)
        once = topic == "order"
        assert len(site.peer.got) == (byte == "after") + (not once)
        assert noticed(site, "a") == ({"given_up"} if once else set())

    site.run(scene)


class FailingFiles:
    """The files of a process, whose writes fail with the errno `error` while it is set."""

    def __init__(self, files):
        self.files, self.error = files, 0

    def __getattr__(self, name):
        return getattr(self.files, name)

    def write(self, file, data):
        if self.error:
            raise OSError(self.error, os.strerror(self.error))
        return self.files.write(file, data)


@pytest.mark.parametrize("topic", KINDS)
@pytest.mark.parametrize("then", ["killed", "heals"])
def test_a_disk_that_fails_as_the_connection_comes_up_lets_nothing_leave(site, then, topic):
    async def scene(site):
        system = site.system
        site.system = replace(system, network=Held(site.far), files=FailingFiles(system.files))
        node = await site.start()
        assert await site.submit("a", topic, ttl=9000) == 202
        await site.until(lambda: site.system.network.began)
        site.system.files.error = errno.EIO
        site.system.network.go.set()
        await site.until(lambda: node.counters["pushes_moot"])
        assert not got(site.far) and node.decision_loop.ledger_failing and untried(site, "a")
        assert await site.submit("b", topic, ttl=9000) == 503
        if then == "killed":
            await killed(site)
            site.system = system
            node = await site.start()
        site.system.files.error = 0
        await site.until(lambda: node.decision_loop.ready and not node.ledger.notifications)
        assert len(got(site.far)) == 1 and not noticed(site, "a")
        assert node.counters["pushes_delivered"] == 1 and not node.counters["faults"]

    site.run(scene)


@pytest.mark.parametrize("topic", KINDS)
@pytest.mark.parametrize("first", ["up", "off"])
@pytest.mark.parametrize("how", ["drain", "wait"])
def test_what_is_called_back_as_its_connection_comes_up_is_untried_after_a_kill(site, how, first, topic):
    async def scene(site):
        system = site.system
        site.system = replace(system, network=Held(site.far))
        node = await site.start()
        assert await site.submit("a", topic, ttl=9000) == 202
        await site.until(lambda: site.system.network.began)
        calls = node.decision_loop.endpoints

        def off():
            if how == "drain":
                found = protocol.parse_members([member(1, site.far.address, "terminating")], ["m1"], ["a"])
                node.decision_loop.try_enqueue(node.decision_loop.on_list_news, "changes", found)
            else:
                calls.recall({"s-1"})
                node.decision_loop.dispatcher.state.endpoints["s-1"].route.wait_until = (
                    node.decision_loop.now() + 60 * SEC
                )

        for act in (site.system.network.go.set, off) if first == "up" else (off, site.system.network.go.set):
            act()
        await site.until(lambda: node.counters["pushes_moot"])
        await trio.testing.wait_all_tasks_blocked()
        assert not got(site.far) and untried(site, "a")
        await killed(site)
        site.system = system
        await next_process(site)
        assert len(got(site.far)) == 1 and not noticed(site, "a")

    site.run(scene)


@pytest.mark.parametrize("how", ["cancel", "recall", "time-out"])
def test_what_is_called_off_within_its_last_moment_is_not_put_on_file(site, monkeypatch, how):
    outcomes, asked = [], []

    async def scene(site):
        calls = await endpoints(site, outcomes)
        calls.may_leave = lambda endpoint, sends: asked.append(sends)
        end_before_last_byte(monkeypatch, calls, how)
        calls.start(site.nursery, "s-1", [send("a", 8 * SEC)])
        await site.until(lambda: outcomes and calls.connection_limit.value == 8)
        assert not asked and not got(site.far)

    site.run(scene)


@pytest.mark.parametrize("topic", KINDS)
def test_one_whose_time_ends_while_it_connects_was_never_on_file(site, topic):
    async def scene(site):
        site.system = replace(site.system, network=Held(site.far))
        files, written = site.system.files, []

        class RecordingFiles(FailingFiles):
            def write(self, file, data):
                written.append(bytes(data))
                return files.write(file, data)

        site.system = replace(site.system, files=RecordingFiles(files))
        node = await site.start()
        assert await site.submit("a", topic, ttl=900) == 202
        await site.until(lambda: noticed(site, "a"))
        site.system.network.go.set()
        await site.until(lambda: not node.ledger.notifications and node.decision_loop.endpoints.settled())
        assert not got(site.far) and noticed(site, "a") == {"handed_back"}
        assert b'["t","a"' in b"".join(written) and b'["p",' not in b"".join(written)

    site.run(scene)


def test_of_a_call_of_several_each_is_untried_while_it_connects_and_on_file_once_it_leaves(site):
    site.wire = BATCHED
    runs, sizes = [], []

    def answer(first, headers, body):
        batch = ":batch" in first
        names = [item["id"] for item in json.loads(body)] if batch else [headers["x-trace-id"]]
        assert all(owed(site)[name].possible_runs for name in names)
        runs.extend(names)
        sizes.append(len(names))
        return each_accepted(first, headers, body)

    async def scene(site):
        system = site.system
        for process in range(2):
            site.system = replace(system, network=Held(site.far))
            await site.start()
            if not process:
                for name in "xabc":
                    assert await site.submit(name, "order", ttl=9000) == 202
            await site.until(lambda: len(site.node.decision_loop.endpoints.in_flight) == 4)
            if process:  # all are restored in one iteration, and untried: they share a call
                assert len(set(site.node.decision_loop.endpoints.in_flight.values())) < 4
            await killed(site)
            assert all(untried(site, name) for name in "xabc")
        site.system = system
        await next_process(site)
        assert sorted(runs) == sorted("xabc") and max(sizes) > 1 and not site.platform.notices

    site.run(scene, answer)


# ---- the process ends with more calls in progress than its event queue holds


@pytest.mark.parametrize("how", ["stopped", "ended at once"])
def test_a_process_ends_with_more_calls_out_than_its_queue_holds(site, monkeypatch, how):
    monkeypatch.setattr(owners, "MAX_EVENTS_PER_ITERATION", 1)  # a queue of four
    site.told = {"limits": site.limits | {"sockets": 256}}

    async def scene(site):
        node = await site.start()
        for number in range(7):
            assert await site.submit(f"a{number}", ttl=9000) == 202
        await site.until(lambda: len(got(site.far)) == 7)
        decision_loop = node.decision_loop
        if how == "stopped":
            await decision_loop.enqueue(decision_loop.stop_loop)
            await decision_loop.loop_stopped.wait()
            assert node.close()
        site.scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        stuck = decision_loop.event_sender.statistics().tasks_waiting_send
        while decision_loop.event_sender.statistics().tasks_waiting_send:  # or this test would not end either
            decision_loop.event_receiver.receive_nowait()
        assert not stuck and not decision_loop.endpoints.in_flight
        node.release()

    site.run(scene, lambda *message: None)


def test_what_waits_to_be_told_as_the_owner_is_parked_still_counts(site, monkeypatch):
    monkeypatch.setattr(owners, "MAX_EVENTS_PER_ITERATION", 1)

    async def scene(site):
        node = await site.start()
        for number in range(7):
            assert await site.submit(f"a{number}", "order", ttl=9000) == 202
        await site.until(lambda: len(got(site.far)) == 7)
        queue, decision_loop = node.decision_loop.event_sender, node.decision_loop
        await decision_loop.enqueue(decision_loop.stop_loop)
        await decision_loop.loop_stopped.wait()
        site.far.go.set()
        await site.until(lambda: queue.statistics().tasks_waiting_send == 3)
        assert node.close()
        site.scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        node.release()
        assert not owed(site)

    site.run(scene, lambda *message: "late")
