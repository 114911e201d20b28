"""Stand-in endpoints on loopback: each a server with a character, speaking the operators' protocol."""

import json
import socket
import struct

import trio

from juniperlanding.standins.peers import http, read_message
from juniperlanding.standins.temper import DELIVERED, RAN, RESET, SEC, SILENT, TURNED_AWAY

STATES = {DELIVERED: "accepted", TURNED_AWAY: "deferred"}
LOOK = 0.02  # seconds between two looks whether it is its turn to be there


class Endpoint:
    """One server.  While its character is not there it listens to nobody, and all connections are reset."""

    def __init__(self, number, destination, character, audit, now, port=0):
        self.id, self.destination, self.character = f"e-{number}", destination, character
        self.audit, self.now, self.address, self.since = audit, now, None, now()
        self.port = port  # 0: one that the system gives
        self.streams = set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        while True:
            try:
                listeners = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
            except OSError:
                # Threat: the system gave its port to a client while it was away; it comes back later then.
                if not self.address:
                    raise
                await trio.sleep(LOOK)
                continue
            if not self.address:
                self.address = listeners[0].socket.getsockname()[:2]
                self.port = self.address[1]
                task_status.started(self)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, self.attend, listeners)
                while self.character.there(self.now(), self.since):
                    await trio.sleep(LOOK)
                for stream in list(self.streams):
                    reset(stream)
                nursery.cancel_scope.cancel()
            while not self.character.there(self.now(), self.since):
                await trio.sleep(LOOK)

    async def attend(self, stream):
        self.streams.add(stream)
        buffer = bytearray()
        try:
            while message := await read_message(stream, buffer):
                if not await self.call(stream, *message):
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError, ValueError):
            pass  # the dispatcher gave the call up, or sent what cannot be read
        finally:
            self.streams.discard(stream)

    async def call(self, stream, first, headers, body):
        """Answer one call; False when the connection ends with it."""
        several = first.split()[1].endswith(":batch")
        ids = [item["id"] for item in json.loads(body)] if several else [headers["x-trace-id"]]
        reply = self.character.reply(self.now(), len(ids))
        for ntf_id in ids:
            self.audit.pushed(ntf_id, reply.ending in RAN)
        await trio.sleep(reply.delay / SEC)
        if reply.ending == SILENT:
            await trio.sleep_forever()
        if reply.ending == RESET:
            reset(stream)
            return False
        wait = [f"Retry-After: {reply.wait / SEC:.3f}"] if reply.wait else []
        if reply.ending == TURNED_AWAY:
            answer = http(429, b"", *wait)
        elif several:
            state = STATES.get(reply.ending, "fault")
            answer = http(200, json.dumps([{"id": one, "state": state} for one in ids]).encode())
        else:
            answer = http(200 if reply.ending == DELIVERED else 500)
        if reply.ending == DELIVERED and not gone(stream):
            for ntf_id in ids:
                self.audit.delivered(ntf_id)
        await stream.send_all(answer)
        return True

    def listed(self, kind="shop", zone="a", scale=100.0):
        """Its entry in discovery's list."""
        return {
            "id": self.id,
            "host_port": "{}:{}".format(*self.address),
            "locality": zone,
            "flavor": kind,
            "cell": self.destination,
            "phase": "in_service",
            "size": scale,
            "up_since_ms": 0,
        }


def reset(stream):
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    stream.socket.close()


def gone(stream):
    """Whether the other side has given the connection up already."""
    try:
        return stream.socket._sock.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
