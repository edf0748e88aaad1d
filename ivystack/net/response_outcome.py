"""Classification of cache servers' responses as outcomes (docs/PROTOCOL, the servers' table)."""

from __future__ import annotations

from ..model import Outcome
from .resp import StreamedValue

ANSWER_PARTS = 3  # the value, whether it was a hit, and the load report
EXPECTED_ERROR = "-ERR failed"  # any other error response is logged


def outcome_of_response(response: object, cache_aside: bool = False) -> Outcome | None:
    """Return the outcome that a response proves, or None if the protocol does not define the response.

    :param response: a value as read by `resp.RespProtocol`
    :param cache_aside: servers report a missing value and do not fetch it themselves.  Without this, servers
        read through, and a response without a value proves nothing.

    >>> answers = [b"value", b"hit", None], "-BUSY", "-ERR failed"
    >>> [str(outcome_of_response(answer)) for answer in answers]
    ['succeeded', 'overloaded', 'error']
    >>> [str(outcome_of_response(answer)) for answer in ("-ERR bad request", [b"value"], ":5", None)]
    ['invalid-request', 'None', 'None', 'None']
    >>> [str(outcome_of_response([None, b"miss", None], aside)) for aside in (False, True)]
    ['None', 'cache-miss']
    """
    if isinstance(response, list):
        return _outcome_of_array(response, cache_aside)
    if not isinstance(response, str) or not response.startswith("-"):
        return None
    if response.startswith(("-ERR bad", "-SYNTAX")):
        return Outcome.INVALID_REQUEST
    return Outcome.OVERLOADED if response.split(" ")[0] == "-BUSY" else Outcome.ERROR


def _outcome_of_array(parts: list[object], cache_aside: bool) -> Outcome | None:
    if len(parts) != ANSWER_PARTS or not isinstance(parts[1], bytes | None):
        return None
    value, lookup_result = parts[:2]
    if isinstance(value, bytes | StreamedValue):
        return Outcome.SUCCEEDED
    return Outcome.CACHE_MISS if cache_aside and value is None and lookup_result == b"miss" else None


def is_unexpected_error(outcome: Outcome, response: object) -> bool:
    """Return whether a response is an error that may be the answer to another command than a request."""
    return outcome in (Outcome.ERROR, Outcome.INVALID_REQUEST) and response != EXPECTED_ERROR
