"""Runs the table of the hand-over against its two state machines."""

import pytest
from tables import rows

from juniperlanding.handover import steps


def apply(machine, event):
    """The actions that a state machine returns for an event: a method's name and times in seconds."""
    method, *times = event.split()
    return getattr(machine, method)(*(round(float(seconds) * steps.SEC) for seconds in times))


@pytest.mark.parametrize("row", rows("handover"))
def test_the_step_is_taken(row):
    machine = steps.Sender() if row["machine"] == "sender" else steps.Receiver(0)
    for event in row.get("before", []):
        apply(machine, event)
    assert apply(machine, row["event"]) == row["actions"]
    assert (machine.state, machine.owns) == (row["state"], row["owns"])
    if "deadline" in row:
        assert machine.deadline == round(row["deadline"] * steps.SEC)
