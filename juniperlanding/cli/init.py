"""Write an operators' file with every key explained.

Usage:
  juniperlanding init [--force] FILE

Options:
  --force  replace an existing file
"""

import os

from juniperlanding.cli import Refused


def run(args):
    from juniperlanding.ground import reference

    path = args["FILE"]
    temporary = f"{args['FILE']}.{os.getpid()}.new"
    try:
        if os.path.lexists(path) and not args["--force"]:
            raise Refused(f"{path}: already exists; --force replaces it")
        # Written beside the target and renamed, so that a failed write cannot leave half a file in its place.
        with open(temporary, "x", encoding="utf-8") as file:
            file.write(reference.template())
        try:
            os.rename(temporary, path)
        except OSError:
            os.unlink(temporary)
            raise
    except OSError as error:
        raise Refused(f"{path}: {(error.strerror or str(error)).lower()}") from None
    print(f"{path} written; next: juniperlanding check {path}")
