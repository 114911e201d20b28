"""Run one dispatcher, as the environment (EDGE_*) and the operators' file describe it.

Usage:
  juniperlanding serve [FILE]

FILE is an operators' file; the platform's own values (EDGE_CONFIG, EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY,
EDGE_STATE) go before it.  Signals: SIGTERM and SIGINT drain, SIGHUP reads the files again, SIGUSR1 logs the
counters.
"""

import os
import signal
from functools import partial

from juniperlanding.cli import DONE, UNWELL


def reader(path, environ, files):
    """A function that reads the configuration anew each time it is called."""
    from juniperlanding.net import config

    def read(without=()):
        told = None
        if path:
            from juniperlanding.ground import file

            told = config.from_operators(file.read(path, files))
        return config.read({name: environ[name] for name in environ.keys() - set(without)}, files, told)

    return read


def told(read):
    """The configuration, or a `Trouble` with what is wrong with it."""
    try:
        return read()
    except Exception as error:
        from juniperlanding.net import config

        raise config.trouble(error) from None


def run(asked):
    early = []  # threats: a SIGHUP before `serve` listens for it ends us, or the file was read just before it
    signal.signal(signal.SIGHUP, lambda *which: early.append(which))
    try:
        return started(asked["FILE"], early)
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)  # threat: it ends us while the interpreter ends


def started(path, early):
    from juniperlanding.ground.seams import system

    world = system()
    read = reader(path, os.environ, world.files)
    config = told(read)
    import trio

    # Threat: the environment is as old as the process; a replaced file's discovery goes before it.
    return trio.run(serve, config, world, partial(read, ("EDGE_DISCOVERY",)), early)


async def serve(config, world, read, early):
    import trio

    from juniperlanding.ground.errors import system
    from juniperlanding.ground.log import never_wait
    from juniperlanding.net.node import Node
    from juniperlanding.net.succession import begin

    try:
        node = await begin(lambda offer: Node(config, world, offer=offer), config, world)
    except OSError as error:
        raise system(error, config.state) from None
    never_wait()
    stopping, ended = False, []
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(node.run)
            if early:
                node.reload(read)
            async for number in signals:
                if number == signal.SIGHUP:  # while draining too: notices still go out
                    node.reload(read)
                elif number == signal.SIGUSR1:
                    node.log("counters", **node.counters)
                elif not stopping:
                    stopping = True
                    nursery.start_soon(stop, node, nursery.cancel_scope, ended)
    return DONE if all(ended) else UNWELL


async def stop(node, scope, ended):
    await node.drain()
    ended.append(node.close())
    scope.cancel()
