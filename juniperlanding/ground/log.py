"""The log on standard error: one event name a line, figures as fields, so many lines a second for each name.

Processors in structlog's form make a chain: the rate is limited, secrets are sealed, the time is put on,
one of three
forms is rendered, and what the pipe does not take is lost rather than waited for.  JSON and console are
structlog's;
the plain form needs none of it, and a dispatcher that logs so does not import it (3 MB, 31 ms at each
start)."""

import os
import stat
import sys

SEC = 1_000_000_000
LINES = 20  # of one event within a second
TRACE = "trace"  # the event that follows single messages: off unless asked for, and whole then
MOST_TEXT = 2048  # characters of one field
MOST_EVENTS = 256  # names whose lines are counted apart; there are some dozens
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


def never_wait():
    """Threat: a reader of the log that stands still would stop the program; its lines are lost instead."""
    if stat.S_ISFIFO(os.fstat(2).st_mode):
        os.set_blocking(2, False)


def described(error):
    """What went wrong in words that can hold nothing of a notification.

    Threat: the text of a KeyError or ValueError is often the very value, which may be a key or a body."""
    said = getattr(error, "strerror", None) if isinstance(error, OSError) else None
    return f"{type(error).__name__}: {said}" if said else type(error).__name__


def where(error):
    """Function and line in which an error arose."""
    trace, place = error.__traceback__, "nowhere"
    while trace:
        place = f"{trace.tb_frame.f_code.co_name}:{trace.tb_lineno}"
        trace = trace.tb_next
    return place


def sealed(_logger, _method, line):
    """Threat: a body or key handed to the log by accident; its size is all that is shown."""
    for name, value in line.items():
        if name in SECRETS or isinstance(value, (bytes, bytearray, memoryview)):
            size = len(value) if hasattr(value, "__len__") else 1
            line[name] = f"<{size} sealed>"
        elif isinstance(value, str) and len(value) > MOST_TEXT:
            line[name] = value[:MOST_TEXT] + "..."
    return line


class Limit:
    """So many lines a second for each event; the next one says how many were held back.

    The second is one of the steady clock: counted by a wall clock that is set back, an event would be silent
    until the old time is reached again."""

    def __init__(self, clock, lines):
        self.clock, self.lines, self.seen = (
            clock,
            lines,
            {},
        )  # event: [start of its second, written, held back]

    def __call__(self, _logger, _method, line):
        now, event = self.clock.steady(), line["event"]
        if event not in self.seen and len(self.seen) >= MOST_EVENTS:
            self.seen.pop(next(iter(self.seen)))
        entry = self.seen.setdefault(event, [now, 0, 0])
        if now - entry[0] >= SEC:
            entry[0], entry[1] = now, 0
        if entry[1] >= self.lines and event != TRACE:
            entry[2] += 1
            return None
        entry[1] += 1
        held, entry[2] = entry[2], 0
        if held:
            line["held_back"] = held
        line["at"] = self.clock.wall()
        return line


def plain(_logger, _method, line):
    """`TIME NAME EVENT TEXT field=value ... (+N held back)`, the platform's form."""
    at, name, event = line.pop("at") / SEC, line.pop("instance"), line.pop("event")
    text, held = line.pop("text", ""), line.pop("held_back", 0)
    words = [f"{at:.3f}", name, str(event), *([text] if text else []), *map(field, line.items())]
    return " ".join(words) + (f" (+{held} held back)" if held else "")


def field(pair):
    name, value = pair
    text = " ".join(str(value).split())  # threat: a line break within a field looks like another line
    quoted = '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return f"{name}={quoted if not text or set(text) & set(' =') or text[0] == chr(34) else text}"


def stamped(_logger, _method, line):
    """For JSON and console: the time in seconds first, empty text left out."""
    rest = {
        name: value
        for name, value in line.items()
        if name not in ("at", "event", "text") or name == "text" and value
    }
    return {"timestamp": f"{line['at'] / SEC:.6f}", "event": line["event"], **rest}


class Pipe:
    """The end of the chain: one print a line."""

    def __init__(self, sink):
        self.sink = sink

    def line(self, text):
        try:
            print(text, file=self.sink or sys.stderr, flush=True)
        except OSError:
            pass  # threat: whoever reads the log is gone or full, which must not end the dispatcher


class Plain:
    """The chain without structlog."""

    def __init__(self, name, limit, pipe):
        self.name, self.limit, self.pipe = name, limit, pipe

    def __call__(self, event, text="", **fields):
        line = self.limit(None, "line", {"instance": self.name, "event": event, "text": text, **fields})
        if line is not None:
            self.pipe.line(plain(None, "line", sealed(None, "line", line)))


def by_structlog(name, limit, pipe, form):
    """The same chain as a structlog logger, with its renderers."""
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
        pipe, processors=[limited, sealed, stamped, render], wrapper_class=Bound, context_class=dict
    ).bind(instance=name)


def to(name, clock, form=PLAIN, sink=None, lines=LINES):
    """A log of one instance: call it with an event, at will a text, and figures as fields.

    `clock` is a `ground.clock.Clock`; `form` is one of FORMS; `sink` a text file (standard error); `lines`
    how many of one event may be written within a second.  It never raises for what it is handed, nor for the
    pipe."""
    limit, pipe = Limit(clock, lines), Pipe(sink)
    return Plain(name, limit, pipe) if form == PLAIN else by_structlog(name, limit, pipe, form)
