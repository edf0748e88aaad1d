"""Messages of the health check duty: requests for checks, and the results for every proxy.

Members of the group relay these messages, because not every proxy has a link to the holder, but every proxy
has links to all members.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from loguru import logger

from ..mesh.mesh import Mesh
from ..mesh.protocol import DropCode
from .fencing import FencingTokens
from .health_check_duty import HealthCheckDuty
from .lease_holder import LeaseHolder
from .protocol import MAX_SERVERS_PER_MESSAGE, DutyName, HealthCheckResults, MessageKind, ServersDown

DUTY = DutyName.HEALTH_CHECKS.value
REQUEST_INTERVAL = 1_000_000  # microseconds between two requests for checks


class HealthCheckExchange:
    """Runs the checks as the holder; otherwise requests checks, relays messages and applies results."""

    def __init__(
        self,
        duty: HealthCheckDuty,
        mesh: Mesh,
        holder: LeaseHolder,
        fencing: FencingTokens,
        now: Callable[[], int],
        holder_name: Callable[[], str],
    ) -> None:
        """Register the handlers of the duty's messages with the mesh.

        :param now: returns the current time in microseconds.
        :param holder_name: returns the name of the proxy that holds the duty according to the last
            announcement, empty if no holder is known.
        """
        self.duty, self.mesh, self.holder, self.fencing = duty, mesh, holder, fencing
        self.now, self.holder_name = now, holder_name
        self.is_member = False  # whether this process is a member of the consensus group and relays messages
        self.next_request = 0  # earliest time of the next request for checks, in microseconds
        mesh.handlers[MessageKind.SERVERS_DOWN.value] = self.servers_down_received
        mesh.handlers[MessageKind.HEALTH_CHECK_RESULTS.value] = self.results_received

    def tick(self, now: int) -> None:
        """Run checks and announce results as the holder, or request checks of unhealthy servers."""
        token = self.holder.held_token(DUTY, now)
        if token:
            self.duty.run_checks(now, lambda: self._holds(token))
            reached = self.duty.take_results()
            if reached and self._holds(token):
                self._announce(None, HealthCheckResults(token, reached))
        elif now >= self.next_request and (down := self.duty.servers.ready_unhealthy_names()):
            self.next_request = now + REQUEST_INTERVAL
            self._request_checks(down)

    def _holds(self, token: int) -> bool:
        return self.holder.held_token(DUTY, self.now()) == token

    def _request_checks(self, down: ServersDown) -> None:
        """Send the names of unhealthy servers to the holder, directly or through the members."""
        holder = self.holder_name()
        if holder and not self.mesh.send(holder, MessageKind.SERVERS_DOWN.value, down):
            for peer in self.mesh.members:
                self.mesh.send(peer, MessageKind.SERVERS_DOWN.value, down)

    def servers_down_received(self, sender: str, body: Any) -> None:
        """Record a request for checks as the holder, or relay it to the holder as a member.

        :raises msgspec.ValidationError: the body is not a list of server names.
        """
        names = msgspec.convert(body, ServersDown)
        if self.holder.held_token(DUTY, self.now()):
            self.duty.record_request(names, self.now())
        elif self.is_member and sender not in self.mesh.members:
            down = names[:MAX_SERVERS_PER_MESSAGE]
            self.mesh.send(self.holder_name(), MessageKind.SERVERS_DOWN.value, down)

    def _announce(self, received_from: str | None, results: HealthCheckResults) -> None:
        """Apply results here and send them to other proxies.

        The holder sends its results on every link.  A member relays received results only to proxies outside
        the group, because the members get them from the holder or from another member.

        :param received_from: the peer that sent the results; None if this process is the holder.
        """
        unreachable = sum(not reached for reached in results.reached.values())
        message = "duty: health checks done duty={} token={} reached={} unreachable={}"
        logger.debug(message, DUTY, results.token, len(results.reached) - unreachable, unreachable)
        self.duty.apply_results(results.reached, self.now())
        for peer in [*self.mesh.peers]:
            if peer != received_from and (received_from is None or peer not in self.mesh.members):
                self.mesh.send(peer, MessageKind.HEALTH_CHECK_RESULTS.value, results)

    def results_received(self, sender: str, body: Any) -> None:
        """Apply the holder's results, received directly or through a member, if their token is accepted.

        :raises msgspec.ValidationError: the body does not hold health check results.
        """
        results = msgspec.convert(body, HealthCheckResults)
        holder = self.holder_name()
        if sender != holder and sender not in self.mesh.members:
            return self.mesh.count_drop(DropCode.NOT_ALLOWED, sender)
        if len(results.reached) > MAX_SERVERS_PER_MESSAGE or not self.fencing.accept(DUTY, results.token):
            return None
        if self.is_member and sender == holder and holder not in self.mesh.members:
            return self._announce(sender, results)  # the holder has links only to members
        return self.duty.apply_results(results.reached, self.now())
