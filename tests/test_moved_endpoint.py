"""The list tells another address for an endpoint that it named before."""

from test_restart import sent

from juniperlanding.net import protocol
from juniperlanding.standins.peers import Far, member


def test_an_endpoint_that_moved_is_called_at_its_new_address_alone(site):
    """A connection that was kept to the old one would carry the next call to whoever listens there now."""

    async def scene(site):
        node = await site.start()
        assert await site.submit("a0") == 202
        await site.until(lambda: not node.ledger.owed)
        moved = await Far().open(site.nursery)
        found = protocol.entries([member(1, moved.address)], ["m1", "m2"], ["a"])
        await node.owner.tell(node.owner.listed, "changes", found)
        assert await site.submit("a1") == 202
        await site.until(lambda: not node.ledger.owed)
        assert sent(site) == ["a0"]
        assert [headers["x-trace-id"] for _, headers, _ in moved.got] == ["a1"]

    site.run(scene)
