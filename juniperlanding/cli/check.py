"""Check an operators' file, or show the values in force.

Usage:
  juniperlanding check [--effective] [--json] [FILE]

Options:
  --effective  print each value in force and its origin: the environment, the platform's file, FILE or
               default
  --json       one JSON object: {"ok": ..., "errors": [...], "values": {key: {"value": ..., "from": ...}}},
               and with errors their "code" and "remedy"

Without FILE only the platform's environment (EDGE_*) is checked.  All errors are reported at once; exit
code 2 if there is one.
"""

import json
import os

from juniperlanding.cli import EXIT_USAGE, Refused, print_error


def run(args):
    from juniperlanding.ground import effective, file
    from juniperlanding.ground.errors import OperatorError
    from juniperlanding.ground.seams import FileSystem
    from juniperlanding.net import config

    path = args["FILE"]
    files = FileSystem()
    failure = None
    values = {}
    if not path and "EDGE_CONFIG" not in os.environ:
        raise Refused("nothing to check: neither FILE nor EDGE_CONFIG is given")
    try:
        parsed = file.read(path, files) if path else None
        platform = effective.platform(os.environ, files)
        values = effective.values(parsed, platform)
        if path is None or args["--effective"]:
            config.read(os.environ, files, config.from_operators(parsed) if parsed else None)
    except (OperatorError, KeyError, OSError, ValueError, TypeError, AttributeError) as error:
        failure = config.to_operator_error(error)
    if args["--json"]:
        json_values = {
            key: {"value": effective.to_json(value), "from": origin}
            for key, (value, origin) in values.items()
        }
        result = {"ok": not failure, "errors": [], "values": json_values if args["--effective"] else {}}
        if failure:
            result |= {"errors": getattr(failure, "lines", [failure.message]), **failure.log_fields}
        print(json.dumps(result, indent=2))
    elif failure:
        print_error(failure.display_lines, EXIT_USAGE)
    elif args["--effective"]:
        print("\n".join(effective.lines(values)))
    else:
        print(f"{path or os.environ['EDGE_CONFIG']}: valid, {len(values)} values in force")
    return EXIT_USAGE if failure else 0
