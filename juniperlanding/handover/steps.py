"""Who owns the folder while one process replaces another: two state machines without I/O.

`Giver` is the process that owns, `Taker` the one that would.  Each event returns the actions to carry out, in
order.  `YOURS`, said by the giver, is the one word that moves ownership: until it is said the giver owns,
once it is said it never acts again unless the taker is known to be gone.  Times are nanoseconds."""

SEC = 1_000_000_000
MOST_CALLERS = 4  # at the giver's channel at once
WRITE_OUT = 0.05  # seconds that a call which is being written still gets when all comes to rest
FREEZE_WITHIN = SEC // 2  # until what is being answered has been
LOAD_WITHIN = 5 * SEC // 2  # from the offer until the other has loaded it
# The taker's whole time.  Threat: the old process hangs and hands nothing over; the platform waits 6 s for a
# yes and 3.7 s more until it kills the old one, and then the folder is free.
JOIN_WITHIN = 12 * SEC

OWNER, FREEZING, OFFERED, REPLACED = "owner", "freezing", "offered", "replaced"
ASKING, LOADING, READY, WAITING = "asking", "loading", "ready", "waiting"
FREEZE, OFFER, YOURS, RESUME, START_OVER = "freeze", "offer", "yours", "resume", "start over"
ASK, LOAD, SAY_READY, BEGIN, RELEASE, WAIT, END = (
    "ask",
    "load",
    "say ready",
    "begin",
    "release",
    "wait",
    "end",
)


class Giver:
    def __init__(self):
        self.state, self.until = OWNER, 0

    @property
    def owns(self):
        return self.state != REPLACED

    def hello(self, now):
        """Somebody asks; no actions means: refused, another replacement is under way."""
        if self.state != OWNER:
            return []
        self.state, self.until = FREEZING, now + FREEZE_WITHIN
        return [FREEZE]

    def frozen(self, now):
        """Nothing moves any more.  Threat: the taker left meanwhile, and the offer goes to nobody."""
        if self.state != FREEZING:
            return []
        self.state, self.until = OFFERED, now + LOAD_WITHIN
        return [OFFER]

    def ready(self):
        """The taker has loaded the offer."""
        if self.state != OFFERED:
            return []
        self.state = REPLACED
        return [YOURS]

    def lost(self):
        """The channel ended or said what cannot be read, the taker's time is up, or `YOURS` could not be
        said."""
        before, self.state = self.state, OWNER
        return {FREEZING: [RESUME], OFFERED: [RESUME], REPLACED: [START_OVER]}.get(before, [])

    def unsaid(self):
        """`YOURS` did not leave: it was never said."""
        self.state = OFFERED
        return self.lost()


class Taker:
    def __init__(self, now):
        self.state, self.until = ASKING, now + JOIN_WITHIN

    @property
    def owns(self):
        return self.state == OWNER

    def offered(self):
        if self.state != ASKING:
            return []
        self.state = LOADING
        return [LOAD]

    def loaded(self):
        if self.state != LOADING:
            return []
        self.state = READY
        return [SAY_READY]

    def yours(self):
        if self.state != READY:
            return []
        self.state = OWNER
        return [BEGIN]

    def lost(self, now):
        """The channel ended, or this process could not load; what it was given is let go.

        Threat: each offer stops the giver for a moment, and a taker that cannot load would ask for the next
        at once; so after one it only waits for the folder."""
        if self.state == OWNER:
            return []
        held = self.state in (LOADING, READY)
        self.state = WAITING if held else self.state
        return [RELEASE] * held + [END if now >= self.until else ASK if self.state == ASKING else WAIT]
