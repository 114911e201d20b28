"""The one place where optional parts plug in: a list in the order in which they need each other."""

from juniperlanding.net.ledger import Ledger, whole


def made(node):
    """The parts (`ground.part.Part`) that the operators' file turned on; off, nothing of them is imported."""
    told, parts = node.config, []
    if told.fleet:
        from juniperlanding.fleet.agent import Agent

        fleet = Agent(told.fleet, told.name, told.state, node.world, node.load, node.log)
        parts.append(fleet)
        if told.policy:
            from juniperlanding.accord.part import Policy

            parts.append(Policy(told.policy, node, fleet))
        if told.sites:
            from juniperlanding.sites.part import Sites

            prices = [part.crossings for part in parts if part.section == "policy"]
            parts.append(Sites(node, fleet, *prices))
    if told.shards:
        from juniperlanding.shards.part import Shards

        parts.append(Shards(told.shards, node))
    return parts


def books(told, files, inherited, clock):
    """The ledger of a folder: one file, or shards; `Split` for one that is split while shards are off."""
    if told.shards:
        from juniperlanding.shards.books import Sharded

        return Sharded(told.state, told.disk, files, inherited, clock)
    whole(files, told.state)
    return Ledger(told.state, told.disk, files, inherited, clock)


def merged(parts, what, before):
    """One map of `before` and of what each part's method of that name gives."""
    for part in parts:
        before = before | getattr(part, what)()
    return before
