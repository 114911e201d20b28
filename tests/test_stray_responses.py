"""Endpoints that send an answer once more: a call counts no response that belongs to an earlier call."""

from collections import Counter

import pytest
import trio

from juniperlanding.choice import MS
from juniperlanding.net import protocol
from juniperlanding.response_times import RECENT_RESPONSES, ResponseTimes
from juniperlanding.standins.peers import Far, RepeatingEndpoint, http, member, read_message

LATENCY = 0.1  # seconds of a call
LEARNING_CALLS = 6  # until the latencies of the destination are known


class Outcomes:
    """What became of the messages of one scene."""

    def __init__(self, site):
        self.site, self.accepted = site, []

    async def submit(self, name, **fields):
        status = await self.site.submit(name, topic="order", ttl=1500, **fields)
        assert status == 202
        self.accepted.append(name)

    async def submit_and_wait(self, name):
        """Hand a message in and wait until the dispatcher takes it as over."""
        await self.submit(name)
        await self.site.until(lambda: not self.site.node.ledger.notifications)

    def check(self):
        """Each message ran once at most, and was delivered or ended by a notice."""
        runs = Counter(self.site.far.runs)
        notices = {notice["message"] for notice in self.site.platform.notices}
        twice = {name: count for name, count in runs.items() if count > 1}
        lost = [name for name in self.accepted if name not in runs and name not in notices]
        assert (twice, lost) == ({}, [])


async def open_endpoint(site, *fields, **more):
    site.far = await RepeatingEndpoint(*fields, **more).open(site.nursery)


def refuses_every_other(first="b"):
    """The status of a call: of the messages with this first letter every second one is refused."""
    seen = set()

    def reply(name):
        if not name.startswith(first):
            return 200
        seen.add(name)
        return 503 if len(seen) % 2 == 0 and name == sorted(seen)[-1] else 200

    return reply


@pytest.mark.parametrize("copy_after", [0.002, 0.006, 0.010, 0.015, 0.030])
def test_a_copy_right_behind_an_answer_is_not_taken_for_the_next_answer(site, copy_after):
    """Guards against a 200 that belongs to the call before: the message was lost, the next one ran twice."""

    async def scene(site):
        await open_endpoint(site, refuses_every_other(), LATENCY, copy_after)
        await site.start()
        outcomes = Outcomes(site)
        for number in range(8):
            await outcomes.submit_and_wait(f"b{number}")
        await trio.sleep(3 * LATENCY)
        outcomes.check()

    site.run(scene)


@pytest.mark.parametrize("copy_after", [0.010, 0.015, 0.030])
def test_a_copy_from_an_endpoint_that_was_fast_lately_is_no_answer(site, copy_after):
    """Guards against a copy that no response time tells apart: it has to come before the call is whole."""

    async def scene(site):
        await open_endpoint(site, refuses_every_other(), 0.002, copy_after)
        await site.start()
        outcomes = Outcomes(site)
        for number in range(3):
            await outcomes.submit_and_wait(f"a{number}")
        site.far.latency = LATENCY
        for number in range(8):
            await outcomes.submit_and_wait(f"b{number}")
        await trio.sleep(3 * LATENCY)
        outcomes.check()

    site.run(scene)


@pytest.mark.parametrize("copy_after", [0.0, 0.003, 0.008])
def test_a_copy_that_crosses_the_next_request_is_not_taken_for_its_answer(site, copy_after):
    """Guards against a 200 that comes before any answer can, on a connection that was quiet for long."""

    async def scene(site):
        await open_endpoint(site, refuses_every_other(), LATENCY, copy_after, after_next_request=True)
        await site.start()
        outcomes = Outcomes(site)
        for number in range(LEARNING_CALLS):
            await outcomes.submit_and_wait(f"a{number}")
            site.node.decision_loop.endpoints.evict()  # a new connection each time, so that there is no copy
        for number in range(6):
            await trio.sleep(0.1)
            await outcomes.submit_and_wait(f"b{number}")
        await trio.sleep(3 * LATENCY)
        outcomes.check()
        strays = site.node.counters["stray_responses"]
        assert strays and site.far.connections == LEARNING_CALLS + 1 + strays  # each one costs its connection

    site.run(scene)


def test_a_copy_that_comes_late_in_the_next_call_is_not_taken_for_its_answer(site):
    """Guards against a copy that comes when an answer of the call could come: the message is lost."""

    async def scene(site):
        await open_endpoint(site, refuses_every_other(), LATENCY, 0.6 * LATENCY, after_next_request=True)
        await site.start()
        outcomes = Outcomes(site)
        for number in range(6):
            await outcomes.submit_and_wait(f"b{number}")
            await trio.sleep(LATENCY)
        await trio.sleep(3 * LATENCY)
        outcomes.check()

    site.run(scene)


def test_a_copy_that_names_no_message_of_a_batch_is_not_its_answer(site):
    """Guards against giving up what a batch delivers, as an earlier response stands before its own."""

    async def scene(site):
        await open_endpoint(site, lambda name: 200, LATENCY, 0.003, after_next_request=True)
        node = await site.start()
        members = [(entry, site.far.address) for entry in batch_entries(site)]
        await node.decision_loop.enqueue(node.decision_loop.on_list_news, "changes", members)
        outcomes = Outcomes(site)
        await outcomes.submit_and_wait("a0")
        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(outcomes.submit, f"b{number}")
        await site.until(lambda: not node.ledger.notifications)
        outcomes.check()
        assert any("batch" in first for first, _, _ in site.far.got) and not site.platform.notices

    site.run(scene)


def batch_entries(site):
    """The list with an endpoint that takes several messages in a call."""
    parsed = protocol.parse_members([member(1, site.far.address, kind="m2")], ["m1", "m2"], ["a"])
    return [entry for entry, _ in parsed]


def test_an_endpoint_that_becomes_fast_is_believed(site):
    """Guards against doubting true answers for good: no other response comes, and the new pace is learnt."""
    latency = [0.2]

    class Paced(Far):
        async def attend(self, stream):
            buffer = bytearray()
            while message := await read_message(stream, buffer):
                self.got.append(message)
                await trio.sleep(latency[0])
                await stream.send_all(http(200))

    async def scene(site):
        site.far = await Paced().open(site.nursery)
        node = await site.start()
        outcomes = Outcomes(site)
        for number in range(4):
            await outcomes.submit_and_wait(f"a{number}")
        latency[0] = 0.002
        for number in range(6):
            await outcomes.submit_and_wait(f"b{number}")
        assert len(site.far.got) == 10 and not site.platform.notices
        assert 1 <= node.counters["early_responses"] <= 3 and not node.counters["stray_responses"]

    site.run(scene)


def test_a_response_is_early_by_the_fastest_but_one_of_the_recent_ones():
    times = ResponseTimes()
    assert not times.is_early(0) and times.latest() == 0
    times.add(100 * MS)
    assert times.is_early(25 * MS - 1) and not times.is_early(25 * MS) and times.latest() == 200 * MS
    times.add(8 * MS)  # one that is faster than the others does not count
    assert times.is_early(25 * MS - 1) and not times.is_early(25 * MS)
    times.add(8 * MS)
    assert times.is_early(2 * MS - 1) and not times.is_early(2 * MS)
    for _ in range(RECENT_RESPONSES):
        times.add(40 * MS)
    assert times.is_early(10 * MS - 1) and not times.is_early(10 * MS) and times.latest() == 80 * MS
