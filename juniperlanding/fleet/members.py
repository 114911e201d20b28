"""Who lives, as this process believes: SWIM with Lifeguard's doubt of oneself.  No I/O, clock or trio.

Build `View(record, fleet, seeds, seed, now)`; then `heard(message, now)` for what came, and `tick(now)` at
`due()`.  Both put messages on `out`, as (address, Message), and changes on `changes`, as (Member, state
before).
Times are nanoseconds of this process's own steady clock; chance is crc32 over its life and a counter."""

from dataclasses import dataclass, field
from math import ceil, log, log10
from zlib import crc32

from juniperlanding.fleet import words
from juniperlanding.fleet.words import ALIVE, DEAD, LEFT, SUSPECT, Message, Record

MS, SEC = 1_000_000, 1_000_000_000
MOST_MEMBERS, MOST_RELAYS, MOST_OTHERS = 4096, 256, 64


@dataclass(frozen=True)
class Tuning:
    """every: between probes; answer: until helpers are asked; helpers: how many; suspicion: least, in probes
    for each power of ten of members, and most, times the least; confirm: other accusers until it is least;
    repeats: of news, for each power of ten; gossip: between news for their own sake, while there are any;
    sync: between full exchanges; kept: how long the dead stay known; most_doubt: times that a doubted self
    waits longer; load_for: how long load figures are believed."""

    every: int = 500 * MS
    answer: int = 200 * MS
    helpers: int = 3
    suspicion: float = 3.0
    most_suspicion: float = 3.0
    confirm: int = 3
    repeats: int = 4
    gossip: int = 200 * MS
    sync: int = 2 * SEC
    kept: int = 600 * SEC
    most_doubt: int = 6
    load_for: int = 15 * SEC


@dataclass(eq=False)
class Member:
    """What is believed of another; `by`: on whose word it is in its state since `since`."""

    record: Record
    since: int
    by: str
    until: int = 0  # suspect: when it is dead; dead or left: when it is forgotten
    began: int = 0
    accusers: set = field(default_factory=set)
    load_at: int = 0
    load: tuple = ()
    figures: bytes = b""
    figures_at: int = 0

    @property
    def name(self):
        return self.record.name

    @property
    def state(self):
        return self.record.state


@dataclass
class Probe:
    """The one probe under way; asked: helpers asked; told: of them, who said they heard nothing either."""

    member: Member
    number: int
    help_at: int
    until: int
    asked: int = 0
    told: int = 0


class View:
    def __init__(self, me, fleet, seeds, seed, now, tuning=None):
        self.figures = b""  # what a part tells of this process, with every probe and answer
        self.me, self.fleet, self.seed, self.tuning = me, fleet, seed, tuning or Tuning()
        self.seeds = [address for address in seeds if address != me.address]
        self.members, self.news, self.order, self.relays = {}, {}, [], {}
        self.out, self.changes, self.version, self.counter, self.number = [], [], 0, 0, 0
        self.probe, self.doubt, self.doubts = None, 0, 0
        self.probe_at = self.sync_at = self.gossip_at = now
        self.others, self.twin = set(), 0  # lives that bore our name; the one that still does
        self.ticked = now

    # ---- what is asked of the view

    def due(self):
        """When `tick` is next needed."""
        ends = [member.until for member in self.members.values() if member.until]
        probe = self.probe and (self.probe.until if self.probe.asked else self.probe.help_at)
        news = [self.gossip_at] if self.news else []
        return min([self.probe_at, self.sync_at, *([probe] if probe else []), *news, *ends])

    def living(self):
        return [member for member in self.members.values() if member.state in (ALIVE, SUSPECT)]

    def sure(self):
        """How sure we are that it is not ourselves who are cut off: the share of those who have not left that
        we believe alive, or of the seeds while we know nobody, less what we doubt ourselves."""
        known = [member for member in self.members.values() if member.state != LEFT]
        here = sum(member.state == ALIVE for member in known)
        return (here + 1) / (len(known or self.seeds) + 1) * (1 - self.doubt / (self.tuning.most_doubt + 1))

    def chance(self):
        self.counter += 1
        return crc32(f"{self.me.name}/{self.seed}/{self.counter}".encode()) / 2**32

    def some(self, members, count):
        """Some of them by chance."""
        return sorted(members, key=lambda member: (self.chance(), member.name))[:count]

    # ---- saying

    def say(self, address, kind, number=0, target="", news=(), about=None):
        """One message; as many news as fit, and first what is believed of whom it goes to.

        Threat: the accused hears of it last; so it is told by whoever writes to it."""
        first = [about.record] if about and about.state != ALIVE else []
        told = first + list(news or self.fresh(words.MOST_NEWS - len(first), about))
        # Threat: figures in every record of every message leave no room for news.
        source = self.me.but(figures=self.figures) if kind in (words.PING, words.ACK) else self.me
        said = Message(words.VERSIONS[0], self.fleet, kind, number, source, target, told)
        self.out.append((address, said))

    def fresh(self, most, about):
        """The news told least often so far; each is told some times a power of ten of members, no more."""
        names = sorted(self.news, key=lambda name: (-self.news[name], name))[:most]
        told = []
        for name in names:
            self.news[name] -= 1
            if self.news[name] <= 0:
                del self.news[name]
            record = self.me if name == self.me.name else self.members[name].record
            if not (about and about.name == name):
                told.append(record)
        return told

    def spread(self, name):
        self.news[name] = self.tuning.repeats * ceil(log10(len(self.members) + 2) + 1)

    def changed(self, **more):
        """We say something new of ourselves: a higher incarnation."""
        self.me = self.me.but(**more | {"inc": max(self.me.inc, more.get("inc", 0)) + 1})
        self.spread(self.me.name)

    def enter(self, phase):
        """starting, serving, draining or leaving; the last tells some of the living that we left."""
        if phase == self.me.phase:
            return
        last = phase == words.PHASES.index("leaving")
        self.changed(phase=phase, state=LEFT if last else ALIVE)
        for member in self.some(self.living(), 2 * self.tuning.helpers) if last else ():
            self.say(member.record.address, words.NEWS, news=[self.me])

    # ---- hearing

    def heard(self, message, now):
        """One message; the sender's word about itself counts like news."""
        source, figures = message.source.but(figures=b""), message.source.figures
        if source.name == self.me.name:
            return self.about_me(source, now) if source.life != self.me.life else None
        self.apply(source, source.name, now)
        for record in message.news:
            self.apply(record.but(figures=b""), source.name, now)
        member = self.members.get(source.name)
        if member is None:
            return
        if source.load and member.record.life == source.life:
            member.load, member.load_at = source.load, now
        if figures and member.record.life == source.life:
            member.figures, member.figures_at = figures, now
        stale = (
            member
            if member.record != source
            and (member.record.inc > source.inc or member.record.life != source.life)
            else None
        )
        if message.kind == words.PING:
            self.say(
                source.address, words.ACK, message.number, about=member, news=[stale.record] if stale else ()
            )
        elif message.kind == words.ACK:
            self.answered(message.number, source, now)
        elif message.kind == words.NACK and self.probe and message.number == self.probe.number:
            self.probe.told += 1
        elif message.kind == words.ASK:
            self.relay(message, now)
        elif message.kind == words.SYNC and message.target != self.sum():
            self.tell_all(source.address, words.PULL)
        elif message.kind == words.PULL:
            self.tell_all(source.address, words.NEWS)

    def answered(self, number, source, now):
        probe = self.probe
        if probe and number == probe.number and source.name == probe.member.name:
            self.probe, self.doubt = None, max(0, self.doubt - 1)
        elif relay := self.relays.pop(number, None):
            address, asked, _ = relay
            if relayed := self.members.get(source.name):
                self.out.append(
                    (
                        address,
                        Message(
                            words.VERSIONS[0], self.fleet, words.ACK, asked, source, "", [relayed.record]
                        ),
                    )
                )

    def relay(self, message, now):
        """Probe another for who asked.  Bounded: more asks than that are not served."""
        target = self.members.get(message.target)
        if target and len(self.relays) < MOST_RELAYS:
            self.number += 1
            self.relays[self.number] = message.source.address, message.number, now + self.tuning.answer
            self.say(target.record.address, words.PING, self.number, about=target)

    def about_me(self, record, now):
        """Threats: an accusation outlives the restart; a word of our own, from before it; a twin by mistake.

        Of two under one name the lower life keeps it; the other goes on unseen, and says so."""
        if self.me.state == LEFT:
            return
        foreign = record.life not in (0, self.me.life)
        elsewhere = foreign and record.state == ALIVE and record.address != self.me.address
        if elsewhere and record.inc >= self.me.inc:
            if record.life in self.others and not self.twin:
                self.twin = record.life
                self.changes.append((Member(record, now, record.name), None))
            if len(self.others) >= MOST_OTHERS:
                self.others.clear()
            self.others.add(record.life)
        if self.twin and self.me.life > self.twin:
            return
        if record.inc >= self.me.inc and (foreign or record.state != ALIVE):
            self.doubted(now, record.state == SUSPECT)
            self.changed(inc=record.inc)

    def apply(self, record, by, now):
        """News of a member: the higher incarnation counts, and of one incarnation the worse."""
        if record.name == self.me.name:
            return self.about_me(record, now)
        member = self.members.get(record.name)
        if member is None:
            # Threat: the dead of long ago come back as news, and are told on for ever.
            if record.state == ALIVE and len(self.members) < MOST_MEMBERS:
                member = self.members[record.name] = Member(record, now, by)
                self.order.insert(int(self.chance() * (len(self.order) + 1)), record.name)
                self.turned(member, None, now)
            return
        before = member.record
        if (record.inc, record.state) > (before.inc, before.state):
            member.record, member.by = record, by
            if record.state != before.state or record.phase != before.phase or record.life != before.life:
                member.since = now
                self.turned(member, before.state, now)
            self.spread(record.name)
            if record.state == SUSPECT:
                member.began, member.accusers = now, {by}
        elif record.state == SUSPECT == before.state and record.inc == before.inc:
            if by not in member.accusers and len(member.accusers) <= self.tuning.confirm:
                member.accusers.add(by)
                self.spread(record.name)
        member.until = self.end_of(member, now)

    def end_of(self, member, now):
        """When a suspect is dead, and the dead are forgotten.

        The more others accuse it, the sooner."""
        if member.state == ALIVE:
            return 0
        if member.state != SUSPECT:
            return member.since + self.tuning.kept
        tuning = self.tuning
        least = tuning.suspicion * max(1.0, log10(len(self.members) + 1)) * tuning.every
        most = least * tuning.most_suspicion
        wanted = min(tuning.confirm, len(self.members) - 1)  # so many others there are
        others = min(len(member.accusers) - 1, wanted)
        sooner = (most - least) * log(others + 1) / log(wanted + 1) if wanted else most
        return member.began + int(max(least, most - sooner))

    def turned(self, member, before, now):
        self.version += 1
        self.changes.append((member, before))
        self.spread(member.name)

    def accuse(self, member, state, now):
        self.apply(member.record.but(state=state), self.me.name, now)

    def doubted(self, now, yes=True):
        if yes:
            self.doubt, self.doubts = min(self.doubt + 1, self.tuning.most_doubt), self.doubts + 1

    # ---- time

    def tick(self, now):
        """What is due by now.

        Threat: this process stood still, and would find all others late at once; what it waits for gets the
        time that it lost."""
        late = now - max(self.due(), self.ticked)
        self.ticked = now
        if late > self.tuning.answer:
            self.doubted(now)
            for member in self.members.values():
                if member.state == SUSPECT:
                    member.began += late
                    member.until += late
            if self.probe:
                self.probe.help_at, self.probe.until = self.probe.help_at + late, self.probe.until + late
        for member in list(self.members.values()):
            if member.until and member.until <= now:
                if member.state == SUSPECT:
                    self.accuse(member, DEAD, now)
                else:
                    del self.members[member.name]
                    self.order.remove(member.name)
                    self.news.pop(member.name, None)
        for number in [n for n, (_, _, until) in self.relays.items() if until <= now]:
            address, asked, _ = self.relays.pop(number)
            self.say(address, words.NACK, asked)
        self.look(now)
        if self.news and self.gossip_at <= now:
            self.gossip_at = now + self.tuning.gossip
            for member in self.some(self.living(), self.tuning.helpers):
                self.say(member.record.address, words.NEWS)
        if self.sync_at <= now:
            self.sync(now)

    def look(self, now):
        """The probe under way, and the next one."""
        probe, tuning = self.probe, self.tuning
        if probe and not probe.asked and probe.help_at <= now:
            rest = [member for member in self.living() if member is not probe.member]
            helpers = self.some(rest, tuning.helpers)
            probe.asked = len(helpers) or -1
            for helper in helpers:
                self.say(helper.record.address, words.ASK, probe.number, probe.member.name)
        if probe and probe.asked and probe.until <= now:
            # Threat: our own path is cut or slow; helpers that say nothing at all speak against ourselves.
            self.doubted(now, probe.asked > 0 and probe.told < probe.asked)
            self.probe = None
            if probe.member.state == ALIVE and self.members.get(probe.member.name) is probe.member:
                self.accuse(probe.member, SUSPECT, now)
            elif probe.member.state == SUSPECT:
                self.apply(probe.member.record, self.me.name, now)
        if self.probe is None and self.probe_at <= now:
            self.probe_at = now + tuning.every
            if member := self.next():
                self.number += 1
                wait = 1 + self.doubt
                self.probe = Probe(member, self.number, now + tuning.answer * wait, now + tuning.every * wait)
                self.say(member.record.address, words.PING, self.number, about=member)
        elif self.probe_at <= now:
            self.probe_at = now + tuning.every

    def next(self):
        """Each in turn, in an order of our own."""
        for _ in range(len(self.order)):
            name = self.order.pop(0)
            self.order.append(name)
            if self.members[name].state in (ALIVE, SUSPECT):
                return self.members[name]
        return None

    def sync(self, now):
        """Compare with one other, in turns one who lives, and one who is lost or a seed; each tells the other
        all where they differ.

        Threats: news that got lost for good; halves of a cut that each hold the other for dead, or have
        forgotten it."""
        self.sync_at = now + self.tuning.sync
        living = [member.record.address for member in self.living()]
        lost = [m.record.address for m in self.members.values() if m.state == DEAD]
        lost += [seed for seed in self.seeds if seed not in living and seed not in lost]
        self.number += 1
        targets = lost if self.number % 2 and lost else living or lost
        if not living:
            self.sync_at = now + min(self.tuning.sync, SEC)
        for address in targets[: words.MOST_NEWS] if not living else self.some_of(targets):
            self.say(address, words.SYNC, target=self.sum())

    def some_of(self, addresses):
        return [addresses[int(self.chance() * len(addresses))]] if addresses else []

    def sum(self):
        """The same for two views with the same members alive: only views that differ are told all."""
        records = [self.me, *(member.record for member in self.living())]
        return f"{crc32(repr(sorted((r.name, r.inc, r.life) for r in records)).encode()):08x}"

    def tell_all(self, address, kind):
        """Every record, some to a message: each stands for itself, so that a lost one loses only its own."""
        records = [self.me, *(m.record for m in self.members.values())]
        for at in range(0, len(records), words.MOST_NEWS):
            # Only the first may ask for as much in return.
            self.say(address, kind if not at else words.NEWS, news=records[at : at + words.MOST_NEWS])
