"""The oracle of a soak: which promises its history breaks.  No I/O.

Each rule is a function from a `History` to findings; `judged` asks all of them.  A restart excuses what is
due until 1.5 s after the process is ready again; nothing else but the rig's own lateness is excused."""

from bisect import bisect_left
from dataclasses import dataclass
from math import sqrt

from juniperlanding.soak.history import instance_of
from juniperlanding.standins.audit import MS, SEC, TAKEN_ON
from juniperlanding.standins.clients import TOPICS

MARGIN = 200 * MS  # a process may be held for 0.15 s, and a machine is busy for a moment
TOLD_WITHIN = 100 * MS  # calls that come so soon after a wait or a drain are let through
AFTER_RESTART = 1500 * MS
READY_WITHIN, SLOWEST_READY, SHARE_READY = 10 * SEC, 30 * SEC, 0.9
END_WITHIN = 8 * SEC  # after SIGTERM; SIGKILL comes at 3.7 s at the soonest
CLEAN_EXITS = frozenset({0, 1})  # 1: the last records could not be written
REFUSED = (429, 503)
EARLY = 0.7  # of its TTL
TIME_IS_UP = 150 * MS  # before its TTL a message counts as over
UNWRITTEN = 100 * MS  # before a process's end a delivery may not be written down
MOST_UNHEARD = 2  # requests on new connections that one instance may leave unanswered for 0.4 s
WINDOWS = {topic.name: topic.window for topic in TOPICS if topic.window}


@dataclass(frozen=True)
class Slow:
    """The settings of slow start, as the instances are told them."""

    limit: float = 20.0  # calls a second of one endpoint
    start: float = 0.2
    warm: float = 8.0
    factor: float = 2.0
    fall: float = 2.0
    outage: float = 1.5  # shorter ones are no cold return


@dataclass(frozen=True)
class Finding:
    """A broken rule; `subject` is an id, an instance or an endpoint."""

    rule: str
    subject: str
    text: str

    def __str__(self):
        return f"{self.rule}: {self.subject}: {self.text}"


def seconds(span):
    """A span as people read it."""
    return f"{span / SEC:.2f} s"


def excused_until(history, instance, due):
    """Until when a restart excuses an end that was due at a time."""
    until = due
    for life, later in zip(history.lives[instance], history.lives[instance][1:] + [None], strict=True):
        left_at = min(at for at in (life.told_to_end_at or 1 << 62, life.ended_at or 1 << 62))
        warming_since = later.ready_at if later else 0
        if left_at <= until and later:
            until = max(until, (warming_since or 1 << 62) + AFTER_RESTART)
    return until


def call_times(history):
    """id: [(at, endpoint)] of all calls that carried it."""
    found = {}
    for call in history.calls:
        for ntf_id in call.ids:
            found.setdefault(ntf_id, []).append((call.at, call.endpoint))
    return found


def link_met(history, endpoint, begin, end):
    """Whether the link to an endpoint misbehaved in a span of time."""
    return any(span.meets(begin, end) for span in history.links.get(endpoint, ()))


def ends(history, now):
    """Each 202 has one end, in its time; what was refused never ran."""
    calls = call_times(history)
    for record in history.audit.records.values():
        instance, due = instance_of(record.id), record.due + MARGIN
        outcomes = {outcome for outcome, _ in record.notices}
        if record.status == TAKEN_ON:
            ended = [at for at in (record.delivered_at, *(at for _, at in record.notices)) if at]
            first = min(ended, default=None)
            if (first or now) > due and (first or now) > excused_until(history, instance, due) + MARGIN:
                text = "has no end" if first is None else f"ended {seconds(first - record.due)} late"
                yield Finding("lost", record.id, text)
            if len(outcomes) > 1:
                yield Finding("answered twice", record.id, f"noticed {sorted(outcomes)}")
            yield from after_its_end(record, calls.get(record.id, ()))
            yield from untried(history, record, calls.get(record.id, ()))
            yield from told_twice(history, record, calls.get(record.id, ()))
        elif record.status in REFUSED and (record.id in calls or record.notices):
            yield Finding("answered twice", record.id, f"refused with {record.status}, and went on")


def after_its_end(record, calls):
    """Calls that came after a notice of the message's end."""
    if record.notices:
        noticed_at = record.notices[0][1]
        late = [at for at, _ in calls if at > noticed_at + TOLD_WITHIN + MARGIN]
        if late:
            yield Finding("sent on after its end", record.id, seconds(late[0] - noticed_at))


def untried(history, record, calls):
    """A message that was given up early, and no call was made for it, nor lost on its way.

    Behind its proxy an endpoint that is down takes connections, and what is written to them is lost."""
    for outcome, at in record.notices:
        if any(link_met(history, endpoint, record.handed_at, at) for endpoint in history.links):
            continue
        if any(span.meets(record.handed_at, at) for spans in history.outages.values() for span in spans):
            continue
        if outcome == "given_up" and not calls and at < record.handed_at + record.ttl * EARLY:
            yield Finding("given up untried", record.id, f"{seconds(at - record.handed_at)} after its yes")


def told_twice(history, record, calls):
    """A notice after a delivery in time, though the message's time was not up.

    Heard only as its time is up, a delivery ends it for nobody, and a notice too many does no harm."""
    delivered_at = record.delivered_at
    if (
        record.id in history.doubtful
        or not delivered_at
        or any(link_met(history, endpoint, at, delivered_at) for at, endpoint in calls)
    ):
        return
    instance = instance_of(record.id)
    if any(span.meets(delivered_at, delivered_at) for span in history.disks.get(instance, ())):
        return  # its end could not be written down; a later notice does no harm
    lives = history.lives[instance]
    if any(0 <= life.ended_at - delivered_at < UNWRITTEN for life in lives if life.ended_at):
        return  # heard in its process's last moment, and not written down
    for outcome, at in record.notices:
        is_late = at >= record.handed_at + record.ttl - TIME_IS_UP - MARGIN
        if at > delivered_at + TOLD_WITHIN and not (outcome == "given_up" and is_late):
            yield Finding(
                "answered twice", record.id, f"{outcome} {seconds(at - delivered_at)} after its delivery"
            )


def runs(history, now):
    """No once-only message runs twice, and none that may be repeated for a while runs past that."""
    calls = call_times(history)
    for record in history.audit.records.values():
        ran_at = history.audit.ran_at.get(record.id, ())
        if record.kind == "once-only" and record.ran > 1:
            yield Finding("ran twice", record.id, f"{record.ran} times")
        if record.topic in WINDOWS and len(ran_at) > 1:
            over = ran_at[-1] - ran_at[0] - WINDOWS[record.topic]
            met = (link_met(history, endpoint, ran_at[0], ran_at[-1]) for _, endpoint in calls[record.id])
            if over > MARGIN and not any(met):
                yield Finding("past its window", record.id, seconds(over))


def restarted_between(history, instance, begin, end):
    """Whether a process of an instance started within a span of time."""
    return any(begin <= life.started_at <= end for life in history.lives[instance])


def waits(history, now):
    """No call while the wait that an endpoint told an instance lasts."""
    by_pair = {}
    for call in history.calls:
        by_pair.setdefault((call.endpoint, call.instance), []).append(call.at)
    for told in history.waits:
        times = by_pair.get((told.endpoint, told.instance), ())
        begin = told.at + TOLD_WITHIN + MARGIN
        at = next(iter(times[bisect_left(times, begin) :]), None)
        if at is None or at >= told.until or link_met(history, told.endpoint, told.at, at):
            continue
        if not restarted_between(history, told.instance, told.at, at):
            yield Finding("wait", told.instance, f"called {told.endpoint} {seconds(told.until - at)} early")


def drains(history, now):
    """No call to an endpoint that the list told an instance to leave."""
    for call in history.calls:
        for revision, span in history.drains.get(call.endpoint, ()):
            told = [at for at, number in history.told.get(call.instance, ()) if number >= revision]
            since = min(told, default=1 << 62) + TOLD_WITHIN + MARGIN
            if since < call.at < span.end and not link_met(history, call.endpoint, span.begin, call.at):
                text = f"called {call.endpoint} {seconds(call.at - since)} after its drain was told"
                yield Finding("drain", call.instance, text)


def allowed(since, slow):
    """The calls that the settings allow in the time of a fall that begins so long after a return."""
    steps = [since + slow.fall * (step + 0.5) / 20 for step in range(20)]
    levels = [slow.start + (1 - slow.start) * min(1.0, age / slow.warm) for age in steps]
    return slow.factor * slow.limit * slow.fall * sum(levels) / len(levels)


def with_chance(calls):
    """What is put down to chance, as the page has it."""
    return calls + (3 * sqrt(calls) + 3 if calls < 30 else 2 * sqrt(calls) + 2)


def slow_start(history, now, slow=None):
    """An endpoint that returns from an outage is not pushed over by all instances together."""
    slow = slow or Slow()
    for endpoint, outages in history.outages.items():
        for outage in outages:
            if outage.end - outage.begin < slow.outage * SEC:
                continue
            until = outage.end + slow.warm * SEC
            came = [call.at for call in history.calls if call.endpoint == endpoint]
            came = [(at - outage.end) / SEC for at in came if outage.end <= at <= until]
            for last in came:
                inside = sum(last - slow.fall < at <= last for at in came)
                most = with_chance(allowed(max(0.0, last - slow.fall), slow))
                if inside > most:
                    text = f"{inside} calls within {slow.fall} s at {last:.1f} s, {most:.1f} allowed"
                    yield Finding("slow start", endpoint, text)
                    break


def is_serving(history, instance, begin, end):
    """Whether one process of an instance was ready, and not told to end, for a whole span."""
    return any(
        life.ready_at
        and life.ready_at <= begin
        and end <= (life.told_to_end_at or 1 << 62)
        and end <= (life.ended_at or 1 << 62)
        for life in history.lives[instance]
    )


def answers(history, now):
    """Each request on a new connection is answered, half of one is ended in time."""
    for instance, begin, end in history.unanswered:
        span = [at for life in history.lives[instance] for at in (life.ended_at,) if at]
        if not any(begin - MARGIN <= at <= end + MARGIN for at in span):
            yield Finding("unanswered", instance, f"a new connection ended after {seconds(end - begin)}")
    slow = {}
    for instance, begin, end in history.unheard:
        if is_serving(history, instance, begin - MARGIN, end + MARGIN):
            slow.setdefault(instance, []).append(begin)
    for instance, begins in slow.items():
        if len(begins) > MOST_UNHEARD:
            yield Finding("unheard", instance, f"{len(begins)} new connections got no answer within 0.4 s")
    for instance, begin, end in history.kept_waiting:
        yield Finding("half a request", instance, f"neither answered nor closed in {seconds(end - begin)}")


def processes(history, now):
    """Starts in time, ends as asked, within its bounds, with no rule counted as broken by itself."""
    lives = [(name, life) for name, all_lives in history.lives.items() for life in all_lives]
    took = [(life.ready_at or life.ended_at or now) - life.started_at for _, life in lives]
    slow = sum(each > READY_WITHIN for each in took)
    if took and (max(took) > SLOWEST_READY or slow > (1 - SHARE_READY) * len(took)):
        yield Finding(
            "ready", "all", f"{slow} of {len(took)} starts took over 10 s, {seconds(max(took))} at most"
        )
    for name, life in lives:
        if life.exit_code is not None and not life.was_killed:
            if not life.told_to_end_at or life.exit_code not in CLEAN_EXITS:
                yield Finding("crash", name, f"ended with {life.exit_code}")
            elif life.ended_at - life.told_to_end_at > END_WITHIN:
                yield Finding("end", name, seconds(life.ended_at - life.told_to_end_at))
    for name, lines in history.violations.items():
        yield from (Finding("counted by itself", name, line) for line in lines)


def bounds(history, now, sockets=256, memory=64 << 20):
    """Descriptors and memory stay within their limits."""
    for name, (most_files, most_memory) in history.peaks.items():
        if most_files > sockets or most_memory > memory:
            yield Finding("bounds", name, f"{most_files} descriptors, {most_memory >> 20} MB")


RULES = (ends, runs, waits, drains, slow_start, answers, processes, bounds)


def judged(history, now):
    """All findings, by rule."""
    return [finding for rule in RULES for finding in rule(history, now)]
