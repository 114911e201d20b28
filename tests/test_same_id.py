"""One id submitted twice at the same time: each client gets the answer that holds for both."""

import json
from functools import partial

import pytest
import trio
from conftest import WIRE

from juniperlanding.choice import SEC
from juniperlanding.net import line as net_line
from juniperlanding.net.content_digest import content_digest, is_same_content
from juniperlanding.net.ledger import Ledger
from juniperlanding.net.ledger_codec import line
from juniperlanding.net.owner import Answer
from juniperlanding.standins.peers import http


def submit(decision_loop, ntf_id, ttl_at):
    answer = Answer(ntf_id)
    assert decision_loop.try_enqueue(decision_loop.submit, "news", 8, ttl_at, "", b"x", answer)
    return answer


def test_two_of_one_id_in_one_round_are_refused_together(site):
    """The second would otherwise get a 202 for what the same iteration rejects, and never an outcome."""

    async def scene(site):
        node = await site.start()
        await site.until(lambda: node.decision_loop.ready)
        # With 1 ms left it cannot arrive in time: it is ended in the iteration that accepts it.
        ttl_at = node.decision_loop.now() + 1_000_000
        answers = [submit(node.decision_loop, "a0", ttl_at) for _ in range(2)]
        for answer in answers:
            await answer.ready.wait()
        assert [answer.status for answer in answers] == [503, 503] and not node.ledger.notifications

    site.run(scene)


def test_a_yes_that_one_of_two_heard_is_not_taken_back_for_the_other(site, monkeypatch):
    """The first client's connection is lost as its answer is sent; the second client's is not."""

    async def scene(site):
        node = await site.start()
        decision_loop, respond = node.decision_loop, node.clients.respond

        async def lose_connection(line, status, *rest, **more):
            monkeypatch.setattr(node.clients, "respond", respond)
            # The same message on another connection.
            assert await site.submit("a0", dest=8, ttl=600, body=b"x") == 202
            raise trio.BrokenResourceError

        monkeypatch.setattr(node.clients, "respond", lose_connection)
        stream = await site.client()
        await stream.send_all(
            b"POST /api HTTP/1.1\r\nHost: a\r\nX-Trace-Id: a0\r\nX-Qos: news\r\nX-Expires-In-Ms: 600\r\n"
            b"X-Addressing: dest=8\r\nContent-Length: 1\r\n\r\nx"
        )
        await site.until(lambda: site.platform.notices)
        assert [notice["message"] for notice in site.platform.notices] == ["a0"]
        assert not decision_loop.counters["unheard"]

    site.run(scene)


def lose_first_answer(node, monkeypatch):
    """The connection of the first client breaks as its answer is sent; later ones are answered."""
    respond = node.clients.respond

    async def lose_connection(connection, status, *rest, **more):
        monkeypatch.setattr(node.clients, "respond", respond)
        raise trio.BrokenResourceError

    monkeypatch.setattr(node.clients, "respond", lose_connection)


async def submit_unheard(site, node, monkeypatch, **fields):
    lose_first_answer(node, monkeypatch)
    with pytest.raises(TypeError):  # no answer to read
        await site.submit(**fields)
    await site.until(lambda: node.counters["unheard"])


def assert_at_rest(node):
    assert not node.counters["faults"] and not node.decision_loop.dispatcher.state.slots_out
    assert not node.decision_loop.dispatcher.state.pushes and not node.decision_loop.endpoints.in_flight


def test_an_id_accepted_again_while_its_withdrawn_call_is_in_flight_runs_once(site, monkeypatch):
    """Guards against two calls under one id: the once-only ran twice, and the second outcome was a KeyError
    that ended the process."""
    monkeypatch.setattr(net_line, "LAST_BYTE_DELAY", 0.2)  # the first call is still in flight at the second

    async def scene(site):
        node = await site.start()
        await site.until(lambda: node.decision_loop.ready)
        await submit_unheard(site, node, monkeypatch, number="a0", topic="order")
        assert node.decision_loop.endpoints.in_flight
        assert await site.submit("a0", topic="order") == 202
        await site.until(lambda: not node.ledger.notifications)
        await trio.sleep(0.5)
        assert len(site.far.got) == 1
        assert_at_rest(node)

    site.run(scene)


def test_an_id_whose_withdrawn_call_may_have_run_is_not_run_again(site, monkeypatch):
    """Guards against forgetting an id whose call has left: the same id later ran once more."""

    async def scene(site):
        node = await site.start()
        decision_loop = node.decision_loop
        await site.until(lambda: decision_loop.ready)
        execute_requests = decision_loop.execute_requests
        decision_loop.execute_requests = partial(start_calls, decision_loop)
        lose_first_answer(node, monkeypatch)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit_and_lose, site)
            await site.until(lambda: site.far.got)  # the call has left before its client is answered
            decision_loop.execute_requests = execute_requests
            await decision_loop.enqueue(len, "")
            await site.until(lambda: node.counters["unheard"])
            assert await site.submit("a0", topic="order") == 202
            site.far.go.set()
        await site.until(lambda: not node.ledger.notifications)
        await trio.sleep(0.1)
        assert len(site.far.got) == 1
        assert_at_rest(node)

    site.run(scene, lambda *message: "late")


def start_calls(decision_loop):
    """Start the calls of this iteration, as if its clients could not be answered yet."""
    answers, decision_loop.answers_due = decision_loop.answers_due, []
    type(decision_loop).execute_requests(decision_loop)
    decision_loop.answers_due = answers


async def submit_and_lose(site):
    with pytest.raises(TypeError):  # no answer to read
        await site.submit("a0", topic="order")


def test_a_withdrawn_notification_whose_call_never_ran_is_forgotten(site, monkeypatch):
    """Guards against keeping what no client heard of, and against a call of it that still leaves."""

    async def scene(site):
        node = await site.start()
        await site.until(lambda: node.decision_loop.ready)
        await submit_unheard(site, node, monkeypatch, number="a0", topic="order")
        await site.until(lambda: not node.ledger.notifications)
        assert not site.far.got and "a0" not in node.decision_loop.known_ids
        assert await site.submit("a0", topic="order") == 202
        await site.until(lambda: not node.ledger.notifications)
        assert len(site.far.got) == 1
        assert_at_rest(node)

    site.run(scene, lambda *message: http(200))


def test_a_delivered_notification_is_not_forgotten_for_a_client_that_left(site, monkeypatch):
    """Guards against forgetting an id that has its end: the same id later ran once more."""

    async def scene(site):
        node = await site.start()
        await site.submit("a0", topic="order")
        answer = node.decision_loop.unfinished["a0"]
        await site.until(lambda: not node.ledger.notifications)
        await node.decision_loop.enqueue(node.decision_loop.undo_unheard, answer)
        assert await site.submit("a0", topic="order") == 202
        await trio.sleep(0.1)
        assert len(site.far.got) == 1

    site.run(scene)


OTHER_CONTENT = [
    {"body": b"another"},
    {"dest": 7},
    {"topic": "order"},
    {"more": "Idempotency-Key: k2\r\n"},
]


@pytest.mark.parametrize("other", OTHER_CONTENT, ids=["body", "destination", "topic type", "key"])
def test_another_message_under_a_pending_id_is_not_accepted(site, other):
    """Guards against a 202 for a message that is never sent: the id's first message took its place."""

    async def scene(site):
        node = await site.start()
        first = {"number": "a0", "dest": 8, "body": b"first"}
        assert await site.submit(**first) == 202
        assert await site.submit(**(first | other)) == 409
        assert await site.submit(**(first | {"ttl": 4000})) == 202  # the same, sent again
        (pending,) = node.ledger.notifications.values()
        assert pending.body == b"first" and node.counters["refused_id_in_use"] == 1

    site.run(scene)


@pytest.mark.parametrize("is_ended", [True, False], ids=["ended", "pending"])
def test_another_message_under_a_known_id_is_not_accepted_after_a_restart(site, is_ended):
    """Guards against knowing only the ids of an earlier process: another message under one was lost."""

    async def scene(site):
        first = {"number": "a0", "dest": 7 if is_ended else 8, "topic": "order"}
        node = await site.start()
        assert await site.submit(**first) == 202
        await site.until(lambda: not node.ledger.notifications or not is_ended)
        assert await site.submit(**(first | {"body": b"another"})) == 409
        for _ in range(2):  # the second start reads what the first one rewrote
            site.kill()
            node = await site.start()
            await site.until(lambda: node.decision_loop.ready)  # noqa: B023
            assert await site.submit(**(first | {"body": b"another"})) == 409
            assert await site.submit(**first) == 202
        assert len(site.far.got) == is_ended

    site.run(scene)


def test_an_id_that_an_earlier_version_recorded_without_a_digest_counts_as_the_same(tmp_path):
    """Guards against a second run of what an earlier version delivered."""
    (tmp_path / "ledger").write_bytes(line(["d", "a0", 5 * SEC]))
    ledger = Ledger(tmp_path, 1 << 20)
    assert is_same_content(ledger.ended["a0"].content_digest, content_digest("news", 7, "", "", b"x"))
    assert ledger.ended["a0"].ttl_at == 5 * SEC


def test_fields_of_other_lengths_have_another_digest():
    """Guards against two messages with one digest whose fields are the same when joined."""
    assert content_digest("a", 1, "b", "", b"c") != content_digest("a", 1, "", "b", b"c")
    assert content_digest("a", 1, "b", "", b"c") != content_digest("a", 1, "b", "c", b"")


def test_a_withdrawn_message_of_a_batch_is_not_sent_and_the_others_are(site):
    """Guards against a call of several that leaves with a message that no client heard of."""
    site.wire = WIRE | {"family_info": WIRE["family_info"] | {"batch_by_kind": [5, 5]}}

    async def scene(site):
        node = await site.start()
        decision_loop = node.decision_loop
        await site.until(lambda: decision_loop.ready)
        ttl_at = decision_loop.now() + 5 * SEC
        answers = [Answer(f"a{number}") for number in range(3)]
        for answer in answers:
            assert decision_loop.try_enqueue(decision_loop.submit, "order", 7, ttl_at, "", b"x", answer)
        await answers[0].ready.wait()
        (call,) = decision_loop.endpoints.calls()
        assert len(call.pushes) == 3 and not call.written
        await decision_loop.enqueue(decision_loop.undo_unheard, answers[1])
        await site.until(lambda: not node.ledger.notifications)
        await trio.sleep(0.1)
        assert sorted(delivered_ids(site)) == ["a0", "a2"] and not site.platform.notices
        assert_at_rest(node)

    site.run(scene, accept_all)


def accept_all(first, headers, body):
    """The answer of an endpoint that takes all messages of a call."""
    if "x-trace-id" in headers:
        return http(200)
    return http(
        200, json.dumps([{"id": one["id"], "state": "accepted"} for one in json.loads(body)]).encode()
    )


def delivered_ids(site):
    """The ids of all messages that the endpoint was sent, singly or in batches."""
    ids = []
    for _, headers, body in site.far.got:
        ids += [headers["x-trace-id"]] if "x-trace-id" in headers else [one["id"] for one in json.loads(body)]
    return ids


def test_an_id_whose_withdrawn_call_may_have_run_is_not_run_again_after_a_kill(site, monkeypatch):
    """Guards against a record that takes an id back whose call has left: the next process ran it again."""

    async def scene(site):
        node = await site.start()
        decision_loop = node.decision_loop
        await site.until(lambda: decision_loop.ready)
        execute_requests = decision_loop.execute_requests
        decision_loop.execute_requests = partial(start_calls, decision_loop)
        lose_first_answer(node, monkeypatch)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit_and_lose, site)
            await site.until(lambda: site.far.got)
            decision_loop.execute_requests = execute_requests
            await decision_loop.enqueue(len, "")
            await site.until(lambda: node.counters["unheard"])
        site.kill()
        new = await site.start()
        await site.until(lambda: new.decision_loop.ready)
        assert await site.submit("a0", topic="order") == 202
        await site.until(lambda: not new.ledger.notifications)
        assert len(site.far.got) == 1
        assert [notice["outcome"] for notice in site.platform.notices] == ["given_up"]

    site.run(scene, lambda *message: "late")
