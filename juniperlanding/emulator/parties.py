"""The other parties in simulated time, on emulated sockets: endpoints, discovery and notices, clients."""

import json

import trio

from juniperlanding.emulator.clock import SEC, elapsed
from juniperlanding.standins.peers import http
from juniperlanding.standins.temper import DELIVERED, RAN, RESET, SILENT, TURNED_AWAY

MS = SEC // 1000
PATIENCE = 400 * MS  # of a client for its answer
LINE = b"\r\n"
FIRST_LINE = len(b"HTTP/1.1 200 x\r\n")
SPOILT = (
    b"\x00\xffnoise\r\n\r\n",
    b"HTTP/1.1 2",
    b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx",
    b"HTTP/1.1 abc\r\n\r\n",
)
ENDED = (OSError, trio.ClosedResourceError)
STATES = {DELIVERED: "accepted", TURNED_AWAY: "deferred"}


class Wire:
    """HTTP messages on an emulated socket, for the stand-ins' side."""

    def __init__(self, sock):
        self.sock, self.buffer = sock, b""

    async def message(self):
        """(first line, headers in lower case, body) of the next message; None at the end."""
        while (end := self.buffer.find(LINE + LINE)) < 0:
            if not (data := await self.sock.recv(1 << 16)):
                return None
            self.buffer += data
        first, *lines = self.buffer[:end].decode("latin-1").split("\r\n")
        headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
        size = end + 4 + int(headers.get("content-length", 0))
        while len(self.buffer) < size:
            if not (data := await self.sock.recv(1 << 16)):
                return None
            self.buffer += data
        body, self.buffer = self.buffer[end + 4 : size], self.buffer[size:]
        return first, headers, body

    async def send(self, data):
        while data:
            data = data[await self.sock.sendmsg([data]) :]


class Endpoint:
    """One server of a destination: its model decides, this carries it out on connections."""

    def __init__(
        self,
        number,
        destination,
        kind,
        zone,
        model,
        fabric,
        watch,
        chance,
        most_connections=64,
        idle_closes=10 * SEC,
    ):
        self.id, self.name, self.destination = f"s-{number}", f"e{number}", destination
        self.kind, self.zone, self.model, self.fabric, self.watch = kind, zone, model, fabric, watch
        self.chance, self.most_connections, self.idle_closes = chance, most_connections, idle_closes
        self.host, self.connections, self.phase, self.since = fabric.host(self.name), {}, "in_service", 0
        self.address, self.listener, self.open = (self.host.address, 80), None, False
        self.routes_apart = False
        self.reset_after = 0  # a trouble: each connection is reset after so many bytes of a request

    def listed(self):
        return {
            "id": self.id,
            "host_port": "{}:{}".format(*self.address),
            "locality": self.zone,
            "flavor": self.kind,
            "cell": self.destination,
            "phase": self.phase,
            "size": self.listed_rate(),
            "up_since_ms": 0,
        }

    def listed_rate(self):
        return self.model.capacity.rate or self.model.temper.rate or 100.0

    async def run(self):
        async with trio.open_nursery() as self.lasting:
            await self.serve()

    async def serve(self):
        """It listens while its model is there; each change of that is looked for 20 times a second."""
        while True:
            self.listener = self.host.bind(self.address)
            self.listener.listen()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.listen, nursery)
                while self.model.there(elapsed(), self.since):
                    await trio.sleep(0.05)
                for sock in list(self.connections):
                    sock.abort()
                self.listener.close()
                nursery.cancel_scope.cancel()
            while not self.model.there(elapsed(), self.since):
                await trio.sleep(0.05)

    async def listen(self, nursery):
        while True:
            sock, _ = await self.listener.accept()
            nursery.start_soon(self.attend, sock)

    async def attend(self, sock):
        self.connections[sock] = None
        wire = Wire(sock)
        try:
            if len(self.connections) > self.most_connections:
                await wire.message()
                await wire.send(http(503, b"", "Connection: close"))
                return
            while True:
                with trio.move_on_after(self.idle_closes / SEC):
                    await sock.readable()
                if sock.peek() is None or not (message := await self.request(wire)):
                    return
                if not await self.call(sock, wire, *message):
                    return
        except (*ENDED, ValueError, KeyError):
            pass  # the dispatcher gave it up, or it was reset
        finally:
            self.connections.pop(sock, None)
            sock.close()

    async def request(self, wire):
        if not self.reset_after:
            return await wire.message()
        while len(wire.buffer) < self.reset_after:
            if not (data := await wire.sock.recv(self.reset_after - len(wire.buffer))):
                return None
            wire.buffer += data
            if LINE + LINE in wire.buffer:
                head, _, body = wire.buffer.partition(LINE + LINE)
                if len(body) >= int(head.lower().partition(b"content-length: ")[2].partition(LINE)[0] or 0):
                    return await wire.message()  # all of it came within those bytes
        wire.sock.abort()
        return None

    async def heard(self, sock, ids, sent, enough):
        """A delivery counts once the dispatcher has read so much of the answer, whatever becomes of this
        end."""
        if await sock.heard(sent, enough):
            for one in ids:
                self.watch.delivered(one, self)

    async def wait_heard(self, sock, dispatcher, sent, until):
        """A wait runs from when its answer is written, and binds as soon as no cut holds that any more."""
        if await sock.heard(sent, sent) and until > elapsed():
            self.watch.told_wait(dispatcher, self, until - elapsed())

    async def call(self, sock, wire, first, headers, body):
        several = first.split()[1].endswith(":batch")
        ids = [item["id"] for item in json.loads(body)] if several else [headers["x-trace-id"]]
        now, dispatcher = elapsed(), sock.peer_name
        reply = self.model.reply(now, len(ids))
        ran = reply.ending in RAN
        call = self.watch.call(dispatcher, self, ids, ran, sock)
        try:
            if reply.ending == SILENT:
                while sock.peek() is None:  # until the dispatcher gives it up
                    await sock.readable()
                    if (data := sock.peek()) is not None and data != b"":
                        await sock.recv(1 << 16)
                return False
            await trio.sleep(reply.delay / SEC)
            if reply.ending == RESET:
                sock.abort()
                return False
            if ran and self.model.spoils and self.chance.random() < self.model.spoils:
                spoilt = SPOILT[int(self.chance.random() * len(SPOILT))]
                await wire.send(spoilt)
                self.watch.call_over(call)
                if spoilt.startswith(b"HTTP/1.1 200 ") and not several:
                    # True for one message, whatever comes behind.
                    self.lasting.start_soon(self.heard, sock, ids, len(spoilt), FIRST_LINE)
                await sock.readable()
                return False
            wait = [f"Retry-After: {reply.wait / SEC:.3f}"] if reply.wait else []
            if reply.ending == TURNED_AWAY:
                answer = http(429 if reply.wait else 503, b"", *wait)
                held, until = sock.held(), elapsed() + reply.wait
                if reply.wait and not held:
                    self.watch.told_wait(dispatcher, self, reply.wait)
            elif several:
                states = [{"id": one, "state": STATES.get(reply.ending, "fault")} for one in ids]
                answer = http(200, json.dumps(states).encode())
            else:
                answer = http(200 if reply.ending == DELIVERED else 500)
            await wire.send(answer)
            if reply.ending == TURNED_AWAY and reply.wait and held:
                self.lasting.start_soon(self.wait_heard, sock, dispatcher, len(answer), until)
            self.watch.call_over(call)
            enough = len(answer) if several else FIRST_LINE  # the first line is true for one message
            if reply.ending == DELIVERED:
                self.lasting.start_soon(self.heard, sock, ids, len(answer), enough)
            return True
        finally:
            self.watch.call_over(call)


class Platform:
    """Discovery and the notices' address of all dispatchers, each through an agent beside it that has its own
    view: what it was not told yet, it does not tell."""

    def __init__(self, fabric, watch, chance):
        self.fabric, self.watch, self.chance, self.host = fabric, watch, chance, fabric.host("platform")
        self.address, self.number = (self.host.address, 8500), 1
        self.members, self.revision, self.news = {}, 1, trio.Event()
        self.changes = []  # (revision, entry)
        self.silent, self.empty, self.late = False, False, 0

    def endpoint(self, endpoint):
        """Publish an entry, new or changed; told to all who watch, `late` nanoseconds after."""
        entry = endpoint.listed()
        self.revision += 1
        self.members[entry["id"]] = entry
        if entry["phase"] == "terminated":
            del self.members[entry["id"]]
        self.changes = [*self.changes[-500:], (self.revision, entry)]
        self.news.set()
        self.news = trio.Event()

    def moved(self):
        """The platform answers at another address from now on; the old one refuses."""
        self.number += 1
        self.address = (self.host.address, 8500 + self.number)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve at the present address; a move opens the next one beside it."""
        task_status.started()
        serving = None
        async with trio.open_nursery() as nursery:
            while True:
                if serving != self.address:
                    serving = self.address
                    listener = self.host.bind(serving)
                    listener.listen()
                    nursery.start_soon(self.listen, listener, nursery)
                await trio.sleep(0.02)

    async def listen(self, listener, nursery):
        while True:
            with trio.move_on_after(0.05):
                sock, _ = await listener.accept()
                nursery.start_soon(self.attend, sock, listener.address)
            if listener.address != self.address:
                listener.close()
                return

    async def attend(self, sock, address):
        wire = Wire(sock)
        try:
            while message := await wire.message():
                while self.silent:
                    await trio.sleep(0.05)
                first, _, body = message
                if first.startswith("POST"):
                    for line in body.splitlines():
                        notice = json.loads(line)
                        self.watch.notice(notice["message"], notice["outcome"], sock.peer_name)
                    await wire.send(http(204))
                else:
                    await wire.send(http(200, json.dumps(await self.listing(first.split()[1])).encode()))
                if address != self.address:
                    return
        except (*ENDED, ValueError):
            pass
        finally:
            sock.close()

    async def listing(self, target):
        if "?" not in target:
            return self.whole()
        asked = dict(pair.split("=") for pair in target.partition("?")[2].split("&"))
        index, until = int(asked["index"]), trio.current_time() + int(asked["wait"]) / 1000
        while self.revision <= index and trio.current_time() < until:
            with trio.move_on_at(until):
                await self.news.wait()
        if self.late:
            await trio.sleep(self.late / SEC * self.chance.random())
        if self.changes and self.changes[0][0] > index + 1 or self.empty:
            return self.whole()
        changed = {entry["id"]: entry for revision, entry in self.changes if revision > index}
        return {"revision": self.revision, "complete": False, "members": list(changed.values())}

    def whole(self):
        members = [] if self.empty else list(self.members.values())
        return {"revision": self.revision, "complete": True, "members": members}


class Clients:
    """Clients of all dispatchers: a front deals arrivals out; each waits 400 ms for its answer."""

    def __init__(self, fabric, watch, chance, dispatchers, retries=0.0, leaves=0.0, reuses=0.0):
        self.fabric, self.watch, self.chance, self.dispatchers = fabric, watch, chance, dispatchers
        self.host, self.idle, self.count = fabric.host("clients"), {}, 0
        self.retries, self.leaves, self.reuses, self.ids = retries, leaves, reuses, []
        self.turn = 0

    async def load(self, coming):
        """An open loop over (at, topic, destination, size, key), at in nanoseconds of the run."""
        async with trio.open_nursery() as nursery:
            for at, topic, destination, size, key in coming:
                if at > elapsed():
                    await trio.sleep((at - elapsed()) / SEC)
                self.count += 1
                nursery.start_soon(self.request, f"c{self.count}", topic, destination, size, key)

    def front(self):
        """The dispatchers in turn; one that is down is passed over only some seconds after it died."""
        for _ in self.dispatchers:
            self.turn += 1
            one = self.dispatchers[self.turn % len(self.dispatchers)]
            if one.alive and not one.draining or elapsed() - one.last_ready < 3 * SEC:
                return one
        return self.dispatchers[self.turn % len(self.dispatchers)]

    async def request(self, ntf_id, topic, destination, size, key):
        at = self.front()
        status = await self.submit(ntf_id, topic, destination, size, key, at)
        if status in (0, 429, 503) and self.chance.random() < self.retries:
            await trio.sleep(0.05 + 0.2 * self.chance.random())
            await self.submit(f"{ntf_id}r", topic, destination, size, key, self.front())
        elif status == 202 and self.chance.random() < self.reuses:
            await trio.sleep(2 * self.chance.random())  # it may be over by then
            with trio.move_on_after(PATIENCE / SEC):
                await self.ask(at, self.text(ntf_id, topic, destination, size, key))

    @staticmethod
    def text(ntf_id, topic, destination, size, key):
        more = f"Idempotency-Key: {key}\r\n" if key else ""
        return (
            f"POST /api HTTP/1.1\r\nHost: api\r\nX-Trace-Id: {ntf_id}\r\nX-Qos: {topic.name}\r\n"
            f"X-Expires-In-Ms: {topic.ttl // MS}\r\nX-Addressing: dest={destination}\r\n{more}"
            f"Content-Length: {size}\r\n\r\n"
        ).encode() + b"x" * size

    async def submit(self, ntf_id, topic, destination, size, key, dispatcher):
        self.watch.handed_in(ntf_id, topic, destination, dispatcher)
        status, patience = 0, PATIENCE
        if self.leaves and self.chance.random() < self.leaves:
            patience = int(PATIENCE * 0.05 * self.chance.random())
        with trio.move_on_after(patience / SEC):
            status = await self.ask(dispatcher, self.text(ntf_id, topic, destination, size, key))
        self.watch.answered(ntf_id, status)
        return status

    async def ask(self, dispatcher, text):
        idle = self.idle.setdefault(dispatcher.name, [])
        while idle:
            status = await self.exchange(dispatcher, idle.pop(), text)
            if status:
                return status
        try:
            return await self.exchange(dispatcher, await self.host.connect(dispatcher.address), text)
        except OSError:
            return 0

    async def exchange(self, dispatcher, sock, text):
        wire, kept, answer = Wire(sock), False, None
        try:
            await wire.send(text)
            answer = await wire.message()
            kept = bool(answer) and answer[1].get("connection") != "close"
            return int(answer[0].split()[1]) if answer else 0
        except ENDED:
            return 0
        finally:
            if kept and len(self.idle[dispatcher.name]) < 64:
                self.idle[dispatcher.name].append(sock)
            elif answer is None:
                sock.abort()  # what a cut still holds of it does not come later
            else:
                sock.close()
