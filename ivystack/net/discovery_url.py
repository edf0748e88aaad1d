"""The URLs of the discovery service.

Imports nothing, so that the first call can be made before the libraries are imported.
"""

WATCH_URL = b"http://%b:%d/v1/endpoints?stream=1&index=%d"


def watch_url(address: tuple[str, int], since: int) -> bytes:
    """Return the URL that streams the changes of the endpoint list after a generation; 0 for the whole list.

    >>> watch_url(("127.0.0.1", 8500), 41)
    b'http://127.0.0.1:8500/v1/endpoints?stream=1&index=41'
    """
    host, port = address
    return WATCH_URL % (host.encode(), port, since)
