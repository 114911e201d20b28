"""The wall clock is stepped between two processes: deadlines and windows stay spans of real time."""

import time

import pytest
import trio
from conftest import WIRE
from test_restart import PAY, opened, pushed_and_killed, sent, taken_and_killed

from juniperlanding.choice import SEC
from juniperlanding.ground.seams import system
from juniperlanding.net.protocol import GIVEN_UP
from juniperlanding.standins.peers import http

HOUR = 3600 * SEC
NAMES = ["a0", "a1", "a2"]
NOTICE_WITHIN = 0.35  # seconds after its TTL in which a notice is due


class SteppedWallClock:
    """`time.time_ns` of this process, ahead of the machine's by `ahead` nanoseconds."""

    def __init__(self, monkeypatch):
        self.ahead = 0
        machine_time = time.time_ns
        monkeypatch.setattr(time, "time_ns", lambda: machine_time() + self.ahead)

    def step(self, site, nanoseconds):
        """Step the clock between two processes; the next one reads it anew."""
        self.ahead += nanoseconds
        site.world = system()


@pytest.fixture
def wall_clock(monkeypatch):
    return SteppedWallClock(monkeypatch)


def outcomes(site):
    return {notice["message"]: notice["outcome"] for notice in site.platform.notices}


def test_a_wall_clock_stepped_forward_over_a_restart_ends_nothing_early(site, wall_clock):
    async def scene(site):
        await taken_and_killed(site, NAMES)
        wall_clock.step(site, HOUR)
        node = await site.start()
        await opened(site, node)
        await site.until(lambda: not node.ledger.owed)
        assert sorted(set(sent(site))) == NAMES and not site.platform.notices

    site.run(scene)


def test_a_wall_clock_stepped_back_over_a_restart_keeps_no_end_back(site, wall_clock):
    ttl = 1.2

    async def scene(site):
        for number, step in enumerate((-10 * SEC, -HOUR)):
            node, taken_at = await site.start(), trio.current_time()
            name = f"a{number}"
            assert await site.submit(name, "news", dest=8, ttl=int(ttl * 1000)) == 202
            site.kill()
            wall_clock.step(site, step)
            node = await site.start()
            with trio.move_on_after(taken_at + ttl + NOTICE_WITHIN - trio.current_time()):
                await site.until(lambda name=name: name in outcomes(site))
            assert name in outcomes(site), f"no end {ttl + NOTICE_WITHIN} s after a step of {step / SEC} s"
            await site.until(lambda node=node: not node.ledger.owed)
            site.kill()

    site.run(scene)


def test_a_window_for_repeats_is_a_span_of_real_time_over_a_stepped_restart(site, wall_clock):
    """It may still be repeated once within the window, wherever the wall clock stands."""
    topics = [
        topic | {"repeat_window_ns": SEC} if topic is PAY else topic for topic in WIRE["request_classes"]
    ]
    site.wire = WIRE | {"request_classes": topics}

    async def scene(site):
        for name, step in (("a0", HOUR), ("a1", -HOUR)):
            site.far.answer = lambda *message: None
            node = await site.start()
            assert await site.submit(name, "pay") == 202
            await site.until(lambda name=name: name in sent(site))
            site.kill()
            site.far.answer = lambda *message: http(200)
            wall_clock.step(site, step)
            node = await site.start()
            await site.until(lambda node=node: not node.ledger.owed)
            assert sent(site).count(name) == 2, f"{name} was not repeated after a step of {step / SEC} s"
            assert not site.platform.notices
            site.kill()

    site.run(scene)


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_a_window_that_is_over_stays_over_after_a_step(site, wall_clock, step):
    topics = [
        topic | {"repeat_window_ns": SEC // 2} if topic is PAY else topic for topic in WIRE["request_classes"]
    ]
    site.wire = WIRE | {"request_classes": topics}

    async def scene(site):
        await pushed_and_killed(site, "a0")
        site.far.answer = lambda *message: http(200)
        await trio.sleep(0.6)
        wall_clock.step(site, step)
        node = await site.start()
        await site.until(lambda: not node.ledger.owed)
        assert sent(site) == ["a0"] and outcomes(site) == {"a0": GIVEN_UP}

    site.run(scene, lambda *message: None)
