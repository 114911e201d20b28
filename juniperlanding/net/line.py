"""One HTTP/1.1 connection, as server or client: h11 parses, and each message leaves in one gathered write."""

import h11
import trio

from juniperlanding.net.protocol import (
    MAX_BODY,
    MAX_HEAD,
    MAX_MESSAGE_BYTES,
    MAX_REQUEST_FIELDS,
    count_fields,
    may_begin_response,
)

READ_SIZE = 16 << 10
RESPONSE_TIMEOUT = 1.0  # seconds from a response's first byte to its complete head, and again for its body
LAST_BYTE_DELAY = 0.005  # seconds for which the last byte of a call is held back
# Seconds without a byte from the peer until a kept connection takes the last byte of its next request.  What
# the peer writes behind a response can be late by Nagle's algorithm and a delayed acknowledgement (40 ms).
SETTLE_TIME = 0.05
# Seconds and bytes for which a connection is still read after our side has closed.
LINGER_TIMEOUT = 0.25
MAX_LINGER_BYTES = 256 << 10
# Pieces of a body that are parsed until other tasks have their turn; chunks may have one byte each.
PIECES_PER_TURN = 16
MAX_EXTRA_PIECES = 256  # pieces of a body beyond one for each read: what its chunks may cost to parse
CONNECTION_ERRORS = (OSError, trio.ClosedResourceError, trio.BrokenResourceError)


class HttpConnection:
    """A connection; `early` holds bytes of its current message that were read before a hand-over.

    A message of over `max_message_bytes`, framing included, is malformed."""

    def __init__(self, sock, role, early=b""):
        self.sock = sock
        self.early = early
        self.until = float("inf")  # deadline for the complete current request, in trio's time
        # Evicted: another connection needs the capacity that this one takes.
        self.opened_at, self.is_evicted = trio.current_time(), False
        self.message_bytes = bytearray()  # the current message as it arrived, for a hand-over
        self.max_message_bytes, self.reads = MAX_MESSAGE_BYTES, 0
        self.http = h11.Connection(role, max_incomplete_event_size=MAX_HEAD)
        self.address = None  # the address that we connected to; unknown after a hand-over
        self.used_at = 0
        self.may_be_kept = True  # False: its peer is no longer the endpoint that it was opened to
        self.is_doubtful = False  # whether it is uncertain to which request its responses belong
        self.unparsed_head = b""  # the bytes of a response until its head is parsed

    async def next_event(self):
        """The peer's next event; reads from the socket as needed."""
        self.check_size()
        while (event := self.http.next_event()) is h11.NEED_DATA:
            if self.http.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            await self.receive()
            self.check_size()
        return event

    async def receive(self):
        data, self.early = self.early or await self.sock.recv(READ_SIZE), b""
        self.message_bytes += data
        self.reads += 1
        if self.http.our_role is h11.CLIENT and self.http.their_state is h11.SEND_RESPONSE:
            self.unparsed_head += data
            if not may_begin_response(self.unparsed_head):
                raise h11.RemoteProtocolError("response does not start with an HTTP version")
            if len(self.unparsed_head) > MAX_BODY:  # a peer could send interim responses for ever
                raise h11.RemoteProtocolError("response head too long")
        self.http.receive_data(data)
        return bool(data)

    def check_size(self):
        """Refuse a message that takes more memory or time than a sound one, before it is parsed."""
        if len(self.message_bytes) > self.max_message_bytes:
            raise h11.RemoteProtocolError("message too long", error_status_hint=413)
        is_in_request_head = self.http.our_role is h11.SERVER and self.http.their_state is h11.IDLE
        if is_in_request_head and count_fields(self.message_bytes) > MAX_REQUEST_FIELDS:
            raise h11.RemoteProtocolError("too many headers", error_status_hint=431)

    async def wait_for_message(self):
        """Wait for the first bytes of a message; False if the peer closed the connection instead."""
        return bool(self.http.trailing_data[0]) or await self.receive()

    async def body(self, most):
        """The complete body of a message; None if it is longer than `most` bytes."""
        parts, size, max_pieces = [], 0, MAX_EXTRA_PIECES - self.reads
        while not isinstance(event := await self.next_event(), h11.EndOfMessage):
            if parts and len(parts) % PIECES_PER_TURN == 0:
                await trio.lowlevel.checkpoint()
            if len(parts) > max_pieces + self.reads:
                raise h11.RemoteProtocolError("too many chunks", error_status_hint=413)
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("connection closed inside a message body")
            size += len(event.data)
            if size > most:
                return None
            parts.append(bytes(event.data))
        return b"".join(parts)

    async def read_response_head(self):
        """The head of the final response; fails if it is not complete within `RESPONSE_TIMEOUT`."""
        self.unparsed_head = b""
        await self.wait_for_message()
        with trio.fail_after(RESPONSE_TIMEOUT):
            while isinstance(event := await self.next_event(), h11.InformationalResponse):
                pass
        if not isinstance(event, h11.Response):
            raise h11.RemoteProtocolError("connection closed without a response")
        self.unparsed_head = b""
        return event

    async def read_response_body(self, most):
        """The body of a response; fails if it is too long or not complete within `RESPONSE_TIMEOUT`."""
        with trio.fail_after(RESPONSE_TIMEOUT):
            body = await self.body(most)
        if body is None:
            raise h11.RemoteProtocolError("response body too long")
        return body

    def serialized(self, events):
        """The bytes of some events, as buffers for a gathered write."""
        parts = []
        for event in events:
            parts += self.http.send_with_data_passthrough(event) or []
        return [memoryview(part) for part in parts if len(part)]

    async def send(self, *events):
        """Write events in one gathered write; returns once the kernel has taken all bytes."""
        await self.write(self.serialized(events))

    async def send_holding_last_byte(self, *events, before_last_byte, settled_in=0.0):
        """As `send`, but hold the last byte back for a moment, so that a stale connection fails before it.

        As long as the last byte has not left, the peer cannot have run the request. A kept connection that
        the peer has given up breaks at the first bytes, or brings bytes that don't answer this request (part
        of a line, a 408, a second copy of the last response) and would be read as its response.
        settled_in: seconds until `SETTLE_TIME` has passed since the last response. `before_last_byte()` is
        called right before the last byte, and may still cancel the scope around."""
        *parts, last = self.serialized(events)
        await self.write([*parts, last[:-1]])
        with trio.move_on_after(max(LAST_BYTE_DELAY, settled_in)):
            await self.sock.readable()
        unread = self.unread()
        if unread == b"" or unread and self.used_at:
            raise trio.BrokenResourceError("connection broke before the request was complete")
        before_last_byte()
        await self.write([last[-1:]])

    async def write(self, parts):
        while parts:
            sent = await self.sock.sendmsg(parts)
            while parts and sent >= len(parts[0]):
                sent -= len(parts.pop(0))
            if sent:
                parts[0] = parts[0][sent:]

    def is_response_complete(self):
        """Whether the response can be read to its end from the bytes received so far."""
        try:
            while self.http.their_state is h11.SEND_BODY:
                if self.http.next_event() is h11.NEED_DATA:
                    return False
        except h11.RemoteProtocolError:
            return False
        return self.http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    def may_have_next(self):
        """Whether request and response are complete and another pair may follow."""
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    def reusable(self):
        """Whether the next request may be sent: each response so far belongs to its request."""
        return (
            self.may_have_next()
            and self.may_be_kept
            and not self.is_doubtful
            and not self.http.trailing_data[0]
        )

    def next(self):
        """Reset the state for the next request and response."""
        self.http.start_next_cycle()
        self.message_bytes.clear()

    def expect_response(self):
        """Set the state as it is once a request was sent, without sending one."""
        self.http.send(h11.Request(method="POST", target="/", headers=[("Host", "endpoint")]))
        self.http.send(h11.EndOfMessage())

    def unread(self):
        """The bytes that arrived and were not read; None if there are none, b"" after a close or reset."""
        return self.early or self.sock.peek()

    def received_head(self):
        """The bytes of a response whose head is not parsed yet, including unread ones."""
        unread = self.sock.peek(READ_SIZE) if self.http.their_state is h11.SEND_RESPONSE else b""
        return self.unparsed_head + (unread or b"")

    def has_unread_response(self):
        """Whether a response has arrived of which nothing was read."""
        return self.http.their_state is h11.SEND_RESPONSE and not self.unparsed_head and bool(self.unread())

    def has_nothing_unread(self):
        """Whether an idle connection is usable: no unsolicited bytes arrived, and the peer didn't close."""
        return self.unread() is None

    @property
    def is_request_whole(self):
        """Whether the client's current request was read to its last byte."""
        return self.http.their_state in (h11.DONE, h11.MUST_CLOSE)

    @property
    def is_answered(self):
        """Whether the kernel has taken the complete response to it."""
        return self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE, h11.SEND_BODY)

    def has_excess_data(self):
        """Whether bytes arrived beyond the message that was read."""
        return bool(self.http.trailing_data[0] or self.unread())

    async def finish(self):
        await linger(self.sock)

    def close(self):
        self.sock.close()

    def abort(self):
        self.sock.abort()


async def linger(sock):
    """Shut down our side, and read and discard for a moment until the peer closes too.

    To close with bytes unread would reset the connection and discard the last response. Time and size are
    limited, since some peers never stop, or have 60 MB to send. However the peer ends, the response is
    already out."""
    try:
        sock.finish()
        with trio.move_on_after(LINGER_TIMEOUT):
            for _ in range(MAX_LINGER_BYTES // READ_SIZE):
                if not await sock.recv(READ_SIZE):
                    break
    except CONNECTION_ERRORS:
        pass


async def connect(network, address):
    """A new connection to (host, port), as a client."""
    connection = HttpConnection(await network.connect(address), h11.CLIENT)
    connection.address = address
    return connection
