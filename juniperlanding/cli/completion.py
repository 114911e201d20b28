"""Print the completion script for bash.

Usage:
  juniperlanding completion

Use: source <(juniperlanding completion)
"""

import re

from juniperlanding.cli import COMMANDS, load

SCRIPT = """_juniperlanding() {{
    local word=${{COMP_WORDS[COMP_CWORD]}} options=""
    if [ "$COMP_CWORD" -eq 1 ]; then
        COMPREPLY=($(compgen -W "{commands} --help" -- "$word"))
        return
    fi
    case "${{COMP_WORDS[1]}}" in
{cases}
    esac
    if [[ "$word" == -* ]]; then
        COMPREPLY=($(compgen -W "$options --help" -- "$word"))
    else
        COMPREPLY=($(compgen -f -- "$word"))
    fi
}}
complete -o filenames -F _juniperlanding juniperlanding
"""


def options(name):
    """The long options in a command's help text."""
    return sorted(set(re.findall(r"--[a-z][a-z-]+", load(name).__doc__)) - {"--help"})


def run(args):
    cases = "\n".join(f'        {name}) options="{" ".join(options(name))}" ;;' for name in COMMANDS)
    print(SCRIPT.format(commands=" ".join(COMMANDS), cases=cases), end="")
