"""An emulated fleet of `Accord` facades in simulated time, to look for two policy numbers at one instant.

Each name is a machine: a steady clock of its own rate, a folder, and one process at a time (two during a
replacement).  Links lose, double, reorder, delay and cut; disks fail; processes die and stop.  A member takes
on work at every instant at which `holds` gives a number: holding can only begin at an event of the member, so
it is asked before and after each, and everybody is asked when somebody begins."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from juniperlanding.accord.accord import Accord, Kept, Refused, Tuning
from juniperlanding.accord.words import decoded, encoded
from juniperlanding.processes import accord_verdict

US, MS, SEC = 10**3, 10**6, 10**9
VIEW_EVERY, WAKE = 300 * MS, 2 * MS  # how old a view may be; how late a timer may fire
QUICK = dict(
    licence=SEC,
    again=40 * MS,
    takeover=500 * MS,
    check_within=400 * MS,
    give_up=6 * SEC,
    clear_after=200 * MS,
)


def document(text, roster=(), refuser="", size=0):
    """roster: names bound by it, none for everybody; refuser: who cannot take it; size: bytes of filling."""
    return f"{','.join(sorted(roster))}|{refuser}|{text}".encode() + b"." * size


def read(data):
    roster, _, _ = data.decode().split("|", 2)
    return frozenset(roster.split(",")) if roster else frozenset()


class Check:
    """What a process thinks of a document; one object, so that a copy of a facade stays whole."""

    def __init__(self, name):
        self.name = name

    def __call__(self, data):
        return "cannot take it" if data.decode().split("|", 2)[1] == self.name else ""


class Machine:
    """What outlives a process: clock and folder."""

    def __init__(self, name, ppm, offset):
        self.name, self.ppm, self.offset = name, ppm, offset
        self.written = [Kept()]  # every state that was ever on disk, the newest last
        self.disk_fails = False
        self.process = self.older = None  # older: the one that is being replaced
        self.lives, self.check = 0, Check(name)

    def local(self, at):
        return self.offset + at + at * self.ppm // 1_000_000

    def true(self, local):
        return -(-(local - self.offset) * 1_000_000 // (1_000_000 + self.ppm))


class Process:
    def __init__(self, machine, accord, life):
        self.machine, self.accord, self.life = machine, accord, life
        self.name = machine.name
        self.stopped, self.alive, self.inbox = False, True, []
        self.waits = []  # [(kept, messages)] that leave once kept, or a later one, is on disk
        self.writing = False
        self.held = None  # (number, true time until) as seen at its last event
        self.ticks_at = 0


class Fleet:
    """members: names; voters: the first so many of them.  chance: what all chance of the run comes from."""

    def __init__(
        self,
        members,
        voters,
        seed,
        tuning=None,
        ppm=(),
        loss=0.0,
        double=0.0,
        delay=(100 * US, 2 * MS),
        late=0.0,
        wrong_view=0.0,
        disk=(50 * US, 3 * MS),
    ):
        self.chance, self.seed, self.now, self.events, self.order = Random(seed), seed, 0, [], count()
        self.tuning = tuning or Tuning(**QUICK)
        self.loss, self.double, self.delay, self.late, self.disk = loss, double, delay, late, disk
        self.wrong_view, self.cuts, self.armed = wrong_view, set(), []
        self.names, self.voters = tuple(members), tuple(members[:voters])
        ppm = dict(zip(self.names, ppm, strict=False))
        self.machines = {
            name: Machine(name, ppm.get(name, 0), self.chance.randrange(1, 10**6) * SEC)
            for name in self.names
        }
        self.items, self.decided, self.standing, self.proposed = [], [], {}, []
        self.gaps = []  # (member, ns without a licence, older number, newer number)
        self.unbound, self.last_held, self.said, self.datagrams, self.bytes = [], {}, [], 0, 0
        for name in self.names:
            self.start(name)
        self.after(VIEW_EVERY, self.views)

    # what happens when

    def after(self, wait, call, *rest):
        heappush(self.events, (self.now + wait, next(self.order), call, rest))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, call, rest = heappop(self.events)
            call(*rest)
        self.now = max(self.now, until)

    def views(self):
        """Who seems reachable: right but late, or (as drawn) wrong; a view must never count for anything."""
        for process in self.processes():
            seen = {
                name
                for name in self.names
                if self.machines[name].process
                and not self.machines[name].process.stopped
                and (process.name, name) not in self.cuts
                and (name, process.name) not in self.cuts
            }
            process.accord.members = {name for name in seen if self.chance.random() >= self.wrong_view}
        self.after(VIEW_EVERY, self.views)

    # processes

    def processes(self):
        """Also the older one of a name that is being replaced."""
        return [
            process
            for machine in self.machines.values()
            for process in (machine.process, machine.older)
            if process
        ]

    def start(self, name, copy="written"):
        """copy: what the folder has: as written, `older` (drawn from what it ever had) or `none`."""
        machine = self.machines[name]
        if machine.process:
            return
        if copy == "older":
            machine.written = machine.written[: self.chance.randrange(len(machine.written)) + 1]
        elif copy == "none":
            machine.written = [Kept()]
        machine.lives += 1
        life = machine.lives * 1000 + self.names.index(name) + 1
        accord = Accord(
            name,
            life,
            self.voters,
            machine.written[-1],
            read,
            machine.check,
            self.seed,
            machine.local(self.now),
            self.tuning,
        )
        accord.members = set(self.names)
        machine.process = Process(machine, accord, life)
        self.handle(machine.process, accord.tick)

    def crash(self, name):
        machine = self.machines[name]
        for process in (machine.process, machine.older):
            if process:
                self.look(process)
                process.alive = False
        machine.process = machine.older = None

    def stop(self, name):
        if self.machines[name].process:
            self.machines[name].process.stopped = True

    def go_on(self, name):
        process = self.machines[name].process
        if process and process.stopped:
            process.stopped = False
            self.look(process)  # clients are served first, with what it believes it holds
            inbox, process.inbox = process.inbox, []
            for datagram in inbox:
                self.arrive(process, *datagram)
            self.tick(process, process.ticks_at)

    def replace(self, name, overlap, talks):
        """A second life begins on the same folder; the datagrams come to it.  The older one goes on taking
        work for a while; it no longer votes, and `talks` while its timers still send."""
        machine = self.machines[name]
        process = machine.process
        if not process or machine.older or process.stopped:
            return
        self.look(process)
        machine.process, machine.older, process.writing, process.waits = None, process, True, []
        process.talks = talks
        self.start(name)
        self.after(overlap, self.end_older, process)

    def end_older(self, process):
        if process.alive:
            self.look(process)
            process.alive, process.machine.older = False, None

    def propose(self, name, data):
        """The number, or why not."""
        process = self.machines[name].process
        if not process or process.stopped:
            return "down"
        told = []

        def call(now):
            try:
                told.append(process.accord.propose(data, now))
            except Refused as refused:
                told.append(str(refused))

        self.handle(process, call)
        self.proposed.append((self.now, name, told[0], data))
        return told[0]

    # one event of one process

    def handle(self, process, call, *rest):
        self.look(process)
        process.last_event = self.now
        call(*rest, process.machine.local(self.now))
        if not process.alive:
            return
        accord = process.accord
        if accord.number >= 0 and self.standing.get((process.name, process.life)) != accord.number:
            self.standing[process.name, process.life] = accord.number
            self.decided.append((accord.number, accord.digest))
        self.look(process)
        self.said.extend((self.now, process.name, *entry) for entry in accord.said)
        accord.said.clear()
        self.send(process)
        due = max(self.now + US, process.machine.true(accord.due())) + self.chance.randrange(WAKE)
        if not self.now < process.ticks_at <= due:
            process.ticks_at = due
            self.after(due - self.now, self.tick, process, due)
        for armed in self.armed:
            if (
                process.machine.process is process
                and accord.leader.change
                and (accord.leader.change.step == armed[0])
            ):
                self.armed.remove(armed)
                if armed[3:]:  # mute
                    pairs = {(process.name, other) for other in self.names}
                    self.after(armed[1], self.cuts.update, pairs)
                    self.after(armed[1] + armed[2], self.cuts.difference_update, pairs)
                else:
                    self.after(armed[1], self.crash, process.name)
                    self.after(armed[1] + armed[2], self.start, process.name)
                break

    def tick(self, process, at):
        if process.alive and not process.stopped and at == process.ticks_at:
            process.ticks_at = 0
            self.handle(process, process.accord.tick)

    def look(self, process):
        """Note what it takes work under now, and what everybody else does if it has just begun."""
        local = process.machine.local(self.now)
        number, before = process.accord.holds(local), process.held
        if before and (number is None or number != before[0]):
            ended = min(self.now, max(before[1], before[2]))
            self.items.append((ended, ended, process.name, before[0]))
            self.last_held[process.name] = ended, before[0]
        if number is None:
            process.held = None
            return
        if not before or before[0] != number:
            last = self.last_held.get(process.name)
            if last and not process.machine.older:
                self.gaps.append((process.name, self.now - last[0], last[1], number))
            self.items.append((self.now, self.now, process.name, number))
            if process.accord.document:
                roster = read(process.accord.document)
                if roster and process.name not in roster or process.machine.check(process.accord.document):
                    self.unbound.append(f"{process.name} takes work under {number}, which it may not")
            for other in self.processes():
                theirs = other.accord.holds(other.machine.local(self.now))
                if theirs is not None and theirs != number:
                    self.items.append((self.now, self.now, other.name, theirs))
        until = process.machine.true(local + process.accord.rest(local)) - 1
        process.held = number, until, self.now

    # disk and links

    def send(self, process):
        accord, machine = process.accord, process.machine
        out, accord.out[:] = list(accord.out), []
        older = machine.older is process
        if older and not process.talks:
            return
        durable = [(name, message) for name, message, must_last in out if must_last]
        for name, message, must_last in out:
            if not must_last:
                self.post(process, name, message)
        if older:  # its folder is the younger one's
            return
        if accord.kept is machine.written[-1] and not process.writing:
            for name, message in durable:
                self.post(process, name, message)
        else:
            if durable:
                process.waits.append((accord.kept, durable))
            self.write(process)

    def write(self, process):
        """Whole and replaced at once; what it lets go leaves when it is done, and never if it fails."""
        if process.writing:
            return
        if process.machine.disk_fails:
            process.waits.clear()
            return
        process.writing = True
        ready, process.waits = process.waits, []
        self.after(self.chance.randrange(*self.disk), self.wrote, process, process.accord.kept, ready)

    def wrote(self, process, kept, ready):
        if not process.alive or process.machine.process is not process:
            return
        if process.stopped:  # the answer of the system is taken when it goes on
            self.after(MS, self.wrote, process, kept, ready)
            return
        process.writing = False
        if process.machine.disk_fails:
            return
        process.machine.written.append(kept)
        del process.machine.written[:-50]
        for _, messages in ready:
            for name, message in messages:
                self.post(process, name, message)
        if process.accord.kept is not kept:
            self.write(process)

    def post(self, process, name, message):
        data = encoded(message)
        self.datagrams, self.bytes = self.datagrams + 1, self.bytes + len(data)
        if name not in self.machines:
            return
        if name == process.name:
            self.after(10 * US, self.deliver, name, process.name, process.life, data)
            return
        for _ in range(2 if self.chance.random() < self.double else 1):
            if self.chance.random() >= self.loss and (process.name, name) not in self.cuts:
                wait = self.chance.randrange(*self.delay)
                if self.chance.random() < self.late:
                    wait += self.chance.randrange(2 * self.tuning.licence)
                self.after(wait, self.deliver, name, process.name, process.life, data)

    def deliver(self, name, *datagram):
        process = self.machines[name].process
        if process and process.stopped:
            if len(process.inbox) < 2000:  # a socket's buffer
                process.inbox.append(datagram)
        elif process:
            self.arrive(process, *datagram)

    def arrive(self, process, source, life, data):
        self.handle(process, process.accord.heard, source, life, decoded(data))

    # what the run shows

    def bound(self):
        """Names on the roster in force, of the living that can take it: the others take on nothing."""
        top = max((process.accord for process in self.processes()), key=lambda accord: accord.number)
        roster = (read(top.document) if top.document else None) or set(self.names)
        return {
            name
            for name in roster
            if self.machines[name].process and not (top.document and self.machines[name].check(top.document))
        }

    def settled(self):
        """Whether all that serve take on work under one number, the highest that anybody knows."""
        bound = {name: self.machines[name] for name in self.bound()}
        held = {machine.process.accord.holds(machine.local(self.now)) for machine in bound.values()}
        return len(held) == 1 and held == {max(process.accord.number for process in self.processes())}

    def breaches(self):
        """[what is broken, in words]; empty for a sound run."""
        for process in self.processes():
            self.look(process)
        found = [
            f"two numbers at {older[0] / SEC:.6f}: {older[2]} under {older[3]}, {newer[2]} under "
            f"{newer[3]} since {newer[1] / SEC:.6f}"
            for older, newer in accord_verdict.breaches(self.items)[:3]
        ]
        found += [
            f"number {number} is {sorted(digests)}"
            for number, digests in accord_verdict.doubled(self.decided).items()
        ]
        return found + self.unbound[:3]

    def losses(self):
        """Decided numbers that who serves denies, once all is quiet."""
        accords = {name: self.machines[name].process.accord for name in self.bound()}
        standing = [(name, accord.number, accord.digest) for name, accord in accords.items()]
        return [
            f"number {number} {digest} lost at {member}"
            for number, digest, member in accord_verdict.lost(self.decided, standing)
        ][:3]
