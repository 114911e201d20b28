"""What one dispatcher costs with sixteen times the endpoints, and the limits of the page beside it.

    python benchmarks/endpoints_scale.py [SECONDS]

One real `serve` process each for 200 and 3,200 endpoints in its list, the same traffic over the same 100
destinations, stand-ins on loopback.  While clients come, one endpoint in a
thousandth of the list changes its phase every second.  Prints one row a figure; code 1 when one is over."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import trio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from juniperlanding.standins.peers import http, read_message  # noqa: E402

SMALL, LARGE, DESTINATIONS = 200, 3200, 100
RATE, SERVERS = 3.0, 20  # messages a second; listening stand-ins that all entries share
CHANGED = 1000  # one entry in so many changes each second
TICKS = os.sysconf("SC_CLK_TCK")


class Run:
    """One process with so many endpoints, and what was measured of it."""

    def __init__(self, endpoints, seconds):
        self.endpoints, self.seconds = endpoints, seconds
        self.connections = self.list_bytes = self.files = self.cpu = self.memory = 0
        self.answered = self.delivered = 0
        self.revision, self.changed = 1, trio.Event()
        self.last = []

    def entry(self, number, phase="in_service"):
        host, port = self.servers[number % SERVERS]
        return {
            "id": f"s-{number}",
            "host_port": f"{host}:{port}",
            "locality": "a",
            "flavor": "m1",
            "cell": number % DESTINATIONS,
            "phase": phase,
            "size": 50.0 * SMALL / self.endpoints,
            "up_since_ms": 0,
        }

    async def server(self, stream):
        self.connections += 1
        buffer = bytearray()
        try:
            while await read_message(stream, buffer):
                self.delivered += 1
                await stream.send_all(http(200))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def platform(self, stream):
        buffer = bytearray()
        try:
            while message := await read_message(stream, buffer):
                answer = await self.told(message[0])
                self.list_bytes += len(answer)
                await stream.send_all(answer)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def told(self, first):
        if first.startswith("POST"):
            return http(204)
        whole = "index=" not in first
        if not whole:
            await self.changed.wait()
        members = [self.entry(number) for number in range(self.endpoints)] if whole else self.last
        return http(
            200, json.dumps({"revision": self.revision, "complete": whole, "members": members}).encode()
        )

    async def change(self):
        """Each second some entries are told anew."""
        while True:
            await trio.sleep(1)
            self.revision += 1
            first = self.revision * 7 % self.endpoints
            some = max(1, self.endpoints // CHANGED)
            self.last = [self.entry((first + n) % self.endpoints) for n in range(some)]
            self.changed.set()
            self.changed = trio.Event()

    async def client(self, number):
        text = (
            f"POST /api HTTP/1.1\r\nHost: a\r\nX-Trace-Id: b{number}\r\nX-Qos: news\r\n"
            f"X-Expires-In-Ms: 5000\r\n"
            f"X-Addressing: dest={number * 7919 % DESTINATIONS}\r\nContent-Length: 100\r\n\r\n"
        ).encode() + b"x" * 100
        async with await trio.open_tcp_stream(*self.address) as stream:
            await stream.send_all(text)
            answer = await read_message(stream, bytearray())
            self.answered += answer is not None and " 202 " in answer[0]

    async def play(self):
        async with trio.open_nursery() as nursery:
            self.servers = []
            for _ in range(SERVERS):
                listeners = await nursery.start(trio.serve_tcp, self.server, 0)
                self.servers.append(listeners[0].socket.getsockname()[:2])
            listeners = await nursery.start(trio.serve_tcp, self.platform, 0)
            with tempfile.TemporaryDirectory() as folder:
                process = self.start(Path(folder), listeners[0].socket.getsockname())
                try:
                    await self.measure(process, nursery)
                finally:
                    process.kill()
                    process.wait()
            nursery.cancel_scope.cancel()

    def start(self, folder, platform):
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()[:2]
        told = {
            "name": "n0",
            "listen": "{}:{}".format(*self.address),
            "discovery": f"{platform[0]}:{platform[1]}",
            "seed": "1",
            "limits": {"disk_mb": 8, "sockets": 600},
            "known": {"complete": True, "members": [self.entry(number) for number in range(self.endpoints)]},
            "settings": {
                "request_classes": [
                    {"name": "news", "effect": "safe", "aim_ns": 10**9, "deadline_ns": 5 * 10**9, "worth": 1}
                ],
                "models": ["m1"],
                "areas": ["a"],
                "weight_kind": "nominal",
                "n_instances": 200,
                "tick_ns": 5_000_000,
                "registry_mode": "push",
                "family_info": {"workers": 50},
                "permissions": {"most_held": 500, "max_attempts": 6, "conn_idle_ns": 10**10, "cancel": True},
            },
        }
        (folder / "config.json").write_text(json.dumps(told))
        (folder / "state").mkdir()
        environ = {**os.environ, "EDGE_CONFIG": f"{folder}/config.json", "EDGE_STATE": f"{folder}/state"}
        command = [sys.executable, "-m", "juniperlanding", "serve"]
        return subprocess.Popen(command, env=environ, stderr=subprocess.DEVNULL)

    async def ready(self):
        while True:
            try:
                async with await trio.open_tcp_stream(*self.address) as stream:
                    await stream.send_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                    if b" 200 " in await stream.receive_some():
                        return
            except OSError:
                pass
            await trio.sleep(0.05)

    async def measure(self, process, nursery):
        with trio.fail_after(30):
            await self.ready()
        nursery.start_soon(self.change)
        place = Path(f"/proc/{process.pid}")
        begun = time.monotonic()
        for number in range(int(RATE * self.seconds)):
            await trio.sleep(max(0, begun + number / RATE - time.monotonic()))
            nursery.start_soon(self.client, number)
            if number % 10 == 0:
                self.files = max(self.files, len(os.listdir(place / "fd")))
        await trio.sleep(1)
        fields = (place / "stat").read_text().rpartition(")")[2].split()
        self.cpu = (int(fields[11]) + int(fields[12])) / TICKS
        status = (place / "status").read_text()
        self.memory = int(status.partition("VmHWM:")[2].split()[0]) / 1000


def main(seconds):
    small, large = Run(SMALL, seconds), Run(LARGE, seconds)
    for run in (small, large):
        trio.run(run.play)
    thousands = LARGE / 1000
    rows = [
        ("CPU seconds", small.cpu, large.cpu, 1.4 * small.cpu + 0.02 + 0.12 * thousands),
        ("peak memory, MB", small.memory, large.memory, 1.5 * small.memory + 8 + 4 * thousands),
        ("descriptors", small.files, large.files, 2 * small.files + 40),
        ("connections made", small.connections, large.connections, 2.5 * small.connections + 40),
        (
            "bytes of lists",
            small.list_bytes,
            large.list_bytes,
            2 * small.list_bytes + (64 << 10) + 500_000 * thousands,
        ),
    ]
    print(
        f"| {seconds:.0f} s, {RATE:.0f} a second | {SMALL} endpoints | {LARGE} | at most | |\n|"
        + " --- |" * 5
    )
    for name, before, after, most in rows:
        print(f"| {name} | {before:.2f} | {after:.2f} | {most:.2f} | {'kept' if after <= most else 'OVER'} |")
    served = [run.delivered / (RATE * seconds) for run in (small, large)]
    kept = served[1] >= 0.85 * served[0]
    print(
        f"| share served | {served[0]:.3f} | {served[1]:.3f} | {0.85 * served[0]:.3f} at least | "
        f"{'kept' if kept else 'OVER'} |"
    )
    return 0 if kept and all(after <= most for _, _, after, most in rows) else 1


if __name__ == "__main__":
    sys.exit(main(float(sys.argv[1]) if len(sys.argv) > 1 else 30.0))
