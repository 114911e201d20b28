"""Defects of the accord put in on purpose, to see which search finds each: each replaces one method of the
program while it is applied.  One that nothing finds is a missing check."""

from contextlib import contextmanager
from dataclasses import replace

from juniperlanding.accord import accord, holder, leader, voter, words
from juniperlanding.accord.words import NONE

MUTANTS = {}


def mutant(where, name, of=lambda function: function):
    def keep(function):
        MUTANTS[function.__name__] = (where, name, of(function))
        return function

    return keep


@contextmanager
def applied(name):
    """Put one in for a while; "" for none."""
    if not name:
        yield
        return
    where, attribute, function = MUTANTS[name]
    before = where.__dict__[attribute]
    setattr(where, attribute, function)
    try:
        yield
    finally:
        setattr(where, attribute, before)


def aside(where, name):
    """The sound method, for a defect that calls it."""
    return where.__dict__[name]


# ---- what is written down

VOTER_INIT, PREPARE, YIELDS = (
    aside(voter.Voter, "__init__"),
    aside(voter.Voter, "prepare"),
    aside(voter.Voter, "yields"),
)
ACCORD_INIT, HEARD, ACCEPT = (
    aside(accord.Accord, "__init__"),
    aside(accord.Accord, "heard"),
    aside(voter.Voter, "accept"),
)


@mutant(voter.Voter, "say")
def said_before_written(self, name, message):
    """A voter's words leave before its record is on disk."""
    self.home.say(name, message)


@mutant(accord.Accord, "__init__")
def promise_not_written(self, name, life, voters, kept, *rest):
    """What was promised is lost over a restart."""
    ACCORD_INIT(self, name, life, voters, kept.but(promised=NONE, owed=False, open=False), *rest)


@mutant(accord.Accord, "__init__")
def accepted_not_written(self, name, life, voters, kept, *rest):
    """What was accepted is lost over a restart."""
    ACCORD_INIT(self, name, life, voters, kept.but(accepted=NONE, accepted_digest=""), *rest)


@mutant(voter.Voter, "__init__")
def folder_believed_at_start(self, home, now):
    """A voter votes by its folder at once, whatever copy it is."""
    VOTER_INIT(self, home, now)
    self.cleared = True
    home.known = home.kept.number, home.kept.digest


@mutant(voter.Voter, "recalled")
def objections_ignored(self, source, message, now):
    """That others heard more from this voter than its folder holds is passed over, and what they have too."""
    if not self.cleared and message.epoch == self.home.kept.epoch:
        self.answers[source] = words.Recalled(message.epoch, 0, 0, message.voter, False, own=message.own)
        self.clear(now)


@mutant(leader, "agreeing")
def answers_of_lost_lives_count(answers):
    """An answer counts although its voter lost it since."""
    return set(answers)


@mutant(voter.Voter, "__init__")
def blind_rest_dropped(self, home, now):
    """A voter that starts says that it forgot no grant."""
    VOTER_INIT(self, home, now)
    self.blind_until = now


# ---- ballots


@mutant(voter.Voter, "prepare")
def lower_ballot_promised(self, source, message, now):
    """A ballot below the promised one is promised too."""
    if self.cleared and not self.passed(source, message):
        self.home.write(promised=message.ballot, owed=True, open=False)
        self.promise(source, message, now)


@mutant(voter.Voter, "accept")
def lower_ballot_accepted(self, source, message, now):
    """A ballot below the promised one is accepted."""
    if self.home.kept.promised > message.ballot:
        self.home.kept = self.home.kept.but(promised=message.ballot)
    ACCEPT(self, source, message, now)


@mutant(voter.Voter, "prepare")
def accepted_cleared_by_a_promise(self, source, message, now):
    """A promise for a higher ballot forgets what was accepted: a decided text is taken back."""
    if self.cleared and message.ballot > self.home.kept.promised:
        self.home.kept = self.home.kept.but(accepted=NONE, accepted_digest="")
    PREPARE(self, source, message, now)


@mutant(leader.Leader, "closed")
def accepted_ignored_by_a_new_leader(self, change, now):
    """What a promise brings along is not finished."""
    self.step(change, "release", now)


@mutant(leader.Leader, "close")
def ballot_not_raised(self, change, now):
    """Every change of a process has one and the same ballot."""
    change.ballot = 1, self.home.name, self.home.life
    self.step(change, "close", now)


@mutant(leader.Leader, "close")
def ballots_of_all_alike(self, change, now):
    """A ballot does not say who leads it."""
    self.home.round = max(self.home.round, self.home.kept.promised[0]) + 1
    change.ballot = self.home.round, "", 0
    self.step(change, "close", now)


@mutant(accord.Accord, "heard")
def majority_of_the_view(self, source, life, message, now):
    """Of the voters those count that seem to be there."""
    self.majority = len({self.name, *self.members} & set(self.voters)) // 2 + 1
    HEARD(self, source, life, message, now)


@mutant(accord.Accord, "heard")
def one_voter_too_few(self, source, life, message, now):
    """Half of the voters are taken for a majority."""
    self.majority = len(self.voters) // 2
    HEARD(self, source, life, message, now)


# ---- licences

GRANTED, GIVE_UP, WHY_NOT = (
    aside(holder.Holder, "granted"),
    aside(holder.Holder, "give_up"),
    aside(voter.Voter, "why_not"),
)


@mutant(holder.Holder, "granted")
def licence_counted_from_the_answer(self, source, message, now):
    """A licence begins when the last grant comes, not when the first ask left."""
    if message.round in self.rounds:
        self.rounds[message.round] = now, self.rounds[message.round][1]
    GRANTED(self, source, message, now)


@mutant(holder.Holder, "granted")
def grants_of_two_rounds_add_up(self, source, message, now):
    """Grants of any round count for the last."""
    if message.round in self.rounds:
        GRANTED(
            self,
            source,
            words.Grant(
                message.life,
                self.round,
                *[getattr(message, field) for field in message.__struct_fields__[2:]],
            ),
            now,
        )


@mutant(holder.Holder, "granted")
def grants_of_an_older_life_count(self, source, message, now):
    """A restarted process takes the answers to its earlier life for its own."""
    GRANTED(
        self,
        source,
        words.Grant(self.home.life, *[getattr(message, field) for field in message.__struct_fields__[1:]]),
        now,
    )


@mutant(accord.Tuning, "shortest", property)
def margin_dropped(self):
    """A holder counts on the whole licence, whatever the drift of its clock."""
    return self.licence


@mutant(accord.Tuning, "longest", property)
def voters_margin_dropped(self):
    """A voter fears a licence no longer than it is."""
    return self.licence


@mutant(holder.Holder, "give_up")
def late_grant_accepted(self, now):
    """Rounds that were begun before a release still count."""
    rounds = self.rounds
    GIVE_UP(self, now)
    self.rounds = rounds


@mutant(holder.Holder, "release")
def released_in_words_only(self, source, message, now):
    """A holder says that it gave up, and goes on."""
    self.home.say(source, words.Released(message.ballot, message.number))


@mutant(voter.Voter, "why_not")
def grants_while_closed(self, source, life, message, now):
    """A voter that promised the next number still grants the last."""
    why = WHY_NOT(self, source, life, message, now)
    return "" if why == "closed" else why


@mutant(voter.Voter, "why_not")
def grants_any_number(self, source, life, message, now):
    """A voter grants the number that it is asked for."""
    why = WHY_NOT(self, source, life, message, now)
    return "" if why == "number" and message.number >= 0 else why


@mutant(voter.Voter, "why_not")
def roster_ignored(self, source, life, message, now):
    """Who is not on the roster gets a licence."""
    why = WHY_NOT(self, source, life, message, now)
    return "" if why == "not on the roster" else why


# ---- the change

PROMISE, RELEASED, CLOSED, END, LEARN = (
    aside(voter.Voter, "promise"),
    aside(leader.Leader, "released"),
    aside(leader.Leader, "closed"),
    aside(leader.Leader, "end"),
    aside(accord.Accord, "learn"),
)


@mutant(leader.Pledge, "clean")
def switch_before_the_last_release(self, now):
    """A leader does not wait for holders."""
    return self.blind_until <= now


@mutant(voter.Voter, "promise")
def holders_list_forgotten(self, source, message, now):
    """A promise does not say who holds a licence."""
    self.holders = {}
    PROMISE(self, source, message, now)


@mutant(leader.Leader, "released")
def released_by_name(self, source, life, message, now):
    """One life's release counts for the other life of its name."""
    change = self.change
    if change and message.ballot == change.ballot:
        for pledge in change.pledges.values():
            for name, its in list(pledge.holders):
                if name == source and its != life:
                    RELEASED(self, source, its, message, now)
        if self.change is change:
            RELEASED(self, source, life, message, now)


@mutant(leader.Leader, "closed")
def kept_without_waiting(self, change, now):
    """Who takes a change back does not wait for holders."""
    CLOSED(self, change, now)
    if not change.own and change.step == "release":
        self.step(change, "accept", now)


@mutant(leader.Leader, "take_over")
def taken_over_by_another_text(self, now):
    """Who takes over decides by itself, without asking the voters for promises."""
    self.change = leader.Change(
        self.home.holder.number + 1, self.home.holder.digest, False, now, now + self.home.tuning.give_up
    )
    self.home.round += 1
    self.change.ballot = self.home.round, self.home.name, self.home.life
    self.step(self.change, "accept", now)


@mutant(voter.Voter, "yields")
def opened_though_owed(self, message, now):
    """A number is granted again although an earlier promise closed it."""
    self.home.kept = self.home.kept.but(owed=False)
    YIELDS(self, message, now)


@mutant(leader.Leader, "end")
def opened_after_accept(self, outcome, why):
    """A leader that asked to accept says that it asked nobody."""
    self.change = replace(self.change, step="release")
    END(self, outcome, why)


@mutant(accord.Accord, "learn")
def older_news_taken(self, number, digest, source, now):
    """News of an older number is taken up like news of a newer one."""
    if 0 <= number < self.known[0]:
        self.known = number - 1, ""
        self.holder.number = number - 1
    LEARN(self, number, digest, source, now)


@mutant(accord.Accord, "learn")
def number_reused(self, number, digest, source, now):
    """Another text for the number in force is taken up under that number."""
    if number == self.known[0] and digest != self.known[1]:
        self.known = number - 1, ""
        self.holder.number = number - 1
    LEARN(self, number, digest, source, now)


@mutant(holder.Holder, "tick")
def licence_without_an_end(self, now):
    """A licence is renewed by the holder itself."""
    if self.had:
        self.until = max(self.until, now + self.home.tuning.again)
    TICK(self, now)


TICK = aside(holder.Holder, "tick")
