"""Ends without delivery, posted to the platform until it has taken each of them."""

import json

import h11
import trio

from juniperlanding.net import protocol
from juniperlanding.net.line import connect

TOGETHER = 64  # notices in a post
PATIENCE, MOST_PATIENCE, PAUSE = 0.15, 2.4, 0.05  # seconds for an answer, doubled each time; between tries
BRIEF = 0.1  # seconds without an answer until the same goes over a new connection too, each time anew


class Notices:
    def __init__(self, network, address, taken, counters, log):
        self.network = network
        self.address, self.taken, self.counters, self.log = address, taken, counters, log
        self.due, self.news, self.line = {}, trio.Event(), None  # due: id -> (outcome, retry), oldest first
        self.together, self.patience = TOGETHER, PATIENCE
        self.unreadable = set()  # of those due, what was refused when it was posted alone

    def add(self, ntf_id, outcome, retry_ms):
        self.due[ntf_id] = outcome, retry_ms
        self.news.set()

    def move(self, address):
        """From the next try on: what is under way may still be answered, and is posted anew if it is not."""
        self.address, self.patience = address, PATIENCE
        if self.line:
            self.end(self.line, "moved")
            self.line = None

    async def run(self):
        while True:
            while self.due:
                status, posted = await self.post()
                if status == 204:
                    await self.settle(posted)
                    continue
                if status != 400 or not self.parted(posted):
                    await trio.sleep(PAUSE)
            self.news = trio.Event()
            await self.news.wait()

    async def settle(self, posted):
        self.together, self.patience = min(2 * self.together, TOGETHER), PATIENCE
        self.counters["notices_posted"] += len(posted)
        for ntf_id in posted:
            self.due.pop(ntf_id, None)
            self.unreadable.discard(ntf_id)
        for ntf_id in posted:
            await self.taken(ntf_id)

    def parted(self, posted):
        """Whether less goes in the next post, after one that could not be read.

        Threat: one such holds up all the others; so they go in halves, and it alone, after them."""
        if len(posted) > 1:
            self.together = len(posted) // 2
            return True
        self.together = TOGETHER
        self.unreadable.add(posted[0])
        self.due[posted[0]] = self.due.pop(posted[0])
        return False

    def next(self):
        """The ids that go in the next post: the oldest, but what was refused alone goes alone, and last."""
        some = []
        for ntf_id in self.due:
            if ntf_id not in self.unreadable:
                some.append(ntf_id)
                if len(some) == self.together:
                    break
        return some or [next(iter(self.due))]

    async def post(self):
        """The answer's status (0: none came) and the ids that it answers.

        Threat: a connection that is dead, or never comes up, and the notices' time is up in 300 ms; or a
        platform that answers late.  So one try may last longer each time, and beside it brief ones follow
        each other over new connections, each with all that is due by then: two connections at most."""
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.patient, answers, nursery.cancel_scope)
            await trio.sleep(BRIEF)
            while True:
                begun = trio.current_time()
                with trio.move_on_after(BRIEF):
                    await self.attempt(None, answers)
                if answers:
                    nursery.cancel_scope.cancel()
                await trio.sleep_until(begun + BRIEF)
        return answers[0] if answers else (0, [])

    async def patient(self, answers, scope):
        line, self.line = self.line, None
        if line and not line.quiet():
            line = self.end(line, "closed_by_platform")
        with trio.move_on_after(self.patience):
            await self.attempt(line, answers)
        if not answers:
            self.patience = min(2 * self.patience, MOST_PATIENCE)
        scope.cancel()

    async def attempt(self, line, answers):
        """Post what is due over a connection, or a new one, which is kept if it can be used again."""
        some, address, reason = self.next(), self.address, "silent"
        body = b"".join(self.text(ntf_id, *self.due[ntf_id]) for ntf_id in some)
        try:
            line = line or await connect(self.network, address)
            status, reason = await self.exchange(line, body), "not_kept"
            if not answers:
                answers.append((status, some))
            if line.reusable() and status == 204 and not self.line and address == self.address:
                line.next()
                self.line, line = line, None
        except Exception as error:  # threat: an odd answer must not end the program, nor the notices
            reason = type(error).__name__
        finally:
            if line:
                self.end(line, reason)

    @staticmethod
    def text(ntf_id, outcome, retry_ms):
        notice = {"message": ntf_id, "outcome": outcome}
        if retry_ms:
            notice["retry_in_ms"] = retry_ms
        return json.dumps(notice, separators=(",", ":")).encode() + b"\n"

    async def exchange(self, line, body):
        headers = [
            ("Host", "platform"),
            ("Content-Type", "application/x-ndjson"),
            ("Content-Length", str(len(body))),
        ]
        await line.send(
            h11.Request(method="POST", target=protocol.NOTICES, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        answer = await line.answer()
        await line.rest(protocol.MOST_BODY)
        return answer.status_code

    def end(self, line, reason):
        line.close()
        self.log("conn", peer="platform", end=reason)
