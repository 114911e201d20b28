"""juniperlanding: hands notifications on to destinations nobody here controls.

Usage:
  juniperlanding COMMAND [ARGS...]
  juniperlanding (-h | --help)

Commands:
{commands}

`juniperlanding COMMAND --help` tells more of each.

What went wrong is told as `CODE: WHAT. Remedy: WHAT TO DO`; `juniperlanding reference --errors` lists all.

Exit codes:
  0    done
  1    the thing asked about is not well
  2    wrong usage, or a configuration that cannot be used
  130  interrupted
"""

import importlib
import os
import sys

from juniperlanding.ground.errors import Trouble

COMMANDS = {
    "serve": ("serve", "run one dispatcher"),
    "try": ("try_", "run the main job on an embedded world"),
    "check": ("check", "check an operators' file, or show what is in force"),
    "init": ("init", "write an operators' file with every key explained"),
    "owed": ("owed", "list what a state folder still owes, without changing it"),
    "emulate": ("emulate", "run a scenario in simulated time, with the watch over it"),
    "soak": ("soak", "play a fault soak of real processes on loopback, and judge its history"),
    "reference": ("reference", "print the page on every key of the operators' file, or on every error"),
    "completion": ("completion", "print the completion for bash"),
    "version": ("version", "print the version"),
}
DONE, UNWELL, USAGE, INTERRUPTED = 0, 1, 2, 130


class Refused(Exception):
    """What a command cannot do; its text is one line for the person at the keyboard."""

    def __init__(self, text, code=USAGE):
        super().__init__(text)
        self.code = code


def usage():
    rows = "\n".join(f"  {name:<11}{about}" for name, (_, about) in COMMANDS.items())
    return __doc__.replace("{commands}", rows)


def load(name):
    return importlib.import_module(f"juniperlanding.cli.{COMMANDS[name][0]}")


def say(lines, code):
    for line in lines:
        print(f"juniperlanding: {line}", file=sys.stderr)
    return code


def main(argv=None):
    """Run one command and tell its exit code; docopt itself exits for wrong usage and for --help."""
    argv = sys.argv[1:] if argv is None else argv
    import docopt

    try:
        asked = docopt.docopt(usage(), argv, options_first=True)
        name = asked["COMMAND"]
        if name not in COMMANDS:
            raise Refused(f"no command {name!r}; one of {', '.join(COMMANDS)}")
        command = load(name)
        return command.run(docopt.docopt(command.__doc__, [name, *asked["ARGS"]])) or DONE
    except docopt.DocoptExit as error:
        print(error, file=sys.stderr)
        return USAGE
    except Refused as error:
        return say(str(error).splitlines(), error.code)
    except Trouble as error:
        return say(error.told, USAGE)
    except KeyboardInterrupt:
        return INTERRUPTED
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), 1)  # threat: a reader that left, and a traceback at exit
        return DONE
