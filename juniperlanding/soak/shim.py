"""Entry point of a soaked process: the program as it is, over a clock, sockets and a disk that fail on order.

    python -m juniperlanding.soak.shim ORDERS serve FILE

ORDERS is a JSON file, read again when it changes: `Orders` has its keys.  A defect named there is put in at
the start, to show that the oracle finds it (defects.py)."""

import errno
import os
import signal
import sys
import time
from random import Random

import msgspec
import trio

from juniperlanding.ground import clock, seams

ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EMFILE, errno.EPROTO, errno.ENOMEM)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENFILE, errno.ENOBUFS, errno.EMFILE)
BROKEN_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
DISK_ERRORS = (errno.ENOSPC, errno.EIO)
MOST_SHORT = 7  # bytes that a short write takes
LOOK_EVERY = 0.01  # seconds between two looks at the file


class Orders(msgspec.Struct):
    """wall_ahead: nanoseconds of the wall clock; the others: shares of calls that fail, come short, or end
    the process within a write."""

    wall_ahead: int = 0
    accepts: float = 0.0
    connects: float = 0.0
    breaks: float = 0.0
    writes: float = 0.0
    short: float = 0.0
    kill_in_write: bool = False
    defect: str = ""


class Following:
    """The present orders."""

    def __init__(self, path):
        self.path, self.read_at, self.changed = path, 0.0, 0
        self.orders, self.chance = Orders(), Random(path)
        self.look()

    def look(self):
        """The present orders, read again where the file has changed."""
        now = time.monotonic()
        if now - self.read_at > LOOK_EVERY:
            self.read_at = now
            changed = os.stat(self.path).st_mtime_ns
            if changed != self.changed:
                with open(self.path, "rb") as file:
                    self.orders = msgspec.json.decode(file.read(), type=Orders)
                self.changed = changed
        return self.orders

    def fail(self, share, numbers):
        """Raise one of some errors, for a share of calls."""
        if share and self.chance.random() < share:
            number = self.chance.choice(numbers)
            raise OSError(number, os.strerror(number))


class SteppedClock(clock.Clock):
    """The machine's clock, its wall clock stepped on order."""

    def __init__(self, following):
        self.following = following
        super().__init__()

    def wall(self):
        """The machine's wall clock, with the steps that were ordered."""
        return super().wall() + self.following.look().wall_ahead


class FailingListener(seams.Listener):
    """A listener whose accepts fail on order."""

    following = None

    async def accept(self):
        """As in `Listener`, or an ordered error."""
        await trio.lowlevel.wait_readable(self.raw)
        self.following.fail(self.following.look().accepts, ACCEPT_ERRORS)
        return await super().accept()

    def waiting(self):
        """As in `Listener`, or an ordered error."""
        self.following.fail(self.following.look().accepts, ACCEPT_ERRORS)
        return super().waiting()


class FailingNetwork(seams.Network):
    """A network whose accepts, connects and sends fail or come short on order."""

    def __init__(self, following):
        self.following = following

    def bind(self, address):
        """A `FailingListener` there."""
        listener = FailingListener(address)
        listener.following = self.following
        return listener

    async def connect(self, address):
        """As in `Network`, or an ordered error; its sends may fail, too."""
        self.following.fail(self.following.look().connects, CONNECT_ERRORS)
        connected = await super().connect(address)
        connected.sendmsg = self.failing_send(connected.sendmsg)
        return connected

    def failing_send(self, sendmsg):
        """A `sendmsg` that fails, or takes a few bytes, on order."""

        async def send(parts):
            orders = self.following.look()
            if orders.breaks:
                await trio.lowlevel.checkpoint()
                self.following.fail(orders.breaks, BROKEN_ERRORS)
            if orders.short and self.following.chance.random() < orders.short:
                parts = [memoryview(parts[0])[:MOST_SHORT]]
            return await sendmsg(parts)

        return send


class FailingFiles(seams.FileSystem):
    """Files whose writes fail, come short, or end the process on order."""

    def __init__(self, following):
        self.following = following

    def write(self, file, data):
        """As in `FileSystem`, or an ordered fault."""
        orders = self.following.look()
        self.following.fail(orders.writes, DISK_ERRORS)
        if orders.kill_in_write and len(data) > MOST_SHORT:
            os.write(file, data[: len(data) // 2])
            os.kill(os.getpid(), signal.SIGKILL)
        if orders.short and self.following.chance.random() < orders.short:
            data = data[:MOST_SHORT]
        return super().write(file, data)


def main(orders, *argv):
    """Run a command of the program over the failing world."""
    following = Following(orders)
    world = seams.System(SteppedClock(following), FailingNetwork(following), FailingFiles(following))
    seams.real_system = lambda: world
    if name := following.orders.defect:
        from juniperlanding.soak import defects

        defects.DEFECTS[name]()
    from juniperlanding import cli

    return cli.main(list(argv))


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
