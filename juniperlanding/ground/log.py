"""The log on standard error: one event a line, values as fields, a limit of lines a second for each event.

A chain of processors with structlog's signature limits the rate, redacts secrets, adds the time and renders
one of three forms.  Lines that the pipe does not accept are lost; the dispatcher never waits for it.  The
forms JSON and console use structlog's renderers.  The plain form works without structlog, which is not
imported then: importing it costs 3 MB and 31 ms at each start."""

import os
import stat
import sys

SEC = 1_000_000_000
LINES = 20  # of one event within a second
TRACE_EVENT = "trace"  # traces single messages: off by default, never rate limited when on
MAX_FIELD_LENGTH = 2048  # characters of one field
MAX_EVENT_NAMES = 256  # events that are counted separately; the program has a few dozen
SECRETS = frozenset(
    {
        "key",
        "body",
        "secret",
        "password",
        "passphrase",
        "token",
        "cookie",
        "authorization",
        "headers",
        "private_key",
    }
)
PLAIN, JSON, CONSOLE = FORMS = ("plain", "json", "console")


def make_stderr_nonblocking():
    """Make standard error non-blocking if it is a pipe.

    A log reader that stops reading would otherwise block the program; now its lines are lost instead."""
    if stat.S_ISFIFO(os.fstat(2).st_mode):
        os.set_blocking(2, False)


def safe_description(error):
    """A description of an error that cannot contain any part of a notification.

    The text of a KeyError or ValueError is often the value itself, which may be a key or a body; so only the
    type is shown, with the system's message of an OSError."""
    message = getattr(error, "strerror", None) if isinstance(error, OSError) else None
    return f"{type(error).__name__}: {message}" if message else type(error).__name__


def error_location(error):
    """The function and line that raised an error."""
    traceback, location = error.__traceback__, "nowhere"
    while traceback:
        location = f"{traceback.tb_frame.f_code.co_name}:{traceback.tb_lineno}"
        traceback = traceback.tb_next
    return location


def redacted(_logger, _method, line):
    """Replace secret and binary values by their size and truncate long text.

    This guards against a body or key that is passed to the log by accident."""
    for name, value in line.items():
        if name in SECRETS or isinstance(value, (bytes, bytearray, memoryview)):
            size = len(value) if hasattr(value, "__len__") else 1
            line[name] = f"<{size} sealed>"
        elif isinstance(value, str) and len(value) > MAX_FIELD_LENGTH:
            line[name] = value[:MAX_FIELD_LENGTH] + "..."
    return line


class RateLimit:
    """Limits the lines a second of each event; the next line written says how many were dropped.

    Seconds are counted by the steady clock: after a wall clock was set back, an event would not be logged
    until the wall clock reaches the old time again."""

    def __init__(self, clock, lines):
        self.clock, self.lines = clock, lines
        self.seen = {}  # event: [start of its second, lines written, lines dropped]

    def __call__(self, _logger, _method, line):
        now, event = self.clock.steady(), line["event"]
        if event not in self.seen and len(self.seen) >= MAX_EVENT_NAMES:
            self.seen.pop(next(iter(self.seen)))
        entry = self.seen.setdefault(event, [now, 0, 0])
        if now - entry[0] >= SEC:
            entry[0], entry[1] = now, 0
        if entry[1] >= self.lines and event != TRACE_EVENT:
            entry[2] += 1
            return None
        entry[1] += 1
        dropped, entry[2] = entry[2], 0
        if dropped:
            line["held_back"] = dropped
        line["at"] = self.clock.wall()
        return line


def render_plain(_logger, _method, line):
    """`TIME NAME EVENT TEXT field=value ... (+N held back)`, the format that the platform expects."""
    time, name, event = line.pop("at") / SEC, line.pop("instance"), line.pop("event")
    text, dropped = line.pop("text", ""), line.pop("held_back", 0)
    words = [f"{time:.3f}", name, str(event), *([text] if text else []), *map(field, line.items())]
    return " ".join(words) + (f" (+{dropped} held back)" if dropped else "")


def field(pair):
    """`name=value`; a value with spaces, quotes at its start or `=` is quoted, as is an empty one."""
    name, value = pair
    text = " ".join(str(value).split())  # a line break in a field would look like a second line
    quoted = '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return f"{name}={quoted if not text or set(text) & set(' =') or text[0] == chr(34) else text}"


def with_timestamp(_logger, _method, line):
    """For JSON and console: puts the time in seconds first and leaves out empty text."""
    others = {
        name: value
        for name, value in line.items()
        if name not in ("at", "event", "text") or name == "text" and value
    }
    return {"timestamp": f"{line['at'] / SEC:.6f}", "event": line["event"], **others}


class LineWriter:
    """The end of the chain: prints each line."""

    def __init__(self, sink):
        self.sink = sink

    def line(self, text):
        try:
            print(text, file=self.sink or sys.stderr, flush=True)
        except OSError:
            pass  # the reader of the log is gone or its pipe is full, which must not end the dispatcher


class PlainLogger:
    """The chain of processors for the plain form, without structlog."""

    def __init__(self, name, limit, writer):
        self.name, self.limit, self.writer = name, limit, writer

    def __call__(self, event, text="", **fields):
        line = self.limit(None, "line", {"instance": self.name, "event": event, "text": text, **fields})
        if line is not None:
            self.writer.line(render_plain(None, "line", redacted(None, "line", line)))


def structlog_logger(name, limit, writer, form):
    """The same chain as a structlog logger, with structlog's renderers."""
    import structlog

    class Bound(structlog.BoundLoggerBase):
        def __call__(self, event, text="", **fields):
            return self._proxy_to_logger("line", event, text=text, **fields)

    def limited(logger, method, line):
        if limit(logger, method, line) is None:
            raise structlog.DropEvent
        return line

    render = (
        structlog.processors.JSONRenderer(default=str)
        if form == JSON
        else structlog.dev.ConsoleRenderer(colors=False, sort_keys=False)
    )
    return structlog.wrap_logger(
        writer,
        processors=[limited, redacted, with_timestamp, render],
        wrapper_class=Bound,
        context_class=dict,
    ).bind(instance=name)


def open_log(name, clock, form=PLAIN, sink=None, lines=LINES):
    """The log of one instance: a callable that takes an event, optionally a text, and fields as keywords.

    `clock` is a `ground.clock.Clock`; `form` is one of FORMS; `sink` is a text file, by default standard
    error; `lines` is the number of lines a second for each event.  The callable raises neither for its
    arguments nor for errors in writing."""
    limit, writer = RateLimit(clock, lines), LineWriter(sink)
    return PlainLogger(name, limit, writer) if form == PLAIN else structlog_logger(name, limit, writer, form)
