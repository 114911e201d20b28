"""Plays the table of the members' states on one view."""

import pytest
from tables import meets, rows
from test_fleet import record, said

from juniperlanding.fleet import words
from juniperlanding.fleet.members import SEC, View


class Play:
    def __init__(self, row):
        seeds = [("127.0.0.1", 900 + n) for n in range(row.get("seeds", 0))]
        self.at, self.now = View(record("a", port=100, life=5, phase=1), "f", seeds, 1, 0), 0
        names = row.get("knows", "").split() + [f"m{n}" for n in range(row.get("many", 0))]
        for port, name in enumerate(names):
            self.at.heard(said("news", record(name, port=port + 1, life=9)), 0)
        self.at.out.clear()
        self.at.changes.clear()

    def do_news(self, name, inc, state, by_or_life="c"):
        """For our own name the last field is the life it is said of, else the accuser."""
        life = int(by_or_life) if by_or_life.isdigit() else 5 if name == "a" else 9
        port = 100 if name == "a" else 1
        self.at.apply(record(name, int(inc), words.STATES.index(state), port, life), by_or_life, self.now)

    def do_twin(self, inc, life):
        self.at.apply(record("a", int(inc), port=200, life=int(life)), "b", self.now)

    def do_hear(self, kind, name, inc, target=""):
        target = self.at.sum() if target == "same" else target
        self.at.out.clear()
        self.at.heard(said(kind, record(name, int(inc), life=9), number=3, target=target), self.now)

    def do_answer(self, name, source="", number=0):
        """The answer to the probe under way, if it is of that member."""
        probe = self.at.probe
        if probe and probe.member.name == name:
            number = int(number) or probe.number
            self.at.heard(said("ack", record(source or name, life=9), number=number), self.now)

    def do_nack(self, times):
        for helper in "cde"[: int(times)]:
            self.at.heard(said("nack", record(helper, life=9), number=self.at.probe.number), self.now)

    def do_enter(self, phase):
        self.at.enter(int(phase))

    def do_run(self, until):
        while self.at.due() <= float(until) * SEC:
            self.now = max(self.now, self.at.due())
            self.at.tick(self.now)
        self.now = round(float(until) * SEC)

    def do_tick(self, now):
        self.now = round(float(now) * SEC)
        self.at.tick(self.now)

    def see(self, name):
        member, _, what = name.partition("_")
        if member in ("b", "m0"):
            known = self.at.members.get(member)
            state = words.STATES[known.state] if known else "unknown"
            return {
                "": lambda: state,
                "not": lambda: state,
                "inc": lambda: known.record.inc,
                "by": lambda: known.by,
                "until": lambda: (known.until - known.began) / SEC,
            }[what]()
        kinds = [message.kind for _, message in self.at.out]
        return {
            "inc": lambda: self.at.me.inc,
            "doubt": lambda: self.at.doubt,
            "twin": lambda: self.at.twin,
            "sure": self.at.sure,
            "changes": lambda: len(self.at.changes),
            "asked": lambda: kinds.count("ask"),
            "suspects": lambda: sum(m.state == words.SUSPECT for m in self.at.members.values()),
            "said": lambda: kinds[0] if kinds else "",
            "told": lambda: [(r.name, words.STATES[r.state]) for r in self.at.out[0][1].news][0],
        }[name]()


@pytest.mark.parametrize("row", rows("fleet"))
def test_the_word_is_believed_as_the_sentence_says(row):
    play = Play(row)
    for number, step in enumerate(row["play"]):
        if isinstance(step, str):
            word, *fields = step.split()
            getattr(play, f"do_{word}")(*fields)
            continue
        for name, wanted in step.items():
            got = play.see(name)
            got = list(got) if isinstance(got, tuple) else got
            held = meets(wanted, got) != name.endswith("_not")
            assert held, f"{name} at step {number}: {got}, wanted {wanted}"
