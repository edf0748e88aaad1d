"""The exception raised for a faulty configuration."""

from __future__ import annotations


class ConfigurationError(ValueError):
    """The configuration is invalid; the message is one line that names the key at fault."""
