"""The fault proxy between the processes and one stand-in endpoint: a TCP relay that misbehaves on order."""

import socket
import struct
from contextlib import suppress

import trio

from juniperlanding.standins.endpoints import gone

CHUNK = 16 << 10
HALF = 9  # bytes of an answer that still come through: the middle of its first line
BROKEN = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class Link:
    """delay: seconds added to each piece; dial: seconds until a new connection is taken up; silent: nothing
    is relayed; resets: whether a request's first piece is followed by a reset; halves: whether answers break
    off.  Set and lifted by the rig at any time."""

    def __init__(self):
        self.lift()

    def lift(self):
        """End all that is wrong with it."""
        self.delay = self.dial = 0.0
        self.silent = self.resets = self.halves = False


class Proxy:
    """Listens at `address` and relays to `target`."""

    def __init__(self, target):
        self.target, self.link, self.streams = target, Link(), set()

    async def open(self, nursery):
        """Listen; `address` is known once this returns."""
        listeners = await nursery.start(trio.serve_tcp, self.attend, 0)
        self.address = listeners[0].socket.getsockname()[:2]
        return self

    async def attend(self, near):
        """One connection, relayed in both directions until either side ends."""
        if self.link.dial:
            await trio.sleep(self.link.dial)
        try:
            far = await trio.open_tcp_stream(*self.target)
        except OSError:
            return reset(near)
        self.streams.add(near)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.relay, near, far, False, nursery.cancel_scope)
                nursery.start_soon(self.relay, far, near, True, nursery.cancel_scope)
        finally:
            self.streams.discard(near)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(far)

    async def relay(self, source, sink, is_answer, scope):
        """One direction, until either side ends or breaks."""
        try:
            while data := await source.receive_some(CHUNK):
                if self.link.delay:
                    await trio.sleep(self.link.delay)
                while self.link.silent:
                    await trio.sleep(0.05)
                if not is_answer and gone(source):
                    break  # a reset takes back what a cut path has not delivered yet
                if is_answer and self.link.halves:
                    await sink.send_all(data[:HALF])
                    break
                if not is_answer and self.link.resets:
                    await sink.send_all(data[: len(data) // 2])
                    reset(source)
                    break
                await sink.send_all(data)
            else:
                with suppress(BROKEN):
                    await sink.send_eof()
                if not is_answer:
                    return  # the caller ended its sending: the call is given up
        except BROKEN:
            reset(sink)
        scope.cancel()


def reset(stream):
    """Close with a reset."""
    with suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()
