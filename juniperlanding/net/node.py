"""One dispatcher from start to end: puts the parts together, and drains when it is asked to stop."""

import os
import signal
import socket
from functools import partial

import trio

from juniperlanding.choice import SEC
from juniperlanding.net import clock, config, protocol
from juniperlanding.net.clients import ROOM, Clients
from juniperlanding.net.counters import Counters
from juniperlanding.net.discovery import Discovery
from juniperlanding.net.endpoints import Endpoints
from juniperlanding.net.ledger import Ledger
from juniperlanding.net.log import Log, never_wait
from juniperlanding.net.notices import Notices
from juniperlanding.net.owner import Owner

OTHER_FILES = 20  # descriptors for everything but the connections bounded here: 16 are in use, a few to spare
CLIENT_SIZE = 2 * (protocol.MOST_BODY + protocol.MOST_HEAD)  # the most that a client's connection holds


def bounds(told):
    """How many connections clients and endpoints may have, so that neither limit is reached.

    Threat: calls to silent endpoints keep their connections for long; a client is answered at once."""
    left = max(12, told.sockets - OTHER_FILES - ROOM)
    return min(left // 3, max(8, told.memory // 4 // CLIENT_SIZE)), left - left // 3


class Node:
    def __init__(self, told, log=None):
        self.config, self.counters, self.log = told, Counters(), log or Log(told.name)
        common = self.counters, self.log
        self.ledger = Ledger(told.state, told.disk)
        self.owner = owner = Owner(told, self.ledger, *common)
        most_clients, most_calls = bounds(told)
        owner.endpoints = Endpoints(told, most_calls, partial(owner.tell, owner.finished), *common)
        owner.notices = Notices(told.discovery, partial(owner.tell, owner.end), *common)
        owner.discovery = Discovery(told, partial(owner.tell, owner.listed), self.log)
        self.clients = Clients(told, most_clients, owner, *common)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        told, owner = self.config, self.owner
        listener = socket.create_server(told.listen, backlog=1024)
        listener.setblocking(False)
        known = protocol.entries(told.known.get("members", []), told.kinds, told.zones)
        await owner.tell(owner.begin, known)
        if told.settings.get("list_mode") != "ask":
            owner.discovery.subscribe(True)
        self.log("start", f"listening on {told.listen[0]}:{told.listen[1]}, {len(known)} endpoints, "
                          f"{len(self.ledger.owed)} owed, {self.ledger.skipped} torn records skipped")
        with listener:
            async with trio.open_nursery() as nursery:
                for part in (owner.notices.run, owner.discovery.run, owner.endpoints.sweep):
                    nursery.start_soon(part)
                nursery.start_soon(owner.run, nursery)
                nursery.start_soon(self.clients.listen, listener, nursery)
                task_status.started(listener.getsockname())

    def reload(self, environ=os.environ):
        """Move to the address that the replaced file names; what else it may change waits for a restart."""
        try:
            from_file = {name: environ[name] for name in environ.keys() - {"EDGE_DISCOVERY"}}
            discovery = config.read(from_file).discovery
        except Exception as error:  # threat: a file half written or wrong must not end the program
            return self.log("config", f"cannot be read, the old one stays in force: {error!r}")
        self.log("config", f"read again, discovery at {discovery[0]}:{discovery[1]}")
        if discovery != self.config.discovery:
            self.config.discovery = discovery
            self.owner.discovery.move(discovery)
            self.owner.notices.move(discovery)

    async def drain(self):
        """Serve on for as long as the platform lets us; what is taken on meanwhile stays in the ledger.

        Clients are sent away once only their own patience is left, so that each still gets its answer.  It
        ends earlier when nobody comes and nothing is owed."""
        owner, begun = self.owner, trio.current_time()
        self.log("stop", f"draining, {len(owner.held)} held")
        until = protocol.KILL_AFTER - protocol.PATIENCE / 4
        with trio.move_on_after(until):
            await owner.tell(owner.at.stopping, clock.now() + int(until * SEC))
            while self.clients.open or self.ledger.owed or trio.current_time() < begun + protocol.PATIENCE:
                if trio.current_time() > begun + protocol.KILL_AFTER - protocol.PATIENCE:
                    self.clients.drain()
                await trio.sleep(0.02)

    def close(self):
        self.log("stop", f"{len(self.ledger.owed)} owed stay in the ledger; {self.counters.line()}")
        self.ledger.close()


async def serve(told):
    never_wait()
    node, stopping = Node(told), False
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(node.run)
            async for number in signals:
                if number == signal.SIGHUP:  # while draining too: notices still go out
                    node.reload()
                elif number == signal.SIGUSR1:
                    node.log("counters", node.counters.line())
                elif not stopping:
                    stopping = True
                    nursery.start_soon(stop, node, nursery.cancel_scope)


async def stop(node, scope):
    await node.drain()
    node.close()
    scope.cancel()
