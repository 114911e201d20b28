"""What staff meet in operation, measured on loopback sockets with real `serve` processes.

Usage:
  python benchmarks/operation.py handover OWED [TIMES]
  python benchmarks/operation.py door CROWD [SECONDS]

handover: OWED notifications are owed to a draining destination; a client hands one in every 5 ms on one
kept connection while the process is replaced TIMES times.  Printed: the answer times while nothing happens
and through each replacement, the time from start to READY, the resident memory of both, in MB.
door: CROWD connections a second that send half a request and stay, on `serve` told 40 MB and 192
descriptors; STATS every 50 ms at the door, an honest client on a new connection every 20 ms.  Printed:
answer times of both, how many honest ones were answered, memory and descriptors.
"""

import json
import os
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import trio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from juniperlanding.standins.peers import Far, Platform, member, read_message  # noqa: E402

PAGE = os.sysconf("SC_PAGE_SIZE")
STEP, LONG = 0.005, 60_000


class Rig:
    def __init__(self, folder, **limits):
        self.folder, self.limits = Path(folder), limits

    async def open(self, nursery):
        self.far, self.platform = await Far().open(nursery), await Platform().open(nursery)
        self.address = free()
        (self.folder / "state").mkdir()
        settings = {
            "request_classes": [
                {"name": "news", "effect": "safe", "aim_ns": 10**9, "deadline_ns": LONG * 10**6}
            ],
            "models": ["m1"],
            "areas": ["a"],
            "weight_kind": "nominal",
            "n_instances": 1,
            "rank": 0,
            "tick_ns": 5_000_000,
            "registry_mode": "push",
            "family_info": {"workers": 20, "batch_by_kind": [1], "routes_apart": [False]},
            "permissions": {"most_held": 50_000, "max_attempts": 6, "cancel": True},
        }
        members = [member(1, self.far.address), member(8, self.far.address, "terminating", cell=8)]
        known = {"revision": 1, "complete": True, "members": members}
        told = {"name": "n0", "seed": "1", "limits": self.limits, "known": known, "settings": settings}
        (self.folder / "config.json").write_text(json.dumps(told))

    def serve(self):
        door = free()
        environ = os.environ | {
            "EDGE_CONFIG": str(self.folder / "config.json"),
            "EDGE_STATE": str(self.folder / "state"),
            "EDGE_LISTEN": "{}:{}".format(*self.address),
            "EDGE_DISCOVERY": "{}:{}".format(*self.platform.address),
            "EDGE_MANAGEMENT": "{}:{}".format(*door),
        }
        command = [sys.executable, "-m", "juniperlanding", "serve"]
        return subprocess.Popen(command, env=environ, stderr=subprocess.DEVNULL), door


def free():
    with socket.create_server(("127.0.0.1", 0)) as one:
        return one.getsockname()[:2]


def memory(*processes):
    """Resident megabytes of some processes together."""
    return sum(int(Path(f"/proc/{p.pid}/statm").read_text().split()[1]) * PAGE for p in processes) / 1e6


async def ask(door, word):
    """(answer, seconds) of one call."""
    began = trio.current_time()
    stream = await trio.open_tcp_stream(*door)
    async with stream:
        await stream.send_all(word + b"\n")
        return b"".join([part async for part in stream]), trio.current_time() - began


async def ready(door):
    began = trio.current_time()
    while True:
        try:
            if (await ask(door, b"READY"))[0].startswith(b"ACK"):
                return trio.current_time() - began
        except OSError:
            pass
        await trio.sleep(STEP)


def request(number, dest=7, body=b"x" * 300):
    head = (
        f"POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {number}\r\nX-Qos: news\r\nX-Expires-In-Ms: {LONG}\r\n"
        f"X-Addressing: dest={dest}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def spread(times):
    times = sorted(times)
    p99 = times[int(0.99 * (len(times) - 1))]
    return f"median {times[len(times) // 2] * 1e3:.1f}, p99 {p99 * 1e3:.1f}, worst {times[-1] * 1e3:.1f} ms"


async def handover(owed, times):
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(folder, memory_mb=256, disk_mb=64, sockets=512)
        async with trio.open_nursery() as nursery:
            await rig.open(nursery)
            process, door = rig.serve()
            await ready(door)
            stream, buffer = await trio.open_tcp_stream(*rig.address), bytearray()
            for number in range(owed):
                await stream.send_all(request(f"o{number}", dest=8))
                assert b" 202 " in (await read_message(stream, buffer))[0].encode() + b" "
            answers = []

            async def client():
                kept, left, number = await trio.open_tcp_stream(*rig.address), bytearray(), 0
                while True:
                    number, began = number + 1, trio.current_time()
                    await kept.send_all(request(f"c{number}"))
                    assert " 202 " in (await read_message(kept, left))[0]
                    answers.append((began, trio.current_time() - began))
                    await trio.sleep(STEP)

            nursery.start_soon(client)
            await trio.sleep(1)
            print(f"owed {owed}: undisturbed {spread([took for _, took in answers])}")
            for _ in range(times):
                began = trio.current_time()
                second, other = await trio.to_thread.run_sync(rig.serve)  # starting one takes some 70 ms here
                took = await ready(other)
                await trio.sleep(0.2)
                both = memory(process, second)
                process.terminate()
                await trio.to_thread.run_sync(process.wait)
                await trio.sleep(0.3)
                during = [one for at, one in answers if at >= began - 0.5]
                said = f"ready after {took * 1e3:.0f} ms; {spread(during)}; both {both:.1f} MB"
                print(f"  {said}; exit {process.returncode}")
                process = second
            process.kill()
            process.wait()
            nursery.cancel_scope.cancel()


async def crowd(rate, seconds):
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(folder, memory_mb=40, disk_mb=3, sockets=192)
        async with trio.open_nursery() as nursery:
            await rig.open(nursery)
            process, door = rig.serve()
            await ready(door)
            held, calls, honest, unheard, worst = [], [], [], 0, [0, 0]

            async def come():
                while True:
                    for _ in range(max(1, rate // 100)):
                        sock = socket.socket()
                        sock.setblocking(False)
                        sock.connect_ex(rig.address)
                        held.append(sock)
                        if len(held) > 3000:
                            held.pop(0).close()
                    await trio.sleep(0.01)
                    for sock in held[-max(1, rate // 100) :]:
                        try:
                            sock.send(b"POST /api HTTP/1.1\r\nHost: x\r\n")
                        except OSError:
                            pass

            async def true_client(number):
                nonlocal unheard
                began, status = trio.current_time(), b""
                with trio.move_on_after(0.4):
                    try:
                        stream = await trio.open_tcp_stream(*rig.address)
                        async with stream:
                            await stream.send_all(request(f"t{number}"))
                            status = await stream.receive_some()
                    except (OSError, trio.BrokenResourceError):
                        pass
                if status.startswith(b"HTTP/1.1 202"):
                    honest.append(trio.current_time() - began)
                else:
                    unheard += 1

            async def staff():
                while True:
                    answer, took = await ask(door, b"STATS")
                    assert answer.startswith(b"ACK") and answer.endswith(b"--\n")
                    calls.append(took)
                    worst[0] = max(worst[0], memory(process))
                    worst[1] = max(worst[1], len(os.listdir(f"/proc/{process.pid}/fd")))
                    await trio.sleep(0.05)

            nursery.start_soon(come)
            nursery.start_soon(staff)
            await trio.sleep(0.5)
            for number in range(int(seconds / 0.02)):
                nursery.start_soon(true_client, number)
                await trio.sleep(0.02)
            await trio.sleep(0.5)
            print(f"crowd of {rate} a second: door {len(calls)} calls, {spread(calls)}")
            print(f"  honest clients: {len(honest)} heard yes, {spread(honest)}; {unheard} did not")
            print(f"  at most {worst[0]:.1f} MB and {worst[1]} descriptors; ended: {process.poll()}")
            process.kill()
            process.wait()
            nursery.cancel_scope.cancel()


if __name__ == "__main__":
    what, size, *more = sys.argv[1:]
    if what == "handover":
        trio.run(handover, int(size), int(more[0]) if more else 3)
    else:
        trio.run(crowd, int(size), float(more[0]) if more else 5.0)
