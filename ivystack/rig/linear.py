"""Is a small history of the agreed state linearizable?  Wing and Gong's search with Lowe's memory of states.

Owns the search.  It must never call a history good that it has not searched to the end: beyond its bound it
raises.  Source: G. Lowe, "Testing for linearizability", 2017.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from math import inf
from typing import Any


@dataclass(frozen=True, slots=True)
class Op:
    """An operation by one client; `returned` is inf where no answer came: it may have happened."""

    called: float
    returned: float
    args: Any
    result: Any = None


class TooLargeError(Exception):
    """The history needs more steps than the bound allows: neither good nor bad."""


def linearizable(
    ops: list[Op], state: Hashable, step: Callable[[Any, Any], tuple[Any, Any]], most: int = 200_000
) -> bool:
    """Whether some order that keeps to real time explains all results.

    `step(state, args)` gives the next state and the result; states must be hashable.  An operation without an
    answer may be left out.

    >>> put = lambda value: ("put", value)
    >>> step = lambda state, args: (args[1], None) if args[0] == "put" else (state, state)
    >>> linearizable([Op(0, 1, put(1)), Op(2, 3, ("get",), 1)], 0, step)
    True
    >>> linearizable([Op(0, 1, put(1)), Op(2, 3, ("get",), 0)], 0, step)
    False
    """
    everything = (1 << len(ops)) - 1
    needed = sum(1 << i for i, op in enumerate(ops) if op.returned != inf)
    seen: set[tuple[int, Hashable]] = set()
    stack: list[tuple[int, Hashable]] = [(0, state)]
    while stack:
        done, now = stack.pop()
        if done & needed == needed:
            return True
        if (done, now) in seen:
            continue
        seen.add((done, now))
        if len(seen) > most:
            raise TooLargeError(f"{len(ops)} operations need more than {most} steps")
        left = [i for i in range(len(ops)) if not done >> i & 1]
        first = min(ops[i].returned for i in left)  # nothing called after it can come before it
        for i in left:
            op = ops[i]
            if op.called > first:
                continue
            then, result = step(now, op.args)
            if op.returned == inf or result == op.result:
                stack.append((done | 1 << i, then))
    return not needed or everything == 0
