"""Errors with a code, caused on a real `serve`: code and remedy appear where operators look for them."""

import errno
import http.client
import json
import os
import signal
import subprocess
import sys
import threading
import time

import pytest
import trio

from juniperlanding.cli import reference
from juniperlanding.fleet.agent import Agent, KeyUnreadable
from juniperlanding.ground.errors import OperatorError, all_error_classes, as_operator_error
from juniperlanding.ground.lock import Lock
from juniperlanding.ground.seams import real_system as interfaces
from juniperlanding.net.config import Fleet
from juniperlanding.net.ledger import line

PAGE = reference.errors_page()  # also imports every module that defines an error code
REMEDIES = {kind.code: kind.remedy for kind in all_error_classes()}
PENDING = line(["t", "a1", "news", 7, 1 << 62, "", ""])
# The time limit for a process that does not hand over is shortened from 12 s.
PROGRAM = (
    "import sys; from juniperlanding.handover import steps; steps.JOIN_TIMEOUT = 10**8;"
    "from juniperlanding.cli import main; sys.exit(main(['serve', *sys.argv[1:]]))"
)
FLEET_FILE = '[instance]\nname = "a"\n[fleet]\nenabled = true\naddress = "127.0.0.1:1"\nkey = "key"\n'
CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "management": "127.0.0.1:0",
    "settings": {
        "request_classes": [{"name": "news", "effect": "safe", "aim_ns": 10**9, "deadline_ns": 10**10}],
        "models": ["m1"],
    },
    "known": {
        "members": [
            {"id": "s-1", "host_port": "127.0.0.1:1", "cell": 7, "flavor": "m1", "phase": "in_service"}
        ]
    },
}


def serve(folder, *argv, config=CONFIG, **environ):
    """Start a `serve` that the platform configures; `config` is a map, or the text of the file."""
    (folder / "state").mkdir(exist_ok=True)
    (folder / "config.json").write_text(config if isinstance(config, str) else json.dumps(config))
    environ = {"EDGE_CONFIG": f"{folder}/config.json", "EDGE_STATE": f"{folder}/state"} | environ
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, *argv],
        text=True,
        stderr=subprocess.PIPE,
        env={**os.environ, **{name: value for name, value in environ.items() if value}},
    )
    timer = threading.Timer(15, process.kill)
    timer.daemon = True
    timer.start()  # a missing line then fails the test instead of blocking it
    return process


def test_codes_are_unique_and_each_says_what_happened_and_what_to_do():
    kinds = all_error_classes()
    assert len({kind.code for kind in kinds}) == len(kinds) and OperatorError not in kinds
    for kind in kinds:
        assert kind.remedy.endswith(".") and ". " not in kind.remedy and kind.__doc__ and kind.code in PAGE


def written(name, text="", mode=0o600):
    """Return a cause that writes a file into the test's folder."""

    def cause(folder):
        (folder / name).parent.mkdir(exist_ok=True)
        (folder / name).write_text(text)
        (folder / name).chmod(mode)
        return {}

    return cause


def folder_taken(folder):
    (folder / "state").mkdir()
    return {"held": Lock(folder / "state")}


def address_taken(folder):
    listener = interfaces().network.bind(("127.0.0.1", 0))
    listener.listen()
    return {"held": listener, "config": CONFIG | {"listen": f"127.0.0.1:{listener.address[1]}"}}


def ledger_is_folder(folder):
    (folder / "state" / "ledger").mkdir(parents=True)
    return {}


@pytest.mark.parametrize(
    "code, cause, more",
    [
        ("folder-taken", folder_taken, {}),
        ("address-taken", address_taken, {}),
        ("address-refused", lambda folder: {"config": CONFIG | {"listen": "192.0.2.1:1"}}, {}),
        ("file-unusable", lambda folder: {"EDGE_STATE": f"{folder}/none"}, {}),
        ("config-untold", lambda folder: {"EDGE_CONFIG": ""}, {}),
        ("config-untold", lambda folder: {"config": {"listen": "127.0.0.1:0"}}, {}),
        ("platform-unreadable", lambda folder: {"EDGE_CONFIG": f"{folder}/none"}, {}),
        ("platform-refused", lambda folder: {"config": "{"}, {}),
        ("platform-refused", lambda folder: {"config": '{"settings": 3}'}, {}),
        ("file-refused", written("a.toml", "nonsense = 1\n"), {"file": "a.toml"}),
        ("fleet-key-refused", written("a.toml", FLEET_FILE), {"file": "a.toml"}),
        ("ledger-unreadable", ledger_is_folder, {}),
    ],
)
def test_a_start_that_does_not_come_about_tells_code_and_remedy(tmp_path, code, cause, more):
    options = cause(tmp_path)
    held = options.pop("held", None)
    process = serve(tmp_path, *[f"{tmp_path}/{name}" for name in more.values()], **options)
    stderr = process.communicate(timeout=20)[1]
    assert process.returncode == 2
    assert stderr.startswith(f"juniperlanding: {code}: ") and f"Remedy: {REMEDIES[code]}\n" in stderr
    assert all(each.startswith("juniperlanding: ") for each in stderr.splitlines())
    assert held is None or held.close() is None


def read_until(process, word):
    """Read standard error up to a line with the word, and return that line."""
    while word not in (line_read := process.stderr.readline()):
        assert line_read
    return line_read


def test_a_serve_that_runs_tells_each_change_of_mode_once_with_code_and_remedy(tmp_path):
    written("state/ledger", "what was here\n" + PENDING.decode().replace("a1", "a2") + "half")(tmp_path)
    first = serve(tmp_path)
    try:
        assert "torn_records=3" in read_until(first, " start ")
        log = read_until(first, "code=ledger-damaged")
        assert "records=2" in log and 'remedy="Check the disk' in log
        (tmp_path / "config.json").write_text("{")
        first.send_signal(signal.SIGHUP)
        assert " config " in read_until(first, "code=platform-refused")
    finally:
        first.kill()
        first.wait()
    (tmp_path / "state/ledger").unlink()
    (tmp_path / "state/ledger.new").symlink_to("/dev/full")  # renamed over the ledger at the start
    full = serve(tmp_path)
    try:
        address = read_until(full, " start ").partition("listening=")[2].split()[0]
        client = http.client.HTTPConnection(address)
        client.request(
            "POST",
            "/api",
            headers={
                "X-Trace-Id": "a1",
                "X-Qos": "news",
                "X-Addressing": "dest=7",
                "X-Expires-In-Ms": "5000",
            },
        )
        assert client.getresponse().status == 503
        assert "cannot write" in read_until(full, "code=disk-full")
        time.sleep(0.4)  # time for several more attempts
        full.send_signal(signal.SIGTERM)
        log = full.communicate(timeout=10)[1]
        assert "cannot write" not in log and "could not be written" in log and "code=disk-full" in log
        assert int(log.partition("ledger_errors=")[2].split()[0]) > 2
    finally:
        full.kill()
        full.wait()


def test_a_start_without_room_serves_what_is_owed_and_tells_code_and_remedy_once(tmp_path):
    written("state/ledger", PENDING.decode())(tmp_path)
    (tmp_path / "state/ledger.new").symlink_to("/dev/full")
    process = serve(tmp_path)
    try:
        assert "owed=1" in read_until(process, " start ")
        log = read_until(process, "code=disk-full")
        assert "not rewritten" in log and f'remedy="{REMEDIES["disk-full"]}"' in log
        time.sleep(0.4)
        assert PENDING in (tmp_path / "state/ledger").read_bytes()
        process.send_signal(signal.SIGTERM)
        log = process.communicate(timeout=10)[1]
        assert "not rewritten" not in log and "owed=1" in log and process.returncode == 0
    finally:
        process.kill()
        process.wait()


def test_a_disk_that_has_room_again_is_told_with_how_long_it_took(site):
    async def scene(site):
        node = await site.start()
        append = node.ledger.append

        def failing(data):
            raise OSError(errno.ENOSPC, "No space left on device")

        node.ledger.append = failing
        assert await site.submit("a1") == 503
        await trio.sleep(0.2)
        node.ledger.append = append
        await site.until(lambda: not node.decision_loop.ledger_failing)
        assert await site.submit("a2") == 202
        texts = [text for event, text in site.lines if event == "ledger"]
        assert (
            len(texts) == 2 and "code=disk-full" in texts[0] and texts[1].startswith("writes again after=0.")
        )

    site.run(scene)


def test_callers_without_descriptors_are_told_once_while_it_lasts(site):
    site.told["management"] = "127.0.0.1:0"

    async def scene(site):
        node = await site.start()
        for listener in (node.listener, node.admin_port.listener):
            attempts = []
            accept = listener.accept

            async def failing(attempts=attempts, accept=accept):
                attempts.append(1)
                if len(attempts) > 3:
                    return await accept()
                raise OSError(errno.EMFILE, "Too many open files")

            listener.accept = failing
            async with await trio.open_tcp_stream(*listener.address):  # ends the accept still waiting
                await site.until(lambda attempts=attempts: len(attempts) > 3)
        events = [event for event, text in site.lines if "code=descriptors-out" in text]
        assert events == ["accept", "door"]

    site.run(scene)


def test_the_door_tells_code_and_remedy_of_a_trouble_and_states_as_they_were(site):
    site.told["management"] = "127.0.0.1:0"

    class CutOff(OperatorError):
        code, remedy = "cut-off", "Look at the links."

    def cut():
        raise CutOff("2 of 5 answer")

    async def scene(site):
        node = await site.start()
        node.admin_port.calls["CUT"] = cut
        node.clients.draining = True
        for command, answer in (
            (b"CUT", 'NAK 2 of 5 answer code=cut-off remedy="Look at the links."'),
            (b"READY", "NAK draining"),
            (b"", 'NAK empty line code=door-call remedy="Send one of'),
        ):
            stream = await trio.open_tcp_stream(*node.admin_port.listener.address)
            await stream.send_all(command + b"\n")
            assert (await stream.receive_some()).decode().startswith(answer)

    site.run(scene)
    CutOff.code = ""  # no longer listed among the program's error classes


def test_the_fleets_own_troubles_and_what_the_system_says(tmp_path):
    config = Fleet(("127.0.0.1", 0), None, str(tmp_path / "none"), "fleet", "", [])
    with pytest.raises(KeyUnreadable) as error:
        Agent(config, "a", str(tmp_path), interfaces(), lambda: (0, 0), print)
    assert isinstance(error.value, OSError) and as_operator_error(error.value) is error.value
    for number, code in (
        (errno.EDQUOT, "disk-full"),
        (errno.EIO, "disk-failing"),
        (errno.EROFS, "file-unusable"),
        (errno.ENFILE, "descriptors-out"),
    ):
        converted = as_operator_error(OSError(number, "Words"), "here")
        assert (converted.code, converted.errno, converted.message) == (code, number, "here: words")
