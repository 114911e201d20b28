"""Shards of the ledger: ranges of destinations, each with a file of its own, changed beside the flow."""
