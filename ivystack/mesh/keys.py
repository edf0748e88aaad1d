"""The shared keys that sign messages between proxies, and the key file.

Keys are never logged. A key file that other users may read is rejected.
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
DIGEST_BYTES = 16  # forging a digest takes 2^128 attempts
MAX_KEYS = 2  # valid at the same time: the signing key and its predecessor or successor
MAX_FILE_CHARS = 4096
PRIVATE_MODE = 0o600


class KeyRing:
    """Up to two keys by id. The first key signs; signatures of all keys are accepted."""

    def __init__(self, keys: dict[str, bytes]) -> None:
        self.keys = keys
        self.signing_id = next(iter(keys))

    def sign(self, *parts: bytes) -> bytes:
        """Return the signature of the parts: their digest with the signing key."""
        return digest(self.keys[self.signing_id], parts)

    def verify(self, signature: bytes, *parts: bytes) -> str | None:
        """Return the id of the key that signed the parts; None if no key of the ring matches."""
        for key_id, key in self.keys.items():
            if hmac.compare_digest(signature, digest(key, parts)):
                return key_id
        return None


def digest(key: bytes, parts: tuple[bytes, ...]) -> bytes:
    """Return a keyed digest of the parts and their lengths, which differs for different lists of parts."""
    hasher = blake2b(key=key, digest_size=DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(4, "big"))
        hasher.update(part)
    return hasher.digest()


def read_key_file(path: str | Path) -> KeyRing:
    """Read a key file, which has a key id and a hexadecimal key on each line; `#` begins a comment.

    :raises KeyFileError: the file cannot be read, is not private, or does not contain one or two keys.
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
            raise KeyFileError(f"{path}: line {number}: expected a key id and a hexadecimal key") from None
        if len(keys[key_id]) != KEY_BYTES:
            raise KeyFileError(
                f"{path}: line {number}: a key must have {KEY_BYTES} bytes, got {len(keys[key_id])}"
            )
    if not 1 <= len(keys) <= MAX_KEYS:
        raise KeyFileError(f"{path}: expected one or two keys, got {len(keys)}")
    return KeyRing(keys)


def _read_private(path: str | Path) -> str:
    """Return the text of a file that belongs to this user and that no other user may read or change."""
    try:
        with open(path, encoding="ascii") as file:
            status = os.fstat(file.fileno())
            text = file.read(MAX_FILE_CHARS)
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(
            f"{path}: {getattr(error, 'strerror', None) or 'not an ASCII text file'}"
        ) from None
    if not stat.S_ISREG(status.st_mode):
        raise KeyFileError(f"{path}: not a regular file")
    if status.st_mode & 0o077:
        mode = status.st_mode & 0o777
        raise KeyFileError(
            f"{path}: others may read or change the file (mode {mode:o}, expected {PRIVATE_MODE:o})"
        )
    if status.st_uid != os.geteuid():
        raise KeyFileError(f"{path}: the file belongs to another user")
    return text


def write_key_file(path: str | Path, key_id: str) -> None:
    """Create a key file with one new random key.

    :raises FileExistsError: the file exists already; it is not overwritten.
    :raises OSError: the file cannot be written.
    """
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, PRIVATE_MODE)
    with os.fdopen(descriptor, "w") as file:
        file.write(f"{key_id} {secrets.token_hex(KEY_BYTES)}\n")
