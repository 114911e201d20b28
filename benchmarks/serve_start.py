"""Start time and memory of `serve` in two trees, alternating, from sockets.

Usage: python benchmarks/serve_start.py RUNS PYTHON_A TREE_A PYTHON_B TREE_B

Each start gets an empty state folder and a platform that says nothing; ready is the first 200 to GET
/_health. Memory is anonymous and resident bytes from /proc/PID/smaps_rollup once ready.
"""

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

SETTINGS = {
    "request_classes": [{"name": "news", "effect": "safe", "aim_ns": 10**9, "deadline_ns": 10**10}],
    "models": ["m"],
    "areas": ["a"],
    "permissions": {"most_held": 500},
}


def ready(address):
    try:
        with socket.create_connection(address, 0.2) as sock:
            sock.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in sock.recv(1024)
    except OSError:
        return False


def start(python, tree):
    with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as platform:
        with socket.create_server(("127.0.0.1", 0)) as free:
            address = free.getsockname()
        Path(folder, "state").mkdir()
        told = {
            "name": "n",
            "listen": "{}:{}".format(*address),
            "settings": SETTINGS,
            "known": {},
            "discovery": "{}:{}".format(*platform.getsockname()),
        }
        Path(folder, "config.json").write_text(json.dumps(told))
        environ = {**os.environ, "EDGE_CONFIG": f"{folder}/config.json", "EDGE_STATE": f"{folder}/state"}
        began = time.monotonic()
        process = subprocess.Popen(
            [python, "-m", "juniperlanding", "serve"], cwd=tree, env=environ, stderr=subprocess.DEVNULL
        )
        try:
            while not ready(address):
                time.sleep(0.001)
            took = time.monotonic() - began
            rows = Path(f"/proc/{process.pid}/smaps_rollup").read_text().splitlines()
            sizes = {row.split(":")[0]: int(row.split()[1]) for row in rows[1:]}
            return took * 1000, sizes["Rss"] / 1000, sizes["Anonymous"] / 1000
        finally:
            process.kill()
            process.wait()


def main(runs, *pairs):
    found = {0: [], 1: []}
    for _ in range(int(runs) + 1):
        for which in found:
            found[which].append(start(pairs[2 * which], pairs[2 * which + 1]))
    for which, rows in found.items():
        rows = rows[1:]  # the first fills the caches
        names = ("start ms", "resident MB", "anonymous MB")
        print(
            "AB"[which],
            *(
                f"{name}: min {min(column):.1f} median {statistics.median(column):.1f} max {max(column):.1f};"
                for name, column in zip(names, zip(*rows, strict=True), strict=True)
            ),
        )


if __name__ == "__main__":
    main(*sys.argv[1:])
