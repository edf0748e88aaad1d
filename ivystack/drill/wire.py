"""The simulator's wire: lines in, calls to the decisions, lines out.  Keeps timers and requests in hand."""

from __future__ import annotations

from base64 import b64decode, b64encode

import orjson

from ..model import (
    Attempt,
    CloseIdleConnections,
    Decision,
    Done,
    Fail,
    Outcome,
    Reject,
    Request,
    Send,
    SendGossip,
    Server,
    ServerState,
    usable_figures,
)
from ..configuration.instance import InstanceConfiguration
from ..configuration.schema import microseconds

ENDINGS = {
    "completed": Outcome.SUCCEEDED,
    "errored": Outcome.ERROR,
    "saturated": Outcome.OVERLOADED,
    "overdue": Outcome.TIMED_OUT,
    "refused_conn": Outcome.CONNECTION_REFUSED,
    "severed": Outcome.CONNECTION_LOST,
    "recalled": Outcome.CANCELLED,
    "superseded": Outcome.NOT_SENT,
    "lookup_miss": Outcome.CACHE_MISS,
}
STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}


class BadLineError(Exception):
    """What came is not the wire's."""


class GaveInError(Exception):
    """The decisions of one instance failed."""


def decided(call, *values):
    """What a call of the decisions answers; its failure is told apart from a line that can't be read."""
    try:
        return call(*values)
    except Exception as fault:
        raise GaveInError(f"{type(fault).__name__}: {fault}") from fault


class Instance:
    """One proxy: its decisions, its requests in hand, its timers."""

    def __init__(self, name: str, seed: int, config: dict, now: int):
        self.name = name
        self.settings = InstanceConfiguration(seed, config)
        self.balancer = self.settings.balancer
        self.requests: dict[int, Request] = {}
        self.refs: dict[Request, int] = {}
        self.timer_at: int | None = None
        self.out: list[list] = []
        self.calling = False  # a call for the list is out
        self.poll_backoff = self.settings.poll_backoff if self.settings.settings.discovery == "ask" else None
        if self.poll_backoff:
            self.poll_backoff.next_at = now

    def ask(
        self,
        now,
        ref,
        method,
        tenant=None,
        key=None,
        deadline=None,
        hint=None,
        size=None,
        repeat=False,
        write=False,
        *_,
    ):
        method = self.settings.request_classes.get(method)
        if method is None or deadline is None or ref in self.requests or not isinstance(key, int | None):
            raise BadLineError("a request of an unknown method, without an end, or with an id used before")
        tenant = self.settings.tenants.get(tenant) if isinstance(tenant, str) else None
        request = Request(method, now, microseconds(deadline), key, tenant, bool(write), bool(repeat))
        self.requests[ref] = request
        self.refs[request] = ref
        self.carry(request, decided(self.balancer.route, request, now))

    def act(self, action: Request | SendGossip | CloseIdleConnections, now: int) -> None:
        """Writes what is due now, or asks for and writes the decision on a request."""
        match action:
            case SendGossip(peer, datagram):
                self.out.append(["ANNOUNCE", self.name, peer, b64encode(datagram).decode()])
            case CloseIdleConnections(server):
                self.out.append(["RELEASE", self.name, server.name])
            case request:
                self.carry(request, decided(self.balancer.route, request, now))

    def carry(self, request: Request, decision: Decision) -> None:
        """Writes what a decision says."""
        ref = self.refs.get(request)
        match decision:
            case Send(server, timeout_at):
                self.out.append(["TRANSMIT", self.name, ref, timeout_at * 1000, server.name])
            case Reject(retry_after):
                self.out.append(["DENY", self.name, ref, retry_after * 1000])
                self.close(request)
            case Fail():
                self.out.append(["LOSE", self.name, ref])
                self.close(request)
            case Done():
                self.close(request)

    def close(self, request: Request) -> None:
        request.concluded = True
        if all(attempt.outcome is not None for attempt in request.attempts):
            ref = self.refs.pop(request, None)
            self.requests.pop(ref, None)

    def finished(self, now, ref, number, node, ending, delay=None, last=False, info=None, told=None, *_):
        request = self.requests.get(ref)
        if request is None or not 0 <= number < len(request.attempts) or ending not in ENDINGS:
            raise BadLineError("an ending of an attempt that was never made, or of no known kind")
        attempt = request.attempts[number]
        if attempt.outcome is not None:
            raise BadLineError("a second ending of one attempt")
        if last:
            request.concluded = True
        load = usable_figures(told, self.settings.columns)
        outcome = decided(self.balancer.record_outcome, attempt, ENDINGS[ending], now, load, info == 1)
        self.call_off(request, outcome.cancel)
        self.carry(request, Done() if request.concluded else outcome.decision)

    def call_off(self, request: Request, off: list[Attempt]) -> None:
        for attempt in off:
            self.out.append(["CANCEL", self.name, self.refs[request], request.attempts.index(attempt)])

    def client_gone(self, now, ref, *_):
        request = self.requests.get(ref)
        if request is None or request.concluded:
            return  # we ended it a moment ago
        request.concluded = True
        if request.attempts:
            self.call_off(request, decided(self.balancer.client_gone, request))
        self.close(request)

    def listed(self, now, entries, how):
        calling, self.calling = self.calling, self.calling and how == "C"
        if how == "X":
            if self.poll_backoff:
                self.poll_backoff.record_failure(now)
            return
        if calling and how != "C":
            self.poll_backoff.failures = 0
        servers = []
        for flavor, name, share, bay, mode, zone, came_up, *_ in entries:
            servers.append(
                Server(
                    name,
                    self.settings.kinds.get(flavor, -2),
                    share or 0.0,  # null tells nothing
                    zone or "",
                    bay or 0,
                    STATES[mode],
                    microseconds(came_up),
                )
            )
        decided(self.balancer.update_endpoints, servers, how != "D", now)

    def settle(self, now: int) -> None:
        """After the events of a batch: what is due now, and a timer for what is due next."""
        while True:
            wakeup = decided(self.balancer.next_wakeup, now)
            if not wakeup.due:
                break
            for action in wakeup.due:
                self.act(action, now)
        rest = wakeup.delay
        if self.poll_backoff and self.poll_backoff.take_due_call(now):
            self.calling = True
            self.out.append(["WATCH", self.name, True])
        if self.poll_backoff and self.poll_backoff.next_at is not None:
            until = self.poll_backoff.next_at - now
            rest = until if rest is None else min(rest, until)
        if rest is not None:
            at = now + max(rest, 1)
            if self.timer_at is None or at < self.timer_at or self.timer_at <= now:
                self.timer_at = at
                self.out.append(["SET_TIMER", self.name, max(rest, 1) * 1000, at])


class Wire:
    def __init__(self):
        self.instances: dict[str, Instance] = {}
        self.sheets: dict[int, list] = {}
        self.now: int | None = None
        self.touched: dict[str, Instance] = {}
        self.lines: list[list] = []
        self.lost: set[str] = set()  # instances whose decisions failed: nothing more is asked of them

    def line(self, line: bytes) -> bytes | None:
        try:
            message = orjson.loads(line)
        except orjson.JSONDecodeError as fault:
            raise BadLineError(f"not JSON: {fault}") from None
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise BadLineError("not an array that begins with a name")
        name, *values = message
        try:
            if name == "TURN":
                self.now = microseconds(values[0])
            elif self.now is None:
                raise BadLineError(f"{name} outside a batch")
            elif name == "END":
                return self.end()
            elif name == "REGISTER":
                self.sheets[values[0]] = values[1]
            else:
                self.event(name, *values)
        except GaveInError as fault:
            self.given_in(values[0], fault)
        except (TypeError, ValueError, KeyError, IndexError, AttributeError) as fault:
            raise BadLineError(f"{name}: {type(fault).__name__}: {fault}") from None
        return None

    def given_in(self, proxy: str, fault: GaveInError) -> None:
        self.lines.append(["GIVE_IN", proxy, str(fault)])
        self.lost.add(proxy)
        self.touched.pop(proxy, None)

    def event(self, name: str, proxy: str, *values) -> None:
        if proxy in self.lost:
            return
        if name == "UP":
            self.touched[proxy] = self.instances[proxy] = Instance(proxy, *values[:2], self.now)
            return
        instance = self.instances.get(proxy)
        if name == "KILLED":
            self.instances.pop(proxy, None)
            self.touched.pop(proxy, None)
            return
        if instance is None:
            raise BadLineError(f"{name} for a proxy that is not up")
        self.touched[proxy] = instance
        if name == "ASK":
            instance.ask(self.now, *values)
        elif name == "FINISHED":
            instance.finished(self.now, *values)
        elif name == "MEMBERS":
            sheet, how, *_ = values
            if how not in ("D", "F", "C", "X"):
                raise BadLineError("a list of no known kind")
            instance.listed(self.now, [] if how == "X" else self.sheets[sheet], how)
        elif name == "CANCELLED_BY_CLIENT":
            instance.client_gone(self.now, *values)
        elif name == "INBOX":
            decided(instance.balancer.receive_gossip, b64decode(values[1]), self.now)
        elif name not in ("TIMER", "CHECKED", "BEGUN"):
            raise BadLineError(f"no such event: {name}")

    def end(self) -> bytes:
        lines = self.lines
        self.lines = []
        for proxy, instance in list(self.touched.items()):
            try:
                instance.settle(self.now)
            except GaveInError as fault:
                self.given_in(proxy, fault)
            lines += instance.out
            instance.out = []
        lines += self.lines
        self.lines = []
        self.touched.clear()
        self.now = None
        lines.append(["FINISHED"])
        return b"".join(orjson.dumps(line) + b"\n" for line in lines)
