"""One emulated dispatcher: a host with clock, network, disk, and the production `Node` as its process.

Start, SIGTERM, SIGHUP, SIGKILL and the loss of the machine are methods; the process may also end by a fault
of its disk.  What a dead process still does on its way out reaches nothing: its network and disk are gone."""

import errno
import json
from contextlib import suppress

import trio

from juniperlanding.emulator.clock import SEC, HostClock, elapsed
from juniperlanding.emulator.disk import BLOCK, Disk, Killed, Mount
from juniperlanding.ground.seams import System
from juniperlanding.net import config
from juniperlanding.net.node import Node

PORT, DOOR = 7070, 7071
CONFIG, STATE = "/etc/config.json", "/state"


class Reach:
    """A process's network: its host's until it dies."""

    def __init__(self, host):
        self.host, self.dead = host, False

    def bind(self, address):
        return self.host.bind(address)

    def handover_listener(self, folder):
        raise OSError(errno.EOPNOTSUPP, "no Unix sockets in this world")

    async def connect(self, address):
        if self.dead:
            raise Killed
        return await self.host.connect(address)


class Dispatcher:
    """An emulated instance over all its restarts."""

    def __init__(self, number, fabric, told, watch):
        self.number, self.name, self.fabric, self.watch = number, f"n{number}", fabric, watch
        self.host, self.clock, self.disk = fabric.host(self.name), HostClock(), Disk()
        self.address, self.door = (self.host.address, PORT), (self.host.address, DOOR)
        if told.pop("door", False):
            told["management"] = "{}:{}".format(*self.door)
        self.disk.files[CONFIG] = bytearray(json.dumps(told).encode())
        self.environ = {
            "EDGE_CONFIG": CONFIG,
            "EDGE_STATE": STATE,
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": f"{self.address[0]}:{PORT}",
            "EDGE_DISCOVERY": told["discovery"],
        }
        self.node, self.scope, self.starts, self.ended = None, None, 0, None
        self.mount, self.reach, self.draining = None, None, False
        self.ready_at = self.last_ready = 0
        self.seen_ready = False  # whether `ready_at` is this process's already, and not the one's before
        self.over = True
        self.slots = told["settings"]["family_info"]["workers"]

    def replace(self, **more):
        """The platform replaces the configuration file."""
        told = json.loads(self.disk.files[CONFIG])
        self.disk.files[CONFIG] = bytearray(json.dumps(told | more).encode())

    @property
    def alive(self):
        return self.node is not None and not self.mount.dead

    @property
    def ready(self):
        return self.alive and self.node.decision_loop.ready

    def disk_used(self):
        return self.disk.used() - -(-len(self.disk.files[CONFIG]) // BLOCK) * BLOCK

    def remembers(self, ntf_id):
        """Whether the folder that lasts knows a notification."""
        name = json.dumps(ntf_id).encode()
        return any(name in content for path, content in self.disk.files.items() if path.startswith(STATE))

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """One life of the process, from its start to its end however that comes.

        `ended` is set then; what it left behind, as tasks or as faults, is told to the watch."""
        self.ended, self.draining, self.scope, self.node, self.over = trio.Event(), False, None, None, False
        self.mount, self.reach, self.seen_ready = Mount(self.disk, self.died), Reach(self.host), False
        system = System(self.clock.process_clock(), self.reach, self.mount)
        try:
            told = config.read(self.environ, Mount(self.disk))
            told.seed = f"{told.seed}/{self.starts}"
            self.starts += 1
            with trio.CancelScope() as self.scope:
                self.node = Node(told, system, log=self.watch.log_of(self))
                self.watch.started(self)
                async with trio.open_nursery() as self.nursery:
                    await self.nursery.start(self.node.run)
                    task_status.started()
                    self.nursery.start_soon(self.look)
        except* Killed:
            pass
        except* (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            if not self.mount.dead:
                self.watch.crashed(self, error)
        except* OSError as error:
            # `serve` ends so, with exit code 2, when it cannot start; later it is a crash.
            if self.node and not self.mount.dead:
                self.watch.crashed(self, error)
        except* Exception as error:
            if not self.mount.dead:
                self.watch.crashed(self, error)
        finally:
            self.died()
            self.watch.stopped(self)
            self.ended.set()

    async def look(self):
        """When it was ready, and that it still is."""
        while not self.node.decision_loop.ready:
            await trio.sleep(0.005)
        self.ready_at = max(self.ready_at, elapsed())  # an excuse may outlast a restart
        self.seen_ready = True
        while True:
            self.last_ready = elapsed()
            await trio.sleep(0.05)

    def died(self):
        """The process is gone: its connections are reset, its folder stays."""
        if not self.over:
            self.over = True
            self.watch.died(self)
        self.mount.dead = self.reach.dead = True
        self.fabric.die(self.name)
        if self.scope:
            self.scope.cancel()
            self.release()

    def release(self):
        """Threat to the rig alone: a dead owner's queue that is full holds shielded senders for ever."""
        if self.node:
            self.node.decision_loop.event_sender = self.node.decision_loop.event_sender.clone()
            self.node.decision_loop.event_receiver.close()

    def kill(self):
        """SIGKILL."""
        if self.alive:
            self.died()

    def term(self, kill_within=4 * SEC):
        """SIGTERM: it drains; it is killed if it has not ended in time."""
        if self.alive and not self.draining:
            self.draining = True
            self.nursery.start_soon(self.drain, kill_within)

    async def drain(self, kill_within):
        with trio.move_on_after(kill_within / SEC):
            await self.node.drain()
            self.node.close()
        self.died()

    def hup(self):
        """SIGHUP, as `serve` does it."""
        if self.alive:
            environ = {name: value for name, value in self.environ.items() if name != "EDGE_DISCOVERY"}
            with suppress(Killed):  # it ended at a call of its disk, and is gone
                self.node.reload(lambda: config.read(environ, Mount(self.disk, self.died)))
