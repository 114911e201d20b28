"""Message format of a hand-over between two processes of one dispatcher: a header, then JSON; no I/O.

    header: b"JLH1", length of the JSON text, number of descriptors (big endian, 4 + 4 + 2 bytes)

A message is a JSON object whose key `say` is its type.  File descriptors follow the text, at most
`DESCRIPTORS_PER_SEND` with each further byte."""

import json
import struct

HEADER = struct.Struct(">4sIH")
MARK = b"JLH1"
MAX_MESSAGE_BYTES = 1 << 12  # of any message but an offer
MAX_OFFER_BYTES = 64 << 20
MAX_DESCRIPTORS = 20_000
DESCRIPTORS_PER_SEND = 100
# Message types.
HELLO = "hello"
REFUSED = "refused"
OFFER = "offer"
READY = "ready"
YOURS = "yours"
RELOAD = "reload"  # from a replaced process: the configuration file has changed


class Noise(ValueError):
    """Bytes that are not a message of this protocol."""


def pack(message_type, descriptors=0, **fields):
    text = json.dumps({"say": message_type} | fields, separators=(",", ":")).encode()
    if len(text) > MAX_OFFER_BYTES or descriptors > MAX_DESCRIPTORS:
        raise Noise("message too long, or too many descriptors")
    return HEADER.pack(MARK, len(text), descriptors) + text


def read_header(data, allow_offer=False):
    """(length of the text, number of descriptors).

    Only an offer may be large or bring descriptors: the other messages come from a process that has not been
    accepted yet, which could otherwise send 64 MB, or as many descriptors as it has."""
    mark, length, descriptors = HEADER.unpack(data)
    if (
        mark != MARK
        or length > (MAX_OFFER_BYTES if allow_offer else MAX_MESSAGE_BYTES)
        or descriptors > MAX_DESCRIPTORS * allow_offer
    ):
        raise Noise("invalid message header")
    return length, descriptors


def read_message(text):
    try:
        message = json.loads(text)
    except (ValueError, RecursionError):
        raise Noise("message is not JSON") from None
    if not isinstance(message, dict) or not isinstance(message.get("say"), str):
        raise Noise("message has no type")
    return message
