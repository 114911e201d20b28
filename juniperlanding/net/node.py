"""One dispatcher from start to end: puts the parts together, and drains when it is asked to stop."""

from functools import partial

import trio

from juniperlanding.choice import SEC
from juniperlanding.ground import log as logs
from juniperlanding.ground.errors import system
from juniperlanding.ground.log import described
from juniperlanding.net import config, door, parts, protocol
from juniperlanding.net.clients import ROOM, Clients
from juniperlanding.net.counters import Counters
from juniperlanding.net.discovery import Discovery
from juniperlanding.net.endpoints import Endpoints
from juniperlanding.net.ledger import Damaged
from juniperlanding.net.notices import Notices
from juniperlanding.net.owner import Owner
from juniperlanding.net.succession import Offer, Succession

OTHER_FILES = 20  # descriptors for everything but the connections bounded here: 16 are in use, a few to spare
LAST_WORDS = 0.1  # seconds at the end in which nothing is taken on and the last answers leave
LAST_COME, LAST_ANSWERED = 0.03, 0.07  # of these, until nobody is accepted, and until no answer is waited for
LAST_LOOK = 0.005  # seconds between looks at whether they have
AGAIN = 0.25  # seconds until a ledger that could not be read is tried again
REREAD, MOST_REREAD = 0.25, 2.0  # seconds until a configuration that could not be read is tried again
CLIENT_SIZE = 2 * (protocol.MOST_BODY + protocol.MOST_HEAD)  # the most that a client's connection holds


def bounds(told):
    """How many connections clients and endpoints may have, so that neither limit is reached.

    Threat: calls to silent endpoints keep their connections for long; a client is answered at once."""
    left = max(12, told.sockets - OTHER_FILES - ROOM - (door.FILES if told.management else 0))
    return min(left // 3, max(8, told.memory // 4 // CLIENT_SIZE)), left - left // 3


class Node:
    """One dispatcher in a world.  Made, it has its address, its folder (OSError if one is not to be had) and
    its ledger; with an `offer`, it has them from the process before it, and changes nothing yet.

    Threat: a process that cannot listen has still rewritten the ledger; so the address comes first."""

    def __init__(self, told, world, log=None, offer=None):
        self.config, self.world, self.offer, self.before = told, world, offer, None
        self.counters = Counters(topic.get("name") for topic in told.settings["topic_types"])
        self.log = log or logs.to(told.name, world.clock, **told.log)
        self.rereads, self.reread_after, self.replaced = trio.CancelScope(), REREAD, False
        self.listener = self.lock = self.door = None
        self.stops_at = 0
        self.succession = Succession(told, world, self.log)
        self.parts = parts.made(self)
        try:
            self.claim(offer)
            if told.management:
                bound, asks = world.network.bind(told.management), parts.merged(self.parts, "asks", {})
                self.door = door.Door(bound, self.calls(), self.counters, self.log, asks)
            self.build(offer)
        except BaseException:
            self.release()
            raise

    def claim(self, offer=None):
        """Folder and address become ours."""
        if offer:
            self.lock, self.listener = offer.lock, offer.listener
        else:
            self.lock = self.world.files.lock(self.config.state)
            try:
                self.listener = self.world.network.bind(self.config.listen)
            except BaseException:
                self.lock.close()
                raise

    def build(self, offer=None):
        """The parts that serve, from what the folder holds."""
        told, world, common = self.config, self.world, (self.counters, self.log)
        if offer:
            offer.resume(world.clock)
        self.ledger = parts.books(told, world.files, bool(offer), world.clock)
        self.owner = owner = Owner(told, world.clock, self.ledger, *common)
        most_clients, self.most_calls = bounds(told)
        ended = partial(owner.tell, owner.finished)
        owner.endpoints = Endpoints(told, world, self.most_calls, ended, *common, owner.may_leave)
        owner.notices = Notices(world.network, told.discovery, partial(owner.tell, owner.end), *common)
        owner.discovery = Discovery(told, world.network, partial(owner.tell, owner.listed), self.log)
        self.clients = owner.clients = Clients(told, world.clock, most_clients, owner, *common)
        handed = offer.state.get("parts", {}) if offer else {}
        for part in self.parts:
            if part.section in handed:
                part.taken(handed[part.section])
            part.built(self)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled; while another process has taken over, stand by."""
        try:
            async with trio.open_nursery() as self.nursery:
                if self.door:
                    self.nursery.start_soon(self.door.listen, self.nursery)
                while True:
                    self.offer = await self.serve(task_status)
                    task_status = trio.TASK_STATUS_IGNORED
                    self.ledger.close()
                    if await self.succession.give(self.offer):
                        self.offer = None
                        await self.stand_by()
                    else:
                        await self.rebuild(self.offer)
        finally:
            self.release()

    async def serve(self, task_status):
        """Own the folder until another process asks for it; all that this process is then."""
        told, owner, listener = self.config, self.owner, self.listener
        listener.listen()
        known = protocol.entries(told.known.get("members", []), told.kinds, told.zones)
        await owner.tell(owner.begin, known, self.offer)
        self.offer = None
        if self.stops_at:  # threat: asked to stop while a hand-over came to nothing
            await owner.tell(owner.at.stopping, self.stops_at)
        if told.settings.get("list_mode") != "ask":
            # Threat: it asks before the first round has told it what the process before us had heard.
            await owner.tell(owner.discovery.subscribe, True)
        self.succession.open(self.nursery, self.freeze)
        self.log(
            "start",
            listening="{}:{}".format(*listener.address),
            endpoints=len(known),
            owed=len(self.ledger.owed),
            torn_records=self.ledger.skipped,
        )
        if self.ledger.not_rewritten:
            error = self.ledger.not_rewritten
            fields = system(error).fields
            self.log("ledger", "not rewritten at the start, goes on", why=described(error), **fields)
        if self.ledger.damaged:
            self.log("ledger", "records cannot be read", records=self.ledger.damaged, **Damaged().fields)
        async with trio.open_nursery() as nursery:
            for part in (owner.notices.run, owner.discovery.run, owner.endpoints.sweep):
                nursery.start_soon(part)
            nursery.start_soon(self.clients.listen, listener, nursery)
            for part in self.parts:
                nursery.start_soon(part.run)
            task_status.started(listener.address)
            await owner.run(nursery)
            made = Offer.made(self)
            nursery.cancel_scope.cancel()
        return made

    async def freeze(self, within):
        if not self.clients.closing:  # threat: the process ends before it has handed anything over
            await self.owner.tell(self.owner.freeze, within)

    async def stand_by(self):
        """Threat: the process that took over ends early; what it took on is in the folder."""
        self.replaced, self.lock, self.listener = True, None, None
        await self.succession.gone()
        said = None
        while True:
            try:
                self.claim()
                break
            except OSError as error:  # a third process has it, or still has the address
                if said != (said := described(error)):
                    self.log(
                        "upgrade", "the folder stays with another process", why=said, **system(error).fields
                    )
                await trio.sleep(1)
        self.log("upgrade", "the process that took over is gone, serving again")
        await self.rebuild(None)
        self.replaced = False

    async def rebuild(self, offer):
        """Threat: the disk fails just as this process is the owner again; it is until it can be read."""
        said = None
        while True:
            try:
                return self.build(offer)
            except OSError as error:
                if said != (said := described(error)):
                    self.log("ledger", "cannot be read", why=said, **system(error).fields)
                await trio.sleep(AGAIN)

    def calls(self):
        """What operators may ask at the door."""
        return parts.merged(self.parts, "calls", {"READY": self.takes_clients, "STATS": self.figures})

    def load(self):
        """What others are told of this process: (owed, outstanding)."""
        return len(self.ledger.owed), self.owner.at.me.slots_out

    def takes_clients(self):
        if self.replaced:
            raise door.No("replaced")
        if not self.owner.ready or self.clients.draining:
            raise door.No("draining" if self.clients.draining else "starting")
        for part in self.parts:
            if why := part.unready():
                raise door.No(why)
        return []

    def figures(self):
        return [*self.counters.figures(**parts.merged(self.parts, "gauges", self.owner.gauges())), "--"]

    def release(self):
        """Address and folder are anybody's again."""
        for held in (self.listener, self.lock, self.door and self.door.listener, self.succession.harbour):
            if held:
                held.close()

    def let_go(self):
        """Give up what was offered: it stays with the process before us."""
        self.offer.close()
        self.ledger.close()
        if self.door:
            self.door.listener.close()

    def reload(self, read, said=None):
        """Move to the address that the replaced file names; what else it may change waits for a restart.

        `read` gives the configuration anew; `said`: what was logged of the try before.  Threat: the file is
        half written, or the disk fails for a moment, and the platform has moved for good; so it is tried
        again, with one line for as long as the same is wrong."""
        self.rereads.cancel()
        try:
            discovery = read().discovery
        except Exception as error:  # threat: a file half written or wrong must not end the program
            self.rereads = trio.CancelScope()
            if said != (why := described(error)):
                then = "tried again soon" if isinstance(error, OSError) else "the old one stays in force"
                self.log("config", f"cannot be read, {then}", why=why, **config.trouble(error).fields)
            return self.nursery.start_soon(self.reread, read, why, self.rereads)
        self.log("config", "read again", discovery="{}:{}".format(*discovery))
        if discovery != self.config.discovery:
            self.config.discovery = discovery
            self.owner.discovery.move(discovery)
            self.owner.notices.move(discovery)
        self.reread_after = REREAD
        for part in self.parts:
            part.reload()

    async def reread(self, read, said, scope):
        """Try a failed reload again: soon, then less and less often."""
        with scope:
            await trio.sleep(self.reread_after)
            self.reread_after = min(2 * self.reread_after, MOST_REREAD)
        if not scope.cancelled_caught:
            self.reload(read, said)

    def enter(self, phase):
        """Tell the parts; those of a process that was replaced say nothing any more."""
        for part in [] if self.replaced else self.parts:
            part.enter(phase)

    async def drain(self):
        """Serve on for as long as the platform lets us; what is taken on meanwhile stays in the ledger.

        Clients are sent away once only their own patience is left, so that each still gets its answer.  It
        ends earlier when nobody comes and nothing is owed."""
        begun = trio.current_time()
        self.enter("draining")
        self.log("stop", "draining", held=len(self.owner.held))
        until = protocol.KILL_AFTER - protocol.PATIENCE / 4
        with trio.move_on_after(until - LAST_WORDS):
            if not self.replaced:
                self.stops_at = self.world.clock.now() + int(until * SEC)
                await self.owner.tell(self.owner.at.stopping, self.stops_at)
            while not self.replaced and (
                self.clients.open or self.ledger.owed or trio.current_time() < begun + protocol.PATIENCE
            ):
                if trio.current_time() > begun + protocol.KILL_AFTER - protocol.PATIENCE:
                    self.clients.drain()
                await trio.sleep(0.02)
        self.clients.refuse()
        with trio.move_on_after(LAST_WORDS):
            await self.last_words()

    async def last_words(self):
        """The last answers, and then the last round.

        Threats: what ended just now is told, but not written down; one client that says nothing, or reads
        nothing, is waited for until we are cut off."""
        with trio.move_on_after(LAST_ANSWERED):
            await self.last_answers()
        if self.replaced or self.owner.frozen:
            return
        await self.clients.close(self.listener)  # threat: on a loaded machine it had no time for that above
        await self.owner.tell(self.owner.park)
        await self.owner.parked.wait()
        await self.owner.endpoints.withdraw()

    async def last_answers(self):
        """Threats: a connection stands in the backlog and is reset with its request; they come without end; a
        yes is in the ledger, and its client's connection ends unanswered."""
        came, closes_at = -1, trio.current_time() + LAST_COME
        while came != self.clients.came and trio.current_time() < closes_at:
            came = self.clients.came
            await trio.sleep(LAST_LOOK)
        if self.replaced or self.owner.frozen:
            return
        await self.clients.close(self.listener)
        while self.clients.busy() or self.clients.waiting:
            self.clients.drain()
            await trio.sleep(LAST_LOOK)

    def close(self):
        """The end; whether all that is owed could be written down."""
        self.enter("leaving")
        if not self.replaced and not self.owner.frozen:
            self.clients.count_unanswered()
            self.owner.hear_out()
        try:
            self.ledger.close()
        except OSError as error:
            self.log(
                "stop",
                "the last records could not be written",
                why=described(error),
                records=len(self.ledger.pending),
                **system(error).fields,
            )
        self.log("stop", "what is owed stays in the ledger", owed=len(self.ledger.owed), **self.counters)
        return not self.ledger.pending
