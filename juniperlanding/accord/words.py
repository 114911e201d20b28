"""What members say to each other about the policy: one word a datagram, MessagePack.  No I/O.

`encoded` gives bytes, `decoded` a word, or raises `Noise` for what no member says.  A ballot is (round, name,
life of the leader): the life keeps two processes of one name from ever sharing one."""

from hashlib import blake2b
from typing import Annotated
from zlib import crc32

import msgspec

MOST, MOST_NAME, MOST_WHY = 1400, 128, 200  # bytes of a word; characters of a name and of a reason
PIECE, MOST_DOCUMENT = 1000, 64 << 10  # bytes of a document in one word, and of a whole one
MOST_HOLDERS, MOST_VOTERS = 4096, 7
# Every figure has bounds: the wire gives no other.
Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
Number = Annotated[int, msgspec.Meta(ge=-1, lt=1 << 62)]
Name = Annotated[str, msgspec.Meta(max_length=MOST_NAME)]
Digest = Annotated[str, msgspec.Meta(max_length=32)]
Why = Annotated[str, msgspec.Meta(max_length=MOST_WHY)]
Epochs = Annotated[list[Count], msgspec.Meta(max_length=MOST_VOTERS)]
Ballot = tuple[Count, Name, Count]
NONE = (0, "", 0)
LIFE_BITS = 33


class Noise(Exception):
    """A datagram that says nothing about the policy."""


class Word(msgspec.Struct, array_like=True, frozen=True, tag=str.lower):
    """epoch, stamp: of the voter that says it, as in `Kept`; epochs: as known, in the voters' order."""

    def but(self, **more):
        """The same with some fields changed."""
        return msgspec.structs.replace(self, **more)


class Ask(Word):
    """A licence for a number, -1 if the asker knows none; among: `voters_sum`."""

    round: Count
    number: Number
    digest: Digest
    among: Count


class Grant(Word):
    """life, round: of the asker, as asked."""

    life: Count
    round: Count
    number: Number
    digest: Digest
    epoch: Count
    stamp: Count


class Denied(Word):
    """number, digest: decided, -1 while the voter is not cleared; ballot: promised for the next number;
    silent: ns since its leader was heard."""

    life: Count
    round: Count
    why: Why
    number: Number
    digest: Digest
    ballot: Ballot
    silent: Count
    epoch: Count
    stamp: Count


class Check(Word):
    number: Number
    digest: Digest


class Says(Word):
    """reason: why the process cannot take the document, "" if it can."""

    number: Number
    digest: Digest
    reason: Why


class Prepare(Word):
    """digest: decided for number - 1, so that a voter that missed it can go on; among: `voters_sum`."""

    ballot: Ballot
    number: Number
    digest: Digest
    among: Count


class Promise(Word):
    """One piece of `of`.  holders: (name, life, ns left) of who may hold a licence for number - 1;
    blind: ns for which others may, whom the voter forgot."""

    ballot: Ballot
    number: Number
    piece: Count
    of: Count
    holders: list[tuple[Name, Count, Count]]
    blind: Count
    accepted: Ballot
    accepted_digest: Digest
    epoch: Count
    stamp: Count
    epochs: Epochs


class Follows(Word):
    """To what was said under `ballot`: the voter promised `leader`, perhaps the same; busy: which is another
    that lives."""

    ballot: Ballot
    number: Number
    leader: Ballot
    busy: bool


class Leads(Word):
    """The leader lives and waits for holders."""

    ballot: Ballot
    number: Number


class Yields(Word):
    """The leader of this ballot goes no further; void: it never asked anybody to accept under it."""

    ballot: Ballot
    number: Number
    void: bool


class Release(Word):
    ballot: Ballot
    number: Number


class Released(Word):
    ballot: Ballot
    number: Number


class Accept(Word):
    ballot: Ballot
    number: Number
    digest: Digest


class Accepted(Word):
    ballot: Ballot
    number: Number
    epoch: Count
    stamp: Count
    epochs: Epochs


class Decided(Word):
    number: Number
    digest: Digest


class Taken(Word):
    """The news was heard."""

    number: Number


class Recall(Word):
    """A voter that started asks what it said before.  epoch: written down before it asks."""

    epoch: Count
    among: Count


class Recalled(Word):
    """epoch: as asked; before, stamp: highest epoch and stamp ever heard from the asker.  voter: whether the
    rest is a voter's record, with its own epoch `own`; sure: it is cleared."""

    epoch: Count
    before: Count
    stamp: Count
    voter: bool = False
    sure: bool = False
    number: Number = 0
    digest: Digest = ""
    promised: Ballot = NONE
    closed: bool = False
    accepted: Ballot = NONE
    accepted_digest: Digest = ""
    own: Count = 0
    epochs: Epochs = []


class Fetch(Word):
    digest: Digest
    piece: Count


class Piece(Word):
    digest: Digest
    piece: Count
    of: Count
    data: Annotated[bytes, msgspec.Meta(max_length=PIECE)]


WORDS = (
    Ask
    | Grant
    | Denied
    | Check
    | Says
    | Prepare
    | Promise
    | Follows
    | Leads
    | Yields
    | Release
    | Released
    | Accept
    | Accepted
    | Decided
    | Taken
    | Recall
    | Recalled
    | Fetch
    | Piece
)
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(WORDS)


def encoded(message):
    return ENCODER.encode(message)


def decoded(data):
    """Threats: noise, another form, figures that no member says."""
    if len(data) > MOST:
        raise Noise("size")
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        raise Noise("form") from None


def digest_of(document):
    """ "" stands for the operators' own file, which is no document."""
    return blake2b(document, digest_size=16).hexdigest() if document else ""


def epoch_after(epoch, life):
    """Threat: a folder that is an older copy begins the same epoch twice; the life tells the two apart."""
    return ((epoch >> LIFE_BITS) + 1 << LIFE_BITS) | life % (1 << LIFE_BITS)


def voters_sum(voters):
    """Threat: two members whose files name other voters would count other majorities."""
    return crc32("\n".join(voters).encode())


class Kept(msgspec.Struct, array_like=True, frozen=True):
    """What a voter writes down before it says it.

    stamp: grows with each write of what counts; number, digest: decided; promised, accepted,
    accepted_digest: for number + 1; documents: digest -> bytes, in force and accepted.  owed: an earlier
    promise for number + 1 closed `number` too; open: no promise closes it any more, the last one's leader
    asked nobody to accept. epoch: greater with each start, its last `LIFE_BITS` those of the life; epochs,
    stamps: of the other voters, as heard."""

    stamp: int = 0
    number: int = 0
    digest: str = ""
    promised: Ballot = NONE
    accepted: Ballot = NONE
    accepted_digest: str = ""
    documents: dict[str, bytes] = {}
    epoch: int = 0
    epochs: dict[str, int] = {}
    stamps: dict[str, int] = {}
    owed: bool = False
    open: bool = False
    doubted: bool = False

    @property
    def closed(self):
        """Whether licences for `number` are over."""
        return self.promised != NONE and not self.open

    def but(self, **more):
        """The same with some fields changed."""
        return msgspec.structs.replace(self, **more)
