"""KNOWN-RED.txt at the root: tests that fail for a real fault that could not be mended in the sitting.

A line each: the test's id, its cause, its issue, with ` | ` between them; three at most.  Such a test has to
fail: one that passes, or that is not there, fails the run.
"""

from pathlib import Path

import pytest

PLACE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


def read(text: str) -> dict[str, str]:
    """What is known of each, by the test's id."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(lines)} lines, {MOST} at most")
    known = {}
    for line in lines:
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"KNOWN-RED.txt: wanted `test | cause | issue`, got {line!r}")
        known[parts[0]] = " | ".join(parts[1:])
    return known


def mark(known: dict[str, str], items: list, whole: bool) -> None:
    """Each known one must fail; where all tests were asked for, each has to be there."""
    names = {item.nodeid: item for item in items}
    for name, cause in known.items():
        if name in names:
            names[name].add_marker(pytest.mark.xfail(reason=cause, strict=True))
        elif whole:
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {name}")
