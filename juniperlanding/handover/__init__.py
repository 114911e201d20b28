"""Hand-over of a dispatcher from an old to a new process: messages and state machines (docs/upgrade.md)."""
