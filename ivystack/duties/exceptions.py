"""Errors raised by this package."""

from __future__ import annotations


class DutyError(Exception):
    """Base of the errors raised by this package."""


class UnknownDutyError(DutyError, ValueError):
    """A request names a duty that is unknown to this version."""


class UnknownLeaseRequestError(DutyError, KeyError):
    """A request to the lease table has a name that is unknown to this version."""
