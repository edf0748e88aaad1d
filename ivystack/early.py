"""Notes a SIGHUP that comes before the program can act on it.

Owns that signal from the first line of the program until the running proxy takes it over.  It must never load
anything: until it is loaded, a SIGHUP ends the process.
"""

import signal

noted: list[int] = []

signal.signal(signal.SIGHUP, lambda number, frame: noted.append(number))
