"""Defects put in on purpose, to see that the watch finds them: each replaces one method of the program
while it is applied.  A mutant that no swarm finds is a missing invariant."""

from contextlib import contextmanager

from juniperlanding import choice
from juniperlanding.net import endpoints, ledger, notices, owner

MUTANTS = {}


def mutant(where, name):
    def keep(function):
        MUTANTS[function.__name__] = (where, name, function)
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


FLUSH, UNANSWERED = ledger.Ledger.flush, endpoints.Endpoints.finish_unanswered


@mutant(ledger.Ledger, "flush")
def ledger_written_a_round_late(self):
    """A client hears yes before its notification is on disk."""
    late = self.__dict__.setdefault("late", []) if hasattr(self, "__dict__") else []
    late.append(list(self.unwritten))
    self.unwritten.clear()
    if len(late) > 3:
        self.unwritten.extend(record for records in late for record in records)
        late.clear()
        FLUSH(self)


@mutant(choice, "repeats_until")
def once_only_goes_again(ntf):
    """A once-only push that may have run is sent again."""
    return 1 << 62


@mutant(choice.RetryAfter, "on_outcome")
def told_wait_ignored(self, push, ending, latency, wait, report):
    """An endpoint says when to come again, and nobody listens."""
    return choice.RetryAfter.__mro__[1].on_outcome(self, push, ending, latency, 0, report)


@mutant(endpoints.Endpoints, "recall")
def calls_not_recalled(self, endpoints_):
    """A wait or drain comes, and what still connects arrives all the same."""


@mutant(owner.DecisionLoop, "on_list_news")
def drains_not_told(self, news, members):
    """The module never hears that an endpoint drains."""
    ready = [((*entry[:5], "ready"), address) for entry, address in members]
    return ON_LIST_NEWS(self, news, ready)


ON_LIST_NEWS = owner.DecisionLoop.on_list_news


@mutant(owner.DecisionLoop, "restore")
def ledger_not_read_at_start(self, notification):
    """What an earlier process took on is forgotten."""


@mutant(ledger.LedgerState, "apply")
def may_have_run_forgotten_in_the_ledger(self, record, size=0):
    """Which pushes may have run is lost over a restart."""
    return APPLY(self, record, size) if record[0] != "p" else None


APPLY = ledger.LedgerState.apply


@mutant(notices.Notices, "add")
def notices_dropped_when_many(self, ntf_id, outcome, retry_ms):
    """The fourth notice that is due at once is lost."""
    if len(self.due) < 3:
        ADD(self, ntf_id, outcome, retry_ms)


ADD = notices.Notices.add


@mutant(notices.Notices, "run")
async def notices_tried_once(self):
    """A notice that the platform did not take is not posted again."""
    while True:
        while self.due:
            due = self.next_batch()
            status, posted = await self.post()
            if status == 204:
                await self.confirm(posted)
            for ntf_id in due:
                self.due.pop(ntf_id, None)
        self.added = type(self.added)()
        await self.added.wait()


@mutant(choice.Dispatcher, "abandon")
def given_up_is_held_back(self, ntf):
    """What can no longer go keeps waiting until its TTL."""
    if self.now >= ntf.ttl_at:
        ABANDON(self, ntf)


ABANDON = choice.Dispatcher.abandon


@mutant(owner.DecisionLoop, "call_at")
def some_timers_lost(self, at, function, *fields):
    """One host timer in four is forgotten."""
    if at and (self.timers.sequence + 1) % 4:
        CALL_AT(self, at, function, *fields)
    else:
        self.timers.sequence += 1


CALL_AT = owner.DecisionLoop.call_at


@mutant(choice.EndpointSelection, "on_outcome")
def slot_leaks_after_a_timeout(self, push, ending, latency, wait, report):
    """A call that timed out keeps its slot in the books."""
    out = self.state.slots_out
    ON_OUTCOME(self, push, ending, latency, wait, report)
    if ending == "timeout":
        self.state.slots_out = out


ON_OUTCOME = choice.EndpointSelection.on_outcome


@mutant(choice.ConcurrencyLimit, "admit")
def slots_not_counted(self, push):
    """More calls go out than there are slots."""
    push.candidates = [e for e in push.ntf.destination.endpoints if e.state == "ready"]
    return choice.PASS if push.candidates else choice.KEEP


@mutant(owner.DecisionLoop, "check_after_ttl")
def ids_remembered_for_ever(self, ntf_id, had_turn=False):
    """The ids of what is over are never let go."""


@mutant(endpoints.Endpoints, "outcome_of")
def server_error_told_as_throttled(status, headers, many):
    """A 500, which may have run, is told as never run."""
    return "throttled" if status >= 500 else ENDING(status, headers, many)


ENDING = endpoints.Endpoints.outcome_of
server_error_told_as_throttled = staticmethod(server_error_told_as_throttled)
MUTANTS["server_error_told_as_throttled"] = (
    endpoints.Endpoints,
    "outcome_of",
    server_error_told_as_throttled,
)


@mutant(endpoints.Endpoints, "finish_unanswered")
async def broken_calls_told_as_never_run(self, call):
    """A connection that broke after the request is told as never run."""
    call.written, call.connect_tried = False, True
    await UNANSWERED(self, call)


@mutant(owner.DecisionLoop, "submit")
def same_id_runs_again(self, topic, destination, ttl_at, key, body, answer, *keys):
    """An id that is over and comes again is taken on once more."""
    self.known_ids.forget(answer.ntf_id)
    return SUBMIT(self, topic, destination, ttl_at, key, body, answer, *keys)


SUBMIT = owner.DecisionLoop.submit
