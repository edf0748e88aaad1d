"""An open-loop load generator of RESP2 clients.

The clients send each request when it is due, whatever became of earlier requests: slow answers do not reduce
the load. They retry as real clients do. A request that is not retryable must not be sent again once it may
have been executed. This module opens the connections to the proxies and records each attempt.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

from hdrh.histogram import HdrHistogram
from twisted.internet.protocol import ClientFactory

from ..net.resp import MAX_VALUE, RespProtocol, encode_command
from .arrivals import Arrival

# Outcomes of a request.
SERVED, REJECTED, FAILED, CONNECTION_LOST, TIMED_OUT, UNSENT = (
    "served", "nacked", "failed", "lost", "never", "unsent"
)  # fmt: skip
CLIENT_LEFT = "left"


@dataclass(frozen=True, slots=True)
class LoadClass:
    """A request class as the load generator sees it. Times are in microseconds."""

    name: str
    write: bool = False
    retryable: bool = True  # may be sent again although it may have been executed
    sends_idempotency_key: bool = False  # each request carries an idempotency key
    latency_budget: int = 500_000  # a later answer does not count as in time
    timeout: int = 900_000  # for the answer to one attempt


@dataclass(eq=False, slots=True)
class ClientAttempt:
    """One command that was written to a connection to a proxy. Times are in microseconds."""

    number: int  # of the request; all its attempts have the same number
    ident: bytes
    request_class: str
    idempotency_key: bytes
    proxy: str
    at: int
    deadline: int  # by which the answer is due
    answers: list[tuple[int, str, bytes]] = field(default_factory=list)  # time, outcome, body
    connection_lost_at: int | None = None  # if no answer had arrived by then
    maybe_unread: bool = False  # a reused connection closed, perhaps before the proxy read the command
    client_left_at: int | None = None  # if no answer had arrived by then


@dataclass(eq=False, slots=True)
class ClientRequest:
    """One request of the load, with all its attempts. Times are in microseconds."""

    number: int
    arrival: Arrival
    due: int
    request_class: LoadClass
    idempotency_key: bytes
    attempts: list[ClientAttempt] = field(default_factory=list)
    reroutes: int = 0  # failed connections, each followed by another proxy
    outcome: str = UNSENT
    ended: int = 0
    lag: int = 0  # delay of the first send after `due`


class ProxyConnection(RespProtocol):
    """A client's connection to a proxy. It carries one command at a time."""

    max_value_size = MAX_VALUE

    def __init__(self, clients: Clients, proxy: str):
        super().__init__()
        self.clients, self.proxy = clients, proxy
        self.request: ClientRequest | None = None
        self.last_attempt: ClientAttempt | None = None
        self.commands_sent = 0
        self.local_address: tuple[str, int] | None = None  # of the client's socket

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        local = self.transport.getHost()
        self.local_address = local.host, local.port
        self.clients.connected(self)

    def value_received(self, value) -> None:
        self.clients.response_received(self, value)

    def fail_protocol(self, reason: str) -> None:
        self.clients.response_received(self, "!" + reason)
        self.abort(reason)

    def connectionLost(self, reason) -> None:  # noqa: N802
        self.clients.connection_lost(self)


class ProxyConnectionFactory(ClientFactory):
    """Opens a connection to a proxy for one request."""

    noisy = False

    def __init__(self, clients: Clients, proxy: str, request: ClientRequest):
        self.clients, self.proxy, self.request = clients, proxy, request

    def buildProtocol(self, addr):  # noqa: N802
        connection = ProxyConnection(self.clients, self.proxy)
        connection.request = self.request
        return connection

    def clientConnectionFailed(self, connector, reason) -> None:  # noqa: N802
        self.clients.connect_failed(self.request, self.proxy)


class Clients:
    """The clients of a run: they send the requests when due, retry them, and record the attempts."""

    MAX_ATTEMPTS, MAX_REROUTES = 4, 3
    RETRY_WINDOW_US = 2_500_000  # no retry later than this after the request was due
    RETRY_DELAY_US = 50_000  # before the retry of a failed request; jitter adds up to the same time
    HISTOGRAM_MAX_US = 60_000_000

    def __init__(
        self, reactor, now, rng: Random, proxy_addresses: dict[str, tuple[str, int]],
        classes: list[LoadClass], refused_addresses: set | None = None, oldest_first: bool = False,
    ):  # fmt: skip
        """Create the clients; `play` starts the load.

        `now` returns the time in microseconds. `proxy_addresses` maps each proxy's name to the address at
        which clients reach it, in the order of the numbers in `Arrival.client`. `refused_addresses` holds the
        client's local address of each connection that a relay accepted but could not forward. The idle
        connection used last is reused first; with `oldest_first` it is the one that has been idle longest.
        """
        self.reactor, self.now, self.rng = reactor, now, rng
        self.proxy_addresses, self.proxy_names = proxy_addresses, [*proxy_addresses]
        self.classes = {request_class.name: request_class for request_class in classes}
        self.refused_addresses = refused_addresses if refused_addresses is not None else set()
        self.oldest_first = oldest_first
        self.idle_connections: dict[str, deque[ProxyConnection]] = {name: deque() for name in proxy_addresses}
        self.busy_connections: dict[ProxyConnection, None] = {}
        self.requests: list[ClientRequest] = []
        self.attempts: list[ClientAttempt] = []
        self.attempt_count = 0
        self.lag = 0  # the largest delay of a first send: how far the generator itself fell behind
        self.closing = False
        self.times = HdrHistogram(1, self.HISTOGRAM_MAX_US, 3)  # latencies from the due time, served only

    # --- Sending ---

    def play(self, arrivals: list[Arrival]) -> None:
        """Send these requests when they are due, counted from now."""
        start = self.now()
        for number, arrival in enumerate(arrivals):
            request_class = self.classes[arrival.request_class]
            idempotency_key = b"m%08d" % number if request_class.sends_idempotency_key else b""
            self.requests.append(
                ClientRequest(number, arrival, start + arrival.at, request_class, idempotency_key)
            )
        self.pending = deque(self.requests)
        self.send_due()

    def send_due(self) -> None:
        """Send all requests that are due, and schedule the next call."""
        while self.pending and self.pending[0].due <= self.now():
            request = self.pending.popleft()
            request.lag = self.now() - request.due
            self.lag = max(self.lag, request.lag)
            self.send(request, self.proxy_names[request.arrival.client % len(self.proxy_names)])
        if self.pending:
            self.reactor.callLater(max(0, self.pending[0].due - self.now()) / 1e6, self.send_due)

    def send(self, request: ClientRequest, proxy: str, new_connection: bool = False) -> None:
        """Send the request on an idle connection to the proxy, or on a new one."""
        idle = self.idle_connections[proxy]
        if idle and not new_connection:
            return self.write_command(idle.popleft() if self.oldest_first else idle.pop(), request)
        host, port = self.proxy_addresses[proxy]
        self.reactor.connectTCP(host, port, ProxyConnectionFactory(self, proxy, request), timeout=0.5)

    def connected(self, connection: ProxyConnection) -> None:
        """Send the request for which the connection was opened."""
        self.write_command(connection, connection.request)

    def write_command(self, connection: ProxyConnection, request: ClientRequest) -> None:
        """Write the request as a command, as a new attempt with an id of its own."""
        request_class, now = request.request_class, self.now()
        self.attempt_count += 1
        ident = b"%012x" % self.attempt_count
        attempt = ClientAttempt(
            request.number,
            ident,
            request_class.name,
            request.idempotency_key,
            connection.proxy,
            now,
            now + request_class.timeout,
        )
        request.attempts.append(attempt)
        self.attempts.append(attempt)
        connection.request, connection.last_attempt = request, attempt
        self.busy_connections[connection] = None
        connection.commands_sent += 1
        fields = b"c=%b,d=%d" % (request_class.name.encode(), request_class.timeout // 1000)
        fields += b",k=%b" % request.idempotency_key if request.idempotency_key else b""
        fields += b",r=1" if len(request.attempts) > 1 else b""
        parts = [b"OBJ.SET" if request_class.write else b"OBJ.GET", request.arrival.key, ident, fields]
        connection.transport.write(
            encode_command(*parts, *([b"value of " + ident] if request_class.write else []))
        )
        self.reactor.callLater(
            (request_class.timeout + 1_000_000) / 1e6, self.attempt_timed_out, connection, attempt
        )

    # --- Outcomes ---

    def response_received(self, connection: ProxyConnection, value) -> None:
        """Record an answer, and make the connection idle."""
        outcome = FAILED
        if isinstance(value, bytes) or isinstance(value, list) and value and isinstance(value[0], bytes):
            outcome = SERVED
        elif isinstance(value, str) and value.split(" ")[0] == "-BUSY":
            outcome = REJECTED
        body = value if isinstance(value, bytes) else str(value).encode()
        request, attempt = connection.request, connection.last_attempt
        if attempt is not None:
            attempt.answers.append((self.now(), outcome, body))
        if request is None:  # an answer without a pending request; it stays in the attempt's record
            return
        connection.request = None
        self.busy_connections.pop(connection, None)
        if not self.closing:
            self.idle_connections[connection.proxy].append(connection)
        self.attempt_finished(request, attempt, outcome, body)

    def attempt_timed_out(self, connection: ProxyConnection, attempt: ClientAttempt) -> None:
        """Give up an attempt that has no answer one second after its deadline."""
        if connection.last_attempt is attempt and connection.request is not None:
            request, connection.request = connection.request, None
            self.busy_connections.pop(connection, None)
            connection.transport.abortConnection()
            self.attempt_finished(request, attempt, TIMED_OUT, b"")

    def disconnect(self, proxies: list[str], share: float) -> None:
        """Disconnect a random share of the clients that wait for an answer of these proxies.

        Half of them reset the connection. Their requests are not retried.
        """
        for connection in [
            connection
            for connection in self.busy_connections
            if connection.proxy in proxies and self.rng.random() < share
        ]:
            request, connection.request = connection.request, None
            del self.busy_connections[connection]
            connection.last_attempt.client_left_at = request.ended = self.now()
            request.outcome = CLIENT_LEFT
            if self.rng.random() < 0.5:
                connection.transport.abortConnection()
            else:
                connection.transport.loseConnection()

    def connection_lost(self, connection: ProxyConnection) -> None:
        """Conclude the attempt that was pending on a closed connection.

        - If only a relay had accepted the connection, it counts as a failed connection attempt.
        - If a reused connection closed, the proxy may not have read the command: a retryable request is sent
          once more, at once and on a new connection.
        - Else the attempt has failed.
        """
        if connection in self.idle_connections[connection.proxy]:
            self.idle_connections[connection.proxy].remove(connection)
        self.busy_connections.pop(connection, None)
        request, attempt, connection.request = connection.request, connection.last_attempt, None
        if request is None or attempt is None:
            return
        if connection.local_address in self.refused_addresses:
            self.refused_addresses.discard(connection.local_address)
            request.attempts.remove(attempt)
            self.attempts.remove(attempt)
            return self.connect_failed(request, connection.proxy)
        attempt.connection_lost_at = self.now()
        if connection.commands_sent > 1 and not any(earlier.maybe_unread for earlier in request.attempts):
            attempt.maybe_unread = True
            # A killed proxy closes connections in the same way, but may have executed the command before.
            # A request that is not retryable is therefore not sent again.
            if request.request_class.retryable:
                return self.send(request, connection.proxy, True)
        self.attempt_finished(request, attempt, CONNECTION_LOST, b"")

    def connect_failed(self, request: ClientRequest, proxy: str) -> None:
        """Send the request to another proxy, as a front-end load balancer would do."""
        request.reroutes += 1
        if request.reroutes > self.MAX_REROUTES or self.now() - request.due > self.RETRY_WINDOW_US:
            request.ended = self.now()
            return
        index = (self.proxy_names.index(proxy) + self.rng.randrange(1, len(self.proxy_names) + 1)) % len(
            self.proxy_names
        )
        self.send(request, self.proxy_names[index])

    def attempt_finished(
        self, request: ClientRequest, attempt: ClientAttempt, outcome: str, body: bytes
    ) -> None:
        """Record the outcome of an attempt, and schedule a retry if the request may have one.

        A rejected request is sent to the same proxy again, after the delay in milliseconds that the answer
        may state. Any other request is sent to a random proxy after the default delay. Jitter adds up to the
        same time to either delay.
        """
        now = self.now()
        request.outcome, request.ended = outcome, now
        if outcome == SERVED:
            self.times.record_value(max(1, min(now - request.due, self.HISTOGRAM_MAX_US)))
            return
        may_retry = outcome == REJECTED or request.request_class.retryable
        if (
            not may_retry
            or len(request.attempts) >= self.MAX_ATTEMPTS
            or now - request.due > self.RETRY_WINDOW_US
        ):
            return
        delay = self.RETRY_DELAY_US
        if outcome == REJECTED and body[6:].isdigit():
            delay = 1000 * int(body[6:])
        delay = int(delay * (1 + self.rng.random()))
        proxy = attempt.proxy if outcome == REJECTED else self.rng.choice(self.proxy_names)
        self.reactor.callLater(delay / 1e6, self.send, request, proxy)

    def close(self) -> None:
        """Close idle connections now, and let no further connection become idle."""
        self.closing = True
        for connections in self.idle_connections.values():
            for connection in [*connections]:
                connection.transport.loseConnection()


def in_time(request: ClientRequest) -> bool:
    """Return whether the request was served within the latency budget of its class."""
    return request.outcome == SERVED and request.ended - request.due <= request.request_class.latency_budget
