"""The ledger, in the state folder: pending notifications, pushes that may have run, unposted outcome notices.

One record a line (`ledger_codec`).  Records are buffered until `flush`, which writes them in one go; once
written they survive a crash of the process.

    t id topic destination ttl_at idempotency-key body   accepted; under a policy, followed by its number
    k id key                                             ordered with others of the same ordering key
    p id number zone sent_at                             a push whose last byte may leave from now on
    n id number                                          that push is known not to have run; without a `p` of
                                                         the same number it found no endpoint and never left
    o id outcome retry_ms                                ended, but its outcome notice is not posted yet
    e id                                                 ended; the id is remembered until its TTL
    x id                                                 removed as if it had never been accepted
    d id ttl_at digest                                   ended before this file was written; remembered with
                                                         the digest of its content (earlier versions: without)
    c boot epoch now                                     identity of the clock of these times, and a reading

Times are readings of one clock (`ground.clock`), which the next process resumes.  After a reboot of the
machine the length of the downtime is unknown: pending notifications keep the time they had left at the last
recorded reading, so that a wrong wall clock neither expires them early nor keeps them beyond their TTL.
Repeat windows count as elapsed.
"""

import errno
from base64 import b64decode, b64encode
from contextlib import suppress
from dataclasses import dataclass, field
from typing import NamedTuple

from juniperlanding.ground.clock import ClockStamp
from juniperlanding.ground.errors import OperatorError
from juniperlanding.ground.seams import FileSystem
from juniperlanding.net.content_digest import UNKNOWN_DIGEST, content_digest
from juniperlanding.net.ledger_codec import is_valid, line, parse, records_within, repaired

FILE = "ledger"
MANIFEST = "shards"
PENDING_EIGHTHS = 3  # eighths of the disk limit that pending notifications may take
FILE_EIGHTHS = 4  # eighths of the disk limit at which the file is compacted
ENDED_SHARE = 16  # ids of ended notifications may take 1/ENDED_SHARE of the disk limit
ENDED_ID_OVERHEAD = 64  # bytes that an ended notification takes until its TTL, besides its id
LATER_RECORDS_SIZE = 512  # bytes reserved for a notification's records after the first: pushes and end
CLOCK_RECORD_INTERVAL = 1_000_000_000  # ns; a reboot extends a TTL by this much at most
UNKNOWN_SENT_AT = 1  # stands for the start of a push when it is unknown: earlier than any real one
UNKNOWN_PUSH = (
    -1,
    (0, UNKNOWN_SENT_AT),
)  # (number, (zone, sent_at)) of a push that a lost record may have described
MAX_REPAIR_SIZE = 1 << 20  # bytes of damaged lines on which a byte-by-byte repair is tried
INVALID_RECORD = ValueError, TypeError, KeyError, IndexError  # raised by a damaged or unknown record


class Unreadable(OperatorError, OSError):
    """The ledger cannot be read. A starting process exits; one that takes the folder back retries."""

    code = "ledger-unreadable"
    remedy = (
        "Check the disk and the permissions of the folder; never delete the ledger, it holds pending work."
    )


class Damaged(OperatorError):
    """Complete records of the ledger cannot be read; a last record cut off by a kill does not count."""

    code = "ledger-damaged"
    remedy = "Check the disk, and whether another version wrote to it; what only these records held is lost."


class Split(OperatorError, OSError):
    """The ledger is split into several files but shards are disabled; pending work would be missed."""

    code = "ledger-split"
    remedy = (
        "Enable [shards] again; disable it only once the admin port's SHARDS command reports a single file."
    )


@dataclass(slots=True)
class PendingNotification:
    """A pending notification, as recorded in the ledger."""

    id: str
    topic: str
    destination: int
    ttl_at: int
    key: str = field(repr=False)  # its idempotency key
    body: bytes = field(repr=False)
    pushes: int = 0
    # Number: (zone, sent_at) of each push that may have run.
    possible_runs: dict = field(default_factory=dict)
    was_sent: bool = False  # whether any push of it was sent
    notice: tuple = ()
    size: int = 0
    policy_number: int = 0  # number of the policy under which it was accepted
    ordering_key: str = ""

    def content_digest(self):
        """The digest by which a repeated request is known."""
        return content_digest(self.topic, self.destination, self.key, self.ordering_key, self.body)

    def records(self):
        """Yields the records that restore it."""
        body = b64encode(self.body).decode()
        policy = [self.policy_number] if self.policy_number else []
        yield ["t", self.id, self.topic, self.destination, self.ttl_at, self.key, body, *policy]
        if self.ordering_key:
            yield ["k", self.id, self.ordering_key]
        last = self.pushes - 1
        for number in [*self.possible_runs, *({last} - set(self.possible_runs) if self.was_sent else ())]:
            yield ["p", self.id, number, *self.possible_runs.get(number, (0, 0))]
        if self.pushes and last not in self.possible_runs:
            yield ["n", self.id, last]
        if self.notice:
            yield ["o", self.id, *self.notice]


class EndedNotification(NamedTuple):
    """What is remembered of an ended notification until its TTL."""

    ttl_at: int
    content_digest: str = UNKNOWN_DIGEST


class LedgerState:
    """The state that the records read so far add up to."""

    def __init__(self, files=None):
        self.files = files or FileSystem()
        self.notifications = {}  # id: PendingNotification
        self.pending_size = 0
        self.invalid_lines = 0  # lines that are not one valid record
        self.damaged = 0  # the same without the last line, which a kill may have cut off
        # id: EndedNotification, so that one submitted again after a restart does not run twice.
        self.ended = {}
        self.ended_size = 0
        self.max_ended_size = 1 << 62
        self.stamp = None  # the latest recorded reading of the clock that these times refer to
        self.damaged_size = 0  # bytes of damaged lines met so far
        self.complete_size = 0  # bytes of the file without a partial record at its end
        self.rewrite_error = None  # the OSError that kept a start from compacting the file

    def load(self, path):
        try:
            content = self.files.read(path)
        except FileNotFoundError:
            return self
        except OSError as error:
            raise Unreadable(error.errno, error.strerror or str(error), str(path)) from None
        lines = content.split(b"\n")
        self.complete_size = len(content) - len(lines[-1])
        numbered = iter(enumerate(lines, 1))
        for number, raw in numbered:
            try:
                if raw:
                    self.apply(parse(raw), len(raw))
            except INVALID_RECORD:
                if self.recover(lines, number):
                    next(numbered)  # the next line was read together with this one
        return self

    def recover(self, lines, number):
        """Reads what it can of a line (`number` counts from 1) that is not one valid record.

        The line was cut off by a kill, written by another version, or damaged.  Returns whether the next
        line was read together with it."""
        raw = lines[number - 1]
        is_last = number == len(lines)
        self.invalid_lines += 1
        self.damaged += not is_last
        self.damaged_size += len(raw)
        is_record_before_a_byte = is_last and not is_valid(raw) and is_valid(raw[:-1])
        found = list(records_within(raw[:-1] if is_record_before_a_byte else raw))
        is_lost = sum(size + 1 for _, size in found) - 1 < len(raw)
        if is_lost and not is_last and self.damaged_size <= MAX_REPAIR_SIZE:
            # The damaged byte may have become a line feed, at the start or at the end of this line.
            if self.apply_repaired(raw) or self.apply_repaired(b"\n" + raw):
                return False
            if number + 1 < len(lines) and self.apply_repaired(b"\n".join(lines[number - 1 : number + 1])):
                return True
        for record in found:
            with suppress(*INVALID_RECORD):
                self.apply(*record)
        if is_lost and not is_last:
            self.assume_pushed()
        return False

    def apply_repaired(self, raw):
        """Whether a damaged line could be repaired; its record is applied then."""
        with suppress(*INVALID_RECORD):
            self.apply(repaired(raw), len(raw))
            return True
        return False

    def assume_pushed(self):
        """After a lost record, assumes that every notification without a known push may have run.

        The lost record may have described a push, or the rejection of its client: a once-only notification
        would look untried and run twice, and a collapsible one run after its repeat window.  This does not
        apply to a last line that a kill cut off: what it describes has not been sent, since records are
        written first."""
        number, unknown = UNKNOWN_PUSH
        for notification in self.notifications.values():
            if not notification.possible_runs:
                notification.possible_runs[number] = unknown
                notification.was_sent = True

    def add(self, notification, size):
        """Counts the size of the written record: an overestimate would reject work while there is room."""
        notification.size = size + LATER_RECORDS_SIZE
        self.notifications[notification.id] = notification
        self.pending_size += notification.size

    def apply(self, record, size=0):
        kind, subject, *rest = record  # subject: the notification's id; of `c`, the machine's boot id
        if kind == "c":
            return self.apply_clock(ClockStamp(subject, *map(int, rest)))
        if kind == "d":
            ttl_at, *digest = rest
            return self.remember(subject, EndedNotification(int(ttl_at), *map(str, digest)))
        if kind == "t":
            topic, destination, ttl_at, key, body, *policy = rest
            notification = PendingNotification(
                subject, topic, destination, ttl_at, key, b64decode(body), policy_number=sum(policy)
            )
            return self.add(notification, size)
        notification = self.notifications.get(subject)
        if notification is None:
            return
        if kind == "p":
            notification.pushes, notification.was_sent = max(notification.pushes, rest[0] + 1), True
            notification.possible_runs[rest[0]] = tuple(rest[1:])
        elif kind == "k":
            notification.ordering_key = rest[0]
        elif kind == "n":
            notification.pushes = max(notification.pushes, rest[0] + 1)
            notification.possible_runs.pop(rest[0], None)
        elif kind == "o":
            notification.notice = tuple(rest)
        elif kind in ("e", "x"):
            self.pending_size -= self.notifications.pop(subject).size
            if kind == "e":
                digest = notification.content_digest()
                self.remember(subject, EndedNotification(notification.ttl_at, digest))
            else:
                self.forget(subject)

    def apply_clock(self, stamp):
        """Takes in a clock reading; if it is of another clock, moves the times read so far to that one.

        A file has readings of several clocks where a process could not rewrite it at its start and appended
        to it instead."""
        if self.stamp and (self.stamp.boot_id, self.stamp.epoch) != (stamp.boot_id, stamp.epoch):
            self.shift_times(stamp.now - self.latest_time())
        self.stamp = stamp

    def latest_time(self):
        """The latest time that the records mention."""
        sent_times = [
            sent_at
            for notification in self.notifications.values()
            for _, sent_at in notification.possible_runs.values()
        ]
        return max(self.stamp.now, *sent_times, 0)

    def resume(self, clock):
        """Makes the clock continue the recorded one; after a reboot, moves the times to the clock instead."""
        if clock and self.stamp and not clock.resume(self.stamp):
            self.shift_times(clock.now() - self.latest_time())

    def shift_times(self, span):
        """Adds a span to all deadlines; the times at which pushes began become unknown."""
        for notification in self.notifications.values():
            notification.ttl_at += span
            notification.possible_runs = {
                number: (zone, UNKNOWN_SENT_AT) for number, (zone, _) in notification.possible_runs.items()
            }
        self.ended = {
            ntf_id: ended._replace(ttl_at=ended.ttl_at + span) for ntf_id, ended in self.ended.items()
        }

    def remember(self, ntf_id, ended):
        """Remembers an ended notification; over the size limit, the one that ended first is forgotten."""
        self.forget(ntf_id)
        self.ended[ntf_id] = ended
        self.ended_size += ENDED_ID_OVERHEAD + len(ntf_id)
        while self.ended_size > self.max_ended_size:
            self.forget(next(iter(self.ended)))

    def forget(self, ntf_id):
        """Forgets an ended notification, once its TTL has passed."""
        if ntf_id in self.ended:
            del self.ended[ntf_id]
            self.ended_size -= ENDED_ID_OVERHEAD + len(ntf_id)


def check_not_split(files, folder):
    """Raises `Split` for a folder whose ledger is in several files."""
    path = f"{folder}/{MANIFEST}"
    with suppress(FileNotFoundError):
        files.size(path)
        raise Split(errno.EBUSY, "the ledger is in several files, and shards are disabled", path)


class ClockRecords:
    """Clock records for ledger files: one at the start of each, then one a second while records are written.

    clock: the process's; None writes no clock records, as earlier versions did."""

    def __init__(self, clock):
        self.clock = clock
        self.due_at = 0

    def line(self):
        """The current reading as an encoded record; b"" where the clock has no boot id."""
        stamp = self.clock.stamp() if self.clock else None
        return line(["c", stamp.boot_id, stamp.epoch, stamp.now]) if stamp else b""

    def due(self):
        """As `line`, but b"" until a second has passed since the last one that was `written`."""
        return self.line() if self.clock and self.clock.now() >= self.due_at else b""

    def written(self):
        if self.clock and self.clock.now() >= self.due_at:
            self.due_at = self.clock.now() + CLOCK_RECORD_INTERVAL


class Ledger(LedgerState):
    """The state, with the open file that every change is appended to.

    inherited: another process of this dispatcher closed the file cleanly and may take it back, so the file is
    not rewritten.  clock: resumes the clock of the file."""

    def __init__(self, folder, disk, files=None, inherited=False, clock=None):
        super().__init__(files)
        self.clock_records = ClockRecords(clock)
        self.path = f"{folder}/{FILE}"
        self.max_pending_size = disk * PENDING_EIGHTHS // 8
        self.max_file_size = disk * FILE_EIGHTHS // 8
        self.max_ended_size = disk // ENDED_SHARE
        self.unwritten = []  # encoded records that are not written yet
        self.file = -1
        self.file_size = 0
        self.has_partial_record = False  # whether a partial record may be at the end of the file
        self.load(self.path)
        self.resume(clock)
        if inherited:
            self.open_for_append()
            return
        try:
            self.compact()
        except OSError as error:
            self.rewrite_error = error
            self.open_for_append()

    def open_for_append(self):
        """Opens the existing file for appending; a partial record at its end is cut off before a write."""
        self.file, self.file_size = self.files.open(self.path), self.files.size(self.path)
        self.has_partial_record = self.complete_size < self.file_size
        self.file_size = min(self.complete_size, self.file_size)

    def add_accepted(self, *fields, policy_number=0):
        """Adds an accepted notification; `fields` are those of `PendingNotification` up to the body."""
        notification = PendingNotification(*fields, policy_number=policy_number)
        self.unwritten.append(line(next(notification.records())))
        self.add(notification, len(self.unwritten[-1]))

    def append_record(self, *record):
        self.apply(record)
        self.unwritten.append(line(record))

    def replace_outcome(self, ntf_id, *outcome):
        """Replaces the recorded outcome of a notification while that record is still unwritten.

        If the second outcome were written after the first, a kill during the write could leave the first one
        alone in the file."""
        self.discard_unwritten(line(["o", ntf_id, *self.notifications[ntf_id].notice]))
        self.append_record("o", ntf_id, *outcome)

    def discard_unwritten(self, raw):
        """Discards an unwritten record."""
        self.unwritten = [one for one in self.unwritten if one != raw]

    def has_room(self, size):
        """Whether a notification with a body of this size still fits."""
        return self.pending_size + 2 * size + 2 * LATER_RECORDS_SIZE <= self.max_pending_size

    def flush(self):
        """Writes the buffered records; on an error they stay buffered, and the file is as before."""
        if not self.unwritten:
            return
        data = self.clock_records.due() + b"".join(self.unwritten)
        if self.file_size + len(data) > self.max_file_size:
            self.compact()  # the buffered records are already applied, so the new file includes them
        else:
            self.file_size += self.append(data)
            self.clock_records.written()
        self.unwritten.clear()

    def append(self, data):
        """Appends data to the file; returns its size.

        A failed write may leave a partial record, which would make the next one unreadable as well.  It is
        truncated at once or, where that fails too, before the next write."""
        if self.has_partial_record:
            self.truncate_partial()
        view = memoryview(data)
        try:
            while view:
                view = view[self.write_some(self.file, view) :]
                self.has_partial_record = bool(view)
        except OSError:
            if self.has_partial_record:
                self.truncate_partial()
            raise
        return len(data)

    def write_some(self, file, view):
        """Returns how many bytes were written; a write of 0 is an error, or callers would retry for ever."""
        size = self.files.write(file, view)
        if not size:
            raise OSError(errno.EIO, "write returned 0 bytes")
        return size

    def truncate_partial(self):
        """Truncates a partial record at the end of the file."""
        self.files.truncate(self.file, self.file_size)
        self.has_partial_record = False

    def write_all(self, file, data):
        view = memoryview(data)
        while view:
            view = view[self.write_some(file, view) :]
        return len(data)

    def compact(self):
        """Writes the current state to a new file, which then replaces the old one atomically."""
        new_path = self.path + ".new"
        size = 0
        file = self.files.open(new_path, fresh=True)
        try:
            if self.notifications or self.ended:
                size += self.write_all(file, self.clock_records.line())
            for notification in self.notifications.values():
                size += self.write_all(file, b"".join(map(line, notification.records())))
            ended = b"".join(line(["d", ntf_id, *ended]) for ntf_id, ended in self.ended.items())
            size += self.write_all(file, ended)
            self.files.rename(new_path, self.path)
        except OSError:
            with suppress(OSError):  # the incomplete copy would take up space that the ledger itself needs
                self.files.truncate(file, 0)
            self.close_file(file)
            raise
        old, self.file, self.file_size, self.has_partial_record = self.file, file, size, False
        if old >= 0:
            self.close_file(old)

    def close_file(self, file):
        """Closes a file; the descriptor is released even if close fails."""
        with suppress(OSError):
            self.files.close(file)

    def close(self):
        """Writes the buffered records and closes the file; OSError when they could not be written."""
        if self.file >= 0:
            try:
                self.flush()
            finally:
                self.close_file(self.file)
                self.file = -1
