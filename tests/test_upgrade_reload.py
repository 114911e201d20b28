"""New configurations around a hand-over: whichever process serves posts where the newest file says."""

from functools import partial

import pytest
import trio
from test_net import silent
from test_upgrade import kill_new_process, start

from juniperlanding.net import succession
from juniperlanding.net.node import Node
from juniperlanding.standins.peers import Platform

MOMENTS = (
    "as it starts",
    "as it loads",
    "as it takes over",
    "as the old one stands by",
    "as the old one ends",
)


def make_node(site, config, offer=None):
    return Node(config, site.system, log=site.log, offer=offer, read_config=site.reread)


async def first(site):
    return await start(site, make_node(site, site.config()))


async def move_platform(site):
    """Replace the configuration by one with another platform, as the platform does before SIGHUP."""
    site.platform = await Platform().open(site.nursery)
    site.config()


async def ends_by_notice(site, name):
    """Hand a message in that no endpoint answers, and wait until its notice is at the newest platform."""
    assert await site.submit(name, "order", ttl=300) == 202
    await site.until(lambda: [notice["message"] for notice in site.platform.notices] == [name])


@pytest.mark.parametrize("moment", MOMENTS)
def test_a_configuration_that_changes_around_a_hand_over_reaches_the_new_process(site, moment):
    """Guards against a new process that stays with the discovery of the file as it read it at its start."""

    async def scene(site):
        old = await first(site)
        config = site.config()  # read by the new process; what follows happens afterwards

        async def replace_file():
            await move_platform(site)
            old.reload(site.reread)

        def make(config, offer=None):
            return make_node(site, config, offer)

        await site.until(lambda: old.decision_loop.discovery.revision is not None)
        if moment == "as it starts":
            await replace_file()
        made = await succession.start_node(partial(make, config), config, site.system)
        if moment == "as it loads":
            await replace_file()
        new = await start(site, made)
        await site.until(lambda: old.replaced)
        if moment == "as it takes over":
            await move_platform(site)
            old.reload(site.reread)
        if moment == "as the old one stands by":
            await ends_by_notice(site, "a0")
            for _ in range(10):
                await replace_file()
        if moment == "as the old one ends":
            await move_platform(site)
            old.scope.cancel()
            await trio.sleep(0.05)
            old.process_handover.channel.close()  # the signal is lost with the process
        await ends_by_notice(site, "a1")
        assert new.config.discovery == site.platform.address

    site.run(scene, silent)


def test_a_configuration_that_only_the_new_process_was_told_of_reaches_the_old_one(site):
    """Guards against an old process that serves again with the discovery of before its replacement."""

    async def scene(site):
        old = await first(site)
        config = site.config()
        made = await succession.start_node(partial(make_node, site, config), config, site.system)
        new = await start(site, made)
        await site.until(lambda: old.replaced)
        await move_platform(site)
        new.reload(site.reread)
        await site.until(lambda: new.config.discovery == site.platform.address)
        kill_new_process(site)
        await site.until(lambda: not old.replaced and old.decision_loop.ready)
        site.address = old.listener.address
        await ends_by_notice(site, "a1")

    site.run(scene, silent)


def test_a_reload_passes_through_several_replaced_processes(site):
    """Guards against a signal to the first of three processes that the second one keeps to itself."""

    async def scene(site):
        nodes = [await first(site)]
        for _ in range(2):
            config = site.config()
            made = await succession.start_node(partial(make_node, site, config), config, site.system)
            nodes.append(await start(site, made))
            await site.until(lambda: nodes[-2].replaced)
        await move_platform(site)
        nodes[0].reload(site.reread)
        await ends_by_notice(site, "a1")

    site.run(scene, silent)
