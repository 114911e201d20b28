"""A search through the orders of events of a small fleet of `Accord` facades, for a broken rule.

Three voters, two of whom propose at once.  The even course delivers messages in the order in which they were
sent and lets time go on to the next timer when none is under way.  At every point a run may leave it: the
next message is lost, comes last or comes twice; all that one process was sent, or has sent, is lost; a
process dies (with or without what it just sent) and starts on its folder; time goes on although messages are
under way.  Every run with at most so many departures is played, to its end.  Drawn walks, with any number of
departures and any order of messages, look beyond that bound.

Processes are kept as bytes, equal ones once, and one event of equal processes is worked out once; a state
that was seen with as few departures is not played again.

`python -m juniperlanding.emulator.accord_search STATES [DEPARTURES [SEED [MUTANT]]]`."""

import pickle
import sys
import time
from hashlib import blake2b
from random import Random

from juniperlanding.accord.accord import Accord, Kept, Refused, Tuning
from juniperlanding.accord.words import decoded, encoded
from juniperlanding.emulator import accord_mutants
from juniperlanding.emulator.accord import SEC, Check, document, read

NAMES = ("a", "b", "c")
MOST_FLYING = 40  # messages under way; at the bound the oldest are lost
# Few and wide timers: each is a move of its own.
WIDE = dict(
    licence=6 * SEC,
    drift=0.01,
    again=2 * SEC,
    takeover=3 * SEC,
    check_within=SEC,
    give_up=60 * SEC,
    clear_after=SEC,
)


class Space:
    """Processes and messages by number, moves worked out once."""

    def __init__(self):
        self.blobs, self.blob_ids, self.messages, self.message_ids, self.moves = [], {}, [], {}, {}
        self.facts = {}

    def blob(self, accord):
        data = pickle.dumps(accord, 5)
        key = blake2b(data, digest_size=16).digest()
        if key not in self.blob_ids:
            self.blob_ids[key] = len(self.blobs)
            self.blobs.append(data)
            self.facts[len(self.blobs) - 1] = accord.kept, accord.number, accord.digest, {}
        return self.blob_ids[key]

    def message(self, entry):
        if entry not in self.message_ids:
            self.message_ids[entry] = len(self.messages)
            self.messages.append(entry)
        return self.message_ids[entry]

    def moved(self, blob, now, kind, *rest):
        """(blob, messages sent) after one event of a process."""
        key = blob, now, kind, rest
        if key not in self.moves:
            if kind == "start":
                name, life = rest
                accord = Accord(
                    name, life, NAMES, self.facts[blob][0], read, Check(name), 1, now, Tuning(**WIDE)
                )
                accord.members = set(NAMES)
                accord.tick(now)
            else:
                accord = pickle.loads(self.blobs[blob])
                if kind == "tick":
                    accord.tick(now)
                elif kind == "heard":
                    source, life, _, message = self.messages[rest[0]]
                    accord.heard(source, life, decoded(message), now)
                elif kind == "propose":
                    try:
                        accord.propose(rest[0], now)
                    except Refused:
                        pass
            sent = tuple(
                self.message((accord.name, accord.life, name, encoded(message)))
                for name, message, _ in accord.out
                if name in NAMES
            )
            accord.out.clear()
            accord.said.clear()
            self.moves[key] = self.blob(accord), sent
        return self.moves[key]

    def look(self, blob, now, what):
        """holds, due or life of a process."""
        cache = self.facts[blob][3]
        key = (what, now) if what == "holds" else what
        if key not in cache:
            accord = pickle.loads(self.blobs[blob])
            cache[key] = (
                accord.holds(now) if what == "holds" else (accord.due() if what == "due" else accord.life)
            )
        return cache[key]


class Search:
    """departures: how many a run may have; time: ns that a run may last."""

    def __init__(self, departures=2, time=9 * SEC):
        self.space, self.departures, self.time = Space(), departures, time
        self.breaches, self.seen, self.depth, self.visited = [], {}, 0, 0

    def begin(self):
        now, blobs, flying = SEC, [], ()
        for name in NAMES:
            accord = Accord(name, 1, NAMES, Kept(), read, Check(name), 1, now, Tuning(**WIDE))
            accord.members = set(NAMES)
            blobs.append(self.space.blob(accord))
        return tuple(blobs), flying, now, 0, ()

    def after(self, state, at, now, kind, *rest, flying=None):
        """One event of one process; what it sends comes last."""
        blobs, before, _, top, decided = state
        blob, sent = self.space.moved(blobs[at], now, kind, *rest)
        flying = list(before if flying is None else flying)
        flying += [number for number in sent if number not in flying]
        return (*blobs[:at], blob, *blobs[at + 1 :]), tuple(flying[-MOST_FLYING:]), now, top, decided

    def marked(self, state):
        """The state with the highest number held and what is decided; or the breach."""
        blobs, flying, now, top, decided = state
        held = {number for blob in blobs if (number := self.space.look(blob, now, "holds")) is not None}
        if len(held) > 1 or (held and min(held) < top):
            return None, f"held {sorted(held)} after {top}"
        known = dict(decided)
        for kept, number, digest in (self.space.facts[blob][:3] for blob in blobs):
            for its, text in ((number, digest), (kept.number, kept.digest)):
                if its > 0 and known.setdefault(its, text) != text:
                    return None, f"number {its} is {known[its]} and {text}"
        return (blobs, flying, now, max(held | {top}), tuple(sorted(known.items()))), ""

    def jump(self, state):
        """Time goes on to the next timer, and whoever's timer it is acts."""
        now = max(state[2] + 1, min(self.space.look(blob, 0, "due") for blob in state[0]))
        for at in range(len(NAMES)):
            if self.space.look(state[0][at], 0, "due") <= now:
                state = self.after(state, at, now, "tick")
        return state

    def even(self, state, number=None):
        """The next event of the even course; `number`: the message that comes, in place of the first."""
        blobs, flying, now, *_ = state
        if not flying:
            return self.jump(state)
        number = flying[0] if number is None else number
        at = NAMES.index(self.space.messages[number][2])
        return self.after(state, at, now, "heard", number, flying=[one for one in flying if one != number])

    def departed(self, state):
        """(move, state) of every departure from here."""
        blobs, flying, now, top, decided = state
        if flying:
            yield "lost", (blobs, flying[1:], now, top, decided)
            yield "last", (blobs, (*flying[1:], flying[0]), now, top, decided)
            at = NAMES.index(self.space.messages[flying[0]][2])
            yield "twice", self.after(state, at, now, "heard", flying[0], flying=(*flying[1:], flying[0]))
            yield "time", self.jump(state)
        for at, name in enumerate(NAMES):
            life = self.space.look(blobs[at], 0, "life") + 1
            left = tuple(one for one in flying if self.space.messages[one][0] != name)
            yield f"{name} dies", self.after(state, at, now, "start", name, life)
            if left != flying:
                yield f"{name} dies unheard", self.after(state, at, now, "start", name, life, flying=left)
                yield f"{name} unheard", (blobs, left, now, top, decided)
            deaf = tuple(one for one in flying if self.space.messages[one][2] != name)
            if deaf != flying:
                yield f"{name} deaf", (blobs, deaf, now, top, decided)

    def every(self, state, states):
        """Every run from here with so many departures; fewest first.  False if `states` were too few."""
        until = state[2] + self.time
        lines = [[(state, 0, None)], *([] for _ in range(self.departures))]
        for spent, line in enumerate(lines):
            while line:
                state, depth, path = line.pop()
                while state[2] <= until and self.seen.setdefault(hash(state), spent) == spent:
                    self.visited += 1
                    self.seen[hash(state)] = -1  # not again, with whatever departures
                    self.depth = max(self.depth, depth)
                    if self.visited >= states:
                        return False
                    if spent < self.departures:
                        for move, other in self.departed(state):
                            other, breach = self.marked(other)
                            if breach:
                                self.breaches.append((breach, trace((path, (depth, move)))))
                                return False
                            if hash(other) not in self.seen:
                                lines[spent + 1].append((other, depth + 1, (path, (depth, move))))
                    state, breach = self.marked(self.even(state))
                    depth += 1
                    if breach:
                        self.breaches.append((breach, trace((path, (depth, "even")))))
                        return False
        return True

    def walk(self, state, moves, chance, share=0.06):
        """One drawn run: any message comes next, and now and then the run departs."""
        path = []
        for _ in range(moves):
            if chance.random() < share:
                move, state = chance.choice(list(self.departed(state)))
            else:
                move, number = "even", None
                if state[1]:
                    move = number = chance.choice(state[1][: 1 + chance.randrange(8)])
                state = self.even(state, number)
            path.append(move)
            state, breach = self.marked(state)
            if breach:
                self.breaches.append((breach, [move for move in path if isinstance(move, str)]))
                return
            self.visited += 1
        self.depth = max(self.depth, moves)


def trace(path):
    moves = []
    while path:
        path, move = path
        moves.append(move)
    return moves[::-1]


def beginning(search, both=True):
    """All hold a licence for number 0, no voter is blind any more, and one or two have just proposed."""
    state = search.begin()
    while state[1] or state[2] < SEC + 2 * WIDE["licence"]:
        state, breach = search.marked(search.even(state))
        if breach:
            raise ValueError(breach)
    state = search.after(state, 0, state[2], "propose", document("one"))
    return search.after(state, 1, state[2], "propose", document("two")) if both else state


def looked(states, departures=2, seed=1):
    """(search, whole, walks): every run with so many departures within `states`, and half as many drawn."""
    search = Search(departures)
    whole = search.every(beginning(search), states)
    walks, chance = Search(time=1000 * SEC), Random(seed)
    start = beginning(walks, both=chance.random() < 0.8)
    while walks.visited < states // 2 and not walks.breaches and not search.breaches:
        walks.walk(start, 400, chance)
    return search, whole, walks


def main(states="200000", departures="2", seed="1", mutant=""):
    began = time.monotonic()
    with accord_mutants.applied(mutant):
        search, whole, walks = looked(int(states), int(departures), int(seed))
    print(
        f"{search.visited} states, {'every run' if whole else 'not every run'} with up to {departures} "
        f"departures, depth {search.depth}; walks: {walks.visited} states, depth {walks.depth}; "
        f"{time.monotonic() - began:.0f} s"
    )
    for breach, path in search.breaches + walks.breaches:
        print(breach, path)
    return 1 if search.breaches or walks.breaches else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
