"""Frames of the drill wire: little-endian records, decoded straight into calls on a receiver."""

import struct

BATCH, REPLY = struct.Struct("<IIIQ"), struct.Struct("<III")
ENTRY = struct.Struct("<BIfBQBH")
EVERYONE = 0xFFFF
TRIMMED = 0xFFFF  # the wire's text length is a u16

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

# code: (name, fixed part, what follows: B bytes counted by u32, b by u16, F floats by u8, E entries)
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
CODES = {name: 320 + at for at, name in enumerate(ACTIONS)}


class Malformed(Exception):
    """A frame that the wire does not allow."""


def read_batch(stream):
    """The next batch as (number, clock, record count, bytes); None at the end of input."""
    head = stream.read(BATCH.size)
    if not head:
        return None
    if len(head) < BATCH.size:
        raise Malformed(f"truncated header: {len(head)} of {BATCH.size} bytes")
    number, size, count, now = BATCH.unpack(head)
    # the size counts all that follows its own field, so the rest of the header too
    rest = size - (BATCH.size - 8)
    if rest < 0:
        raise Malformed(f"batch {number}: length {size} is shorter than its header")
    body = stream.read(rest)
    if len(body) < rest:
        raise Malformed(f"batch {number}: truncated, {len(body)} of {rest} bytes")
    return number, now, count, body


def records(count, body):
    """The records of a batch, one at a time: (name, fields)."""
    at = 0
    try:
        for _ in range(count):
            (code,) = struct.unpack_from("<H", body, at)
            if code not in EVENTS:
                raise Malformed(f"unknown code {code}")
            name, fixed, tail = EVENTS[code]
            fields = fixed.unpack_from(body, at + 2)
            at += 2 + fixed.size
            if tail:
                extra, at = follow(tail, body, at)
                fields += (extra,)
            yield name, fields
    except struct.error as cut:
        raise Malformed(f"truncated record: {cut}") from cut
    if at != len(body):
        raise Malformed(f"{len(body) - at} bytes after the last record")


def follow(tail, body, at):
    if tail == "F":
        n = body[at] if at < len(body) else 0
        values = struct.unpack_from(f"<B{n}f", body, at)[1:]
        return values, at + 1 + 4 * n
    width = struct.Struct("<H" if tail == "b" else "<I")
    (n,) = width.unpack_from(body, at)
    at += width.size
    size = n * ENTRY.size if tail == "E" else n
    if at + size > len(body):
        raise Malformed(f"truncated content: {len(body) - at} of {size} bytes")
    part = body[at : at + size]
    return (list(ENTRY.iter_unpack(part)) if tail == "E" else part), at + size


def action(name, dispatcher, *fields, text=None):
    if text is None:
        return ACTIONS[name].pack(CODES[name], dispatcher, *fields)
    return ACTIONS[name].pack(CODES[name], dispatcher, *fields, len(text[:TRIMMED])) + text[:TRIMMED]


def reply(number, actions):
    body = b"".join(actions)
    return REPLY.pack(number, len(actions), len(body)) + body
