"""All decisions of one dispatcher.

Build `Dispatcher(host, settings, seed, now)` with a host as in `interface.Host`, call `start()`; then, each
moment, set `now`, hand in the events (`listed`, `notification`, `outcome`, `withdrawn`, `note`, `wake`,
`stopping`), then `turn()`.  Settings are a plain map (README); docs/design.md has each exception."""

from math import ceil, exp, log
from statistics import fmean, median
from zlib import crc32

from juniperlanding.state import Call, Destination, Endpoint, Instance, Notification, Push, Route

MS, SEC = 1_000_000, 1_000_000_000
FACTOR, MOST_DOUBLINGS = 2, 4  # of the root of the MSE, in the time-out; of that while nothing is delivered
START_TIMEOUT, LEAST_TIMEOUT = 45 * SEC, 1 * SEC
SAMPLES, SPAN, SMOOTHING = 3, 10, 0.2  # deliveries until a forecast counts; what the predictors look at
SPACING, MOST_SPACING = 100 * MS, 3 * SEC  # between pushes of one notification
TRAVEL_SHARE = 20  # a collapsible's window is taken as shorter by this part, for travel
OVERDUE_FACTOR, LEAST_OVERDUE, LOST = 4, 2500 * MS, 2  # once-only loses its slot at LOST times it
TROUBLE_STEP, LOSS_STEP = 0.4, 0.03  # how far one bad outcome moves its endpoint's trouble; a push, our share
LEAST_RUN, CHANCE_RUN = 3, 0.001  # bad outcomes in a row: at least so many, and so unlikely by chance
ASIDE, ASIDE_RANDOM, TURN_SLICE = 1 * SEC, 500 * MS, 300 * MS
SHORT_OUTAGE, SHUT_AFTER = 1500 * MS, 2500 * MS  # no cold return before; only throttled for so long
DOUBT_GROWTH = 10  # for each bad outcome in a row: the pause until the next push there
SILENCE = 500 * MS  # a push that fails later than this met silence
USUAL_SPAN, SHARE_SPAN = 30 * SEC, 10 * SEC  # over which usual deliveries are counted; a tenant's share
RAMP_SHARE, SOONER = 0.8, 3  # of what the rule allows; few outcomes: back for one part in so many of it
LARGE = 8  # calls that all may make in the time of a fall; up to here chance (2 x root + 2) covers them
STALE, REST, MOST_REST = 4, 250 * MS, 2 * SEC  # one part in so many of an idle time that broke is safe
MOST_LIST_PAUSE, MOST_ASK_PAUSE = 500 * MS, 2 * SEC  # until a list is asked for again: pushed; else
SLOWER, FASTER, SLOW_GAP, CALM = 0.7, 0.1, 500 * MS, 5 * SEC
MOST_SHARES = 1.3  # even shares of a known limit that one dispatcher's pace starts at and grows to
SPARE, NEARLY_ALL = 0.25, 0.8  # of a limit that any one may use, since it mostly stands idle; that is left
BURST, FIRST_PACE = 0.5, 2.0  # seconds of the pace that go at once; calls a second where no limit is known
BATCH_WEIGHT, ENOUGH = 0.15, 2  # each further one of a call, in calls; calls out to take the next in rank
PLACES, SHED_AT = 8, 0.9  # one part in so many of the traffic is worth an idle connection; of held
PASS, KEEP, END = "pass", "keep", "end"
SILENT = ("timeout", "reset", "cancelled")
NEVER_RAN = ("throttled", "unreachable", "moot")


# ---- the forecaster: one series of delivered latencies for each destination

PREDICTORS = (
    lambda d: d.series[-1],
    lambda d: d.mean,
    lambda d: d.smooth,
    lambda d: fmean(d.series),
    lambda d: median(d.series),
)


def learn(dest, latency):
    if dest.samples:
        missed = [(predict(dest) - latency) ** 2 for predict in PREDICTORS]
        dest.errors = [a + b for a, b in zip(dest.errors or [0.0] * len(missed), missed, strict=True)]
    dest.samples, dest.series = dest.samples + 1, [*dest.series[1 - SPAN :], latency]
    dest.mean += (latency - dest.mean) / dest.samples
    dest.smooth += (latency - dest.smooth) * (SMOOTHING if dest.samples > 1 else 1)
    if dest.errors:
        best = min(range(len(PREDICTORS)), key=dest.errors.__getitem__)
        dest.forecast = int(PREDICTORS[best](dest))
        dest.miss = int((dest.errors[best] / (dest.samples - 1)) ** 0.5)


def forecast(dest):
    """The expected latency, or 0 while there are too few samples."""
    return dest.forecast if dest.samples >= SAMPLES else 0


# ---- what a notification is worth, and what may still be done with it


def benefit(ntf, at):
    topic, whole = ntf.topic, ntf.topic.get("benefit", 1) * ntf.counts
    objective, ttl = topic.get("objective", 0), topic.get("ttl", 0)
    late, least = max(0, at - (ntf.ttl_at - ttl) - objective), topic.get("late_share", 0)
    if topic.get("fades") == "halves":
        return whole * max(least, 0.5 ** (late / max(objective, 1)))
    return whole * max(least, 1 - (1 - least) * late / max(ttl - objective, 1))


def repeats_until(ntf):
    """Threat: a repeat that arrives after the destination forgot the key; so travel time is taken off."""
    kind, window = ntf.topic.get("kind"), ntf.topic.get("window", 0)
    if ntf.may_have_run is None or kind == "repeatable":
        return 1 << 62
    return ntf.may_have_run.sent_at + window - window // TRAVEL_SHARE if kind == "collapsible" else 0


def harmless(ntf, now):
    """Whether the client may be told that trying again does no harm."""
    everywhere = ntf.topic.get("kind") != "collapsible" or ntf.topic.get("group", "all") == "all"
    return ntf.out is None and (ntf.may_have_run is None or (everywhere and now < repeats_until(ntf)))


def usual(dest, now):
    """Deliveries a second that this dispatcher has lately made at a destination."""
    return dest.load * exp((dest.served_at - now) / USUAL_SPAN)


def known(route):
    return route.limit or route.scale  # what is reported before what is listed; 0 for neither


# ---- the stages, in the order in which a push passes them; `back` runs the other way


class Stage:
    def __init__(self, dispatcher):
        self.at, self.me = dispatcher, dispatcher.me

    def back(self, push, ending, latency, wait, report):
        pass


class Ttl(Stage):
    """Ends what is too late to arrive, or may not go again."""

    def out(self, push):
        ntf, dest, stop = push.ntf, push.ntf.destination, self.me.stops_at
        # Threat: a planned restart cuts off a once-only call, which may have run and is over then.
        lasts = max(dest.forecast + FACTOR * dest.miss, LEAST_TIMEOUT)
        cut = stop and self.at.now + lasts > stop and ntf.topic.get("kind") == "once-only"
        return END if self.ends(ntf) <= self.at.now else KEEP if cut else PASS

    def ends(self, ntf):
        """From when on it cannot arrive in time, or may not go again."""
        least, settings = 0 if ntf.unsent else forecast(ntf.destination), self.me.settings
        until = min(ntf.ttl_at - max(least, 2 * settings.get("tick", 0)), repeats_until(ntf))
        return until if ntf.pushes < settings.get("most_pushes", 1 << 30) else 0

    def back(self, push, ending, latency, wait, report):
        ntf, now, push.ntf.out = push.ntf, self.at.now, None
        ntf.may_have_run = ntf.may_have_run or (None if ending in NEVER_RAN else push)
        ntf.unsent &= ending in ("moot", "unreachable")  # nobody saw that push
        if ntf.over or self.ends(ntf) <= now:
            return ntf.over or self.at.give_up(ntf)
        if ending not in ("throttled", "moot"):
            # Threat: a down endpoint fails at once and burns every push in moments.
            ntf.not_before = now + min(SPACING << (ntf.pushes - 1), MOST_SPACING)
            self.at.wake_at(ntf.not_before)
        ntf.destination.waiting.append(ntf)


class Order(Stage):
    """One at a time, in the order taken, for topic types that ask for it."""

    def out(self, push):
        return PASS if self.in_turn(push.ntf) else KEEP

    def in_turn(self, ntf):
        until, by, _ = self.me.key_rest.get(ntf.key, (0, None, None))
        free = not ntf.key or not ntf.topic.get("ordered")
        return free or (self.me.keys[ntf.key][0] is ntf and (until <= self.at.now or by is ntf))

    def back(self, push, ending, latency, wait, report):
        ntf, call, rests = push.ntf, push.call, self.me.key_rest
        if ntf.key and ntf.topic.get("ordered") and ending in SILENT:
            rests[ntf.key] = (1 << 62, ntf, call)
        if rests and not call.pushes:  # threat: one times out in a call of several, which runs on
            until = self.at.now + self.me.settings.get("order_pause", 0)
            self.me.key_rest = {
                key: (until, by, None) if of is call else (at, by, of)
                for key, (at, by, of) in rests.items()
                if at > self.at.now
            }
            self.at.wake_at(until)


class Slots(Stage):
    """Never a push that comes back moot for want of a slot, nor one destination with all slots."""

    def out(self, push):
        dest, free = push.ntf.destination, self.me.settings.get("slots", 1 << 30) - self.me.slots_out
        # Threat: silent and slow destinations hold slots for long; who holds more must leave more free.
        if free <= 0 or dest.calls_out > free:
            return KEEP
        held = push.ntf.topic.get("group") == "zone" and push.ntf.may_have_run
        push.options = [e for e in dest.endpoints if e.state == "ready" and (not held or e.zone == held.zone)]
        return PASS if push.options else KEEP


class Waits(Stage):
    """A wait that was told, or that follows from throttling, holds the whole route."""

    def out(self, push):
        now = self.at.now
        free = [e for e in push.options if e.route.wait_until <= now]
        if not free:
            self.at.idle_until(push, min(e.route.wait_until for e in push.options))
        push.options = free
        return PASS if free else KEEP

    def back(self, push, ending, latency, wait, report):
        route, now = push.endpoint.route, self.at.now
        if ending == "throttled":
            chance = self.at.chance(push.ntf.id)
            fresh = now >= route.wait_until  # threat: a clump is turned away at once and doubles it each time
            rest = int(min(REST << min(route.refusals, 4), MOST_REST) * (chance + 0.5)) * fresh
            if wait:
                # Threat: all that a shut destination told to wait are back in one moment, while it is cold.
                rest = int(min(wait, self.at.health.full_turn(push.endpoint)) * chance)
            route.wait_until = max(route.wait_until, now + wait + rest)
            route.refusals += fresh
            route.refused_since = route.refused_since or now
        elif ending == "delivered":
            route.refusals = route.refused_since = 0
            route.wait_until = max(route.wait_until, wait and now + wait)  # a batch may be taken and told so


class Health(Stage):
    """Sets endpoints aside, gives them single trials, and lets them warm up."""

    def out(self, push):
        now, sound, trials, later = self.at.now, [], [], []
        for endpoint in push.options:
            quiet = all(p.overdue for call in endpoint.calls for p in call.pushes)
            if endpoint.down:
                trials += [endpoint] if quiet and now >= endpoint.trial_at else []
                later.append(endpoint.trial_at)
            elif endpoint.bad_since and (not quiet or now < endpoint.trial_at):
                later.append(endpoint.trial_at)  # single file until one is delivered, but for the overdue
            elif endpoint.back_at and not self.warm(endpoint):
                later.append(now + 100 * MS)
            else:
                sound.append(endpoint)
        push.trial = bool(trials) and (not sound or push.ntf.topic.get("kind") != "once-only")
        push.options = trials if push.trial else sound
        if not push.options:
            self.at.idle_until(push, min((t for t in later if t > now), default=0))
        return PASS if push.options else KEEP

    def budget(self, endpoint, age):
        """This dispatcher's share of what an endpoint stands at this age of its return, in calls a second.

        Threat: held work pushes a destination over as it comes back; trials and throttled calls count."""
        get, whole = self.me.settings.get, known(endpoint.route) or FIRST_PACE
        start, warm = get("start_capacity", 1.0), get("warm_within", 0)
        level = start + (1 - start) * min(1.0, age / max(warm, 1))
        mates = sum(e.state == "ready" and e.route is endpoint.route for e in endpoint.destination.endpoints)
        own = max(whole / self.me.dispatchers, usual(endpoint.destination, self.at.now))
        return own / max(mates, 1) * level * get("overload_factor", 1.0) * RAMP_SHARE

    def pause(self, endpoint):
        """How long an endpoint in doubt is left alone: until each of all dispatchers could have a turn.

        Threat: each of many tries seldom, and all together push over what comes back."""
        return int(min(SPACING * DOUBT_GROWTH ** min(endpoint.run, 9), self.full_turn(endpoint)))

    def full_turn(self, endpoint):
        return SEC / max(self.budget(endpoint, 0), 1 / 1800)  # for all dispatchers, half an hour at most

    def few(self, endpoint):  # whether its part of a cold endpoint's budget is too small to tell an outage by
        return LEAST_RUN * self.full_turn(endpoint) > self.me.settings.get("fall_within", 1 << 62)

    def warm(self, endpoint):
        now = self.at.now
        if now - endpoint.back_at >= self.me.settings.get("warm_within", 0):
            self.at.host.log(f"endpoint {endpoint.id} warm after {(now - endpoint.back_at) // MS} ms")
            endpoint.back_at = 0
            return True
        gained = self.budget(endpoint, now - endpoint.back_at) * (now - endpoint.filled_at) / SEC
        endpoint.tokens, endpoint.filled_at = min(1.0, endpoint.tokens + gained), now
        return endpoint.tokens >= 1.0

    def unlikely(self, surely=False, least=LEAST_RUN):
        """The run of bad outcomes that this instance's own share of them no longer explains.

        Threat: a path of ours that loses calls everywhere makes sound endpoints look down or back."""
        return max(least, ceil(log(CHANCE_RUN) / log(min(max(0.01, self.me.loss * (not surely)), 0.5))))

    def back(self, push, ending, latency, wait, report):
        endpoint, now = push.endpoint, self.at.now
        if ending == "delivered":
            self.me.loss *= 1 - LOSS_STEP * (not push.call.judged)  # a call is one sample
            self.good(endpoint)
        elif push.call.judged or ending == "moot" or push.overdue:
            if endpoint.down and ending != "moot":
                self.aside(endpoint)
        elif ending == "throttled":
            # Threat: a shut destination throttles everything and comes back cold.
            since = endpoint.route.refused_since
            if endpoint.down or (since and now - since > SHUT_AFTER):
                self.strike(endpoint, ending, since or now)
        elif ending == "reset" and not endpoint.bad_since and push.call.idle > SILENCE > now - push.sent_at:
            # Threat: what stands between drops idle connections unseen, and the next call on one breaks.
            # The endpoint may be sound or have crashed: the next call goes over a new connection and tells.
            endpoint.excused = push.call.idle
        elif ending != "cancelled" or (push.cancelled and endpoint.good_at < push.sent_at):  # lost at silence
            self.strike(endpoint, ending, push.sent_at)
        push.call.judged = True

    def good(self, endpoint, told=False):
        now = self.at.now
        if idle := endpoint.excused:
            if not self.me.stale_after:
                self.at.host.log(f"connections idle for {idle // MS} ms break: new ones from now on")
            self.me.stale_after = max(SILENCE, min(self.me.stale_after or idle, idle) // STALE)
            endpoint.excused, self.me.stale_seen = 0, now
        # Threat: among many, each meets too few failures to tell an outage, and all return as one.
        outage = endpoint.down or endpoint.run >= self.unlikely(least=1 if self.few(endpoint) else LEAST_RUN)
        if told or outage and now - endpoint.bad_since >= SHORT_OUTAGE:
            gone, sure = now - endpoint.bad_since, told or endpoint.down or endpoint.run >= LEAST_RUN
            # Threat: many are refused twice in an outage, and all of them come sooner.
            calls = self.me.dispatchers * self.me.settings.get("fall_within", 0) / self.full_turn(endpoint)
            sure = sure or (endpoint.run > 1 and endpoint.full_at >= endpoint.bad_since and calls > LARGE)
            endpoint.back_at = now - (not sure) * min(gone, self.me.settings.get("warm_within", 0)) // SOONER
            endpoint.filled_at, endpoint.tokens = now, self.at.chance(endpoint.id)  # less than a call counts
            self.at.host.log(f"endpoint {endpoint.id} back after {gone // MS} ms, warming")
            # Threat: each of many dispatchers would find out late, at the cost of a push.  It may get lost.
            if not told and self.me.settings.get("may_note"):
                self.at.host.note(None, f"back {endpoint.id}".encode())
        endpoint.down, endpoint.bad_since, endpoint.good_at, endpoint.run = False, 0, now, 0
        endpoint.trouble *= 1 - TROUBLE_STEP

    def strike(self, endpoint, why, since):
        endpoint.trouble += (1 - endpoint.trouble) * TROUBLE_STEP
        surely = why == "unreachable"  # no lost call: the endpoint itself is not there
        # Threat: what took its time to fail is silent, not full, and has many waiting for it to come back.
        full = surely and self.at.now - since < SILENCE
        endpoint.run += (1 if full else 2 + surely) + 2 * bool(endpoint.excused)  # the break was its own
        endpoint.excused, endpoint.bad_since = 0, endpoint.bad_since or since
        if full:
            self.me.scarce.add(endpoint.kind)
            endpoint.full_at = self.at.now
        if endpoint.down:
            return self.aside(endpoint)
        self.me.loss += (1 - self.me.loss) * LOSS_STEP * (not surely)
        # Threat: many with a small part each meet an outage of seconds once and come back in it as one.
        pause, fall = self.pause(endpoint), self.me.settings.get("fall_within", 0)
        if full and endpoint.run > 1 and self.few(endpoint) and self.me.dispatchers * fall / pause > LARGE:
            pause = self.full_turn(endpoint)
        endpoint.trial_at = self.at.now + int(pause * (0.5 + self.at.chance(endpoint.id)))
        self.at.wake_at(endpoint.trial_at)
        if endpoint.trouble > 1 - (1 - TROUBLE_STEP) ** (self.unlikely(surely) - 0.5):
            endpoint.down, endpoint.back_at = True, 0
            self.aside(endpoint)
            self.at.host.log(f"endpoint {endpoint.id} set aside: {why}, trouble {endpoint.trouble:.2f}")

    def aside(self, endpoint):
        """A fixed time with a random part, then this dispatcher's own turn."""
        pause = self.pause(endpoint)
        at = self.at.now + max(ASIDE + int(ASIDE_RANDOM * self.at.chance(endpoint.id)), pause // 2)
        turn = min(TURN_SLICE, max(ASIDE, pause) // self.me.dispatchers)
        # Turns lie apart only by a time that all dispatchers share; ours goes on over steps of the clock.
        turns_gone = (at + self.at.wall_clock_ahead) // turn
        own_turn = turns_gone + (self.me.rank - turns_gone) % self.me.dispatchers
        endpoint.trial_at = max(at, own_turn * turn - self.at.wall_clock_ahead)
        self.at.wake_at(endpoint.trial_at)

    def overdue(self, push):
        push.overdue = True
        if not push.call.judged and push.endpoint.good_at < push.sent_at:
            push.call.judged = True
            self.strike(push.endpoint, "overdue", push.sent_at)


class Rate(Stage):
    """What this dispatcher may offer a route, paced evenly."""

    def out(self, push):
        free = [e for e in push.options if self.filled(e.route) >= 1.0 and self.room(e)]
        if not free:
            soonest = min((1 - e.route.tokens) / e.route.pace for e in push.options)
            self.at.idle_until(push, self.at.now + int(soonest * SEC) + 1)
        push.options = free
        return PASS if free else KEEP

    def room(self, endpoint):
        """Threat: an endpoint takes few connections, and what waited for it is turned away as one clump."""
        dest, now = endpoint.destination, self.at.now
        enough = ENOUGH + usual(dest, now) * forecast(dest) / SEC / len(dest.endpoints)
        few = sum(not call.pushes[0].overdue for call in endpoint.calls) < enough  # silent calls fill no room
        return few or now - max(endpoint.route.slowed_at, endpoint.full_at) > CALM

    def most(self, route):
        """Of a known limit: somewhat over an even share, or what mostly stands idle.  Threats: paces that all
        grow to the whole overrun it together; among many, an even share starves who carries much."""
        return known(route) * min(1, MOST_SHARES * max(1 / self.me.dispatchers, SPARE))

    def filled(self, route):
        now, share, most = self.at.now, known(route) / self.me.dispatchers, self.most(route)
        if not route.pace:
            route.pace, route.filled_at = most or FIRST_PACE, now
        gone = max(0, now - max(route.filled_at, route.wait_until)) / SEC  # nothing gathers while it rests
        route.pace = min(most or float("inf"), route.pace + gone * FASTER * (share or route.pace))
        route.tokens = min(max(1.0, BURST * route.pace), route.tokens + gone * route.pace)
        route.filled_at = now
        return route.tokens

    def back(self, push, ending, latency, wait, report):
        route, dest, now = push.endpoint.route, push.ntf.destination, self.at.now
        if report.get("limit"):
            first, route.limit = not route.limit, report["limit"]
            route.left += (report.get("limit_left", 0) - route.left) * (1 if first else SMOOTHING)
            route.pace = self.most(route) if first else route.pace
        if ending == "throttled":
            self.filled(route)
            if now - route.slowed_at > SLOW_GAP:
                # Threat: a quarter of the limit at each of many; back to what this one has really used.
                even = known(route) / self.me.dispatchers
                used = usual(dest, now) + even if even else route.pace
                # Threat: among many, half an even share holds the next one past its objective, and a limit
                # that the reports show idle is not used.  A call that carries several gains by its wait;
                # who refuses with all but the whole limit left is shut.
                spare = min(SPARE * route.limit * route.left, SEC / MOST_REST) / (1 + route.refusals)
                shut = report.get("limit_left", 0) >= NEARLY_ALL
                least = max(even / 2, (not shut) * spare / self.at.most_in_call(push.endpoint))
                route.pace = max(min(route.pace, used) * SLOWER, least or FIRST_PACE / 10)
                if not route.slowed_at or now - route.slowed_at > CALM:
                    self.at.host.log(f"destination {dest.id} throttles: pace {route.pace:.2f}")
                route.slowed_at = now
            route.tokens = min(route.tokens, 0.0)


class Pick(Stage):
    """First in rank, of the own zone where crossing has a price; the next when that has enough."""

    def out(self, push):
        near = self.me.settings.get("zone") if self.me.settings.get("crossing_price") else None
        push.endpoint = min(
            push.options,
            key=lambda e: (max(len(e.calls) + 1 - ENOUGH, 0), near is not None and e.zone != near, e.rank),
        )
        return PASS

    def back(self, push, ending, latency, wait, report):
        endpoint, call = push.endpoint, push.call
        call.pushes.remove(push)
        if not call.pushes:
            endpoint.calls.remove(call)
            endpoint.destination.calls_out -= 1
            self.me.slots_out -= 1
            endpoint.quiet_since = self.at.now
            self.at.quiet.append(endpoint)

    def close(self, endpoint):
        """Threat: many dispatchers that seldom call fill an endpoint's few connections with idle ones.
        What waits for its pace or its turn does not need one meanwhile; what may go has gone by now."""
        if not endpoint.calls and self.seldom(endpoint):
            self.at.host.close_idle(endpoint.id)
            endpoint.quiet_since = 0

    def seldom(self, endpoint):
        whole, get = known(endpoint.route), self.me.settings.get
        part = max(whole / self.me.dispatchers, usual(endpoint.destination, self.at.now))
        carried = get("calls_a_connection", 1)  # at once; only where it is one do idle ones pile up
        reuses = carried * part * get("idle_closes", 0) / SEC  # until the connection closes by itself
        scarce = endpoint.kind in self.me.scarce or (carried == 1 and get("scale_kind") == "rough")
        return part * PLACES < whole and (scarce or reuses < PLACES)


class Timeout(Stage):
    """Forecast + FACTOR x root of MSE, for what may go again; all its time left for the rest."""

    def out(self, push):
        ntf, dest, now = push.ntf, push.ntf.destination, self.at.now
        again = ntf.topic.get("kind") in ("repeatable", "collapsible")
        limit, late = START_TIMEOUT, LEAST_OVERDUE
        if dest.samples >= SAMPLES:
            # The floor: cutting before the objective gains nothing and repeats work that was nearly done.
            limit = max(dest.forecast + FACTOR * dest.miss, ntf.topic.get("objective", LEAST_TIMEOUT))
            limit <<= max(dest.back_off, ntf.cut)
            late = dest.forecast + OVERDUE_FACTOR * dest.miss
        push.overdue_at = now + max(late, LEAST_OVERDUE)
        push.patience = max(late, SILENCE) * (1 if again else LOST)
        push.timeout = min(limit, ntf.ttl_at - now) if again else 0
        return PASS

    def back(self, push, ending, latency, wait, report):
        dest = push.ntf.destination
        if ending == "delivered":
            learn(dest, latency)
            dest.load, dest.served_at = usual(dest, self.at.now) + SEC / USUAL_SPAN, self.at.now
            dest.back_off = 0
        elif ending == "timeout" and 0 < push.timeout < push.ntf.ttl_at - push.sent_at:
            # Threats: answers jump past the time-out for good and leave no sample; a notification is heavy.
            dest.back_off = min(dest.back_off + 1, MOST_DOUBLINGS)
            push.ntf.cut = min(push.ntf.cut + 1, MOST_DOUBLINGS)


class Dispatcher:
    """One instance: the door, where ids become objects, and the turn of decisions."""

    def __init__(self, host, settings, seed, now):
        self.host, self.now = host, now
        self.wall_clock_ahead = 0  # of `now`: what all machines' clocks agree on is the sum of both
        self.me = Instance(settings, seed, settings.get("rank", 0), max(1, settings.get("dispatchers", 1)))
        self.stages = [stage(self) for stage in (Ttl, Order, Slots, Waits, Health, Rate, Pick, Timeout)]
        self.ttl, self.order, _, _, self.health, _, self.pick, self.timeout = self.stages
        self.quiet = []  # endpoints at which a call ended since the last turn

    def chance(self, number):
        """A number from 0 up to 1, the same for equal events."""
        self.me.counter += 1
        return crc32(f"{self.me.seed}/{self.me.rank}/{number}/{self.me.counter}".encode()) / 2**32

    def wake_at(self, at):
        if at > self.now and at not in self.me.wakes:
            self.me.wakes.add(at)
            self.host.timer(at - self.now, at)

    def idle_until(self, push, at):
        """Nothing goes to this destination before then, unless news of it comes first."""
        if at > self.now:
            push.ntf.destination.idle_until = at
            self.wake_at(at)

    def start(self):
        if self.me.settings.get("list_mode") == "ask":
            self.host.subscribe(True)

    def wake(self, tok):
        self.me.wakes.discard(tok)
        if tok == self.me.subscribe_at:
            self.host.subscribe(True)

    def avoids(self, endpoint):
        """Whether an endpoint is set aside: it gets single trials at most."""
        return endpoint.down

    def stopping(self, at):
        self.me.stops_at = at

    def settled(self, settings):
        """Other settings are in force; what was taken on keeps the topic type that it was taken on with."""
        self.me.settings = settings
        for dest in self.me.destinations.values():
            dest.idle_until = dest.look_at = 0

    def listed(self, news, entries):
        """List news: (endpoint, destination, kind, scale, zone, state) for each entry."""
        me = self.me
        me.list_failures = me.list_failures + 1 if news == "failed" else 0
        if me.list_failures:
            # Threats: discovery in trouble, so a growing pause; drains told meanwhile, so a short one first.
            # What is pushed counts as told unasked, the rest 6 s after it was there, by any settings.
            most = MOST_ASK_PAUSE if me.settings.get("list_mode") == "ask" else MOST_LIST_PAUSE
            pause = min(SEC // 8 << min(me.list_failures, 7), most)
            me.subscribe_at = self.now + pause // 2 + int(pause / 2 * self.chance(me.rank))
            self.wake_at(me.subscribe_at)
            return self.host.log(f"list news failed {me.list_failures} times, asking again")
        named = {entry[0] for entry in entries}
        for endpoint in list(me.endpoints.values()):
            if news != "changes" and endpoint.id not in named:
                endpoint.state = "gone"
            if endpoint.state == "gone" and not endpoint.calls and endpoint.id not in named:
                endpoint.destination.endpoints.remove(me.endpoints.pop(endpoint.id))
        for number, destination, kind, scale, zone, state in entries:
            dest = self.destination(destination)
            endpoint = me.endpoints.get(number)
            if endpoint is None:
                apart = me.settings.get("routes_apart", [])
                route = Route() if kind < len(apart) and apart[kind] else dest.route
                endpoint = me.endpoints[number] = Endpoint(number, dest, route, kind, zone, 0)
                endpoint.rank = crc32(f"{me.rank}/{destination}/{number}".encode())
                dest.endpoints.append(endpoint)
            endpoint.state = state
            if me.settings.get("scale_kind") in ("nominal", "rough"):
                endpoint.route.scale = scale
            dest.idle_until = 0

    def destination(self, number):
        return self.me.destinations.setdefault(number, Destination(number))

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
        unsent=False,
        tenant="",
    ):
        topic = (self.me.settings.get("topic_types", [])[topic:] or [{}])[0]
        dest = self.destination(destination)
        ntf = Notification(ntf_id, topic, dest, ttl_at or self.now + topic.get("ttl", 0), key, pushes, unsent)
        # Threats: a push from before a restart has run, or may yet, and nobody will tell; a clock set back.
        since = ran_at if ran_at <= self.now else 0
        ntf.may_have_run = Push(ntf, 0, sent_at=since, zone=ran_zone) if ran_at else None
        if share := self.me.settings.get("tenants", {}).get(tenant):  # threat: a rush displaces the others
            due = max(self.me.tenants.get(tenant, 0), self.now - SHARE_SPAN)  # our even part, in bursts
            ntf.counts = self.me.settings.get("over_share", 1.0) if due > self.now else 1.0
            self.me.tenants[tenant] = due + (due <= self.now) * int(SEC * self.me.dispatchers / share)
        self.me.notifications[ntf_id] = ntf
        failed = pushes > bool(ran_at) or 0 < ran_at < self.now - LEAST_OVERDUE  # else a restart forgets it
        for endpoint in filter(self.health.few, dest.endpoints if failed else ()):
            endpoint.back_at, endpoint.filled_at, endpoint.tokens = self.now, self.now, 1.0
        if key and topic.get("ordered"):
            self.me.keys.setdefault(key, []).append(ntf)
        dest.waiting.append(ntf)
        dest.idle_until, dest.look_at = 0, min(dest.look_at, self.ttl.ends(ntf))
        self.wake_at(ntf.ttl_at - 2 * self.me.settings.get("tick", 0))

    def outcome(self, ntf_id, number, ending, latency=0, wait=0, over=False, report=None):
        push = self.me.pushes.pop((ntf_id, number), None)
        if push is None:
            return
        ntf = push.ntf
        if over or ending == "delivered":
            self.close(ntf)
        for stage in reversed(self.stages):
            stage.back(push, ending, latency, wait, report or {})
        ntf.destination.idle_until = ntf.destination.look_at = 0
        if ntf.over:
            self.release(ntf)

    def withdrawn(self, ntf_id):
        if ntf_id in self.me.notifications:
            self.close(self.me.notifications[ntf_id])

    def note(self, rank, body):
        """A note from another dispatcher: an endpoint that we hold in doubt delivers again."""
        word, _, number = body.partition(b" ")
        endpoint = self.me.endpoints.get(int(number)) if word == b"back" and number.isdigit() else None
        if endpoint and endpoint.bad_since and rank != self.me.rank:
            self.health.good(endpoint, told=True)
            endpoint.destination.idle_until = 0

    def close(self, ntf):
        if not ntf.over:
            ntf.over = True
            del self.me.notifications[ntf.id]
            if ntf in ntf.destination.waiting:
                ntf.destination.waiting.remove(ntf)
            self.release(ntf)

    def release(self, ntf):
        queue = self.me.keys.get(ntf.key)
        if queue and ntf.out is None and ntf in queue:
            queue.remove(ntf)
            if not queue:
                del self.me.keys[ntf.key]

    def give_up(self, ntf):
        """The final answer, at once: throttled where trying again is harmless, else expired."""
        if harmless(ntf, self.now):
            again = min(ntf.destination.route.wait_until - self.now, self.me.settings.get("most_again_in", 0))
            self.host.throttled(ntf.id, max(again, 0) if self.me.settings.get("advises_again") else 0)
        else:
            self.host.expired(ntf.id)
        self.close(ntf)

    def turn(self, may_send=True):
        for push in [p for p in self.me.pushes.values() if not p.overdue and self.now >= p.overdue_at]:
            self.health.overdue(push)
        waiting = [d for d in self.me.destinations.values() if d.waiting]
        for dest in [d for d in waiting if d.look_at <= self.now]:
            dest.look_at = min(map(self.ttl.ends, dest.waiting), default=0)
            for ntf in [n for n in dest.waiting if dest.look_at <= self.now >= self.ttl.ends(n)]:
                self.give_up(ntf)
        self.shed(waiting)
        self.reclaim(waiting)
        ready = [d for d in waiting if may_send and d.waiting and d.idle_until <= self.now]
        while ready:
            dest = min(ready, key=lambda d: (d.calls_out, d.turn))
            if not self.serve(dest) or not dest.waiting:
                ready.remove(dest)
        for endpoint in self.quiet:
            self.pick.close(endpoint)
        self.quiet.clear()

    def shed(self, waiting):
        """Threat: held places run out, and what comes next is turned away whatever it is worth."""
        held, most = len(self.me.notifications), self.me.settings.get("most_held", 1 << 30) * SHED_AT
        if held > most and not self.me.shedding:
            self.host.log(f"places run out: {held} held, throttling what is worth least")
        self.me.shedding = held > most or (self.me.shedding and held > most / 2)
        while len(self.me.notifications) > most and (
            least := [n for d in waiting for n in d.waiting if harmless(n, self.now) and not n.unsent]
        ):
            self.give_up(min(least, key=lambda n: benefit(n, self.now) / (1 + len(n.destination.waiting))))

    def reclaim(self, waiting):
        """Threat: calls never answered hold the slots until their TTL; who is lost longest gives its up."""
        free = self.me.settings.get("slots", 1 << 30) - self.me.slots_out
        short = any(d.waiting and (d.calls_out > free or not free) for d in waiting)
        if out := [p.call for p in self.me.pushes.values() if short and not p.cancelled]:
            first = min(out, key=lambda call: call.lost_at)
            self.wake_at(first.lost_at)
            gone = first.lost_at <= self.now and self.me.settings.get("may_cancel")
            for mate in first.pushes if gone else ():
                mate.cancelled = True
                self.host.cancel(mate.ntf.id, mate.number)

    def serve(self, dest):
        """Send the best of what waits for one destination, if anything may go now."""
        now = self.now
        # Threat: those behind others of their key are looked at first, and hide all that may go.
        ready = [n for n in dest.waiting if n.not_before <= now and self.order.in_turn(n)]
        # Threat: hundreds wait, and are ranked anew at every event though none may go: the core is used up.
        first = Push(min(ready, key=lambda n: n.pushes), 0) if ready else None
        if not ready or any(stage.out(first) != PASS for stage in self.stages[2:6]):
            return False
        trial = all(e.down for e in dest.endpoints)  # takes what affords the loss, fewest pushes first
        ready.sort(
            key=lambda n: (n.topic.get("kind") == "once-only", n.pushes, benefit(n, now))
            if trial
            else (not n.unsent, -benefit(n, now + forecast(dest)), n.ttl_at)
        )
        pushes = (Push(ntf, ntf.pushes) for ntf in ready[:4])
        if push := next((p for p in pushes if all(stage.out(p) == PASS for stage in self.stages)), None):
            self.send(push, ready)
        return push is not None

    def most_in_call(self, endpoint):
        sizes = self.me.settings.get("batch_by_kind", [])
        return sizes[endpoint.kind] if endpoint.kind < len(sizes) else 1

    def send(self, push, ready):
        endpoint, dest, call = push.endpoint, push.ntf.destination, Call()
        # Threats: a batch shares one fate; one that an endpoint cannot digest fails its mates each time.
        single = push.trial or endpoint.bad_since or push.ntf.may_have_run
        most = 1 if single else self.most_in_call(endpoint)
        if not endpoint.calls and endpoint.quiet_since:
            call.idle = self.now - endpoint.quiet_since
            if self.me.stale_after and self.now - self.me.stale_seen > USUAL_SPAN:
                self.me.stale_after = 0
            if endpoint.excused or 0 < self.me.stale_after < call.idle:
                self.host.close_idle(endpoint.id)
                call.idle = 0
        self.launch(push, endpoint, call)
        free = (Push(n, n.pushes) for n in ready if not (n.out or n.over or n.may_have_run))
        mates = (mate for mate in free if self.order.in_turn(mate.ntf))
        for _, mate in zip(range(most - 1), mates, strict=False):
            self.timeout.out(mate)
            self.launch(mate, endpoint, call)
        endpoint.calls.append(call)
        dest.turn = self.me.turns = self.me.turns + 1
        dest.calls_out += 1
        self.me.slots_out += 1
        weight = 1 + BATCH_WEIGHT * (len(call.pushes) - 1)
        call.lost_at = self.now + int(weight * max(p.patience for p in call.pushes))
        endpoint.route.tokens -= weight
        endpoint.tokens -= weight  # counts while it warms

    def launch(self, push, endpoint, call):
        ntf, ends = push.ntf, self.ttl.ends(push.ntf)
        push.endpoint, push.zone, push.call, push.sent_at = endpoint, endpoint.zone, call, self.now
        ntf.out, ntf.pushes = push, ntf.pushes + 1
        ntf.destination.waiting.remove(ntf)
        call.pushes.append(push)
        self.me.pushes[ntf.id, push.number] = push
        # Threat: a connection that is slow to come up, and it arrives past its window, or after its end.
        self.host.push(ntf.id, endpoint.id, push.timeout, ends - self.now)
        self.wake_at(push.overdue_at)
