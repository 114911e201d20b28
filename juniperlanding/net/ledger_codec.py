"""Records of the ledger as lines of a file, and what can still be read of damaged ones.  No I/O.

A line is a checksum (CRC-32, eight hexadecimal digits), a space, and a JSON list."""

import json
import re
from contextlib import suppress
from zlib import crc32

CHECKSUM, TEXT = slice(0, 8), slice(9, None)  # where a line has them
RECORD_BEGINS = re.compile(rb"[0-9a-f]{8} \[")
# What a change of the last byte does to a checksum: change -> difference.
BYTE_ERRORS = {crc32(bytes([error])) ^ crc32(b"\0"): error for error in range(256)}
# The same by the difference's highest byte, to run a checksum back over the bytes behind a change.
BY_HIGHEST_BYTE = {after >> 24: (error, after) for after, error in BYTE_ERRORS.items()}


def line(record):
    """A record as it stands in the file."""
    text = json.dumps(record, separators=(",", ":")).encode()
    return b"%08x %b\n" % (crc32(text), text)


def parse(raw):
    """The record of a line without its end; ValueError for a torn or foreign one."""
    if int(raw[CHECKSUM], 16) != crc32(raw[TEXT]):
        raise ValueError("checksum")
    return json.loads(raw[TEXT])


def is_whole(raw):
    """Whether a line is one whole record."""
    with suppress(ValueError):
        return parse(raw) is not None
    return False


def records_within(raw):
    """(record, size) of each that a line holds: the byte that ends a record may be the damaged one."""
    starts = [0, *(begins.start() for begins in RECORD_BEGINS.finditer(raw, 1))]
    ends = [*(start - 1 for start in starts[1:]), len(raw)]
    for start, end in zip(starts, ends, strict=True):
        with suppress(ValueError):
            yield parse(raw[start:end]), end - start


def mended(raw):
    """The record of a line in which one byte is damaged; ValueError where it is more.

    The difference of the checksums is run back byte by byte, until it is what one byte alone does."""
    told, text = raw[CHECKSUM], raw[TEXT]
    if sum(map(int.__ne__, told, b"%08x" % crc32(text))) <= 1:
        return json.loads(text)  # the damaged byte is the checksum's, or stands behind it
    difference = int(told, 16) ^ crc32(text)
    for at in reversed(range(len(text))):
        if error := BYTE_ERRORS.get(difference):
            return json.loads(text[:at] + bytes([text[at] ^ error]) + text[at + 1 :])
        error, after = BY_HIGHEST_BYTE[difference >> 24]
        difference = (difference ^ after) << 8 | error
    raise ValueError("more than a byte")
