"""What a history of work taken on shows about policy numbers, without I/O.

An item is (sent_at, heard_at, member, number): a client sent it at `sent_at` and heard at `heard_at`, both ns
of one clock, that `member` took it on under `number`; it was taken on at some instant between the two.  An
emulator, which sees the instant itself, gives it twice.  A reading is (at, member, number): the number under
which a member could take on new work at that instant, None for none.  Numbers only rise in a sound fleet."""

from bisect import bisect_right
from statistics import median


def breaches(items):
    """[(older item, newer item)]: the older's number is lower, yet it was sent when the newer had been heard.

    Then the newer number was in force before the older one was used, and no order of the two within their
    intervals makes that right: two numbers at one instant, or a return.  One newer item (the one with the
    highest number) is named for each older one."""
    heard = sorted(items, key=lambda item: item[1])
    times, highest = [item[1] for item in heard], []
    for item in heard:
        highest.append(item if not highest or item[3] > highest[-1][3] else highest[-1])
    found = []
    for item in items:
        before = bisect_right(times, item[0])
        if before and highest[before - 1][3] > item[3]:
            found.append((item, highest[before - 1]))
    return found


def returns(items):
    """[(older item, newer item)] of one and the same member: it came back to an older number."""
    by_member = {}
    for item in items:
        by_member.setdefault(item[2], []).append(item)
    return [pair for mine in by_member.values() for pair in breaches(mine)]


def doubled(pairs):
    """{number: digests} of numbers that stand for more than one text; pairs: (number, digest)."""
    digests = {}
    for number, digest in pairs:
        digests.setdefault(number, set()).add(digest)
    return {number: found for number, found in digests.items() if len(found) > 1}


def lost(decided, standing):
    """[(number, digest, member)]: decided numbers that a member denies.

    decided: (number, digest) that somebody was told is decided; standing: (member, number, digest) of all
    that serve, read when every change has settled.  Who stands lower, or at that number with another text,
    denies it."""
    return [
        (number, digest, member)
        for number, digest in sorted(set(decided))
        for member, its_number, its_digest in standing
        if its_number < number or (its_number == number and its_digest != digest)
    ]


def settled_at(readings, serving, since):
    """When, from `since` on, all of `serving` could take on new work under one number, and still could at
    their last readings; None if never: a change that is neither everywhere nor nowhere.

    A member's reading of another number, or of none, begins its time anew."""
    last = {}
    for at, member, number in readings:
        if at >= since and member in serving:
            before = last.get(member)
            last[member] = (number, before[1] if before and before[0] == number else at)
    numbers = {number for number, _ in last.values()}
    if len(last) < len(serving) or len(numbers) != 1 or None in numbers:
        return None
    return max(first for _, first in last.values())


def pauses(items):
    """[(member, older, newer, ns)]: how long each member took on nothing around each change it went through,
    from the last answer heard under the older number to the first under the newer one."""
    found, at = [], {}
    for _, heard_at, member, number in sorted(items, key=lambda item: (item[1], item[3])):
        before = at.get(member)
        if before and number < before[1]:  # an older answer that was long under way
            continue
        if before and number > before[1]:
            found.append((member, before[1], number, heard_at - before[0]))
        at[member] = heard_at, number
    return found


def middle_and_worst(spans):
    """(median, worst) of spans in ns; (None, None) of none."""
    return (int(median(spans)), max(spans)) if spans else (None, None)
