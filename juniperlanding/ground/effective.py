"""The values in force, each with its origin; the platform takes precedence over the operators' file."""

import json

import msgspec

from juniperlanding.ground import file
from juniperlanding.ground.units import Quantity
from juniperlanding.settings import translate_settings

ENVIRONMENT_KEYS = {
    "instance.name": "EDGE_NAME",
    "instance.listen": "EDGE_LISTEN",
    "instance.state": "EDGE_STATE",
    "instance.discovery": "EDGE_DISCOVERY",
}
PLATFORM_FILE_KEYS = {
    "instance.name": "name",
    "instance.listen": "listen",
    "instance.discovery": "discovery",
    "instance.seed": "seed",
}
PLATFORM_FILE_LIMITS = {
    "limits.memory": ("memory_mb", 10**6),
    "limits.disk": ("disk_mb", 10**6),
    "limits.sockets": ("sockets", 1),
}
# The only key for which the platform's file takes precedence over its environment.
FILE_BEFORE_ENVIRONMENT = "instance.discovery"


def platform(environ, files):
    """key path -> (value, origin) for each value that the platform sets.

    Raises OSError or ValueError when the platform's file cannot be read."""
    found = {}
    if path := environ.get("EDGE_CONFIG"):
        document = {name: value for name, value in json.loads(files.read(path)).items() if value is not None}
        origin = f"EDGE_CONFIG {path}"
        found = {
            key: (document[name], origin)
            for key, name in PLATFORM_FILE_KEYS.items()
            if document.get(name) is not None
        }
        for key, (name, unit) in PLATFORM_FILE_LIMITS.items():
            if document.get("limits", {}).get(name) is not None:
                found[key] = int(document["limits"][name] * unit), origin
        wire = document.get("settings", {})
        settings = translate_settings(wire)
        found |= {
            key: (settings[name], origin) for key, name in file.setting_names().items() if name in settings
        }
        for key, name in (("zones", "areas"), ("kind", "models")):
            if wire.get(name):
                found[key] = wire[name], origin
        if wire.get("request_classes"):
            found["topic"] = [entry.get("name") for entry in settings["topic_types"]], origin
        if (document.get("known") or {}).get("members"):
            found["endpoint"] = f"{len(document['known']['members'])} in the last list", origin
    for key, name in ENVIRONMENT_KEYS.items():
        if environ.get(name) and not (key == FILE_BEFORE_ENVIRONMENT and key in found):
            found[key] = environ[name], name
    return found


def values(parsed, from_platform):
    """key path -> (value, origin) in the order of the file's sections.

    parsed: the result of `file.read`, or None without a file."""
    found = {key: (value, file.DEFAULT) for key, value in file.defaults().items()}
    if parsed:
        found |= parsed.values
        for name, entries in parsed.tables.items():
            for entry, origin in entries:
                found[f"{name} {getattr(entry, 'id', None) or entry.name}"] = (
                    msgspec.structs.asdict(entry),
                    origin,
                )
    for name in file.LISTS:
        if name in from_platform:  # the platform's list replaces the file's entries
            found = {key: value for key, value in found.items() if not key.startswith(f"{name} ")}
    return found | from_platform


def to_json(value):
    """A value for JSON: quantities become text with their unit."""
    if isinstance(value, dict):
        return {key: to_json(inner) for key, inner in value.items()}
    return str(value) if isinstance(value, Quantity) else value


def lines(found):
    """One line for each value: KEY = VALUE  # ORIGIN."""
    rows = [(f"{key} = {json.dumps(to_json(value))}", origin) for key, (value, origin) in found.items()]
    width = min(max(len(row) for row, _ in rows), 60)
    return [f"{row:<{width}}  # {origin}" for row, origin in rows]
