"""Which connections are evicted, and who gets a descriptor, when idle clients hold all that they may have."""

import json
import os
import resource
import signal
import socket
from contextlib import suppress

import pytest
import trio
import trio.testing
from test_endings_drain import heard
from test_net import handed, program
from test_standing import with_wait

from juniperlanding.net import clients as ends
from juniperlanding.standins.peers import Far, http, member

FEW_SOCKETS = {"disk_mb": 3, "sockets": 52}  # room for eight clients, and eight over the limit
SOCKETS = 64  # 12 for clients and 8 over that, 24 for calls, 20 for the rest
IDLE = 70  # more than there are descriptors
ASKS = handed("X-Trace-Id: a2", "Content-Length: 5", body=b"hello")


@pytest.fixture
def no_grace(monkeypatch):
    """Evicted connections get no grace period."""
    monkeypatch.setattr(ends, "EVICTED_REQUEST_TIMEOUT", 0.0)
    monkeypatch.setattr(ends, "DRAINED_REQUEST_TIMEOUT", 0.0)


def server_line(node, stream):
    """The process's side of a client's connection."""
    port = stream.socket.getsockname()[1]
    return next(connection for connection in node.clients.request_waits if connection.sock.peer()[1] == port)


# ---- which connection is evicted


def test_idle_clients_push_out_each_other_and_no_request_that_has_begun(site, no_grace):
    site.limits = FEW_SOCKETS

    async def scene(site):
        node, stream = await site.start(), await site.client()
        await stream.send_all(ASKS[:-2])
        await site.until(lambda: any(connection.message_bytes for connection in node.clients.request_waits))
        connection, idle = server_line(node, stream), [await site.client() for _ in range(30)]
        for gone in idle[:20]:  # each of them after the request had begun
            assert await gone.receive_some() == b""
        assert connection in node.clients.request_waits
        await stream.send_all(ASKS[-2:])
        assert await heard(stream) == 202

    site.run(scene)


def test_who_has_asked_unread_is_not_idle(site, no_grace):
    async def scene(site):
        node, stream = await site.start(), await site.client()
        await site.until(lambda: len(node.clients.request_waits) == 1)
        connection, idle = server_line(node, stream), await site.client()
        await site.until(lambda: len(node.clients.request_waits) == 2)
        stream.socket._sock.send(ASKS[:-2])
        while connection.unread() is None:  # on loopback it has arrived already
            pass
        node.clients.evict()
        assert await idle.receive_some() == b""
        await stream.send_all(ASKS[-2:])
        assert await heard(stream) == 202

    site.run(scene)


def test_half_requests_push_out_each_other_before_who_is_about_to_ask(site, no_grace):
    async def scene(site):
        node, halves = await site.start(), [await site.client() for _ in range(3)]
        for stream in halves:
            await stream.send_all(ASKS[:-2])
        await site.until(
            lambda: sum(bool(connection.message_bytes) for connection in node.clients.request_waits) == 3
        )
        stream = await site.client()
        await site.until(lambda: len(node.clients.request_waits) == 4)
        connection = server_line(node, stream)
        node.clients.evict()
        assert connection in node.clients.request_waits and len(node.clients.request_waits) == 3
        assert await site.submit("a1", stream=stream) == 202

    site.run(scene)


def test_who_just_came_has_a_moment_to_ask(site, monkeypatch):
    monkeypatch.setattr(ends, "EVICTED_REQUEST_TIMEOUT", 5.0)

    async def scene(site):
        node, stream = await site.start(), await site.client()
        await site.until(lambda: node.clients.request_waits)
        node.clients.evict()
        await trio.testing.wait_all_tasks_blocked()
        assert await site.submit("a1", stream=stream) == 202

    site.run(scene)


# ---- who gets a descriptor


async def submit(site, name, dest=7, ttl=9000, body=b"hello"):
    """Send a request as soon as the connection stands, with no checkpoint in between."""
    sock = socket.create_connection(site.address)
    sock.sendall(
        handed(
            f"X-Trace-Id: {name}",
            f"X-Addressing: dest={dest}",
            f"X-Expires-In-Ms: {ttl}",
            f"Content-Length: {len(body)}",
            body=body,
        )
    )
    sock.setblocking(False)
    async with trio.SocketStream(trio.socket.from_stdlib_socket(sock)) as stream:
        return await heard(stream)


async def idle(site, ended):
    """Hold an idle connection until it is closed, then the next one."""
    while True:
        with suppress(OSError, trio.BrokenResourceError):
            async with await site.client() as stream:
                await stream.receive_some()
                ended.append(stream)
        await trio.sleep(0.1)


def files(process):
    return len(os.listdir(f"/proc/{process.pid}/fd"))


@pytest.mark.parametrize("down", ["silent", "refused"])
def test_idle_clients_hold_all_places_while_discovery_is_down_and_comes_back(site, down):
    """A process with few descriptors still gets its list, makes calls, reports, and rewrites its ledger."""
    site.limits, site.wire = {"disk_mb": 3, "sockets": SOCKETS}, with_wait(0.2)
    up, notices = [], []

    def platform(first, headers, body):
        if not up:
            return None if down == "silent" else "reset"
        if first.startswith("POST"):
            notices.extend(json.loads(text)["message"] for text in body.splitlines())
            return http(204)
        document = {
            "revision": 2,
            "complete": True,
            "members": [member(1, site.far.address), member(2, site.other.address, cell=9)],
        }
        return http(200, json.dumps(document).encode())

    async def scene(site):
        site.platform.answer = platform
        site.other, ended = await Far().open(site.nursery), []
        process = await program(site)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
        try:
            for _ in range(IDLE):
                site.nursery.start_soon(idle, site, ended)
            # All connections are taken, and each new one evicts another.
            await site.until(lambda: len(ended) > IDLE)
            ledger = site.folder / "state" / "ledger"
            first = ledger.stat().st_ino
            for number in range(24):  # pending notifications may use three eighths of the disk
                assert await submit(site, f"b{number}", body=b"x" * 60_000) == 202
                await site.until(lambda least=number - 5: len(site.far.got) > least)
            await site.until(lambda: len(site.far.got) >= 24 and ledger.stat().st_ino != first)
            assert await submit(site, "c1", dest=8, ttl=300) == 202
            assert await submit(site, "c2", dest=9) == 503  # no list named it yet
            up.append(True)
            await site.until(lambda: "c1" in notices)
            while await submit(site, "c3", dest=9) != 202:
                await trio.sleep(0.05)
            await site.until(lambda: site.other.got)
            assert files(process) <= SOCKETS
        finally:
            process.send_signal(signal.SIGKILL)
        await process.wait()

    site.run(scene)
