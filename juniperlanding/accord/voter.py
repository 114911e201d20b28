"""A voter: it promises, accepts, grants licences and remembers.  No I/O, clock or trio.

For each number the voters choose one text by ballots (Paxos, one instance a number).  What that rests on:

- *Never two texts for one number.*  A voter answers a ballot only if it promised no higher one, and writes
  down what it answers before the answer leaves.  Any two majorities share a voter, so who leads a higher
  ballot hears of a text that may be chosen, and proposes that one.
- *A voter that lost what it wrote* (a lost or older folder) answers nothing until it is cleared.  (b) A
  majority of the others, themselves cleared, tell it their records and write its new epoch down first:
  whatever majority its earlier lives were part of has a member among them.  If that member's part came
  before, its record holds the ballot and the text, and is adopted; if it came later, it says the new epoch
  beside its part, and the part of the earlier life no longer counts (`agreeing`).  (a) A folder is believed
  without that, if a majority with ourselves has answered and nobody ever heard a higher stamp than the
  folder's.  It asks on until each voter has answered, and a later objection ends it.  What is open there: an
  older copy, while all who heard more are away.
- *No licence for n once n + 1 is decided.*  A promise for n + 1 closes n.  Each licence has the grants of a
  majority, so it has one of a voter among those whose promises the leader waited for.  That voter granted
  before it promised, and then names the holder in its promise, or has started since, and then is `blind` for
  as long as any grant that it forgot may last: `longest` by its clock from its start, more than any licence
  from before it was asked for.  After its promise it grants n no more: what the promise closed is opened
  again only if the leader of that ballot says that it asked nobody to accept and never will, and if no
  earlier promise closed n (`owed`).
- *What is decided stays.*  Numbers here only grow, in memory and on disk; an older record grants for n only
  to those that ask for n, and a majority of voters is closed for it."""

from juniperlanding.accord import words
from juniperlanding.accord.words import NONE


def agreeing(answers):
    """Of `answers` (voter -> (its epoch, epochs it knows by name)) those that count together."""
    return {
        name
        for name, (epoch, _) in answers.items()
        if all(known.get(name, 0) <= epoch for _, known in answers.values())
    }


class Voter:
    def __init__(self, home, now):
        """home: the `Accord`, whose `kept` it changes; found: stamp of the folder; sure: cleared by others.

        holders: (name, life) -> until when it may hold a licence; listed: what it promised to which ballot;
        wanted: what it is asked to accept, while the document is fetched."""
        self.home, self.cleared, self.began = home, False, now
        self.holders, self.listed, self.wanted = {}, (NONE, [], 0), None
        self.blind_until = now + home.tuning.longest
        self.leader_heard, self.found, self.sure, self.doubts = now, home.kept.stamp, False, ""
        self.again(0, now)

    # ---- after a start

    def again(self, before, now):
        """Threat: a folder that is an older copy; with a new epoch its earlier answers are told apart."""
        home = self.home
        home.kept = home.kept.but(epoch=words.epoch_after(max(before, home.kept.epoch), home.life))
        self.cleared, self.answers, self.recall_at, self.pace = False, {}, now, home.tuning.again

    def tick(self, now):
        """Who is cleared by its folder alone asks on until each voter has answered: one may have heard
        more."""
        home = self.home
        if now < self.recall_at:
            return
        answered = (
            self.answers
            if self.cleared
            else self.vouch() | {name for name, answer in self.answers.items() if not answer.voter}
        )
        asked = [
            name
            for name in (home.voters if self.cleared else home.everybody())
            if name not in answered and name != home.name
        ]
        for name in asked:
            self.say(name, words.Recall(home.kept.epoch, home.sum))
        self.recall_at = now + self.pace if asked or not self.cleared else 1 << 62
        self.pace = min(home.tuning.licence // 6, self.pace + self.pace // 4)
        self.clear(now)
        if not self.cleared and now > self.began + 2 * home.tuning.clear_after:
            doubts = "others heard more from us" if home.kept.doubted else "too few voters answer"
            if doubts != self.doubts:
                self.doubts = doubts
                home.tell("not cleared", why=doubts, answered=len(self.answers))

    def recalled(self, source, message, now):
        home = self.home
        if self.sure or message.epoch != home.kept.epoch or message.voter and source not in home.voters:
            return
        doubted = message.stamp > self.found and not home.kept.doubted
        if doubted:
            home.kept = home.kept.but(doubted=True)
        if message.before > home.kept.epoch or doubted and self.cleared:
            return self.again(message.before, now)
        self.answers[source] = message
        self.clear(now)

    def vouch(self):
        """Voters whose answers count together, as far as they are cleared themselves."""
        return agreeing(
            {
                name: (answer.own, self.home.by_name(answer.epochs))
                for name, answer in self.answers.items()
                if answer.sure
            }
        )

    def clear(self, now):
        """Once (b) a majority without us has answered that is itself cleared, or (a) a majority with us has,
        nobody heard more from us than the folder holds, and there was time to say so."""
        home = self.home
        voters = {name: answer for name, answer in self.answers.items() if answer.voter}
        sure = len(self.vouch()) >= home.majority
        if (
            self.cleared
            or not sure
            and (
                home.kept.doubted
                or now < self.began + home.tuning.clear_after
                or len(voters) + 1 < home.majority
            )
        ):
            return
        self.cleared, self.sure, self.leader_heard, kept = True, sure, now, home.kept
        for answer in voters.values():
            epochs = home.by_name(answer.epochs)
            kept = merged(kept, answer).but(
                epochs={
                    name: max(kept.epochs.get(name, 0), epochs.get(name, 0))
                    for name in home.voters
                    if name != home.name
                }
            )
        stamp = max([kept.stamp, *(answer.stamp for answer in self.answers.values())])
        if kept != home.kept or stamp > kept.stamp or kept.doubted:
            home.kept = kept.but(stamp=stamp + 1, doubted=False)
        self.recall_at = 1 << 62 if sure else now + self.pace
        home.tell("cleared", number=kept.number, stamp=home.kept.stamp, by="voters" if sure else "folder")
        home.learn(kept.number, kept.digest, home.name, now)
        self.learned(*home.known, now)
        for digest in (home.kept.digest, home.kept.accepted_digest):
            home.texts.want(digest, None, now)

    def recall(self, source, message, now):
        """What we know of a voter that started, and of the record.  A stamp that grew before we are cleared
        would hide that our own folder is old."""
        home = self.home
        before, stamp = home.heard_of(source, message.epoch)
        before = max(before, home.kept.epochs.get(source, 0))
        if source in home.voters and message.epoch > before:
            epochs = home.kept.epochs | {source: message.epoch}
            if self.cleared:
                home.write(epochs=epochs)
            else:
                home.kept = home.kept.but(epochs=epochs)
        kept = home.kept
        self.say(
            source,
            words.Recalled(
                message.epoch,
                before,
                stamp,
                True,
                self.cleared,
                kept.number,
                kept.digest,
                kept.promised,
                kept.closed,
                kept.accepted,
                kept.accepted_digest,
                kept.epoch,
                self.epochs(),
            ),
        )

    # ---- licences

    def ask(self, source, life, message, now):
        home, kept = self.home, self.home.kept
        why = self.why_not(source, life, message, now)
        if why:
            number, digest = (kept.number, kept.digest) if self.cleared else (-1, "")
            silent = max(0, now - self.leader_heard)
            return self.say(
                source,
                words.Denied(
                    life, message.round, why, number, digest, kept.promised, silent, kept.epoch, kept.stamp
                ),
            )
        self.holders[source, life] = now + home.tuning.longest
        self.say(source, words.Grant(life, message.round, kept.number, kept.digest, kept.epoch, kept.stamp))

    def why_not(self, source, life, message, now):
        home, kept = self.home, self.home.kept
        if not self.cleared:
            return "not cleared"
        if (message.number, message.digest) != (kept.number, kept.digest):
            return "number"
        if kept.closed:
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
            if ballot < kept.promised or self.busy(source, now):
                return self.follows(source, message, now)
            home.write(promised=ballot, owed=kept.closed, open=False)
            home.tell("closed", number=kept.number, by=source, ballot=ballot[0])
        elif kept.open:  # a late copy of what its leader gave up
            return
        self.leader_heard = now
        self.promise(source, message, now)

    def busy(self, source, now):
        """Threat: two who lead in turn keep each other from ending."""
        kept = self.home.kept
        return (
            kept.closed and kept.promised[1] != source and now - self.leader_heard < self.home.tuning.takeover
        )

    def follows(self, source, message, now):
        self.say(
            source,
            words.Follows(message.ballot, message.number, self.home.kept.promised, self.busy(source, now)),
        )

    def promise(self, source, message, now):
        """In pieces that fit, the same holders in each every time: nothing is granted any more.  Threat: a
        holder that fits no piece; it is told as one whom we forgot."""
        kept = self.home.kept
        base = words.Promise(
            message.ballot,
            message.number,
            0,
            1,
            [],
            self.home.tuning.longest,
            kept.accepted,
            kept.accepted_digest,
            kept.epoch,
            kept.stamp,
            self.epochs(),
        )
        if self.listed[0] != message.ballot:
            self.listed = (
                message.ballot,
                *pieces(
                    [(*holder, until) for holder, until in self.holders.items() if until > now],
                    words.MOST - len(words.encoded(base)) - 16,
                ),
            )
        _, parts, unlisted = self.listed
        blind = max(0, self.blind_until - now, unlisted - now)
        for at, part in enumerate(parts):
            holders = [(name, life, max(0, until - now)) for name, life, until in part]
            self.say(source, base.but(piece=at, of=len(parts), holders=holders, blind=blind))

    def leads(self, source, message, now):
        if self.cleared and not self.passed(source, message):
            if message.ballot == self.home.kept.promised:
                self.leader_heard = now
            self.follows(source, message, now)

    def yields(self, message, now):
        kept = self.home.kept
        if self.cleared and message.number == kept.number + 1 and message.ballot == kept.promised:
            self.leader_heard = now - self.home.tuning.takeover
            if message.void and not kept.owed and not kept.open:
                self.home.write(open=True)
                self.home.tell("open again", number=kept.number)

    def accept(self, source, message, now):
        home, kept, ballot = self.home, self.home.kept, message.ballot
        if not self.cleared or self.passed(source, message):
            return
        if ballot < kept.promised:
            return self.follows(source, message, now)
        self.leader_heard = now
        if home.texts.get(message.digest) is None:
            self.wanted = source, message
            return home.texts.want(message.digest, source, now)
        if ballot != kept.accepted:
            home.write(
                promised=ballot,
                owed=True,
                open=False,
                accepted=ballot,
                accepted_digest=message.digest,
                documents=home.texts.some(kept.digest, message.digest),
            )
        kept = home.kept
        self.say(source, words.Accepted(ballot, message.number, kept.epoch, kept.stamp, self.epochs()))

    def arrived(self, digest, now):
        """A document came."""
        home = self.home
        if self.wanted and self.wanted[1].digest == digest:
            wanted, self.wanted = self.wanted, None
            self.accept(*wanted, now)
        if self.cleared and digest in (home.kept.digest, home.kept.accepted_digest):
            if digest not in home.kept.documents:
                home.write(documents=home.texts.some(home.kept.digest, home.kept.accepted_digest))

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
            self.holders, self.listed, self.wanted = {}, (NONE, [], 0), None
            home.write(
                number=number,
                digest=digest,
                promised=NONE,
                owed=False,
                open=False,
                accepted=NONE,
                accepted_digest="",
                documents=home.texts.some(digest),
            )

    # ---- saying

    def epochs(self):
        """In the order of the voters."""
        home, kept = self.home, self.home.kept
        return [kept.epoch if name == home.name else kept.epochs.get(name, 0) for name in home.voters]

    def say(self, name, message):
        """Threat: what a voter says before it is written down is forgotten by a crash."""
        self.home.say(name, message, durable=True)


def merged(kept, answer):
    """The later of two records: of the higher number, else the higher ballots of both.  What one of them
    closed stays closed."""
    if answer.number < kept.number:
        return kept
    if answer.number > kept.number:
        kept = kept.but(
            number=answer.number,
            digest=answer.digest,
            promised=NONE,
            owed=False,
            open=False,
            accepted=NONE,
            accepted_digest="",
        )
    closed = kept.closed or answer.closed
    kept = kept.but(promised=max(kept.promised, answer.promised), owed=kept.owed or answer.closed)
    kept = kept.but(open=kept.promised != NONE and not closed)
    return (
        kept
        if answer.accepted <= kept.accepted
        else kept.but(accepted=answer.accepted, accepted_digest=answer.accepted_digest)
    )


def pieces(holders, room):
    """Lists of (name, life, until) that fit `room` bytes each, at least one; until when the others may
    hold."""
    parts, left, unlisted = [[]], room, 0
    for holder in holders:
        size = len(holder[0].encode()) + 24
        if size > room:
            unlisted = max(unlisted, holder[2])
            continue
        if size > left:
            parts.append([])
            left = room
        parts[-1].append(holder)
        left -= size
    return parts, unlisted
