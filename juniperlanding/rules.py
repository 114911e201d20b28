"""Whether something may be sent, closed or accepted now, and why not.  No I/O and no clock.

Each code path asks here right before it acts: before the last byte of a call (`may_send`), the end of a
client's connection (`may_close`), the acceptance of a notification (`may_accept`), the start of calls
(`may_start`).  A plain record of facts goes in, a `Verdict` with its reason comes out."""

import enum
from dataclasses import dataclass
from typing import NamedTuple

from juniperlanding.choice import SEC

# How long calls wait for discovery's first answer.  The list from before the start may name an address that
# belongs to another destination's endpoint by now; while discovery is silent, it is all there is.
MAX_LIST_WAIT = 2 * SEC


class Reason(enum.StrEnum):
    """Why something may not be done; the values appear in counters and log lines."""

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
    LIST_UNCONFIRMED = "list_unconfirmed"
    CLIENT_LEFT = "client_left"
    ID_IN_USE = "id_in_use"
    UNKNOWN_DESTINATION = "unknown_destination"
    UNLICENSED = "unlicensed"
    NO_PLACE = "no_place"
    NO_DISK = "no_disk"


class Rule(enum.StrEnum):
    """Rules whose violations are counted, also one that the last check prevented."""

    SEND = "send"  # a code path did not recall a call that must not leave
    ANSWERED_TWICE = "answered_twice"
    LATE_END = "late_end"
    CLOSED_UNANSWERED = "closed_unanswered"


# Reasons that a code path must have found before the last byte; the others can arise by the passage of time.
NOT_RECALLED_REASONS = frozenset({Reason.NOT_IN_SERVICE, Reason.TOLD_TO_WAIT, Reason.RAN_ONCE})


class Verdict(NamedTuple):
    """`reason` is `Reason.ALLOWED`, or the first objection found."""

    reason: Reason

    @property
    def is_allowed(self):
        """Whether there is no objection."""
        return self.reason is Reason.ALLOWED


@dataclass(frozen=True, slots=True)
class SendFacts:
    """One notification whose call is about to be complete.  Times are nanoseconds of the dispatcher's clock.

    is_pending: it is pending, without a final answer; deadline: the end of its TTL; may_have_run: an earlier
    call of it may have been executed; is_once_only: its topic type is; repeats_until: the end of its window
    for repeats; is_in_service: its endpoint is, by the last list; wait_until: the end of the Retry-After wait
    that its endpoint asked for."""

    is_pending: bool
    deadline: int
    may_have_run: bool
    is_once_only: bool
    repeats_until: int
    is_in_service: bool
    wait_until: int


@dataclass(frozen=True, slots=True)
class CloseFacts:
    """A client's connection.

    has_unread: bytes have arrived that were not read; is_request_whole: a request was read to its last byte;
    is_answered: the answer to it was written."""

    has_unread: bool = False
    is_request_whole: bool = False
    is_answered: bool = False


@dataclass(frozen=True, slots=True)
class AcceptFacts:
    """A notification that a client hands in, and the state of the process.

    is_id_free: its id was not accepted with other content within that one's TTL."""

    is_ready: bool = True
    is_writable: bool = True
    is_stopping: bool = False
    has_client_left: bool = False
    is_id_free: bool = True
    is_destination_known: bool = True
    is_licensed: bool = True
    has_place: bool = True
    has_disk: bool = True


def first_objection(*checks):
    """A verdict with the first reason whose condition holds."""
    return Verdict(next((reason for holds, reason in checks if holds), Reason.ALLOWED))


def may_send(facts, now):
    """Whether the last byte of a call that carries this notification may leave."""
    return first_objection(
        (not facts.is_pending, Reason.ENDED),
        (facts.may_have_run and facts.is_once_only, Reason.RAN_ONCE),
        (not facts.is_in_service, Reason.NOT_IN_SERVICE),
        (now < facts.wait_until, Reason.TOLD_TO_WAIT),
        (now >= facts.deadline, Reason.EXPIRED),
        (facts.may_have_run and now >= facts.repeats_until, Reason.WINDOW_OVER),
    )


def may_close(facts):
    """Whether a client's connection may be closed with no further answer."""
    return first_objection(
        (facts.is_request_whole and not facts.is_answered, Reason.REQUEST_UNANSWERED),
        (facts.has_unread, Reason.REQUEST_UNREAD),
    )


def may_accept(facts):
    """Whether a notification may be accepted."""
    return first_objection(
        (not facts.is_ready, Reason.STARTING),
        (facts.is_stopping, Reason.STOPPING),
        (facts.has_client_left, Reason.CLIENT_LEFT),
        (not facts.is_id_free, Reason.ID_IN_USE),
        (not facts.is_licensed, Reason.UNLICENSED),
        (not facts.is_writable, Reason.NOT_WRITABLE),
        (not facts.is_destination_known, Reason.UNKNOWN_DESTINATION),
        (not facts.has_place, Reason.NO_PLACE),
        (not facts.has_disk, Reason.NO_DISK),
    )


def may_start(is_writable, is_frozen, list_wait=0):
    """Whether calls may be started in this iteration.

    is_frozen: a hand-over is under way; list_wait: nanoseconds that discovery has left to confirm the list, 0
    once it has or the time is over."""
    return first_objection(
        (is_frozen, Reason.HANDED_OVER),
        (not is_writable, Reason.NOT_WRITABLE),
        (list_wait > 0, Reason.LIST_UNCONFIRMED),
    )
