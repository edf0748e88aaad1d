"""The first call of discovery, made while the libraries are imported, so that its answer is there early.

Imports only the standard library and a module that imports nothing, as it is used before the libraries are.
"""

from __future__ import annotations

import socket

from .net.discovery_url import watch_url

# The handshake needs only the system.  Where it takes longer, the call is made later like any other.
CONNECT_TIMEOUT_SECONDS = 0.05
REQUEST = b"GET %b HTTP/1.1\r\nConnection: close\r\nHost: %b:%d\r\n\r\n"


class EarlyCall:
    """A call that was written to its connection, and whose answer was not read.

    :param connection: the non-blocking socket of the connection
    :param url: what was called
    """

    def __init__(self, connection: socket.socket, url: bytes) -> None:
        self.connection, self.url = connection, url

    def close(self) -> None:
        """End the call."""
        self.connection.close()


def call_discovery(address: tuple[str, int], generation: int) -> EarlyCall | None:
    """Request the changes of the endpoint list after a generation, from discovery at a host and port.

    :returns: None if the call could not be made; it proves nothing.
    """
    host, port = address
    url = watch_url(address, generation)
    path = url[url.index(b"/", len("http://")) :]
    request = REQUEST % (path, host.encode(), port)
    try:
        connection = socket.create_connection(address, CONNECT_TIMEOUT_SECONDS)
    except OSError:
        return None
    try:
        connection.setblocking(False)
        if connection.send(request) == len(request):
            return EarlyCall(connection, url)
    except OSError:
        pass
    connection.close()
    return None
