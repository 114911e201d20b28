"""Run the main job on an embedded world: one real dispatcher among stand-ins, nothing to configure.

Usage:
  juniperlanding try [--for TIME] [--rate RATE] [--seed SEED] [--trouble NAME] [--json FILE] [--keep FOLDER]
                     [--dispatchers N] [--changes K] [--sites N]

Options:
  --for TIME      how long clients come [default: 10s]
  --rate RATE     notifications a second, as "50/s" [default: 50/s]
  --seed SEED     what all chance starts from [default: 1]
  --trouble NAME  none, silence, refusal, kill, replace or discovery [default: none]
  --dispatchers N  N processes with a view of each other, and faults between them: --trouble none, crash, cut,
                  cut-one-way, island, lossy, slow-peer, rolling, flap or mixed; it lasts as long as it takes;
                  or policy, policy-cut, policy-kill, policy-mixed: changes of policy under faults, with
                  their history in history.sqlite of the kept folder, or beside the JSON file
  --changes K     so many changes of policy [default: 12]
  --sites N       with --trouble region: so many sites, each lost once; the rate follows from the seed
  --json FILE     write all figures there, "-" for standard output
  --keep FOLDER   keep configuration, state and log there; else they go with the run

Exit code 1 if a notification had no final answer, two of them, or a once-only one ran twice.
"""

import json
import os
import re
import sys
import tempfile
from pathlib import Path

from juniperlanding.cli import UNWELL, Refused

COLUMNS = {
    "name": "",
    "handed_in": "handed in",
    "delivered": "delivered",
    "throttled": "throttled",
    "expired": "expired",
    "unheard": "unheard",
    "open": "open",
    "pushes": "pushes",
    "p50_ms": "p50 ms",
    "p99_ms": "p99 ms",
    "within_objective": "in objective",
}


def plan(asked):
    from juniperlanding.ground.units import SEC, Duration
    from juniperlanding.standins.trial import TROUBLES, Plan

    try:
        seconds = Duration.parse(asked["--for"]) / SEC
    except ValueError as error:
        raise Refused(f"--for: found {asked['--for']!r}, expected {error}") from None
    rate = re.fullmatch(r"(\d{1,6}(?:\.\d+)?)(?:/s)?", asked["--rate"])
    if not rate or not 0 < float(rate[1]) <= 5000:
        raise Refused(f'--rate: found {asked["--rate"]!r}, expected a rate such as "50/s", at most 5000/s')
    if not 0.5 <= seconds <= 3600:
        raise Refused(f"--for: found {asked['--for']!r}, expected from 500ms to 1h")
    if asked["--trouble"] not in TROUBLES:
        raise Refused(f"--trouble: found {asked['--trouble']!r}, expected one of {', '.join(TROUBLES)}")
    return Plan(seconds, float(rate[1]), asked["--seed"], asked["--trouble"])


def run(asked):
    import trio

    from juniperlanding.ground.seams import Clock
    from juniperlanding.standins.trial import Trial

    if asked["--dispatchers"]:
        return several(asked)
    wanted = plan(asked)
    with tempfile.TemporaryDirectory(prefix="juniperlanding-try-") as scratch:
        wanted.folder = Path(asked["--keep"] or scratch)
        try:
            wanted.folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise Refused(f"{wanted.folder}: {error.strerror.lower()}") from None
        trial = Trial(wanted, Clock().now)
        try:
            trio.run(play, trial)
        except* (RuntimeError, trio.TooSlowError, OSError) as group:
            raise Refused(f"the trial could not run: {first(group)}", UNWELL) from None
        finally:
            for process in {trial.process, trial.second} - {None}:
                if process.returncode is None:
                    process.kill()  # threat: interrupted, and the dispatcher serves on for nobody
        return report(trial, asked["--json"])


def first(group):
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return str(group) or type(group).__name__


async def play(trial):
    import trio

    async with trio.open_nursery() as nursery:
        nursery.start_soon(show, trial)
        await trial.run()
        nursery.cancel_scope.cancel()


def summary(trial):
    from collections import Counter

    ends = Counter(record.outcome() for record in trial.audit.records.values())
    gone = (trial.now() - trial.begun) / 1e9
    return (
        f"{gone:5.1f} s  {trial.stage}: {len(trial.audit.records)} handed in, {ends['delivered']} delivered, "
        f"{ends['throttled']} throttled, {ends['expired']} expired, {ends['open']} open"
    )


async def show(trial):
    """A live table on a terminal where rich is installed; else a line a second."""
    import trio

    if sys.stderr.isatty():
        try:
            from rich.console import Console
            from rich.live import Live
        except ImportError:
            pass
        else:
            with Live(console=Console(stderr=True), auto_refresh=False, transient=True) as live:
                while True:
                    live.update(tables(trial, rich_table), refresh=True)
                    await trio.sleep(0.25)
    while True:
        await trio.sleep(1)
        print(summary(trial), file=sys.stderr, flush=True)


def rows(trial):
    from juniperlanding.standins.clients import TOPICS
    from juniperlanding.standins.trial import FLEET

    objectives = {topic.name: topic.objective for topic in TOPICS}
    tempers = {number: "+".join(names) for number, names in FLEET.items()}
    by_topic = trial.audit.by(lambda record: record.topic, objectives)
    by_destination = trial.audit.by(
        lambda record: f"{record.destination} {tempers[record.destination]}", objectives
    )
    by_endpoint = [
        {
            "name": one.id,
            "destination": one.destination,
            "temper": one.character.temper.name,
            "calls": one.character.calls,
            **one.character.ends,
        }
        for one in trial.endpoints
    ]
    return by_topic, by_destination, by_endpoint


def tables(trial, table):
    from juniperlanding.standins.temper import DELIVERED, ERROR, RESET, SILENT, TURNED_AWAY

    by_topic, by_destination, by_endpoint = rows(trial)
    ends = dict.fromkeys((DELIVERED, ERROR, TURNED_AWAY, SILENT, RESET))
    columns = {
        "name": "",
        "destination": "destination",
        "temper": "temper",
        "calls": "calls",
        **{end: end.replace("_", " ") for end in ends},
    }
    return table(
        [
            ("by topic type", COLUMNS, by_topic),
            ("by destination", COLUMNS, by_destination),
            ("calls by endpoint", columns, by_endpoint),
        ],
        summary(trial),
    )


def rich_table(parts, head):
    from rich.console import Group
    from rich.table import Table

    found = [head]
    for title, columns, entries in parts:
        table = Table(title=title, title_justify="left", title_style="bold")
        for name, heading in columns.items():
            table.add_column(heading, justify="left" if name in ("name", "temper") else "right")
        for entry in entries:
            table.add_row(*cells(columns, entry))
        found.append(table)
    return Group(*found)


def plain_table(parts, head):
    lines = [head]
    for title, columns, entries in parts:
        grid = [list(columns.values()), *(cells(columns, entry) for entry in entries)]
        widths = [max(map(len, column)) for column in zip(*grid, strict=True)]
        lines += ["", title]
        for line in grid:
            lines.append(
                "  ".join(
                    cell.ljust(width) if at == 0 else cell.rjust(width)
                    for at, (cell, width) in enumerate(zip(line, widths, strict=True))
                ).rstrip()
            )
    return "\n".join(lines)


def cells(columns, entry):
    return ["-" if entry.get(name) is None else str(entry[name]) for name in columns]


def report(trial, to):
    faults, figures = trial.audit.faults(), trial.figures
    by_topic, by_destination, by_endpoint = rows(trial)
    found = {
        "seed": trial.plan.seed,
        "rate": trial.plan.rate,
        "seconds": trial.plan.seconds,
        "trouble": trial.plan.trouble,
        "by_topic": by_topic,
        "by_destination": by_destination,
        "by_endpoint": by_endpoint,
        "faults": {name: ids[:100] for name, ids in faults.items()},
        "strangers": dict(trial.audit.unknown),
        "ready_after_s": figures.ready_after,
        "peak_memory_bytes": figures.peak_memory,
        "exit_codes": figures.exit_codes,
        "replaced": figures.replaced,
        "replacements_killed": figures.failed,
        "load_late_ms": round(figures.late_ms, 1),
    }
    if to == "-":
        print(json.dumps(found, indent=2))
    else:
        print(tables(trial, plain_table))
        print(
            f"\nready after {', '.join(f'{s:.2f} s' for s in figures.ready_after)}; peak memory "
            f"{figures.peak_memory / 1e6:.1f} MB; the load was at most {figures.late_ms:.0f} ms late"
        )
        if figures.replaced or figures.failed:
            print(f"replaced {figures.replaced} times; {figures.failed} more were killed as they began")
        if to:
            fresh = f"{to}.{os.getpid()}.new"
            try:
                Path(fresh).write_text(json.dumps(found, indent=2) + "\n", encoding="utf-8")
                os.replace(fresh, to)
            except OSError as error:
                raise Refused(f"{to}: {error.strerror.lower()}") from None
    for name, ids in faults.items():
        print(f"juniperlanding: {len(ids)} {name}: {', '.join(ids[:5])}", file=sys.stderr)
    if not faults and to != "-":
        print("every notification had one final answer")
    return UNWELL if faults else 0


def several(asked):
    """The same with N processes: how long views took to settle, and whether every notification ended once."""
    import dataclasses

    import trio

    from juniperlanding.processes import policy
    from juniperlanding.processes.region import Region
    from juniperlanding.processes.rig import Rig
    from juniperlanding.processes.troubles import TROUBLES, Outcome, play

    text, name = asked["--dispatchers"], asked["--trouble"]
    if not text.isdigit() or not 2 <= int(text) <= 64:
        raise Refused(f"--dispatchers: found {text!r}, expected from 2 to 64")
    if name not in TROUBLES and name not in policy.TROUBLES:
        names = ", ".join([*TROUBLES, *policy.TROUBLES])
        raise Refused(f"--trouble: found {name!r}, expected one of {names}")
    rate = plan(asked | {"--trouble": "none"}).rate
    if name in policy.TROUBLES:
        return policies(asked, int(text), rate)
    sites = asked["--sites"] or "3"
    if not sites.isdigit() or not 2 <= int(sites) <= min(5, int(text)):
        raise Refused(f"--sites: found {sites!r}, expected from 2 to 5, and no more than dispatchers")
    sites = int(sites)
    outcome = Outcome(name, int(text), asked["--seed"])
    with tempfile.TemporaryDirectory(prefix="juniperlanding-try-") as scratch:
        folder = asked["--keep"] or scratch
        if name == "region":
            rig = Region(outcome.count, folder, outcome.seed, sites=sites)
        else:
            rig = Rig(outcome.count, folder, outcome.seed, rate)
        try:
            trio.run(rig.run, lambda rig: play(rig, name, outcome))
        except* (RuntimeError, trio.TooSlowError, OSError) as group:
            raise Refused(f"the trial could not run: {first(group)}", UNWELL) from None
    if asked["--json"]:
        row = json.dumps(dataclasses.asdict(outcome) | {"well": outcome.well})
        if asked["--json"] == "-":
            print(row)
        else:
            Path(asked["--json"]).write_text(row + "\n", encoding="utf-8")
    else:
        for step, took in outcome.steps:
            print(f"{step:<28} {'not settled' if took is None else f'settled after {took:.1f} s'}")
        for loss in outcome.losses:
            print(f"{loss.site} lost at {loss.level:.0%}, foretold from {loss.known}:")
            for name, (value, least, most, seen, *_) in loss.cells.items():
                print(f"  {name:<18} foretold {value:7.2f} [{least:.2f}, {most:.2f}]/s, seen {seen:7.2f}/s")
        print(
            f"{outcome.notifications} notifications, faults {outcome.faults or 'none'}; "
            f"held for dead though alive: {len(outcome.false_deaths)}"
        )
    return 0 if outcome.well else UNWELL


def policies(asked, count, rate):
    """Changes of policy under drawn faults: whether a number was ever in force beside another."""
    import dataclasses

    import trio

    from juniperlanding.processes.policy import TROUBLES, Outcome, Policies, play

    changes, to = asked["--changes"], asked["--json"]
    if not changes.isdigit() or not 1 <= int(changes) <= 10_000 or count < 3:
        raise Refused(f"--changes: found {changes!r}, expected from 1 to 10000, with 3 dispatchers at least")
    outcome = Outcome(asked["--trouble"], count, asked["--seed"])
    with tempfile.TemporaryDirectory(prefix="juniperlanding-try-") as scratch:
        rig = Policies(count, asked["--keep"] or scratch, outcome.seed, rate)
        names = rig.chance.choices(TROUBLES[outcome.trouble], k=int(changes))

        def tell(line):
            print(line, file=sys.stderr, flush=True)

        try:
            trio.run(rig.run, lambda rig: play(rig, names, outcome, tell))
        except* (RuntimeError, trio.TooSlowError, OSError) as group:
            raise Refused(f"the trial could not run: {first(group)}", UNWELL) from None
        finally:
            if asked["--keep"]:
                rig.save(Path(asked["--keep"]) / "history.sqlite")
            if to and to != "-":
                rig.save(Path(to).with_suffix(".sqlite"))
    row = json.dumps(dataclasses.asdict(outcome) | {"well": outcome.well})
    if to and to != "-":
        Path(to).write_text(row + "\n", encoding="utf-8")
    elif to:
        print(row)
    else:
        print(
            f"{outcome.figures['fates']} of {outcome.figures['proposals']} proposals; "
            f"{outcome.notifications} notifications"
        )
        print(f"breaches {outcome.breaches or 'none'}, faults {outcome.faults or 'none'}")
    return 0 if outcome.well else UNWELL
