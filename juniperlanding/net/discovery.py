"""Follows discovery's list of endpoints by long polls (watches) while the decision module asks for it."""

import json

import h11
import trio

from juniperlanding.choice import MS, SEC
from juniperlanding.net import protocol
from juniperlanding.net.line import connect

LIST_MEMORY_SHARE = 32  # a list's text may be 1/32 of the memory, since its objects take far more
MIN_WATCH_MS = 1_000  # least wait of a watch; our own bound
MAX_WATCH_MS = 60_000  # longest wait that a watch may ask for
RETRY_WATCH_MS = 1  # wait of a call after a failure
# Seconds that a connect may take, or an answer beyond its watch's wait. The next call then comes before the
# changes that this one missed count as known here.
ANSWER_MARGIN = 1.0
LATE_ANSWER_TIMEOUT = 2.0  # seconds for which an answer is still read after the next call has begun
REREAD_DELAY = 4.0  # seconds until a list with unreadable entries is asked for again as a whole


class Discovery:
    def __init__(self, config, network, on_news, log):
        self.network = network
        self.address = config.discovery
        self.on_news = on_news
        self.log = log
        self.kinds = config.kinds
        self.zones = config.zones
        self.max_list_size = config.memory // LIST_MEMORY_SHARE
        self.revision = config.known_endpoints.get("revision")  # may be 0
        # The setting may be 0 where lists are pushed; the platform would then be asked without pause.
        wait = config.settings.get("must_ask_in", 20 * SEC) // MS
        self.watch_ms = min(max(wait, MIN_WATCH_MS), MAX_WATCH_MS)
        self.has_failed = False  # since the last good answer
        self.is_confirmed = False  # whether it has answered since the start
        self.late_scope, self.late_connection = trio.CancelScope(), None  # of the answer that comes late
        # How many entries could not be read, and trio's time to ask for the whole list again.
        self.unreadable_count, self.reread_at = 0, float("inf")
        known = protocol.parse_members(config.known_endpoints.get("members", []), self.kinds, self.zones)
        self.last_read = {entry[0]: (entry, address) for entry, address in known}  # by endpoint
        # wanted: set while the list is to be followed or fetched; wants_whole_list: the next call asks for
        # the whole list; on: the decision module is subscribed; scope: of the call under way.
        self.wanted, self.wants_whole_list, self.on, self.scope = (
            trio.Event(),
            False,
            False,
            trio.CancelScope(),
        )

    def inherit(self, revision, address):
        """Continue where another process stopped; another address may number its revisions differently."""
        self.revision, self.wants_whole_list = revision, tuple(address) != self.address

    def subscribe(self, on):
        self.on = on
        if on:
            self.wanted.set()
        else:
            self.wanted = trio.Event()

    def fetch(self):
        self.wants_whole_list = True
        self.wanted.set()

    def move(self, address):
        """Ask a new address for the whole list at once, as it may number its revisions differently.

        A watch under way is cancelled; the whole list has all that it could have reported."""
        self.address = address
        self.scope.cancel()
        self.request_whole_list()

    def request_whole_list(self):
        self.wants_whole_list = True
        if self.on:
            self.wanted.set()  # don't wait for the end of a long pause after failures of the old address

    async def run(self):
        async with trio.open_nursery() as self.nursery:
            while True:
                await self.wanted.wait()
                with trio.CancelScope() as self.scope:
                    await self.follow()
                if self.scope.cancelled_caught:
                    # An answer processed during the move may have reset the request.
                    self.request_whole_list()

    async def follow(self):
        connection = None
        reason = "not_wanted"
        try:
            while self.wanted.is_set():
                if connection and not connection.has_nothing_unread():
                    connection.close()
                    connection = None
                connection = connection or await self.connect()
                if not await self.poll(connection):
                    connection.close()
                    connection = None
        except trio.Cancelled:
            reason = "moved" if self.scope.cancel_called else "stopped"
            raise
        except Exception as error:  # a malformed list must end neither the program nor the watch for good
            reason = type(error).__name__
            self.wanted, self.has_failed = trio.Event(), True
            await self.on_news("failed", [])
        finally:
            if connection and connection is not self.late_connection:
                connection.close()
            self.log("conn", peer="discovery", end=reason)

    async def connect(self):
        with trio.fail_after(ANSWER_MARGIN):
            connection = await connect(self.network, self.address)
        connection.max_message_bytes = 2 * (self.max_list_size + protocol.MAX_HEAD)
        return connection

    async def poll(self, connection):
        """Make one watch, or fetch the whole list; whether the connection can be used again."""
        begun = trio.current_time()
        whole = self.wants_whole_list or self.revision is None or begun >= self.reread_at
        # A call after a failure may go unanswered too. With a long wait that would be noticed too late, since
        # a change counts as known here 6 s after discovery has it; so the wait is short, and a watch follows
        # once the call is answered.
        # The first call is short as well: calls to endpoints wait until the list is confirmed.
        is_short = self.has_failed or not self.is_confirmed
        wait = (
            RETRY_WATCH_MS
            if is_short
            else int(min(self.watch_ms, max((self.reread_at - begun) * 1000, RETRY_WATCH_MS)))
        )
        query = "" if whole else f"?index={self.revision}&wait={wait}"
        is_sent = False
        try:
            with trio.fail_after(ANSWER_MARGIN + (0 if whole else wait / 1000)):
                await connection.send(
                    h11.Request(
                        method="GET", target=protocol.MEMBERS_PATH + query, headers=[("Host", "discovery")]
                    ),
                    h11.EndOfMessage(),
                )
                is_sent = True
                answer = await self.read_answer(connection)
        except trio.TooSlowError:
            if is_sent and (whole or is_short):
                self.await_late_answer(connection, whole)
            raise
        before = self.revision
        await self.take_answer(answer, whole, is_short)
        if not (whole or is_short) and before == self.revision:
            # A platform may answer at once with nothing new; this pause is short enough to keep the watch.
            await trio.sleep_until(begun + protocol.MAX_WATCH_GAP / 2)
        if connection.reusable():
            connection.next()
            return True
        return False

    async def read_answer(self, connection):
        """The list in discovery's answer, an object; ValueError for any other answer."""
        is_head_read = connection.http.their_state is h11.SEND_BODY  # before the time for it was over
        if not is_head_read and (await connection.read_response_head()).status_code != 200:
            raise ValueError("discovery did not answer with status 200")
        # The body has 1 s of its own, however long the watch.
        answer = json.loads(await connection.read_response_body(self.max_list_size))
        if not isinstance(answer, dict) or not isinstance(answer.get("members"), list):
            raise ValueError("discovery's answer has no list of members")
        return answer

    async def take_answer(self, answer, whole, is_short):
        """Pass a list on; whole: it was asked for as a whole, is_short: without a wait."""
        revision = int(answer["revision"])
        complete = bool(answer.get("complete"))
        members = self.read_members(answer["members"], complete, whole)
        self.wants_whole_list, self.has_failed, self.is_confirmed = False, False, True
        if members or complete or is_short:
            # Also without changes, the first time and if calls failed before: the list is confirmed, and the
            # decision module would otherwise keep counting the failures, and wait long after the next one.
            await self.on_news("whole" if complete else "changes", members)
        self.revision = revision

    def await_late_answer(self, connection, whole):
        """Go on reading an answer while the next call is made: discovery that is merely slow is heard too."""
        self.late_scope.cancel()  # one at a time
        self.late_scope, self.late_connection = trio.CancelScope(), connection
        self.nursery.start_soon(self.take_late_answer, connection, whole, self.address, self.late_scope)

    async def take_late_answer(self, connection, whole, address, scope):
        """Take an answer that comes late, unless discovery has moved or a newer list has come meanwhile."""
        begun_at = self.revision
        try:
            with scope, trio.move_on_after(LATE_ANSWER_TIMEOUT):
                answer = await self.read_answer(connection)
                if address == self.address and self.revision == begun_at:
                    await self.take_answer(answer, whole, is_short=True)
        except Exception as error:  # as in `follow`
            self.log("conn", peer="discovery", end=type(error).__name__)
        finally:
            connection.close()

    def read_members(self, members, complete, is_whole):
        """The entries and addresses of a list's members; for an unreadable one, as it last could be read.

        If a member that is corrupted in transit were left out, its endpoint would count as gone, or stay in
        use although it drains."""
        found = protocol.parse_members(members, self.kinds, self.zones)
        read = {entry[0] for entry, _ in found}
        unreadable = [one for one in members if not (isinstance(one, dict) and str(one.get("id")) in read)]
        for one in unreadable:
            if isinstance(one, dict) and (known := self.last_read.get(str(one.get("id")))):
                entry, address = known
                state = (
                    protocol.PHASE_STATES.get(str(one["phase"]), "draining") if "phase" in one else entry[-1]
                )
                found.append(((*entry[:-1], state), address))
        if unreadable and len(unreadable) != self.unreadable_count:  # once for each number
            self.log("list", "entries cannot be read", entries=len(unreadable))
        if unreadable:
            self.unreadable_count, self.reread_at = len(unreadable), trio.current_time() + REREAD_DELAY
        elif complete or is_whole:
            self.unreadable_count, self.reread_at = 0, float("inf")
        last_read = ({} if complete else self.last_read) | {one[0][0]: one for one in found}
        self.last_read = {name: one for name, one in last_read.items() if one[0][-1] != "gone"}
        return found
