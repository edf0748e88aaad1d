"""The replicated state machine, which executes the commands of committed entries at every replica.

The state machine consists of named parts. It stores the last answers to each client, so that a retried
command is executed once. Execution must be deterministic: no clock, no random source and no order that the
entries do not define may influence it. An unknown entry stops the replica, because the states of the replicas
could differ otherwise.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, NamedTuple, Protocol

import msgspec

from .errors import UnknownEntryError

SNAPSHOT_VERSION = 1
MAX_SESSIONS = 2048  # clients with stored answers: an old and a new process of each of a thousand proxies
ANSWERS_PER_SESSION = 4  # stored for retries; also limits the commands that a client may have in flight
MAX_STATE_BYTES = 131_072  # of all parts together; a snapshot must fit a message between proxies
MAX_CLIENT_ID_LENGTH = 160


class Command(NamedTuple):
    """A command as stored in a log entry; ``number`` increases with each command of a client."""

    client: str
    number: int
    part: str
    name: str
    args: list


class Part(Protocol):
    """A part of the state machine; ``COMMANDS`` lists the commands that :meth:`execute` accepts."""

    COMMANDS: tuple[str, ...]

    def execute(self, name: str, args: list) -> Any:
        """Execute a command, which may change the state, and return the answer."""

    def query(self, name: str, args: list) -> Any:
        """Answer a query without changing the state."""

    def dump(self) -> Any:
        """Return the state as plain values, for a snapshot."""

    def load(self, dumped: Any) -> None:
        """Replace the state by the result of :meth:`dump`; an empty dict is the initial state."""


class KeyValueTable:
    """Bounded table of versioned values.

    >>> table = KeyValueTable()
    >>> table.execute("set", ["a", b"1", None]), table.execute("set", ["a", b"2", 0])
    ([True, 1], [False, 1])
    >>> table.query("get", ["a"])
    [b'1', 1]
    """

    COMMANDS: tuple[str, ...] = ("set",)
    MAX_KEYS = 2048
    MAX_KEY_LENGTH = 128
    MAX_VALUE_BYTES = 16_384

    def __init__(self) -> None:
        self.rows: dict[str, tuple[bytes, int]] = {}  # value and version by key
        self.size = 0  # bytes of all values

    def execute(self, name: str, args: list) -> Any:
        """Execute the command ``set``.

        :param args: key, value and expected version. The expected version is 0 for a key that does not
            exist; None accepts any version. An empty value deletes the key.
        :returns: whether the value was set, and the key's version afterwards.
        :raises KeyError: ``name`` is another command.
        """
        if name != "set":
            raise KeyError(name)
        key, value, expected_version = args
        old, version = self.rows.get(key, (b"", 0))
        growth = len(value) - len(old)
        fits = len(key) <= self.MAX_KEY_LENGTH and len(value) <= self.MAX_VALUE_BYTES
        fits = fits and self.size + growth <= MAX_STATE_BYTES // 2
        fits = fits and (key in self.rows or len(self.rows) < self.MAX_KEYS)
        if expected_version not in (None, version) or not fits:
            return [False, version]
        self.size += growth
        if value:
            self.rows[key] = value, version + 1
        else:
            self.rows.pop(key, None)
        return [True, version + 1 if value else 0]

    def query(self, name: str, args: list) -> Any:
        """Answer the query ``get`` for a key.

        :returns: the key's value and version; ``b""`` and 0 if the key does not exist.
        :raises KeyError: ``name`` is another query.
        """
        if name != "get":
            raise KeyError(name)
        return list(self.rows.get(args[0], (b"", 0)))

    def dump(self) -> Any:
        """Return the rows."""
        return self.rows

    def load(self, dumped: Any) -> None:
        """Replace the rows."""
        self.rows = {key: (value, version) for key, (value, version) in dumped.items()}
        self.size = sum(len(value) for value, _ in self.rows.values())


class StateMachine:
    """The parts of the state by name, and the last answers by client."""

    def __init__(self, **parts: Part) -> None:
        self.parts: dict[str, Part] = {"table": KeyValueTable(), **parts}
        self.answers: OrderedDict[str, dict[int, Any]] = OrderedDict()  # least recently used client first

    def apply(self, data: bytes) -> Any:
        """Execute the command of an entry, or return the stored answer if it was executed before.

        :returns: the answer; None for a command that failed or is older than the stored answers.
        :raises UnknownEntryError: the entry does not contain a command that this program knows.
        """
        command = self._decode(data)
        answers = self.answers.setdefault(command.client, {})
        self.answers.move_to_end(command.client)
        if command.number in answers:
            return answers[command.number]
        if answers and command.number < min(answers) and len(answers) >= ANSWERS_PER_SESSION:
            return None  # no client waits for this command any more; it must not be executed again
        try:
            answer = self.parts[command.part].execute(command.name, command.args)
        except Exception:  # the command fails at every replica in the same way and must not stop them
            answer = None
        answers[command.number] = answer
        while len(answers) > ANSWERS_PER_SESSION:
            del answers[min(answers)]
        while len(self.answers) > MAX_SESSIONS:
            self.answers.popitem(last=False)
        return answer

    def _decode(self, data: bytes) -> Command:
        try:
            fields = msgspec.msgpack.decode(data)
        except msgspec.MsgspecError:
            fields = None
        if not isinstance(fields, list) or not self.accepts(fields):
            raise UnknownEntryError(f"log entry contains an unknown command: {str(fields)[:80]}")
        return Command(*fields)

    def accepts(self, fields: list) -> bool:
        """Return whether the fields form a known command; an entry with others would stop every replica."""
        if len(fields) != 5:
            return False
        client, number, part, name, args = fields
        valid_client = isinstance(client, str) and len(client) <= MAX_CLIENT_ID_LENGTH
        known = isinstance(part, str) and part in self.parts and name in self.parts[part].COMMANDS
        return valid_client and isinstance(number, int) and known and isinstance(args, list)

    def query(self, part: str, name: str, args: list) -> Any:
        """Answer a query of a part.

        Exceptions of the part, for instance for an unknown query, are passed on.
        """
        return self.parts[part].query(name, args)

    def dump(self) -> bytes:
        """Encode the complete state, for a snapshot."""
        parts = {name: part.dump() for name, part in self.parts.items()}
        answers = [[client, [*known.items()]] for client, known in self.answers.items()]
        return msgspec.msgpack.encode([SNAPSHOT_VERSION, parts, answers])

    def load(self, data: bytes) -> None:
        """Replace the state by that of a snapshot; ``b""`` is the initial state.

        :raises UnknownEntryError: a newer version of this program wrote the snapshot.
        """
        version, parts, answers = msgspec.msgpack.decode(data) if data else (SNAPSHOT_VERSION, {}, [])
        if version != SNAPSHOT_VERSION or {*parts} - {*self.parts}:
            raise UnknownEntryError(
                f"snapshot has unknown version {version} or unknown parts: {', '.join(parts)}"
            )
        for name, part in self.parts.items():
            part.load(parts.get(name, {}))
        self.answers = OrderedDict((client, dict(known)) for client, known in answers)
