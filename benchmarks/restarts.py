"""How soon killed `serve` processes are ready again, all started at once with their folders; from sockets.

    python benchmarks/restarts.py PROCESSES ROUNDS DISCOVERY OWED [OWED ...]

DISCOVERY is `up`, `refused` or `silent`; process k owes the k-th OWED, again from the first one. Each folder
holds a ledger of notifications that were never pushed. All processes are started, and once each is ready, all
are killed with SIGKILL and started again; seconds count from the first SIGKILL to each one's first 200 to
GET /_health, and are told one by one, with the machine's load before and after. Half of what is owed is for a
destination whose one endpoint answers at once, half for one whose endpoint is draining."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import trio

from juniperlanding.ground.seams import Clock
from juniperlanding.net.ledger import PendingNotification, line
from juniperlanding.processes.rig import free
from juniperlanding.standins.peers import Far, Platform, http, member, read_message

SEC = 10**9
SETTINGS = {
    "request_classes": [
        {"name": "news", "effect": "safe", "aim_ns": 2 * SEC, "deadline_ns": 600 * SEC, "worth": 1}
    ],
    "models": ["m1"],
    "areas": ["a"],
    "weight_kind": "nominal",
    "n_instances": 30,
    "tick_ns": 5_000_000,
    "registry_mode": "push",
    "family_info": {"workers": 20},
    "permissions": {"most_held": 40_000, "max_attempts": 6},
    "safety": {"must_ask_in_ns": 10 * SEC, "start_capacity": 0.2, "warm_within_ns": 10 * SEC},
}
TTL, BODY, LOOK = 600 * SEC, b"x" * 200, 0.02
HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"


class Member:
    def __init__(self, folder, name, discovery, known, owed):
        self.folder, self.owed = Path(folder, name), owed
        (self.folder / "state").mkdir(parents=True)
        self.address = ("127.0.0.1", free(socket.SOCK_STREAM))
        listen = "{}:{}".format(*self.address)
        told = {
            "name": name,
            "listen": listen,
            "seed": name,
            "discovery": "{}:{}".format(*discovery),
            "limits": {"disk_mb": 96, "sockets": 256},
            "settings": SETTINGS,
            "known": {"revision": 1, "complete": True, "members": known},
        }
        (self.folder / "config.json").write_text(json.dumps(told))
        until = Clock().now() + TTL
        with open(self.folder / "state" / "ledger", "wb") as ledger:
            for number in range(owed):
                one = PendingNotification(f"{name}-{number}", "news", 7 + number % 2, until, "", BODY)
                ledger.writelines(map(line, one.records()))

    def start(self):
        environ = {
            **os.environ,
            "EDGE_CONFIG": str(self.folder / "config.json"),
            "EDGE_STATE": str(self.folder / "state"),
        }
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "juniperlanding", "serve"], env=environ, stderr=log
            )

    def stop(self):
        self.process.kill()
        self.process.wait()

    async def ready(self):
        while True:
            try:
                with trio.fail_after(1):
                    async with await trio.open_tcp_stream(*self.address) as stream:
                        await stream.send_all(HEALTH)
                        answer = await read_message(stream, bytearray())
                if answer and answer[0].split()[1] == "200":
                    return trio.current_time()
            except (OSError, trio.BrokenResourceError, trio.TooSlowError):
                pass
            if self.process.poll() is not None:
                raise SystemExit((self.folder / "log").read_text()[-500:])
            await trio.sleep(LOOK)


async def all_ready(members):
    found = {}

    async def one(member):
        found[member] = await member.ready()

    async with trio.open_nursery() as nursery:
        for each in members:
            nursery.start_soon(one, each)
    return found


def load():
    return Path("/proc/loadavg").read_text().split()[0]


async def play(count, how, owed):
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            far, platform = await Far().open(nursery), Platform()
            if how != "up":
                platform.answer = lambda *message: None
            await platform.open(nursery)
            discovery = ("127.0.0.1", 1) if how == "refused" else platform.address
            known = [member(1, far.address), member(8, far.address, "terminating", cell=8)]
            if how == "up":
                told = {"revision": 2, "complete": True, "members": known}
                told = http(200, json.dumps(told).encode())
                platform.answer = lambda first, *rest: (  # a list to each process, and then a watch waits
                    http(204) if first.startswith("POST") else lists.pop() if lists else None
                )
            members = [
                Member(folder, f"n{at}", discovery, known, owed[at % len(owed)]) for at in range(count)
            ]
            try:
                lists = [told] * count if how == "up" else []
                for each in members:
                    each.start()
                with trio.fail_after(300):
                    await all_ready(members)
                    before, begun = load(), trio.current_time()
                    for each in members:
                        each.process.kill()
                    lists += [told] * count if how == "up" else []
                    for each in members:
                        each.process.wait()
                        each.start()
                    found = await all_ready(members)
            finally:
                for each in members:
                    each.stop()
            nursery.cancel_scope.cancel()
    times = sorted((found[each] - begun, each.owed) for each in members)
    within = sum(took <= 10 for took, _ in times)
    print(
        f"{count} processes, discovery {how}, load {before} to {load()}: within 10 s {within}, last "
        f"{times[-1][0]:.2f} s",
        flush=True,
    )
    print("  seconds (owed):", ", ".join(f"{took:.2f} ({one})" for took, one in times), flush=True)


def main(count, rounds, how, *owed):
    for _ in range(int(rounds)):
        began = time.monotonic()
        trio.run(play, int(count), how, [int(one) for one in owed])
        print(f"  the round took {time.monotonic() - began:.0f} s", flush=True)


if __name__ == "__main__":
    main(*sys.argv[1:])
