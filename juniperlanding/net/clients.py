"""The HTTP server for clients: accepts connections, reads requests and answers them."""

import h11
import trio

from juniperlanding import rules
from juniperlanding.choice import SEC
from juniperlanding.ground.errors import as_operator_error
from juniperlanding.ground.log import error_location, safe_description
from juniperlanding.net import protocol
from juniperlanding.net.counters import DECLINED
from juniperlanding.net.line import CONNECTION_ERRORS, HttpConnection
from juniperlanding.net.owner import Answer
from juniperlanding.net.system_errors import AcceptErrors, Affected, affected, errno_name

NO_RESPONSE_DUE = ("closed_by_us", "silent")  # end reasons of connections that are owed no response
ENDED_BY_US = (
    *NO_RESPONSE_DUE,
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
# Connections accepted beyond the limit: each evicts a waiting one, and is closed after its response.
EXTRA_CONNECTIONS = 8
# Seconds that a new connection's request, or the rest of a request, still has to arrive: when the connection
# is evicted, and when the process ends.
EVICTED_REQUEST_TIMEOUT = 0.02
DRAINED_REQUEST_TIMEOUT = 0.1
FREE_INTERVAL = 0.05  # least seconds between two connections closed because accepting fails
BACKLOG_TIMEOUT = 0.05  # seconds to empty the backlog when the process ends and accepting fails


class Clients:
    def __init__(self, config, clock, max_connections, decision_loop, counters, log):
        self.now = clock.now
        self.decision_loop = decision_loop
        self.counters = counters
        self.log = log
        self.max_connections = max_connections
        self.peers = {}  # open connection -> its peer's address
        self.open = 0  # number of open connections
        self.request_waits = {}  # connection -> cancel scope of its wait for a request, longest wait first
        self.draining = False
        self.accepted_count = 0  # connections accepted so far
        self.lingering = {}  # connection that is owed no response -> cancel scope of its lingering close
        self.is_refusing = False
        self.connection_limit = trio.Semaphore(max_connections + EXTRA_CONNECTIONS)
        # Once frozen for a hand-over, connections between requests are carried over to the receiver.
        # leaving: the connections in their lingering close.
        self.frozen, self.handed_over, self.leaving, self.accepting = False, [], set(), trio.CancelScope()
        self.accept_stopped = trio.Event()
        self.accept_errors, self.freed_at = AcceptErrors(), float("-inf")

    async def listen(self, listener, nursery):
        self.nursery = nursery
        try:
            with self.accepting:
                await self.accept(listener)
        finally:
            self.accept_stopped.set()

    async def close(self, listener):
        """Stop accepting, and close the listening socket.

        Closing while the accepting task still runs would crash it: it may just have got capacity, and would
        then wait on a closed file descriptor. Connections that arrived since its last accept are in the
        backlog, and would be reset by the close, so they are accepted first."""
        self.accepting.cancel()
        await self.accept_stopped.wait()
        with trio.move_on_after(BACKLOG_TIMEOUT):
            await self.accept_backlog(listener)
        listener.close()

    async def accept_backlog(self, listener):
        """Accept the connections in the backlog; a failure on one must not get the others reset."""
        while self.connection_limit.value:
            try:
                accepted = listener.waiting()
            except OSError as error:
                await self.accept_failed(error)
                continue
            if not accepted:
                break
            self.connection_limit.acquire_nowait()
            self.add_connection(*accepted)

    def inherit(self, nursery, connections):
        """Serve connections that another process handed over; those beyond the limit are closed.

        connections: (connection, seconds left for its request) of each."""
        for connection, within in connections:
            try:
                peer = connection.sock.peer()
                self.connection_limit.acquire_nowait()
            except (OSError, trio.WouldBlock):
                connection.close()
                continue
            self.open += 1
            nursery.start_soon(self.serve_connection, connection, peer, within)

    def freeze(self):
        """Stop accepting and reading, for a hand-over; requests that were read are still answered."""
        self.frozen = True
        self.accepting.cancel()
        for scope in self.request_waits.values():
            scope.cancel()

    def settled(self):
        return self.frozen and self.open == len(self.handed_over) + len(self.leaving)

    def add_connection(self, sock, peer):
        self.accepted_count += 1
        self.open += 1
        if self.is_over_limit():
            self.evict()
        self.nursery.start_soon(self.serve_connection, HttpConnection(sock, h11.SERVER), peer)

    async def accept(self, listener):
        while True:
            if not self.connection_limit.value and self.lingering:
                next(iter(self.lingering.values())).cancel()  # it is owed nothing, and a new client waits
            # Wait for capacity before accepting: a connection that is accepted and closed loses its request.
            await self.connection_limit.acquire()
            try:
                accepted = await listener.accept()
            except trio.Cancelled:
                self.connection_limit.release()
                raise
            except OSError as error:
                self.connection_limit.release()
                await self.accept_failed(error)
                continue
            self.accept_errors.succeeded()
            self.add_connection(*accepted)

    async def accept_failed(self, error):
        """Count and log a failed accept, free resources if that may help, and back off."""
        self.counters[f"accept_errors_{errno_name(error)}"] += 1
        if self.accept_errors.should_log(error, trio.current_time()):
            self.log("accept", why=safe_description(error), **as_operator_error(error).log_fields)
        if affected(error) is Affected.RESOURCES:
            self.free_resources()
        await trio.sleep(self.accept_errors.pause(error))

    def free_resources(self):
        """Close one idle connection, since the process or machine has no resources for another one.

        At most one per `FREE_INTERVAL`: intermittent failures would otherwise close all idle connections."""
        now = trio.current_time()
        if now < self.freed_at + FREE_INTERVAL:
            return
        self.freed_at = now
        if self.lingering:
            next(iter(self.lingering.values())).cancel()
        elif not self.decision_loop.endpoints.evict():
            self.evict()

    def is_over_limit(self):
        return self.open - len(self.lingering) > self.max_connections

    def evict(self):
        """Evict one of the connections that wait for a request.

        Clients that keep unused connections, or never finish a request, would otherwise use up the limit. The
        connection that has waited longest is evicted; if at least half of the waiting ones are idle, the
        first idle one without unread bytes. That way idle clients that reconnect don't evict clients in the
        middle of a long request, and many unfinished requests don't evict clients about to send one."""
        victim = next(iter(self.request_waits), None)
        idle = [connection for connection in self.request_waits if not connection.message_bytes]
        if 2 * len(idle) >= len(self.request_waits):
            victim = next((connection for connection in idle if not connection.unread()), victim)
        if victim:
            self.cut_wait_short(victim, EVICTED_REQUEST_TIMEOUT)

    def cut_wait_short(self, connection, rest_within):
        """Stop waiting for a request, at once on an idle connection.

        A request that has begun, and the first bytes on a new connection, which may still be under way, get
        `rest_within` seconds; they would otherwise be cut off without a response."""
        scope = self.request_waits.pop(connection)
        now = trio.current_time()
        if connection.message_bytes:
            scope.deadline = min(scope.deadline, now + rest_within)
        elif connection.opened_at + rest_within <= now:
            scope.cancel()
        else:
            scope.deadline = min(scope.deadline, connection.opened_at + rest_within)

    def drain(self):
        """Close each connection after its next response, and those that wait for a request now."""
        self.draining = True
        for connection in list(self.request_waits):
            self.cut_wait_short(connection, DRAINED_REQUEST_TIMEOUT)

    def refuse(self):
        """Refuse further submissions with 503, because the process is about to end."""
        self.is_refusing = True

    def busy(self):
        """The number of connections between request and response."""
        return self.open - len(self.request_waits) - len(self.leaving) - len(self.handed_over)

    async def serve_connection(self, connection, peer, within=protocol.REQUEST_TIMEOUT):
        reason, served, connection.until = "closed", 0, trio.current_time() + within
        self.peers[connection] = peer
        try:
            while reason == "closed":
                reason = "carried" if self.frozen else await self.serve_request(connection, connection.until)
                if reason == "closed":  # no time limit between requests
                    served, connection.until = served + 1, float("inf")
            if reason in NO_RESPONSE_DUE:
                with trio.CancelScope() as self.lingering[connection]:
                    self.leaving.add(connection)
                    if self.connection_limit.statistics().tasks_waiting and not any(
                        scope.cancel_called for scope in self.lingering.values()
                    ):
                        self.lingering[connection].cancel()  # `accept` waits for capacity by now
                    await connection.finish()
        except trio.Cancelled:
            reason = "process_ends"  # already checked by `count_unanswered`
            raise
        except CONNECTION_ERRORS as error:
            reason = type(error).__name__
        except Exception as error:  # an error on one connection must not end the program
            reason = "fault"
            self.log("fault", part="client", why=safe_description(error), at_line=error_location(error))
        finally:
            self.peers.pop(connection, None)
            if reason == "carried":
                self.handed_over.append(connection)
            else:
                self.lingering.pop(connection, None)
                self.leaving.discard(connection)
                self.open -= 1
                self.connection_limit.release()
                if reason != "process_ends":
                    self.check_close(connection, peer, reason)
                connection.close()
                self.log("conn", client=f"{peer[0]}:{peer[1]}", end=reason, requests=served)

    def check_close(self, connection, peer, reason):
        """Count a violation if we close a connection whose complete request has no response yet.

        Connections that broke, or whose client doesn't read, don't count."""
        facts = rules.CloseFacts(
            is_request_whole=connection.is_request_whole, is_answered=connection.is_answered
        )
        if reason in ENDED_BY_US and not rules.may_close(facts).is_allowed:
            client = "{}:{}".format(*peer)
            self.decision_loop.trace.violation(rules.Rule.CLOSED_UNANSWERED, client, end=reason)

    def count_unanswered(self):
        """Count each connection with a complete request and no response, as the process ends now."""
        for connection, peer in self.peers.items():
            self.check_close(connection, peer, "process_ends")

    async def wait_for_request(self, connection, until):
        """Wait for the first bytes of a request; the reason why none will be read, or None."""
        has_data = False
        with trio.CancelScope(deadline=until) as scope:
            self.request_waits[connection], connection.until = scope, until
            try:
                has_data = await connection.wait_for_message()
            finally:
                is_cut_short = self.request_waits.pop(connection, None) is None
        if scope.cancelled_caught:
            if self.frozen:
                return "carried"
            # Bytes that arrived at the same moment as the cancellation are still read.
            if rules.may_close(rules.CloseFacts(has_unread=bool(connection.unread()))).is_allowed:
                return "closed_by_us" if is_cut_short else "silent"
            has_data = await connection.wait_for_message()
        # The rest of the request has its own time limit: a client that sends half of it, or a byte now and
        # then, gets an error response within that time.
        connection.is_evicted = is_cut_short and not self.draining
        rest_within = EVICTED_REQUEST_TIMEOUT if connection.is_evicted else DRAINED_REQUEST_TIMEOUT
        within = rest_within if is_cut_short else protocol.REQUEST_TIMEOUT
        connection.until = min(
            max(until, trio.current_time() + DRAINED_REQUEST_TIMEOUT), trio.current_time() + within
        )
        return None if has_data else "ended"

    async def serve_request(self, connection, until):
        """Read and answer one request; the reason to end the connection, or 'closed' to keep it."""
        status, reason, request, body = 408, "slow", None, None
        if why := await self.wait_for_request(connection, until):
            return why
        try:
            with trio.CancelScope(deadline=connection.until) as scope:
                self.request_waits[connection] = (
                    scope  # last in the order of eviction, since it was just active
                )
                try:
                    request = await connection.next_event()
                    if isinstance(request, h11.ConnectionClosed):
                        return "ended"
                    if int(dict(request.headers).get(b"content-length", 0)) <= protocol.MAX_BODY:
                        body = await connection.body(protocol.MAX_BODY)
                    status, reason = 413, "too_long"
                finally:
                    is_cut_short = self.request_waits.pop(connection, None) is None or connection.is_evicted
                    if body is not None:
                        # Complete, so it is answered here and not handed over.
                        connection.message_bytes.clear()
        except h11.RemoteProtocolError as error:
            status, reason = error.error_status_hint, "malformed"
        if scope.cancelled_caught and self.frozen:
            return "carried"
        if scope.cancelled_caught and is_cut_short:
            if connection.unread():
                # The rest has arrived by now; a close without a response would look as if we had accepted it.
                return await self.respond(connection, 503, reason="too_late")
            # After a close without a response, a client that sends in pieces would count its request as lost.
            with trio.move_on_after(protocol.CLIENT_RESPONSE_TIMEOUT):
                await self.send_response(connection, 503, last=True)
            return "closed_by_us"
        if body is None or reason == "malformed":
            return await self.respond(connection, status, reason=reason)
        if protocol.is_ambiguous(request.headers) or connection.has_excess_data():
            # Another request may be hidden behind or within this one; pipelining is not supported.
            return await self.respond(connection, 400, reason="ambiguous")
        return await self.handle(connection, request, body)

    async def send_response(self, connection, status, headers=(), payload=b"", last=False):
        headers = [*headers, ("Content-Length", str(len(payload)))]
        self.counters[f"answers_{status}"] += 1
        await connection.send(
            h11.Response(status_code=status, headers=headers + [("Connection", "close")] * last),
            h11.Data(data=payload),
            h11.EndOfMessage(),
        )

    async def respond(self, connection, status, headers=(), payload=b"", reason="closed"):
        last = reason != "closed" or self.draining or self.is_over_limit()
        with trio.move_on_after(protocol.REQUEST_TIMEOUT) as scope:
            await self.send_response(connection, status, headers, payload, last)
            if last or not connection.reusable():
                # Unread bytes behind the last request would turn our close into a reset, which discards the
                # response; also where the client ends the connection (HTTP/1.0, `Connection: close`).
                self.leaving.add(connection)
                await connection.finish()
        if scope.cancelled_caught:
            return "not_read"
        if last or not connection.reusable():
            return reason if reason != "closed" else "last_answer"
        connection.next()
        return "closed"

    async def handle(self, connection, request, body):
        path = request.target.partition(b"?")[0]
        if request.method == b"GET" and path == protocol.HEALTH_PATH:
            is_healthy = (
                self.decision_loop.ready
                and not self.draining
                and self.decision_loop.has_lease_for(self.decision_loop.policy_number)
            )
            return await self.respond(connection, 200 if is_healthy else 503)
        if request.method == b"GET" and path == protocol.COUNTERS_PATH:
            return await self.respond(connection, 200, payload=self.counters.text().encode())
        if path != protocol.SUBMIT_PATH:
            return await self.respond(connection, 404)
        if request.method != b"POST":
            return await self.respond(connection, 405)
        return await self.submit(connection, dict(request.headers), body, request.target)

    async def submit(self, connection, headers, body, target=b""):
        self.counters["handed_in"] += 1
        try:
            ntf_id = protocol.parse_name(headers[protocol.ID_HEADER])
            topic = protocol.decode_text(headers[protocol.TOPIC_HEADER])
            ttl_at = self.now() + protocol.parse_ttl(headers[protocol.TTL_HEADER])
            destination = protocol.parse_destination(headers[protocol.DESTINATION_HEADER])
            key = (
                protocol.parse_name(headers[protocol.IDEMPOTENCY_KEY_HEADER])
                if protocol.IDEMPOTENCY_KEY_HEADER in headers
                else ""
            )
            keys = (
                protocol.parse_ordering_key(target),
                protocol.decode_text(headers.get(protocol.TENANT_HEADER, b"")),
            )
        except (KeyError, ValueError):
            return await self.respond(connection, 400)
        if topic not in self.decision_loop.topics:
            return await self.respond(connection, 400)
        answer = Answer(ntf_id)
        # After the process was suspended, the client may have left and submitted it to another dispatcher.
        verdict = rules.may_accept(
            rules.AcceptFacts(
                is_ready=self.decision_loop.ready,
                is_writable=not self.decision_loop.ledger_failing,
                is_stopping=self.is_refusing,
                has_client_left=connection.unread() == b"",
            )
        )
        event = self.decision_loop.submit, topic, destination, ttl_at, key, body, answer, *keys
        if verdict.is_allowed and not self.decision_loop.try_enqueue(*event):
            verdict = rules.Verdict(rules.Reason.NO_PLACE)  # the decision loop's queue is full
        if not verdict.is_allowed:
            self.decision_loop.trace.refused(ntf_id, verdict.reason)
            self.counters.count_result(topic, DECLINED)
            return await self.respond(connection, 503)
        await answer.ready.wait()
        extra_headers = [("Retry-After", f"{answer.retry_after / SEC:.3f}")] if answer.retry_after else []
        if self.decision_loop.lease is not None and answer.is_accepted and answer.status == 202:
            extra_headers = [(protocol.POLICY_HEADER, str(answer.policy_number))]
        try:
            return await self.respond(connection, answer.status, extra_headers)
        except CONNECTION_ERRORS:
            # Withdraw the notification only if this request got it accepted: a repeated request with the same
            # id that goes unheard must not withdraw what the first one got a 202 for.
            if answer.is_accepted and answer.status == 202:
                await self.decision_loop.enqueue(self.decision_loop.undo_unheard, answer)
            raise
