"""A proxy on real sockets with a clock that only the test advances, so that the order of events is fixed.

The test runs what is due by time in a reactor turn of its own, and waits for what arrives over sockets,
however long the machine takes.  The test controls the plain sockets of cache servers, clients and discovery.
"""

import socket
import struct
import time

import orjson
from helpers import make_process_configuration
from ivystack.standin.apart import in_reactor

from ivystack.net.proxy import Proxy
from ivystack.net.resp import RespProtocol, encode_command

SILENCE_BORNE_US = 600_000_000  # for which a harness serves by its list, though discovery says nothing
TIMEOUT_S = 10  # seconds that a test waits for what must arrive


class ReactorWithoutStop:
    """The running reactor, except that `stop` is only recorded, because later tests use the reactor too."""

    def __init__(self):
        from twisted.internet import reactor

        self.stopped, self.real = False, reactor

    def stop(self):
        self.stopped = True

    def __getattr__(self, name):
        return getattr(self.real, name)


class ValueReader(RespProtocol):
    """Collects the RESP values that arrive."""

    def __init__(self):
        super().__init__()
        self.values = []
        self.value_received = self.values.append


class SocketConnection:
    """The test's end of a connection to the proxy."""

    def __init__(self, connected: socket.socket):
        self.socket, self.reader = connected, ValueReader()
        connected.settimeout(TIMEOUT_S)

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def receive(self):
        """Return the next value that arrives, or None if the connection ends first."""
        while not self.reader.values:
            try:
                data = self.socket.recv(65_536)
            except ConnectionError:
                return None
            if not data:
                return None
            self.reader.dataReceived(data)
        return self.reader.values.pop(0)

    def end(self) -> None:
        """Close the connection."""
        self.socket.close()

    def reset(self) -> None:
        """Close the connection with a reset."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


class CacheServer:
    """A cache server whose listening socket the test controls; it answers nothing by itself."""

    def __init__(self, name: str):
        self.name, self.listener = name, socket.create_server(("127.0.0.1", 0), backlog=256)
        self.listener.settimeout(TIMEOUT_S)

    def endpoint_entry(self, state="SERVING", **fields):
        """Return the server's entry in the endpoint list."""
        address = "{}:{}".format(*self.listener.getsockname())
        return {"instanceId": self.name, "hostPort": address, "lifecycle": state, "weight": 1.0} | fields

    def accept(self) -> SocketConnection:
        """Accept the next connection from the proxy."""
        return SocketConnection(self.listener.accept()[0])


class DiscoveryServer:
    """A discovery server; the test accepts each watch and sends each line of the response."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(TIMEOUT_S)
        self.address = self.listener.getsockname()

    def accept_watch(self):
        """Return the connection of the next watch, and the generation from which it continues."""
        connection = self.listener.accept()[0]
        connection.settimeout(TIMEOUT_S)
        request = b""
        while b"\r\n\r\n" not in request:
            request += connection.recv(65_536)
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return connection, int(request.partition(b"index=")[2].split()[0])

    def send_update(self, connection, generation, *entries, whole=False):
        """Send a line of the watch: the changed entries, or with `whole` the complete list."""
        line = orjson.dumps({"generation": generation, "reset": whole, "instances": entries}) + b"\n"
        connection.sendall(b"%x\r\n%b\r\n" % (len(line), line))


class ProxyHarness:
    """A proxy in the running reactor whose clock, in microseconds, only the test advances."""

    def __init__(self, run=None, discovery=None, **limits):
        self.now = 1_000_000_000_000
        self.reactor = ReactorWithoutStop()
        run = run or make_process_configuration(**limits)
        # No connection is made from 127.0.0.77, so its local port can't take the port that was just free.
        with socket.create_server(("127.0.0.77", 0)) as free:
            run.listen = free.getsockname()
        self.discovery = discovery or DiscoveryServer()
        run.discovery = self.discovery.address
        self.run = run
        self.proxy = in_reactor(Proxy, run, self.reactor, lambda: self.now)

    def start(self, *servers):
        """Start the proxy, with these cache servers in its endpoint list, as if discovery were silent."""
        in_reactor(self.proxy.start)
        self.run_in_reactor(self.proxy.list_freshness.call_unanswered, self.now + SILENCE_BORNE_US)
        self.run_in_reactor(self.proxy.endpoint_gate.call_failed, "no-answer")
        if servers:
            self.run_in_reactor(
                self.proxy.endpoints.update, [server.endpoint_entry() for server in servers], True
            )
        return self

    def run_in_reactor(self, call, *values):
        """Make the call in one turn of the reactor, during which nothing is read from sockets."""
        return in_reactor(call, *values)

    def advance_clock(self, microseconds: int) -> None:
        """Advance the proxy's clock, and make the calls that are then due."""

        def advance():
            self.now += microseconds
            self.proxy.deadlines.run_due()

        self.run_in_reactor(advance)

    def wait_until(self, condition) -> None:
        """Wait until the condition holds; the proxy's clock does not advance meanwhile."""
        for _ in range(100 * TIMEOUT_S):
            if self.run_in_reactor(condition):
                return
            time.sleep(0.01)
        raise AssertionError("the condition did not become true in time")

    def client(self) -> SocketConnection:
        """Connect a client."""
        return SocketConnection(socket.create_connection(self.run.listen, timeout=TIMEOUT_S))

    def stop(self) -> None:
        """Close all connections and stop listening, watching and the proxy's timers."""

        def end():
            for connection in [
                *self.proxy.client_server.connections.values(),
                *self.proxy.server_pools.connections.values(),
            ]:
                connection.transport.abortConnection()
            if self.proxy.port is not None and self.proxy.port.connected:
                self.proxy.port.stopListening()
            self.proxy.endpoint_watch.stop()
            self.proxy.deadlines.heap.clear()
            self.proxy.deadlines.call_at = lambda *_: None

        self.run_in_reactor(end)


def encode_gets(count, prefix=b"", fields=b"c=read,t=t,d=60000"):
    """Return `count` OBJ.GET commands whose ids are the prefix and a number."""
    return b"".join(
        encode_command(b"OBJ.GET", b"7f", b"%b%d" % (prefix, number), fields) for number in range(count)
    )
