"""How soon a change is known if a watch that worked before gets no more answers, or is then closed.

Real sockets, on the jumping clock of test_lists.py."""

import socket
import struct

import pytest
import trio
from test_lists import listing, play, wait_until_known, with_wait

from juniperlanding.standins.peers import http, member

GOOD = 2  # watches answered on a connection before the next one on it gets no answer


def answered_then(site, silent):
    """Make the agent answer `GOOD` watches, leave the next one to `silent(stream)`, and then have a change.

    Returns the list of the times at which calls arrive."""
    asked = []

    async def answer_without_changes(stream):
        await trio.sleep(0.5)
        await stream.send_all(http(200, listing([], revision=1)))

    def answer(first, *rest):
        asked.append(trio.current_time())
        if len(asked) <= GOOD:
            return answer_without_changes
        if len(asked) == GOOD + 1:
            return silent
        return http(200, listing([member(1, site.far.address, "terminating")], revision=2))

    site.platform.answer = answer
    return asked


async def half(stream):
    await stream.send_all(http(200, listing([], revision=1))[:60])


@pytest.mark.parametrize("silent", [None, half])
@pytest.mark.parametrize("wait", [1, 4, 10, 60])
@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_watch_that_worked_and_falls_silent_is_told_in_time(site, mode, wait, silent):
    """Within 6 s, or 2 s after its wait if that is later; without any answer, and with half of one."""
    site.wire = with_wait(mode, wait)

    async def scene(site):
        asked = answered_then(site, silent)
        node = await site.start()
        known_at = await wait_until_known(node)
        assert known_at - asked[GOOD] < max(wait + 2, 6)
        assert len(asked) >= GOOD + 2

    play(site, scene)


@pytest.mark.parametrize("how", ["reset", "end"])
@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_watch_that_fell_silent_and_is_dropped_is_begun_anew_at_once(site, mode, how):
    site.wire, dropped = with_wait(mode, 10), []

    async def drop(stream):
        await trio.sleep(3)
        dropped.append(trio.current_time())
        if how == "reset":
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await stream.aclose()

    async def scene(site):
        answered_then(site, drop)
        node = await site.start()
        known_at = await wait_until_known(node)
        assert 0 <= known_at - dropped[0] < 0.5

    play(site, scene)


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_poll_that_may_not_wait_and_falls_silent_is_told_within_6_s(site, mode):
    site.wire, polls = with_wait(mode, 60), []

    async def scene(site):
        def answer(first, *rest):
            polls.append(trio.current_time())
            return (
                None
                if len(polls) == 1
                else http(200, listing([member(1, site.far.address, "terminating")], 2, True))
            )

        site.platform.answer = answer
        site.told["known"] = {"complete": True, "members": [member(1, site.far.address)]}  # no revision
        node = await site.start()
        known_at = await wait_until_known(node)
        assert known_at - polls[0] < 6 and "wait=" not in site.platform.got[0][1]

    play(site, scene)
