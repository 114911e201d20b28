"""The admin port on loopback: valid, invalid and stalling calls, and its counters against what happened."""

import pytest
import trio

from juniperlanding.net import door
from juniperlanding.net.owner import Answer
from juniperlanding.standins.peers import http


@pytest.fixture
def site(site):
    site.told["management"] = "127.0.0.1:0"
    return site


async def call(site, line=b"STATS\n"):
    """The lines that the admin port answers to one call."""
    stream = await trio.open_tcp_stream(*site.node.admin_port.listener.address)
    async with stream:
        await stream.send_all(line)
        if not line.endswith(b"\n"):
            await stream.send_eof()
        return b"".join([part async for part in stream]).decode().splitlines()


async def statistics(site):
    """Name -> (value, kind) of each line of `STATS`; kind is "c" for a counter, "g" for a gauge."""
    first, *lines, last = await call(site)
    assert (first, last) == ("ACK", "--")
    fields = [line.replace("|", ":").split(":") for line in lines]
    return {name.removeprefix("svc."): (int(value), kind) for name, value, kind in fields}


@pytest.mark.parametrize(
    "line, answer",
    [
        (b"READY\n", "ACK"),
        (b"READY\r\n", "ACK"),
        (b"READY", "ACK"),
        (b"READY\nSTATS\n", "ACK"),
        (b"\n", "NAK empty line"),
        (b"", "NAK empty line"),
        (b"ready\n", "NAK unknown call"),
        (b"READY NOW\n", "NAK unknown call"),
        (b"\xff\xfe\n", "NAK not ASCII text"),
        (b"x" * 200 + b"\n", "NAK line longer than 128 bytes"),
        (b"x" * 5000, "NAK line longer than 128 bytes"),
    ],
)
def test_each_line_gets_one_answer(site, line, answer):
    async def scene(site):
        node = await site.start()
        await site.until(lambda: node.decision_loop.ready)
        lines = await call(site, line)
        assert len(lines) == 1 and lines[0].startswith(answer)
        await site.until(lambda: not node.admin_port.open_calls)

    site.run(scene)


def test_ready_is_no_before_it_takes_clients_and_while_it_drains(site):
    async def scene(site):
        node = await site.start()
        await site.until(lambda: node.decision_loop.ready)
        node.decision_loop.ready = False
        assert await call(site, b"READY\n") == ["NAK starting"]
        node.decision_loop.ready = True
        node.clients.drain()
        assert await call(site, b"READY\n") == ["NAK draining"]

    site.run(scene)


def test_callers_who_stall_keep_nobody_out(site):
    async def scene(site):
        await site.start()
        address = site.node.admin_port.listener.address
        stalled = [await trio.open_tcp_stream(*address) for _ in range(3 * door.MAX_CALLERS)]
        for stream in stalled:
            await stream.send_all(b"STA")
        with trio.fail_after(1):
            assert (await statistics(site))["outstanding"] == (0, "g")
            assert await stalled[0].receive_some() == b""
        assert len(site.node.admin_port.open_calls) <= door.MAX_CALLERS

    site.run(scene)


def test_a_caller_that_never_finishes_its_line_is_let_go(site, monkeypatch):
    monkeypatch.setattr(door, "CALL_TIMEOUT", 0.1)

    async def scene(site):
        node = await site.start()
        stream = await trio.open_tcp_stream(*node.admin_port.listener.address)
        with trio.fail_after(1):
            assert await stream.receive_some() == b""
        assert node.counters["door_unfinished"] == 1 and not node.admin_port.open_calls

    site.run(scene)


def test_it_answers_while_the_disk_fails_and_clients_fill_every_place(site):
    site.limits = {"disk_mb": 3, "sockets": 64}

    async def scene(site):
        node = await site.start()
        await site.until(lambda: node.decision_loop.ready)

        def fail():
            raise OSError("no space left")

        node.ledger.flush = fail
        flood = [await site.client() for _ in range(40)]
        for stream in flood:
            await stream.send_all(b"POST /api HTTP/1.1\r\nHo")
        assert await site.submit("a1") == 503
        # This task does not yield, so the decision loop does not run and its queue fills up.
        while node.decision_loop.try_enqueue(node.decision_loop.undo_unheard, Answer("none")):
            pass
        with trio.fail_after(1):
            assert (await statistics(site))["results.news.declined"] == (1, "c")

    site.run(scene)


def test_each_notification_is_counted_once_where_it_ends(site):
    answers = {"d1": http(200), "d2": http(200), "o1": http(410), "o2": None}

    async def scene(site):
        node = await site.start()
        for number, topic, ttl in (
            ("d1", "news", 5000),
            ("d2", "pay", 5000),
            ("o1", "order", 5000),
            ("o2", "order", 400),
            ("h1", "news", 400),
            ("u1", "news", 1),
        ):
            await site.submit(number, topic, ttl=ttl, dest=8 if number == "h1" else 7)
        assert await site.submit("d1") == 202  # a repeat: not counted again
        assert await site.submit("x1", "pay", dest=70000) == 503
        await site.until(lambda: not node.decision_loop.unfinished)
        measured = await statistics(site)
        assert {name.removeprefix("results."): value for name, (value, _) in measured.items()} == {
            "news.succeeded": 1,
            "news.declined": 2,
            "news.aborted": 0,
            "pay.succeeded": 1,
            "pay.declined": 1,
            "pay.aborted": 0,
            "order.succeeded": 0,
            "order.declined": 0,
            "order.aborted": 2,
            "forwards": 4,
            "outstanding": 0,
            "discovered": 2,
            "ejected": 0,
        }
        assert {kind for name, (_, kind) in measured.items() if "." in name or name == "forwards"} == {"c"}

    site.run(scene, lambda first, headers, body: answers[headers["x-trace-id"]])


def test_what_an_earlier_process_accepted_is_counted_where_it_ends(site):
    async def scene(site):
        await site.start()
        await site.submit("a1", "news")
        await site.submit("a2", "order")
        await site.until(lambda: len(site.far.got) == 2)
        site.kill()
        site.far.answer = lambda *message: http(200)
        node = await site.start()
        await site.until(lambda: node.decision_loop.ready and not node.decision_loop.unfinished)
        measured = await statistics(site)
        assert measured["results.news.succeeded"] == measured["results.order.aborted"] == (1, "c")

    site.run(scene, lambda *message: None)


def test_an_ejected_endpoint_is_counted_as_ejected(site):
    async def scene(site):
        node = await site.start()
        await site.until(lambda: node.decision_loop.ready)
        node.decision_loop.dispatcher.state.endpoints["s-1"].ejected = True
        assert (await statistics(site))["ejected"] == (1, "g")

    site.run(scene)
