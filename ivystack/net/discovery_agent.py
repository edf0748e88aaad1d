"""HTTP calls of discovery, on connections that can also be read before the reactor reports their input."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet import tcp
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import URI, Agent
from twisted.web.iweb import IAgentEndpointFactory, IResponse
from zope.interface import implementer  # type: ignore[import-untyped]

from ..early_call import EarlyCall
from .listener import TRANSIENT

CONNECT_TIMEOUT_SECONDS = 2

NumericEndpoint = TCP4ClientEndpoint | TCP6ClientEndpoint


@implementer(IStreamClientEndpoint)
class ObservedEndpoint:
    """An endpoint that reports the protocol of each connection that it establishes."""

    def __init__(
        self, endpoint: EarlyCallEndpoint | NumericEndpoint, on_connected: Callable[[Any], Any]
    ) -> None:
        self._endpoint, self._on_connected = endpoint, on_connected

    def connect(self, protocol_factory: Any) -> Deferred[Any]:
        """Connect as the endpoint does."""
        return self._endpoint.connect(protocol_factory).addCallback(self._on_connected)


class WrittenCallTransport(tcp.Server):
    """The transport of a call that was written before; a call has no body, so nothing else is written."""

    def writeSequence(self, iovec: Iterable[bytes]) -> None:  # noqa: N802
        """Write nothing: the server has the request."""


@implementer(IStreamClientEndpoint)
class EarlyCallEndpoint:
    """An endpoint that takes over the connection of an early call."""

    def __init__(self, reactor: Any, early_call: EarlyCall) -> None:
        self._reactor, self._early_call = reactor, early_call

    def connect(self, protocol_factory: Any) -> Deferred[Any]:
        """Return the protocol of the early call's connection; fail if the connection has ended."""
        connection = self._early_call.connection
        try:
            transport = WrittenCallTransport._fromConnectedSocket(
                connection.fileno(), connection.family, protocol_factory, self._reactor
            )
        except OSError as error:
            return fail(error)
        finally:
            connection.close()  # the transport has a duplicate of its descriptor
        return succeed(transport.protocol)


@implementer(IAgentEndpointFactory)
class DiscoveryAgent:
    """Makes one call at a time, and knows the connection of the last one.

    :param now: returns the time in microseconds
    """

    early_call: EarlyCall | None = None  # that answers the first request, if both are to the same URL

    def __init__(self, reactor: Any, now: Callable[[], int]) -> None:
        self._reactor, self._now = reactor, now
        self._agent = Agent.usingEndpointFactory(reactor, self)
        self._transport: Any = None
        self.connected_at: int | None = None  # when the call's connection was established

    def request(self, method: bytes, url: bytes) -> Deferred[IResponse]:
        """Begin a call."""
        self.end_call()
        if self.early_call is not None and self.early_call.url != url:
            self._drop_early_call()
        return self._agent.request(method, url)

    def end_call(self) -> None:
        """Read nothing more of the last call ahead of the reactor."""
        self._transport = self.connected_at = None

    def _drop_early_call(self) -> None:
        early_call, self.early_call = self.early_call, None
        if early_call is not None:
            early_call.close()

    def endpointForURI(self, uri: URI) -> ObservedEndpoint:  # noqa: N802
        """Return the endpoint of a call; for Twisted's `Agent`."""
        return ObservedEndpoint(self._endpoint(uri), self._connected)

    def _endpoint(self, uri: URI) -> EarlyCallEndpoint | NumericEndpoint:
        early_call, self.early_call = self.early_call, None
        if early_call is not None:
            return EarlyCallEndpoint(self._reactor, early_call)
        host = uri.host.decode()
        # Not `HostnameEndpoint`, which reports a refused connection 0.3 s later.
        endpoint = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        return endpoint(self._reactor, host, uri.port, timeout=CONNECT_TIMEOUT_SECONDS)

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
