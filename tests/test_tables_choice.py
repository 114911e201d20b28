"""Runs the conformance tables of the decision module: events on a `Bed`, then what must be observed.

A row's `play` holds events, "word field name=value" with times in seconds, and between them tables of what
must be observed at that point.  A notification is named by its number in the order accepted; -1 is the last
one, * all that have a push in flight.  With `seeds` the row is run with so many seeds, and the values
observed must fill the range that is wanted."""

import re

import pytest
from conftest import TOPICS, Bed
from tables import fills, meets, rows

from juniperlanding.choice import MS, SEC, benefit, current_delivery_rate, known_limit

TIMES = {
    "objective",
    "ttl",
    "window",
    "must_ask_in",
    "warm_within",
    "order_pause",
    "idle_closes",
    "most_again_in",
    "tick",
}
KINDS = ["repeatable", "collapsible", "once-only", "ordered"]


def in_ns(settings):
    return {name: round(value * SEC) if name in TIMES else value for name, value in settings.items()}


def plain(value):
    """A whole number, another number or a word."""
    if re.fullmatch(r"-?[\d.]+", value):
        return float(value) if "." in value else int(value)
    return value


class Play:
    """A `Bed` with one method for each word of the tables, called by name."""

    def __init__(self, bed=(), topic=(), bare=(), seed=7):
        topics = [{k: v for k, v in (t | in_ns(dict(topic))).items() if k not in bare} for t in TOPICS]
        self.bed = Bed(**{"topic_types": topics} | in_ns(dict(bed)))
        self.dispatcher, self.state = self.bed.dispatcher, self.bed.dispatcher.state
        self.state.seed = seed

    # ---- events

    def do(self, step):
        word, *fields = step.split()
        named = dict(field.split("=") for field in fields if "=" in field)
        getattr(self, f"do_{word}")(
            *[f for f in fields if "=" not in f], **{name: plain(value) for name, value in named.items()}
        )

    def do_take(self, kind="repeatable", n=1, dest=1, key=0, ttl=20):
        for _ in range(int(n)):
            self.bed.take(KINDS.index(kind), int(dest), ttl, int(key))

    def do_turn(self, after=0):
        self.do_idle(after)
        self.dispatcher.decide()

    def do_idle(self, after):
        self.dispatcher.now += round(float(after) * SEC)

    def do_end(self, ntf, ending, after=0.1, number=None, wait=0, **report):
        self.do_idle(after)
        ids = {"*": [*self.state.pushes], "-1": [k for k in self.state.pushes if k[0] == self.bed.count]}
        for ntf_id, push in ids.get(ntf) or [k for k in self.state.pushes if k[0] == int(ntf)]:
            report = {{"left": "limit_left"}.get(name, name): value for name, value in report.items()}
            over = ending == "delivered"
            self.dispatcher.outcome(ntf_id, push, ending, round(after * SEC), round(wait * SEC), over, report)

    def do_answers(self, *latencies, dest=1, kind="repeatable"):
        for latency in latencies:
            self.do_take(kind, dest=dest)
            self.do_turn()
            self.do_end("-1", "delivered", after=float(latency))
            self.do_turn(1)

    def do_bad(self, times, ending, after=0.1, turn=8):
        for _ in range(int(times)):
            self.do_take(ttl=100)
            self.do_turn(turn)
            self.do_end("-1", ending, after)
            self.dispatcher.withdraw(self.bed.count)

    def do_fill(self):
        for dest in self.state.destinations.values():
            dest.route.rate = dest.route.tokens = 1000.0
            dest.route.filled_at = self.dispatcher.now

    def do_list(self, news, *entries):
        split_entries = [entry.split(":") for entry in entries]
        self.dispatcher.update_endpoints(
            news,
            [
                (int(e), int(d), 0, 50.0, int(zone[0]) if zone else 0, state)
                for e, d, state, *zone in split_entries
            ],
        )

    def do_withdraw(self, ntf):
        self.dispatcher.withdraw(self.bed.count if ntf == "-1" else int(ntf))

    def do_note(self, rank, *words):
        self.dispatcher.note(int(rank), " ".join(words).encode())

    def do_stop(self, after):
        self.dispatcher.plan_stop(self.dispatcher.now + round(float(after) * SEC))

    def do_restart(self, kind, pushes=1, ran=None, zone=0):
        self.bed.count += 1
        now = self.dispatcher.now
        self.dispatcher.notification(
            self.bed.count,
            KINDS.index(kind),
            1,
            now + 20 * SEC,
            0,
            int(pushes),
            int(zone),
            0 if ran is None else now - round(ran * SEC),
        )

    def do_be(self, what, **state):
        """Set fields of a record; names that end in _ago are times before now."""
        record = {
            "me": self.state,
            "endpoint": self.bed.endpoint(),
            "route": self.bed.endpoint().route,
            "dest": self.dispatcher.destination(1),
        }[what]
        for name, value in state.items():
            ago = name.endswith("_ago")
            value = self.dispatcher.now - round(value * SEC) if ago else value
            setattr(record, name.removesuffix("_ago"), value)

    # ---- what is observed

    def see(self, name):
        ep, dest, all_ = self.state.endpoints.get(10), self.dispatcher.destination(1), self.bed.host.all
        route, now, pushed = dest.route, self.dispatcher.now, self.bed.pushed
        return {
            "pushes": lambda: len(pushed),
            "sent": lambda: [p[0] for p in pushed],
            "timeout": lambda: pushed[-1][2] / SEC,
            "leave": lambda: pushed[-1][3] / SEC,
            "to": lambda: pushed[-1][1],
            "order": lambda: self.letters([p[1] for p in pushed]),
            "calls": lambda: sorted(len(c.pushes) for e in self.state.endpoints.values() for c in e.calls),
            "throttled": lambda: [f[0] for f in all_("throttled")],
            "again": lambda: all_("throttled")[-1][1] / SEC,
            "expired": lambda: [f[0] for f in all_("expired")],
            "cancelled": lambda: [f[0] for f in all_("cancel")],
            "closed": lambda: len(all_("close_idle")),
            "notes": lambda: [f[1].decode() for f in all_("note")],
            "subscribed": lambda: len(all_("subscribe")),
            "timer": lambda: all_("timer")[-1][0] / SEC,
            "said": lambda: [line.split(":")[0] for (line,) in all_("log")],
            "forecast": lambda: dest.forecast / SEC,
            "miss": lambda: dest.rmse / SEC,
            "samples": lambda: dest.samples,
            "pace": lambda: route.rate,
            "limit": lambda: known_limit(route),
            "left": lambda: route.mean_limit_left,
            "wait": lambda: (route.wait_until - now) / SEC,
            "tokens": lambda: route.tokens,
            "down": lambda: ep.ejected,
            "run": lambda: ep.failure_run,
            "warming": lambda: bool(ep.warming_since),
            "trial": lambda: (ep.probe_at - now) / SEC,
            "loss": lambda: self.state.own_loss,
            "slice": lambda: ep.probe_at // (300 * MS) % self.state.dispatchers,
            "share": lambda: self.dispatcher.health.slow_start_rate(ep, 0),
            "first_part": lambda: ep.tokens,
            "half_warm": lambda: self.dispatcher.health.slow_start_rate(ep, 5 * SEC),
            "usual": lambda: current_delivery_rate(dest, now),
            "slots": lambda: self.state.slots_out,
            "held": lambda: len(self.state.notifications),
            "endpoints": lambda: sorted(self.state.endpoints),
            "worth_in_4": lambda: benefit(self.state.notifications[self.bed.count], now + 4 * SEC),
            "worth_in_20": lambda: benefit(self.state.notifications[self.bed.count], now + 20 * SEC),
        }[name]()

    @staticmethod
    def letters(numbers):
        """Endpoints as letters, in the order in which they first appear."""
        seen = list(dict.fromkeys(numbers))
        return "".join("ABCDEFGH"[seen.index(number)] for number in numbers)


@pytest.mark.parametrize("row", rows("page") + rows("exceptions"))
def test_the_sentence_holds(row):
    seen = {}
    for seed in range(7, 7 + row.get("seeds", 1)):
        play = Play(row.get("bed", {}), row.get("topic", {}), row.get("bare", ()), seed)
        for number, step in enumerate(row["play"]):
            if isinstance(step, str):
                play.do(step)
                continue
            for name, wanted in step.items():
                got = play.see(name)
                assert meets(wanted, got), f"{name} at step {number}: {got}, wanted {wanted}"
                seen.setdefault((number, name), []).append(got)
    for (number, name), values in seen.items() if "seeds" in row else ():
        wanted = row["play"][number][name]
        assert not isinstance(wanted, dict) or fills(wanted, values), (name, min(values), max(values))
