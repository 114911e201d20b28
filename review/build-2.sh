#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start; runs after `build` of deploy/balancer.toml, without a network.
# They need the Python of the deploy file's environment and its standard library alone, so they are only compiled.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -B -c '
import ast, pathlib
for path in [pathlib.Path("review/standins2.py"), *sorted(pathlib.Path("review").glob("*/case.py"))]:
    ast.parse(path.read_bytes(), str(path))
'
