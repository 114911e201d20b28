"""Follows discovery's list by a watch while the module wants it, and tells when that breaks."""

import json

import h11
import trio

from juniperlanding.choice import MS, SEC
from juniperlanding.net import protocol
from juniperlanding.net.line import connect

LIST_SHARE = 32  # of the memory, one part in so many may be a list's text: its objects take far more
LEAST_WAIT, MOST_WAIT = 1_000, 60_000  # milliseconds that a watch may ask for; the least is ours
BRIEF = 1  # milliseconds that a call after a failure may wait
LATE = 1.0  # seconds after a watch's wait to ask anew, before what it missed counts as told
REREAD = 4.0  # seconds until a list of which a part could not be read is asked for again, whole


class Discovery:
    def __init__(self, config, network, news, log):
        self.network, self.address, self.news, self.log = network, config.discovery, news, log
        self.kinds, self.zones, self.most_list = config.kinds, config.zones, config.memory // LIST_SHARE
        self.revision = config.known.get("revision")  # 0 is one too
        # Threat: a setting of nothing, where lists are pushed; and the platform is asked without end.
        wait = config.settings.get("must_ask_in", 20 * SEC) // MS
        self.wait = min(max(wait, LEAST_WAIT), MOST_WAIT)
        self.failed = False  # since the last good answer
        self.unread, self.reread_at = 0, float("inf")  # entries that could not be read; trio's time to ask
        known = protocol.entries(config.known.get("members", []), self.kinds, self.zones)
        self.last = {entry[0]: (entry, address) for entry, address in known}  # as each was last read
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
        begun = trio.current_time()
        whole = self.whole or self.revision is None or begun >= self.reread_at
        # Threat: a call after a failure is silent too, and may wait for long: what changed meanwhile counts
        # as told 6 s after discovery had it.  So the next is brief, and a watch follows once it is answered.
        wait = BRIEF if self.failed else int(min(self.wait, max((self.reread_at - begun) * 1000, BRIEF)))
        query = "" if whole else f"?index={self.revision}&wait={wait}"
        with trio.fail_after(LATE + (0 if whole else wait / 1000)):
            await line.send(
                h11.Request(method="GET", target=protocol.LIST + query, headers=[("Host", "discovery")]),
                h11.EndOfMessage(),
            )
            if (await line.answer()).status_code != 200:
                raise ValueError("no list")
            body = await line.rest(self.most_list)  # threat: it dribbles for as long as we would wait
        told = json.loads(body)
        if not isinstance(told, dict) or not isinstance(told.get("members"), list):
            raise ValueError("no list")
        revision, complete, failed = int(told["revision"]), bool(told.get("complete")), self.failed
        members = self.entries(told["members"], complete, whole)
        self.whole = self.failed = False
        if members or complete or failed:
            # Threat: quiet watches that work again leave the failures counted, and the next break waits long.
            await self.news("whole" if complete else "changes", members)
        before, self.revision = self.revision, revision
        if not (whole or failed) and before == self.revision:
            # Threat: a platform that answers at once with nothing new; the watch still goes on.
            await trio.sleep_until(begun + protocol.WATCH_GAP / 2)
        if line.reusable():
            line.next()
            return True
        return False

    def entries(self, told, complete, asked):
        """What can be read of a list; of an entry that cannot, what it was when it last could.

        Threat: an entry spoilt on its way; its endpoint would be gone, or stay in use though it drains."""
        members = protocol.entries(told, self.kinds, self.zones)
        read = {entry[0] for entry, _ in members}
        odd = [one for one in told if not (isinstance(one, dict) and str(one.get("id")) in read)]
        for one in odd:
            if isinstance(one, dict) and (known := self.last.get(str(one.get("id")))):
                entry, address = known
                state = protocol.STATES.get(str(one["phase"]), "draining") if "phase" in one else entry[-1]
                members.append(((*entry[:-1], state), address))
        if odd and len(odd) != self.unread:  # one line, however often it comes again
            self.log("list", "entries cannot be read", entries=len(odd))
        if odd:
            self.unread, self.reread_at = len(odd), trio.current_time() + REREAD
        elif complete or asked:
            self.unread, self.reread_at = 0, float("inf")
        last = ({} if complete else self.last) | {one[0][0]: one for one in members}
        self.last = {name: one for name, one in last.items() if one[0][-1] != "gone"}
        return members
