"""Calls of several messages that time out one after the other."""

import json

import trio
from conftest import http
from test_net import CLOCK, endpoints

from juniperlanding.choice import SEC
from juniperlanding.net.endpoints import PushAttempt
from juniperlanding.standins.peers import read_message


def send_lasting(number, seconds):
    until = CLOCK.now() + int(seconds * SEC)
    return PushAttempt(number, 0, "", b"x", until, until, until)


def test_the_message_with_the_latest_time_limit_comes_first_in_a_call(site):
    """An endpoint may judge a whole call by its first message, and fail every message of the call once that
    one has timed out.  The endpoint here does so, and answers after the shortest time limit has passed."""
    outcomes = []
    order = []
    calls = None

    async def attend(stream):
        _, _, body = await read_message(stream, bytearray())
        order.extend(item["id"] for item in json.loads(body))
        call = calls.in_flight["short", 0]  # time it out without waiting for the clock
        await calls.report_outcomes(call, [(send, "timeout") for send in call.pushes if send.id == "short"])
        state = "fault" if order[0] in {outcome[0] for outcome in outcomes} else "accepted"
        await stream.send_all(http(200, json.dumps([{"id": one, "state": state} for one in order]).encode()))

    async def scene(site):
        nonlocal calls
        listeners = await site.nursery.start(trio.serve_tcp, attend, 0)
        calls = await endpoints(site, outcomes)
        calls.addresses["s-1"] = listeners[0].socket.getsockname()[:2]
        calls.start(
            site.nursery,
            "s-1",
            [send_lasting("short", 6), send_lasting("long", 8), send_lasting("middle", 7)],
        )
        await site.until(lambda: len(outcomes) == 3)
        states = {outcome[0]: outcome[2] for outcome in outcomes}
        assert states == {"short": "timeout", "middle": "delivered", "long": "delivered"}
        assert order == ["long", "middle", "short"]

    site.run(scene)
