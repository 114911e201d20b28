"""How stand-in endpoints behave, without I/O: a temper answers (call, now) with what comes back and when.

Times are nanoseconds; chance is a `random.Random` of the endpoint's own, so that equal calls at equal times
fare alike from one seed."""

import math
from dataclasses import dataclass, field
from random import Random

MS, SEC = 1_000_000, 1_000_000_000
DELIVERED, ERROR, TURNED_AWAY, SILENT, RESET = "delivered", "error", "turned_away", "silent", "reset"
RAN = (DELIVERED, ERROR, SILENT, RESET)  # endings after which the notification has taken effect, or may have


@dataclass(slots=True)
class Reply:
    """What one call gets: an ending, after `delay`, with a told wait at will."""

    ending: str
    delay: int
    wait: int = 0


@dataclass(slots=True)
class Temper:
    """An endpoint's character.

    median, spread: service time, lognormal; rate, burst: calls a second it takes, 0 for any; errors, silence,
    resets: shares of calls; up, down: for so long it is there and not there, in turns (down 0: always
    there)."""

    name: str
    median: int = 15 * MS
    spread: float = 0.4
    rate: float = 0.0
    burst: float = 5.0
    errors: float = 0.0
    silence: float = 0.0
    resets: float = 0.0
    up: int = 0
    down: int = 0


TEMPERS = {
    temper.name: temper
    for temper in (
        Temper("fast"),
        Temper("slow", median=180 * MS, spread=0.6),
        Temper("throttling", rate=3.0),
        Temper("flapping", up=2 * SEC, down=1200 * MS),
        Temper("silent", silence=0.12),
        Temper("erring", errors=0.08, resets=0.02),
    )
}


@dataclass(slots=True)
class Character:
    """One endpoint's temper at work, with its own chance and what it remembers."""

    temper: Temper
    chance: Random
    tokens: float = 0.0
    filled_at: int = 0
    silenced: bool = False  # a trouble: nothing is answered any more, until it is lifted
    refusing: bool = False  # a trouble: it is not there
    calls: int = 0
    ends: dict = field(default_factory=dict)

    def reply(self, now, weight=1):
        """What a call that has wholly come gets; `weight` is how many notifications it holds."""
        self.calls += 1
        reply = self.drawn(now, weight)
        self.ends[reply.ending] = self.ends.get(reply.ending, 0) + 1
        return reply

    def drawn(self, now, weight):
        temper, chance = self.temper, self.chance
        lot, delay = chance.random(), int(temper.median * math.exp(chance.gauss(0.0, temper.spread)))
        if self.silenced:
            return Reply(SILENT, 0)
        if temper.rate and (wait := self.over(now, weight)):
            return Reply(TURNED_AWAY, MS, wait)
        for ending, share in ((SILENT, temper.silence), (ERROR, temper.errors), (RESET, temper.resets)):
            if lot < share:
                return Reply(ending, delay)
            lot -= share
        return Reply(DELIVERED, delay)

    def over(self, now, weight):
        """The wait to be told when the rate is used up, else 0 and the call is charged."""
        temper = self.temper
        gone = max(0, now - self.filled_at) / SEC if self.filled_at else temper.burst
        self.tokens, self.filled_at = min(temper.burst, self.tokens + gone * temper.rate), now
        if self.tokens < weight:
            return int((weight - self.tokens) / temper.rate * SEC) + MS
        self.tokens -= weight
        return 0

    def there(self, now, since):
        """Whether it takes connections at `now`, its turns counted from `since`."""
        turn = self.temper.up + self.temper.down
        return not self.refusing and (not self.temper.down or (now - since) % turn < self.temper.up)
