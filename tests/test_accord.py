"""The decision half of accord: a small fleet in memory, and the cases that have to go wrong."""

from heapq import heappop, heappush

import pytest

from juniperlanding.accord import words
from juniperlanding.accord.accord import MS, SEC, Accord, Kept, Tuning

NEW, OTHER = b"text = 1\n", b"text = 2\n"


class Process:
    """One life of a member; disk: what is written of `kept`; full: nothing can be written."""

    def __init__(self, fleet, name, disk):
        self.fleet, self.name, self.disk, self.full, self.stopped = fleet, name, disk, False, False
        self.rate, self.base = fleet.rates.get(name, 1.0), fleet.now
        fleet.lives += 1
        self.life = fleet.lives
        self.accord = Accord(name, self.life, fleet.voters, disk, self.read, self.check, self.life, self.now,
                             fleet.tuning)
        self.accord.members = set(fleet.names)
        self.held, self.events = [], []

    @property
    def now(self):
        return int(self.fleet.now * self.rate)

    def read(self, document):
        return frozenset()

    def check(self, document):
        return "not here" if (self.name, document) in self.fleet.unwilling else ""

    def settle(self):
        accord = self.accord
        self.events += accord.said
        accord.said = []
        while True:
            if accord.kept != self.disk and not self.full:
                self.disk = accord.kept
                self.fleet.written(self)
            self.held, out = self.held + accord.out, []
            accord.out = []
            for name, message, durable in self.held:
                if durable and accord.kept != self.disk:
                    out.append((name, message, durable))
                elif name == self.name:
                    accord.heard(name, self.life, message, self.now)
                else:
                    self.fleet.send(self, name, message)
            self.held = out
            if not accord.out:
                return


class Fleet:
    def __init__(self, count=5, voters=3, rates=None, tuning=None):
        self.now, self.rates, self.tuning = 10 * SEC, rates or {}, tuning or Tuning()
        self.lives = self.seq = 0
        self.names = [f"d{at:02}" for at in range(count)]
        self.voters, self.unwilling, self.cuts = tuple(self.names[:voters]), set(), set()
        self.queue, self.disks = [], {}
        self.up, self.holding, self.returns, self.kill_on, self.sent = {}, set(), [], None, 0
        self.highest = {}
        for name in self.names:
            self.start(name)

    def start(self, name, disk=None):
        process = Process(self, name, disk if disk is not None else self.disks.get(name, Kept()))
        self.up[name] = process
        self.wake(process)
        return process

    def kill(self, name):
        process = self.up.pop(name)
        self.disks[name] = process.disk

    def written(self, process):
        self.disks[process.name] = process.disk

    def send(self, process, name, message):
        self.sent += 1
        if self.kill_on and self.kill_on(process.name, name, message):
            return
        if (process.name, name) not in self.cuts:
            self.seq += 1
            heappush(self.queue, (self.now + MS, self.seq, name, process.name, process.life,
                                  words.encoded(message)))

    def wake(self, process):
        due = process.accord.due()
        at = max(self.now + 1, int(due / process.rate) + 1)
        self.seq += 1
        heappush(self.queue, (at, self.seq, process.name, None, process.life, None))

    def run(self, seconds, until=None):
        end = self.now + int(seconds * SEC)
        while self.queue and self.queue[0][0] <= end and not (until and until()):
            self.now, _, name, source, life, data = heappop(self.queue)
            process = self.up.get(name)
            if not process or process.stopped or (source is None and process.life != life):
                continue
            if source is None:
                process.accord.tick(process.now)
            else:
                process.accord.heard(source, life, words.decoded(data), process.now)
            process.settle()
            if source is None:
                self.wake(process)
            elif process.accord.due() <= process.now:
                self.wake(process)
            self.judge()
        if not (until and until()):
            self.now = end

    def judge(self):
        """What must hold at every instant."""
        held = {process.accord.holds(process.now) for process in self.up.values()} - {None}
        assert len(held) <= 1, held
        for number in held:
            assert number >= max(self.highest.get("n", 0), 0), "an older number is back"
            self.highest["n"] = number

    def numbers(self):
        return {name: process.accord.holds(process.now) for name, process in self.up.items()}

    def all(self, number):
        return lambda: all(found == number for found in self.numbers().values())


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.run(4)
    return fleet


def test_a_change_with_all_up_pauses_for_moments(fleet):
    began = fleet.now
    assert fleet.up["d04"].accord.propose(NEW, fleet.up["d04"].now) == 1
    fleet.up["d04"].settle()
    fleet.run(2, fleet.all(1))
    assert fleet.all(1)() and fleet.now - began < 100 * MS
