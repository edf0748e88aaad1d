"""Records a SIGHUP that arrives before the program is able to reload its configuration.

This module must be imported first, because a SIGHUP ends the process until the handler is installed.  For the
same reason it imports no module that is slow to load.  The running proxy replaces the handler.
"""

import signal
from types import FrameType

received_hangups: list[int] = []  # signal numbers


def record_hangup(number: int, frame: FrameType | None) -> None:
    """Record a SIGHUP; the proxy reloads its configuration once it runs."""
    received_hangups.append(number)


signal.signal(signal.SIGHUP, record_hangup)
