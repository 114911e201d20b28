"""A whole world in simulated time: dispatchers, endpoints, platform, clients, faults, and the watch over
them."""

import hashlib
import time
from collections import Counter
from dataclasses import dataclass, field

import trio

from juniperlanding.emulator import faults
from juniperlanding.emulator.chance import stream
from juniperlanding.emulator.clock import SEC, elapsed, run
from juniperlanding.emulator.invariants import Watch
from juniperlanding.emulator.model import Capacity, server
from juniperlanding.emulator.network import Fabric
from juniperlanding.emulator.parties import Clients, Endpoint, Platform
from juniperlanding.emulator.process import Dispatcher
from juniperlanding.standins.audit import figures
from juniperlanding.standins.temper import TEMPERS

MS = SEC // 1000
EFFECTS = {"repeatable": "safe", "collapsible": "keyed", "once-only": "unsafe"}
SETTLE = 12 * SEC  # after the last arrival: the longest TTL, a restart, a silent platform
PROBE = 0.1  # seconds between two looks into the dispatchers
STAFF, DOOR_WITHIN = 0.5, 1.0  # seconds between two calls of the staff, and for which they wait


@dataclass
class Result:
    """What one run came to; the same for the same scenario, seed and text."""

    scenario: str
    seed: int
    breach: object = None
    digest: str = ""
    simulated_s: float = 0.0
    wall_s: float = 0.0
    ends: dict = field(default_factory=dict)
    topics: list = field(default_factory=list)
    counters: dict = field(default_factory=dict)
    restarts: int = 0

    def row(self):
        breach = self.breach and {
            "rule": self.breach.rule,
            "text": str(self.breach),
            "at_s": self.breach.at / SEC,
            "events": [f"{at / SEC:.6f} {text}" for at, text in self.breach.events],
        }
        return {
            "scenario": self.scenario,
            "seed": self.seed,
            "breach": breach,
            "digest": self.digest,
            "simulated_s": self.simulated_s,
            "wall_s": round(self.wall_s, 3),
            "ends": self.ends,
            "topics": self.topics,
            "restarts": self.restarts,
        }


class World:
    def __init__(self, scenario, seed):
        self.scenario, self.seed = scenario, seed
        self.watch = Watch(elapsed, {t.name: int(t.window) for t in scenario.topic if t.window})
        net = scenario.net
        self.fabric = Fabric(stream(seed, "network"), int(net.latency), int(net.jitter))
        self.fault_chance = stream(seed, "fault targets")
        self.platform = Platform(self.fabric, self.watch, stream(seed, "platform"))
        self.endpoints, self.dispatchers, self.destinations = [], [], []
        self.restarts, self.ended_at, self.asked = 0, 0, 0

    # ---- building it

    def build(self):
        number = 0
        for entry in self.scenario.destination:
            for _ in range(entry.count):
                number += 1
                self.destinations.append((number, entry))
                for temper in entry.tempers:
                    self.endpoint(number, entry, TEMPERS[temper])
        for number in range(self.scenario.fleet.count):
            self.dispatcher(number)

    def endpoint(self, destination, entry, temper):
        number = len(self.endpoints) + 1
        zones = self.scenario.net.zones
        capacity = Capacity(
            places=entry.places,
            rate=entry.rate,
            cold=entry.cold,
            warm=int(entry.warm),
            fall_factor=entry.fall_factor,
        )
        model = server(temper, stream(self.seed, "endpoint", number), capacity)
        one = Endpoint(
            number,
            destination,
            kind_of(entry),
            zones[number % len(zones)],
            model,
            self.fabric,
            self.watch,
            stream(self.seed, "answers", number),
            entry.connections,
        )
        one.entry, one.routes_apart = entry, entry.routes_apart
        self.endpoints.append(one)
        self.platform.endpoint(one)
        return one

    def dispatcher(self, number):
        zones, between = self.scenario.net.zones, int(self.scenario.net.between)
        one = Dispatcher(number, self.fabric, self.told(number), self.watch)
        self.dispatchers.append(one)
        for endpoint in self.endpoints:
            if between and endpoint.zone != zones[number % len(zones)]:
                for path in (
                    self.fabric.path(one.name, endpoint.name),
                    self.fabric.path(endpoint.name, one.name),
                ):
                    path.latency += between
        return one

    def told(self, number):
        """The platform's file for one dispatcher."""
        fleet, kinds = self.scenario.fleet, {kind_of(entry): entry for _, entry in self.destinations}
        topics = [
            {
                "name": t.name,
                "effect": EFFECTS[t.kind],
                "aim_ns": int(t.objective),
                "deadline_ns": int(t.ttl),
                "worth": t.benefit,
                "late_worth": t.late_share,
                "group": t.group,
                "fifo_by_key": t.ordered,
            }
            | ({"repeat_window_ns": int(t.window)} if t.window else {})
            for t in self.scenario.topic
        ]
        settings = {
            "rank": number,
            "n_instances": max(fleet.count, len(self.dispatchers) + 1),
            "tick_ns": 5 * MS,
            "registry_mode": fleet.list_mode,
            "weight_kind": "nominal",
            "request_classes": topics,
            "models": list(kinds),
            "areas": self.scenario.net.zones,
            "family_info": {
                "workers": fleet.slots,
                "batch_by_kind": [entry.batch for entry in kinds.values()],
                "routes_apart": [entry.routes_apart for entry in kinds.values()],
            },
            "permissions": {
                "most_held": fleet.most_held,
                "max_attempts": fleet.most_pushes,
                "cancel": True,
                "conn_idle_ns": 10 * SEC,
                "connect_timeout_ns": SEC,
            },
            "safety": {
                "must_ask_in_ns": 10 * SEC,
                "start_capacity": fleet.start_capacity,
                "warm_within_ns": int(fleet.warm_within),
                "overload_factor": fleet.overload_factor,
                "order_pause_ns": 300 * MS,
            },
        }
        return {
            "name": f"n{number}",
            "seed": f"{self.seed}",
            "discovery": "{}:{}".format(*self.platform.address),
            "limits": {"disk_mb": fleet.disk / 1e6, "sockets": fleet.sockets, "memory_mb": 128},
            "known": self.platform.whole(),
            "settings": settings,
            "door": fleet.door,
        }

    def arrivals(self):
        """(at, topic, destination, size, key) of the whole run."""
        traffic, chance = self.scenario.traffic, stream(self.seed, "arrivals")
        length, found, at = int(self.scenario.length), [], 0.0
        topics, shares = self.scenario.topic, [entry.share for _, entry in self.destinations]
        whole = sum(shares)
        weights = [share / whole for share in shares]
        clump = max(1, traffic.clump)
        while True:
            rate = traffic.rate
            if traffic.peak_at is not None and traffic.peak_at <= at < traffic.peak_at + traffic.peak_for:
                rate *= traffic.peak_times
            at += chance.exponential(SEC * (clump + 1) / 2 / max(rate, 1e-6))
            if at >= length:
                return found
            for _ in range(int(chance.integers(1, clump + 1))):
                topic = topics[int(chance.integers(len(topics)))]
                destination = self.destinations[int(chance.choice(len(weights), p=weights))][0]
                key = (
                    f"k{int(chance.integers(20))}"
                    if topic.ordered and chance.random() < max(traffic.orders, 0.5)
                    else f"k{len(found)}"
                    if topic.kind == "collapsible"
                    else ""
                )
                found.append((int(at), topic, destination, int(chance.integers(20, 500)), key))

    # ---- what faults ask of it

    def excuse(self, met, lasts):
        """What is due while a machine or its disk is away is due some time after."""
        for one in met:
            if isinstance(one, Dispatcher):
                one.ready_at = max(one.ready_at, elapsed() + int(lasts) + 4 * SEC)

    def told_drained(self, met):
        for one in met:
            self.watch.drained(one, [d for d in self.dispatchers if d.alive])

    def undrained(self, endpoint):
        for key in [key for key in self.watch.drains if key[1] == endpoint.id]:
            del self.watch.drains[key]

    async def again(self, old):
        fresh = self.endpoint(old.destination, old.entry, old.model.temper)
        fresh.since = fresh.model.started_at = elapsed()
        self.nursery.start_soon(fresh.run)

    async def join(self):
        one = self.dispatcher(len(self.dispatchers))
        self.nursery.start_soon(self.supervise, one)

    # ---- running it

    async def main(self):
        self.build()
        async with trio.open_nursery() as self.nursery:
            self.nursery.start_soon(self.platform.run)
            for endpoint in self.endpoints:
                self.nursery.start_soon(endpoint.run)
            for dispatcher in self.dispatchers:
                self.nursery.start_soon(self.supervise, dispatcher)
            while not all(one.ready for one in self.dispatchers):
                await trio.sleep(0.005)
            for entry in self.scenario.fault:
                self.nursery.start_soon(self.fault, entry)
            self.nursery.start_soon(self.probe)
            if self.scenario.fleet.door:
                self.nursery.start_soon(self.staff)
            traffic = self.scenario.traffic
            clients = Clients(
                self.fabric,
                self.watch,
                stream(self.seed, "clients"),
                self.dispatchers,
                traffic.retries,
                traffic.leaves,
                traffic.reuses,
            )
            await clients.load(self.arrivals())
            await self.settle()
            self.nursery.cancel_scope.cancel()
        self.ended_at = elapsed()

    async def settle(self):
        """Until all has ended, at most the longest of what may still be due."""
        longest = max(int(topic.ttl) for topic in self.scenario.topic)
        last = max([int(f.at + f.lasts) for f in self.scenario.fault], default=0)
        until = max(elapsed(), last) + longest + SETTLE
        while elapsed() < until and not self.watch.breach:
            await trio.sleep(0.25)
        self.watch.all_answered()
        self.watch.settled(self.dispatchers)

    async def supervise(self, dispatcher):
        """Start it, and again 0.6 s after each end."""
        while True:
            await dispatcher.run()
            self.restarts += 1
            await trio.sleep(faults.START_AGAIN)

    async def fault(self, entry):
        await trio.sleep(max(0, int(entry.at) - elapsed()) / SEC)
        self.watch.digest_lines.append(f"{elapsed()} fault {entry.kind} {entry.target}")
        await faults.BY_KIND[entry.kind](self, entry)

    async def staff(self):
        """Ask every dispatcher for its figures, and what it says itself is what counts."""
        host = self.fabric.host("staff")
        while True:
            await trio.sleep(STAFF)
            async with trio.open_nursery() as asking:
                for one in [one for one in self.dispatchers if one.ready and not one.draining]:
                    asking.start_soon(self.ask, host, one, one.node)

    async def ask(self, host, one, node):
        said = b""
        with trio.move_on_after(DOOR_WITHIN):
            try:
                sock = await host.connect(one.door)
                await sock.sendmsg([b"STATS\n"])
                while part := await sock.recv(1 << 16):
                    said += part
                sock.close()
            except (OSError, trio.ClosedResourceError):
                pass
        self.asked += 1
        if not (said.startswith(b"ACK\n") and said.endswith(b"\n--\n")) and one.alive and one.node is node:
            self.watch.broke("door", f"{one.name} answered its staff {said[-60:]!r} within {DOOR_WITHIN} s")

    async def probe(self):
        while True:
            await trio.sleep(PROBE)
            self.watch.probe(self.dispatchers)
            if self.watch.breach:
                self.nursery.cancel_scope.cancel()


def kind_of(entry):
    return f"m{entry.batch}" + ("apart" if entry.routes_apart else "")


def play(scenario, seed):
    """Run a scenario with whole nodes from one seed; the breach, if any, is in the result."""
    world = World(scenario, seed)
    began = time.perf_counter()
    run(seed, world.main)
    result = Result(scenario.name, seed, world.watch.breach, wall_s=time.perf_counter() - began)
    watch, counters = world.watch, Counter()
    for one in world.dispatchers:
        if one.node:
            counters.update(one.node.counters)
    result.digest = hashlib.sha256("\n".join(watch.digest_lines).encode()).hexdigest()
    result.simulated_s = round(world.ended_at / SEC, 3)
    records = list(watch.audit.records.values())
    result.ends = dict(Counter(record.outcome() for record in records))
    objectives = {topic.name: int(topic.objective) for topic in scenario.topic}
    result.topics = [
        {"name": topic.name, **figures([r for r in records if r.topic == topic.name], objectives)}
        for topic in scenario.topic
    ]
    result.counters, result.restarts = dict(counters), world.restarts
    return result
