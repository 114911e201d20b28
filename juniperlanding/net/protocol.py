"""Names, limits and parsers of the HTTP protocol with clients, endpoints and the platform."""

import json

from juniperlanding.choice import MS, SEC

# Seconds that a client waits for its response; new connections arrive for as long after SIGTERM.
CLIENT_RESPONSE_TIMEOUT = 0.4
REQUEST_TIMEOUT = (
    2.5  # seconds from connecting, or from a later request's first byte, to the complete request
)
MAX_WATCH_GAP = 0.2  # seconds between two calls within which they count as one watch
# A notification counts as expired this long before its TTL by our clock, since the client counts from its
# sending, and we count from our reading.
TTL_MARGIN = 150 * MS
SIGKILL_DELAY = 3.7  # least seconds from SIGTERM to SIGKILL
MAX_BODY = 64 << 10
MAX_HEAD = 16 << 10
# Of a message as it comes over the connection; chunked bodies take more bytes than they hold.
MAX_MESSAGE_BYTES = 2 * (MAX_BODY + MAX_HEAD)
MAX_REQUEST_FIELDS = 128  # headers of a request; each takes some 200 bytes once it is parsed
MAX_NAME_LENGTH = 256  # bytes of an id or a key

ID_IN_USE_STATUS = 409  # not a refusal: handing the message in again under the same id would fail again

HEALTH_PATH = b"/_health"
SUBMIT_PATH = b"/api"
COUNTERS_PATH = b"/_counters"
RESPONSE_PREFIX = b"HTTP/1."
MESSAGE_PATH, BATCH_PATH = "/v1/messages", "/v1/messages:batch"
REPORTS_PATH, MEMBERS_PATH = "/reports", "/catalog/members"

ID_HEADER = b"x-trace-id"
TOPIC_HEADER = b"x-qos"
TTL_HEADER = b"x-expires-in-ms"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
DESTINATION_HEADER = b"x-addressing"
TENANT_HEADER = b"x-customer"
ORDERING_KEY_PARAMETER = b"key="  # in the query; notifications with the same key are delivered in order
AT_MOST_ONCE_HEADERS = {
    ID_HEADER,
    TOPIC_HEADER,
    TTL_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    DESTINATION_HEADER,
    TENANT_HEADER,
    b"content-length",
    b"transfer-encoding",
}
POLICY_HEADER = "x-policy-number"
RETRY_AFTER_HEADER, LOAD_REPORT_HEADER, NO_SLOT_HEADER = (
    b"retry-after",
    b"endpoint-load-metrics",
    b"x-over-slots",
)

PHASE_STATES = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}
BATCH_ENDS = {
    "accepted": "delivered",
    "fault": "error",
    "deferred": "throttled",
    "expired": "over",
    "no_more": "moot",
}
GIVEN_UP, HANDED_BACK = "given_up", "handed_back"

MAX_DIGITS = 8  # of a destination, or of a TTL in milliseconds: about a day


def parse_destination(value):
    """The number in `dest=7`, which may stand among other parameters."""
    for part in value.replace(b";", b",").split(b","):
        word, _, digits = part.strip().partition(b"=")
        if word == b"dest":
            return parse_digits(digits)
    raise ValueError("no destination parameter `dest`")


def parse_ordering_key(target):
    """The key in `/api?key=1f`, by which notifications are delivered in order; "" if there is none.

    Two keys are rejected, since either may be meant."""
    parts = target.partition(b"?")[2].split(b"&")
    found = [
        part.removeprefix(ORDERING_KEY_PARAMETER) for part in parts if part.startswith(ORDERING_KEY_PARAMETER)
    ]
    if len(found) > 1:
        raise ValueError("more than one ordering key")
    return parse_name(found[0]) if found else ""


def parse_ttl(value):
    """A client's TTL in nanoseconds."""
    return parse_digits(value) * MS


def parse_digits(value):
    """A plain decimal number of at most `MAX_DIGITS` digits.

    Stricter than `int`, which also takes signs, spaces, other alphabets' digits, and numbers too large for
    any clock."""
    if not value.isdigit() or len(value) > MAX_DIGITS:
        raise ValueError("not a plain decimal number")
    return int(value)


def parse_name(value):
    if not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError("name empty or too long")
    return value.decode("latin-1")


def decode_text(value):
    """A topic type or a tenant, which the settings have in UTF-8; some clients send Latin-1."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def is_ambiguous(headers):
    """Whether a header that may occur once is repeated, or both kinds of body length are given.

    Two lengths may hide another request; of two ids or TTLs, either may be meant."""
    once = [word for word, _ in headers if word in AT_MOST_ONCE_HEADERS]
    return len(once) > len(set(once)) or {b"content-length", b"transfer-encoding"} <= set(once)


def parse_retry_after(value):
    """The nanoseconds of a `Retry-After` in whole or decimal seconds; 0 if it cannot be read."""
    try:
        seconds = float(value)
    except ValueError:
        return 0
    return int(seconds * SEC) if 0 < seconds < 1 << 30 else 0


def parse_decimal(value):
    """A finite number that is not negative; any other limit would stop all decisions that depend on it."""
    number = float(value)
    if not 0 <= number < 1 << 40:
        raise ValueError("number out of range")
    return number


def parse_load_report(value, names):
    """The figures of a load report, `TEXT x0=0.4, x1=25`, under the names that `names` maps them to."""
    found = {}
    for part in value.decode("latin-1").partition(" ")[2].split(","):
        name, _, number = part.strip().partition("=")
        try:
            if name in names:
                found[names[name]] = parse_decimal(number)
        except ValueError:
            continue
    return found


def parse_batch_states(body):
    """The outcome of each message that a batch response lists, by id; None if it cannot be read."""
    try:
        return {item["id"]: BATCH_ENDS.get(item["state"]) for item in json.loads(body)}
    except (ValueError, TypeError, KeyError, RecursionError):
        return None


def count_fields(data):
    """How many headers the bytes of a request have so far; its body, if that has begun, does not count."""
    ends = [end for end in (data.find(b"\n\r\n"), data.find(b"\n\n")) if end >= 0]
    return data.count(b"\n", 0, min(ends, default=len(data)))


def may_begin_response(head):
    return head.startswith(RESPONSE_PREFIX[: len(head)])


def is_status_200(head):
    """Whether a response's first line says 200, after any interim responses.

    The rest of the response may be malformed; the status still holds."""
    while head.startswith(RESPONSE_PREFIX + b"1 1"):
        head = head.partition(b"\r\n\r\n")[2]
    first, end, _ = head.partition(b"\r\n")
    return bool(end) and first.startswith((RESPONSE_PREFIX + b"1 200 ", RESPONSE_PREFIX + b"0 200 "))


def address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


def parse_members(members, kinds, zones):
    """((endpoint, destination, kind, scale, zone, state), address) of each member that can be read.

    A member in a newer form is left out; one in an unknown phase counts as draining: no new pushes."""
    read = []
    for member in members:
        try:
            kind, zone = str(member.get("flavor")), str(member.get("locality"))
            entry = (
                str(member["id"]),
                int(member["cell"]),
                kinds.index(kind) if kind in kinds else len(kinds),
                parse_decimal(member.get("size", 0)),
                zones.index(zone) if zone in zones else len(zones),
                PHASE_STATES.get(member.get("phase"), "draining"),
            )
            read.append((entry, address(member["host_port"])))
        except (KeyError, ValueError, TypeError, AttributeError):
            continue
    return read
