"""Plays the table of the hand-over on its two state machines."""

import pytest
from tables import rows

from juniperlanding.handover import steps


def did(machine, event):
    word, *seconds = event.split()
    return getattr(machine, word)(*(round(float(each) * steps.SEC) for each in seconds))


@pytest.mark.parametrize("row", rows("handover"))
def test_the_step_is_taken(row):
    machine = steps.Giver() if row["machine"] == "giver" else steps.Taker(0)
    for event in row.get("before", []):
        did(machine, event)
    assert did(machine, row["event"]) == row["actions"]
    assert (machine.state, machine.owns) == (row["state"], row["owns"])
    if "until" in row:
        assert machine.until == round(row["until"] * steps.SEC)
