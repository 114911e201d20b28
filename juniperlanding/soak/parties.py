"""Those whom a soaked process meets: endpoints that tell a history what came, and clients of all manners."""

import socket
from contextlib import suppress

import trio

from juniperlanding.soak.history import CallSeen, WaitTold, instance_of
from juniperlanding.standins.clients import PATIENCE, Clients
from juniperlanding.standins.endpoints import Endpoint, gone
from juniperlanding.standins.temper import SEC, Character

HALVES = (b"POST /api HT", b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf")
HALF_WITHIN = 3.0 + 0.5  # seconds until half a request is answered or closed, and a margin for a held process
CONNECT_WITHIN = 1.0
HEARD_WITHIN = 0.02  # seconds in which a reset that crossed an answer comes through the proxy
KEEPS_ONE_IN = 3  # requests; after the others the connection is closed, and the next one makes its own
NEARLY = 0.8  # of a client's patience; what ends sooner was ended with the run


class NotedCharacter(Character):
    """Keeps each call's reply until its endpoint has taken it."""

    present = ()  # the messages of the call that is being looked at

    def reply(self, now, weight=1):
        """As in `Character`; the reply is kept under the call's messages."""
        found = Character.reply(self, now, weight)
        self.replies[self.present] = found
        return found

    @property
    def replies(self):
        """Replies by the messages of their calls."""
        return self.__dict__.setdefault("_replies", {})


class SoakEndpoint(Endpoint):
    """A stand-in endpoint that writes down each call and each wait that it told."""

    def __init__(self, number, destination, character, history, now):
        super().__init__(number, destination, character, history.audit, now)
        self.history = history

    async def call(self, stream, first, headers, body):
        """As in `Endpoint`; the call, and a wait that its caller heard, go into the history."""
        ids = (headers["x-trace-id"],)
        instance = instance_of(ids[0])
        self.history.calls.append(CallSeen(self.now(), self.id, instance, ids))
        self.character.present = ids  # nothing runs between here and the reply's drawing
        goes_on = await super().call(stream, first, headers, body)
        reply = self.character.replies.pop(ids, None)
        if goes_on and reply and reply.wait and not gone(stream):
            at = self.now()
            self.history.waits.append(WaitTold(at, at + reply.wait, self.id, instance))
        await trio.sleep(HEARD_WITHIN)
        if gone(stream):
            self.history.doubtful.update(ids)  # its caller may have left before the answer came
        return goes_on


class SoakClients(Clients):
    """Clients of one instance; tells the history whose new connection ended with no answer."""

    def __init__(self, address, history, now, instance):
        super().__init__(address, history.audit, now, instance)
        self.history, self.instance = history, instance

    async def ask(self, stream, text):
        """As in `Clients`; an end without an answer, or none in time, goes into the history."""
        begun, is_new = self.now(), stream not in self.used
        self.used.add(stream)
        try:
            answer = await super().ask(stream, text)
        except trio.Cancelled:
            if is_new and self.now() - begun > PATIENCE * NEARLY * SEC:
                self.history.unheard.append((self.instance, begun, self.now()))
            raise
        if not answer[0]:
            if is_new:
                self.history.unanswered.append((self.instance, begun, self.now()))
            self.used.discard(stream)
        elif stream in self.idle and self.count % KEEPS_ONE_IN:
            self.idle.remove(stream)
            self.used.discard(stream)
            stream.socket.close()
        return answer

    @property
    def used(self):
        """Connections over which a request went before."""
        return self.__dict__.setdefault("_used", set())


async def half_request(address, history, now, instance, half):
    """Send half of a request and stay; it is owed an error or an end within 3 s."""
    begun = now()
    with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        async with await trio.open_tcp_stream(*address) as stream:
            await stream.send_all(half)
            with trio.move_on_after(HALF_WITHIN) as scope:
                while await stream.receive_some():
                    pass
            if scope.cancelled_caught:
                history.kept_waiting.append((instance, begun, now()))


async def early_leaver(address, stay):
    """Ask for something and leave without the answer, by an end or by a reset."""
    with suppress(OSError, trio.BrokenResourceError):
        stream = await trio.open_tcp_stream(*address)
        await stream.send_all(b"GET /_health HTTP/1.1\r\nHost: api\r\n\r\n")
        await trio.sleep(stay)
        if stay > 0.02:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        stream.socket.close()


async def idle_client(address, seconds):
    """Hold a connection and say nothing; let go of it if it is ended."""
    with suppress(OSError, trio.BrokenResourceError), trio.move_on_after(CONNECT_WITHIN + seconds):
        async with await trio.open_tcp_stream(*address) as stream:
            with trio.move_on_after(seconds):
                await stream.receive_some()
