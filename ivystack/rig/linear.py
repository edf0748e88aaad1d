"""Linearizability checker for small histories: Wing and Gong's search with Lowe's cache of visited states.

The search visits at most a given number of states and raises an error beyond it, so that no history counts as
linearizable without a complete search.  Source: G. Lowe, "Testing for linearizability", 2017.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from math import inf
from typing import Any


@dataclass(frozen=True, slots=True)
class Operation:
    """An operation of one client.

    Attributes:
        invoked_at: Time of the call.
        returned_at: Time of the answer; infinity if there was none, so that the operation may have been
            executed.
        args: Arguments, as the step function takes them.
        result: Result, to be compared with that of the step function.
    """

    invoked_at: float
    returned_at: float
    args: Any
    result: Any = None


class TooLargeError(Exception):
    """The search needs more states than its limit, so the history is neither accepted nor rejected."""


def linearizable(
    operations: list[Operation],
    initial_state: Hashable,
    step: Callable[[Any, Any], tuple[Any, Any]],
    max_states: int = 200_000,
) -> bool:
    """Return whether some order of the operations respects real time and explains all results.

    An operation without an answer may be left out of the order.

    Args:
        operations: The history.
        initial_state: State before the first operation.
        step: Maps a state and the arguments of an operation to the next state and the result; states must be
            hashable.
        max_states: Limit of the states that the search visits.

    Raises:
        TooLargeError: The search exceeds the limit.

    >>> put = lambda value: ("put", value)
    >>> step = lambda state, args: (args[1], None) if args[0] == "put" else (state, state)
    >>> linearizable([Operation(0, 1, put(1)), Operation(2, 3, ("get",), 1)], 0, step)
    True
    >>> linearizable([Operation(0, 1, put(1)), Operation(2, 3, ("get",), 0)], 0, step)
    False
    """
    all_done = (1 << len(operations)) - 1
    answered = sum(1 << i for i, operation in enumerate(operations) if operation.returned_at != inf)
    visited: set[tuple[int, Hashable]] = set()
    stack: list[tuple[int, Hashable]] = [(0, initial_state)]
    while stack:
        done, state = stack.pop()
        if done & answered == answered:
            return True
        if (done, state) in visited:
            continue
        visited.add((done, state))
        if len(visited) > max_states:
            raise TooLargeError(f"{len(operations)} operations need more than {max_states} search states")
        remaining = [i for i in range(len(operations)) if not done >> i & 1]
        # An operation that was invoked after this time cannot be the next one.
        first_return = min(operations[i].returned_at for i in remaining)
        for i in remaining:
            operation = operations[i]
            if operation.invoked_at > first_return:
                continue
            next_state, result = step(state, operation.args)
            if operation.returned_at == inf or result == operation.result:
                stack.append((done | 1 << i, next_state))
    return not answered or all_done == 0
