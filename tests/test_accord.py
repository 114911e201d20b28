"""The decision half of accord: a small fleet in memory, and the cases that have to go wrong."""

from heapq import heappop, heappush

import msgspec
import pytest

from juniperlanding.accord import words
from juniperlanding.accord.accord import MS, SEC, Accord, Kept, Refused

NEW, OTHER, LONGEST = b"text = 1\n", b"text = 2\n", 3.2


class Process:
    """One life of a member; disk: what is written of `kept`; full: nothing can be written; stopped: what came
    while it was."""

    def __init__(self, fleet, name, life, disk):
        self.fleet, self.name, self.life, self.disk = fleet, name, life, disk
        self.full, self.stopped = False, None
        self.rate, self.held, self.events, self.due = fleet.rates.get(name, 1), [], [], 0
        self.accord = Accord(
            name,
            life,
            fleet.voters,
            disk,
            lambda document: frozenset(),
            self.check,
            life,
            self.now,
            fleet.tuning,
        )
        self.accord.members = set(fleet.names)

    @property
    def now(self):
        return int(self.fleet.now * self.rate)

    def check(self, document):
        return "not here" if (self.name, document) in self.fleet.unwilling else ""

    def settle(self):
        accord = self.accord
        self.events, accord.said = self.events + accord.said, []
        self.held, accord.out = self.held + accord.out, []
        while self.held and not self.full or any(not durable for _, _, durable in self.held):
            if not self.full:
                self.disk = accord.kept
            written = self.disk == accord.kept
            ready = [word for word in self.held if written or not word[2]]
            self.held = [word for word in self.held if word[2] and not written]
            for name, message, _ in ready:
                if name == self.name:
                    accord.heard(name, self.life, message, self.now)
                else:
                    self.fleet.send(self, name, message)
            self.held, accord.out = self.held + accord.out, []

    def wake(self):
        due = max(self.fleet.now + 1, int(self.accord.due() / self.rate) + 1)
        if due != self.due:
            self.due = due
            self.fleet.at(due, self.name, None, self.life, due)


class Fleet:
    """Members on one clock that send each other datagrams; `judge` looks at all after each event.

    lost(sender, receiver, word): whether a datagram is lost; wait(): its nanoseconds on the way."""

    def __init__(self, count=5, voters=3, rates=None, tuning=None):
        self.now, self.rates, self.tuning, self.lives, self.sequence = 10 * SEC, rates or {}, tuning, 0, 0
        self.names = [f"d{at:02}" for at in range(count)]
        self.voters, self.unwilling, self.queue, self.disks, self.up = self.names[:voters], set(), [], {}, {}
        self.lost, self.wait = lambda *_: False, lambda: MS
        self.highest, self.texts, self.sent = 0, {}, 0
        for name in self.names:
            self.start(name)

    def start(self, name, disk=None):
        self.lives += 1
        self.up[name] = Process(self, name, self.lives, disk or self.disks.get(name, Kept()))
        self.up[name].wake()

    def kill(self, *names):
        for name in names:
            self.disks[name] = self.up.pop(name).disk

    def stop(self, name):
        self.up[name].stopped = []

    def go_on(self, name):
        waiting, self.up[name].stopped = self.up[name].stopped, None
        for event in waiting:
            self.at(self.now, *event)

    def at(self, when, *event):
        self.sequence += 1
        heappush(self.queue, (when, self.sequence, *event))

    def send(self, process, name, message):
        self.sent += 1
        if not self.lost(process.name, name, message):
            self.at(self.now + self.wait(), name, process.name, process.life, words.encoded(message))

    def run(self, seconds, until=lambda: False):
        end = self.now + int(seconds * SEC)
        while self.queue and self.queue[0][0] <= end and not until():
            self.now, _, name, source, life, data = heappop(self.queue)
            process = self.up.get(name)
            if process and process.stopped is not None:
                process.stopped.append((name, source, life, data))
            elif process and (source or (process.life, process.due) == (life, data)):
                if source:
                    process.accord.heard(source, life, words.decoded(data), process.now)
                else:
                    process.accord.tick(process.now)
                process.settle()
                process.wake()
                self.judge()
        found = until()
        self.now = self.now if found else end
        return found

    def judge(self):
        """What must hold at every instant: one number, never an older one, one text for each."""
        accords = [process.accord for process in self.up.values()]
        held = {process.accord.holds(process.now) for process in self.up.values()} - {None}
        assert len(held) <= 1 and min(held, default=self.highest) >= self.highest, (held, self.highest)
        self.highest = max(held, default=self.highest)
        for number, digest in [accord.known for accord in accords]:
            assert self.texts.setdefault(number, digest) == digest

    def propose(self, name, document):
        process = self.up[name]
        number = process.accord.propose(document, process.now)
        process.settle()
        process.wake()
        return number

    def all(self, number):
        return lambda: all(process.accord.holds(process.now) == number for process in self.up.values())

    def cut(self, *sides):
        """Nothing passes from one side to another; of one pair (from, to) it passes the other way."""
        at = {name: side for side, names in enumerate(sides) for name in names}
        self.lost = lambda sender, receiver, _: at.get(sender) != at.get(receiver)

    def heal(self):
        self.lost = lambda *_: False

    def said(self, name, event):
        return [figures for found, figures in self.up[name].events if found == event]


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.run(4)
    assert fleet.all(0)()
    return fleet


def answers(fleet, name, sender, message, life=99):
    """What `name` says to whom when it hears this; nothing of it is sent."""
    process = fleet.up[name]
    process.settle()
    process.accord.heard(sender, life, message, process.now)
    said, process.accord.out = process.accord.out, []
    return [(to, word) for to, word, _ in said]


def news_is_lost(sender, receiver, word):
    return isinstance(word, words.Decided) or isinstance(word, words.Ask) and word.number == 1


def reaches(fleet, name, step):
    return lambda: fleet.said(name, step) or step in [figures["step"] for figures in fleet.said(name, "step")]


def told(name):
    """Loses what is said to `name` and by it."""
    return lambda sender, receiver, _: name in (sender, receiver)


def test_a_change_with_all_up_pauses_for_moments(fleet):
    began = fleet.now
    assert fleet.propose("d04", NEW) == 1
    assert fleet.run(2, fleet.all(1)) and fleet.now - began < 100 * MS
    assert fleet.up["d00"].accord.document == NEW
    assert fleet.up["d04"].accord.state(fleet.now)["last"][1] == "decided"


def test_quiet_costs_two_datagrams_a_voter_in_a_sixth_of_a_licence_and_loss_ends_no_licence(fleet):
    sent = fleet.sent
    fleet.run(60)
    assert fleet.sent - sent < 1.05 * 2 * (3 * 5 - 3) * 120 and fleet.all(0)()
    count = iter(range(1 << 30))
    fleet.lost = lambda *_: next(count) % 7 in (1, 4)
    fleet.run(600)
    assert not any(fleet.said(name, "licence lost") for name in fleet.names)


@pytest.mark.parametrize("step", ["check", "close", "release", "accept", "led"])
def test_the_proposer_dies_at_a_step_and_with_it_a_voter(fleet, step):
    fleet.lost = news_is_lost
    fleet.propose("d04", NEW)
    assert step == "check" or fleet.run(1, reaches(fleet, "d04", step))
    fleet.kill("d04", "d00")
    fleet.heal()
    assert step == "check" or fleet.run(1.5 + 1.5 + 2 * LONGEST, fleet.all(1))
    document = fleet.up["d03"].accord.document
    assert document == (NEW if step == "led" else b"") or step == "accept"
    fleet.start("d04")
    fleet.start("d00")
    assert fleet.run(2, fleet.all(fleet.highest)) and fleet.up["d04"].accord.document == document


def test_a_member_stopped_with_a_licence_is_waited_for_and_comes_back_to_the_new_number(fleet):
    stopped = fleet.up["d03"].accord
    fleet.stop("d03")
    end = fleet.now + stopped.rest(fleet.now)
    fleet.propose("d04", NEW)
    fleet.run(5, lambda: fleet.up["d04"].accord.holds(fleet.now) == 1)
    assert 0 <= fleet.now - end < 0.2 * SEC and stopped.holds(fleet.now) is None
    fleet.run(5)
    fleet.go_on("d03")
    assert fleet.run(1, fleet.all(1))


@pytest.mark.parametrize(
    "rates",
    [
        {"d03": 0.99, "d00": 1.01, "d01": 1.01, "d02": 1.01, "d04": 1.01},
        {"d03": 1.01, "d00": 0.99, "d01": 0.99, "d02": 0.99},
    ],
)
def test_clocks_one_percent_apart_never_hold_two_numbers(rates):
    """Broken by dropping the margin of holder, voter or leader: the one cut off goes on by a slow clock."""
    fleet = Fleet(rates=rates)
    fleet.run(4)
    fleet.lost = told("d03")
    fleet.propose("d04", NEW)
    fleet.run(LONGEST + 0.1, lambda: fleet.up["d04"].accord.holds(fleet.up["d04"].now) == 1)
    assert fleet.highest == 1
    fleet.heal()
    assert fleet.run(1, fleet.all(1))


def test_a_voter_back_with_an_older_folder_grants_nothing_until_others_told_it(fleet):
    older = fleet.up["d00"].disk
    fleet.propose("d04", NEW)
    fleet.run(1, fleet.all(1))
    fleet.kill("d00", "d01")
    fleet.start("d00", older)
    fleet.run(5)
    assert not fleet.up["d00"].accord.voter.cleared and fleet.said("d00", "not cleared")
    fleet.start("d01")
    assert fleet.run(1, fleet.all(1)) and fleet.said("d00", "cleared")[0]["number"] == 1


def test_a_late_objection_ends_what_a_voter_believed_of_its_folder(fleet):
    kept = fleet.up["d00"].accord.kept
    answers(fleet, "d00", "d03", words.Recalled(kept.epoch, 0, 99))
    assert not fleet.up["d00"].accord.voter.cleared and fleet.up["d00"].accord.kept.doubted
    fleet.run(1)
    assert [said["by"] for said in fleet.said("d00", "cleared")] == ["folder", "voters"]
    assert not fleet.up["d00"].accord.kept.doubted


def test_a_promise_of_a_life_that_was_forgotten_does_not_count(fleet):
    """One voter promises and loses its folder; the next promises only after it helped that one to start."""
    fleet.lost = lambda _, to, word: isinstance(word, words.Prepare) and to in ("d01", "d02")
    fleet.propose("d04", NEW)
    assert fleet.run(1, lambda: "d00" in fleet.up["d04"].accord.leader.change.pledges)
    before = fleet.up["d00"].accord.kept.epoch
    fleet.kill("d00")
    fleet.start("d00", Kept())
    assert fleet.run(0.2, lambda: fleet.said("d00", "cleared"))
    assert before < fleet.up["d00"].accord.kept.epoch and not fleet.up["d00"].accord.kept.closed
    fleet.lost = lambda _, to, word: isinstance(word, words.Prepare) and to == "d02"
    assert fleet.run(0.2, reaches(fleet, "d04", "release")) and fleet.up["d00"].accord.kept.closed


@pytest.mark.parametrize("full", [False, True])
def test_a_voter_starts_again_between_its_promise_and_the_answer(fleet, full):
    fleet.up["d00"].full = full  # the promise is not even written
    fleet.lost = lambda sender, _, word: sender in ("d00", "d01") and isinstance(word, words.Promise)
    fleet.propose("d04", NEW)
    fleet.run(0.3)
    assert not fleet.highest and fleet.up["d04"].accord.leader.change.step == "close"
    assert (fleet.up["d00"].disk.promised == words.NONE) is full
    fleet.kill("d00")
    fleet.start("d00")
    fleet.heal()
    assert fleet.run(LONGEST, fleet.all(1))


def test_two_at_once_one_wins_and_the_other_is_told_who(fleet):
    fleet.propose("d03", NEW)
    fleet.propose("d04", OTHER)
    assert fleet.run(1, fleet.all(1))
    outcomes = sorted(fleet.up[name].accord.leader.last[1:2] for name in ("d03", "d04"))
    assert outcomes in ([("decided",), ("lost",)], [("decided",), ("refused",)])


def test_two_at_once_on_both_sides_of_a_cut(fleet):
    fleet.cut({"d00", "d03"}, {"d01", "d02", "d04"})
    fleet.propose("d03", OTHER)
    fleet.propose("d04", NEW)
    assert fleet.run(8, lambda: fleet.up["d04"].accord.holds(fleet.now) == 1)
    assert fleet.up["d03"].accord.holds(fleet.now) is None
    fleet.heal()
    assert fleet.run(2, fleet.all(1)) and fleet.up["d00"].accord.document == NEW
    assert fleet.up["d03"].accord.leader.last[1] in ("refused", "lost")


@pytest.mark.parametrize("until", ["check", "close", "release", "accept"])
def test_a_leader_that_is_heard_and_hears_nobody_holds_the_others_for_a_stated_time(fleet, until):
    fleet.propose("d04", NEW)
    if until != "check":
        assert fleet.run(1, reaches(fleet, "d04", until))
    fleet.lost = lambda sender, receiver, _: receiver == "d04"
    others = [process.accord for name, process in fleet.up.items() if name != "d04"]
    assert fleet.run(
        1.5 + 1.5 + 2 * LONGEST,
        lambda: len({accord.holds(fleet.now) for accord in others}) == 1 and fleet.now > 17 * SEC,
    )
    fleet.run(5)
    assert len({accord.holds(fleet.now) for accord in others} - {None}) == 1
    fleet.heal()
    assert fleet.run(2, fleet.all(fleet.highest))


def test_a_document_that_one_cannot_take_is_nowhere(fleet):
    fleet.unwilling = {("d02", NEW)}
    fleet.propose("d04", NEW)
    fleet.run(1)
    assert fleet.all(0)() and fleet.up["d04"].accord.leader.last == (1, "refused", "d04", "d02: not here")
    assert not any(fleet.said(name, "released") for name in fleet.names)
    fleet.unwilling = {("d04", NEW)}
    with pytest.raises(Refused, match="not here"):
        fleet.propose("d04", NEW)


def test_one_that_was_down_while_it_was_asked_says_that_it_cannot_take_what_is_decided(fleet):
    fleet.kill("d03")
    fleet.unwilling = {("d03", NEW)}
    fleet.propose("d04", NEW)
    assert fleet.run(LONGEST + 2.5, fleet.all(1))
    fleet.start("d03")
    fleet.run(2)
    assert fleet.up["d03"].accord.holds(fleet.now) is None
    assert fleet.up["d03"].accord.state(fleet.now)["unable"] == "not here"
    assert fleet.propose("d03", OTHER) == 2 and fleet.run(2, fleet.all(2))


def test_the_whole_fleet_dies_between_decision_and_news(fleet):
    fleet.lost = news_is_lost
    fleet.propose("d04", NEW)
    fleet.run(1, lambda: fleet.said("d04", "led"))
    fleet.kill(*fleet.names)
    fleet.heal()
    for name in fleet.names:
        fleet.start(name)
    assert fleet.run(0.5 + 1.5 + 1.5 + 1, fleet.all(1)) and fleet.up["d00"].accord.document == NEW


def test_licences_that_voters_forgot_are_waited_for(fleet):
    fleet.lost = told("d03")
    fleet.kill(*fleet.voters)
    for name in fleet.voters:
        fleet.start(name)
    end = fleet.now + fleet.up["d03"].accord.rest(fleet.now)
    fleet.run(1, lambda: fleet.up["d04"].accord.state(fleet.now)["cleared"] and fleet.said("d00", "licence"))
    fleet.propose("d04", NEW)
    assert fleet.run(2 * LONGEST, lambda: fleet.up["d04"].accord.holds(fleet.now) == 1) and fleet.now >= end


def test_a_licence_is_counted_from_before_it_was_asked_for(fleet):
    fleet.wait = lambda: SEC // 2
    fleet.kill("d03")
    fleet.start("d03")
    assert fleet.run(5, lambda: fleet.said("d03", "licence"))
    assert fleet.said("d03", "licence")[0]["rest"] < 2 * SEC


def test_what_a_holder_passes_over(fleet):
    """Grants for another life, of rounds before a release, and numbers older than its own."""
    holder, life = fleet.up["d03"].accord.holder, fleet.up["d03"].life
    grant = words.Grant(life, holder.round, 0, "", 1, 1)
    ((to, released),) = answers(fleet, "d03", "d04", words.Release((1, "d04", 5), 1))
    assert (to, released) == ("d04", words.Released((1, "d04", 5), 1)) and holder.holds(fleet.now) is None
    for name in fleet.voters:
        answers(fleet, "d03", name, grant)
    assert holder.holds(fleet.now) is None
    holder.begin(fleet.now)
    for name in fleet.voters:
        answers(fleet, "d03", name, grant.but(life=life + 1, round=holder.round))
    assert holder.holds(fleet.now) is None
    for name in fleet.voters[:2]:
        answers(fleet, "d03", name, grant.but(round=holder.round))
    assert holder.holds(fleet.now) == 0
    answers(fleet, "d03", "d04", words.Decided(3, ""))
    answers(fleet, "d03", "d04", words.Decided(2, words.digest_of(NEW)))
    assert fleet.up["d03"].accord.number == 3


def test_what_a_voter_refuses(fleet):
    """Ballots lower than promised, and a second leader while the first is heard."""
    kept, first, second = lambda: fleet.up["d00"].accord.kept, (2, "d04", 5), (3, "d03", 4)
    total, accept = fleet.up["d00"].accord.sum, words.Accept((1, "d04", 5), 1, "")
    assert isinstance(answers(fleet, "d00", "d04", words.Prepare(first, 1, "", total))[0][1], words.Promise)
    for message in (words.Prepare((1, "d03", 4), 1, "", total), words.Prepare(second, 1, "", total), accept):
        ((_, word),) = answers(fleet, "d00", "d03", message)
        assert word.leader == first and kept().promised == first and kept().accepted == words.NONE
    ((_, word),) = answers(fleet, "d00", "d03", words.Ask(1, 0, "", total))
    assert (word.why, word.ballot) == ("closed", first)
    fleet.up["d00"].accord.voter.leader_heard -= 2 * SEC
    assert isinstance(answers(fleet, "d00", "d03", words.Prepare(second, 1, "", total))[0][1], words.Promise)
    ((_, word),) = answers(fleet, "d00", "d03", words.Prepare((1, "d03", 4), 1, "", total))
    assert word.leader == second and kept().promised == second
    answers(fleet, "d00", "d03", words.Yields(second, 1, True))
    assert kept().closed  # the first may have gone further
    answers(fleet, "d00", "d03", accept.but(ballot=second))
    answers(fleet, "d00", "d04", words.Yields(second, 1, True))
    assert kept().closed and kept().accepted == second


def test_a_leader_counts_answers_to_its_own_ballot_alone_and_says_what_it_asked_for(fleet):
    fleet.stop("d03")
    fleet.propose("d04", NEW)
    fleet.run(3, reaches(fleet, "d04", "release"))
    leader = fleet.up["d04"].accord.leader
    fleet.run(0.1)
    released, life = words.Released(leader.change.ballot, 1), fleet.up["d03"].life
    for word, of in ((released.but(ballot=(1, "d04", 99)), life), (released, life + 1)):
        answers(fleet, "d04", "d03", word, of)
        assert leader.change.step == "release"
    answers(fleet, "d04", "d03", released, life)
    fleet.run(1, reaches(fleet, "d04", "accept"))
    assert leader.change.step == "accept"
    leader.stop("of the test", fleet.now)
    assert leader.yielding.void is False and leader.proposed == (1, words.digest_of(NEW))


def test_two_lives_of_one_name(fleet):
    """The old one may go on while the new one, of the same name, gives up at once."""
    old = fleet.up["d03"]
    fleet.run(0.2)
    fleet.start("d03")
    fleet.run(0.5, fleet.all(0))
    end = fleet.now + old.accord.rest(fleet.now)
    fleet.propose("d04", NEW)
    assert fleet.run(LONGEST, fleet.all(1)) and fleet.now >= end


def test_a_drain_withdraws_what_nobody_promised(fleet):
    fleet.propose("d04", NEW)
    fleet.up["d04"].accord.leave(fleet.now)
    fleet.run(1)
    assert fleet.all(0)() and fleet.up["d04"].accord.leader.last[1] == "withdrawn"


def test_what_a_leader_gave_up_is_granted_again_unless_another_may_have_gone_further(fleet):
    fleet.lost = lambda _, __, word: isinstance(word, words.Promise)
    fleet.propose("d04", NEW)
    fleet.run(0.1, lambda: fleet.said("d01", "closed"))
    fleet.up["d04"].accord.leader.stop("of the test", fleet.now)
    fleet.up["d04"].wake()
    fleet.heal()
    fleet.run(1)
    assert fleet.all(0)() and fleet.said("d01", "open again") and not fleet.up["d01"].accord.kept.closed


def test_noise_and_figures_that_no_member_says_are_passed_over():
    ask = words.Ask(1, 0, "", 7)
    assert words.decoded(words.encoded(ask)) == ask
    for noise in (
        b"",
        b"x",
        msgspec.msgpack.encode(["nothing", 1]),
        b"\x00" * 1500,
        words.encoded(words.Accept((1, "n" * 200, 1), 1, "")),
        words.encoded(ask.but(round=-1)),
        words.encoded(ask.but(digest="d" * 33)),
    ):
        with pytest.raises(words.Noise):
            words.decoded(noise)


def test_no_holder_is_lost_from_a_promise(fleet):
    """Long names: in pieces that fit a datagram; one that fits none counts as one that was forgotten."""
    voter_, said = fleet.up["d00"].accord.voter, []
    voter_.home.say = lambda name, word, durable: said.append(word)
    voter_.holders = {(f"{at:03}" + "n" * 125, at): fleet.now + SEC for at in range(100)}
    voter_.holders["\U0001f41d" * 400, 7] = fleet.now + 2 * SEC
    voter_.prepare("d04", words.Prepare((1, "d04", 5), 1, "", 0), fleet.now)
    assert all(len(words.encoded(word)) <= words.MOST for word in said) and len(said) == said[0].of
    assert len({holder[:2] for word in said for holder in word.holders}) == 100
    assert all(word.blind == 2 * SEC for word in said)
