"""Rig: several real processes of the program, and faults on every link between them (docs/fleet.md)."""
