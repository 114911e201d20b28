"""One policy in force everywhere or nowhere: voter, holder and leader of one process.  No I/O, clock or trio.

Build `Accord(...)` once this process owns its folder and whoever owned it before takes on nothing any more,
with a life that no other had: ballots, rounds and licences are told apart by it.  Then `heard(source, life,
message, now)` for what came, and `tick(now)` at `due()`. Both put (name, message, durable) on `out`: a
durable one may leave only once `kept`, as it is then, is on disk; one to this process's own name (only
durable ones are) goes back into `heard` by then.  `said` holds (event, figures). Times are nanoseconds of
this process's own steady clock."""

from collections import deque
from dataclasses import dataclass
from math import ceil

from juniperlanding.accord import words
from juniperlanding.accord.holder import Holder
from juniperlanding.accord.leader import Leader, Refused
from juniperlanding.accord.texts import Texts
from juniperlanding.accord.voter import Voter
from juniperlanding.accord.words import Kept

__all__ = ["Accord", "Kept", "Refused", "Tuning"]
MS, SEC = 1_000_000, 1_000_000_000
MOST_MEMBERS, MOST_EPOCHS = 4096, 4
STEPS = {
    words.Check: "check",
    words.Prepare: "close",
    words.Leads: "release",
    words.Release: "release",
    words.Accept: "accept",
}


@dataclass(frozen=True)
class Tuning:
    """licence: how long one holds; drift: share by which a clock may differ from true time; again: until what
    was not answered is said again; takeover: silence after which a leader is succeeded; check_within: for the
    answers of members; give_up: until a leader stops; clear_after: until a voter believes its folder."""

    licence: int = 3 * SEC
    drift: float = 0.01
    again: int = 50 * MS
    takeover: int = 1500 * MS
    check_within: int = 2 * SEC
    give_up: int = 30 * SEC
    clear_after: int = 500 * MS

    @property
    def shortest(self):
        """What a holder counts on, from before it asked."""
        return int(self.licence * (1 - self.drift))

    @property
    def longest(self):
        """What a voter fears, from after it granted."""
        return ceil(self.licence * (1 + self.drift))


@dataclass(eq=False)
class Rival:
    """A change that another leads, as heard here."""

    number: int
    by: str
    since: int
    step: str = ""
    digest: str = ""
    at: int = 0


class Accord:
    def __init__(self, name, life, voters, kept, read, check, seed, now, tuning=None):
        self.name, self.life, self.seed, self.tuning = name, life, seed, tuning or Tuning()
        self.voters = tuple(sorted(voters))
        self.majority, self.sum = len(self.voters) // 2 + 1, words.voters_sum(self.voters)
        self.kept, self.read, self.check = kept, read, check
        self.members, self.out, self.said, self.own = set(), [], [], deque()
        self.known = (-1, "")  # the highest number known to be decided
        self.round, self.rosters = 0, {"": frozenset()}
        self.stamps = {name: {0: stamp} for name, stamp in kept.stamps.items()}  # voter -> epoch -> highest
        self.texts = Texts(self, kept.documents)
        self.holder, self.leader = Holder(self, now), Leader(self, now)
        self.voter = Voter(self, now) if name in self.voters else None
        self.foreign, self.others, self.clash = set(), None, -1
        self.checks = {}  # digest -> [(who asked, its Check)]

    # ---- what the process asks

    @property
    def number(self):
        return self.holder.number

    @property
    def digest(self):
        return self.holder.digest

    @property
    def document(self):
        return self.holder.document

    def holds(self, now):
        return self.holder.holds(now)

    def rest(self, now):
        return self.holder.rest(now)

    def propose(self, document, now):
        number = self.leader.propose(document, now)
        self.settle(now)
        return number

    def leave(self, now):
        self.leader.leave(now)
        self.settle(now)

    def state(self, now):
        voter = self.voter
        return {
            "number": self.number,
            "digest": self.digest,
            "known": self.known[0],
            "rest": self.rest(now),
            "voter": bool(voter),
            "cleared": not voter or voter.cleared,
            "voters": self.voters,
            "unable": self.holder.unable,
            "denied": dict(self.holder.denials),
            **self.leader.state(now),
        }

    # ---- events

    def due(self):
        times = [self.holder.due(), self.leader.due(), self.texts.due()]
        if self.voter:
            times.append(self.voter.recall_at)
        return min(times)

    def tick(self, now):
        if self.voter:
            self.voter.tick(now)
        self.holder.tick(now)
        self.texts.tick(now)
        self.leader.tick(now)
        self.settle(now)

    def heard(self, source, life, message, now):
        self.take(source, life, message, now)
        self.settle(now)

    def settle(self, now):
        """What a process says to itself arrives at once."""
        while self.own:
            self.take(self.name, self.life, self.own.popleft(), now)

    def take(self, source, life, message, now):
        kind, voter, holder, leader = type(message), self.voter, self.holder, self.leader
        if getattr(message, "among", self.sum) != self.sum:
            if source not in self.foreign and len(self.foreign) < MOST_MEMBERS:
                self.foreign.add(source)
                self.tell("other voters", member=source)
            return
        if hasattr(message, "stamp") and source in self.voters and kind is not words.Recalled:
            self.hear(source, message.epoch, message.stamp)
        for field in ("ballot", "leader", "promised"):
            self.round = max(self.round, getattr(message, field, words.NONE)[0])
        if kind in STEPS and source != self.name and message.number > max(self.known[0], 0):
            self.rival(STEPS[kind], source, message, now)
        match message:
            case words.Ask():
                self.learn(message.number, message.digest, source, now)
                if voter:
                    voter.ask(source, life, message, now)
            case words.Grant():
                self.learn(message.number, message.digest, source, now)
                holder.granted(source, message, now)
            case words.Denied():
                self.learn(message.number, message.digest, source, now)
                holder.denied(source, message, now)
            case words.Check():
                self.checking(source, message, now)
            case words.Says():
                leader.says(source, message, now)
            case words.Prepare():
                self.learn(message.number - 1, message.digest, source, now)
                if voter:
                    voter.prepare(source, message, now)
            case words.Promise():
                leader.promise(source, message, now)
            case words.Follows():
                leader.follows(source, message, now)
            case words.Leads():
                if voter:
                    voter.leads(source, message, now)
            case words.Yields():
                if voter:
                    voter.yields(message, now)
            case words.Release():
                holder.release(source, message, now)
            case words.Released():
                leader.released(source, life, message, now)
            case words.Accept():
                if voter:
                    voter.accept(source, message, now)
            case words.Accepted():
                leader.accepted(source, message, now)
            case words.Decided():
                self.learn(message.number, message.digest, source, now)
                self.say(source, words.Taken(message.number))
            case words.Taken():
                leader.taken(source, message)
            case words.Recall():
                if voter:
                    voter.recall(source, message, now)
                elif source in self.voters:
                    self.say(source, words.Recalled(message.epoch, *self.heard_of(source, message.epoch)))
            case words.Recalled():
                if voter:
                    voter.recalled(source, message, now)
            case words.Fetch():
                self.texts.fetch(source, message)
            case words.Piece():
                self.texts.piece(source, message, now)

    def hear(self, voter, epoch, stamp):
        found = self.stamps.setdefault(voter, {})
        found[epoch] = max(stamp, found.get(epoch, 0))
        if len(found) > MOST_EPOCHS:
            del found[min(found, key=found.get)]

    def heard_of(self, voter, epoch):
        """Highest epoch and stamp in words of a voter's other lives than this one."""
        found = {at: stamp for at, stamp in self.stamps.get(voter, {}).items() if at != epoch}
        return max(found, default=0), max(found.values(), default=0)

    def rival(self, step, source, message, now):
        found = self.others
        if not found or (found.number, found.by) != (message.number, source):
            found = self.others = Rival(message.number, source, now)
        found.step, found.at, found.digest = (
            step,
            now,
            found.digest or (message.digest if step in ("check", "accept") else ""),
        )

    def other(self, now):
        """The change that another leads, if it was heard of lately."""
        found = self.others
        if found and found.number > self.known[0] and now - found.at < self.tuning.takeover:
            return found

    def learn(self, number, digest, source, now):
        """Somebody says that a number is decided."""
        if number > self.known[0]:
            self.known = number, digest
            self.leader.learned(number, digest, now)
            self.texts.want(digest, source, now)
            self.holder.give_up(now)
            if self.voter:
                self.voter.learned(number, digest, now)
            self.holder.take_up(now)
        elif (number, digest) != self.known and number == self.known[0] and number >= 0:
            # Threat: a folder was restored while those who knew better were away (voter.py, (a)).
            if self.clash != number:
                self.clash = number
                self.tell("two texts", number=number, by=source)

    def arrived(self, digest, now):
        """A document came that was wanted."""
        if self.voter:
            self.voter.arrived(digest, now)
        if digest == self.known[1]:
            self.holder.take_up(now)
        for source, message in self.checks.pop(digest, []):
            self.checking(source, message, now)

    def checking(self, source, message, now):
        """A leader asks whether we could take a document; we fetch it and say."""
        if self.texts.get(message.digest) is None:
            asked = self.checks.setdefault(message.digest, [])
            if (source, message) not in asked and len(asked) < words.MOST_VOTERS:
                asked.append((source, message))
            while len(self.checks) > words.MOST_VOTERS:
                del self.checks[next(iter(self.checks))]
            return self.texts.want(message.digest, source, now)
        self.say(
            source, words.Says(message.number, message.digest, self.checked(message.digest)[: words.MOST_WHY])
        )

    # ---- shared by the three

    def say(self, name, message, durable=False):
        if name == self.name and not durable:
            self.own.append(message)
        else:
            self.out.append((name, message, durable))

    def tell(self, event, **figures):
        self.said.append((event, figures))

    def everybody(self):
        """All to whom news goes, but ourselves."""
        return sorted((self.members | set(self.voters)) - {self.name})[:MOST_MEMBERS]

    def write(self, **more):
        """Change what a voter keeps."""
        stamps = {name: max(found.values()) for name, found in self.stamps.items()}
        self.kept = self.kept.but(stamp=self.kept.stamp + 1, stamps=stamps, **more)

    def roster(self, digest):
        """Names bound by a document, empty for everybody; None if it is not here."""
        if digest not in self.rosters:
            document = self.texts.get(digest)
            if document is None:
                return None
            while len(self.rosters) > 8:
                del self.rosters[next(iter(self.rosters))]
            try:
                self.rosters[digest] = self.read(document)
            except ValueError:
                # Threat: a later program reads it, this one does not; it grants on, and takes nothing on.
                self.rosters[digest] = frozenset()
        return self.rosters[digest]

    def checked(self, digest):
        """Why this process cannot take a document that is here; "" if it can."""
        document = self.texts.get(digest)
        if not document:
            return ""
        try:
            self.read(document)
        except ValueError as error:
            return str(error) or "cannot be read"
        return self.check(document)

    def pinned(self):
        """Documents that must not be let go."""
        return {
            "",
            self.digest,
            self.known[1],
            self.kept.digest,
            self.kept.accepted_digest,
            self.leader.change.digest if self.leader.change else "",
        }

    def by_name(self, epochs):
        return dict(zip(self.voters, epochs, strict=False))
