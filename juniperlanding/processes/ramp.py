"""Many real `serve` processes that share nothing, each with little traffic, and one endpoint that returns.

`python -m juniperlanding.processes.ramp FOLDER SECONDS_DOWN silence|refusal SEED...` prints a line a seed:
the calls in the worst window after the return, what the settings allow there (N), and N + 2 sqrt(N) + 2."""

import os
import socket
import subprocess
import sys
import time
from math import sqrt
from pathlib import Path
from random import Random

import trio

from juniperlanding.processes.rig import free
from juniperlanding.soak import verdict
from juniperlanding.standins.audit import Audit
from juniperlanding.standins.clients import Clients, arrivals
from juniperlanding.standins.endpoints import Endpoint
from juniperlanding.standins.peers import Platform
from juniperlanding.standins.temper import SEC, TEMPERS, Character

COUNT, LIMIT, LOAD, BEFORE, READY_WITHIN = 30, 20.0, 0.6, 12.0, 90.0
START, WARM, FACTOR, FALL = 0.2, 8.0, 2.0, 2.0


class Noted(Character):
    """Keeps when each call came in."""

    def reply(self, now, weight=1):
        self.ends.setdefault("at", []).append(now)
        return self.drawn(now, weight)


def allowed(since):
    """The calls that the settings allow in the window that begins `since` seconds after the return."""
    return verdict.allowed(since, verdict.Slow(LIMIT, START, WARM, FACTOR, FALL))


def worst(came):
    """(calls over what is put down to chance, calls, N) of the worst window; `came` in seconds."""
    found = [
        (len(inside) - n - 2 * sqrt(n) - 2, len(inside), n)
        for last in came
        if last <= WARM
        for n in [allowed(max(0.0, last - FALL))]
        for inside in [[at for at in came if last - FALL < at <= last]]
    ]
    return max(found, default=(0.0, 0, 0.0))


def file_of(folder, platform, port, rank, seed):
    return (
        f'zones = ["a"]\n[instance]\nname = "d{rank}"\nlisten = "127.0.0.1:{port}"\nstate = "state"\n'
        f'discovery = "{platform.address[0]}:{platform.address[1]}"\nseed = "{seed}"\nrank = {rank}\n'
        f'dispatchers = {COUNT}\n[limits]\nmemory = "128MB"\ndisk = "8MB"\nsockets = 256\n[holding]\n'
        f'slots = 30\nmost_held = 500\nmost_pushes = 8\ntick = "5ms"\n[listing]\nmode = "push"\n'
        f'must_ask_in = "20s"\nscale = "nominal"\n[connections]\nidle_closes = "10s"\n[rules]\n'
        f'may_cancel = true\nstart_capacity = {START}\nwarm_within = "{WARM}s"\n'
        f'overload_factor = {FACTOR}\nfall_within = "{FALL}s"\n[[kind]]\nname = "shop"\n'
        + "".join(
            f'[[topic]]\nname = "{name}"\nkind = "{kind}"\nobjective = "2s"\nttl = "25s"\n'
            for name, kind in (("news", "repeatable"), ("order", "once-only"))
        )
    )


async def play(folder, down, trouble, seed):
    now, chance = time.monotonic_ns, Random(f"{seed}/ramp")
    audit, character = Audit(now), Noted(TEMPERS["slow"], Random(f"{seed}/endpoint"))
    processes, environ = [], {n: v for n, v in os.environ.items() if not n.startswith("EDGE_")}
    async with trio.open_nursery() as nursery:
        platform = await Platform().open(nursery)
        endpoint = await nursery.start(Endpoint(1, 1, character, audit, now).run)
        listing = {"revision": 1, "complete": True, "members": [endpoint.listed(scale=LIMIT)]}

        def reply(first, headers, body):
            if first.startswith("GET") and "?" not in first:
                platform.lists = [listing]
            return platform.reply(first, headers, body)

        platform.answer = reply
        try:
            for rank in range(COUNT):
                place = folder / f"{seed}-{rank}"
                (place / "state").mkdir(parents=True)
                port = free(socket.SOCK_STREAM)
                (place / "serve.toml").write_text(file_of(place, platform, port, rank, seed))
                with open(place / "log", "ab") as log:
                    processes.append(
                        (
                            port,
                            await trio.lowlevel.open_process(
                                [sys.executable, "-m", "juniperlanding", "serve", str(place / "serve.toml")],
                                stderr=log,
                                stdin=subprocess.DEVNULL,
                                env=environ,
                            ),
                        )
                    )
            with trio.fail_after(READY_WITHIN):
                for port, _ in processes:
                    while not await there(port):
                        await trio.sleep(0.1)
            length = int((BEFORE + down + WARM + 1) * SEC)
            async with trio.open_nursery() as load:
                for rank, (port, _) in enumerate(processes):
                    rate = LIMIT * LOAD / COUNT * chance.uniform(0.5, 1.5)
                    clients = Clients(("127.0.0.1", port), audit, now, f"s{seed}-{rank}", patience=30.0)
                    coming = [
                        (at, topic, place, size)
                        for at, topic, place, size in arrivals(f"{seed}/{rank}", rate, length, [1])
                        if topic.name != "status"
                    ]
                    load.start_soon(clients.load, coming)
                name = {"silence": "silenced", "refusal": "refusing"}[trouble]
                await trio.sleep(BEFORE)
                setattr(character, name, True)
                await trio.sleep(down)
                setattr(character, name, False)
                back = now()
                await trio.sleep(WARM + 0.5)
                load.cancel_scope.cancel()
        finally:
            for _, process in processes:
                process.kill()
            with trio.CancelScope(shield=True):
                for _, process in processes:
                    await process.wait()
        nursery.cancel_scope.cancel()
    came = [(at - back) / SEC for at in character.ends.get("at", []) if at >= back]
    return came, worst(came)


async def there(port):
    try:
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await stream.send_all(b"GET /_health HTTP/1.1\r\nHost: ramp\r\n\r\n")
            return b" 200 " in await stream.receive_some()
    except (OSError, trio.BrokenResourceError):
        return False


if __name__ == "__main__":
    at, seconds, what, *seeds = sys.argv[1:]
    for number in seeds:
        came, (over, calls, n) = trio.run(play, Path(at), float(seconds), what, number)
        print(
            f"seed {number} {what}: {len(came)} calls while it warms; worst window {calls}, N {n:.1f}, "
            f"within {n + 2 * sqrt(n) + 2:.1f}: {'kept' if over <= 0 else 'PASSED'}",
            flush=True,
        )
