"""CPU time that `serve` takes for one notification, in two trees, alternating; from sockets on loopback.

Usage: python benchmarks/cpu_each.py ROUNDS PYTHON_A TREE_A PYTHON_B TREE_B

Each round starts `serve` on the platform's terms, hands in 3,000 notifications over 8 kept connections to a
stand-in that answers at once, and reads user and system time from /proc.
"""

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

import trio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from juniperlanding.standins.peers import Far, Platform, member, read_message  # noqa: E402

MANY, TOGETHER = 3000, 8
TICK = os.sysconf("SC_CLK_TCK")


async def one(python, tree):
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            far, platform = await Far().open(nursery), await Platform().open(nursery)
            with socket.create_server(("127.0.0.1", 0)) as free:
                address = free.getsockname()[:2]
            Path(folder, "state").mkdir()
            settings = {
                "request_classes": [
                    {"name": "news", "effect": "safe", "aim_ns": 10**9, "deadline_ns": 10**10}
                ],
                "models": ["m1"],
                "areas": ["a"],
                "weight_kind": "nominal",
                "family_info": {"workers": 64},
                "permissions": {"most_held": 500},
            }
            told = {
                "name": "n",
                "listen": "{}:{}".format(*address),
                "settings": settings,
                "known": {
                    "revision": 1,
                    "complete": True,
                    "members": [member(1, far.address) | {"size": 1e6}],
                },
                "discovery": "{}:{}".format(*platform.address),
            }
            Path(folder, "config.json").write_text(json.dumps(told))
            environ = {**os.environ, "EDGE_CONFIG": f"{folder}/config.json", "EDGE_STATE": f"{folder}/state"}
            process = await trio.lowlevel.open_process(
                [python, "-m", "juniperlanding", "serve"], cwd=tree, env=environ, stderr=subprocess.DEVNULL
            )
            while True:
                try:
                    (await trio.open_tcp_stream(*address)).socket.close()
                    break
                except OSError:
                    await trio.sleep(0.02)
            await trio.sleep(0.3)
            before = cpu(process.pid)
            async with trio.open_nursery() as clients:
                for number in range(TOGETHER):
                    clients.start_soon(client, address, number)
            while len(far.got) < MANY:
                await trio.sleep(0.05)
            spent = cpu(process.pid) - before
            process.kill()
            await process.wait()
            nursery.cancel_scope.cancel()
    return spent / MANY * 1e6


def cpu(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


async def client(address, number):
    stream, buffer = await trio.open_tcp_stream(*address), bytearray()
    for count in range(MANY // TOGETHER):
        while True:
            await stream.send_all(
                f"POST /api HTTP/1.1\r\nHost: a\r\nX-Trace-Id: {number}-{count}\r\nX-Qos: news\r\n"
                f"X-Expires-In-Ms: 9000\r\nX-Addressing: dest=7\r\nContent-Length: 5\r\n\r\n"
                f"hello".encode()
            )
            if " 202 " in (await read_message(stream, buffer))[0]:
                break
            await trio.sleep(0.01)


def main(rounds, *pairs):
    found = {0: [], 1: []}
    for _ in range(int(rounds)):
        for which in found:
            found[which].append(trio.run(one, pairs[2 * which], pairs[2 * which + 1]))
    for which, values in found.items():
        print(
            "AB"[which],
            f"CPU us a notification: min {min(values):.0f} median {statistics.median(values):.0f} "
            f"max {max(values):.0f}",
        )


if __name__ == "__main__":
    main(*sys.argv[1:])
