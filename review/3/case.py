"""A second process is started to replace the first one, and stalls for three seconds before it says yes."""

import asyncio
import copy
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    NS,
    SETTINGS,
    CannotRun,
    Dispatcher,
    Endpoint,
    Platform,
    free_address,
    hand_in,
    hand_in_bytes,
    run_case,
    split_address,
)

TTL = 3.0  # seconds; "shorter deadlines"
LIMIT = 4.0  # calls a second that each destination takes
CLUMP, EVERY = 12, 3.0  # messages for one destination, as many as it takes in 3 s; seconds between two clumps
CLUMPS = 5
REPLACED_AFTER = 7.5  # seconds from the first clump to the start of the second process
STALL = 3.0  # seconds; a new process has 6 s to say yes
SAYS_YES_WITHIN = 6.0
GRACE = 0.55  # seconds past its time after which a message without an end is lost, in the widest of the pages
ASKED = b" upgrade "  # of the first process's log lines as it is asked to hand over (docs/upgrade.md)


async def says_yes(management):
    """Whether a process answers `READY` with yes at its second address."""
    try:
        reader, writer = await asyncio.open_connection(*split_address(management))
    except OSError:
        return False
    try:
        writer.write(b"READY\n")
        return (await asyncio.wait_for(reader.read(), 1)).startswith(b"ACK")
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


async def replace(dispatcher, old, record, trouble):
    """What the platform does to replace a process."""
    management = free_address()
    started, new = time.monotonic(), dispatcher.start(management)
    if trouble:
        while ASKED not in old.log.read_bytes():
            if time.monotonic() > started + SAYS_YES_WITHIN:
                raise CannotRun("the second process does not ask the first one")
            await asyncio.sleep(0.001)
        new.send_signal(signal.SIGSTOP)
        record("the second process is stopped")
        await asyncio.sleep(STALL)
        new.send_signal(signal.SIGCONT)
        record("the second process goes on")
    while not (yes := await says_yes(management)) and time.monotonic() < started + SAYS_YES_WITHIN:
        await asyncio.sleep(0.02)
    record(f"the second process says {'yes' if yes else 'nothing, and is ended'}")
    ended = old if yes else new
    ended.told_to_end = True
    ended.send_signal(signal.SIGTERM)
    await asyncio.sleep(3.7)
    if ended.poll() is None:
        ended.kill()


async def client(dispatcher, record, ntf_id, destination, taken_on):
    written_at = time.monotonic()
    data = hand_in_bytes(ntf_id, "order-handoff", destination, int(TTL * 1000), b"an order")
    status = await hand_in(dispatcher.address, data)
    record(f"client {ntf_id} is answered {status}")
    if status in (200, 202):
        taken_on[ntf_id] = written_at


async def clumps(dispatcher, record, destinations, taken_on):
    for round_number in range(CLUMPS):
        tasks = [
            asyncio.create_task(
                client(dispatcher, record, f"m{round_number}-{place}-{number}", place, taken_on)
            )
            for place in destinations
            for number in range(CLUMP)
        ]
        await asyncio.sleep(EVERY)
        await asyncio.gather(*tasks)


async def play(record, trouble):
    settings = copy.deepcopy(SETTINGS)
    for topic in settings["request_classes"]:
        topic["deadline_ns"], topic["aim_ns"] = int(TTL * NS), NS
    endpoints = [
        await Endpoint(record, number, number, lambda *call: (200, 0.1), size=LIMIT).start()
        for number in range(1, 5)
    ]
    members = [endpoint.listed() for endpoint in endpoints]
    platform = await Platform(record, members).start()
    dispatcher, taken_on = Dispatcher(record, platform, members, settings), {}
    try:
        old = dispatcher.start(free_address())
        if not await dispatcher.ready():
            raise CannotRun("the dispatcher is not ready")
        load = asyncio.create_task(
            clumps(dispatcher, record, [endpoint.destination for endpoint in endpoints], taken_on)
        )
        await asyncio.sleep(REPLACED_AFTER)
        await replace(dispatcher, old, record, trouble)
        await load
        await asyncio.sleep(TTL + 2)
        if why := dispatcher.ended_by_itself():
            record(why)
        return judge(record, endpoints, platform.notices, taken_on)
    finally:
        dispatcher.end()


def judge(record, endpoints, notices, taken_on):
    """The messages that were taken on and had no end in time."""
    delivered = {ntf_id for endpoint in endpoints for ntf_id, _, _ in endpoint.calls}
    ended = {}
    for ntf_id, _, at in notices:
        ended.setdefault(ntf_id, at)
    broken = []
    for ntf_id, written_at in taken_on.items():
        late = ended[ntf_id] - written_at - TTL if ntf_id in ended else None
        if ntf_id not in delivered and (late is None or late > GRACE):
            told = "no notice" if late is None else f"a notice {late:.2f} s after its time"
            broken.append(f"{ntf_id} was taken on, is not delivered, and has {told}")
    record(f"{len(taken_on)} taken on, {len(delivered)} delivered, {len(ended)} notices")
    return broken


if __name__ == "__main__":
    run_case(play, __file__, 90)
