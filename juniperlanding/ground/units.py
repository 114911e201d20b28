"""Quantities as text with units: "250ms", "1h30m", "64MiB"; internally they are whole numbers.

No floats are used, so nothing is rounded: a number is read as a decimal fraction, and the result in the base
unit has to be whole."""

import re
from fractions import Fraction

MS, SEC = 10**6, 10**9
TIMES = {
    "ns": 1,
    "us": 10**3,
    "ms": 10**6,
    "s": 10**9,
    "m": 60 * 10**9,
    "h": 3600 * 10**9,
    "d": 86400 * 10**9,
}
SIZES = {"B": 1, "kB": 10**3, "MB": 10**6, "GB": 10**9, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}
MAX_DURATION = 400 * TIMES["d"]
MAX_SIZE = 1 << 44
TERM = re.compile(r"(\d{1,20}(?:\.\d{1,9})?)\s*([A-Za-z]+)")


class Quantity(int):
    """A whole number of the base unit; subclasses define the units, the texts for errors and the maximum."""

    units, description, maximum = {}, "", 0

    @classmethod
    def parse(cls, text):
        """Parse text such as "1.5s"; the text of the ValueError says what was expected."""
        expected = f"{cls.description} such as {cls.example}"
        if not isinstance(text, str):
            raise ValueError(expected)
        total = Fraction(0)
        position = 0
        stripped = text.strip()
        while term := TERM.match(stripped, position):
            number, unit = term.groups()
            if unit not in cls.units:
                raise ValueError(f"{expected}; units are {', '.join(cls.units)}")
            total += Fraction(number) * cls.units[unit]
            position = term.end()
        if not stripped or position != len(stripped):
            raise ValueError(expected)
        if total.denominator != 1:
            raise ValueError(f"{expected}, in whole {next(iter(cls.units))}")
        if total > cls.maximum:
            raise ValueError(f"{expected}, at most {cls(cls.maximum)}")
        return cls(int(total))

    def __str__(self):
        """A whole number of the largest unit that divides it: "1500ms", "2s"."""
        unit, size = next(
            (
                (unit, size)
                for unit, size in sorted(self.units.items(), key=lambda u: -u[1])
                if int(self) % size == 0 and int(self)
            ),
            next(iter(self.units.items())),
        )
        return f"{int(self) // size}{unit}"

    __repr__ = __str__


class Duration(Quantity):
    units, description, example, maximum = TIMES, "a duration", '"250ms"', MAX_DURATION


class Size(Quantity):
    units, description, example, maximum = SIZES, "a size", '"64MiB"', MAX_SIZE


def decode_quantity(kind, value):
    """The `dec_hook` of msgspec for these types."""
    if issubclass(kind, Quantity):
        return kind.parse(value)
    raise NotImplementedError(kind)
