"""Shards: what the folder means whatever a rewrite meets, and when one is begun."""

import errno
import os

import pytest

from juniperlanding.choice import SEC
from juniperlanding.cli import main
from juniperlanding.emulator.disk import Disk, Killed, Mount, Plan
from juniperlanding.net.ledger import Books, Ledger, Split
from juniperlanding.shards.books import PLACES, Damaged, NoRoom, Sharded, held, place, ranges

FOLDER, ROOM = "/state", 400_000


def told(books):
    """id: what is owed of it, in a form that can be compared."""
    return {one.id: (one.destination, one.pushes, tuple(sorted(one.ran)), one.notice)
            for one in books.owed.values()}


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
                ledger.take(f"n{n}", "news", n, 9 * SEC, "", b"hi")
                ledger.write("p", f"n{n - 3}", 0, 1, 5)
                if f"n{n - 5}" in ledger.owed:
                    ledger.write("o" if n % 2 else "e", f"n{n - 5}", *(("done", 0) if n % 2 else ()))
                    self.over |= {f"n{n - 5}"} - ledger.owed.keys()
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
            ledger.take(f"a{n}", "news", n, 9 * SEC, "", b"x" * 40)
            if n % 2:
                ledger.write("p", f"a{n}", 0, 1, 7)  # may have run
        self.flush()
        for n in range(0, 24, 6):
            ledger.write("e", f"a{n}")
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
    for key in {one for books in found for one in books.owed}:
        assert sum(key in books.owed for books in found) == 1, key
    seen = {key: value for books in found for key, value in told(books).items()}
    for key in work.sure.keys() | work.may.keys() | seen.keys():
        assert seen.get(key) in (work.sure.get(key), work.may.get(key)), key
    for (low, high, _), books in zip(ranges(mount, FOLDER), found, strict=True):
        assert all(low <= place(one.destination) < high for one in books.owed.values())
    again = work.open()
    assert told(again) == seen and again.owed_size == sum(one.size for one in again.owed.values())
    over = {one for books in found for one in books.over} - seen.keys()
    assert again.over.keys() == over if again.over_size < again.most_over // 2 else again.over.keys() <= over
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
        assert over <= looked_at(work).over.keys(), call


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
        assert work.may == told(again) and work.over <= again.over.keys() | again.owed.keys(), call


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
        ledger.take(f"a{n}", "news", n, 9 * SEC, "", b"x" * 900)
    work.flush()
    work.disk.plan.capacity = work.disk.used() + 4096
    work.begin(ledger.shards[:], [0, 30_000, PLACES])
    assert ledger.given_up == 1 and len(ledger.shards) == 1 and not ledger.torn
    ledger.take("b", "news", 1, 9 * SEC, "", b"x" * 1500)  # the room of the copy is free again
    work.flush()
    work.disk.plan.capacity = None
    looked_at(work)


def test_the_disk_is_never_used_beyond_its_limit_copy_and_blocks_included():
    work, most = Work(), 0
    ledger = work.open()
    for n in range(3000):
        if ledger.room(300):
            ledger.take(f"c{n}", "news", n, 9 * SEC, "", b"x" * 300)
        if n > 60 and n % 3:
            ledger.write("e", next(iter(ledger.owed)))
        if n % 40 == 20 and not ledger.rewrite:
            old = ledger.shards[n % len(ledger.shards):][:1]
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
        ledger.take(f"a{n}", "news", n, 9 * SEC, "k", b"x")
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
    assert os.listdir(tmp_path) == ["ledger"] and len(Ledger(str(tmp_path), ROOM).owed) == 50


def test_what_was_ended_in_one_shard_and_taken_on_anew_in_another_is_owed():
    work = Work()
    ledger = work.open()
    low, high = sorted((7, 8), key=place)
    ledger.begin(ledger.shards[:], [0, place(high), PLACES])
    ledger.copy()
    ledger.secure(ledger.rewrite)
    ledger.commit()
    for destination in (high, low):  # the end stands in the shard that is read last
        ledger.take("a", "news", destination, 9 * SEC, "", b"")
        if destination == high:
            ledger.write("e", "a")
            ledger.forget("a")
    ledger.flush()
    assert work.open().owed["a"].destination == low


def test_off_with_a_manifest_it_does_not_start_and_owed_still_lists_all(tmp_path, site, capsys):
    folder = site.folder / "state"
    folder.mkdir()
    ledger = Sharded(str(folder), ROOM)
    for n in range(9):
        ledger.take(f"a{n}", "news", n, 9 * SEC, "k", b"x")
    ledger.flush()
    rewrite = ledger.begin(ledger.shards[:], [0, 30_000, PLACES])
    ledger.copy()
    ledger.secure(rewrite)
    ledger.commit()
    ledger.sweep()
    ledger.close()

    async def scene(site):
        with pytest.raises(Split) as refused:
            await site.start()
        assert refused.value.code == "ledger-split" and "[shards]" in refused.value.lines[0]
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
    assert refused.value.code == "shards-damaged" and "ledger.N" in refused.value.lines[0]
    assert before == work.disk.files


def test_another_process_reads_it_all_and_changes_nothing():
    work = Work()
    work.play()
    calls = work.disk.calls
    again = Sharded(FOLDER, ROOM, Mount(work.disk), inherited=True)
    assert told(again) == work.sure and work.disk.calls - calls <= 8
    again.take("z", "news", 3, 9 * SEC, "", b"")
    again.flush()
    work.may = told(again)
    assert "z" in looked_at(work).owed and Books(Mount(work.disk)).load(f"{FOLDER}/ledger").owed == {}


def split(work, edges=(0, 30_000, PLACES), owed=24, size=40):
    """An open ledger with something owed and a rewrite begun."""
    ledger = work.open()
    for n in range(owed):
        ledger.take(f"a{n}", "news", n, 9 * SEC, "", b"x" * size)
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
    ledger.write("p", "a3", 0, 1, 5)
    assert not ledger.copy() and not rewrite.copied and not rewrite.size


def test_of_a_round_over_two_files_all_is_written_or_nothing():
    work = Work()
    ledger, rewrite = split(work)
    while not ledger.copy():
        pass
    ledger.secure(rewrite)
    ledger.commit()
    for n in range(30, 40):
        ledger.take(f"b{n}", "news", n, 9 * SEC, "", b"")
    whole = ledger.shards[1].added
    ledger.shards[1].added = lambda data: fails(ledger.files, "write") or whole(data)
    with pytest.raises(OSError):
        ledger.flush()
    assert not ledger.torn and looked_at(work)


def test_the_files_in_force_go_before_the_copy():
    work = Work()
    ledger, _ = split(work, size=900)
    ledger.copy(most=9000)
    work.disk.plan.capacity = work.disk.used()
    ledger.take("b", "news", 1, 9 * SEC, "", b"x" * 3000)
    ledger.flush()
    assert not ledger.rewrite and ledger.given_up == 1 and not ledger.pending


def test_a_copy_that_has_no_room_is_not_begun_and_one_that_cannot_be_unlinked_takes_none():
    work = Work()
    ledger, _ = split(work, size=900)
    while not ledger.copy():
        pass
    used = ledger.used() - sum(shard.file_size for shard in ledger.rewrite.new)
    fails(ledger.files, "unlink", 99)
    ledger.give_up("")
    assert work.disk.used() <= used + 512
    while ledger.room(9000):
        ledger.take(f"c{len(ledger.owed)}", "news", 7, 9 * SEC, "", b"x" * 9000)
    ledger.flush()
    ledger.most = ledger.used() * 3 // 2
    with pytest.raises(NoRoom):
        ledger.begin(ledger.shards[:], [0, 9, PLACES])
    assert not ledger.rewrite
