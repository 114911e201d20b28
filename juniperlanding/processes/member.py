"""Entry point of the rig: the program as it is, over a network whose datagrams meet the faults of a file.

    python -m juniperlanding.processes.member LINKS serve FILE

LINKS is JSON: {"names": {PORT: NAME}, "links": {"FROM>TO": {"cut": 1, "loss": 0.1, "twice": 0.1,
"spoil": 0.1, "delay": 0.05, "jitter": 0.05}}, "mutant": NAME}.  It is read again when it changes; a fault is
met where a datagram leaves.  A mutant is read once, at the start: the program with a defect put in on
purpose, which the verdict has to find (MUTANTS)."""

import json
import os
import sys
from random import Random

import trio

from juniperlanding.ground import seams

STOPPED = 500_000_000  # ns between two ticks


class Links:
    def __init__(self, path):
        self.path, self.seen, self.names, self.links = path, 0, {}, {}

    def between(self, source, target):
        changed = os.stat(self.path).st_mtime_ns
        if changed != self.seen:
            with open(self.path, encoding="utf-8") as file:
                told = json.load(file)
            self.seen, self.names, self.links = changed, told["names"], told["links"]
        names = self.names.get(str(source)), self.names.get(str(target))
        return self.links.get("{}>{}".format(*names), {})


class Faulty(seams.Datagrams):
    def __init__(self, address, links):
        super().__init__(address)
        self.links, self.chance = links, Random(str(address))

    def send(self, data, address):
        fault, chance = self.links.between(self.address[1], address[1]), self.chance.random
        if fault.get("cut") or chance() < fault.get("loss", 0):
            return True  # the sender cannot tell
        if chance() < fault.get("spoil", 0):
            at = int(chance() * len(data))
            data = data[:at] + bytes([data[at] ^ 255]) + data[at + 1 :]
        for _ in range(1 + (chance() < fault.get("twice", 0))):
            delay = fault.get("delay", 0) + chance() * fault.get("jitter", 0)
            if delay:
                trio.lowlevel.spawn_system_task(self.later, data, address, delay)
            else:
                super().send(data, address)
        return True

    async def later(self, data, address, delay):
        await trio.sleep(delay)
        if self.raw.fileno() >= 0:
            super().send(data, address)


def keeps_licence(accord):
    """A licence once had is held until news of another number: nothing runs out while it is cut off."""
    holds = accord.Accord.holds

    def held(self, now):
        number = holds(self, now)
        if number is not None:
            self.had = number
        return self.had if getattr(self, "had", None) == self.number else None

    accord.Accord.holds = held


def stands_still(accord):
    """A licence runs by a clock that stands still while the process does."""
    tick, holds = accord.Accord.tick, accord.Accord.holds

    def ticked(self, now):
        stood = now - getattr(self, "ticked_at", now)
        self.stood, self.ticked_at = getattr(self, "stood", 0) + stood * (stood > STOPPED), now
        tick(self, now)

    def held(self, now):
        return holds(self, getattr(self, "ticked_at", now) - getattr(self, "stood", 0))

    accord.Accord.tick, accord.Accord.holds = ticked, held


MUTANTS = {"keeps licence": keeps_licence, "stands still": stands_still}


def main(links, *argv):
    class Network(seams.Network):
        def datagrams(self, address):
            return Faulty(address, Links(links))

    seams.real_system = lambda: seams.System(seams.Clock(), Network(), seams.FileSystem())
    with open(links, encoding="utf-8") as file:
        mutant = json.load(file).get("mutant")
    if mutant:
        from juniperlanding.accord import accord

        MUTANTS[mutant](accord)
    from juniperlanding import cli

    return cli.main(list(argv))


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
