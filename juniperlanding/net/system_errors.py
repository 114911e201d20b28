"""Classifies errors of accept and connect: what they affect, and how long to pause before a retry.  No I/O.

Sources: accept(2), connect(2) and socket(2) of Linux."""

import enum
import errno

CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EPROTO,
        errno.EPERM,  # a firewall rule
        errno.EINTR,
        errno.ETIMEDOUT,
        # Network errors already pending on the new connection; accept(2) says to treat them as EAGAIN.
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
NETWORK_ERRORS = frozenset({errno.ENETUNREACH, errno.ENETDOWN})  # no route from this machine
LOCAL_CONNECT_ERRORS = RESOURCE_ERRORS | NETWORK_ERRORS | {errno.EADDRNOTAVAIL, errno.EAGAIN}
FIRST_PAUSE = 0.001  # seconds; doubled with each consecutive failure
MAX_PAUSE = 0.02
UNKNOWN_ERROR_PAUSE = 0.05  # seconds after an error that no manual page names
MAX_CONNECTION_ERRORS = 64  # consecutive failures of single connections; more must have another cause
LOG_INTERVAL = 60.0  # seconds between two log lines about the same error


class Affected(enum.Enum):
    """What an error affects."""

    CONNECTION = "connection"  # a single connection: the next accept may succeed
    RESOURCES = "resources"  # this process or machine is short of descriptors or memory, for a while
    UNKNOWN = "unknown"


def affected(error):
    """What an OSError of accept affects."""
    if error.errno in CONNECTION_ERRORS:
        return Affected.CONNECTION
    if error.errno in RESOURCE_ERRORS:
        return Affected.RESOURCES
    return Affected.UNKNOWN


def is_local(error):
    """Whether connect failed because of this machine, which says nothing about the peer."""
    return isinstance(error, OSError) and error.errno in LOCAL_CONNECT_ERRORS


class Backoff:
    """Exponential backoff, in seconds."""

    def __init__(self):
        self.failures = 0

    def reset(self):
        """After a success: the next pause is the shortest again."""
        self.failures = 0

    def next_pause(self):
        """Counts a failure; returns the pause before the next try."""
        self.failures += 1
        return min(FIRST_PAUSE * 2 ** min(self.failures - 1, 16), MAX_PAUSE)


class AcceptErrors:
    """The accept errors of one listener: how long to pause after each, and which ones to log."""

    def __init__(self):
        self.backoff, self.consecutive_errors, self.logged_at = Backoff(), 0, {}  # logged_at: by errno

    def succeeded(self):
        """After a successful accept: the count of consecutive errors starts again."""
        self.backoff.reset()
        self.consecutive_errors = 0

    def pause(self, error):
        """Seconds to wait before the next accept; 0 when the error affects a single connection.

        An endless series of connection errors is paused as well, or it would use up the processor."""
        kind = affected(error)
        self.consecutive_errors += 1
        if kind is Affected.CONNECTION and self.consecutive_errors <= MAX_CONNECTION_ERRORS:
            return 0.0
        return self.backoff.next_pause() if kind is Affected.RESOURCES else UNKNOWN_ERROR_PAUSE

    def should_log(self, error, now):
        """Whether to log the error: none with its errno was logged in the last minute.  `now` in seconds."""
        if now - self.logged_at.get(error.errno, -LOG_INTERVAL) < LOG_INTERVAL:
            return False
        self.logged_at[error.errno] = now
        return True


def errno_name(error):
    """The symbol of its errno, for counters: `EMFILE`."""
    return errno.errorcode.get(error.errno, "other")
