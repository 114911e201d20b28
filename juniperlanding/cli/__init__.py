"""juniperlanding: relays notifications to destinations that it does not control.

Usage:
  juniperlanding COMMAND [ARGS...]
  juniperlanding (-h | --help)

Commands:
{commands}

`juniperlanding COMMAND --help` describes one command.

Errors are reported as `CODE: WHAT. Remedy: WHAT TO DO`; `juniperlanding reference --errors` lists them all.

Exit codes:
  0    success
  1    the run failed, or found a problem
  2    wrong usage, or an invalid configuration
  130  interrupted
"""

import importlib
import os
import sys

from juniperlanding.ground.errors import OperatorError

COMMANDS = {
    "serve": ("serve", "run one dispatcher"),
    "try": ("try_", "run a dispatcher under load against stand-ins"),
    "check": ("check", "check an operators' file, or show the values in force"),
    "init": ("init", "write an operators' file with every key explained"),
    "owed": ("owed", "list the pending notifications of a state folder, without changing it"),
    "emulate": ("emulate", "run a scenario in simulated time and check its invariants"),
    "soak": ("soak", "run a randomized soak test of real processes on loopback"),
    "reference": ("reference", "print the reference of the operators' file or of the errors"),
    "completion": ("completion", "print the completion script for bash"),
    "version": ("version", "print the version"),
}
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130


class Refused(Exception):
    """A command cannot run or has failed; each line of the text goes to standard error."""

    def __init__(self, text, code=EXIT_USAGE):
        super().__init__(text)
        self.code = code


def usage():
    rows = "\n".join(f"  {name:<11}{about}" for name, (_, about) in COMMANDS.items())
    return __doc__.replace("{commands}", rows)


def load(name):
    return importlib.import_module(f"juniperlanding.cli.{COMMANDS[name][0]}")


def print_error(lines, code):
    """Print the lines to standard error; return `code` unchanged, for the caller to return in turn."""
    for line in lines:
        print(f"juniperlanding: {line}", file=sys.stderr)
    return code


def main(argv=None):
    """Run one command and return its exit code; docopt raises SystemExit itself for --help."""
    argv = sys.argv[1:] if argv is None else argv
    import docopt

    try:
        args = docopt.docopt(usage(), argv, options_first=True)
        name = args["COMMAND"]
        if name not in COMMANDS:
            raise Refused(f"no command {name!r}; one of {', '.join(COMMANDS)}")
        command = load(name)
        return command.run(docopt.docopt(command.__doc__, [name, *args["ARGS"]])) or EXIT_OK
    except docopt.DocoptExit as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    except Refused as error:
        return print_error(str(error).splitlines(), error.code)
    except OperatorError as error:
        return print_error(error.display_lines, EXIT_USAGE)
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader of standard output has gone; without this the flush at exit would print a traceback.
        os.dup2(os.open(os.devnull, os.O_WRONLY), 1)
        return EXIT_OK
