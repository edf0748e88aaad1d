"""The keys that messages between proxies are signed with.

Owns the key file's form and its checks, and the digest.  It must never log a key, or take a file that others
may read.
"""

from __future__ import annotations

import hmac
import os
import secrets
import stat
from hashlib import blake2b
from pathlib import Path

SIZE = 32  # bytes of a key
DIGEST = 16  # bytes: forging one takes 2^128 tries
MOST = 2  # valid at once: one to sign with, the one before or after it


class KeyFileError(ValueError):
    """The key file can't be used; says in one line why."""


class Keys:
    """Up to two keys by their ids; the first signs, all are accepted."""

    def __init__(self, keys: dict[str, bytes]):
        self.keys = keys
        self.first = next(iter(keys))

    def sign(self, *parts: bytes) -> bytes:
        return digest(self.keys[self.first], parts)

    def signer(self, made: bytes, *parts: bytes) -> str | None:
        """The id of the key that this digest was made with; None if it was none of ours."""
        for ident, key in self.keys.items():
            if hmac.compare_digest(made, digest(key, parts)):
                return ident
        return None


def digest(key: bytes, parts: tuple[bytes, ...]) -> bytes:
    """Over the parts with their lengths, so that no two lists of parts are alike."""
    made = blake2b(key=key, digest_size=DIGEST)
    for part in parts:
        made.update(len(part).to_bytes(4, "big"))
        made.update(part)
    return made.digest()


def read(path: str | Path) -> Keys:
    """Each line an id and a key in hexadecimal; `#` begins a comment."""
    try:
        with open(path, encoding="ascii") as file:
            about = os.fstat(file.fileno())
            text = file.read(4096)
    except (OSError, UnicodeDecodeError) as fault:
        raise KeyFileError(f"{path}: {getattr(fault, 'strerror', None) or 'no plain text'}") from None
    if not stat.S_ISREG(about.st_mode):
        raise KeyFileError(f"{path}: no file")
    if about.st_mode & 0o077:
        mode = about.st_mode & 0o777
        raise KeyFileError(f"{path}: others may read or change it (mode {mode:o}, wanted 600)")
    if about.st_uid != os.geteuid():
        raise KeyFileError(f"{path}: it belongs to another user")
    keys: dict[str, bytes] = {}
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        try:
            ident, key = words
            keys[ident] = bytes.fromhex(key)
        except ValueError:
            raise KeyFileError(f"{path}: line {number}: wanted an id and a key in hexadecimal") from None
        if len(keys[ident]) != SIZE:
            raise KeyFileError(f"{path}: line {number}: a key has {SIZE} bytes, not {len(keys[ident])}")
    if not 1 <= len(keys) <= MOST:
        raise KeyFileError(f"{path}: wanted one or two keys, got {len(keys)}")
    return Keys(keys)


def write(path: str | Path, ident: str) -> None:
    """A new file with one new key; never over one that is there."""
    made = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(made, "w") as file:
        file.write(f"{ident} {secrets.token_hex(SIZE)}\n")
