"""A member that takes on new work: licences for the number in force, and what it knows to be decided.
No I/O, clock or trio."""

from zlib import crc32

from juniperlanding.accord import words

MOST_ROUNDS, MOST_REPEATS = 6, 3


class Holder:
    def __init__(self, home, now):
        self.home = home
        self.number, self.digest, self.document, self.unable = -1, "", b"", ""
        self.until, self.had, self.rounds, self.round = 0, False, {}, 0
        self.ask_at, self.again_at, self.pace, self.repeats = now, 0, home.tuning.again, 0
        self.closed = {}  # voter -> (ballot it promised, when its leader was last heard, when that was told)

    def holds(self, now):
        return self.number if now < self.until else None

    def rest(self, now):
        return max(0, self.until - now)

    # ---- asking

    def due(self):
        return min(self.ask_at, self.again_at) if self.again_at else self.ask_at

    def tick(self, now):
        if self.had and now >= self.until:
            self.had = False
            self.home.tell("licence lost", number=self.number)
        if now >= self.ask_at:
            self.begin(now)
        elif self.again_at and now >= self.again_at:
            granted = self.rounds.get(self.round, (0, set()))[1]
            self.repeats += 1
            more = self.repeats < MOST_REPEATS
            self.again_at = now + (self.home.tuning.again << self.repeats) if more else 0
            self.ask([name for name in self.home.voters if name not in granted])

    def begin(self, now):
        """A new round.  Nobody asks for a number that is known to be over, or that it cannot take."""
        home, sixth = self.home, self.home.tuning.licence // 6
        if self.unable:  # for a reason that may have gone
            self.learned(*home.known, now)
        self.round += 1
        self.rounds[self.round] = now, set()
        self.rounds.pop(self.round - MOST_ROUNDS, None)
        spread = crc32(f"{home.name}/{home.seed}/{self.round}".encode()) / 2**32
        if self.holds(now) is not None:
            self.pace, wait = home.tuning.again, int(sixth * (0.9 + 0.2 * spread))
        else:
            wait = int(self.pace * (0.75 + 0.5 * spread))
            self.pace = min(sixth, self.pace + self.pace // 4)
        self.ask_at = now + wait
        self.repeats, self.again_at = 0, now + home.tuning.again
        self.ask(home.voters)

    def ask(self, names):
        number, digest = (-1, "") if self.home.known[0] > self.number else (self.number, self.digest)
        for name in names:
            self.home.say(name, words.Ask(self.round, number, digest, self.home.sum))

    def granted(self, source, message, now):
        """Threats: a grant of an older round or life, for another number, or from no voter."""
        home = self.home
        if (message.life != home.life or message.round not in self.rounds or source not in home.voters
                or (message.number, message.digest) != (self.number, self.digest)
                or home.known[0] > self.number):
            return
        asked_at, granted = self.rounds[message.round]
        granted.add(source)
        self.closed.pop(source, None)
        if len(granted) < home.majority:
            return
        if message.round == self.round:
            self.again_at = 0
        self.until = max(self.until, asked_at + home.tuning.shortest)
        if not self.had and now < self.until:
            self.had, self.pace = True, home.tuning.again
            home.tell("licence", number=self.number, rest=self.until - now)

    def denied(self, source, message, now):
        if message.life != self.home.life or source not in self.home.voters:
            return
        if message.why == "closed" and message.number == self.number:
            self.closed[source] = message.ballot, now - message.silent, now
        else:
            self.closed.pop(source, None)

    # ---- changes

    def release(self, source, message, now):
        """Rounds begun before are void, so no grant that is still under way makes a licence again."""
        if message.number > self.number:
            self.give_up(now)
        self.home.say(source, words.Released(message.ballot, message.number))

    def give_up(self, now):
        if self.had:
            self.home.tell("released", number=self.number)
        self.until, self.had, self.rounds, self.again_at = 0, False, {}, 0
        self.pace, self.ask_at = self.home.tuning.again, min(self.ask_at, now + self.home.tuning.again)

    def learned(self, number, digest, now):
        """A number is decided; it is taken up once its document is here."""
        if number <= self.number:
            return
        self.give_up(now)
        document = self.home.texts.get(digest)
        if document is None:
            return self.home.texts.want(digest, None, now)
        why = self.home.checked(digest)
        if why != self.unable and why:
            self.home.tell("cannot take", number=number, why=why)
        self.unable = why
        if why:
            return
        self.number, self.digest, self.document = number, digest, document
        self.closed.clear()
        self.home.tell("in force", number=number, digest=digest)
        self.begin(now)
