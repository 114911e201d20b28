"""KNOWN-RED.txt, at the root: tests that fail because of a real defect not yet fixed, three at most.

One line each: `node id | cause | issue number`, as in

    tests/test_net.py::test_drain | a request in the last read is not answered | 40

Only these are expected to fail; they are printed before pytest's last line. The run fails if one of them
passes, if a whole run does not find one, or if the file is malformed. With no file, or an empty one, nothing
differs.
"""

import re
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
LINE = re.compile(r"(\S.*::.*\S) \| (\S.*) \| (\d+)")
MAX_LINES = 3
causes_key = pytest.StashKey()


class Absent(pytest.Item):
    """Placeholder for a listed test that does not exist; it fails."""

    def runtest(self):
        pytest.fail(f"{FILE} lists {self.name}, which does not exist", pytrace=False)

    def reportinfo(self):
        return self.path, 0, self.name


def read(text):
    """Return the causes by node id; raise ValueError that says what is wrong with the text."""
    causes = {}
    lines = text.splitlines()
    if len(lines) > MAX_LINES:
        raise ValueError(f"{len(lines)} lines, {MAX_LINES} at most")
    for number, line in enumerate(lines, 1):
        match = LINE.fullmatch(line)
        if not match or match[1] in causes:
            raise ValueError(f"line {number} is not `node id | cause | issue number`, or is there twice")
        causes[match[1]] = f"{match[2]} (issue {match[3]})"
    return causes


def pytest_configure(config):
    path = config.rootpath / FILE
    try:
        config.stash[causes_key] = read(path.read_text()) if path.exists() else {}
    except (ValueError, OSError) as error:
        raise pytest.UsageError(f"{FILE}: {error}") from error


@pytest.hookimpl(tryfirst=True)  # before -k and similar options deselect tests
def pytest_collection_modifyitems(session, config, items):
    items_by_id = {item.nodeid: item for item in items}
    is_whole_run = {Path(name).resolve() for name in config.args} == {
        (config.rootpath / name).resolve() for name in config.getini("testpaths")
    }
    for nodeid, cause in config.stash[causes_key].items():
        if item := items_by_id.get(nodeid):
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True), append=False)
        elif is_whole_run:
            items.append(Absent.from_parent(session, name=nodeid, nodeid=nodeid))


def pytest_terminal_summary(terminalreporter, config):
    for nodeid, cause in config.stash[causes_key].items():
        terminalreporter.write_line(f"KNOWN RED: {nodeid}: {cause}")
