"""Bytes that come in the very moment in which a connection is closed, shut or used again, and many requests
at once: docs/standing.md, "The standing trial, sentence by sentence".

Every crossing is forced: a hook at the seam lets the other side act before the one side goes on."""

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
from juniperlanding.net.line import READ_SIZE, Line
from juniperlanding.standins.peers import http, read_message

PIECES = 7  # bytes in each


def there(sock, wanted):
    """Whether so much lies unread at a client's end, for certain: loopback has it as soon as it was sent."""
    sock.settimeout(0)
    try:
        return sock.recv(4096, socket.MSG_PEEK).startswith(wanted)
    except BlockingIOError:
        return False


# ---- 202 leaves before the delivery


class Watched(seams.Network):
    """Looks, in the moment in which a call's last byte is handed to the system, whether `heard(id)`."""

    def __init__(self, far, heard):
        self.far, self.heard, self.late = far, heard, []

    async def connect(self, address):
        sock = await super().connect(address)
        sendmsg, sent = sock.sendmsg, bytearray()

        async def watched(parts):
            sent.extend(b"".join(parts))
            head, end, body = bytes(sent).partition(b"\r\n\r\n")
            fields = dict(one.split(b": ", 1) for one in head.split(b"\r\n")[1:] if end)
            if end and len(body) == int(fields[b"Content-Length"]):
                sent.clear()
                name = fields[b"X-Trace-Id"].decode()
                self.late += [] if self.heard(name) else [name]
            return await sendmsg(parts)

        if address == self.far.address:
            sock.sendmsg = watched
        return sock


@pytest.mark.parametrize("many, pieces", [(1, False), (1, True), (60, False), (60, True)])
def test_a_yes_is_at_its_client_before_the_endpoint_has_the_whole_call(site, many, pieces):
    """Of all that one round takes on, however quick the endpoint."""
    site.limits = {"disk_mb": 3, "sockets": 1000}
    site.wire = WIRE | {
        "permissions": WIRE["permissions"] | {"most_held": 500},
        "family_info": WIRE["family_info"] | {"batch_by_kind": [1, 1], "workers": 300},
    }
    socks = {}

    async def scene(site):
        network = Watched(site.far, lambda name: there(socks[name], b"HTTP/1.1 202"))
        site.world = replace(site.world, network=network)
        node = await site.start()
        await site.until(lambda: node.owner.ready)
        carry_out = node.owner.carry_out
        for name in ("new", "kept"):  # the endpoint's connections
            node.owner.carry_out = lambda: None  # as if the round stood still
            for number in range(many):
                hand_in(f"{name}{number}")
            await site.until(lambda: len(node.owner.answers) == many)
            node.owner.carry_out = carry_out
            await node.owner.tell(len, "")
            await site.until(lambda: not node.ledger.owed)
        assert not network.late and len(site.far.got) == 2 * many > site.far.connections
        for sock in socks.values():
            sock.close()

    def hand_in(name):
        sock = socks[name] = socket.create_connection(site.address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        text = handed(f"X-Trace-Id: {name}", "X-Expires-In-Ms: 9000", "Content-Length: 5", body=b"hello")
        size = PIECES if pieces else len(text)
        for at in range(0, len(text), size):
            sock.send(text[at : at + size])

    site.run(scene)


# ---- half a line from an endpoint, on a connection that is used again

WORDS = [
    b"HTTP/1.1 4",
    b"HTTP/1.1 200 x\r\n",
    b"\r\n",
    b"\x93",
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
]


@pytest.mark.parametrize("then", ["waits", "ends"])
@pytest.mark.parametrize("word", WORDS)
def test_what_comes_on_a_kept_connection_before_the_last_byte_is_no_answer(site, monkeypatch, word, then):
    """An endpoint says something of its own just as the connection is used again: nothing has run, nobody is
    blamed, and the call goes over another one."""
    outcomes, streams, armed, readable = [], [], [], seams.Socket.readable

    async def elsewhere(stream):
        streams.append(stream)
        buffer = bytearray()
        with suppress(trio.BrokenResourceError):
            while message := await read_message(stream, buffer):
                site.far.got.append((len(streams), message))
                await stream.send_all(http(200))

    async def crossed(sock):
        if armed:
            raw = armed.pop().socket._sock
            raw.send(word)
            if then == "ends":
                raw.shutdown(socket.SHUT_WR)
            while sock.peek() is None:  # loopback: it is there at once
                pass
        await readable(sock)

    monkeypatch.setattr(seams.Socket, "readable", crossed)

    async def scene(site):
        (listener,) = await site.nursery.start(partial(trio.serve_tcp, elsewhere, 0, host="127.0.0.1"))
        calls = await endpoints(site, outcomes)
        calls.book["s-1"] = listener.socket.getsockname()
        calls.start(site.nursery, "s-1", [send("a")])
        await site.until(lambda: not calls.out)
        armed.extend(streams)
        calls.start(site.nursery, "s-1", [send("b")])
        await site.until(lambda: not calls.out)
        assert [told[2] for told in outcomes] == ["delivered", "delivered"]
        assert [at for at, _ in site.far.got] == [1, 2] and not armed  # the first never got the whole of it

    site.run(scene)


# ---- answers that never end

HEAD = b"HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "interim": (b"", b"HTTP/1.1 103 x\r\n\r\n"),
    "line": (b"HTTP/1.1 503 ", b"x"),
    "head": (b"HTTP/1.1 503 x\r\n", b"X: y\r\n"),
    "chunks": (HEAD, b"1\r\nx\r\n"),
    "trailer": (HEAD + b"0\r\n", b"X: y\r\n"),
    "chunk's head": (HEAD, b"0"),
    "body": (b"HTTP/1.1 503 x\r\nContent-Length: 3000000000\r\n\r\n", b"x"),
}


@pytest.mark.parametrize("pause", [0.0, 0.1])
@pytest.mark.parametrize("what", ENDLESS)
def test_an_answer_that_never_ends_is_given_up_and_its_connection_with_it(site, monkeypatch, what, pause):
    """As fast as it goes, and a little at a time; long before the call's time-out, and 64 KiB are kept."""
    outcomes, gone, (first, more), kept, receive = [], [], ENDLESS[what], [], Line.receive

    async def receives(line):
        try:
            return await receive(line)
        finally:
            kept.append(len(line.head))

    monkeypatch.setattr(Line, "receive", receives)

    async def elsewhere(stream):
        await read_message(stream, bytearray())
        with suppress(trio.BrokenResourceError):
            await stream.send_all(first)
            while True:
                await stream.send_all(more if pause else more * (4000 // len(more)))
                await trio.sleep(pause)
        gone.append(True)

    async def scene(site):
        (listener,) = await site.nursery.start(partial(trio.serve_tcp, elsewhere, 0, host="127.0.0.1"))
        calls = await endpoints(site, outcomes)
        calls.book["s-1"] = listener.socket.getsockname()
        calls.start(site.nursery, "s-1", [send("a", 9 * SEC)])
        with trio.fail_after(3):
            await site.until(lambda: not calls.out and gone)
        assert [told[2] for told in outcomes] == ["reset"]
        assert not calls.idle and calls.connection_limit.value == 8
        assert max(kept) < (64 << 10) + READ_SIZE

    site.run(scene)


# ---- a byte behind a client's last request

CHUNKED = handed("Connection: close").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
WAITS = "Expect: 100-continue"


@pytest.mark.parametrize(
    "text, status",
    [
        (handed("Connection: close"), 202),
        (handed().replace(b"HTTP/1.1", b"HTTP/1.0"), 202),
        (CHUNKED + b"0\r\n\r\n", 202),
        (handed("Connection: close", WAITS, "Content-Length: 1", body=b"x"), 202),
        (handed("Connection: close", "X-Trace-Id: "), 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /_health HTTP/1.0\r\n\r\n", 200),
        (handed("Content-Length: 3000000000"), 413),
        (handed()[:-2], 408),
        (handed(WAITS, "Content-Length: 1"), 408),
        (b"GET / HTTP/1.1\r\nX: " + b"x" * 40000, 431),
    ],
)
def test_a_byte_behind_the_last_request_does_not_take_its_answer_away(site, monkeypatch, text, status):
    """Old clients send a line end behind a body; a close over it would be a reset."""
    monkeypatch.setattr("juniperlanding.net.protocol.REQUEST_WITHIN", 0.3)
    monkeypatch.setattr(ends.Clients.attend, "__defaults__", (0.3,))
    whole, behind = ends.Clients.send_response, []

    async def say(clients, line, *fields, **named):
        behind.pop().send(b"\r\n")  # its request was read
        while line.sock.peek() is None:  # loopback: it is there at once
            pass
        return await whole(clients, line, *fields, **named)

    monkeypatch.setattr(ends.Clients, "send_response", say)

    async def scene(site):
        node, stream = await site.start(), await site.client()
        await site.until(lambda: node.owner.ready)
        behind.append(stream.socket._sock)
        await stream.send_all(text)
        await site.until(lambda: not behind)
        while not node.clients.leaving and node.clients.open:  # it has ended its sending, or closed
            await trio.sleep(0.001)
        assert not stream.socket._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)  # a reset took it away
        buffer, answers = bytearray(), []
        while message := await read_message(stream, buffer):
            answers.append(int(message[0].split()[1]))
        assert [one for one in answers if one != 100] == [status]

    site.run(scene)


# ---- half a request as its connection has to go


@pytest.mark.parametrize("how", ["evicted", "drained"])
@pytest.mark.parametrize("came", [1, 40, -2])
def test_who_is_cut_off_within_a_request_is_told_to_come_again(site, monkeypatch, how, came):
    """An end with no answer counts as a loss where one in 200 sees it; 503 is a refusal."""
    monkeypatch.setattr(ends, "REST_WITHIN", 0.0)
    monkeypatch.setattr(ends, "LAST_REST_WITHIN", 0.0)

    async def scene(site):
        node, stream = await site.start(), await site.client()
        text = handed("X-Trace-Id: a2", "Content-Length: 5", body=b"hello")
        await stream.send_all(text[:came])
        await site.until(lambda: any(line.raw for line in node.clients.waiting))
        end_by(node, how)
        assert await heard(stream) == 503
        await stream.send_all(text[came:])  # it is read, and not sent on
        assert await stream.receive_some() == b""
        assert not stream.socket._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        assert not node.counters["handed_in"]

    site.run(scene)


# ---- many requests at once; by the protocol a client sends one at a time

BAD = handed("X-Trace-Id: ")


def each(numbers):
    return each_of(f"a{number}" for number in numbers)


def each_of(names):
    return [handed(f"X-Trace-Id: {name}") for name in names]


async def end(stream):
    """The status of each answer until the connection's end, which is no reset."""
    buffer, answers = bytearray(), []
    while message := await read_message(stream, buffer):
        answers.append(int(message[0].split()[1]))
    assert not buffer and not stream.socket._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return answers


@pytest.mark.parametrize(
    "texts",
    [
        each(range(200)),
        [*each(range(100)), BAD, b"nonsense\r\n\r\n", *each(range(100, 200))],
        [*each([0]), each([1])[0][:40]],
        [*each([0]), b"\r\n"],
    ],
)
@pytest.mark.parametrize("how", ["stays", "ends its sending", "goes", "resets"])
def test_many_requests_in_one_write_are_refused_and_none_is_sent_on(site, texts, how):
    async def scene(site):
        node, stream = await site.start(), await site.client()
        await site.until(lambda: node.owner.ready)
        await stream.send_all(b"".join(texts))
        if how == "ends its sending":
            await stream.send_eof()
        elif how == "resets":
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if how in ("goes", "resets"):
            await stream.aclose()
        else:
            assert await end(stream) == [400]
        await site.until(lambda: node.clients.came == 1 and not node.clients.open)
        assert not node.counters["handed_in"] and not node.counters["taken_on"] and not site.far.got
        limit = node.clients.max_connections + ends.ROOM
        assert node.clients.connection_limit.value == limit - 1  # for who comes next

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
    """In pieces, each whole one with nothing behind it yet; then what is told."""

    async def scene(site):
        node, stream = await site.start(), await site.client()
        for number, text in enumerate(each(range(2))):
            await stream.send_all(text[:40])
            await site.until(lambda: any(line.raw for line in node.clients.waiting))
            await stream.send_all(text[40:])
            await site.until(lambda number=number: node.counters["answers_202"] > number)
        await site.until(lambda: node.clients.waiting)
        if then == "end":
            await stream.send_eof()
        elif then == "drain":
            node.clients.drain()
            await site.until(lambda: node.clients.leaving)
        if then != "end":
            more = b"nonsense\r\n\r\n" if then == "nonsense" else b"".join(each(range(2, 202)))
            with suppress(trio.BrokenResourceError):
                await stream.send_all(more)
        assert await end(stream) == answers
        await site.until(lambda: len(site.far.got) == 2 and not node.ledger.owed)
        assert [headers["x-trace-id"] for _, headers, _ in site.far.got] == ["a0", "a1"]
        assert node.counters["handed_in"] == 2

    site.run(scene)


def test_after_sigterm_what_many_requests_at_once_got_is_what_was_sent_on(site):
    """A real process; one client writes 200 in one go, another one by one, each time over a new one,
    without pause, until nobody listens."""
    yes, answers, last = [], [], []

    async def client(name, many):
        with suppress(OSError, trio.BrokenResourceError):
            for number in range(10_000):
                async with await site.client() as stream:
                    names = [f"{name}{number}-{at}" for at in range(many)]
                    await stream.send_all(b"".join(each_of(names)))
                    message = await read_message(stream, bytearray())
                    answers.append(message and int(message[0].split()[1]))
                    yes.extend(names[:1] if answers[-1] == 202 else [])
        last.append(trio.current_time())

    async def scene(site):
        process = await program(site)
        async with trio.open_nursery() as clients:
            clients.start_soon(client, "a", 200)
            clients.start_soon(client, "b", 1)
            await site.until(lambda: 400 in answers and len(yes) > 5)
            process.send_signal(signal.SIGTERM)
            begun = trio.current_time()
        assert await process.wait() == 0
        assert set(answers) <= {202, 400, 503} and min(last) - begun > 3.4
        sent = [
            one
            for first, headers, body in site.far.got
            for one in (
                [part["id"] for part in json.loads(body)] if "batch" in first else [headers["x-trace-id"]]
            )
        ]
        ended = {notice["message"] for notice in site.platform.notices}
        assert set(sent) | set(owed(site)) <= set(yes) <= set(sent) | set(owed(site)) | ended

    site.run(scene)
