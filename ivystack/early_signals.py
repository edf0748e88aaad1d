"""Notes a SIGHUP that comes before the program can act on it.

To be imported first: until this module has run, a SIGHUP ends the process.  It imports nothing that takes
time, and the running proxy replaces its handler.
"""

import signal
from types import FrameType

received_hangups: list[int] = []  # signal numbers


def note_hangup(number: int, frame: FrameType | None) -> None:
    """Handle a SIGHUP: the proxy reloads its configuration once it runs."""
    received_hangups.append(number)


signal.signal(signal.SIGHUP, note_hangup)
