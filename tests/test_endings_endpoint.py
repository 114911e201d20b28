"""Calls to endpoints that end while their connection is still being established.

Each test forces one order of events, which has exactly one outcome; docs/sockets.md says which."""

import json
import socket
from dataclasses import replace

import pytest
import trio
from conftest import WIRE
from test_net import CLOCK, endpoints, send

from juniperlanding.choice import SEC
from juniperlanding.ground.seams import Network
from juniperlanding.net.endpoints import PushAttempt
from juniperlanding.standins.peers import http

BATCHED = WIRE | {"family_info": WIRE["family_info"] | {"batch_by_kind": [5, 5]}}


class Held(Network):
    """Establishes connections to the endpoint once `go` is set; `began` counts those requested."""

    def __init__(self, far):
        self.far, self.go, self.began = far, trio.Event(), 0

    async def connect(self, address):
        if address == self.far.address:
            self.began += 1
            await self.go.wait()
        return await super().connect(address)


def each_accepted(first, headers, body):
    if first.startswith("POST /v1/messages:batch"):
        return http(
            200, json.dumps([{"id": item["id"], "state": "accepted"} for item in json.loads(body)]).encode()
        )
    return http(200)


def ids(far):
    """The ids that reached an endpoint, call by call.

    Ignores requests from another test whose endpoint used the same port before."""
    calls = [message for message in far.got if message[0].startswith("POST /v1/")]
    return [
        [item["id"] for item in json.loads(body)]
        if first.startswith("POST /v1/messages:batch")
        else [headers["x-trace-id"]]
        for first, headers, body in calls
    ]


async def held_calls(site, outcomes):
    """Endpoints whose connects are held, with a connect time-out that a slow machine does not reach."""
    site.wire = WIRE | {"permissions": WIRE["permissions"] | {"connect_timeout_ns": 60 * SEC}}
    calls = await endpoints(site, outcomes)
    calls.network = Held(site.far)
    return calls


# ---- a connection that is established late


def test_what_ended_while_the_connection_came_up_does_not_leave_with_the_others(site):
    outcomes = []

    async def scene(site):
        calls, now = await held_calls(site, outcomes), CLOCK.now()
        soon, late = now + SEC // 10, now + 60 * SEC
        calls.start(
            site.nursery,
            "s-1",
            [
                PushAttempt("a", 0, "", b"", soon, soon, soon),
                PushAttempt("b", 0, "", b"", late, late, late),
                PushAttempt("c", 0, "", b"", late, late, late),
            ],
        )
        await site.until(lambda: outcomes)  # reported at once, not when the connection is established
        assert [outcome[:3] for outcome in outcomes] == [("a", 0, "moot")]
        calls.network.go.set()
        await site.until(lambda: len(outcomes) == 3)
        assert [outcome[2] for outcome in outcomes] == ["moot", "delivered", "delivered"]
        assert ids(site.far) == [["b", "c"]] and not calls.in_flight

    site.run(scene, each_accepted)


def test_of_two_the_one_that_is_left_goes_as_a_call_of_one(site):
    outcomes = []

    async def scene(site):
        calls = await held_calls(site, outcomes)
        calls.start(site.nursery, "s-1", [send("a"), send("b")])
        await site.until(lambda: calls.network.began)
        calls.cancel("a", 0)
        calls.network.go.set()
        await site.until(lambda: len(outcomes) == 2)
        assert [(outcome[0], outcome[2]) for outcome in outcomes] == [("a", "moot"), ("b", "delivered")]
        assert ids(site.far) == [["b"]] and not calls.in_flight

    site.run(scene, each_accepted)


@pytest.mark.parametrize("sends", [1, 2])
def test_none_leaves_once_all_have_ended(site, sends):
    outcomes = []

    async def scene(site):
        calls = await held_calls(site, outcomes)
        calls.start(site.nursery, "s-1", [send(name, SEC // 10) for name in "ab"[:sends]])
        await site.until(lambda: len(outcomes) == sends)
        calls.network.go.set()
        await site.until(lambda: calls.connection_limit.value == 8)
        assert {outcome[2] for outcome in outcomes} <= {"moot", "unreachable"}
        assert not site.far.connections and not calls.in_flight

    site.run(scene, each_accepted)


@pytest.mark.parametrize("topic", ["order", "pay", "news"])
def test_a_notice_is_posted_and_nothing_sent_on_after_it(site, topic):
    """The connection is established after the outcome notice: nothing has run, whatever the topic type."""
    site.wire = BATCHED

    async def scene(site):
        site.system = replace(site.system, network=Held(site.far))
        node = await site.start()
        # The first is a call of its own, whose connection is held; the other two share a call.
        for name, ttl in (("a", 900), ("b", 900), ("c", 5000)):
            assert await site.submit(name, topic, ttl=ttl) == 202
        await site.until(lambda: {notice["message"] for notice in site.platform.notices} == {"a", "b"})
        assert all(notice["outcome"] == "handed_back" for notice in site.platform.notices)
        site.system.network.go.set()
        await site.until(lambda: node.counters["pushes_delivered"] and not node.ledger.notifications)
        assert ids(site.far) == [["c"]]
        # A notice may be posted twice.
        # Compared as a set, since a notice that is posted twice does no harm.
        assert {notice["message"] for notice in site.platform.notices} == {"a", "b"}

    site.run(scene, each_accepted)


# ---- small writes


def test_no_connection_holds_small_writes_back_on_either_side():
    async def scene():
        network = Network()
        listener = network.bind(("127.0.0.1", 0))
        listener.listen()
        client = await network.connect(listener.address)
        server, _ = await listener.accept()
        for sock in (client, server, network.inherit(client.raw.dup().detach())):
            assert sock.raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            sock.close()
        listener.close()

    trio.run(scene)
