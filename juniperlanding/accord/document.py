"""The policy document: TOML of bounded size, checked by the types of the operators' file.

`read` gives a `Policy`, or raises `Unfit` with every fault at once; its `settings` are what the decision
module gets.  A document names all topic types; what else it leaves out is as each dispatcher's own file says.
"""

from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from juniperlanding.accord.words import MOST_DOCUMENT
from juniperlanding.ground import file, sections
from juniperlanding.ground.errors import OperatorError
from juniperlanding.ground.sections import Clients, Count, Figure, Name, Section, Share, Size, told

MOST_ROSTER = 4096
DISK_SHARE = 512  # of the folder's bytes, one document may have one part in so many; several are kept
HELD_BYTES = 1500  # measured: what one held notification takes of the memory, its body not counted


class Unfit(OperatorError, ValueError):
    """A policy document that cannot be read, or has figures that none may have."""

    code, remedy = "policy-unfit", "Mend the file where the lines say so, and propose it again."


class Holding(Section):
    """How much is held and sent at once."""

    slots: told(Count | None, "Calls out at once.", "slots") = None
    most_held: told(Count | None, "Notifications held at once; more are refused.", "most_held") = None
    most_pushes: told(Count | None, "Pushes of one notification.", "most_pushes") = None


class Sites(Section):
    """What serving a site from its neighbours costs, and how much of themselves they give."""

    crossing: told(dict[str, Figure], '"FROM>TO" and the price of a call that crosses.') = {}
    share: told(dict[str, Share], "A site, and the share of its room that it gives in an outage.") = {}


class Shards(Section):
    """The bounds of a shard."""

    most: told(Size | None, "Bytes from which it is split.") = None
    least: told(Size | None, "Bytes under which it is merged back.") = None


class Document(Section):
    """The whole document."""

    roster: told(Annotated[list[Name], Meta(max_length=MOST_ROSTER)], "Members bound by it; none: all.") = []
    crossing_price: told(Figure | None, "The price of a call to another zone.", "crossing_price") = None
    holding: Holding = field(default_factory=Holding)
    clients: Clients = field(default_factory=Clients)
    sites: Sites = field(default_factory=Sites)
    shards: Shards = field(default_factory=Shards)
    topic: list[sections.Topic] = []


@dataclass(slots=True)
class Policy:
    """values: key path -> value for each key told; topics: under the decision module's names."""

    values: dict
    topics: list

    @property
    def roster(self):
        return frozenset(self.values.get("roster", ()))

    def settings(self, own):
        """`own`, the process's settings from its file, with what this policy changes."""
        changed = {
            SETTINGS[key]: file.plain_value(value) for key, value in self.values.items() if key in SETTINGS
        }
        return own | changed | {"topic_types": self.topics}


class Bytes:
    """A document in the place of a file."""

    def __init__(self, data):
        self.data = data

    def read(self, _path, _most):
        return self.data


def names():
    """key path -> the decision module's name for it."""
    found = {}
    for key, (kind, _, meta) in file.keys_of(Document).items():
        inner = {"": (kind, None, meta)}
        if file.section_of(kind):
            inner = {f".{name}": entry for name, entry in file.keys_of(kind).items()}
        found |= {
            key + name: entry[2].extra["setting"]
            for name, entry in inner.items()
            if entry[2] and "setting" in entry[2].extra
        }
    return found


SETTINGS = names()


def read(data, name="the document"):
    """A `Policy`.  Threats: bytes of anybody on the network; a document that would read other files."""
    if not 0 < len(data) <= MOST_DOCUMENT:
        raise Unfit(f"{name}: found {len(data)} bytes, expected 1 to {MOST_DOCUMENT}")
    reader = file.Reader(Bytes(data), Document, {"topic": sections.Topic})
    table = reader.document(name)
    if table is not None:
        reader.section(name, "", Document, table)
        together(reader, name)
    if reader.errors:
        raise Unfit("; ".join(reader.errors))
    values = {key: value for key, (value, _) in reader.result.values.items()}
    return Policy(values, [file.topic_settings(entry) for entry, _ in reader.result.tables["topic"]])


def together(reader, name):
    """Faults that show only where keys are seen together."""
    values, entries = reader.result.values, reader.result.tables["topic"]
    found = [entry.name for entry, _ in entries]
    for twice in sorted({one for one in found if found.count(one) > 1}) if len(found) < 1000 else ():
        reader.report_error(name, "topic", f'"{twice}" twice', "each name once")
    if not found and not reader.errors:
        reader.report_error(name, "topic", "nothing", "every topic type")
    file.check_topics(reader)
    for key in values.get("sites.crossing", ({}, None))[0]:
        if len([part for part in key.split(">") if part]) != 2:
            reader.report_error(name, "sites.crossing", file.printable(key), 'a key of the form "FROM>TO"')
    most, least = (values.get(f"shards.{key}", (None, None))[0] for key in ("most", "least"))
    if most is not None and most < 64 << 10:
        reader.report_error(name, "shards.most", most, "at least 64KiB")
    if least is not None and least * 2 > (most or 0):
        reader.report_error(name, "shards.least", least, "no more than half of `shards.most`")


def refusal(data, own, decision_loop, ledger, memory, sockets, disk):
    """Why a process cannot take a document in its present state; "" if it can.

    own: its settings from its file; memory, disk: bytes it may use; sockets: calls out that it has places
    for."""
    policy = read(data)
    kinds = {one.get("name"): one.get("kind") for one in own["topic_types"]}
    told = {one["name"]: one["kind"] for one in policy.topics}
    owed = {one.topic for one in ledger.notifications.values()}
    reasons = [f"topic type {name} of what it owes is missing" for name in sorted(owed - told.keys())]
    reasons += [f"topic type {name} is missing" for name in sorted(kinds.keys() - told.keys() - owed)]
    reasons += [f"topic type {name} is unknown" for name in sorted(told.keys() - kinds.keys())]
    reasons += [
        f"topic type {name} is {kinds[name]}, not {told[name]}"
        for name in sorted(told.keys() & kinds.keys())
        if kinds[name] != told[name]
    ]
    settings = policy.settings(own)
    held, slots = settings.get("most_held"), settings.get("slots", 0)
    if held is not None and held < len(decision_loop.unfinished):
        reasons.append(f"most_held is {held}, and it holds {len(decision_loop.unfinished)}")
    if "holding.most_held" in policy.values and held * HELD_BYTES > memory:
        reasons.append(f"most_held is {held}, and its memory has room for {memory // HELD_BYTES}")
    if "holding.slots" in policy.values and slots > sockets:
        reasons.append(f"slots is {slots}, and it has sockets for {sockets}")
    if len(data) > disk // DISK_SHARE:
        reasons.append(f"it has {len(data)} bytes, and its folder room for {disk // DISK_SHARE}")
    return "; ".join(reasons[:4]) + (f"; {len(reasons) - 4} more" if len(reasons) > 4 else "")
