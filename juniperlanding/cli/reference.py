"""Print the page on every key of the operators' file, a file with every key explained, or the page of errors.

Usage:
  juniperlanding reference [--template | --errors]

Options:
  --template  the file that `init` writes, instead of the page
  --errors    docs/errors.md: every code, what happened, and what an operator can do
"""

import importlib
import pkgutil

import juniperlanding

RIGS = ("emulator", "standins", "processes", "drill", "__main__")


def run(asked):
    if asked["--errors"]:
        return print(errors(), end="")
    from juniperlanding.ground import reference

    print(reference.template() if asked["--template"] else reference.page(), end="")


def errors():
    """The page, made from every class with a code that a dispatcher has, those of parts turned off too."""
    from juniperlanding.ground.errors import known

    for found in pkgutil.walk_packages(juniperlanding.__path__, "juniperlanding."):
        if found.name.split(".")[1] not in RIGS:
            importlib.import_module(found.name)
    rows = [
        f"| `{kind.code}` | {' '.join(kind.__doc__.split())} | {kind.remedy} | "
        f"`{kind.__module__.removeprefix('juniperlanding.')}.{kind.__name__}` |"
        for kind in known()
    ]
    return "\n".join([HEAD, *rows, ""])


HEAD = """# Errors that staff meet

Made by `juniperlanding reference --errors > docs/errors.md` from the classes that derive from `Trouble` in
`juniperlanding/ground/errors.py`.

A code is never changed once it is released; the words beside it may be. It stands

- in the text of a command that ends: `juniperlanding: CODE: WHAT. Remedy: WHAT TO DO` on standard error, with
  exit code 2;
- in the log, as `code=` and `remedy=` on the one line that tells the change of mode, and not again while it
  lasts;
- at the operators' door, after the reason: `NAK WHAT code=CODE remedy=...`. `NAK starting`, `draining` and
  `replaced` tell a state, and have none;
- in `juniperlanding check --json`, as `code` and `remedy`.

What no operator can act on (noise from a stranger, a spoilt answer) is a counter or a figure on a line, and
not here.

| code | what happened | what to do | class |
| --- | --- | --- | --- |"""
