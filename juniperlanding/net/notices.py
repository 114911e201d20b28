"""Posts outcome notices, which report ends without delivery, until the platform has accepted each of them."""

import json

import h11
import trio

from juniperlanding.net import protocol
from juniperlanding.net.line import connect

MAX_BATCH = 64  # notices in a post
ANSWER_TIMEOUT = 0.15  # seconds for an answer, doubled after each post without one
MAX_ANSWER_TIMEOUT = 2.4
RETRY_PAUSE = 0.05  # seconds between two posts of which the first failed
HEDGE_AFTER = 0.1  # seconds without an answer until the same is posted over another new connection, too


class Notices:
    """The notices that are due, and the task that posts them."""

    def __init__(self, network, address, on_posted, counters, log):
        self.network = network
        self.address = address
        self.on_posted = on_posted
        self.counters = counters
        self.log = log
        # due: id -> (outcome, milliseconds until a retry), oldest first; connection: the one that is kept
        self.due, self.added, self.connection = {}, trio.Event(), None
        self.batch_limit = MAX_BATCH
        self.answer_timeout = ANSWER_TIMEOUT  # seconds for the next answer
        self.rejected_alone = set()  # those due that the platform could not read even when posted alone

    def add(self, ntf_id, outcome, retry_ms):
        self.due[ntf_id] = outcome, retry_ms
        self.added.set()

    def move(self, address):
        """Post to another address from the next attempt on; a post in flight that gets no answer is repeated
        there."""
        self.address = address
        self.answer_timeout = ANSWER_TIMEOUT
        if self.connection:
            self.close(self.connection, "moved")
            self.connection = None

    async def run(self):
        while True:
            while self.due:
                status, posted = await self.post()
                if status == 204:
                    await self.confirm(posted)
                    continue
                if status != 400 or not self.reduce_batch(posted):
                    await trio.sleep(RETRY_PAUSE)
            self.added = trio.Event()
            await self.added.wait()

    async def confirm(self, posted):
        """Count and pass on the notices that the platform has accepted."""
        self.batch_limit, self.answer_timeout = min(2 * self.batch_limit, MAX_BATCH), ANSWER_TIMEOUT
        self.counters["notices_posted"] += len(posted)
        for ntf_id in posted:
            self.due.pop(ntf_id, None)
            self.rejected_alone.discard(ntf_id)
        for ntf_id in posted:
            await self.on_posted(ntf_id)

    def reduce_batch(self, posted):
        """After a post that the platform could not read: whether the next one is smaller and may go at once.

        One unreadable notice would otherwise hold up all others. Halving the batch finds it; it is then
        posted alone, after the others."""
        if len(posted) > 1:
            self.batch_limit = len(posted) // 2
            return True
        self.batch_limit = MAX_BATCH
        self.rejected_alone.add(posted[0])
        self.due[posted[0]] = self.due.pop(posted[0])
        return False

    def next_batch(self):
        """The ids that go in the next post: the oldest; those rejected alone go alone, after the others."""
        batch = []
        for ntf_id in self.due:
            if ntf_id not in self.rejected_alone:
                batch.append(ntf_id)
                if len(batch) == self.batch_limit:
                    break
        return batch or [next(iter(self.due))]

    async def post(self):
        """The answer's status (0: none came) and the ids that it answers.

        A notice is due within 300 ms, and a connection may be dead or never come up; or the platform may
        answer late. So one attempt may last longer each time, and beside it short ones follow each other over
        new connections, each with all that is due by then. That makes two connections at most."""
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.post_with_growing_timeout, answers, nursery.cancel_scope)
            await trio.sleep(HEDGE_AFTER)
            while True:
                started = trio.current_time()
                with trio.move_on_after(HEDGE_AFTER):
                    await self.post_once(None, answers)
                if answers:
                    nursery.cancel_scope.cancel()
                await trio.sleep_until(started + HEDGE_AFTER)
        return answers[0] if answers else (0, [])

    async def post_with_growing_timeout(self, answers, scope):
        connection, self.connection = self.connection, None
        if connection and not connection.has_nothing_unread():
            connection = self.close(connection, "closed_by_platform")
        with trio.move_on_after(self.answer_timeout):
            await self.post_once(connection, answers)
        if not answers:
            self.answer_timeout = min(2 * self.answer_timeout, MAX_ANSWER_TIMEOUT)
        scope.cancel()

    async def post_once(self, connection, answers):
        """Post what is due over a connection, or a new one, which is kept if it can be used again."""
        batch, address, reason = self.next_batch(), self.address, "silent"
        body = b"".join(self.encode(ntf_id, *self.due[ntf_id]) for ntf_id in batch)
        try:
            connection = connection or await connect(self.network, address)
            status, reason = await self.exchange(connection, body), "not_kept"
            if not answers:
                answers.append((status, batch))
            if connection.reusable() and status == 204 and not self.connection and address == self.address:
                connection.next()
                self.connection, connection = connection, None
        except Exception as error:  # an unexpected answer must not end the process, or this task
            reason = type(error).__name__
        finally:
            if connection:
                self.close(connection, reason)

    @staticmethod
    def encode(ntf_id, outcome, retry_ms):
        notice = {"message": ntf_id, "outcome": outcome}
        if retry_ms:
            notice["retry_in_ms"] = retry_ms
        return json.dumps(notice, separators=(",", ":")).encode() + b"\n"

    async def exchange(self, connection, body):
        headers = [
            ("Host", "platform"),
            ("Content-Type", "application/x-ndjson"),
            ("Content-Length", str(len(body))),
        ]
        await connection.send(
            h11.Request(method="POST", target=protocol.REPORTS_PATH, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        answer = await connection.read_response_head()
        await connection.read_response_body(protocol.MAX_BODY)
        return answer.status_code

    def close(self, connection, reason):
        connection.close()
        self.log("conn", peer="platform", end=reason)
