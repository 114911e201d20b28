"""The rules module: its verdicts, the code paths that ask it, and defects that its last check finds."""

import time
from dataclasses import replace

import pytest
import trio
from test_crossings import got
from test_endings_endpoint import Held
from test_net import owed
from test_restart import sent

from juniperlanding import rules
from juniperlanding.choice import SEC
from juniperlanding.ground.seams import FileSystem
from juniperlanding.net import protocol
from juniperlanding.net.clients import Clients
from juniperlanding.net.counters import VIOLATIONS
from juniperlanding.net.endpoints import Endpoints
from juniperlanding.net.line import HttpConnection
from juniperlanding.rules import AcceptFacts, CloseFacts, Reason, SendFacts
from juniperlanding.standins.peers import http, member

SENDABLE = SendFacts(
    is_pending=True,
    deadline=10,
    may_have_run=False,
    is_once_only=False,
    repeats_until=5,
    is_in_service=True,
    wait_until=0,
)


@pytest.mark.parametrize(
    "changed, now, reason",
    [
        ({}, 9, Reason.ALLOWED),
        ({"is_pending": False}, 1, Reason.ENDED),
        ({}, 10, Reason.EXPIRED),
        ({"may_have_run": True}, 4, Reason.ALLOWED),
        ({"may_have_run": True}, 5, Reason.WINDOW_OVER),
        ({"is_once_only": True}, 9, Reason.ALLOWED),
        ({"is_once_only": True, "may_have_run": True}, 1, Reason.RAN_ONCE),
        ({"is_in_service": False}, 1, Reason.NOT_IN_SERVICE),
        ({"wait_until": 4}, 3, Reason.TOLD_TO_WAIT),
        ({"wait_until": 4}, 4, Reason.ALLOWED),
    ],
)
def test_what_may_be_sent(changed, now, reason):
    verdict = rules.may_send(replace(SENDABLE, **changed), now)
    assert verdict.reason is reason and verdict.is_allowed == (reason is Reason.ALLOWED)


@pytest.mark.parametrize(
    "facts, reason",
    [
        (CloseFacts(), Reason.ALLOWED),
        (CloseFacts(has_unread=True), Reason.REQUEST_UNREAD),
        (CloseFacts(is_request_whole=True), Reason.REQUEST_UNANSWERED),
        (CloseFacts(is_request_whole=True, is_answered=True), Reason.ALLOWED),
    ],
)
def test_what_may_be_closed(facts, reason):
    assert rules.may_close(facts).reason is reason


@pytest.mark.parametrize(
    "changed, reason",
    [
        ({}, Reason.ALLOWED),
        ({"is_ready": False}, Reason.STARTING),
        ({"is_stopping": True}, Reason.STOPPING),
        ({"has_client_left": True}, Reason.CLIENT_LEFT),
        ({"is_licensed": False}, Reason.UNLICENSED),
        ({"is_writable": False}, Reason.NOT_WRITABLE),
        ({"is_destination_known": False}, Reason.UNKNOWN_DESTINATION),
        ({"has_place": False}, Reason.NO_PLACE),
        ({"has_disk": False}, Reason.NO_DISK),
    ],
)
def test_what_may_be_taken_on(changed, reason):
    assert rules.may_accept(replace(AcceptFacts(), **changed)).reason is reason


def test_calls_start_while_their_records_can_be_written_and_nobody_takes_over():
    assert rules.may_start(is_writable=True, is_frozen=False).is_allowed
    assert rules.may_start(is_writable=False, is_frozen=False).reason is Reason.NOT_WRITABLE
    assert rules.may_start(is_writable=True, is_frozen=True).reason is Reason.HANDED_OVER


def test_a_process_that_stands_still_before_the_last_byte_sends_nothing_past_its_deadline(site, monkeypatch):
    """The deadline passes between the check and the write, with no checkpoint of the scheduler in between."""
    send_holding_last_byte = HttpConnection.send_holding_last_byte

    async def held(connection, *events, before_last_byte, **more):
        def late():
            time.sleep(0.5)
            before_last_byte()

        await send_holding_last_byte(connection, *events, before_last_byte=late, **more)

    async def scene(site):
        node = await site.start()
        assert await site.submit("a0", "order", dest=8, ttl=400) == 202
        assert await site.submit("a1", "order", dest=8) == 202
        monkeypatch.setattr(HttpConnection, "send_holding_last_byte", held)
        found = protocol.parse_members([member(9, site.far.address, cell=8, kind="m2")], ["m1", "m2"], ["a"])
        await node.decision_loop.enqueue(node.decision_loop.on_list_news, "changes", found)
        await site.until(lambda: site.platform.notices and node.counters["withheld_expired"])
        monkeypatch.setattr(HttpConnection, "send_holding_last_byte", send_holding_last_byte)
        await site.until(lambda: not node.ledger.notifications)
        assert sent(site) == ["a1"] and len(got(site.far)) == 1
        assert [notice["message"] for notice in site.platform.notices] == ["a0"]

    site.run(scene)


# ---- seeded defects


@pytest.mark.parametrize("how", ["drain", "wait"])
def test_a_call_that_no_path_calls_back_is_withheld_and_counted(site, monkeypatch, how):
    """Seeded defect: `recall` does nothing, so a call that connects outlives the news that forbids it."""
    monkeypatch.setattr(Endpoints, "recall", lambda self, endpoints: None)
    site.violations = 1

    async def scene(site):
        held = Held(site.far)
        site.system = replace(site.system, network=held)
        node = await site.start()
        assert await site.submit("a0", ttl=3000) == 202
        await site.until(lambda: held.began)
        if how == "drain":
            entries = [(node.decision_loop.entries["s-1"][:-1] + ("draining",), site.far.address)]
            await node.decision_loop.enqueue(node.decision_loop.on_list_news, "changes", entries)
            await site.until(lambda: node.decision_loop.entries["s-1"][-1] == "draining")
        else:
            node.decision_loop.retry_after_until["s-1"] = node.decision_loop.now() + 30 * SEC
            node.decision_loop.dispatcher.state.endpoints["s-1"].route.wait_until = (
                node.decision_loop.now() + 30 * SEC
            )
        held.go.set()
        await site.until(lambda: node.counters[VIOLATIONS])
        await trio.sleep(0.05)
        assert not sent(site) and "a0" in owed(site)
        assert any(line.startswith("svc.violations:1") for line in node.figures())

    site.run(scene)


def test_a_connection_that_is_closed_over_a_whole_request_is_counted(site, monkeypatch):
    """Seeded defect: the answer is decided and never written."""

    async def unanswered(self, connection, status, headers=(), payload=b"", reason="closed"):
        return "closed_by_us"

    site.violations = 1

    async def scene(site):
        node = await site.start()
        monkeypatch.setattr(Clients, "respond", unanswered)
        stream = await site.client()
        await stream.send_all(b"GET /_health HTTP/1.1\r\nHost: api\r\n\r\n")
        assert await stream.receive_some() == b""
        await site.until(lambda: node.counters["violations_closed_unanswered"])

    site.run(scene)


def test_a_second_end_is_counted_and_not_told(site):
    """Seeded defect: the decision module ends a notification a second time."""
    site.violations = 1

    async def scene(site):
        node = await site.start()
        assert await site.submit("a0", dest=8, ttl=300) == 202
        await site.until(lambda: site.platform.notices)
        node.decision_loop.expired("a0")
        assert node.counters["violations_answered_twice"] == 1 and len(site.platform.notices) == 1

    site.run(scene)


def test_an_end_that_comes_late_is_counted(site, monkeypatch):
    """Seeded defect: the decision module holds an end back, and the decision loop's check comes too late."""
    monkeypatch.setattr("juniperlanding.net.owner.END_GRACE", SEC)
    site.violations = 1

    async def scene(site):
        node = await site.start()
        monkeypatch.setattr(
            node.decision_loop.dispatcher, "abandon", lambda ntf: ntf.destination.waiting.remove(ntf)
        )
        assert await site.submit("a0", dest=8, ttl=300) == 202
        await site.until(lambda: site.platform.notices)
        assert node.counters["violations_late_end"] == 1

    site.run(scene)


# ---- tracing one id


def test_one_id_can_be_followed_from_its_yes_to_its_end(site):
    async def scene(site):
        node = await site.start()
        node.decision_loop.trace.is_on = True
        assert await site.submit("a0") == 202
        await site.until(lambda: not node.ledger.notifications)
        assert await site.submit("a1", dest=99) == 503
        steps = [text for event, text in site.lines if event == "trace"]
        assert [text.split()[0] for text in steps if "id=a0" in text] == ["taken", "sending", "delivered"]
        assert any(text.startswith("refused id=a1 reason=unknown_destination") for text in steps)

    site.run(scene, lambda *message: http(200))


def test_nothing_is_followed_unless_asked_for(site):
    async def scene(site):
        node = await site.start()
        assert await site.submit("a0") == 202
        await site.until(lambda: not node.ledger.notifications)
        assert not [1 for event, _ in site.lines if event == "trace"]

    site.run(scene)


def test_a_record_that_takes_longer_to_write_than_its_message_has_lets_nothing_leave(site):
    """The write of the push record takes until after the TTL; the time is checked after it."""

    class SlowDisk(FileSystem):
        def write(self, file, data):
            if b'["p"' in bytes(data):
                time.sleep(0.7)
            return super().write(file, data)

    site.system = replace(site.system, files=SlowDisk())

    async def scene(site):
        node = await site.start()
        assert await site.submit("a0", "order", ttl=500) == 202
        await site.until(lambda: not node.ledger.notifications)
        assert not got(site.far) and not node.counters["svc.forwards"]
        assert [notice["message"] for notice in site.platform.notices] == ["a0"]

    site.run(scene)
