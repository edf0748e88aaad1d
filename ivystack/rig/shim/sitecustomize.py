"""Faults inside one process of the program: its wall clock, and system calls that fail.

Python loads this file in a process that is started with this folder on its path.  The rig writes what is
wrong into two small files that the process maps, so a fault begins and ends while the process runs:

- IVYSTACK_RIG_CLOCK: eight bytes, how far `time.time` is off, in nanoseconds.  The monotonic clock is left.
- IVYSTACK_RIG_CALLS: for each name of CALLS an error number, and how many calls in a million return it.

A call that fails does so before it reaches the kernel, so that nothing is lost by it: a connection that
could not be accepted still waits.  Calls made by C code (the log's writes, epoll) are not reached.
"""

import mmap
import os
import random
import struct
import time

CALLS = ("accept", "recv", "send", "connect_ex")
FAULT = struct.Struct("<ii")  # error number, calls in a million


def step_clock(path: str) -> None:
    with open(path, "rb") as file:
        kept = mmap.mmap(file.fileno(), 8, access=mmap.ACCESS_READ)
    true_ns, read = time.time_ns, struct.Struct("<q").unpack_from
    time.time_ns = lambda: true_ns() + read(kept)[0]
    time.time = lambda: time.time_ns() / 1e9


def fail_calls(path: str) -> None:
    import socket

    with open(path, "rb") as file:
        kept = mmap.mmap(file.fileno(), FAULT.size * len(CALLS), access=mmap.ACCESS_READ)
    rng = random.Random(os.environ.get("LB_NAME", ""))

    def failing(name: str, place: int, true_call):
        def call(self, *values):
            error, often = FAULT.unpack_from(kept, place)
            if error and rng.random() * 1_000_000 < often:
                if name == "connect_ex":
                    return error
                raise OSError(error, os.strerror(error))
            return true_call(self, *values)

        return call

    for number, name in enumerate(CALLS):
        true_call = getattr(socket.socket, name)
        setattr(socket.socket, name, failing(name, number * FAULT.size, true_call))


if os.environ.get("IVYSTACK_RIG_CLOCK"):
    step_clock(os.environ["IVYSTACK_RIG_CLOCK"])
if os.environ.get("IVYSTACK_RIG_CALLS"):
    fail_calls(os.environ["IVYSTACK_RIG_CALLS"])
