"""Errors for operators: each has a stable code, says what happened and what an operator can do.

Each package derives its own classes from `OperatorError`.  Events on which no operator can act (invalid
input from a stranger, a malformed answer) are counted instead.  Log lines and the admin port use
`log_fields`, the text printed at exit uses `display_lines`, and docs/errors.md is generated from the
classes."""

import errno


class OperatorError(Exception):
    """The base class; never raised itself.

    A subclass defines `code`, which is short and never changes once released, and `remedy`, one sentence; its
    docstring says when the error occurs.  Where callers catch OSError, the subclass derives from it too
    (`class DiskFull(OperatorError, OSError)`) and takes the same arguments: errno, message and path."""

    code = remedy = ""

    @classmethod
    def from_os_error(cls, error):
        """This error with the errno, message and path of an OSError."""
        return cls(error.errno, error.strerror or str(error), error.filename)

    @property
    def message(self):
        """What happened, in one line; for an OSError the path and the system's message."""
        if not isinstance(self, OSError):
            return str(self)
        message = (self.strerror or str(self)).lower()
        return f"{self.filename}: {message}" if self.filename else message

    @property
    def log_fields(self):
        """Fields of the log line that reports the error, written once per change of state."""
        return {"code": self.code, "remedy": self.remedy}

    @property
    def display_lines(self):
        """Lines to print for an operator: `CODE: WHAT. Remedy: REMEDY`; some classes have several lines."""
        return [f"{self.code}: {self.message}. Remedy: {self.remedy}"]


class DiskFull(OperatorError, OSError):
    """A write failed for lack of disk space: new work is refused until a write succeeds."""

    code = "disk-full"
    remedy = "Free space on the disk with the state folder; the dispatcher then resumes by itself."


class DiskFailing(OperatorError, OSError):
    """A disk error: a start that cannot read its files ends; later, new work is refused while it lasts."""

    code = "disk-failing"
    remedy = "Check the disk with the state folder; replace it if it keeps failing."


class Unusable(OperatorError, OSError):
    """A file or folder is missing, or the dispatcher's user may not access it."""

    code = "file-unusable"
    remedy = "Create the folder, or give the dispatcher's user permission to read and write there."


class NoDescriptors(OperatorError, OSError):
    """The process or the machine has no file descriptor left: clients wait until one is free."""

    code = "descriptors-out"
    remedy = "Raise the open file limit above `limits.sockets`, or find what else uses the descriptors."


BY_ERRNO = {
    **dict.fromkeys((errno.ENOSPC, errno.EDQUOT), DiskFull),
    **dict.fromkeys((errno.ENOENT, errno.ENOTDIR, errno.EACCES, errno.EPERM, errno.EROFS), Unusable),
    **dict.fromkeys((errno.EMFILE, errno.ENFILE), NoDescriptors),
}


def as_operator_error(error, place=None):
    """Convert an OSError to the `OperatorError` for its errno; one that is one already is returned as is.

    place: the path to name when the error has none."""
    if isinstance(error, OperatorError):
        return error
    kind = BY_ERRNO.get(error.errno, DiskFailing)
    return kind(error.errno, error.strerror or str(error), error.filename or place)


def all_error_classes(root=OperatorError):
    """All imported subclasses that have a code, sorted by code."""
    found, pending = [], [root]
    while pending:
        pending += (kind := pending.pop()).__subclasses__()
        found += [kind] if kind.code else []
    return sorted(set(found), key=lambda kind: kind.code)
