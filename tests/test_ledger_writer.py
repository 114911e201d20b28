"""The ledger's writer: attempts, pauses, and one log line for each failure and its end."""

from collections import Counter

from juniperlanding.choice import MS, SEC
from juniperlanding.net.ledger_writer import MAX_WRITE_BACKOFF, WRITE_ATTEMPTS, WRITE_BACKOFF, LedgerWriter


class Disk:
    """A ledger whose next writes fail so many times, and the clock and the log of its writer."""

    def __init__(self):
        self.failures, self.now, self.lines, self.counters = 0, SEC, [], Counter()
        self.writer = LedgerWriter(self, lambda: self.now, self.counters, self.log)

    def flush(self):
        if self.failures:
            self.failures -= 1
            raise OSError(28, "no space left on device")

    def log(self, event, text, **fields):
        self.lines.append((text, fields.get("after")))


def test_a_write_that_fails_now_and_then_is_no_failure():
    disk = Disk()
    disk.failures = WRITE_ATTEMPTS - 1
    assert disk.writer.flush() and not disk.writer.is_failing and not disk.lines
    assert disk.counters["ledger_errors"] == WRITE_ATTEMPTS - 1


def test_pauses_double_up_to_a_limit_and_begin_anew_after_a_write():
    disk, pauses = Disk(), []
    for _ in range(6):
        disk.failures = WRITE_ATTEMPTS
        assert not disk.writer.flush() and not disk.writer.is_due(disk.writer.next_write_at - 1)
        pauses.append(disk.writer.next_write_at - disk.now)
        disk.now = disk.writer.next_write_at
        assert disk.writer.is_due(disk.now)
    assert pauses == [5 * MS, 10 * MS, 20 * MS, 40 * MS, MAX_WRITE_BACKOFF, MAX_WRITE_BACKOFF]
    assert disk.writer.flush()
    disk.failures = WRITE_ATTEMPTS
    disk.writer.flush()
    assert disk.writer.next_write_at - disk.now == WRITE_BACKOFF


def test_the_end_of_a_failure_tells_how_long_this_one_lasted():
    """Guards against a second failure that is counted from the begin of an older one."""
    disk = Disk()
    for lasts in (3 * SEC, SEC // 2):
        disk.failures = 2 * WRITE_ATTEMPTS
        disk.writer.flush()
        disk.now += lasts
        disk.writer.flush()
        disk.writer.flush()
        disk.now += 60 * SEC
    assert disk.lines == [
        ("cannot write", None),
        ("writes again", "3.00s"),
        ("cannot write", None),
        ("writes again", "0.50s"),
    ]
