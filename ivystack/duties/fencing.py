"""Fencing tokens, which decide whether this proxy still accepts an action under a duty."""

from __future__ import annotations


class FencingTokens:
    """The token of each duty as last announced by the group, and the highest token accepted here.

    An action is accepted only if its token is not lower than the last accepted token and not higher than the
    announced token.
    """

    def __init__(self) -> None:
        self.announced: dict[str, int] = {}
        self.accepted: dict[str, int] = {}

    def announce(self, duty: str, token: int) -> None:
        """Record the current token of a duty, as announced by a member of the group."""
        self.announced[duty] = token

    def accept(self, duty: str, token: int) -> bool:
        """Return whether an action under `token` is accepted; if so, lower tokens are refused afterwards."""
        if not self.accepted.get(duty, 1) <= token <= self.announced.get(duty, 0):
            return False
        self.accepted[duty] = token
        return True
