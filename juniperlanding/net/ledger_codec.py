"""Encodes ledger records as lines of a file, and recovers records from damaged lines.  No I/O.

A line is a checksum (CRC-32, eight hexadecimal digits), a space, and a JSON list."""

import json
import re
from contextlib import suppress
from zlib import crc32

CHECKSUM = slice(0, 8)  # of a line
TEXT = slice(9, None)
RECORD_START = re.compile(rb"[0-9a-f]{8} \[")
# How the checksum changes when the last byte of a text changes: checksum difference -> XOR of the byte.
BYTE_ERRORS = {crc32(bytes([error])) ^ crc32(b"\0"): error for error in range(256)}
# The same, by the highest byte of the difference; reverses the CRC over the bytes after the changed one.
BYTE_ERRORS_BY_HIGH_BYTE = {
    difference >> 24: (error, difference) for difference, error in BYTE_ERRORS.items()
}


def line(record):
    """Encodes a record as a line, with its end."""
    text = json.dumps(record, separators=(",", ":")).encode()
    return b"%08x %b\n" % (crc32(text), text)


def parse(raw):
    """Decodes a line without its end; ValueError when it is incomplete, damaged or not a record."""
    if int(raw[CHECKSUM], 16) != crc32(raw[TEXT]):
        raise ValueError("checksum")
    return json.loads(raw[TEXT])


def is_valid(raw):
    """Whether a line is exactly one record."""
    with suppress(ValueError):
        return parse(raw) is not None
    return False


def records_within(raw):
    """Yields (record, size) for each record in a line.

    A line holds several where a damaged byte was the line feed between two records."""
    starts = [0, *(match.start() for match in RECORD_START.finditer(raw, 1))]
    ends = [*(start - 1 for start in starts[1:]), len(raw)]
    for start, end in zip(starts, ends, strict=True):
        with suppress(ValueError):
            yield parse(raw[start:end]), end - start


def repaired(raw):
    """Decodes a line in which one byte is damaged; ValueError when more are.

    Reverses the CRC byte by byte from the end of the text, until the difference between the stored and the
    computed checksum is one that a single changed byte explains."""
    stored = raw[CHECKSUM]
    text = raw[TEXT]
    if sum(map(int.__ne__, stored, b"%08x" % crc32(text))) <= 1:
        return json.loads(text)  # the damaged byte is in the checksum, or is the space after it
    difference = int(stored, 16) ^ crc32(text)
    for position in reversed(range(len(text))):
        if error := BYTE_ERRORS.get(difference):
            return json.loads(text[:position] + bytes([text[position] ^ error]) + text[position + 1 :])
        error, after = BYTE_ERRORS_BY_HIGH_BYTE[difference >> 24]
        difference = (difference ^ after) << 8 | error
    raise ValueError("more than one byte is damaged")
