"""Connections to endpoints, and the calls over them; reports the outcome of each push.

A call is one HTTP request, with one notification or a batch of several."""

import json
from base64 import b64encode
from dataclasses import dataclass, field
from functools import partial

import h11
import trio

from juniperlanding.choice import MS, SEC, TRANSIT_MARGIN_DIVISOR
from juniperlanding.ground.log import error_location, safe_description
from juniperlanding.handover import steps
from juniperlanding.net import protocol
from juniperlanding.net.counters import FORWARDS
from juniperlanding.net.line import CONNECTION_ERRORS, SETTLE_TIME, connect
from juniperlanding.net.system_errors import NETWORK_ERRORS, RESOURCE_ERRORS, Backoff, errno_name, is_local
from juniperlanding.response_times import ResponseTimes

NO_ROUTE_RETRY = 0.3  # seconds for which a connect without a route to the endpoint is retried
FINAL_READ = 0.05  # seconds to read a response that had already arrived when its call was ended


@dataclass(slots=True, eq=False)
class PushAttempt:
    """One push: a notification within a call."""

    id: str
    number: int
    key: str = field(repr=False)
    body: bytes = field(repr=False)
    timeout_at: int  # when its time-out expires
    ttl_at: int
    leave_by: int  # its last byte must not leave after this
    zone: int = 0  # of its endpoint
    over: bool = False  # its outcome has been reported
    cancelled: bool = False

    @property
    def write_deadline(self):
        """`leave_by`, or never when the time-out ends the call by then anyway."""
        return self.leave_by if self.leave_by < self.timeout_at else 1 << 62


class Call:
    """One request to an endpoint, from its start until the outcome of each of its pushes is known."""

    def __init__(self, endpoint, pushes, now):
        self.endpoint, self.pushes, self.scope = endpoint, pushes, trio.CancelScope()
        self.began_at = now
        self.connect_tried = False  # whether a failure from here on is the endpoint's
        self.written = False  # whether the request was written to its last byte
        self.written_at = 0  # when it was; 0 if another process wrote it
        self.early_response_at = 0  # when a 200 came that may belong to an earlier call
        self.connection = None
        self.deadline_watch = trio.CancelScope()  # of `watch_deadlines`


class Endpoints:
    """Makes the calls to all endpoints, over connections that are kept open between calls.

    on_outcomes: receives the endpoint, the outcomes of a call's pushes, and the time at which they became
    known."""

    def __init__(
        self, config, system, most_open, on_outcomes, counters, log, may_leave=lambda endpoint, pushes: True
    ):
        self.may_leave = may_leave  # whether the last byte of a call with these pushes may leave
        self.now = system.clock.now
        self.network = system.network
        self.connection_limit = trio.Semaphore(most_open)
        self.on_outcomes = on_outcomes
        self.counters = counters
        self.log = log
        self.connect_timeout = config.connect_timeout / SEC
        idle_closes = config.settings.get("idle_closes", 0)
        # Less than the endpoint's own idle time-out, since a request needs time to arrive.
        self.max_idle = idle_closes - idle_closes // TRANSIT_MARGIN_DIVISOR or 1 << 62
        self.report = config.report  # names of the load figures in responses
        self.addresses = {}  # endpoint: address
        self.idle = {}  # endpoint: open connections without a call, the one idle longest first
        self.in_flight = {}  # (notification id, push number): call
        self.response_times = {}  # endpoint: ResponseTimes
        self.frozen = False
        self.handed_over = []  # calls that are handed over to the process that takes over

    def start(self, nursery, endpoint, pushes):
        self.start_tasks(nursery, Call(endpoint, pushes, self.now()))

    def start_tasks(self, nursery, call):
        for push in call.pushes:
            if not push.over:
                self.in_flight[push.id, push.number] = call
        if len(call.pushes) > 1:
            nursery.start_soon(self.watch_deadlines, call)
        nursery.start_soon(self.run, call)

    def inherit(self, nursery, calls, idle):
        """Takes over another process's calls and idle connections.

        calls: (call, connection) of each; idle: (endpoint, connection)."""
        for call, connection in calls:
            connection.address = self.addresses.get(call.endpoint)
            if self.admit_inherited(connection):
                call.connection, call.connect_tried, call.written = connection, True, True
                self.start_tasks(nursery, call)
        for endpoint, connection in idle:
            connection.address = self.addresses.get(endpoint)
            if self.admit_inherited(connection):
                self.idle.setdefault(endpoint, []).append(connection)

    def admit_inherited(self, connection):
        """Counts a connection taken over from another process; closes it where the limit is reached."""
        try:
            self.connection_limit.acquire_nowait()
        except trio.WouldBlock:
            connection.close()
            return False
        return True

    def freeze(self):
        """Stops all calls for a hand-over.

        Calls that are fully written, or will be shortly, are handed over; the others end without having
        run."""
        self.frozen = True
        for call in set(self.in_flight.values()):
            grace = 0 if call.written else steps.WRITE_OUT_TIMEOUT
            call.scope.deadline = min(call.scope.deadline, trio.current_time() + grace)

    def settled(self):
        """Whether only calls that are handed over are left."""
        return len(set(self.in_flight.values())) == len(self.handed_over)

    def cancel(self, ntf_id, number):
        """Stops waiting for one push; the call ends once all of its pushes are cancelled or over."""
        if call := self.in_flight.get((ntf_id, number)):
            for push in call.pushes:
                push.cancelled |= push.id == ntf_id
            if all(push.cancelled or push.over for push in call.pushes):
                call.scope.cancel()

    def calls(self):
        """The calls in progress, each once."""
        return set(self.in_flight.values())

    def recall(self, endpoints):
        """Cancels the calls to some endpoints that are not fully written.

        They would otherwise still arrive after a Retry-After wait or a drain became known."""
        for call in set(self.in_flight.values()):
            if call.endpoint in endpoints and not call.written:
                for push in call.pushes:
                    push.cancelled = True
                call.scope.cancel()

    def address_changed(self, endpoint):
        """The list has a new address for an endpoint: nothing more is sent over connections to the old one.

        Responses to fully written calls are still read, and nothing else over their connections."""
        self.close_idle(endpoint)
        for call in self.calls():
            if call.endpoint == endpoint and call.connection:
                call.connection.may_be_kept = False
        self.recall({endpoint})

    def forget(self, endpoint):
        """An endpoint has left the list and no call to it is in progress.

        Its id may come back for another process, so its connections go too."""
        self.close_idle(endpoint)
        del self.addresses[endpoint]
        self.response_times.pop(endpoint, None)

    def has_old_address(self, endpoint, connection):
        """Whether a connection goes to an earlier address of its endpoint."""
        return (
            connection.address is not None
            and self.addresses.get(endpoint, connection.address) != connection.address
        )

    async def cancel_unsent(self):
        """As the process ends, cancels the calls not fully written, and waits until they are reported.

        A call that left while the process ends would be in the ledger as one that may have run: its once-only
        notification would be abandoned, whatever its outcome."""
        self.recall({call.endpoint for call in self.in_flight.values()})
        while not all(call.written for call in self.in_flight.values()):
            await trio.sleep(FINAL_READ / 10)

    async def run(self, call):
        call.scope.deadline = (
            trio.current_time() + (max(s.timeout_at for s in call.pushes) - self.now()) / SEC
        )
        reason = "gave_up"
        try:
            with call.scope:
                if not await self.write(call):
                    return
                await self.read_answer(call)
                reason = "answered"
            if (
                call.scope.cancelled_caught
                and call.written
                and not self.frozen
                and call.connection.has_unread_response()
            ):
                # If the process was suspended past the deadline, its first poll of the sockets returns no
                # events (EINTR), so the call times out although a response has arrived.  Reads that response;
                # the rest of a partial one is not waited for.
                with trio.move_on_after(FINAL_READ, shield=True):
                    await self.read_answer(call)
                    reason = "answered"
        except (*CONNECTION_ERRORS, h11.ProtocolError, trio.TooSlowError) as error:
            reason = type(error).__name__
        except Exception as error:  # an unexpected response must not end the process
            reason = type(error).__name__
            self.log(
                "fault",
                part="call",
                endpoint=call.endpoint,
                why=safe_description(error),
                at_line=error_location(error),
            )
        finally:
            call.deadline_watch.cancel()
            if self.frozen and call.written and not all(push.cancelled or push.over for push in call.pushes):
                self.handed_over.append(call)
            else:
                if call.connection:
                    if call.written:
                        # If the process was suspended just after the last byte, the response is still unread.
                        call.connection.unparsed_head = call.connection.received_head()
                    # While the network path is down, a closed connection would keep the request and deliver
                    # it once the path is back: after its repeat window, or in addition to another push.  A
                    # reset discards what has not been sent yet.
                    call.connection.abort()
                    self.close_connection(call.endpoint, call.connection, reason)
                await self.finish_unanswered(call)

    def trio_time(self, time):
        """Converts a time of our clock to trio's."""
        return trio.current_time() + (time - self.now()) / SEC

    async def write(self, call):
        """Writes the request; returns whether its last byte left in time.

        Not writing it is this process's own decision, not a failure of the endpoint.  A kept connection that
        breaks before the last byte says nothing about the endpoint either, so the request is written to
        another one.  Pushes that ended while a connection was being established are left out."""
        with trio.CancelScope() as write_scope:
            while call.pushes and not call.written:
                write_scope.deadline = self.trio_time(max(push.write_deadline for push in call.pushes))
                call.connection = await self.acquire_connection(call)
                is_reused, now = call.connection.used_at, self.now()
                late = [push for push in call.pushes if push.over or push.cancelled or push.leave_by <= now]
                call.pushes = [push for push in call.pushes if push not in late]
                await self.report_outcomes(call, [(push, "moot") for push in late])
                write_scope.deadline = self.trio_time(
                    min((push.write_deadline for push in call.pushes), default=now)
                )
                try:
                    if call.pushes:
                        await call.connection.send_holding_last_byte(
                            *self.build_request(call),
                            before_last_byte=partial(self.before_last_byte, call),
                            settled_in=self.settled_in(call.connection),
                        )
                        call.written, call.written_at = True, self.now()
                        self.counters[FORWARDS] += len(call.pushes)
                        if self.frozen:
                            call.scope.cancel()
                except CONNECTION_ERRORS:
                    if not is_reused:
                        raise
                    connection, call.connection = call.connection, None
                    self.close_connection(call.endpoint, connection, "stale")
        call.connect_tried &= call.written
        return call.written

    def before_last_byte(self, call):
        """Called just before the last byte is written: from here on the call may have run.

        `may_leave` records this in the ledger.  Were it recorded earlier, a kill while the call connects or
        waits for a free connection would make the next process abandon a once-only notification that was
        never sent."""
        if call.scope.cancel_called:
            return  # cancelled just now: the last byte will not be written
        if not self.may_leave(call.endpoint, call.pushes):
            for push in call.pushes:
                push.cancelled = True
            call.scope.cancel()

    async def watch_deadlines(self, call):
        """Ends each push of a batch at its own deadline, which may be before the time-out of the call.

        A push whose deadline passes while the call still connects must not be sent later."""
        deadlines = [
            (time, index, push)
            for index, push in enumerate(call.pushes)
            for time in (push.leave_by, push.ttl_at)
        ]
        with call.deadline_watch:
            for time, _, push in sorted(deadlines, key=lambda deadline: deadline[:2]):
                await trio.sleep_until(self.trio_time(time))  # already past if the process was suspended
                if not call.connection:
                    await self.report_outcomes(call, [(push, "moot")])
                elif time >= push.ttl_at:
                    await self.report_outcomes(call, [(push, "timeout")])

    async def finish_unanswered(self, call):
        """Reports the pushes without a valid response; their outcome depends on how far the call got."""
        timed_out = call.scope.cancelled_caught
        outcomes, single = [], len(call.pushes) == 1
        heard_at = None
        for push in call.pushes:
            if call.early_response_at and timed_out:
                heard_at = call.early_response_at  # no other response came
                outcomes.append((push, "delivered"))
            elif (
                call.written
                and single
                and call.connection
                and self.is_delivered(call, call.connection.unparsed_head)
            ):
                outcomes.append((push, "delivered"))
            elif call.written:
                outcomes.append(
                    (push, "cancelled" if push.cancelled else "timeout" if timed_out else "reset")
                )
            else:
                is_ours = push.cancelled or self.frozen
                outcomes.append((push, "unreachable" if call.connect_tried and not is_ours else "moot"))
        await self.report_outcomes(call, outcomes, heard_at=heard_at)

    async def report_outcomes(self, call, outcomes, wait=0, report=None, heard_at=None):
        """Reports the outcomes of a call's pushes, each push once.

        heard_at: when they became known, if not now.  The outcome `over` (the endpoint wants no further push
        of the notification) is reported as `moot`."""
        now, new = heard_at or self.now(), []
        for push, outcome in outcomes:
            if not push.over:
                push.over = True
                self.in_flight.pop((push.id, push.number), None)
                is_final = outcome in ("delivered", "over")
                outcome = "moot" if outcome == "over" else outcome
                self.counters[f"pushes_{outcome}"] += 1
                new.append((push.id, push.number, outcome, now - call.began_at, wait, is_final, report))
        if new:
            with trio.CancelScope(shield=True):
                await self.on_outcomes(call.endpoint, new, now)

    async def acquire_connection(self, call):
        """Returns an idle connection that can still be used, or a new one."""
        endpoint = call.endpoint
        while connection := self.take_idle(endpoint):
            if self.now() - connection.used_at < self.max_idle and connection.has_nothing_unread():
                return connection
            self.close_connection(endpoint, connection, "stale")
        if not self.connection_limit.value:
            self.evict()
        # Waits at the limit: running out of connections here must not count as a failure of the endpoint.
        await self.connection_limit.acquire()
        try:
            connection = await self.connect(call)
        except BaseException:
            self.connection_limit.release()
            raise
        self.counters["connections_opened"] += 1
        return connection

    def take_idle(self, endpoint):
        """Takes the connection used last among those that have settled since, else the first that will."""
        connections = self.idle.get(endpoint, [])
        settled = [connection for connection in connections if not self.settled_in(connection)]
        return connections.pop(max(len(settled) - 1, 0)) if connections else None

    def settled_in(self, connection):
        """Seconds until a connection has been quiet for `SETTLE_TIME` since its last response."""
        if not connection.used_at:
            return 0.0
        return max(0.0, SETTLE_TIME - (self.now() - connection.used_at) / SEC)

    async def connect(self, call):
        """Opens a connection to a call's endpoint.

        Retries after errors of this machine: a call that ended for lack of a local resource would use up one
        of its notification's pushes.  A missing route is retried for a moment only, since there may be one
        to another endpoint."""
        backoff, until = Backoff(), trio.current_time() + NO_ROUTE_RETRY
        while True:
            call.connect_tried = True
            try:
                with trio.fail_after(self.connect_timeout):
                    return await connect(self.network, self.addresses[call.endpoint])
            except OSError as error:
                no_route = error.errno in NETWORK_ERRORS and trio.current_time() > until
                if no_route or not is_local(error):
                    raise
                self.handle_local_error(call, error)
            await trio.sleep(backoff.next_pause())

    def handle_local_error(self, call, error):
        """A connect failed because of this machine, not the endpoint."""
        call.connect_tried = False
        self.counters[f"connect_errors_{errno_name(error)}"] += 1
        if error.errno in RESOURCE_ERRORS:
            self.evict()

    async def read_answer(self, call):
        """Reads the response and reports the outcomes that follow from it.

        A request with a malformed response may have run, whatever the response says; but a status line with
        200 proves the delivery of a single notification."""
        connection = call.connection
        answer, body, heard_at = await self.read_own_response(call)
        headers = dict(answer.headers)
        wait = protocol.parse_retry_after(headers.get(protocol.RETRY_AFTER_HEADER, b""))
        report = protocol.parse_load_report(headers.get(protocol.LOAD_REPORT_HEADER, b""), self.report)
        is_batch = len(call.pushes) > 1
        if answer.status_code == 200 and not is_batch:
            outcomes = [(call.pushes[0], "delivered")]
            if body is None and not connection.is_response_complete():
                await self.report_outcomes(call, outcomes, wait, report)
                await connection.read_response_body(protocol.MAX_BODY)
        elif answer.status_code == 200:
            outcomes = self.batch_outcomes(call, body)
        else:
            outcome = self.outcome_of(answer.status_code, headers, is_batch)
            if outcome == "throttled" and not wait and not connection.used_at and not connection.reusable():
                # The endpoint is at its connection limit and rejects this new connection, not the
                # request: for the decision module the connect failed.
                outcome = "unreachable"
            outcomes = [(push, outcome) for push in call.pushes]
        # Kept before the report, after which the decision module may ask to close idle connections.
        self.keep(call)
        await self.report_outcomes(call, outcomes, wait, report, heard_at)

    async def read_own_response(self, call):
        """Reads the response to a call; passes over those that belong to earlier calls on its connection.

        Returns (head, body, time).  body: None where the head alone proves a delivery; time: when the head
        was heard if that was well before this returns, else None."""
        connection = call.connection
        while True:
            head = await connection.read_response_head()
            heard_at = self.now()
            is_single_200 = head.status_code == 200 and len(call.pushes) == 1
            if is_single_200 and not self.may_be_stray(call, heard_at):
                self.add_response_time(call, heard_at)
                return head, None, None
            body = await connection.read_response_body(protocol.MAX_BODY)
            if head.status_code != 200 or not self.may_be_stray(call, heard_at, body):
                return head, body, None
            if not await self.another_response_begins(call, heard_at):
                self.counters["early_responses"] += 1
                self.add_response_time(call, heard_at)
                return head, body, heard_at
            self.counters["stray_responses"] += 1
            call.early_response_at = 0

    def may_be_stray(self, call, heard_at, body=b""):
        """Whether a response with 200 may belong to an earlier call on the same connection.

        It comes too soon to be that of a call with one message, or names none of a call with several."""
        if not call.connection.used_at:
            return False
        if len(call.pushes) > 1:
            states = protocol.parse_batch_states(body) or {}
            return not any(push.id in states for push in call.pushes)
        times = self.response_times.get(call.endpoint)
        return bool(times and call.written_at and times.is_early(heard_at - call.written_at))

    def add_response_time(self, call, heard_at):
        if call.written_at and len(call.pushes) == 1:
            self.response_times.setdefault(call.endpoint, ResponseTimes()).add(heard_at - call.written_at)

    def is_delivered(self, call, head):
        """Whether the unparsed bytes of a response prove the delivery of the single push of a call."""
        return protocol.is_status_200(head) and not self.may_be_stray(call, self.now())

    async def another_response_begins(self, call, heard_at):
        """Whether another response begins while the call's own may still come.

        In either case the connection serves no further call."""
        connection = call.connection
        times = self.response_times.get(call.endpoint)
        if not connection.may_have_next() or not times:
            return False
        if len(call.pushes) == 1:
            call.early_response_at = heard_at
        connection.next()
        connection.expect_response()
        connection.is_doubtful = True
        time_left = call.written_at + times.latest() - self.now()
        with trio.move_on_after(max(0, time_left) / SEC):
            return await connection.wait_for_message()
        return False

    @staticmethod
    def outcome_of(status, headers, is_batch):
        """The outcome for a status other than 200; after an undocumented status the push may have run."""
        if status == 503 and headers.get(protocol.NO_SLOT_HEADER) == b"1" or status == 504:
            return "moot"
        if status == 410:
            return "over"
        never_ran = status in (429, 503) or is_batch and status in (400, 413)
        return "throttled" if never_ran else "error"

    @staticmethod
    def batch_outcomes(call, body):
        """The outcome of each push in a batch; one that the response does not list, or with an unknown state,
        may have run."""
        states = protocol.parse_batch_states(body)
        if states is None:
            raise h11.RemoteProtocolError("batch response is not a JSON list of ids and states")
        return [(push, states.get(push.id) or "error") for push in call.pushes]

    def build_request(self, call):
        now = self.now()
        time_left = str(max(0, max(push.timeout_at for push in call.pushes) - now) // MS)
        headers = [("Host", "endpoint"), ("X-Expires-In-Ms", time_left)]
        first = call.pushes[0]
        if len(call.pushes) == 1:
            target, body = protocol.MESSAGE_PATH, first.body
            headers.append(("X-Trace-Id", first.id.encode("latin-1")))
            if first.key:
                headers.append(("Idempotency-Key", first.key.encode("latin-1")))
        else:
            target = protocol.BATCH_PATH
            # Whoever tracks a batch by its first message ignores outcomes after that message's TTL; so the
            # one with the latest TTL comes first.
            by_ttl = sorted(call.pushes, key=lambda push: -push.ttl_at)
            body = json.dumps(
                [
                    {"id": s.id} | ({"key": s.key} if s.key else {}) | {"body": b64encode(s.body).decode()}
                    for s in by_ttl
                ]
            ).encode()
        headers.append(("Content-Length", str(len(body))))
        return (
            h11.Request(method="POST", target=target, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    def keep(self, call):
        """Keeps a call's connection open for the next call, if it can be reused."""
        connection, call.connection = call.connection, None
        if not connection.reusable() or self.has_old_address(call.endpoint, connection):
            return self.close_connection(call.endpoint, connection, "not_kept")
        connection.next()
        connection.used_at = self.now()
        self.idle.setdefault(call.endpoint, []).append(connection)

    def close_connection(self, endpoint, connection, reason):
        connection.close()
        self.connection_limit.release()
        self.log("conn", endpoint=endpoint, end=reason)

    def close_idle(self, endpoint):
        for connection in self.idle.pop(endpoint, []):
            self.close_connection(endpoint, connection, "asked")

    def evict(self):
        """Closes the connection that has been idle longest, to free a socket; False when none is idle."""
        idle = [
            (connections[0].used_at, endpoint) for endpoint, connections in self.idle.items() if connections
        ]
        if idle:
            _, endpoint = min(idle)
            self.close_connection(endpoint, self.idle[endpoint].pop(0), "no_sockets")
        return bool(idle)

    async def sweep(self):
        """Closes idle connections that the endpoint has closed or is about to close, once a second."""
        while True:
            await trio.sleep(1)
            for endpoint, connections in list(self.idle.items()):
                for connection in list(connections):
                    if (
                        self.now() - connection.used_at >= self.max_idle
                        or not connection.has_nothing_unread()
                    ):
                        connections.remove(connection)
                        self.close_connection(endpoint, connection, "stale")
                if not connections:
                    del self.idle[endpoint]
