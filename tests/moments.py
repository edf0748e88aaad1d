"""A proxy on real sockets whose clock stands still until the test moves it: no order is left to chance.

What is due by time comes when the test says so, in a turn of the reactor that the test has for itself; what
comes over sockets is awaited, however long the machine takes.  Nodes, clients and discovery are plain sockets
that do nothing unless told.
"""

import socket
import struct
import time

import orjson
from helpers import make_process_configuration
from ivystack.standin.apart import in_reactor

from ivystack.net.proxy import Proxy
from ivystack.net.resp import RespProtocol, encode_command

TIMEOUT_S = 10  # seconds for what must come


class ReactorWithoutStop:
    """The reactor, which an ending proxy must leave to the other tests."""

    def __init__(self):
        from twisted.internet import reactor

        self.stopped, self.real = False, reactor

    def stop(self):
        self.stopped = True

    def __getattr__(self, name):
        return getattr(self.real, name)


class ValueReader(RespProtocol):
    def __init__(self):
        super().__init__()
        self.values = []
        self.value_received = self.values.append


class SocketConnection:
    """One end of a connection, held by the test."""

    def __init__(self, of: socket.socket):
        self.socket, self.reader = of, ValueReader()
        of.settimeout(TIMEOUT_S)

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def receive(self):
        """The next value that comes; None when the connection ends first."""
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
        self.socket.close()

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


class CacheServer:
    """A cache node that does nothing by itself."""

    def __init__(self, name: str):
        self.name, self.listener = name, socket.create_server(("127.0.0.1", 0), backlog=256)
        self.listener.settimeout(TIMEOUT_S)

    def endpoint_entry(self, state="SERVING", **more):
        where = "{}:{}".format(*self.listener.getsockname())
        return {"instanceId": self.name, "hostPort": where, "lifecycle": state, "weight": 1.0} | more

    def accept(self) -> SocketConnection:
        return SocketConnection(self.listener.accept()[0])


class DiscoveryServer:
    """Discovery: each call is taken, and answered line by line, by the test."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(TIMEOUT_S)
        self.address = self.listener.getsockname()

    def accept_watch(self):
        """The next call, and the version that it goes on from."""
        one = self.listener.accept()[0]
        one.settimeout(TIMEOUT_S)
        text = b""
        while b"\r\n\r\n" not in text:
            text += one.recv(65_536)
        one.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return one, int(text.partition(b"index=")[2].split()[0])

    def send_update(self, one, generation, *entries, whole=False):
        text = orjson.dumps({"generation": generation, "reset": whole, "instances": entries}) + b"\n"
        one.sendall(b"%x\r\n%b\r\n" % (len(text), text))


class ProxyHarness:
    def __init__(self, run=None, discovery=None, **limits):
        self.now = 1_000_000_000_000
        self.reactor = ReactorWithoutStop()
        run = run or make_process_configuration(**limits)
        # An address that nothing calls from: a port that was free just now is not taken by a call's own end.
        with socket.create_server(("127.0.0.77", 0)) as free:
            run.listen = free.getsockname()
        self.discovery = discovery or DiscoveryServer()
        run.discovery = self.discovery.address
        self.run = run
        self.proxy = in_reactor(Proxy, run, self.reactor, lambda: self.now)

    def start(self, *nodes):
        in_reactor(self.proxy.start)
        if nodes:
            self.run_in_reactor(self.proxy.endpoints.update, [node.endpoint_entry() for node in nodes], True)
        return self

    def run_in_reactor(self, call, *values):
        """Calls it in a turn of the reactor: nothing that comes over sockets is read meanwhile."""
        return in_reactor(call, *values)

    def advance_clock(self, microseconds: int) -> None:
        def moved():
            self.now += microseconds
            self.proxy.deadlines.run_due()

        self.run_in_reactor(moved)

    def wait_until(self, condition) -> None:
        """Waits for what must come; time stands still for the proxy meanwhile."""
        for _ in range(100 * TIMEOUT_S):
            if self.run_in_reactor(condition):
                return
            time.sleep(0.01)
        raise AssertionError("it never came")

    def client(self) -> SocketConnection:
        return SocketConnection(socket.create_connection(self.run.listen, timeout=TIMEOUT_S))

    def stop(self) -> None:
        def end():
            for one in [
                *self.proxy.client_server.connections.values(),
                *self.proxy.server_pools.connections.values(),
            ]:
                one.transport.abortConnection()
            if self.proxy.port is not None and self.proxy.port.connected:
                self.proxy.port.stopListening()
            self.proxy.endpoint_watch.stop()
            self.proxy.deadlines.heap.clear()
            self.proxy.deadlines.call_at = lambda *_: None

        self.run_in_reactor(end)


def encode_gets(count, name=b"", fields=b"c=read,t=t,d=60000"):
    return b"".join(
        encode_command(b"OBJ.GET", b"7f", b"%b%d" % (name, number), fields) for number in range(count)
    )
