"""Errors raised by this package."""

from __future__ import annotations


class DutyError(Exception):
    """Base of the errors raised by this package."""


class UnknownDutyError(DutyError, ValueError):
    """A request names a duty that this version does not know."""


class UnknownLeaseRequestError(DutyError, KeyError):
    """A request to the lease table has a name that this version does not know."""
