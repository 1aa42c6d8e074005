"""Starts a front end with the configuration that its environment names; handles signals from the first moment."""
from __future__ import annotations

import signal
import sys
from collections.abc import Mapping

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
MAX_LOG_LINES = 500        # buffered for a slow reader; memory is limited


def main(environment: Mapping[str, str]) -> int:
    """Serves until a shutdown is requested; returns the exit status."""
    # Signals are blocked until their handlers are installed: by default they end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    from threadshift.conf.settings import InvalidInput
    from threadshift.node import front_end_config
    try:
        config = front_end_config.read_config(environment)
    except InvalidInput as problem:
        print(f"threadshift: {problem}", file=sys.stderr)
        return 2
    import gevent

    from threadshift import garbage_collection
    from threadshift.log import Log
    from threadshift.node.front import Node
    log = Log("json", "info", MAX_LOG_LINES, front_end=config.name)
    try:
        node = Node(config, environment, log)
        garbage_collection.freeze_startup_objects()
        gevent.signal_handler(signal.SIGTERM, node.end)
        gevent.signal_handler(signal.SIGINT, node.end)
        gevent.signal_handler(signal.SIGHUP, node.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        node.run()
    except OSError as problem:
        print(f"threadshift: cannot listen at {config.listen}: {problem}", file=sys.stderr)
        return 1
    finally:
        # From here on there are no handlers: a further signal would end the process by default.
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
        log.close()
    return 0
