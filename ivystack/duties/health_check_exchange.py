"""Messages of the health check duty: who asks for checks, and how their results reach every proxy.

Not every proxy has a link to the holder, but each has one to every member of the group, so members relay.
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
REQUEST_INTERVAL = 1_000_000  # microseconds between our requests for checks


class HealthCheckExchange:
    """Runs the duty as its holder; otherwise requests checks, relays messages and applies results."""

    def __init__(
        self,
        duty: HealthCheckDuty,
        mesh: Mesh,
        holder: LeaseHolder,
        fencing: FencingTokens,
        now: Callable[[], int],
        holder_name: Callable[[], str],
    ) -> None:
        """Register for the duty's messages.

        :param now: the clock, in microseconds.
        :param holder_name: gives the proxy that holds the duty as last announced, empty if none is known.
        """
        self.duty, self.mesh, self.holder, self.fencing = duty, mesh, holder, fencing
        self.now, self.holder_name = now, holder_name
        self.is_member = False  # whether this process belongs to the consensus group, and so relays
        self.next_request = 0
        mesh.handlers[MessageKind.SERVERS_DOWN.value] = self.servers_down_received
        mesh.handlers[MessageKind.HEALTH_CHECK_RESULTS.value] = self.results_received

    def tick(self, now: int) -> None:
        """Check and announce as the holder, or request checks of what is down here."""
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
        """Tell the holder which servers are down here, by a link or through the members."""
        holder = self.holder_name()
        if holder and not self.mesh.send(holder, MessageKind.SERVERS_DOWN.value, down):
            for peer in self.mesh.members:
                self.mesh.send(peer, MessageKind.SERVERS_DOWN.value, down)

    def servers_down_received(self, sender: str, body: Any) -> None:
        """Note a request for checks as the holder, or relay it to the holder as a member.

        :raises msgspec.ValidationError: the body is not a list of names.
        """
        names = msgspec.convert(body, ServersDown)
        if self.holder.held_token(DUTY, self.now()):
            self.duty.request(names, self.now())
        elif self.is_member and sender not in self.mesh.members:
            down = names[:MAX_SERVERS_PER_MESSAGE]
            self.mesh.send(self.holder_name(), MessageKind.SERVERS_DOWN.value, down)

    def _announce(self, received_from: str | None, results: HealthCheckResults) -> None:
        """Apply results here and send them on.

        The holder (`received_from` None) sends them on every link.  A member relays them to proxies outside
        the group: the members have them from the holder or from another member.
        """
        unreachable = sum(not reached for reached in results.reached.values())
        message = "duty: health checks done duty={} token={} reached={} unreachable={}"
        logger.debug(message, DUTY, results.token, len(results.reached) - unreachable, unreachable)
        self.duty.apply_results(results.reached, self.now())
        for peer in [*self.mesh.peers]:
            if peer != received_from and (received_from is None or peer not in self.mesh.members):
                self.mesh.send(peer, MessageKind.HEALTH_CHECK_RESULTS.value, results)

    def results_received(self, sender: str, body: Any) -> None:
        """Apply results of the holder, received directly or through a member, under the announced token.

        :raises msgspec.ValidationError: the body has another shape.
        """
        results = msgspec.convert(body, HealthCheckResults)
        holder = self.holder_name()
        if sender != holder and sender not in self.mesh.members:
            return self.mesh.count_drop(DropCode.NOT_ALLOWED, sender)
        if len(results.reached) > MAX_SERVERS_PER_MESSAGE or not self.fencing.accept(DUTY, results.token):
            return None
        if self.is_member and sender == holder and holder not in self.mesh.members:
            return self._announce(sender, results)  # it has links to the members alone
        return self.duty.apply_results(results.reached, self.now())
