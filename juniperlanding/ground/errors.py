"""Troubles that staff meet: a stable code, what happened, and what an operator can do.

Each package derives its own from `Trouble`.  What no operator can act on (noise from a stranger, a spoilt
answer) is none: it is a counted value.  Log lines take `fields`, the door and the exit text `lines`, and
docs/errors.md is made from the classes."""


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
    def lines(self):
        """For a person: `CODE: WHAT. Remedy: REMEDY`, one line unless a class has more to tell."""
        return [f"{self.code}: {self.what}. Remedy: {self.remedy}"]


def known(root=Trouble):
    """Every class with a code that has been imported, by code."""
    found, left = [], [root]
    while left:
        left += (kind := left.pop()).__subclasses__()
        found += [kind] if kind.code else []
    return sorted(set(found), key=lambda kind: kind.code)
