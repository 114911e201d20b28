"""Play a randomized fault soak of real processes on loopback, and judge its history.

Usage:
  juniperlanding soak [options]

Options:
  --processes N    real `serve` processes, 1 to 40 [default: 10]
  --endpoints N    stand-in endpoints, two for each destination [default: 6]
  --seconds S      how long clients and troubles come [default: 60]
  --seed N         what the schedule follows from [default: 1]
  --seeds K        so many runs, seeds N to N+K-1, one after the other [default: 1]
  --defect NAME    put a defect in on purpose ("list" lists them)
  --shrink         play a red schedule again with fewer troubles, for as long as the same rule breaks
  --keep FOLDER    keep the logs of red runs there
  --quiet          print the verdict alone, not the schedule

Exit code 1 when a rule was broken.
"""

import shutil
import tempfile
from pathlib import Path

from juniperlanding.cli import UNWELL, Refused
from juniperlanding.cli.emulate import whole_number

MOST_PROCESSES, MOST_SECONDS = 40, 3600
SOCKETS = shutil.ignore_patterns("successor")  # where a process may take over
MOST_PRINTED = 12  # findings of one run
LAG_WORTH_TELLING = 100_000_000  # ns


def run(asked):
    """Play what was asked for; the exit code."""
    from juniperlanding.soak.defects import DEFECTS

    if asked["--defect"] == "list":
        for name, function in DEFECTS.items():
            print(f"{name}: {function.__doc__.splitlines()[0]}")
        return 0
    if asked["--defect"] and asked["--defect"] not in DEFECTS:
        raise Refused(f"--defect: found {asked['--defect']!r}, expected one of {', '.join(DEFECTS)}")
    processes, seconds = whole_number(asked, "--processes"), whole_number(asked, "--seconds")
    if not (1 <= processes <= MOST_PROCESSES and 20 <= seconds <= MOST_SECONDS):
        raise Refused(f"expected 1 to {MOST_PROCESSES} processes and 20 to {MOST_SECONDS} seconds")
    first, count = whole_number(asked, "--seed"), whole_number(asked, "--seeds")
    reds = [seed for seed in range(first, first + count) if not one(asked, seed, processes, seconds)]
    print(f"{count} runs of {processes} processes for {seconds} s: {len(reds)} red {reds or ''}")
    return UNWELL if reds else 0


def one(asked, seed, processes, seconds):
    """Whether one seed's run broke no rule."""
    from juniperlanding.soak import schedule

    plan = schedule.drawn(seed, processes, whole_number(asked, "--endpoints"), seconds)
    if not asked["--quiet"]:
        for trouble in plan.troubles:
            print(f"  {trouble}")
    rig = played(plan, asked["--defect"] or "", asked["--keep"])
    tell(seed, rig)
    if rig.findings and asked["--shrink"]:
        shrink(plan, {finding.rule for finding in rig.findings}, asked["--defect"] or "")
    return not rig.findings


def played(plan, defect, keep=None):
    """The rig of a schedule after its run; a red run's folder is kept if asked for."""
    import trio

    from juniperlanding.soak.rig import Rig

    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        rig = Rig(plan, folder, defect)
        trio.run(rig.run)
        if keep and rig.findings:
            shutil.copytree(folder, Path(keep) / str(plan.seed), ignore=SOCKETS, dirs_exist_ok=True)
    return rig


def tell(seed, rig):
    """Print the verdict of one run."""
    records = rig.history.audit.records.values()
    ends = [record.outcome() for record in records]
    counts = {end: ends.count(end) for end in sorted(set(ends))}
    starts = sum(map(len, rig.history.lives.values()))
    lag = f", the rig {rig.history.most_lag // 10**6} ms late" * (rig.history.most_lag > LAG_WORTH_TELLING)
    verdict = "RED" if rig.findings else "green"
    print(f"seed {seed}: {verdict}, {len(ends)} messages {counts}, {starts} starts{lag}", flush=True)
    for finding in rig.findings[:MOST_PRINTED]:
        print(f"    {finding}", flush=True)
    if len(rig.findings) > MOST_PRINTED:
        print(f"    and {len(rig.findings) - MOST_PRINTED} more", flush=True)


def shrink(plan, rules, defect):
    """Leave out troubles, halves first, for as long as one of the same rules still breaks."""
    size = max(1, len(plan.troubles) // 2)
    while size:
        for start in range(0, len(plan.troubles), size):
            smaller = plan.without(plan.troubles[start : start + size])
            rig = played(smaller, defect)
            if rules & {finding.rule for finding in rig.findings}:
                plan = smaller
                break
        else:
            size //= 2
    print("shrunk to:")
    for trouble in plan.troubles:
        print(f"  {trouble}")
