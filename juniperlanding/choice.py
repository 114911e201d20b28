"""The decision module: every decision of one dispatcher, without I/O and without a clock.

Build `Dispatcher(host, settings, seed, now)` with a host as in `interface.Host` and call `start()`.  Then, in
each iteration of the decision loop, set `now`, hand in the events (`update_endpoints`, `notification`,
`outcome`, `withdraw`, `note`, `wake`, `plan_stop`) and call `decide()`.  Settings are a plain map (README);
docs/design.md has each exception.

All times and durations are whole nanoseconds unless a name or a comment says otherwise."""

from math import ceil, exp, log
from statistics import fmean, median
from zlib import crc32

from juniperlanding.state import Call, Destination, Endpoint, Instance, Notification, Push, Route

MS = 1_000_000
SEC = 1_000_000_000

# Latency forecast and time-out
TIMEOUT_ERROR_FACTOR = 2  # time-out = forecast + this * root mean square error
# The time-out doubles whenever a push times out, until one is delivered: 16 times the forecast at most.
MAX_TIMEOUT_DOUBLINGS = 4
INITIAL_TIMEOUT = 45 * SEC  # generous, until there are enough samples
MIN_TIMEOUT = 1 * SEC  # floor of topic types without a latency objective
MIN_SAMPLES = 3  # deliveries before a forecast counts
RECENT_SAMPLES = 10  # window of the predictors that look at recent samples only
EWMA_WEIGHT = 0.2  # weight of the newest sample in exponentially weighted means

# Retries of one notification
RETRY_SPACING = 100 * MS  # pause before the second push, doubled for each further one
MAX_RETRY_SPACING = 3 * SEC
# A collapsible's window is taken as shorter by one part in so many, for the time of travel.
TRANSIT_MARGIN_DIVISOR = 20
# By so much it is shorter at least: the process may be held up between its last look at the clock and the
# write, and what it writes then still has to travel.
MAX_HOLD_UP = 150 * MS
MIN_TRANSIT_MARGIN = 20 * MS
REPEAT_LEAD = 200 * MS  # a time-out comes so long before the end of a window, for the pauses before a repeat

# Overdue and lost pushes
OVERDUE_FACTOR = 4  # overdue after forecast + OVERDUE_FACTOR * root mean square error
MIN_OVERDUE = 2500 * MS
ONCE_ONLY_LOST_FACTOR = 2  # once-only calls are given so many times longer before their slot may be reclaimed

# Outlier detection
FAILURE_SCORE_STEP = 0.4  # weight of one failure in its endpoint's failure score
OWN_LOSS_STEP = 0.03  # weight of one call in this dispatcher's own share of failures over all endpoints
MIN_FAILURE_RUN = 3  # failures in a row before an endpoint is ejected, at least
MAX_CHANCE_OF_RUN = 0.001  # and a run that is less likely than this by this dispatcher's own losses
MIN_EJECTION = 1 * SEC  # until the first probe, plus a random part of EJECTION_JITTER
EJECTION_JITTER = 500 * MS
PROBE_SLOT = 300 * MS  # at most: probes of different dispatchers take turns in slots of this length
MIN_OUTAGE = 1500 * MS  # an endpoint that failed for a shorter time comes back without slow start
SHUT_AFTER = 2500 * MS  # a route that did nothing but throttle for so long counts as failing
PAUSE_GROWTH = 10  # the pause before the next push grows by this factor with each failure in a row
UNRESPONSIVE_AFTER = 500 * MS  # a push that fails later than this met silence, not a refusal

# Delivery rates
DELIVERY_RATE_SPAN = 30 * SEC  # time constant of the rate of deliveries to a destination
TENANT_BURST_SPAN = 10 * SEC  # a tenant's unused allowance of so long may be used at once

# Slow start of an endpoint that comes back
SLOW_START_SHARE = 0.8  # of the rate that the rule allows; the rest is a margin
UNSURE_WARMED_DIVISOR = 3  # after few failures, one part in so many of the outage counts as slow start done
# Calls of all dispatchers within `fall_within`, the time of overload that brings an endpoint down.  Up to
# here the tolerance for chance, 2 * root + 2, covers them.
MANY_CALLS = 8

# Connections that break when idle: those idle for over one part in so many of such a time are closed before a
# call.
STALE_DIVISOR = 4

# Rest of a route after throttling
THROTTLE_REST = 250 * MS  # doubled each time
MAX_THROTTLE_REST = 2 * SEC

# Until the endpoint list is subscribed to again after a failure
MAX_PUSHED_LIST_PAUSE = 500 * MS  # a list that is pushed
MAX_ASKED_LIST_PAUSE = 2 * SEC  # a list that is asked for

# Rate limiting
RATE_DECREASE = 0.7  # factor of the rate at throttling
RATE_INCREASE = 0.1  # growth a second, in even shares of the limit
MIN_DECREASE_GAP = 500 * MS  # throttled calls within this time decrease the rate once
THROTTLE_MEMORY = 5 * SEC  # for so long after throttling few calls go at once
MAX_EVEN_SHARES = 1.3  # a dispatcher's rate starts at and grows to so many even shares of a known limit
SPARE_SHARE = 0.25  # of a limit that any one dispatcher may use, since most of it is idle most of the time
SHUT_LIMIT_LEFT = 0.8  # an endpoint that throttles while it reports this share of its limit as left is shut
BURST_SECONDS = 0.5  # seconds of the rate that may go at once
INITIAL_RATE = 2.0  # calls a second where no limit is known

# Calls and connections
BATCH_WEIGHT = 0.15  # each further notification of a call, in calls
CALLS_BEFORE_NEXT = 2  # calls in flight at an endpoint before the next in rank is taken
# A connection is worth keeping idle for so many reuses before it closes, or for one part in so many of the
# limit.
IDLE_CONNECTION_WORTH = 8

FAR_WAKE = 60 * SEC  # timers for later than this are dropped once nothing needs them

# Share of the capacity for pending notifications from which on the least benefit is rejected.
SHED_ABOVE_SHARE = 0.9

# What a stage says of a push: go on, keep it waiting, or end its notification.
PASS = "pass"
KEEP = "keep"
END = "end"

MAY_STILL_RUN = ("timeout", "reset", "cancelled")  # outcomes after which the endpoint may go on with the push
NOT_EXECUTED = ("throttled", "unreachable", "moot")  # outcomes that prove that it did not run


# ---- the latency forecast: the predictor with the least squared error so far, for each destination

PREDICTORS = (
    lambda d: d.recent[-1],
    lambda d: d.mean,
    lambda d: d.ewma,
    lambda d: fmean(d.recent),
    lambda d: median(d.recent),
)


def add_sample(dest, latency):
    """Add the latency of a delivery, and choose the predictor anew."""
    if dest.samples:
        squared_errors = [(predict(dest) - latency) ** 2 for predict in PREDICTORS]
        dest.errors = [
            a + b for a, b in zip(dest.errors or [0.0] * len(squared_errors), squared_errors, strict=True)
        ]
    dest.samples, dest.recent = dest.samples + 1, [*dest.recent[1 - RECENT_SAMPLES :], latency]
    dest.mean += (latency - dest.mean) / dest.samples
    dest.ewma += (latency - dest.ewma) * (EWMA_WEIGHT if dest.samples > 1 else 1)
    if dest.errors:
        best = min(range(len(PREDICTORS)), key=dest.errors.__getitem__)
        dest.forecast = int(PREDICTORS[best](dest))
        dest.rmse = int((dest.errors[best] / (dest.samples - 1)) ** 0.5)


def forecast(dest):
    """The expected latency, or 0 while there are too few samples."""
    return dest.forecast if dest.samples >= MIN_SAMPLES else 0


# ---- what a notification is worth, and what may still be done with it


def benefit(ntf, at):
    """The benefit of a delivery at a time: whole up to the latency objective, then fading until the TTL."""
    topic = ntf.topic
    whole = ntf.topic.get("benefit", 1) * ntf.benefit_share
    objective = topic.get("objective", 0)
    ttl = topic.get("ttl", 0)
    late = max(0, at - (ntf.ttl_at - ttl) - objective)
    least = topic.get("late_share", 0)
    if topic.get("fades") == "halves":
        return whole * max(least, 0.5 ** (late / max(objective, 1)))
    return whole * max(least, 1 - (1 - least) * late / max(ttl - objective, 1))


def repeats_until(ntf):
    """Until when the notification may be sent again, as far as a push that may have run allows.

    A repeat that arrives after the destination forgot the key would run twice, so the window is taken as
    shorter by `window_margin`."""
    kind = ntf.topic.get("kind")
    if ntf.may_have_run is None or kind == "repeatable":
        return 1 << 62
    if kind != "collapsible":
        return 0
    window = ntf.topic.get("window", 0)
    return ntf.may_have_run.sent_at + window - window_margin(window)


def window_margin(window):
    """Nanoseconds at the end of a repeat window in which no repeat may leave any more."""
    return max(window // TRANSIT_MARGIN_DIVISOR, MAX_HOLD_UP + MIN_TRANSIT_MARGIN)


def timeout_floor(topic):
    """The shortest time-out of a topic type, in nanoseconds.

    It is the objective: a cut before it gains nothing and repeats work that was nearly done.  A collapsible
    whose window is hardly longer is cut earlier, while a repeat may still leave."""
    objective = topic.get("objective", MIN_TIMEOUT)
    window = topic.get("window", 0)
    last_chance = window - window_margin(window) - REPEAT_LEAD
    is_cut_earlier = topic.get("kind") == "collapsible" and last_chance > 0
    return min(objective, last_chance) if is_cut_earlier else objective


def retry_is_harmless(ntf, now):
    """Whether the client may be told that trying again does no harm."""
    everywhere = ntf.topic.get("kind") != "collapsible" or ntf.topic.get("group", "all") == "all"
    return ntf.in_flight is None and (ntf.may_have_run is None or (everywhere and now < repeats_until(ntf)))


def current_delivery_rate(dest, now):
    """Deliveries a second that this dispatcher has lately made at a destination."""
    return dest.delivery_rate * exp((dest.delivery_rate_at - now) / DELIVERY_RATE_SPAN)


def known_limit(route):
    """The limit of a route in calls a second: reported before listed, 0 if neither is known."""
    return route.reported_limit or route.listed_limit


# ---- the stages


class Stage:
    """One concern of sending.

    A push passes `admit` of each stage in order, which returns PASS, KEEP or END and narrows
    `push.candidates` or fills in other fields of the push.  Its outcome passes `on_outcome` of each stage in
    reverse order."""

    def __init__(self, dispatcher):
        self.dispatcher = dispatcher
        self.state = dispatcher.state

    def on_outcome(self, push, ending, latency, wait, report):
        """Take an outcome into account; `wait`: the Retry-After that came with it, 0 for none."""


class Ttl(Stage):
    """Deadline: ends a notification that cannot arrive in time or must not be sent again."""

    def admit(self, push):
        ntf = push.ntf
        dest = push.ntf.destination
        stops_at = self.state.stops_at
        # A planned restart would cut off a once-only call, which may have run and cannot be repeated.
        expected_duration = max(dest.forecast + TIMEOUT_ERROR_FACTOR * dest.rmse, MIN_TIMEOUT)
        cut_off = (
            stops_at
            and self.dispatcher.now + expected_duration > stops_at
            and ntf.topic.get("kind") == "once-only"
        )
        return END if self.ends(ntf) <= self.dispatcher.now else KEEP if cut_off else PASS

    def ends(self, ntf):
        """The time from which on it cannot arrive before its TTL, or must not be sent again."""
        expected_latency = 0 if ntf.never_sent else forecast(ntf.destination)
        settings = self.state.settings
        until = min(ntf.ttl_at - max(expected_latency, 2 * settings.get("tick", 0)), repeats_until(ntf))
        return until if ntf.pushes < settings.get("most_pushes", 1 << 30) else 0

    def on_outcome(self, push, ending, latency, wait, report):
        ntf = push.ntf
        now = self.dispatcher.now
        push.ntf.in_flight = None
        ntf.may_have_run = ntf.may_have_run or (None if ending in NOT_EXECUTED else push)
        ntf.never_sent &= ending in ("moot", "unreachable")  # no endpoint has seen that push
        if ntf.finished or self.ends(ntf) <= now:
            return ntf.finished or self.dispatcher.abandon(ntf)
        if ending not in ("throttled", "moot"):
            # An endpoint that is down fails at once, which would use up all pushes within moments.
            ntf.not_before = now + min(RETRY_SPACING << (ntf.pushes - 1), MAX_RETRY_SPACING)
            self.dispatcher.wake_at(ntf.not_before)
        ntf.destination.waiting.append(ntf)


class Ordering(Stage):
    """Ordering by key, for topic types that ask for it: one at a time, in the order accepted."""

    def admit(self, push):
        return PASS if self.is_next_of_key(push.ntf) else KEEP

    def is_next_of_key(self, ntf):
        """Whether no other notification of its key comes before it, or holds the key."""
        until, holder, _ = self.state.key_holds.get(ntf.key, (0, None, None))
        free = not ntf.key or not ntf.topic.get("ordered")
        return free or (
            self.state.keys[ntf.key][0] is ntf and (until <= self.dispatcher.now or holder is ntf)
        )

    def on_outcome(self, push, ending, latency, wait, report):
        ntf = push.ntf
        call = push.call
        holds = self.state.key_holds
        if ntf.key and ntf.topic.get("ordered") and ending in MAY_STILL_RUN:
            holds[ntf.key] = (1 << 62, ntf, call)
        # The pause begins with the end of the whole call: one push may time out in a call that runs on.
        if holds and not call.pushes:
            until = self.dispatcher.now + self.state.settings.get("order_pause", 0)
            self.state.key_holds = {
                key: (until, holder, None) if held_by_call is call else (held_until, holder, held_by_call)
                for key, (held_until, holder, held_by_call) in holds.items()
                if held_until > self.dispatcher.now
            }
            self.dispatcher.wake_at(until)


class ConcurrencyLimit(Stage):
    """Concurrency limit: no more calls than slots, and no destination that holds all of them.

    A push past the limit would only come back as moot."""

    def admit(self, push):
        dest, free = push.ntf.destination, self.state.settings.get("slots", 1 << 30) - self.state.slots_out
        # Silent and slow destinations hold slots for long: the more one holds, the more it must leave free.
        if free <= 0 or dest.calls_out > free:
            return KEEP
        held = push.ntf.topic.get("group") == "zone" and push.ntf.may_have_run
        push.candidates = [
            e for e in dest.endpoints if e.state == "ready" and (not held or e.zone == held.zone)
        ]
        return PASS if push.candidates else KEEP


class RetryAfter(Stage):
    """Retry-After: a wait that an endpoint asked for, or a rest after throttling, holds the whole route."""

    def admit(self, push):
        now = self.dispatcher.now
        free = [e for e in push.candidates if e.route.wait_until <= now]
        if not free:
            self.dispatcher.hold_destination(push, min(e.route.wait_until for e in push.candidates))
        push.candidates = free
        return PASS if free else KEEP

    def on_outcome(self, push, ending, latency, wait, report):
        route = push.endpoint.route
        now = self.dispatcher.now
        if ending == "throttled":
            chance = self.dispatcher.pseudo_random(push.ntf.id)
            # Calls that are throttled together count once; else a burst would double the rest with each.
            fresh = now >= route.wait_until
            rest = (
                int(min(THROTTLE_REST << min(route.throttle_run, 4), MAX_THROTTLE_REST) * (chance + 0.5))
                * fresh
            )
            if wait:
                # All that a shut destination asked to wait would come back in one moment, while it is cold.
                rest = int(min(wait, self.dispatcher.health.full_cycle(push.endpoint)) * chance)
            route.wait_until = max(route.wait_until, now + wait + rest)
            route.throttle_run += fresh
            route.throttled_since = route.throttled_since or now
        elif ending == "delivered":
            route.throttle_run = route.throttled_since = 0
            # The answer to a batch may bring a Retry-After beside its deliveries.
            route.wait_until = max(route.wait_until, wait and now + wait)


class OutlierDetection(Stage):
    """Outlier detection with slow start: ejects failing endpoints, probes them, and warms them up."""

    def admit(self, push):
        now = self.dispatcher.now
        sound = []
        probes = []
        next_times = []
        for endpoint in push.candidates:
            is_free = all(p.overdue for call in endpoint.calls for p in call.pushes)
            if endpoint.ejected:
                probes += [endpoint] if is_free and now >= endpoint.probe_at else []
                next_times.append(endpoint.probe_at)
            elif endpoint.failing_since and (not is_free or now < endpoint.probe_at):
                # After a failure one call at a time until one is delivered; overdue ones do not count.
                next_times.append(endpoint.probe_at)
            elif endpoint.warming_since and not self.may_call_warming(endpoint):
                next_times.append(now + 100 * MS)
            else:
                sound.append(endpoint)
        push.is_probe = bool(probes) and (not sound or push.ntf.topic.get("kind") != "once-only")
        push.candidates = probes if push.is_probe else sound
        if not push.candidates:
            self.dispatcher.hold_destination(push, min((t for t in next_times if t > now), default=0))
        return PASS if push.candidates else KEEP

    def slow_start_rate(self, endpoint, age):
        """Calls a second that this dispatcher may make to an endpoint at this age of its return.

        Pending work would push a destination over as it comes back; probes and throttled calls count too."""
        get = self.state.settings.get
        limit = known_limit(endpoint.route) or INITIAL_RATE
        start = get("start_capacity", 1.0)
        warm_up = get("warm_within", 0)
        level = start + (1 - start) * min(1.0, age / max(warm_up, 1))
        sharing = sum(
            e.state == "ready" and e.route is endpoint.route for e in endpoint.destination.endpoints
        )
        own_part = max(
            limit / self.state.dispatchers, current_delivery_rate(endpoint.destination, self.dispatcher.now)
        )
        return own_part / max(sharing, 1) * level * get("overload_factor", 1.0) * SLOW_START_SHARE

    def pause(self, endpoint):
        """How long a failing endpoint is left alone: at most until each dispatcher could have called once.

        If many dispatchers each tried seldom, all together would still overload an endpoint that recovers."""
        return int(
            min(RETRY_SPACING * PAUSE_GROWTH ** min(endpoint.failure_run, 9), self.full_cycle(endpoint))
        )

    def full_cycle(self, endpoint):
        """The time for one call of every dispatcher within a cold endpoint's rate, half an hour at most."""
        return SEC / max(self.slow_start_rate(endpoint, 0), 1 / 1800)

    def has_small_share(self, endpoint):
        """Whether this dispatcher's part of a cold endpoint's rate is too small to tell an outage by."""
        return MIN_FAILURE_RUN * self.full_cycle(endpoint) > self.state.settings.get("fall_within", 1 << 62)

    def may_call_warming(self, endpoint):
        """Refill the slow-start bucket and say if a call may go; the end of the warm-up ends slow start."""
        now = self.dispatcher.now
        if now - endpoint.warming_since >= self.state.settings.get("warm_within", 0):
            self.dispatcher.host.log(
                f"endpoint {endpoint.id} warm after {(now - endpoint.warming_since) // MS} ms"
            )
            endpoint.warming_since = 0
            return True
        gained = (
            self.slow_start_rate(endpoint, now - endpoint.warming_since) * (now - endpoint.filled_at) / SEC
        )
        endpoint.tokens, endpoint.filled_at = min(1.0, endpoint.tokens + gained), now
        return endpoint.tokens >= 1.0

    def significant_run(self, surely=False, least=MIN_FAILURE_RUN):
        """The run of failures that this dispatcher's own losses no longer explain.

        A network path of ours that loses calls everywhere would make sound endpoints look down, or back.
        surely: these failures are not lost calls, so own losses explain none of them."""
        return max(
            least,
            ceil(log(MAX_CHANCE_OF_RUN) / log(min(max(0.01, self.state.own_loss * (not surely)), 0.5))),
        )

    def on_outcome(self, push, ending, latency, wait, report):
        endpoint = push.endpoint
        now = self.dispatcher.now
        if ending == "delivered":
            self.state.own_loss *= 1 - OWN_LOSS_STEP * (not push.call.sampled)  # a call is one sample
            self.record_success(endpoint)
        elif push.call.sampled or ending == "moot" or push.overdue:
            if endpoint.ejected and ending != "moot":
                self.schedule_probe(endpoint)
        elif ending == "throttled":
            # A destination that is shut throttles every call, and is cold when it comes back.
            since = endpoint.route.throttled_since
            if endpoint.ejected or (since and now - since > SHUT_AFTER):
                self.record_failure(endpoint, ending, since or now)
        elif (
            ending == "reset"
            and not endpoint.failing_since
            and push.call.connection_idle > UNRESPONSIVE_AFTER > now - push.sent_at
        ):
            # Middleboxes drop idle connections unseen, and the next call on one is reset.  The endpoint may
            # be sound or have crashed: the next call goes over a new connection and tells.
            endpoint.uncounted_reset_idle = push.call.connection_idle
        elif ending != "cancelled" or (push.cancelled and endpoint.delivered_at < push.sent_at):
            # A cancelled call counts if it was reclaimed as lost and nothing was delivered since it was sent.
            self.record_failure(endpoint, ending, push.sent_at)
        push.call.sampled = True

    def record_success(self, endpoint, by_note=False):
        """A call was delivered, or a note says so: end the failing state, with slow start after an outage."""
        now = self.dispatcher.now
        if idle := endpoint.uncounted_reset_idle:
            if not self.state.stale_after:
                self.dispatcher.host.log(
                    f"connections idle for {idle // MS} ms are reset: idle ones are closed before a call"
                )
            self.state.stale_after = max(
                UNRESPONSIVE_AFTER, min(self.state.stale_after or idle, idle) // STALE_DIVISOR
            )
            endpoint.uncounted_reset_idle, self.state.stale_seen_at = 0, now
        # Of many dispatchers each meets too few failures to tell an outage, and all would return at once.
        was_outage = endpoint.ejected or endpoint.failure_run >= self.significant_run(
            least=1 if self.has_small_share(endpoint) else MIN_FAILURE_RUN
        )
        if by_note or was_outage and now - endpoint.failing_since >= MIN_OUTAGE:
            failed_for = now - endpoint.failing_since
            is_sure = by_note or endpoint.ejected or endpoint.failure_run >= MIN_FAILURE_RUN
            # Where many calls fit into an overload, many dispatchers are refused twice in an outage, and
            # would all come back sooner for it.
            calls = (
                self.state.dispatchers * self.state.settings.get("fall_within", 0) / self.full_cycle(endpoint)
            )
            is_sure = is_sure or (
                endpoint.failure_run > 1
                and endpoint.connection_refused_at >= endpoint.failing_since
                and calls > MANY_CALLS
            )
            endpoint.warming_since = (
                now
                - (not is_sure)
                * min(failed_for, self.state.settings.get("warm_within", 0))
                // UNSURE_WARMED_DIVISOR
            )
            # The bucket begins with a random part of a call.
            endpoint.filled_at, endpoint.tokens = now, self.dispatcher.pseudo_random(endpoint.id)
            self.dispatcher.host.log(
                f"endpoint {endpoint.id} delivers again after {failed_for // MS} ms, slow start begins"
            )
            # Each of many dispatchers would find out late, at the cost of a push.  The note may get lost.
            if not by_note and self.state.settings.get("may_note"):
                self.dispatcher.host.note(None, f"back {endpoint.id}".encode())
        endpoint.ejected = False
        endpoint.failing_since = 0
        endpoint.delivered_at = now
        endpoint.failure_run = 0
        endpoint.trouble *= 1 - FAILURE_SCORE_STEP

    def record_failure(self, endpoint, why, since):
        """Count a failure, pause the endpoint, and eject it after a significant run of them."""
        endpoint.trouble += (1 - endpoint.trouble) * FAILURE_SCORE_STEP
        surely = why == "unreachable"  # not a lost call: the endpoint itself is not there
        # A connect that took its time to fail met silence.  One that is refused at once met a full endpoint;
        # a silent one has many waiting for it to come back.
        full = surely and self.dispatcher.now - since < UNRESPONSIVE_AFTER
        # The reset that was not counted turns out to be the endpoint's own.
        endpoint.failure_run += (1 if full else 2 + surely) + 2 * bool(endpoint.uncounted_reset_idle)
        endpoint.uncounted_reset_idle, endpoint.failing_since = 0, endpoint.failing_since or since
        if full:
            self.state.refusing_kinds.add(endpoint.kind)
            endpoint.connection_refused_at = self.dispatcher.now
        if endpoint.ejected:
            return self.schedule_probe(endpoint)
        self.state.own_loss += (1 - self.state.own_loss) * OWN_LOSS_STEP * (not surely)
        # Many dispatchers with a small share each meet an outage of seconds once, and would come back in it
        # at the same time.
        pause, fall = self.pause(endpoint), self.state.settings.get("fall_within", 0)
        if (
            full
            and endpoint.failure_run > 1
            and self.has_small_share(endpoint)
            and self.state.dispatchers * fall / pause > MANY_CALLS
        ):
            pause = self.full_cycle(endpoint)
        endpoint.probe_at = self.dispatcher.now + int(
            pause * (0.5 + self.dispatcher.pseudo_random(endpoint.id))
        )
        self.dispatcher.wake_at(endpoint.probe_at)
        if endpoint.trouble > 1 - (1 - FAILURE_SCORE_STEP) ** (self.significant_run(surely) - 0.5):
            endpoint.ejected = True
            endpoint.warming_since = 0
            self.schedule_probe(endpoint)
            self.dispatcher.host.log(
                f"endpoint {endpoint.id} ejected: {why}, failure score {endpoint.trouble:.2f}"
            )

    def schedule_probe(self, endpoint):
        """Schedule the next probe: after a fixed time and a random part, in this dispatcher's own slot."""
        pause = self.pause(endpoint)
        earliest = self.dispatcher.now + max(
            MIN_EJECTION + int(EJECTION_JITTER * self.dispatcher.pseudo_random(endpoint.id)), pause // 2
        )
        slot = min(PROBE_SLOT, max(MIN_EJECTION, pause) // self.state.dispatchers)
        # Slots are apart only by a time that all dispatchers share; ours stays over steps of the clock.
        slots_gone = (earliest + self.dispatcher.wall_clock_ahead) // slot
        own_slot = slots_gone + (self.state.rank - slots_gone) % self.state.dispatchers
        endpoint.probe_at = max(earliest, own_slot * slot - self.dispatcher.wall_clock_ahead)
        self.dispatcher.wake_at(endpoint.probe_at)

    def mark_overdue(self, push):
        """Count a push that is in flight for too long as a failure, unless a later one was delivered."""
        push.overdue = True
        if not push.call.sampled and push.endpoint.delivered_at < push.sent_at:
            push.call.sampled = True
            self.record_failure(push.endpoint, "overdue", push.sent_at)


class RateLimit(Stage):
    """Rate limiting: a token bucket for each route, its rate adapted by additive increase at calm times and
    multiplicative decrease at throttling."""

    def admit(self, push):
        free = [e for e in push.candidates if self.refilled(e.route) >= 1.0 and self.has_room(e)]
        if not free:
            soonest = min((1 - e.route.tokens) / e.route.rate for e in push.candidates)
            self.dispatcher.hold_destination(push, self.dispatcher.now + int(soonest * SEC) + 1)
        push.candidates = free
        return PASS if free else KEEP

    def has_room(self, endpoint):
        """Whether a further call may be in flight there.

        An endpoint that takes few connections would refuse what waited for it as one burst."""
        dest = endpoint.destination
        now = self.dispatcher.now
        enough = CALLS_BEFORE_NEXT + current_delivery_rate(dest, now) * forecast(dest) / SEC / len(
            dest.endpoints
        )
        # Overdue calls take no room.
        has_few = sum(not call.pushes[0].overdue for call in endpoint.calls) < enough
        return (
            has_few or now - max(endpoint.route.slowed_at, endpoint.connection_refused_at) > THROTTLE_MEMORY
        )

    def max_rate(self, route):
        """The highest rate at a known limit: somewhat over an even share, or the share that is mostly idle.

        Rates that all grow to the whole limit overrun it together; among many dispatchers, an even share
        starves the one that has much to send."""
        return known_limit(route) * min(1, MAX_EVEN_SHARES * max(1 / self.state.dispatchers, SPARE_SHARE))

    def refilled(self, route):
        """The tokens of a route's bucket, now."""
        now = self.dispatcher.now
        even_share = known_limit(route) / self.state.dispatchers
        max_rate = self.max_rate(route)
        if not route.rate:
            route.rate, route.filled_at = max_rate or INITIAL_RATE, now
        # The bucket does not fill while the route rests.
        elapsed_s = max(0, now - max(route.filled_at, route.wait_until)) / SEC
        route.rate = min(
            max_rate or float("inf"), route.rate + elapsed_s * RATE_INCREASE * (even_share or route.rate)
        )
        route.tokens = min(max(1.0, BURST_SECONDS * route.rate), route.tokens + elapsed_s * route.rate)
        route.filled_at = now
        return route.tokens

    def on_outcome(self, push, ending, latency, wait, report):
        route = push.endpoint.route
        dest = push.ntf.destination
        now = self.dispatcher.now
        if report.get("limit"):
            is_first, route.reported_limit = not route.reported_limit, report["limit"]
            route.mean_limit_left += (report.get("limit_left", 0) - route.mean_limit_left) * (
                1 if is_first else EWMA_WEIGHT
            )
            route.rate = self.max_rate(route) if is_first else route.rate
        if ending == "throttled":
            self.refilled(route)
            if now - route.slowed_at > MIN_DECREASE_GAP:
                # Each of many dispatchers may use a quarter of the limit: decrease from what this one really
                # used, not from its rate.
                even_share = known_limit(route) / self.state.dispatchers
                used_rate = current_delivery_rate(dest, now) + even_share if even_share else route.rate
                # Among many dispatchers, half an even share would hold the next call past its objective
                # while the reports show the limit idle.  A call that carries several gains by its wait.  An
                # endpoint that throttles with nearly all of its limit left is shut.
                spare = min(
                    SPARE_SHARE * route.reported_limit * route.mean_limit_left, SEC / MAX_THROTTLE_REST
                ) / (1 + route.throttle_run)
                is_shut = report.get("limit_left", 0) >= SHUT_LIMIT_LEFT
                min_rate = max(
                    even_share / 2, (not is_shut) * spare / self.dispatcher.max_batch(push.endpoint)
                )
                route.rate = max(min(route.rate, used_rate) * RATE_DECREASE, min_rate or INITIAL_RATE / 10)
                if not route.slowed_at or now - route.slowed_at > THROTTLE_MEMORY:
                    self.dispatcher.host.log(
                        f"destination {dest.id} throttles: rate {route.rate:.2f} calls a second"
                    )
                route.slowed_at = now
            route.tokens = min(route.tokens, 0.0)


class EndpointSelection(Stage):
    """Endpoint selection: the first in rank with few calls, in the own zone first if crossing has a price."""

    def admit(self, push):
        near = self.state.settings.get("zone") if self.state.settings.get("crossing_price") else None
        push.endpoint = min(
            push.candidates,
            key=lambda e: (
                max(len(e.calls) + 1 - CALLS_BEFORE_NEXT, 0),
                near is not None and e.zone != near,
                e.rank,
            ),
        )
        return PASS

    def on_outcome(self, push, ending, latency, wait, report):
        endpoint = push.endpoint
        call = push.call
        call.pushes.remove(push)
        if not call.pushes:
            endpoint.calls.remove(call)
            endpoint.destination.calls_out -= 1
            self.state.slots_out -= 1
            endpoint.idle_since = self.dispatcher.now
            self.dispatcher.endpoints_to_check.append(endpoint)

    def close_if_rarely_used(self, endpoint):
        """Close the idle connections to an endpoint that this dispatcher rarely calls.

        Many dispatchers that seldom call would fill an endpoint's few connections with idle ones.  What still
        waits for its rate or its turn needs none meanwhile; what may go has gone by now."""
        if not endpoint.calls and self.is_rarely_used(endpoint):
            self.dispatcher.host.close_idle(endpoint.id)
            endpoint.idle_since = 0

    def is_rarely_used(self, endpoint):
        """Whether this dispatcher's part of the traffic is not worth an idle connection."""
        limit = known_limit(endpoint.route)
        get = self.state.settings.get
        traffic = max(
            limit / self.state.dispatchers, current_delivery_rate(endpoint.destination, self.dispatcher.now)
        )
        # Calls that a connection carries at once; idle ones only pile up where it is one.
        calls_at_once = get("calls_a_connection", 1)
        # Until the connection closes by itself.
        reuses = calls_at_once * traffic * get("idle_closes", 0) / SEC
        is_scarce = endpoint.kind in self.state.refusing_kinds or (
            calls_at_once == 1 and get("scale_kind") == "rough"
        )
        return traffic * IDLE_CONNECTION_WORTH < limit and (is_scarce or reuses < IDLE_CONNECTION_WORTH)


class AdaptiveTimeout(Stage):
    """Adaptive time-out: forecast + TIMEOUT_ERROR_FACTOR * root mean square error, for pushes that may be
    repeated; others have none."""

    def admit(self, push):
        ntf = push.ntf
        dest = push.ntf.destination
        now = self.dispatcher.now
        may_repeat = ntf.topic.get("kind") in ("repeatable", "collapsible")
        limit = INITIAL_TIMEOUT
        overdue_after = MIN_OVERDUE
        if dest.samples >= MIN_SAMPLES:
            limit = max(dest.forecast + TIMEOUT_ERROR_FACTOR * dest.rmse, timeout_floor(ntf.topic))
            limit <<= max(dest.timeout_doublings, ntf.timeout_doublings)
            overdue_after = dest.forecast + OVERDUE_FACTOR * dest.rmse
        push.overdue_at = now + max(overdue_after, MIN_OVERDUE)
        push.lost_after = max(overdue_after, UNRESPONSIVE_AFTER) * (
            1 if may_repeat else ONCE_ONLY_LOST_FACTOR
        )
        push.timeout = min(limit, ntf.ttl_at - now) if may_repeat else 0
        return PASS

    def on_outcome(self, push, ending, latency, wait, report):
        dest = push.ntf.destination
        if ending == "delivered":
            add_sample(dest, latency)
            dest.delivery_rate, dest.delivery_rate_at = (
                current_delivery_rate(dest, self.dispatcher.now) + SEC / DELIVERY_RATE_SPAN,
                self.dispatcher.now,
            )
            dest.timeout_doublings = 0
        elif ending == "timeout" and 0 < push.timeout < push.ntf.ttl_at - push.sent_at:
            # Answers that jump past the time-out for good leave no sample, so the forecast would never
            # follow; and a single notification may take long wherever it is sent.
            dest.timeout_doublings = min(dest.timeout_doublings + 1, MAX_TIMEOUT_DOUBLINGS)
            push.ntf.timeout_doublings = min(push.ntf.timeout_doublings + 1, MAX_TIMEOUT_DOUBLINGS)


class Dispatcher:
    """One dispatcher's decisions: takes events, keeps the records, and says what to do (`decide`)."""

    def __init__(self, host, settings, seed, now):
        self.host = host
        self.now = now
        self.wall_clock_ahead = 0  # of `now`; the sum of both is the time that all machines' clocks agree on
        self.state = Instance(settings, seed, settings.get("rank", 0), max(1, settings.get("dispatchers", 1)))
        self.stages = [
            stage(self)
            for stage in (
                Ttl,
                Ordering,
                ConcurrencyLimit,
                RetryAfter,
                OutlierDetection,
                RateLimit,
                EndpointSelection,
                AdaptiveTimeout,
            )
        ]
        self.ttl, self.order, _, _, self.health, _, self.pick, self.timeout = self.stages
        self.endpoints_to_check = []  # those at which a call ended since the last iteration

    def pseudo_random(self, number):
        """A number from 0 up to 1, the same for equal events."""
        self.state.draw_count += 1
        return crc32(f"{self.state.seed}/{self.state.rank}/{number}/{self.state.draw_count}".encode()) / 2**32

    def wake_at(self, at):
        """Set a timer, unless one is set for that time."""
        if at > self.now and at not in self.state.wakes:
            self.state.wakes.add(at)
            self.host.timer(at - self.now, at)

    def drop_far_wakes(self):
        """Forget the timers for the TTL of notifications that have ended: a TTL may be a day.

        What is due soon stays, whatever it was set for."""
        state = self.state
        needed = {ntf.ttl_at - 2 * state.settings.get("tick", 0) for ntf in state.notifications.values()}
        needed |= {ntf.not_before for ntf in state.notifications.values()}
        needed |= {dest.idle_until for dest in state.destinations.values()}
        needed |= {endpoint.probe_at for endpoint in state.endpoints.values()}
        needed |= {endpoint.route.wait_until for endpoint in state.endpoints.values()}
        needed |= {push.overdue_at for push in state.pushes.values()}
        needed |= {push.call.presumed_lost_at for push in state.pushes.values()}
        needed |= {until for until, _, _ in state.key_holds.values()} | {state.subscribe_at}
        state.wakes = {at for at in state.wakes if at <= self.now + FAR_WAKE or at in needed}

    def hold_destination(self, push, until):
        """Send nothing to the push's destination before a time, unless news of it comes first."""
        if until > self.now:
            push.ntf.destination.idle_until = until
            self.wake_at(until)

    # ---- events

    def start(self):
        """Subscribe to the endpoint list, where it is asked for."""
        if self.state.settings.get("list_mode") == "ask":
            self.host.subscribe(True)

    def wake(self, tok):
        """A timer has expired."""
        self.state.wakes.discard(tok)
        if tok == self.state.subscribe_at:
            self.host.subscribe(True)

    def is_ejected(self, endpoint):
        """Whether an endpoint is ejected: it gets single probes at most."""
        return endpoint.ejected

    def plan_stop(self, at):
        """The process will stop at a time."""
        self.state.stops_at = at

    def update_settings(self, settings):
        """Other settings are in force; pending notifications keep the topic type they were accepted with."""
        self.state.settings = settings
        for dest in self.state.destinations.values():
            dest.idle_until = dest.expiry_check_at = 0

    def update_endpoints(self, news, entries):
        """News of the endpoint list: (endpoint, destination, kind, scale, zone, state) for each entry."""
        instance = self.state
        instance.list_failures = instance.list_failures + 1 if news == "failed" else 0
        if instance.list_failures:
            # The pause grows, since discovery may be in trouble, but starts short, since drains may be
            # reported meanwhile.  Whatever the settings, a change counts as known at once where the list is
            # pushed, and 6 s after it was there where the list is asked for.
            most = (
                MAX_ASKED_LIST_PAUSE if instance.settings.get("list_mode") == "ask" else MAX_PUSHED_LIST_PAUSE
            )
            pause = min(SEC // 8 << min(instance.list_failures, 7), most)
            instance.subscribe_at = self.now + pause // 2 + int(pause / 2 * self.pseudo_random(instance.rank))
            self.wake_at(instance.subscribe_at)
            return self.host.log(
                f"endpoint list failed {instance.list_failures} times in a row, subscribing again"
            )
        named = {entry[0] for entry in entries}
        for endpoint in list(instance.endpoints.values()):
            if news != "changes" and endpoint.id not in named:
                endpoint.state = "gone"
            if endpoint.state == "gone" and not endpoint.calls and endpoint.id not in named:
                endpoint.destination.endpoints.remove(instance.endpoints.pop(endpoint.id))
        for number, destination, kind, scale, zone, state in entries:
            dest = self.destination(destination)
            endpoint = instance.endpoints.get(number)
            if endpoint is not None and endpoint.destination is not dest:
                # The id belongs to another destination now; calls in flight end with the old endpoint.
                endpoint.state = "gone"
                endpoint.destination.endpoints.remove(endpoint)
                endpoint = None
            if endpoint is None:
                apart = instance.settings.get("routes_apart", [])
                route = Route() if kind < len(apart) and apart[kind] else dest.route
                endpoint = instance.endpoints[number] = Endpoint(number, dest, route, kind, zone, 0)
                # Rendezvous hashing, with an order of its own for each dispatcher.
                endpoint.rank = crc32(f"{instance.rank}/{destination}/{number}".encode())
                dest.endpoints.append(endpoint)
            endpoint.state = state
            if instance.settings.get("scale_kind") in ("nominal", "rough"):
                endpoint.route.listed_limit = scale
            dest.idle_until = 0

    def destination(self, number):
        """The record of a destination, made when it is first named."""
        return self.state.destinations.setdefault(number, Destination(number))

    def notification(
        self,
        ntf_id,
        topic,
        destination,
        ttl_at=0,
        key=0,
        pushes=0,
        ran_zone=0,
        ran_at=0,
        never_sent=False,
        tenant="",
    ):
        """A notification was accepted, or restored after a restart with what its pushes may have done.

        pushes: sent so far; ran_zone, ran_at: where and when one left that may have run, 0 for none."""
        topic = (self.state.settings.get("topic_types", [])[topic:] or [{}])[0]
        dest = self.destination(destination)
        ntf = Notification(
            ntf_id, topic, dest, ttl_at or self.now + topic.get("ttl", 0), key, pushes, never_sent
        )
        # A push from before a restart has run, or may yet, and no outcome will come.  A time ahead of now
        # comes from a clock that was set back.
        since = ran_at if ran_at <= self.now else 0
        ntf.may_have_run = Push(ntf, 0, sent_at=since, zone=ran_zone) if ran_at else None
        # A tenant over its allowance would displace the others: what it hands in beyond counts for less.
        if share := self.state.settings.get("tenants", {}).get(tenant):
            # Up to when this dispatcher's even part of the allowance is used up; unused time makes a burst.
            due = max(self.state.tenant_next_at.get(tenant, 0), self.now - TENANT_BURST_SPAN)
            ntf.benefit_share = self.state.settings.get("over_share", 1.0) if due > self.now else 1.0
            self.state.tenant_next_at[tenant] = due + (due <= self.now) * int(
                SEC * self.state.dispatchers / share
            )
        self.state.notifications[ntf_id] = ntf
        # A restart forgets that endpoints were failing: where a push failed before it, they start slowly.
        failed = pushes > bool(ran_at) or 0 < ran_at < self.now - MIN_OVERDUE
        for endpoint in filter(self.health.has_small_share, dest.endpoints if failed else ()):
            endpoint.warming_since = self.now
            endpoint.filled_at = self.now
            endpoint.tokens = 1.0
        if key and topic.get("ordered"):
            self.state.keys.setdefault(key, []).append(ntf)
        dest.waiting.append(ntf)
        dest.idle_until, dest.expiry_check_at = 0, min(dest.expiry_check_at, self.ttl.ends(ntf))
        self.wake_at(ntf.ttl_at - 2 * self.state.settings.get("tick", 0))

    def outcome(self, ntf_id, number, ending, latency=0, wait=0, over=False, report=None):
        """A push ended.  over: the notification ended with it; report: what the endpoint said of its load."""
        push = self.state.pushes.pop((ntf_id, number), None)
        if push is None:
            return
        ntf = push.ntf
        if over or ending == "delivered":
            self.finish(ntf)
        for stage in reversed(self.stages):
            stage.on_outcome(push, ending, latency, wait, report or {})
        ntf.destination.idle_until = ntf.destination.expiry_check_at = 0
        if ntf.finished:
            self.release_key(ntf)

    def withdraw(self, ntf_id):
        """A notification needs no delivery any more."""
        if ntf_id in self.state.notifications:
            self.finish(self.state.notifications[ntf_id])

    def note(self, rank, body):
        """A note from another dispatcher: an endpoint that fails for this dispatcher delivers again."""
        word, _, number = body.partition(b" ")
        endpoint = self.state.endpoints.get(int(number)) if word == b"back" and number.isdigit() else None
        if endpoint and endpoint.failing_since and rank != self.state.rank:
            self.health.record_success(endpoint, by_note=True)
            endpoint.destination.idle_until = 0

    # ---- the end of notifications

    def finish(self, ntf):
        """Take a notification out of the records; a push of it that is in flight still gets its outcome."""
        if not ntf.finished:
            ntf.finished = True
            del self.state.notifications[ntf.id]
            if ntf in ntf.destination.waiting:
                ntf.destination.waiting.remove(ntf)
            self.release_key(ntf)

    def release_key(self, ntf):
        """Let the next notification of an ordered key go, unless a push of this one is in flight."""
        queue = self.state.keys.get(ntf.key)
        if queue and ntf.in_flight is None and ntf in queue:
            queue.remove(ntf)
            if not queue:
                del self.state.keys[ntf.key]

    def abandon(self, ntf):
        """Give the final answer at once: throttled where trying again is harmless, else expired."""
        if retry_is_harmless(ntf, self.now):
            again = min(
                ntf.destination.route.wait_until - self.now, self.state.settings.get("most_again_in", 0)
            )
            self.host.throttled(ntf.id, max(again, 0) if self.state.settings.get("advises_again") else 0)
        else:
            self.host.expired(ntf.id)
        self.finish(ntf)

    # ---- decisions

    def decide(self, may_send=True):
        """Decide after the events of one iteration: what ends, what is cancelled, and what is sent."""
        for push in [p for p in self.state.pushes.values() if not p.overdue and self.now >= p.overdue_at]:
            self.health.mark_overdue(push)
        waiting = [d for d in self.state.destinations.values() if d.waiting]
        for dest in [d for d in waiting if d.expiry_check_at <= self.now]:
            dest.expiry_check_at = min(map(self.ttl.ends, dest.waiting), default=0)
            for ntf in [n for n in dest.waiting if dest.expiry_check_at <= self.now >= self.ttl.ends(n)]:
                self.abandon(ntf)
        self.shed_load(waiting)
        if may_send:
            self.reclaim_slots(waiting)
        ready = [d for d in waiting if may_send and d.waiting and d.idle_until <= self.now]
        # Destinations take turns: fewest calls in flight first, then the one served longest ago.
        while ready:
            dest = min(ready, key=lambda d: (d.calls_out, d.last_served))
            if not self.send_next(dest) or not dest.waiting:
                ready.remove(dest)
        for endpoint in self.endpoints_to_check:
            self.pick.close_if_rarely_used(endpoint)
        self.endpoints_to_check.clear()

    def shed_load(self, waiting):
        """Reject what is worth least before the capacity for pending notifications is used up.

        Else whatever comes next would be turned away, whatever it is worth."""
        held = len(self.state.notifications)
        most = self.state.settings.get("most_held", 1 << 30) * SHED_ABOVE_SHARE
        if held > most and not self.state.shedding:
            self.host.log(f"capacity nearly used: {held} notifications pending, throttling the least benefit")
        self.state.shedding = held > most or (self.state.shedding and held > most / 2)
        while len(self.state.notifications) > most and (
            least := [
                n for d in waiting for n in d.waiting if retry_is_harmless(n, self.now) and not n.never_sent
            ]
        ):
            self.abandon(min(least, key=lambda n: benefit(n, self.now) / (1 + len(n.destination.waiting))))

    def reclaim_slots(self, waiting):
        """Cancel the call that was presumed lost first, where a destination waits for a slot.

        Calls that are never answered would else hold their slots until their TTL."""
        free = self.state.settings.get("slots", 1 << 30) - self.state.slots_out
        short = any(d.waiting and (d.calls_out > free or not free) for d in waiting)
        if out := [p.call for p in self.state.pushes.values() if short and not p.cancelled]:
            first = min(out, key=lambda call: call.presumed_lost_at)
            self.wake_at(first.presumed_lost_at)
            gone = first.presumed_lost_at <= self.now and self.state.settings.get("may_cancel")
            for mate in first.pushes if gone else ():
                mate.cancelled = True
                self.host.cancel(mate.ntf.id, mate.number)

    def send_next(self, dest):
        """Send the best of what waits for one destination, if anything may go now; whether one was sent."""
        now = self.now
        # What waits behind others of its key is left out first, or it would hide all that may go.
        ready = [n for n in dest.waiting if n.not_before <= now and self.order.is_next_of_key(n)]
        # Whether anything may go is asked before the ranking: ranking hundreds at every event though none may
        # go would use up the processor core.
        first = Push(min(ready, key=lambda n: n.pushes), 0) if ready else None
        if not ready or any(stage.admit(first) != PASS for stage in self.stages[2:6]):
            return False
        # A probe takes what can best afford the loss, fewest pushes first.
        trial = all(e.ejected for e in dest.endpoints)
        ready.sort(
            key=lambda n: (n.topic.get("kind") == "once-only", n.pushes, benefit(n, now))
            if trial
            else (not n.never_sent, -benefit(n, now + forecast(dest)), n.ttl_at)
        )
        pushes = (Push(ntf, ntf.pushes) for ntf in ready[:4])
        if push := next((p for p in pushes if all(stage.admit(p) == PASS for stage in self.stages)), None):
            self.send(push, ready)
        return push is not None

    def max_batch(self, endpoint):
        """How many notifications a call to the endpoint's kind may carry."""
        sizes = self.state.settings.get("batch_by_kind", [])
        return sizes[endpoint.kind] if endpoint.kind < len(sizes) else 1

    def send(self, push, ready):
        """Start a call with the push, and with others that are ready as far as the call takes several."""
        endpoint = push.endpoint
        dest = push.ntf.destination
        call = Call()
        # All notifications of a batch share its fate, and one that an endpoint cannot digest would fail the
        # others each time.
        single = push.is_probe or endpoint.failing_since or push.ntf.may_have_run
        most = 1 if single else self.max_batch(endpoint)
        if not endpoint.calls and endpoint.idle_since:
            call.connection_idle = self.now - endpoint.idle_since
            if self.state.stale_after and self.now - self.state.stale_seen_at > DELIVERY_RATE_SPAN:
                self.state.stale_after = 0
            if endpoint.uncounted_reset_idle or 0 < self.state.stale_after < call.connection_idle:
                self.host.close_idle(endpoint.id)
                call.connection_idle = 0
        self.start_push(push, endpoint, call)
        free = (Push(n, n.pushes) for n in ready if not (n.in_flight or n.finished or n.may_have_run))
        mates = (mate for mate in free if self.order.is_next_of_key(mate.ntf))
        for _, mate in zip(range(most - 1), mates, strict=False):
            self.timeout.admit(mate)
            self.start_push(mate, endpoint, call)
        endpoint.calls.append(call)
        dest.last_served = self.state.served = self.state.served + 1
        dest.calls_out += 1
        self.state.slots_out += 1
        weight = 1 + BATCH_WEIGHT * (len(call.pushes) - 1)
        call.presumed_lost_at = self.now + int(weight * max(p.lost_after for p in call.pushes))
        endpoint.route.tokens -= weight
        endpoint.tokens -= weight  # of its slow start; refilled from there while it warms up

    def start_push(self, push, endpoint, call):
        """Record a push as in flight and ask the host to send it."""
        ntf = push.ntf
        ends = self.ttl.ends(push.ntf)
        push.endpoint = endpoint
        push.zone = endpoint.zone
        push.call = call
        push.sent_at = self.now
        ntf.in_flight, ntf.pushes = push, ntf.pushes + 1
        ntf.destination.waiting.remove(ntf)
        call.pushes.append(push)
        self.state.pushes[ntf.id, push.number] = push
        # The host is told until when the bytes may leave: on a connection that is slow to come up, they would
        # arrive past the repeat window or the TTL.
        self.host.push(ntf.id, endpoint.id, push.timeout, ends - self.now)
        self.wake_at(push.overdue_at)
