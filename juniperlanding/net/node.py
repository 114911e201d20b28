"""One dispatcher from start to end: builds its components, serves, and drains when it is asked to stop."""

from functools import partial

import trio

from juniperlanding.choice import SEC
from juniperlanding.ground import log as logs
from juniperlanding.ground.errors import as_operator_error
from juniperlanding.ground.log import safe_description
from juniperlanding.net import config, door, parts, protocol
from juniperlanding.net.clients import EXTRA_CONNECTIONS, Clients
from juniperlanding.net.counters import Counters
from juniperlanding.net.discovery import Discovery
from juniperlanding.net.endpoints import Endpoints
from juniperlanding.net.ledger import Damaged
from juniperlanding.net.notices import Notices
from juniperlanding.net.owner import DecisionLoop
from juniperlanding.net.succession import Offer, ProcessHandover, reload_requests

# Descriptors for everything but the connections limited here: 16 are in use, the others are spare.
RESERVED_DESCRIPTORS = 20
SHUTDOWN_S = 0.1  # seconds at the end in which nothing is accepted any more and the last answers are sent
SHUTDOWN_ACCEPT_S = 0.03  # of these, how long connections are still accepted
SHUTDOWN_ANSWER_S = 0.07  # of these, how long answers are waited for
LAST_POLL_INTERVAL = 0.005  # seconds between checks for either
REBUILD_RETRY = 0.25  # seconds until a ledger that could not be read is tried again
# Seconds until a configuration file that could not be read is tried again, doubled each time.
RELOAD_RETRY_S = 0.25
MAX_RELOAD_RETRY_S = 2.0  # the longest such pause


def connection_limits(configuration):
    """(client connections, endpoint connections) that stay within the limits on sockets and on memory.

    Endpoints get two thirds of the sockets: a call to a silent endpoint occupies its connection for long,
    while a client is answered at once."""
    available = max(
        12,
        configuration.sockets
        - RESERVED_DESCRIPTORS
        - EXTRA_CONNECTIONS
        - (door.DESCRIPTORS if configuration.management else 0),
    )
    return min(
        available // 3, max(8, configuration.memory // 4 // protocol.MAX_MESSAGE_BYTES)
    ), available - available // 3


class Node:
    """One dispatcher, on the system interfaces in `system`.

    The constructor binds the address, locks the state folder (OSError if either cannot be had) and opens the
    ledger; with an `offer` it takes all three over from the previous process and changes nothing on disk yet.
    The address is bound before the ledger is opened, since opening rewrites it: a process that cannot listen
    must leave it alone.

    read_config: returns the configuration as it is now, for reloads that no signal asks for; None without."""

    def __init__(self, configuration, system, log=None, offer=None, read_config=None):
        # `previous_process` is the channel to the process that handed over, held open while this one lives.
        self.config, self.system, self.offer, self.previous_process = configuration, system, offer, None
        self.read_config = read_config
        self.counters = Counters(topic.get("name") for topic in configuration.settings["topic_types"])
        self.log = log or logs.open_log(configuration.name, system.clock, **configuration.log)
        self.reread_scope, self.reload_retry_after, self.replaced = trio.CancelScope(), RELOAD_RETRY_S, False
        self.listener = self.lock = self.admin_port = None
        self.stops_at = 0
        self.process_handover = ProcessHandover(configuration, system, self.log)
        self.parts = parts.build_parts(self)
        try:
            self.claim(offer)
            if configuration.management:
                listener, commands_with_argument = (
                    system.network.bind(configuration.management),
                    parts.merged(self.parts, "commands_with_argument", {}),
                )
                self.admin_port = door.AdminPort(
                    listener, self.calls(), self.counters, self.log, commands_with_argument
                )
            self.build(offer)
        except BaseException:
            self.release()
            raise

    def claim(self, offer=None):
        """Lock the folder and bind the address, or take both from the offer."""
        if offer:
            self.lock, self.listener = offer.lock, offer.listener
        else:
            self.lock = self.system.files.lock(self.config.state)
            try:
                self.listener = self.system.network.bind(self.config.listen)
            except BaseException:
                self.lock.close()
                raise

    def build(self, offer=None):
        """Build the components that serve from the contents of the folder."""
        configuration, system, common = self.config, self.system, (self.counters, self.log)
        if offer:
            offer.resume(system.clock)
        self.ledger = parts.open_ledger(configuration, system.files, bool(offer), system.clock)
        self.decision_loop = decision_loop = DecisionLoop(configuration, system.clock, self.ledger, *common)
        max_clients, self.max_endpoint_connections = connection_limits(configuration)
        call_ended = partial(decision_loop.enqueue, decision_loop.on_outcomes)
        decision_loop.endpoints = Endpoints(
            configuration, system, self.max_endpoint_connections, call_ended, *common, decision_loop.may_leave
        )
        decision_loop.notices = Notices(
            system.network,
            configuration.discovery,
            partial(decision_loop.enqueue, decision_loop.record_end),
            *common,
        )
        decision_loop.discovery = Discovery(
            configuration,
            system.network,
            partial(decision_loop.enqueue, decision_loop.on_list_news),
            self.log,
        )
        self.clients = decision_loop.clients = Clients(
            configuration, system.clock, max_clients, decision_loop, *common
        )
        part_states = offer.state.get("parts", {}) if offer else {}
        for part in self.parts:
            if part.section in part_states:
                part.import_state(part_states[part.section])
            part.on_built(self)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled; stand by for as long as another process has taken over."""
        try:
            async with trio.open_nursery() as self.nursery:
                if self.admin_port:
                    self.nursery.start_soon(self.admin_port.listen, self.nursery)
                if self.previous_process and self.read_config:
                    self.nursery.start_soon(self.follow_previous_process)
                while True:
                    self.offer = await self.serve(task_status)
                    task_status = trio.TASK_STATUS_IGNORED
                    self.ledger.close()
                    if await self.process_handover.hand_over(self.offer):
                        self.offer = None
                        await self.stand_by()
                    else:
                        await self.rebuild(self.offer)
        finally:
            self.release()

    async def serve(self, task_status):
        """Serve as the owner of the folder until another process asks for it; returns the offer to hand
        over."""
        configuration, decision_loop, listener = self.config, self.decision_loop, self.listener
        listener.listen()
        known = protocol.parse_members(
            configuration.known_endpoints.get("members", []), configuration.kinds, configuration.zones
        )
        await decision_loop.enqueue(decision_loop.start_module, known, self.offer)
        self.offer = None
        if self.stops_at:  # SIGTERM came during a hand-over that then failed
            await decision_loop.enqueue(decision_loop.dispatcher.plan_stop, self.stops_at)
        if configuration.settings.get("list_mode") != "ask":
            # By way of the queue: discovery must not ask before the first iteration of the decision loop has
            # given it the revision that the previous process had.
            await decision_loop.enqueue(decision_loop.discovery.subscribe, True)
        self.process_handover.open(self.nursery, self.freeze)
        self.log(
            "start",
            listening="{}:{}".format(*listener.address),
            endpoints=len(known),
            owed=len(self.ledger.notifications),
            torn_records=self.ledger.invalid_lines,
        )
        if self.ledger.rewrite_error:
            error = self.ledger.rewrite_error
            fields = as_operator_error(error).log_fields
            self.log("ledger", "not rewritten at the start, goes on", why=safe_description(error), **fields)
        if self.ledger.damaged:
            self.log("ledger", "records cannot be read", records=self.ledger.damaged, **Damaged().log_fields)
        async with trio.open_nursery() as nursery:
            for part in (
                decision_loop.notices.run,
                decision_loop.discovery.run,
                decision_loop.endpoints.sweep,
            ):
                nursery.start_soon(part)
            nursery.start_soon(self.clients.listen, listener, nursery)
            for part in self.parts:
                nursery.start_soon(part.run)
            task_status.started(listener.address)
            await decision_loop.run(nursery)
            offer = Offer.from_node(self)
            nursery.cancel_scope.cancel()
        return offer

    async def freeze(self, within):
        await self.decision_loop.enqueue(self.decision_loop.freeze, within)

    async def follow_previous_process(self):
        """Reload the configuration whenever only the previous process may know that it has changed.

        The file may have been replaced after this process read it, and the signal goes to the process that
        was in service then, which may by now be replaced."""
        self.reload(self.read_config)
        async for _ in reload_requests(self.previous_process):
            self.reload(self.read_config)

    async def stand_by(self):
        """Wait for the process that took over to end, then serve again: if it ends early, what it accepted is
        in the folder and still has to be delivered."""
        self.replaced, self.lock, self.listener = True, None, None
        await self.process_handover.wait_for_successor_exit()
        logged = None
        while True:
            try:
                self.claim()
                break
            except OSError as error:  # a third process has the folder, or still has the address
                if logged != (logged := safe_description(error)):
                    self.log(
                        "upgrade",
                        "the folder stays with another process",
                        why=logged,
                        **as_operator_error(error).log_fields,
                    )
                await trio.sleep(1)
        self.log("upgrade", "the process that took over is gone, serving again")
        await self.rebuild(None)
        self.replaced = False
        if self.read_config:
            self.reload(self.read_config)  # signals went to the process that is gone

    async def rebuild(self, offer):
        """Build the components again.

        The disk may fail just as this process becomes the owner again; it stays the owner and retries until
        the ledger can be read."""
        logged = None
        while True:
            try:
                return self.build(offer)
            except OSError as error:
                if logged != (logged := safe_description(error)):
                    self.log("ledger", "cannot be read", why=logged, **as_operator_error(error).log_fields)
                await trio.sleep(REBUILD_RETRY)

    def calls(self):
        """The admin port's calls without an argument: word -> function."""
        return parts.merged(self.parts, "calls", {"READY": self.check_ready, "STATS": self.figures})

    def load(self):
        """The load that is reported to other dispatchers: (pending notifications, pushes in flight)."""
        return len(self.ledger.notifications), self.decision_loop.dispatcher.state.slots_out

    def check_ready(self):
        if self.replaced:
            raise door.Rejected("replaced")
        if not self.decision_loop.ready or self.clients.draining:
            raise door.Rejected("draining" if self.clients.draining else "starting")
        for part in self.parts:
            if why := part.not_ready_reason():
                raise door.Rejected(why)
        return []

    def figures(self):
        return [
            *self.counters.figures(**parts.merged(self.parts, "gauges", self.decision_loop.gauges())),
            "--",
        ]

    def release(self):
        """Release address and folder for other processes."""
        for held in (
            self.listener,
            self.lock,
            self.admin_port and self.admin_port.listener,
            self.process_handover.listener,
        ):
            if held:
                held.close()

    def close_offered(self):
        """Close what was made from the offer: ownership stays with the previous process."""
        self.offer.close()
        self.ledger.close()
        if self.admin_port:
            self.admin_port.listener.close()

    def reload(self, read, logged=None):
        """Move to the discovery address in the replaced file; other changes in it wait for a restart.

        `read` returns the new configuration; `logged` is the error logged by the previous attempt.  The file
        may be half written, or the disk may fail for a moment, although the platform has moved for good.  So
        a failed read is tried again, with one log line for as long as the error stays the same.  A process
        that was replaced passes the reload on."""
        self.reread_scope.cancel()
        if self.replaced:
            return self.process_handover.forward_reload()
        try:
            discovery = read().discovery
        except Exception as error:  # a half-written or invalid file must not end the process
            self.reread_scope = trio.CancelScope()
            if logged != (why := safe_description(error)):
                then = "tried again soon" if isinstance(error, OSError) else "the old one stays in force"
                self.log(
                    "config", f"cannot be read, {then}", why=why, **config.to_operator_error(error).log_fields
                )
            return self.nursery.start_soon(self.reread, read, why, self.reread_scope)
        self.log("config", "read again", discovery="{}:{}".format(*discovery))
        if discovery != self.config.discovery:
            self.config.discovery = discovery
            self.decision_loop.discovery.move(discovery)
            self.decision_loop.notices.move(discovery)
        self.reload_retry_after = RELOAD_RETRY_S
        for part in self.parts:
            part.reload()

    async def reread(self, read, logged, scope):
        """Retry a failed reload, with growing pauses."""
        with scope:
            await trio.sleep(self.reload_retry_after)
            self.reload_retry_after = min(2 * self.reload_retry_after, MAX_RELOAD_RETRY_S)
        if not scope.cancelled_caught:
            self.reload(read, logged)

    def phase_changed(self, phase):
        """Tell the parts of a new phase, unless this process was replaced: its parts report nothing any
        more."""
        for part in [] if self.replaced else self.parts:
            part.phase_changed(phase)

    async def drain(self):
        """Keep serving for as long as the platform allows; what is still pending at the end stays in the
        ledger.

        Clients are sent away once no more time is left than a client waits for its answer, so that each still
        gets it.  Ends early when no client is connected and nothing is pending."""
        began = trio.current_time()
        self.phase_changed("draining")
        self.log("stop", "draining", held=len(self.decision_loop.unfinished))
        time_limit = protocol.SIGKILL_DELAY - protocol.CLIENT_RESPONSE_TIMEOUT / 4
        with trio.move_on_after(time_limit - SHUTDOWN_S):
            if not self.replaced:
                self.stops_at = self.system.clock.now() + int(time_limit * SEC)
                await self.decision_loop.enqueue(self.decision_loop.dispatcher.plan_stop, self.stops_at)
            while not self.replaced and (
                self.clients.open
                or self.ledger.notifications
                or trio.current_time() < began + protocol.CLIENT_RESPONSE_TIMEOUT
            ):
                if trio.current_time() > began + protocol.SIGKILL_DELAY - protocol.CLIENT_RESPONSE_TIMEOUT:
                    self.clients.drain()
                await trio.sleep(0.02)
        self.clients.refuse()
        with trio.move_on_after(SHUTDOWN_S):
            await self.finish_clients()

    async def finish_clients(self):
        """Send the last answers, then run the last iteration of the decision loop.

        That iteration writes down the outcomes that have just been reported.  The wait for the answers is
        limited: a client that sends nothing, or reads nothing, would otherwise be waited for until the
        process is killed."""
        with trio.move_on_after(SHUTDOWN_ANSWER_S):
            await self.send_last_answers()
        if self.replaced or self.decision_loop.frozen:
            return
        await self.clients.close(self.listener)  # on a loaded machine the call above may not have got to it
        await self.decision_loop.enqueue(self.decision_loop.stop_loop)
        await self.decision_loop.loop_stopped.wait()
        await self.decision_loop.endpoints.cancel_unsent()

    async def send_last_answers(self):
        """Accept what waits in the backlog, close the listener, and wait until every client has its answer.

        A connection left in the backlog would be reset with its request, but connections may come without
        end: so accepting has a time limit.  A client whose notification is in the ledger must get its answer
        before its connection ends."""
        accepted, closes_at = -1, trio.current_time() + SHUTDOWN_ACCEPT_S
        while accepted != self.clients.accepted_count and trio.current_time() < closes_at:
            accepted = self.clients.accepted_count
            await trio.sleep(LAST_POLL_INTERVAL)
        if self.replaced or self.decision_loop.frozen:
            return
        await self.clients.close(self.listener)
        while self.clients.busy() or self.clients.request_waits:
            self.clients.drain()
            await trio.sleep(LAST_POLL_INTERVAL)

    def close(self):
        """End; whether every ledger record could be written."""
        self.phase_changed("leaving")
        if not self.replaced and not self.decision_loop.frozen:
            self.clients.count_unanswered()
            self.decision_loop.process_remaining_events()
        try:
            self.ledger.close()
        except OSError as error:
            self.log(
                "stop",
                "the last records could not be written",
                why=safe_description(error),
                records=len(self.ledger.unwritten),
                **as_operator_error(error).log_fields,
            )
        self.log(
            "stop", "what is owed stays in the ledger", owed=len(self.ledger.notifications), **self.counters
        )
        return not self.ledger.unwritten
