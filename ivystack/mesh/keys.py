"""The shared keys that sign messages between proxies, and the file that holds them.

A key is never logged, and a key file that other users may read is refused.
"""

from __future__ import annotations

import hmac
import os
import secrets
import stat
from hashlib import blake2b
from pathlib import Path

from .exceptions import KeyFileError

KEY_BYTES = 32
DIGEST_BYTES = 16  # forging one takes 2^128 attempts
MAX_KEYS = 2  # valid at once: one to sign with, and its predecessor or successor
MAX_FILE_CHARS = 4096
PRIVATE_MODE = 0o600


class KeyRing:
    """Up to two keys by their ids; the first signs, all are accepted."""

    def __init__(self, keys: dict[str, bytes]) -> None:
        self.keys = keys
        self.signing_id = next(iter(keys))

    def sign(self, *parts: bytes) -> bytes:
        """Return the digest of the parts under the signing key."""
        return digest(self.keys[self.signing_id], parts)

    def verify(self, signature: bytes, *parts: bytes) -> str | None:
        """Return the id of the key that signed the parts; None if none of ours did."""
        for key_id, key in self.keys.items():
            if hmac.compare_digest(signature, digest(key, parts)):
                return key_id
        return None


def digest(key: bytes, parts: tuple[bytes, ...]) -> bytes:
    """Return a keyed digest over the parts and their lengths, so that no two lists of parts are alike."""
    made = blake2b(key=key, digest_size=DIGEST_BYTES)
    for part in parts:
        made.update(len(part).to_bytes(4, "big"))
        made.update(part)
    return made.digest()


def read_key_file(path: str | Path) -> KeyRing:
    """Read a key file: an id and a key in hexadecimal on each line; `#` begins a comment.

    :raises KeyFileError: the file cannot be read, is not private, or does not hold one or two keys.
    """
    text = _read_private(path)
    keys: dict[str, bytes] = {}
    for number, line in enumerate(text.splitlines(), 1):
        fields = line.partition("#")[0].split()
        if not fields:
            continue
        try:
            key_id, key = fields
            keys[key_id] = bytes.fromhex(key)
        except ValueError:
            raise KeyFileError(f"{path}: line {number}: wanted an id and a key in hexadecimal") from None
        if len(keys[key_id]) != KEY_BYTES:
            raise KeyFileError(f"{path}: line {number}: a key has {KEY_BYTES} bytes, not {len(keys[key_id])}")
    if not 1 <= len(keys) <= MAX_KEYS:
        raise KeyFileError(f"{path}: wanted one or two keys, got {len(keys)}")
    return KeyRing(keys)


def _read_private(path: str | Path) -> str:
    """Return the text of a file that is ours and that no other user may read or change."""
    try:
        with open(path, encoding="ascii") as file:
            status = os.fstat(file.fileno())
            text = file.read(MAX_FILE_CHARS)
    except (OSError, UnicodeDecodeError) as fault:
        raise KeyFileError(f"{path}: {getattr(fault, 'strerror', None) or 'no plain text'}") from None
    if not stat.S_ISREG(status.st_mode):
        raise KeyFileError(f"{path}: no file")
    if status.st_mode & 0o077:
        mode = status.st_mode & 0o777
        raise KeyFileError(f"{path}: others may read or change it (mode {mode:o}, wanted {PRIVATE_MODE:o})")
    if status.st_uid != os.geteuid():
        raise KeyFileError(f"{path}: it belongs to another user")
    return text


def write_key_file(path: str | Path, key_id: str) -> None:
    """Write a new file with one new key.

    :raises FileExistsError: there is a file already; it is never overwritten.
    :raises OSError: the file cannot be written.
    """
    made = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, PRIVATE_MODE)
    with os.fdopen(made, "w") as file:
        file.write(f"{key_id} {secrets.token_hex(KEY_BYTES)}\n")
