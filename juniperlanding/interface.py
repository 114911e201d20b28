"""What the decision module asks of its host.

A host does the input and output: it hands the module notifications, outcomes, endpoint lists and timers (the
public methods of `choice.Dispatcher`), and carries out what the module asks for through this protocol.  Ids,
whole numbers or text, cross here and nowhere else.  All times are whole nanoseconds.
"""

from typing import Protocol


class Host(Protocol):
    def push(self, ntf_id: int | str, endpoint_id: int | str, timeout: int, leave_within: int) -> None:
        """Send a notification to an endpoint; after `timeout` it is cancelled (0: at its TTL).

        Bytes that have not left after `leave_within` must not leave any more: the push is then moot (0: no
        such bound)."""

    def cancel(self, ntf_id: int | str, number: int) -> None:
        """Cancel a push; its outcome is still to be handed in."""

    def throttled(self, ntf_id: int | str, again_in: int) -> None:
        """End a notification: the client may try again without harm, after `again_in` (0: no advice)."""

    def expired(self, ntf_id: int | str) -> None:
        """End a notification, with no promise about its effect."""

    def timer(self, delay: int, tok: int) -> None:
        """Call `Dispatcher.wake(tok)` once `delay` has passed."""

    def probe(self, endpoint_id: int | str) -> None:
        """Check an endpoint.  The module does not ask for it at present and takes no answer."""

    def close_idle(self, endpoint_id: int | str) -> None:
        """Close the idle connections to an endpoint."""

    def subscribe(self, on: bool) -> None:
        """Begin or end the subscription to the endpoint list."""

    def fetch_list(self) -> None:
        """Ask once for the whole endpoint list."""

    def note(self, rank: int | None, body: bytes) -> None:
        """Send a short note to one dispatcher, or to all of them (None)."""

    def log(self, text: str) -> None:
        """Log one line for the operators."""
