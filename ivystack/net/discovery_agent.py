"""HTTP calls of discovery, on connections that can also be read before the reactor reports their input."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import HostnameEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import URI, Agent
from twisted.web.iweb import IAgentEndpointFactory, IResponse
from zope.interface import implementer  # type: ignore[import-untyped]

from .listener import TRANSIENT

CONNECT_TIMEOUT_SECONDS = 2


@implementer(IStreamClientEndpoint)
class ObservedEndpoint:
    """An endpoint that reports the protocol of each connection that it establishes."""

    def __init__(self, endpoint: HostnameEndpoint, on_connected: Callable[[Any], Any]) -> None:
        self._endpoint, self._on_connected = endpoint, on_connected

    def connect(self, protocol_factory: Any) -> Deferred[Any]:
        """Connect as the endpoint does."""
        return self._endpoint.connect(protocol_factory).addCallback(self._on_connected)


@implementer(IAgentEndpointFactory)
class DiscoveryAgent:
    """Makes one call at a time, and knows the connection of the last one.

    :param now: returns the time in microseconds
    """

    def __init__(self, reactor: Any, now: Callable[[], int]) -> None:
        self._reactor, self._now = reactor, now
        self._agent = Agent.usingEndpointFactory(reactor, self)
        self._transport: Any = None
        self.connected_at: int | None = None  # when the call's connection was established

    def request(self, method: bytes, url: bytes) -> Deferred[IResponse]:
        """Begin a call."""
        self.end_call()
        return self._agent.request(method, url)

    def end_call(self) -> None:
        """Read nothing more of the last call ahead of the reactor."""
        self._transport = self.connected_at = None

    def endpointForURI(self, uri: URI) -> ObservedEndpoint:  # noqa: N802
        """Return the endpoint of a call; for Twisted's `Agent`."""
        host = uri.host.decode()
        endpoint = HostnameEndpoint(self._reactor, host, uri.port, timeout=CONNECT_TIMEOUT_SECONDS)
        return ObservedEndpoint(endpoint, self._connected)

    def _connected(self, protocol: Any) -> Any:
        self._transport, self.connected_at = protocol.transport, self._now()
        return protocol

    def read_now(self) -> bool:
        """Pass on all that has arrived; return whether the connection has ended.

        An ended connection is closed by the reactor, which reads its end again.
        """
        transport = self._transport
        while transport is not None and transport is self._transport and transport.connected:
            try:
                data = transport.socket.recv(transport.bufferSize)
            except OSError as error:
                return error.errno not in TRANSIENT
            if not data:
                return True
            transport.protocol.dataReceived(data)
        return False
