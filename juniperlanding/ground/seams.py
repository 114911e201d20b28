"""System interfaces: a dispatcher uses clock, network and disk only through the classes here.

A `System` is passed in at the start.  `real_system()` returns the one of the real machine; the emulator
passes one with the same methods, so that the same program runs in simulated time.  The fourth interface
is trio's clock (`trio.run(clock=...)`), by which all waiting is timed."""

import errno
import os
import socket
import stat
import struct
from contextlib import suppress
from dataclasses import dataclass

import trio

from juniperlanding.ground.clock import Clock
from juniperlanding.ground.errors import OperatorError
from juniperlanding.ground.lock import Lock

BACKLOG = 1024
MAX_FILE_BYTES = 256 << 20  # limit for files that are read into memory
MAX_DATAGRAM_BYTES = 2048


class Socket:
    """One TCP connection.  Every method raises OSError, or trio's ClosedResourceError after `close`.

    recv(most): up to `most` bytes; b"" once the peer has shut down its sending side.
    sendmsg(parts): sends as much of the buffers as the kernel accepts now; returns the number of bytes.
    is_shared: another process may hold a copy of the descriptor, which keeps the connection open."""

    def __init__(self, raw, is_shared=False):
        self.raw, self.sock = raw, trio.socket.from_stdlib_socket(raw)
        self.is_shared = is_shared
        # Trio's methods without a wrapper: one more coroutine for each costs 8 us a notification.
        self.recv, self.sendmsg = self.sock.recv, self.sock.sendmsg
        try:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass  # the connection is broken already; its first use raises the error

    async def readable(self):
        """Wait until `recv` would return at once."""
        await trio.lowlevel.wait_readable(self.raw)

    def peek(self, most=1):
        """Data received but not read yet: None for none, b"" at the end or after a reset; does not wait."""
        try:
            return self.raw.recv(most, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def peer(self):
        """(host, port) of the peer; OSError once the connection is broken."""
        return self.raw.getpeername()

    def finish(self):
        """Shut down the sending side; the peer may still send."""
        self.sock.shutdown(socket.SHUT_WR)

    def close(self):
        """End the connection, also where another process holds a copy."""
        if self.is_shared:
            with suppress(OSError):  # the connection is broken already
                self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def abort(self):
        """Close with a reset: data still in the kernel's send buffer is dropped, not delivered later.

        While another process holds a copy the peer sees the end of the connection, and the reset once that
        copy is closed."""
        with suppress(OSError):  # the connection is broken already
            self.raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def release(self):
        """Close this process's copy alone: the connection goes on in another process."""
        self.sock.close()


class AddressRefused(OperatorError, OSError):
    """An address cannot be bound: it is not one of this machine, or the port needs more permissions."""

    code = "address-refused"
    remedy = "Configure an address of this machine, with a port that the dispatcher's user may bind."


class AddressTaken(AddressRefused):
    """Another process uses an address on which this one should listen."""

    code = "address-taken"
    remedy = "Stop the process that listens there, or configure another address."


def address_error(error, address):
    """The `OperatorError` for an address that could not be bound."""
    kind = AddressTaken if error.errno == errno.EADDRINUSE else AddressRefused
    return kind(error.errno, error.strerror, "{}:{}".format(*address))


class Listener:
    """A TCP socket, bound when constructed; it accepts connections after `listen`."""

    def __init__(self, address, raw=None):
        if raw:  # already bound by the process from which it was received
            self.raw = raw
            return
        self.raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.raw.bind(address)
        except OSError as error:
            self.raw.close()
            raise address_error(error, address) from None
        self.raw.setblocking(False)

    @property
    def address(self):
        return self.raw.getsockname()

    def listen(self):
        self.raw.listen(BACKLOG)

    async def accept(self):
        """The next connection and the address of its peer; raises the OSErrors of accept(2)."""
        while True:
            await trio.lowlevel.wait_readable(self.raw)
            try:
                raw, peer = self.raw.accept()
            except BlockingIOError:
                continue  # the client closed the connection before it was accepted
            return Socket(raw), peer

    def waiting(self):
        """As `accept`, without waiting; None if no connection is pending or the listener is closed."""
        if self.raw.fileno() < 0:
            return None
        try:
            raw, peer = self.raw.accept()
        except BlockingIOError:
            return None
        return Socket(raw), peer

    def close(self):
        self.raw.close()


class Datagrams:
    """A UDP socket.  Once it is bound, `send` does not raise; `recv` raises the OSErrors of the system."""

    def __init__(self, address):
        self.raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.raw.bind(address)
        except OSError as error:
            self.raw.close()
            raise address_error(error, address) from None
        self.raw.setblocking(False)
        self.sock = trio.socket.from_stdlib_socket(self.raw)

    @property
    def address(self):
        return self.raw.getsockname()

    async def recv(self):
        """The next datagram, truncated to 2 KiB, and the address of its sender."""
        return await self.sock.recvfrom(MAX_DATAGRAM_BYTES)

    def send(self, data, address):
        """Whether the system accepted the datagram, which may still be lost.  Does not wait."""
        try:
            return self.raw.sendto(data, address) == len(data)
        except OSError:
            return False

    def close(self):
        self.sock.close()


class Network:
    """TCP and UDP sockets, and the channel for hand-overs between processes."""

    def datagrams(self, address):
        """A `Datagrams` at (host, port); OSError when the address is in use or not of this machine."""
        return Datagrams(address)

    async def connect(self, address):
        """A connection to (host, port), or OSError; leaves nothing open when cancelled."""
        sock = Socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            await sock.sock.connect(address)
        except BaseException:
            sock.close()
            raise
        return sock

    def bind(self, address):
        """A `Listener` at (host, port); OSError when the address is in use or not of this machine."""
        return Listener(address)

    def handover_listener(self, folder):
        """A listener for a process that takes a folder over; OSError where such sockets are not supported."""
        from juniperlanding.handover import channel

        return channel.ChannelListener(folder)

    def connect_handover(self, folder):
        """A channel to the process that uses a folder; OSError when it does not answer."""
        from juniperlanding.handover import channel

        return channel.connect_handover(folder)

    def close_descriptors(self, files):
        """Close descriptors received from another process that are not needed."""
        from juniperlanding.handover import channel

        channel.close_descriptors(files)

    def inherit(self, file, listening=False):
        """A `Socket` or `Listener` from a descriptor received from another process."""
        raw = socket.socket(fileno=file)
        raw.setblocking(False)
        return Listener(None, raw) if listening else Socket(raw, is_shared=True)


class FileSystem:
    """FileSystem by path and descriptor; most methods are one system call and raise its OSError.

    A write may be short, as write(2) is."""

    def open(self, path, fresh=False):
        """A descriptor to append to a file, created (mode 0600) if missing, truncated if `fresh`."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        return os.open(path, flags | (os.O_TRUNC if fresh else 0), 0o600)

    def write(self, file, data):
        return os.write(file, data)

    def truncate(self, file, size):
        os.ftruncate(file, size)

    def sync(self, file):
        os.fsync(file)

    def close(self, file):
        os.close(file)

    def rename(self, source, target):
        """Replace a file by another, atomically."""
        os.rename(source, target)

    def unlink(self, path):
        os.unlink(path)

    async def run_in_thread(self, what, *fields):
        """Run a function that may block on the disk in a thread; not cancelled once it has begun."""
        return await trio.to_thread.run_sync(what, *fields)

    def size(self, path):
        return os.stat(path).st_size

    def list(self, folder):
        return sorted(os.listdir(folder))

    def lock(self, folder):
        """Lock a folder until `close` or the end of the process; `lock.Taken` when another process has it."""
        return Lock(folder)

    def inherit_lock(self, file):
        return Lock.inherited(file)

    def read(self, path, most=MAX_FILE_BYTES):
        """The content of a regular file.

        A pipe that never ends, a device, or a file larger than the memory is refused with OSError."""
        file = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        try:
            about = os.fstat(file)
            if not stat.S_ISREG(about.st_mode):
                raise OSError(errno.EINVAL, "not a regular file", str(path))
            if about.st_size > most:
                raise OSError(errno.EFBIG, f"{about.st_size} bytes, more than {most}", str(path))
            parts, size = [], 0
            while part := os.read(file, 1 << 20):
                parts.append(part)
                size += len(part)
                if size > most:
                    raise OSError(errno.EFBIG, f"more than {most} bytes", str(path))
            return b"".join(parts)
        finally:
            os.close(file)


@dataclass(frozen=True)
class System:
    """The system interfaces that a dispatcher uses."""

    clock: Clock
    network: Network
    files: FileSystem


def real_system():
    """Clock, network and disk of the real machine."""
    return System(Clock(), Network(), FileSystem())
