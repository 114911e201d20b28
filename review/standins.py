"""Stand-ins for the platform, endpoints and clients, and the start of real dispatchers, for the cases here.

Everything listens on 127.0.0.1 with ports that the system gives.  Nothing here judges a run."""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
NS = 1_000_000_000

# Settings in the form of WIRE-juniperlanding.md, with the figures of its example (a small deployment).
SETTINGS = {
    "areas": ["perth-1"],
    "az": 0,
    "clients": {"marks_retry": False},
    "family_info": {
        "batch_by_kind": [10, 1],
        "fades": "halves",
        "routes_apart": [False, False],
        "workers": 23,
    },
    "models": ["courier-networks", "member-shops"],
    "n_instances": 2,
    "permissions": {
        "cancel": True,
        "conn_idle_ns": 10 * NS,
        "connect_timeout_ns": NS,
        "max_attempts": 12,
        "max_retry_after_ns": 3 * NS,
        "most_held": 124,
        "peer_messages": False,
        "probes": False,
        "retry_after": False,
        "second_copies": False,
        "streams_per_conn": 1,
    },
    "rank": 0,
    "registry_mode": "push",
    "report": {"fields": [], "how": "off"},
    "request_classes": [
        {
            "aim_ns": 3 * NS,
            "deadline_ns": 16 * NS,
            "effect": "unsafe",
            "group": "all",
            "late_worth": 0.5,
            "name": "order-handoff",
            "repeat_window_ns": 5 * NS,
            "stream": False,
            "worth": 1.0,
        },
        {
            "aim_ns": 2 * NS,
            "deadline_ns": 28 * NS,
            "effect": "keyed",
            "group": "all",
            "late_worth": 0.5,
            "name": "settlement",
            "repeat_window_ns": 7_500_000_000,
            "stream": False,
            "worth": 2.0,
        },
    ],
    "safety": {
        "drain_grace_ns": 2 * NS,
        "fall_ns": 2 * NS,
        "grace_to_answer_ns": 20_000_000,
        "must_ask_in_ns": 10 * NS,
        "overload_factor": 2.0,
        "start_capacity": 0.2,
        "warm_within_ns": 13 * NS,
    },
    "service_type": "deliver",
    "tenants": [],
    "tick_ns": 5_000_000,
    "weight_kind": "nominal",
    "worth_by": "request",
}
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}


class Record:
    """The record of a run: one line for each thing that was sent, answered or run, with its time."""

    def __init__(self, path):
        self.file = Path(path).open("w", encoding="utf-8")  # noqa: SIM115
        self.begun = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """The first line, the headers (names in lower case) and the body of a request; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head[:-4].decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return first, headers, body


def answer(status, body=b"", *headers):
    """The bytes of an HTTP answer."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """A TCP server on loopback; subclasses have `serve(reader, writer)`."""

    async def start(self):
        self.writers = set()
        self.server = await asyncio.start_server(self.attend, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    async def attend(self, reader, writer):
        self.writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, OSError, asyncio.CancelledError):
                await self.serve(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()


class Platform(Server):
    """Discovery and notices: hands out one list, keeps watches waiting, and takes notices with 204."""

    def __init__(self, record, members):
        self.record, self.members, self.notices = record, members, []

    async def serve(self, reader, writer):
        while message := await read_message(reader):
            first, _, body = message
            if first.startswith("POST /reports"):
                for line in body.splitlines():
                    notice = json.loads(line)
                    self.notices.append((notice["message"], notice["outcome"], time.monotonic()))
                    self.record(f"notice {notice['message']} {notice['outcome']}")
                writer.write(b"HTTP/1.1 204 x\r\n\r\n")
                continue
            complete = "index=" not in first
            if not complete:
                await asyncio.sleep(int(first.split("wait=")[1].split()[0].split("&")[0]) / 1000)
            members = self.members if complete else []
            text = {"revision": 1, "complete": complete, "members": members}
            writer.write(answer(200, json.dumps(text).encode()))


class Endpoint(Server):
    """One endpoint: `reply(id, headers, body)` returns (status, seconds until it is answered).

    `calls` has (id, body, time) of each message that was run."""

    def __init__(self, record, number, destination, reply, kind="member-shops", size=50.0):
        self.record, self.id, self.destination, self.reply = record, f"s-{number}", destination, reply
        self.kind, self.size, self.calls = kind, size, []

    async def serve(self, reader, writer):
        while message := await read_message(reader):
            _, headers, body = message
            ntf_id = headers.get("x-trace-id", "")
            status, delay = self.reply(ntf_id, headers, body)
            if status == 200:
                self.calls.append((ntf_id, body, time.monotonic()))
            self.record(f"endpoint {self.id} (dest={self.destination}) {ntf_id} {status} {body[:24]!r}")
            await asyncio.sleep(delay)
            writer.write(answer(status))

    def listed(self, phase="in_service"):
        """Its entry in discovery's list."""
        return {
            "id": self.id,
            "host_port": self.address,
            "locality": "perth-1",
            "flavor": self.kind,
            "cell": self.destination,
            "phase": phase,
            "size": self.size,
            "up_since_ms": 0,
        }


def free_address():
    """An address on loopback that nobody uses now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return "{}:{}".format(*sock.getsockname())


def hand_in_bytes(ntf_id, topic, destination, ttl_ms, body, key=""):
    """A request in which a client hands in one message."""
    lines = [
        "POST /api HTTP/1.1",
        "Host: api.internal",
        f"X-Trace-Id: {ntf_id}",
        f"X-Qos: {topic}",
        f"X-Expires-In-Ms: {ttl_ms}",
        f"X-Addressing: dest={destination}",
        *([f"Idempotency-Key: {key}"] if key else []),
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body


def split_address(address):
    """(host, port) of an address in text form."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def read_status(reader, within=0.4):
    """The status of an answer; 0 if none comes in time or the connection ends."""
    try:
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), within)
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        return 0
    return int(head.split()[1])


async def hand_in(address, data, within=0.4):
    """Hand in one message over a new connection, as a usual client; its status, 0 for no answer in time."""
    try:
        reader, writer = await asyncio.open_connection(*split_address(address))
    except OSError:
        return 0
    try:
        writer.write(data)
        return await read_status(reader, within)
    finally:
        writer.close()


def reset(sock):
    """Close a socket with a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Dispatcher:
    """One dispatcher: its folder, its configuration, and the processes that the deploy file starts."""

    def __init__(self, record, platform, members, settings=None):
        self.record, self.folder = record, Path(tempfile.mkdtemp(prefix="review-"))
        self.address, self.state = free_address(), self.folder / "state"
        self.state.mkdir()
        self.settings, self.members, self.processes = settings or SETTINGS, members, []
        self.platform_address = platform.address
        self.write_config()
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.run = tomllib.load(file)["run"]

    def write_config(self):
        """Write the configuration file; a reader sees the old or the new one."""
        text = {
            "name": "n1",
            "listen": self.address,
            "discovery": self.platform_address,
            "seed": os.urandom(8).hex(),
            "limits": LIMITS,
            "known": {"revision": 1, "complete": True, "members": self.members},
            "settings": self.settings,
        }
        part = self.folder / "config.json.part"
        part.write_text(json.dumps(text), encoding="utf-8")
        part.rename(self.folder / "config.json")

    def start(self, management=""):
        """Start a process; returns it.  Its log goes to a file of its own."""
        tmp = self.folder / f"tmp{len(self.processes)}"
        tmp.mkdir()
        log = self.folder / f"log{len(self.processes)}"
        told = {
            "EDGE_NAME": "n1",
            "EDGE_LISTEN": self.address,
            "EDGE_DISCOVERY": self.platform_address,
            "EDGE_STATE": str(self.state),
            "EDGE_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(tmp),
        }
        if management:
            told["EDGE_MANAGEMENT"] = management
        with log.open("wb") as file:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self.run],
                cwd=ROOT,
                env=os.environ | told,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
            )
        process.log = log
        self.processes.append(process)
        self.record(f"process {len(self.processes)} started")
        return process

    async def ready(self, within=20.0):
        """Wait until `GET /_health` says 200; whether it did."""
        ends = time.monotonic() + within
        while time.monotonic() < ends:
            data = b"GET /_health HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n"
            if await hand_in(self.address, data) == 200:
                self.record("ready")
                return True
            await asyncio.sleep(0.05)
        return False

    def ended_by_itself(self):
        """Whether a process has ended that nobody was told to end, and the last line of its log."""
        for number, process in enumerate(self.processes, 1):
            if process.poll() is not None and not getattr(process, "told_to_end", False):
                lines = [
                    line
                    for line in process.log.read_text(errors="replace").splitlines()
                    if line.strip(" |+-")
                ]
                return (
                    f"process {number} ended, exit code {process.returncode}: {lines[-2:] if lines else ''}"
                )
        return ""

    def end(self):
        """End all processes that were started, and remove the folder."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(play, case, seconds):
    """Play a case and exit as run.sh does: `await play(record, trouble)` returns what broke the rule."""
    record = Record(Path(case).parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if trouble else 'no'}")

    async def limited():
        async with asyncio.timeout(seconds):
            return await play(record, trouble)

    try:
        broken = asyncio.run(limited())
    except Exception:
        record("the case could not run: " + traceback.format_exc())
        sys.exit(2)
    for line in broken:
        record(f"BROKEN: {line}")
    record("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)


class CannotRun(Exception):
    """The case could not be set up."""
