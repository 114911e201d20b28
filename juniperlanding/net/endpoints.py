"""Connections to endpoints, and the calls over them; reports the outcome of each push.

A call is one HTTP request, with one notification or a batch of several."""

import json
from base64 import b64encode
from dataclasses import dataclass, field
from functools import partial

import h11
import trio

from juniperlanding.choice import MS, SEC, TRANSIT_MARGIN_DIVISOR
from juniperlanding.ground.log import described, where
from juniperlanding.handover import steps
from juniperlanding.net import protocol
from juniperlanding.net.counters import FORWARDS
from juniperlanding.net.line import GONE, connect
from juniperlanding.net.system_errors import NETWORK_ERRORS, RESOURCE_ERRORS, Backoff, is_local, name

NO_ROUTE_RETRY = 0.3  # seconds for which a connect without a route to the endpoint is retried
FINAL_READ = 0.05  # seconds to read a response that had already arrived when its call was ended


@dataclass(slots=True, eq=False)
class Send:
    """One push: a notification within a call."""

    id: str
    number: int
    key: str = field(repr=False)
    body: bytes = field(repr=False)
    until: int  # when its time-out expires
    ttl_at: int
    leave_by: int  # its last byte must not leave after this
    zone: int = 0  # of its endpoint
    over: bool = False  # its outcome has been reported
    cancelled: bool = False

    @property
    def write_deadline(self):
        """`leave_by`, or never when the time-out ends the call by then anyway."""
        return self.leave_by if self.leave_by < self.until else 1 << 62


class Call:
    """One request to an endpoint, from its start until the outcome of each of its pushes is known."""

    def __init__(self, endpoint, sends, now):
        self.endpoint, self.sends, self.scope = endpoint, sends, trio.CancelScope()
        self.began_at = now
        self.connect_tried = False  # whether a failure from here on is the endpoint's
        self.written = False  # whether the request was written to its last byte
        self.line = None
        self.deadline_watch = trio.CancelScope()  # of `watch_deadlines`


class Endpoints:
    """Makes the calls to all endpoints, over connections that are kept open between calls.

    told: receives the endpoint, the outcomes of a call's pushes, and the time at which they became known."""

    def __init__(self, config, world, most_open, told, counters, log, may_leave=lambda endpoint, sends: True):
        self.may_leave = may_leave  # whether the last byte of a call with these pushes may leave
        self.now = world.clock.now
        self.network = world.network
        self.connection_limit = trio.Semaphore(most_open)
        self.told = told
        self.counters = counters
        self.log = log
        self.connect_timeout = config.connect_within / SEC
        idle_closes = config.settings.get("idle_closes", 0)
        # Less than the endpoint's own idle time-out, since a request needs time to arrive.
        self.max_idle = idle_closes - idle_closes // TRANSIT_MARGIN_DIVISOR or 1 << 62
        self.report = config.report  # names of the load figures in responses
        self.book = {}  # endpoint: address
        self.idle = {}  # endpoint: open connections without a call, the one idle longest first
        self.out = {}  # (notification id, push number): call
        self.frozen = False
        self.carried = []  # calls that are handed over to the process that takes over

    def start(self, nursery, endpoint, sends):
        self.start_tasks(nursery, Call(endpoint, sends, self.now()))

    def start_tasks(self, nursery, call):
        for send in call.sends:
            if not send.over:
                self.out[send.id, send.number] = call
        if len(call.sends) > 1:
            nursery.start_soon(self.watch_deadlines, call)
        nursery.start_soon(self.run, call)

    def inherit(self, nursery, calls, idle):
        """Takes over another process's calls (call, line) and its idle connections (endpoint, line)."""
        for call, line in calls:
            if self.admit_inherited(line):
                call.line, call.connect_tried, call.written = line, True, True
                self.start_tasks(nursery, call)
        for endpoint, line in idle:
            if self.admit_inherited(line):
                self.idle.setdefault(endpoint, []).append(line)

    def admit_inherited(self, line):
        """Counts a connection taken over from another process; closes it where the limit is reached."""
        try:
            self.connection_limit.acquire_nowait()
        except trio.WouldBlock:
            line.close()
            return False
        return True

    def freeze(self):
        """Stops all calls for a hand-over.

        Calls that are fully written, or will be shortly, are handed over; the others end without having
        run."""
        self.frozen = True
        for call in set(self.out.values()):
            grace = 0 if call.written else steps.WRITE_OUT
            call.scope.deadline = min(call.scope.deadline, trio.current_time() + grace)

    def settled(self):
        """Whether only calls that are handed over are left."""
        return len(set(self.out.values())) == len(self.carried)

    def cancel(self, ntf_id, number):
        """Stops waiting for one push; the call ends once all of its pushes are cancelled or over."""
        if call := self.out.get((ntf_id, number)):
            for send in call.sends:
                send.cancelled |= send.id == ntf_id
            if all(send.cancelled or send.over for send in call.sends):
                call.scope.cancel()

    def calls(self):
        """The calls in progress, each once."""
        return set(self.out.values())

    def recall(self, endpoints):
        """Cancels the calls to some endpoints that are not fully written.

        They would otherwise still arrive after a Retry-After wait or a drain became known."""
        for call in set(self.out.values()):
            if call.endpoint in endpoints and not call.written:
                for send in call.sends:
                    send.cancelled = True
                call.scope.cancel()

    def move(self, endpoint):
        """The list has a new address for an endpoint: nothing more is sent over connections to the old one.

        Responses to fully written calls are still read."""
        self.close_idle(endpoint)
        self.recall({endpoint})

    def has_old_address(self, endpoint, line):
        """Whether a connection goes to an earlier address of its endpoint."""
        return line.address is not None and self.book.get(endpoint, line.address) != line.address

    async def withdraw(self):
        """As the process ends, cancels the calls not fully written, and waits until they are reported.

        A call that left while the process ends would be in the ledger as one that may have run: its once-only
        notification would be abandoned, whatever its outcome."""
        self.recall({call.endpoint for call in self.out.values()})
        while not all(call.written for call in self.out.values()):
            await trio.sleep(FINAL_READ / 10)

    async def run(self, call):
        call.scope.deadline = trio.current_time() + (max(s.until for s in call.sends) - self.now()) / SEC
        reason = "gave_up"
        try:
            with call.scope:
                if not await self.write(call):
                    return
                await self.read_answer(call)
                reason = "answered"
            if call.scope.cancelled_caught and call.written and not self.frozen and call.line.unheard():
                # If the process was suspended past the deadline, its first poll of the sockets returns no
                # events (EINTR), so the call times out although a response has arrived.  Reads that response;
                # the rest of a partial one is not waited for.
                with trio.move_on_after(FINAL_READ, shield=True):
                    await self.read_answer(call)
                    reason = "answered"
        except (*GONE, h11.ProtocolError, trio.TooSlowError) as error:
            reason = type(error).__name__
        except Exception as error:  # an unexpected response must not end the process
            reason = type(error).__name__
            self.log("fault", part="call", endpoint=call.endpoint, why=described(error), at_line=where(error))
        finally:
            call.deadline_watch.cancel()
            if self.frozen and call.written and not all(send.cancelled or send.over for send in call.sends):
                self.carried.append(call)
            else:
                if call.line:
                    if call.written:
                        # If the process was suspended just after the last byte, the response is still unread.
                        call.line.head = call.line.arrived()
                    # While the network path is down, a closed connection would keep the request and deliver
                    # it once the path is back: after its repeat window, or in addition to another push.  A
                    # reset discards what has not been sent yet.
                    call.line.abort()
                    self.close_connection(call.endpoint, call.line, reason)
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
            while call.sends and not call.written:
                write_scope.deadline = self.trio_time(max(send.write_deadline for send in call.sends))
                call.line = await self.acquire_connection(call)
                is_reused, now = call.line.used_at, self.now()
                late = [send for send in call.sends if send.over or send.cancelled or send.leave_by <= now]
                call.sends = [send for send in call.sends if send not in late]
                await self.tell(call, [(send, "moot") for send in late])
                write_scope.deadline = self.trio_time(
                    min((send.write_deadline for send in call.sends), default=now)
                )
                try:
                    if call.sends:
                        await call.line.send_in_two(
                            *self.build_request(call), leaves=partial(self.before_last_byte, call)
                        )
                        call.written = True
                        self.counters[FORWARDS] += len(call.sends)
                        if self.frozen:
                            call.scope.cancel()
                except GONE:
                    if not is_reused:
                        raise
                    line, call.line = call.line, None
                    self.close_connection(call.endpoint, line, "stale")
        call.connect_tried &= call.written
        return call.written

    def before_last_byte(self, call):
        """Called just before the last byte is written: from here on the call may have run.

        `may_leave` records this in the ledger.  Were it recorded earlier, a kill while the call connects or
        waits for a free connection would make the next process abandon a once-only notification that was
        never sent."""
        if call.scope.cancel_called:
            return  # cancelled just now: the last byte will not be written
        if not self.may_leave(call.endpoint, call.sends):
            for send in call.sends:
                send.cancelled = True
            call.scope.cancel()

    async def watch_deadlines(self, call):
        """Ends each push of a batch at its own deadline, which may be before the time-out of the call.

        A push whose deadline passes while the call still connects must not be sent later."""
        deadlines = [
            (time, index, send)
            for index, send in enumerate(call.sends)
            for time in (send.leave_by, send.ttl_at)
        ]
        with call.deadline_watch:
            for time, _, send in sorted(deadlines, key=lambda deadline: deadline[:2]):
                await trio.sleep_until(self.trio_time(time))  # already past if the process was suspended
                if not call.line:
                    await self.tell(call, [(send, "moot")])
                elif time >= send.ttl_at:
                    await self.tell(call, [(send, "timeout")])

    async def finish_unanswered(self, call):
        """Reports the pushes without a valid response; their outcome depends on how far the call got."""
        timed_out = call.scope.cancelled_caught
        outcomes, single = [], len(call.sends) == 1
        for send in call.sends:
            if call.written and single and call.line and protocol.says_delivered(call.line.head):
                outcomes.append((send, "delivered"))
            elif call.written:
                outcomes.append(
                    (send, "cancelled" if send.cancelled else "timeout" if timed_out else "reset")
                )
            else:
                is_ours = send.cancelled or self.frozen
                outcomes.append((send, "unreachable" if call.connect_tried and not is_ours else "moot"))
        await self.tell(call, outcomes)

    async def tell(self, call, outcomes, wait=0, report=None):
        """Reports the outcomes of a call's pushes, each push once.

        The outcome `over` (the endpoint wants no further push of the notification) is reported as `moot`."""
        now, new = self.now(), []
        for send, outcome in outcomes:
            if not send.over:
                send.over = True
                del self.out[send.id, send.number]
                is_final = outcome in ("delivered", "over")
                outcome = "moot" if outcome == "over" else outcome
                self.counters[f"pushes_{outcome}"] += 1
                new.append((send.id, send.number, outcome, now - call.began_at, wait, is_final, report))
        if new:
            with trio.CancelScope(shield=True):
                await self.told(call.endpoint, new, now)

    async def acquire_connection(self, call):
        """Returns an idle connection that can still be used, or a new one."""
        endpoint = call.endpoint
        lines = self.idle.get(endpoint, [])
        while lines:
            line = lines.pop()
            if self.now() - line.used_at < self.max_idle and line.quiet():
                return line
            self.close_connection(endpoint, line, "stale")
        if not self.connection_limit.value:
            self.evict()
        # Waits at the limit: running out of connections here must not count as a failure of the endpoint.
        await self.connection_limit.acquire()
        try:
            line = await self.connect(call)
        except BaseException:
            self.connection_limit.release()
            raise
        self.counters["connections_opened"] += 1
        return line

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
                    return await connect(self.network, self.book[call.endpoint])
            except OSError as error:
                no_route = error.errno in NETWORK_ERRORS and trio.current_time() > until
                if no_route or not is_local(error):
                    raise
                self.handle_local_error(call, error)
            await trio.sleep(backoff.next_pause())

    def handle_local_error(self, call, error):
        """A connect failed because of this machine, not the endpoint."""
        call.connect_tried = False
        self.counters[f"connect_errors_{name(error)}"] += 1
        if error.errno in RESOURCE_ERRORS:
            self.evict()

    async def read_answer(self, call):
        """Reads the response and reports the outcomes that follow from it.

        A request with a malformed response may have run, whatever the response says; but a status line with
        200 proves the delivery of a single notification."""
        line = call.line
        answer = await line.answer()
        headers = dict(answer.headers)
        wait = protocol.wait(headers.get(protocol.RETRY, b""))
        report = protocol.report(headers.get(protocol.REPORT, b""), self.report)
        is_batch = len(call.sends) > 1
        if answer.status_code == 200 and not is_batch:
            outcomes = [(call.sends[0], "delivered")]
            if not line.whole():
                await self.tell(call, outcomes, wait, report)
                await line.rest(protocol.MOST_BODY)
        else:
            body = await line.rest(protocol.MOST_BODY)
            if answer.status_code == 200:
                outcomes = self.batch_outcomes(call, body)
            else:
                outcome = self.outcome_of(answer.status_code, headers, is_batch)
                if outcome == "throttled" and not wait and not line.used_at and not line.reusable():
                    # The endpoint is at its connection limit and rejects this new connection, not the
                    # request: for the decision module the connect failed.
                    outcome = "unreachable"
                outcomes = [(send, outcome) for send in call.sends]
        # Kept before the report, after which the decision module may ask to close idle connections.
        self.keep(call)
        await self.tell(call, outcomes, wait, report)

    @staticmethod
    def outcome_of(status, headers, is_batch):
        """The outcome for a status other than 200; after an undocumented status the push may have run."""
        if status == 503 and headers.get(protocol.NO_SLOT) == b"1" or status == 504:
            return "moot"
        if status == 410:
            return "over"
        never_ran = status in (429, 503) or is_batch and status in (400, 413)
        return "throttled" if never_ran else "error"

    @staticmethod
    def batch_outcomes(call, body):
        """The outcome of each push in a batch; one that the response does not list, or with an unknown state,
        may have run."""
        try:
            states = {item["id"]: protocol.BATCH_ENDS.get(item["state"]) for item in json.loads(body)}
        except (ValueError, TypeError, KeyError, RecursionError):
            raise h11.RemoteProtocolError("batch response is not a JSON list of ids and states") from None
        return [(send, states.get(send.id) or "error") for send in call.sends]

    def build_request(self, call):
        now = self.now()
        time_left = str(max(0, max(send.until for send in call.sends) - now) // MS)
        headers = [("Host", "endpoint"), ("X-Expires-In-Ms", time_left)]
        first = call.sends[0]
        if len(call.sends) == 1:
            target, body = protocol.ONE, first.body
            headers.append(("X-Trace-Id", first.id.encode("latin-1")))
            if first.key:
                headers.append(("Idempotency-Key", first.key.encode("latin-1")))
        else:
            target = protocol.MANY
            # Whoever tracks a batch by its first message ignores outcomes after that message's TTL; so the
            # one with the latest TTL comes first.
            by_ttl = sorted(call.sends, key=lambda send: -send.ttl_at)
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
        line, call.line = call.line, None
        if not line.reusable() or self.has_old_address(call.endpoint, line):
            return self.close_connection(call.endpoint, line, "not_kept")
        line.next()
        line.used_at = self.now()
        self.idle.setdefault(call.endpoint, []).append(line)

    def close_connection(self, endpoint, line, reason):
        line.close()
        self.connection_limit.release()
        self.log("conn", endpoint=endpoint, end=reason)

    def close_idle(self, endpoint):
        for line in self.idle.pop(endpoint, []):
            self.close_connection(endpoint, line, "asked")

    def evict(self):
        """Closes the connection that has been idle longest, to free a socket; False when none is idle."""
        idle = [(lines[0].used_at, endpoint) for endpoint, lines in self.idle.items() if lines]
        if idle:
            _, endpoint = min(idle)
            self.close_connection(endpoint, self.idle[endpoint].pop(0), "no_sockets")
        return bool(idle)

    async def sweep(self):
        """Closes idle connections that the endpoint has closed or is about to close, once a second."""
        while True:
            await trio.sleep(1)
            for endpoint, lines in list(self.idle.items()):
                for line in list(lines):
                    if self.now() - line.used_at >= self.max_idle or not line.quiet():
                        lines.remove(line)
                        self.close_connection(endpoint, line, "stale")
                if not lines:
                    del self.idle[endpoint]
