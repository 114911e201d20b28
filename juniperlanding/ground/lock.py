"""A lock file ensures that only one process uses a state folder; it holds the id of that process."""

import errno
import fcntl
import os
from contextlib import suppress

from juniperlanding.ground.errors import OperatorError

LOCK_FILE = "lock"


class Taken(OperatorError, OSError):
    """Another process uses the folder; `pid` is its process id, 0 when that cannot be read."""

    code = "folder-taken"
    remedy = "Stop the named process, or use another folder; never remove the file `lock`."

    def __init__(self, folder, pid):
        super().__init__(errno.EBUSY, f"in use by process {pid}" if pid else "in use", str(folder))
        self.pid = pid


class Lock:
    """An exclusive lock on a folder, held from construction to `close` or to the end of the process.

    `file` is the descriptor of the lock file.  When it is passed to another process, the lock is held until
    both processes have closed it.

    Raises `Taken`, or OSError for a folder that is missing or not writable; nothing has changed then.
    Without the lock, two processes could write one ledger, and each would drop what the other accepted."""

    def __init__(self, folder):
        path = os.path.join(folder, LOCK_FILE)
        self.file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            try:
                fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                raise Taken(folder, holder_pid(self.file)) from None
            self.write_pid()
        except BaseException:
            os.close(self.file)
            raise

    @classmethod
    def inherited(cls, file):
        """A lock received from another process; the file still holds the id of that process."""
        lock = cls.__new__(cls)
        lock.file = file
        return lock

    def write_pid(self):
        """Write the id of this process to the lock file.

        The file keeps its length: some systems flush a file that is truncated and written again, which blocks
        all answers for 50 ms.  The lock holds without the process id, so a failed write is ignored; a
        short disk failure must not end a start."""
        with suppress(OSError):
            os.pwrite(self.file, b"%-20d\n" % os.getpid(), 0)

    def close(self):
        if self.file >= 0:
            os.close(self.file)  # not removed: by now it may be the lock file of another process
        self.file = -1


def holder_pid(file):
    """The process id in an open lock file, or 0."""
    try:
        return int(os.pread(file, 32, 0))
    except ValueError:
        return 0


def folder_holder(folder):
    """The id of the process that uses a folder; None when none does, 0 when the id cannot be read."""
    try:
        file = os.open(os.path.join(folder, LOCK_FILE), os.O_RDONLY | os.O_CLOEXEC)
    except FileNotFoundError:
        return None
    try:
        fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return holder_pid(file)
    finally:
        os.close(file)
    return None
