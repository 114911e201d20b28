"""Run a randomized soak test of real processes on loopback under injected faults, and check its history.

Usage:
  juniperlanding soak [options]

Options:
  --processes N    real `serve` processes, 1 to 40 [default: 10]
  --endpoints N    stand-in endpoints, two for each destination [default: 6]
  --seconds S      how long clients submit and faults are injected [default: 60]
  --seed N         seed of the fault schedule [default: 1]
  --seeds K        number of runs, seeds N to N+K-1, one after the other [default: 1]
  --defect NAME    run with a seeded defect ("list" lists them)
  --shrink         repeat a red run with ever fewer faults that still break one of the same rules
  --keep FOLDER    keep the logs of red runs there
  --quiet          print only the verdict, not the schedule

Exit code 1 when a rule was broken.
"""

import shutil
import tempfile
from pathlib import Path

from juniperlanding.cli import EXIT_FAILED, Refused
from juniperlanding.cli.emulate import integer_option

MAX_PROCESSES = 40
MAX_SECONDS = 3600
IGNORE_SOCKETS = shutil.ignore_patterns("successor")  # the hand-over socket; copytree cannot copy it
MAX_PRINTED_FINDINGS = 12  # per run
REPORTED_LAG_NS = 100_000_000  # a smaller lag of the rig is not printed


def run(args):
    """Run all seeds and return the exit code."""
    from juniperlanding.soak.defects import DEFECTS

    if args["--defect"] == "list":
        for name, function in DEFECTS.items():
            print(f"{name}: {function.__doc__.splitlines()[0]}")
        return 0
    if args["--defect"] and args["--defect"] not in DEFECTS:
        raise Refused(f"--defect: found {args['--defect']!r}, expected one of {', '.join(DEFECTS)}")
    processes, seconds = integer_option(args, "--processes"), integer_option(args, "--seconds")
    if not (1 <= processes <= MAX_PROCESSES and 20 <= seconds <= MAX_SECONDS):
        raise Refused(f"expected 1 to {MAX_PROCESSES} processes and 20 to {MAX_SECONDS} seconds")
    first, count = integer_option(args, "--seed"), integer_option(args, "--seeds")
    reds = [seed for seed in range(first, first + count) if not run_seed(args, seed, processes, seconds)]
    print(f"{count} runs of {processes} processes for {seconds} s: {len(reds)} red {reds or ''}")
    return EXIT_FAILED if reds else 0


def run_seed(args, seed, processes, seconds):
    """Run one seed; return whether no rule was broken."""
    from juniperlanding.soak import schedule

    plan = schedule.drawn(seed, processes, integer_option(args, "--endpoints"), seconds)
    if not args["--quiet"]:
        for trouble in plan.troubles:
            print(f"  {trouble}")
    rig = run_schedule(plan, args["--defect"] or "", args["--keep"])
    print_verdict(seed, rig)
    if rig.findings and args["--shrink"]:
        shrink(plan, {finding.rule for finding in rig.findings}, args["--defect"] or "")
    return not rig.findings


def run_schedule(plan, defect, keep=None):
    """Run a schedule and return its rig; a red run's folder is copied to `keep` if that is given."""
    import trio

    from juniperlanding.soak.rig import Rig

    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        rig = Rig(plan, folder, defect)
        trio.run(rig.run)
        if keep and rig.findings:
            shutil.copytree(folder, Path(keep) / str(plan.seed), ignore=IGNORE_SOCKETS, dirs_exist_ok=True)
    return rig


def print_verdict(seed, rig):
    """Print the verdict of one run."""
    records = rig.history.audit.records.values()
    outcomes = [record.outcome() for record in records]
    counts = {outcome: outcomes.count(outcome) for outcome in sorted(set(outcomes))}
    starts = sum(map(len, rig.history.lives.values()))
    lag = f", rig lag {rig.history.most_lag // 10**6} ms" * (rig.history.most_lag > REPORTED_LAG_NS)
    verdict = "RED" if rig.findings else "green"
    print(f"seed {seed}: {verdict}, {len(outcomes)} messages {counts}, {starts} starts{lag}", flush=True)
    for finding in rig.findings[:MAX_PRINTED_FINDINGS]:
        print(f"    {finding}", flush=True)
    if len(rig.findings) > MAX_PRINTED_FINDINGS:
        print(f"    and {len(rig.findings) - MAX_PRINTED_FINDINGS} more", flush=True)


def shrink(plan, rules, defect):
    """Remove faults, in parts of half the schedule first, while one of the same rules is still broken."""
    size = max(1, len(plan.troubles) // 2)
    while size:
        for start in range(0, len(plan.troubles), size):
            smaller = plan.without(plan.troubles[start : start + size])
            rig = run_schedule(smaller, defect)
            if rules & {finding.rule for finding in rig.findings}:
                plan = smaller
                break
        else:
            size //= 2
    print("shrunk to:")
    for trouble in plan.troubles:
        print(f"  {trouble}")
