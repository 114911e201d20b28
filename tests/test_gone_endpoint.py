"""A complete list that no longer names an endpoint while a call to it is still connecting."""

from dataclasses import replace

from test_endings_endpoint import Held
from test_restart import sent

from juniperlanding.net.counters import VIOLATIONS


def test_a_whole_list_without_an_endpoint_calls_back_what_still_connects(site):
    async def scene(site):
        held = Held(site.far)
        site.system = replace(site.system, network=held)
        node = await site.start()
        assert await site.submit("a0", ttl=700) == 202
        await site.until(lambda: held.began)
        endpoint = node.decision_loop.dispatcher.state.endpoints["s-1"]
        await node.decision_loop.enqueue(node.decision_loop.on_list_news, "whole", [])
        await site.until(lambda: endpoint.state == "gone")
        held.go.set()
        await site.until(lambda: not node.ledger.notifications)
        assert not sent(site) and not node.counters[VIOLATIONS]

    site.run(scene)
