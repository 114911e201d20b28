"""List the pending notifications of a state folder, without changing it.

Usage:
  juniperlanding owed [--json] FOLDER

Options:
  --json  print one JSON object per line
"""

import json

from juniperlanding.cli import print_error
from juniperlanding.ground.errors import as_operator_error
from juniperlanding.net import ledger


def run(args):
    files = ledger.FileSystem()
    folder = args["FOLDER"]
    try:
        if ledger.MANIFEST in files.list(folder):
            from juniperlanding.shards.books import held

            ledgers = held(files, folder)
        else:
            ledgers = [ledger.LedgerState(files).load(f"{folder}/{ledger.FILE}")]
    except OSError as error:
        raise as_operator_error(error, folder) from None
    if damaged := sum(books.damaged for books in ledgers):
        print_error(ledger.Damaged(f"{folder}: {damaged} records cannot be read").display_lines, None)
    for notification in (one for books in ledgers for one in books.notifications.values()):
        if args["--json"]:
            print(
                json.dumps(
                    {
                        "id": notification.id,
                        "topic": notification.topic,
                        "destination": notification.destination,
                        "ttl_at": notification.ttl_at,
                        "pushes": notification.pushes,
                        "may_have_run": len(notification.possible_runs),
                        "notice": list(notification.notice),
                    }
                )
            )
        else:
            print(
                notification.id,
                notification.topic,
                f"dest={notification.destination}",
                f"ttl_at={notification.ttl_at}",
                f"pushes={notification.pushes}",
                f"may_have_run={len(notification.possible_runs)}",
                *notification.notice,
            )
