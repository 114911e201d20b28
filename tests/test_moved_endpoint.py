"""The list has a new address for an endpoint that it named before."""

import pytest
from test_restart import sent

from juniperlanding.net import protocol
from juniperlanding.standins.peers import Far, member


@pytest.mark.parametrize("is_out", [False, True])
def test_an_endpoint_that_moved_is_called_at_its_new_address_alone(site, is_out):
    """A kept connection to the old address would carry the next call to whoever listens there now."""

    async def scene(site):
        node = await site.start()
        site.far.answer = lambda *message: "late"
        assert await site.submit("a0") == 202
        await site.until(lambda: sent(site))
        if not is_out:
            site.far.go.set()
            await site.until(lambda: not node.ledger.notifications)
        moved = await Far().open(site.nursery)
        found = protocol.parse_members([member(1, moved.address)], ["m1", "m2"], ["a"])
        await node.decision_loop.enqueue(node.decision_loop.on_list_news, "changes", found)
        await node.decision_loop.enqueue(len, "")  # returns once the loop has processed the list
        site.far.go.set()  # the response to a call in progress is still read
        await site.until(lambda: not node.ledger.notifications)
        assert await site.submit("a1") == 202
        await site.until(lambda: not node.ledger.notifications)
        assert sent(site) == ["a0"]
        assert [headers["x-trace-id"] for _, headers, _ in moved.got] == ["a1"]

    site.run(scene)
