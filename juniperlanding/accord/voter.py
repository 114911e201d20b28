"""A voter: it promises, accepts, grants licences and remembers.  No I/O, clock or trio."""

from juniperlanding.accord import words
from juniperlanding.accord.words import NONE


def agreeing(answers):
    """Of `answers` (voter -> (its epoch, epochs it knows by name)) those that count together.

    Threat: a voter lost its folder after an answer, started again and remembers nothing of it; whoever helped
    it to start knows its later epoch, and any two majorities have such a one in common."""
    return {name for name, (epoch, _) in answers.items()
            if all(known.get(name, 0) <= epoch for _, known in answers.values())}


class Voter:
    def __init__(self, home, now):
        """home: the `Accord`, whose `kept` it changes."""
        self.home, self.cleared, self.began = home, False, now
        self.holders, self.listed, self.wanted = {}, (NONE, []), None
        self.blind_until = now + home.tuning.longest
        self.leader_heard, self.answers, self.doubted, self.recall_at = now, {}, False, now
        home.kept = home.kept.but(epoch=home.kept.epoch + 1)

    # ---- after a start

    def tick(self, now):
        if not self.cleared and now >= self.recall_at:
            self.recall_at = now + self.home.tuning.again
            for name in self.home.everybody():
                if name not in self.answers:
                    self.say(name, words.Recall(self.home.kept.epoch, self.home.sum))
            self.clear(now)

    def recalled(self, source, message, now):
        home = self.home
        if self.cleared or message.epoch != home.kept.epoch:
            return
        self.doubted |= message.stamp > home.kept.stamp
        if message.before > home.kept.epoch:  # the folder is a copy older than a start
            home.kept = home.kept.but(epoch=message.before + 1)
            self.answers, self.recall_at = {}, now
            return
        self.answers[source] = message
        self.clear(now)

    def clear(self, now):
        """Cleared once (b) a majority without us has answered, or (a) one with us has, and nobody heard more
        from us than we have written down."""
        home = self.home
        voters = {name: answer for name, answer in self.answers.items()
                  if answer.voter and name in home.voters}
        sure = agreeing({name: (answer.own, home.by_name(answer.epochs))
                         for name, answer in voters.items() if answer.sure})
        if len(sure) < home.majority and (self.doubted or now < self.began + home.tuning.clear_after
                                          or len(voters) + 1 < home.majority):
            return
        self.cleared = True
        kept, before = home.kept, home.kept
        for answer in voters.values():
            kept = merged(kept, answer)
            kept = kept.but(epochs=later(kept.epochs, home.by_name(answer.epochs)))
        stamp = max([kept.stamp, *(answer.stamp for answer in self.answers.values())])
        if kept != before or stamp > before.stamp:
            home.kept = kept.but(stamp=stamp + 1)
        self.leader_heard = now
        home.tell("cleared", number=kept.number, epoch=kept.epoch,
                  by="voters" if len(sure) >= home.majority else "folder")
        home.learn(home.kept.number, home.kept.digest, home.name, now)
        self.learned(*home.known, now)

    def recall(self, source, message, now):
        """What we know of a voter that started, and of the record."""
        home = self.home
        kept = home.kept
        before = kept.epochs.get(source, 0)
        if source != home.name and message.epoch > before:
            home.kept = kept = kept.but(epochs=kept.epochs | {source: message.epoch})
        self.say(source, words.Recalled(
            message.epoch, before, home.stamps.get(source, 0), True, self.cleared, kept.number, kept.digest,
            kept.promised, kept.accepted, kept.accepted_digest, kept.epoch, self.epochs()))

    # ---- licences

    def ask(self, source, life, message, now):
        home, kept = self.home, self.home.kept
        why = self.why_not(source, life, message, now)
        if why:
            number, digest = (kept.number, kept.digest) if self.cleared else (-1, "")
            return self.say(source, words.Denied(life, message.round, why, number, digest, kept.promised,
                                                 now - self.leader_heard, kept.epoch, kept.stamp))
        self.holders[source, life] = now + home.tuning.longest
        self.say(source, words.Grant(life, message.round, kept.number, kept.digest, kept.epoch, kept.stamp))

    def why_not(self, source, life, message, now):
        home, kept = self.home, self.home.kept
        if not self.cleared:
            return "clearing"
        if (message.number, message.digest) != (kept.number, kept.digest):
            return "number"
        if kept.promised != NONE:
            return "closed"
        roster = home.roster(kept.digest)
        if roster is None:
            return "no document"
        if roster and source not in roster:
            return "not on the roster"
        if (source, life) not in self.holders and len(self.holders) >= words.MOST_HOLDERS:
            self.holders = {holder: until for holder, until in self.holders.items() if until > now}
            if len(self.holders) >= words.MOST_HOLDERS:
                return "too many holders"
        return ""

    # ---- the change

    def prepare(self, source, message, now):
        home, kept, ballot = self.home, self.home.kept, message.ballot
        if not self.cleared or self.passed(source, message):
            return
        if ballot != kept.promised:
            if ballot < kept.promised or self.follows(kept.promised, source, now):
                return self.say(source, words.Follows(ballot, message.number, kept.promised))
            home.write(promised=ballot)
            home.tell("closed", number=kept.number, by=source, ballot=ballot[0])
        self.leader_heard = now
        self.promise(source, message, now)

    def follows(self, promised, source, now):
        """Threat: two who lead in turn keep each other from ending."""
        return (promised != NONE and promised[1] != source
                and now - self.leader_heard < self.home.tuning.takeover)

    def promise(self, source, message, now):
        """In pieces that fit, the same holders in each every time: nothing is granted any more."""
        kept, blind = self.home.kept, max(0, self.blind_until - now)
        if self.listed[0] != message.ballot:
            self.listed = message.ballot, pieces((*holder, until) for holder, until in self.holders.items()
                                                 if until > now)
        parts = self.listed[1]
        for at, part in enumerate(parts):
            self.say(source, words.Promise(
                message.ballot, message.number, at, len(parts),
                [(name, life, max(0, until - now)) for name, life, until in part], blind, kept.accepted,
                kept.accepted_digest, kept.epoch, kept.stamp, self.epochs()))

    def leads(self, source, message, now):
        if self.cleared and not self.passed(source, message):
            if message.ballot == self.home.kept.promised:
                self.leader_heard = now
            self.say(source, words.Follows(message.ballot, message.number, self.home.kept.promised))

    def yields(self, source, message, now):
        if message.ballot == self.home.kept.promised and message.number == self.home.kept.number + 1:
            self.leader_heard = now - self.home.tuning.takeover

    def accept(self, source, message, now):
        home, kept, ballot = self.home, self.home.kept, message.ballot
        if not self.cleared or self.passed(source, message):
            return
        if ballot < kept.promised:
            return self.say(source, words.Follows(ballot, message.number, kept.promised))
        self.leader_heard = now
        document = home.texts.get(message.digest)
        if document is None:
            self.wanted = source, message
            return home.texts.want(message.digest, source, now)
        if ballot != kept.accepted:
            home.write(promised=ballot, accepted=ballot, accepted_digest=message.digest,
                       documents=home.texts.some(kept.digest, message.digest))
        kept = home.kept
        self.say(source, words.Accepted(ballot, message.number, kept.epoch, kept.stamp, self.epochs()))

    def arrived(self, digest, now):
        """A document came."""
        home = self.home
        if self.wanted and self.wanted[1].digest == digest:
            wanted, self.wanted = self.wanted, None
            self.accept(*wanted, now)
        if self.cleared and digest == home.kept.digest and digest not in home.kept.documents:
            home.write(documents=home.texts.some(digest, home.kept.accepted_digest))

    def passed(self, source, message):
        """Whether what was said is about another number than the next."""
        kept = self.home.kept
        if message.number <= kept.number:
            self.say(source, words.Decided(kept.number, kept.digest))
        return message.number != kept.number + 1

    def learned(self, number, digest, now):
        """A number is decided: licences for older ones are over, and so is all that was said about it."""
        home = self.home
        if self.cleared and number > home.kept.number:
            self.holders, self.listed, self.wanted = {}, (NONE, []), None
            home.write(number=number, digest=digest, promised=NONE, accepted=NONE, accepted_digest="",
                       documents=home.texts.some(digest))

    # ---- saying

    def epochs(self):
        """In the order of the voters."""
        kept, home = self.home.kept, self.home
        return [kept.epoch if name == home.name else kept.epochs.get(name, 0) for name in home.voters]

    def say(self, name, message):
        """Threat: what a voter says before it is written down is forgotten by a crash."""
        self.home.say(name, message, durable=True)


def merged(kept, answer):
    """The later of two records: of the higher number, else the higher ballots of both."""
    if answer.number != kept.number:
        return kept if answer.number < kept.number else kept.but(
            number=answer.number, digest=answer.digest, promised=answer.promised, accepted=answer.accepted,
            accepted_digest=answer.accepted_digest)
    kept = kept.but(promised=max(kept.promised, answer.promised))
    return kept if answer.accepted <= kept.accepted else kept.but(
        accepted=answer.accepted, accepted_digest=answer.accepted_digest)


def later(mine, told):
    """Of two tables of epochs the higher of each."""
    return {name: max(mine.get(name, 0), told.get(name, 0)) for name in mine.keys() | told.keys()}


def pieces(holders):
    """Lists of (name, life, until) that fit one word each, at least one."""
    parts, room = [[]], words.HOLDERS_ROOM
    for holder in holders:
        size = len(holder[0].encode()) + 24
        if size > room:
            parts.append([])
            room = words.HOLDERS_ROOM
        parts[-1].append(holder)
        room -= size
    return parts
