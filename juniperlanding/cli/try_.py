"""Run a real dispatcher under load against stand-in clients, endpoints and platform; nothing to configure.

Usage:
  juniperlanding try [--for TIME] [--rate RATE] [--seed SEED] [--trouble NAME] [--json FILE] [--keep FOLDER]
                     [--dispatchers N] [--changes K] [--sites N]

Options:
  --for TIME      how long clients submit notifications [default: 10s]
  --rate RATE     notifications per second, as "50/s" [default: 50/s]
  --seed SEED     seed of all random choices [default: 1]
  --trouble NAME  none, silence, refusal, kill, replace or discovery [default: none]
  --dispatchers N  run a fleet of N processes, with faults between them: --trouble none, crash, cut,
                  cut-one-way, island, lossy, slow-peer, rolling, flap or mixed; the fault, not --for, sets
                  the length of the run; or policy, policy-cut, policy-kill, policy-mixed: policy changes
                  under faults, with their history in history.sqlite of the kept folder, or beside the JSON
                  file
  --changes K     number of policy changes [default: 12]
  --sites N       with --trouble region: number of sites, each lost once; the seed sets the rate
  --json FILE     write all figures there, "-" for standard output
  --keep FOLDER   keep configuration, state and log there; they are deleted otherwise

Exit code 1 if a notification got no final outcome or two, or if a once-only notification ran twice.
"""

import json
import os
import re
import sys
import tempfile
from pathlib import Path

from juniperlanding.cli import EXIT_FAILED, Refused

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


def trial_plan(args):
    from juniperlanding.ground.units import SEC, Duration
    from juniperlanding.standins.trial import TROUBLES, Plan

    try:
        seconds = Duration.parse(args["--for"]) / SEC
    except ValueError as error:
        raise Refused(f"--for: found {args['--for']!r}, expected {error}") from None
    rate = re.fullmatch(r"(\d{1,6}(?:\.\d+)?)(?:/s)?", args["--rate"])
    if not rate or not 0 < float(rate[1]) <= 5000:
        raise Refused(f'--rate: found {args["--rate"]!r}, expected a rate such as "50/s", at most 5000/s')
    if not 0.5 <= seconds <= 3600:
        raise Refused(f"--for: found {args['--for']!r}, expected from 500ms to 1h")
    if args["--trouble"] not in TROUBLES:
        raise Refused(f"--trouble: found {args['--trouble']!r}, expected one of {', '.join(TROUBLES)}")
    return Plan(seconds, float(rate[1]), args["--seed"], args["--trouble"])


def run(args):
    import trio

    from juniperlanding.ground.seams import Clock
    from juniperlanding.standins.trial import Trial

    if args["--dispatchers"]:
        return run_fleet(args)
    plan = trial_plan(args)
    with tempfile.TemporaryDirectory(prefix="juniperlanding-try-") as scratch:
        plan.folder = Path(args["--keep"] or scratch)
        try:
            plan.folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise Refused(f"{plan.folder}: {error.strerror.lower()}") from None
        trial = Trial(plan, Clock().now)
        try:
            trio.run(run_with_progress, trial)
        except* (RuntimeError, trio.TooSlowError, OSError) as group:
            raise Refused(f"the run failed: {first_error(group)}", EXIT_FAILED) from None
        finally:
            for process in {trial.process, trial.second} - {None}:
                if process.returncode is None:
                    process.kill()  # an interrupted run would otherwise leave the dispatcher running
        return report(trial, args["--json"])


def first_error(group):
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return str(group) or type(group).__name__


async def run_with_progress(trial):
    import trio

    async with trio.open_nursery() as nursery:
        nursery.start_soon(show_progress, trial)
        await trial.run()
        nursery.cancel_scope.cancel()


def summary(trial):
    from collections import Counter

    counts = Counter(record.outcome() for record in trial.audit.records.values())
    elapsed = (trial.now() - trial.begun) / 1e9
    return (
        f"{elapsed:5.1f} s  {trial.stage}: {len(trial.audit.records)} handed in, "
        f"{counts['delivered']} delivered, {counts['throttled']} throttled, "
        f"{counts['expired']} expired, {counts['open']} open"
    )


async def show_progress(trial):
    """Show a live table on a terminal where rich is installed, and print a line per second otherwise."""
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
                    live.update(render_tables(trial, rich_table), refresh=True)
                    await trio.sleep(0.25)
    while True:
        await trio.sleep(1)
        print(summary(trial), file=sys.stderr, flush=True)


def result_rows(trial):
    """Return the rows by topic type, by destination and by endpoint."""
    from juniperlanding.standins.clients import TOPICS
    from juniperlanding.standins.trial import FLEET

    objectives = {topic.name: topic.objective for topic in TOPICS}
    behaviours = {number: "+".join(names) for number, names in FLEET.items()}
    by_topic = trial.audit.by(lambda record: record.topic, objectives)
    by_destination = trial.audit.by(
        lambda record: f"{record.destination} {behaviours[record.destination]}", objectives
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


def render_tables(trial, render):
    """Return the result tables as `render` makes them: `rich_table` or `plain_table`."""
    from juniperlanding.standins.temper import DELIVERED, ERROR, RESET, SILENT, TURNED_AWAY

    by_topic, by_destination, by_endpoint = result_rows(trial)
    call_outcomes = dict.fromkeys((DELIVERED, ERROR, TURNED_AWAY, SILENT, RESET))
    columns = {
        "name": "",
        "destination": "destination",
        "temper": "temper",
        "calls": "calls",
        **{outcome: outcome.replace("_", " ") for outcome in call_outcomes},
    }
    return render(
        [
            ("by topic type", COLUMNS, by_topic),
            ("by destination", COLUMNS, by_destination),
            ("calls by endpoint", columns, by_endpoint),
        ],
        summary(trial),
    )


def rich_table(sections, heading):
    from rich.console import Group
    from rich.table import Table

    renderables = [heading]
    for title, columns, entries in sections:
        table = Table(title=title, title_justify="left", title_style="bold")
        for name, label in columns.items():
            table.add_column(label, justify="left" if name in ("name", "temper") else "right")
        for entry in entries:
            table.add_row(*cells(columns, entry))
        renderables.append(table)
    return Group(*renderables)


def plain_table(sections, heading):
    lines = [heading]
    for title, columns, entries in sections:
        grid = [list(columns.values()), *(cells(columns, entry) for entry in entries)]
        widths = [max(map(len, column)) for column in zip(*grid, strict=True)]
        lines += ["", title]
        for row in grid:
            lines.append(
                "  ".join(
                    cell.ljust(width) if index == 0 else cell.rjust(width)
                    for index, (cell, width) in enumerate(zip(row, widths, strict=True))
                ).rstrip()
            )
    return "\n".join(lines)


def cells(columns, entry):
    return ["-" if entry.get(name) is None else str(entry[name]) for name in columns]


def report(trial, output):
    """Print the results, or write them as JSON to `output`; return the exit code."""
    faults = trial.audit.faults()
    figures = trial.figures
    by_topic, by_destination, by_endpoint = result_rows(trial)
    result = {
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
    if output == "-":
        print(json.dumps(result, indent=2))
    else:
        print(render_tables(trial, plain_table))
        print(
            f"\nready after {', '.join(f'{s:.2f} s' for s in figures.ready_after)}; peak memory "
            f"{figures.peak_memory / 1e6:.1f} MB; load generator at most {figures.late_ms:.0f} ms late"
        )
        if figures.replaced or figures.failed:
            print(f"replaced {figures.replaced} times; {figures.failed} more were killed during start-up")
        if output:
            temporary = f"{output}.{os.getpid()}.new"
            try:
                Path(temporary).write_text(json.dumps(result, indent=2) + "\n", encoding="utf-8")
                os.replace(temporary, output)
            except OSError as error:
                raise Refused(f"{output}: {error.strerror.lower()}") from None
    for name, ids in faults.items():
        print(f"juniperlanding: {len(ids)} {name}: {', '.join(ids[:5])}", file=sys.stderr)
    if not faults and output != "-":
        print("every notification had exactly one final outcome")
    return EXIT_FAILED if faults else 0


def run_fleet(args):
    """Run N processes; report how long views took to converge and whether each notification ended once."""
    import dataclasses

    import trio

    from juniperlanding.processes import policy
    from juniperlanding.processes.region import Region
    from juniperlanding.processes.rig import Rig
    from juniperlanding.processes.troubles import TROUBLES, Outcome, play

    count_text = args["--dispatchers"]
    name = args["--trouble"]
    if not count_text.isdigit() or not 2 <= int(count_text) <= 64:
        raise Refused(f"--dispatchers: found {count_text!r}, expected from 2 to 64")
    if name not in TROUBLES and name not in policy.TROUBLES:
        names = ", ".join([*TROUBLES, *policy.TROUBLES])
        raise Refused(f"--trouble: found {name!r}, expected one of {names}")
    rate = trial_plan(args | {"--trouble": "none"}).rate
    if name in policy.TROUBLES:
        return run_policy_changes(args, int(count_text), rate)
    sites = args["--sites"] or "3"
    if not sites.isdigit() or not 2 <= int(sites) <= min(5, int(count_text)):
        raise Refused(f"--sites: found {sites!r}, expected from 2 to 5, and no more than dispatchers")
    sites = int(sites)
    outcome = Outcome(name, int(count_text), args["--seed"])
    with tempfile.TemporaryDirectory(prefix="juniperlanding-try-") as scratch:
        folder = args["--keep"] or scratch
        if name == "region":
            rig = Region(outcome.count, folder, outcome.seed, sites=sites)
        else:
            rig = Rig(outcome.count, folder, outcome.seed, rate)
        try:
            trio.run(rig.run, lambda rig: play(rig, name, outcome))
        except* (RuntimeError, trio.TooSlowError, OSError) as group:
            raise Refused(f"the run failed: {first_error(group)}", EXIT_FAILED) from None
    if args["--json"]:
        row = json.dumps(dataclasses.asdict(outcome) | {"well": outcome.well})
        if args["--json"] == "-":
            print(row)
        else:
            Path(args["--json"]).write_text(row + "\n", encoding="utf-8")
    else:
        for step, took in outcome.steps:
            print(f"{step:<28} {'not converged' if took is None else f'converged after {took:.1f} s'}")
        for loss in outcome.losses:
            print(f"{loss.site} lost at {loss.level:.0%}, forecast from {loss.known}:")
            for name, (value, lower, upper, observed, *_) in loss.cells.items():
                print(
                    f"  {name:<18} forecast {value:7.2f} [{lower:.2f}, {upper:.2f}]/s, "
                    f"observed {observed:7.2f}/s"
                )
        print(
            f"{outcome.notifications} notifications, faults {outcome.faults or 'none'}; "
            f"live processes declared dead: {len(outcome.false_deaths)}"
        )
    return 0 if outcome.well else EXIT_FAILED


def run_policy_changes(args, count, rate):
    """Change the policy under random faults; report whether two policies were ever in force at once."""
    import dataclasses

    import trio

    from juniperlanding.processes.policy import TROUBLES, Outcome, Policies, play

    changes = args["--changes"]
    output = args["--json"]
    if not changes.isdigit() or not 1 <= int(changes) <= 10_000 or count < 3:
        raise Refused(f"--changes: found {changes!r}, expected from 1 to 10000, with 3 dispatchers at least")
    outcome = Outcome(args["--trouble"], count, args["--seed"])
    with tempfile.TemporaryDirectory(prefix="juniperlanding-try-") as scratch:
        rig = Policies(count, args["--keep"] or scratch, outcome.seed, rate)
        names = rig.chance.choices(TROUBLES[outcome.trouble], k=int(changes))

        def print_progress(line):
            print(line, file=sys.stderr, flush=True)

        try:
            trio.run(rig.run, lambda rig: play(rig, names, outcome, print_progress))
        except* (RuntimeError, trio.TooSlowError, OSError) as group:
            raise Refused(f"the run failed: {first_error(group)}", EXIT_FAILED) from None
        finally:
            if args["--keep"]:
                rig.save(Path(args["--keep"]) / "history.sqlite")
            if output and output != "-":
                rig.save(Path(output).with_suffix(".sqlite"))
    row = json.dumps(dataclasses.asdict(outcome) | {"well": outcome.well})
    if output and output != "-":
        Path(output).write_text(row + "\n", encoding="utf-8")
    elif output:
        print(row)
    else:
        print(
            f"{outcome.figures['fates']} of {outcome.figures['proposals']} proposals; "
            f"{outcome.notifications} notifications"
        )
        print(f"breaches {outcome.breaches or 'none'}, faults {outcome.faults or 'none'}")
    return 0 if outcome.well else EXIT_FAILED
