"""The drill adapter: frames as the wire's page has them, and the process as an operator runs it."""

import json
import struct
import subprocess
import sys
from io import BytesIO

import pytest

from juniperlanding.drill import codec
from juniperlanding.drill.host import Drill
from juniperlanding.settings import translate_settings


def frame(*records, number=1, now=100 * 10**9):
    body = b"".join(records)
    return codec.BATCH.pack(number, len(body) + 12, len(records), now) + body


def enlist(dispatcher=3, **settings):
    text = json.dumps(settings).encode()
    return struct.pack("<HHQI", 261, dispatcher, 7, len(text)) + text


def endpoint_list(*entries, number=0):
    return struct.pack("<HBI", 262, number, len(entries)) + b"".join(codec.ENTRY.pack(*e) for e in entries)


def topology(dispatcher=3, kind=2, number=0):
    return struct.pack("<HHBIB", 263, dispatcher, kind, 1, number)


def incoming(ntf, destination=57.0):
    return struct.pack("<HHQHHQQQfH", 266, 3, ntf, 0, 0, 0, 0, 0, destination, 0)


def run(*frames):
    """Exit code, standard output and standard error of the process that is fed these frames."""
    result = subprocess.run(
        [sys.executable, "-m", "juniperlanding.drill"],
        input=b"".join(frames),
        capture_output=True,
        timeout=30,
    )
    return result.returncode, result.stdout, result.stderr.decode()


START = (
    enlist(request_classes=[{"effect": "safe", "deadline_ns": 10**10, "aim_ns": 10**9}], news_key=1),
    endpoint_list((0, 740432391, 1.0, 0, 0, 2, 57)),
    topology(),
)


def test_batch_of_the_page():
    text = (
        "0c0000005200000003000000 90bf68f501000000 0a010300c4913a5d0542050000000000640ad2557c3bf091"
        "90dbb60302000000001bb7000000000000006442 0100 030103004d00000000000000 09010500192b6f0e40830e00"
    )
    number, now, count, body = codec.read_batch(BytesIO(bytes.fromhex(text.replace(" ", ""))))
    events = list(codec.records(count, body))
    assert (number, now) == (12, 8412250000)
    assert events[0][1][:4] == (3, 0x542055D3A91C4, 0, 0)
    assert events[0][1][4:] == (0x91F03B7C55D20A64, 8652250000, 12000000, 57.0, 1)
    assert events[1:] == [("wake", (3, 77)), ("vanished", (5, 0xE83400E6F2B19))]


@pytest.mark.parametrize(
    "wanted, name, fields, text",
    [
        (
            "43010300c4913a5d05420500074a120300b4c40400000000",
            "try",
            (0x542055D3A91C4, 51530247, 80000000),
            None,
        ),
        ("490103000065cd1d000000004d00000000000000", "after", (500000000, 77), None),
        ("480103001100 74776f2073657276657273206b6e6f776e", "trace", (), b"two servers known"),
        ("470103001200 696e646578206f7574206f662072616e6765", "give_in", (), b"index out of range"),
        ("46010300ffff0400 68692037", "say", (codec.EVERYONE,), b"hi 7"),
        ("4401030001", "track", (1,), None),
        ("40010300", "snapshot", (), None),
        ("4b010300c4913a5d0542050000", "abort_attempt", (0x542055D3A91C4, 0), None),
        ("45010300192b6f0e40830e0080b2e60e00000000", "not_now", (0xE83400E6F2B19, 250000000), None),
        ("42010300c4913a5d05420500", "end_failed", (0x542055D3A91C4,), None),
        ("41010300f211902c", "inspect", (747639282,), None),
        ("4a010300f211902c", "disconnect", (747639282,), None),
    ],
)
def test_actions_of_the_page(wanted, name, fields, text):
    assert codec.action(name, 3, *fields, text=text) == bytes.fromhex(wanted.replace(" ", ""))


def test_three_batches_on_a_pipe():
    code, out, err = run(frame(*START), frame(incoming(9), number=2), frame(number=3))
    assert (code, err) == (0, "")
    sent = codec.action("try", 3, 9, 740432391, 10**10)
    assert out[:12] == codec.reply(1, [])
    assert sent in out and out.endswith(codec.reply(3, []))


@pytest.mark.parametrize(
    "bad",
    [
        frame(incoming(9))[:-3],
        frame(b"\x01\x09\x03\x00"),
        frame(b"\x0a\x01\x03\x00"),
        b"\x01\x00",
        frame(topology(number=5)),
    ],
)
def test_malformed_frames_end_it_with_one_line(bad):
    code, _, err = run(frame(*START), bad)
    assert code == 2
    assert err.startswith("juniperlanding.drill: ") and err.count("\n") == 1


def run_drill(*frames):
    """The adapter in this process after these frames, and the actions that it asked for."""
    drill, stream = Drill(), BytesIO(b"".join(frames))
    actions = []
    while batch := codec.read_batch(stream):
        actions += drill.batch(batch[1], batch[2], batch[3])
    return drill, actions


def test_lists_resolve_in_event_order_and_stop_forgets():
    second_list = (endpoint_list((0, 5, 1.0, 0, 0, 2, 57)), topology(kind=1))
    drill, actions = run_drill(frame(*START, *second_list))
    assert list(drill.dispatchers[3].state.endpoints) == [5]
    stop, vanished = struct.pack("<HH", 257, 3), struct.pack("<HHQ", 265, 3, 9)
    drill, actions = run_drill(frame(*START, incoming(9)), frame(stop, *START, vanished, number=2))
    assert len(actions) == 3 and not drill.dispatchers[3].state.notifications


def test_an_error_in_the_module_is_reported():
    drill, actions = run_drill(frame(*START, incoming(9, float("nan"))))
    assert actions[0][:2] == struct.pack("<H", 327) and b"ValueError" in actions[0]


def test_settings_leave_out_what_is_absent():
    assert translate_settings({"unknown": 1, "family_info": {"workers": 3}}) == {
        "slots": 3,
        "topic_types": [],
    }
