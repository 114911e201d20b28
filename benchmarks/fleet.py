"""How long views of real processes take to settle: many seeds of one trouble, as a table.

    python benchmarks/fleet.py DISPATCHERS SEEDS [TROUBLE ...]

Each play is `juniperlanding try --dispatchers ...`, from sockets, one after the other; one that is not well
is told with its seed."""

import json
import statistics
import subprocess
import sys
from collections import defaultdict


def main(count, seeds, *troubles):
    for trouble in troubles or ("crash", "cut", "lossy"):
        took, bad = defaultdict(list), []
        for seed in range(1, int(seeds) + 1):
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
                    "--rate",
                    "20/s",
                    "--json",
                    "-",
                ],
                capture_output=True,
                text=True,
            )
            try:
                row = json.loads(said.stdout)
            except ValueError:
                bad.append((seed, said.stderr.strip()[-200:]))
                continue
            for step, seconds in row["steps"]:
                took[step].append(float("inf") if seconds is None else seconds)
            if not row["well"]:
                bad.append((seed, row["steps"][-1], row["false_deaths"][:1], row["faults"]))
        for step, all_of_it in took.items():
            print(
                f"{count} processes, {trouble}, {step}: median {statistics.median(all_of_it):.1f} s, "
                f"worst {max(all_of_it):.1f} s, {len(all_of_it)} plays",
                flush=True,
            )
        for one in bad:
            print(f"  not well: seed {one[0]}: {one[1:]}", flush=True)


if __name__ == "__main__":
    main(*sys.argv[1:])
