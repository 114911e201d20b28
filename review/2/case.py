"""A bad client hands in a message with the id of another client's open request, for another destination."""

import asyncio
import sys
import time
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
    run_case,
    split_address,
)

CLIENTS = 8  # usual clients that take a moment to write
WRITES_FOR = 1.0  # seconds that such a client takes to write its request; the pages allow 2
TTL_MS = 6000
GRACE = 0.55  # seconds past its time after which a message without an end is lost, in the widest of the pages
HEARD, OTHER = 1, 2  # destinations: of the usual clients, of the bad ones


async def slow_client(dispatcher, record, ntf_id, body, trouble):
    """A usual client that takes a moment to write its request: (status, when it began)."""
    data = hand_in_bytes(ntf_id, "order-handoff", HEARD, TTL_MS, body)
    reader, writer = await asyncio.open_connection(*split_address(dispatcher.address))
    began = time.monotonic()
    try:
        record(f"client {ntf_id} begins to write its request for dest={HEARD}")
        writer.write(data[:-8])
        await asyncio.sleep(WRITES_FOR / 2)
        if trouble:
            bad = hand_in_bytes(ntf_id, "order-handoff", OTHER, TTL_MS, b"of a bad client")
            record(f"bad client hands in {ntf_id} for dest={OTHER}: {await hand_in(dispatcher.address, bad)}")
        await asyncio.sleep(WRITES_FOR / 2)
        writer.write(data[-8:])
        status = await read_status(reader)
        record(f"client {ntf_id} is answered {status}")
        return status, began
    finally:
        writer.close()


async def play(record, trouble):
    endpoints = [
        await Endpoint(record, number, number, lambda *call: (200, 0.2)).start() for number in (HEARD, OTHER)
    ]
    members = [endpoint.listed() for endpoint in endpoints]
    platform = await Platform(record, members).start()
    dispatcher = Dispatcher(record, platform, members)
    try:
        dispatcher.start()
        if not await dispatcher.ready():
            raise CannotRun("the dispatcher is not ready")
        bodies = {f"slow{number}": f"order number {number}".encode() for number in range(1, CLIENTS + 1)}
        tasks = {}
        for ntf_id, body in bodies.items():
            tasks[ntf_id] = asyncio.create_task(slow_client(dispatcher, record, ntf_id, body, trouble))
            await asyncio.sleep(0.2)
        heard = {ntf_id: await task for ntf_id, task in tasks.items()}
        await asyncio.sleep(WRITES_FOR + TTL_MS / 1000 + 2)
        return [
            why
            for ntf_id, (status, began) in heard.items()
            if status in (200, 202)
            and (why := lost(ntf_id, bodies[ntf_id], began, endpoints[0], platform.notices))
        ]
    finally:
        dispatcher.end()


def lost(ntf_id, body, began, endpoint, notices):
    """Why a message that was taken on has no end, or ""."""
    ends_by = began + WRITES_FOR + TTL_MS / 1000 + GRACE
    if any(got == body for _, got, at in endpoint.calls):
        return ""
    if any(message == ntf_id and at <= ends_by for message, _, at in notices):
        return ""
    return f"{ntf_id}: its client heard 202, its destination never got it, and no notice ended it"


if __name__ == "__main__":
    run_case(play, __file__, 60)
