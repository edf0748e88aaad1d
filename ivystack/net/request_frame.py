"""Parsing and forwarding of clients' request commands.

The commands are `OBJ.GET key id fields` and `OBJ.SET key id fields value`, where `fields` are comma-separated
`name=value` pairs.  The proxy reads the fields `c` (request class), `d` (client's timeout in milliseconds),
`t` (tenant) and `r` (whether this is the client's retry), and forwards all others unchanged.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from .resp import encode_bulk

READ_ARGUMENTS = 4  # the command's name, key, id and fields
WRITE_ARGUMENTS = 5  # the same four and the value
IS_WRITE = {b"OBJ.GET": False, b"OBJ.SET": True}  # by command name
TIMEOUT_FIELD = re.compile(rb"(?:^|,)d=(\d{1,9})(?=,|$)")

WRONG_ARGUMENT_COUNT = b"-ERR wrong number of arguments\r\n"
CLASS_OR_TIMEOUT_MISSING = b"-ERR a class c= and a wait d= are wanted\r\n"
KEY_OR_ID_MISSING = b"-ERR a key and an id are wanted\r\n"
ID_IN_USE = b"-ERR the id is in use\r\n"


class RequestFrame:
    """The command of a request as received, which can be encoded with another timeout.

    :param arguments: the command's name and arguments
    :param timeout_span: the start and end of the digits of `d` in the fields
    :param streamed_size: the bytes of a value that is streamed after the frame, or 0 without a streamed value
    """

    __slots__ = ("request_id", "_before", "_fields_before", "_fields_after", "_value")

    def __init__(self, arguments: list[bytes], timeout_span: tuple[int, int], streamed_size: int = 0) -> None:
        self.request_id = arguments[2]
        header = b"*%d\r\n" % (len(arguments) + bool(streamed_size))
        self._before = header + b"".join(map(encode_bulk, arguments[:3]))
        self._fields_before = arguments[3][: timeout_span[0]]
        self._fields_after = arguments[3][timeout_span[1] :]
        if streamed_size:
            self._value = b"$%d\r\n" % streamed_size
        else:
            self._value = encode_bulk(arguments[4]) if len(arguments) > 4 else b""

    def encode(self, timeout_ms: int) -> list[bytes]:
        """Return the command for a server, in parts, with the remaining time in milliseconds."""
        fields = b"%b%d%b" % (self._fields_before, timeout_ms, self._fields_after)
        return [self._before, encode_bulk(fields), self._value]


class RequestFields(NamedTuple):
    """The fields of a request that the proxy reads."""

    class_name: bytes | None
    tenant_name: bytes | None
    timeout_ms: int | None
    timeout_span: tuple[int, int]  # start and end of the timeout's digits
    is_client_retry: bool


def parse_fields(text: bytes) -> RequestFields:
    """Return the fields of a request; a field that is missing or malformed is None.

    >>> fields = parse_fields(b"c=read,d=480,k=d=9")
    >>> fields.class_name, fields.tenant_name, fields.timeout_ms, fields.timeout_span
    (b'read', None, 480, (9, 12))
    """
    timeout = TIMEOUT_FIELD.search(text)
    pairs = [field.partition(b"=") for field in text.split(b",")]
    fields = {name: value for name, _, value in pairs}
    return RequestFields(
        class_name=fields.get(b"c"),
        tenant_name=fields.get(b"t"),
        timeout_ms=int(timeout[1]) if timeout else None,
        timeout_span=timeout.span(1) if timeout else (0, 0),
        is_client_retry=fields.get(b"r") == b"1",
    )


def parse_key(text: bytes) -> int:
    """Return the number of a key, which all proxies compute in the same way.

    A hexadecimal key is its value; any other key is the number that its bytes form after a byte of 1.

    >>> parse_key(b"ff"), parse_key(b"x")
    (255, 376)
    """
    try:
        return int(text, 16)
    except ValueError:
        return int.from_bytes(b"\1" + text, "big")
