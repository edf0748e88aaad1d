"""Fencing tokens: which actions under a duty this proxy still accepts."""

from __future__ import annotations


class FencingTokens:
    """The current token of each duty as the group announced it, and the highest token accepted here.

    An action is accepted only if its token is no lower than the last accepted one and no higher than the
    announced one.
    """

    def __init__(self) -> None:
        self.announced: dict[str, int] = {}
        self.accepted: dict[str, int] = {}

    def announce(self, duty: str, token: int) -> None:
        """Record the token that a member of the group announced as the current one."""
        self.announced[duty] = token

    def accept(self, duty: str, token: int) -> bool:
        """Return whether an action under `token` may be taken; if so, older tokens are refused afterwards."""
        if not self.accepted.get(duty, 1) <= token <= self.announced.get(duty, 0):
            return False
        self.accepted[duty] = token
        return True
