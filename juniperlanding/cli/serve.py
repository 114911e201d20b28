"""Run one dispatcher, as the environment (EDGE_*) and the operators' file describe it.

Usage:
  juniperlanding serve [FILE]

FILE is an operators' file; the platform's own values (EDGE_CONFIG, EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY,
EDGE_STATE) take precedence over it.  Signals: SIGTERM and SIGINT drain, SIGHUP reads the files again,
SIGUSR1 logs the counters.
"""

import os
import signal
from functools import partial

from juniperlanding.cli import EXIT_FAILED, EXIT_OK


def config_reader(path, environ, files):
    """Return a function that reads the configuration anew each time it is called."""
    from juniperlanding.net import config

    def read(without=()):
        operators = None
        if path:
            from juniperlanding.ground import file

            operators = config.from_operators(file.read(path, files))
        return config.read({name: environ[name] for name in environ.keys() - set(without)}, files, operators)

    return read


def load_config(read):
    """Return the configuration, or raise an `OperatorError` that says what is wrong with it."""
    try:
        return read()
    except Exception as error:
        from juniperlanding.net import config

        raise config.to_operator_error(error) from None


def run(args):
    # A SIGHUP that arrives before `serve` handles signals must not end the process.  It is kept for a later
    # reload, since the file may have been read just before it was replaced.
    early_hangups = []
    signal.signal(signal.SIGHUP, lambda *which: early_hangups.append(which))
    try:
        return start(args["FILE"], early_hangups)
    finally:
        # Its default action would otherwise end the process while the interpreter shuts down.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


def start(path, early_hangups):
    from juniperlanding.ground.seams import real_system

    interfaces = real_system()
    read = config_reader(path, os.environ, interfaces.files)
    config = load_config(read)
    import trio

    # The environment dates from the start of the process, and a replaced file is newer: a reload takes
    # `discovery` from the file, not from EDGE_DISCOVERY.
    return trio.run(serve, config, interfaces, partial(read, ("EDGE_DISCOVERY",)), early_hangups)


async def serve(config, interfaces, read, early_hangups):
    import trio

    from juniperlanding.ground.errors import as_operator_error
    from juniperlanding.ground.log import make_stderr_nonblocking
    from juniperlanding.net.node import Node
    from juniperlanding.net.succession import start_node

    def make_node(offer):
        return Node(config, interfaces, offer=offer, read_config=read)

    try:
        node = await start_node(make_node, config, interfaces)
    except OSError as error:
        raise as_operator_error(error, config.state) from None
    make_stderr_nonblocking()
    stopping = False
    close_results = []
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(node.run)
            if early_hangups:
                node.reload(read)
            async for number in signals:
                if number == signal.SIGHUP:  # also while draining: outcome notices are still sent
                    node.reload(read)
                elif number == signal.SIGUSR1:
                    node.log("counters", **node.counters)
                elif not stopping:
                    stopping = True
                    nursery.start_soon(stop, node, nursery.cancel_scope, close_results)
    return EXIT_OK if all(close_results) else EXIT_FAILED


async def stop(node, scope, close_results):
    await node.drain()
    close_results.append(node.close())
    scope.cancel()
