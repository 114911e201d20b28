"""The values in force, each with its origin: what the platform told before what the operators' file says."""

import json

import msgspec

from juniperlanding.ground import file
from juniperlanding.ground.units import Quantity
from juniperlanding.settings import in_our_words

ENVIRONMENT = {
    "instance.name": "EDGE_NAME",
    "instance.listen": "EDGE_LISTEN",
    "instance.state": "EDGE_STATE",
    "instance.discovery": "EDGE_DISCOVERY",
}
FROM_FILE = {
    "instance.name": "name",
    "instance.listen": "listen",
    "instance.discovery": "discovery",
    "instance.seed": "seed",
}
LIMITS = {
    "limits.memory": ("memory_mb", 10**6),
    "limits.disk": ("disk_mb", 10**6),
    "limits.sockets": ("sockets", 1),
}
FILE_FIRST = "instance.discovery"  # the one value that the platform's file tells before its environment


def platform(environ, files):
    """key path -> (value, origin) of all that the platform tells; OSError or ValueError for its file."""
    found = {}
    if path := environ.get("EDGE_CONFIG"):
        told = {name: value for name, value in json.loads(files.read(path)).items() if value is not None}
        origin = f"EDGE_CONFIG {path}"
        found = {key: (told[name], origin) for key, name in FROM_FILE.items() if told.get(name) is not None}
        for key, (name, unit) in LIMITS.items():
            if told.get("limits", {}).get(name) is not None:
                found[key] = int(told["limits"][name] * unit), origin
        wire = told.get("settings", {})
        settings = in_our_words(wire)
        found |= {
            key: (settings[name], origin) for key, name in file.setting_names().items() if name in settings
        }
        for key, name in (("zones", "areas"), ("kind", "models")):
            if wire.get(name):
                found[key] = wire[name], origin
        if wire.get("request_classes"):
            found["topic"] = [entry.get("name") for entry in settings["topic_types"]], origin
        if (told.get("known") or {}).get("members"):
            found["endpoint"] = f"{len(told['known']['members'])} in the last list", origin
    for key, name in ENVIRONMENT.items():
        if environ.get(name) and not (key == FILE_FIRST and key in found):
            found[key] = environ[name], name
    return found


def values(told, from_platform):
    """key path -> (value, origin) in the order of the file's sections."""
    found = {key: (value, file.DEFAULT) for key, value in file.defaults().items()}
    if told:
        found |= told.values
        for name, entries in told.tables.items():
            for entry, origin in entries:
                found[f"{name} {getattr(entry, 'id', None) or entry.name}"] = (
                    msgspec.structs.asdict(entry),
                    origin,
                )
    for name in file.LISTS:
        if name in from_platform:  # the whole list is the platform's then
            found = {key: value for key, value in found.items() if not key.startswith(f"{name} ")}
    return found | from_platform


def plain(value):
    if isinstance(value, dict):
        return {key: plain(one) for key, one in value.items()}
    return str(value) if isinstance(value, Quantity) else value


def lines(found):
    """One line a value: KEY = VALUE  # ORIGIN."""
    rows = [(f"{key} = {json.dumps(plain(value))}", origin) for key, (value, origin) in found.items()]
    width = min(max(len(row) for row, _ in rows), 60)
    return [f"{row:<{width}}  # {origin}" for row, origin in rows]
