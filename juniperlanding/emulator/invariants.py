"""What must hold while a world runs, without I/O: each breach names the rule, the time and the notification.

`Watch` hears what every party saw (a notification handed in and answered, calls, deliveries, notices,
waits, drains,
starts and ends of processes) and holds it against the rules.  `probe` looks into the dispatchers between
events.

| rule | what it says |
| --- | --- |
| final answer | what was taken on ends by a delivery or a notice within its TTL and 350 ms, and by one
alone |
| once only | a once-only notification runs at most once; a collapsible one runs again within its window
only |
| kept | when a client hears 202, the notification is in the ledger or over |
| wait | no call reaches a route within a wait that was told to that dispatcher (100 ms for what was under
way) |
| drain | no call reaches an endpoint 300 ms after its drain was told |
| slots | no more calls out at once than a dispatcher has slots |
| at once | what the module can no longer send is ended within 500 ms |
| beliefs | the pushes that the module believes out are those that the sockets carry |
| bounds | held, queue, ledger, idle connections, timers and remembered ids stay within their bounds |
| door | staff get their figures within 1 s, whatever else goes on |
| alive | no process ends by an error of its own, and no fault of one event is logged |
| nothing left | when all has ended, nothing is held, owed, out or remembered past its time |
"""

from collections import deque

from juniperlanding.standins.audit import GRACE, Audit

MS, SEC = 1_000_000, 1_000_000_000
UNDER_WAY, DRAINED, AT_ONCE, STALE = 100 * MS, 300 * MS, 500 * MS, SEC
RESTARTED, UNWRITTEN = 1500 * MS, 100 * MS
MOST_TRACES, MOST_EVENTS = 4000, 60
TIMERS_EACH = 40  # module and host timers for each notification held, and so many besides


class Breach(Exception):
    """A rule does not hold: `rule`, `text`, `at` (ns of the run), and the events of the notification
    concerned."""

    def __init__(self, rule, text, at, events=()):
        super().__init__(f"{rule}: {text}")
        self.rule, self.text, self.at, self.events = rule, text, at, list(events)

    def __reduce__(self):
        return Breach, (self.rule, self.text, self.at, self.events)


class Watch:
    """All that was seen; `now` tells nanoseconds of the run.  A breach is kept in `breach`, the first one
    counts."""

    def __init__(self, now, window=None):
        self.now, self.audit, self.breach, self.traces = now, Audit(now), None, {}
        self.window = window or {}  # topic type: a collapsible's window
        self.owners, self.calls, self.out, self.first_ran = {}, {}, {}, {}
        self.waits, self.drains, self.log_lines = {}, {}, deque(maxlen=2000)
        self.down, self.lines, self.stale, self.concluded = {}, 0, {}, {}
        self.platform_silent_until, self.lost, self.unwritten = 0, set(), set()
        self.list_late = 0  # how late the platform's answers are now, at most, in ns
        self.open = {}  # id -> record, of what has no end yet
        self.digest_lines = []

    # ---- saying so

    def broke(self, rule, text, ntf_id=None):
        if self.breach is None:
            self.breach = Breach(rule, text, self.now(), self.traces.get(ntf_id, ()))

    def trace(self, ntf_id, text):
        events = self.traces.get(ntf_id)
        if events is None:
            if len(self.traces) >= MOST_TRACES:
                self.traces.pop(next(iter(self.traces)))
            events = self.traces[ntf_id] = deque(maxlen=MOST_EVENTS)
        events.append((self.now(), text))
        self.digest_lines.append(f"{self.now()} {ntf_id} {text}")

    def log_of(self, dispatcher):
        def log(event, text="", **fields):
            line = f"{self.now()} {dispatcher.name} {event} {text} {fields}"
            self.digest_lines.append(line)
            self.log_lines.append(line)
            if event == "violation":
                self.broke(
                    f"checked {text}", f"{dispatcher.name} counted itself: {text} {fields}", fields["id"]
                )
            if event == "fault" and fields.get("part") is not None:
                self.broke(
                    "alive", f"{dispatcher.name} logged a fault: {text} {fields}", fields.get("notification")
                )

        return log

    # ---- clients

    def handed_in(self, ntf_id, topic, destination, dispatcher):
        self.audit.handed_in(ntf_id, topic.name, destination, topic.kind, topic.ttl)
        self.owners[ntf_id] = dispatcher
        self.open[ntf_id] = self.audit.records[ntf_id]
        self.trace(ntf_id, f"handed in at {dispatcher.name}: {topic.name} for {destination}")

    def answered(self, ntf_id, status):
        self.audit.answered(ntf_id, status)
        self.trace(ntf_id, f"client heard {status or 'nothing'}")
        dispatcher, record = self.owners[ntf_id], self.audit.records[ntf_id]
        if status == 202 and not record.delivered_at and not record.notices and ntf_id not in self.lost:
            if dispatcher.alive and not dispatcher.remembers(ntf_id):
                self.broke(
                    "kept", f"{ntf_id} was answered 202 and is not in {dispatcher.name}'s ledger", ntf_id
                )

    # ---- endpoints

    def call(self, dispatcher, endpoint, ids, ran, sock):
        """A call has wholly come; returns what `call_over` is handed when its connection is done with it."""
        now = self.now()
        under_way = sock.inward.path.lag
        for ntf_id in ids:
            self.audit.pushed(ntf_id, ran)
            self.trace(ntf_id, f"call from {dispatcher} at {endpoint.id}" + ("" if ran else ", turned away"))
            if ran:
                self.ran(ntf_id, now, under_way)
        calls = self.out.setdefault(dispatcher, {})
        calls[sock] = None
        out = sum(not one.other.closed for one in calls)  # one that the dispatcher closed is given up
        owner = next((self.owners[one] for one in ids if one in self.owners), None)
        if owner and owner.name == dispatcher and out > owner.slots:
            self.broke("slots", f"{dispatcher} has {out} calls out and {owner.slots} slots", ids[0])
        route = (dispatcher, endpoint.id if endpoint.routes_apart else endpoint.destination)
        until, told, life = self.waits.get(route, (0, 0, 0))
        if owner and life == owner.starts and told + UNDER_WAY + under_way < now < until:
            self.broke(
                "wait",
                f"{dispatcher} called {endpoint.id} {(until - now) // MS} ms before a told wait is over",
                ids[0],
            )
        drained = self.drains.get((dispatcher, endpoint.id))
        if drained and now > drained + DRAINED + under_way:
            self.broke(
                "drain",
                f"{dispatcher} called {endpoint.id} {(now - drained) // MS} ms after its drain was told",
                ids[0],
            )
        return dispatcher, sock

    def ran(self, ntf_id, now, under_way):
        record = self.audit.records.get(ntf_id)
        if record is None or ntf_id in self.lost:
            return
        first = self.first_ran.setdefault(ntf_id, now)
        if record.kind == "once-only" and record.ran > 1:
            self.broke("once only", f"{ntf_id} is once-only and ran {record.ran} times", ntf_id)
        elif record.kind == "collapsible" and now - first - under_way > self.window.get(
            record.topic, 1 << 62
        ):
            self.broke(
                "once only",
                f"{ntf_id} ran again {(now - first) // MS} ms after it first did, past its window",
                ntf_id,
            )

    def call_over(self, call):
        dispatcher, sock = call
        self.out[dispatcher].pop(sock, None)

    def delivered(self, ntf_id, endpoint):
        self.audit.delivered(ntf_id)
        self.trace(ntf_id, f"delivered by {endpoint.id}")
        self.ended(ntf_id)

    def told_wait(self, dispatcher, endpoint, wait):
        route = (dispatcher, endpoint.id if endpoint.routes_apart else endpoint.destination)
        owner = self.down.get(dispatcher)
        now, until = self.now(), self.now() + wait
        known = self.waits.get(route, (0, 0, 0))
        if until > known[0]:
            self.waits[route] = until, now, owner.starts if owner else 0

    # ---- platform

    def notice(self, ntf_id, outcome, dispatcher):
        self.audit.notice(ntf_id, outcome)
        self.trace(ntf_id, f"notice {outcome} from {dispatcher}")
        self.concluded.pop(ntf_id, None)
        self.ended(ntf_id)

    def ended(self, ntf_id):
        """One end is there; whether a second comes is looked at when the record leaves."""
        record = self.open.get(ntf_id)
        excused = ntf_id in self.unwritten or ntf_id in self.lost  # the same id again is new to a lost folder
        if record and not excused and "answered twice" in record.faults(self.now()):
            self.broke(
                "final answer", f"{ntf_id} was answered twice: delivered, and {record.notices}", ntf_id
            )

    def drained(self, endpoint, dispatchers):
        """An endpoint's drain is told to all dispatchers that are alive; others learn of it when they ask."""
        for dispatcher in dispatchers:
            self.drains[dispatcher.name, endpoint.id] = self.now()

    # ---- processes

    def started(self, dispatcher):
        self.down[dispatcher.name] = dispatcher
        self.trace(dispatcher.name, f"start {dispatcher.starts}")
        for key in [key for key in self.drains if key[0] == dispatcher.name]:
            self.drains[key] = self.now() + SEC + self.list_late  # it may still have its old list

    def died(self, dispatcher):
        """Threat that no program closes: what was delivered moments before the process ended, or while its
        disk failed, is not written down; a notice for it later does no harm."""
        now, troubled = self.now(), dispatcher.disk.plan.failing or dispatcher.disk.plan.capacity is not None
        for ntf_id, record in self.open.items():
            if (
                self.owners[ntf_id] is dispatcher
                and record.delivered_at
                and (troubled or now - record.delivered_at < UNWRITTEN)
            ):
                self.unwritten.add(ntf_id)

    def stopped(self, dispatcher):
        self.trace(dispatcher.name, "end")
        for key in [key for key in self.stale if key[0] == dispatcher.name]:
            del self.stale[key]

    def crashed(self, dispatcher, error):
        self.broke("alive", f"{dispatcher.name} ended by itself: {error!r}")

    def machine_lost(self, dispatcher):
        """Its folder is gone with it: what it held is owed by nobody."""
        for ntf_id, record in self.open.items():
            if self.owners[ntf_id] is dispatcher:
                self.lost.add(ntf_id)
                record.status = record.status or 0
                if record.outcome() == "open":
                    record.status = 0

    def excused_until(self, dispatcher):
        """A restart excuses what is due until it has been ready again for a while; so does a silent
        platform."""
        until = max(dispatcher.ready_at + RESTARTED, self.platform_silent_until)
        # Threat to the rig alone: a look at it between its being ready and `ready_at` telling so.
        return until if dispatcher.alive and dispatcher.seen_ready else 1 << 62

    # ---- between events

    def probe(self, dispatchers):
        now = self.now()
        for ntf_id in [i for i, r in self.open.items() if now > r.due]:
            record, dispatcher = self.open[ntf_id], self.owners[ntf_id]
            if ntf_id in self.lost:
                del self.open[ntf_id]
                continue
            excused = self.excused_until(dispatcher)
            if record.outcome() == "open" and now <= excused:
                continue
            faults = self.left(record, now, excused)
            if faults:
                self.broke(
                    "final answer",
                    f"{ntf_id} is {faults[0]} {(now - record.due + GRACE) // MS} ms after its TTL",
                    ntf_id,
                )
            if now > record.due + 5 * SEC:
                del self.open[ntf_id]
                self.first_ran.pop(ntf_id, None)
        for dispatcher in dispatchers:
            if dispatcher.alive and dispatcher.ready:
                self.inside(dispatcher, now)

    def left(self, record, now, excused):
        """The faults of a record that nothing excuses; that it ran twice is told by `ran`."""
        known = {"ran twice", "answered twice"} if record.id in self.unwritten else {"ran twice"}
        return [fault for fault in record.faults(now, excused) if fault not in known]

    def inside(self, dispatcher, now):
        node = dispatcher.node
        decision_loop, state = node.decision_loop, node.decision_loop.dispatcher.state
        # While the disk fails the decision loop waits, and what the sockets tell waits for it.
        waits = (
            bool(decision_loop.ledger.unwritten)
            or decision_loop.event_receiver.statistics().current_buffer_used
        )
        calls = len({id(call) for call in decision_loop.endpoints.in_flight.values()})
        self.lasting(
            dispatcher,
            "beliefs",
            now,
            STALE,
            not waits
            and (set(state.pushes) != set(decision_loop.endpoints.in_flight) or state.slots_out != calls),
            f"module believes {len(state.pushes)} pushes out in {state.slots_out} calls, sockets carry "
            f"{len(decision_loop.endpoints.in_flight)} in {calls}",
        )
        late = [
            n.id
            for d in state.destinations.values()
            for n in d.waiting
            if decision_loop.dispatcher.ttl.ends(n) + AT_ONCE < decision_loop.dispatcher.now
        ]
        if late:
            self.broke("at once", f"{dispatcher.name} holds {late[0]} though it can no longer go", late[0])
        limits = {
            "held": (len(decision_loop.unfinished), decision_loop.config.settings.get("most_held", 1 << 30)),
            "queue": (decision_loop.event_receiver.statistics().current_buffer_used, 1024),
            "ledger": (dispatcher.disk_used(), decision_loop.config.disk),
            "idle connections": (sum(map(len, decision_loop.endpoints.idle.values())), 4096),
            "timers": (
                len(decision_loop.timers),
                2000
                + TIMERS_EACH
                * (len(decision_loop.unfinished) + len(decision_loop.known_ids) + len(state.endpoints)),
            ),
            "sockets": (dispatcher.fabric.descriptors(dispatcher.name), decision_loop.config.sockets),
        }
        for name, (size, most) in limits.items():
            if size > most:
                self.broke("bounds", f"{dispatcher.name}: {name} {size}, bound {most}")

    def lasting(self, dispatcher, rule, now, most, wrong, text):
        """A difference that passes is traffic; one that stays is a breach."""
        key = dispatcher.name, rule
        if not wrong:
            self.stale.pop(key, None)
        elif now - self.stale.setdefault(key, now) > most:
            self.broke(rule, f"{dispatcher.name}: {text}, for {(now - self.stale[key]) // MS} ms")

    def settled(self, dispatchers):
        """All traffic has ended long ago: nothing may be left."""
        for dispatcher in dispatchers:
            if not dispatcher.alive:
                continue
            decision_loop = dispatcher.node.decision_loop
            left = {
                "held": len(decision_loop.unfinished),
                "owed": len(decision_loop.ledger.notifications),
                "out": len(decision_loop.endpoints.in_flight),
                "remembered ids": len(decision_loop.known_ids),
                "pushes": len(decision_loop.dispatcher.state.pushes),
                "waiting": sum(len(d.waiting) for d in decision_loop.dispatcher.state.destinations.values()),
                "keys": len(decision_loop.dispatcher.state.keys),
            }
            found = {name: count for name, count in left.items() if count}
            if found:
                self.broke("nothing left", f"{dispatcher.name} still has {found}")

    def all_answered(self):
        """At the very end, every record of the run."""
        now = self.now()
        for record in self.audit.records.values():
            dispatcher = self.owners[record.id]
            if record.id in self.lost or not dispatcher.alive:
                continue
            faults = self.left(record, now, self.excused_until(dispatcher))
            if faults:
                self.broke("final answer", f"{record.id}: {', '.join(faults)}", record.id)
