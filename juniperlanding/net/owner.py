"""The task that owns the decision module: it takes events from a queue and carries out the module's requests.

One iteration of the decision loop takes all events that have arrived, gives the module its turn, writes the
ledger, and only then starts calls, answers clients and posts notices. No iteration waits for a peer."""

from contextlib import suppress

import trio

from juniperlanding import carry, rules
from juniperlanding.choice import MS, NOT_EXECUTED, SEC, Dispatcher, repeats_until
from juniperlanding.ground.log import error_location, safe_description
from juniperlanding.net import protocol
from juniperlanding.net.content_digest import content_digest, is_same_content
from juniperlanding.net.counters import ABORTED, DECLINED, SUCCEEDED
from juniperlanding.net.endpoints import PushAttempt
from juniperlanding.net.known_ids import MEMORY_SHARE, KnownIds
from juniperlanding.net.ledger_writer import MAX_WRITE_BACKOFF, LedgerWriter
from juniperlanding.net.timers import Timers
from juniperlanding.net.trace import Trace

MAX_EVENTS_PER_ITERATION = 256  # events taken in one iteration at most
QUIESCENCE_POLL = 0.005  # seconds between checks whether a frozen process has come to rest
# No iteration for so long: the process may have been suspended. If it was only idle, this costs an extra
# poll or two of the sockets.
SUSPENDED_AFTER = SEC // 4
MIN_CLOCK_STEP = MS  # a wall clock that is off by less has not been stepped
MAX_END_DELAY = 300 * MS  # after its TTL, the end of a notification is due
END_GRACE = SEC // 5  # after its TTL, the loop ends what the module has not, after one more iteration


CONFIRMING_NEWS = ("whole", "changes")  # news of the list that discovery itself has answered

CAPACITY_REASONS = (rules.Reason.NO_PLACE, rules.Reason.NO_DISK)


class Answer:
    """The answer to one submission, for which a client waits."""

    def __init__(self, ntf_id):
        self.ntf_id, self.ready, self.status, self.retry_after = ntf_id, trio.Event(), 503, 0
        # Whether it is this request that was accepted, and not the same id before it.
        self.is_accepted = False
        self.is_shared = False  # whether another request with the same id is answered 202, too
        self.is_unheard = False  # whether its client left before it was answered 202
        self.policy_number = 0  # number of the policy that was in force at acceptance


class DecisionLoop:
    """The decision module's host on sockets."""

    def __init__(self, config, clock, ledger, counters, log):
        self.config = config
        self.ledger = ledger
        self.counters = counters
        self.log_line = log
        self.clock = clock
        self.now = clock.now
        self.batch_sizes = config.settings.get("batch_by_kind", [])
        # What the module has not ended: id -> its client's `Answer`; the ledger has the rest.
        self.unfinished = {}
        self.known_ids = KnownIds(config.memory // MEMORY_SHARE)
        self.entries = {}  # endpoint -> its entry in the list, as the module got it
        self.trace = Trace(log, counters, config.trace)
        # Endpoint -> end of the Retry-After wait that it, or its route, asked for.
        self.retry_after_until = {}
        # What this iteration asked for; it is carried out once the ledger is written.
        self.new_calls = {}
        self.cancels_due = []
        self.answers_due = []
        self.notices_due = []
        self.event_sender, self.event_receiver = trio.open_memory_channel(MAX_EVENTS_PER_ITERATION * 4)
        self.endpoints = self.notices = self.discovery = self.clients = None
        self.ready, self.frozen, self.loop_stopped = False, False, trio.Event()
        self.list_due_at = 0  # until then calls wait for discovery to confirm the list; 0: it has
        self.observer = None  # a part that counts submissions and answers
        self.ledger_writer = LedgerWriter(ledger, self.now, counters, log)
        self.iteration_delay = 0  # how late this iteration comes after the timer that it was due for
        self.dispatcher = Dispatcher(self, config.settings, config.seed, self.now())
        self.timers = Timers(self.is_pointless, self.dispatcher.drop_far_wakes)
        # None: no lease is needed. Else `holds()` is the policy number under which new notifications may be
        # accepted, or None if there is none at present.
        self.lease = None
        self.policy_number = 0
        # Policy number -> topic types, for each policy with pending notifications.
        self.topic_types_by_policy = {}
        self.topics = self.topic_indexes()

    @property
    def ledger_failing(self):
        """Whether the ledger cannot be written at present."""
        return self.ledger_writer.is_failing

    # ---- events of socket tasks: each is a function that the loop calls in its next iteration

    async def enqueue(self, function, *fields):
        with suppress(trio.BrokenResourceError):  # the loop has ended and takes no more events
            await self.event_sender.send((function, fields))

    def try_enqueue(self, function, *fields):
        """For clients: False if the queue is full, so that they can be rejected."""
        try:
            self.event_sender.send_nowait((function, fields))
        except (trio.WouldBlock, trio.BrokenResourceError):
            return False
        return True

    # ---- policies

    def topic_indexes(self):
        types = self.dispatcher.state.settings["topic_types"]
        return {topic.get("name"): index for index, topic in enumerate(types)}

    def require_lease(self, lease, topic_types_by_policy):
        """From now on new work is accepted under a lease only; none is held yet."""
        self.lease, self.policy_number, self.topic_types_by_policy = lease, -1, topic_types_by_policy

    def apply_policy(self, number, settings):
        """Put a policy in force from this iteration on; what was accepted before keeps its topic types."""
        # An earlier process may have accepted notifications under the same number: its topic types stay.
        types = self.topic_types_by_policy.get(number, settings["topic_types"])
        self.dispatcher.update_settings(settings | {"topic_types": types})
        self.policy_number, self.topics = number, self.topic_indexes()
        needed = {notification.policy_number for notification in self.ledger.notifications.values()} | {0}
        self.topic_types_by_policy = {
            one: kept for one, kept in self.topic_types_by_policy.items() if one in needed
        } | {number: types}

    def has_lease_for(self, policy_number):
        return self.lease is None or self.lease.holds() == policy_number

    def settings_for(self, notification):
        """The settings with the topic types that were in force when a notification was accepted."""
        settings, types = (
            self.dispatcher.state.settings,
            self.topic_types_by_policy.get(notification.policy_number),
        )
        return settings | {"topic_types": types} if types else settings

    # ---- the decision loop

    def start_module(self, known, offer=None):
        """The first event: give the module the last known list and what is pending in the ledger, or let it
        continue from the state that the old process hands over, so that nothing starts anew."""
        state = self.dispatcher.state
        is_list_confirmed = False
        if offer and self.inherit(offer):
            is_list_confirmed = offer.state.get("list_confirmed", True)
        else:
            self.dispatcher.start()
            self.guarded(self.on_list_news, "cached", known)
        if not is_list_confirmed:
            self.list_due_at = self.dispatcher.now + rules.MAX_LIST_WAIT
            self.call_at(self.list_due_at, self.stop_waiting_for_list)
        for notification in list(self.ledger.notifications.values()):
            self.guarded(self.restore, notification)
        for ntf_id in state.notifications.keys() - self.ledger.notifications.keys():
            self.guarded(self.dispatcher.withdraw, ntf_id)
        for ntf_id, number in state.pushes.keys() - self.endpoints.in_flight.keys():
            # Its connection was not handed over.
            self.guarded(self.dispatcher.outcome, ntf_id, number, "reset")
        for ntf_id, ended in list(self.ledger.ended.items()):
            self.known_ids.add(ntf_id, ended.content_digest)
            self.known_ids.end(ntf_id)
            self.call_at(max(ended.ttl_at, self.dispatcher.now) + END_GRACE, self.check_after_ttl, ntf_id)
        self.ready = True

    def stop_waiting_for_list(self):
        """Discovery has not answered in time: calls go by the list from before the start."""
        if self.list_due_at:
            self.log_line("list", "not confirmed by discovery, used as it was before the start")
            self.list_due_at = 0

    def inherit(self, offer):
        """Let the module continue from an offered state; whether it could. Clients' connections are kept in
        either case."""
        self.clients.inherit(self.nursery, offer.clients())
        try:
            offer.check_fits(self.config.settings)
            carry.import_state(self.dispatcher.state, offer.state["module"], self.topic_types_by_policy)
        except carry.UnreadableState as error:
            # The state is of another version. As after a kill, calls that were in flight may have run.
            self.log_line("upgrade", "the module begins from the ledger", why=str(error))
            offer.close_endpoint_connections()
            return False
        for *entry, host, port in offer.state["entries"]:
            self.entries[entry[0]], self.endpoints.addresses[entry[0]] = tuple(entry), (host, port)
        self.endpoints.inherit(self.nursery, offer.calls(), offer.idle())
        self.discovery.inherit(offer.state["revision"], offer.state["discovery"])
        self.discovery.subscribe(offer.state["following"])
        for at in list(self.dispatcher.state.wakes):
            self.timer(at - self.dispatcher.now, at)
        return True

    def restore(self, notification):
        """Give the module what an earlier process accepted, or post its notice again."""
        self.counters["restored"] += 1
        self.known_ids.add(notification.id, notification.content_digest())
        self.call_at(
            max(notification.ttl_at, self.dispatcher.now) + END_GRACE, self.check_after_ttl, notification.id
        )
        if notification.notice:
            self.counters["notices_due"] += 1
            return self.notices_due.append((notification.id, *notification.notice))
        self.unfinished[notification.id] = None
        if notification.id in self.dispatcher.state.notifications:
            return  # handed over with all that the module knows of it
        if notification.ttl_at <= self.dispatcher.now:
            # The earlier process may have reported this end without being able to write it; any other
            # outcome now would contradict it.
            return self.expired(notification.id)
        first_run = min(notification.possible_runs.values(), key=lambda ran: ran[1], default=(0, 0))
        current, self.dispatcher.state.settings = (
            self.dispatcher.state.settings,
            self.settings_for(notification),
        )
        try:
            self.dispatcher.notification(
                notification.id,
                self.topic_indexes().get(notification.topic, len(self.topics)),
                notification.destination,
                ttl_at=notification.ttl_at,
                key=notification.ordering_key,
                pushes=notification.pushes,
                ran_zone=first_run[0],
                ran_at=first_run[1],
                never_sent=not notification.was_sent,
            )
        finally:
            self.dispatcher.state.settings = current

    async def run(self, nursery):
        """Iterate until the process is frozen and nothing that was started is left open.

        The queue is closed with the loop. Nothing would read it any more, and a task with an event that must
        not be lost would wait on the full queue for ever and keep the process from ending."""
        self.nursery = nursery
        with self.event_receiver:
            await self.run_loop()

    async def run_loop(self):
        while not (self.frozen and self.is_quiescent()):
            events = await self.receive_events()
            self.dispatcher.now = now = self.now()
            self.update_wall_clock()
            self.iteration_delay = max(0, now - (self.timers.next_at or now))
            for function, fields in events:
                self.guarded(function, *fields)
            for timer in self.timers.pop_due(now):
                self.guarded(timer.function, *timer.fields)
            list_wait = max(0, self.list_due_at - now)
            may_start = rules.may_start(not self.ledger_failing, self.frozen, list_wait)
            self.guarded(self.dispatcher.decide, may_start.is_allowed)
            self.write_iteration()
            self.execute_requests()
            if self.loop_stopped.is_set():
                await trio.sleep_forever()  # `process_remaining_events` handles later events

    def update_wall_clock(self):
        """Tell the module how far the machine's wall clock is ahead of this process's clock, if that changed.

        Dispatchers take turns by the wall clock, on which their machines agree; the process's own clock is
        shielded from its steps."""
        ahead = self.clock.wall() - self.dispatcher.now
        if abs(ahead - self.dispatcher.wall_clock_ahead) >= MIN_CLOCK_STEP:
            self.dispatcher.wall_clock_ahead = ahead

    def stop_loop(self):
        """Take no iteration after this one. Cancelling the loop instead could lose an event that it took."""
        self.loop_stopped.set()

    def is_quiescent(self):
        if self.ledger.unwritten:
            return False  # the new process reads the ledger from the folder
        queue = self.event_receiver.statistics()
        idle = not queue.current_buffer_used and not queue.tasks_waiting_send
        if trio.current_time() > self.freeze_deadline:
            self.log_line("upgrade", "connections still busy at the time limit", clients=self.clients.open)
            return idle
        return idle and self.clients.settled() and self.endpoints.settled()

    def freeze(self, within):
        """Accept and start nothing more; `run` returns within so many seconds.

        While the disk fails this would last for as long as it does, since the new process reads the ledger
        from the folder.  So it begins only once the ledger can be written."""
        if self.clients.is_refusing:  # a process about to end could not complete the hand-over
            return
        if self.ledger_failing:
            return self.call_at(self.dispatcher.now + MAX_WRITE_BACKOFF, self.freeze, within)
        self.frozen, self.freeze_deadline = True, trio.current_time() + within
        self.clients.freeze()
        self.endpoints.freeze()

    def write_iteration(self):
        """Write what this iteration decided; nothing is sent and no client gets a 202 before that.

        While the disk fails (`ledger_failing`), outcomes of calls in flight still count, notifications that
        can no longer be delivered are ended, and new ones are rejected at once."""
        if self.ledger_writer.is_due(self.dispatcher.now):
            self.ledger_writer.flush()
        if self.ledger_failing:
            self.undo_iteration()
        elif self.lease is not None and self.answers_due:
            self.recheck_lease()

    def may_leave(self, endpoint, pushes):
        """Between iterations: whether the last byte of a call may leave, once the ledger has its record.

        Writing may take long, and the process may have been suspended since the call began, so the time for
        the verdict is read last."""
        if not self.record_sends(pushes):
            return False
        now = self.now()
        verdicts = [rules.may_send(self.send_facts(endpoint, push), now) for push in pushes]
        for push, verdict in zip(pushes, verdicts, strict=True):
            if not verdict.is_allowed:
                self.trace.withheld(push.id, push.number, verdict.reason)
                if verdict.reason in rules.NOT_RECALLED_REASONS:
                    self.trace.violation(rules.Rule.SEND, push.id, reason=verdict.reason, endpoint=endpoint)
        return all(verdict.is_allowed for verdict in verdicts)

    def in_service(self, call):
        """Whether the endpoint of a call accepts new ones, by all lists so far."""
        endpoint = self.dispatcher.state.endpoints.get(call.endpoint)
        return endpoint is not None and endpoint.state == "ready"

    def send_facts(self, endpoint, push):
        """What `rules.may_send` asks of one message of a call."""
        notification = self.dispatcher.state.notifications.get(push.id)
        listed = self.dispatcher.state.endpoints.get(endpoint)
        return rules.SendFacts(
            is_pending=self.is_wanted(push.id) and notification is not None and not push.over,
            deadline=push.ttl_at,
            may_have_run=notification is not None and notification.may_have_run is not None,
            is_once_only=notification is not None and notification.topic.get("kind") == "once-only",
            repeats_until=repeats_until(notification) if notification else 0,
            is_in_service=listed is not None
            and listed.state == "ready"
            and (notification is None or listed.destination is notification.destination),
            wait_until=self.retry_after_until.get(endpoint, 0),
        )

    def record_sends(self, pushes):
        """Record in the ledger that these pushes may have run; whether it could be written, else none may
        leave."""
        now = self.now()
        if not self.ledger_failing:
            for push in pushes:
                if push.id in self.ledger.notifications:
                    self.ledger.append_record("p", push.id, push.number, push.zone, now)
            self.ledger_writer.flush()
        return not self.ledger_failing

    def recheck_lease(self):
        """Reject what this iteration accepted if its lease has ended since.

        This is the moment of acceptance: the ledger has it, and no call has started. From here on the
        notification is pending under its policy number, whenever the client gets its answer."""
        unleased = {
            answer.ntf_id: answer
            for answer in self.answers_due
            if answer.is_accepted and answer.status == 202 and not self.has_lease_for(answer.policy_number)
        }
        if not unleased:
            return
        for key, pushes in self.new_calls.items():
            for push in [push for push in pushes if push.id in unleased]:
                self.guarded(self.dispatcher.outcome, push.id, push.number, "moot")
            self.new_calls[key] = [push for push in pushes if push.id not in unleased]
        for ntf_id in unleased:
            self.counters.count_result(self.ledger.notifications[ntf_id].topic, DECLINED)
            self.undo_acceptance(ntf_id)
        # An id that came twice in this iteration has two answers.
        rejected = [answer for answer in self.answers_due if answer.ntf_id in unleased]
        for answer in rejected:
            answer.status, answer.retry_after = 503, self.lease.again_in()
        if not self.ledger_writer.flush():
            # The ledger on disk still has them as pending: after a kill, the next process would send them. So
            # their clients get a 500, which promises nothing.
            self.undo_iteration()
            for answer in rejected:
                answer.status = 500

    def undo_iteration(self):
        """Undo what this iteration accepted and asked for, as none of it has started yet."""
        for push in [push for pushes in self.new_calls.values() for push in pushes]:
            self.guarded(self.dispatcher.outcome, push.id, push.number, "moot")
        self.new_calls.clear()
        for answer in self.answers_due:
            if self.unfinished.get(answer.ntf_id) is answer:
                # If a partial write cannot be cut off, it may be sent after a kill: 500 promises nothing.
                answer.status, result = (500, ABORTED) if self.ledger.has_partial_record else (503, DECLINED)
                self.counters.count_result(self.ledger.notifications[answer.ntf_id].topic, result)
                self.undo_acceptance(answer.ntf_id)
            else:
                answer.status = 503

    async def receive_events(self):
        events = []
        time_left = (self.timers.next_at - self.now()) / SEC if self.timers else float("inf")
        if self.ledger_failing:
            time_left = min(time_left, max(0, self.ledger_writer.next_write_at - self.now()) / SEC)
        with trio.move_on_after(min(max(0, time_left), QUIESCENCE_POLL if self.frozen else float("inf"))):
            events.append(await self.event_receiver.receive())
        # After a suspension, expired timers would be handled before answers that have arrived meanwhile. The
        # first poll of the sockets may report nothing then (EINTR), so there has to be another.
        for _ in range(1 if self.now() - self.dispatcher.now < SUSPENDED_AFTER else 3):
            await trio.lowlevel.checkpoint()
        while len(events) < MAX_EVENTS_PER_ITERATION:
            try:
                events.append(self.event_receiver.receive_nowait())
            except trio.WouldBlock:
                break
        return events

    def guarded(self, function, *fields):
        """Call a function; an unexpected exception must not end the process with all that is pending."""
        try:
            function(*fields)
        except Exception as error:
            self.counters["faults"] += 1
            self.log_line("fault", part="owner", why=safe_description(error), at_line=error_location(error))

    def execute_requests(self):
        for answer in self.answers_due:
            answer.ready.set()
        for (endpoint, _), pushes in self.new_calls.items():
            if pushes:
                self.endpoints.start(self.nursery, endpoint, pushes)
        for ntf_id, number in self.cancels_due:
            self.endpoints.cancel(ntf_id, number)
        for notice in self.take_postable_notices():
            self.notices.add(*notice)
        for requests in (self.answers_due, self.new_calls, self.cancels_due):
            requests.clear()

    def process_remaining_events(self):
        """As the process ends, handle the events and answers that have arrived and no iteration has taken.

        A push that was answered with 200 would otherwise be given up after the restart, or sent once more."""
        self.dispatcher.now = now = self.now()
        with suppress(trio.WouldBlock):
            while True:
                function, fields = self.event_receiver.receive_nowait()
                if function != self.submit:  # its client gets no answer any more, so nothing is pending
                    self.guarded(function, *fields)
        for call in set(self.endpoints.in_flight.values()):
            if call.written and call.connection and len(call.pushes) == 1:
                if self.endpoints.is_delivered(call, call.connection.received_head()):
                    push = call.pushes[0]
                    outcomes = [(push.id, push.number, "delivered", now - call.began_at, 0, True, None)]
                    self.guarded(self.on_outcomes, call.endpoint, outcomes, now)

    def take_postable_notices(self):
        """Take the notices that may be posted now.

        If a notice were posted before its record is written, a kill could follow, and the next process would
        send again what was reported as rejected. Past its TTL it cannot be sent, so the notice may go."""
        due, self.notices_due = self.notices_due, []
        if not self.ledger_failing:
            return due
        time_left = {
            ntf_id: self.ledger.notifications[ntf_id].ttl_at - self.dispatcher.now
            for ntf_id, *_ in due
            if ntf_id in self.ledger.notifications
        }
        self.notices_due = [notice for notice in due if time_left.get(notice[0], 0) > 0]
        past_ttl = [ntf_id for ntf_id, *_ in due if time_left.get(ntf_id, 1) <= 0]
        for ntf_id in past_ttl:
            # This process may end before it can write, and the next one reports as given up what is past its
            # TTL; the outcome reported here has to be the same.
            self.ledger.replace_outcome(ntf_id, protocol.GIVEN_UP, 0)
        return [(ntf_id, protocol.GIVEN_UP, 0) for ntf_id in past_ttl]

    # ---- events

    def gauges(self):
        """The present values of the gauges, under the operators' names."""
        listed = [
            endpoint for endpoint in self.dispatcher.state.endpoints.values() if endpoint.state != "gone"
        ]
        return {
            "outstanding": len(self.unfinished),
            "discovered": len(listed),
            "ejected": sum(map(self.dispatcher.is_ejected, listed)),
        }

    def on_list_news(self, news, members):
        if news in CONFIRMING_NEWS:
            self.list_due_at = 0
        for entry, address in members:
            if self.is_replaced(entry, address):
                self.endpoints.address_changed(entry[0])
            self.endpoints.addresses[entry[0]], self.entries[entry[0]] = address, entry
        self.dispatcher.update_endpoints(news, [entry for entry, _ in members])
        # An endpoint that a whole list leaves out is gone, although no entry names it.
        self.endpoints.recall({call.endpoint for call in self.endpoints.calls() if not self.in_service(call)})
        for gone in self.entries.keys() - self.dispatcher.state.endpoints.keys():
            self.endpoints.forget(gone)
            del self.entries[gone]
            self.retry_after_until.pop(gone, None)

    def is_replaced(self, entry, address):
        """Whether the list has another address or another destination for an endpoint than before."""
        endpoint, destination = entry[:2]
        known = self.entries.get(endpoint, entry)
        return known[1] != destination or self.endpoints.addresses.get(endpoint, address) != address

    def submit(self, topic, destination, ttl_at, key, body, answer, ordering_key="", tenant=""):
        ntf_id = answer.ntf_id
        self.answers_due.append(answer)
        digest = content_digest(topic, destination, key, ordering_key, body)
        if ntf_id in self.known_ids or ntf_id in self.ledger.notifications:
            return self.submit_again(topic, answer, digest)
        if self.lease is not None and not self.has_lease_for(self.policy_number):
            answer.retry_after = self.lease.again_in()
            self.counters["unlicensed"] += 1
            self.trace.refused(ntf_id, rules.Reason.UNLICENSED)
            return self.counters.count_result(topic, DECLINED)
        facts = rules.AcceptFacts(
            is_writable=not self.ledger_failing,
            is_destination_known=destination
            in self.dispatcher.state.destinations,  # else the list is out of date
            has_place=len(self.unfinished) < self.dispatcher.state.settings.get("most_held", 1 << 30),
            has_disk=self.ledger.has_room(len(body)),
        )
        verdict = rules.may_accept(facts)
        if self.observer and facts.is_writable and facts.is_destination_known:
            self.observer.handed_in(topic, destination)
        if not verdict.is_allowed:
            self.trace.refused(ntf_id, verdict.reason)
            self.counters["turned_away_full"] += verdict.reason in CAPACITY_REASONS
            return self.counters.count_result(topic, DECLINED)
        self.ledger.add_accepted(
            ntf_id, topic, destination, ttl_at, key, body, policy_number=self.policy_number
        )
        if ordering_key:
            self.ledger.append_record("k", ntf_id, ordering_key)
        self.unfinished[ntf_id] = answer
        try:
            self.dispatcher.notification(
                ntf_id, self.topics[topic], destination, ttl_at=ttl_at, key=ordering_key, tenant=tenant
            )
        except Exception:  # the client must not get a 202 for what the module does not have
            self.record_end(ntf_id)
            raise
        self.call_at(ttl_at + END_GRACE, self.check_after_ttl, ntf_id)
        self.known_ids.add(ntf_id, digest)
        self.counters["taken_on"] += 1
        answer.status, answer.is_accepted, answer.policy_number = 202, True, self.policy_number
        self.trace.event(ntf_id, "taken", topic=topic, destination=destination)

    def submit_again(self, topic, answer, digest):
        """A known id came again: the same request on a new connection, or another message under this id.

        The other message is never sent, so its client must not hear that it was accepted.  It is not told to
        try again either: who counts by the id would take the first message's push for one of the second."""
        ntf_id = answer.ntf_id
        pending = self.ledger.notifications.get(ntf_id)
        known_digest = pending.content_digest() if pending else self.known_ids.digest(ntf_id)
        verdict = rules.may_accept(rules.AcceptFacts(is_id_free=is_same_content(known_digest, digest)))
        if not verdict.is_allowed:
            answer.status = protocol.ID_IN_USE_STATUS
            self.trace.refused(ntf_id, verdict.reason)
            return self.counters.count_result(topic, ABORTED)
        answer.status = 202
        if first := self.unfinished.get(ntf_id):
            first.is_shared = True

    def check_after_ttl(self, ntf_id, had_turn=False):
        """Forget an id after its TTL, and end what the module has not ended.

        After a failure in one of its event functions, the module might never end the notification."""
        if not had_turn:  # if the process was suspended past the TTL, the module has had no turn since
            return self.call_at(self.dispatcher.now + END_GRACE // 4, self.check_after_ttl, ntf_id, True)
        if ntf_id in self.unfinished:
            self.log_line("fault", "a notification was not ended in time", part="owner", notification=ntf_id)
            self.counters["faults"] += 1
            self.dispatcher.withdraw(ntf_id)
            self.expired(ntf_id)
        if self.has_push(ntf_id):  # its outcome is still reported under this id
            return self.call_at(self.dispatcher.now + END_GRACE // 4, self.check_after_ttl, ntf_id, True)
        self.known_ids.forget(ntf_id)
        self.ledger.forget(ntf_id)

    def undo_unheard(self, answer):
        """The client left before its 202: nothing is pending, unless another got a 202 for the same id.

        A push in flight would be taken for one of whatever is accepted under the same id next, so its outcome
        is awaited first.  Until then no last byte of it leaves (`is_wanted`); if it may have run by then, the
        notification stays pending."""
        if answer.is_shared or self.unfinished.get(answer.ntf_id) is not answer:
            return
        answer.is_unheard = True
        self.counters["unheard"] += 1
        if not self.has_push(answer.ntf_id):
            self.undo_if_unwanted(answer.ntf_id)

    def has_push(self, ntf_id):
        """Whether the outcome of a push of this notification is still to come."""
        return any(ntf_id == pushed_id for pushed_id, _ in self.dispatcher.state.pushes)

    def is_wanted(self, ntf_id):
        """Whether a notification is pending and a client heard, or may still hear, that it is."""
        if ntf_id not in self.unfinished:
            return False
        answer = self.unfinished[ntf_id]
        return answer is None or not answer.is_unheard or answer.is_shared

    def undo_if_unwanted(self, ntf_id):
        """Undo the acceptance of a notification whose client left, if no push of it may have run."""
        if ntf_id not in self.unfinished or self.is_wanted(ntf_id):
            return
        if not self.ledger.notifications[ntf_id].possible_runs:
            self.undo_acceptance(ntf_id)

    def undo_acceptance(self, ntf_id):
        self.known_ids.forget(ntf_id)
        self.dispatcher.withdraw(ntf_id)
        self.record_end(ntf_id, "x")

    def on_outcomes(self, endpoint, outcomes, heard):
        """`heard`: when the answer came. This iteration may run long after, and a delivery in time would look
        late."""
        for ntf_id, number, ending, latency, wait, over, report in outcomes:
            if (
                self.observer
                and ending == "delivered"
                and (ntf := self.dispatcher.state.notifications.get(ntf_id))
            ):
                in_time = over and ntf_id in self.unfinished and heard < ntf.ttl_at
                self.observer.answered(
                    ntf, self.dispatcher.state.endpoints.get(endpoint), latency, in_time, heard
                )
            if over and ntf_id in self.unfinished:
                notification = self.ledger.notifications[ntf_id]
                in_time = ending == "delivered" and heard < notification.ttl_at  # else withdrawn, or too late
                self.counters.count_result(notification.topic, SUCCEEDED if in_time else ABORTED)
                if heard >= notification.ttl_at - protocol.TTL_MARGIN:
                    # So close to the TTL, the answer may come too late to be the end for the client. A
                    # superfluous notice does no harm, so one is posted.
                    self.unfinished.pop(ntf_id)
                    self.queue_notice(ntf_id, protocol.GIVEN_UP, 0)
                else:
                    self.record_end(ntf_id)
            elif over:
                self.record_end(ntf_id)
            elif ending in NOT_EXECUTED:
                self.record_never_ran(ntf_id, number, ending)
                self.undo_if_unwanted(ntf_id)
            self.trace.event(ntf_id, ending, number=number, endpoint=endpoint, over=over, wait_ms=wait // MS)
            if wait and endpoint in self.dispatcher.state.endpoints:
                same_route = self.endpoints_on_route(endpoint)
                self.retry_after_until.update(dict.fromkeys(same_route, heard + wait))
                self.endpoints.recall(same_route)
            self.dispatcher.outcome(
                ntf_id, number, ending, latency=latency, wait=wait, over=over, report=report
            )

    def record_never_ran(self, ntf_id, number, ending):
        """Record that a push did not run.

        A push that never left is recorded only if its endpoint could not be reached, which a restart has to
        know; one that was recalled, or found no capacity, counts as untried. It is recorded under the
        ledger's count: by the module's number, a restart would count attempts that were never made."""
        notification = self.ledger.notifications.get(ntf_id)
        if notification and (number in notification.possible_runs or ending == "unreachable"):
            self.ledger.append_record(
                "n", ntf_id, number if number in notification.possible_runs else notification.pushes
            )

    def endpoints_on_route(self, endpoint):
        """The endpoints to which a Retry-After wait of this one applies: all on its route."""
        route = self.dispatcher.state.endpoints[endpoint].route
        return {number for number, other in self.dispatcher.state.endpoints.items() if other.route is route}

    def record_end(self, ntf_id, letter="e"):
        self.unfinished.pop(ntf_id, None)
        if ntf_id in self.ledger.notifications:
            self.ledger.append_record(letter, ntf_id)
            self.known_ids.end(ntf_id)
            if ntf_id not in self.known_ids:
                self.ledger.forget(ntf_id)  # its TTL had passed before it ended
            self.limit_known_ids()

    def limit_known_ids(self):
        """Forget ids of ended notifications before their TTL where there are too many.

        One whose push is still in flight is kept: the outcome is reported under its id."""
        while oldest := self.known_ids.oldest_over_limit():
            if self.has_push(oldest):
                return self.known_ids.end(oldest)
            self.known_ids.forget(oldest)
            self.ledger.forget(oldest)
            self.counters["ids_forgotten"] += 1

    # ---- what the module asks for (interface.Host)

    def push(self, ntf_id, endpoint_id, timeout, leave_within):
        notification, now = self.ledger.notifications[ntf_id], self.dispatcher.now
        # The ledger counts only those that left.
        number = self.dispatcher.state.notifications[ntf_id].pushes - 1
        until = min(now + timeout, notification.ttl_at) if timeout else notification.ttl_at
        leave_by = now + leave_within if leave_within else until
        kind, _, zone = self.entries[endpoint_id][2:5]
        push = PushAttempt(
            ntf_id, number, notification.key, notification.body, until, notification.ttl_at, leave_by, zone
        )
        self.trace.event(ntf_id, "sending", number=number, endpoint=endpoint_id)
        max_batch = self.batch_sizes[kind] if kind < len(self.batch_sizes) else 1
        batch = 0
        while len(self.new_calls.setdefault((endpoint_id, batch), [])) >= max(max_batch, 1):
            batch += 1
        self.new_calls[endpoint_id, batch].append(push)

    def cancel(self, ntf_id, number):
        self.cancels_due.append((ntf_id, number))

    def throttled(self, ntf_id, again_in):
        self.end_undelivered(ntf_id, protocol.HANDED_BACK, 503, again_in)

    def expired(self, ntf_id):
        self.end_undelivered(ntf_id, protocol.GIVEN_UP, 500, 0)

    def end_undelivered(self, ntf_id, outcome, status, again_in):
        """Report an end without delivery: in the client's answer if it is still to come, else by a notice."""
        if ntf_id not in self.unfinished:
            return self.trace.violation(rules.Rule.ANSWERED_TWICE, ntf_id, outcome=outcome)
        answer = self.unfinished.pop(ntf_id)
        result = DECLINED if outcome == protocol.HANDED_BACK else ABORTED
        self.counters.count_result(self.ledger.notifications[ntf_id].topic, result)
        if answer in self.answers_due:
            for other in [one for one in self.answers_due if one.ntf_id == ntf_id]:
                other.status = status
                other.retry_after = again_in
            self.known_ids.forget(ntf_id)
            return self.ledger.append_record("x", ntf_id)
        self.queue_notice(ntf_id, outcome, again_in)

    def queue_notice(self, ntf_id, outcome, again_in):
        delay = self.dispatcher.now - self.ledger.notifications[ntf_id].ttl_at
        if self.ready and delay - self.iteration_delay > MAX_END_DELAY:
            self.trace.violation(rules.Rule.LATE_END, ntf_id, late_ms=delay // MS)
        self.trace.event(ntf_id, outcome, again_in_ms=again_in // MS)
        self.ledger.append_record("o", ntf_id, outcome, again_in // MS)
        self.counters["notices_due"] += 1
        self.notices_due.append((ntf_id, outcome, again_in // MS))

    def timer(self, delay, tok):
        self.call_at(self.dispatcher.now + delay, self.dispatcher.wake, tok)

    def call_at(self, at, function, *fields):
        """Have a function of the loop called in the iteration at or after a time."""
        self.timers.add(at, function, *fields)

    def is_pointless(self, function, *fields):
        """Whether a timer is for something that is over."""
        if function == self.dispatcher.wake:
            return fields[0] not in self.dispatcher.state.wakes
        return function == self.check_after_ttl and not self.is_remembered(fields[0])

    def is_remembered(self, ntf_id):
        """Whether anything is kept under this id until its TTL."""
        return ntf_id in self.known_ids or ntf_id in self.ledger.ended or ntf_id in self.unfinished

    def close_idle(self, endpoint_id):
        self.endpoints.close_idle(endpoint_id)

    def subscribe(self, on):
        self.discovery.subscribe(on)

    def fetch_list(self):
        self.discovery.fetch()

    def probe(self, endpoint_id):
        self.log_line("host", "endpoint probes are not supported")

    def note(self, rank, body):
        self.counters["notes_unsent"] += 1  # the HTTP protocol has no notes between dispatchers

    def log(self, text):
        self.log_line("module", text)
