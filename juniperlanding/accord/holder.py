"""A member that takes on new work: licences for the number in force, and what it knows to be decided.
No I/O, clock or trio.

A licence is valid on this process's steady clock from the moment that its round was begun, before any ask
left, for `shortest`; so in true time no longer than `licence`, be the clock slow by `drift`.  A voter that
granted it fears it from then on for `longest`, first by its own clock, then what is left by the clock of
the leader to whom it promised; so in true time at least for `licence`, be both fast by `drift`.

On a release all rounds so far are void.  A round begun later needs a grant of one of the voters that had
closed the number before the release was said, and none of them gives one."""

from zlib import crc32

from juniperlanding.accord import words

MOST_ROUNDS, MOST_REPEATS = 6, 3


class Holder:
    def __init__(self, home, now):
        """until: end of the licence; had: whether there was one when last looked; rounds: round -> (when it
        was begun, voters that granted); closed: voter -> (ballot that it promised, when it last heard its
        leader, when it said so); denials: voter -> why it granted nothing; unable: why this process cannot
        take what is decided."""
        self.home = home
        self.number, self.digest, self.document, self.unable = -1, "", b"", ""
        self.until, self.had, self.rounds, self.round = 0, False, {}, 0
        self.ask_at, self.again_at, self.pace, self.repeats, self.closed = now, 0, home.tuning.again, 0, {}
        self.denials = {}

    def holds(self, now):
        return self.number if now < self.until else None

    def rest(self, now):
        return max(0, self.until - now)

    # ---- asking

    def due(self):
        return min([self.ask_at, *[self.again_at] * bool(self.again_at), *[self.until] * self.had])

    def tick(self, now):
        if self.had and now >= self.until:
            self.had = False
            self.home.tell("licence lost", number=self.number)
        if now >= self.ask_at:
            if self.unable:  # for a reason that may have gone
                self.take_up(now)
            self.begin(now)
        elif self.again_at and now >= self.again_at:
            granted = self.rounds.get(self.round, (0, set()))[1]
            self.repeats += 1
            more = self.repeats < MOST_REPEATS
            self.again_at = now + (self.home.tuning.again << self.repeats) if more else 0
            self.ask([name for name in self.home.voters if name not in granted])

    def begin(self, now):
        """A new round: by turns while there is a licence, soon and then ever later while there is none."""
        home, tuning = self.home, self.home.tuning
        self.round += 1
        self.rounds[self.round] = now, set()
        self.rounds.pop(self.round - MOST_ROUNDS, None)
        spread = crc32(f"{home.name}/{home.seed}/{self.round}".encode()) / 2**32
        if self.holds(now) is not None:
            self.pace, wait = tuning.again, int(tuning.licence // 6 * (0.9 + 0.2 * spread))
        else:
            wait = int(self.pace * (0.75 + 0.5 * spread))
            self.pace = min(tuning.licence // 6, tuning.takeover // 4, self.pace + self.pace // 4)
        self.ask_at, self.again_at, self.repeats = now + wait, now + tuning.again, 0
        self.ask(home.voters)

    def ask(self, names):
        """Nobody asks for a number that it knows to be over."""
        over = self.home.known[0] > self.number
        number, digest = (-1, "") if over else (self.number, self.digest)
        for name in names:
            self.home.say(name, words.Ask(self.round, number, digest, self.home.sum))

    def granted(self, source, message, now):
        """Threats: a grant of an older round or life, for another number, or from no voter."""
        home = self.home
        if (
            message.life != home.life
            or message.round not in self.rounds
            or source not in home.voters
            or (message.number, message.digest) != (self.number, self.digest)
            or home.known[0] > self.number
        ):
            return
        asked_at, granted = self.rounds[message.round]
        granted.add(source)
        self.closed.pop(source, None)
        self.denials.pop(source, None)
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
        self.denials[source] = message.why
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

    def take_up(self, now):
        """What is known to be decided, once its document is here; never an older number."""
        home, (number, digest) = self.home, self.home.known
        if number <= self.number or (document := home.texts.get(digest)) is None:
            return
        why = home.checked(digest)
        if why and why != self.unable:
            home.tell("cannot take", number=number, digest=digest, why=why)
        self.unable = why
        if not why:
            self.number, self.digest, self.document = number, digest, document
            self.closed.clear()
            home.tell("in force", number=number, digest=digest)
            self.begin(now)
