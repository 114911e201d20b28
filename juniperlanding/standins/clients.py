"""Stand-in clients: an open loop of requests whose times were drawn before, each waiting 400 ms for its
answer."""

from dataclasses import dataclass
from random import Random

import trio

from juniperlanding.standins.peers import read_message
from juniperlanding.standins.temper import MS, SEC

PATIENCE = 0.4  # seconds for an answer


@dataclass(slots=True)
class Topic:
    """A topic type as `try` offers it; `share` of the traffic."""

    name: str
    kind: str
    objective: int
    ttl: int
    share: float
    window: int = 0


TOPICS = (
    Topic("news", "repeatable", 500 * MS, 4 * SEC, 0.5),
    Topic("status", "collapsible", 400 * MS, 3 * SEC, 0.2, 1500 * MS),
    Topic("order", "once-only", SEC, 4 * SEC, 0.3),
)


def arrivals(seed, rate, length, destinations):
    """(at, topic, destination, size) in order of time, a Poisson stream of `rate` a second for `length`
    ns."""
    times, kinds, places = (Random(f"{seed}/{concern}") for concern in ("times", "kinds", "places"))
    at, found = 0.0, []
    while (at := at + times.expovariate(rate) * SEC) < length:
        topic = kinds.choices(TOPICS, [topic.share for topic in TOPICS])[0]
        found.append((int(at), topic, places.choice(destinations), places.randrange(40, 600)))
    return found


class Clients:
    """told: called with (id, sent_at, heard_at, status, number of the policy or None) of each answer."""

    def __init__(self, address, audit, now, run, patience=PATIENCE, told=None):
        self.address, self.audit, self.now, self.run_name = address, audit, now, run
        self.patience, self.told = patience, told
        self.idle, self.count, self.late = [], 0, 0  # late: nanoseconds that the loop was behind at most

    async def load(self, coming):
        """Hand each in at its time, whatever the answers do."""
        begun = self.now()
        async with trio.open_nursery() as nursery:
            for at, topic, destination, size in coming:
                await trio.sleep(max(0, begun + at - self.now()) / SEC)
                self.late = max(self.late, self.now() - begun - at)
                self.count += 1
                nursery.start_soon(self.submit, f"{self.run_name}-{self.count}", topic, destination, size)

    async def submit(self, ntf_id, topic, destination, size):
        self.audit.handed_in(ntf_id, topic.name, destination, topic.kind, topic.ttl)
        key = f"Idempotency-Key: k-{ntf_id}\r\n" if topic.kind == "collapsible" else ""
        text = (
            f"POST /api HTTP/1.1\r\nHost: api\r\nX-Trace-Id: {ntf_id}\r\nX-Qos: {topic.name}\r\n"
            f"X-Expires-In-Ms: {topic.ttl // MS}\r\nX-Addressing: dest={destination}\r\n{key}"
            f"Content-Length: {size}\r\n\r\n"
        ).encode() + b"x" * size
        status, number, sent_at = 0, None, self.now()
        with trio.move_on_after(self.patience):
            while self.idle and not status:
                # A kept connection that the dispatcher closed meanwhile: once more on another.
                status, number = await self.ask(self.idle.pop(), text)
            try:
                if not status:
                    status, number = await self.ask(await trio.open_tcp_stream(*self.address), text)
            except OSError:
                pass  # nobody listens: the dispatcher is down
        self.audit.answered(ntf_id, status)
        if self.told:
            self.told(ntf_id, sent_at, self.now(), status, number)

    def close(self):
        while self.idle:
            self.idle.pop().socket.close()

    async def ask(self, stream, text):
        """The status of one request's answer, 0 when the connection ended without one, and its policy's
        number."""
        kept = False
        try:
            await stream.send_all(text)
            answer = await read_message(stream, bytearray())
            kept = bool(answer) and answer[1].get("connection") != "close"
            return (int(answer[0].split()[1]), answer[1].get("x-policy-number")) if answer else (0, None)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return 0, None
        finally:
            if kept:
                self.idle.append(stream)
            else:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)
