"""The ledger in several files, one for each range of destinations, and the one operation that changes them.

A destination's place is `crc32(its number as text) & 0xffff`; a shard is the range [low, high) of places.
The manifest names the file of each; without one there is one shard in `ledger`, as without shards.

A rewrite copies what some shards owe into new files, in slices between the rounds.  From the copy of a
notification on, its further records go to the old and the new file; before it to the old alone.  One step
then puts the new files in force: the manifest's rename, or, for one shard alone, the manifest's end or the
rename of its file.  Before that step the old set is whole, after it the new one; files that are not in force
are removed."""

import errno
from bisect import bisect_right
from contextlib import suppress
from functools import lru_cache
from zlib import crc32

import msgspec

from juniperlanding.ground.errors import OperatorError
from juniperlanding.net.ledger import (
    ENDED_SHARE,
    FILE,
    FILE_EIGHTHS,
    MANIFEST,
    PENDING_EIGHTHS,
    ClockRecords,
    Ledger,
    LedgerState,
    PendingNotification,
    line,
)

PLACES = 1 << 16
BLOCK = 512  # a file takes its room in whole ones
SPARE = 16  # of the disk, one part in so many is left to the manifest and to the last blocks of files
SLICE = 64 << 10  # bytes that one slice copies at most
LOOK = 16  # notifications copied between two looks at the clock
MOST_MANIFEST = 1 << 20
Ranges = msgspec.json.Decoder(list[tuple[int, int, str]])


class Damaged(OperatorError, OSError):
    """The manifest cannot be understood; nothing is guessed, since a wrong guess owes nothing or twice."""

    code = "shards-damaged"
    remedy = "Put back the file `shards` as it was; the files ledger.N beside it hold what is owed."


class NoRoom(OperatorError, OSError):
    """A rewrite would take more of the disk than the dispatcher may have."""

    code, remedy = "shards-no-room", "Raise limits.disk if it comes often; it is tried again by itself."


@lru_cache(4096)
def place(destination):
    return crc32(b"%d" % destination) & PLACES - 1


def blocks(size):
    return -(-size // BLOCK) * BLOCK


def ranges(files, folder):
    """[(low, high, file name)] in force in a folder; `Damaged` unless they cover each place once."""
    path = f"{folder}/{MANIFEST}"
    try:
        raw = files.read(path, MOST_MANIFEST)
    except FileNotFoundError:
        return [(0, PLACES, FILE)]
    try:
        text = raw[9:].rstrip(b"\n")
        found = Ranges.decode(text)
        edges = [0, *(high for _, high, _ in found)]
        names = {name for *_, name in found}
        if (
            int(raw[:8], 16) != crc32(text)
            or edges != [*(low for low, *_ in found), PLACES]
            or edges != sorted(set(edges))
            or len(names) < len(found)
            or not all(map(number, names))
        ):
            raise ValueError("not each place once")
    except ValueError as error:  # msgspec's errors are ValueErrors
        raise Damaged(errno.EINVAL, f"not a manifest: {error}", path) from None
    return found


def number(name):
    """N of `ledger.N`, or 0 for another name."""
    start, _, digits = name.partition(".")
    return int(digits) if start == FILE and digits.isascii() and digits.isdigit() else 0


def held(files, folder):
    """Each shard's `LedgerState` as its file has them, apart.

    Threat: an id that ended in one shard and was taken on anew in another; read as one file, the end of the
    first would end the second."""
    return [LedgerState(files).load(f"{folder}/{name}") for *_, name in ranges(files, folder)]


class Shard:
    """One range and its open file; `ids` and `ended_ids` are what it holds, as the keys of a map."""

    append, truncate_partial, close_file = Ledger.append, Ledger.truncate_partial, Ledger.close_file
    write_some = Ledger.write_some

    def __init__(self, files, low, high, name):
        self.files, self.low, self.high, self.name = files, low, high, name
        self.file, self.file_size, self.has_partial_record = -1, 0, False
        self.ids, self.ended_ids, self.live = {}, {}, 0
        self.written = self.ended = 0  # bytes since this file is in force

    def has(self, notification):
        if notification.id not in self.ids:
            self.ids[notification.id] = None
            self.live += notification.size

    def lost(self, notification):
        if notification.id in self.ids:
            del self.ids[notification.id]
            self.live -= notification.size
            self.ended += notification.size


class Rewrite:
    """Shards `old` on their way into shards `new`; `copied` are the ids whose records go to both."""

    def __init__(self, shards, old, new, manifest):
        self.old, self.new, self.manifest = old, new, manifest
        self.after = sorted(
            [*(shard for shard in shards if shard not in old), *new], key=lambda shard: shard.low
        )
        self.todo = [one for shard in old for one in (*shard.ids, *shard.ended_ids)]
        self.at, self.copied, self.size = 0, set(), 0
        self.busy, self.why = False, ""  # a thread has its files; why it was given up

    def place(self, key):
        return next(shard for shard in self.new if shard.low <= key < shard.high)


class Sharded(LedgerState):
    """As `net.ledger.Ledger`, over several files.  `has_partial_record`, `unwritten` and errors mean the
    same.

    `inherited`: another process of ours wrote them to the end, and may take them back; nothing is changed."""

    def __init__(self, folder, disk, files=None, inherited=False, clock=None):
        super().__init__(files)
        self.clock_records = ClockRecords(clock)
        self.folder, self.disk = folder, disk
        self.max_pending_size, self.max_file_size = disk * PENDING_EIGHTHS // 8, disk * FILE_EIGHTHS // 8
        self.max_ended_size, self.most = disk // ENDED_SHARE, disk - disk // SPARE
        self.unwritten, self.places, self.rewrite, self.old = [], {}, None, []
        self.given_up = 0
        self.shards, self.lows, self.complete_sizes = [], [], {}
        self.last = 0
        self.enter([Shard(self.files, *told) for told in ranges(self.files, folder)])
        self.join(held(self.files, folder))
        self.resume(clock)
        listed = self.files.list(folder)
        self.last = max(map(number, listed), default=0)
        try:
            if not inherited:
                self.clean(listed)
                self.rewrite_all()
            if self.shards[0].file < 0:
                self.open_for_append()
        except BaseException:
            self.close_files()
            raise

    def rewrite_all(self):
        """All shards anew, if the disk lets us."""
        try:
            self.compact()
        except OSError as error:
            self.rewrite_error = error

    def open_for_append(self):
        """Write on behind what the files hold; half a record at an end is cut off before the next one."""
        for shard in self.shards:
            path = self.path(shard)
            shard.file, size = self.files.open(path), self.files.size(path)
            shard.file_size = min(self.complete_sizes.get(shard.low, 0), size)
            shard.has_partial_record = shard.file_size < size

    place = staticmethod(place)

    def path(self, shard):
        return f"{self.folder}/{shard.name}"

    def enter(self, shards):
        self.shards, self.lows = shards, [shard.low for shard in shards]

    def shard(self, key):
        return self.shards[bisect_right(self.lows, key) - 1]

    def join(self, found):
        """Take in what the files have; of what is over the bound lets go first what ends first."""
        over = []
        for shard, books in zip(self.shards, found, strict=True):
            self.complete_sizes[shard.low] = books.complete_size
            self.invalid_lines += books.invalid_lines
            self.damaged += books.damaged
            for notification in books.notifications.values():
                self.notifications[notification.id] = notification
                self.pending_size += notification.size
                shard.has(notification)
            stamps = [one for one in (self.stamp, books.stamp) if one]
            self.stamp = max(stamps, key=lambda stamp: stamp.now, default=None)
            over += [(ended, one, shard.low) for one, ended in books.ended.items()]
        for ended, one, low in sorted(over):
            if one not in self.notifications:
                self.remember(one, ended, low)

    def clean(self, listed):
        """Threat: killed before its one step, or just after it; what is not in force takes room."""
        named = {shard.name for shard in self.shards}
        for name in listed:
            ours = name in (FILE, f"{FILE}.new") or name.startswith(f"{MANIFEST}.") or number(name)
            if ours and name not in named:
                with suppress(OSError):
                    self.files.unlink(f"{self.folder}/{name}")

    # ---- as the ledger

    @property
    def has_partial_record(self):
        return any(shard.has_partial_record for shard in self.shards)

    @property
    def file_size(self):
        return sum(shard.file_size for shard in self.shards)

    replace_outcome = Ledger.replace_outcome

    def discard_unwritten(self, raw):
        """As `Ledger.discard_unwritten`."""
        self.unwritten = [entry for entry in self.unwritten if entry[-1] != raw]

    def has_room(self, size):
        return Ledger.has_room(self, size)

    def add_accepted(self, *fields, policy_number=0):
        notification = PendingNotification(*fields, policy_number=policy_number)
        raw, key = line(next(notification.records())), place(notification.destination)
        self.unwritten.append((key, notification.id, raw))
        self.add(notification, len(raw))
        self.shard(key).has(notification)
        if rewrite := self.concerned(key):
            rewrite.copied.add(notification.id)  # all its records are still to come
            rewrite.place(key).has(notification)

    def concerned(self, key):
        """The rewrite that a place's records may go to as well."""
        rewrite = self.rewrite
        return rewrite if rewrite and self.shard(key) in rewrite.old else None

    def append_record(self, *record):
        notification = self.notifications.get(record[1])
        if notification is None:
            return
        key = place(notification.destination)
        self.unwritten.append((key, notification.id, line(record)))
        self.apply(record)
        if notification.id not in self.notifications:
            self.shard(key).lost(notification)
            rewrite = self.concerned(key)
            if rewrite and notification.id in rewrite.copied:
                rewrite.place(key).lost(notification)
            if notification.id in self.ended:
                self.kept(notification.id, key)

    def kept(self, one, key):
        self.places[one] = key
        self.shard(key).ended_ids[one] = None
        rewrite = self.concerned(key)
        if rewrite and one in rewrite.copied:
            rewrite.place(key).ended_ids[one] = None

    def remember(self, number, ended, key=None):
        super().remember(number, ended)
        if key is not None and number in self.ended:
            self.kept(number, key)

    def forget(self, number):
        key = self.places.pop(number, None)
        if key is not None:
            self.shard(key).ended_ids.pop(number, None)
            if rewrite := self.concerned(key):
                rewrite.place(key).ended_ids.pop(number, None)
        super().forget(number)

    def flush(self):
        """Write what gathered; on an error it stays gathered, and the files are as before."""
        if not self.unwritten:
            return
        try:
            self.put()
        except OSError:
            if not self.rewrite:
                raise
            self.give_up("its room is needed")  # threat: the copy takes the room that the files need
            self.put()
        self.unwritten.clear()

    def put(self):
        parts, mirrors = {}, {}
        for key, one, raw in self.unwritten:
            parts.setdefault(self.shard(key), []).append(raw)
            rewrite = self.concerned(key)
            if rewrite and one in rewrite.copied:
                mirrors.setdefault(rewrite.place(key), []).append(raw)
        stamp = self.clock_records.due()
        parts = {shard: stamp + b"".join(lines) for shard, lines in parts.items()}
        mirrors = {shard: b"".join(lines) for shard, lines in mirrors.items()}
        grown = sum(map(len, parts.values()))
        if self.file_size + grown > self.max_file_size:
            self.give_up("its room is needed")
            return self.compact()  # what is pending is applied already, so it is in there
        if self.rewrite and self.used({**parts, **mirrors}) > self.most:
            self.give_up("no room for the copy")
        written = []
        try:
            for shard, data in parts.items():
                shard.append(data)
                written.append(shard)
        except OSError:
            # Threat: one file has its part, the next one none; a client told no, and it runs after a kill.
            for shard in written:
                shard.has_partial_record = True
                with suppress(OSError):
                    shard.truncate_partial()
            raise
        self.clock_records.written()
        for shard, data in parts.items():
            shard.file_size += len(data)
            shard.written += len(data)
        if self.rewrite:
            self.mirror(mirrors)

    def mirror(self, mirrors):
        """Threat: the new file cannot be written while the old one can; the round goes on without it."""
        try:
            for shard, data in mirrors.items():
                shard.file_size += shard.append(data)
        except OSError as error:
            self.give_up(error.strerror or str(error))

    def used(self, more=()):
        """Bytes of the disk in whole blocks, with what is about to be written."""
        more = more or {}
        new = self.rewrite.new if self.rewrite else ()
        return sum(blocks(shard.file_size + len(more.get(shard, b""))) for shard in (*self.shards, *new))

    def close(self):
        """Write what gathered and let the files go; a rewrite is given up.  OSError when not written."""
        if self.shards and self.shards[0].file >= 0:
            self.give_up("the folder is handed on, or the process ends")
            try:
                self.flush()
            finally:
                self.close_files()

    def close_files(self):
        for shard in self.shards:
            if shard.file >= 0:
                shard.close_file(shard.file)
                shard.file = -1

    # ---- the rewrite

    def begin(self, old, edges, bound=True):
        """Open the new files for neighbouring shards `old`, cut at `edges` (places, the two outer ones too).

        `bound`: whether it must have room.  OSError, `NoRoom` among them, leaves all as it was; where one is
        under way it is an AssertionError."""
        assert not self.rewrite and (edges[0], edges[-1]) == (old[0].low, old[-1].high)
        live = sum(shard.live for shard in old)
        if bound and self.used() + live + len(edges) * BLOCK > self.most:
            raise NoRoom(errno.ENOSPC, "no room for the copy", self.folder)
        whole = edges == [0, PLACES]
        new = []
        for low, high in zip(edges, edges[1:], strict=False):
            self.last += 1
            name = f"{FILE}.{self.last}"
            if whole:
                name = f"{FILE}.new" if self.shards[0].name == FILE else FILE
            new.append(Shard(self.files, low, high, name))
        # Threat: the thread of one that was given up writes the manifest that another puts in force.
        self.rewrite = Rewrite(self.shards, old, new, f"{self.folder}/{MANIFEST}.{self.last}")
        try:
            for shard in new:
                shard.file = self.files.open(self.path(shard), fresh=True)
                if self.notifications or self.ended:
                    shard.file_size += shard.append(self.clock_records.line())
        except OSError as error:
            self.give_up(error.strerror or str(error))
            raise
        return self.rewrite

    def copy(self, most=SLICE, late=lambda: False, unwritten=False):
        """One slice: at most so many bytes, and none more once `late()`.  Whether all is copied.

        While something is gathered and unwritten nothing is copied, unless it may be in the copy
        (`unwritten`) because it is dropped with the one step.  OSError: the rewrite was given up."""
        rewrite, lines, size = self.rewrite, {}, 0
        if self.unwritten and not unwritten:
            return False
        while rewrite.at < len(rewrite.todo) and size < most:
            one = rewrite.todo[rewrite.at]
            rewrite.at += 1
            if one in rewrite.copied:
                continue
            notification, records, key = self.notifications.get(one), (), 0
            if notification:
                key, records = place(notification.destination), notification.records()
            elif one in self.ended:
                key, records = self.places[one], [["d", one, *self.ended[one]]]
            rewrite.copied.add(one)
            if not records or self.shard(key) not in rewrite.old:
                continue  # over as if it had never been, let go, or taken on anew for another shard
            data, shard = b"".join(map(line, records)), rewrite.place(key)
            lines.setdefault(shard, []).append(data)
            size += len(data)
            if notification:
                shard.has(notification)
            else:
                shard.ended_ids[one] = None
            if rewrite.at % LOOK == 0 and late():
                break
        lines = {shard: b"".join(data) for shard, data in lines.items()}
        try:
            if not unwritten and self.used(lines) > self.most:
                raise NoRoom(errno.ENOSPC, "no room for the copy", self.folder)
            for shard, data in lines.items():
                shard.file_size += shard.append(data)
        except OSError as error:
            self.give_up(error.strerror or str(error))
            raise
        rewrite.size += size
        return rewrite.at == len(rewrite.todo)

    def secure(self, rewrite):
        """The new files and the manifest on disk, nothing in force yet; may wait for the disk, so aside."""
        for shard in rewrite.new:
            self.files.sync(shard.file)
        if len(rewrite.after) == 1:
            return
        text = msgspec.json.encode([(shard.low, shard.high, shard.name) for shard in rewrite.after])
        data = memoryview(b"%08x %b\n" % (crc32(text), text))
        file = self.files.open(rewrite.manifest, fresh=True)
        try:
            while data:
                data = data[self.files.write(file, data) :]
            self.files.sync(file)
        finally:
            with suppress(OSError):
                self.files.close(file)

    def commit(self):
        """The one step; call it when all is copied and secured.  OSError: given up, the old set stands."""
        rewrite, manifest = self.rewrite, f"{self.folder}/{MANIFEST}"
        after = rewrite.after
        try:
            if len(after) > 1:
                self.files.rename(rewrite.manifest, manifest)
            elif after[0].name == FILE:
                self.files.unlink(manifest)
            else:
                self.files.rename(self.path(after[0]), f"{self.folder}/{FILE}")
        except OSError as error:
            self.give_up(error.strerror or str(error))
            raise
        if len(after) == 1 and after[0].name != FILE:
            after[0].name = FILE  # its old file went with the rename
            rewrite.old[0].name = ""
        self.enter(after)
        self.rewrite = None
        self.old += rewrite.old

    def sweep(self):
        """Let the files go that are no longer in force; may wait for the disk, so aside."""
        while self.old:
            shard = self.old.pop()
            if shard.file >= 0:
                shard.close_file(shard.file)
                shard.file = -1
            if shard.name:
                with suppress(OSError):  # the next start removes it
                    self.files.unlink(self.path(shard))

    def give_up(self, why):
        """Back to the old set.  Its files go at once, or when the thread that has them is done (`remove`)."""
        rewrite, self.rewrite = self.rewrite, None
        if rewrite:
            rewrite.why = why
            self.given_up += 1
            if not rewrite.busy:
                self.remove(rewrite)

    def remove(self, rewrite):
        """Truncated first: threat: they cannot be unlinked, and the room is needed now."""
        for shard in rewrite.new:
            if shard.file >= 0:
                with suppress(OSError):
                    self.files.truncate(shard.file, 0)
                shard.close_file(shard.file)
                shard.file = -1
            with suppress(OSError):
                self.files.unlink(self.path(shard))
        with suppress(OSError):
            self.files.unlink(rewrite.manifest)

    def compact(self):
        """All shards anew and at once, as the ledger does: at the start, and where the room ends."""
        rewrite = self.begin(list(self.shards), [0, *(shard.high for shard in self.shards)], bound=False)
        try:
            while not self.copy(unwritten=True):
                pass
            self.secure(rewrite)
            self.commit()
        except OSError as error:
            self.give_up(error.strerror or str(error))
            raise
        self.sweep()
        return rewrite
