"""juniperlanding: hands notifications on to destinations nobody here controls.

Usage:
  juniperlanding serve
  juniperlanding owed FOLDER
  juniperlanding version
  juniperlanding (-h | --help)

Commands:
  serve    run one dispatcher, as the environment (EDGE_*) describes it
  owed     list what a state folder still owes, without changing it
  version  print the version
"""

import os
import signal
import sys

import docopt

VERSION = "0.2.0"


def main(argv=None):
    asked = docopt.docopt(__doc__, argv)
    if asked["version"]:
        print(VERSION)
    elif asked["owed"]:
        from juniperlanding.net import ledger
        for owed in ledger.Books().load(os.path.join(asked["FOLDER"], ledger.FILE)).owed.values():
            print(owed.id, owed.topic, f"dest={owed.destination}", f"ttl_at={owed.ttl_at}",
                  f"pushes={owed.pushes}", f"may_have_run={len(owed.ran)}", *owed.notice)
    else:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)  # threat: one that comes before `serve` listens for it
        import trio

        from juniperlanding.net import config, node
        try:
            told = config.read()
        except (KeyError, TypeError, ValueError, OSError) as error:
            print(f"juniperlanding: cannot read the configuration: {error!r}", file=sys.stderr)
            return 2
        trio.run(node.serve, told)
    return 0


if __name__ == "__main__":
    sys.exit(main())
