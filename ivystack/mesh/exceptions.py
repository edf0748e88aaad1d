"""Errors raised by the mesh package."""

from __future__ import annotations


class MeshError(Exception):
    """Base class of the errors raised by the mesh package."""


class KeyFileError(MeshError, ValueError):
    """The key file cannot be used; the message is one line with the reason."""
