"""Bad clients hand in messages with the id of another client's open request, and go at once."""

import asyncio
import random
import socket
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    CannotRun,
    Dispatcher,
    Endpoint,
    Platform,
    hand_in,
    hand_in_bytes,
    read_status,
    reset,
    run_case,
    split_address,
)

SECONDS = 60.0  # of load
BETWEEN = 0.3  # seconds between two usual clients that write slowly
WRITES_FOR = 0.5  # seconds that such a client takes to write its request; the pages allow 2
RESTS_AFTER = 0.0, 0.3  # seconds, in turns, from the bad clients to the rest of that request
BAD_AT_ONCE = 3  # bad clients for one open request; the pages speak of hundreds
STAYS = 0.0001, 0.002  # seconds from a bad client's last byte until it goes
TTL_MS = 8000


def bad_clients(address, ntf_id, destination, chance):
    """Each hands in one whole message with that id, and goes."""
    data = hand_in_bytes(ntf_id, "order-handoff", destination, TTL_MS, b"not the message of this id")
    for sock in [socket.create_connection(address) for _ in range(BAD_AT_ONCE)]:
        sock.sendall(data)
        time.sleep(chance.uniform(*STAYS))
        reset(sock)


async def slow_client(dispatcher, record, ntf_id, destination, rest_after, chance, trouble, taken_on):
    """A usual client that takes a moment to write its request, and reads its answer."""
    data = hand_in_bytes(ntf_id, "order-handoff", destination, TTL_MS, b"an order for this shop")
    try:
        reader, writer = await asyncio.open_connection(*split_address(dispatcher.address))
    except OSError:
        return
    try:
        writer.write(data[:-8])
        record(f"client {ntf_id} begins to write its request")
        await asyncio.sleep(WRITES_FOR)
        if trouble:
            record(f"{BAD_AT_ONCE} bad clients hand in {ntf_id} and go")
            address = split_address(dispatcher.address)
            try:
                await asyncio.to_thread(bad_clients, address, ntf_id, destination, chance)
            except OSError as error:
                record(f"bad clients cannot connect: {error}")
            await asyncio.sleep(rest_after)
        written_at = time.monotonic()
        writer.write(data[-8:])
        status = await read_status(reader)
        record(f"client {ntf_id} is answered {status}")
        if status == 202:
            taken_on[ntf_id] = written_at
    except OSError as error:
        record(f"client {ntf_id}: {type(error).__name__}")
    finally:
        writer.close()


async def quick_client(dispatcher, record, ntf_id, destination):
    data = hand_in_bytes(ntf_id, "order-handoff", destination, TTL_MS, b"an order for this shop")
    record(f"client {ntf_id} is answered {await hand_in(dispatcher.address, data)}")


async def play(record, trouble):
    chance = random.Random(1)
    endpoints = [
        await Endpoint(record, number, number, lambda *call: (200, 0.2)).start() for number in range(1, 5)
    ]
    members = [endpoint.listed() for endpoint in endpoints]
    platform = await Platform(record, members).start()
    dispatcher = Dispatcher(record, platform, members)
    try:
        dispatcher.start()
        if not await dispatcher.ready():
            raise CannotRun("the dispatcher is not ready")
        return await load(dispatcher, endpoints, record, chance, trouble)
    finally:
        dispatcher.end()


async def load(dispatcher, endpoints, record, chance, trouble):
    ends, number, tasks, taken_on = time.monotonic() + SECONDS, 0, [], {}
    while time.monotonic() < ends and not dispatcher.ended_by_itself():
        number += 1
        rest_after = RESTS_AFTER[number % len(RESTS_AFTER)]
        ntf_id, destination = f"slow{number:04d}", 1 + number % 4
        slow = slow_client(dispatcher, record, ntf_id, destination, rest_after, chance, trouble, taken_on)
        quick = quick_client(dispatcher, record, f"quick{number:04d}", 1 + (number + 2) % 4)
        tasks += [asyncio.create_task(slow), asyncio.create_task(quick)]
        await asyncio.sleep(BETWEEN)
    await asyncio.gather(*tasks)
    await asyncio.sleep(2)
    # What was sent before a usual client had handed its message in is not held against the dispatcher.
    runs = Counter(
        ntf_id
        for endpoint in endpoints
        for ntf_id, _, ran_at in endpoint.calls
        if ran_at > taken_on.get(ntf_id, ran_at)
    )
    broken = [
        f"the once-only notification {ntf_id} ran {count} times after its client had written it whole"
        for ntf_id, count in runs.items()
        if count > 1
    ]
    if why := dispatcher.ended_by_itself():
        broken.append(f"the dispatcher crashed: {why}")
    record(f"{number} slow and {number} quick clients, {len(taken_on)} slow ones heard 202")
    return broken


if __name__ == "__main__":
    run_case(play, __file__, 115)
