"""Ends without delivery, posted to the platform until it has taken each of them."""

import json
from collections import deque

import h11
import trio

from juniperlanding.net import protocol
from juniperlanding.net.line import connect

TOGETHER = 64  # notices in a post
PATIENCE, MOST_PATIENCE, PAUSE = 0.15, 2.4, 0.05  # seconds for an answer, doubled each time; between tries


class Notices:
    def __init__(self, network, address, taken, counters, log):
        self.network = network
        self.address, self.taken, self.counters, self.log = address, taken, counters, log
        self.due, self.news, self.line = deque(), trio.Event(), None
        self.moved = False
        self.together, self.patience = TOGETHER, PATIENCE

    def add(self, ntf_id, outcome, retry_ms):
        self.due.append((ntf_id, outcome, retry_ms))
        self.news.set()

    def move(self, address):
        """From the next post on: what is under way may still be answered, and is posted anew if it is not."""
        self.address, self.moved, self.patience = address, True, PATIENCE

    async def run(self):
        while True:
            while self.due:
                if not await self.post([self.due[i] for i in range(min(self.together, len(self.due)))]):
                    await trio.sleep(PAUSE)
            self.news = trio.Event()
            await self.news.wait()

    async def post(self, some):
        body = b"".join(self.text(*notice) for notice in some)
        status, reason = 0, "silent"
        try:
            # Threat: a dead connection to the platform, and the notice's time is up in 300 ms.
            with trio.move_on_after(self.patience):
                status, reason = await self.exchange(body), "refused"
        except Exception as error:  # threat: an odd answer must not end the program, nor the notices
            reason = type(error).__name__
        if status == 204:
            self.counters["notices_posted"] += len(some)
            for ntf_id, _, _ in some:
                self.due.popleft()
                await self.taken(ntf_id)
            self.together, self.patience = TOGETHER, PATIENCE
            return True
        self.drop(f"{reason}_{status}")
        self.patience = min(2 * self.patience, MOST_PATIENCE)
        if status == 400:
            # Threat: one that cannot be read holds up all the others; singly, and it goes to the end.
            if self.together == 1:
                self.due.rotate(-1)
            self.together = 1
        return False

    @staticmethod
    def text(ntf_id, outcome, retry_ms):
        notice = {"message": ntf_id, "outcome": outcome}
        if retry_ms:
            notice["retry_in_ms"] = retry_ms
        return json.dumps(notice, separators=(",", ":")).encode() + b"\n"

    async def exchange(self, body):
        if self.line and (self.moved or not self.line.quiet()):
            self.drop("moved" if self.moved else "closed_by_platform")
        self.moved = False
        if not self.line:
            self.line = await connect(self.network, self.address)
        line = self.line
        headers = [("Host", "platform"), ("Content-Type", "application/x-ndjson"),
                   ("Content-Length", str(len(body)))]
        await line.send(h11.Request(method="POST", target=protocol.NOTICES, headers=headers),
                        h11.Data(data=body), h11.EndOfMessage())
        answer = await line.answer()
        await line.body(protocol.MOST_BODY)
        if line.reusable():
            line.next()
        else:
            self.drop("not_kept")
        return answer.status_code

    def drop(self, reason):
        if self.line:
            self.line.close()
            self.line = None
            self.log("conn", peer="platform", end=reason)
