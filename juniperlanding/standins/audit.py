"""What every party saw of each notification, and the verdict: one final answer each.  No I/O.

A notification handed in ends for its client by an answer other than 202, by a delivery, or by a notice; after
202 one of the last two is owed within its TTL and `GRACE`.  A client that heard nothing in time is owed
nothing."""

import statistics
from collections import Counter
from dataclasses import dataclass, field

MS, SEC = 1_000_000, 1_000_000_000
GRACE = 350 * MS  # past the TTL: 300 ms by the protocol and 50 ms on sockets
CROSSING = 100 * MS  # so near to each other a delivery and a notice may have crossed on their ways
TAKEN_ON = 202


@dataclass(slots=True)
class Record:
    """One notification, as its client, the endpoints and the platform saw it."""

    id: str
    topic: str
    destination: int
    kind: str
    handed_at: int
    ttl: int
    status: int | None = None  # None: still waiting; 0: the client heard nothing in time
    delivered_at: int = 0
    ran: int = 0
    pushes: int = 0
    notices: list = field(default_factory=list)  # (outcome, at)

    @property
    def due(self):
        return self.handed_at + self.ttl + GRACE

    def outcome(self):
        """Its end in one word; "open" while it has none."""
        if self.status == 0:
            return "unheard"
        if self.delivered_at:
            return "delivered"
        if self.notices:
            return "expired" if self.notices[0][0] == "given_up" else "throttled"
        if self.status in (429, 503):
            return "throttled"
        return "open" if self.status in (None, TAKEN_ON) else "expired"

    def faults(self, now, excused_until=0):
        """What breaks the promise, as words; `excused_until` moves what is due during a restart."""
        found = []
        outcomes = {outcome for outcome, _ in self.notices}
        if self.kind == "once-only" and self.ran > 1:
            found.append("ran twice")
        if self.status in (0, None):
            return found + ["no answer"] * (self.status is None and now > self.due)
        refused = self.status != TAKEN_ON
        if len(outcomes) > 1 or self.told_twice() or refused and (self.delivered_at or self.notices):
            found.append("answered twice")
        if self.outcome() == "open" and now > max(self.due, excused_until):
            found.append("unanswered")
        return found

    def told_twice(self):
        """Whether a notice tells another end than the delivery, and may do harm.

        A delivery that is heard as its time is up, or later, ends it for nobody: a process that stood still
        cannot tell when the answer came, and its `given_up` does no harm.  It may do so neither before the
        time is up nor in other words: `handed_back` invites a second run."""
        if not 0 < self.delivered_at < self.handed_at + self.ttl - GRACE:
            return False
        time_is_up = self.handed_at + self.ttl - GRACE
        for outcome, at in self.notices:
            is_harmless = outcome == "given_up" and at >= time_is_up and at > self.delivered_at
            if abs(at - self.delivered_at) > CROSSING and not is_harmless:
                return True
        return False


class Audit:
    """All notifications of a run by id, and what was seen of ids that nobody handed in."""

    def __init__(self, now):
        self.now, self.records, self.unknown, self.excused_until = now, {}, Counter(), 0

    def handed_in(self, ntf_id, topic, destination, kind, ttl):
        self.records[ntf_id] = Record(ntf_id, topic, destination, kind, self.now(), ttl)

    def answered(self, ntf_id, status):
        self.records[ntf_id].status = status

    def pushed(self, ntf_id, ran):
        """A whole call arrived at an endpoint; whether it took effect or may have."""
        if record := self.records.get(ntf_id):
            record.pushes += 1
            record.ran += ran
        else:
            self.unknown["push"] += 1

    def delivered(self, ntf_id):
        """A delivery was answered on a connection that still waited for it."""
        if (record := self.records.get(ntf_id)) and not record.delivered_at:
            record.delivered_at = self.now()

    def notice(self, ntf_id, outcome):
        if record := self.records.get(ntf_id):
            record.notices.append((outcome, self.now()))
        else:
            self.unknown["notice"] += 1

    def open(self):
        """How many have no end yet."""
        return sum(record.outcome() == "open" for record in self.records.values())

    def faults(self):
        """{fault: [ids]} of all that was seen."""
        found, now = {}, self.now()
        for record in self.records.values():
            for fault in record.faults(now, self.excused_until):
                found.setdefault(fault, []).append(record.id)
        return found

    def by(self, key, objectives):
        """Rows of figures grouped by `key(record)`: counts by end, pushes, latency percentiles in ms, and the
        share of deliveries within the latency objective (`objectives` by topic type, in nanoseconds)."""
        groups = {}
        for record in self.records.values():
            groups.setdefault(key(record), []).append(record)
        return [
            {"name": str(name), **figures(records, objectives)} for name, records in sorted(groups.items())
        ]


def figures(records, objectives):
    ends = Counter(record.outcome() for record in records)
    late = [
        (record.delivered_at - record.handed_at, objectives[record.topic])
        for record in records
        if record.delivered_at and record.outcome() == "delivered"
    ]
    taken = [latency for latency, _ in late]
    row = {
        "handed_in": len(records),
        **{end: ends[end] for end in ("delivered", "throttled", "expired", "unheard", "open")},
        "pushes": sum(record.pushes for record in records),
    }
    return row | {
        "p50_ms": percentile(taken, 50),
        "p99_ms": percentile(taken, 99),
        "within_objective": round(sum(took <= aim for took, aim in late) / len(late), 4) if late else None,
    }


def percentile(values, part):
    if len(values) < 2:
        return round(values[0] / MS, 1) if values else None
    return round(statistics.quantiles(values, n=100, method="inclusive")[part - 1] / MS, 1)
