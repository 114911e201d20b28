"""Reads an operators' file: TOML with includes, to one map from key path to (value, origin).

`read` returns a `ParsedFile`, or raises `FileError` with all errors in the file at once; whatever the bytes
are, it raises nothing else.  `effective.values` combines the result with the platform's values."""

import difflib
import math
import os
import tomllib
import typing
from dataclasses import dataclass, field

import msgspec

from juniperlanding.ground import sections
from juniperlanding.ground.errors import OperatorError
from juniperlanding.ground.units import Quantity, decode_quantity

MAX_FILE_BYTES = 1 << 20  # of one file
MAX_FILES = 32  # with all includes
MAX_ERRORS = 50  # that are reported
# Lists of tables; those of included files are added to them.
TABLES = {"kind": sections.Kind, "topic": sections.Topic, "endpoint": sections.Endpoint}
LISTS = tuple(TABLES)
DEFAULT = "default"


class FileError(OperatorError):
    """The operators' file is refused; each error is one line: FILE: KEY: found X, expected Y."""

    code = "file-refused"
    remedy = "Correct these keys; `juniperlanding check FILE` checks the file without starting."

    def __init__(self, lines):
        super().__init__("\n".join(lines))
        self.lines = lines

    @property
    def display_lines(self):
        return [*(f"{self.code}: {line}" for line in self.lines), f"{self.code}: Remedy: {self.remedy}"]


class KeyRefused(FileError):
    """The fleet's key file cannot be read, can be read by others, or is too short or too long."""

    code = "fleet-key-refused"
    remedy = (
        "Write the fleet's key to that file: 16 to 4096 bytes, mode 0600, owned by the dispatcher's user."
    )


@dataclass
class ParsedFile:
    """Content of a file.  values: key path -> (value, origin); tables: list name -> [(Struct, origin)]."""

    values: dict = field(default_factory=dict)
    tables: dict = field(default_factory=dict)


def keys_of(struct):
    """name -> (type, default or NODEFAULT, description annotation) for each key of a section."""
    hints = typing.get_type_hints(struct, include_extras=True)
    found = {}
    for entry in msgspec.structs.fields(struct):
        default = entry.default
        if entry.default_factory is not msgspec.NODEFAULT:
            default = entry.default_factory()
        meta = next((m for m in getattr(hints[entry.name], "__metadata__", ()) if m.extra is not None), None)
        found[entry.name] = entry.type, default, meta
    return found


def section_of(kind):
    """The section class that a type is; None for any other type."""
    return kind if isinstance(kind, type) and issubclass(kind, sections.Section) else None


class Reader:
    """Reads one file with its includes and collects the errors."""

    def __init__(self, files, root, tables):
        self.files, self.root, self.tables = files, root, tables
        self.result, self.errors = ParsedFile(tables={name: [] for name in tables}), []
        self.open_paths = []  # real paths from the first file down to the one being read
        self.file_count = 0
        self.key_file_errors = 0  # how many of the errors concern the fleet's key file

    def report_error(self, place, key, found, expected):
        """Add one error of a file (`place`); `key` is empty when it concerns the whole file."""
        if len(self.errors) < MAX_ERRORS:
            self.errors.append(
                f"{place}: {key}: found {found}, expected {expected}"
                if key
                else f"{place}: found {found}, expected {expected}"
            )

    def file(self, path):
        """Read a file after the files that it includes, so that its own values replace theirs."""
        real_path = os.path.realpath(path)
        self.file_count += 1
        if real_path in self.open_paths:
            return self.report_error(path, "include", "a file that includes itself", "no circular include")
        if self.file_count > MAX_FILES:
            return self.report_error(path, "include", f"more than {MAX_FILES} files", "fewer")
        document = self.document(path)
        if document is None:
            return
        self.open_paths.append(real_path)
        include = document.pop("include", [])
        if not isinstance(include, list) or not all(
            isinstance(name, str) and name and "\0" not in name for name in include
        ):
            self.report_error(path, "include", printable(include), "a list of paths")
            include = []
        for name in include:
            self.file(os.path.join(os.path.dirname(path), name))
        self.section(path, "", self.root, document)
        self.open_paths.pop()

    def document(self, path):
        """The parsed TOML of one file; None after an error."""
        try:
            raw = self.files.read(path, MAX_FILE_BYTES)
        except (OSError, ValueError) as error:
            message = getattr(error, "strerror", None) or str(error)
            return self.report_error(path, "", message.lower(), "a file that can be read")
        try:
            return tomllib.loads(raw.decode("utf-8"))
        except UnicodeDecodeError as error:
            self.report_error(path, "", f"byte 0x{raw[error.start]:02x} at {error.start}", "UTF-8 text")
        except tomllib.TOMLDecodeError as error:
            self.report_error(path, "", str(error), "TOML")
        except (RecursionError, ValueError, OverflowError) as error:  # tables nested too deep, huge numbers
            self.report_error(path, "", type(error).__name__, "TOML of ordinary depth and numbers")

    def section(self, path, prefix, struct, table):
        """Check and store the keys of a table; `prefix` is the key path of the table."""
        known = keys_of(struct)
        for name, value in table.items():
            key = f"{prefix}{name}"
            if name not in known or name == "include":
                nearest = difflib.get_close_matches(name, known, 1, 0.5)
                self.report_error(
                    path,
                    printable(key, 200).strip('"'),
                    "an unknown key",
                    f"{nearest[0]!r}" if nearest else f"one of {', '.join(known)}",
                )
                continue
            kind = known[name][0]
            if name in self.tables and not prefix:
                self.table_entries(path, name, value)
            elif section_of(kind):
                if isinstance(value, dict):
                    self.section(path, f"{key}.", kind, value)
                else:
                    self.report_error(path, key, printable(value), "a table")
            else:
                self.value(path, key, kind, value)

    def value(self, path, key, kind, value):
        """Convert a value to its type and store it."""
        try:
            if not is_finite(value):
                raise ValueError("a finite number")
            self.result.values[key] = msgspec.convert(value, kind, dec_hook=decode_quantity), path
        except (ValueError, TypeError, RecursionError) as error:  # msgspec's error is a ValueError
            self.report_error(path, key, printable(value), expected_by_msgspec(error, value))

    def table_entries(self, path, name, value):
        """Convert the tables of a list such as `[[kind]]` and add those without errors."""
        struct = self.tables[name]
        if not isinstance(value, list) or not all(isinstance(entry, dict) for entry in value):
            return self.report_error(path, name, printable(value), f"tables under [[{name}]]")
        for number, entry in enumerate(value):
            errors_before, outer = len(self.errors), self.result.values
            self.result.values = {}  # collects the values of this table
            self.section(path, f"{name}[{number}].", struct, entry)
            found, self.result.values = self.result.values, outer
            arguments = {key.rpartition(".")[2]: value for key, (value, _) in found.items()}
            for key, (_, default, _) in keys_of(struct).items():
                if default is msgspec.NODEFAULT and key not in entry:
                    self.report_error(
                        path, f"{name}[{number}].{key}", "nothing", "this key, which has no default"
                    )
            if len(self.errors) == errors_before:
                self.result.tables[name].append((struct(**arguments), path))


def is_finite(value):
    """Whether a value, or each value in a list or table, is no NaN or infinity."""
    if isinstance(value, float):
        return math.isfinite(value)
    if isinstance(value, (list, dict)):
        return all(map(is_finite, value.values() if isinstance(value, dict) else value))
    return True


def printable(value, most=60):
    """A value as error messages show it: on one line, printable, at most so many characters."""
    text = " ".join(repr(value).split()) if not isinstance(value, str) else '"' + value + '"'
    text = "".join(c if c.isprintable() else "?" for c in text)
    return text if len(text) <= most else text[:most] + "..."


def expected_by_msgspec(error, value):
    """X of msgspec's message `Expected X, got Y - at Z`."""
    text = str(error).partition(" - at ")[0].removeprefix("Expected ").partition(", got")[0]
    text = text.replace("`", "")
    return text or f"something other than {type(value).__name__}"


def read(path, files, root=sections.File, tables=TABLES):
    """The content of a file and its includes.  Raises `FileError` with all errors at once; changes nothing.

    With another `root` section and its `tables`, another kind of file is read by the same rules."""
    reader = Reader(files, root, tables)
    reader.file(os.fspath(path))
    if not reader.errors and root is sections.File:
        base = os.path.dirname(os.path.abspath(path))
        state = reader.result.values.get("instance.state")
        if state:
            reader.result.values["instance.state"] = os.path.join(base, state[0]), state[1]
        for name in ("fleet.key", "policy.folder", "policy.file"):
            if key := reader.result.values.get(name):
                reader.result.values[name] = os.path.join(base, key[0]), key[1]
        check_across_keys(reader, base)
    if reader.errors:
        raise (KeyRefused if reader.key_file_errors == len(reader.errors) else FileError)(reader.errors)
    return reader.result


def check_across_keys(reader, base):
    """Finds errors that concern more than one key."""
    result = reader.result
    names = {name: [entry.name for entry, _ in result.tables[name]] for name in ("kind", "topic")}
    names["endpoint"] = [entry.id for entry, _ in result.tables["endpoint"]]
    for name, found in names.items():
        for entry in sorted({one for one in found if found.count(one) > 1}) if len(found) < 10_000 else ():
            reader.report_error(result.tables[name][0][1], name, f'"{entry}" twice', "each name once")
    check_topics(reader)
    zones = result.values.get("zones", ([], None))[0]
    for endpoint, origin in result.tables["endpoint"]:
        if endpoint.kind not in names["kind"]:
            reader.report_error(
                origin, f"endpoint {endpoint.id}.kind", printable(endpoint.kind), "the name of a [[kind]]"
            )
        if endpoint.zone is not None and endpoint.zone not in zones:
            reader.report_error(
                origin, f"endpoint {endpoint.id}.zone", printable(endpoint.zone), "one of `zones`"
            )
        check_port(reader, origin, f"endpoint {endpoint.id}.address", endpoint.address)
    for key in ("instance.listen", "instance.discovery", "fleet.address", "fleet.advertise"):
        if key in result.values:
            check_port(reader, result.values[key][1], key, result.values[key][0])
    check_fleet(reader)
    check_policy(reader, base)
    check_shards(reader)
    rank, count = (result.values.get(f"instance.{key}", (None, None))[0] for key in ("rank", "dispatchers"))
    if rank is not None and rank >= (count or 1):
        reader.report_error(
            result.values["instance.rank"][1],
            "instance.rank",
            rank,
            f"less than {count or 1}, the number of dispatchers",
        )
    for key, least in (("limits.memory", 24 * 10**6), ("limits.disk", 16 << 10), ("limits.sockets", 48)):
        value, origin = result.values.get(key, (least, None))
        if value < least:
            bound = type(value)(least) if isinstance(value, Quantity) else least
            reader.report_error(origin, key, value, f"at least {bound}")


def check_topics(reader):
    """Checks the topic types; also used for those of a policy document."""
    for topic, origin in reader.result.tables["topic"]:
        key = f"topic {topic.name}"
        if not 0 < topic.objective <= topic.ttl:
            reader.report_error(
                origin,
                f"{key}.objective",
                topic.objective,
                f"more than 0, and no more than the TTL of {topic.ttl}",
            )
        if topic.kind == "collapsible" and not topic.window:
            reader.report_error(
                origin, f"{key}.window", "nothing", "a duration, since the topic type is collapsible"
            )


def check_fleet(reader):
    """Checks the section `fleet`.

    With an incomplete section an operator could believe that the fleet is enabled when it is not, or a socket
    could be open that nobody asked for."""
    values = reader.result.values
    enabled, origin = values.get("fleet.enabled", (False, None))
    wanted, sites_origin = values.get("sites.enabled", (False, None))
    for key in ("fleet.enabled", "fleet.site"):
        if wanted and not values.get(key, (None,))[0]:
            reader.report_error(sites_origin, key, "nothing", "this key, since sites are enabled")
    if not enabled:
        for key in [key for key in values if key.startswith("fleet.") and key != "fleet.enabled"]:
            reader.report_error(
                values[key][1], key, printable(str(values[key][0])), "`enabled = true` in the same section"
            )
        return
    for key in ("fleet.address", "fleet.key", "instance.name"):
        if key not in values:
            reader.report_error(origin, key, "nothing", "this key, since the fleet is enabled")
    if values.get("fleet.address", ("",))[0].startswith("0.0.0.0:") and "fleet.advertise" not in values:
        reader.report_error(
            origin,
            "fleet.advertise",
            "nothing",
            "an address that others reach, since the listening address is any",
        )
    for seed in values.get("fleet.seeds", ([], None))[0]:
        check_port(reader, origin, "fleet.seeds", seed)
    if "fleet.key" in values:
        path, errors_before = values["fleet.key"][0], len(reader.errors)
        try:
            status = os.stat(path)
            mode = status.st_mode & 0o777
            if mode & 0o077:
                reader.report_error(
                    origin, "fleet.key", f"{printable(path)} of mode {mode:04o}", "a file of mode 0600"
                )
            elif not 16 <= status.st_size <= 4096:
                reader.report_error(origin, "fleet.key", f"{status.st_size} bytes", "16 to 4096 bytes")
        except OSError as error:
            reason = f"{printable(path)}: {error.strerror.lower()}"
            reader.report_error(origin, "fleet.key", reason, "a file of mode 0600")
        reader.key_file_errors = len(reader.errors) - errors_before


def check_policy(reader, base):
    """Checks the section `policy`.

    An incomplete section, or one that differs at one member, could lead to two majorities that know nothing
    of each other."""
    values = reader.result.values
    enabled, origin = values.get("policy.enabled", (False, None))
    if not enabled:
        for key in [key for key in values if key.startswith("policy.") and key != "policy.enabled"]:
            reader.report_error(
                values[key][1], key, printable(str(values[key][0])), "`enabled = true` in the same section"
            )
        return
    values.setdefault("policy.folder", (os.path.join(base, sections.Policy().folder), origin))
    if not values.get("fleet.enabled", (False,))[0]:
        reader.report_error(origin, "policy.enabled", "true", "`[fleet]` with `enabled = true`")
    voters = [voter.rpartition("@")[::2] for voter in values.get("policy.voters", ([], None))[0]]
    if len(voters) not in (3, 5, 7):
        reader.report_error(origin, "policy.voters", f"{len(voters)} voters", "3, 5 or 7")
    for position, what in enumerate(("name", "address")):
        if len({voter[position] for voter in voters}) < len(voters):
            reader.report_error(origin, "policy.voters", f"one {what} twice", f"each {what} once")
    own = [values[key][0] for key in ("fleet.advertise", "fleet.address") if key in values][:1]
    for name, address in voters:
        check_port(reader, origin, "policy.voters", address)
        if name == values.get("instance.name", ("",))[0] and own and address != own[0]:
            reader.report_error(
                origin, "policy.voters", printable(f"{name}@{address}"), f"our own address {own[0]}"
            )
    licence, origin = values.get("policy.licence", (sections.Policy().licence, origin))
    if not 500 * 10**6 <= licence <= 60 * 10**9:
        reader.report_error(origin, "policy.licence", licence, "500ms to 60s")


def check_shards(reader):
    """Checks the section `shards`.

    With an incomplete section an operator could believe that the ledger is split when it is not."""
    values = reader.result.values
    enabled, origin = values.get("shards.enabled", (False, None))
    if not enabled:
        for key in [key for key in values if key.startswith("shards.") and key != "shards.enabled"]:
            reader.report_error(
                values[key][1], key, printable(str(values[key][0])), "`enabled = true` in the same section"
            )
        return
    if not values.get("fleet.enabled", (False,))[0]:
        reader.report_error(origin, "shards.enabled", "true", "`[fleet]` with `enabled = true`")
    most, least = (values.get(f"shards.{key}", (None,))[0] for key in ("most", "least"))
    if most is not None and most < 64 << 10:
        reader.report_error(origin, "shards.most", most, "at least 64KiB")
    if least is not None and least * 2 > (most or least * 2):
        reader.report_error(origin, "shards.least", least, "at most half of `shards.most`")


def check_port(reader, origin, key, address):
    """Checks the range of the port and of each part of an IPv4 address."""
    host, _, number = address.rpartition(":")
    if int(number) > 65535 or any(int(part) > 255 for part in host.split(".")):
        reader.report_error(origin, key, printable(address), "an IPv4 address and a port up to 65535")


def defaults():
    """key path -> default, for every key outside the lists of tables."""
    found = {}
    for name, (kind, default, _) in keys_of(sections.File).items():
        if section_of(kind):
            found |= {f"{name}.{key}": value for key, (_, value, _) in keys_of(kind).items()}
        elif name not in (*LISTS, "include"):
            found[name] = default
    return found


def setting_names():
    """key path -> name of the setting, for the keys that are passed to the decision module."""
    return {
        f"{name}.{key}": meta.extra["setting"]
        for name, (kind, _, _) in keys_of(sections.File).items()
        if section_of(kind)
        for key, (_, _, meta) in keys_of(kind).items()
        if meta and meta.extra and "setting" in meta.extra
    }


def plain_value(value):
    """A value as the decision module and JSON take it: quantities are plain integers."""
    return int(value) if isinstance(value, Quantity) else value


def topic_settings(entry):
    """A topic type as a setting of the decision module; without a window the key is left out."""
    setting = {
        "name": entry.name,
        "kind": entry.kind,
        "objective": int(entry.objective),
        "ttl": int(entry.ttl),
        "benefit": entry.benefit,
        "late_share": entry.late_share,
        "group": entry.group,
        "ordered": entry.ordered,
        "fades": entry.fades,
    }
    return setting | ({"window": int(entry.window)} if entry.window else {})
