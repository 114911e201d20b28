"""Tests and soaks listed in KNOWN-RED.txt may fail, and no others: whole runs over a small tree of tests."""

import shlex
import sys
from pathlib import Path

import pytest
from known_red import Entry, read, run_soak

HERE = Path(__file__).parent
FAILS, PASSES, ABSENT = (f"tests/test_a.py::test_{name}" for name in ("fails", "passes", "away"))
CONFTEST = "from known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary\n"
SETTINGS = f"[pytest]\ntestpaths = tests\npythonpath = {HERE}\naddopts = -q -p no:cacheprovider\n"
TREE = "def test_passes():\n    pass\n\n\ndef test_fails():\n    assert not 'as known'\n"
SOAK_LINE = "soak | python -m juniperlanding soak --seed 7 | a message is lost | 40\n"
with_and_without_xdist = pytest.mark.parametrize("options", [(), ("-n", "2")], ids=["one process", "xdist"])
pytest_plugins = ["pytester"]


def line(nodeid):
    return f"{nodeid} | python -m pytest {nodeid} | a request is not answered | 40\n"


@pytest.fixture
def run_tests(pytester):
    """Run pytest with the text as KNOWN-RED.txt; give exit code, output and its last line."""

    def run(text, *args):
        tests = pytester.mkdir("tests")
        (tests / "conftest.py").write_text(CONFTEST)
        (tests / "test_a.py").write_text(TREE)
        (pytester.path / "pytest.ini").write_text(SETTINGS)
        if text is not None:
            (pytester.path / "KNOWN-RED.txt").write_text(text)
        result = pytester.runpytest(*args)
        output = result.stdout.str() + result.stderr.str()
        return result.ret, output, output.strip().splitlines()[-1]

    return run


@with_and_without_xdist
def test_listed_test_that_fails_is_passed_over_and_printed(run_tests, options):
    code, output, last_line = run_tests(line(FAILS), *options)
    assert code == 0 and last_line.startswith("1 passed, 1 xfailed in ")
    assert f"KNOWN RED: {FAILS}: a request is not answered (issue 40)" in output


@with_and_without_xdist
def test_listed_test_that_passes_fails_the_run(run_tests, options):
    code, output, last_line = run_tests(line(FAILS) + line(PASSES), *options)
    assert code == 1 and last_line.startswith("1 failed, 1 xfailed in ") and "XPASS(strict)" in output


@with_and_without_xdist
def test_listed_test_that_fails_sometimes_may_pass_and_is_printed(run_tests, options):
    text = "".join(line(name).replace("| a request", "| sometimes: a request") for name in (FAILS, PASSES))
    code, output, last_line = run_tests(text, *options)
    assert code == 0 and last_line.startswith("1 xfailed, 1 xpassed in ")
    assert f"KNOWN RED: {PASSES}: sometimes: a request is not answered (issue 40)" in output


@with_and_without_xdist
def test_listed_test_that_does_not_exist_fails_the_run(run_tests, options):
    code, output, last_line = run_tests(line(FAILS) + line(ABSENT), *options)
    assert code == 1 and last_line.startswith("1 failed, 1 passed, 1 xfailed in ")
    assert f"lists {ABSENT}, which does not exist" in output


@with_and_without_xdist
def test_failing_test_that_is_not_listed_fails_the_run(run_tests, options):
    code, output, last_line = run_tests("", *options)
    assert code == 1 and last_line.startswith("1 failed, 1 passed in ") and "KNOWN" not in output


def test_without_the_file_nothing_differs(run_tests):
    code, output, last_line = run_tests(None)
    assert code == 1 and last_line.startswith("1 failed, 1 passed in ") and "KNOWN" not in output


def test_listed_test_outside_what_was_asked_for_fails_nothing(run_tests):
    code, _, last_line = run_tests(line(FAILS), PASSES)
    assert code == 0 and last_line.startswith("1 passed in ")


@with_and_without_xdist
def test_a_fourth_line_fails_the_run(run_tests, options):
    code, output, _ = run_tests("".join(map(line, (FAILS, PASSES, ABSENT, ABSENT + "_too"))), *options)
    assert code != 0 and "KNOWN-RED.txt: 4 lines, 3 at most" in output


@pytest.mark.parametrize(
    "text",
    [
        f"{FAILS}\n",
        f"{FAILS} | 40\n",
        f"{FAILS} | seen | 40\n",
        f"{FAILS} | python -m pytest {FAILS} | 40\n",
        f"{FAILS} | python -m pytest {FAILS} | seen | soon\n",
        f"test_fails | python -m pytest {FAILS} | seen | 40\n",
        f"{FAILS} | by hand | seen | 40\n",
        "soak | python -m juniperlanding soak | seen | 40\n",
        line(FAILS) + "\n",
        line(FAILS) * 2,
        SOAK_LINE * 2,
    ],
    ids=[
        "id alone",
        "no command, nothing seen",
        "no command",
        "nothing seen",
        "no issue",
        "no file in the id",
        "no command to run",
        "a soak without a seed",
        "blank line",
        "twice",
        "a soak twice",
    ],
)
def test_malformed_line_is_reported(text):
    with pytest.raises(ValueError, match="is not `test |is there twice"):
        read(text)


def test_entries_are_read_whole():
    command = f"python -m pytest '{FAILS}[a | b]'"
    (entry,) = read(f"{FAILS}[a | b] | {command} | a or b | 40\n")
    assert entry == Entry(f"{FAILS}[a | b]", command, "a or b", 40)


def test_a_soak_and_a_test_may_be_listed_together(run_tests):
    code, output, last_line = run_tests(line(FAILS) + SOAK_LINE)
    assert code == 0 and last_line.startswith("1 passed, 1 xfailed in ")
    assert "KNOWN RED: python -m juniperlanding soak --seed 7: a message is lost (issue 40)" in output


@pytest.mark.parametrize(
    "listed, soak_code, code",
    [(False, 0, 0), (False, 1, 1), (False, 3, 3), (True, 1, 0), (True, 0, 1)],
    ids=["passes", "fails", "another code", "listed, fails", "listed, passes"],
)
def test_a_soak_may_fail_only_if_its_command_is_listed(tmp_path, capfd, listed, soak_code, code):
    command = [sys.executable, "-c", f"raise SystemExit({soak_code})", "--seed", "7"]
    other = [*command[:-1], "8"]
    named = shlex.join(command if listed else other)
    entry = Entry("soak", named, "a message is lost", 40)
    assert run_soak(command, tmp_path, [entry]) == code
    assert ("a message is lost" in capfd.readouterr().out) == (listed and soak_code == 1)
