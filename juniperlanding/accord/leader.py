"""Who leads a change: check, close, release, accept, decided; and who takes over from one that fell silent.
No I/O, clock or trio."""

from dataclasses import dataclass, field
from math import ceil
from zlib import crc32

from juniperlanding.accord import words
from juniperlanding.accord.voter import agreeing
from juniperlanding.accord.words import NONE

MOST_TELLS = 20


class Refused(ValueError):
    """A proposal that is not begun; its text is the reason."""


@dataclass(eq=False)
class Pledge:
    """A voter's promise as it came so far.  holders: (name, life) -> when its licence is surely over here."""

    epoch: int
    epochs: dict
    accepted: tuple
    accepted_digest: str
    of: int
    blind_until: int
    pieces: set = field(default_factory=set)
    holders: dict = field(default_factory=dict)

    @property
    def whole(self):
        return len(self.pieces) == self.of


@dataclass(eq=False)
class Change:
    """What this process leads now.  digest: of the text that it wants; own: proposed here, else taken over;
    said: (member) -> reason; pledges: voter -> Pledge; others: voter -> ballot it follows instead."""

    number: int
    digest: str
    own: bool
    since: int
    until: int
    step: str = "check"
    step_at: int = 0
    ballot: tuple = NONE
    asked: frozenset = frozenset()
    said: dict = field(default_factory=dict)
    pledges: dict = field(default_factory=dict)
    others: dict = field(default_factory=dict)
    released: set = field(default_factory=set)
    accepted: dict = field(default_factory=dict)
    heard: dict = field(default_factory=dict)  # voter -> when it last answered
    again_at: int = 0


class Leader:
    def __init__(self, home, now):
        self.home, self.change, self.last = home, None, None
        self.proposed = None  # (number, digest) of a proposal that is led no more, its outcome unknown
        self.telling, self.tell_at, self.tries, self.not_before = {}, 0, 0, now

    # ---- what people ask for

    def propose(self, document, now):
        home = self.home
        if len(document) > words.MOST_DOCUMENT or not document:
            raise Refused(f"a document of {len(document)} bytes; 1 to {words.MOST_DOCUMENT} are taken")
        if self.change or self.proposed:
            under_way = self.change.number if self.change else self.proposed[0]
            raise Refused(f"number {under_way} is under way here")
        if home.holder.holds(now) is None:
            raise Refused("no licence here")
        if home.voter and not home.voter.cleared:
            raise Refused("this voter is not cleared yet")
        digest = words.digest_of(document)
        if digest == home.holder.digest:
            raise Refused(f"already in force as number {home.holder.number}")
        home.texts.put(digest, document)
        if why := home.checked(digest):
            raise Refused(why)
        number = home.holder.number + 1
        bound = home.roster(home.holder.digest), home.roster(digest)
        asked = frozenset(name for name in home.members - {home.name}
                          if not all(bound) or any(name in roster for roster in bound))
        tuning = home.tuning
        self.change = Change(number, digest, True, now, now + tuning.give_up, asked=asked, step_at=now)
        home.tell("proposal", number=number, digest=digest, asked=len(asked))
        self.tick(now)
        return number

    def leave(self, now):
        """The process drains: what nobody promised yet is withdrawn, the rest goes on while it can."""
        if self.change and self.change.step == "check":
            self.end("withdrawn", "this process drains")
        self.not_before = now + (1 << 60)

    # ---- time

    def due(self):
        times = [self.tell_at] if self.telling else []
        if self.change:
            times += [self.change.again_at, *self.ends(self.change)]
        elif (at := self.takeover_at()) is not None:
            times.append(at)
        return min(times, default=1 << 62)

    def ends(self, change):
        """When waiting for somebody ends by itself."""
        if change.step == "check":
            return [change.step_at + self.home.tuning.check_within]
        if change.step == "release":
            return [until for pledge in change.pledges.values()
                    for until in (pledge.blind_until, *pledge.holders.values()) if until > change.step_at]
        return []

    def tick(self, now):
        if self.change:
            self.forward(now)
        change = self.change
        if change and now >= change.again_at:
            if self.lost_majority(change, now):
                return self.stop("no majority of the voters answers", now)
            change.again_at = now + self.home.tuning.again
            self.repeat(change, now)
        if not self.change and (at := self.takeover_at()) is not None and now >= at:
            self.take_over(now)
        if self.telling and now >= self.tell_at:
            self.tell(now)

    def lost_majority(self, change, now):
        """Threat: one whose words arrive and who hears no answer would hold all others back for ever."""
        if change.step == "check":
            return False
        within = self.home.tuning.takeover
        fresh = sum(now - at < within for at in change.heard.values())
        return now >= change.until or (now - change.step_at >= within and fresh < self.home.majority)

    def repeat(self, change, now):
        """Whatever was not answered is said again."""
        home, ballot, number = self.home, change.ballot, change.number
        if change.step == "check":
            for name in sorted(change.asked - change.said.keys()):
                home.say(name, words.Check(number, change.digest))
        elif change.step == "close":
            for name in home.voters:
                if name not in change.pledges or not change.pledges[name].whole:
                    home.say(name, words.Prepare(ballot, number, home.known[1], home.sum))
        elif change.step == "release":
            waits = {holder[0] for holder in self.waits_for(change, now)}
            for name in sorted(home.members | {home.name} | waits):
                if name in waits or not any(held[0] == name for held in change.released):
                    home.say(name, words.Release(ballot, number))
            for name in home.voters:
                if name in change.pledges and change.pledges[name].whole:
                    home.say(name, words.Leads(ballot, number))
                else:
                    home.say(name, words.Prepare(ballot, number, home.known[1], home.sum))
        elif change.step == "accept":
            for name in home.voters:
                if name not in change.accepted:
                    home.say(name, words.Accept(ballot, number, change.digest))

    # ---- steps

    def forward(self, now):
        change, home = self.change, self.home
        if change.step == "check":
            refusals = [(name, why) for name, why in sorted(change.said.items()) if why]
            if refusals:
                return self.end("refused", "; ".join(f"{name}: {why}" for name, why in refusals))
            if change.said.keys() >= change.asked or now >= change.step_at + home.tuning.check_within:
                self.close(change, now)
        if change.step == "close":
            if len(self.promised(change)) >= home.majority:
                self.closed(change, now)
            elif self.outrun(change, now):
                name = max(change.others.values())[1]
                return self.end("lost" if not change.own else "refused", f"{name} leads a change", told=True)
        if change.step == "release" and len(self.clean(change, now)) >= home.majority:
            self.step(change, "accept", now)
        if change.step == "accept" and len(agreeing(change.accepted)) >= home.majority:
            home.learn(change.number, change.digest, home.name, now)

    def step(self, change, step, now):
        change.step, change.step_at, change.again_at = step, now, now
        self.home.tell("step", number=change.number, step=step, since=now - change.since)

    def close(self, change, now):
        change.ballot = (self.home.next_round(), self.home.name, self.home.life)
        self.step(change, "close", now)

    def closed(self, change, now):
        """A majority promised.  Whatever one of them accepted may be decided already, and is finished; for it
        the waiting for holders was over before."""
        found = max((pledge.accepted, pledge.accepted_digest)
                    for name, pledge in change.pledges.items() if name in self.promised(change))
        if found[0] != NONE:
            if change.own and found[1] != change.digest:
                self.proposed, change.own = (change.number, change.digest), False
            change.digest = found[1]
            return self.step(change, "accept", now)
        self.step(change, "release", now)

    def promised(self, change):
        return agreeing({name: (pledge.epoch, pledge.epochs)
                         for name, pledge in change.pledges.items() if pledge.whole})

    def outrun(self, change, now):
        """A majority cannot promise any more, or a higher ballot holds on where we have none."""
        if not change.others:
            return False
        higher = max(change.others.values()) > change.ballot
        return (len(change.others) > len(self.home.voters) - self.home.majority
                or higher and now - change.step_at >= 4 * self.home.tuning.again)

    def clean(self, change, now):
        """Voters that promised and whose holders have all given up, or whose licences are surely over."""
        return {name for name in self.promised(change) if not self.left(change.pledges[name], change, now)}

    def left(self, pledge, change, now):
        rest = [holder for holder, until in pledge.holders.items()
                if until > now and holder not in change.released]
        return rest + [("others", 0)] * (pledge.blind_until > now)

    def waits_for(self, change, now):
        return {holder for pledge in change.pledges.values() for holder in self.left(pledge, change, now)}

    # ---- answers

    def says(self, source, message, now):
        change = self.change
        if change and change.step == "check" and source in change.asked and (
                message.number, message.digest) == (change.number, change.digest):
            change.said[source] = message.reason
            self.forward(now)

    def promise(self, source, message, now):
        change = self.change
        if not change or message.ballot != change.ballot or source not in self.home.voters:
            return
        change.heard[source] = now
        change.others.pop(source, None)
        pledge = change.pledges.get(source)
        if pledge is None or pledge.epoch < message.epoch:
            pledge = change.pledges[source] = Pledge(
                message.epoch, self.home.by_name(message.epochs), message.accepted, message.accepted_digest,
                message.of, self.over(message.blind, now))
        if pledge.epoch != message.epoch or message.of != pledge.of or message.piece >= message.of:
            return
        pledge.pieces.add(message.piece)
        pledge.epochs = self.home.by_name(message.epochs)
        for name, life, rest in message.holders:
            until = self.over(rest, now)
            pledge.holders[name, life] = min(until, pledge.holders.get((name, life), until))
        self.go_on(now)

    def over(self, rest, now):
        """When a rest told by another's clock is surely over."""
        return now + ceil(rest * (1 + self.home.tuning.drift)) if rest else 0

    def follows(self, source, message, now):
        change = self.change
        if not change or message.ballot != change.ballot or source not in self.home.voters:
            return
        change.heard[source] = now
        self.home.seen(message.leader)
        if message.leader == change.ballot:
            return
        change.others[source] = message.leader
        if change.step != "close" and message.leader > change.ballot and sum(
                leader > change.ballot for leader in change.others.values()) > len(
                self.home.voters) - self.home.majority:
            return self.stop(f"{message.leader[1]} took over", now)
        self.go_on(now)

    def released(self, source, life, message, now):
        change = self.change
        if change and message.ballot == change.ballot:
            change.released.add((source, life))
            self.go_on(now)

    def accepted(self, source, message, now):
        change = self.change
        if not change or message.ballot != change.ballot or change.step != "accept":
            return
        change.heard[source] = now
        if source in self.home.voters and message.epoch >= change.accepted.get(source, (0,))[0]:
            change.accepted[source] = message.epoch, self.home.by_name(message.epochs)
        self.go_on(now)

    def go_on(self, now):
        """One answer may have been the last."""
        step = self.change.step
        self.forward(now)
        if self.change and self.change.step != step:
            self.tick(now)

    # ---- ends

    def end(self, outcome, why="", told=False):
        change, self.change = self.change, None
        if told:
            for name in self.home.voters:
                self.home.say(name, words.Yields(change.ballot, change.number))
        if change.own:
            self.last = change.number, outcome, self.home.name, why
            self.home.tell(outcome, number=change.number, digest=change.digest, why=why)

    def stop(self, why, now):
        """Others go on; what became of it is told when its number is decided."""
        change, self.change = self.change, None
        self.tries += 1
        self.not_before = now + self.home.tuning.takeover
        if change.own:
            self.proposed = change.number, change.digest
        self.home.tell("stopped", number=change.number, step=change.step, why=why)
        for name in self.home.voters:
            self.home.say(name, words.Yields(change.ballot, change.number))

    def learned(self, number, digest, now):
        """A number is decided, by whomever."""
        change, home = self.change, self.home
        mine = change and change.own and (change.number, change.digest) or self.proposed
        led = change and change.step == "accept" and (change.number, change.digest) == (number, digest)
        if change and change.number <= number:
            self.change = None
        if mine and mine[0] <= number:
            self.proposed = None
            outcome = ("decided" if mine == (number, digest) else
                       "kept" if mine[0] == number and digest == home.holder.digest else "lost")
            why = "" if outcome == "decided" else f"number {number} is decided"
            self.last = mine[0], outcome, home.name, why
            home.tell(outcome, number=mine[0], digest=mine[1])
        if led:
            home.tell("decided", number=number, digest=digest, own=change.own, after=now - change.since)
            self.telling = {name: 0 for name in home.everybody()}
            self.tell_at = now
            self.tell(now)
        elif self.telling:
            self.telling = {}

    def tell(self, now):
        """The news, to each until it says that it heard it, or often enough; the rest learn it by asking."""
        home, most = self.home, 0
        for name, times in list(self.telling.items()):
            if times >= MOST_TELLS or name not in home.members and times > 3:
                del self.telling[name]
                continue
            home.say(name, words.Decided(*home.known))
            self.telling[name] = times + 1
            most = max(most, times)
        self.tell_at = now + (home.tuning.again << min(most, 5))

    def taken(self, source, message):
        if message.number == self.home.known[0]:
            self.telling.pop(source, None)

    # ---- taking over

    def takeover_at(self):
        """When we would lead, from what voters last said: each is closed, its leader silent; None if not."""
        home = self.home
        holder = home.holder
        if holder.had or not holder.closed or holder.number < home.known[0]:
            return None
        heard = max(heard for _, heard, _ in holder.closed.values())
        within = home.tuning.takeover
        share = crc32(f"{home.name}/{home.seed}/{holder.number}/{self.tries}".encode()) / 2**32
        return max(self.not_before, heard + within + int(share * within * min(1 + self.tries, 4)))

    def take_over(self, now):
        home = self.home
        holder = home.holder
        if any(now - told > 2 * home.tuning.takeover for _, _, told in holder.closed.values()):
            holder.closed = {voter: said for voter, said in holder.closed.items()
                             if now - said[2] <= 2 * home.tuning.takeover}
            return
        for ballot, _, _ in holder.closed.values():
            home.seen(ballot)
        self.change = Change(holder.number + 1, holder.digest, False, now, now + home.tuning.give_up)
        home.tell("took over", number=self.change.number,
                  silent=sorted({ballot[1] for ballot, _, _ in holder.closed.values()}))
        self.close(self.change, now)
        self.tick(now)

    def state(self, now):
        change = self.change
        if not change:
            return {"step": "-", "proposal": None, "last": self.last}
        waits = {"check": lambda: change.asked - change.said.keys(),
                 "close": lambda: set(self.home.voters) - self.promised(change),
                 "release": lambda: {name for name, _ in self.waits_for(change, now)},
                 "accept": lambda: set(self.home.voters) - change.accepted.keys()}[change.step]()
        return {"step": change.step, "proposal": change.number, "proposal_digest": change.digest,
                "by": self.home.name, "since": now - change.since, "waits": sorted(waits), "last": self.last}
