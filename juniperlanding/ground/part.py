"""An optional part of a dispatcher: what it may add to the program, each with nothing as its default.

`net.parts.made` builds those that the operators' file turned on; off, none is imported.  Times are whole
nanoseconds."""


class Part:
    section = ""  # of the operators' file; what it hands over goes by it

    def calls(self):
        """Word at the door -> function that gives the lines after `ACK`, or raises `door.No`."""
        return {}

    def asks(self):
        """The same for words that take the rest of the line: function(text)."""
        return {}

    def gauges(self):
        """Name -> figure, for `STATS`."""
        return {}

    def built(self, node):
        """What serves stands (`node.owner`, `node.ledger`, other `node.parts`): at the start, and again when
        a folder that went to another process is ours again."""

    async def run(self):
        """While this process owns its folder; cancelled then."""

    def enter(self, phase):
        """This process drains ("draining") or ends ("leaving")."""

    def unready(self):
        """Why nobody is to hand in here now, or "" (for `READY`)."""
        return ""

    def reload(self):
        """SIGHUP: the files may have changed."""

    def given(self):
        """Plain JSON for the process that takes over; None for nothing.  `run` was cancelled before."""

    def taken(self, state):
        """What `given` said in the process before us; called before `built`."""
