"""The words between two processes of one dispatcher: a head with lengths, then JSON; no I/O.

    head: b"JLH1", length of the text, how many descriptors follow (big endian, 4 + 4 + 2 bytes)

A message is an object whose `say` is its word.  Descriptors follow the text, `TOGETHER` at most with each
further byte."""

import json
import struct

HEAD = struct.Struct(">4sIH")
MARK, MOST_WORD = b"JLH1", 1 << 12
MOST_TEXT, MOST_FILES, TOGETHER = 64 << 20, 20_000, 100
HELLO, REFUSED, OFFER, READY, YOURS = "hello", "refused", "offer", "ready", "yours"


class Noise(ValueError):
    """Bytes that no process of ours says."""


def pack(say, files=0, **more):
    text = json.dumps({"say": say} | more, separators=(",", ":")).encode()
    if len(text) > MOST_TEXT or files > MOST_FILES:
        raise Noise("too much to say")
    return HEAD.pack(MARK, len(text), files) + text


def head(data, whole=False):
    """(length of the text, descriptors) of a head.

    Threat: who is to say a word sends 64 MB or all its descriptors; only a `whole` offer is large."""
    mark, length, files = HEAD.unpack(data)
    if mark != MARK or length > (MOST_TEXT if whole else MOST_WORD) or files > MOST_FILES * whole:
        raise Noise("no head of ours")
    return length, files


def message(text):
    try:
        read = json.loads(text)
    except (ValueError, RecursionError):
        raise Noise("no JSON") from None
    if not isinstance(read, dict) or not isinstance(read.get("say"), str):
        raise Noise("says nothing")
    return read
