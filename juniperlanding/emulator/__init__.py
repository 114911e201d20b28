"""Whole dispatchers in simulated time: production code on an emulated clock, network and disk, with faults
at every seam and invariants watched while it runs.  One seed gives one run, to the last line of its log."""
