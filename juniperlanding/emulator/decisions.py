"""The decisions depth: hundreds to thousands of instances of the module on one event queue, with no bytes
at all.

The world is the whole depth's own (model.Server, the scenario, the arrivals); a push takes a latency, then
what the server says, then a latency.  Other policies answer the same calls, for comparison only."""

import heapq
import time
from collections import Counter
from dataclasses import dataclass

from juniperlanding.choice import Dispatcher
from juniperlanding.emulator import baselines, faults
from juniperlanding.emulator.chance import stream
from juniperlanding.emulator.model import Capacity, server
from juniperlanding.settings import translate_settings
from juniperlanding.standins.audit import GRACE, Audit, figures
from juniperlanding.standins.temper import ERROR, RESET, SILENT, TEMPERS, TURNED_AWAY

MS, SEC = 1_000_000, 1_000_000_000
EPOCH = 1_700_000_000 * SEC
ENDINGS = {TURNED_AWAY: "throttled", ERROR: "error", RESET: "reset"}


@dataclass(slots=True, eq=False)
class Push:
    """A push on its way; `over` once its outcome was told."""

    ntf_id: str
    number: int
    over: bool = False


class Host:
    """One instance's side of `interface.Host`, on the event queue."""

    def __init__(self, world, number):
        self.world, self.number, self.out, self.pushes = world, number, {}, {}
        self.wakes, self.starts, self.at = 0, 0, None

    def push(self, ntf_id, endpoint_id, timeout, leave_within):
        number = self.pushes[ntf_id] = self.pushes.get(ntf_id, -1) + 1
        push = self.out[ntf_id, number] = Push(ntf_id, number)
        self.world.push(self, push, endpoint_id, timeout)

    def cancel(self, ntf_id, number):
        if push := self.out.get((ntf_id, number)):
            self.world.at(self.world.now, self.tell, push, "cancelled", 0)

    def tell(self, push, ending, latency, wait=0):
        """An outcome for the module; the first one counts."""
        if push.over:
            return
        push.over = True
        del self.out[push.ntf_id, push.number]
        over = ending == "delivered"
        self.at.outcome(push.ntf_id, push.number, ending, latency=latency, wait=wait, over=over)
        if over:
            self.ended(push.ntf_id)
            self.world.audit.delivered(push.ntf_id)

    def ended(self, ntf_id):
        self.pushes.pop(ntf_id, None)
        self.world.held.pop(ntf_id, None)

    def throttled(self, ntf_id, again_in):
        self.ended(ntf_id)
        self.world.audit.notice(ntf_id, "handed_back")

    def expired(self, ntf_id):
        self.ended(ntf_id)
        self.world.audit.notice(ntf_id, "given_up")

    def timer(self, delay, tok):
        self.world.at(self.world.now + delay, self.wake, self.at, tok)

    def wake(self, at, tok):
        if at is self.at:
            at.wake(tok)

    def note(self, rank, body):
        pass

    subscribe = fetch_list = probe = close_idle = log = lambda self, *fields: None


class Decisions:
    """A world of instances of one policy; `play` runs it to the end."""

    def __init__(self, scenario, seed, policy="module"):
        from juniperlanding.emulator.world import World

        self.scenario, self.seed, self.policy, self.now = scenario, seed, policy, 0
        self.queue, self.sequence, self.audit = [], 0, Audit(lambda: self.now)
        self.chance, self.fault_chance = stream(seed, "network"), stream(seed, "fault targets")
        shape = World(scenario, seed)  # its destinations, settings and arrivals are ours too
        shape.destinations = [
            (number, entry)
            for number, entry in enumerate(
                (entry for entry in scenario.destination for _ in range(entry.count)), 1
            )
        ]
        self.wire = shape.told(0)["settings"]
        self.arrivals = shape.arrivals()
        self.endpoints, self.servers, self.held, self.events = [], {}, {}, 0
        self.destinations = shape.destinations
        self.hosts = []

    def build(self):
        kinds = self.wire["models"]
        for destination, entry in self.destinations:
            for temper in entry.tempers:
                number = len(self.endpoints) + 1
                capacity = Capacity(
                    entry.places,
                    rate=entry.rate,
                    cold=entry.cold,
                    warm=int(entry.warm),
                    fall_factor=entry.fall_factor,
                )
                model = server(TEMPERS[temper], stream(self.seed, "endpoint", number), capacity)
                kind = kinds.index(f"m{entry.batch}" + ("apart" if entry.routes_apart else ""))
                rate = capacity.rate or model.temper.rate or 100.0
                self.endpoints.append((f"s-{number}", destination, kind, rate, 0, "ready"))
                self.servers[f"s-{number}"] = model
        for number in range(self.scenario.fleet.count):
            host = Host(self, number)
            self.hosts.append(host)
            self.start(host)

    def start(self, host):
        settings = translate_settings(self.wire) | {
            "rank": host.number,
            "dispatchers": self.scenario.fleet.count,
        }
        policy = Dispatcher if self.policy == "module" else baselines.POLICIES[self.policy]
        host.out, host.pushes, host.starts = {}, {}, host.starts + 1
        host.at = policy(host, settings, f"{self.seed}/{host.starts}", EPOCH + self.now)
        if self.policy == "omniscient":
            host.at.world = self
        host.at.start()
        host.at.update_endpoints("cached", self.endpoints)

    # ---- the queue

    def at(self, when, what, *fields):
        self.sequence += 1
        heapq.heappush(self.queue, (when, self.sequence, what, fields))

    def latency(self):
        net = self.scenario.net
        return int(net.latency) + int(abs(self.chance.standard_normal()) * int(net.jitter))

    def push(self, host, push, endpoint_id, timeout):
        sent_at = self.now
        if timeout:
            self.at(sent_at + timeout, host.tell, push, "timeout", timeout)
        record = self.audit.records[push.ntf_id]
        self.at(record.handed_at + record.ttl, host.tell, push, "timeout", 0)
        self.at(sent_at + self.latency(), self.arrive, host, push, endpoint_id, sent_at)

    def arrive(self, host, push, endpoint_id, sent_at):
        model = self.servers[endpoint_id]
        if not model.there(self.now, 0):
            return self.at(self.now + self.latency(), host.tell, push, "unreachable", self.now - sent_at)
        reply = model.reply(self.now)
        self.audit.pushed(push.ntf_id, reply.ending != TURNED_AWAY)
        if reply.ending == SILENT:
            return
        ending = ENDINGS.get(reply.ending, "delivered")
        back = self.now + reply.delay + self.latency()
        self.at(back, host.tell, push, ending, back - sent_at, reply.wait)

    def submit(self, ntf_id, topic, number, destination, key):
        host = self.hosts[(int(ntf_id[1:]) + number) % len(self.hosts)]
        self.audit.handed_in(ntf_id, topic.name, destination, topic.kind, int(topic.ttl))
        if len(host.at.state.notifications) >= self.scenario.fleet.most_held:
            return self.audit.answered(ntf_id, 503)
        self.audit.answered(ntf_id, 202)
        self.held[ntf_id] = host
        host.at.notification(
            ntf_id,
            self.scenario.topic.index(topic),
            destination,
            ttl_at=EPOCH + self.now + int(topic.ttl),
            key=key,
        )

    # ---- faults that need no bytes

    def fault(self, entry):
        met = [
            model
            for (name, destination, *_), model in zip(self.endpoints, self.servers.values(), strict=True)
            if self.hit(entry.target, name, destination)
        ]
        changes = {
            "silence": ("silenced", True),
            "refusal": ("refusing", True),
            "slow": ("slower", 1 + entry.amount * 20),
        }
        if entry.kind in changes:
            name, value = changes[entry.kind]
            for model in met:
                self.at(self.now + int(entry.lasts), setattr, model, name, getattr(model, name))
                setattr(model, name, value)
        elif entry.kind in ("errors", "resets"):
            for model in met:
                self.at(self.now + int(entry.lasts), setattr, model, "temper", model.temper)
                model.temper = faults.replaced(model.temper, **{entry.kind: min(1.0, entry.amount)})
        elif entry.kind in ("kill", "term"):
            share = float(entry.target.split()[1]) if entry.target.startswith("part") else 1.0
            count = max(1, round(share * len(self.hosts)))
            for at in sorted(self.fault_chance.permutation(len(self.hosts))[:count].tolist()):
                self.restart(self.hosts[at])

    def hit(self, target, name, destination):
        what, _, which = target.partition(" ")
        if what == "part":
            return self.fault_chance.random() < float(which)
        return (
            what == "all"
            or what == "destination"
            and str(destination) == which
            or what == "endpoint"
            and name == f"s-{which}"
        )

    def restart(self, host):
        """A process ends and begins anew with what its ledger has: pushes that were out may have run."""
        held = {i: h for i, h in self.held.items() if h is host}
        out = {ntf_id: push for (ntf_id, _), push in host.out.items()}
        for push in out.values():
            push.over = True
        before = host.pushes
        self.start(host)
        topics = {topic.name: at for at, topic in enumerate(self.scenario.topic)}
        for ntf_id in held:
            record = self.audit.records[ntf_id]
            host.pushes[ntf_id] = before.get(ntf_id, -1)
            ran_at = EPOCH + self.now - 1 if ntf_id in out else 0
            host.at.notification(
                ntf_id,
                topics[record.topic],
                record.destination,
                ttl_at=EPOCH + record.handed_at + record.ttl,
                pushes=before.get(ntf_id, -1) + 1,
                ran_at=ran_at,
            )

    # ---- running it

    def play(self):
        began = time.perf_counter()
        self.build()
        for count, (at, topic, destination, _, key) in enumerate(self.arrivals):
            self.at(at, self.submit, f"c{count}", topic, self.seed, destination, key)
        for entry in self.scenario.fault:
            self.at(int(entry.at), self.fault, entry)
        until = int(self.scenario.length) + max(int(topic.ttl) for topic in self.scenario.topic) + GRACE + SEC
        while self.queue and self.queue[0][0] <= until:
            self.now, _, what, fields = heapq.heappop(self.queue)
            host = getattr(what, "__self__", None)
            touched = host if isinstance(host, Host) else None
            for one in self.hosts if touched is None and what == self.fault else ():
                one.at.now = EPOCH + self.now
            if touched is None and what in (self.submit,):
                touched = self.hosts[(int(fields[0][1:]) + fields[2]) % len(self.hosts)]
            if touched:
                touched.at.now = EPOCH + self.now
            what(*fields)
            if touched:
                touched.at.decide()
            self.events += 1
        return self.figures(until, time.perf_counter() - began)

    def figures(self, until, wall):
        self.now = until
        records = list(self.audit.records.values())
        objectives = {topic.name: int(topic.objective) for topic in self.scenario.topic}
        return {
            "policy": self.policy,
            "seed": self.seed,
            "instances": len(self.hosts),
            "events": self.events,
            "simulated_s": until / SEC,
            "wall_s": round(wall, 3),
            "worth": round(self.worth(records), 4),
            "ends": dict(Counter(record.outcome() for record in records)),
            "faults": {name: len(ids) for name, ids in self.audit.faults().items()},
            **figures(records, objectives),
        }

    def worth(self, records):
        """The share of all benefit that was delivered; a late one fades to its late share at the TTL."""
        topics = {topic.name: topic for topic in self.scenario.topic}
        whole = got = 0.0
        for record in records:
            topic = topics[record.topic]
            whole += topic.benefit
            if record.outcome() == "delivered":
                late = max(0, record.delivered_at - record.handed_at - topic.objective)
                span = max(int(topic.ttl) - int(topic.objective), 1)
                got += topic.benefit * max(0.0, 1 - (1 - topic.late_share) * late / span)
        return got / whole if whole else 1.0
