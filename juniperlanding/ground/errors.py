"""Troubles that staff meet: a stable code, what happened, and what an operator can do.

Each package derives its own from `Trouble`.  What no operator can act on (noise from a stranger, a spoilt
answer) is none: it is a counted value.  Log lines and the door take `fields`, the exit text `told`, and
docs/errors.md is made from the classes."""

import errno


class Trouble(Exception):
    """The root; never raised itself.

    A deriving class has `code`, short and never changed once released, and `remedy`, one sentence; its
    docstring says when it comes.  Callers that catch OSError get `class Full(Trouble, OSError)`, made of
    (errno, words, place) as that is."""

    code = remedy = ""

    @classmethod
    def of(cls, error):
        """What the system said, as this trouble."""
        return cls(error.errno, error.strerror or str(error), error.filename)

    @property
    def what(self):
        """What happened, in one line: of an OSError the place, then the system's words."""
        if not isinstance(self, OSError):
            return str(self)
        said = (self.strerror or str(self)).lower()
        return f"{self.filename}: {said}" if self.filename else said

    @property
    def fields(self):
        """For the one log line of its change of mode."""
        return {"code": self.code, "remedy": self.remedy}

    @property
    def told(self):
        """For a person: `CODE: WHAT. Remedy: REMEDY`, one line unless a class has more to tell."""
        return [f"{self.code}: {self.what}. Remedy: {self.remedy}"]


class DiskFull(Trouble, OSError):
    """A write found no room: new work is refused until a write succeeds."""

    code, remedy = "disk-full", "Free room on the disk with the state folder; what waits goes on by itself."


class DiskFailing(Trouble, OSError):
    """The disk failed: a start that cannot read ends there; else new work is refused while it lasts."""

    code, remedy = "disk-failing", "Look at the disk with the state folder; replace it if it goes on failing."


class Unusable(Trouble, OSError):
    """A file or folder is missing, or the dispatcher's user has no right to it."""

    code = "file-unusable"
    remedy = "Make the folder first, or give the dispatcher's user the right to read and write there."


class NoDescriptors(Trouble, OSError):
    """The process, or the machine, has no descriptor left: callers wait until one is free."""

    code = "descriptors-out"
    remedy = "Raise the limit on open files over `limits.sockets`, or look for what else uses them up."


BY_ERRNO = {
    **dict.fromkeys((errno.ENOSPC, errno.EDQUOT), DiskFull),
    **dict.fromkeys((errno.ENOENT, errno.ENOTDIR, errno.EACCES, errno.EPERM, errno.EROFS), Unusable),
    **dict.fromkeys((errno.EMFILE, errno.ENFILE), NoDescriptors),
}


def system(error, place=None):
    """An OSError from a file as the trouble that it is; one that is a trouble already stays itself."""
    if isinstance(error, Trouble):
        return error
    kind = BY_ERRNO.get(error.errno, DiskFailing)
    return kind(error.errno, error.strerror or str(error), error.filename or place)


def known(root=Trouble):
    """Every class with a code that has been imported, by code."""
    found, left = [], [root]
    while left:
        left += (kind := left.pop()).__subclasses__()
        found += [kind] if kind.code else []
    return sorted(set(found), key=lambda kind: kind.code)
