"""One HTTP/1.1 connection: h11 parses heads where they arrive; a message leaves in one gathered write."""

import h11
import trio

from juniperlanding.net.protocol import MOST_BODY, MOST_HEAD, may_begin_an_answer

CHUNK = 16 << 10
ANSWER_WITHIN = 1.0  # seconds from an answer's first byte until its head has come, and then its body
HOLD = 0.005  # seconds for which the last byte of a call is held back
LINGER, MOST_LINGER = 0.25, 256 << 10  # seconds and bytes for which a closed client is still listened to
GONE = (OSError, trio.ClosedResourceError, trio.BrokenResourceError)


class Line:
    """`early`: bytes of the present message that another process of ours read before us."""

    def __init__(self, sock, role, early=b""):
        self.sock, self.early = sock, early
        self.until = float("inf")  # trio's time at which the present request has to be whole
        self.came_at, self.gives_way = trio.current_time(), False  # gives way: another one needs its place
        self.raw = []  # what came of the present message, for a process that takes over from us
        self.http = h11.Connection(role, max_incomplete_event_size=MOST_HEAD)
        self.address = None  # that we connected to; not known of one that another process handed to us
        self.used_at, self.head = 0, b""  # head: what came of an answer until its head could be read

    async def event(self):
        """The next event of the other side, reading as needed."""
        while (event := self.http.next_event()) is h11.NEED_DATA:
            if self.http.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            await self.receive()
        return event

    async def receive(self):
        data, self.early = self.early or await self.sock.recv(CHUNK), b""
        self.raw.append(data)
        if self.http.our_role is h11.CLIENT and self.http.their_state is h11.SEND_RESPONSE:
            self.head += data
            if not may_begin_an_answer(self.head):
                raise h11.RemoteProtocolError("noise")
            if len(self.head) > MOST_BODY:  # threat: interim answers without end, as fast as they go
                raise h11.RemoteProtocolError("too long")
        self.http.receive_data(data)
        return bool(data)

    async def begin(self):
        """Wait for the first bytes of a message; False when the other side ended instead."""
        return bool(self.http.trailing_data[0]) or await self.receive()

    async def body(self, most):
        """All of a body; None when it is longer than allowed."""
        parts, size = [], 0
        while not isinstance(event := await self.event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("ended within a body")
            size += len(event.data)
            if size > most:
                return None
            parts.append(bytes(event.data))
        return b"".join(parts)

    async def answer(self):
        """The head of the other side's final answer.  Threat: one that never ends."""
        self.head = b""
        await self.begin()
        with trio.fail_after(ANSWER_WITHIN):
            while isinstance(event := await self.event(), h11.InformationalResponse):
                pass
        if not isinstance(event, h11.Response):
            raise h11.RemoteProtocolError("ended without an answer")
        self.head = b""
        return event

    async def rest(self, most):
        """The body of an answer.  Threat: one that does not fit its length, or keeps coming."""
        with trio.fail_after(ANSWER_WITHIN):
            body = await self.body(most)
        if body is None:
            raise h11.RemoteProtocolError("too long")
        return body

    def parts(self, events):
        """The bytes of some events, as a gathered write takes them."""
        parts = []
        for event in events:
            parts += self.http.send_with_data_passthrough(event) or []
        return [memoryview(part) for part in parts if len(part)]

    async def send(self, *events):
        """Write events as one gathered write; returns once the kernel has all of it."""
        await self.write(self.parts(events))

    async def send_in_two(self, *events, leaves):
        """The same, but the last byte waits for a moment in which the other side may break off; `leaves()` is
        called right before it, and may still call it off by the scope around.

        Threats: a kept connection that the other side gave up breaks at the first bytes, or carries some of
        its own (half a line, a word of farewell) that would be read as the answer; as long as the last one
        has not left, nothing has run."""
        *parts, last = self.parts(events)
        await self.write([*parts, last[:-1]])
        with trio.move_on_after(HOLD):
            await self.sock.readable()
        came = self.waiting()
        if came == b"" or came and self.used_at:
            raise trio.BrokenResourceError("broke within the request")
        leaves()
        await self.write([last[-1:]])

    async def write(self, parts):
        while parts:
            sent = await self.sock.sendmsg(parts)
            while parts and sent >= len(parts[0]):
                sent -= len(parts.pop(0))
            if sent:
                parts[0] = parts[0][sent:]

    def whole(self):
        """Whether the answer that came was read to its end already, with no need to wait for more."""
        try:
            while self.http.their_state is h11.SEND_BODY:
                if self.http.next_event() is h11.NEED_DATA:
                    return False
        except h11.RemoteProtocolError:
            return False
        return self.http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    def reusable(self):
        return (
            self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
            and not self.http.trailing_data[0]
        )

    def next(self):
        """The present message is over; the next one may come."""
        self.http.start_next_cycle()
        self.raw.clear()

    def waiting(self):
        """What came and was not read yet: None for nothing, b"" for the end or a reset."""
        return self.early or self.sock.peek()

    def arrived(self):
        """What came of an answer whose head could not be read yet, looked at or not."""
        unread = self.sock.peek(CHUNK) if self.http.their_state is h11.SEND_RESPONSE else b""
        return self.head + (unread or b"")

    def unheard(self):
        """Whether an answer waits of which nothing was read."""
        return self.http.their_state is h11.SEND_RESPONSE and not self.head and bool(self.waiting())

    def quiet(self):
        """Whether nothing came on an idle connection: bytes that nobody asked for, or its end, spoil it."""
        return self.waiting() is None

    @property
    def is_request_whole(self):
        """Whether a client's present request was read to its last byte."""
        return self.http.their_state in (h11.DONE, h11.MUST_CLOSE)

    @property
    def is_answered(self):
        """Whether the whole answer to it went to the kernel."""
        return self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE, h11.SEND_BODY)

    def more(self):
        """Whether more came than the message that was read."""
        return bool(self.http.trailing_data[0] or self.waiting())

    async def finish(self):
        await linger(self.sock)

    def close(self):
        self.sock.close()

    def abort(self):
        self.sock.abort()


async def linger(sock):
    """End our sending, and listen on for a moment.

    Threats: closing with bytes unread resets the connection and takes the last answer with it; some never
    end, or have 60 MB to send.  However the other side ends, the answer itself is out already."""
    try:
        sock.finish()
        with trio.move_on_after(LINGER):
            for _ in range(MOST_LINGER // CHUNK):
                if not await sock.recv(CHUNK):
                    break
    except GONE:
        pass


async def connect(network, address):
    """A new connection to (host, port), as a client's; it knows its address."""
    line = Line(await network.connect(address), h11.CLIENT)
    line.address = address
    return line
