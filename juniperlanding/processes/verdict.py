"""What a history of beliefs shows, without I/O.

A history is a list of (at, who, beliefs): at nanoseconds of the machine's one steady clock, `beliefs` maps
the name of each other member to its state word, or is None when that process did not answer."""


def right(who, beliefs, group):
    """Whether a process of a group holds all of its group for alive and nobody else, and has no suspects."""
    if beliefs is None:
        return False
    alive = {name for name, state in beliefs.items() if state == "alive"}
    suspected = {name for name, state in beliefs.items() if state == "suspect"}
    return alive == group - {who} and not suspected


def settled_at(history, groups, since, until=None):
    """When, from `since` on, every process of every group had the right view and kept it; None if never.

    groups: sets of names that reach each other; who is in none of them is down, and is not asked."""
    everybody = set().union(*groups)
    last = {}
    for at, who, beliefs in history:
        if since <= at and (until is None or at <= until):
            for group in groups:
                if who in group:
                    was_right, first = last.get(who, (False, at))
                    now_right = right(who, beliefs, group)
                    last[who] = now_right, first if was_right and now_right else at
    if len(last) < len(everybody) or not all(now_right for now_right, _ in last.values()):
        return None
    return max(first for _, first in last.values())


def false_deaths(history, living, since=0):
    """(at, who, name) of each time that one who always lived and was reachable was held for dead."""
    return [
        (at, who, name)
        for at, who, beliefs in history
        if at >= since and who in living
        for name, state in (beliefs or {}).items()
        if name in living and state in ("dead", "left")
    ]
