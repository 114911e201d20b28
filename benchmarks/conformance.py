"""Prints, for docs/conformance.md, each sentence of the conformance tables with its rows.

python benchmarks/conformance.py"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from tables import sentences  # noqa: E402

SUBJECTS = {
    "page": "The design page",
    "exceptions": "docs/design.md: exceptions, limits and rules",
    "wire": "docs/sockets.md: calls, clients, names",
    "handover": "docs/upgrade.md: who owns the folder",
    "fleet": "docs/fleet.md: what is believed of a member",
}
KINDS = "row", "call", "client", "names"

for subject, title in SUBJECTS.items():
    told = [
        (said, [row["name"] for kind in KINDS for row in said.get(kind, [])]) for said in sentences(subject)
    ]
    print(f"## {title}\n\n{sum(len(names) for _, names in told)} rows, `tests/tables/{subject}.toml`.\n")
    print("| sentence | rows |\n| --- | --- |")
    for said, names in told:
        print(f"| {said['says']} | {', '.join(names) or 'not played: ' + said['not_played']} |")
    print()
