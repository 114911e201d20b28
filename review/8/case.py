"""A hold-up of 0.14 s between reading the clock and writing: a collapsible message runs twice."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins2 import CannotRun, Case, settings, topic  # noqa: E402

WINDOW = 1.0  # seconds for which the destination remembers a key
HELD, MOST_HELD = 0.14, 0.15  # seconds of a hold-up, and what STANDING allows
AIM_S = 0.80  # the latency objective, after which a call without an answer is given up
TRIES = 20
TTL_MS = 8_000
LOOK_FROM, LOOK_FOR = 0.82, 0.2  # seconds after the first call in which the second one's last byte leaves


class Courier:
    """What the destination does with a call: it drops the repeat of a key that it still remembers."""

    def __init__(self, case):
        self.case, self.first, self.runs, self.lose_answer = case, {}, {}, set()

    def __call__(self, call):
        (ntf_id, key, _), at = call["messages"][0], call["at"]
        if key not in self.first or at - self.first[key] > WINDOW:
            self.first.setdefault(key, at)
            self.runs.setdefault(key, []).append(at)
            self.case.record("applied", id=ntf_id, key=key, after=round(at - self.first[key], 4))
        else:
            self.case.record("repeat dropped", id=ntf_id, key=key, after=round(at - self.first[key], 4))
        if key in self.lose_answer:
            self.lose_answer.discard(key)
            return None
        return 200


async def play(case):
    platform = await case.platform().open()
    courier = Courier(case)
    shop = await case.endpoint("s-1", 3, courier).open()
    shop.work = 0.01
    platform.put(**shop.member())
    told = settings(topic("settlement", "keyed", TTL_MS / 1000, WINDOW, aim_ns=int(AIM_S * 1e9)))
    dispatcher = case.dispatcher(platform, told)
    await dispatcher.start()
    client = case.client(dispatcher)
    for number in range(6):  # the forecast needs a few deliveries
        await client.hand_in("settlement", 3, TTL_MS, key=f"warm{number}")
        await asyncio.sleep(0.1)
    holder = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        str(Path(__file__).with_name("hold.py")),
        str(dispatcher.processes[0].pid),
        str(dispatcher.folder / "state" / "ledger"),
        str(HELD),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    broken, repeats = [], 0
    try:
        for number in range(TRIES):
            key = f"key{number}"
            courier.lose_answer.add(key)
            ntf_id, _ = await client.hand_in("settlement", 3, TTL_MS, key=key)
            await asyncio.sleep(LOOK_FROM)
            held = 0.0
            if case.trouble:
                holder.stdin.write(f"{LOOK_FOR}\n".encode())
                held = float(await holder.stdout.readline())
                case.record("held", seconds=round(held, 4))
            await asyncio.sleep(1.0)
            runs = courier.runs.get(key, [])
            repeats += sum(one["messages"][0][0] == ntf_id for one in shop.calls) > 1
            if len(runs) > 1 and held <= MOST_HELD:
                broken.append(f"{ntf_id} was applied twice, {runs[1] - runs[0]:.3f} s apart")
    finally:
        holder.kill()
        await holder.wait()
    if not repeats:
        raise CannotRun("no message was sent again")
    return broken


if __name__ == "__main__":
    Case(__file__, play).main()
