"""The module's records as plain lists, for another process to go on with: what `choice` knows, no decision.

`taken_from` writes down every record that an instance reaches, `given_to` builds them again; what belongs to
the process (settings, seed, number, when it stops) stays.  `VERSION` follows from the records' fields:
another version is not read."""

from dataclasses import fields
from zlib import crc32

from juniperlanding.state import Call, Destination, Endpoint, Instance, Notification, Push, Route

MEANING = 1  # counts up when a field means something else and keeps its name
RECORDS = (Call, Push, Notification, Route, Endpoint, Destination)
FIELDS = {kind: [field.name for field in fields(kind)] for kind in RECORDS}
STAYS = {"settings", "seed", "rank", "dispatchers", "stops_at"}
GOES = [field.name for field in fields(Instance) if field.name not in STAYS]
VERSION = crc32(repr((MEANING, GOES, [(kind.__name__, names) for kind, names in FIELDS.items()])).encode())
RECORD, TOPIC, DICT, LIST, TUPLE, SET = range(6)


class Unknown(ValueError):
    """Records that this version cannot read."""


def taken_from(me, terms=None):
    """All that an instance knows: {"records": [[kind, field...]...], "instance": [field...]}.

    terms: number -> topic types of each policy that something owed was taken on under; 0 is the process's own
    settings."""
    known = terms or {0: me.settings.get("topic_types", [])}
    topics = {
        id(topic): [at, number] if number else [at]
        for number, types in sorted(known.items(), reverse=True)
        for at, topic in enumerate(types)
    }
    numbers, found, records = {}, [], []

    def plain(value):
        if type(value) in FIELDS:
            if id(value) not in numbers:
                numbers[id(value)] = len(found)
                found.append(value)
            return [RECORD, numbers[id(value)]]
        if isinstance(value, dict):
            return [DICT, *([plain(key), plain(one)] for key, one in value.items())]
        if isinstance(value, (list, tuple, set)):
            kind = LIST if isinstance(value, list) else TUPLE if isinstance(value, tuple) else SET
            return [kind, *map(plain, sorted(value) if kind == SET else value)]
        return value

    def field(record, name):
        value = getattr(record, name)
        return [TOPIC, *topics.get(id(value), [-1])] if name == "topic" else plain(value)

    instance = [field(me, name) for name in GOES]
    for record in found:  # grows while it is read
        records.append([RECORDS.index(type(record)), *(field(record, name) for name in FIELDS[type(record)])])
    return {"records": records, "instance": instance}


def given_to(me, told, terms=None):
    """Make an instance know what `taken_from` wrote down; `Unknown` leaves it as it was."""
    topics = (terms or {}) | {0: me.settings.get("topic_types", [])}
    try:
        kinds = [RECORDS[kind] for kind, *_ in told["records"]]
        found = [kind.__new__(kind) for kind in kinds]

        def whole(value):
            if not isinstance(value, list):
                return value
            kind, *rest = value
            if kind == RECORD:
                return found[rest[0]]
            if kind == TOPIC:
                return topics[sum(rest[1:])][rest[0]] if rest[0] >= 0 else {}
            if kind == DICT:
                return {whole(key): whole(one) for key, one in rest}
            return (list, tuple, set)[kind - LIST](map(whole, rest))

        for record, (_, *values) in zip(found, told["records"], strict=True):
            for name, value in zip(FIELDS[type(record)], values, strict=True):
                setattr(record, name, whole(value))
        known = [whole(value) for value in told["instance"]]
        pairs = list(zip(GOES, known, strict=True))
    except (ValueError, TypeError, KeyError, IndexError, RecursionError) as error:
        raise Unknown(f"{type(error).__name__}: {error}") from None
    for name, value in pairs:
        setattr(me, name, value)
