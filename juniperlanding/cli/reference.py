"""Print the reference of the operators' file, a file with every key explained, or the reference of errors.

Usage:
  juniperlanding reference [--template | --errors]

Options:
  --template  print the file that `init` writes
  --errors    print docs/errors.md: every error code, what happened, and what to do about it
"""

import importlib
import pkgutil

import juniperlanding

# Not part of a running dispatcher; not searched for error classes.
NOT_IN_SERVICE = ("emulator", "standins", "processes", "drill", "__main__")


def run(args):
    if args["--errors"]:
        return print(errors_page(), end="")
    from juniperlanding.ground import reference

    print(reference.template() if args["--template"] else reference.page(), end="")


def errors_page():
    """Return the page, made from every error class with a code, including those of disabled features."""
    from juniperlanding.ground.errors import all_error_classes

    for module in pkgutil.walk_packages(juniperlanding.__path__, "juniperlanding."):
        if module.name.split(".")[1] not in NOT_IN_SERVICE:
            importlib.import_module(module.name)
    rows = [
        f"| `{kind.code}` | {' '.join(kind.__doc__.split())} | {kind.remedy} | "
        f"`{kind.__module__.removeprefix('juniperlanding.')}.{kind.__name__}` |"
        for kind in all_error_classes()
    ]
    return "\n".join([ERRORS_HEADER, *rows, ""])


ERRORS_HEADER = """# Errors reported to operators

Made by `juniperlanding reference --errors > docs/errors.md` from the classes that derive from
`OperatorError` in `juniperlanding/ground/errors.py`.

A code never changes once it is released; the text beside it may. It appears

- in the error message of a command that fails: `juniperlanding: CODE: WHAT. Remedy: WHAT TO DO` on standard
  error, with exit code 2;
- in the log, as `code=` and `remedy=` on the one line that reports the change of mode, and not again while
  the condition lasts;
- at the admin port, after the reason: `NAK WHAT code=CODE remedy=...`. `NAK starting`, `draining` and
  `replaced` report a state, and have no code;
- in `juniperlanding check --json`, as `code` and `remedy`.

Faults that no operator can act on (an invalid message from an unknown sender, a malformed response) are
counted or reported as a value on a log line, and are not listed here.

| code | what happened | what to do | class |
| --- | --- | --- | --- |"""
