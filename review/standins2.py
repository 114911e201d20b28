"""Stand-ins for the cases 6 to 10: a platform, endpoints and clients, and the start of real dispatchers.

Written from PROTOCOL.md and DEPLOY.md; standard library only.  All addresses are loopback ones, all ports
are free ones, and whatever is started ends with the case (`Case`)."""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
MOST_BODY = 64 << 10  # PROTOCOL: "A body holds 64 KiB at most"
MOST_SECONDS = 100  # of a case
CLIENT_WAITS = 0.4  # seconds that a client waits for its answer (PROTOCOL)
REST_BEFORE_START = 0.6  # seconds from SIGKILL to the next start (PROTOCOL)
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


def free_port(host=HOST):
    """A port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


async def read_message(reader):
    """(first line, headers, body) of one HTTP message; None where the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def response(status, body=b"", **headers):
    """The bytes of an HTTP response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """An HTTP server; `answer(first, headers, body)` returns the bytes to send, or None for silence."""

    def __init__(self, host=HOST):
        self.host, self.port, self.server, self.writers = host, 0, None, set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                answer = await self.answer(*message, writer)
                if answer is None:
                    await asyncio.sleep(3600)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Accept nothing more and reset what is open, as when the process dies."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Platform(Server):
    """Discovery's agent and the taker of notices.

    `late`: seconds by which discovery answers late; `silent`: it takes what comes and answers nothing."""

    def __init__(self, record):
        super().__init__()
        self.record, self.revision, self.members, self.changed_in = record, 1, {}, {}
        self.news, self.late, self.silent = asyncio.Event(), 0.0, False
        self.notices = []  # (time, id, outcome)

    def put(self, **member):
        """A new or changed member; `phase="terminated"` takes it off the list."""
        self.revision += 1
        entry = {"locality": "a", "phase": "in_service", "size": 100.0, "up_since_ms": 0, **member}
        self.members[entry["id"]] = entry
        self.changed_in[entry["id"]] = self.revision
        self.news.set()
        self.news = asyncio.Event()
        self.record("list", revision=self.revision, **entry)

    def whole(self):
        """The whole list, in discovery's form."""
        present = [one for one in self.members.values() if one["phase"] != "terminated"]
        return {"revision": self.revision, "complete": True, "members": present}

    async def answer(self, first, headers, body, writer):
        method, target, _ = first.split(" ")
        if method == "POST" and target == "/reports":
            for line in body.splitlines():
                notice = json.loads(line)
                self.notices.append((time.monotonic(), notice["message"], notice["outcome"]))
                self.record("notice", id=notice["message"], outcome=notice["outcome"])
            return response(204)
        path, _, query = target.partition("?")
        if path != "/catalog/members":
            return response(404)
        if self.silent:
            return None
        if self.late:
            await asyncio.sleep(self.late)
        asked = dict(part.split("=") for part in query.split("&") if part)
        if "index" not in asked:
            return self.listed(self.whole())
        if int(asked["index"]) >= self.revision:
            with suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.news.wait(), int(asked["wait"]) / 1000)
        if self.silent:
            return None
        changed = [one for name, one in self.members.items() if self.changed_in[name] > int(asked["index"])]
        return self.listed({"revision": self.revision, "complete": False, "members": changed})

    def listed(self, answer):
        """A list as a response, written down as what the dispatcher was told."""
        self.record(
            "told",
            revision=answer["revision"],
            complete=answer["complete"],
            members=[(one["id"], one["phase"]) for one in answer["members"]],
        )
        return response(200, json.dumps(answer).encode(), Content_Type="application/json")


class Endpoint(Server):
    """One endpoint.  It keeps the calls that came whole, and lets `conduct(call)` answer them.

    A conduct returns a status, a (status, headers) pair, or None for silence."""

    def __init__(self, name, cell, record, conduct=None, host=HOST):
        super().__init__(host)
        self.name, self.cell, self.record = name, cell, record
        self.conduct, self.calls, self.work = conduct or (lambda call: 200), [], 0.03
        self.ran = []  # (time, id, key, body) of each message that was run

    def member(self, **fields):
        return {"id": self.name, "host_port": self.address, "cell": self.cell, "flavor": "m1", **fields}

    async def answer(self, first, headers, body, writer):
        target = first.split(" ")[1]
        if target.endswith(":batch"):
            messages = [
                (one["id"], one.get("key", ""), base64.b64decode(one["body"])) for one in json.loads(body)
            ]
        else:
            messages = [(headers.get("x-trace-id", ""), headers.get("idempotency-key", ""), body)]
        call = {
            "at": time.monotonic(),
            "target": target,
            "headers": headers,
            "size": len(body),
            "messages": messages,
            "writer": writer,
        }
        self.calls.append(call)
        self.record(
            "call", endpoint=self.name, target=target, size=len(body), ids=[one[0] for one in messages]
        )
        told = self.conduct(call)
        if asyncio.iscoroutine(told):
            told = await told
        if told is None:
            return None
        status, extra = told if isinstance(told, tuple) else (told, {})
        if status == 200:
            self.run(messages)
            await asyncio.sleep(self.work)
        self.record("answer", endpoint=self.name, status=status, ids=[one[0] for one in messages], **extra)
        if status == 200 and target.endswith(":batch"):
            ends = [{"id": one[0], "state": "accepted"} for one in messages]
            return response(200, json.dumps(ends).encode(), **extra)
        return response(status, b"", **extra)

    def run(self, messages):
        for ntf_id, key, body in messages:
            self.ran.append((time.monotonic(), ntf_id, key, body))
            self.record("run", endpoint=self.name, cell=self.cell, id=ntf_id)


class Client:
    """Hands in messages over kept connections, one request at a time on each."""

    def __init__(self, address, record, prefix="c"):
        self.host, port = address.split(":")
        self.port, self.record, self.prefix, self.count = int(port), record, prefix, 0
        self.resting, self.sent, self.answers = [], {}, {}

    def new_id(self):
        self.count += 1
        return f"{self.prefix}{os.getpid() % 65536:04x}{self.count:010x}"

    async def hand_in(self, topic, cell, ttl_ms, body=b"{}", key="", ntf_id="", target="/api"):
        """(id, status) of one message; status 0 where no answer came within 400 ms."""
        ntf_id = ntf_id or self.new_id()
        lines = [
            f"POST {target} HTTP/1.1",
            "Host: api.internal",
            f"X-Trace-Id: {ntf_id}",
            f"X-Qos: {topic}",
            f"X-Expires-In-Ms: {ttl_ms}",
            f"X-Addressing: dest={cell}",
            f"Content-Length: {len(body)}",
        ]
        if key:
            lines.append(f"Idempotency-Key: {key}")
        request = "\r\n".join([*lines, "", ""]).encode() + body
        self.sent[ntf_id] = {
            "at": time.monotonic(),
            "topic": topic,
            "cell": cell,
            "ttl_ms": ttl_ms,
            "key": key,
        }
        self.record("hand in", id=ntf_id, topic=topic, dest=cell, ttl_ms=ttl_ms, size=len(body))
        status = 0
        try:
            status = await asyncio.wait_for(self.ask(request), CLIENT_WAITS)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            pass
        self.answers[ntf_id] = status
        self.record("answered", id=ntf_id, status=status)
        return ntf_id, status

    async def ask(self, request):
        reader, writer = (
            self.resting.pop() if self.resting else await asyncio.open_connection(self.host, self.port)
        )
        try:
            writer.write(request)
            if not (message := await read_message(reader)):
                raise ConnectionResetError
        except BaseException:
            writer.close()
            raise
        if message[1].get("connection") == "close":
            writer.close()
        else:
            self.resting.append((reader, writer))
        return int(message[0].split(" ")[1])

    def taken(self):
        """The ids that were answered 202 or 200."""
        return [ntf_id for ntf_id, status in self.answers.items() if status in (200, 202)]

    def close(self):
        for _, writer in self.resting:
            writer.close()


class Dispatcher:
    """One dispatcher, started by `run` of the deploy file, over all its processes."""

    def __init__(self, folder, record, platform, settings, name="n0", limits=None):
        self.folder, self.record, self.platform, self.name = Path(folder) / name, record, platform, name
        self.address, self.settings = f"{HOST}:{free_port()}", settings
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        self.processes, self.starts = [], 0
        for part in ("state", "tmp"):
            (self.folder / part).mkdir(parents=True)
        self.run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]

    def configure(self, known=None, discovery=None):
        """Write the file that EDGE_CONFIG names, in one step; `known`: the list as it last had it."""
        told = {
            "name": self.name,
            "listen": self.address,
            "discovery": discovery or self.platform.address,
            "seed": f"{self.starts:016x}",
            "limits": self.limits,
            "known": known or self.platform.whole(),
            "settings": self.settings,
        }
        (self.folder / "config.new").write_text(json.dumps(told))
        (self.folder / "config.new").rename(self.folder / "config.json")

    async def start(self, known=None, wait=True, management=""):
        """Start a process; returns once it answers `GET /_health` with 200.

        management: the address of its door for operators, if it gets one (DAYS)."""
        self.starts += 1
        self.configure(known)
        kept = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        told = {
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": self.address,
            "EDGE_DISCOVERY": self.platform.address,
            "EDGE_STATE": str(self.folder / "state"),
            "EDGE_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder / "tmp"),
        } | ({"EDGE_MANAGEMENT": management} if management else {})
        with open(self.folder / "log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self.run,
                cwd=ROOT,
                env=kept | told,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        self.record("start", pid=process.pid)
        if wait:
            await self.until_ready()
        return process

    async def until_ready(self, within=30.0):
        until = time.monotonic() + within
        while time.monotonic() < until:
            if await self.status("/_health") == 200:
                return self.record("ready")
            if self.processes[-1].returncode is not None:
                raise CannotRun(
                    f"the dispatcher ended with {self.processes[-1].returncode}: {self.log()[-600:]}"
                )
            await asyncio.sleep(0.02)
        raise CannotRun("the dispatcher did not become ready")

    async def status(self, path):
        host, port = self.address.split(":")
        with suppress(OSError, asyncio.TimeoutError, IndexError):
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
                message = await asyncio.wait_for(read_message(reader), 1)
                return int(message[0].split(" ")[1]) if message else 0
            finally:
                writer.close()
        return 0

    async def says_yes(self, management):
        """Whether the process whose door is at `management` says that it takes clients."""
        host, port = management.split(":")
        with suppress(OSError, asyncio.TimeoutError):
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            try:
                writer.write(b"READY\n")
                return (await asyncio.wait_for(reader.readline(), 1)).startswith(b"ACK")
            finally:
                writer.close()
        return False

    def signal(self, number, process=None):
        process = process or self.processes[-1]
        self.record("signal", number=signal.Signals(number).name, pid=process.pid)
        process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.processes[-1].wait()

    async def stop(self, process):
        """A planned end: SIGTERM, and SIGKILL 3.7 s later (PROTOCOL)."""
        self.signal(signal.SIGTERM, process)
        with suppress(asyncio.TimeoutError):
            await asyncio.wait_for(process.wait(), 3.7)
        if process.returncode is None:
            self.signal(signal.SIGKILL, process)
            await process.wait()

    def log(self):
        return (self.folder / "log").read_text(errors="replace")

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()


class Case:
    """`Case(__file__, play).main()`: plays a case, writes record.txt beside it, and exits with its verdict.

    `play(case)` returns what broke the rule, a list of lines; an empty one means that the rule held."""

    def __init__(self, file, play):
        self.here, self.play = Path(file).resolve().parent, play
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.lines, self.began, self.parties = [], time.monotonic(), []

    def record(self, what, **fields):
        told = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{time.monotonic() - self.began:9.4f} {what} {told}")

    def platform(self):
        return self.keep(Platform(self.record))

    def endpoint(self, name, cell, conduct=None, host=HOST):
        return self.keep(Endpoint(name, cell, self.record, conduct, host))

    def dispatcher(self, platform, settings, **more):
        return self.keep(Dispatcher(self.folder, self.record, platform, settings, **more))

    def client(self, dispatcher, prefix="c"):
        return self.keep(Client(dispatcher.address, self.record, prefix))

    def keep(self, party):
        self.parties.append(party)
        return party

    async def run(self):
        for number in (signal.SIGTERM, signal.SIGINT):  # what was started ends with the script
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(self.play(self), MOST_SECONDS)
        finally:
            for party in reversed(self.parties):
                await party.end() if isinstance(party, Dispatcher) else party.close()

    def main(self):
        self.folder = tempfile.mkdtemp(prefix="review-")
        try:
            broken = asyncio.run(self.run())
            code = BROKEN if broken else HELD
        except (Exception, asyncio.CancelledError) as error:  # exit code 1 is for a broken rule alone
            broken, code = [f"could not run: {type(error).__name__}: {error}"], NOT_RUN
        finally:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.lines += [
            f"trouble {int(self.trouble)}",
            f"verdict {('held', 'broken', 'not run')[code]}",
            *broken,
        ]
        (self.here / "record.txt").write_text("\n".join(self.lines) + "\n")
        print(
            "\n".join([*broken[:20], f"{('held', 'broken', 'not run')[code]} (TROUBLE={int(self.trouble)})"])
        )
        sys.exit(code)


def topic(name, effect, ttl_s, window_s=0.0, **more):
    """One class of the settings."""
    entry = {
        "name": name,
        "effect": effect,
        "aim_ns": 2_000_000_000,
        "deadline_ns": int(ttl_s * 1e9),
        "group": "all",
        "late_worth": 0.5,
        "stream": False,
        "worth": 1.0,
        "repeat_window_ns": int(window_s * 1e9),
    }
    return entry | more


def settings(*topics, batches=(1,), slots=23, most_held=124, **more):
    """The settings of a small deployment, in the form that WIRE shows for one."""
    return {
        "areas": ["a"],
        "az": 0,
        "clients": {"marks_retry": False},
        "family_info": {
            "batch_by_kind": list(batches),
            "fades": "halves",
            "workers": slots,
            "routes_apart": [False] * len(batches),
        },
        "layers": ["member-systems"],
        "models": [f"m{number}" for number in range(1, len(batches) + 1)],
        "n_instances": 1,
        "rank": 0,
        "registry_mode": "push",
        "report": {"fields": [], "how": "off"},
        "permissions": {
            "cancel": True,
            "conn_idle_ns": 10_000_000_000,
            "connect_timeout_ns": 1_000_000_000,
            "max_attempts": 12,
            "max_retry_after_ns": 3_000_000_000,
            "most_held": most_held,
            "peer_messages": False,
            "probes": False,
            "retry_after": False,
            "second_copies": False,
            "streams_per_conn": 1,
        },
        "request_classes": list(topics),
        "safety": {
            "drain_grace_ns": 2_000_000_000,
            "fall_ns": 2_000_000_000,
            "grace_to_answer_ns": 20_000_000,
            "must_ask_in_ns": 10_000_000_000,
            "overload_factor": 2.0,
            "start_capacity": 0.2,
            "warm_within_ns": 13_000_000_000,
        },
        "service_type": "deliver",
        "tenants": [],
        "tick_ns": 5_000_000,
        "tier": 0,
        "weight_kind": "nominal",
        "worth_by": "request",
    } | more
