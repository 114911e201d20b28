"""List what a state folder still owes, without changing it.

Usage:
  juniperlanding owed [--json] FOLDER

Options:
  --json  one JSON object a line
"""

import json

from juniperlanding.cli import say
from juniperlanding.ground.errors import system
from juniperlanding.net import ledger


def run(asked):
    path = f"{asked['FOLDER']}/{ledger.FILE}"
    books = ledger.Books()
    try:
        books.files.list(asked["FOLDER"])
        books.load(path)
    except OSError as error:
        raise system(error, asked["FOLDER"]) from None
    if books.damaged:
        say(ledger.Damaged(f"{path}: {books.damaged} records cannot be read").told, None)
    for owed in books.owed.values():
        if asked["--json"]:
            print(
                json.dumps(
                    {
                        "id": owed.id,
                        "topic": owed.topic,
                        "destination": owed.destination,
                        "ttl_at": owed.ttl_at,
                        "pushes": owed.pushes,
                        "may_have_run": len(owed.ran),
                        "notice": list(owed.notice),
                    }
                )
            )
        else:
            print(
                owed.id,
                owed.topic,
                f"dest={owed.destination}",
                f"ttl_at={owed.ttl_at}",
                f"pushes={owed.pushes}",
                f"may_have_run={len(owed.ran)}",
                *owed.notice,
            )
