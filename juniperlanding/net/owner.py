"""The one task that owns the decision module: events come by a queue, what it asks for is carried out after.

A round takes all that has come, lets the module take its turn, writes the ledger, and only then starts calls,
answers clients and posts notices; nothing in a round waits for anybody."""

import heapq
from contextlib import suppress

import trio

from juniperlanding import carry, rules
from juniperlanding.choice import MS, NEVER_RAN, SEC, Dispatcher, repeats_until
from juniperlanding.ground.errors import system
from juniperlanding.ground.log import described, where
from juniperlanding.net import protocol
from juniperlanding.net.counters import ABORTED, DECLINED, SUCCEEDED
from juniperlanding.net.endpoints import Send
from juniperlanding.net.trace import Trace

ROUND = 256  # events taken together at most
SETTLE = 0.005  # seconds between looks at whether all has come to rest
STOOD_STILL = SEC // 4  # without a round; one of an idle process costs no more than a look or two
WRITE_TRIES = 3  # in one round; a disk that fails now and then turns nobody away
WRITE_AGAIN, MOST_WRITE_AGAIN = 5 * MS, 50 * MS  # until a ledger that could not be written is tried again
CLOCK_STEP = MS  # a wall clock that is off by less has not been stepped
MOST_LATE = 300 * MS  # after its TTL an end is due
LAST_CALL = SEC // 5  # after its TTL, what the module has not ended is ended here, with a round between


FULL = (rules.Reason.NO_PLACE, rules.Reason.NO_DISK)


class Answer:
    """What a client waits for."""

    def __init__(self, ntf_id):
        self.ntf_id, self.ready, self.status, self.again_in = ntf_id, trio.Event(), 503, 0
        self.took = False  # whether it is this request that was taken on, and not the same id before
        self.is_shared = False  # whether another request of the same id was told yes, too
        self.under = 0  # the number in force then


class Owner:
    """The module's host on sockets."""

    def __init__(self, config, clock, ledger, counters, log):
        self.config, self.ledger, self.counters, self.log_line = config, ledger, counters, log
        self.clock = clock
        self.now = clock.now
        self.batches = config.settings.get("batch_by_kind", [])
        self.held = {}  # what the module has not ended, with its client's answer; the ledger has the rest
        self.taken = set()  # ids until their TTL; threat: one that is over comes again, and would run twice
        self.timers, self.sequence, self.entries = [], 0, {}
        self.trace = Trace(log, counters, config.trace)
        self.told_waits = {}  # endpoint: until when it, or a mate on its route, told us to wait
        self.calls, self.cancels, self.answers, self.notices_due = {}, [], [], []
        self.queue, self.inbox = trio.open_memory_channel(ROUND * 4)
        self.endpoints = self.notices = self.discovery = self.clients = None
        self.ready, self.frozen, self.parked = False, False, trio.Event()
        self.watch = None  # a part that counts what is handed in and answered
        self.stuck, self.write_at = False, 0  # the ledger cannot be written; when it is tried again
        self.write_pause = WRITE_AGAIN
        self.overslept = 0  # how late this round comes after the timer that it was due for
        self.stuck_at, self.said = 0, None
        self.at = Dispatcher(self, config.settings, config.seed, self.now())
        # None: nothing binds us.  Else `holds()` is the number under which new work may be taken on, or None.
        self.licence, self.in_force = None, 0
        self.terms = {}  # number: topic types of each that something owed was taken on under; off, none
        self.topics = self.named()

    # ---- what socket tasks say; each becomes a call in the owner's next round

    async def tell(self, what, *fields):
        with suppress(trio.BrokenResourceError):  # the owner has ended: nobody is told any more
            await self.queue.send((what, fields))

    def tell_now(self, what, *fields):
        """For clients: False when the queue is full, which they are told."""
        try:
            self.queue.send_nowait((what, fields))
        except (trio.WouldBlock, trio.BrokenResourceError):
            return False
        return True

    # ---- what is in force

    def named(self):
        types = self.at.me.settings["topic_types"]
        return {topic.get("name"): at for at, topic in enumerate(types)}

    def bound(self, licence, terms):
        """From now on new work is taken on under a licence alone; none is held yet."""
        self.licence, self.in_force, self.terms = licence, -1, terms

    def settle(self, number, settings):
        """A policy is in force from this round on; what was taken on before keeps its terms."""
        # What an earlier process took on under the same number has its topic types already.
        types = self.terms.get(number, settings["topic_types"])
        self.at.settled(settings | {"topic_types": types})
        self.in_force, self.topics = number, self.named()
        owed = {one.under for one in self.ledger.owed.values()} | {0}
        self.terms = {one: told for one, told in self.terms.items() if one in owed} | {number: types}

    def licensed(self, under):
        return self.licence is None or self.licence.holds() == under

    def terms_of(self, owed):
        """The settings with the topic types that it was taken on with."""
        settings, types = self.at.me.settings, self.terms.get(owed.under)
        return settings | {"topic_types": types} if types else settings

    # ---- the rounds

    def begin(self, known, offer=None):
        """The first event: the module gets the last list, and what the ledger owes; or goes on with what the
        process before us offers, so that nothing begins anew."""
        me = self.at.me
        if not (offer and self.inherit(offer)):
            self.at.start()
            self.guarded(self.listed, "cached", known)
        for owed in list(self.ledger.owed.values()):
            self.guarded(self.restore, owed)
        for ntf_id in me.notifications.keys() - self.ledger.owed.keys():
            self.guarded(self.at.withdrawn, ntf_id)
        for ntf_id, number in me.pushes.keys() - self.endpoints.out.keys():
            self.guarded(self.at.outcome, ntf_id, number, "reset")  # its connection did not come with it
        for ntf_id, ttl_at in list(self.ledger.over.items()):
            self.taken.add(ntf_id)
            self.after(max(ttl_at, self.at.now) + LAST_CALL, self.overdue, ntf_id)
        self.ready = True

    def inherit(self, offer):
        """Whether the module could go on with an offer; a client's connection goes on in either case."""
        self.clients.inherit(self.nursery, offer.clients())
        try:
            offer.fits(self.config.settings)
            carry.given_to(self.at.me, offer.state["module"], self.terms)
        except carry.Unknown as error:
            # Threat: records of another version; as after a kill, what was out may have run.
            self.log_line("upgrade", "the module begins from the ledger", why=str(error))
            offer.drop_calls()
            return False
        for *entry, host, port in offer.state["entries"]:
            self.entries[entry[0]], self.endpoints.book[entry[0]] = tuple(entry), (host, port)
        self.endpoints.inherit(self.nursery, offer.calls(), offer.idle())
        self.discovery.inherit(offer.state["revision"], offer.state["discovery"])
        self.discovery.subscribe(offer.state["following"])
        for at in list(self.at.me.wakes):
            self.timer(at - self.at.now, at)
        return True

    def restore(self, owed):
        """Hand the module again what an earlier process took on, or post its notice again."""
        self.counters["restored"] += 1
        self.taken.add(owed.id)
        self.after(max(owed.ttl_at, self.at.now) + LAST_CALL, self.overdue, owed.id)
        if owed.notice:
            self.counters["notices_due"] += 1
            return self.notices_due.append((owed.id, *owed.notice))
        self.held[owed.id] = None
        if owed.id in self.at.me.notifications:
            return  # handed on with all that the module knows of it
        if owed.ttl_at <= self.at.now:
            # Threat: the process before could tell its end and not write it, and this one tells another.
            return self.expired(owed.id)
        first = min(owed.ran.values(), key=lambda ran: ran[1], default=(0, 0))
        present, self.at.me.settings = self.at.me.settings, self.terms_of(owed)
        try:
            self.at.notification(
                owed.id,
                self.named().get(owed.topic, len(self.topics)),
                owed.destination,
                ttl_at=owed.ttl_at,
                key=owed.turn,
                pushes=owed.pushes,
                ran_zone=first[0],
                ran_at=first[1],
                unsent=not owed.left,
            )
        finally:
            self.at.me.settings = present

    async def run(self, nursery):
        """Rounds until it was frozen and nothing that began is left open; then the module gets no turn.

        Threat: the queue is full and nobody takes from it any more, so that who tells what must not be lost
        waits for good, and the process never ends; so the queue ends with its owner."""
        self.nursery = nursery
        with self.inbox:
            await self.rounds()

    async def rounds(self):
        while not (self.frozen and self.settled()):
            events = await self.gather()
            self.at.now = now = self.now()
            self.follow_wall_clock()
            self.overslept = max(0, now - self.timers[0][0]) if self.timers else 0
            for what, fields in events:
                self.guarded(what, *fields)
            while self.timers and self.timers[0][0] <= now:
                self.guarded(*heapq.heappop(self.timers)[2:])
            if not self.frozen:
                self.guarded(self.at.turn, rules.may_start(not self.stuck, self.frozen).is_allowed)
            self.write()
            self.carry_out()
            if self.parked.is_set():
                await trio.sleep_forever()  # `hear_out` takes what still comes

    def follow_wall_clock(self):
        """Tell the module how far the machine's wall clock is ahead of ours, where that has changed.

        Dispatchers take turns by the time that their machines agree on; ours is kept from all steps."""
        ahead = self.clock.wall() - self.at.now
        if abs(ahead - self.at.wall_clock_ahead) >= CLOCK_STEP:
            self.at.wall_clock_ahead = ahead

    def park(self):
        """Take no round after this one.  Threat: an event in the hand of a task that is ended is lost."""
        self.parked.set()

    def settled(self):
        if self.ledger.pending:
            return False  # what is handed over is read from the folder
        queue = self.inbox.statistics()
        idle = not queue.current_buffer_used and not queue.tasks_waiting_send
        if trio.current_time() > self.frozen_until:
            self.log_line("upgrade", "not all came to rest in time", clients=self.clients.open)
            return idle
        return idle and self.clients.settled() and self.endpoints.settled()

    def freeze(self, within):
        """Take on nothing more, start nothing; `run` ends within so many seconds."""
        self.frozen, self.frozen_until = True, trio.current_time() + within
        self.clients.freeze()
        self.endpoints.freeze()

    def write(self):
        """Threat: the disk fails.  Nothing leaves and no client is told yes before the ledger has it, while
        what is out is heard, what can no longer go is ended, and who comes is refused at once (`stuck`)."""
        if not self.stuck or self.at.now >= self.write_at:
            self.flush()
        if self.stuck:
            self.hold_back()
        elif self.licence is not None and self.answers:
            self.look_again()

    def flush(self):
        now = self.now()
        try:
            self.write_ledger()
            self.write_pause = WRITE_AGAIN
            if self.stuck:
                self.stuck, self.said, after = False, None, (now - self.stuck_at) / SEC
                self.log_line("ledger", "writes again", after=f"{after:.2f}s")
        except OSError as error:
            self.stuck_at = self.stuck_at if self.stuck else now
            self.stuck, self.write_at = True, now + self.write_pause
            self.write_pause = min(2 * self.write_pause, MOST_WRITE_AGAIN)
            if self.said != (said := described(error)):
                self.said = said
                self.log_line("ledger", "cannot write", why=said, **system(error).fields)
            self.counters["ledger_errors"] += 1

    def write_ledger(self):
        """Write what gathered, at the third try at the latest; the last try's OSError."""
        for _ in range(WRITE_TRIES - 1):
            try:
                return self.ledger.flush()
            except OSError:
                self.counters["ledger_errors"] += 1
        self.ledger.flush()

    def may_leave(self, endpoint, sends):
        """Between rounds: whether the last byte of a call may leave, now that it stands written.

        Writing may take long, and the process may have stood still since the call began; so the time of the
        verdict is read last."""
        if not self.on_file(sends):
            return False
        now = self.now()
        verdicts = [rules.may_send(self.send_facts(endpoint, send), now) for send in sends]
        for send, verdict in zip(sends, verdicts, strict=True):
            if not verdict.is_allowed:
                self.trace.withheld(send.id, send.number, verdict.reason)
                if verdict.reason in rules.BROKEN_BY_A_PATH:
                    self.trace.violation(rules.Rule.SEND, send.id, reason=verdict.reason, endpoint=endpoint)
        return all(verdict.is_allowed for verdict in verdicts)

    def in_service(self, call):
        """Whether the endpoint of a call takes new ones, by all lists so far."""
        endpoint = self.at.me.endpoints.get(call.endpoint)
        return endpoint is not None and endpoint.state == "ready"

    def send_facts(self, endpoint, send):
        """What `rules.may_send` asks of one message of a call."""
        notification = self.at.me.notifications.get(send.id)
        listed = self.at.me.endpoints.get(endpoint)
        return rules.SendFacts(
            is_owed=send.id in self.held and notification is not None and not send.over,
            deadline=send.ttl_at,
            may_have_run=notification is not None and notification.may_have_run is not None,
            is_once_only=notification is not None and notification.topic.get("kind") == "once-only",
            repeats_until=repeats_until(notification) if notification else 0,
            is_in_service=listed is not None and listed.state == "ready",
            wait_until=self.told_waits.get(endpoint, 0),
        )

    def on_file(self, sends):
        """Whether it is written that these pushes may have run; a ledger that cannot be written lets nothing
        leave."""
        now = self.now()
        if not self.stuck:
            for send in sends:
                if send.id in self.ledger.owed:
                    self.ledger.write("p", send.id, send.number, send.zone, now)
            self.flush()
        return not self.stuck

    def look_again(self):
        """The instant of taking on: it is written, nothing has begun.  Threat: the licence ended meanwhile.

        From here on it is owed under its number, whenever the client hears of it."""
        late = {
            answer.ntf_id: answer
            for answer in self.answers
            if answer.took and answer.status == 202 and not self.licensed(answer.under)
        }
        if not late:
            return
        for place, sends in self.calls.items():
            for send in [send for send in sends if send.id in late]:
                self.guarded(self.at.outcome, send.id, send.number, "moot")
            self.calls[place] = [send for send in sends if send.id not in late]
        for ntf_id in late:
            self.counters.ended(self.ledger.owed[ntf_id].topic, DECLINED)
            self.take_back(ntf_id)
        told = [answer for answer in self.answers if answer.ntf_id in late]  # the same id twice in a round
        for answer in told:
            answer.status, answer.again_in = 503, self.licence.again_in()
        try:
            self.ledger.flush()
        except OSError as error:
            # Threat: the disk says that we owe them, we are killed, and they run after all.
            self.log_line("ledger", "cannot write", why=described(error))
            self.stuck, self.write_at = True, self.at.now + WRITE_AGAIN
            self.hold_back()
            for answer in told:
                answer.status = 500

    def hold_back(self):
        """Of what this round asked for nothing has begun, and none of it does."""
        for send in [send for sends in self.calls.values() for send in sends]:
            self.guarded(self.at.outcome, send.id, send.number, "moot")
        self.calls.clear()
        for answer in self.answers:
            if self.held.get(answer.ntf_id) is answer:
                # Threat: half of what was written cannot be cut off, we are killed, and it runs after all.
                answer.status, how = (500, ABORTED) if self.ledger.torn else (503, DECLINED)
                self.counters.ended(self.ledger.owed[answer.ntf_id].topic, how)
                self.take_back(answer.ntf_id)
            else:
                answer.status = 503

    async def gather(self):
        events = []
        left = (self.timers[0][0] - self.now()) / SEC if self.timers else float("inf")
        if self.stuck:
            left = min(left, max(0, self.write_at - self.now()) / SEC)
        with trio.move_on_after(min(max(0, left), SETTLE if self.frozen else float("inf"))):
            events.append(await self.inbox.receive())
        # Threat: after standing still, timers would come before answers; and the first look at the sockets
        # tells of nothing then (EINTR), so that there has to be another.
        for _ in range(1 if self.now() - self.at.now < STOOD_STILL else 3):
            await trio.lowlevel.checkpoint()
        while len(events) < ROUND:
            try:
                events.append(self.inbox.receive_nowait())
            except trio.WouldBlock:
                break
        return events

    def guarded(self, what, *fields):
        """Threat: one odd event must not end the program with all that it owes."""
        try:
            what(*fields)
        except Exception as error:
            self.counters["faults"] += 1
            self.log_line("fault", part="owner", why=described(error), at_line=where(error))

    def carry_out(self):
        for answer in self.answers:
            answer.ready.set()
        for (endpoint, _), sends in self.calls.items():
            if sends:
                self.endpoints.start(self.nursery, endpoint, sends)
        for ntf_id, number in self.cancels:
            self.endpoints.cancel(ntf_id, number)
        for notice in self.may_be_posted():
            self.notices.add(*notice)
        for asked in (self.answers, self.calls, self.cancels):
            asked.clear()

    def hear_out(self):
        """The process ends: what was told or has come and no round has taken still counts.

        Threat: what was answered with 200 is given up after the restart, or runs once more."""
        self.at.now = now = self.now()
        with suppress(trio.WouldBlock):
            while True:
                what, fields = self.inbox.receive_nowait()
                if what != self.submit:  # its client is told no more, so nothing is owed
                    self.guarded(what, *fields)
        for call in set(self.endpoints.out.values()):
            if call.written and call.line and len(call.sends) == 1:
                if protocol.says_delivered(call.line.arrived()):
                    one = call.sends[0]
                    ended = [(one.id, one.number, "delivered", now - call.began_at, 0, True, None)]
                    self.guarded(self.finished, call.endpoint, ended, now)

    def may_be_posted(self):
        """Threat: a notice goes out unwritten, we are killed, and what was handed back runs again.  Past its
        TTL it cannot."""
        due, self.notices_due = self.notices_due, []
        if not self.stuck:
            return due
        left = {
            ntf_id: self.ledger.owed[ntf_id].ttl_at - self.at.now
            for ntf_id, *_ in due
            if ntf_id in self.ledger.owed
        }
        self.notices_due = [notice for notice in due if left.get(notice[0], 0) > 0]
        late = [ntf_id for ntf_id, *_ in due if left.get(ntf_id, 1) <= 0]
        for ntf_id in late:
            # Threat: we end before this can be written, and the next process gives up what we handed back.
            self.ledger.replace_end(ntf_id, protocol.GIVEN_UP, 0)
        return [(ntf_id, protocol.GIVEN_UP, 0) for ntf_id in late]

    # ---- events

    def gauges(self):
        """What is so at this moment, under the operators' names."""
        listed = [endpoint for endpoint in self.at.me.endpoints.values() if endpoint.state != "gone"]
        return {
            "outstanding": len(self.held),
            "discovered": len(listed),
            "ejected": sum(map(self.at.avoids, listed)),
        }

    def listed(self, news, members):
        for entry, address in members:
            if self.endpoints.book.get(entry[0], address) != address:
                self.endpoints.move(entry[0])
            self.endpoints.book[entry[0]], self.entries[entry[0]] = address, entry
        self.at.listed(news, [entry for entry, _ in members])
        # What a whole list leaves out is gone, though it is named nowhere.
        self.endpoints.recall({call.endpoint for call in self.endpoints.calls() if not self.in_service(call)})
        for gone in self.entries.keys() - self.at.me.endpoints.keys():
            del self.endpoints.book[gone], self.entries[gone]
            self.told_waits.pop(gone, None)

    def submit(self, topic, destination, ttl_at, key, body, answer, turn="", tenant=""):
        ntf_id = answer.ntf_id
        self.answers.append(answer)
        if ntf_id in self.taken or ntf_id in self.ledger.owed:
            answer.status = 202  # the same once more on a new connection, or by another client
            if first := self.held.get(ntf_id):
                first.is_shared = True
            return
        if self.licence is not None and not self.licensed(self.in_force):
            answer.again_in = self.licence.again_in()
            self.counters["unlicensed"] += 1
            self.trace.refused(ntf_id, rules.Reason.UNLICENSED)
            return self.counters.ended(topic, DECLINED)
        facts = rules.TakeOnFacts(
            is_writable=not self.stuck,
            is_destination_known=destination in self.at.me.destinations,  # else the list is behind
            has_place=len(self.held) < self.at.me.settings.get("most_held", 1 << 30),
            has_disk=self.ledger.room(len(body)),
        )
        verdict = rules.may_take_on(facts)
        if self.watch and facts.is_writable and facts.is_destination_known:
            self.watch.handed_in(topic, destination)
        if not verdict.is_allowed:
            self.trace.refused(ntf_id, verdict.reason)
            self.counters["turned_away_full"] += verdict.reason in FULL
            return self.counters.ended(topic, DECLINED)
        self.ledger.take(ntf_id, topic, destination, ttl_at, key, body, under=self.in_force)
        if turn:
            self.ledger.write("k", ntf_id, turn)
        self.held[ntf_id] = answer
        try:
            self.at.notification(
                ntf_id, self.topics[topic], destination, ttl_at=ttl_at, key=turn, tenant=tenant
            )
        except Exception:  # threat: the client hears yes, and the module has nothing of it
            self.end(ntf_id)
            raise
        self.after(ttl_at + LAST_CALL, self.overdue, ntf_id)
        self.taken.add(ntf_id)
        self.counters["taken_on"] += 1
        answer.status, answer.took, answer.under = 202, True, self.in_force
        self.trace.event(ntf_id, "taken", topic=topic, destination=destination)

    def overdue(self, ntf_id, looked=False):
        """Threat: the module failed at an event, and what it concerned would never end."""
        if not looked:  # threat: we stood still past the TTL, and the module has had no turn since
            return self.after(self.at.now + LAST_CALL // 4, self.overdue, ntf_id, True)
        self.taken.discard(ntf_id)
        self.ledger.forget(ntf_id)
        if ntf_id in self.held:
            self.log_line("fault", "a notification was not ended in time", part="owner", notification=ntf_id)
            self.counters["faults"] += 1
            self.at.withdrawn(ntf_id)
            self.expired(ntf_id)

    def unheard(self, answer):
        """The client left before it was told: nothing is owed, unless another heard yes for the same id."""
        if answer.is_shared:
            return
        self.take_back(answer.ntf_id)
        self.counters["unheard"] += 1

    def take_back(self, ntf_id):
        self.taken.discard(ntf_id)
        self.at.withdrawn(ntf_id)
        self.end(ntf_id, "x")

    def finished(self, endpoint, outcomes, heard):
        """`heard`: when.  Threat: this round comes long after, and a delivery in time looks late."""
        for ntf_id, number, ending, latency, wait, over, report in outcomes:
            if self.watch and ending == "delivered" and (ntf := self.at.me.notifications.get(ntf_id)):
                in_time = over and ntf_id in self.held and heard < ntf.ttl_at
                self.watch.answered(ntf, self.at.me.endpoints.get(endpoint), latency, in_time, heard)
            if over and ntf_id in self.held:
                owed = self.ledger.owed[ntf_id]
                in_time = ending == "delivered" and heard < owed.ttl_at  # else withdrawn, or too late
                self.counters.ended(owed.topic, SUCCEEDED if in_time else ABORTED)
                if heard >= owed.ttl_at - protocol.TIME_IS_UP:
                    # Threat: an answer that comes as the time is up ends it for nobody; a notice too many
                    # does no harm.
                    self.held.pop(ntf_id)
                    self.give_notice(ntf_id, protocol.GIVEN_UP, 0)
                else:
                    self.end(ntf_id)
            elif over:
                self.end(ntf_id)
            elif ending in NEVER_RAN:
                self.never_ran(ntf_id, number, ending)
            self.trace.event(ntf_id, ending, number=number, endpoint=endpoint, over=over, wait_ms=wait // MS)
            if wait and endpoint in self.at.me.endpoints:
                mates = self.mates(endpoint)
                self.told_waits.update(dict.fromkeys(mates, heard + wait))
                self.endpoints.recall(mates)
            self.at.outcome(ntf_id, number, ending, latency=latency, wait=wait, over=over, report=report)

    def never_ran(self, ntf_id, number, ending):
        """What never left is on file only where its endpoint could not be reached: a restart is to know of
        that, and one that was called back, or met no place, is untried.

        Threat: told by the module's number, it has used up tries that never were."""
        owed = self.ledger.owed.get(ntf_id)
        if owed and (number in owed.ran or ending == "unreachable"):
            self.ledger.write("n", ntf_id, number if number in owed.ran else owed.pushes)

    def mates(self, endpoint):
        """The endpoints that a wait told by one of them binds."""
        route = self.at.me.endpoints[endpoint].route
        return {mate for mate, other in self.at.me.endpoints.items() if other.route is route}

    def end(self, ntf_id, how="e"):
        self.held.pop(ntf_id, None)
        if ntf_id in self.ledger.owed:
            self.ledger.write(how, ntf_id)
            if ntf_id not in self.taken:
                self.ledger.forget(ntf_id)  # its TTL was past before it ended

    # ---- what the module asks for (interface.Host)

    def push(self, ntf_id, endpoint_id, timeout, leave_within):
        owed, now = self.ledger.owed[ntf_id], self.at.now
        number = self.at.me.notifications[ntf_id].pushes - 1  # the ledger knows only those that left
        until = min(now + timeout, owed.ttl_at) if timeout else owed.ttl_at
        leave_by = now + leave_within if leave_within else until
        kind, _, zone = self.entries[endpoint_id][2:5]
        send = Send(ntf_id, number, owed.key, owed.body, until, owed.ttl_at, leave_by, zone)
        self.trace.event(ntf_id, "sending", number=number, endpoint=endpoint_id)
        most = self.batches[kind] if kind < len(self.batches) else 1
        part = 0
        while len(self.calls.setdefault((endpoint_id, part), [])) >= max(most, 1):
            part += 1
        self.calls[endpoint_id, part].append(send)

    def cancel(self, ntf_id, number):
        self.cancels.append((ntf_id, number))

    def throttled(self, ntf_id, again_in):
        self.conclude(ntf_id, protocol.HANDED_BACK, 503, again_in)

    def expired(self, ntf_id):
        self.conclude(ntf_id, protocol.GIVEN_UP, 500, 0)

    def conclude(self, ntf_id, outcome, status, again_in):
        """In the client's own answer while that is still to come, else by a notice."""
        if ntf_id not in self.held:
            return self.trace.violation(rules.Rule.ANSWERED_TWICE, ntf_id, outcome=outcome)
        answer = self.held.pop(ntf_id)
        how = DECLINED if outcome == protocol.HANDED_BACK else ABORTED
        self.counters.ended(self.ledger.owed[ntf_id].topic, how)
        if answer in self.answers:
            for same in [one for one in self.answers if one.ntf_id == ntf_id]:
                same.status, same.again_in = status, again_in
            self.taken.discard(ntf_id)
            return self.ledger.write("x", ntf_id)
        self.give_notice(ntf_id, outcome, again_in)

    def give_notice(self, ntf_id, outcome, again_in):
        late = self.at.now - self.ledger.owed[ntf_id].ttl_at
        if self.ready and late - self.overslept > MOST_LATE:
            self.trace.violation(rules.Rule.LATE_END, ntf_id, late_ms=late // MS)
        self.trace.event(ntf_id, outcome, again_in_ms=again_in // MS)
        self.ledger.write("o", ntf_id, outcome, again_in // MS)
        self.counters["notices_due"] += 1
        self.notices_due.append((ntf_id, outcome, again_in // MS))

    def timer(self, delay, tok):
        self.after(self.at.now + delay, self.at.wake, tok)

    def after(self, at, what, *fields):
        self.sequence += 1
        heapq.heappush(self.timers, (at, self.sequence, what, *fields))

    def close_idle(self, endpoint_id):
        self.endpoints.close_idle(endpoint_id)

    def subscribe(self, on):
        self.discovery.subscribe(on)

    def fetch_list(self):
        self.discovery.fetch()

    def probe(self, endpoint_id):
        self.log_line("host", "no checks on these sockets")

    def note(self, rank, body):
        self.counters["notes_unsent"] += 1  # the protocol has no notes between dispatchers

    def log(self, text):
        self.log_line("module", text)
