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
    files, folder = ledger.Files(), asked["FOLDER"]
    try:
        if ledger.MANIFEST in files.list(folder):
            from juniperlanding.shards.books import held

            found = held(files, folder)
        else:
            found = [ledger.Books(files).load(f"{folder}/{ledger.FILE}")]
    except OSError as error:
        raise system(error, folder) from None
    if damaged := sum(books.damaged for books in found):
        say(ledger.Damaged(f"{folder}: {damaged} records cannot be read").told, None)
    for owed in (one for books in found for one in books.owed.values()):
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
