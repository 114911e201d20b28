"""Check an operators' file, or show what is in force.

Usage:
  juniperlanding check [--effective] [--json] [FILE]

Options:
  --effective  each value in force, and where it came from: the environment, the platform's file, FILE or
  default
  --json       one JSON object: {"ok": ..., "errors": [...], "values": {key: {"value": ..., "from": ...}}},
               and with errors their "code" and "remedy"

Without FILE it is the platform's environment (EDGE_*) alone.  All errors are told at once; exit code 2 if
there is one.
"""

import json
import os

from juniperlanding.cli import USAGE, Refused, say


def run(asked):
    from juniperlanding.ground import effective, file
    from juniperlanding.ground.errors import Trouble
    from juniperlanding.ground.seams import Files
    from juniperlanding.net import config

    path, files, trouble, values = asked["FILE"], Files(), None, {}
    if not path and "EDGE_CONFIG" not in os.environ:
        raise Refused("nothing to check: neither FILE nor EDGE_CONFIG is given")
    try:
        told = file.read(path, files) if path else None
        platform = effective.platform(os.environ, files)
        values = effective.values(told, platform)
        if path is None or asked["--effective"]:
            config.read(os.environ, files, config.from_operators(told) if told else None)
    except (Trouble, KeyError, OSError, ValueError, TypeError, AttributeError) as error:
        trouble = config.trouble(error)
    if asked["--json"]:
        shown = {
            key: {"value": effective.plain(value), "from": origin} for key, (value, origin) in values.items()
        }
        found = {"ok": not trouble, "errors": [], "values": shown if asked["--effective"] else {}}
        if trouble:
            found |= {"errors": getattr(trouble, "lines", [trouble.what]), **trouble.fields}
        print(json.dumps(found, indent=2))
    elif trouble:
        say(trouble.told, USAGE)
    elif asked["--effective"]:
        print("\n".join(effective.lines(values)))
    else:
        print(f"{path or os.environ['EDGE_CONFIG']}: fit for use, {len(values)} values in force")
    return USAGE if trouble else 0
