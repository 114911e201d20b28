"""Clients: the listening socket, their connections, and the answer to each request."""

import h11
import trio

from juniperlanding import rules
from juniperlanding.choice import SEC
from juniperlanding.ground.errors import system
from juniperlanding.ground.log import described, where
from juniperlanding.net import protocol
from juniperlanding.net.counters import DECLINED
from juniperlanding.net.line import GONE, Line
from juniperlanding.net.owner import Answer
from juniperlanding.net.system_errors import AcceptErrors, Concerns, concerns, name

TURNED_AWAY = ("closed_by_us", "silent")  # ends of connections on which no answer is owed
ENDED_BY_US = (
    *TURNED_AWAY,
    "closed",
    "fault",
    "ended",
    "process_ends",
    "malformed",
    "slow",
    "too_long",
    "ambiguous",
    "too_late",
)
ROOM = 8  # connections over the limit; they make others give way, and are closed after their answer
# Seconds in which a new connection's request, or the rest of one, still comes as the connection gives way to
# another one, and as the process ends.
REST_WITHIN, LAST_REST_WITHIN = 0.02, 0.1
MAKE_ROOM_EVERY = 0.05  # seconds between two idle connections that are closed because accepting fails
LAST_ACCEPTS = 0.05  # seconds for those in the backlog, as the process ends and accepting fails


class Clients:
    def __init__(self, config, clock, most_open, owner, counters, log):
        self.now = clock.now
        self.owner, self.counters, self.log, self.most_open = owner, counters, log, most_open
        self.attended = {}  # open connections with who is at their other end
        self.open, self.waiting, self.draining = 0, {}, False  # waiting: the scope of each wait for a request
        self.came = 0  # connections accepted
        self.turned_away, self.closing = {}, False  # turned away: the scope in which it is still listened to
        self.connection_limit = trio.Semaphore(most_open + ROOM)
        # Once frozen, whoever is between answers is carried over to the process that takes over.
        self.frozen, self.carried, self.leaving, self.accepting = False, [], set(), trio.CancelScope()
        self.accepts_nobody = trio.Event()
        self.accept_errors, self.made_room_at = AcceptErrors(), float("-inf")

    async def listen(self, listener, nursery):
        self.nursery = nursery
        try:
            with self.accepting:
                await self.accept(listener)
        finally:
            self.accepts_nobody.set()

    async def close(self, listener):
        """Nobody is accepted any more, and who comes is refused.

        Threats: the task that accepts just got a place, goes on after one step more, and waits on a closed
        number: a crash; who came since its last look stands in the backlog, and the close resets it."""
        self.accepting.cancel()
        await self.accepts_nobody.wait()
        with trio.move_on_after(LAST_ACCEPTS):
            await self.accept_backlog(listener)
        listener.close()

    async def accept_backlog(self, listener):
        """Take on who has connected already.  One that failed must not have the others reset."""
        while self.connection_limit.value:
            try:
                come = listener.waiting()
            except OSError as error:
                await self.accept_failed(error)
                continue
            if not come:
                break
            self.connection_limit.acquire_nowait()
            self.take(*come)

    def inherit(self, nursery, lines):
        """Go on with another process's clients, (line, seconds left for its request) each; no more than there
        are places for."""
        for line, within in lines:
            try:
                peer = line.sock.peer()
                self.connection_limit.acquire_nowait()
            except (OSError, trio.WouldBlock):
                line.close()
                continue
            self.open += 1
            nursery.start_soon(self.attend, line, peer, within)

    def freeze(self):
        """Accept nobody, read nothing further; what is being answered still is."""
        self.frozen = True
        self.accepting.cancel()
        for scope in self.waiting.values():
            scope.cancel()

    def settled(self):
        return self.frozen and self.open == len(self.carried) + len(self.leaving)

    def take(self, sock, peer):
        self.came += 1
        self.open += 1
        if self.crowded():
            self.evict()
        self.nursery.start_soon(self.attend, Line(sock, h11.SERVER), peer)

    async def accept(self, listener):
        while True:
            if not self.connection_limit.value and self.turned_away:
                next(iter(self.turned_away.values())).cancel()  # it is owed nothing, and the next one waits
            # Threat: a connection that is accepted and then closed unanswered loses its request.
            await self.connection_limit.acquire()
            try:
                come = await listener.accept()
            except trio.Cancelled:
                self.connection_limit.release()
                raise
            except OSError as error:
                self.connection_limit.release()
                await self.accept_failed(error)
                continue
            self.accept_errors.succeeded()
            self.take(*come)

    async def accept_failed(self, error):
        """Count and log a failed accept, make room where that helps, and wait until the next may succeed."""
        self.counters[f"accept_errors_{name(error)}"] += 1
        if self.accept_errors.is_news(error, trio.current_time()):
            self.log("accept", why=described(error), **system(error).fields)
        if concerns(error) is Concerns.RESOURCES:
            self.make_room()
        await trio.sleep(self.accept_errors.pause(error))

    def make_room(self):
        """The process or machine has nothing left for one more connection: an idle one goes, now and then.

        Failures that come and go would otherwise close all that are kept."""
        now = trio.current_time()
        if now < self.made_room_at + MAKE_ROOM_EVERY:
            return
        self.made_room_at = now
        if self.turned_away:
            next(iter(self.turned_away.values())).cancel()
        elif not self.owner.endpoints.evict():
            self.evict()

    def crowded(self):
        return self.open - len(self.turned_away) > self.most_open

    def evict(self):
        """Threats: clients keep connections that they do not use, or never finish what they ask.

        Of those that owe us a request, the one that has done so longest goes; where half of them or more are
        idle, the first of those of whom nothing came.  Threats: idle clients that come back push out whoever
        is within a long request; a crowd of half requests pushes out whoever is about to ask."""
        goes, idle = next(iter(self.waiting), None), [line for line in self.waiting if not line.raw]
        if 2 * len(idle) >= len(self.waiting):
            goes = next((line for line in idle if not line.waiting()), goes)
        if goes:
            self.give_way(goes, REST_WITHIN)

    def give_way(self, line, rest_within):
        """No request is waited for any more.  Threats: one that has begun would be cut off unanswered; a new
        client's first bytes are still under way."""
        scope, now = self.waiting.pop(line), trio.current_time()
        if line.raw:
            scope.deadline = min(scope.deadline, now + rest_within)
        elif line.came_at + rest_within <= now:
            scope.cancel()
        else:
            scope.deadline = min(scope.deadline, line.came_at + rest_within)

    def drain(self):
        """No connection is kept after its next answer; those between requests are ended now."""
        self.draining = True
        for line in list(self.waiting):
            self.give_way(line, LAST_REST_WITHIN)

    def refuse(self):
        """The last moments: what comes now is not taken on any more, and told so."""
        self.closing = True

    def busy(self):
        """How many are between their request and their answer."""
        return self.open - len(self.waiting) - len(self.leaving) - len(self.carried)

    async def attend(self, line, peer, within=protocol.REQUEST_WITHIN):
        reason, served, line.until = "closed", 0, trio.current_time() + within
        self.attended[line] = peer
        try:
            while reason == "closed":
                reason = "carried" if self.frozen else await self.one(line, line.until)
                if reason == "closed":  # between requests a client may wait
                    served, line.until = served + 1, float("inf")
            if reason in TURNED_AWAY:
                with trio.CancelScope() as self.turned_away[line]:
                    self.leaving.add(line)
                    if self.connection_limit.statistics().tasks_waiting and not any(
                        scope.cancel_called for scope in self.turned_away.values()
                    ):
                        self.turned_away[line].cancel()  # as in `accept`, which waits by now
                    await line.finish()
        except trio.Cancelled:
            reason = "process_ends"  # `count_unanswered` has looked before
            raise
        except GONE as error:
            reason = type(error).__name__
        except Exception as error:  # threat: one odd client must not end the program
            reason = "fault"
            self.log("fault", part="client", why=described(error), at_line=where(error))
        finally:
            self.attended.pop(line, None)
            if reason == "carried":
                self.carried.append(line)
            else:
                self.turned_away.pop(line, None)
                self.leaving.discard(line)
                self.open -= 1
                self.connection_limit.release()
                if reason != "process_ends":
                    self.check_end(line, peer, reason)
                line.close()
                self.log("conn", client=f"{peer[0]}:{peer[1]}", end=reason, requests=served)

    def check_end(self, line, peer, reason):
        """Count a connection that we end while the answer to a whole request is due.

        Not ours: it broke, its client reads nothing, or the process itself ends."""
        facts = rules.CloseFacts(is_request_whole=line.is_request_whole, is_answered=line.is_answered)
        if reason in ENDED_BY_US and not rules.may_close(facts).is_allowed:
            client = "{}:{}".format(*peer)
            self.owner.trace.violation(rules.Rule.CLOSED_UNANSWERED, client, end=reason)

    def count_unanswered(self):
        """The process ends now: whoever waits for the answer to a whole request is counted."""
        for line, peer in self.attended.items():
            self.check_end(line, peer, "process_ends")

    async def begin(self, line, until):
        """Wait for the first bytes of a request; the reason why none will be read, or None.

        Threat: they come in the very moment in which we give up; then they are read."""
        came = False
        with trio.CancelScope(deadline=until) as scope:
            self.waiting[line], line.until = scope, until
            try:
                came = await line.begin()
            finally:
                gave_way = self.waiting.pop(line, None) is None
        if scope.cancelled_caught:
            if self.frozen:
                return "carried"
            if rules.may_close(rules.CloseFacts(has_unread=bool(line.waiting()))).is_allowed:
                return "closed_by_us" if gave_way else "silent"
            came = await line.begin()
        # Threat: half a request, or a byte now and then, and its error is due.
        line.gives_way = gave_way and not self.draining
        rest_within = REST_WITHIN if line.gives_way else LAST_REST_WITHIN
        within = rest_within if gave_way else protocol.REQUEST_WITHIN
        line.until = min(max(until, trio.current_time() + LAST_REST_WITHIN), trio.current_time() + within)
        return None if came else "ended"

    async def one(self, line, until):
        """Read one request and answer it; the reason to end the connection, or 'closed' to go on."""
        status, reason, request, body = 408, "slow", None, None
        if why := await self.begin(line, until):
            return why
        try:
            with trio.CancelScope(deadline=line.until) as scope:
                self.waiting[line] = scope  # the last in turn: it has done nothing for the least time
                try:
                    request = await line.event()
                    if isinstance(request, h11.ConnectionClosed):
                        return "ended"
                    if int(dict(request.headers).get(b"content-length", 0)) <= protocol.MOST_BODY:
                        body = await line.body(protocol.MOST_BODY)
                    status, reason = 413, "too_long"
                finally:
                    gave_way = self.waiting.pop(line, None) is None or line.gives_way
                    if body is not None:
                        line.raw.clear()  # whole, so it is answered here
        except h11.RemoteProtocolError as error:
            status, reason = error.error_status_hint, "malformed"
        if scope.cancelled_caught and self.frozen:
            return "carried"
        if scope.cancelled_caught and gave_way:
            if line.waiting():
                # Threat: the rest is there by now, and a close over it would look as if we had it.
                return await self.respond(line, 503, reason="too_late")
            # Threat: who writes in pieces sees an end with no answer, and its request counts as lost.
            with trio.move_on_after(protocol.PATIENCE):
                await self.say(line, 503, last=True)
            return "closed_by_us"
        if body is None or reason == "malformed":
            return await self.respond(line, status, reason=reason)
        if protocol.ambiguous(request.headers) or line.more():
            # Threat: another request hidden behind or within this one; one at a time is the rule.
            return await self.respond(line, 400, reason="ambiguous")
        return await self.answer(line, request, body)

    async def say(self, line, status, headers=(), payload=b"", last=False):
        headers = [*headers, ("Content-Length", str(len(payload)))]
        self.counters[f"answers_{status}"] += 1
        await line.send(
            h11.Response(status_code=status, headers=headers + [("Connection", "close")] * last),
            h11.Data(data=payload),
            h11.EndOfMessage(),
        )

    async def respond(self, line, status, headers=(), payload=b"", reason="closed"):
        last = reason != "closed" or self.draining or self.crowded()
        with trio.move_on_after(protocol.REQUEST_WITHIN) as scope:
            await self.say(line, status, headers, payload, last)
            if last or not line.reusable():
                # Threat: a byte that comes behind the last request turns our close into a reset, which takes
                # the answer with it; also where the client was to end it (HTTP/1.0, `Connection: close`).
                self.leaving.add(line)
                await line.finish()
        if scope.cancelled_caught:
            return "not_read"
        if last or not line.reusable():
            return reason if reason != "closed" else "last_answer"
        line.next()
        return "closed"

    async def answer(self, line, request, body):
        path = request.target.partition(b"?")[0]
        if request.method == b"GET" and path == protocol.READY:
            well = self.owner.ready and not self.draining and self.owner.licensed(self.owner.in_force)
            return await self.respond(line, 200 if well else 503)
        if request.method == b"GET" and path == protocol.COUNTERS:
            return await self.respond(line, 200, payload=self.counters.text().encode())
        if path != protocol.SUBMIT:
            return await self.respond(line, 404)
        if request.method != b"POST":
            return await self.respond(line, 405)
        return await self.submit(line, dict(request.headers), body, request.target)

    async def submit(self, line, headers, body, target=b""):
        self.counters["handed_in"] += 1
        try:
            ntf_id, topic = protocol.name(headers[protocol.ID]), protocol.text(headers[protocol.TOPIC])
            ttl_at = self.now() + protocol.left(headers[protocol.TTL])
            destination = protocol.destination(headers[protocol.WHERE])
            key = protocol.name(headers[protocol.KEY]) if protocol.KEY in headers else ""
            keys = protocol.turn(target), protocol.text(headers.get(protocol.TENANT, b""))
        except (KeyError, ValueError):
            return await self.respond(line, 400)
        if topic not in self.owner.topics:
            return await self.respond(line, 400)
        answer = Answer(ntf_id)
        # Threat: we stood still, and the client has left and hands it in elsewhere.
        verdict = rules.may_take_on(
            rules.TakeOnFacts(
                is_ready=self.owner.ready,
                is_writable=not self.owner.stuck,
                is_stopping=self.closing,
                has_client_left=line.waiting() == b"",
            )
        )
        event = self.owner.submit, topic, destination, ttl_at, key, body, answer, *keys
        if verdict.is_allowed and not self.owner.tell_now(*event):
            verdict = rules.Verdict(rules.Reason.NO_PLACE)  # in the queue
        if not verdict.is_allowed:
            self.owner.trace.refused(ntf_id, verdict.reason)
            self.counters.ended(topic, DECLINED)
            return await self.respond(line, 503)
        await answer.ready.wait()
        more = [("Retry-After", f"{answer.again_in / SEC:.3f}")] if answer.again_in else []
        if self.owner.licence is not None and answer.took and answer.status == 202:
            more = [(protocol.POLICY, str(answer.under))]
        try:
            return await self.respond(line, answer.status, more)
        except GONE:
            # Threat: the same id once more, unheard, takes back what the first client was told yes for.
            if answer.took and answer.status == 202:
                await self.owner.tell(self.owner.unheard, answer)
            raise
