"""Read batches of events from standard input and answer each on standard output, until the input ends.

Exit codes: 0 the input ended; 2 a line was malformed, and standard error says which and why.
"""

from __future__ import annotations

import sys

from .adapter import SimulatorAdapter
from .protocol import BadLineError


def main() -> int:
    """Serve standard input; return the exit code."""
    adapter = SimulatorAdapter()
    number = 0
    try:
        for line in sys.stdin.buffer:
            number += 1
            reply = adapter.handle_line(line)
            if reply is not None:
                sys.stdout.buffer.write(reply)
                sys.stdout.buffer.flush()
    except BadLineError as error:
        print(f"line {number}: {error}", file=sys.stderr)
        return 2
    return 0


sys.exit(main())
