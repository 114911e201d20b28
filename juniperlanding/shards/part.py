"""The shards of one dispatcher: samples growth each second, carries rewrites out, and tells about them."""

from contextlib import suppress

import trio

from juniperlanding.choice import MS
from juniperlanding.ground.log import safe_description
from juniperlanding.ground.part import Part
from juniperlanding.shards.growth import Growth
from juniperlanding.shards.plan import Bounds, Foretold, Planner, Split, View, wasteful

SECOND = 1.0
SLICE, REST = MS // 2, 0.004  # ns of a slice; seconds for everything else until the next
SAMPLE = 512  # notifications looked at to find where a shard is cut
DISK_SHARE = 8  # `most` by default: one part in so many of the disk
LEAST_SHARE = 4  # `least` by default: one part in so many of `most`


class Shards(Part):
    section = "shards"

    def __init__(self, told, node):
        self.log, self.files, self.steady = node.log, node.system.files, node.system.clock.steady
        most = told.most or node.config.disk // DISK_SHARE
        self.bounds = Bounds(most, told.least or most // LEAST_SHARE, told.count)
        self.planner, self.ledger = Planner(self.bounds), None
        self.growth, self.ended, self.total = {}, {}, Growth()
        self.under_way = self.last = self.foretold = None
        self.counts = {"shard_splits": 0, "shard_merges": 0, "shard_compactions": 0, "shard_failures": 0}

    # ---- what the door tells

    def calls(self):
        return {"SHARDS": self.told}

    def gauges(self):
        left = [
            left for growth in self.growth.values() if (left := growth.left(self.bounds.most)) is not None
        ]
        return self.counts | {
            "shards": len(self.ledger.shards),
            "shard_seconds_left": round(min(left)) if left else -1,
        }

    def told(self):
        lines = []
        for shard in self.ledger.shards:
            growth = self.growth.get(shard) or Growth()
            lines.append(
                f"{shard.low}-{shard.high} {shard.name} live={shard.live} "
                f"rate={growth.grown.forecast} band={2 * growth.grown.rmse} "
                f"left={seconds(growth.left(self.bounds.most))}"
            )
        left = self.total.left(self.ledger.max_pending_size)
        lines.append(f"disk live={self.ledger.pending_size} left={seconds(left)}")
        if self.foretold:
            lines.append(
                f"foretold {self.foretold.why} {self.foretold.shard.low}-{self.foretold.shard.high} "
                f"left={seconds(self.foretold.left)}"
            )
        if self.under_way:
            what, step, since = self.under_way
            lines.append(f"now {what} step={step} since_ms={(self.steady() - since) // MS}")
        if self.last:
            lines.append("last {} bytes={} took_ms={}".format(*self.last))
        return [*lines, "--"]

    # ---- each second

    def on_built(self, node):
        self.ledger, self.under_way = node.ledger, None
        self.growth, self.ended = {shard: Growth() for shard in self.ledger.shards}, {}

    async def run(self):
        while True:
            await trio.sleep(SECOND)
            self.sample()
            old, edges, what = self.chosen()
            if old:
                await self.rewrite(old, edges, what)

    def sample(self):
        ledger, before = self.ledger, self.growth
        # Threat: the ledger compacted itself within a round; its shards are others now.
        self.growth = {shard: before.get(shard) or Growth() for shard in ledger.shards}
        ended = 0
        for shard, growth in self.growth.items():
            gone = shard.ended - self.ended.get(shard, 0)
            growth.sample(shard.live - growth.live + gone, gone, shard.live)
            ended += gone
        self.ended = {shard: shard.ended for shard in ledger.shards}
        self.total.sample(ledger.pending_size - self.total.live + ended, ended, ledger.pending_size)

    def chosen(self):
        """(shards, edges, word) of the rewrite that is due, or (None, None, "")."""
        shards = self.ledger.shards
        views = {
            View(shard.low, shard.high, growth, lambda shard=shard: self.sampled(shard)): shard
            for shard, growth in self.growth.items()
        }
        found = self.planner.plan([*views], self.steady())
        self.say(found if isinstance(found, Foretold) else None)
        if isinstance(found, Split):
            shard = views[found.shard]
            return [shard], [shard.low, found.cut, shard.high], "split"
        if found and not self.foretold:
            old = [views[view] for view in found.shards]
            return old, [old[0].low, old[-1].high], "merge"
        sizes = [(shard.file_size, shard.live) for shard in shards]
        at = wasteful(sizes, self.ledger.max_file_size)
        if at is not None and self.steady() >= self.planner.not_before:
            return [shards[at]], [shards[at].low, shards[at].high], "compaction"
        return None, None, ""

    def sampled(self, shard):
        ids = [*shard.ids]
        found = (self.ledger.notifications[one] for one in ids[:: max(1, len(ids) // SAMPLE)])
        return [(self.ledger.place(owed.destination), owed.size) for owed in found]

    def say(self, foretold):
        """One line when it begins and one when it ends that no split helps."""
        before, self.foretold = self.foretold, foretold
        if foretold and not (before and before.why == foretold.why):
            self.log(
                "shards",
                "no split helps",
                why=foretold.why,
                low=foretold.shard.low,
                high=foretold.shard.high,
                left=seconds(foretold.left),
            )
        elif before and not foretold:
            self.log("shards", "splits help again, or none is due")

    # ---- a rewrite, beside the flow

    async def rewrite(self, old, edges, what):
        ledger, begun, size = self.ledger, self.steady(), sum(shard.live for shard in old)
        self.under_way = what, "copy", begun
        self.log("shards", f"{what} begun", low=edges[0], high=edges[-1], live=size)
        why, rewrite = "", None
        try:
            rewrite = ledger.begin(old, edges)
            while ledger.rewrite is rewrite and not ledger.copy(late=self.late()):
                await trio.sleep(REST)
            if ledger.rewrite is rewrite:
                self.under_way = what, "sync", begun
                await self.secured(rewrite)
            if ledger.rewrite is rewrite:
                ledger.commit()
        except OSError as error:
            why = safe_description(error)
        self.under_way = None
        if why or rewrite.why:
            self.counts["shard_failures"] += 1
            self.planner.failed(self.steady())
            return self.log("shards", f"{what} given up, tried again later", why=why or rewrite.why)
        took = self.steady() - begun
        self.entered(rewrite)
        self.planner.done(size, took, 0)
        self.counts[f"shard_{what}s"] += 1
        self.last = what, size, took // MS
        self.log("shards", f"{what} done", shards=len(ledger.shards), live=size, took_ms=took // MS)
        await self.files.run_in_thread(ledger.sweep)

    def late(self):
        until = self.steady() + SLICE
        return lambda: self.steady() > until

    async def secured(self, rewrite):
        """Threat: given up by a round while a thread has its files; they go once the thread is done."""
        rewrite.busy = True
        try:
            await self.files.run_in_thread(self.ledger.secure, rewrite)
        except OSError as error:
            rewrite.busy = False
            if self.ledger.rewrite is rewrite:
                self.ledger.give_up(error.strerror or str(error))
                raise
        finally:
            rewrite.busy = False
            if rewrite.why:
                with suppress(OSError):
                    self.ledger.remove(rewrite)

    def entered(self, rewrite):
        """The new shards go on with what was learned of the old ones."""
        old = [self.growth.pop(shard) for shard in rewrite.old if shard in self.growth]
        live = sum(shard.live for shard in rewrite.new)
        for shard in rewrite.new:
            growth = old[0].share(shard.live / max(1, live)) if len(old) == 1 else Growth()
            growth.live = shard.live
            self.growth[shard], self.ended[shard] = growth, shard.ended


def seconds(left):
    return "never" if left is None else f"{left:.0f}s"
