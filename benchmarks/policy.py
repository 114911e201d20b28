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

HEAD = ("processes", "fault", "plays", "changes", "decided", "refused", "kept", "lost", "nowhere", "breaches",
        "settled after, median / worst s", "pause, median / worst ms")


def run(folder, count, trouble, first, last, changes):
    Path(folder).mkdir(parents=True, exist_ok=True)
    for seed in range(int(first), int(last) + 1):
        to = Path(folder) / f"{count}-{trouble}-{seed}.json"
        said = subprocess.run(
            [sys.executable, "-m", "juniperlanding", "try", "--dispatchers", count, "--trouble", trouble,
             "--seed", str(seed), "--changes", changes, "--rate", f"{int(count) * 12}/s", "--json", str(to),
             "--keep", str(to.with_suffix(""))],
            capture_output=True, text=True)
        if said.returncode == 0:
            shutil.rmtree(to.with_suffix(""))  # else files and logs of all members stay
        to.with_suffix(".log").write_text(said.stderr)
        print(to.name, "well" if said.returncode == 0 else f"NOT WELL: {said.stderr[-300:]}", flush=True)


def table(folder):
    from juniperlanding.processes import policy, policy_verdict

    cells, answers = {}, Counter()
    for path in sorted(Path(folder).glob("*.json")):
        told = json.loads(path.read_text())
        history = policy.kept(path.with_suffix(".sqlite"))
        answers.update(notifications=told["notifications"], faults=sum(map(len, told["faults"].values())))
        answers.update(orders=len(history.orders), polls=len(history.polls))
        by_change = {change.change: change for change in history.changes}
        breaches, spans = policy_verdict.judge(history)[0], policy_verdict.pauses(history)
        for fault in {change.fault for change in history.changes}:
            cell = cells.setdefault((told["count"], fault), {"plays": 0, "took": [], "spans": []} | Counter())
            cell["plays"] += 1
            cell["spans"] += spans.get(fault, [])
            cell["took"] += [change.settled_at - change.mended_at for change in history.changes
                             if change.fault == fault and change.settled_at > 0]
        for proposal, fate in policy_verdict.fates(history):
            fault = by_change[proposal.change].fault if proposal.change in by_change else "-"
            cell = cells.setdefault((told["count"], fault), {"plays": 0, "took": [], "spans": []})
            cell[fate] = cell.get(fate, 0) + 1
        for breach, shown in breaches.items():
            print("BREACH", path.name, breach, shown[:2])
    fates = ("decided", "refused", "kept", "lost", "nowhere", "unheard", "unsettled")
    print("|", " | ".join(HEAD), "|")
    print("|", " | ".join("---" for _ in HEAD), "|")
    for (count, fault), cell in sorted(cells.items()):
        told = [cell.get(fate, 0) for fate in fates]
        print("|", " | ".join(map(str, [
            count, fault, cell["plays"], sum(told[:5]) + told[6], *told[:5], told[6],
            spread(cell["took"], 1e9), spread(cell["spans"], 1e6)])), "|")
    print(dict(answers), "changes", sum(cell.get(fate, 0) for cell in cells.values() for fate in fates[:5]))


def spread(spans, unit):
    digits = 1 if unit == 1e9 else 0
    return f"{median(spans) / unit:.{digits}f} / {max(spans) / unit:.{digits}f}" if spans else "-"


if __name__ == "__main__":
    (run if len(sys.argv) > 2 else table)(*sys.argv[1:])
