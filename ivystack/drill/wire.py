"""The simulator's wire: lines in, calls to the decisions, lines out.  Keeps timers and reqs in hand."""

from __future__ import annotations

from base64 import b64decode, b64encode

import orjson

from ..model import (
    CLIENT_GONE,
    DONE,
    ERRORED,
    FAIL,
    FULL,
    GO,
    LEAVING,
    LEFT,
    MISSED,
    NACK,
    OVERDUE,
    READY,
    RECALLED,
    REFUSED,
    SATISFIED,
    SEVERED,
    SUPERSEDED,
    Node,
    Req,
    Attempt,
    figures,
)
from ..settings import Settings, us

ENDINGS = {
    "completed": SATISFIED,
    "errored": ERRORED,
    "saturated": FULL,
    "overdue": OVERDUE,
    "refused_conn": REFUSED,
    "severed": SEVERED,
    "recalled": RECALLED,
    "superseded": SUPERSEDED,
    "lookup_miss": MISSED,
}
STATES = {"active": READY, "leaving": LEAVING, "left": LEFT}


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
    """One proxy: its decisions, its reqs in hand, its timers."""

    def __init__(self, name: str, seed: int, config: dict, now: int):
        self.name = name
        self.settings = Settings(seed, config)
        self.choice = self.settings.choice
        self.reqs: dict[int, Req] = {}
        self.refs: dict[Req, int] = {}
        self.timer_at: int | None = None
        self.out: list[list] = []
        self.calling = False  # a call for the list is out
        self.asking = self.settings.asking if self.settings.sheet.discovery == "ask" else None
        if self.asking:
            self.asking.next_at = now

    def ask(
        self,
        now,
        ref,
        method,
        tenant=None,
        key=None,
        give_up_at=None,
        hint=None,
        size=None,
        repeat=False,
        write=False,
        *_,
    ):
        method = self.settings.methods.get(method)
        if method is None or give_up_at is None or ref in self.reqs or not isinstance(key, int | None):
            raise BadLineError("a req of an unknown method, without an end, or with an id used before")
        tenant = self.settings.tenants.get(tenant) if isinstance(tenant, str) else None
        req = Req(method, now, us(give_up_at), key, tenant, bool(write), bool(repeat))
        self.reqs[ref] = req
        self.refs[req] = ref
        self.carry(req, decided(self.choice.where, req, now))

    def carry(self, req: Req, answer: tuple) -> None:
        """Writes what an answer says."""
        word, node, when = answer
        if req.saying:
            peer, words = req.saying
            self.out.append(["ANNOUNCE", self.name, peer, b64encode(words).decode()])
            return
        if req.closing:
            self.out.append(["RELEASE", self.name, node.name])
            return
        ref = self.refs.get(req)
        if word == GO:
            self.out.append(["TRANSMIT", self.name, ref, when * 1000, node.name])
        elif word == NACK:
            self.out.append(["DENY", self.name, ref, when * 1000])
            self.close(req)
        elif word == FAIL:
            self.out.append(["LOSE", self.name, ref])
            self.close(req)
        elif word == DONE:
            self.close(req)

    def close(self, req: Req) -> None:
        req.over = True
        if all(attempt.outcome is not None for attempt in req.attempts):
            ref = self.refs.pop(req, None)
            self.reqs.pop(ref, None)

    def finished(self, now, ref, number, node, ending, delay=None, last=False, info=None, told=None, *_):
        req = self.reqs.get(ref)
        if req is None or not 0 <= number < len(req.attempts) or ending not in ENDINGS:
            raise BadLineError("an ending of an attempt that was never made, or of no known kind")
        attempt = req.attempts[number]
        if attempt.outcome is not None:
            raise BadLineError("a second ending of one attempt")
        if last:
            req.over = True
        load = figures(told, self.settings.columns)
        answer, off = decided(self.choice.after, attempt, ENDINGS[ending], now, load, info == 1)
        self.call_off(req, off)
        self.carry(req, (DONE, None, 0) if req.over else answer)

    def call_off(self, req: Req, off: list[Attempt]) -> None:
        for attempt in off:
            self.out.append(["CANCEL", self.name, self.refs[req], req.attempts.index(attempt)])

    def client_gone(self, now, ref, *_):
        req = self.reqs.get(ref)
        if req is None or req.over:
            return  # we ended it a moment ago
        req.over = True
        if req.attempts:
            self.call_off(req, decided(self.choice.after, req.attempts[-1], CLIENT_GONE, now)[1])
        self.close(req)

    def listed(self, now, entries, how):
        calling, self.calling = self.calling, self.calling and how == "C"
        if how == "X":
            if self.asking:
                self.asking.failed(now)
            return
        if calling and how != "C":
            self.asking.failures = 0
        nodes = []
        for flavor, name, share, bay, mode, zone, came_up, *_ in entries:
            nodes.append(
                Node(
                    name,
                    self.settings.kinds.get(flavor, -2),
                    share or 0.0,  # null tells nothing
                    zone or "",
                    bay or 0,
                    STATES[mode],
                    us(came_up),
                )
            )
        decided(self.choice.listed, nodes, how != "D", now)

    def settle(self, now: int) -> None:
        """After the events of a batch: what is due now, and a timer for what is due next."""
        while True:
            rest, due = decided(self.choice.wait, now)
            if not due:
                break
            for req in due:
                self.carry(req, decided(self.choice.where, req, now))
        if self.asking and self.asking.due(now):
            self.calling = True
            self.out.append(["WATCH", self.name, True])
        if self.asking and self.asking.next_at is not None:
            until = self.asking.next_at - now
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
                self.now = us(values[0])
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
            decided(instance.choice.told, b64decode(values[1]), self.now)
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
