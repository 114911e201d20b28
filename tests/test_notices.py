"""Ends that the platform has to hear in time, whatever became of the posts before.  Real sockets; clocks
that jump to the next time somebody waits for (`test_lists.play`)."""

import json
from types import SimpleNamespace

import pytest
import trio
from test_lists import play

from juniperlanding.standins.peers import http


def platform(site, bad, connection=lambda number: ""):
    """The agent: `bad()` says whether what is asked now gets no answer, on a connection that stays silent;
    `connection(number)` what becomes of one.  Lists are never answered.  heard: id -> when first."""
    seen = SimpleNamespace(heard={}, posts=[], open=0, most=0)

    def answer(first, headers, body):
        if first.startswith("GET"):
            return None
        ids = [json.loads(line)["message"] for line in body.splitlines()]
        seen.posts.append((trio.current_time(), ids))
        if bad():
            return None
        for ntf_id in ids:
            seen.heard.setdefault(ntf_id, trio.current_time())
        return http(204)

    site.platform.answer = answer
    return seen


async def heard(seen, *ids):
    while not all(ntf_id in seen.heard for ntf_id in ids):
        await trio.sleep(0.01)
    return max(seen.heard[ntf_id] for ntf_id in ids)


@pytest.mark.parametrize("trouble", ["silent", "hang", "refuse"])
@pytest.mark.parametrize("outage", [0, 0.3, 1, 3, 30])
def test_after_a_platform_that_was_silent_an_end_is_heard_within_0_2_s(site, trouble, outage):
    """It is back just after a try began that will come to nothing, over a connection that stays silent."""

    async def scene(site):
        back = None

        def bad():
            nonlocal back
            if back is None and trio.current_time() >= due + outage:
                back = trio.current_time()
                return True
            return back is None

        seen = platform(site, bad if trouble == "silent" else lambda: False)
        node = await site.start()
        due = trio.current_time()
        if trouble != "silent":
            site.network.how = lambda: trouble * bad()
        node.owner.notices.add("a1", "given_up", 0)
        assert await heard(seen, "a1") - back <= 0.2
        await trio.sleep(1)
        assert not node.owner.notices.due and node.counters["notices_posted"] == 1

    play(site, scene)


def test_an_end_due_while_the_kept_connection_is_dead_goes_over_a_new_one(site):
    """Also one that comes due while the post before it is out."""

    async def scene(site):
        silent = False
        seen = platform(site, lambda: silent and len(seen.posts) == 2)
        node = await site.start()
        node.owner.notices.add("a1", "given_up", 0)
        await heard(seen, "a1")
        silent, due = True, trio.current_time()
        node.owner.notices.add("a2", "given_up", 0)
        await trio.sleep(0.05)
        node.owner.notices.add("a3", "handed_back", 500)
        assert await heard(seen, "a2", "a3") - due < 0.15
        assert seen.posts[-1][1] == ["a2", "a3"]

    play(site, scene)


def test_a_platform_that_answers_late_is_heard_out_over_two_connections_at_most(site):
    async def scene(site):
        seen = platform(site, lambda: False)
        whole = site.platform.answer

        def answer(*message):
            async def late(stream):
                seen.open += 1
                seen.most = max(seen.most, seen.open)
                try:
                    with trio.move_on_after(1) as scope:
                        await stream.receive_some()
                    if scope.cancelled_caught:
                        await stream.send_all(whole(*message))
                finally:
                    seen.open -= 1

            return late if message[0].startswith("POST") else None

        site.platform.answer = answer
        node = await site.start()
        for number in range(100):
            node.owner.notices.add(f"a{number}", "given_up", 0)
        while node.owner.notices.due:
            await trio.sleep(0.1)
        assert trio.current_time() < 10 and seen.most <= 2 and node.counters["notices_posted"] == 100

    play(site, scene)


@pytest.mark.parametrize("bad", [["a7"], ["a0", "a63"], ["a5", "a6", "a99"]])
def test_unreadable_ones_hold_up_none_of_a_hundred(site, bad):
    async def scene(site):
        seen = platform(site, lambda: False)
        whole = site.platform.answer
        site.platform.answer = (
            lambda first, headers, body: http(400)
            if any(f'"{ntf_id}"'.encode() in body for ntf_id in bad)
            else whole(first, headers, body)
        )
        node = await site.start()
        ids = [f"a{number}" for number in range(100)]
        for ntf_id in ids:
            node.owner.notices.add(ntf_id, "given_up", 0)
        due = trio.current_time()
        assert await heard(seen, *set(ids) - set(bad)) - due < 0.3
        bad.clear()
        await heard(seen, *ids)
        assert trio.current_time() - due < 0.6

    play(site, scene)


def test_after_a_move_nothing_goes_to_the_old_address_and_what_is_under_way_goes_to_the_new(site):
    async def scene(site):
        seen = platform(site, lambda: len(seen.posts) > 1)
        node = await site.start()
        node.owner.notices.add("a1", "given_up", 0)
        await heard(seen, "a1")  # its connection is kept
        node.owner.notices.add("a2", "given_up", 0)  # the post gets no answer
        while len(seen.posts) < 2:
            await trio.sleep(0.005)
        old, moved = seen, trio.current_time()
        site.platform = await type(site.platform)().open(site.nursery)
        seen = platform(site, lambda: False)
        site.config()
        node.reload(site.reread)
        assert await heard(seen, "a2") - moved < 0.15
        node.owner.notices.add("a3", "given_up", 0)
        await heard(seen, "a3")
        assert len(old.posts) == 2 and not node.owner.notices.due

    play(site, scene)


def test_a_notification_whose_time_is_up_is_ended_in_time_after_3_s_of_silence(site):
    """End to end: the platform falls silent under the notice of one, and is back as another's time is up."""

    async def scene(site):
        back = float("inf")
        seen = platform(site, lambda: trio.current_time() < back)
        site.far.answer = lambda *message: None
        node = await site.start()
        begun = trio.current_time()
        back = begun + 3.5
        assert await site.submit("a1", "order", ttl=500) == 202
        assert await site.submit("a2", "order", ttl=3500) == 202
        assert await heard(seen, "a1", "a2") - begun < 3.8
        while node.ledger.owed:
            await trio.sleep(0.01)

    play(site, scene)
