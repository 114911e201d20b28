"""One dispatcher with a host that keeps what it was asked for."""

import json
import os
import time
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest
import trio
from known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary  # noqa: F401

from juniperlanding.choice import SEC, Dispatcher
from juniperlanding.ground.seams import Clock, System, real_system
from juniperlanding.net.config import read
from juniperlanding.net.node import Node
from juniperlanding.standins.peers import Far, Platform, http, member, read_message

TOPICS = [
    {"kind": "repeatable", "objective": 2 * SEC, "ttl": 20 * SEC, "benefit": 1, "late_share": 0.5},
    {
        "kind": "collapsible",
        "objective": 2 * SEC,
        "ttl": 20 * SEC,
        "benefit": 2,
        "window": 6 * SEC,
        "group": "all",
    },
    {"kind": "once-only", "objective": 2 * SEC, "ttl": 20 * SEC, "benefit": 5},
    {"kind": "repeatable", "objective": 2 * SEC, "ttl": 20 * SEC, "benefit": 1, "ordered": True},
]
REPEATABLE, COLLAPSIBLE, ONCE_ONLY, ORDERED = range(4)


class Host:
    """Answers to any request of the interface by writing it down."""

    def __init__(self):
        self.asked = []

    def __getattr__(self, name):
        return lambda *fields: self.asked.append((name, *fields))

    def all(self, name):
        return [fields for asked, *fields in self.asked if asked == name]


class Bed:
    """A dispatcher with one destination (number 1) and short words for what happens to it."""

    def __init__(self, endpoints=1, scale=50.0, **settings):
        self.host = Host()
        basic = {
            "rank": 0,
            "dispatchers": 2,
            "tick": 5_000_000,
            "scale_kind": "nominal",
            "slots": 20,
            "most_held": 100,
            "most_pushes": 6,
            "start_capacity": 0.2,
            "warm_within": 10 * SEC,
            "overload_factor": 2.0,
            "fall_within": 2 * SEC,
            "topic_types": TOPICS,
        }
        self.dispatcher = Dispatcher(self.host, basic | settings, seed=7, now=100 * SEC)
        self.dispatcher.start()
        self.dispatcher.update_endpoints(
            "cached", [(10 + n, 1, 0, scale, 0, "ready") for n in range(endpoints)]
        )
        self.count = 0

    @property
    def pushed(self):
        return self.host.all("push")

    def take(self, topic=REPEATABLE, destination=1, ttl=20, key=0):
        self.count += 1
        self.dispatcher.notification(
            self.count, topic, destination, ttl_at=self.dispatcher.now + int(ttl * SEC), key=key
        )
        return self.count

    def turn(self, after=0.0):
        self.dispatcher.now += int(after * SEC)
        self.dispatcher.decide()
        return len(self.pushed)

    def end(self, ntf, ending, after=0.1, number=0, **more):
        self.dispatcher.now += int(after * SEC)
        self.dispatcher.outcome(
            ntf, number, ending, latency=int(after * SEC), over=ending == "delivered", **more
        )

    def deliver(self, times=4, after=0.1, topic=REPEATABLE):
        for _ in range(times):
            ntf = self.take(topic)
            self.turn()
            self.end(ntf, "delivered", after)
            self.turn(1)

    def endpoint(self, number=10):
        return self.dispatcher.state.endpoints[number]


@pytest.fixture
def bed():
    return Bed()


# ---- loopback stand-ins for the parties that the dispatcher meets on sockets

WIRE = {
    "request_classes": [
        {"name": "news", "effect": "safe", "aim_ns": 2 * SEC, "deadline_ns": 20 * SEC, "worth": 1},
        {"name": "order", "effect": "unsafe", "aim_ns": 2 * SEC, "deadline_ns": 20 * SEC, "worth": 2},
        {
            "name": "pay",
            "effect": "keyed",
            "group": "all",
            "repeat_window_ns": 6 * SEC,
            "aim_ns": 2 * SEC,
            "deadline_ns": 20 * SEC,
            "worth": 2,
        },
    ],
    "models": ["m1", "m2"],
    "areas": ["a"],
    "weight_kind": "nominal",
    "n_instances": 1,
    "tick_ns": 5_000_000,
    "registry_mode": "push",
    "report": {"fields": ["x0", "x1"]},
    "family_info": {"workers": 20, "batch_by_kind": [1, 5], "routes_apart": [False, False]},
    "permissions": {
        "most_held": 50,
        "max_attempts": 6,
        "conn_idle_ns": 10 * SEC,
        "cancel": True,
        "connect_timeout_ns": SEC,
    },
    "safety": {"must_ask_in_ns": 10 * SEC, "start_capacity": 0.2, "warm_within_ns": 10 * SEC},
}


MOST_TAKEN = 5  # of what a scene may last, so much more at most for what the machine takes


class Even(trio.abc.Clock, trio.abc.Instrument):
    """A clock on which passes what a scene waits for and what it computes; one for its tasks and its parties.

    Threat: the machine is busy, and takes the processor from the whole process, or keeps it waiting for the
    disk, for longer than a licence or a TTL lasts; then it is the machine that the verdict is about."""

    def __init__(self):
        self.seen, self.ran, self.allowed, self.passed, self.held = 0.0, 0.0, 0.0, 0.0, 0
        self.origin, self.delays = time.time_ns(), {}  # process: seconds in which it could have run
        self.look()
        self.passed, self.began = 0.0, self.seen

    def look(self):
        """Count what passed since the last look: processor time of this thread, and what it meant to wait."""
        seen, ran = time.perf_counter(), time.thread_time()
        if not self.held:
            self.passed += min(seen - self.seen, ran - self.ran + self.allowed)
        self.seen, self.ran, self.allowed = seen, ran, 0.0
        return self.passed

    def stand_still(self, seconds):
        """So much passes at once, as for a process that its machine stops."""
        self.passed = self.look() + seconds

    def taken(self):
        """Seconds since the start that the machine took from this process, or from one that it started."""
        for place in Path(f"/proc/{os.getpid()}/task").glob("*/children"):
            self.follow(place)
        return max(time.perf_counter() - self.began - self.look(), *self.delays.values(), 0)

    def follow(self, place):
        """Threats: one ends meanwhile; a system that does not tell, with which nothing counts."""
        with suppress(OSError):
            for pid in place.read_text().split():
                self.delays[pid] = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / SEC
                self.follow(Path(f"/proc/{pid}/task/{pid}/children"))

    @asynccontextmanager
    async def within(self, seconds):
        """As `trio.fail_after`, for a scene that hangs: so much of the time that the machine left to it.

        What a program has to do in time, its scene says itself."""
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.end, scope, seconds)
                yield
                nursery.cancel_scope.cancel()
        if scope.cancelled_caught:
            raise trio.TooSlowError

    async def end(self, scope, seconds):
        begun, taken = trio.current_time(), self.taken()
        while trio.current_time() - begun < seconds + min(self.taken() - taken, MOST_TAKEN * seconds):
            await trio.sleep(0.1)
        scope.cancel()

    def before_io_wait(self, timeout):
        self.look()
        self.allowed = timeout

    def after_io_wait(self, timeout):
        self.look()

    def start_clock(self):
        self.look()

    def current_time(self):
        return self.look()

    def deadline_to_sleep_time(self, deadline):
        return deadline - self.look()

    def run(self, main):
        trio.run(main, clock=self, instruments=[self])

    def system(self, network, files):
        """A `System` whose clock this is, and whose disk takes no time beside the flow."""
        return System(Read(self), network, Quick(self, files))


class Read(Clock):
    def __init__(self, even):
        self.even, self.boot_id, self.epoch = even, "", even.origin

    def steady(self):
        return int(self.even.look() * SEC)

    def wall(self):
        return self.now()


class SetClock(Clock):
    """Shows what it is set to; `ahead`: of its own readings, the wall clock."""

    def __init__(self, at):
        self.at, self.ahead, self.boot_id, self.epoch = at, 0, "", 0

    def steady(self):
        return self.at

    def wall(self):
        return self.at + self.ahead


class Quick:
    """Files of which `run_in_thread` goes on while no time passes."""

    def __init__(self, even, files):
        self.even, self.files = even, files

    def __getattr__(self, name):
        return getattr(self.files, name)

    async def run_in_thread(self, what, *fields):
        self.even.look()
        self.even.held += 1
        try:
            return await self.files.run_in_thread(what, *fields)
        finally:
            self.even.look()
            self.even.held -= 1


class Site:
    """One dispatcher among stand-ins; `folder` is what lasts from one `start` to the next."""

    def __init__(self, folder):
        self.folder, self.limits, self.wire = folder, {"disk_mb": 3, "sockets": 256}, WIRE
        self.told = {}  # further keys of the platform's file
        self.lines, self.system = [], real_system()
        self.violations = 0  # that a scene with a defect put in wants to see

    def log(self, event, text="", **fields):
        self.lines.append((event, " ".join([text, *(f"{name}={value}" for name, value in fields.items())])))

    def run(self, scene, answer=lambda *message: http(200)):
        self.even = even = Even()

        async def main():
            async with even.within(10):
                async with trio.open_nursery() as nursery:
                    self.nursery = nursery
                    self.platform = await Platform().open(nursery)
                    self.far = await Far(answer).open(nursery)
                    await scene(self)
                    nursery.cancel_scope.cancel()

        trio.run(main, instruments=[even])
        violations = [text for event, text in self.lines if event == "violation"]
        assert len(violations) == self.violations, violations

    def config(self):
        known = {
            "revision": 1,
            "complete": True,
            "members": [member(1, self.far.address), member(8, self.far.address, "terminating", cell=8)],
        }
        told = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "7",
            "discovery": "{}:{}".format(*self.platform.address),
            "limits": self.limits,
            "known": known,
            "settings": self.wire,
            **self.told,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(told))
        (self.folder / "state").mkdir(exist_ok=True)
        self.environ = {
            "EDGE_CONFIG": str(path),
            "EDGE_STATE": str(self.folder / "state"),
            "EDGE_LISTEN": "127.0.0.1:0",
            "EDGE_DISCOVERY": "127.0.0.1:1",
        }  # gone; the file wins
        return read(self.environ, self.system.files)

    def reread(self):
        """As `serve` does at SIGHUP."""
        return read(
            {name: self.environ[name] for name in self.environ.keys() - {"EDGE_DISCOVERY"}}, self.system.files
        )

    async def start(self):
        self.node = Node(self.config(), self.system, log=self.log)
        self.scope = trio.CancelScope()

        async def run(task_status):
            with self.scope:
                await self.node.run(task_status)

        self.address = await self.nursery.start(run)
        return self.node

    def kill(self):
        """As SIGKILL does: nothing is finished; what the ledger's file holds is what is left."""
        self.scope.cancel()
        self.node.release()

    async def client(self):
        return await trio.open_tcp_stream(*self.address[:2])

    async def ask(self, text, stream=None):
        """One request, and the status and headers of its answer."""
        stream = stream or await self.client()
        await stream.send_all(text)
        first, headers, self.payload = await read_message(stream, bytearray())
        return int(first.split()[1]), headers

    async def submit(self, number="a1", topic="news", stream=None, body=b"hello", ttl=5000, dest=7, more=""):
        text = (
            f"POST /api HTTP/1.1\r\nHost: api\r\nX-Trace-Id: {number}\r\nX-Qos: {topic}\r\n"
            f"X-Expires-In-Ms: {ttl}\r\nX-Addressing: dest={dest}\r\n{more}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return (await self.ask(text.encode() + body, stream))[0]

    async def until(self, condition):
        while not condition():
            await trio.sleep(0.005)


@pytest.fixture
def site(tmp_path):
    return Site(tmp_path)
