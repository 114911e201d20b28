"""Counts of what the dispatcher accepted, sent and answered, by name; there are no others (docs/door.md).

Names that begin with `svc.` are the operators'. The admin port, `/_counters` and the log read them here."""

from collections import Counter

SUCCEEDED, DECLINED, ABORTED = "succeeded", "declined", "aborted"
FORWARDS = "svc.forwards"
SVC = "svc."
VIOLATIONS = "svc.violations"  # rules broken; one of the operators' figures once there has been one


def result_name(topic, result):
    return f"svc.results.{topic}.{result}"


class Counters(Counter):
    """Counts since the start of the process; the results of each topic type begin at 0."""

    def __init__(self, topics=()):
        results = SUCCEEDED, DECLINED, ABORTED
        super().__init__({result_name(topic, result): 0 for topic in topics for result in results})
        self[FORWARDS] = 0

    def count_result(self, topic, result):
        self[result_name(topic, result)] += 1

    def not_delivered_in_time(self, topic):
        """How many notifications of a topic type ended without a delivery in time."""
        return self[result_name(topic, DECLINED)] + self[result_name(topic, ABORTED)]

    def figures(self, **gauges):
        """Lines in StatsD format for the operators: `name:value|c` for a count, `|g` for a gauge."""
        counts = [f"{name}:{self[name]}|c" for name in sorted(self) if name.startswith(SVC)]
        return counts + [f"{SVC}{name}:{value}|g" for name, value in gauges.items()]

    def text(self):
        return "".join(f"{name} {self[name]}\n" for name in sorted(self))
