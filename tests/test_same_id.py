"""One id submitted twice at the same time: each client gets the answer that holds for both."""

import trio

from juniperlanding.net.owner import Answer


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
            assert await site.submit("a0", dest=8, ttl=600) == 202  # the same id, on another connection
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
