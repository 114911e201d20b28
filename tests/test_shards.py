"""Shards: what the folder means whatever a rewrite meets, and when one is begun."""

import errno
import os
from dataclasses import replace

import pytest

from juniperlanding.choice import SEC
from juniperlanding.cli import main
from juniperlanding.emulator.disk import Disk, Killed, Mount, Plan
from juniperlanding.emulator.growth import Score, run
from juniperlanding.net import config
from juniperlanding.net.ledger import Ledger, LedgerState
from juniperlanding.net.ledger import Split as StillSplit
from juniperlanding.shards.books import PLACES, Damaged, NoRoom, Sharded, held, place, ranges
from juniperlanding.shards.growth import Growth
from juniperlanding.shards.plan import LONG, Bounds, Foretold, Merge, Planner, Split, View, wasteful

FOLDER, ROOM = "/state", 400_000


def told(books):
    """id: what is owed of it, in a form that can be compared."""
    return {
        one.id: (one.destination, one.pushes, tuple(sorted(one.possible_runs)), one.notice)
        for one in books.notifications.values()
    }


class Work:
    """One process's ledger under a rewrite with traffic in between; `sure` is what the disk must mean, `may`
    what it may mean instead for what was being written."""

    def __init__(self, plan=None):
        self.disk = Disk(plan)
        self.sure, self.may, self.over, self.given_up = {}, {}, set(), 0

    def open(self):
        self.ledger = Sharded(FOLDER, ROOM, Mount(self.disk))
        return self.ledger

    def flush(self):
        self.may = told(self.ledger)
        for left in (True, True, False):
            try:
                self.ledger.flush()
                break
            except OSError:
                assert left, "an error that went away is still there"
        self.sure = self.may

    def begin(self, old, edges):
        """The whole rewrite with a round of traffic between its steps; an error gives it up, no more."""
        ledger = self.ledger
        try:
            rewrite, n = ledger.begin(old, edges), ledger.last * 1000
            done = False
            while not done and ledger.rewrite:
                done = ledger.copy(most=700)
                n += 1
                ledger.add_accepted(f"n{n}", "news", n, 9 * SEC, "", b"hi")
                ledger.append_record("p", f"n{n - 3}", 0, 1, 5)
                if f"n{n - 5}" in ledger.notifications:
                    ledger.append_record("o" if n % 2 else "e", f"n{n - 5}", *(("done", 0) if n % 2 else ()))
                    self.over |= {f"n{n - 5}"} - ledger.notifications.keys()
                self.flush()
            if ledger.rewrite is rewrite:
                ledger.secure(rewrite)
                ledger.commit()
                ledger.sweep()
        except OSError:
            ledger.give_up("failed")

    def play(self):
        ledger = self.open()
        for n in range(24):
            ledger.add_accepted(f"a{n}", "news", n, 9 * SEC, "", b"x" * 40)
            if n % 2:
                ledger.append_record("p", f"a{n}", 0, 1, 7)  # may have run
        self.flush()
        for n in range(0, 24, 6):
            ledger.append_record("e", f"a{n}")
            self.over.add(f"a{n}")
        self.flush()
        self.begin(ledger.shards[:1], [0, 30_000, PLACES] if len(ledger.shards) == 1 else [0, 30_000])
        self.begin(ledger.shards[-1:], [ledger.shards[-1].low, PLACES])
        self.begin(ledger.shards[:], [0, PLACES])
        self.begin(ledger.shards[:1], [0, 40_000, PLACES] if len(ledger.shards) == 1 else [0, 30_000])
        ledger.close()


def calls():
    work = Work()
    work.play()
    return work.disk.calls


CALLS = calls()


def looked_at(work):
    """A start after the end: the folder means the old or the new set, everything once, nothing else there."""
    mount = Mount(work.disk)
    work.disk.plan.at.clear()
    found = held(mount, FOLDER)
    for key in {one for books in found for one in books.notifications}:
        assert sum(key in books.notifications for books in found) == 1, key
    seen = {key: value for books in found for key, value in told(books).items()}
    for key in work.sure.keys() | work.may.keys() | seen.keys():
        assert seen.get(key) in (work.sure.get(key), work.may.get(key)), key
    for (low, high, _), books in zip(ranges(mount, FOLDER), found, strict=True):
        assert all(low <= place(one.destination) < high for one in books.notifications.values())
    again = work.open()
    assert told(again) == seen and again.pending_size == sum(one.size for one in again.notifications.values())
    over = {one for books in found for one in books.ended} - seen.keys()
    assert (
        again.ended.keys() == over
        if again.ended_size < again.max_ended_size // 2
        else again.ended.keys() <= over
    )
    named = {name for *_, name in ranges(Mount(work.disk), FOLDER)}
    assert {path.rpartition("/")[2] for path in work.disk.files} - {"shards"} == named
    return again


def test_the_work_splits_merges_and_compacts():
    work = Work()
    work.play()
    assert len(looked_at(work).shards) == 2 and CALLS > 90
    assert work.may == told(work.ledger)


@pytest.mark.parametrize("fault", ["kill", "kill_after"])
def test_killed_at_any_call_the_folder_means_the_old_set_or_the_new(fault):
    for call in range(1, CALLS + 1):
        work = Work(Plan(at={call: fault}))
        killed = False
        try:
            work.play()
        except Killed:
            killed = True
        assert killed or fault == "kill_after"  # which a read has not
        over = work.over - work.may.keys() - work.sure.keys()
        assert over <= looked_at(work).ended.keys(), call


@pytest.mark.parametrize("fault", ["short", errno.ENOSPC, errno.EIO])
def test_short_or_failed_at_any_call_it_goes_on_and_owes_the_same(fault):
    for call in range(1, CALLS + 1):
        work = Work(Plan(at={call: fault}))
        try:
            work.play()
        except OSError:  # at the start, or at the very end: as with one file, and the process ends
            if not work.sure:
                continue
        again = looked_at(work)
        assert work.may == told(again) and work.over <= again.ended.keys() | again.notifications.keys(), call


@pytest.mark.parametrize("first", ["kill_after", errno.EIO])
def test_two_faults_in_one_rewrite(first):
    for call in range(8, CALLS - 4, 3):
        work = Work(Plan(at={call: first, call + 2: errno.ENOSPC, call + 5: "kill"}))
        try:
            work.play()
        except (Killed, OSError):
            pass
        looked_at(work)


def test_a_full_disk_gives_the_copy_up_and_never_the_round():
    work = Work()
    ledger = work.open()
    for n in range(24):
        ledger.add_accepted(f"a{n}", "news", n, 9 * SEC, "", b"x" * 900)
    work.flush()
    work.disk.plan.capacity = work.disk.used() + 4096
    work.begin(ledger.shards[:], [0, 30_000, PLACES])
    assert ledger.given_up == 1 and len(ledger.shards) == 1 and not ledger.has_partial_record
    ledger.add_accepted("b", "news", 1, 9 * SEC, "", b"x" * 1500)  # the room of the copy is free again
    work.flush()
    work.disk.plan.capacity = None
    looked_at(work)


def test_the_disk_is_never_used_beyond_its_limit_copy_and_blocks_included():
    work, most = Work(), 0
    ledger = work.open()
    for n in range(3000):
        if ledger.has_room(300):
            ledger.add_accepted(f"c{n}", "news", n, 9 * SEC, "", b"x" * 300)
        if n > 60 and n % 3:
            ledger.append_record("e", next(iter(ledger.notifications)))
        if n % 40 == 20 and not ledger.rewrite:
            old = ledger.shards[n % len(ledger.shards) :][:1]
            middle = [] if old[0].high - old[0].low < 9000 else [(old[0].low + old[0].high) // 2]
            try:
                ledger.begin(old, [old[0].low, *middle, old[0].high])
            except OSError:
                pass
        work.flush()
        most = max(most, work.disk.used())
        if rewrite := ledger.rewrite:
            try:
                if ledger.copy(most=4000):
                    ledger.secure(rewrite)
                    most = max(most, work.disk.used())
                    ledger.commit()
                    ledger.sweep()
            except OSError:
                pass
            most = max(most, work.disk.used())
    assert ROOM // 2 < most <= ROOM and len(ledger.shards) > 4
    looked_at(work)


def test_one_file_again_is_a_ledger_that_is_read_without_shards(tmp_path):
    ledger = Sharded(str(tmp_path), ROOM)
    for n in range(50):
        ledger.add_accepted(f"a{n}", "news", n, 9 * SEC, "k", b"x")
    ledger.flush()
    for edges in ([0, 1000, PLACES], [0, PLACES]):
        rewrite = ledger.begin(ledger.shards[:], edges)
        while not ledger.copy():
            pass
        ledger.secure(rewrite)
        ledger.commit()
        ledger.sweep()
        assert ("shards" in os.listdir(tmp_path)) == (len(edges) == 3)
    ledger.close()
    assert os.listdir(tmp_path) == ["ledger"] and len(Ledger(str(tmp_path), ROOM).notifications) == 50


def test_what_was_ended_in_one_shard_and_taken_on_anew_in_another_is_owed():
    work = Work()
    ledger = work.open()
    low, high = sorted((7, 8), key=place)
    ledger.begin(ledger.shards[:], [0, place(high), PLACES])
    ledger.copy()
    ledger.secure(ledger.rewrite)
    ledger.commit()
    for destination in (high, low):  # the end stands in the shard that is read last
        ledger.add_accepted("a", "news", destination, 9 * SEC, "", b"")
        if destination == high:
            ledger.append_record("e", "a")
            ledger.forget("a")
    ledger.flush()
    assert work.open().notifications["a"].destination == low


def test_off_with_a_manifest_it_does_not_start_and_owed_still_lists_all(tmp_path, site, capsys):
    folder = site.folder / "state"
    folder.mkdir()
    ledger = Sharded(str(folder), ROOM)
    for n in range(9):
        ledger.add_accepted(f"a{n}", "news", n, 9 * SEC, "k", b"x")
    ledger.flush()
    rewrite = ledger.begin(ledger.shards[:], [0, 30_000, PLACES])
    ledger.copy()
    ledger.secure(rewrite)
    ledger.commit()
    ledger.sweep()
    ledger.close()

    async def scene(site):
        with pytest.raises(StillSplit) as refused:
            await site.start()
        assert refused.value.code == "ledger-split" and "[shards]" in refused.value.display_lines[0]

    site.run(scene)
    assert {"shards", "ledger.2", "ledger.3"} <= {*os.listdir(folder)}
    assert main(["owed", str(folder)]) == 0 and capsys.readouterr().out.count("dest=") == 9


@pytest.mark.parametrize("spoil", [lambda raw: raw[:-9], lambda raw: b"0" * 8 + raw[8:], lambda raw: b""])
def test_a_spoilt_manifest_is_refused_with_a_remedy_and_nothing_is_changed(spoil):
    work = Work()
    work.play()
    work.disk.files[f"{FOLDER}/shards"] = bytearray(spoil(bytes(work.disk.files[f"{FOLDER}/shards"])))
    before = {path: bytes(content) for path, content in work.disk.files.items()}
    with pytest.raises(Damaged) as refused:
        work.open()
    assert refused.value.code == "shards-damaged" and "ledger.N" in refused.value.display_lines[0]
    assert before == work.disk.files


def test_another_process_reads_it_all_and_changes_nothing():
    work = Work()
    work.play()
    calls = work.disk.calls
    again = Sharded(FOLDER, ROOM, Mount(work.disk), inherited=True)
    assert told(again) == work.sure and work.disk.calls - calls <= 8
    again.add_accepted("z", "news", 3, 9 * SEC, "", b"")
    again.flush()
    work.may = told(again)
    assert (
        "z" in looked_at(work).notifications
        and LedgerState(Mount(work.disk)).load(f"{FOLDER}/ledger").notifications == {}
    )


def split(work, edges=(0, 30_000, PLACES), owed=24, size=40):
    """An open ledger with something owed and a rewrite begun."""
    ledger = work.open()
    for n in range(owed):
        ledger.add_accepted(f"a{n}", "news", n, 9 * SEC, "", b"x" * size)
    work.flush()
    return ledger, ledger.begin(ledger.shards[:], list(edges))


def fails(mount, name, times=1):
    """The mount's method of that name fails so often, or always."""
    whole, left = getattr(mount, name), [times]

    def failing(*fields):
        left[0] -= 1
        if left[0] >= 0:
            raise OSError(errno.EIO, "input/output error")
        return whole(*fields)

    setattr(mount, name, failing)


def test_nothing_is_in_force_before_it_is_synced():
    work, synced = Work(), []
    ledger, rewrite = split(work)
    sync, rename = ledger.files.sync, ledger.files.rename
    ledger.files.sync = lambda file: (synced.append(file), sync(file))
    ledger.files.rename = lambda *paths: (rename(*paths), synced.append(paths[1]))
    while not ledger.copy():
        pass
    ledger.secure(rewrite)
    ledger.commit()
    assert synced[:2] == [shard.file for shard in rewrite.new] and len(synced) == 4
    assert synced[3] == f"{FOLDER}/shards"


def test_nothing_is_copied_while_something_is_unwritten():
    ledger, rewrite = split(Work())
    ledger.append_record("p", "a3", 0, 1, 5)
    assert not ledger.copy() and not rewrite.copied and not rewrite.size


def test_of_a_round_over_two_files_all_is_written_or_nothing():
    work = Work()
    ledger, rewrite = split(work)
    while not ledger.copy():
        pass
    ledger.secure(rewrite)
    ledger.commit()
    for n in range(30, 40):
        ledger.add_accepted(f"b{n}", "news", n, 9 * SEC, "", b"")
    whole = ledger.shards[1].append
    ledger.shards[1].append = lambda data: fails(ledger.files, "write") or whole(data)
    with pytest.raises(OSError):
        ledger.flush()
    assert not ledger.has_partial_record and looked_at(work)


def test_the_files_in_force_go_before_the_copy():
    work = Work()
    ledger, _ = split(work, size=900)
    ledger.copy(most=9000)
    work.disk.plan.capacity = work.disk.used()
    ledger.add_accepted("b", "news", 1, 9 * SEC, "", b"x" * 3000)
    ledger.flush()
    assert not ledger.rewrite and ledger.given_up == 1 and not ledger.unwritten


def test_a_copy_that_has_no_room_is_not_begun_and_one_that_cannot_be_unlinked_takes_none():
    work = Work()
    ledger, _ = split(work, size=900)
    while not ledger.copy():
        pass
    used = ledger.used() - sum(shard.file_size for shard in ledger.rewrite.new)
    fails(ledger.files, "unlink", 99)
    ledger.give_up("")
    assert work.disk.used() <= used + 512
    while ledger.has_room(9000):
        ledger.add_accepted(f"c{len(ledger.notifications)}", "news", 7, 9 * SEC, "", b"x" * 9000)
    ledger.flush()
    ledger.most = ledger.used() * 3 // 2
    with pytest.raises(NoRoom):
        ledger.begin(ledger.shards[:], [0, 9, PLACES])
    assert not ledger.rewrite


# ---- when a split is begun


def grown(series, ended=lambda come: 0, live=0):
    """A `Growth` that was told what came in each second."""
    growth = Growth()
    for come in series:
        gone = ended(live)
        live += come - gone
        growth.sample(come, gone, live)
    return growth


def view(growth, low=0, high=PLACES, sample=((100, 50), (40_000, 60))):
    return View(low, high, growth, lambda: list(sample))


def planner(most=100_000, least=20_000, count=8):
    return Planner(Bounds(most, least, count))


def test_a_split_is_due_so_far_ahead_as_it_takes_and_not_before():
    plan = planner()
    for seconds, due in ((60, False), (85, False), (95, True)):
        growth = grown([1000] * seconds)
        assert (plan.plan([view(growth)], 0) is not None) == due
    for _ in range(4):
        plan.done(100_000, 16 * SEC, 0)
    found = plan.plan([view(grown([1000] * 85))], 0)
    assert isinstance(found, Split) and 11 < found.left < 13 and found.cut == 40_000


def test_growth_ends_where_what_comes_and_what_ends_are_even():
    growth = grown([9000] * 40, lambda live: live // 10)
    assert growth.live < 90_000 and growth.left(100_000) is None and growth.left(growth.live + 50) is not None
    assert grown([9000] * 8).left(100_000) < 4
    assert planner().plan([view(growth)], 0) is None


def test_halves_go_on_with_what_was_learned_of_the_whole():
    whole = grown([1000] * 40)
    half = whole.share(0.5)
    assert half.left(50_000) == pytest.approx(whole.left(100_000), 0.02)
    assert half.come.recent[-1] == 500 and half.come.mean == 500
    half.sample(500, 0, half.live + 500)
    assert half.left(50_000) < whole.left(100_000)


def test_many_that_meet_their_bound_together_are_begun_one_lead_earlier_each():
    growth = [grown([1000] * 91) for _ in range(4)]
    assert planner().plan([view(growth[0])], 0) is None
    views = [view(one, at * 10, at * 10 + 10) for at, one in enumerate(growth)]
    assert planner().plan(views, 0).shard is views[0]


@pytest.mark.parametrize(
    "sample, count, why",
    [(((7, 95), (9, 5)), 8, "destination"), (((7, 5),), 8, "destination"), (((7, 50), (9, 50)), 1, "count")],
)
def test_where_no_split_helps_that_is_foretold_and_another_shard_is_still_split(sample, count, why):
    one, other = view(grown([1000] * 99), 0, 10, sample), view(grown([1000] * 98), 10, PLACES)
    found = planner(count=count).plan([one], 0)
    assert isinstance(found, Foretold) and (found.why, found.shard) == (why, one) and found.left < 2
    assert why == "count" or planner().plan([one, other], 0).shard is other


def test_two_small_neighbours_are_merged_after_long_and_not_if_one_grows_meanwhile():
    plan, small = planner(), lambda: view(grown([100] * 30, lambda live: live // 2))
    shards = [small(), small()]
    shards[1].low, shards[0].high = 500, 500
    assert plan.plan(shards, 0) is None and plan.plan(shards, LONG - 1) is None
    assert isinstance(plan.plan(shards, LONG), Merge)
    shards[0].growth.live = 30_000
    assert plan.plan(shards, LONG + 1) is None
    shards[0].growth.live = 100
    assert plan.plan(shards, LONG + 2) is None


def test_one_that_was_given_up_is_tried_again_after_a_growing_pause():
    plan, one = planner(), view(grown([1000] * 99))
    for pause in (1, 2, 4):
        plan.failed(0)
        assert not isinstance(plan.plan([one], pause * SEC - 1), Split)
        assert isinstance(plan.plan([one], pause * SEC), Split)


def test_the_file_that_is_mostly_of_what_is_over_is_written_anew():
    assert wasteful([(300, 290), (400, 100)], 1000) == 1
    assert wasteful([(300, 290), (100, 10)], 1000) is None and wasteful([(500, 450)], 1000) is None


def test_emulated_days_are_split_in_time():
    total = Score()
    for score in run(3, dispatchers=2, ways=("forecast",)).values():
        total.add(score)
    assert total.true > 15 and total.in_time > 0.9 and total.wrong < 0.15, total
    late = run(3, dispatchers=2, days=("trend", "doubling"), ways=("bound",))
    assert sum(score.true for score in late.values()) == 0


# ---- in a dispatcher


def test_a_dispatcher_splits_beside_its_flow_and_starts_again_from_its_shards(site):
    async def scene(site):
        whole = site.config
        site.config = lambda: replace(whole(), shards=config.Shards(20_000, None, 8))
        node = await site.start()
        part = node.parts[-1]
        part.planner.plan = lambda shards, now: (
            Split(shards[0], 30_000, 0.0)
            if len(shards) == 1 and len(node.ledger.notifications) > 10
            else None
        )
        for n in range(20):
            assert await site.submit(f"a{n}") == 202
        await site.until(lambda: len(node.ledger.shards) == 2)
        assert part.growth.keys() == {*node.ledger.shards}
        assert all(one.sampled for one in part.growth.values())
        assert await site.submit("b") == 202
        assert part.told()[0].startswith("0-30000 ledger.") and part.told()[-2].startswith("last split")
        assert part.gauges()["shards"] == 2 and any("split done" in text for _, text in site.lines)
        assert len(held(node.ledger.files, node.config.state)) == 2
        site.kill()
        again = await site.start()
        assert again.ledger.notifications.keys() == {"b", *(f"a{n}" for n in range(20))}
        assert len(again.ledger.shards) == 2

    site.run(scene, lambda *message: None)


def test_a_rewrite_is_given_up_before_the_folder_goes_to_another_process():
    work = Work()
    ledger, _ = split(work)
    ledger.copy(most=500)
    ledger.close()
    assert [*work.disk.files] == [f"{FOLDER}/ledger"]
    assert told(Sharded(FOLDER, ROOM, Mount(work.disk), inherited=True)) == work.sure
