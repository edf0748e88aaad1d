"""Upgrades: the listening socket that the platform holds, and two processes that are one proxy meanwhile.

Owns the inherited descriptor.  It must never shut that socket down, which others hold too.
"""

from __future__ import annotations

import os
import socket


def adopt(reactor, fd: int, factory):
    """Accepts clients at a listening socket that was inherited as this descriptor.

    A fault is an OSError or ValueError in one line: the descriptor is none, no socket, or does not listen.
    """
    try:
        inherited = socket.socket(fileno=os.dup(fd))
    except OSError as fault:
        raise OSError(f"`LB_FD`: descriptor {fd}: {fault.strerror}") from None
    with inherited:
        if inherited.type != socket.SOCK_STREAM or inherited.family not in (socket.AF_INET, socket.AF_INET6):
            raise ValueError(f"`LB_FD`: descriptor {fd} is no TCP socket")
        if not inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ValueError(f"`LB_FD`: descriptor {fd} does not listen")
        # Both processes wait at it: an accept that finds nothing, as the other was quicker, must not wait.
        inherited.setblocking(False)
        port = reactor.adoptStreamPort(inherited.fileno(), inherited.family, factory)  # has a copy of its own
    os.close(fd)
    return port
