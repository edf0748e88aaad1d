"""The proxy's start: reads the configuration, sets up the log and signals, runs until it is told to end.

Owns the process.  It must never serve anything itself, or go on with a configuration that has a fault.
"""

from __future__ import annotations

from . import early_signals  # isort: skip  # first: a SIGHUP may come at any time

import gc
import os
import signal
import sys
import time

from loguru import logger

from .configuration.errors import ConfigurationError
from .configuration.process import load


ACCEPTING = "twisted.internet.tcp.Port"  # the library's name for what it logs of accepts that fail


def main() -> int:
    try:
        run = load(os.environ)
        path, fleet = os.environ.get("LB_FLEET"), None
        if path:  # else nothing of it is loaded
            from .fleet.config import load_config as load_fleet

            fleet = load_fleet(path, run.name)
            run.descriptors = fleet.reserve_links(run.descriptors, run.settings.settings.n_instances or 1)
    except ConfigurationError as fault:
        print(fault, file=sys.stderr)
        return 2
    from twisted.internet import reactor

    # Guards all deadlines: the library's own clock is the wall's, and set back by hours it stops every timer.
    reactor.seconds = time.monotonic
    from twisted.python.log import startLoggingWithObserver

    from .net.proxy import Proxy

    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", level="INFO", diagnose=False)
    startLoggingWithObserver(tell, setStdout=False)
    proxy = Proxy(run, reactor)
    fleet_services = None
    if fleet is not None:
        from .fleet.services import FleetServices

        fleet_services = FleetServices(proxy, path, fleet)
    for name in (signal.SIGTERM, signal.SIGINT):
        signal.signal(name, lambda *_: reactor.callFromThread(end, proxy, fleet_services))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload, proxy, fleet_services))
    reactor.callWhenRunning(start, proxy, reactor, fleet_services)
    # A SIGHUP may have come after the configuration was read: that of the new one is not to be lost.
    if early_signals.received_hangups:
        reactor.callWhenRunning(reload, proxy, fleet_services)
    reactor.run(installSignalHandlers=False)
    return 0 if proxy.started else 1


def start(proxy, reactor, fleet_services=None) -> None:
    try:
        proxy.start()
        if fleet_services is not None:
            fleet_services.start()
    except Exception as fault:
        logger.error("could not start: {}", fault)
        reactor.stop()
    gc.collect()
    gc.freeze()  # what is there now stays: later rounds need not look at it
    gc.set_threshold(10_000, 20, 20)  # reqs leave few rings; each 700 objects is many rounds a second


def end(proxy, fleet_services=None) -> None:
    """SIGTERM.  First the proxy's own end, which nothing of the fleet's may keep from beginning; in the same
    turn what it holds for the fleet is handed on."""
    proxy.terminate()
    if fleet_services is not None:
        fleet_services.prepare_shutdown()


def reload(proxy, fleet_services=None) -> None:
    """SIGHUP: the configuration is read again; one with a fault is told and the old one stays."""
    try:
        run = load(os.environ, proxy.run)
    except ConfigurationError as fault:
        logger.error("configuration not taken: {}", fault)
    else:
        proxy.reload(run)
    if fleet_services is not None:
        fleet_services.reload()


def tell(event: dict) -> None:
    """Twisted's own troubles, among them what a connection's callback raised, and accepts that failed."""
    from twisted.logger import formatEvent

    if event.get("isError"):
        failure = event.get("failure")
        logger.error("twisted: {}", failure.getTraceback() if failure else event.get("message"))
    elif event.get("log_namespace") == ACCEPTING:
        logger.warning("accept: {}", formatEvent(event))


if __name__ == "__main__":
    if len(sys.argv) > 1:  # a command: its packages are none of the proxy's
        from .cli import main as commands

        if sys.argv[1] != "serve":  # a closed terminal ends them, as it does any command
            signal.signal(signal.SIGHUP, signal.SIG_DFL)
        commands(prog_name="ivystack", obj=main)
    sys.exit(main())
