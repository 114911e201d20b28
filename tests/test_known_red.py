"""What KNOWN-RED.txt lists is passed over, and nothing else: whole runs over a small tree."""

from pathlib import Path

import pytest
from known_red import read

HERE = Path(__file__).parent
FAILS, PASSES, AWAY = (f"tests/test_a.py::test_{name}" for name in ("fails", "passes", "away"))
CONFTEST = "from known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary\n"
SETTINGS = f"[pytest]\ntestpaths = tests\npythonpath = {HERE}\naddopts = -q -p no:cacheprovider\n"
TREE = "def test_passes():\n    pass\n\n\ndef test_fails():\n    assert not 'as known'\n"
both = pytest.mark.parametrize("apart", [(), ("-n", "2")], ids=["one process", "xdist"])
pytest_plugins = ["pytester"]


def line(nodeid):
    return f"{nodeid} | a request is not answered | 40\n"


@pytest.fixture
def play(pytester):
    def run(text, *args):
        tests = pytester.mkdir("tests")
        (tests / "conftest.py").write_text(CONFTEST)
        (tests / "test_a.py").write_text(TREE)
        (pytester.path / "pytest.ini").write_text(SETTINGS)
        if text is not None:
            (pytester.path / "KNOWN-RED.txt").write_text(text)
        ended = pytester.runpytest(*args)
        said = ended.stdout.str() + ended.stderr.str()
        return ended.ret, said, said.strip().splitlines()[-1]

    return run


@both
def test_listed_test_that_fails_is_passed_over_and_printed(play, apart):
    code, said, closing = play(line(FAILS), *apart)
    assert code == 0 and closing.startswith("1 passed, 1 xfailed in ")
    assert f"KNOWN RED: {FAILS}: a request is not answered (issue 40)" in said


@both
def test_listed_test_that_passes_fails_the_run(play, apart):
    code, said, closing = play(line(FAILS) + line(PASSES), *apart)
    assert code == 1 and closing.startswith("1 failed, 1 xfailed in ") and "XPASS(strict)" in said


@both
def test_listed_test_that_does_not_exist_fails_the_run(play, apart):
    code, said, closing = play(line(FAILS) + line(AWAY), *apart)
    assert code == 1 and closing.startswith("1 failed, 1 passed, 1 xfailed in ")
    assert f"lists {AWAY}, which does not exist" in said


@both
def test_failing_test_that_is_not_listed_fails_the_run(play, apart):
    code, said, closing = play("", *apart)
    assert code == 1 and closing.startswith("1 failed, 1 passed in ") and "KNOWN" not in said


def test_without_the_file_nothing_differs(play):
    code, said, closing = play(None)
    assert code == 1 and closing.startswith("1 failed, 1 passed in ") and "KNOWN" not in said


def test_listed_test_outside_what_was_asked_for_fails_nothing(play):
    code, _, closing = play(line(FAILS), PASSES)
    assert code == 0 and closing.startswith("1 passed in ")


@both
def test_a_fourth_line_fails_the_run(play, apart):
    code, said, _ = play("".join(map(line, (FAILS, PASSES, AWAY, AWAY + "_too"))), *apart)
    assert code != 0 and "KNOWN-RED.txt: 4 lines, 3 at most" in said


@pytest.mark.parametrize(
    "text",
    [
        f"{FAILS}\n",
        f"{FAILS} | 40\n",
        f"{FAILS} | cause | soon\n",
        "test_fails | cause | 40\n",
        line(FAILS) + "\n",
        line(FAILS) * 2,
    ],
    ids=["id alone", "no cause", "no issue", "no file in the id", "blank line", "twice"],
)
def test_malformed_line_is_told(text):
    with pytest.raises(ValueError, match="is not `node id"):
        read(text)


def test_ids_and_causes_are_read_whole():
    assert read(f"{FAILS}[a | b] | a or b | 40\n") == {f"{FAILS}[a | b]": "a or b (issue 40)"}
