"""The memory of this process as a whole: what it takes at its start, and what it returns to the system.

Imports nothing but what Python itself has loaded, as it is used before the libraries are imported.
"""

from __future__ import annotations

import os
import sys

# Libraries import these if they can, and do without them otherwise.  The proxy has no TLS, and hashes with
# BLAKE2 alone, which needs no OpenSSL.
UNUSED_MODULES = ("ssl", "_ssl", "_hashlib")


def leave_out_unused_modules() -> None:
    """Make further imports of the unused modules fail, unless they were imported already."""
    modules: dict[str, object] = sys.modules  # type: ignore[assignment]  # None makes an import fail
    for name in UNUSED_MODULES:
        modules.setdefault(name, None)


def return_free_memory() -> None:
    """Return memory that is allocated and not used to the system, where the C library can do so."""
    import ctypes

    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError):  # another C library than glibc
        return


def resident_bytes() -> int:
    """Return the bytes of memory that this process uses, or 0 if the system does not tell."""
    try:
        with open("/proc/self/statm") as statm:
            pages = int(statm.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
