"""Calls to endpoints at the instant at which two things meet, each with the one outcome that docs/sockets.md,
"Calls that end as something else happens", tells of.

Every crossing is forced: the peer holds its bytes until the node is at the instant, or a hook at the seam
lets the other side act before the node goes on."""

import pytest
import trio
import trio.testing
from test_net import owed

from juniperlanding.net import owner as owners


# ---- the process ends with more calls out than the queue has room for

@pytest.mark.parametrize("how", ["stopped", "ended at once"])
def test_a_process_ends_with_more_calls_out_than_its_queue_holds(site, monkeypatch, how):
    monkeypatch.setattr(owners, "ROUND", 1)  # a queue of four
    site.told = {"limits": site.limits | {"sockets": 256}}

    async def scene(site):
        node = await site.start()
        for number in range(7):
            assert await site.hand_in(f"a{number}", ttl=9000) == 202
        await site.until(lambda: len(site.far.got) == 7)
        owner = node.owner
        if how == "stopped":
            await owner.tell(owner.park)
            await owner.parked.wait()
            assert node.close()
        site.scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        stuck = owner.queue.statistics().tasks_waiting_send
        while owner.queue.statistics().tasks_waiting_send:  # else this test would never end either
            owner.inbox.receive_nowait()
        assert not stuck and not owner.endpoints.out
        node.release()
    site.run(scene, lambda *message: None)


def test_what_waits_to_be_told_as_the_owner_is_parked_still_counts(site, monkeypatch):
    monkeypatch.setattr(owners, "ROUND", 1)

    async def scene(site):
        node = await site.start()
        for number in range(7):
            assert await site.hand_in(f"a{number}", "order", ttl=9000) == 202
        await site.until(lambda: len(site.far.got) == 7)
        queue, owner = node.owner.queue, node.owner
        await owner.tell(owner.park)
        await owner.parked.wait()
        site.far.go.set()
        await site.until(lambda: queue.statistics().tasks_waiting_send == 3)
        assert node.close()
        site.scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        node.release()
        assert not owed(site)
    site.run(scene, lambda *message: "late")
