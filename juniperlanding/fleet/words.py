"""What members say to each other: one datagram a message, a keyed digest before MessagePack.  No I/O.

`decoded` gives a `Message`, or raises `Noise` for what is spoilt, another fleet's or of another form."""

from hashlib import blake2b
from hmac import compare_digest

import msgspec

VERSIONS = (1,)  # of the protocol that this text speaks
DIGEST, MOST, MOST_NEWS = 16, 1400, 8  # bytes of the digest and of a datagram; records in one message
# A datagram of another package begins so.  No MessagePack does, and older members count it as noise.
CHANNEL = 0xC1
MOST_PAYLOAD, MOST_ASIDE = 1400, 1800  # bytes of what another package says, and of its whole datagram
MOST_NAME, MOST_SITE = 128, 64  # as the operators' file has them
MOST_FIGURES = 640  # bytes: with the longest names a datagram still has room for news
ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATES = ("alive", "suspect", "dead", "left")
PHASES = ("starting", "serving", "draining", "leaving")
PING, ACK, ASK, NACK, SYNC, PULL, NEWS = "ping", "ack", "ask", "nack", "sync", "pull", "news"


class Noise(Exception):
    """A datagram that says nothing to this fleet."""


class Record(msgspec.Struct, array_like=True, frozen=True):
    """What is said of a member.  inc: the member's own incarnation, only it raises it; life: drawn anew by
    each process, 0 if not known; load: (owed, outstanding); figures: what a part tells of this process, in
    its own form, on a probe and its answer alone.  An older member passes over what stands at the end."""

    name: str
    inc: int
    state: int
    host: str
    port: int
    site: str = ""
    phase: int = 0
    program: str = ""
    versions: tuple = VERSIONS
    life: int = 0
    load: tuple = ()
    figures: bytes = b""

    @property
    def address(self):
        return self.host, self.port

    def but(self, **more):
        """The same with some fields changed."""
        return msgspec.structs.replace(self, **more)


class Message(msgspec.Struct, array_like=True, frozen=True):
    """kind: one of the words above; number: joins an answer to what it answers; source: the sender;
    target: the member that an ask is about, or a sync's sum over who lives."""

    version: int
    fleet: str
    kind: str
    number: int
    source: Record
    target: str = ""
    news: list[Record] = []


class Aside(msgspec.Struct, array_like=True, frozen=True):
    """What another package says over the fleet's socket; life: of the process that says it."""

    fleet: str
    name: str
    life: int
    payload: bytes


ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)
ASIDE = msgspec.msgpack.Decoder(Aside)


def encoded(message, key):
    body = ENCODER.encode(message)
    while len(body) > MOST and message.news:  # long names; what is left out comes with a later message
        message = msgspec.structs.replace(message, news=message.news[: len(message.news) // 2])
        body = ENCODER.encode(message)
    return sealed(body, key)


def sealed(body, key):
    return blake2b(body, digest_size=DIGEST, key=key).digest() + body


def aside(byte, message, key):
    """An `Aside` for the channel of that byte."""
    return sealed(bytes((CHANNEL, byte)) + ENCODER.encode(message), key)


def on_channel(data):
    """The byte of the channel that a datagram is for, or None."""
    return data[DIGEST + 1] if len(data) > DIGEST + 1 and data[DIGEST] == CHANNEL else None


def decoded_aside(data, key, fleet):
    """Threats as in `decoded`."""
    body = opened(data, key, MOST_ASIDE)
    try:
        message = ASIDE.decode(body[2:])
    except (msgspec.MsgspecError, ValueError, RecursionError):
        raise Noise("form") from None
    if message.fleet != fleet:
        raise Noise("fleet")
    if not (
        0 < len(message.name) <= MOST_NAME
        and 0 <= message.life < 1 << 62
        and len(message.payload) <= MOST_PAYLOAD
    ):
        raise Noise("figures")
    return message


def opened(data, key, most):
    if not DIGEST < len(data) <= most + DIGEST:
        raise Noise("size")
    digest, body = data[:DIGEST], data[DIGEST:]
    if not compare_digest(digest, blake2b(body, digest_size=DIGEST, key=key).digest()):
        raise Noise("digest")
    return body


def decoded(data, key, fleet):
    """Threats: noise, spoilt datagrams, forgers, another fleet's members, figures that no member says."""
    body = opened(data, key, MOST)
    try:
        message = DECODER.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        raise Noise("form") from None
    if message.version not in VERSIONS or message.fleet != fleet:
        raise Noise("version" if message.fleet == fleet else "fleet")
    if not all(map(sound, (message.source, *message.news))):
        raise Noise("figures")
    return message


def sound(record):
    return (
        0 <= record.inc < 1 << 62
        and 0 <= record.state < len(STATES)
        and 0 <= record.phase < len(PHASES)
        and 0 < len(record.name) <= MOST_NAME
        and len(record.site) <= MOST_SITE
        and len(record.load) in (0, 2)
        and len(record.figures) <= MOST_FIGURES
        and reachable(record.address)
    )


def reachable(address):
    """Threat: a host that is a name would be looked up, and the whole process waits for that."""
    host, port = address
    parts = host.split(".")
    return (
        len(parts) == 4
        and all(part.isascii() and part.isdigit() and len(part) <= 3 and int(part) < 256 for part in parts)
        and 0 < port < 65536
    )
