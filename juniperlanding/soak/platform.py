"""The platform of a soak: one catalog of endpoints, and for each process an agent that tells it."""

import json

import trio

from juniperlanding.standins.peers import http, read_message

MOST_WAIT = 60.0  # seconds of a watch


class Catalog:
    """The list and its changes.  silent: discovery is down, and its agents say nothing."""

    def __init__(self):
        self.revision, self.members, self.changes = 1, {}, []
        self.silent, self.changed = False, trio.Event()

    def put(self, entry):
        """Enter or change an endpoint; the revision that has it."""
        self.members[entry["id"]] = entry
        self.revision += 1
        self.changes.append((self.revision, entry))
        self.wake()
        return self.revision

    def wake(self):
        """Let all watches look again."""
        self.changed.set()
        self.changed = trio.Event()

    def since(self, revision):
        """What a watch at a revision is told."""
        entries = {entry["id"]: entry for number, entry in self.changes if number > revision}
        return {"revision": self.revision, "complete": False, "members": list(entries.values())}

    def whole(self):
        """The whole list, as discovery tells it."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}


class Agent:
    """The address of one process's platform: lists and watches, and its notices.

    told(revision), noticed(id, outcome): called as they are written, or come."""

    def __init__(self, catalog, told, noticed):
        self.catalog, self.told, self.noticed = catalog, told, noticed

    async def open(self, nursery):
        """Listen; `address` is known once this returns."""
        listeners = await nursery.start(trio.serve_tcp, self.attend, 0)
        self.address = listeners[0].socket.getsockname()[:2]
        return self

    async def attend(self, stream):
        """One connection of a dispatcher, until it ends."""
        buffer = bytearray()
        try:
            while message := await read_message(stream, buffer):
                await stream.send_all(await self.answer(*message))
        except (trio.BrokenResourceError, trio.ClosedResourceError, ValueError):
            pass  # it ended the connection, or half a request did

    async def answer(self, first, headers, body):
        """The bytes that answer one request."""
        method, target, _ = first.split()
        if method == "POST":
            for row in body.splitlines():
                notice = json.loads(row)
                self.noticed(notice["message"], notice["outcome"])
            return http(204)
        told = await self.list(target.partition("?")[2])
        self.told(told["revision"])
        return http(200, json.dumps(told).encode())

    async def list(self, query):
        """The whole list, or what a watch waits for; nothing while discovery is down."""
        fields = dict(part.split("=") for part in query.split("&") if part)
        if "index" not in fields:
            await self.speak()
            return self.catalog.whole()
        revision = int(fields["index"])
        with trio.move_on_after(min(int(fields.get("wait", 0)) / 1000, MOST_WAIT)):
            while self.catalog.revision <= revision:
                await self.catalog.changed.wait()
        await self.speak()
        return self.catalog.since(revision)

    async def speak(self):
        """Threat: a request that discovery's outage met is not answered once that is over."""
        if self.catalog.silent:
            await trio.sleep_forever()
