"""Bytes that arrive just as a connection is closed, shut down or used again, and many requests in one write.

Each race is forced: a hook in the network interface lets the peer act before the dispatcher goes on."""

import json
import signal
import socket
import struct
from contextlib import suppress
from dataclasses import replace
from functools import partial

import pytest
import trio
from conftest import WIRE
from test_endings_drain import end_by, heard
from test_net import endpoints, handed, owed, program, send

from juniperlanding.choice import SEC
from juniperlanding.ground import seams
from juniperlanding.net import clients as ends
from juniperlanding.net.line import READ_SIZE, HttpConnection
from juniperlanding.standins.peers import http, read_message

PIECE_SIZE = 7  # bytes


def has_received(sock, prefix):
    """Whether the client has unread bytes with this prefix; loopback delivers as soon as they are sent."""
    sock.settimeout(0)
    try:
        return sock.recv(4096, socket.MSG_PEEK).startswith(prefix)
    except BlockingIOError:
        return False


# ---- the 202 is sent before the delivery


class WatchedNetwork(seams.Network):
    """Checks `has_answer(id)` whenever the last byte of a call to `far` is about to be written."""

    def __init__(self, far, has_answer):
        self.far = far
        self.has_answer = has_answer
        self.late = []

    async def connect(self, address):
        sock = await super().connect(address)
        sendmsg = sock.sendmsg
        sent = bytearray()

        async def check_and_send(parts):
            sent.extend(b"".join(parts))
            head, end, body = bytes(sent).partition(b"\r\n\r\n")
            fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if end)
            if end and len(body) == int(fields[b"Content-Length"]):
                sent.clear()
                name = fields[b"X-Trace-Id"].decode()
                self.late += [] if self.has_answer(name) else [name]
            return await sendmsg(parts)

        if address == self.far.address:
            sock.sendmsg = check_and_send
        return sock


@pytest.mark.parametrize("many, pieces", [(1, False), (1, True), (60, False), (60, True)])
def test_a_yes_is_at_its_client_before_the_endpoint_has_the_whole_call(site, many, pieces):
    """For all notifications that one iteration of the decision loop accepts, however fast the endpoint is."""
    site.limits = {"disk_mb": 3, "sockets": 1000}
    site.wire = WIRE | {
        "permissions": WIRE["permissions"] | {"most_held": 500},
        "family_info": WIRE["family_info"] | {"batch_by_kind": [1, 1], "workers": 300},
    }
    socks = {}

    async def scene(site):
        network = WatchedNetwork(site.far, lambda name: has_received(socks[name], b"HTTP/1.1 202"))
        site.system = replace(site.system, network=network)
        node = await site.start()
        await site.until(lambda: node.decision_loop.ready)
        carry_out = node.decision_loop.execute_requests
        for name in ("new", "kept"):  # connections to the endpoint
            node.decision_loop.execute_requests = lambda: None  # as if the decision loop were suspended
            for number in range(many):
                submit(f"{name}{number}")
            await site.until(lambda: len(node.decision_loop.answers_due) == many)
            node.decision_loop.execute_requests = carry_out
            await node.decision_loop.enqueue(len, "")
            await site.until(lambda: not node.ledger.notifications)
        assert not network.late and len(site.far.got) == 2 * many > site.far.connections
        for sock in socks.values():
            sock.close()

    def submit(name):
        sock = socks[name] = socket.create_connection(site.address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        text = handed(f"X-Trace-Id: {name}", "X-Expires-In-Ms: 9000", "Content-Length: 5", body=b"hello")
        size = PIECE_SIZE if pieces else len(text)
        for start in range(0, len(text), size):
            sock.send(text[start : start + size])

    site.run(scene)


# ---- unsolicited bytes from an endpoint on a connection that is used again

UNSOLICITED = [
    b"HTTP/1.1 4",
    b"HTTP/1.1 200 x\r\n",
    b"\r\n",
    b"\x93",
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
]


@pytest.mark.parametrize("then", ["waits", "ends"])
@pytest.mark.parametrize("unsolicited", UNSOLICITED)
def test_what_comes_on_a_kept_connection_before_the_last_byte_is_no_answer(
    site, monkeypatch, unsolicited, then
):
    """An endpoint sends bytes just as a kept connection is used again.

    Nothing has run, the endpoint isn't blamed, and the call goes over another connection."""
    outcomes = []
    streams = []
    pending = []
    readable = seams.Socket.readable

    async def serve(stream):
        streams.append(stream)
        buffer = bytearray()
        with suppress(trio.BrokenResourceError):
            while message := await read_message(stream, buffer):
                site.far.got.append((len(streams), message))
                await stream.send_all(http(200))

    async def send_before_waiting(sock):
        if pending:
            raw = pending.pop().socket._sock
            raw.send(unsolicited)
            if then == "ends":
                raw.shutdown(socket.SHUT_WR)
            while sock.peek() is None:  # loopback delivers at once
                pass
        await readable(sock)

    monkeypatch.setattr(seams.Socket, "readable", send_before_waiting)

    async def scene(site):
        (listener,) = await site.nursery.start(partial(trio.serve_tcp, serve, 0, host="127.0.0.1"))
        calls = await endpoints(site, outcomes)
        calls.addresses["s-1"] = listener.socket.getsockname()
        calls.start(site.nursery, "s-1", [send("a")])
        await site.until(lambda: not calls.in_flight)
        pending.extend(streams)
        calls.start(site.nursery, "s-1", [send("b")])
        await site.until(lambda: not calls.in_flight)
        assert [told[2] for told in outcomes] == ["delivered", "delivered"]
        # The first connection never got the complete call.
        assert [number for number, _ in site.far.got] == [1, 2] and not pending

    site.run(scene)


# ---- answers that never end

CHUNKED_HEAD = b"HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "interim": (b"", b"HTTP/1.1 103 x\r\n\r\n"),
    "line": (b"HTTP/1.1 503 ", b"x"),
    "head": (b"HTTP/1.1 503 x\r\n", b"X: y\r\n"),
    "chunks": (CHUNKED_HEAD, b"1\r\nx\r\n"),
    "trailer": (CHUNKED_HEAD + b"0\r\n", b"X: y\r\n"),
    "chunk's head": (CHUNKED_HEAD, b"0"),
    "body": (b"HTTP/1.1 503 x\r\nContent-Length: 3000000000\r\n\r\n", b"x"),
}


@pytest.mark.parametrize("pause", [0.0, 0.1])
@pytest.mark.parametrize("what", ENDLESS)
def test_an_answer_that_never_ends_is_given_up_and_its_connection_with_it(site, monkeypatch, what, pause):
    """As fast as possible, and slowly; long before the call's time-out, and with at most 64 KiB buffered."""
    outcomes = []
    closed = []
    first, more = ENDLESS[what]
    head_sizes = []
    receive = HttpConnection.receive

    async def measured_receive(connection):
        try:
            return await receive(connection)
        finally:
            head_sizes.append(len(connection.unparsed_head))

    monkeypatch.setattr(HttpConnection, "receive", measured_receive)

    async def serve(stream):
        await read_message(stream, bytearray())
        with suppress(trio.BrokenResourceError):
            await stream.send_all(first)
            while True:
                await stream.send_all(more if pause else more * (4000 // len(more)))
                await trio.sleep(pause)
        closed.append(True)

    async def scene(site):
        (listener,) = await site.nursery.start(partial(trio.serve_tcp, serve, 0, host="127.0.0.1"))
        calls = await endpoints(site, outcomes)
        calls.addresses["s-1"] = listener.socket.getsockname()
        calls.start(site.nursery, "s-1", [send("a", 9 * SEC)])
        with trio.fail_after(3):
            await site.until(lambda: not calls.in_flight and closed)
        assert [told[2] for told in outcomes] == ["reset"]
        assert not calls.idle and calls.connection_limit.value == 8
        assert max(head_sizes) < (64 << 10) + READ_SIZE

    site.run(scene)


# ---- bytes after a client's last request

CHUNKED_REQUEST = handed("Connection: close").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
EXPECT = "Expect: 100-continue"


@pytest.mark.parametrize(
    "text, status",
    [
        (handed("Connection: close"), 202),
        (handed().replace(b"HTTP/1.1", b"HTTP/1.0"), 202),
        (CHUNKED_REQUEST + b"0\r\n\r\n", 202),
        (handed("Connection: close", EXPECT, "Content-Length: 1", body=b"x"), 202),
        (handed("Connection: close", "X-Trace-Id: "), 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /_health HTTP/1.0\r\n\r\n", 200),
        (handed("Content-Length: 3000000000"), 413),
        (handed()[:-2], 408),
        (handed(EXPECT, "Content-Length: 1"), 408),
        (b"GET / HTTP/1.1\r\nX: " + b"x" * 40000, 431),
    ],
)
def test_a_byte_behind_the_last_request_does_not_take_its_answer_away(site, monkeypatch, text, status):
    """Old clients send a line end after a body; a close with it unread would reset the connection."""
    monkeypatch.setattr("juniperlanding.net.protocol.REQUEST_TIMEOUT", 0.3)
    monkeypatch.setattr(ends.Clients.serve_connection, "__defaults__", (0.3,))
    send_response = ends.Clients.send_response
    senders = []

    async def send_after_byte(clients, connection, *fields, **named):
        senders.pop().send(b"\r\n")  # its request has been read
        while connection.sock.peek() is None:  # loopback delivers at once
            pass
        return await send_response(clients, connection, *fields, **named)

    monkeypatch.setattr(ends.Clients, "send_response", send_after_byte)

    async def scene(site):
        node = await site.start()
        stream = await site.client()
        await site.until(lambda: node.decision_loop.ready)
        senders.append(stream.socket._sock)
        await stream.send_all(text)
        await site.until(lambda: not senders)
        while not node.clients.leaving and node.clients.open:  # it has shut down its side, or closed
            await trio.sleep(0.001)
        # A reset would discard the response.
        assert not stream.socket._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        buffer = bytearray()
        answers = []
        while message := await read_message(stream, buffer):
            answers.append(int(message[0].split()[1]))
        assert [one for one in answers if one != 100] == [status]

    site.run(scene)


# ---- connections that are closed in the middle of a request


@pytest.mark.parametrize("how", ["evicted", "drained"])
@pytest.mark.parametrize("sent", [1, 40, -2])
def test_who_is_cut_off_within_a_request_is_told_to_come_again(site, monkeypatch, how, sent):
    """A close without a response counts as a loss where one client in 200 sees it; a 503 is a refusal."""
    monkeypatch.setattr(ends, "EVICTED_REQUEST_TIMEOUT", 0.0)
    monkeypatch.setattr(ends, "DRAINED_REQUEST_TIMEOUT", 0.0)

    async def scene(site):
        node = await site.start()
        stream = await site.client()
        text = handed("X-Trace-Id: a2", "Content-Length: 5", body=b"hello")
        await stream.send_all(text[:sent])
        await site.until(lambda: any(connection.message_bytes for connection in node.clients.request_waits))
        end_by(node, how)
        assert await heard(stream) == 503
        await stream.send_all(text[sent:])  # read, and not submitted
        assert await stream.receive_some() == b""
        assert not stream.socket._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        assert not node.counters["handed_in"]

    site.run(scene)


# ---- many requests at once, though the protocol has clients send one at a time

BAD = handed("X-Trace-Id: ")


def submissions(numbers):
    return submissions_named(f"a{number}" for number in numbers)


def submissions_named(names):
    return [handed(f"X-Trace-Id: {name}") for name in names]


async def answers_until_end(stream):
    """The status of each response until the connection ends, which has to be without a reset."""
    buffer = bytearray()
    answers = []
    while message := await read_message(stream, buffer):
        answers.append(int(message[0].split()[1]))
    assert not buffer and not stream.socket._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return answers


@pytest.mark.parametrize(
    "texts",
    [
        submissions(range(200)),
        [*submissions(range(100)), BAD, b"nonsense\r\n\r\n", *submissions(range(100, 200))],
        [*submissions([0]), submissions([1])[0][:40]],
        [*submissions([0]), b"\r\n"],
    ],
)
@pytest.mark.parametrize("how", ["stays", "ends its sending", "goes", "resets"])
def test_many_requests_in_one_write_are_refused_and_none_is_sent_on(site, texts, how):
    async def scene(site):
        node = await site.start()
        stream = await site.client()
        await site.until(lambda: node.decision_loop.ready)
        await stream.send_all(b"".join(texts))
        if how == "ends its sending":
            await stream.send_eof()
        elif how == "resets":
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if how in ("goes", "resets"):
            await stream.aclose()
        else:
            assert await answers_until_end(stream) == [400]
        await site.until(lambda: node.clients.accepted_count == 1 and not node.clients.open)
        assert not node.counters["handed_in"] and not node.counters["taken_on"] and not site.far.got
        limit = node.clients.max_connections + ends.EXTRA_CONNECTIONS
        assert node.clients.connection_limit.value == limit - 1  # for later clients

    site.run(scene)


@pytest.mark.parametrize(
    "then, answers",
    [
        ("end", [202, 202]),
        ("nonsense", [202, 202, 400]),
        ("drain", [202, 202]),
        ("200 more", [202, 202, 400]),
    ],
)
def test_of_requests_that_wait_for_no_answer_those_with_a_yes_are_sent_on_and_no_other(site, then, answers):
    """Two requests, each in pieces and complete before the next one begins; then what `then` says."""

    async def scene(site):
        node = await site.start()
        stream = await site.client()
        for number, text in enumerate(submissions(range(2))):
            await stream.send_all(text[:40])
            await site.until(
                lambda: any(connection.message_bytes for connection in node.clients.request_waits)
            )
            await stream.send_all(text[40:])
            await site.until(lambda number=number: node.counters["answers_202"] > number)
        await site.until(lambda: node.clients.request_waits)
        if then == "end":
            await stream.send_eof()
        elif then == "drain":
            node.clients.drain()
            await site.until(lambda: node.clients.leaving)
        if then != "end":
            more = b"nonsense\r\n\r\n" if then == "nonsense" else b"".join(submissions(range(2, 202)))
            with suppress(trio.BrokenResourceError):
                await stream.send_all(more)
        assert await answers_until_end(stream) == answers
        await site.until(lambda: len(site.far.got) == 2 and not node.ledger.notifications)
        assert [headers["x-trace-id"] for _, headers, _ in site.far.got] == ["a0", "a1"]
        assert node.counters["handed_in"] == 2

    site.run(scene)


def test_after_sigterm_what_many_requests_at_once_got_is_what_was_sent_on(site):
    """A real process; one client writes 200 requests at once, another one by one, each time over a new
    connection, without pause, until the process no longer listens."""
    accepted = []
    answers = []
    ended_at = []

    async def client(name, many):
        with suppress(OSError, trio.BrokenResourceError):
            for number in range(10_000):
                async with await site.client() as stream:
                    names = [f"{name}{number}-{number_within}" for number_within in range(many)]
                    await stream.send_all(b"".join(submissions_named(names)))
                    message = await read_message(stream, bytearray())
                    answers.append(message and int(message[0].split()[1]))
                    accepted.extend(names[:1] if answers[-1] == 202 else [])
        ended_at.append(trio.current_time())

    async def scene(site):
        process = await program(site)
        async with trio.open_nursery() as clients:
            clients.start_soon(client, "a", 200)
            clients.start_soon(client, "b", 1)
            await site.until(lambda: 400 in answers and len(accepted) > 5)
            process.send_signal(signal.SIGTERM)
            begun = trio.current_time()
        assert await process.wait() == 0
        assert set(answers) <= {202, 400, 503} and min(ended_at) - begun > 3.4
        sent = [
            one
            for first, headers, body in site.far.got
            for one in (
                [part["id"] for part in json.loads(body)] if "batch" in first else [headers["x-trace-id"]]
            )
        ]
        ended = {notice["message"] for notice in site.platform.notices}
        assert set(sent) | set(owed(site)) <= set(accepted) <= set(sent) | set(owed(site)) | ended

    site.run(scene)
