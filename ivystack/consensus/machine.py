"""The agreed state: what follows from the entries, alike at every member.

Owns the parts that hold it, and what was answered to whom, so that a command asked twice is done once.  It
must never use a clock, a random source or an order that is not in the entries, and stops at an entry that it
does not know rather than guess.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, Protocol

import msgspec

VERSION = 1
CLIENTS = 2048  # whose last answers are kept: a thousand proxies', old and new process; the oldest goes
ANSWERS = 4  # of each
WHOLE = 131_072  # bytes of all parts: a snapshot has to fit a message between proxies


class NewerError(Exception):
    """An entry or a snapshot that this program does not know: another version wrote it."""


class Part(Protocol):
    """A part of the state.  `do` changes it and gives the answer; NAMES are its commands."""

    NAMES: tuple[str, ...]

    def do(self, name: str, args: list) -> Any: ...

    def look(self, name: str, args: list) -> Any: ...

    def dump(self) -> Any: ...

    def load(self, what: Any) -> None: ...


class Table:
    """Keys with values and versions.

    >>> table = Table()
    >>> table.do("set", ["a", b"1", None]), table.do("set", ["a", b"2", 0]), table.look("get", ["a"])
    ([True, 1], [False, 1], [b'1', 1])
    """

    NAMES = ("set",)
    KEYS, KEY, VALUE = 2048, 128, 16_384

    def __init__(self):
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.size = 0

    def do(self, name: str, args: list) -> Any:
        """`set` key value version: only where that is the version now (None: whatever it is; 0: no such key);
        an empty value takes the key away.  Whether it was done, and the version then."""
        if name != "set":
            raise KeyError(name)
        key, value, wanted = args
        old, version = self.rows.get(key, (b"", 0))
        grows = len(value) - len(old)
        fits = len(key) <= self.KEY and len(value) <= self.VALUE and self.size + grows <= WHOLE // 2
        fits = fits and (key in self.rows or len(self.rows) < self.KEYS)
        if wanted not in (None, version) or not fits:
            return [False, version]
        self.size += grows
        if value:
            self.rows[key] = value, version + 1
        else:
            self.rows.pop(key, None)
        return [True, version + 1 if value else 0]

    def look(self, name: str, args: list) -> Any:
        if name != "get":
            raise KeyError(name)
        return list(self.rows.get(args[0], (b"", 0)))

    def dump(self) -> Any:
        return self.rows

    def load(self, what: Any) -> None:
        self.rows = {key: (value, version) for key, (value, version) in what.items()}
        self.size = sum(len(value) for value, _ in self.rows.values())


class Machine:
    def __init__(self, **parts: Part):
        self.parts: dict[str, Part] = {"table": Table(), **parts}
        self.answers: OrderedDict[str, dict[int, Any]] = OrderedDict()

    def apply(self, data: bytes) -> Any:
        """The answer to the command in an entry.  [client, number, part, name, args]."""
        try:
            what = msgspec.msgpack.decode(data)
        except msgspec.MsgspecError:
            what = None
        if not isinstance(what, list) or not self.knows(what):
            raise NewerError(f"an entry that we do not know: {str(what)[:80]}")
        client, number, part, name, args = what
        known = self.answers.setdefault(client, {})
        self.answers.move_to_end(client)
        if number in known:
            return known[number]
        if known and number < min(known) and len(known) >= ANSWERS:
            return None  # so old that nobody waits for it: done or not, it is not done again
        try:
            answer = self.parts[part].do(name, args)
        except Exception:  # guards the group: what can't be done so is done at no member, and none stops
            answer = None
        known[number] = answer
        while len(known) > ANSWERS:
            del known[min(known)]
        while len(self.answers) > CLIENTS:
            self.answers.popitem(last=False)
        return answer

    def knows(self, what: list) -> bool:
        """Whether a command can be made an entry of: one that is not known would stop every member."""
        if len(what) != 5:
            return False
        client, number, part, name, args = what
        sound = isinstance(client, str) and len(client) <= 160 and isinstance(number, int)
        known = isinstance(part, str) and part in self.parts and name in self.parts[part].NAMES
        return sound and known and isinstance(args, list)

    def look(self, part: str, name: str, args: list) -> Any:
        return self.parts[part].look(name, args)

    def dump(self) -> bytes:
        parts = {name: part.dump() for name, part in self.parts.items()}
        answers = [[client, [*known.items()]] for client, known in self.answers.items()]
        return msgspec.msgpack.encode([VERSION, parts, answers])

    def load(self, data: bytes) -> None:
        """From a snapshot; an empty one is the state at the beginning."""
        version, parts, answers = msgspec.msgpack.decode(data) if data else (VERSION, {}, [])
        if version != VERSION or {*parts} - {*self.parts}:
            raise NewerError(f"a snapshot of version {version} with {', '.join(parts)}")
        for name, part in self.parts.items():
            part.load(parts.get(name, {}))
        self.answers = OrderedDict((client, dict(known)) for client, known in answers)
