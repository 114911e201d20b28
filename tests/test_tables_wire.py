"""Checks the conformance table of the HTTP protocol on loopback: responses to calls, requests, names."""

import pytest
import trio
from tables import rows
from test_net import endpoints, send

from juniperlanding.choice import NOT_EXECUTED, SEC
from juniperlanding.net import protocol
from juniperlanding.standins.peers import http


def answer_of(row):
    if "status" in row:
        return http(row["status"], row.get("body", "").encode(), *row.get("headers", []))
    return row["raw"].encode() if "raw" in row else {"silent": None}.get(row.get("way"), row.get("way"))


@pytest.mark.parametrize("row", rows("wire", "call"))
def test_a_call_ends_as_the_sentence_says(site, row):
    outcomes = []
    answers = [http(200)] * row.get("before", 0)

    async def scene(site):
        calls = await endpoints(site, outcomes, row.get("sockets", 8))
        if "peer" in row:
            calls.addresses["s-1"] = ("127.0.0.1", 1)
        if "before" in row:
            calls.start(site.nursery, "s-1", [send("before")])
            await site.until(lambda: not calls.in_flight and outcomes)
            outcomes.clear()
        sends = [send(name, SEC // 5) for name in "ab"[: row.get("sends", 1)]]
        for one in sends if "leave" in row else ():
            one.leave_by += int(row["leave"] * SEC) - SEC // 5
        calls.start(site.nursery, "s-1", sends)
        event, *written = row.get("then", "none").split()
        if written:
            await site.until(lambda: site.far.got)
        if event == "cancel":
            calls.cancel("a", 0)
        elif event == "recall":
            calls.recall({"s-1"})
        await site.until(lambda: len(outcomes) == len(sends))

    site.run(scene, lambda *message: answers.pop() if answers else answer_of(row))
    delivered = row["want"][0] == "delivered"
    assert [outcome[2] for outcome in outcomes] == row["want"]
    assert {outcome[5] for outcome in outcomes} == {row.get("over", delivered)}
    assert {outcome[4] for outcome in outcomes} == {int(row.get("wait", 0) * SEC)}
    assert {outcome[2] not in NOT_EXECUTED for outcome in outcomes} == {row["ran"]}


def request_of(row):
    if "raw" in row:
        return row["raw"].encode() + b"x" * row.get("fill", 0)
    body = row.get("body", "").encode() + b"x" * row.get("fill", 0)
    lines = {
        "X-Trace-Id": "a",
        "X-Qos": "news",
        "X-Expires-In-Ms": "900",
        "X-Addressing": "dest=7",
        "Content-Length": "0",
    } | dict(line.split(": ") for line in row.get("lines", []))
    lines.pop(row.get("without"), None)
    text = ["POST /api HTTP/1.1", "Host: x", *map(": ".join, lines.items()), *row.get("more", [])]
    for size in (256, 257):
        text = [line.replace(f"{{{size}}}", "k" * size) for line in text]
    return "\r\n".join(text).encode() + b"\r\n\r\n" + body


@pytest.mark.parametrize("row", rows("wire", "client"))
def test_a_client_is_answered_as_the_sentence_says(site, row):
    async def scene(site):
        node = await site.start()
        for _ in range(1 + row.get("again", False)):
            assert (await site.ask(request_of(row)))[0] == row["want"]
        with trio.fail_after(1):
            await site.until(lambda: not node.ledger.notifications)
        assert len(site.far.got) == (row["want"] == 202)

    site.run(scene)


@pytest.mark.parametrize("row", rows("wire", "names"))
def test_a_name_of_the_protocol_is_read_as_it_is_meant(row):
    parser = getattr(protocol, row["of"])
    given = row["given"]
    if isinstance(parser, dict):
        assert parser[given] == row["want"]
    elif "error" in row:
        with pytest.raises(ValueError):
            parser(given.encode())
    else:
        assert parser(given.encode()) == row["want"]
