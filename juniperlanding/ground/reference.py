"""Pages made from the types of the operators' file: the reference, and a file with every key explained."""

import re
import typing
from types import NoneType, UnionType

import msgspec

from juniperlanding.ground import file, sections
from juniperlanding.ground.units import Duration, Quantity, Size

HEAD = """# The operators' file

Made by `juniperlanding reference > docs/configuration.md` from the types in
`juniperlanding/ground/sections.py`; a test keeps the two equal.

An installation that is not the platform's is described by one TOML file: `juniperlanding serve FILE`.
`juniperlanding
init FILE` writes one with every key explained, `juniperlanding check FILE` tells all that is wrong with it
at once, and
`juniperlanding check --effective FILE` shows each value in force and where it came from. What the platform
tells (`EDGE_*` and its JSON file) goes before the file, the file before the defaults. A file may `include`
others; what it says
itself goes before them, and the lists of tables (`kind`, `topic`, `endpoint`) are joined.

Durations are text with units (`"250ms"`, `"1h30m"`; ns, us, ms, s, m, h, d), sizes too (`"64MiB"`; B, kB,
MB, GB,
KiB, MiB, GiB). A key that is not known is refused with the nearest known name. *none* as a default means
that the limit or permission is not there.
"""
WORDS = {
    str: "text",
    int: "whole number",
    float: "figure",
    bool: "true or false",
    Duration: "duration",
    Size: "size",
}
EXAMPLES = {
    "kind": {"name": "shop"},
    "topic": {"name": "news", "kind": "repeatable", "objective": "2s", "ttl": "20s"},
    "endpoint": {"id": "shop-1", "address": "127.0.0.1:9000", "destination": 7, "kind": "shop"},
}


def bare(kind):
    """A type without its meta and without None, and the metas that were on it."""
    metas = []
    while True:
        if typing.get_origin(kind) is typing.Annotated:
            metas += kind.__metadata__
            kind = kind.__origin__
        elif typing.get_origin(kind) in (typing.Union, UnionType):
            kind = next(one for one in typing.get_args(kind) if one is not NoneType)
        else:
            return kind, metas


def words(kind):
    """What a type takes, for people."""
    kind, metas = bare(kind)
    origin, args = typing.get_origin(kind), typing.get_args(kind)
    if origin is typing.Literal:
        return " or ".join(f'`"{one}"`' for one in args)
    if origin is list:
        return f"list of {words(args[0])}"
    if origin is dict:
        return f"table of {words(args[1])}"
    bounds = {
        name: getattr(meta, name)
        for meta in metas
        for name in ("ge", "le")
        if getattr(meta, name) is not None
    }
    named = next((m.description for m in metas if m.pattern and m.description), None)
    text = named or WORDS[kind]
    if bounds:
        text += f" from {bounds['ge']:g} to {bounds['le']:,}" if "le" in bounds else f" from {bounds['ge']:g}"
    return text


def as_toml(value):
    if value is None:
        return None
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (Quantity, str)):
        return f'"{value}"'
    if isinstance(value, list):
        return "[" + ", ".join(map(as_toml, value)) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{k} = {as_toml(v)}" for k, v in value.items()) + " }" if value else "{}"
    return repr(value)


def default(value):
    if value is msgspec.NODEFAULT:
        return "must be given"
    return "none" if value is None else f"`{as_toml(value)}`"


def about(struct):
    return " ".join(struct.__doc__.split())


def groups():
    """(heading, about, struct, is a list of tables) of the whole file's top keys, then each section."""
    yield "The whole file", "Keys outside of any section.", sections.File, False
    for name, (kind, _, _) in file.fields(sections.File).items():
        if file.section_of(kind):
            yield f"[{name}]", about(kind), kind, False
        elif name in file.LISTS:
            struct = typing.get_args(kind)[0]
            yield f"[[{name}]]", about(struct), struct, True


def keys(struct):
    for name, (kind, value, meta) in file.fields(struct).items():
        if meta and not (struct is sections.File and (file.section_of(kind) or name in file.LISTS)):
            yield name, kind, value, meta


def page():
    """docs/configuration.md."""
    parts = [HEAD]
    for heading, text, struct, _ in groups():
        parts.append(
            f"\n## {heading}\n\n{text}\n\n| key | takes | default | meaning |\n| --- | --- | --- | --- |\n"
        )
        parts += [
            f"| `{name}` | {words(kind)} | {default(value)} | {meta.description} |\n"
            for name, kind, value, meta in keys(struct)
        ]
    return "".join(parts)


def template():
    """A file with every key: those with defaults commented out, one example for each list of tables."""
    lines = [
        "# An operators' file for juniperlanding; `juniperlanding check FILE` tells what is wrong with it.",
        "",
    ]
    for heading, text, struct, several in groups():
        lines.append(f"# ---- {text}")
        example = EXAMPLES[heading.strip("[]")] if several else {}
        if struct is not sections.File:
            lines.append(heading)
        for name, kind, value, meta in keys(struct):
            lines.append(f"# {meta.description} Takes {re.sub('`', '', words(kind))}.")
            given = {"instance.discovery": "127.0.0.1:8500", "instance.state": "state"}.get(
                f"{heading.strip('[]')}.{name}", example.get(name)
            )
            if given is not None:
                lines.append(f"{name} = {as_toml(given)}")
            else:
                lines.append(f"# {name} = {as_toml(value) or ''}".rstrip())
        lines.append("")
    return "\n".join(lines)
