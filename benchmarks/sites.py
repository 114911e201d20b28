"""What was foretold of lost sites against what came, as docs/sites.md has it.

    python benchmarks/sites.py emulated SEEDS [slots=12 ...]   three losses a seed and level, simulated time
    python benchmarks/sites.py judged FILE...                  from `try --trouble region --json FILE`

A cell is one topic type's figure of one loss.  Its error is relative where at least 2% of what was handed in
(times its benefit) was seen; the others are told as "small", right if what was foretold is small too."""

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from statistics import median

from juniperlanding.emulator.region import SITES, TOPICS, Town

LEVELS, LEAST, WORKERS = (0.5, 0.8, 1.1), 0.02, 2
WORTH = {topic["name"]: topic["benefit"] for topic in TOPICS}


def played(asked):
    seed, level, more = asked
    town = Town(seed=seed, level=level, **more)
    rows = []
    for number, site in enumerate(town.chance.sample(list(SITES), 3)):
        loss = town.lose(site)
        rows += [
            (level, number, name, loss.offered[name.split()[1]][1], e.value, e.least, e.most, seen, even, now)
            for name, (e, seen, even, now) in loss.cells.items()
        ]
    return rows


def judged(path):
    with open(path, encoding="utf-8") as file:
        told = json.load(file)
    return [
        (loss["level"], number, name, loss["offered"][name.split()[1]][1], *cell)
        for number, loss in enumerate(told["losses"])
        for name, cell in loss["cells"].items()
    ]


def report(rows, title):
    print(f"{title}: {len(rows)} cells")
    for level in sorted({row[0] for row in rows}):
        for measure in ("refused", "lost", "crossings"):
            line(f"{level:4.0%} {measure:9}", [r for r in rows if r[0] == level and r[2].startswith(measure)])
    line("all", rows)
    for number in range(3):
        line(f"loss {number + 1} of a run", [row for row in rows if row[1] == number])


def line(title, rows):
    errors, held, small, right = {"foretold": [], "even": [], "as now": []}, 0, 0, 0
    whole = {"foretold": [], "even": [], "as now": []}  # shares of what was handed in, every cell
    for _, _, name, offered, value, least, most, seen, even, now in rows:
        scale = offered * (WORTH[name.split()[1]] if name.startswith("lost") else 1)
        held += least <= seen <= most
        big = seen >= LEAST * scale
        small, right = small + (not big), right + (not big and value < 1.5 * LEAST * scale)
        for key, figure in (("foretold", value), ("even", even), ("as now", now)):
            whole[key].append(abs(figure - seen) / scale)
            if big:
                errors[key].append(abs(figure - seen) / seen)
    told = " ".join(f"{key} {median(found):.3f}" if found else f"{key} -" for key, found in errors.items())
    shares = " ".join(f"{median(found):.4f}" for found in whole.values() if found)
    print(
        f"  {title:17} error {told} ({len(errors['foretold'])} cells); of load {shares}; "
        f"small {right}/{small}; band held {held}/{len(rows)}"
    )


def main(how, *rest):
    if how == "judged":
        return report([row for path in rest for row in judged(path)], f"{len(rest)} runs")
    more = {key: int(value) for key, value in (one.split("=") for one in rest[1:])}
    jobs = [(seed, level, more) for seed in range(int(rest[0])) for level in LEVELS]
    with ProcessPoolExecutor(WORKERS) as pool:
        report([row for rows in pool.map(played, jobs) for row in rows], f"{3 * len(jobs)} emulated losses")


if __name__ == "__main__":
    main(*sys.argv[1:])
