"""Writes the ledger's records, and backs off while the disk fails."""

from juniperlanding.choice import MS, SEC
from juniperlanding.ground.errors import as_operator_error
from juniperlanding.ground.log import safe_description

WRITE_ATTEMPTS = 3  # in one iteration, so that a disk that fails now and then has no client rejected
WRITE_BACKOFF = 5 * MS  # until a ledger that could not be written is tried again, doubled each time
MAX_WRITE_BACKOFF = 50 * MS


class LedgerWriter:
    """Writes what the ledger has buffered; `is_failing` tells whether the last attempt failed.

    now: returns the dispatcher's time in nanoseconds.  A failure is logged once for as long as its error
    stays the same, and its end with the time that it lasted."""

    def __init__(self, ledger, now, counters, log):
        self.ledger = ledger
        self.now = now
        self.counters = counters
        self.log = log
        self.is_failing = False
        self.next_write_at = 0  # while it fails: when to try again
        self.backoff = WRITE_BACKOFF
        self.failing_since = 0
        self.logged_error = None

    def is_due(self, now):
        """Whether a write may be tried now."""
        return not self.is_failing or now >= self.next_write_at

    def flush(self):
        """Write all buffered records; whether they are in the file now."""
        now = self.now()
        try:
            self.flush_with_retries()
        except OSError as error:
            self.record_failure(error, now)
        else:
            self.record_success(now)
        return not self.is_failing

    def flush_with_retries(self):
        """Write in up to `WRITE_ATTEMPTS` attempts; raises the OSError of the last one."""
        for _ in range(WRITE_ATTEMPTS - 1):
            try:
                return self.ledger.flush()
            except OSError:
                self.counters["ledger_errors"] += 1
        self.ledger.flush()

    def record_success(self, now):
        """Log the end of a failure, if there was one."""
        self.backoff = WRITE_BACKOFF
        if self.is_failing:
            self.is_failing = False
            self.logged_error = None
            self.log("ledger", "writes again", after=f"{(now - self.failing_since) / SEC:.2f}s")

    def record_failure(self, error, now):
        """Count and log a failure, and set the time of the next attempt."""
        if not self.is_failing:
            self.failing_since = now
        self.is_failing = True
        self.next_write_at = now + self.backoff
        self.backoff = min(2 * self.backoff, MAX_WRITE_BACKOFF)
        self.counters["ledger_errors"] += 1
        description = safe_description(error)
        if self.logged_error != description:
            self.logged_error = description
            self.log("ledger", "cannot write", why=description, **as_operator_error(error).log_fields)
