"""Which acts under a duty a proxy takes.

Owns the highest token taken of each duty, and the present one as the group tells it.  It must never take an
act of an older token than one that it has taken, nor of one that the group's news do not bear out.
"""

from __future__ import annotations


class Fence:
    def __init__(self):
        self.known: dict[str, int] = {}
        self.taken: dict[str, int] = {}

    def told(self, duty: str, token: int) -> None:
        """The group's word, by its members: only they can raise it."""
        self.known[duty] = token

    def admits(self, duty: str, token: int) -> bool:
        """Whether an act of that token may be taken now; if so, none of an older one any more."""
        if not self.taken.get(duty, 1) <= token <= self.known.get(duty, 0):
            return False
        self.taken[duty] = token
        return True
