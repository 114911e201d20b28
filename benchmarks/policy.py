"""Changes of policy on real processes under drawn faults: many seeds, as rows of a table.

    python benchmarks/policy.py FOLDER DISPATCHERS TROUBLE FIRST_SEED LAST_SEED CHANGES
    python benchmarks/policy.py FOLDER

Each play is `juniperlanding try --dispatchers ...`, from sockets, one after the other; FOLDER keeps its
figures and its history (python -m juniperlanding.processes.policy FILE.sqlite judges one again).  The second
form makes the table of all that FOLDER has."""

import json
import shutil
import subprocess
import sys
from collections import Counter
from pathlib import Path
from statistics import median

FATES = ("decided", "refused", "kept", "lost", "nowhere", "unsettled")


def run(folder, count, trouble, first, last, changes):
    Path(folder).mkdir(parents=True, exist_ok=True)
    for seed in range(int(first), int(last) + 1):
        to = Path(folder) / f"{count}-{trouble}-{seed}.json"
        said = subprocess.run(
            [
                sys.executable,
                "-m",
                "juniperlanding",
                "try",
                "--dispatchers",
                count,
                "--trouble",
                trouble,
                "--seed",
                str(seed),
                "--changes",
                changes,
                "--rate",
                f"{int(count) * 12}/s",
                "--json",
                str(to),
                "--keep",
                str(to.with_suffix("")),
            ],
            capture_output=True,
            text=True,
        )
        if said.returncode == 0:
            shutil.rmtree(to.with_suffix(""))  # else files and logs of all members stay
        to.with_suffix(".log").write_text(said.stderr)
        print(to.name, "well" if said.returncode == 0 else f"NOT WELL: {said.stderr[-300:]}", flush=True)


def table(folder):
    """By size and trouble what became of changes; by fault and size how long they took."""
    from juniperlanding.processes import policy, policy_verdict

    plays, took, spans = {}, {}, {}
    for path in sorted(Path(folder).glob("*.json")):
        told, history = json.loads(path.read_text()), policy.kept(path.with_suffix(".sqlite"))
        breaches, fates = policy_verdict.judge(history)[0], policy_verdict.fates(history)
        for breach, shown in breaches.items():
            print("BREACH", path.name, breach, shown[:2])
        row = plays.setdefault((told["count"], told["trouble"]), Counter())
        row.update(fate for _, fate in fates)
        row.update(
            plays=1,
            breaches=len(breaches),
            notifications=told["notifications"],
            answers=sum(map(len, told["faults"].values())),
        )
        for change in history.changes:
            if change.settled_at > 0:
                place = change.fault, told["count"]
                took.setdefault(place, []).append(change.settled_at - change.mended_at)
        for fault, found in policy_verdict.pauses(history).items():
            spans.setdefault((fault, told["count"]), []).extend(found)
    head = "processes", "trouble", "plays", "changes", *FATES, "breaches", "notifications", "not one answer"
    rows(
        [head]
        + [
            (
                *place,
                row["plays"],
                sum(row[fate] for fate in FATES),
                *(row[fate] for fate in FATES),
                row["breaches"],
                row["notifications"],
                row["answers"],
            )
            for place, row in sorted(plays.items())
        ]
    )
    counts = sorted({count for _, count in took})
    head = [f"{count}: {what}" for count in counts for what in ("changes", "settled s", "pause ms")]
    rows(
        [("fault", *head)]
        + [
            (
                fault,
                *(
                    cell
                    for count in counts
                    for cell in (
                        len(took.get((fault, count), [])),
                        spread(took.get((fault, count)), 1e9, 1),
                        spread(spans.get((fault, count)), 1e6, 0),
                    )
                ),
            )
            for fault in policy.FAULTS
        ]
    )


def rows(lines):
    for number, line in enumerate(lines):
        print("|", " | ".join(map(str, line)), "|")
        if not number:
            print("|", " | ".join("---" for _ in line), "|")
    print()


def spread(spans, unit, digits):
    """Median / worst."""
    return f"{median(spans) / unit:.{digits}f} / {max(spans) / unit:.{digits}f}" if spans else "-"


if __name__ == "__main__":
    (run if len(sys.argv) > 2 else table)(*sys.argv[1:])
