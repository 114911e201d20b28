"""What the platform tells a dispatcher: the environment, and the JSON file that it names."""

import json
import os
from dataclasses import dataclass

from juniperlanding.choice import SEC
from juniperlanding.net import protocol
from juniperlanding.settings import in_our_words, report_names


@dataclass(slots=True)
class Config:
    name: str
    listen: tuple
    discovery: tuple
    state: str
    seed: str
    limits: dict
    known: dict
    settings: dict
    kinds: list
    zones: list
    connect_within: int
    report: dict

    @property
    def disk(self):
        return int(self.limits.get("disk_mb", 64) * 1_000_000)

    @property
    def memory(self):
        return int(self.limits.get("memory_mb", 512) * 1_000_000)

    @property
    def sockets(self):
        return int(self.limits.get("sockets", 1024))


def read(environ=os.environ):
    """Threat: the environment stays as it was at the start, while the file is replaced; so the file wins."""
    with open(environ["EDGE_CONFIG"], encoding="utf-8") as file:
        told = json.load(file)
    wire = told.get("settings", {})
    settings = in_our_words(wire)
    fields = settings.get("report", [])
    return Config(
        name=environ.get("EDGE_NAME") or told.get("name", "dispatcher"),
        listen=protocol.address(environ.get("EDGE_LISTEN") or told["listen"]),
        discovery=protocol.address(told.get("discovery") or environ["EDGE_DISCOVERY"]),
        state=environ["EDGE_STATE"],
        seed=str(told.get("seed", "")),
        limits=told.get("limits", {}), known=told.get("known") or {}, settings=settings,
        kinds=wire.get("models", []), zones=wire.get("areas", []),
        connect_within=wire.get("permissions", {}).get("connect_timeout_ns", SEC),
        report=dict(zip(fields, report_names(settings), strict=True)))
