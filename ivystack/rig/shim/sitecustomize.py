"""Faults inside one process of the program: a shifted wall clock, and system calls that fail.

Python imports this file in a process that is started with this directory on its path.  The rig writes the
faults into two small files that the process maps, so that a fault begins and ends while the process runs:

- IVYSTACK_RIG_CLOCK: eight bytes, the offset of `time.time` in nanoseconds.  The monotonic clock does not
  change.
- IVYSTACK_RIG_CALLS: for each entry of SYSTEM_CALLS an error number, and how many calls in a million fail
  with this error.

A failing call does not reach the kernel, so that nothing is lost by the failure.  For example, a connection
that could not be accepted still waits.  Calls from C code (writes of the log, epoll) are not affected.
"""

import mmap
import os
import random
import struct
import time

SYSTEM_CALLS = ("accept", "recv", "send", "connect_ex")
CALL_FAULT = struct.Struct("<ii")  # error number, failing calls in a million


def shift_clock(path: str) -> None:
    """Shift `time.time` and `time.time_ns` by the offset in the file, which may change at any time."""
    with open(path, "rb") as file:
        mapped = mmap.mmap(file.fileno(), 8, access=mmap.ACCESS_READ)
    original_time_ns, unpack_from = time.time_ns, struct.Struct("<q").unpack_from
    time.time_ns = lambda: original_time_ns() + unpack_from(mapped)[0]
    time.time = lambda: time.time_ns() / 1e9


def fail_calls(path: str) -> None:
    """Let socket calls fail at random as the file says, which may change at any time."""
    import socket

    with open(path, "rb") as file:
        mapped = mmap.mmap(file.fileno(), CALL_FAULT.size * len(SYSTEM_CALLS), access=mmap.ACCESS_READ)
    rng = random.Random(os.environ.get("LB_NAME", ""))

    def make_failing(name: str, offset: int, original):
        def call(self, *args):
            error, failures_per_million = CALL_FAULT.unpack_from(mapped, offset)
            if error and rng.random() * 1_000_000 < failures_per_million:
                if name == "connect_ex":
                    return error
                raise OSError(error, os.strerror(error))
            return original(self, *args)

        return call

    for number, name in enumerate(SYSTEM_CALLS):
        original = getattr(socket.socket, name)
        setattr(socket.socket, name, make_failing(name, number * CALL_FAULT.size, original))


if os.environ.get("IVYSTACK_RIG_CLOCK"):
    shift_clock(os.environ["IVYSTACK_RIG_CLOCK"])
if os.environ.get("IVYSTACK_RIG_CALLS"):
    fail_calls(os.environ["IVYSTACK_RIG_CALLS"])
