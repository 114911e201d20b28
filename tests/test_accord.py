"""The decision half of accord: a small fleet in memory, and the cases that have to go wrong."""

from heapq import heappop, heappush

import pytest

from juniperlanding.accord import words
from juniperlanding.accord.accord import MS, SEC, Accord, Kept, Tuning

NEW, OTHER = b"text = 1\n", b"text = 2\n"


class Process:
    """One life of a member; disk: what is written of `kept`; full: nothing can be written; stopped: what came
    while it was."""

    def __init__(self, fleet, name, life, disk):
        self.fleet, self.name, self.life, self.disk, self.full, self.stopped = fleet, name, life, disk, False, None
        self.rate, self.held, self.events, self.due = fleet.rates.get(name, 1), [], [], 0
        self.accord = Accord(name, life, fleet.voters, disk, lambda document: frozenset(), self.check, life,
                             self.now, fleet.tuning)
        self.accord.members = set(fleet.names)

    @property
    def now(self):
        return int(self.fleet.now * self.rate)

    def check(self, document):
        return "not here" if (self.name, document) in self.fleet.unwilling else ""

    def settle(self):
        accord = self.accord
        self.events, accord.said = self.events + accord.said, []
        self.held, accord.out = self.held + accord.out, []
        while self.held and not self.full or any(not durable for _, _, durable in self.held):
            if not self.full:
                self.disk = accord.kept
            written = self.disk == accord.kept
            ready = [word for word in self.held if written or not word[2]]
            self.held = [word for word in self.held if word[2] and not written]
            for name, message, _ in ready:
                if name == self.name:
                    accord.heard(name, self.life, message, self.now)
                else:
                    self.fleet.send(self, name, message)
            self.held, accord.out = self.held + accord.out, []

    def wake(self):
        due = max(self.fleet.now + 1, int(self.accord.due() / self.rate) + 1)
        if due != self.due:
            self.due = due
            self.fleet.at(due, self.name, None, self.life, due)


class Fleet:
    """Members on one clock that send each other datagrams; `judge` looks at all after each event.

    lost(sender, receiver, word): whether a datagram is lost; wait(): its nanoseconds on the way."""

    def __init__(self, count=5, voters=3, rates=None, tuning=None):
        self.now, self.rates, self.tuning, self.lives, self.sequence = 10 * SEC, rates or {}, tuning, 0, 0
        self.names = [f"d{at:02}" for at in range(count)]
        self.voters, self.unwilling, self.queue, self.disks, self.up = self.names[:voters], set(), [], {}, {}
        self.lost, self.wait = lambda *_: False, lambda: MS
        self.highest, self.texts, self.sent = 0, {}, 0
        for name in self.names:
            self.start(name)

    def start(self, name, disk=None):
        self.lives += 1
        self.up[name] = Process(self, name, self.lives, disk or self.disks.get(name, Kept()))
        self.up[name].wake()

    def kill(self, *names):
        for name in names:
            self.disks[name] = self.up.pop(name).disk

    def stop(self, name):
        self.up[name].stopped = []

    def go_on(self, name):
        waiting, self.up[name].stopped = self.up[name].stopped, None
        for event in waiting:
            self.at(self.now, *event)

    def at(self, when, *event):
        self.sequence += 1
        heappush(self.queue, (when, self.sequence, *event))

    def send(self, process, name, message):
        self.sent += 1
        if not self.lost(process.name, name, message):
            self.at(self.now + self.wait(), name, process.name, process.life, words.encoded(message))

    def run(self, seconds, until=lambda: False):
        end = self.now + int(seconds * SEC)
        while self.queue and self.queue[0][0] <= end and not until():
            self.now, _, name, source, life, data = heappop(self.queue)
            process = self.up.get(name)
            if process and process.stopped is not None:
                process.stopped.append((name, source, life, data))
            elif process and (source or (process.life, process.due) == (life, data)):
                if source:
                    process.accord.heard(source, life, words.decoded(data), process.now)
                else:
                    process.accord.tick(process.now)
                process.settle()
                process.wake()
                self.judge()
        found = until()
        self.now = self.now if found else end
        return found

    def judge(self):
        """What must hold at every instant: one number, never an older one, one text for each."""
        accords = [process.accord for process in self.up.values()]
        held = {process.accord.holds(process.now) for process in self.up.values()} - {None}
        assert len(held) <= 1 and min(held, default=self.highest) >= self.highest, (held, self.highest)
        self.highest = max(held, default=self.highest)
        for number, digest in [accord.known for accord in accords]:
            assert self.texts.setdefault(number, digest) == digest

    def propose(self, name, document):
        process = self.up[name]
        number = process.accord.propose(document, process.now)
        process.settle()
        process.wake()
        return number

    def all(self, number):
        return lambda: all(process.accord.holds(process.now) == number for process in self.up.values())

    def cut(self, *sides):
        """Nothing passes from one side to another; of one pair (from, to) it passes the other way."""
        at = {name: side for side, names in enumerate(sides) for name in names}
        self.lost = lambda sender, receiver, _: at.get(sender) != at.get(receiver)

    def heal(self):
        self.lost = lambda *_: False

    def said(self, name, event):
        return [figures for found, figures in self.up[name].events if found == event]


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.run(4)
    assert fleet.all(0)()
    return fleet


def test_a_change_with_all_up_pauses_for_moments(fleet):
    began = fleet.now
    assert fleet.propose("d04", NEW) == 1
    assert fleet.run(2, fleet.all(1)) and fleet.now - began < 100 * MS
