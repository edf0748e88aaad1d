"""The leader's clock over leases: when one has run out.

Owns when each holder was heard.  It must never end a lease sooner after the holder was heard than the
lease with the drift on top, whoever led before.
"""

from __future__ import annotations

from .leases import Row


class Grantor:
    def __init__(self, lease: int, drift: float):
        """Microseconds; `drift` is the part by which two clocks may go apart."""
        self.lease = int(lease * (1 + drift))
        self.term = -1  # in which we lead; what was heard before it is nobody's
        self.heard: dict[str, tuple[int, int]] = {}  # token, when

    def renewed(self, duty: str, token: int, now: int) -> None:
        self.heard[duty] = token, now

    def over(self, rows: dict[str, Row], term: int, now: int) -> list[tuple[str, int]]:
        """Duties and tokens of leases that have run out, where we lead in that term."""
        if term != self.term:
            self.term, self.heard = term, {}
        found = []
        for duty, row in rows.items():
            if not row.holder:
                continue
            token, at = self.heard.setdefault(duty, (row.token, now))
            if token != row.token:  # a new holder: heard when its taking was agreed, or since
                self.heard[duty] = row.token, now
            elif now - at > self.lease:
                found.append((duty, row.token))
        return found
