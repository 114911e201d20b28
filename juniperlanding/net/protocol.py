"""The names and figures of the operators' HTTP protocol; nothing further in knows them."""

from juniperlanding.choice import MS, SEC

PATIENCE = 0.4  # seconds that a client waits for its answer; so long new connections come after SIGTERM
REQUEST_WITHIN = 2.5  # seconds from connecting, or a later request's first byte, until all of it is there
WATCH_GAP = 0.2  # seconds within which the next call keeps a watch going
TIME_IS_UP = 150 * MS  # before our TTL; a client counts from its sending, we from our reading
KILL_AFTER = 3.7  # seconds from SIGTERM until SIGKILL at the soonest
MOST_BODY = 64 << 10
MOST_HEAD = 16 << 10
MOST_NAME = 256  # of an id or a key

READY, SUBMIT, COUNTERS = b"/_health", b"/api", b"/_counters"
ANSWER = b"HTTP/1."
ONE, MANY = "/v1/messages", "/v1/messages:batch"
NOTICES, LIST = "/reports", "/catalog/members"

ID, TOPIC, TTL, KEY, WHERE = b"x-trace-id", b"x-qos", b"x-expires-in-ms", b"idempotency-key", b"x-addressing"
TENANT, TURN = b"x-customer", b"key="  # whose it is; in the target's query, by which it keeps its order
ONCE = {ID, TOPIC, TTL, KEY, WHERE, TENANT, b"content-length", b"transfer-encoding"}
POLICY = "x-policy-number"
RETRY, REPORT, NO_SLOT = b"retry-after", b"endpoint-load-metrics", b"x-over-slots"

STATES = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}
BATCH_ENDS = {
    "accepted": "delivered",
    "fault": "error",
    "deferred": "throttled",
    "expired": "over",
    "no_more": "moot",
}
GIVEN_UP, HANDED_BACK = "given_up", "handed_back"

MOST_DIGITS = 8  # of a destination, or of a TTL in milliseconds: about a day


def destination(value):
    """The number in `dest=7`, whatever else stands beside it."""
    for part in value.replace(b";", b",").split(b","):
        word, _, digits = part.strip().partition(b"=")
        if word == b"dest":
            return number(digits)
    raise ValueError("no destination")


def turn(target):
    """The key of `/api?key=1f`, after which a notification keeps its order; "" where there is none.

    Threat: two keys, of which either may be meant."""
    parts = target.partition(b"?")[2].split(b"&")
    found = [part.removeprefix(TURN) for part in parts if part.startswith(TURN)]
    if len(found) > 1:
        raise ValueError("two keys")
    return name(found[0]) if found else ""


def left(value):
    """A client's TTL in nanoseconds."""
    return number(value) * MS


def number(value):
    """Threat: signs, gaps and other alphabets' digits, which `int` takes; figures that no clock holds."""
    if not value.isdigit() or len(value) > MOST_DIGITS:
        raise ValueError("no whole number")
    return int(value)


def name(value):
    if not 0 < len(value) <= MOST_NAME:
        raise ValueError("no name")
    return value.decode("latin-1")


def text(value):
    """A topic type or a tenant as the settings name it, in UTF-8; threat: a client that writes Latin-1."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def ambiguous(headers):
    """Threats: two lengths that may hide another request; two ids or TTLs, of which either may be meant."""
    once = [word for word, _ in headers if word in ONCE]
    return len(once) > len(set(once)) or {b"content-length", b"transfer-encoding"} <= set(once)


def wait(value):
    """Seconds, whole or decimal, as nanoseconds; 0 for what cannot be read."""
    try:
        seconds = float(value)
    except ValueError:
        return 0
    return int(seconds * SEC) if 0 < seconds < 1 << 30 else 0


def figure(value):
    """Threat: a limit that is endless, negative or no number at all would stop every decision about it."""
    number = float(value)
    if not 0 <= number < 1 << 40:
        raise ValueError("out of range")
    return number


def report(value, names):
    """The figures of `TEXT x0=0.4, x1=25` under the module's names."""
    found = {}
    for part in value.decode("latin-1").partition(" ")[2].split(","):
        name, _, number = part.strip().partition("=")
        try:
            if name in names:
                found[names[name]] = figure(number)
        except ValueError:
            continue
    return found


def may_begin_an_answer(head):
    return head.startswith(ANSWER[: len(head)])


def says_delivered(head):
    """Whether the first line of an answer says 200; interim answers in front of it are passed over.

    Threat: an answer spoilt further on; the line is true all the same."""
    while head.startswith(ANSWER + b"1 1"):
        head = head.partition(b"\r\n\r\n")[2]
    first, end, _ = head.partition(b"\r\n")
    return bool(end) and first.startswith((ANSWER + b"1 200 ", ANSWER + b"0 200 "))


def address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


def entries(members, kinds, zones):
    """(endpoint, destination, kind, scale, zone, state) and the address of each entry that can be read.

    Threat: an entry of a newer form; it is left out, and a phase never heard of takes nothing new."""
    read = []
    for member in members:
        try:
            kind, zone = str(member.get("flavor")), str(member.get("locality"))
            entry = (
                str(member["id"]),
                int(member["cell"]),
                kinds.index(kind) if kind in kinds else len(kinds),
                figure(member.get("size", 0)),
                zones.index(zone) if zone in zones else len(zones),
                STATES.get(member.get("phase"), "draining"),
            )
            read.append((entry, address(member["host_port"])))
        except (KeyError, ValueError, TypeError, AttributeError):
            continue
    return read
