"""A trial: one real `serve` process among stand-ins on loopback, under load and at will a trouble.

`Trial.run` plays it and leaves audit, endpoints and figures; nothing here decides what is well (audit.py
does)."""

import os
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import trio

from juniperlanding.standins.audit import Audit
from juniperlanding.standins.clients import TOPICS, Clients, arrivals
from juniperlanding.standins.endpoints import Endpoint
from juniperlanding.standins.peers import Platform
from juniperlanding.standins.temper import MS, SEC, TEMPERS, Character

TROUBLES = {
    "none": "nothing beyond the endpoints' own tempers",
    "silence": "one destination answers nothing for the middle third",
    "refusal": "one destination is not there for the middle third",
    "kill": "the dispatcher is killed by SIGKILL at half time and started again",
    "replace": "a second process takes over again and again; every third one is killed at some moment of it",
    "discovery": "discovery and the notices' address say nothing for the middle third",
}
# Destination: the tempers of its endpoints.
FLEET = {
    1: ("fast", "fast"),
    2: ("fast", "slow"),
    3: ("slow", "slow"),
    4: ("throttling", "throttling"),
    5: ("flapping", "flapping"),
    6: ("silent", "silent"),
    7: ("erring",),
}
STRUCK = 1  # the destination that a trouble meets
READY_WITHIN, DOWN = 10.0, 0.6  # seconds
BEFORE_END = 1.0  # seconds without further replacements
RESTARTED = 1500 * MS  # after it is ready again, what is due has so long


@dataclass
class Plan:
    seconds: float = 10.0
    rate: float = 50.0
    seed: str = "1"
    trouble: str = "none"
    folder: Path = None


@dataclass
class Figures:
    """What was measured beside the audit: times in seconds, memory in bytes, all of the `serve` process."""

    ready_after: list = field(default_factory=list)
    peak_memory: int = 0
    exit_codes: list = field(default_factory=list)
    replaced: int = 0  # processes that took over and were kept
    failed: int = 0  # processes killed while they began
    late_ms: float = 0.0


def topics_file():
    """The stand-in clients' topic types, as an operators' file has them."""
    return "".join(
        f'[[topic]]\nname = "{t.name}"\nkind = "{t.kind}"\nobjective = "{t.objective // MS}ms"\n'
        f'ttl = "{t.ttl // MS}ms"\n' + (f'window = "{t.window // MS}ms"\n' if t.window else "")
        for t in TOPICS
    )


class Trial:
    def __init__(self, plan, now):
        self.plan, self.now, self.audit, self.figures = plan, now, Audit(now), Figures()
        self.endpoints, self.process, self.platform, self.stage = [], None, None, "starting"
        self.second = None  # a process beside the first
        self.begun = now()

    async def run(self):
        async with trio.open_nursery() as nursery:
            await self.prepare(nursery)
            await self.start()
            self.stage = "under load"
            clients = Clients(self.address, self.audit, self.now, f"t{self.plan.seed}")
            length = int(self.plan.seconds * SEC)
            coming = arrivals(self.plan.seed, self.plan.rate, length, list(FLEET))
            self.begun = self.now()
            async with trio.open_nursery() as load:
                load.start_soon(clients.load, coming)
                load.start_soon(self.trouble)
                load.start_soon(self.watch, load.cancel_scope, length)
            self.figures.late_ms = clients.late / MS
            self.stage = "waiting for the last ends"
            longest = max(topic.ttl for topic in TOPICS) / SEC + RESTARTED / SEC
            with trio.move_on_after(longest):
                while self.audit.open():
                    await trio.sleep(0.05)
            self.stage = "stopping"
            clients.close()
            await self.stop()
            nursery.cancel_scope.cancel()

    async def prepare(self, nursery):
        self.platform = await Platform().open(nursery)
        self.platform.answer = self.platform_reply
        number = 0
        for destination, tempers in FLEET.items():
            for name in tempers:
                number += 1
                character = Character(TEMPERS[name], Random(f"{self.plan.seed}/endpoint {number}"))
                endpoint = Endpoint(number, destination, character, self.audit, self.now)
                self.endpoints.append(await nursery.start(endpoint.run))
        self.platform.lists = [self.listing()]
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()[:2]
        (self.plan.folder / "state").mkdir(exist_ok=True)
        (self.plan.folder / "try.toml").write_text(self.operators_file(), encoding="utf-8")

    def listing(self):
        return {"revision": 1, "complete": True, "members": [one.listed() for one in self.endpoints]}

    def platform_reply(self, first, headers, body):
        """Notices are taken down, the list is told once, a watch waits; under its trouble, silence."""
        if self.plan.trouble == "discovery" and self.struck():
            return None
        if first.startswith("GET") and "?" not in first:
            self.platform.lists = [self.listing()]  # for whoever asks for the whole, after a restart too
        before = len(self.platform.notices)
        answer = self.platform.reply(first, headers, body)
        for notice in self.platform.notices[before:]:
            self.audit.notice(notice["message"], notice["outcome"])
        return answer

    def operators_file(self):
        return (
            f'zones = ["a"]\n[instance]\nname = "try"\nlisten = "{self.address[0]}:{self.address[1]}"\n'
            f'discovery = "{self.platform.address[0]}:{self.platform.address[1]}"\nstate = "state"\n'
            f'seed = "{self.plan.seed}"\nrank = 0\ndispatchers = 1\n[limits]\nmemory = "128MB"\n'
            f'disk = "8MB"\nsockets = 512\n[holding]\nslots = 64\nmost_held = 2000\nmost_pushes = 8\n'
            f'tick = "5ms"\n[listing]\nmode = "push"\nmust_ask_in = "20s"\nscale = "nominal"\n'
            f'[connections]\nidle_closes = "10s"\n[rules]\nmay_cancel = true\nstart_capacity = 0.2\n'
            f'warm_within = "3s"\noverload_factor = 2.0\nfall_within = "2s"\n'
            f'[[kind]]\nname = "shop"\n{topics_file()}'
        )

    # ---- the process

    async def start(self):
        began = self.now()
        self.process = await self.serve()
        with trio.fail_after(READY_WITHIN):
            while not await self.ready():
                if self.process.returncode is not None:
                    raise RuntimeError(f"serve ended with {self.process.returncode}: {self.last_line()}")
                await trio.sleep(0.01)
        self.figures.ready_after.append(round((self.now() - began) / SEC, 3))

    async def serve(self, **told):
        """A `serve` process; `told` is added to its environment."""
        environ = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        with open(self.plan.folder / "log", "ab") as log:
            return await trio.lowlevel.open_process(
                [sys.executable, "-m", "juniperlanding", "serve", str(self.plan.folder / "try.toml")],
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environ | told,
            )

    def last_line(self):
        return (self.plan.folder / "log").read_text(errors="replace").strip().rpartition("\n")[2]

    async def ready(self):
        try:
            stream = await trio.open_tcp_stream(*self.address)
            async with stream:
                await stream.send_all(b"GET /_health HTTP/1.1\r\nHost: try\r\n\r\n")
                return b" 200 " in await stream.receive_some()
        except (OSError, trio.BrokenResourceError):
            return False

    async def stop(self):
        if self.process.returncode is None:
            self.process.terminate()
            with trio.move_on_after(6):
                await self.process.wait()
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.figures.exit_codes.append(self.process.returncode)

    async def watch(self, scope, length):
        """Memory as /proc has it, and the end of the load's time."""
        while self.now() < self.begun + length:
            size = 0
            for process in {self.process, self.second} - {None}:
                try:
                    with open(f"/proc/{process.pid}/statm", encoding="ascii") as file:
                        size += int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
                except OSError:
                    pass  # killed at this moment
            self.figures.peak_memory = max(self.figures.peak_memory, size)
            await trio.sleep(0.1)

    # ---- troubles

    def struck(self):
        """Whether the load is in its middle third."""
        gone = (self.now() - self.begun) / SEC
        return self.plan.seconds / 3 <= gone < self.plan.seconds * 2 / 3

    async def trouble(self):
        third, name = self.plan.seconds / 3, self.plan.trouble
        met = [one.character for one in self.endpoints if one.destination == STRUCK]
        if name in ("silence", "refusal"):
            await trio.sleep(third)
            self.put(met, name, True)
            await trio.sleep(third)
            self.put(met, name, False)
        elif name == "kill":
            await trio.sleep(1.5 * third)
            self.process.kill()
            self.figures.exit_codes.append(await self.process.wait())
            self.audit.excused_until = self.now() + int(READY_WITHIN * SEC)
            await trio.sleep(DOWN)
            await self.start()
            self.audit.excused_until = self.now() + RESTARTED

        elif name == "replace":
            chance = Random(f"{self.plan.seed}/replace")
            while (self.now() - self.begun) / SEC < self.plan.seconds - BEFORE_END:
                await trio.sleep(chance.uniform(0.1, 0.4))
                await self.replace(fails=chance.random() < 1 / 3, after=chance.uniform(0, 0.4))

    async def replace(self, fails, after):
        """A second process beside the first; one that fails is killed `after` seconds."""
        with socket.create_server(("127.0.0.1", 0)) as free:
            door = free.getsockname()[:2]
        self.second = await self.serve(EDGE_MANAGEMENT="{}:{}".format(*door))
        if fails:
            await trio.sleep(after)
            self.second.kill()
            await self.second.wait()
            # It may have been the owner by then, and what it had out may have run.
            self.audit.excused_until = self.now() + RESTARTED
            self.second, self.figures.failed = None, self.figures.failed + 1
            return
        with trio.fail_after(READY_WITHIN):
            while not await self.says_ready(door):
                if self.second.returncode is not None:
                    raise RuntimeError(f"replacement ended with {self.second.returncode}: {self.last_line()}")
                await trio.sleep(0.01)
        self.process.terminate()
        with trio.fail_after(READY_WITHIN):
            self.figures.exit_codes.append(await self.process.wait())
        self.process, self.second, self.figures.replaced = self.second, None, self.figures.replaced + 1

    @staticmethod
    async def says_ready(door):
        try:
            async with await trio.open_tcp_stream(*door) as stream:
                await stream.send_all(b"READY\n")
                return (await stream.receive_some()).startswith(b"ACK")
        except (OSError, trio.BrokenResourceError):
            return False

    @staticmethod
    def put(characters, name, on):
        for character in characters:
            if name == "silence":
                character.silenced = on
            else:
                character.refusing = on
