"""New configurations while the process is replaced: the new process stays with a discovery that has moved."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins2 import HOST, CannotRun, Case, free_port, settings, topic  # noqa: E402

TTL_MS = 2_000
EVERY = 0.05  # seconds from one new configuration to the next, while the new process starts
OLD_CLOSES = 1.5  # seconds after which the old discovery closes what is open (LATER)
DUE_AFTER = 0.35  # seconds after its time in which the end of a message is due (PROTOCOL, with its 50 ms)
YES_WITHIN = 6.0  # seconds that the new process has to say yes (DAYS)


async def play(case):
    platform = await case.platform().open()
    shop = await case.endpoint("s-1", 3).open()
    platform.put(**shop.member())
    dispatcher = case.dispatcher(platform, settings(topic("order-handoff", "unsafe", TTL_MS / 1000)))
    await dispatcher.start(management=f"{HOST}:{free_port()}")
    old, loop, platforms = dispatcher.processes[0], asyncio.get_running_loop(), [platform]
    await asyncio.sleep(1.5)  # no SIGHUP in its first second

    async def move():
        """A new configuration with another discovery, told to the process that serves."""
        before, moved = dispatcher.platform, await case.platform().open()
        moved.members, moved.changed_in, moved.revision = before.members, before.changed_in, before.revision
        dispatcher.platform = moved
        platforms.append(moved)
        dispatcher.configure()
        dispatcher.signal(signal.SIGHUP, old)
        before.server.close()
        loop.call_later(OLD_CLOSES, before.close)

    if not case.trouble:
        await move()
        await asyncio.sleep(2)
    door, until = f"{HOST}:{free_port()}", loop.time() + YES_WITHIN
    await dispatcher.start(wait=False, management=door)
    while not await dispatcher.says_yes(door):
        if loop.time() > until:
            raise CannotRun("the new process did not say yes")
        if case.trouble:
            await move()
        await asyncio.sleep(EVERY)
    case.record("yes")
    await dispatcher.stop(old)
    await asyncio.sleep(4)  # what discovery has to tell counts as told by now
    client = case.client(dispatcher)
    await client.hand_in("order-handoff", 3, TTL_MS)
    await asyncio.sleep(0.5)
    if len(shop.ran) != 1:
        raise CannotRun("the new process does not deliver")
    shop.conduct = lambda call: None  # takes calls and answers none
    for _ in range(5):
        await client.hand_in("order-handoff", 3, TTL_MS)
        await asyncio.sleep(0.1)
    await asyncio.sleep(TTL_MS / 1000 + 4)
    if len(client.taken()) < 2:
        raise CannotRun("no message was taken on")
    ends = {ntf_id: at for one in platforms for at, ntf_id, _ in one.notices}
    delivered = {one[1] for one in shop.ran}
    broken = []
    for ntf_id in client.taken():
        due = client.sent[ntf_id]["at"] + TTL_MS / 1000 + DUE_AFTER
        if ntf_id not in delivered and ends.get(ntf_id, due + 1) > due:
            broken.append(f"{ntf_id} was taken on and has no end {DUE_AFTER} s after its time")
    return broken


if __name__ == "__main__":
    Case(__file__, play).main()
