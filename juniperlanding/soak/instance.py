"""One soaked dispatcher over all its processes: its file, its orders, starts, signals and ends."""

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import trio

from juniperlanding.processes.rig import free
from juniperlanding.soak.history import Life
from juniperlanding.soak.shim import Orders
from juniperlanding.soak.verdict import Slow
from juniperlanding.standins.trial import topics_file

KILL_AFTER = 3.7 + 0.4  # seconds from SIGTERM to SIGKILL
DOWN = 0.6  # seconds from the end of a process to the next start
READY_WITHIN, ASK_WITHIN, ASK_EVERY = 35.0, 1.0, 0.05
SOCKETS, MEMORY_MB = 256, 128
SLOW = Slow()


class Instance:
    """`agents`: the two platforms that it may be told of; SIGHUP moves it from one to the other."""

    def __init__(self, number, count, folder, seed, history, agents):
        self.name, self.number, self.count, self.seed = f"d{number:02}", number, count, seed
        self.folder, self.history, self.agents = Path(folder) / f"d{number:02}", history, agents
        self.port, self.orders, self.running = free(socket.SOCK_STREAM), Orders(), None
        self.at_agent, self.busy = 0, trio.Lock()  # busy: one start or end at a time
        history.lives[self.name] = []
        (self.folder / "state").mkdir(parents=True)
        self.write()
        self.order()

    @property
    def address(self):
        """Where its clients connect."""
        return ("127.0.0.1", self.port)

    @property
    def life(self):
        """Its present or last process."""
        return self.history.lives[self.name][-1]

    @property
    def alive(self):
        """Whether a process of it runs."""
        return self.running is not None and self.running.returncode is None

    def text(self):
        """The operators' file."""
        host, port = self.agents[self.at_agent].address
        return (
            f'zones = ["a"]\n[instance]\nname = "{self.name}"\nlisten = "127.0.0.1:{self.port}"\n'
            f'state = "state"\ndiscovery = "{host}:{port}"\nseed = "{self.seed}/{self.name}"\n'
            f"rank = {self.number}\ndispatchers = {self.count}\n"
            f'[limits]\nmemory = "{MEMORY_MB}MB"\ndisk = "4MB"\nsockets = {SOCKETS}\n[log]\ntrace = true\n'
            f'lines = 100\n[holding]\nslots = 40\nmost_held = 500\nmost_pushes = 8\ntick = "5ms"\n'
            f'[listing]\nmode = "push"\nmust_ask_in = "20s"\nscale = "nominal"\n'
            f'[connections]\nidle_closes = "10s"\n[rules]\nmay_cancel = true\n'
            f'start_capacity = {SLOW.start}\nwarm_within = "{SLOW.warm}s"\noverload_factor = {SLOW.factor}\n'
            f'fall_within = "{SLOW.fall}s"\n[[kind]]\nname = "shop"\n{topics_file()}'
        )

    def write(self, text=None):
        """Replace the file in one step."""
        fresh = self.folder / "serve.toml.new"
        fresh.write_text(self.text() if text is None else text, encoding="utf-8")
        fresh.rename(self.folder / "serve.toml")

    def order(self, **changed):
        """Change what the shim does to the process."""
        for name, value in changed.items():
            setattr(self.orders, name, value)
        fresh = self.folder / "orders.new"
        fresh.write_bytes(msgspec.json.encode(self.orders))
        fresh.rename(self.folder / "orders.json")

    async def start(self):
        """A new process; returns once it is ready, or has ended."""
        environ = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        shim = [sys.executable, "-m", "juniperlanding.soak.shim", str(self.folder / "orders.json")]
        life = Life(time.monotonic_ns())
        with open(self.folder / "log", "ab") as log:
            self.running = await trio.lowlevel.open_process(
                [*shim, "serve", str(self.folder / "serve.toml")],
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environ,
            )
        self.history.lives[self.name].append(life)
        with trio.move_on_after(READY_WITHIN):
            while self.alive and not await self.is_ready():
                await trio.sleep(ASK_EVERY)
            if self.alive:
                life.ready_at = time.monotonic_ns()
        self.note_end(life)

    async def is_ready(self):
        """Whether `GET /_health` answers 200."""
        with trio.move_on_after(ASK_WITHIN):
            try:
                async with await trio.open_tcp_stream(*self.address) as stream:
                    await stream.send_all(b"GET /_health HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n")
                    return b" 200 " in await stream.receive_some()
            except (OSError, trio.BrokenResourceError):
                return False
        return False

    def note_end(self, life):
        """Write down that the present process has ended, once."""
        if not self.alive and not life.ended_at:
            life.ended_at = time.monotonic_ns()
            life.exit_code = self.running.returncode

    async def watch(self):
        """Notice an end that nobody asked for, and start anew as a supervisor would."""
        while True:
            await trio.sleep(0.1)
            if self.running and not self.alive and not self.busy.locked():
                async with self.busy:
                    self.note_end(self.life)
                    await trio.sleep(DOWN)
                    await self.start()

    async def kill(self):
        """SIGKILL, and a new process on the same folder."""
        async with self.busy:
            if self.alive:
                self.life.was_killed = True
                self.running.kill()
                await self.running.wait()
            self.note_end(self.life)
            await trio.sleep(DOWN)
            await self.start()

    async def terminate(self, again=True):
        """SIGTERM, SIGKILL where it does not end in time, and a new process."""
        async with self.busy:
            life = self.life
            if self.alive:
                life.told_to_end_at = time.monotonic_ns()
                self.running.terminate()
                with trio.move_on_after(KILL_AFTER):
                    await self.running.wait()
                if self.alive:
                    life.was_killed = True
                    self.running.kill()
                    await self.running.wait()
            self.note_end(life)
            if again:
                await trio.sleep(DOWN)
                await self.start()

    async def kill_in_write(self, within):
        """End it in the middle of its next write, leaving half of that behind."""
        async with self.busy:
            life = self.life
            self.order(kill_in_write=True)
            with trio.move_on_after(within):
                await self.running.wait()
            self.order(kill_in_write=False)
            if not self.alive:
                life.was_killed = True
                self.note_end(life)
                await trio.sleep(DOWN)
                await self.start()

    async def reload(self):
        """Two SIGHUPs in a row, the first one over half a file, the second over one with another address."""
        self.at_agent = 1 - self.at_agent
        whole = self.text()
        for text in (whole[: len(whole) // 2], whole):
            self.write(text)
            if self.alive:
                self.running.send_signal(signal.SIGHUP)
            await trio.sleep(0.05)

    async def hold(self, seconds):
        """SIGSTOP for a moment."""
        running = self.running
        if self.alive:
            running.send_signal(signal.SIGSTOP)
            try:
                await trio.sleep(seconds)
            finally:
                if running.returncode is None:
                    running.send_signal(signal.SIGCONT)

    def look(self):
        """Its descriptors and memory, the highest seen."""
        if not self.alive:
            return
        place = Path(f"/proc/{self.running.pid}")
        try:
            files = len(os.listdir(place / "fd"))
            lines = (place / "status").read_text().splitlines()
        except OSError:
            return  # it ended just now
        memory = next((int(line.split()[1]) << 10 for line in lines if line.startswith("VmHWM")), 0)
        before = self.history.peaks.get(self.name, (0, 0))
        self.history.peaks[self.name] = max(before[0], files), max(before[1], memory)

    def log_lines(self, word):
        """Lines of its log with a word in them."""
        path = self.folder / "log"
        text = path.read_text(errors="replace") if path.exists() else ""
        return [line for line in text.splitlines() if word in line]
