"""Errors raised by this package."""

from __future__ import annotations


class MeshError(Exception):
    """Base of the errors raised by this package."""


class KeyFileError(MeshError, ValueError):
    """The key file cannot be used; says in one line why."""
