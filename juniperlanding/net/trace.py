"""Log lines for the steps of each message, and the counts of refusals and broken rules.

`event` writes a line of the event `trace` if the operators' file asks for it (`[log] trace = true`), else it
costs one comparison. `violation` always counts and logs."""

from juniperlanding.net.counters import VIOLATIONS


class Trace:
    """`log` and `counters` are the dispatcher's; `is_on`: whether `event` writes its lines."""

    def __init__(self, log, counters, is_on=False):
        self.log, self.counters, self.is_on = log, counters, is_on

    def event(self, ntf_id, what, **fields):
        """Something happened to a message: it was accepted, refused, sent, answered or ended."""
        if self.is_on:
            self.log("trace", what, id=ntf_id, **fields)

    def refused(self, ntf_id, reason):
        """A client was refused for this `rules.Reason`."""
        self.counters[f"refused_{reason}"] += 1
        self.event(ntf_id, "refused", reason=reason)

    def withheld(self, ntf_id, number, reason):
        """The last byte of a call did not leave, for this `rules.Reason`."""
        self.counters[f"withheld_{reason}"] += 1
        self.event(ntf_id, "withheld", number=number, reason=reason)

    def violation(self, rule, ntf_id, **fields):
        """A rule was broken, or was about to be: a defect of this program that should be reported."""
        self.counters[VIOLATIONS] += 1
        self.counters[f"violations_{rule}"] += 1
        self.log("violation", str(rule), id=ntf_id, **fields)
