"""How soon a change of discovery's list is known, after calls that failed in any way.

Real sockets; trio and the decision module share a clock, which jumps to the next time awaited by a task."""

import json
from dataclasses import replace

import pytest
import trio
import trio.testing
from conftest import WIRE

from juniperlanding.choice import SEC
from juniperlanding.ground.clock import Clock
from juniperlanding.ground.seams import Network
from juniperlanding.standins.peers import Far, http, member, read_message

ABSENT = object()
MANY_FAILURES = 8  # calls in a row; the pause between them has reached its maximum by then


class TrioClock(Clock):
    """The decision module's clock, derived from trio's; it gives no boot id."""

    def __init__(self):
        self.boot_id = ""
        self.epoch = 1_700_000_000 * SEC

    def steady(self):
        return int(trio.current_time() * SEC)

    def wall(self):
        return self.now()


class AgentNetwork(Network):
    """Connections to the agent hang, are refused, or succeed, as `how()` says."""

    def __init__(self):
        self.how = lambda: ""

    async def connect(self, address):
        if address == self.agent.address:
            failure = self.how()
            if failure == "hang":
                await trio.sleep_forever()
            if failure == "refuse":
                raise ConnectionRefusedError(111, "Connection refused")
        return await super().connect(address)


class Agent(Far):
    """Discovery's agent; `answer` may also return an async function, which answers on the stream."""

    async def attend(self, stream):
        buffer = bytearray()
        try:
            while message := await read_message(stream, buffer):
                self.got.append((trio.current_time(), message[0].split()[1]))
                answer = self.answer(*message)
                if answer is None:
                    await trio.sleep_forever()
                elif callable(answer):
                    await answer(stream)
                else:
                    await stream.send_all(answer)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


def with_wait(mode, wait):
    safety = {key: value for key, value in WIRE["safety"].items() if key != "must_ask_in_ns"}
    return WIRE | {
        "registry_mode": mode,
        "safety": safety | ({} if wait is ABSENT else {"must_ask_in_ns": int(wait * SEC)}),
    }


def listing(members, revision=2, complete=False):
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode()


def play(site, scene):
    """As `Site.run`, on a clock that jumps."""

    async def main():
        with trio.fail_after(600):
            async with trio.open_nursery() as nursery:
                site.nursery = nursery
                site.platform = await Agent().open(nursery)
                site.far = await Far().open(nursery)
                site.network = AgentNetwork()
                site.network.agent = site.platform
                site.system = replace(site.system, clock=TrioClock(), network=site.network)
                await scene(site)
                nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.002))


async def wait_until_known(node, state="draining", number="s-1"):
    """Wait until the decision module has an endpoint in a state; the time at which it has."""
    original = type(node.decision_loop.dispatcher).update_endpoints
    news = trio.Event()

    def listed(*changes):
        original(node.decision_loop.dispatcher, *changes)
        news.set()

    node.decision_loop.dispatcher.update_endpoints = listed
    while (
        known := node.decision_loop.dispatcher.state.endpoints.get(number)
    ) is None or known.state != state:
        await news.wait()
        news = trio.Event()
    return trio.current_time()


async def send_slowly(stream):
    await stream.send_all(b"HTTP/1.1 200 x\r\nContent-Length: 900\r\n\r\n")
    while True:
        await stream.send_all(b" ")
        await trio.sleep(0.2)


async def send_without_end(stream):
    await stream.send_all(b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n")
    while True:
        await stream.send_all(b"10000\r\n" + b" " * 65536 + b"\r\n")


EMPTY_LIST = http(200, listing([]))
TROUBLES = {
    "silent": None,
    "half": EMPTY_LIST[:60],
    "cut": http(200, listing([])[:-9]),
    "dribbles": send_slowly,
    "endless": send_without_end,
    "failed": http(500),
    "hang": "hang",
    "refuse": "refuse",
}


def set_up_failures(site, trouble, calls):
    """Make the agent fail so many calls, and answer the later ones with a change.

    `site.back` is the time at which the last failing call began; the agent has the change from then on."""
    site.back = None
    begun = []

    def fails():
        if site.back is not None:
            return False
        begun.append(trio.current_time())
        if len(begun) == calls:
            site.back = begun[-1]
        return True

    if trouble in ("hang", "refuse"):
        site.network.how = lambda: trouble * fails()
    change = http(200, listing([member(1, site.far.address, "terminating")], revision=2))
    site.platform.answer = lambda *message: (
        TROUBLES[trouble] if trouble not in ("hang", "refuse") and fails() else change
    )


@pytest.mark.parametrize(
    "trouble, wait",
    [
        *((trouble, 10) for trouble in TROUBLES),
        *((trouble, wait) for trouble in ("silent", "refuse") for wait in (3600, 0.001, 0, ABSENT)),
    ],
)
@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_change_is_told_within_6_s_of_any_failed_call(site, trouble, mode, wait):
    """Worst case: the change comes right after the start of a call that will fail.

    Pushed lists count as known at once, so they have 2 s, the time within which a reported drain binds."""
    site.wire = with_wait(mode, wait)

    async def scene(site):
        set_up_failures(site, trouble, MANY_FAILURES)
        node = await site.start()
        known_at = await wait_until_known(node)
        assert known_at - site.back < (6 if mode == "ask" else 2)

    play(site, scene)


@pytest.mark.parametrize("wait, least", [(10, 10), (3600, 60), (0.001, 1), (0, 1), (ABSENT, 20)])
@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_watch_silent_from_the_first_second_is_told_2_s_after_its_wait(site, mode, wait, least):
    site.wire = with_wait(mode, wait)

    async def scene(site):
        set_up_failures(site, "silent", 1)
        answer = site.platform.answer
        site.platform.answer = lambda first, *rest: (
            answer(first, *rest) if len(site.platform.got) > 1 else http(200, listing([], revision=1))
        )
        node = await site.start()
        known_at = await wait_until_known(node)
        (_, confirming), (watched_at, watch) = site.platform.got[:2]
        assert confirming == "/catalog/members?index=1&wait=1"
        assert watch == f"/catalog/members?index=1&wait={least * 1000}"
        assert least < known_at - watched_at < least + 2

    play(site, scene)


@pytest.mark.parametrize("wait", [10, 0.001, 0])
def test_the_list_is_not_asked_for_without_end_where_the_settings_name_no_time(site, wait):
    site.wire = with_wait("push", wait)

    def answer(first, *rest):
        async def waits(stream):
            await trio.sleep(int(first.split("wait=")[1].split()[0]) / 1000)
            await stream.send_all(http(200, listing([], revision=1)))

        return waits

    async def scene(site):
        site.platform.answer = answer
        await site.start()
        await trio.sleep(10.5)
        asked = [at for at, _ in site.platform.got]
        assert len(asked) <= 12  # the first call confirms the list, without a wait
        assert all(
            after - before <= max(wait, 1) + 0.2 for before, after in zip(asked, asked[1:], strict=False)
        )  # which is one watch to the platform

    play(site, scene)


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("trouble", ["silent", "hang", "refuse", "cut", "dribbles"])
def test_after_sighup_the_new_address_is_heard_within_4_s(site, trouble, mode):
    """Also if the old one has failed for long, and the first call to the new one fails too."""
    site.wire = with_wait(mode, 10)

    async def scene(site):
        set_up_failures(site, trouble, 1 << 30)
        node = await site.start()
        while node.decision_loop.dispatcher.state.list_failures < MANY_FAILURES:
            await trio.sleep(0.1)
        site.platform = site.network.agent = await Agent().open(site.nursery)
        set_up_failures(site, trouble, 1)
        site.config()
        node.reload(site.reread)
        moved = trio.current_time()
        assert await wait_until_known(node) - moved < 4

    play(site, scene)


def test_sighup_while_a_connection_hangs_is_heard_at_once(site):
    async def scene(site):
        set_up_failures(site, "hang", 1 << 30)
        node = await site.start()
        await trio.sleep(0.5)  # the connection hangs for a second
        assert not node.decision_loop.dispatcher.state.list_failures
        site.platform = await Agent().open(site.nursery)  # the hook only affects the old address
        site.platform.answer = lambda *message: http(
            200, listing([member(1, site.far.address, "terminating")], revision=2)
        )
        site.config()
        node.reload(site.reread)
        moved = trio.current_time()
        assert await wait_until_known(node) - moved < 0.1

    play(site, scene)


def test_a_file_cut_at_sighup_is_read_again_and_said_once(site):
    async def scene(site):
        site.platform.answer = lambda *message: None
        node = await site.start()
        path = site.folder / "config.json"
        site.platform = await Agent().open(site.nursery)
        site.platform.answer = lambda *message: http(
            200, listing([member(1, site.far.address, "terminating")], revision=2)
        )
        site.config()
        text = path.read_text()
        path.write_text(text[:90])
        node.reload(site.reread)
        await trio.sleep(2)
        assert node.config.discovery != site.platform.address
        path.write_text(text)
        written = trio.current_time()
        assert await wait_until_known(node) - written < 4
        assert [text for event, text in site.lines if event == "config" and "one stays" in text][1:] == []

    play(site, scene)


# ---- lists that can be read in part


def test_what_cannot_be_read_is_left_out_said_once_and_asked_for_again(site):
    """The readable part applies at once; the whole list is asked for until all of it can be read."""
    unreadable = {"id": "s-2", "host_port": 7, "cell": "x"}
    draining = member(1, ("127.0.0.1", 9), "terminating")
    lists = [listing([draining, unreadable], 2), *[listing([draining, unreadable, 7], 2, True)] * 3]

    async def scene(site):
        def answer(first, *rest):
            if "wait=" in first and len(lists) < 4:
                return answer_after_wait(first)
            return http(
                200,
                lists.pop(0)
                if lists
                else listing([member(1, site.far.address), member(2, site.far.address)], 2, True),
            )

        site.platform.answer = answer
        node = await site.start()
        known_at = await wait_until_known(node)
        assert known_at < 0.2
        complete_at = await wait_until_known(node, "ready", "s-2")
        asked = [at for at, target in site.platform.got if "wait=" not in target]
        assert asked[0] - known_at < 6 and all(
            3 < after - before < 6 for before, after in zip(asked, asked[1:], strict=False)
        )
        assert len(asked) == 4 and complete_at - asked[-1] < 0.1
        logged = [text for event, text in site.lines if event == "list"]
        assert logged == ["entries cannot be read entries=1", "entries cannot be read entries=2"]

    play(site, scene)


def answer_after_wait(first):
    async def answer(stream):
        await trio.sleep(int(first.split("wait=")[1].split()[0]) / 1000)
        await stream.send_all(http(200, listing([], revision=2)))

    return answer


@pytest.mark.parametrize(
    "entry, state",
    [
        ({"id": "s-1", "cell": "x"}, "ready"),
        ({"id": "s-1", "cell": "x", "phase": "terminating"}, "draining"),
        ({"id": "s-1", "cell": 7, "phase": "in_service"}, "ready"),
        ({"id": "s-1", "cell": 7, "phase": ["x"]}, "draining"),
        ({"id": "s-1", "phase": "terminated"}, "gone"),
    ],
)
def test_of_an_entry_that_cannot_be_read_the_last_good_one_stays(site, entry, state):
    async def scene(site):
        known = trio.Event()

        async def answer(stream):
            await known.wait()
            await stream.send_all(http(200, listing([entry, member(2, site.far.address)], 2, True)))

        site.platform.answer = lambda *message: answer
        node = await site.start()
        await wait_until_known(node, "ready")
        first = node.decision_loop.dispatcher.state.endpoints["s-1"]
        known.set()
        await wait_until_known(node, "ready", "s-2")
        assert first.state == state
        assert state == "gone" or node.decision_loop.endpoints.addresses["s-1"] == site.far.address

    play(site, scene)
