"""The decision half of the fleet alone, in simulated time: many views, links with weather, processes that
stop.

`Town(count, seed)` holds them; `run(until)` plays; faults are methods.  No sockets, no trio: what this cannot
show is what the system does with datagrams (queues, sizes, a process that hangs in the midst of one)."""

import heapq

from juniperlanding.emulator.chance import stream
from juniperlanding.fleet import words
from juniperlanding.fleet.members import MS, SEC, Tuning, View

LATENCY = 2 * MS


class Town:
    """loss: share of datagrams; `cut`: ordered pairs (from, to) of numbers that do not hear each other."""

    def __init__(self, count, seed, loss=0.0, tuning=None, seeds=2):
        self.now, self.loss, self.tuning, self.seeds = 0, loss, tuning or Tuning(), seeds
        self.chance, self.queue, self.order = stream(seed, "town"), [], 0
        self.views, self.cut, self.paused, self.lives = {}, set(), {}, 0
        self.sent, self.bytes, self.deaths = 0, 0, []  # deaths: (at, who says so, number, whether it lived)
        self.draws, self.measure = [], False
        for number in range(count):
            self.start(number, int(self.draw() * SEC))

    def draw(self):
        if not self.draws:
            self.draws = self.chance.random(4096).tolist()
        return self.draws.pop()

    def name(self, number):
        return f"d{number:04}"

    def start(self, number, after=0):
        """A process begins, with nothing of an earlier one but its name and address."""
        self.lives += 1
        life = (1 << 32) + self.lives
        me = words.Record(self.name(number), 0, words.ALIVE, "h", number + 1, phase=1, life=life)
        seeds = [("h", seed + 1) for seed in range(self.seeds)]
        view = self.views[number] = View(me, "town", seeds, life, self.now + after, self.tuning)
        self.later(after, number, view, None)

    def kill(self, number):
        self.views.pop(number)

    def stop(self, number, lasts):
        """It stands still for a time; what comes meanwhile waits for it."""
        self.paused[number] = self.now + lasts

    def later(self, after, number, view, message):
        self.order += 1
        heapq.heappush(self.queue, (self.now + after, self.order, number, view, message))

    def run(self, until, seen=lambda: False):
        """Until a time, or until `seen()` after an event; whether it was seen."""
        while self.queue and self.queue[0][0] <= until:
            at, _, number, view, message = heapq.heappop(self.queue)
            self.now = at
            present = self.views.get(number)
            if present is None or (message is None and present is not view):
                continue
            if self.paused.get(number, 0) > at:
                self.later(self.paused[number] - at + (message is None) * MS, number, view, message)
                continue
            if message is not None:
                present.heard(message, at)
            elif present.due() <= at:
                present.tick(at)
            self.carry_out(number, present, at, message is None)
            if seen():
                return True
        self.now = until
        return False

    def carry_out(self, number, view, at, timer):
        for (_, port), message in view.out:
            self.sent += 1
            if self.measure:
                self.bytes += len(words.encoded(message, b"k" * 16)) + 28
            target = port - 1
            if (number, target) in self.cut or (self.loss and self.draw() < self.loss):
                continue
            self.later(int(LATENCY * (0.5 + self.draw())), target, None, message)
        view.out.clear()
        for member, _ in view.changes:
            if member.state == words.DEAD:
                dead = int(member.name[1:])
                self.deaths.append((at, number, dead, dead in self.views))
        view.changes.clear()
        # One timer a view, moved when something earlier is due.
        due = max(view.due(), at + MS)
        if timer or due < getattr(view, "timer_at", 1 << 62):
            view.timer_at = due
            self.later(due - at, number, view, None)

    # ---- what is believed

    def living(self, number):
        return {int(m.name[1:]) for m in self.views[number].members.values() if m.state == words.ALIVE}

    def settled(self, groups=None):
        """Whether every view of each group has its group alive and nobody else, and no suspects."""
        for group in groups or [set(self.views)]:
            for number in group:
                members = self.views[number].members.values()
                if self.living(number) != group - {number} or any(m.state == words.SUSPECT for m in members):
                    return False
        return True

    def until_settled(self, within, groups=None):
        """Nanoseconds until `settled`, looked at ten times a second; None if not within so many."""
        begun = self.now
        while self.now < begun + within:
            self.run(self.now + 100 * MS)
            if self.settled(groups):
                return self.now - begun
        return None

    def halves(self):
        middle = len(self.views) // 2
        halves = [set(list(self.views)[:middle]), set(list(self.views)[middle:])]
        self.cut = {pair for a in halves[0] for b in halves[1] for pair in ((a, b), (b, a))}
        return halves
