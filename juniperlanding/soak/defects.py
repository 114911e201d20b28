"""Defects put in on purpose, to show that the soak finds them.  Each changes the program of one process.

Those before the fixes of this project's hunt are marked `was`: the text as it once stood."""

import errno
import time

from juniperlanding import rules
from juniperlanding.ground import clock
from juniperlanding.net import clients, endpoints, ledger, notices, owner, system_errors

DEFECTS = {}


def defect(function):
    """Enter a defect under its name, with spaces as dashes."""
    DEFECTS[function.__name__.replace("_", "-")] = function
    return function


@defect
def clock_from_the_wall():
    """was: a start takes the wall clock as it stands, and the ledger's deadlines move with its steps."""
    clock.Clock.resume = lambda self, stamp: True


@defect
def accepts_pause():
    """was: each failed accept stops accepting for a while, whatever its kind."""
    system_errors.AcceptErrors.pause = lambda self, error: 0.5


@defect
def starts_need_the_disk():
    """was: a start that cannot rewrite its ledger ends."""

    def open_for_append(self):
        raise OSError(errno.EIO, "the ledger cannot be rewritten")

    ledger.Ledger.open_for_append = open_for_append


@defect
def drains_not_heard():
    """News of a drain calls nothing back, is not told to the module, and the last look lets all pass."""
    listed = owner.DecisionLoop.on_list_news

    def without_drains(self, news, members):
        ready = [((*entry[:-1], "ready"), address) for entry, address in members]
        return listed(self, news, ready)

    owner.DecisionLoop.on_list_news = without_drains
    rules.may_send = lambda facts, now: rules.Verdict(rules.Reason.ALLOWED)


@defect
def once_only_again():
    """After a restart a once-only message that may have run counts as untried."""
    restore = owner.DecisionLoop.restore

    def untried(self, notification):
        notification.possible_runs, notification.was_sent = {}, False
        return restore(self, notification)

    owner.DecisionLoop.restore = untried


@defect
def notices_forgotten():
    """One notice in three is taken for posted, and never was."""
    add = notices.Notices.add

    def sometimes(self, ntf_id, outcome, retry_ms):
        if hash(ntf_id) % 3:
            add(self, ntf_id, outcome, retry_ms)

    notices.Notices.add = sometimes


@defect
def yes_before_the_ledger():
    """Clients hear yes though their messages were never written down."""
    ledger.Ledger.flush = lambda self: self.unwritten.clear()


@defect
def half_requests_stay():
    """Half a request is waited for without end."""
    clients.protocol.REQUEST_TIMEOUT = 60.0
    clients.Clients.serve_connection.__defaults__ = (60.0,)


@defect
def answers_dropped():
    """One answer in twenty is decided and its connection closed without it."""
    respond = clients.Clients.respond

    async def sometimes(self, line, status, headers=(), payload=b"", reason="closed"):
        if time.monotonic_ns() % 20 == 0:
            return "closed_by_us"
        return await respond(self, line, status, headers, payload, reason)

    clients.Clients.respond = sometimes


@defect
def waits_ignored():
    """A wait that an endpoint tells is not heard."""
    endpoints.protocol.parse_retry_after = lambda value: 0
