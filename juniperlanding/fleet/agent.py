"""The I/O half of the fleet: a socket for datagrams, a clock, and the members that the folder remembers."""

from zlib import crc32

import msgspec
import trio

from juniperlanding import VERSION
from juniperlanding.choice import SEC
from juniperlanding.fleet import words
from juniperlanding.fleet.members import View
from juniperlanding.fleet.words import PHASES
from juniperlanding.ground.errors import OperatorError, as_operator_error
from juniperlanding.ground.log import error_location, safe_description
from juniperlanding.ground.part import Part

FILE, MOST_KEY, MOST_REMEMBERED = "fleet", 1 << 12, 256
WRITE_EVERY, BIND_AGAIN, MOST_TOGETHER = 2.0, 0.05, 256


class KeyUnreadable(OperatorError, OSError):
    """The fleet's key file cannot be read at the start, though the operators' file was in order."""

    code, remedy = "fleet-key-unreadable", "Put the key file back, of mode 0600 for the dispatcher's user."


class NameTaken(OperatorError):
    """Another process of the fleet goes by this dispatcher's name; the younger of the two yields."""

    code, remedy = "fleet-name-taken", "Give each dispatcher a name of its own; the other is at `address`."


class Agent(Part):
    """A member from `run` until it is cancelled.  `view` is None until its address is bound.

    `load` gives (owed, outstanding).  `wait(version)` returns once the view has another version."""

    section = "fleet"

    def __init__(self, told, name, state, system, load, log):
        self.told, self.system, self.load, self.log = told, system, load, log
        self.name = name[: words.MOST_NAME]  # the platform's may be longer than what members hear
        self.path, self.view, self.sock, self.news = f"{state}/{FILE}", None, None, trio.Event()
        try:
            self.key = system.files.read(told.key, MOST_KEY).strip()[:64]
        except OSError as error:
            raise KeyUnreadable.from_os_error(error) from None
        self.noise, self.sent, self.received, self.phase = 0, 0, 0, PHASES.index("serving")
        self.channels = {}

    def now(self):
        """Steady nanoseconds, of this process alone."""
        return int(trio.current_time() * SEC)

    async def run(self):
        self.sock = await self.bound()
        try:
            host, port = self.told.advertise or self.told.address
            life = crc32(f"{self.name}/{self.system.clock.now()}/{self.sock.address}".encode()) | 1 << 32
            me = words.Record(
                self.name, 0, words.ALIVE, host, port, self.told.site, self.phase, VERSION, life=life
            )
            seeds = list(dict.fromkeys([*self.told.seeds, *self.remembered()]))
            self.view = View(me, self.told.name, seeds, life, self.now())
            self.wake()
            self.log("fleet", "joining", address=f"{host}:{port}", seeds=len(seeds))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.receive)
                nursery.start_soon(self.remember)
                while True:
                    self.guarded(self.view.tick, self.now())
                    self.guarded(self.carry_out)
                    with trio.move_on_after(max(0.001, (self.view.due() - self.now()) / SEC)):
                        await self.news.wait()
        finally:
            self.sock.close()
            self.sock = None

    async def bound(self):
        """Threat: the process that we replace still has the address for a moment."""
        said = None
        while True:
            try:
                return self.system.network.datagrams(self.told.address)
            except OSError as error:
                if said != (said := safe_description(error)):
                    self.log("fleet", "no address yet", why=said, **as_operator_error(error).log_fields)
                await trio.sleep(BIND_AGAIN)

    async def receive(self):
        while True:
            try:
                data, address = await self.sock.recv()
                if (byte := words.on_channel(data)) is not None:
                    if handler := self.channels.get(byte):
                        said = words.decoded_aside(data, self.key, self.told.name)
                        self.guarded(handler, said.name, said.life, said.payload, address)
                    continue
                message = words.decoded(data, self.key, self.told.name)
            except words.Noise:
                self.noise += 1
                continue
            except OSError as error:
                self.log("fleet", "cannot receive", why=safe_description(error))
                await trio.sleep(BIND_AGAIN)
                continue
            self.received += 1
            self.guarded(self.view.heard, message, self.now())
            self.guarded(self.carry_out)

    # ---- other packages' words over our socket

    def channel(self, byte, handler):
        """`handler(name, life, payload, address)` gets what members say there; else it is passed over."""
        self.channels[byte] = handler

    def send(self, byte, to, payload, life=0):
        """To a member by name, or to an address; whether it left.  payload: at most `words.MOST_PAYLOAD`;
        life: of an earlier process of ours that handed over to this one, if not this one's."""
        if isinstance(to, str) and self.view:
            member = self.view.members.get(to)
            to = member and member.record.address
        if not self.sock or not to or len(payload) > words.MOST_PAYLOAD:
            return False
        said = words.Aside(self.told.name, self.name, life or self.view.me.life, payload)
        return self.sock.send(words.aside(byte, said, self.key), to)

    async def joined(self):
        """Returns once the address is bound, and with it this process's life is known."""
        while not (self.view and self.sock):
            await self.news.wait()

    def guarded(self, what, *fields):
        """Threat: one odd message must not end the program."""
        try:
            what(*fields)
        except Exception as error:
            self.log("fault", part="fleet", why=safe_description(error), at_line=error_location(error))

    def carry_out(self):
        view = self.view
        view.me = msgspec.structs.replace(view.me, load=tuple(self.load()))
        # Threat: one that cannot be sent is tried for ever, and keeps all others back.
        out, view.out = view.out, []
        changes, view.changes = view.changes, []
        for member, before in changes:
            self.say(member, before)
        if changes:
            self.wake()
        for address, message in out:
            self.sent += self.sock.send(words.encoded(message, self.key), address)

    def wake(self):
        self.news.set()
        self.news = trio.Event()

    def say(self, member, before):
        record, view = member.record, self.view
        if record.name == self.name:
            return self.log(
                "fleet",
                "another process has our name",
                address=f"{record.host}:{record.port}",
                yields=view.me.life > record.life,
                **NameTaken().log_fields,
            )
        self.log(
            "fleet",
            f"{record.name} is {words.STATES[record.state]}",
            before="new" if before is None else words.STATES[before],
            by=member.by,
            inc=record.inc,
            phase=words.PHASES[record.phase],
            living=len(view.living()) + 1,
            sure=f"{view.sure():.2f}",
        )

    def phase_changed(self, phase):
        """We drain, or leave: nobody is to suspect us for it."""
        self.phase = PHASES.index(phase)
        if self.view and self.sock:
            self.guarded(self.view.enter, self.phase)
            self.guarded(self.carry_out)

    async def wait(self, version):
        while not self.view or self.view.version == version:
            await self.news.wait()

    def gauges(self):
        """For `STATS`, while the fleet is on."""
        states = [member.state for member in self.view.members.values()] if self.view else []
        return {f"fleet.{state}": states.count(at) for at, state in enumerate(words.STATES)} | {
            "fleet.doubt": self.view.doubt if self.view else 0,
            "fleet.noise": self.noise,
        }

    def calls(self):
        return {"FLEET": self.lines}

    def lines(self):
        """The door's `FLEET`: one line a member, ourselves first."""
        if not self.view:
            return ["--"]
        view, now = self.view, self.now()
        rows = [
            f"{self.name} alive {words.PHASES[view.me.phase]} inc={view.me.inc} self "
            f"sure={view.sure():.2f} doubt={view.doubt} version={view.version} noise={self.noise} "
            f"sent={self.sent} received={self.received}"
        ]
        for member in sorted(view.members.values(), key=lambda member: member.name):
            record = member.record
            fresh = member.load and now - member.load_at < view.tuning.load_for
            owed = f" owed={member.load[0]} out={member.load[1]}" if fresh else ""
            rows.append(
                f"{record.name} {words.STATES[record.state]} {words.PHASES[record.phase]} "
                f"inc={record.inc} at={record.host}:{record.port} site={record.site or '-'} "
                f"since={(now - member.since) / SEC:.1f}s by={member.by}{owed}"
            )
        return [*rows, "--"]

    # ---- the folder

    def remembered(self):
        """Addresses that an earlier process knew.  Threat: a torn or foreign file; it counts as none."""
        try:
            found = msgspec.json.decode(
                self.system.files.read(self.path, 1 << 20), type=list[tuple[str, int]]
            )
            return [address for address in found if words.reachable(address)][:MOST_REMEMBERED]
        except FileNotFoundError:
            return []
        except (OSError, msgspec.MsgspecError) as error:
            self.log("fleet", "remembers nobody", why=safe_description(error))
            return []

    async def remember(self):
        """Beside the flow; a disk that fails costs the memory alone."""
        written, said = None, None
        while True:
            await trio.sleep(WRITE_EVERY)
            living = sorted(member.record.address for member in self.view.living())[:MOST_REMEMBERED]
            if living == written or not living:
                continue
            try:
                file = self.system.files.open(self.path + ".new", fresh=True)
                try:
                    data = memoryview(msgspec.json.encode(living))
                    while data:
                        data = data[self.system.files.write(file, data) :]
                finally:
                    self.system.files.close(file)
                self.system.files.rename(self.path + ".new", self.path)
                written = living
            except OSError as error:
                if said != (said := safe_description(error)):
                    self.log(
                        "fleet",
                        "cannot write down who is here",
                        why=said,
                        **as_operator_error(error).log_fields,
                    )
