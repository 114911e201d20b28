"""Calls of several messages, whose times end one after the other."""

import json

import trio
from conftest import http
from test_net import CLOCK, endpoints

from juniperlanding.choice import SEC
from juniperlanding.net.endpoints import Send
from juniperlanding.standins.peers import read_message


def lasting(number, seconds):
    until = CLOCK.now() + int(seconds * SEC)
    return Send(number, 0, "", b"x", until, until, until)


def test_who_goes_by_a_call_s_first_message_still_believes_its_mates_once_one_of_them_is_over(site):
    """The endpoint answers once the time of the short one is up and told; had that one come first, all ends
    that come after it would be worth nothing to it."""
    outcomes, order, calls = [], [], None

    async def attend(stream):
        _, _, body = await read_message(stream, bytearray())
        order.extend(item["id"] for item in json.loads(body))
        call = calls.out["short", 0]  # its time is up, whatever the machine's clock says
        await calls.tell(call, [(send, "timeout") for send in call.sends if send.id == "short"])
        state = "fault" if order[0] in {told[0] for told in outcomes} else "accepted"
        await stream.send_all(http(200, json.dumps([{"id": one, "state": state} for one in order]).encode()))

    async def scene(site):
        nonlocal calls
        listeners = await site.nursery.start(trio.serve_tcp, attend, 0)
        calls = await endpoints(site, outcomes)
        calls.book["s-1"] = listeners[0].socket.getsockname()[:2]
        calls.start(site.nursery, "s-1", [lasting("short", 6), lasting("long", 8), lasting("middle", 7)])
        await site.until(lambda: len(outcomes) == 3)
        ends = {told[0]: told[2] for told in outcomes}
        assert ends == {"short": "timeout", "middle": "delivered", "long": "delivered"}
        assert order == ["long", "middle", "short"]

    site.run(scene)
