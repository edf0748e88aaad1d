"""Moves the wall clock of the one process that is started with this folder on its path.

Owns `time.time` there: it is off by what the file that IVYSTACK_RIG_CLOCK names holds, eight bytes, in
nanoseconds.  It must never touch the monotonic clock, nor any other process.
"""

import mmap
import os
import struct
import time

path = os.environ.get("IVYSTACK_RIG_CLOCK")
if path:
    with open(path, "rb") as file:
        kept = mmap.mmap(file.fileno(), 8, access=mmap.ACCESS_READ)
    true_ns, read = time.time_ns, struct.Struct("<q").unpack_from
    time.time_ns = lambda: true_ns() + read(kept)[0]
    time.time = lambda: time.time_ns() / 1e9
