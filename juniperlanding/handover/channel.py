"""A Unix socket in the state folder, for processes of the same user: messages, and descriptors with them."""

import array
import errno
import os
import socket
import struct
from contextlib import contextmanager

import trio

from juniperlanding.handover import frames

FILE = "successor"
LONG = 100  # bytes of a path that a socket's address still takes
QUEUE = 4
BLOCK = 1 << 16


@contextmanager
def short(folder):
    """A path to the socket's file that is short enough, however long the folder's is."""
    path = os.path.join(folder, FILE)
    if len(os.fsencode(path)) <= LONG:
        yield path
        return
    held = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{held}/{FILE}"
    finally:
        os.close(held)


class Channel:
    """One end.  Threat: a stranger or another program at the other; `mine` tells, and bounds hold."""

    def __init__(self, raw):
        self.raw, self.sock = raw, trio.socket.from_stdlib_socket(raw)

    def peer(self):
        """(process, user) at the other end."""
        pid, user, _ = struct.unpack("3i", self.raw.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
        return pid, user

    def mine(self):
        return self.peer()[1] == os.geteuid()

    async def say(self, word, files=(), **more):
        """Send a message and the descriptors that go with it; OSError when nobody is there."""
        data = memoryview(frames.pack(word, len(files), **more))
        while data:
            data = data[await self.sock.send(data) :]
        for at in range(0, len(files), frames.TOGETHER):
            some = array.array("i", files[at : at + frames.TOGETHER])
            await self.sock.sendmsg([b"f"], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, some)])

    def say_now(self, word):
        """The same without waiting: it has left, or OSError and none of it has."""
        data = frames.pack(word)
        if self.raw.send(data) < len(data):
            raise OSError(errno.EAGAIN, "the channel is full")

    async def hear(self, whole=False):
        """The next message and the descriptors that came with it; None at the end.

        Only a `whole` offer may be large or bring descriptors.  Raises `frames.Noise`, or OSError; then no
        descriptor is left open."""
        if not (head := await self.whole(frames.HEAD.size)):
            return None
        length, count = frames.head(head, whole)
        message, files = frames.message(await self.whole(length)), []
        room = socket.CMSG_SPACE(frames.TOGETHER * array.array("i").itemsize)
        try:
            while len(files) < count:
                byte, told, flags, _ = await self.sock.recvmsg(1, room, socket.MSG_CMSG_CLOEXEC)
                for level, kind, data in told:
                    if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                        some = array.array("i")
                        some.frombytes(data[: len(data) - len(data) % some.itemsize])
                        files.extend(some)
                if not byte or not told or flags & socket.MSG_CTRUNC:
                    raise OSError(errno.EMFILE, "descriptors are missing")
        except BaseException:
            drop(files)
            raise
        return message, files

    async def whole(self, size):
        """So many bytes; b"" when the other side ended before the first."""
        parts, left = [], size
        while left:
            if not (part := await self.sock.recv(min(left, BLOCK))):
                if parts:
                    raise frames.Noise("ended within a message")
                return b""
            parts.append(part)
            left -= len(part)
        return b"".join(parts)

    def close(self):
        self.sock.close()


class Harbour:
    """Where a successor calls; the holder of the folder's lock alone may make one."""

    def __init__(self, folder):
        raw = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        before = os.umask(0o177)
        try:
            with short(folder) as path:
                try:
                    os.unlink(path)  # an earlier process's
                except FileNotFoundError:
                    pass
                raw.bind(path)
            raw.listen(QUEUE)
            raw.setblocking(False)
        except BaseException:
            raw.close()
            raise
        finally:
            os.umask(before)
        self.raw = raw

    async def accept(self):
        while True:
            await trio.lowlevel.wait_readable(self.raw)
            try:
                return Channel(self.raw.accept()[0])
            except BlockingIOError:
                continue  # it ended before it was taken

    def close(self):
        trio.lowlevel.notify_closing(self.raw)
        self.raw.close()


def drop(files):
    """Close descriptors that were heard and are not wanted."""
    for file in files:
        try:
            os.close(file)
        except OSError:
            pass  # wrapped, and closed with its wrapper


def call(folder):
    """A channel to the process that has a folder; OSError when nobody answers there."""
    raw = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        raw.setblocking(False)
        with short(folder) as path:
            raw.connect(path)  # a Unix socket connects at once or not at all
    except BaseException:
        raw.close()
        raise
    return Channel(raw)
