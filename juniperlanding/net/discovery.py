"""Follows discovery's list by a watch while the module wants it, and tells when that breaks."""

import json

import h11
import trio

from juniperlanding.choice import MS, SEC
from juniperlanding.net import protocol
from juniperlanding.net.line import connect

LIST_SHARE = 32  # of the memory, one part in so many may be a list's text: its objects take far more
MOST_WAIT = 60_000  # milliseconds that a watch may ask for
LATE = 1.0  # seconds after a watch's wait to ask anew, before what it missed counts as told


class Discovery:
    def __init__(self, config, network, news, log):
        self.network, self.address, self.news, self.log = network, config.discovery, news, log
        self.kinds, self.zones, self.most_list = config.kinds, config.zones, config.memory // LIST_SHARE
        self.revision = config.known.get("revision")  # 0 is one too
        self.wait = min(config.settings.get("must_ask_in", 20 * SEC) // MS, MOST_WAIT)
        self.failed = False  # since the last good answer
        self.wanted, self.whole, self.on, self.scope = trio.Event(), False, False, trio.CancelScope()

    def inherit(self, revision, address):
        """Go on where another process of ours stopped following; another address may number otherwise."""
        self.revision, self.whole = revision, tuple(address) != self.address

    def subscribe(self, on):
        self.on = on
        if on:
            self.wanted.set()
        else:
            self.wanted = trio.Event()

    def fetch(self):
        self.whole = True
        self.wanted.set()

    def move(self, address):
        """Ask anew there, at once: the whole list, since another address may number its lists in its own way.

        A watch that was under way told nothing yet, or is told again by that list."""
        self.address = address
        self.scope.cancel()
        self.anew()

    def anew(self):
        self.whole = True
        if self.on:
            self.wanted.set()  # threat: the old address failed, and the pause before asking again is long

    async def run(self):
        while True:
            await self.wanted.wait()
            with trio.CancelScope() as self.scope:
                await self.follow()
            if self.scope.cancelled_caught:
                self.anew()  # threat: what was being read when it moved has undone it

    async def follow(self):
        line, reason = None, "not_wanted"
        try:
            while self.wanted.is_set():
                if line and not line.quiet():
                    line.close()
                    line = None
                line = line or await self.connected()
                if not await self.ask(line):
                    line.close()
                    line = None
        except trio.Cancelled:
            reason = "moved" if self.scope.cancel_called else "stopped"
            raise
        except Exception as error:  # threat: an odd list must not end the program, nor the watch for good
            reason = type(error).__name__
            self.wanted, self.failed = trio.Event(), True
            await self.news("failed", [])
        finally:
            if line:
                line.close()
            self.log("conn", peer="discovery", end=reason)

    async def connected(self):
        with trio.fail_after(LATE):
            return await connect(self.network, self.address)

    async def ask(self, line):
        """One watch, or the whole list; tells whether the connection can be used again."""
        whole = self.whole or self.revision is None
        query = "" if whole else f"?index={self.revision}&wait={self.wait}"
        with trio.fail_after(LATE + (0 if whole else self.wait / 1000)):
            await line.send(h11.Request(method="GET", target=protocol.LIST + query,
                                        headers=[("Host", "discovery")]), h11.EndOfMessage())
            if (await line.answer()).status_code != 200:
                raise ValueError("no list")
            body = await line.body(self.most_list)
        told, self.whole = json.loads(body), False
        if not isinstance(told, dict) or not isinstance(told.get("members"), list):
            raise ValueError("no list")
        revision = int(told["revision"])
        members = protocol.entries(told["members"], self.kinds, self.zones)
        if len(members) < len(told["members"]):
            self.log("list", "entries cannot be read", entries=len(told["members"]) - len(members))
        if members or told.get("complete") or self.failed:
            # Threat: quiet watches that work again leave the failures counted, and the next break waits long.
            self.failed = False
            await self.news("whole" if told.get("complete") else "changes", members)
        before, self.revision = self.revision, revision
        if not whole and before == self.revision:
            # Threat: a platform that answers at once with nothing new; the watch still goes on.
            await trio.sleep(protocol.WATCH_GAP / 2)
        if line.reusable():
            line.next()
            return True
        return False
