"""What the accord costs and how long it holds work up, in simulated time with the tuning of service:
`python -m juniperlanding.emulator.accord_figures [MEMBERS [CHANGES]]`."""

import sys

from juniperlanding.accord.accord import Tuning
from juniperlanding.emulator.accord import MS, SEC, Fleet, document
from juniperlanding.emulator.accord_swarm import STEPS, wait
from juniperlanding.processes.accord_verdict import middle_and_worst, pauses

WARM = 8 * SEC  # licences taken, and no voter blind any more


def fleet(members, seed, loss=0.0):
    made = Fleet([f"d{at:02}" for at in range(members)], 3, seed, Tuning(), loss=loss)
    made.run(WARM)
    return made


def rest(members, seconds, loss, seed=1):
    """(licences lost, datagrams and bytes a second for a member) of a fleet in which nothing happens."""
    made = fleet(members, seed, loss)
    made.gaps.clear()
    sent, size = made.datagrams, made.bytes
    made.run(made.now + seconds * SEC)
    many = members * seconds
    return len(made.gaps), (made.datagrams - sent) / many, (made.bytes - size) / many


def changed(members, seed, dies="", step=""):
    """(pauses, ns until the change was everywhere) of one change; dies: a member that dies as it is proposed,
    or "leader", at `step`."""
    made = fleet(members, seed)
    if dies == "leader":
        made.armed.append((step, 0, 1000 * SEC))
    elif dies:
        made.after(0, made.crash, dies)
        made.run(made.now)
    before = max(process.accord.number for process in made.processes())
    began, since = made.now, len(made.items)
    made.propose(made.names[-1], document("changed"))
    made.run(made.now + 10 * MS)
    took = wait(made, 30 * SEC, before + (step != "check"))
    return [span for *_, span in pauses(made.items[max(0, since - members) :])], took, made.now - began


def told(name, spans):
    middle, worst = middle_and_worst(spans)
    if spans:
        print(f"{name}: median {middle / SEC:.3f} s, worst {worst / SEC:.3f} s, of {len(spans)}", flush=True)


def main(members="9", changes="40"):
    members, seeds = int(members), range(1, int(changes) + 1)
    gaps, datagrams, size = rest(members, 120, 0.0)
    print(f"at rest, {members} members: {datagrams:.1f} datagrams and {size:.0f} bytes a second sent by each")
    told("pause, all up", [span for seed in seeds for span in changed(members, seed)[0]])
    told("pause, a member dies in it", [span for seed in seeds for span in changed(members, seed, "d01")[0]])
    for step in STEPS:
        found = [changed(members, seed, "leader", step)[1] for seed in seeds]
        if None in found:
            print(f"leader dies at {step}: {found.count(None)} of {len(found)} not settled in 30 s")
        told(f"leader dies at {step}, until done or taken back", [span for span in found if span is not None])
    gaps, *_ = rest(members, 3600, 0.1)
    print(f"an hour at 10% loss, {members} members: {gaps} licences lost")


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
