#!/bin/sh
# The stand-ins of all cases are Python and use the standard library alone: they are only compiled here.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
