"""Outcome notices reach the platform in time, whatever became of earlier posts.

Real sockets, with a clock that jumps to the next deadline of any task (`test_lists.play`)."""

import json
from types import SimpleNamespace

import pytest
import trio
from test_lists import play

from juniperlanding.standins.peers import http


def platform(site, is_silent, connection=lambda number: ""):
    """Have the platform's agent answer posts, but none while `is_silent()`, and never a request for the list.

    Returns what it saw; `accepted_at`: id -> when a post with it was first accepted."""
    seen = SimpleNamespace(accepted_at={}, posts=[], open=0, max_open=0)

    def answer(request_line, headers, body):
        if request_line.startswith("GET"):
            return None
        ids = [json.loads(line)["message"] for line in body.splitlines()]
        seen.posts.append((trio.current_time(), ids))
        if is_silent():
            return None
        for ntf_id in ids:
            seen.accepted_at.setdefault(ntf_id, trio.current_time())
        return http(204)

    site.platform.answer = answer
    return seen


async def last_accepted(seen, *ids):
    """When the last of these was accepted; waits until all are."""
    while not all(ntf_id in seen.accepted_at for ntf_id in ids):
        await trio.sleep(0.01)
    return max(seen.accepted_at[ntf_id] for ntf_id in ids)


@pytest.mark.parametrize("trouble", ["silent", "hang", "refuse"])
@pytest.mark.parametrize("outage", [0, 0.3, 1, 3, 30])
def test_after_a_platform_that_was_silent_an_end_is_heard_within_0_2_s(site, trouble, outage):
    """It answers again just after the start of an attempt that fails, as its connection stays silent."""

    async def scene(site):
        recovered_at = None

        def is_failing():
            nonlocal recovered_at
            if recovered_at is None and trio.current_time() >= due_at + outage:
                recovered_at = trio.current_time()
                return True
            return recovered_at is None

        seen = platform(site, is_failing if trouble == "silent" else lambda: False)
        node = await site.start()
        due_at = trio.current_time()
        if trouble != "silent":
            site.network.how = lambda: trouble * is_failing()
        node.decision_loop.notices.add("a1", "given_up", 0)
        assert await last_accepted(seen, "a1") - recovered_at <= 0.2
        await trio.sleep(1)
        assert not node.decision_loop.notices.due and node.counters["notices_posted"] == 1

    play(site, scene)


def test_an_end_due_while_the_kept_connection_is_dead_goes_over_a_new_one(site):
    """So does one that becomes due while the post before it is in flight."""

    async def scene(site):
        is_dead = False
        seen = platform(site, lambda: is_dead and len(seen.posts) == 2)
        node = await site.start()
        node.decision_loop.notices.add("a1", "given_up", 0)
        await last_accepted(seen, "a1")
        is_dead, due_at = True, trio.current_time()
        node.decision_loop.notices.add("a2", "given_up", 0)
        await trio.sleep(0.05)
        node.decision_loop.notices.add("a3", "handed_back", 500)
        assert await last_accepted(seen, "a2", "a3") - due_at < 0.15
        assert seen.posts[-1][1] == ["a2", "a3"]

    play(site, scene)


def test_a_platform_that_answers_late_is_heard_out_over_two_connections_at_most(site):
    async def scene(site):
        seen = platform(site, lambda: False)
        answer_at_once = site.platform.answer

        def answer(*message):
            async def answer_late(stream):
                seen.open += 1
                seen.max_open = max(seen.max_open, seen.open)
                try:
                    with trio.move_on_after(1) as scope:
                        await stream.receive_some()
                    if scope.cancelled_caught:
                        await stream.send_all(answer_at_once(*message))
                finally:
                    seen.open -= 1

            return answer_late if message[0].startswith("POST") else None

        site.platform.answer = answer
        node = await site.start()
        for number in range(100):
            node.decision_loop.notices.add(f"a{number}", "given_up", 0)
        while node.decision_loop.notices.due:
            await trio.sleep(0.1)
        assert trio.current_time() < 10 and seen.max_open <= 2 and node.counters["notices_posted"] == 100

    play(site, scene)


@pytest.mark.parametrize("bad", [["a7"], ["a0", "a63"], ["a5", "a6", "a99"]])
def test_unreadable_ones_hold_up_none_of_a_hundred(site, bad):
    async def scene(site):
        seen = platform(site, lambda: False)
        answer = site.platform.answer
        site.platform.answer = (
            lambda request_line, headers, body: http(400)
            if any(f'"{ntf_id}"'.encode() in body for ntf_id in bad)
            else answer(request_line, headers, body)
        )
        node = await site.start()
        ids = [f"a{number}" for number in range(100)]
        for ntf_id in ids:
            node.decision_loop.notices.add(ntf_id, "given_up", 0)
        due_at = trio.current_time()
        assert await last_accepted(seen, *set(ids) - set(bad)) - due_at < 0.3
        bad.clear()
        await last_accepted(seen, *ids)
        assert trio.current_time() - due_at < 0.6

    play(site, scene)


def test_after_a_move_nothing_goes_to_the_old_address_and_what_is_under_way_goes_to_the_new(site):
    async def scene(site):
        seen = platform(site, lambda: len(seen.posts) > 1)
        node = await site.start()
        node.decision_loop.notices.add("a1", "given_up", 0)
        await last_accepted(seen, "a1")  # its connection is kept
        node.decision_loop.notices.add("a2", "given_up", 0)  # the post gets no answer
        while len(seen.posts) < 2:
            await trio.sleep(0.005)
        seen_before, moved_at = seen, trio.current_time()
        site.platform = await type(site.platform)().open(site.nursery)
        seen = platform(site, lambda: False)
        site.config()
        node.reload(site.reread)
        assert await last_accepted(seen, "a2") - moved_at < 0.15
        node.decision_loop.notices.add("a3", "given_up", 0)
        await last_accepted(seen, "a3")
        assert len(seen_before.posts) == 2 and not node.decision_loop.notices.due

    play(site, scene)


def test_a_notification_whose_time_is_up_is_ended_in_time_after_3_s_of_silence(site):
    """End to end: the platform is silent for one notice, and answers again as the TTL of another one ends."""

    async def scene(site):
        recovered_at = float("inf")
        seen = platform(site, lambda: trio.current_time() < recovered_at)
        site.far.answer = lambda *message: None
        node = await site.start()
        started = trio.current_time()
        recovered_at = started + 3.5
        assert await site.submit("a1", "order", ttl=500) == 202
        assert await site.submit("a2", "order", ttl=3500) == 202
        assert await last_accepted(seen, "a1", "a2") - started < 3.8
        while node.ledger.notifications:
            await trio.sleep(0.01)

    play(site, scene)
