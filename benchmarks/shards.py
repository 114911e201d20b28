"""Shards: how far ahead they are split on emulated days, and how long a round stops.

Usage:
  python benchmarks/shards.py days SEED [DISPATCHERS]
  python benchmarks/shards.py stops [SECONDS]

days: a table of all days, by forecast, by a straight line through the last minute, and at the bound.
stops: one ledger on a real folder with 1,000 and 20,000 owed, shards off and on, one after the other; a round
takes 8, ends 8 and writes.  Figures are CPU time of the thread, so that other work on the machine is not in
them; a slice of a rewrite counts as a stop of its own.  What waits for the disk aside is left out.
"""

import gc
import sys
import tempfile
import time
from itertools import count
from pathlib import Path

import numpy as np

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from juniperlanding.emulator.growth import Score, page, run  # noqa: E402
from juniperlanding.net.ledger import Ledger  # noqa: E402
from juniperlanding.shards.books import Sharded  # noqa: E402
from juniperlanding.shards.part import SLICE  # noqa: E402
from juniperlanding.shards.plan import wasteful  # noqa: E402

ROUND, KEPT = 8, 4000  # taken and ended in a round; how many that are over are remembered


def days(seed, dispatchers=30):
    found = run(int(seed), int(dispatchers))
    print("\n".join(page(found)))
    for way in ("forecast", "line", "bound"):
        total = Score()
        for (_, how), score in found.items():
            if how == way:
                total.add(score)
        print(
            f"{way}: in time {total.in_time:.3f}, false {total.wrong:.3f}, true {total.true}, "
            f"late {total.late}"
        )


class Rig:
    def __init__(self, folder, owed, on):
        disk = 64_000_000 if owed > 5000 else 4_000_000
        self.ledger, self.on = (Sharded if on else Ledger)(folder, disk), on
        self.ids, self.order, self.stops, self.done = count(), [], [], 0
        for _ in range(owed):
            self.take()
        self.ledger.flush()
        self.ended = 0

    def take(self):
        number = next(self.ids)
        self.order.append(f"n{number:012d}")
        self.ledger.add_accepted(self.order[-1], "news", number % 997, 1 << 62, "k", b"x" * 300)

    def timed(self, what):
        begun = time.thread_time_ns()
        found = what()
        self.stops.append(time.thread_time_ns() - begun)
        return found

    def round(self):
        for _ in range(ROUND):
            self.take()
            self.ledger.append_record("p", self.order[self.ended], 0, 0, 1)
            self.ledger.append_record("e", self.order[self.ended])
            self.ended += 1
        self.ledger.flush()
        if self.ended > KEPT:
            for one in self.order[self.ended - KEPT - ROUND : self.ended - KEPT]:
                self.ledger.forget(one)

    def slice(self):
        until = time.thread_time_ns() + SLICE
        return self.ledger.copy(late=lambda: time.thread_time_ns() > until)

    def chosen(self):
        """A split of the fullest after every second rewrite until there are four, else what is wasteful."""
        shards = self.ledger.shards
        fullest = max(shards, key=lambda shard: shard.live)
        if len(shards) < 4 and self.done % 2 == 0:
            return [fullest], [fullest.low, (fullest.low + fullest.high) // 2, fullest.high]
        at = wasteful([(shard.file_size, shard.live) for shard in shards], self.ledger.max_file_size)
        return at is not None and ([shards[at]], [shards[at].low, shards[at].high])

    def rewrite(self):
        ledger = self.ledger
        if ledger.rewrite:
            if self.timed(self.slice):
                ledger.secure(ledger.rewrite)
                self.timed(ledger.commit)
                ledger.sweep()
                self.done += 1
        elif chosen := self.chosen():
            self.timed(lambda: ledger.begin(*chosen))


def stops(seconds=8):
    print("owed   shards rounds rewrites     p50     p99   p99.9 longest ms")
    for owed in (1000, 20_000):
        for on in (False, True):
            with tempfile.TemporaryDirectory() as folder:
                rig, until, rounds = Rig(folder, owed, on), time.monotonic() + float(seconds), 0
                gc.collect()
                gc.freeze()
                while time.monotonic() < until:
                    rig.timed(rig.round)
                    if on:
                        rig.rewrite()
                    rounds += 1
                rig.ledger.close()
                gc.unfreeze()
            at = np.percentile(rig.stops, [50, 99, 99.9, 100]) / 1e6
            figures = " ".join(f"{one:7.3f}" for one in at)
            print(f"{owed:6} {'on' if on else 'off':6} {rounds:6} {rig.done:8} {figures}")


if __name__ == "__main__":
    {"days": days, "stops": stops}[sys.argv[1]](*sys.argv[2:])
