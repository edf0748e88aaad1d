"""The error of this package."""

from __future__ import annotations


class ConfigurationError(ValueError):
    """The configuration can't be used; the message is one line that names the key at fault."""
