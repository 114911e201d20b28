"""An emulated network: hosts, listeners, and connections of two byte streams, with weather on every path.

The sockets have the eight methods of `ground.seams`; a stand-in uses the same.  Bytes of one direction stay
in order; each write arrives a drawn latency later, as one piece or byte by byte.  A path that is cut holds
what is
sent until it heals, as TCP does; a host that vanishes says nothing; a process that dies has its connections
reset.

Bounds: WINDOW bytes in flight in one direction, BACKLOG connections not yet accepted."""

import errno
import os
from collections import deque

import trio

from juniperlanding.emulator.clock import SEC, elapsed

WINDOW, BACKLOG = 256 << 10, 1024
NEVER = 1 << 62
END, RESET = object(), object()
MS = SEC // 1000


def gone(code):
    return OSError(code, os.strerror(code))


class Path:
    """How one host reaches another: latency in nanoseconds, and what faults do to it just now."""

    __slots__ = ("latency", "jitter", "cut", "dribble", "loss", "lag", "handshake")

    def __init__(self, latency=MS // 2, jitter=MS // 5):
        self.latency, self.jitter, self.cut, self.dribble, self.loss = latency, jitter, 0, 0, 0.0
        self.handshake = 0  # on top, until a connection is up, in nanoseconds
        self.lag = 0  # what a request may take longer than usual, by a fault now or just over, in nanoseconds


class Fabric:
    """All hosts' addresses and paths.  `chance` draws latencies; `watch` hears of every connection and
    end."""

    def __init__(self, chance, latency=MS // 2, jitter=MS // 5):
        self.chance, self.latency, self.jitter = chance, latency, jitter
        self.paths, self.listeners, self.sockets, self.vanished, self.port = {}, {}, {}, set(), 20000
        self.pool, self.healing, self.owner_of = [], trio.Event(), {}

    def path(self, source, target):
        path = self.paths.get((source, target))
        if path is None:
            path = self.paths[source, target] = Path(self.latency, self.jitter)
        return path

    def delay(self, path):
        """Half a normal's absolute value over the latency; draws are taken in blocks, which costs a tenth."""
        if not self.pool:
            self.pool = abs(self.chance.standard_normal(512)).tolist()
        delay = path.latency + int(path.jitter * self.pool.pop())
        if path.loss:
            while self.chance.random() < path.loss:
                delay += 200 * MS  # a lost segment costs a retransmission, never a byte
        return delay

    def heal(self):
        """Something was mended: whoever is held looks again."""
        self.healing.set()
        self.healing = trio.Event()
        for sockets in self.sockets.values():
            for sock in sockets:
                sock.inward.release()

    def silent(self, source, target):
        return self.path(source, target).cut or source in self.vanished or target in self.vanished

    def host(self, name):
        self.sockets.setdefault(name, {})
        return Host(self, name)

    def descriptors(self, name):
        """Connections that a host has taken; what waits in a backlog is not one yet."""
        waiting = sum(len(one.coming) for one in self.listeners.values() if one.owner == name)
        return len(self.sockets[name]) - waiting

    def vanish(self, name):
        """The machine is off the net: it says nothing, and nothing reaches it."""
        self.vanished.add(name)

    def back(self, name):
        """It is there again, without its old connections: their other ends are reset at the next word."""
        self.vanished.discard(name)
        self.die(name)
        self.heal()

    def die(self, name):
        """Its processes ended: connections are reset, listeners gone."""
        for address in [a for a, listener in self.listeners.items() if listener.owner == name]:
            self.listeners.pop(address).dead = True
        for sock in list(self.sockets.get(name, ())):
            sock.abort()


class Pipe:
    """One direction: pieces with the time at which they arrive, in order."""

    __slots__ = ("fabric", "path", "source", "target", "pieces", "size", "last", "news", "space", "reset_at")

    def __init__(self, fabric, source, target):
        self.fabric, self.path = fabric, fabric.path(source, target)
        self.source, self.target = source, target
        self.pieces, self.size, self.last = deque(), 0, 0
        self.news, self.space = trio.Event(), trio.Event()

    def put(self, piece):
        """A piece on its way; END and RESET are pieces too."""
        if self.fabric.silent(self.source, self.target):
            at = NEVER
        else:
            at = self.last = max(self.last, elapsed() + self.fabric.delay(self.path))
        if self.path.dribble and isinstance(piece, bytes) and at < NEVER:
            for n in range(len(piece)):
                at = self.last = max(self.last, at) + self.path.dribble
                self.pieces.append([at, piece[n : n + 1]])
        else:
            self.pieces.append([at, piece])
        if isinstance(piece, bytes):
            self.size += len(piece)
        self.wake()

    def wake(self):
        self.news.set()
        self.news = trio.Event()

    def room(self):
        """Whoever waits for space, or for the other end to read, looks again."""
        self.space.set()
        self.space = trio.Event()

    def release(self):
        """What was held by a cut sets out again, once it is mended."""
        if self.pieces and self.pieces[-1][0] == NEVER and not self.fabric.silent(self.source, self.target):
            for piece in self.pieces:
                if piece[0] == NEVER:
                    piece[0] = self.last = max(self.last, elapsed() + self.fabric.delay(self.path))
            self.wake()

    def arrived(self):
        return self.pieces and self.pieces[0][0] <= elapsed()

    async def wait(self):
        """Until something has arrived."""
        while not self.arrived():
            if self.pieces and self.pieces[0][0] < NEVER:
                with trio.move_on_at(self.pieces[0][0] / SEC):
                    await self.news.wait()
            else:
                await self.news.wait()
        await trio.lowlevel.checkpoint()

    def take(self, most):
        """Up to so many arrived bytes, or a mark that stays."""
        taken, size = [], 0
        while self.arrived() and size < most:
            at, piece = self.pieces[0]
            if piece is END or piece is RESET:
                if taken:
                    break
                return piece
            part = piece[: most - size]
            taken.append(part)
            size += len(part)
            if len(part) < len(piece):
                self.pieces[0][1] = piece[len(part) :]
            else:
                self.pieces.popleft()
        self.size -= size
        if size:
            self.room()
        return b"".join(taken)


class Socket:
    """One end of a connection; the methods of `ground.seams.Socket`."""

    def __init__(self, fabric, owner, peer, inward, outward):
        self.fabric, self.owner, self.peer_name = fabric, owner, peer
        self.inward, self.outward, self.other = inward, outward, None
        self.closed, self.finished, self.broken, self.dead = False, False, False, False
        self.dropped = False  # something of its sending never left
        fabric.sockets[owner][self] = None

    def check(self):
        if self.closed:
            raise trio.ClosedResourceError("this socket was already closed")

    async def recv(self, most):
        self.check()
        await self.readable()
        self.check()
        if self.broken:
            raise gone(errno.ECONNRESET)
        found = self.inward.take(most)
        if found is RESET:
            self.broken = True
            raise gone(errno.ECONNRESET)
        return b"" if found is END else found

    async def readable(self):
        if self.broken:
            return await trio.lowlevel.checkpoint()
        await self.inward.wait()

    def peek(self, most=1):
        if self.closed or self.broken:
            return b""
        if not self.inward.arrived():
            return None
        piece = self.inward.pieces[0][1]
        return b"" if piece is END or piece is RESET else piece[:most]

    async def sendmsg(self, parts):
        self.check()
        await trio.lowlevel.checkpoint()
        data = b"".join(bytes(part) for part in parts)
        while self.outward.size >= WINDOW and not self.closed and not self.broken:
            await self.outward.space.wait()
        self.check()
        if self.broken or self.finished:
            raise gone(errno.EPIPE)
        if self.inward.arrived() and self.inward.pieces[0][1] is RESET:
            self.broken = True
            raise gone(errno.ECONNRESET)
        data = data[: WINDOW - self.outward.size]
        self.outward.put(data)
        if self.other.closed and not self.other.dead_silent():
            # Nobody reads there any more: its machine answers with a reset, a way there and back later.
            self.inward.put(RESET)
        return len(data)

    async def heard(self, sent, enough):
        """Whether the other end has read `enough` of the `sent` bytes that went last; False once it is closed
        without that."""
        while self.outward.size > sent - enough:
            if self.other.closed:
                return False
            await self.outward.space.wait()
        return not self.dropped

    def held(self):
        """Whether a cut holds what is sent now."""
        return self.fabric.silent(self.outward.source, self.outward.target)

    def dead_silent(self):
        return self.owner in self.fabric.vanished

    def finish(self):
        self.check()
        if not self.finished:
            self.finished = True
            self.outward.put(END)

    def close(self):
        if self.closed:
            return
        self.closed = True
        self.fabric.sockets[self.owner].pop(self, None)
        self.inward.room()  # who waits to be heard is not
        unread = any(isinstance(piece, bytes) for at, piece in self.inward.pieces if at <= elapsed())
        if not self.finished or unread:
            self.outward.put(RESET if unread else END)
        self.inward.wake()
        self.outward.room()

    def abort(self):
        """Ended with a reset, by this end's death or wish; what a cut still holds is dropped."""
        if not self.closed:
            while self.outward.pieces and self.outward.pieces[-1][0] == NEVER:
                _, piece = self.outward.pieces.pop()
                self.outward.size -= len(piece) if isinstance(piece, bytes) else 0
                self.dropped = True
            self.closed = True
            self.fabric.sockets[self.owner].pop(self, None)
            self.outward.put(RESET)
            self.inward.wake()
            self.inward.room()
            self.outward.room()


class Listener:
    def __init__(self, fabric, owner, address):
        self.fabric, self.owner, self.address = fabric, owner, address
        self.coming, self.news, self.listening, self.dead = deque(), trio.Event(), False, False

    def listen(self):
        self.listening = True

    async def accept(self):
        while True:
            while not self.coming:
                if self.dead:
                    raise gone(errno.EBADF)
                await self.news.wait()
            at, sock, peer = self.coming[0]
            if at > elapsed():
                await trio.sleep_until(at / SEC)
            self.coming.popleft()
            await trio.lowlevel.checkpoint()
            return sock, peer

    def waiting(self):
        if self.coming and self.coming[0][0] <= elapsed():
            return self.coming.popleft()[1:]

    def close(self):
        if self.fabric.listeners.get(self.address) is self:
            del self.fabric.listeners[self.address]
            for _, sock, _ in self.coming:
                sock.abort()


class Host:
    """A host's own view of the network: the seam `ground.seams.Network`."""

    def __init__(self, fabric, name):
        number = len(fabric.sockets)
        self.fabric, self.name, self.address = fabric, name, f"10.{number >> 8}.{number & 255}.1"

    def bind(self, address):
        host, port = address
        if not port:
            self.fabric.port += 1
            port = self.fabric.port
        if (host, port) in self.fabric.listeners:
            raise OSError(errno.EADDRINUSE, "Address already in use", f"{host}:{port}")
        listener = self.fabric.listeners[host, port] = Listener(self.fabric, self.name, (host, port))
        self.fabric.owner_of[host, port] = self.name
        return listener

    async def connect(self, address):
        """There and back; a cut path or vanished host says nothing until it is mended or we give up."""
        fabric = self.fabric
        while True:
            listener = fabric.listeners.get(tuple(address))
            target = listener.owner if listener else fabric.owner_of.get(tuple(address), "")
            if not (fabric.silent(self.name, target) or fabric.silent(target, self.name)):
                break
            await fabric.healing.wait()
        there, back = fabric.path(self.name, target), fabric.path(target, self.name)
        out, home = fabric.delay(there), fabric.delay(back)
        await trio.sleep((out + home + there.handshake) / SEC)
        listener = fabric.listeners.get(tuple(address))
        if listener is None or not listener.listening or len(listener.coming) >= BACKLOG:
            raise gone(errno.ECONNREFUSED)
        ours, theirs = Pipe(fabric, target, self.name), Pipe(fabric, self.name, target)
        sock = Socket(fabric, self.name, target, ours, theirs)
        mate = Socket(fabric, target, self.name, theirs, ours)
        sock.other, mate.other = mate, sock
        fabric.port += 1
        listener.coming.append((elapsed(), mate, (self.address, fabric.port)))
        listener.news.set()
        listener.news = trio.Event()
        return sock
