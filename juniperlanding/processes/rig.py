"""N real `serve` processes with one fleet view, stand-ins for all others, and faults between them.

Orders flow all the while; `Rig.history` has what each process believed, ten times a second; the audit, what
became of every notification.  Nothing here decides what is well: verdict.py and audit.py do."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections import deque
from pathlib import Path
from random import Random

import trio

from juniperlanding.standins.audit import Audit
from juniperlanding.standins.clients import Clients, arrivals
from juniperlanding.standins.endpoints import Endpoint
from juniperlanding.standins.peers import Platform
from juniperlanding.standins.temper import MS, SEC, TEMPERS, Character
from juniperlanding.standins.trial import RESTARTED, topics_file

DESTINATIONS = {1: ("fast", "fast"), 2: ("fast", "slow"), 3: ("fast",)}
LOOK, ASK_WITHIN, READY_WITHIN = 0.1, 0.5, 20.0
UNWRITTEN = 100 * MS  # before a SIGKILL, as the emulator's watch has it
SITES = ("east", "west", "north")


PORTS, CLAIMS, MOST_CLAIMS = iter([]), deque(), 300
OTHER = {socket.SOCK_STREAM: socket.SOCK_DGRAM, socket.SOCK_DGRAM: socket.SOCK_STREAM}


def free(kind):
    """A port that nobody has, of those that the system gives to no client, and that no other rig gives away.

    Threat: whom it is for binds it later, or lets it go between two lives, and another run on this machine
    takes it meanwhile.  So the same port of the other kind is bound from now on, and tells others that this
    one is given away; the oldest are let go when there are more than any one rig has."""
    global PORTS
    while True:
        port = next(PORTS, 0)
        if not port:
            first = 11000 + os.getpid() * 131 % 19000
            PORTS = iter(range(first, first + 1500))
            continue
        claim = socket.socket(socket.AF_INET, OTHER[kind])
        try:
            claim.bind(("127.0.0.1", port))
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind(("127.0.0.1", port))
        except OSError:
            claim.close()
            continue
        CLAIMS.append(claim)
        if len(CLAIMS) > MOST_CLAIMS:
            CLAIMS.popleft().close()
        return port


class Process:
    """One dispatcher over all its restarts: its file, addresses and present process."""

    def __init__(self, rig, number):
        self.rig, self.name, self.number, self.plain = rig, f"d{number:02}", number, False
        self.listen, self.door = free(socket.SOCK_STREAM), free(socket.SOCK_STREAM)
        self.port, self.running, self.stopped = free(socket.SOCK_DGRAM), None, False
        self.memory, self.told = "128MB", {}
        self.folder = rig.folder / self.name

    def write(self, seeds):
        (self.folder / "state").mkdir(parents=True, exist_ok=True)
        rig = self.rig
        text = (
            f'zones = ["a"]\n[instance]\nname = "{self.name}"\nlisten = "127.0.0.1:{self.listen}"\n'
            f'management = "127.0.0.1:{self.door}"\nstate = "state"\nseed = "{rig.seed}/{self.name}"\n'
            f'discovery = "{rig.platform.address[0]}:{rig.platform.address[1]}"\nrank = {self.number}\n'
            f'dispatchers = {rig.count}\n[limits]\nmemory = "{self.memory}"\ndisk = "8MB"\nsockets = 512\n'
            f'[holding]\nslots = 64\nmost_held = 2000\nmost_pushes = 8\ntick = "5ms"\n'
            f'[listing]\nmode = "push"\nmust_ask_in = "20s"\nscale = "nominal"\n[rules]\nmay_cancel = true\n'
            f'[fleet]\nenabled = true\naddress = "127.0.0.1:{self.port}"\nkey = "{rig.key}"\n'
            f'site = "{SITES[self.number % len(SITES)]}"\n'
            f"seeds = {json.dumps([f'127.0.0.1:{port}' for port in seeds])}\n"
            f'{rig.more_of_file()}[[kind]]\nname = "shop"\n{topics_file()}'
        )
        (self.folder / "serve.toml").write_text(text, encoding="utf-8")

    async def start(self):
        environ = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        through = ["juniperlanding.processes.member", str(self.rig.links)]
        through = ["juniperlanding"] if self.plain else through
        with open(self.folder / "log", "ab") as log:
            self.running = await trio.lowlevel.open_process(
                [sys.executable, "-m", *through, "serve", str(self.folder / "serve.toml")],
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environ | self.told,
            )

    async def ready(self):
        with trio.fail_after(READY_WITHIN):
            while not (await self.ask("READY") or "").startswith("ACK"):
                if self.running.returncode is not None:
                    code = self.running.returncode
                    raise RuntimeError(f"{self.name} ended with {code}: {self.log()[-300:]}")
                await trio.sleep(0.02)

    def log(self):
        return (self.folder / "log").read_text(errors="replace")

    async def ask(self, word):
        """What its door answers, or None."""
        said = b""
        with trio.move_on_after(ASK_WITHIN):
            try:
                async with await trio.open_tcp_stream("127.0.0.1", self.door) as stream:
                    await stream.send_all(f"{word}\n".encode())
                    while part := await stream.receive_some():
                        said += part
                return said.decode()
            except (OSError, trio.BrokenResourceError):
                return None
        return None

    async def beliefs(self):
        said = await self.ask("FLEET")
        if not said or not said.endswith("--\n"):
            return None
        rows = [line.split() for line in said.splitlines()[1:-1]]
        return {row[0]: row[1] for row in rows if row[0] != self.name}

    @property
    def alive(self):
        return self.running is not None and self.running.returncode is None

    async def kill(self, folder=False):
        """SIGKILL; with its folder, the machine is lost."""
        killed_at = self.rig.now()
        self.running.kill()
        await self.running.wait()
        self.rig.killed(self, folder, killed_at)
        self.rig.audit.excused_until = max(self.rig.audit.excused_until, self.rig.now() + 10 * SEC)
        if folder:
            for path in (self.folder / "state").iterdir():
                path.unlink()

    async def replace(self):
        """A second process takes over; the first one's exit code."""
        old, before = self.running, f"127.0.0.1:{self.door}"
        self.door = free(socket.SOCK_STREAM)
        file = self.folder / "serve.toml"
        file.write_text(file.read_text().replace(before, f"127.0.0.1:{self.door}"))
        await self.start()
        await self.ready()
        old.terminate()
        return await old.wait()

    def stop(self):
        self.running.send_signal(signal.SIGSTOP)
        self.stopped = True

    def go_on(self):
        self.running.send_signal(signal.SIGCONT)
        self.stopped = False

    async def term(self):
        self.running.terminate()
        with trio.fail_after(8):
            return await self.running.wait()


class Rig:
    """`async with Rig(...).open() as rig`; `rate` notifications a second over all processes, 0 for none."""

    def __init__(self, count, folder, seed="1", rate=0.0):
        self.count, self.folder, self.seed, self.rate = count, Path(folder), seed, rate
        self.now = time.monotonic_ns
        self.chance, self.audit, self.history = Random(f"{seed}/rig"), Audit(self.now), []
        self.platform, self.endpoints, self.faults, self.excused = None, [], {}, {}
        self.told, self.mutant = None, None  # for each answer to a client (Clients); a defect (member.py)
        self.links, self.key = self.folder / "links.json", self.folder / "key"
        self.folder.mkdir(parents=True, exist_ok=True)
        self.key.write_text(f"{self.chance.getrandbits(256):064x}")
        self.key.chmod(0o600)
        self.members = [Process(self, number) for number in range(count)]

    def more_of_file(self):
        """Further sections of each member's operators' file."""
        return ""

    @property
    def everybody(self):
        return {member.name for member in self.members}

    def drawn(self, count):
        """So many members, by the seed."""
        return self.chance.sample(self.members, count)

    def named(self, *numbers):
        return {self.members[number].name for number in numbers}

    async def run(self, scene):
        """Start all, `await scene(self)`, stop all."""
        try:
            async with trio.open_nursery() as nursery:
                await self.prepare(nursery)
                for member in self.members:
                    member.write([other.port for other in self.members[:2]])
                    await member.start()
                for member in self.members:
                    await member.ready()
                nursery.start_soon(self.watch)
                if self.rate:
                    nursery.start_soon(self.load)
                await scene(self)
                nursery.cancel_scope.cancel()
        finally:
            for member in self.members:
                if member.alive:
                    if member.stopped:
                        member.go_on()
                    member.running.kill()

    async def prepare(self, nursery):
        self.platform = await Platform().open(nursery)
        self.platform.answer = self.reply
        for number, (destination, temper) in enumerate(
            (destination, temper) for destination, tempers in DESTINATIONS.items() for temper in tempers
        ):
            character = Character(TEMPERS[temper], Random(f"{self.seed}/endpoint {number}"))
            endpoint = Endpoint(
                number + 1, destination, character, self.audit, self.now, free(socket.SOCK_STREAM)
            )
            self.endpoints.append(await nursery.start(endpoint.run))
        self.write_links()

    def reply(self, first, headers, body):
        if first.startswith("GET") and "?" not in first:
            members = [one.listed() for one in self.endpoints]
            self.platform.lists = [{"revision": 1, "complete": True, "members": members}]
        before = len(self.platform.notices)
        answer = self.platform.reply(first, headers, body)
        for notice in self.platform.notices[before:]:
            self.audit.notice(notice["message"], notice["outcome"])
        return answer

    async def load(self):
        """Each process has clients of its own, who know of no other."""
        length = 3600 * SEC
        async with trio.open_nursery() as nursery:
            for member in self.members:
                name = f"{member.name}-{self.seed}"
                clients = Clients(("127.0.0.1", member.listen), self.audit, self.now, name, told=self.told)
                coming = arrivals(name, self.rate / self.count, length, [*DESTINATIONS])
                nursery.start_soon(clients.load, coming)

    async def ends(self):
        """Wait until every notification has its end; returns the faults of those that have none, or two."""
        with trio.move_on_after(4 + RESTARTED / SEC):
            while self.audit.open():
                await trio.sleep(0.05)
        left = {
            fault: sorted(set(ids) - self.excused.get(fault, set()))
            for fault, ids in self.audit.faults().items()
        }
        return {fault: ids for fault, ids in left.items() if ids}

    def judged(self):
        """Losses of whole sites, compared with what was foretold; this rig has none."""
        return []

    def killed(self, member, folder, at=None):
        """What no program can help: a delivery heard in the last moment is not written down yet, and what a
        lost folder held is owed by nobody.  All else has its one answer all the same.

        at: when it was killed, if that is over; the system takes some time to take it down."""
        now = at or self.now()
        for record in self.audit.records.values():
            if record.id.startswith(f"{member.name}-"):
                if record.delivered_at and now - record.delivered_at < UNWRITTEN:
                    self.excused.setdefault("answered twice", set()).add(record.id)
                if folder and record.outcome() == "open":
                    self.excused.setdefault("unanswered", set()).add(record.id)

    async def watch(self):
        while True:
            async with trio.open_nursery() as nursery:
                for member in self.members:
                    if member.alive and not member.stopped:
                        nursery.start_soon(self.look, member)
            await trio.sleep(LOOK)

    async def look(self, member):
        at, running = self.now(), member.running
        beliefs = await member.beliefs()
        if member.running is running and member.alive and not member.stopped:
            self.history.append((at, member.name, beliefs))

    # ---- faults on links

    def write_links(self):
        names = {str(member.port): member.name for member in self.members}
        fresh = self.links.with_suffix(".new")
        fresh.write_text(json.dumps({"names": names, "links": self.faults, "mutant": self.mutant}))
        fresh.rename(self.links)

    def link(self, sources, targets, both=True, **fault):
        """Put a fault on the links from each of some names to each of others; none mends them."""
        for source in sources:
            for target in targets:
                for pair in ((source, target), (target, source))[: 1 + both]:
                    if pair[0] != pair[1]:
                        self.faults["{}>{}".format(*pair)] = fault
        self.write_links()

    def mend(self):
        self.faults = {}
        self.write_links()

    async def settled(self, groups, since, within):
        """Seconds from `since` until all views were right, or None if not `within` so many."""
        from juniperlanding.processes import verdict

        end = since + int(within * SEC)
        while self.now() < end:
            at = verdict.settled_at(self.history, groups, since)
            if at is not None and self.now() - at > 800 * MS:
                return (at - since) / SEC
            await trio.sleep(LOOK)
        return None
