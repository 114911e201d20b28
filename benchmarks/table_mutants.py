"""Mutation testing: which changes to the code the conformance tables find, and of choice.py, test_choice.py.

    python benchmarks/table_mutants.py [NAME ...]

Each change of mutants.toml is made in a copy of the tree, and the tests are run on it; two at a time, four
minutes in all.  Prints one row a change, as docs/conformance.md has them.  The exit code is 1 if the old text
of a change is not exactly once in its file, or if the tables miss a change."""

import shutil
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent
CHOICE = "choice.py"
MODULES = {CHOICE: "choice", "handover/steps.py": "handover", "fleet/members.py": "fleet"}


def first_failure(tree, module):
    """The first test of a module that fails; "" if all pass."""
    command = [sys.executable, "-m", "pytest", "-x", "-p", "no:xdist", "--tb=no", f"tests/{module}.py"]
    run = subprocess.run(command, cwd=tree, capture_output=True, text=True, timeout=300)
    failed = [line.split("::")[1] for line in run.stdout.splitlines() if line.startswith("FAILED")]
    return failed[0].split(" - ")[0] if failed else "does not run" if run.returncode else ""


def run_mutant(change):
    """Name, file, and what the tables and test_choice.py found; None if the old text is not there once."""
    name, file, old, new = change if len(change) == 4 else (change[0], CHOICE, *change[1:])
    text = (ROOT / "juniperlanding" / file).read_text()
    if text.count(old) != 1:
        return name, file, None, None
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder)
        for part in ("juniperlanding", "tests"):
            shutil.copytree(ROOT / part, tree / part, ignore=shutil.ignore_patterns("__pycache__"))
        shutil.copy(ROOT / "pyproject.toml", tree)
        (tree / "juniperlanding" / file).write_text(text.replace(old, new))
        table = first_failure(tree, f"test_tables_{MODULES.get(file, 'wire')}")
        return name, file, table, first_failure(tree, "test_choice") if file == CHOICE else ""


def main(names):
    mutants = tomllib.loads((Path(__file__).parent / "mutants.toml").read_text())
    changes = [change for group in mutants.values() for change in group if not names or change[0] in names]
    with ThreadPoolExecutor(2) as pool:
        results = list(pool.map(run_mutant, changes))
    print("| change | of | found by the tables' row | found by test_choice.py |\n| --- | --- | --- | --- |")
    for name, file, table, alone in results:
        row = "old text not found exactly once" if table is None else table or "no"
        row = row.partition("[")[2].rstrip("]") or row
        print(f"| {name} | {file} | {row} | {'' if file != CHOICE else 'yes' if alone else 'no'} |")
    found = [(file, bool(table), bool(alone)) for _, file, table, alone in results if table is not None]
    core = [pair for file, *pair in found if file == CHOICE]
    every, by_tables, by_choice, by_tables_alone = (
        sum(column)
        for column in (
            [table for _, table, _ in found],
            [table for table, _ in core],
            [alone for _, alone in core],
            [table and not alone for table, alone in core],
        )
    )
    print(
        f"\n{len(found)} changes, {every} found by the tables.  Of {len(core)} in choice.py {by_tables} by "
        f"the tables, {by_choice} by test_choice.py, {by_tables_alone} by the tables alone."
    )
    return int(not all(table for *_, table, _ in results))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
