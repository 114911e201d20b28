"""Which process owns the state folder during a hand-over: two state machines without I/O.

`Sender` is the old process, which owns the folder; `Receiver` is the new one, which is to own it.  Each event
returns the actions to carry out, in order.  Only the sender's message `YOURS` moves ownership: until it is
sent the sender owns the folder; once it is sent the sender does nothing unless the receiver is known to be
gone.  Times are in nanoseconds."""

SEC = 1_000_000_000
MAX_CALLERS = 4  # connections to the sender's channel at once
WRITE_OUT_TIMEOUT = 0.05  # seconds that a partly written call has to be written out once a freeze begins
FREEZE_TIMEOUT = SEC // 2  # time limit for requests that are being answered to be answered
# Time limit from the offer until the receiver has loaded it.  The sender serves nobody in that time, and what
# comes due then has 300 ms to be ended.
LOAD_TIMEOUT = SEC // 5
MAX_OFFERS = 3  # offers that a receiver takes; each one stops the sender for a moment
ASK_AGAIN_PAUSE = SEC // 2  # time until a receiver that lost its offer asks again, doubled each time
# Time limit for the receiver's whole attempt.  An old process that hangs hands nothing over; the platform
# waits 6 s for the new process to report ready and 3.7 s more before it kills the old one.  Then the folder
# is free.
JOIN_TIMEOUT = 12 * SEC

# States of the sender.
OWNER = "owner"
FREEZING = "freezing"
OFFERED = "offered"
REPLACED = "replaced"
# States of the receiver, which ends as `OWNER` too.
ASKING = "asking"
LOADING = "loading"
READY = "ready"
WAITING = "waiting"
# Actions of the sender.
FREEZE = "freeze"
OFFER = "offer"
YOURS = "yours"
RESUME = "resume"
START_OVER = "start over"
# Actions of the receiver.
ASK = "ask"
LOAD = "load"
SEND_READY = "say ready"
BEGIN = "begin"
RELEASE = "release"
WAIT = "wait"
END = "end"


class Sender:
    def __init__(self):
        self.state = OWNER
        self.deadline = 0

    @property
    def owns(self):
        return self.state != REPLACED

    def hello(self, now):
        """A new process asks for the folder; no actions: it is refused, another replacement is under way."""
        if self.state != OWNER:
            return []
        self.state = FREEZING
        self.deadline = now + FREEZE_TIMEOUT
        return [FREEZE]

    def frozen(self, now):
        """All activity has stopped.  If the receiver has left meanwhile, no offer is sent."""
        if self.state != FREEZING:
            return []
        self.state = OFFERED
        self.deadline = now + LOAD_TIMEOUT
        return [OFFER]

    def ready(self):
        """The receiver has loaded the offer."""
        if self.state != OFFERED:
            return []
        self.state = REPLACED
        return [YOURS]

    def lost(self):
        """The channel closed or brought an unreadable message, the receiver ran out of time, or `YOURS` could
        not be sent."""
        before, self.state = self.state, OWNER
        return {FREEZING: [RESUME], OFFERED: [RESUME], REPLACED: [START_OVER]}.get(before, [])

    def yours_not_sent(self):
        """Sending `YOURS` failed and none of it left: ownership has not moved."""
        self.state = OFFERED
        return self.lost()


class Receiver:
    def __init__(self, now):
        self.state = ASKING
        self.deadline = now + JOIN_TIMEOUT
        self.lost_offers = 0
        self.ask_at = now  # when it may ask, or ask again

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
        return [SEND_READY]

    def yours(self):
        if self.state != READY:
            return []
        self.state = OWNER
        return [BEGIN]

    def lost(self, now):
        """The channel closed, this process lost its offer, or it waits; what it received is released.

        A receiver that was suspended may load the next offer in time, one that is too slow never will.  So it
        asks again after growing pauses, and after `MAX_OFFERS` only waits for the folder to become free."""
        if self.state == OWNER:
            return []
        had_offer = self.state in (LOADING, READY)
        if had_offer:
            self.state = WAITING
            self.ask_at = now + (ASK_AGAIN_PAUSE << self.lost_offers)
            self.lost_offers += 1
        elif self.state == WAITING and self.lost_offers < MAX_OFFERS and self.ask_at <= now < self.deadline:
            self.state = ASKING
        return [RELEASE] * had_offer + [
            END if now >= self.deadline else ASK if self.state == ASKING else WAIT
        ]
