"""KNOWN-RED.txt, at the root: tests of real faults that could not be mended yet, three at most.

One line each: `node id | cause | issue number`, as in

    tests/test_net.py::test_drain | a request in the last read is not answered | 40

Just these are passed over, and printed before pytest's closing line. The run fails if one of them passes,
if a whole run does not find one, or if the file is wrong. With no file, or an empty one, nothing differs.
"""

import re
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
LINE = re.compile(r"(\S.*::.*\S) \| (\S.*) \| (\d+)")
MOST = 3
listed = pytest.StashKey()


class Absent(pytest.Item):
    """Stands for a listed test that does not exist, and fails."""

    def runtest(self):
        pytest.fail(f"{FILE} lists {self.name}, which does not exist", pytrace=False)

    def reportinfo(self):
        return self.path, 0, self.name


def read(text):
    """The causes by node id; ValueError tells what is wrong with the text."""
    causes = {}
    lines = text.splitlines()
    if len(lines) > MOST:
        raise ValueError(f"{len(lines)} lines, {MOST} at most")
    for number, line in enumerate(lines, 1):
        match = LINE.fullmatch(line)
        if not match or match[1] in causes:
            raise ValueError(f"line {number} is not `node id | cause | issue number`, or is there twice")
        causes[match[1]] = f"{match[2]} (issue {match[3]})"
    return causes


def pytest_configure(config):
    path = config.rootpath / FILE
    try:
        config.stash[listed] = read(path.read_text()) if path.exists() else {}
    except (ValueError, OSError) as error:
        raise pytest.UsageError(f"{FILE}: {error}") from error


@pytest.hookimpl(tryfirst=True)  # before -k and its like take tests out
def pytest_collection_modifyitems(session, config, items):
    found = {item.nodeid: item for item in items}
    whole = {Path(name).resolve() for name in config.args} == {
        (config.rootpath / name).resolve() for name in config.getini("testpaths")
    }
    for nodeid, cause in config.stash[listed].items():
        if item := found.get(nodeid):
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True), append=False)
        elif whole:
            items.append(Absent.from_parent(session, name=nodeid, nodeid=nodeid))


def pytest_terminal_summary(terminalreporter, config):
    for nodeid, cause in config.stash[listed].items():
        terminalreporter.write_line(f"KNOWN RED: {nodeid}: {cause}")
