"""Scripted peers on loopback: an HTTP server whose answers are told to it, and the platform."""

import json
import re
import socket
import struct

import trio


def http(status, body=b"", *headers):
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


async def read_message(stream, buffer):
    """The first line, the headers in lower case and the body of the next message; None at the end."""
    while (end := buffer.find(b"\r\n\r\n")) < 0:
        if not (data := await stream.receive_some()):
            return None
        buffer += data
    first, *lines = buffer[:end].decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    size = end + 4 + int(headers.get("content-length", 0))
    while len(buffer) < size:
        if not (data := await stream.receive_some()):
            return None
        buffer += data
    body = bytes(buffer[end + 4 : size])
    del buffer[:size]
    return first, headers, body


class Far:
    """A server that keeps what it was sent; `answer(first, headers, body)` says what comes back: bytes, None
    for silence, "late" for a 200 once `go` is set, or "reset", "end" and "half" for the ways to break off."""

    def __init__(self, answer=lambda *message: http(200)):
        self.answer, self.got, self.connections, self.go = answer, [], 0, trio.Event()
        self.ended = 0  # connections that the other side has ended

    async def open(self, nursery):
        listeners = await nursery.start(trio.serve_tcp, self.attend, 0)
        self.address = listeners[0].socket.getsockname()[:2]
        return self

    async def attend(self, stream):
        self.connections += 1
        buffer = bytearray()
        try:
            while message := await read_message(stream, buffer):
                self.got.append(message)
                answer = self.answer(*message)
                if answer is None:
                    await trio.sleep_forever()
                elif answer == "reset":
                    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return stream.socket.close()
                elif answer == "end":
                    return
                elif answer == "half":
                    await stream.send_eof()
                elif answer == "late":
                    await self.go.wait()
                    await stream.send_all(http(200))
                else:
                    await stream.send_all(answer)
            self.ended += 1
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


class Platform(Far):
    """Discovery and notices: hands out the list, and then keeps a watch waiting."""

    def __init__(self):
        super().__init__(self.reply)
        self.notices, self.notice_status, self.lists = [], 204, []

    def reply(self, first, headers, body):
        if first.startswith("POST"):
            if self.notice_status == 204:
                self.notices += [json.loads(line) for line in body.splitlines()]
            return http(self.notice_status)
        if self.lists:
            return http(200, json.dumps(self.lists.pop(0)).encode())
        return self.unchanged(first)

    @staticmethod
    def unchanged(first):
        """The answer to a watch that waits for a moment only; a longer one is kept waiting (None)."""
        if not (short := re.search(r"index=(\d+)&wait=1 ", first)):
            return None
        return http(200, json.dumps({"revision": int(short[1]), "complete": False, "members": []}).encode())


def member(number, address, phase="in_service", kind="m1", cell=7):
    return {
        "id": f"s-{number}",
        "host_port": f"{address[0]}:{address[1]}",
        "locality": "a",
        "flavor": kind,
        "cell": cell,
        "phase": phase,
        "size": 50.0,
        "up_since_ms": 0,
    }


class RepeatingEndpoint(Far):
    """An endpoint that sends each 200 once more on its connection, as some faulty servers and proxies do.

    reply(id): the status of a call; latency: seconds until it is answered; copy_after: seconds until the
    copy, from the answer or, with `after_next_request`, from the last byte of the next request on that
    connection.  `runs` has the ids of the calls that ran, in order."""

    def __init__(self, reply, latency, copy_after, after_next_request=False):
        super().__init__()
        self.reply, self.latency, self.copy_after = reply, latency, copy_after
        self.after_next_request = after_next_request
        self.runs = []

    async def attend(self, stream):
        self.connections += 1
        buffer = bytearray()
        copy = b""
        try:
            async with trio.open_nursery() as nursery:
                while message := await read_message(stream, buffer):
                    self.got.append(message)
                    if copy and self.after_next_request:
                        nursery.start_soon(self.send_later, stream, copy)
                    copy = await self.answer_call(stream, message)
                    if copy and not self.after_next_request:
                        nursery.start_soon(self.send_later, stream, copy)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
            pass

    async def answer_call(self, stream, message):
        """Answer a call; the bytes of its answer if that will be sent once more."""
        _, headers, body = message
        ids = [headers["x-trace-id"]] if "x-trace-id" in headers else [one["id"] for one in json.loads(body)]
        await trio.sleep(self.latency)
        status = self.reply(ids[0])
        if status != 200:
            await stream.send_all(http(status))
            return b""
        self.runs += ids
        states = [{"id": one, "state": "accepted"} for one in ids]
        answer = http(200) if "x-trace-id" in headers else http(200, json.dumps(states).encode())
        await stream.send_all(answer)
        return answer

    async def send_later(self, stream, data):
        await trio.sleep(self.copy_after)
        await stream.send_all(data)
