"""Connections to endpoints, and the calls over them: what comes back is told with what it proves."""

import json
from base64 import b64encode
from dataclasses import dataclass, field
from functools import partial

import h11
import trio

from juniperlanding.choice import MS, SEC, TRAVEL_SHARE
from juniperlanding.ground.log import described, where
from juniperlanding.handover import steps
from juniperlanding.net import protocol
from juniperlanding.net.counters import FORWARDS
from juniperlanding.net.line import GONE, connect
from juniperlanding.net.system_errors import NETWORK_ERRORS, RESOURCE_ERRORS, Backoff, is_local, name

NO_ROUTE_WITHIN = 0.3  # seconds for which a connect that finds no way there is tried again
LAST_READ = 0.05  # seconds to take in what came of an answer before its call was ended


@dataclass(slots=True, eq=False)
class Send:
    """One notification on its way in a call."""

    id: str
    number: int
    key: str = field(repr=False)
    body: bytes = field(repr=False)
    until: int  # when its time-out ends
    ttl_at: int
    leave_by: int  # past this its bytes must not leave any more
    zone: int = 0  # its endpoint's
    over: bool = False  # its outcome was told
    cancelled: bool = False

    @property
    def bound(self):
        """`leave_by`, or never when the time-out ends the call no later."""
        return self.leave_by if self.leave_by < self.until else 1 << 62


class Call:
    """Lives from the push to the last outcome: a scope to end it, and how far its bytes have come."""

    def __init__(self, endpoint, sends, now):
        self.endpoint, self.sends, self.scope = endpoint, sends, trio.CancelScope()
        self.began_at, self.tried, self.written, self.line = now, False, False, None
        self.ends = trio.CancelScope()  # of the watch over the time of each of several


class Endpoints:
    def __init__(self, config, world, most_open, told, counters, log, may_leave=lambda endpoint, sends: True):
        self.may_leave = may_leave  # whether the last byte of a call with these may leave
        self.now, self.network = world.clock.now, world.network
        self.connection_limit = trio.Semaphore(most_open)
        self.told, self.counters, self.log = told, counters, log
        self.connect_within = config.connect_within / SEC
        closes = config.settings.get("idle_closes", 0)
        self.fresh = closes - closes // TRAVEL_SHARE or 1 << 62  # a request still travels to the endpoint
        self.report, self.book, self.idle, self.out = config.report, {}, {}, {}
        self.frozen, self.carried = False, []  # calls for the process that takes over

    def start(self, nursery, endpoint, sends):
        self.go_on(nursery, Call(endpoint, sends, self.now()))

    def go_on(self, nursery, call):
        for send in call.sends:
            if not send.over:
                self.out[send.id, send.number] = call
        if len(call.sends) > 1:
            nursery.start_soon(self.expire, call)
        nursery.start_soon(self.run, call)

    def inherit(self, nursery, calls, idle):
        """Go on with another process's calls, (call, line) each, and its idle connections, (endpoint, line)
        each."""
        for call, line in calls:
            if self.admits(line):
                call.line, call.tried, call.written = line, True, True
                self.go_on(nursery, call)
        for endpoint, line in idle:
            if self.admits(line):
                self.idle.setdefault(endpoint, []).append(line)

    def admits(self, line):
        """Whether a connection that came from another process fits; else it is closed."""
        try:
            self.connection_limit.acquire_nowait()
        except trio.WouldBlock:
            line.close()
            return False
        return True

    def freeze(self):
        """Calls that are out whole, or soon will be, are carried over; of the others nothing has run, and
        they end so."""
        self.frozen = True
        for call in set(self.out.values()):
            soon = 0 if call.written else steps.WRITE_OUT
            call.scope.deadline = min(call.scope.deadline, trio.current_time() + soon)

    def settled(self):
        return len(set(self.out.values())) == len(self.carried)

    def cancel(self, ntf_id, number):
        """Stop waiting for one push; the call ends once it carries nothing else."""
        if call := self.out.get((ntf_id, number)):
            for send in call.sends:
                send.cancelled |= send.id == ntf_id
            if all(send.cancelled or send.over for send in call.sends):
                call.scope.cancel()

    def calls(self):
        """The calls that are out, each once."""
        return set(self.out.values())

    def recall(self, endpoints):
        """Threat: a wait or a drain binds, but a call not wholly written would arrive all the same."""
        for call in set(self.out.values()):
            if call.endpoint in endpoints and not call.written:
                for send in call.sends:
                    send.cancelled = True
                call.scope.cancel()

    def move(self, endpoint):
        """The list tells another address for an endpoint: nothing more leaves over connections to the old
        one.  A call that is out whole is still heard."""
        self.close_idle(endpoint)
        self.recall({endpoint})

    def has_moved(self, endpoint, line):
        """Whether a connection goes to an address that its endpoint had before."""
        return line.address is not None and self.book.get(endpoint, line.address) != line.address

    async def withdraw(self):
        """The process ends: call back what has not left, and wait until that is told.

        Threat: it leaves as the process ends, and a once-only one is given up, whatever came of it."""
        self.recall({call.endpoint for call in self.out.values()})
        while not all(call.written for call in self.out.values()):
            await trio.sleep(LAST_READ / 10)

    async def run(self, call):
        call.scope.deadline = trio.current_time() + (max(s.until for s in call.sends) - self.now()) / SEC
        reason = "gave_up"
        try:
            with call.scope:
                if not await self.write(call):
                    return
                await self.answered(call)
                reason = "answered"
            if call.scope.cancelled_caught and call.written and not self.frozen and call.line.unheard():
                # Threat: we stood still past the deadline.  The first look at the sockets after that tells of
                # nothing (EINTR), so time is up before an answer that lies there is seen.  A part of one lies
                # there, and its end is not waited for.
                with trio.move_on_after(LAST_READ, shield=True):
                    await self.answered(call)
                    reason = "answered"
        except (*GONE, h11.ProtocolError, trio.TooSlowError) as error:
            reason = type(error).__name__
        except Exception as error:  # threat: one odd answer must not end the program
            reason = type(error).__name__
            self.log("fault", part="call", endpoint=call.endpoint, why=described(error), at_line=where(error))
        finally:
            call.ends.cancel()
            if self.frozen and call.written and not all(send.cancelled or send.over for send in call.sends):
                self.carried.append(call)
            else:
                if call.line:
                    if call.written:
                        # Threat: we stood still right after the last byte, and the answer waits unread.
                        call.line.head = call.line.arrived()
                    # Threat: a path that is cut holds the request, and delivers it once it heals, past its
                    # window or beside a copy; a reset takes back what has not left yet.
                    call.line.abort()
                    self.drop(call.endpoint, call.line, reason)
                await self.unanswered(call)

    def when(self, at):
        """Trio's time for one of ours."""
        return trio.current_time() + (at - self.now()) / SEC

    async def write(self, call):
        """Whether any of it left in time.  That it did not is ours to say, and nobody's fault.

        Threats: a kept connection that breaks before the last byte says nothing of the endpoint; one that
        comes up late would carry what has ended meanwhile."""
        with trio.CancelScope() as leaving:
            while call.sends and not call.written:
                leaving.deadline = self.when(max(send.bound for send in call.sends))
                call.line = await self.line(call)
                kept, now = call.line.used_at, self.now()
                late = [send for send in call.sends if send.over or send.cancelled or send.leave_by <= now]
                call.sends = [send for send in call.sends if send not in late]
                await self.tell(call, [(send, "moot") for send in late])
                leaving.deadline = self.when(min((send.bound for send in call.sends), default=now))
                try:
                    if call.sends:
                        await call.line.send_in_two(*self.request(call), leaves=partial(self.leaves, call))
                        call.written = True
                        self.counters[FORWARDS] += len(call.sends)
                        if self.frozen:
                            call.scope.cancel()
                except GONE:
                    if not kept:
                        raise
                    line, call.line = call.line, None
                    self.drop(call.endpoint, line, "stale")
        call.tried &= call.written
        return call.written

    def leaves(self, call):
        """The last byte is about to leave, and nothing waits from here on: from now on it may have run.

        Threat: on file any sooner, a kill meets it while it connects, or waits for a place, and a once-only
        one is given up with no call made."""
        if call.scope.cancel_called:
            return  # called off in this very moment; nothing more leaves
        if not self.may_leave(call.endpoint, call.sends):
            for send in call.sends:
                send.cancelled = True
            call.scope.cancel()

    async def expire(self, call):
        """Threats: in a call of several, one's time ends before the call does, and its end is due then; the
        connection is still coming up, and it would leave after its end."""
        times = [
            (at, place, send) for place, send in enumerate(call.sends) for at in (send.leave_by, send.ttl_at)
        ]
        with call.ends:
            for at, _, send in sorted(times, key=lambda time: time[:2]):
                await trio.sleep_until(self.when(at))  # past already if we stood still meanwhile
                if not call.line:
                    await self.tell(call, [(send, "moot")])
                elif at >= send.ttl_at:
                    await self.tell(call, [(send, "timeout")])

    async def unanswered(self, call):
        """The outcome of what got no answer, or a spoilt one, follows from how far the call came."""
        gave_up = call.scope.cancelled_caught
        ends, single = [], len(call.sends) == 1
        for send in call.sends:
            if call.written and single and call.line and protocol.says_delivered(call.line.head):
                ends.append((send, "delivered"))
            elif call.written:
                ends.append((send, "cancelled" if send.cancelled else "timeout" if gave_up else "reset"))
            else:
                ours = send.cancelled or self.frozen
                ends.append((send, "unreachable" if call.tried and not ours else "moot"))
        await self.tell(call, ends)

    async def tell(self, call, ends, wait=0, report=None):
        now, outcomes = self.now(), []
        for send, ending in ends:
            if not send.over:
                send.over = True
                del self.out[send.id, send.number]
                over = ending in ("delivered", "over")
                ending = "moot" if ending == "over" else ending
                self.counters[f"pushes_{ending}"] += 1
                outcomes.append((send.id, send.number, ending, now - call.began_at, wait, over, report))
        if outcomes:
            with trio.CancelScope(shield=True):
                await self.told(call.endpoint, outcomes, now)

    async def line(self, call):
        """An idle connection that may still be used, or a new one."""
        endpoint = call.endpoint
        lines = self.idle.get(endpoint, [])
        while lines:
            line = lines.pop()
            if self.now() - line.used_at < self.fresh and line.quiet():
                return line
            self.drop(endpoint, line, "stale")
        if not self.connection_limit.value:
            self.evict()
        # Threat: a call that finds no socket here is no fault of the endpoint's.
        await self.connection_limit.acquire()
        try:
            line = await self.connected(call)
        except BaseException:
            self.connection_limit.release()
            raise
        self.counters["connections_opened"] += 1
        return line

    async def connected(self, call):
        """A new connection to a call's endpoint.

        What this machine lacks is waited for, as a place is: each call that ended for want of it would use up
        a try.  Where there is no way to the endpoint for longer than a moment, another one may have one."""
        backoff, until = Backoff(), trio.current_time() + NO_ROUTE_WITHIN
        while True:
            call.tried = True
            try:
                with trio.fail_after(self.connect_within):
                    return await connect(self.network, self.book[call.endpoint])
            except OSError as error:
                no_route = error.errno in NETWORK_ERRORS and trio.current_time() > until
                if no_route or not is_local(error):
                    raise
                self.local_trouble(call, error)
            await trio.sleep(backoff.failed())

    def local_trouble(self, call, error):
        """A connect failed for want of something of this machine's."""
        call.tried = False
        self.counters[f"connect_errors_{name(error)}"] += 1
        if error.errno in RESOURCE_ERRORS:
            self.evict()

    async def answered(self, call):
        """Read the answer, and tell what it proves.

        Threat: a spoilt answer has run, whatever it says; but one line with 200 is true for one message."""
        line = call.line
        answer = await line.answer()
        headers = dict(answer.headers)
        wait = protocol.wait(headers.get(protocol.RETRY, b""))
        report = protocol.report(headers.get(protocol.REPORT, b""), self.report)
        many = len(call.sends) > 1
        if answer.status_code == 200 and not many:
            ends = [(call.sends[0], "delivered")]
            if not line.whole():
                await self.tell(call, ends, wait, report)
                await line.rest(protocol.MOST_BODY)
        else:
            body = await line.rest(protocol.MOST_BODY)
            if answer.status_code == 200:
                ends = self.batch_ends(call, body)
            else:
                ending = self.ending(answer.status_code, headers, many)
                if ending == "throttled" and not wait and not line.used_at and not line.reusable():
                    # Threat: the endpoint has all the connections that it takes, and says so on this one
                    # alone; for the module no connection came up.
                    ending = "unreachable"
                ends = [(send, ending) for send in call.sends]
        self.keep(call)  # before it is told, so that the module can have it closed
        await self.tell(call, ends, wait, report)

    @staticmethod
    def ending(status, headers, many):
        """What an answer other than 200 proves; what no page names may have run."""
        if status == 503 and headers.get(protocol.NO_SLOT) == b"1" or status == 504:
            return "moot"
        if status == 410:
            return "over"
        never = status in (429, 503) or many and status in (400, 413)
        return "throttled" if never else "error"

    @staticmethod
    def batch_ends(call, body):
        try:
            states = {item["id"]: protocol.BATCH_ENDS.get(item["state"]) for item in json.loads(body)}
        except (ValueError, TypeError, KeyError, RecursionError):
            raise h11.RemoteProtocolError("ends cannot be read") from None
        return [(send, states.get(send.id) or "error") for send in call.sends]

    def request(self, call):
        now = self.now()
        left = str(max(0, max(send.until for send in call.sends) - now) // MS)
        headers = [("Host", "endpoint"), ("X-Expires-In-Ms", left)]
        first = call.sends[0]
        if len(call.sends) == 1:
            target, body = protocol.ONE, first.body
            headers.append(("X-Trace-Id", first.id.encode("latin-1")))
            if first.key:
                headers.append(("Idempotency-Key", first.key.encode("latin-1")))
        else:
            target = protocol.MANY
            # Threat: who goes by a call's first message believes no end that comes once its time is up; so
            # the first is the one that lasts longest.
            longest = sorted(call.sends, key=lambda send: -send.ttl_at)
            body = json.dumps(
                [
                    {"id": s.id} | ({"key": s.key} if s.key else {}) | {"body": b64encode(s.body).decode()}
                    for s in longest
                ]
            ).encode()
        headers.append(("Content-Length", str(len(body))))
        return (
            h11.Request(method="POST", target=target, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    def keep(self, call):
        line, call.line = call.line, None
        if not line.reusable() or self.has_moved(call.endpoint, line):
            return self.drop(call.endpoint, line, "not_kept")
        line.next()
        line.used_at = self.now()
        self.idle.setdefault(call.endpoint, []).append(line)

    def drop(self, endpoint, line, reason):
        line.close()
        self.connection_limit.release()
        self.log("conn", endpoint=endpoint, end=reason)

    def close_idle(self, endpoint):
        for line in self.idle.pop(endpoint, []):
            self.drop(endpoint, line, "asked")

    def evict(self):
        """Close the connection that is idle longest, as sockets run out; False when there is none."""
        idle = [(lines[0].used_at, endpoint) for endpoint, lines in self.idle.items() if lines]
        if idle:
            _, endpoint = min(idle)
            self.drop(endpoint, self.idle[endpoint].pop(0), "no_sockets")
        return bool(idle)

    async def sweep(self):
        """Idle connections that ended, or will soon, go."""
        while True:
            await trio.sleep(1)
            for endpoint, lines in list(self.idle.items()):
                for line in list(lines):
                    if self.now() - line.used_at >= self.fresh or not line.quiet():
                        lines.remove(line)
                        self.drop(endpoint, line, "stale")
                if not lines:
                    del self.idle[endpoint]
