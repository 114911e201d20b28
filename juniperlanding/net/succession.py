"""Hand-over of a dispatcher from one process to another, sockets included (docs/upgrade.md).

`handover.steps` decides which process owns the state folder; this module carries out its actions."""

import json
from base64 import b64decode, b64encode
from contextlib import suppress
from dataclasses import astuple
from zlib import crc32

import h11
import trio

from juniperlanding import carry
from juniperlanding.choice import SEC
from juniperlanding.ground.clock import ClockStamp
from juniperlanding.ground.errors import OperatorError, as_operator_error
from juniperlanding.ground.lock import Taken
from juniperlanding.ground.log import error_location, safe_description
from juniperlanding.handover import frames, steps
from juniperlanding.net.endpoints import Call, PushAttempt
from juniperlanding.net.line import HttpConnection

HELLO_TIMEOUT = 1.0  # seconds that a caller has to send its first message
RETRY_INTERVAL = 0.05  # seconds between attempts to get the folder
FORM = 1  # version of the offer's format
SOCKET_GROUPS = ("clients", "calls", "idle")  # keys of the offer's state; their sockets follow in this order


class Refusal(OperatorError, OSError):
    """The process that holds the state folder refuses to hand it over, and says why."""

    code = "hand-over-refused"
    remedy = (
        "Start one replacement at a time, with the same `listen`; give another dispatcher its own folder."
    )


class OtherForm(Refusal):
    """The process that holds the state folder hands over in a format that this version cannot read."""

    code, remedy = "hand-over-form", "End the old process by SIGTERM, then start this one."


class NotTaken(OperatorError):
    """Another process asked for the state folder but ended or stopped answering before it took over; this
    process continues to serve."""

    code = "hand-over-failed"
    remedy = "Look at the last log lines of the process that was to take over; this one needs no action."


def settings_checksum(settings):
    return crc32(json.dumps(settings, sort_keys=True).encode())


class Offer:
    """Everything that a process hands over: `state` as plain JSON, and the sockets that belong to it, in its
    order."""

    def __init__(self, state, lock, listener, sockets):
        self.state, self.lock, self.listener, self.sockets = state, lock, listener, sockets
        first, second = len(state["clients"]), len(state["clients"]) + len(state["calls"])
        self.groups = sockets[:first], sockets[first:second], sockets[second:]

    @classmethod
    def from_node(cls, node):
        """The offer of a node whose decision loop has stopped.

        If a record of the decision module cannot be exported, the process must not end with all that is
        pending: then the client connections are handed over all the same, and the decision module of the new
        process starts from the ledger."""
        try:
            return cls.collect(
                node,
                carry.export_state(
                    node.decision_loop.dispatcher.state, node.decision_loop.topic_types_by_policy
                ),
            )
        except Exception as error:
            node.log("fault", part="upgrade", why=safe_description(error), at_line=error_location(error))
            return cls.collect(node, None)

    @classmethod
    def collect(cls, node, module_state):
        decision_loop, now = node.decision_loop, trio.current_time()
        idle = [
            (endpoint, connection)
            for endpoint, connections in decision_loop.endpoints.idle.items()
            for connection in connections
            if connection.has_nothing_unread()
        ]
        calls, clients = decision_loop.endpoints.handed_over, node.clients.handed_over
        state = {
            "form": FORM,
            "clock": astuple(stamp) if (stamp := node.system.clock.stamp()) else None,
            "version": module_state and carry.VERSION,
            "settings": settings_checksum(node.config.settings),
            "module": module_state,
            "entries": [
                [*entry, *decision_loop.endpoints.addresses[number]]
                for number, entry in decision_loop.entries.items()
            ],
            # No revision while the full endpoint list has yet to arrive: the number is of the previous
            # discovery address.
            "revision": None
            if decision_loop.discovery.wants_whole_list
            else decision_loop.discovery.revision,
            "discovery": decision_loop.discovery.address,
            "following": decision_loop.discovery.on,
            "list_confirmed": not decision_loop.list_due_at,
            "clients": [
                [
                    received_bytes(connection),
                    connection.until - now if connection.until < float("inf") else None,
                ]
                for connection in clients
            ],
            "calls": [
                [
                    call.endpoint,
                    call.began_at,
                    received_bytes(call.connection),
                    call.connection.used_at,
                    [
                        [
                            push.id,
                            push.number,
                            push.timeout_at,
                            push.ttl_at,
                            push.leave_by,
                            push.over,
                            push.cancelled,
                        ]
                        for push in call.pushes
                    ],
                ]
                for call in calls
            ],
            "idle": [[endpoint, connection.used_at] for endpoint, connection in idle],
            # Positions in `calls` of those whose endpoint has another address or destination by now.
            "single_use_calls": [
                position
                for position, call in enumerate(calls)
                if decision_loop.endpoints.has_old_address(call.endpoint, call.connection)
                or not call.connection.may_be_kept
            ],
        }
        if parts := {
            part.section: exported for part in node.parts if (exported := part.export_state()) is not None
        }:
            state["parts"] = parts
        connections = [
            *clients,
            *(call.connection for call in calls),
            *(connection for _, connection in idle),
        ]
        sockets = [connection.sock for connection in connections]
        return cls(json.loads(json.dumps(state)), node.lock, node.listener, sockets)

    @classmethod
    def from_message(cls, system, message, descriptors):
        """The offer in a received message; `OtherForm`, with all descriptors closed, if it cannot be read."""
        try:
            state = message["state"]
            if state["form"] != FORM or len(descriptors) != 2 + sum(
                len(state[group]) for group in SOCKET_GROUPS
            ):
                raise ValueError("unknown format")
            lock, listener, *sockets = descriptors
            return cls(
                state,
                system.files.inherit_lock(lock),
                system.network.inherit(listener, listening=True),
                [system.network.inherit(descriptor) for descriptor in sockets],
            )
        except (ValueError, TypeError, KeyError, OSError) as error:
            system.network.close_descriptors(descriptors)
            raise OtherForm(
                0, f"the running process hands over in another format ({safe_description(error)})", None
            ) from None

    def resume(self, clock):
        """Continue the clock that the offer's times refer to; an older version sends none."""
        if stamp := self.state.get("clock"):
            clock.resume(ClockStamp(*stamp))

    def descriptors(self):
        return [self.lock.file, self.listener.raw.fileno(), *(sock.raw.fileno() for sock in self.sockets)]

    def check_fits(self, settings):
        """Raises `carry.UnreadableState` unless the decision module's records have this version's layout
        and were made under the same settings."""
        if self.state["version"] != carry.VERSION:
            raise carry.UnreadableState("another version")
        if self.state["settings"] != settings_checksum(settings):
            raise carry.UnreadableState("other settings")

    def clients(self):
        """(connection, seconds left for its request) of each client connection."""
        for sock, (received, left) in zip(self.groups[0], self.state["clients"], strict=True):
            yield (
                HttpConnection(sock, h11.SERVER, b64decode(received)),
                float("inf") if left is None else max(left, 0),
            )

    def calls(self):
        """(call, connection) of each call whose request has been written out."""
        single_use = set(self.state.get("single_use_calls", ()))
        for position, (sock, (endpoint, began_at, received, used_at, pushes)) in enumerate(
            zip(self.groups[1], self.state["calls"], strict=True)
        ):
            call = Call(
                endpoint,
                [
                    PushAttempt(id_, number, "", b"", *times, over=over, cancelled=cancelled)
                    for id_, number, *times, over, cancelled in pushes
                ],
                began_at,
            )
            connection = HttpConnection(sock, h11.CLIENT, b64decode(received))
            connection.used_at = used_at
            connection.may_be_kept = position not in single_use
            connection.expect_response()  # the old process sent the request
            yield call, connection

    def idle(self):
        """(endpoint, connection) of each idle connection to an endpoint."""
        for sock, (endpoint, used_at) in zip(self.groups[2], self.state["idle"], strict=True):
            connection = HttpConnection(sock, h11.CLIENT)
            connection.used_at = used_at
            yield endpoint, connection

    def close_endpoint_connections(self):
        for sock in self.groups[1] + self.groups[2]:
            sock.close()

    def take_back(self):
        """The new process does not take over, but may hold copies of the sockets for as long as it stalls."""
        for sock in self.sockets:
            sock.is_shared = True

    def close(self):
        """Close this process's copies; the copies of another process stay open."""
        for sock in self.sockets:
            sock.release()
        self.listener.close()
        self.lock.close()


def received_bytes(connection):
    """All bytes received of the current message, as base64.

    `connection.early` holds what the previous process received: if the connection is frozen before it is read
    again, those bytes are still there."""
    return b64encode(bytes(connection.message_bytes) + connection.early).decode()


def seconds_until(deadline, clock):
    """Seconds until a time of the process's own clock; 0 once it has passed, as after a suspension."""
    return max(0, deadline - clock.steady()) / SEC


class ProcessHandover:
    """The owning process's side of a hand-over."""

    def __init__(self, config, system, log):
        self.config, self.system, self.log, self.sender = config, system, log, steps.Sender()
        self.channel, self.listener, self.callers = None, None, 0

    def open(self, nursery, freeze):
        """Listen for a new process; calls `await freeze(seconds)` once, for the first one that is accepted.

        Some platforms have no such sockets; there a process can only be replaced by a restart."""
        if self.listener:
            return
        try:
            self.listener = self.system.network.handover_listener(self.config.state)
        except OSError as error:
            return self.log("upgrade", "nobody can take over here", why=safe_description(error))
        nursery.start_soon(self.listen, nursery, freeze)

    async def listen(self, nursery, freeze):
        with trio.CancelScope() as self.listen_scope:
            while True:
                try:
                    channel = await self.listener.accept()
                except OSError as error:
                    self.log("upgrade", "cannot accept", why=safe_description(error))
                    await trio.sleep(RETRY_INTERVAL)
                    continue
                if self.callers >= steps.MAX_CALLERS:
                    channel.close()
                    continue
                self.callers += 1
                nursery.start_soon(self.handle_caller, channel, freeze)

    async def handle_caller(self, channel, freeze):
        try:
            with trio.move_on_after(HELLO_TIMEOUT):
                received = await channel.receive() if channel.is_same_user() else None
                if received and received[0]["say"] == frames.HELLO:
                    listen = "{}:{}".format(*self.config.listen)
                    if received[0].get("listen") != listen:
                        why = f"it listens at {listen}"
                    elif self.sender.hello(self.system.clock.steady()):
                        self.channel = channel
                        self.log("upgrade", "another process takes over", pid=channel.peer()[0])
                    else:
                        why = "another replacement is under way"
                    if self.channel is not channel:
                        await channel.send(frames.REFUSED, why=why)
            if self.channel is channel:
                await freeze(steps.FREEZE_TIMEOUT / SEC)
        except (frames.Noise, OSError) as error:  # the caller closed, or is not a dispatcher
            self.log("upgrade", "cannot read from a caller", why=safe_description(error))
        finally:
            self.callers -= 1
            if self.channel is not channel:
                channel.close()

    async def hand_over(self, offer):
        """Whether the new process owns everything now; otherwise this one continues with the offer itself."""
        self.sender.frozen(self.system.clock.steady())
        try:
            with trio.move_on_after(seconds_until(self.sender.deadline, self.system.clock)):
                await self.channel.send(frames.OFFER, offer.descriptors(), state=offer.state)
                received = await self.channel.receive()
                if received and received[0]["say"] == frames.READY and self.sender.ready():
                    try:
                        self.channel.send_nowait(frames.YOURS)
                    except OSError:
                        self.sender.yours_not_sent()
                        raise
        except (frames.Noise, OSError) as error:
            self.log("upgrade", "lost the connection to the new process", why=safe_description(error))
        if self.sender.owns:
            self.sender.lost()
            self.channel.close()
            self.channel = None
            offer.take_back()
            self.log("upgrade", "nobody took over, serving on", **NotTaken().log_fields)
            return False
        self.log(
            "upgrade",
            "replaced",
            by=self.channel.peer()[0],
            clients=len(offer.groups[0]),
            calls=len(offer.groups[1]),
            idle=len(offer.groups[2]),
        )
        self.close_listener()
        offer.close()
        return True

    async def wait_for_successor_exit(self):
        """Returns once the process that took over has ended."""
        try:
            while await self.channel.receive():
                pass
        except (frames.Noise, OSError):
            pass
        self.channel.close()
        self.channel = None
        self.sender.lost()

    def forward_reload(self):
        """Tell the process that took over to read the configuration again.

        Nothing is said to one that has ended: this process reads it itself once it serves again."""
        try:
            if self.channel:
                self.channel.send_nowait(frames.RELOAD)
        except OSError as error:
            self.log("upgrade", "cannot pass a reload on", why=safe_description(error))

    def close_listener(self):
        if self.listener:
            self.listen_scope.cancel()
            self.listener.close()
            self.listener = None


async def reload_requests(channel):
    """Yields once for each time that a replaced process, at the other end, was told of a new configuration.

    Its end counts as one, since it may have been told right before.  Other messages are passed over."""
    with suppress(frames.Noise, OSError, trio.ClosedResourceError):
        while received := await channel.receive():
            if received[0]["say"] == frames.RELOAD:
                yield
    yield


async def start_node(make, config, system):
    """The node of a process that owns its folder: at once, or taken over from the process that holds it.

    `make(offer)` builds the node.  Raises OSError when that process refuses or does not answer in time."""
    receiver = steps.Receiver(system.clock.steady())
    while True:
        try:
            return make(None)
        except Taken as taken:
            refused = taken
        try:
            if node := await take_over(make, config, system, receiver):
                return node
        except (frames.Noise, OSError) as error:
            if isinstance(error, OperatorError):
                raise
        if steps.END in receiver.lost(system.clock.steady()):
            raise refused
        await trio.sleep(RETRY_INTERVAL)


async def take_over(make, config, system, receiver):
    """Ask the process that holds the folder to hand it over; None when it did not.

    Raises an `OperatorError` for what a retry cannot change.  That the admin port's address can be bound is
    checked first: asking stops the old process for a moment."""
    if receiver.state != steps.ASKING:
        return None
    try:
        if config.management:
            system.network.bind(config.management).close()
    except OSError as error:
        raise as_operator_error(error) from None
    channel, node = system.network.connect_handover(config.state), None
    try:
        with trio.move_on_after(seconds_until(receiver.deadline, system.clock)):
            await channel.send(frames.HELLO, listen="{}:{}".format(*config.listen))
            received = await channel.receive(allow_offer=True)
            if received and received[0]["say"] == frames.REFUSED:
                raise Refusal(0, str(received[0].get("why")), config.state)
            if received and received[0]["say"] == frames.OFFER and receiver.offered():
                node = load_offer(make, Offer.from_message(system, *received))
                receiver.loaded()
                await channel.send(frames.READY)
                received = await channel.receive()
                if received and received[0]["say"] == frames.YOURS and receiver.yours():
                    node.lock.write_pid()
                    # The channel stays open: the old process takes its end as the end of this process.
                    node.previous_process, channel = channel, None
                    return node
    finally:
        if channel:
            channel.close()
        if node and not receiver.owns:
            node.close_offered()
    return None


def load_offer(make, offer):
    """The node made from an offer.  If that fails the offer is closed, and an OSError is raised as a
    `OperatorError`, since asking again would not help."""
    try:
        return make(offer)
    except OSError as error:
        offer.close()
        raise as_operator_error(error) from None
    except BaseException:
        offer.close()
        raise
