"""The ledger in the folder that lasts: what is owed, which pushes may have run, which notices are due.

One record a line (`ledger_codec`).  Records gather until `flush`, which writes them at once; they
are safe from then on, whatever happens to the process.

    t id topic destination ttl_at idempotency-key body   taken on; under a policy, its number follows
    k id key                                             it keeps its order after that key
    p id number zone sent_at                             a push whose last byte may leave from now on
    n id number                                          that push is known never to have run; without its
                                                         `p` it met nobody, and never left
    o id outcome retry_ms                                over but for its notice
    e id                                                 over, and remembered until its TTL
    x id                                                 over as if it had never been taken on
    d id ttl_at                                          over before this file was written, and remembered
    c boot epoch now                                     the clock of these times, and its reading then

Times are readings of one clock (`ground.clock`), which the next process goes on with.  Where the machine
itself came up again nobody knows how long it was down: what is owed keeps the time that it had left at the
last reading on file, so that a wrong wall clock ends nothing early and keeps nothing for longer than its TTL;
a window for repeats counts as over.
"""

import errno
from base64 import b64decode, b64encode
from contextlib import suppress
from dataclasses import dataclass, field

from juniperlanding.ground.clock import ClockStamp
from juniperlanding.ground.errors import Trouble
from juniperlanding.ground.seams import Files
from juniperlanding.net.ledger_codec import is_whole, line, mended, parse, records_within

FILE, MANIFEST = "ledger", "shards"
FULL, WASTE = 3, 4  # eighths of the disk: what is owed may fill so many, and the file grows to so many
OVER = 16  # of the disk, one part in so many may hold ids that are over
REMEMBERED = 64  # bytes beside its id that one which is over takes until its TTL
MORE = 512  # bytes beside its first record that one notification's pushes and end will add
STAMP_EVERY = 1_000_000_000  # ns between readings of the clock on file; so much may a dead machine give back
LONGEST_AGO = 1  # when a push began of which nobody knows when
DOUBT = (
    -1,
    (0, LONGEST_AGO),
)  # a push that a lost record may have told of: at an unknown place, and longest ago
MOST_MENDED = 1 << 20  # bytes of damaged lines that are looked at byte by byte
BAD = ValueError, TypeError, KeyError, IndexError  # what reading a damaged or a foreign record raises


class Unreadable(Trouble, OSError):
    """The ledger cannot be read: a start ends there; one that is the owner again tries until it can."""

    code = "ledger-unreadable"
    remedy = "Look at the disk and the rights in the folder; never remove the ledger, it is what is owed."


class Damaged(Trouble):
    """Whole records of the ledger cannot be read; the one half written at a kill is none of them."""

    code = "ledger-damaged"
    remedy = "Check the disk, and whether another version wrote there; what only these records held is lost."


class Split(Trouble, OSError):
    """What is owed stands in several files, and shards are off: read as one, nothing would be owed."""

    code = "ledger-split"
    remedy = "Turn [shards] on again; turn it off once the door's SHARDS tells of one file alone."


@dataclass(slots=True)
class Owed:
    """One notification as the ledger has it."""

    id: str
    topic: str
    destination: int
    ttl_at: int
    key: str = field(repr=False)
    body: bytes = field(repr=False)
    pushes: int = 0
    ran: dict = field(default_factory=dict)  # number: (zone, sent_at) of each push that may have run
    left: bool = False  # whether any push of it left
    notice: tuple = ()
    size: int = 0
    under: int = 0  # the policy's number when it was taken on
    turn: str = ""  # the key after which it keeps its order

    def records(self):
        body = b64encode(self.body).decode()
        under = [self.under] if self.under else []
        yield ["t", self.id, self.topic, self.destination, self.ttl_at, self.key, body, *under]
        if self.turn:
            yield ["k", self.id, self.turn]
        last = self.pushes - 1
        for number in [*self.ran, *({last} - set(self.ran) if self.left else ())]:
            yield ["p", self.id, number, *self.ran.get(number, (0, 0))]
        if self.pushes and last not in self.ran:
            yield ["n", self.id, last]
        if self.notice:
            yield ["o", self.id, *self.notice]


class Books:
    """What is owed, as the records read so far have it."""

    def __init__(self, files=None):
        self.files = files or Files()
        self.owed, self.owed_size, self.skipped, self.damaged = {}, 0, 0, 0
        # id: TTL.  Threat: one that is over comes again after a restart, and runs twice.
        self.over, self.over_size, self.most_over = {}, 0, 1 << 62
        self.stamp = None  # the latest reading of the clock that these times are of
        self.damaged_size = 0  # bytes of damaged lines met so far
        self.whole_size = 0  # bytes of the file without half a record at its end
        self.not_rewritten = None  # the OSError that kept a start from rewriting the file

    def load(self, path):
        try:
            content = self.files.read(path)
        except FileNotFoundError:
            return self
        except OSError as error:
            raise Unreadable(error.errno, error.strerror or str(error), str(path)) from None
        lines = content.split(b"\n")
        self.whole_size = len(content) - len(lines[-1])
        left = iter(enumerate(lines, 1))
        for at, raw in left:
            try:
                if raw:
                    self.apply(parse(raw), len(raw))
            except BAD:
                if self.read_damaged(lines, at):
                    next(left)  # its line is read with the one before
        return self

    def read_damaged(self, lines, at):
        """Read what can be read of a line (the `at`-th, from 1) that is no record: half of one at a kill,
        another version's, or damaged.  Whether the line behind it was read with it."""
        raw, is_last = lines[at - 1], at == len(lines)
        self.skipped += 1
        self.damaged += not is_last
        self.damaged_size += len(raw)
        is_record_before_a_byte = is_last and not is_whole(raw) and is_whole(raw[:-1])
        found = list(records_within(raw[:-1] if is_record_before_a_byte else raw))
        is_lost = sum(size + 1 for _, size in found) - 1 < len(raw)
        if is_lost and not is_last and self.damaged_size <= MOST_MENDED:
            # The damaged byte may have become an end of line, which stands before or behind this part.
            if self.mend(raw) or self.mend(b"\n" + raw):
                return False
            if at + 1 < len(lines) and self.mend(b"\n".join(lines[at - 1 : at + 1])):
                return True
        for record in found:
            with suppress(*BAD):
                self.apply(*record)
        if is_lost and not is_last:
            self.doubt()
        return False

    def mend(self, raw):
        """Whether a damaged line could be read after all."""
        with suppress(*BAD):
            self.apply(mended(raw), len(raw))
            return True
        return False

    def doubt(self):
        """Threat: what is lost told of a push, or that its client was refused; a once-only one would look
        untried and run twice, a collapsible one run past its window.  So what was taken on before may have
        run, unless it is known to.  Not so for the last line, that a kill met half written: what it was to
        tell of has not left."""
        number, unknown = DOUBT
        for owed in self.owed.values():
            if not owed.ran:
                owed.ran[number], owed.left = unknown, True

    def add(self, owed, size):
        """Threat: counted as more than it takes, what is owed fills the ledger while half of it is free."""
        owed.size = size + MORE
        self.owed[owed.id] = owed
        self.owed_size += owed.size

    def apply(self, record, size=0):
        kind, number, *rest = record
        if kind == "c":
            return self.read(ClockStamp(number, *map(int, rest)))
        if kind == "d":
            return self.remember(number, int(rest[0]))
        if kind == "t":
            topic, destination, ttl_at, key, body, *under = rest
            owed = Owed(number, topic, destination, ttl_at, key, b64decode(body), under=sum(under))
            return self.add(owed, size)
        owed = self.owed.get(number)
        if owed is None:
            return
        if kind == "p":
            owed.pushes, owed.left = max(owed.pushes, rest[0] + 1), True
            owed.ran[rest[0]] = tuple(rest[1:])
        elif kind == "k":
            owed.turn = rest[0]
        elif kind == "n":
            owed.pushes = max(owed.pushes, rest[0] + 1)
            owed.ran.pop(rest[0], None)
        elif kind == "o":
            owed.notice = tuple(rest)
        elif kind in ("e", "x"):
            self.owed_size -= self.owed.pop(number).size
            if kind == "e":
                self.remember(number, owed.ttl_at)
            else:
                self.forget(number)

    def read(self, stamp):
        """A reading of the clock; where it is of another one, what was read before moves to it.

        A process that cannot rewrite the file at its start writes on behind what another clock timed."""
        if self.stamp and (self.stamp.boot_id, self.stamp.epoch) != (stamp.boot_id, stamp.epoch):
            self.move(stamp.now - self.last_reading())
        self.stamp = stamp

    def last_reading(self):
        """The latest time that the records tell of."""
        pushed = [at for owed in self.owed.values() for _, at in owed.ran.values()]
        return max(self.stamp.now, *pushed, 0)

    def resume(self, clock):
        """Make a clock show the times on file: go on with the one that they were written by, or, where the
        machine came up again since, move the times to it."""
        if clock and self.stamp and not clock.resume(self.stamp):
            self.move(clock.now() - self.last_reading())

    def move(self, span):
        """Add a span to all deadlines; when a push began is not known any more."""
        for owed in self.owed.values():
            owed.ttl_at += span
            owed.ran = {number: (zone, LONGEST_AGO) for number, (zone, _) in owed.ran.items()}
        self.over = {number: ttl_at + span for number, ttl_at in self.over.items()}

    def remember(self, number, ttl_at):
        """Bounded: when there is no room for more, the one that has been over longest is forgotten."""
        self.forget(number)
        self.over[number] = ttl_at
        self.over_size += REMEMBERED + len(number)
        while self.over_size > self.most_over:
            self.forget(next(iter(self.over)))

    def forget(self, number):
        """Its TTL is past: it may be let go."""
        if number in self.over:
            del self.over[number]
            self.over_size -= REMEMBERED + len(number)


def whole(files, folder):
    """`Split` for a folder whose ledger is in several files."""
    path = f"{folder}/{MANIFEST}"
    with suppress(FileNotFoundError):
        files.size(path)
        raise Split(errno.EBUSY, "the ledger is in several files, and shards are off", path)


class Stamps:
    """Readings of a clock for files: one at the head of each, then one a second while something is written.

    clock: the process's; None: files without readings, as versions before them wrote."""

    def __init__(self, clock):
        self.clock, self.due_at = clock, 0

    def line(self):
        """The present reading as a record; nothing where the clock cannot tell the machine's start."""
        stamp = self.clock.stamp() if self.clock else None
        return line(["c", stamp.boot_id, stamp.epoch, stamp.now]) if stamp else b""

    def due(self):
        """As `line`, once a second has passed since the last that was `written`."""
        return self.line() if self.clock and self.clock.now() >= self.due_at else b""

    def written(self):
        if self.clock and self.clock.now() >= self.due_at:
            self.due_at = self.clock.now() + STAMP_EVERY


class Ledger(Books):
    """`inherited`: another process of ours wrote it to the end, and may take it back; nothing is changed.

    `clock`: goes on with the one that the file was written by."""

    def __init__(self, folder, disk, files=None, inherited=False, clock=None):
        super().__init__(files)
        self.stamps = Stamps(clock)
        self.path = f"{folder}/{FILE}"
        self.most_owed, self.most_file = disk * FULL // 8, disk * WASTE // 8
        self.most_over = disk // OVER
        self.pending, self.file, self.file_size = [], -1, 0
        self.torn = False  # half a record may stand at the file's end
        self.load(self.path)
        self.resume(clock)
        if inherited:
            self.go_on()
            return
        try:
            self.compact()
        except OSError as error:
            self.not_rewritten = error
            self.go_on()

    def go_on(self):
        """Write on behind what the file holds; half a record at its end is cut off before the next one."""
        self.file, self.file_size = self.files.open(self.path), self.files.size(self.path)
        self.torn = self.whole_size < self.file_size
        self.file_size = min(self.whole_size, self.file_size)

    def take(self, *fields, under=0):
        owed = Owed(*fields, under=under)
        self.pending.append(line(next(owed.records())))
        self.add(owed, len(self.pending[-1]))

    def write(self, *record):
        self.apply(record)
        self.pending.append(line(record))

    def replace_end(self, number, *end):
        """Write another end of a message in place of one that is not on file yet.

        Behind it, a kill within the write could leave the first one alone on file."""
        self.drop_pending(line(["o", number, *self.owed[number].notice]))
        self.write("o", number, *end)

    def drop_pending(self, raw):
        """Let go of a record that gathered and was not written."""
        self.pending = [one for one in self.pending if one != raw]

    def room(self, size):
        return self.owed_size + 2 * size + 2 * MORE <= self.most_owed

    def flush(self):
        """Write what gathered; on an error it stays gathered, and the file is as before."""
        if not self.pending:
            return
        data = self.stamps.due() + b"".join(self.pending)
        if self.file_size + len(data) > self.most_file:
            self.compact()  # what is pending is applied already, so it is in there
        else:
            self.file_size += self.added(data)
            self.stamps.written()
        self.pending.clear()

    def added(self, data):
        """Threat: half a record would spoil the next one too, and cutting it off fails as well."""
        if self.torn:
            self.cut_off()
        view = memoryview(data)
        try:
            while view:
                view = view[self.write_some(self.file, view) :]
                self.torn = bool(view)
        except OSError:
            if self.torn:
                self.cut_off()
            raise
        return len(data)

    def write_some(self, file, view):
        """How many bytes a write took; a disk that takes none without an error would be asked for ever."""
        size = self.files.write(file, view)
        if not size:
            raise OSError(errno.EIO, "nothing was written")
        return size

    def cut_off(self):
        self.files.truncate(self.file, self.file_size)
        self.torn = False

    def append(self, file, data):
        view = memoryview(data)
        while view:
            view = view[self.write_some(file, view) :]
        return len(data)

    def compact(self):
        """Write what is owed to a new file, and put it in the old one's place in one step."""
        fresh, size = self.path + ".new", 0
        file = self.files.open(fresh, fresh=True)
        try:
            if self.owed or self.over:
                size += self.append(file, self.stamps.line())
            for owed in self.owed.values():
                size += self.append(file, b"".join(map(line, owed.records())))
            over = b"".join(line(["d", *entry]) for entry in self.over.items())
            size += self.append(file, over)
            self.files.rename(fresh, self.path)
        except OSError:
            with suppress(OSError):  # threat: the copy takes the room that the file itself needs
                self.files.truncate(file, 0)
            self.let_go(file)
            raise
        old, self.file, self.file_size, self.torn = self.file, file, size, False
        if old >= 0:
            self.let_go(old)

    def let_go(self, file):
        with suppress(OSError):  # the descriptor is gone all the same
            self.files.close(file)

    def close(self):
        """Write what gathered and let the file go; OSError when it could not be written."""
        if self.file >= 0:
            try:
                self.flush()
            finally:
                self.let_go(self.file)
                self.file = -1
