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

from juniperlanding.cli import DONE, UNWELL, Refused


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
    """The configuration, or `Refused` with what is wrong with it."""
    try:
        return read()
    except KeyError as error:
        raise Refused(
            f"cannot read the configuration: {error.args[0]} is told by neither the platform nor "
            f"an operators' file"
        ) from None
    except OSError as error:
        raise Refused(f"cannot read the configuration: {error.filename or ''}: {error.strerror}") from None
    except Exception as error:
        if lines := getattr(error, "lines", None):
            raise Refused("\n".join(lines)) from None
        raise Refused(f"cannot read the configuration: {type(error).__name__}: {error}") from None


def run(asked):
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # threat: one that comes before `serve` listens for it
    from juniperlanding.ground.seams import system

    world = system()
    read = reader(asked["FILE"], os.environ, world.files)
    config = told(read)
    import trio

    # Threat: the environment is as old as the process; a replaced file's discovery goes before it.
    return trio.run(serve, config, world, partial(read, ("EDGE_DISCOVERY",)))


async def serve(config, world, read):
    import trio

    from juniperlanding.ground.log import never_wait
    from juniperlanding.net.node import Node
    from juniperlanding.net.succession import begin

    try:
        node = await begin(lambda offer: Node(config, world, offer=offer), config, world)
    except OSError as error:
        if lines := getattr(error, "lines", None):
            raise Refused("\n".join(lines)) from None
        raise Refused(f"{error.filename or config.state}: {(error.strerror or str(error)).lower()}") from None
    never_wait()
    stopping, ended = False, []
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(node.run)
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
