"""Who leads a change: check, close, release, accept, decided; and who takes over from one that fell silent.
No I/O, clock or trio.

- *check*: every member that can be reached reads the text and may say no; then nothing has happened
  anywhere.
- *close*: a majority of voters promises; from then on no licence for the old number is granted by a
  majority.
- *release*: holders are told only now.  It ends once a majority of the voters that promised have no holder
  left that neither gave up nor is surely past its licence: each licence has a grant of one of them.
- *accept*: a text that a promise brought along is finished, whoever began it.  Its own leader had waited for
  all holders before it asked anybody to accept, and the number has been closed since; so there is no second
  wait.
- *decided* by a majority that accepted; told to all, and asked for by those who missed it.

A leader that hears no majority for `takeover` says that it goes no further, and others take over.  A voter
refuses a second leader only while it hears the first, so one who is heard but hears nobody (a one-way cut)
holds the rest back no longer than that.  Of two who lead at once the lower ballot gives way when neither gets
on. Whoever has no licence and hears that voters are closed by a leader long silent, leads: it finishes a
text that was accepted, or decides the next number with the text that is in force."""

from dataclasses import dataclass, field
from zlib import crc32

from juniperlanding.accord import words
from juniperlanding.accord.voter import agreeing
from juniperlanding.accord.words import NONE

MOST_TELLS, MOST_YIELDS = 20, 3


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

    def clean(self, now):
        """Nobody can hold a licence any more that this voter granted."""
        return self.blind_until <= now and max(self.holders.values(), default=0) <= now


@dataclass(eq=False)
class Change:
    """What this process leads now.  digest: of the text that it wants; own: proposed here, else taken over;
    said: member -> reason; pledges: voter -> Pledge; others: voter -> ballot it follows instead;
    accepted: voter -> (epoch, epochs it knows); heard: voter -> when it last answered."""

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
    heard: dict = field(default_factory=dict)
    again_at: int = 0


class Leader:
    def __init__(self, home, now):
        """last: (number, outcome, by, why) of the last proposal here, outcome: decided, refused, withdrawn,
        kept (the text in force was decided instead), lost (another text was) or unknown; proposed: (number,
        digest) of one that is led here no more and may yet be decided; telling: member -> times that it was
        told the news."""
        self.home, self.change, self.last, self.proposed, self.leaving = home, None, None, None, False
        self.telling, self.tell_at, self.tries, self.not_before, self.at = {}, 0, 0, now, now
        self.yielding, self.yield_at, self.yields = None, 0, 0

    # ---- what people ask for

    def propose(self, document, now):
        home, holder = self.home, self.home.holder
        if not 0 < len(document) <= words.MOST_DOCUMENT:
            raise Refused(f"a document of {len(document)} bytes, 1 to {words.MOST_DOCUMENT} are taken")
        if self.leaving:
            raise Refused("this process drains")
        if self.change or self.proposed:
            number = self.change.number if self.change else self.proposed[0]
            raise Refused(f"number {number} is under way here")
        if other := home.other(now):
            raise Refused(f"{other.by} leads a change to number {other.number}")
        # Threat: what is decided can be taken nowhere; another text must still be possible.
        if holder.holds(now) is None and not holder.unable:
            raise Refused("no licence here")
        if home.voter and not home.voter.cleared:
            raise Refused("this voter is not cleared yet")
        (before, in_force), digest = home.known, words.digest_of(document)
        if digest == in_force:
            raise Refused(f"already decided as number {before}")
        home.texts.put(digest, document)
        if why := home.checked(digest):
            raise Refused(why)
        rosters = home.roster(in_force), home.roster(digest)
        bound = frozenset().union(*rosters) if all(rosters) else home.members
        asked = frozenset(home.members & bound) - {home.name}
        self.change = Change(
            before + 1, digest, True, now, now + home.tuning.give_up, asked=asked, step_at=now
        )
        home.tell("proposal", number=self.change.number, digest=digest, asked=len(asked))
        self.tick(now)
        return before + 1

    def leave(self, now):
        """The process drains: what nobody promised yet is withdrawn, the rest goes on while it can."""
        self.leaving = True
        if self.change and self.change.step == "check":
            self.end("withdrawn", "this process drains")

    # ---- time

    def due(self):
        times = [self.tell_at] * bool(self.telling) + [self.yield_at] * bool(self.yielding)
        if self.change:
            times += [self.change.again_at, *(at for at in self.ends(self.change) if at > self.at)]
        elif (at := self.takeover_at()) is not None:
            times.append(at)
        return min(times, default=1 << 62)

    def ends(self, change):
        """When waiting for somebody ends by itself."""
        if change.step == "check":
            return [change.step_at + self.home.tuning.check_within]
        if change.step == "release":
            return [
                until
                for pledge in change.pledges.values()
                for until in (pledge.blind_until, *pledge.holders.values())
            ]
        return []

    def tick(self, now):
        self.at = now
        if self.change:
            self.forward(now)
        change = self.change
        if change and now >= change.again_at:
            if self.lost_majority(change, now):
                self.stop("no majority of the voters answers", now)
            else:
                change.again_at = now + self.home.tuning.again
                self.repeat(change, now)
        if not self.change and (at := self.takeover_at()) is not None and now >= at:
            self.take_over(now)
        if self.telling and now >= self.tell_at:
            self.tell(now)
        if self.yielding and now >= self.yield_at:
            self.say_yields(now)

    def lost_majority(self, change, now):
        """Threat: one whose words arrive and who hears no answer would hold all others back for ever."""
        if change.step == "check":
            return False
        within = self.home.tuning.takeover
        fresh = sum(now - at < within for at in change.heard.values())
        return now >= change.until or now - change.step_at >= within and fresh < self.home.majority

    def repeat(self, change, now):
        """Whatever was not answered is said again."""
        home, ballot, number = self.home, change.ballot, change.number
        prepare = words.Prepare(ballot, number, home.known[1], home.sum)
        if change.step == "check":
            for name in sorted(change.asked - change.said.keys()):
                home.say(name, words.Check(number, change.digest))
        elif change.step == "close":
            promised = self.promised(change)
            for name in home.voters:
                if name not in promised:
                    home.say(name, prepare)
        elif change.step == "release":
            waits, promised = self.waits_for(change, now), self.promised(change)
            done = {name for name, _ in change.released} - waits
            for name in sorted((home.members | {home.name} | waits) - done):
                home.say(name, words.Release(ballot, number))
            for name in home.voters:
                home.say(name, words.Leads(ballot, number) if name in promised else prepare)
        elif change.step == "accept":
            accepted = agreeing(change.accepted)
            for name in home.voters:
                if name not in accepted:
                    home.say(name, words.Accept(ballot, number, change.digest))

    # ---- steps

    def forward(self, now):
        change, home = self.change, self.home
        if change.step == "check":
            refusals = [f"{name}: {why}" for name, why in sorted(change.said.items()) if why]
            if refusals:
                return self.end("refused", "; ".join(refusals)[:1000])
            said = change.said.keys() >= change.asked and self.hears(change, now)
            if said or now >= change.step_at + home.tuning.check_within:
                self.close(change, now)
        elif change.step == "close":
            if len(self.promised(change)) >= home.majority:
                self.closed(change, now)
            elif self.outrun(change, now):
                leader = max(change.others.values())[1]
                self.not_before = now + home.tuning.takeover
                self.end("refused", f"{leader} leads a change to number {change.number}")
        elif change.step == "release":
            promised = self.promised(change)
            if sum(change.pledges[name].clean(now) for name in promised) >= home.majority:
                self.step(change, "accept", now)
        elif len(agreeing(change.accepted)) >= home.majority:
            home.learn(change.number, change.digest, home.name, now)

    def step(self, change, step, now):
        change.step, change.step_at, change.again_at = step, now, now
        self.home.tell("step", number=change.number, step=step, since=now - change.since)

    def hears(self, change, now):
        """Threat: one that is heard and hears nothing would close the number for all; its licence, renewed
        every sixth, shows it.  One that stood still has it renewed in a moment, for which the check waits."""
        holder = self.home.holder
        return not change.own or holder.unable or holder.rest(now) >= self.home.tuning.shortest // 2

    def close(self, change, now):
        home = self.home
        if not self.hears(change, now):
            other = home.other(now)
            return self.end(
                "refused",
                f"{other.by} leads a change to number {other.number}"
                if other
                else "too few voters answer here",
            )
        self.step(change, "close", now)
        self.raise_ballot(change, now)

    def raise_ballot(self, change, now):
        """A ballot higher than any heard of."""
        home = self.home
        home.round = max(home.round, home.kept.promised[0]) + 1
        change.ballot, change.again_at = (home.round, home.name, home.life), now
        change.pledges, change.others = {}, {}

    def closed(self, change, now):
        """A majority promised."""
        accepted, digest = max(
            (change.pledges[name].accepted, change.pledges[name].accepted_digest)
            for name in self.promised(change)
        )
        if accepted == NONE:
            return self.step(change, "release", now)
        if change.own:
            self.proposed, change.own = (change.number, change.digest), False
        change.digest = digest
        self.step(change, "accept", now)

    def promised(self, change):
        return agreeing(
            {name: (pledge.epoch, pledge.epochs) for name, pledge in change.pledges.items() if pledge.whole}
        )

    def outrun(self, change, now):
        """A majority cannot promise any more, or a higher ballot holds on where we have none."""
        others = change.others.values()
        return (
            len(others) > len(self.home.voters) - self.home.majority
            or max(others, default=NONE) > change.ballot
            and now - change.step_at >= 4 * self.home.tuning.again
        )

    def waits_for(self, change, now):
        return {
            name
            for pledge in change.pledges.values()
            for (name, _), until in pledge.holders.items()
            if until > now
        }

    # ---- answers

    def says(self, source, message, now):
        change = self.change
        if (
            change
            and change.step == "check"
            and source in change.asked
            and (message.number, message.digest) == (change.number, change.digest)
        ):
            change.said[source] = message.reason
            self.go_on(now)

    def promise(self, source, message, now):
        """Threat: a voter started again in between, and its pieces are of two lives."""
        change = self.change
        if not change or message.ballot != change.ballot or source not in self.home.voters:
            return
        change.heard[source] = now
        change.others.pop(source, None)
        pledge = change.pledges.get(source)
        if pledge is None or pledge.epoch < message.epoch:
            pledge = change.pledges[source] = Pledge(
                message.epoch, {}, message.accepted, message.accepted_digest, message.of, now + message.blind
            )
        if pledge.epoch != message.epoch or message.of != pledge.of or message.piece >= message.of:
            return
        pledge.pieces.add(message.piece)
        pledge.epochs = self.home.by_name(message.epochs)
        for name, life, rest in message.holders:
            if (name, life) not in change.released:
                until = now + rest
                pledge.holders[name, life] = min(until, pledge.holders.get((name, life), until))
        self.go_on(now)

    def follows(self, source, message, now):
        change = self.change
        if not change or message.ballot != change.ballot or source not in self.home.voters:
            return
        change.heard[source] = now
        if message.leader == change.ballot:
            return
        if change.step == "close" and not message.busy:  # of one that gave up or fell silent
            if message.leader > change.ballot:
                self.raise_ballot(change, now)
            return
        change.others[source] = message.leader
        higher = [leader for leader in change.others.values() if leader > change.ballot]
        if change.step != "close" and len(higher) > len(self.home.voters) - self.home.majority:
            return self.stop(f"{max(higher)[1]} took over", now)
        self.go_on(now)

    def released(self, source, life, message, now):
        """Threat: a release of an older ballot; since then the holder may have asked again."""
        change = self.change
        if not change or message.ballot != change.ballot or len(change.released) >= 2 * words.MOST_HOLDERS:
            return
        change.released.add((source, life))
        found = [pledge for pledge in change.pledges.values() if pledge.holders.pop((source, life), None)]
        if any(not pledge.holders for pledge in found):
            self.go_on(now)

    def accepted(self, source, message, now):
        change = self.change
        if (
            change
            and message.ballot == change.ballot
            and change.step == "accept"
            and source in self.home.voters
        ):
            change.heard[source] = now
            if message.epoch >= change.accepted.get(source, (0,))[0]:
                change.accepted[source] = message.epoch, self.home.by_name(message.epochs)
            self.go_on(now)

    def go_on(self, now):
        """One answer may have been the last that was waited for."""
        step = self.change.step
        self.forward(now)
        if self.change and self.change.step != step:
            self.tick(now)

    # ---- ends

    def end(self, outcome, why):
        change, self.change = self.change, None
        if change.ballot != NONE:
            self.yielding = words.Yields(change.ballot, change.number, change.step != "accept")
            self.yield_at = self.yields = 0
        if change.own:
            self.last = change.number, outcome, self.home.name, why
        self.home.tell(
            outcome if change.own else "stopped",
            number=change.number,
            digest=change.digest,
            step=change.step,
            why=why,
        )

    def stop(self, why, now):
        """Others go on.  What was never to be accepted anywhere is over; of the rest the number will tell."""
        change = self.change
        self.tries += 1
        self.not_before = now + self.home.tuning.takeover
        if change.own and change.step == "accept":
            self.proposed, change.own = (change.number, change.digest), False
        self.end("refused", why)

    def say_yields(self, now):
        """A few times: who is not told thinks us silent only after `takeover`, and stays closed."""
        for name in self.home.voters:
            self.home.say(name, self.yielding)
        self.yields += 1
        self.yield_at = now + self.home.tuning.again
        if self.yields >= MOST_YIELDS:
            self.yielding = None

    def learned(self, number, digest, now):
        """A number is decided, by whomever."""
        change, home, mine, asked = self.change, self.home, self.proposed, True
        if change and change.own:
            mine, asked = (change.number, change.digest), change.step == "accept"
        led = change and change.step == "accept" and (change.number, change.digest) == (number, digest)
        if change and change.number <= number:
            self.change = None
        if mine and mine[0] <= number:
            if mine[0] < number:  # others may have finished it, and changed it since
                outcome = "unknown" if asked else "lost"
            else:
                outcome = (
                    "decided" if mine[1] == digest else ("kept" if digest == home.holder.digest else "lost")
                )
            why = "" if outcome == "decided" else f"number {number} is decided"
            self.last = mine[0], outcome, home.name, why
            self.proposed = None
            home.tell(outcome, number=mine[0], digest=mine[1])
        self.telling, self.tries = {}, 0
        if led:
            home.tell("led", number=number, digest=digest, after=now - change.since)
            self.telling = dict.fromkeys(home.everybody(), 0)
            self.tell(now)

    def tell(self, now):
        """The news, to each until it says that it heard it, or often enough; the rest learn it by asking."""
        home = self.home
        self.telling = {name: times + 1 for name, times in self.telling.items() if times < MOST_TELLS}
        for name in self.telling:
            home.say(name, words.Decided(*home.known))
        self.tell_at = now + (home.tuning.again << min(max(self.telling.values(), default=0), 5))

    def taken(self, source, message):
        if message.number == self.home.known[0]:
            self.telling.pop(source, None)

    # ---- taking over

    def silent(self):
        """Ballot and time of the last word of each leader for whom voters are closed, as they lately said."""
        fresh = 2 * self.home.tuning.takeover
        return [
            (heard, ballot)
            for ballot, heard, told in self.home.holder.closed.values()
            if self.at - told <= fresh
        ]

    def takeover_at(self):
        """When we would lead; None if there is no need.  Threat: all members at once."""
        home, holder, within = self.home, self.home.holder, self.home.tuning.takeover
        roster = home.roster(holder.digest)
        if (
            holder.had
            or holder.number < home.known[0]
            or self.leaving
            or not (silent := self.silent())
            or roster
            and home.name not in roster
            and not home.voter
        ):
            return None
        share = crc32(f"{home.name}/{home.seed}/{holder.number}/{self.tries}".encode()) / 2**32
        return max(self.not_before, max(silent)[0] + within + int(share * within * min(1 + self.tries, 4)))

    def take_over(self, now):
        home, holder = self.home, self.home.holder
        self.change = Change(holder.number + 1, holder.digest, False, now, now + home.tuning.give_up)
        home.tell("took over", number=self.change.number, silent=max(self.silent())[1][1])
        self.close(self.change, now)
        self.tick(now)

    def state(self, now):
        change, home = self.change, self.home
        if not change:
            other = home.other(now)
            return {
                "step": other.step if other else "-",
                "proposal": other and other.number,
                "proposal_digest": other.digest if other else "",
                "by": other.by if other else "",
                "since": now - other.since if other else 0,
                "waits": [],
                "last": self.last,
            }
        waits = {
            "check": lambda: change.asked - change.said.keys(),
            "close": lambda: set(home.voters) - self.promised(change),
            "release": lambda: self.waits_for(change, now)
            | {name for name, pledge in change.pledges.items() if pledge.blind_until > now},
            "accept": lambda: set(home.voters) - agreeing(change.accepted),
        }[change.step]()
        return {
            "step": change.step,
            "proposal": change.number,
            "proposal_digest": change.digest,
            "by": home.name,
            "since": now - change.since,
            "waits": sorted(waits),
            "last": self.last,
        }
