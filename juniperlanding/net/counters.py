"""What the dispatcher took in, sent and answered, by name; the only record of counts (docs/door.md).

Names that begin with `svc.` are the operators'.  The door, `/_counters` and the log read here."""

from collections import Counter

SUCCEEDED, DECLINED, ABORTED = "succeeded", "declined", "aborted"
FORWARDS = "svc.forwards"
SVC = "svc."
VIOLATIONS = "svc.violations"  # rules broken; stands among the operators' figures once there is one


def result(topic, how):
    return f"svc.results.{topic}.{how}"


class Counters(Counter):
    """Counts since the start of the process; a topic type's results stand at 0 from the start."""

    def __init__(self, topics=()):
        hows = SUCCEEDED, DECLINED, ABORTED
        super().__init__({result(topic, how): 0 for topic in topics for how in hows})
        self[FORWARDS] = 0

    def ended(self, topic, how):
        self[result(topic, how)] += 1

    def unserved(self, topic):
        """How many of a topic type ended otherwise than by a delivery in time."""
        return self[result(topic, DECLINED)] + self[result(topic, ABORTED)]

    def figures(self, **gauges):
        """The operators' lines: `name:value|c` for a count, `|g` for a gauge."""
        counts = [f"{name}:{self[name]}|c" for name in sorted(self) if name.startswith(SVC)]
        return counts + [f"{SVC}{name}:{value}|g" for name, value in gauges.items()]

    def text(self):
        return "".join(f"{name} {self[name]}\n" for name in sorted(self))
