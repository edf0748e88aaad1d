"""Read batches of events from standard input and answer each batch on standard output until end of input.

Exit codes: 0 at end of input; 2 for a malformed line, whose number and fault are written to standard error.
"""

from __future__ import annotations

import sys

from .adapter import SimulatorAdapter
from .protocol import MalformedLineError


def main() -> int:
    """Process standard input until it ends and return the exit code."""
    adapter = SimulatorAdapter()
    line_number = 0
    try:
        for line in sys.stdin.buffer:
            line_number += 1
            reply = adapter.handle_line(line)
            if reply is not None:
                sys.stdout.buffer.write(reply)
                sys.stdout.buffer.flush()
    except MalformedLineError as error:
        print(f"line {line_number}: {error}", file=sys.stderr)
        return 2
    return 0


sys.exit(main())
