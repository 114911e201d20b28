"""What a failed accept or connect says: whom it concerns, and how soon it is tried again.  No I/O.

Sources: accept(2), connect(2) and socket(2) of Linux."""

import enum
import errno

CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EPROTO,
        errno.EPERM,  # a firewall's rule
        errno.EINTR,
        errno.ETIMEDOUT,
        # Errors of the network that were pending on the new connection; accept(2) wants them passed over.
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
    }
)
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
NETWORK_ERRORS = frozenset({errno.ENETUNREACH, errno.ENETDOWN})  # no way there from here
LOCAL_CONNECT_ERRORS = RESOURCE_ERRORS | NETWORK_ERRORS | {errno.EADDRNOTAVAIL, errno.EAGAIN}
FIRST_PAUSE, MOST_PAUSE = 0.001, 0.02  # seconds; doubled from one failure to the next
UNKNOWN_PAUSE = 0.05  # seconds after an error that no page names
MOST_PASSED_OVER = 64  # failures of single connections in a row; more of them come from something else
LOG_EVERY = 60.0  # seconds between two lines on the same kind of error


class Concerns(enum.Enum):
    """Whom an error concerns."""

    CONNECTION = "connection"  # that one alone: the next may be fine
    RESOURCES = "resources"  # this process or machine lacks descriptors or memory, which passes
    UNKNOWN = "unknown"


def concerns(error):
    """Whom an OSError of accept concerns."""
    if error.errno in CONNECTION_ERRORS:
        return Concerns.CONNECTION
    if error.errno in RESOURCE_ERRORS:
        return Concerns.RESOURCES
    return Concerns.UNKNOWN


def is_local(error):
    """Whether a failed connect is this machine's trouble, and says nothing of the other side."""
    return isinstance(error, OSError) and error.errno in LOCAL_CONNECT_ERRORS


class Backoff:
    """Pauses between tries that keep failing, in seconds."""

    def __init__(self):
        self.failures = 0

    def succeeded(self):
        """A try went well: the next pause is the first again."""
        self.failures = 0

    def failed(self):
        """Count a failure; the pause until the next try."""
        self.failures += 1
        return min(FIRST_PAUSE * 2 ** min(self.failures - 1, 16), MOST_PAUSE)


class AcceptErrors:
    """The failed accepts of one listener: pauses, and which of them are worth a line in the log."""

    def __init__(self):
        self.backoff, self.in_a_row, self.logged_at = Backoff(), 0, {}

    def succeeded(self):
        """An accept went well: errors in a row end here."""
        self.backoff.succeeded()
        self.in_a_row = 0

    def pause(self, error):
        """Seconds until accepting goes on after this error; 0 where it concerns that connection alone.

        Errors without end that seem to be of connections would use up the processor."""
        kind = concerns(error)
        self.in_a_row += 1
        if kind is Concerns.CONNECTION and self.in_a_row <= MOST_PASSED_OVER:
            return 0.0
        return self.backoff.failed() if kind is Concerns.RESOURCES else UNKNOWN_PAUSE

    def is_news(self, error, now):
        """Whether an error of this kind was not logged within the last minute; `now` in seconds."""
        if now - self.logged_at.get(error.errno, -LOG_EVERY) < LOG_EVERY:
            return False
        self.logged_at[error.errno] = now
        return True


def name(error):
    """Its symbol, for counters: `EMFILE`."""
    return errno.errorcode.get(error.errno, "other")
