"""Builds the optional parts of a dispatcher (`ground.part.Part`), each after those that it depends on."""

from juniperlanding.net.ledger import Ledger, check_not_split


def build_parts(node):
    """The parts that the operators' file turns on; a part that is off is not even imported."""
    config, parts = node.config, []
    if config.fleet:
        from juniperlanding.fleet.agent import Agent

        fleet = Agent(config.fleet, config.name, config.state, node.system, node.load, node.log)
        parts.append(fleet)
        if config.policy:
            from juniperlanding.accord.part import Policy

            parts.append(Policy(config.policy, node, fleet))
        if config.sites:
            from juniperlanding.sites.part import Sites

            prices = [part.crossings for part in parts if part.section == "policy"]
            parts.append(Sites(node, fleet, *prices))
    if config.shards:
        from juniperlanding.shards.part import Shards

        parts.append(Shards(config.shards, node))
    return parts


def open_ledger(config, files, inherited, clock):
    """The ledger of the state folder: one file, or shards.  Raises `Split` for a ledger that is split into
    shards although these are turned off."""
    if config.shards:
        from juniperlanding.shards.books import Sharded

        return Sharded(config.state, config.disk, files, inherited, clock)
    check_not_split(files, config.state)
    return Ledger(config.state, config.disk, files, inherited, clock)


def merged(parts, method, initial):
    """One dict of `initial` and of what the method of that name returns for each part; later parts win."""
    for part in parts:
        initial = initial | getattr(part, method)()
    return initial
