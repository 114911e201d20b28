"""The admin port: one line per connection, one answer that begins with `ACK` or `NAK` (docs/door.md).

It does not use the queue of the decision loop, so a full queue, a failing disk or a flood of clients does not
delay an answer."""

import trio

from juniperlanding.ground.errors import OperatorError, as_operator_error
from juniperlanding.ground.log import error_location, field, safe_description
from juniperlanding.net.line import CONNECTION_ERRORS, linger
from juniperlanding.net.system_errors import AcceptErrors

MAX_CALLERS = 8  # connections at once
MAX_LINE_BYTES = 128
CALL_TIMEOUT = 4.5  # seconds for the call's line to arrive and its answer to be read
# The listener, the callers, and some whose call was cancelled for a newer one and that are not closed yet.
DESCRIPTORS = MAX_CALLERS + 4


class Rejected(OperatorError):
    """A call answered with `NAK` and this reason, which is a state of the process and not an error."""


class NoCall(Rejected):
    """The line received at the admin port is not a valid call."""

    code, remedy = "door-call", "Send one of the calls of docs/door.md, as one line of ASCII text."


class AdminPort:
    """`calls` maps a call's word to a function that returns the lines after `ACK`, or raises `Rejected` or
    another `OperatorError`; `commands_with_argument` does so for calls with an argument, and its
    functions take the rest of the line."""

    def __init__(self, listener, calls, counters, log, commands_with_argument=()):
        self.listener, self.calls, self.counters, self.log = listener, calls, counters, log
        self.commands_with_argument = dict(commands_with_argument)
        self.open_calls = {}  # socket -> cancel scope of its call, the oldest first

    async def listen(self, nursery):
        self.listener.listen()
        errors = AcceptErrors()
        while True:
            try:
                sock, peer = await self.listener.accept()
                errors.succeeded()
            except OSError as error:
                if errors.should_log(error, trio.current_time()):
                    self.log(
                        "door",
                        "cannot accept",
                        why=safe_description(error),
                        **as_operator_error(error).log_fields,
                    )
                await trio.sleep(errors.pause(error))
                continue
            # Callers that never finish their line must not keep operators out: cancel the oldest call.
            if len(self.open_calls) >= MAX_CALLERS:
                self.open_calls.pop(next(iter(self.open_calls))).cancel()
            self.open_calls[sock] = trio.CancelScope(deadline=trio.current_time() + CALL_TIMEOUT)
            nursery.start_soon(self.handle_call, sock, self.open_calls[sock])

    async def handle_call(self, sock, scope):
        try:
            with scope:
                try:
                    answer = ["ACK", *self.answer(await self.read_line(sock))]
                except OperatorError as error:
                    answer = [
                        " ".join(
                            [
                                "NAK",
                                error.message,
                                *map(field, error.log_fields.items() if error.code else ()),
                            ]
                        )
                    ]
                    self.counters["door_refused"] += 1
                self.counters["door_calls"] += 1
                data = memoryview("".join(f"{line}\n" for line in answer).encode())
                while data:
                    data = data[await sock.sendmsg([data]) :]
                await linger(sock)
            if scope.cancelled_caught:
                self.counters["door_unfinished"] += 1
        except CONNECTION_ERRORS:
            pass
        except Exception as error:  # an unexpected failure in one call must not end the process
            self.log("fault", part="door", why=safe_description(error), at_line=error_location(error))
        finally:
            self.open_calls.pop(sock, None)
            sock.close()

    async def read_line(self, sock):
        """The caller's first line without its newline; the end of the connection ends the line too."""
        line = b""
        while b"\n" not in line:
            if len(line) > MAX_LINE_BYTES:
                raise NoCall(f"line longer than {MAX_LINE_BYTES} bytes")
            if not (data := await sock.recv(MAX_LINE_BYTES)):
                break
            line += data
        line = line.partition(b"\n")[0].strip()
        if len(line) > MAX_LINE_BYTES:
            raise NoCall(f"line longer than {MAX_LINE_BYTES} bytes")
        return line

    def answer(self, line):
        if not line:
            raise NoCall("empty line")
        try:
            call = line.decode("ascii")
        except UnicodeDecodeError:
            raise NoCall("not ASCII text") from None
        word, _, argument = call.partition(" ")
        if word in self.commands_with_argument:
            return self.commands_with_argument[word](argument.strip())
        if call not in self.calls:
            raise NoCall(
                "unknown call, expected one of "
                f"{' '.join(sorted([*self.calls, *self.commands_with_argument]))}"
            )
        return self.calls[call]()
