"""One clock for silence: when a change is told that a watch missed which had worked before and fell silent,
and when one that is then dropped is seen.  Real sockets, and the clock of test_lists.py that jumps."""

import socket
import struct

import pytest
import trio
from test_lists import listing, play, told, with_wait

from juniperlanding.standins.peers import http, member

GOOD = 2  # watches that are answered before one falls silent, over the connection that it has


def answered_then(site, silent):
    """An agent whose watches work, whose third one gets `silent(stream)`, and that has a change from then on.
    Returns the times at which each call came."""
    asked = []

    async def nothing_new(stream):
        await trio.sleep(0.5)
        await stream.send_all(http(200, listing([], revision=1)))

    def answer(first, *rest):
        asked.append(trio.current_time())
        if len(asked) <= GOOD:
            return nothing_new
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
    """6 s after it fell silent, or 2 s after its wait where that is later; silent from its first instant on,
    and in the middle of an answer."""
    site.wire = with_wait(mode, wait)

    async def scene(site):
        asked = answered_then(site, silent)
        node = await site.start()
        at = await told(node)
        assert at - asked[GOOD] < max(wait + 2, 6)
        assert len(asked) >= GOOD + 2

    play(site, scene)


@pytest.mark.parametrize("how", ["reset", "end"])
@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_watch_that_fell_silent_and_is_dropped_is_begun_anew_at_once(site, mode, how):
    site.wire, dropped = with_wait(mode, 10), []

    async def drops(stream):
        await trio.sleep(3)
        dropped.append(trio.current_time())
        if how == "reset":
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await stream.aclose()

    async def scene(site):
        answered_then(site, drops)
        node = await site.start()
        at = await told(node)
        assert 0 <= at - dropped[0] < 0.5

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
        at = await told(node)
        assert at - polls[0] < 6 and "wait=" not in site.platform.got[0][1]

    play(site, scene)
