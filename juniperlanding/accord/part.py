"""The I/O half of the accord: datagrams on the fleet's socket, the folder, the door, and the owner's licence.

A voter's word leaves once what it rests on is on disk.  The owner takes on new work only while `holds` is the
number that it has in force."""

import re

import trio

from juniperlanding.accord import words
from juniperlanding.accord.accord import Accord, Refused, Tuning
from juniperlanding.accord.document import Unfit, read, refusal
from juniperlanding.accord.folder import KEPT, TERMS, Folder
from juniperlanding.accord.words import Kept, digest_of
from juniperlanding.ground.errors import OperatorError
from juniperlanding.ground.log import error_location, safe_description
from juniperlanding.ground.part import Part

SEC = 1_000_000_000
CHANNEL = 1  # of the fleet's socket
FILE = re.compile(r"[A-Za-z0-9_-][A-Za-z0-9._-]{0,99}\.toml")
MOST_WAITING, MOST_TERMS, MOST_ADDRESSES = 1024, 16, 4096
TERMS_SHARE = 128  # of the folder's bytes, the documents that something owed needs may have one part
MOST_BEFORE = 4
AGAIN = 0.05  # seconds until what could not be read or written is tried again
TIMES = ("rest", "since", "after")  # figures of log lines that are nanoseconds


class NotProposed(OperatorError):
    """A policy was not put to the others."""

    code, remedy = "policy-not-proposed", "Do what the reason asks; POLICY tells what is under way."


class Policy(Part):
    section = "policy"

    def __init__(self, told, node, fleet):
        self.told, self.node, self.fleet, self.log = told, node, fleet, node.log
        self.files, self.steady, self.own = node.system.files, node.system.clock.steady, node.config.settings
        self.folder = Folder(self.files, node.config.state, node.log)
        self.tuning = Tuning(licence=told.lease, drift=told.drift)
        self.accord = self.decision_loop = self.written = None
        self.waiting, self.addresses, self.documents = [], {}, {}
        self.news, self.unwritten, self.decided = trio.Event(), trio.Event(), trio.Event()
        self.until, self.noise = 0, 0
        self.before = []  # lives that handed over to this one, and will never take on anything again
        fleet.channel(CHANNEL, self.heard)

    # ---- the owner's side

    def on_built(self, node):
        self.decision_loop, self.documents = node.decision_loop, self.folder.read(TERMS, {})
        terms = {0: self.own["topic_types"]}
        for number, document in self.documents.items():
            try:
                terms[number] = self.settings(document)["topic_types"]
            except Unfit as error:  # threat: an older program cannot read what a newer one took on under
                self.log("policy", "terms cannot be read", number=number, why=str(error), **error.log_fields)
        self.decision_loop.require_lease(self, terms)

    def settings(self, document):
        return read(document).settings(self.own) if document else self.own

    def crossings(self):
        """(from, to) -> the price of a crossing, as the document in force names them; {} without one."""
        document = self.accord.document if self.accord else b""
        named = read(document).values.get("sites.crossing", {}) if document else {}
        return {tuple(key.split(">")): price for key, price in named.items()}

    def holds(self):
        """The number under which new work may be taken on at this moment, or None."""
        return self.accord.holds(self.steady()) if self.accord else None

    def again_in(self):
        """When who was refused may come again: a round of asking is over by then."""
        return self.tuning.licence // 6

    def check(self, document):
        node, told = self.node, self.node.config
        return refusal(
            document,
            self.own,
            node.decision_loop,
            node.ledger,
            told.memory,
            node.max_endpoint_connections,
            told.disk,
        )

    # ---- while it serves

    async def run(self):
        """Threat: an `Accord` built from the folder while another process still writes there."""
        await self.fleet.joined()
        self.written = kept = await self.kept()
        self.accord = accord = Accord(
            self.name,
            self.fleet.view.me.life,
            tuple(self.told.voters),
            kept,
            lambda document: read(document).roster,
            self.check,
            self.node.config.seed,
            self.steady(),
            self.tuning,
        )
        self.waiting, self.unwritten, self.decided = [], trio.Event(), trio.Event()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.write)
                nursery.start_soon(self.settle)
                while True:
                    accord.members = self.reachable()
                    self.guarded(accord.tick, self.steady())
                    self.guarded(self.carry_out)
                    self.until = accord.due()
                    with trio.move_on_after(max(0.001, (self.until - self.steady()) / SEC)):
                        await self.news.wait()
        finally:
            self.before, self.accord = self.export_state(), None

    def export_state(self):
        return ([self.accord.life] if self.accord else []) + self.before[: MOST_BEFORE - 1]

    def import_state(self, state):
        lives = state[:MOST_BEFORE] if isinstance(state, list) else []  # threat: another version's form
        self.before = [life for life in lives if isinstance(life, int) and 0 < life < 1 << 62]

    def reachable(self):
        """Who is believed alive, and voters of whom nothing is known yet."""
        view = self.fleet.view
        living = {member.record.name for member in view.living()}
        return living | (self.told.voters.keys() - view.members.keys() - {self.name})

    @property
    def name(self):
        return self.fleet.name

    async def kept(self):
        """Threat: the disk fails for a moment, and a voter would forget what it promised."""
        said = None
        while True:
            try:
                return self.folder.read(KEPT, Kept())
            except OSError as error:
                if said != (said := safe_description(error)):
                    self.log("policy", "cannot read what was written down", why=said)
                await trio.sleep(AGAIN)

    def guarded(self, what, *fields):
        """Threat: one odd message must not end the program."""
        try:
            what(*fields)
        except Exception as error:
            self.log("fault", part="policy", why=safe_description(error), at_line=error_location(error))

    def heard(self, name, life, payload, address):
        if not self.accord or name == self.name:
            return
        try:
            message = words.decoded(payload)
        except words.Noise:
            self.noise += 1
            return
        if name not in self.told.voters:
            self.addresses.pop(name, None)
            self.addresses[name] = address
            if len(self.addresses) > MOST_ADDRESSES:
                del self.addresses[next(iter(self.addresses))]
        self.accord.heard(name, life, message, self.steady())
        self.carry_out()

    def carry_out(self):
        accord = self.accord
        while accord.out:
            out, accord.out = accord.out, []
            for name, message, durable in out:
                if durable and accord.kept is not self.written:
                    self.waiting.append((name, message))
                else:
                    self.send(name, message)
        del self.waiting[:-MOST_WAITING]
        said, accord.said = accord.said, []
        for event, figures in said:
            self.log("policy", event, **{name: shown(name, figure) for name, figure in figures.items()})
        if accord.kept is not self.written:
            self.unwritten.set()
        if accord.number >= 0 and accord.number != self.decision_loop.policy_number:
            self.decided.set()
        if accord.due() < self.until:
            self.news.set()
            self.news = trio.Event()

    def send(self, name, message):
        if name == self.name:
            return self.accord.heard(name, self.accord.life, message, self.steady())
        to = self.told.voters.get(name)
        if not to:
            member = self.fleet.view.members.get(name)
            to = member.record.address if member else self.addresses.get(name)
        if not to:
            return
        self.fleet.send(CHANNEL, to, words.encoded(message))
        if isinstance(message, words.Released):
            # Threat: a change waits a licence for each that was replaced.  That these are over is known from
            # their own word, never from the folder, of which there may be a copy elsewhere.
            for life in self.before:
                self.fleet.send(CHANNEL, to, words.encoded(message), life)

    async def write(self):
        """Beside the flow.  A disk that fails costs this voter's words: none leaves; it is asked again."""
        said = None
        while True:
            await self.unwritten.wait()
            kept, waiting, self.waiting = self.accord.kept, self.waiting, []
            try:
                await self.files.run_in_thread(self.folder.write, KEPT, kept)
            except OSError as error:
                if said != (said := safe_description(error)):
                    self.log("policy", "cannot write down a promise, so it is not given", why=said)
                await trio.sleep(AGAIN)
                continue
            self.written, said = kept, None
            if kept is self.accord.kept:
                self.unwritten = trio.Event()
            for name, message in waiting:
                self.send(name, message)
            self.guarded(self.carry_out)

    async def settle(self):
        """Put a number in force: its document is on disk before anything is taken on under it."""
        said = None
        while True:
            await self.decided.wait()
            self.decided = trio.Event()
            number, document = self.accord.number, self.accord.document
            owed = {one.policy_number for one in self.node.ledger.notifications.values()}
            kept = {one: text for one, text in self.documents.items() if one in owed}
            kept |= {number: document} if number else {}
            # At the bound what is owed under the oldest gets the operators' own terms after a restart.
            kept = dict(sorted(kept.items())[-MOST_TERMS:])
            while len(kept) > 1 and sum(map(len, kept.values())) > self.node.config.disk // TERMS_SHARE:
                del kept[min(kept)]
            try:
                settings = self.settings(document)
                if kept != self.documents:
                    await self.files.run_in_thread(self.folder.write, TERMS, kept)
            except (OSError, Unfit) as error:
                if said != (said := safe_description(error)):
                    self.log("policy", "cannot be put in force yet", number=number, why=said)
                await trio.sleep(AGAIN)
                self.decided.set()
                continue
            self.documents, said = kept, None
            if number != self.decision_loop.policy_number:
                await self.decision_loop.enqueue(self.decision_loop.apply_policy, number, settings)

    # ---- people

    def calls(self):
        return {"POLICY": self.lines}

    def commands_with_argument(self):
        return {"PROPOSE": self.propose}

    def propose(self, name):
        """The door's `PROPOSE FILE`."""
        if not FILE.fullmatch(name):
            raise NotProposed("expected the name of a file of the folder, such as news.toml")
        return self.offer(f"{self.told.folder}/{name}", name)

    def offer(self, path, name):
        if not self.accord:
            raise NotProposed("this process has no licence yet")
        try:
            document = self.files.read(path, words.MOST_DOCUMENT)
            read(document, name)
            number = self.accord.propose(document, self.steady())
        except OSError as error:
            raise NotProposed(f"{name}: {(error.strerror or str(error)).lower()}") from None
        except (Refused, Unfit) as error:
            raise NotProposed(str(error)) from None
        finally:
            self.guarded(self.carry_out)
        return [f"proposal={number} digest={digest_of(document)}", "--"]

    def reload(self):
        """SIGHUP proposes the file if it has changed."""
        path = self.told.file
        if not path:
            return
        try:
            if not self.accord or digest_of(self.files.read(path, words.MOST_DOCUMENT)) != self.accord.digest:
                self.offer(path, path)
        except (OSError, NotProposed) as error:
            fields = error.log_fields if isinstance(error, NotProposed) else {}
            self.log("policy", "not proposed", file=path, why=str(error), **fields)

    def phase_changed(self, phase):
        if self.accord and phase == "draining":
            self.guarded(self.accord.leave, self.steady())
            self.guarded(self.carry_out)

    def not_ready_reason(self):
        if self.decision_loop.has_lease_for(self.decision_loop.policy_number):
            return ""
        state = self.accord.state(self.steady()) if self.accord else {"unable": "", "denied": {}}
        denied = ", ".join(f"{voter} says {why}" for voter, why in sorted(state["denied"].items()))
        why = state["unable"] or denied
        return f"no licence, new work is refused{f': {why}' if why else ''}"

    def gauges(self):
        accord, now = self.accord, self.steady()
        rest = accord.rest(now) if accord else 0
        voter = accord and accord.voter
        return {
            "policy.number": accord.number if accord else -1,
            "policy.licence_ms": rest // 1_000_000,
            "policy.leads": int(bool(accord and accord.leader.change)),
            "policy.cleared": int(bool(not voter or voter.cleared)),
            "policy.noise": self.noise,
        }

    def lines(self):
        """The door's `POLICY`: what is in force, what is under way here, what became of the last proposal."""
        if not self.accord:
            first = "number=-1 digest=- licence=- step=- voter=- cleared=- voters=-"
            return [first, NO_PROPOSAL, NO_LAST, "--"]
        state = self.accord.state(self.steady())
        rest = f"{state['rest'] / SEC:.2f}" if state["rest"] else "-"
        first = (
            f"number={state['number']} digest={state['digest'] or '-'} licence={rest} "
            f"step={state['step']} voter={yes(state['voter'])} cleared={yes(state['cleared'])} "
            f"voters={','.join(state['voters'])}"
        )
        proposal, last = NO_PROPOSAL, NO_LAST
        if state["proposal"] is not None:
            proposal = (
                f"proposal={state['proposal']} digest={state['proposal_digest'] or '-'} "
                f"by={state['by']} step={state['step']} since={state['since'] / SEC:.2f} "
                f"waits={','.join(state['waits']) or '-'}"
            )
        if state["last"]:
            number, outcome, by, why = state["last"]
            last = f"last={number} outcome={outcome} by={by} why={' '.join(why.split()) or '-'}"
        return [first, proposal, last, "--"]


NO_PROPOSAL, NO_LAST = "proposal=- digest=- by=- step=- since=- waits=-", "last=- outcome=- by=- why=-"


def yes(flag):
    return "yes" if flag else "no"


def shown(name, figure):
    if name in TIMES:
        return f"{figure / SEC:.3f}s"
    return ",".join(map(str, figure)) if isinstance(figure, (list, tuple)) else figure
