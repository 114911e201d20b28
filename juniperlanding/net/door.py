"""The operators' door: one line to a connection, one answer, `ACK` or `NAK` first (docs/door.md).

It asks the owner's queue for nothing, so a full queue, a failing disk or a flood of clients holds no answer
up."""

import trio

from juniperlanding.ground.errors import Trouble, system
from juniperlanding.ground.log import described, field, where
from juniperlanding.net.line import GONE, linger
from juniperlanding.net.system_errors import AcceptErrors

PLACES = 8  # callers at once
MOST_LINE = 128  # bytes of a call
LINE_WITHIN = 4.5  # seconds until a call's line is whole, and its answer read
FILES = PLACES + 4  # descriptors: the listener, the callers, and some that gave way and are not closed yet


class No(Trouble):
    """A call that is answered with `NAK` and this reason: a state, and no trouble."""


class NoCall(No):
    """What came at the door is no call."""

    code, remedy = "door-call", "Send one of the calls of docs/door.md, as one line of ASCII text."


class Door:
    """`calls` maps a word to a function that gives the lines after `ACK`, or raises `No` or a `Trouble`; so
    does `asks`, whose functions take the rest of the line."""

    def __init__(self, listener, calls, counters, log, asks=()):
        self.listener, self.calls, self.counters, self.log = listener, calls, counters, log
        self.asks = dict(asks)
        self.unfinished = {}  # callers, longest first

    async def listen(self, nursery):
        self.listener.listen()
        errors = AcceptErrors()
        while True:
            try:
                sock, peer = await self.listener.accept()
                errors.succeeded()
            except OSError as error:
                if errors.is_news(error, trio.current_time()):
                    self.log("door", "cannot accept", why=described(error), **system(error).fields)
                await trio.sleep(errors.pause(error))
                continue
            # Threat: callers that never finish their line keep an operator out.
            if len(self.unfinished) >= PLACES:
                self.unfinished.pop(next(iter(self.unfinished))).cancel()
            self.unfinished[sock] = trio.CancelScope(deadline=trio.current_time() + LINE_WITHIN)
            nursery.start_soon(self.attend, sock, self.unfinished[sock])

    async def attend(self, sock, scope):
        try:
            with scope:
                try:
                    answer = ["ACK", *self.answer(await self.line(sock))]
                except Trouble as no:
                    answer = [" ".join(["NAK", no.what, *map(field, no.fields.items() if no.code else ())])]
                    self.counters["door_refused"] += 1
                self.counters["door_calls"] += 1
                data = memoryview("".join(f"{line}\n" for line in answer).encode())
                while data:
                    data = data[await sock.sendmsg([data]) :]
                await linger(sock)
            if scope.cancelled_caught:
                self.counters["door_unfinished"] += 1
        except GONE:
            pass
        except Exception as error:  # threat: one odd caller must not end the program
            self.log("fault", part="door", why=described(error), at_line=where(error))
        finally:
            self.unfinished.pop(sock, None)
            sock.close()

    async def line(self, sock):
        """The first line of a caller, without its end; what ends its sending ends its line too."""
        line = b""
        while b"\n" not in line:
            if len(line) > MOST_LINE:
                raise NoCall(f"line longer than {MOST_LINE} bytes")
            if not (data := await sock.recv(MOST_LINE)):
                break
            line += data
        line = line.partition(b"\n")[0].strip()
        if len(line) > MOST_LINE:
            raise NoCall(f"line longer than {MOST_LINE} bytes")
        return line

    def answer(self, line):
        if not line:
            raise NoCall("empty line")
        try:
            word = line.decode("ascii")
        except UnicodeDecodeError:
            raise NoCall("not ASCII text") from None
        first, _, rest = word.partition(" ")
        if first in self.asks:
            return self.asks[first](rest.strip())
        if word not in self.calls:
            raise NoCall(f"unknown call, expected one of {' '.join(sorted([*self.calls, *self.asks]))}")
        return self.calls[word]()
