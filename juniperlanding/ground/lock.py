"""A folder belongs to one running instance: a locked file in it names the process."""

import errno
import fcntl
import os
from contextlib import suppress

from juniperlanding.ground.errors import Trouble

FILE = "lock"


class Taken(Trouble, OSError):
    """Another process has the folder; `pid` names it, 0 when it cannot be read."""

    code = "folder-taken"
    remedy = "End the process that is named, or use another folder; never remove the file `lock`."

    def __init__(self, folder, pid):
        super().__init__(errno.EBUSY, f"in use by process {pid}" if pid else "in use", str(folder))
        self.pid = pid


class Lock:
    """`file` is its descriptor; handed to another process, it holds the lock there too, until both closed it.

    Held from construction to `close`, or to the end of the process however that comes.

    Raises `Taken`, or OSError for a folder that is missing or cannot be written; then nothing was changed.
    Threat: two processes write one ledger, and each drops what the other took on."""

    def __init__(self, folder):
        path = os.path.join(folder, FILE)
        self.file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            try:
                fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                raise Taken(folder, holder(self.file)) from None
            self.name()
        except BaseException:
            os.close(self.file)
            raise

    @classmethod
    def inherited(cls, file):
        """A lock that another process handed to us; it still names that process."""
        lock = cls.__new__(cls)
        lock.file = file
        return lock

    def name(self):
        """Write down which process has the folder.

        Threat: a file that is cut to nothing and written again is flushed by some systems, for 50 ms in which
        nobody is answered; so it keeps its length.  The lock holds without the name: a disk that fails for a
        moment must not end a start."""
        with suppress(OSError):
            os.pwrite(self.file, b"%-20d\n" % os.getpid(), 0)

    def close(self):
        if self.file >= 0:
            os.close(self.file)  # the file stays: taking it away could take another's
        self.file = -1


def holder(file):
    """The process that an open lock file names, or 0."""
    try:
        return int(os.pread(file, 32, 0))
    except ValueError:
        return 0


def in_use(folder):
    """The process that holds a folder; None when nobody does, 0 when its number cannot be read."""
    try:
        file = os.open(os.path.join(folder, FILE), os.O_RDONLY | os.O_CLOEXEC)
    except FileNotFoundError:
        return None
    try:
        fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return holder(file)
    finally:
        os.close(file)
    return None
