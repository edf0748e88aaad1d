"""Reads batches from standard input, answers each on standard output, ends with the input."""

from __future__ import annotations

import sys

from .wire import BadLineError, Wire


def main() -> int:
    wire = Wire()
    number = 0
    try:
        for line in sys.stdin.buffer:
            number += 1
            reply = wire.line(line)
            if reply is not None:
                sys.stdout.buffer.write(reply)
                sys.stdout.buffer.flush()
    except BadLineError as fault:
        print(f"line {number}: {fault}", file=sys.stderr)
        return 2
    return 0


sys.exit(main())
