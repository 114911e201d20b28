"""The hooks of an optional part of a dispatcher; by default each of them does nothing.

`net.parts.build_parts` creates the parts that are enabled in the operators' file; the others are not
imported.  Times are whole nanoseconds."""


class Part:
    section = ""  # section of the operators' file; also the key of its state in a hand-over

    def calls(self):
        """Admin port command -> function that returns the lines after `ACK`, or raises `door.Rejected`."""
        return {}

    def commands_with_argument(self):
        """As `calls`, for commands with an argument: function(text) takes the rest of the line."""
        return {}

    def gauges(self):
        """Name -> value, for `STATS`."""
        return {}

    def on_built(self, node):
        """Called when `node.decision_loop`, `node.ledger` and the other `node.parts` exist: at the start,
        and again when this process takes its folder back after a failed hand-over."""

    async def run(self):
        """Runs while this process owns its folder; cancelled when it no longer does."""

    def phase_changed(self, phase):
        """Called when this process begins to drain ("draining") or to end ("leaving")."""

    def not_ready_reason(self):
        """Why clients should not submit notifications here now; "" if they may (for `READY`)."""
        return ""

    def reload(self):
        """Called on SIGHUP: the files may have changed."""

    def export_state(self):
        """JSON values for the receiving process of a hand-over; None if there are none.  Called after the
        decision loop has stopped and before `run` is cancelled."""

    def import_state(self, state):
        """Takes what `export_state` returned in the sending process; called before `on_built`."""
