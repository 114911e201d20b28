"""Frames of the drill wire: little-endian records, decoded into names and fields, and actions encoded.

A batch holds the events for all dispatchers at one time; the reply holds the actions that they ask for."""

import struct

BATCH = struct.Struct("<IIIQ")  # number, size of the rest, count of records, clock
REPLY = struct.Struct("<III")  # number, count of actions, their size
ENTRY = struct.Struct("<BIfBQBH")  # kind, endpoint, scale, zone, since, state, destination
EVERYONE = 0xFFFF  # as the addressee of a note
MAX_TEXT = 0xFFFF  # the length of a text is a u16

OUTCOMES = {
    0: "delivered",
    5: "error",
    11: "throttled",
    110: "timeout",
    111: "unreachable",
    104: "reset",
    125: "cancelled",
    114: "moot",
}
STATES = {0: "draining", 2: "ready", 3: "gone"}
NEWS = {0: "changes", 1: "whole", 2: "cached", 3: "failed"}

# code: (name, fixed part, what follows it)
# B: bytes counted by a u32; b: bytes counted by a u16; F: floats counted by a u8; E: entries counted by a u32
EVENTS = {
    256: ("established", struct.Struct("<HQBIQ"), ""),
    257: ("stop", struct.Struct("<H"), ""),
    258: ("pong", struct.Struct("<HIHQ"), "F"),
    259: ("wake", struct.Struct("<HQ"), ""),
    260: ("datagram", struct.Struct("<HI"), "b"),
    261: ("enlist", struct.Struct("<HQ"), "B"),
    262: ("directory", struct.Struct("<B"), "E"),
    263: ("topology", struct.Struct("<HBIB"), ""),
    264: ("finished", struct.Struct("<HQIBIQBH"), "F"),
    265: ("vanished", struct.Struct("<HQ"), ""),
    266: ("incoming", struct.Struct("<HQHHQQQfH"), ""),
}
ACTIONS = {
    "snapshot": struct.Struct("<HH"),
    "inspect": struct.Struct("<HHI"),
    "end_failed": struct.Struct("<HHQ"),
    "try": struct.Struct("<HHQIQ"),
    "track": struct.Struct("<HHB"),
    "not_now": struct.Struct("<HHQQ"),
    "say": struct.Struct("<HHHH"),
    "give_in": struct.Struct("<HHH"),
    "trace": struct.Struct("<HHH"),
    "after": struct.Struct("<HHQQ"),
    "disconnect": struct.Struct("<HHI"),
    "abort_attempt": struct.Struct("<HHQB"),
}
CODES = {name: 320 + offset for offset, name in enumerate(ACTIONS)}


class Malformed(Exception):
    """A frame that the wire format does not allow."""


def read_batch(stream):
    """The next batch as (number, clock, record count, bytes); None at the end of input."""
    head = stream.read(BATCH.size)
    if not head:
        return None
    if len(head) < BATCH.size:
        raise Malformed(f"truncated header: {len(head)} of {BATCH.size} bytes")
    number, size, count, now = BATCH.unpack(head)
    # The size counts all that follows its own field, so the rest of the header too.
    rest = size - (BATCH.size - 8)
    if rest < 0:
        raise Malformed(f"batch {number}: length {size} is shorter than its header")
    body = stream.read(rest)
    if len(body) < rest:
        raise Malformed(f"batch {number}: truncated, {len(body)} of {rest} bytes")
    return number, now, count, body


def records(count, body):
    """The records of a batch, one at a time: (name, fields)."""
    offset = 0
    try:
        for _ in range(count):
            (code,) = struct.unpack_from("<H", body, offset)
            if code not in EVENTS:
                raise Malformed(f"unknown code {code}")
            name, fixed, tail = EVENTS[code]
            fields = fixed.unpack_from(body, offset + 2)
            offset += 2 + fixed.size
            if tail:
                content, offset = tail_content(tail, body, offset)
                fields += (content,)
            yield name, fields
    except struct.error as error:
        raise Malformed(f"truncated record: {error}") from error
    if offset != len(body):
        raise Malformed(f"{len(body) - offset} bytes after the last record")


def tail_content(tail, body, offset):
    """What follows the fixed part of a record, and the offset behind it."""
    if tail == "F":
        count = body[offset] if offset < len(body) else 0
        values = struct.unpack_from(f"<B{count}f", body, offset)[1:]
        return values, offset + 1 + 4 * count
    counter = struct.Struct("<H" if tail == "b" else "<I")
    (count,) = counter.unpack_from(body, offset)
    offset += counter.size
    size = count * ENTRY.size if tail == "E" else count
    if offset + size > len(body):
        raise Malformed(f"truncated content: {len(body) - offset} of {size} bytes")
    part = body[offset : offset + size]
    return (list(ENTRY.iter_unpack(part)) if tail == "E" else part), offset + size


def action(name, dispatcher, *fields, text=None):
    """One action as bytes; a text that is too long for the wire is cut."""
    if text is None:
        return ACTIONS[name].pack(CODES[name], dispatcher, *fields)
    return ACTIONS[name].pack(CODES[name], dispatcher, *fields, len(text[:MAX_TEXT])) + text[:MAX_TEXT]


def reply(number, actions):
    """The reply to a batch."""
    body = b"".join(actions)
    return REPLY.pack(number, len(actions), len(body)) + body
