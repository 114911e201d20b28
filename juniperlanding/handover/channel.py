"""A Unix socket in the state folder that carries messages and descriptors between processes of one user."""

import array
import errno
import os
import socket
import struct
from contextlib import contextmanager

import trio

from juniperlanding.handover import frames

FILE = "successor"
MAX_PATH_BYTES = 100  # the longest path that fits into a Unix socket address
BACKLOG = 4
RECEIVE_BYTES = 1 << 16


@contextmanager
def short_path(folder):
    """A path to the socket file that fits into a socket address, however long the folder's path is."""
    path = os.path.join(folder, FILE)
    if len(os.fsencode(path)) <= MAX_PATH_BYTES:
        yield path
        return
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{descriptor}/{FILE}"
    finally:
        os.close(descriptor)


class Channel:
    """One end of a connection.

    The other end may be another user's process or an unrelated program: `is_same_user` tells the first, and
    the limits of `frames` bound what the second can send."""

    def __init__(self, raw):
        self.raw, self.sock = raw, trio.socket.from_stdlib_socket(raw)

    def peer(self):
        """(process id, user id) at the other end."""
        pid, user, _ = struct.unpack("3i", self.raw.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
        return pid, user

    def is_same_user(self):
        return self.peer()[1] == os.geteuid()

    async def send(self, message_type, descriptors=(), **fields):
        """Send a message and the descriptors that belong to it; OSError when the other end is closed."""
        data = memoryview(frames.pack(message_type, len(descriptors), **fields))
        while data:
            data = data[await self.sock.send(data) :]
        for start in range(0, len(descriptors), frames.DESCRIPTORS_PER_SEND):
            some = array.array("i", descriptors[start : start + frames.DESCRIPTORS_PER_SEND])
            await self.sock.sendmsg([b"f"], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, some)])

    def send_nowait(self, message_type):
        """Send a message without waiting: either all of it is sent, or none of it and OSError is raised."""
        data = frames.pack(message_type)
        if self.raw.send(data) < len(data):
            raise OSError(errno.EAGAIN, "the channel is full")

    async def receive(self, allow_offer=False):
        """The next message and the descriptors that came with it; None when the other end has closed.

        Only an offer may be large or bring descriptors.  Raises `frames.Noise` or OSError; then all received
        descriptors have been closed."""
        if not (header := await self.receive_exactly(frames.HEADER.size)):
            return None
        length, count = frames.read_header(header, allow_offer)
        message = frames.read_message(await self.receive_exactly(length))
        descriptors = []
        space = socket.CMSG_SPACE(frames.DESCRIPTORS_PER_SEND * array.array("i").itemsize)
        try:
            while len(descriptors) < count:
                byte, ancillary, flags, _ = await self.sock.recvmsg(1, space, socket.MSG_CMSG_CLOEXEC)
                for level, kind, data in ancillary:
                    if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                        some = array.array("i")
                        some.frombytes(data[: len(data) - len(data) % some.itemsize])
                        descriptors.extend(some)
                if not byte or not ancillary or flags & socket.MSG_CTRUNC:
                    raise OSError(errno.EMFILE, "descriptors are missing")
        except BaseException:
            close_descriptors(descriptors)
            raise
        return message, descriptors

    async def receive_exactly(self, size):
        """That many bytes; b"" when the other end closed before the first."""
        parts = []
        missing = size
        while missing:
            if not (part := await self.sock.recv(min(missing, RECEIVE_BYTES))):
                if parts:
                    raise frames.Noise("the channel closed within a message")
                return b""
            parts.append(part)
            missing -= len(part)
        return b"".join(parts)

    def close(self):
        self.sock.close()


class ChannelListener:
    """The listening end; only the process that holds the lock of the folder may create one."""

    def __init__(self, folder):
        raw = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        umask = os.umask(0o177)
        try:
            with short_path(folder) as path:
                try:
                    os.unlink(path)  # left by an earlier process
                except FileNotFoundError:
                    pass
                raw.bind(path)
            raw.listen(BACKLOG)
            raw.setblocking(False)
        except BaseException:
            raw.close()
            raise
        finally:
            os.umask(umask)
        self.raw = raw

    async def accept(self):
        while True:
            await trio.lowlevel.wait_readable(self.raw)
            try:
                return Channel(self.raw.accept()[0])
            except BlockingIOError:
                continue  # the caller closed the connection before it was accepted

    def close(self):
        trio.lowlevel.notify_closing(self.raw)
        self.raw.close()


def close_descriptors(descriptors):
    """Close descriptors that were received and are not used."""
    for descriptor in descriptors:
        try:
            os.close(descriptor)
        except OSError:
            pass  # already closed with the object that wraps it


def connect_handover(folder):
    """A channel to the process that holds a folder; OSError when no process accepts there."""
    raw = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        raw.setblocking(False)
        with short_path(folder) as path:
            raw.connect(path)  # a Unix socket connects at once or fails
    except BaseException:
        raw.close()
        raise
    return Channel(raw)
