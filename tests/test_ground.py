"""Quantities, the operators' file and its errors, the folder lock, the log, and commands."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from conftest import SetClock
from hypothesis import given, settings
from hypothesis import strategies as st

from juniperlanding.cli import COMMANDS, Refused, load, main
from juniperlanding.ground import file, lock, log, reference
from juniperlanding.ground.clock import Clock
from juniperlanding.ground.seams import FileSystem, real_system
from juniperlanding.ground.units import Duration, Size
from juniperlanding.net import config

GOOD = """
zones = ["a"]
[instance]
discovery = "127.0.0.1:8500"
state = "state"
[[kind]]
name = "shop"
[[topic]]
name = "news"
kind = "repeatable"
objective = "2s"
ttl = "20s"
[[endpoint]]
id = "e-1"
address = "127.0.0.1:9000"
destination = 7
kind = "shop"
zone = "a"
"""


def faults(path):
    with pytest.raises(file.FileError) as error:
        file.read(path, FileSystem())
    return error.value.lines


@pytest.mark.parametrize(
    "kind, text, value",
    [
        (Duration, "250ms", 250_000_000),
        (Duration, "1h30m", 5_400 * 10**9),
        (Duration, " 1.5 s ", 1_500_000_000),
        (Size, "64MiB", 64 << 20),
        (Size, "1.5kB", 1500),
    ],
)
def test_quantities_are_read_whole_and_written_back(kind, text, value):
    assert kind.parse(text) == value and kind.parse(str(kind.parse(text))) == value


@pytest.mark.parametrize(
    "text", ["", "5", "-5s", "5 parsecs", "1.5ns", "nan s", "1e3s", "500d", "5s!", 5, None, "9" * 400 + "s"]
)
def test_a_quantity_that_is_none_says_what_was_expected(text):
    with pytest.raises(ValueError, match="a duration such as"):
        Duration.parse(text)


@given(st.integers(0, 400 * 86400 * 10**9))
def test_every_duration_survives_being_written(value):
    assert Duration.parse(str(Duration(value))) == value


def test_all_faults_of_a_file_come_at_once_each_with_its_place(tmp_path):
    path = tmp_path / "a.toml"
    path.write_text(
        '[instance]\nnmae = "x"\nrank = -1\nlisten = "127.0.0.1:70700"\n[limits]\nmemory = 64\n'
        'sockets = 3\n[rules]\nstart_capacity = nan\nwarm_within = "-5s"\n[log]\nform = "xml"\n'
        '[[topic]]\nname = "news"\nkind = "repeatable"\nobjective = "2s"\n[surprise]\n'
    )
    found = faults(path)
    for expected in (
        "instance.nmae: found an unknown key, expected 'name'",
        "instance.rank: found -1, expected",
        "limits.memory: found 64, expected a size such as",
        "start_capacity: found nan, expected a finite",
        'warm_within: found "-5s", expected a duration',
        'log.form: found "xml"',
        "topic[0].ttl: found nothing",
        "surprise: found an unknown key",
    ):
        assert any(line.startswith(f"{path}: ") and expected in line for line in found), expected
    path.write_text('[instance]\nlisten = "127.0.0.1:70700"\nrank = 3\n[limits]\nsockets = 3\n')
    assert len(faults(path)) == 3


@pytest.mark.parametrize(
    "change, expected",
    [
        (('ttl = "20s"', 'ttl = "1s"'), "topic news.objective: found 2s"),
        (('"repeatable"', '"collapsible"'), "topic news.window: found nothing"),
        (('zone = "a"', 'zone = "b"'), 'endpoint e-1.zone: found "b"'),
        (('kind = "shop"\nzone', 'kind = "shed"\nzone'), 'endpoint e-1.kind: found "shed"'),
        (("127.0.0.1:9000", "127.0.0.999:9000"), "endpoint e-1.address"),
        (("[[kind]]", '[[kind]]\nname = "shop"\n[[kind]]'), 'kind: found "shop" twice'),
    ],
)
def test_keys_that_do_not_fit_together_are_told(tmp_path, change, expected):
    path = tmp_path / "a.toml"
    path.write_text(GOOD.replace(*change))
    assert [line for line in faults(path) if expected in line]


def test_files_that_are_none_get_one_line_each(tmp_path):
    (tmp_path / "half").write_text('[instance]\nname = "x')
    (tmp_path / "latin").write_bytes(b'[instance]\nname = "\xe9"\n')
    (tmp_path / "deep").write_text("a = " + "[" * 5000 + "]" * 5000)
    with open(tmp_path / "large", "wb") as large:
        large.truncate(100 << 20)
    (tmp_path / "circle").write_text('include = ["circle2"]')
    (tmp_path / "circle2").write_text('include = ["./circle"]')
    os.mkfifo(tmp_path / "pipe")
    for name, expected in (
        ("missing", "no such file"),
        ("half", "TOML"),
        ("latin", "UTF-8"),
        ("deep", "depth"),
        ("large", "104857600 bytes"),
        ("circle", "includes itself"),
        ("pipe", "regular file"),
        (".", "regular file"),
    ):
        found = faults(tmp_path / name)
        assert len(found) == 1 and expected in found[0], (name, found)


def test_what_a_file_says_goes_before_its_includes_and_lists_are_joined(tmp_path):
    (tmp_path / "fleet.toml").write_text('[limits]\nsockets = 100\ndisk = "1MB"\n[[kind]]\nname = "shed"\n')
    (tmp_path / "a.toml").write_text('include = ["fleet.toml"]\n' + GOOD + "[limits]\nsockets = 200\n")
    parsed = file.read(tmp_path / "a.toml", FileSystem())
    assert parsed.values["limits.sockets"] == (200, str(tmp_path / "a.toml"))
    assert parsed.values["limits.disk"] == (1_000_000, str(tmp_path / "fleet.toml"))
    assert [kind.name for kind, _ in parsed.tables["kind"]] == ["shed", "shop"]


@settings(max_examples=150, deadline=None)
@given(
    st.one_of(
        st.binary(max_size=300), st.text(max_size=300).map(lambda text: text.encode("utf-8", "replace"))
    )
)
def test_arbitrary_bytes_end_in_the_documented_error_alone(content):
    reads_or_raises_file_error(content)


SCALARS = st.one_of(
    st.integers(),
    st.floats(),
    st.booleans(),
    st.text(max_size=8),
    st.sampled_from(["5s", "64MiB", "127.0.0.1:80", "push", "repeatable"]),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["name", "kind", "ttl", "rank", "x y"]), inner, max_size=3),
    max_leaves=6,
)
KEYS = st.sampled_from([*file.keys_of(file.sections.File), *file.keys_of(file.sections.Instance), "odd"])


@settings(max_examples=200, deadline=None)
@given(st.dictionaries(KEYS, VALUES | st.dictionaries(KEYS, VALUES, max_size=4), max_size=6))
def test_arbitrary_toml_ends_in_the_documented_error_alone(document):
    import tomlkit

    try:
        text = tomlkit.dumps(document)
    except Exception:  # a value that tomlkit cannot write is not TOML
        return
    reads_or_raises_file_error(text.encode("utf-8", "replace"))


def reads_or_raises_file_error(content):
    """Reads `content` as an operators' file; any exception other than `FileError` fails the test."""

    class OneFile(FileSystem):
        def read(self, path, most=0):
            if str(path) != "a.toml":
                raise FileNotFoundError(2, "No such file or directory", path)
            return content

    try:
        config.from_operators(file.read("a.toml", OneFile()))
    except file.FileError as error:
        assert error.lines and all("\n" not in line for line in error.lines)


def test_the_page_on_the_file_is_the_types_and_the_written_file_is_fit(tmp_path, capsys):
    assert Path("docs/configuration.md").read_text() == reference.page()
    assert main(["init", str(tmp_path / "a.toml")]) == 0 and main(["check", str(tmp_path / "a.toml")]) == 0
    assert main(["init", str(tmp_path / "a.toml")]) == 2 and "--force" in capsys.readouterr().err
    assert os.listdir(tmp_path) == ["a.toml"]


def test_the_platform_goes_before_the_file_and_each_value_names_its_origin(tmp_path, monkeypatch, capsys):
    (tmp_path / "a.toml").write_text(GOOD + "[holding]\nslots = 5\nmost_held = 9\n")
    platform = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "limits": {"disk_mb": 3},
        "settings": {"family_info": {"workers": 7}},
    }
    (tmp_path / "config.json").write_text(json.dumps(platform))
    monkeypatch.setenv("EDGE_CONFIG", str(tmp_path / "config.json"))
    monkeypatch.setenv("EDGE_LISTEN", "127.0.0.1:3")
    monkeypatch.setenv("EDGE_DISCOVERY", "127.0.0.1:4")
    assert main(["check", "--effective", "--json", str(tmp_path / "a.toml")]) == 0
    found = json.loads(capsys.readouterr().out)["values"]
    origin = f"EDGE_CONFIG {tmp_path}/config.json"
    assert found["holding.slots"] == {"value": 7, "from": origin}
    assert found["holding.most_held"] == {"value": 9, "from": str(tmp_path / "a.toml")}
    assert found["instance.listen"] == {"value": "127.0.0.1:3", "from": "EDGE_LISTEN"}
    assert found["instance.discovery"] == {"value": "127.0.0.1:2", "from": origin}
    read = config.read(
        os.environ, FileSystem(), config.from_operators(file.read(tmp_path / "a.toml", FileSystem()))
    )
    assert (read.settings["slots"], read.settings["most_held"], read.disk) == (7, 9, 3_000_000)
    assert (read.listen, read.discovery, read.state) == (
        ("127.0.0.1", 3),
        ("127.0.0.1", 2),
        str(tmp_path / "state"),
    )
    assert (
        read.settings["topic_types"][0]["name"] == "news"
        and read.known_endpoints["members"][0]["id"] == "e-1"
    )


@pytest.mark.parametrize(
    "argv, code, message",
    [
        (["owed", "/no/such/folder"], 2, "no such file"),
        (["nonsense"], 2, "no command"),
        (["serve", "/no/file"], 2, "no such file"),
        (["check"], 2, "nothing to check"),
        (["try", "--rate", "fast"], 2, "--rate"),
        (["try", "--trouble", "x"], 2, "silence"),
        (["owed"], 2, "Usage"),
    ],
)
def test_a_command_that_cannot_be_done_says_so_in_one_line(argv, code, message, capsys, monkeypatch):
    monkeypatch.delenv("EDGE_CONFIG", raising=False)
    assert main(argv) == code
    err = capsys.readouterr().err
    assert message in err and "Traceback" not in err


def test_every_command_has_a_usage_of_its_own_and_completion_knows_it(capsys):
    for name in COMMANDS:
        assert f"juniperlanding {name}" in load(name).__doc__
    assert main(["completion"]) == 0
    script = capsys.readouterr().out
    done = subprocess.run(
        [
            "bash",
            "-c",
            script + "COMP_WORDS=(juniperlanding check --e); COMP_CWORD=2; "
            "_juniperlanding; echo ${COMPREPLY[@]}",
        ],
        capture_output=True,
        text=True,
    )
    assert done.stdout.split() == ["--effective"]


def serve(tmp_path, **more):
    """Start `serve` on a valid operators' file; `more` can set its state folder and port."""
    path = tmp_path / "a.toml"
    path.write_text(
        GOOD.replace(
            'state = "state"',
            f'state = "{more.get("state", "state")}"\nlisten = "127.0.0.1:{more.get("port", 0)}"',
        )
    )
    return subprocess.Popen(
        [sys.executable, "-m", "juniperlanding", "serve", str(path)], text=True, stderr=subprocess.PIPE
    )


def test_a_folder_in_use_a_missing_one_and_a_taken_port_end_with_one_line_and_change_nothing(tmp_path):
    (tmp_path / "state").mkdir()
    first = serve(tmp_path)
    try:
        assert " start listening=" in first.stderr.readline()
        readline = first.stderr.readline  # keeps the pipe open
        (tmp_path / "state" / "ledger").write_bytes(b"as it was\n")
        second = serve(tmp_path, port=1)  # another address: at the same one it would take over
        assert second.wait(10) == 2 and "state: it listens at 127.0.0.1:0" in (text := second.stderr.read())
        assert text.startswith("juniperlanding: hand-over-refused: ") and " Remedy: " in text
        assert text.count("\n") == 1 and (tmp_path / "state" / "ledger").read_bytes() == b"as it was\n"
        assert lock.folder_holder(tmp_path / "state") == first.pid and readline
    finally:
        first.kill()
        first.wait()
    assert lock.folder_holder(tmp_path / "state") is None
    missing = serve(tmp_path, state="missing")
    assert (
        missing.wait(10) == 2 and "missing" in missing.stderr.read() and not (tmp_path / "missing").exists()
    )
    held = real_system().network.bind(("127.0.0.1", 0))
    held.listen()
    taken = serve(tmp_path, port=held.address[1])
    assert taken.wait(10) == 2 and "address already in use" in taken.stderr.read()
    assert (tmp_path / "state" / "ledger").read_bytes() == b"as it was\n"
    held.close()


def test_what_is_secret_or_raw_never_reaches_the_log(capsys):
    for form in log.FORMS:
        say = log.open_log("n0", Clock(), form)
        say("fault", part="x", body=b"card 4111", key="k-17", other=b"card 4111", peer="a\nforged line")
        out = capsys.readouterr().err
        assert "4111" not in out and "k-17" not in out and out.count("\n") == 1 and "peer" in out
    try:
        {}["k-17"]
    except KeyError as error:
        assert log.safe_description(error) == "KeyError" and ":" in log.error_location(error)


def test_json_lines_carry_figures_as_fields(capsys):
    clock = SetClock(5 * log.SEC)
    say = log.open_log("n0", clock, log.JSON, lines=2)
    for number in range(4):
        say("conn", end="closed", requests=number)
    clock.at += log.SEC
    say("conn", end="closed", requests=9)
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert [line["requests"] for line in lines] == [0, 1, 9] and lines[-1]["held_back"] == 2
    assert lines[0] == {
        "timestamp": "5.000000",
        "event": "conn",
        "instance": "n0",
        "end": "closed",
        "requests": 0,
    }


def test_a_wall_clock_set_back_silences_no_event(capsys):
    clock = SetClock(5 * log.SEC)
    say = log.open_log("n0", clock, lines=1)
    say("conn")
    clock.ahead, clock.at = -3600 * log.SEC, clock.at + log.SEC
    say("conn")
    stamps = [float(line.split()[0]) for line in capsys.readouterr().err.splitlines()]
    assert stamps == [5.0, 6.0 - 3600]


def test_refused_names_its_exit_code():
    assert Refused("x").code == 2
