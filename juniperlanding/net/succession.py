"""One process of a dispatcher takes over from another, sockets and all (docs/upgrade.md).

`handover.steps` decides who owns; here its actions are carried out."""

import json
from base64 import b64decode, b64encode
from dataclasses import astuple
from zlib import crc32

import h11
import trio

from juniperlanding import carry
from juniperlanding.choice import SEC
from juniperlanding.ground.clock import ClockStamp
from juniperlanding.ground.errors import Trouble, system
from juniperlanding.ground.lock import Taken
from juniperlanding.ground.log import described, where
from juniperlanding.handover import frames, steps
from juniperlanding.net.endpoints import Call, Send
from juniperlanding.net.line import Line

HELLO_WITHIN = 1.0  # seconds until who called has said what it wants
AGAIN = 0.05  # seconds until the folder is tried again
FORM, PARTS = 1, ("clients", "calls", "idle")  # of an offer; each part's sockets follow in this order


class Refusal(Trouble, OSError):
    """The process that has the folder says why it keeps it."""

    code = "hand-over-refused"
    remedy = "Start a replacement alone, with the same `listen`; start another dispatcher on another folder."


class OtherForm(Refusal):
    """The process that has the folder hands over in a form that this version does not know."""

    code, remedy = "hand-over-form", "End the old process by SIGTERM, then start this one."


class NotTaken(Trouble):
    """Another process asked for the folder and ended or fell silent before it had it; this one serves on."""

    code = "hand-over-failed"
    remedy = "Look at the last lines of the process that was to take over; this one needs nothing."


def digest(settings):
    return crc32(json.dumps(settings, sort_keys=True).encode())


class Offer:
    """All that one process is: `state` as plain JSON, and the sockets that go with it, in its order."""

    def __init__(self, state, lock, listener, socks):
        self.state, self.lock, self.listener, self.socks = state, lock, listener, socks
        first, second = len(state["clients"]), len(state["clients"]) + len(state["calls"])
        self.parts = socks[:first], socks[first:second], socks[second:]

    @classmethod
    def made(cls, node):
        """What `node` is, once its owner has come to rest.

        Threat: one odd record ends the process with all that it owes; then clients go over, and the module
        begins from the ledger."""
        try:
            return cls.whole(node, carry.taken_from(node.owner.at.me, node.owner.terms))
        except Exception as error:
            node.log("fault", part="upgrade", why=described(error), at_line=where(error))
            return cls.whole(node, None)

    @classmethod
    def whole(cls, node, module):
        owner, now = node.owner, trio.current_time()
        idle = [(e, line) for e, lines in owner.endpoints.idle.items() for line in lines if line.quiet()]
        calls, clients = owner.endpoints.carried, node.clients.carried
        state = {
            "form": FORM,
            "clock": astuple(stamp) if (stamp := node.world.clock.stamp()) else None,
            "version": module and carry.VERSION,
            "settings": digest(node.config.settings),
            "module": module,
            "entries": [[*entry, *owner.endpoints.book[number]] for number, entry in owner.entries.items()],
            # Threat: the whole list is still to come, and a number of an earlier address stands for it.
            "revision": None if owner.discovery.whole else owner.discovery.revision,
            "discovery": owner.discovery.address,
            "following": owner.discovery.on,
            "clients": [
                [text(line), line.until - now if line.until < float("inf") else None] for line in clients
            ],
            "calls": [
                [
                    call.endpoint,
                    call.began_at,
                    text(call.line),
                    call.line.used_at,
                    [
                        [s.id, s.number, s.until, s.ttl_at, s.leave_by, s.over, s.cancelled]
                        for s in call.sends
                    ],
                ]
                for call in calls
            ],
            "idle": [[endpoint, line.used_at] for endpoint, line in idle],
        }
        if parts := {part.section: said for part in node.parts if (said := part.given()) is not None}:
            state["parts"] = parts
        lines = [*clients, *(call.line for call in calls), *(line for _, line in idle)]
        socks = [line.sock for line in lines]
        return cls(json.loads(json.dumps(state)), node.lock, node.listener, socks)

    @classmethod
    def read(cls, world, heard, files):
        """An offer as it came over a channel; `OtherForm` for one of which nothing is kept."""
        try:
            state = heard["state"]
            if state["form"] != FORM or len(files) != 2 + sum(len(state[part]) for part in PARTS):
                raise ValueError("unknown")
            lock, listener, *socks = files
            return cls(
                state,
                world.files.inherit_lock(lock),
                world.network.inherit(listener, listening=True),
                [world.network.inherit(file) for file in socks],
            )
        except (ValueError, TypeError, KeyError, OSError) as error:
            world.network.drop(files)
            raise OtherForm(0, f"hands over in another form ({described(error)})", None) from None

    def resume(self, clock):
        """Go on with the clock that all times of the offer are of; an earlier version tells none."""
        if told := self.state.get("clock"):
            clock.resume(ClockStamp(*told))

    def files(self):
        return [self.lock.file, self.listener.raw.fileno(), *(sock.raw.fileno() for sock in self.socks)]

    def fits(self, settings):
        """`carry.Unknown` unless the module that goes on is of the same form and told the same."""
        if self.state["version"] != carry.VERSION:
            raise carry.Unknown("another version")
        if self.state["settings"] != digest(settings):
            raise carry.Unknown("other settings")

    def clients(self):
        """(line, seconds left for its request) of each."""
        for sock, (early, left) in zip(self.parts[0], self.state["clients"], strict=True):
            yield Line(sock, h11.SERVER, b64decode(early)), float("inf") if left is None else max(left, 0)

    def calls(self):
        """(call, line) of each that is written whole."""
        for sock, (endpoint, began_at, early, used_at, sends) in zip(
            self.parts[1], self.state["calls"], strict=True
        ):
            call = Call(
                endpoint,
                [
                    Send(i, n, "", b"", *times, over=over, cancelled=cancelled)
                    for i, n, *times, over, cancelled in sends
                ],
                began_at,
            )
            line = Line(sock, h11.CLIENT, b64decode(early))
            line.used_at = used_at
            line.http.send(h11.Request(method="POST", target="/", headers=[("Host", "endpoint")]))
            line.http.send(h11.EndOfMessage())  # the request has left; its answer is what comes next
            yield call, line

    def idle(self):
        """(endpoint, line) of each."""
        for sock, (endpoint, used_at) in zip(self.parts[2], self.state["idle"], strict=True):
            line = Line(sock, h11.CLIENT)
            line.used_at = used_at
            yield endpoint, line

    def drop_calls(self):
        for sock in self.parts[1] + self.parts[2]:
            sock.close()

    def close(self):
        """Let go of our copies; what another process holds goes on there."""
        for one in (*self.socks, self.listener, self.lock):
            one.close()


def text(line):
    """What came of the present message.

    Threat: frozen before it looked at what the process before it had read."""
    return b64encode(b"".join([*line.raw, line.early])).decode()


class Succession:
    """The owning process's side."""

    def __init__(self, config, world, log):
        self.config, self.world, self.log, self.giver = config, world, log, steps.Giver()
        self.channel, self.harbour, self.callers = None, None, 0

    def open(self, nursery, freeze):
        """Wait for who would take over; `await freeze(seconds)` once, for the first that may.

        Threat: some platforms have no such sockets; then a process is replaced by a restart alone."""
        if self.harbour:
            return
        try:
            self.harbour = self.world.network.harbour(self.config.state)
        except OSError as error:
            return self.log("upgrade", "nobody can take over here", why=described(error))
        nursery.start_soon(self.listen, nursery, freeze)

    async def listen(self, nursery, freeze):
        with trio.CancelScope() as self.listening:
            while True:
                try:
                    channel = await self.harbour.accept()
                except OSError as error:
                    self.log("upgrade", "cannot accept", why=described(error))
                    await trio.sleep(AGAIN)
                    continue
                if self.callers >= steps.MOST_CALLERS:
                    channel.close()
                    continue
                self.callers += 1
                nursery.start_soon(self.attend, channel, freeze)

    async def attend(self, channel, freeze):
        try:
            with trio.move_on_after(HELLO_WITHIN):
                heard = await channel.hear() if channel.mine() else None
                if heard and heard[0]["say"] == frames.HELLO:
                    listen = "{}:{}".format(*self.config.listen)
                    if heard[0].get("listen") != listen:
                        why = f"it listens at {listen}"
                    elif self.giver.hello(self.world.clock.steady()):
                        self.channel = channel
                        self.log("upgrade", "another process takes over", pid=channel.peer()[0])
                    else:
                        why = "another replacement is under way"
                    if self.channel is not channel:
                        await channel.say(frames.REFUSED, why=why)
            if self.channel is channel:
                await freeze(steps.FREEZE_WITHIN / SEC)
        except (frames.Noise, OSError) as error:  # threat: a stranger, or noise
            self.log("upgrade", "a caller was not understood", why=described(error))
        finally:
            self.callers -= 1
            if self.channel is not channel:
                channel.close()

    async def give(self, offer):
        """Whether the other process owns everything now; else we go on with the offer ourselves."""
        self.giver.frozen(self.world.clock.steady())
        try:
            with trio.move_on_after((self.giver.until - self.world.clock.steady()) / SEC):
                await self.channel.say(frames.OFFER, offer.files(), state=offer.state)
                heard = await self.channel.hear()
                if heard and heard[0]["say"] == frames.READY and self.giver.ready():
                    try:
                        self.channel.say_now(frames.YOURS)
                    except OSError:
                        self.giver.unsaid()
                        raise
        except (frames.Noise, OSError) as error:
            self.log("upgrade", "the other process was lost", why=described(error))
        if self.giver.owns:
            self.giver.lost()
            self.channel.close()
            self.channel = None
            self.log("upgrade", "nobody took over, serving on", **NotTaken().fields)
            return False
        self.log(
            "upgrade",
            "replaced",
            by=self.channel.peer()[0],
            clients=len(offer.parts[0]),
            calls=len(offer.parts[1]),
            idle=len(offer.parts[2]),
        )
        self.close_harbour()
        offer.close()
        return True

    async def gone(self):
        """Returns once the process that took over has ended."""
        try:
            while await self.channel.hear():
                pass
        except (frames.Noise, OSError):
            pass
        self.channel.close()
        self.channel = None
        self.giver.lost()

    def close_harbour(self):
        if self.harbour:
            self.listening.cancel()
            self.harbour.close()
            self.harbour = None


async def begin(make, told, world):
    """The node of a process that owns its folder: at once, or from the process that has it now.

    `make(offer)` builds it.  Raises OSError when the folder is kept from us, by words or by silence."""
    taker = steps.Taker(world.clock.steady())
    while True:
        try:
            return make(None)
        except Taken as taken:
            refused = taken
        try:
            if node := await take(make, told, world, taker):
                return node
        except (frames.Noise, OSError) as error:
            if isinstance(error, Trouble):
                raise
        if steps.END in taker.lost(world.clock.steady()):
            raise refused
        await trio.sleep(AGAIN)


async def take(make, told, world, taker):
    """Ask the process that has the folder; None when it did not hand it over.

    Raises a `Trouble` for what will not change; what this process lacks itself is found out before it
    asks."""
    if taker.state != steps.ASKING:
        return None
    try:
        if told.management:
            world.network.bind(told.management).close()
    except OSError as error:
        raise system(error) from None
    channel, node = world.network.call(told.state), None
    try:
        with trio.move_on_after((taker.until - world.clock.steady()) / SEC):
            await channel.say(frames.HELLO, listen="{}:{}".format(*told.listen))
            heard = await channel.hear(whole=True)
            if heard and heard[0]["say"] == frames.REFUSED:
                raise Refusal(0, str(heard[0].get("why")), told.state)
            if heard and heard[0]["say"] == frames.OFFER and taker.offered():
                node = loaded(make, Offer.read(world, *heard))
                taker.loaded()
                await channel.say(frames.READY)
                heard = await channel.hear()
                if heard and heard[0]["say"] == frames.YOURS and taker.yours():
                    node.lock.name()
                    node.before, channel = channel, None  # kept open: its end tells that we are gone
                    return node
    finally:
        if channel:
            channel.close()
        if node and not taker.owns:
            node.let_go()
    return None


def loaded(make, offer):
    """The node made of an offer; if none can be, nothing of it is kept, and asking again is no use."""
    try:
        return make(offer)
    except OSError as error:
        offer.close()
        raise system(error) from None
    except BaseException:
        offer.close()
        raise
