"""Whether something may be sent, closed or taken on now, and why not.  No I/O and no clock.

Every path asks here right before it acts: the last byte of a call (`may_send`), the end of a client's
connection (`may_close`), the yes to a client (`may_take_on`), the start of calls (`may_start`).  What the
path knows goes in as a plain record, a `Verdict` with its reason comes out."""

import enum
from dataclasses import dataclass
from typing import NamedTuple


class Reason(enum.StrEnum):
    """Why something may not be done; the words stand in counters and log lines."""

    ALLOWED = "allowed"
    ENDED = "ended"
    EXPIRED = "expired"
    WINDOW_OVER = "window_over"
    RAN_ONCE = "ran_once"
    NOT_IN_SERVICE = "not_in_service"
    TOLD_TO_WAIT = "told_to_wait"
    REQUEST_UNREAD = "request_unread"
    REQUEST_UNANSWERED = "request_unanswered"
    STARTING = "starting"
    STOPPING = "stopping"
    HANDED_OVER = "handed_over"
    NOT_WRITABLE = "not_writable"
    CLIENT_LEFT = "client_left"
    UNKNOWN_DESTINATION = "unknown_destination"
    UNLICENSED = "unlicensed"
    NO_PLACE = "no_place"
    NO_DISK = "no_disk"


class Rule(enum.StrEnum):
    """What is counted when it was broken, or would have been but for the last look."""

    SEND = "send"  # a path did not call back what must not leave
    ANSWERED_TWICE = "answered_twice"
    LATE_END = "late_end"
    CLOSED_UNANSWERED = "closed_unanswered"


# No path may come to the last byte with these; the others come with time alone.
BROKEN_BY_A_PATH = frozenset({Reason.NOT_IN_SERVICE, Reason.TOLD_TO_WAIT, Reason.RAN_ONCE})


class Verdict(NamedTuple):
    """`reason` is `Reason.ALLOWED`, or the first one found against it."""

    reason: Reason

    @property
    def is_allowed(self):
        """Whether nothing stands against it."""
        return self.reason is Reason.ALLOWED


@dataclass(frozen=True, slots=True)
class SendFacts:
    """One message whose call is about to be complete.  Times are nanoseconds of the dispatcher's clock.

    is_owed: it has no final answer yet; deadline: its TTL's end; may_have_run, is_once_only: of earlier
    calls and its topic; repeats_until: the end of its window for repeats; is_in_service: its endpoint, by the
    last list; wait_until: the end of the wait that its endpoint told."""

    is_owed: bool
    deadline: int
    may_have_run: bool
    is_once_only: bool
    repeats_until: int
    is_in_service: bool
    wait_until: int


@dataclass(frozen=True, slots=True)
class CloseFacts:
    """A client's connection.  has_unread: bytes that nobody read yet; is_request_whole: one was read to its
    last byte; is_answered: the answer to it was written."""

    has_unread: bool = False
    is_request_whole: bool = False
    is_answered: bool = False


@dataclass(frozen=True, slots=True)
class TakeOnFacts:
    """A message that a client hands in, and the state of the process."""

    is_ready: bool = True
    is_writable: bool = True
    is_stopping: bool = False
    has_client_left: bool = False
    is_destination_known: bool = True
    is_licensed: bool = True
    has_place: bool = True
    has_disk: bool = True


def first(*found):
    """The first reason whose condition holds, as a verdict."""
    return Verdict(next((reason for holds, reason in found if holds), Reason.ALLOWED))


def may_send(facts, now):
    """Whether the last byte of a call that carries this message may leave."""
    return first(
        (not facts.is_owed, Reason.ENDED),
        (facts.may_have_run and facts.is_once_only, Reason.RAN_ONCE),
        (not facts.is_in_service, Reason.NOT_IN_SERVICE),
        (now < facts.wait_until, Reason.TOLD_TO_WAIT),
        (now >= facts.deadline, Reason.EXPIRED),
        (facts.may_have_run and now >= facts.repeats_until, Reason.WINDOW_OVER),
    )


def may_close(facts):
    """Whether a client's connection may be ended with no further answer."""
    return first(
        (facts.is_request_whole and not facts.is_answered, Reason.REQUEST_UNANSWERED),
        (facts.has_unread, Reason.REQUEST_UNREAD),
    )


def may_take_on(facts):
    """Whether a client may be told yes."""
    return first(
        (not facts.is_ready, Reason.STARTING),
        (facts.is_stopping, Reason.STOPPING),
        (facts.has_client_left, Reason.CLIENT_LEFT),
        (not facts.is_licensed, Reason.UNLICENSED),
        (not facts.is_writable, Reason.NOT_WRITABLE),
        (not facts.is_destination_known, Reason.UNKNOWN_DESTINATION),
        (not facts.has_place, Reason.NO_PLACE),
        (not facts.has_disk, Reason.NO_DISK),
    )


def may_start(is_writable, is_frozen):
    """Whether calls may be started in this round."""
    return first((is_frozen, Reason.HANDED_OVER), (not is_writable, Reason.NOT_WRITABLE))
