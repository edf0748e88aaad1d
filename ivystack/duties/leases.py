"""The part of the agreed state that duties are in: holder, token, value.

Owns the rows.  It must never take a value under any token but the present one, or give a token out twice.
There is no clock here: when a lease has run out is the leader's to say (grantor.py).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

KNOWN = ("slot-order", "list-watch", "node-trials")  # bounds the rows
VALUE = 16_384  # bytes: an order of 5,000 nodes


@dataclass(slots=True)
class Row:
    holder: str = ""  # name/life of its process; empty: free
    token: int = 0  # of the holder, or of the last one
    value: bytes = b""
    version: int = 0  # of the value
    by: int = 0  # the token that it was put under

    def told(self) -> list:
        return [self.holder, self.token, self.version]


class Leases:
    COMMANDS = "take", "free", "put"

    def __init__(self, lease: int = 0):
        """`lease` in microseconds is no part of the state: it serves looks alone."""
        self.proof = lease * 2 // 3  # so long ago a holder must have heard us, to be granted more
        self.rows: dict[str, Row] = {}

    def row(self, duty: str) -> Row:
        if duty not in KNOWN:
            raise ValueError(duty)
        return self.rows.setdefault(duty, Row())

    def execute(self, name: str, args: list) -> Any:
        """`take` duty who: a free one; who holds it then and its token.  `free` duty token: the holder lets
        go, or its lease is over.  `put` duty token value: whether it was taken, and the value's version.

        >>> leases = Leases()
        >>> leases.execute("take", ["slot-order", "a/1"]), leases.execute("take", ["slot-order", "b/1"])
        (['a/1', 1], ['a/1', 1])
        >>> leases.execute("free", ["slot-order", 1]), leases.execute("take", ["slot-order", "b/1"])
        (True, ['b/1', 2])
        >>> leases.execute("put", ["slot-order", 1, b"old"]), leases.execute("put", ["slot-order", 2, b"new"])
        ([False, 0], [True, 1])
        """
        row = self.row(args[0])
        if name == "take":
            if not row.holder:
                row.holder, row.token = str(args[1])[:128], row.token + 1
            return [row.holder, row.token]
        if name == "free":
            held = bool(row.holder) and args[1] == row.token
            row.holder = "" if held else row.holder
            return held
        if name == "put":
            _, token, value = args
            good = isinstance(value, bytes) and len(value) <= VALUE
            good = good and bool(row.holder) and token == row.token
            if good and value != row.value:
                row.value, row.version, row.by = value, row.version + 1, token
            return [good, row.version]
        raise KeyError(name)

    def query(self, name: str, args: list) -> Any:
        """`renew` duty token who since: whether that is so; None, and no more is granted, where its last
        answer was too long ago.  `value` duty: version, its token, value.

        Guards a duty against a holder that is heard and hears nothing: it would hold on for ever.
        """
        row = self.row(args[0])
        if name == "renew":
            _, token, who, since = args
            if not row.holder or [row.token, row.holder] != [token, who]:
                return False
            return True if since is not None and since <= self.proof else None
        if name == "value":
            return [row.version, row.by, row.value]
        raise KeyError(name)

    def told(self) -> dict[str, list]:
        """What all are told: without the values."""
        return {duty: row.told() for duty, row in self.rows.items()}

    def dump(self) -> Any:
        return {duty: [r.holder, r.token, r.value, r.version, r.by] for duty, r in self.rows.items()}

    def load(self, what: Any) -> None:
        self.rows = {duty: Row(*values) for duty, values in what.items()}
