"""Start the proxy: read the configuration, set up logging and signals, and run the reactor until SIGTERM.

Exit codes: 0 stopped on request; 1 the proxy could not start; 2 the configuration has an error.
"""

from __future__ import annotations

from . import early_signals  # isort: skip  # first: a SIGHUP may arrive at any time
from . import process_memory  # isort: skip

import sys

if __name__ == "__main__" and len(sys.argv) == 1:  # before the libraries are imported
    process_memory.leave_out_unused_modules()

import gc
import os
import signal
import time
from typing import TYPE_CHECKING, Any

from loguru import logger

from .configuration.errors import ConfigurationError
from .configuration.process import ProcessConfiguration, load
from .early_call import EarlyCall, call_discovery

if TYPE_CHECKING:
    from .fleet.services import FleetServices
    from .net.proxy import Proxy

ACCEPT_NAMESPACE = "twisted.internet.tcp.Port"  # the namespace in which Twisted logs failed accepts

# Each request leaves a reference cycle.  With rarer collections some MB are garbage, and hardly any time is
# saved.
GC_THRESHOLDS = (1_000, 10, 10)

EXIT_NOT_STARTED = 1
EXIT_FAULT = 2


def main() -> int:
    """Run the proxy and return its exit code."""
    try:
        configuration = load(os.environ)
        fleet_path, fleet = os.environ.get("LB_FLEET", ""), None
        if fleet_path:  # otherwise the fleet package is not even imported
            from .fleet.config import load_config as load_fleet

            fleet = load_fleet(fleet_path, configuration.name)
            configuration.descriptors = fleet.reserve_links(
                configuration.descriptors, configuration.settings.settings.n_instances or 1
            )
    except ConfigurationError as error:
        print(error, file=sys.stderr)
        return EXIT_FAULT
    early_call = make_early_call(configuration)
    from twisted.internet import reactor as default_reactor

    reactor: Any = default_reactor
    # Twisted's own clock is wall time: every timer would stop if it were set back by hours.
    reactor.seconds = time.monotonic
    from twisted.python.log import startLoggingWithObserver

    from .net.proxy import Proxy

    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", level="INFO", diagnose=False)
    startLoggingWithObserver(log_twisted_event, setStdout=False)
    proxy = Proxy(configuration, reactor, resident_bytes=process_memory.resident_bytes)
    proxy.use_early_call(early_call)
    fleet_services = None
    if fleet is not None:
        from .fleet.services import FleetServices

        fleet_services = FleetServices(proxy, fleet_path, fleet)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: reactor.callFromThread(terminate, proxy, fleet_services))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload, proxy, fleet_services))
    reactor.callWhenRunning(start, proxy, reactor, fleet_services)
    # A SIGHUP that arrived after the configuration was read asks for a newer one.
    if early_signals.received_hangups:
        reactor.callWhenRunning(reload, proxy, fleet_services)
    reactor.run(installSignalHandlers=False)
    return 0 if proxy.started else EXIT_NOT_STARTED


def make_early_call(configuration: ProcessConfiguration) -> EarlyCall | None:
    """Call discovery before the libraries are imported, as the import takes long on a machine that is busy.

    In a hot restart the list is imported from the old process, whose generation is not known yet.
    """
    if configuration.inherited_descriptor is not None:
        return None
    generation = (configuration.known_endpoints or {}).get("generation", 0)
    return call_discovery(configuration.discovery, generation) if isinstance(generation, int) else None


def start(proxy: Proxy, reactor: Any, fleet_services: FleetServices | None = None) -> None:
    """Start the proxy and the fleet services; stop the reactor if that fails."""
    gc.collect()  # before the port opens: nobody waits for it
    process_memory.return_free_memory()
    try:
        proxy.start()
        if fleet_services is not None:
            fleet_services.start()
    except Exception as error:
        logger.error("proxy could not start: {}", error)
        reactor.stop()
    proxy.measure_memory()
    gc.freeze()  # objects that exist now live as long as the process: later collections skip them
    gc.set_threshold(*GC_THRESHOLDS)


def terminate(proxy: Proxy, fleet_services: FleetServices | None = None) -> None:
    """Begin the graceful shutdown (SIGTERM, SIGINT).

    The proxy begins first, so that a failure in the fleet services can't prevent its shutdown.  The leases
    are handed over in the same turn of the reactor.
    """
    proxy.terminate()
    if fleet_services is not None:
        fleet_services.prepare_shutdown()


def reload(proxy: Proxy, fleet_services: FleetServices | None = None) -> None:
    """Read the configuration again and apply it (SIGHUP); log and ignore an invalid one."""
    try:
        configuration = load(os.environ, proxy.configuration)
    except ConfigurationError as error:
        logger.error("configuration rejected, the previous one stays in effect: {}", error)
    else:
        proxy.reload(configuration)
    if fleet_services is not None:
        fleet_services.reload()


def log_twisted_event(event: dict[str, Any]) -> None:
    """Log Twisted's errors, which include exceptions in callbacks, and failed accepts."""
    from twisted.logger import formatEvent

    if event.get("isError"):
        failure = event.get("failure")
        logger.error(
            "twisted: the framework reported an error: {}",
            failure.getTraceback() if failure else event.get("message"),
        )
    elif event.get("log_namespace") == ACCEPT_NAMESPACE:
        logger.warning("accepting a client connection failed: {}", formatEvent(event))


if __name__ == "__main__":
    if len(sys.argv) > 1:  # a command: the proxy itself never imports the packages of the command line
        from .cli import main as commands

        if sys.argv[1] != "serve":  # closing the terminal ends the command, as usual
            signal.signal(signal.SIGHUP, signal.SIG_DFL)
        commands(prog_name="ivystack", obj=main)
    sys.exit(main())
