"""A new process at the address, or under the id, of an endpoint that has gone is not taken for it."""

import json

import pytest
import trio
from test_net import owed
from test_restart import sent
from test_upgrade import first, replace

from juniperlanding import rules
from juniperlanding.choice import SEC
from juniperlanding.net import protocol
from juniperlanding.standins.peers import Far, http, member, read_message


class SlowDiscovery(Far):
    """Answers the first list so many seconds late, with these changes, and then keeps the watch waiting."""

    def __init__(self, seconds, members):
        super().__init__()
        self.seconds = seconds
        self.changes = json.dumps({"revision": 5, "complete": False, "members": members}).encode()

    async def attend(self, stream):
        buffer = bytearray()
        while message := await read_message(stream, buffer):
            if message[0].startswith("POST"):
                await stream.send_all(http(204))
            elif "index=1&" in message[0]:
                await trio.sleep(self.seconds)
                await stream.send_all(http(200, self.changes))


async def tell(site, members):
    """The list changes; returns once the decision loop has processed it."""
    decision_loop = site.node.decision_loop
    found = protocol.parse_members(members, ["m1", "m2"], ["a"])
    await decision_loop.enqueue(decision_loop.on_list_news, "changes", found)
    await decision_loop.enqueue(len, "")


async def restart_owing(site, name):
    """Kill the process while it owes a message that its endpoint has refused, and start it again."""
    site.far.answer = lambda *message: http(503)
    await site.start()
    assert await site.submit(name, "order", ttl=6000) == 202
    await site.until(lambda: site.far.got)
    site.kill()
    assert name in owed(site)
    site.far.answer = lambda *message: http(200)
    site.far.got.clear()


@pytest.mark.parametrize("late", [0.0, 0.1, 1.0, 1.6])
def test_after_a_restart_an_address_with_a_new_owner_is_not_called(site, late):
    """Guards against calls by the old list: another destination's endpoint ran what was not for it."""

    async def scene(site):
        await restart_owing(site, "a0")
        other = await Far().open(site.nursery)
        now_there = [
            member(1, site.far.address, "terminated"),
            member(2, site.far.address, cell=9),
            member(3, other.address),
        ]
        site.platform = await SlowDiscovery(late, now_there).open(site.nursery)
        await site.start()
        await site.until(lambda: other.got)
        assert not sent(site)

    site.run(scene)


def test_while_discovery_is_silent_calls_wait_for_2_s_and_no_longer(site):
    """Guards against a process that delivers nothing for as long as discovery is down."""

    async def scene(site):
        await restart_owing(site, "a0")
        site.platform.answer = lambda *message: None
        await site.start()
        began = trio.current_time()
        await site.until(lambda: sent(site))
        waited = trio.current_time() - began
        assert 0.9 * rules.MAX_LIST_WAIT / SEC < waited < rules.MAX_LIST_WAIT / SEC + 0.5

    site.run(scene)


@pytest.mark.parametrize("is_confirmed", [True, False])
def test_a_process_that_takes_over_waits_for_discovery_only_where_the_old_one_did(site, is_confirmed):
    """Guards against a replacement that stops deliveries for 2 s while discovery is silent."""

    async def scene(site):
        if not is_confirmed:
            site.platform.answer = lambda *message: None
        old = await first(site)
        if is_confirmed:
            await site.until(lambda: not old.decision_loop.list_due_at)
        site.platform.answer = lambda *message: None
        new = await replace(site)
        assert bool(new.decision_loop.list_due_at) is not is_confirmed
        assert await site.submit("a0") == 202
        began = trio.current_time()
        await site.until(lambda: sent(site))
        assert (trio.current_time() - began < 0.5) is is_confirmed

    site.run(scene)


def test_an_id_that_is_given_to_another_destination_is_called_for_that_one_alone(site):
    """Guards against an endpoint that stays with its first destination, whatever the list says later."""

    async def scene(site):
        node = await site.start()
        assert await site.submit("a0") == 202
        await site.until(lambda: not node.ledger.notifications)
        await tell(site, [member(1, site.far.address, cell=9)])
        assert await site.submit("a1", ttl=400) == 202
        assert await site.submit("a2", dest=9) == 202
        await site.until(lambda: not node.ledger.notifications)
        assert sent(site) == ["a0", "a2"] and not node.counters["faults"]

    site.run(scene)


@pytest.mark.parametrize("is_replaced", [False, True])
def test_a_call_that_is_out_as_its_endpoint_changes_destination_ends_as_ever(site, is_replaced):
    """Guards against a slot that is lost with the endpoint of before, here or over a hand-over."""

    async def scene(site):
        node = await first(site)
        site.far.answer = lambda *message: "late"
        assert await site.submit("a0") == 202
        await site.until(lambda: sent(site))
        await tell(site, [member(1, site.far.address, cell=9)])
        node = await replace(site) if is_replaced else node
        site.far.go.set()
        await site.until(lambda: not node.ledger.notifications)
        await site.until(lambda: not node.decision_loop.dispatcher.state.slots_out)
        assert await site.submit("a1", dest=9) == 202
        await site.until(lambda: not node.ledger.notifications)
        assert sent(site) == ["a0", "a1"] and not node.counters["faults"] and not site.platform.notices

    site.run(scene)


@pytest.mark.parametrize("is_told_twice", [False, True])
def test_an_id_that_is_gone_and_comes_back_elsewhere_is_called_there(site, is_told_twice):
    """Guards against connections that outlive their endpoint and are used for the next one of its id."""

    async def scene(site):
        node = await site.start()
        assert await site.submit("a0") == 202
        await site.until(lambda: not node.ledger.notifications)
        moved = await Far().open(site.nursery)
        await tell(site, [member(1, site.far.address, "terminated")])
        if is_told_twice:
            await tell(site, [])
        await tell(site, [member(1, moved.address)])
        assert await site.submit("a1") == 202
        await site.until(lambda: not node.ledger.notifications)
        assert sent(site) == ["a0"] and len(moved.got) == 1

    site.run(scene)


def test_a_call_that_went_over_leaves_no_connection_to_an_old_address(site):
    """Guards against a hand-over that forgets to which address a call's connection goes."""

    async def scene(site):
        await first(site)
        site.far.answer = lambda *message: "late"
        assert await site.submit("a0") == 202
        await site.until(lambda: sent(site))
        moved = await Far().open(site.nursery)
        await tell(site, [member(1, moved.address)])
        new = await replace(site)
        site.far.go.set()
        await site.until(lambda: not new.ledger.notifications)
        assert await site.submit("a1") == 202
        await site.until(lambda: not new.ledger.notifications)
        assert sent(site) == ["a0"] and len(moved.got) == 1

    site.run(scene)
