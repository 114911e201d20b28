"""Wall clock steps between two processes: deadlines and windows remain spans of real time."""

import time

import pytest
import trio
from conftest import WIRE, Bed
from test_restart import PAY, opened, pushed_and_killed, sent, taken_and_killed
from test_upgrade import first as first_process
from test_upgrade import replace as replaced

from juniperlanding.choice import SEC
from juniperlanding.ground.clock import Clock
from juniperlanding.ground.seams import real_system
from juniperlanding.net.ledger import Ledger, line
from juniperlanding.net.protocol import GIVEN_UP
from juniperlanding.shards.books import Sharded
from juniperlanding.standins.peers import http

HOUR = 3600 * SEC
NAMES = ["a0", "a1", "a2"]
NOTICE_WITHIN = 0.35  # seconds after the TTL within which the outcome notice has to arrive


class SteppedWallClock:
    """Replaces `time.time_ns` in this process; it is `ahead` nanoseconds ahead of the machine's."""

    def __init__(self, monkeypatch):
        self.ahead = 0
        machine_time = time.time_ns
        monkeypatch.setattr(time, "time_ns", lambda: machine_time() + self.ahead)

    def step(self, site, nanoseconds):
        """Step the clock between two processes; the next process reads it again."""
        self.ahead += nanoseconds
        site.system = real_system()


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
        await site.until(lambda: not node.ledger.notifications)
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
            await site.until(lambda node=node: not node.ledger.notifications)
            site.kill()

    site.run(scene)


def test_a_window_for_repeats_is_a_span_of_real_time_over_a_stepped_restart(site, wall_clock):
    """Within the window a notification may still be repeated once, whatever the wall clock shows."""
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
            await site.until(lambda node=node: not node.ledger.notifications)
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
        await site.until(lambda: not node.ledger.notifications)
        assert sent(site) == ["a0"] and outcomes(site) == {"a0": GIVEN_UP}

    site.run(scene, lambda *message: None)


# ---- the clock and the ledger, without a whole dispatcher


class Machine(Clock):
    """A clock whose boot identifier, steady clock and wall clock are set by the test."""

    def __init__(self, boot_id="boot 1", steady=0, wall=HOUR):
        self.boot_id, self.at, self.wall_at = boot_id, steady, wall
        self.epoch = self.wall() - self.steady()

    def steady(self):
        return self.at

    def wall(self):
        return self.wall_at


def write_ledger(folder, clock, ttl=20 * SEC):
    """Write a ledger in which `a` is pending without a push, `b` is pending after one, and `c` is over."""
    ledger = Ledger(folder, 1 << 20, clock=clock)
    for name in "abc":
        ledger.add_accepted(name, "news", 7, clock.now() + ttl, "", b"")
    ledger.append_record("p", "b", 0, 1, clock.now())
    ledger.append_record("e", "c")
    ledger.flush()
    ledger.close()


def test_the_next_process_goes_on_with_the_clock_of_the_file(tmp_path):
    write_ledger(tmp_path, Machine(steady=5 * SEC))
    clock = Machine(steady=8 * SEC, wall=9 * HOUR)
    ledger = Ledger(tmp_path, 1 << 20, clock=clock)
    left = {name: owed.ttl_at - clock.now() for name, owed in ledger.notifications.items()}
    assert left == {"a": 17 * SEC, "b": 17 * SEC}
    assert ledger.notifications["b"].possible_runs == {0: (1, clock.now() - 3 * SEC)}
    assert ledger.ended["c"].ttl_at - clock.now() == 17 * SEC


@pytest.mark.parametrize("wall", [0, HOUR, 9 * HOUR])
@pytest.mark.parametrize("boot_id, steady", [("boot 2", 8 * SEC), ("boot 1", SEC), ("", 8 * SEC)])
def test_after_the_machine_came_up_again_each_keeps_the_time_it_had_left(tmp_path, boot_id, steady, wall):
    """The same holds where a reboot cannot be detected.  A window for repeats counts as over then."""
    write_ledger(tmp_path, Machine(steady=5 * SEC))
    for _ in range(2):  # the second start must not move the times again
        clock = Machine(boot_id, steady, wall)
        ledger = Ledger(tmp_path, 1 << 20, clock=clock)
        assert {owed.ttl_at - clock.now() for owed in ledger.notifications.values()} == {20 * SEC}
        assert (
            ledger.notifications["b"].possible_runs == {0: (1, 1)}
            and ledger.ended["c"].ttl_at - clock.now() == 20 * SEC
        )
        ledger.close()


def test_what_is_owed_over_machine_starts_is_not_kept_for_ever(tmp_path):
    """Each start subtracts the time that passed until the last clock reading in the ledger."""
    write_ledger(tmp_path, Machine())
    for start in range(2, 6):
        clock = Machine(f"boot {start}")
        ledger = Ledger(tmp_path, 1 << 20, clock=clock)
        clock.at += 4 * SEC
        ledger.add_accepted(f"d{start}", "news", 7, clock.now() + SEC, "", b"")
        ledger.flush()
        ledger.close()
    clock = Machine("boot 6")
    assert Ledger(tmp_path, 1 << 20, clock=clock).notifications["a"].ttl_at - clock.now() == 4 * SEC


def test_a_ledger_of_an_earlier_version_goes_by_the_wall_clock(tmp_path):
    write_ledger(tmp_path, MachineWithoutStamp(steady=5 * SEC))
    before = (tmp_path / "ledger").read_bytes()
    assert b'["c"' not in before
    clock = Machine(steady=8 * SEC, wall=HOUR + 3 * SEC)
    ledger = Ledger(tmp_path, 1 << 20, clock=clock)
    assert {owed.ttl_at - clock.now() for owed in ledger.notifications.values()} == {17 * SEC}


class MachineWithoutStamp(Machine):
    """The clock of a version that writes no clock readings to the ledger."""

    def stamp(self):
        return None


def test_the_files_of_shards_carry_the_clock_too(tmp_path):
    clock = Machine(steady=5 * SEC)
    ledger = Sharded(str(tmp_path), 1 << 20, clock=clock)
    ledger.add_accepted("a", "news", 7, clock.now() + 20 * SEC, "", b"")
    ledger.flush()
    ledger.close()
    for later_clock, seconds_left in ((Machine(steady=8 * SEC, wall=0), 17), (Machine("boot 2", wall=0), 17)):
        reopened = Sharded(str(tmp_path), 1 << 20, clock=later_clock)
        assert reopened.notifications["a"].ttl_at - later_clock.now() == seconds_left * SEC
        reopened.close()


def test_turns_after_an_outage_are_of_the_time_that_the_machines_agree_on():
    """A dispatcher that started with a wall clock one hour off, corrected since, probes at the same time."""
    probe_times = []
    for ahead in (0, HOUR + SEC // 7):
        bed = Bed()
        bed.dispatcher.state.rank, bed.dispatcher.state.dispatchers = 3, 200
        bed.dispatcher.now -= ahead
        bed.dispatcher.wall_clock_ahead = ahead
        endpoint = bed.endpoint()
        endpoint.ejected, endpoint.failure_run = True, 9
        bed.dispatcher.health.schedule_probe(endpoint)
        probe_times.append(endpoint.probe_at + ahead)
    assert probe_times[0] == probe_times[1]


def test_a_step_of_the_wall_clock_is_told_to_the_module(site, wall_clock):
    async def scene(site):
        node = await site.start()
        await site.submit("a0")
        assert abs(node.decision_loop.dispatcher.wall_clock_ahead) < SEC
        wall_clock.ahead += HOUR
        await site.submit("a1")
        assert abs(node.decision_loop.dispatcher.wall_clock_ahead - HOUR) < SEC

    site.run(scene)


def test_a_file_that_two_clocks_wrote_is_read_by_both(tmp_path):
    """The second process could not rewrite the ledger and appended to the records of the first one."""
    write_ledger(tmp_path, Machine(steady=5 * SEC))
    second = Machine("boot 2", steady=SEC, wall=0)
    with (tmp_path / "ledger").open("ab") as file:
        file.write(line(["c", second.boot_id, second.epoch, second.now()]))
        file.write(line(["t", "e", "news", 7, second.now() + 9 * SEC, "", ""]))
    third = Machine("boot 2", steady=3 * SEC, wall=HOUR)
    pending = Ledger(tmp_path, 1 << 20, clock=third).notifications
    assert {name: ntf.ttl_at - third.now() for name, ntf in pending.items()} == {
        "a": 18 * SEC,
        "b": 18 * SEC,
        "e": 7 * SEC,
    }


def test_a_process_that_takes_over_goes_on_with_the_clock_though_nothing_stands_on_file(site, wall_clock):
    """The state of the decision module is handed over in times of the first process's clock."""

    async def scene(site):
        old = await first_process(site)
        wall_clock.step(site, HOUR)
        new = await replaced(site)
        assert new.system.clock is not old.system.clock
        assert abs(new.decision_loop.now() - old.decision_loop.now()) < SEC

    site.run(scene)
