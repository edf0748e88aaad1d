"""Asks the consensus group, from any proxy.

Owns what is asked and not answered yet.  It must never do a command twice, hold more than its bound, or give
an answer that did not come from the group.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from ..net.deadlines import Deadline

MOST = 64  # that wait at once
AT_ONCE = 4  # commands from the oldest that waits on: the group keeps so many answers of each of us
ANSWER = 1_000_000  # microseconds for one member to answer before another is asked
REST = 50_000  # before it is asked again who leads, by chance up to twice that

answer_of = tuple[int, bool, Any]


class Asked:
    __slots__ = ("number", "how", "what", "done", "until", "timer", "to", "command")

    def __init__(self, number: int, how: str, what: list, done: Callable, until: int):
        self.number, self.how, self.what, self.done, self.until = number, how, what, done, until
        self.timer: Deadline | None = None
        self.to = ""
        self.command = 0  # its number among our commands; 0: it is none


class Client:
    def __init__(self, deadlines, now, rng: Random, mesh, members: list[str]):
        self.deadlines, self.now, self.rng, self.mesh, self.members = deadlines, now, rng, mesh, members
        self.local = None
        self.leader = ""
        self.number = self.commands = 0
        self.open: dict[int, Asked] = {}
        mesh.takers["answer"] = self.answered

    def with_own(self, member) -> None:
        """Our own process is a member: it is asked without a link."""
        self.local, member.answer = member, self.own_answer

    def do(self, part: str, name: str, args: list, done: Callable[[bool, Any], None], within: int) -> bool:
        """A command; `done(True, answer)` once it has been done, `done(False, None)` where that is not known
        within so many microseconds: it may be done, or may yet.  False: too many wait, nothing is asked."""
        return self.ask("do", [part, name, args], done, within)

    def look(self, part: str, name: str, args: list, done: Callable[[bool, Any], None], within: int) -> bool:
        """The state now, or after."""
        return self.ask("look", [part, name, args], done, within)

    def ask(self, how: str, what: list, done: Callable, within: int) -> bool:
        if len(self.open) >= MOST:
            return False
        self.number += 1
        asked = self.open[self.number] = Asked(self.number, how, what, done, self.now() + within)
        if how == "do":
            self.commands += 1
            asked.command = self.commands
            asked.what = [f"{self.mesh.name}/{self.mesh.life}", self.commands, *what]
        self.next(asked)
        return True

    def next(self, asked: Asked) -> None:
        """Sends it to whoever is thought to lead, else to another."""
        if asked.number not in self.open:
            return
        now = self.now()
        if now >= asked.until:
            return self.end(asked, False, None)
        wait = ANSWER
        # Guards against being taken for a repeat that nobody waits for: the group keeps few answers.
        first = min((one.command for one in self.open.values() if one.command), default=0)
        if asked.command >= first + AT_ONCE:
            wait = REST
        else:
            able = [one for one in self.members if one != asked.to]
            asked.to = self.leader if self.leader in self.members else self.rng.choice(able or self.members)
            if not self.send(asked):
                self.leader = ""
                wait = REST
        asked.timer = self.deadlines.call_at(min(asked.until, now + wait), self.late, asked)

    def send(self, asked: Asked) -> bool:
        body = (asked.number, asked.how, asked.what)
        if self.local is not None and asked.to == self.mesh.name:
            # In a turn of its own: the answer may come within the call.
            self.deadlines.call_at(self.now(), self.local.asked, asked.to, body, True)
            return True
        return self.mesh.say(asked.to, "ask", body)

    def late(self, asked: Asked) -> None:
        if asked.to == self.leader:
            self.leader = ""
        self.next(asked)

    def own_answer(self, asker: tuple, number: int, done: bool, what: Any) -> None:
        if asker[1] is None:
            self.take(self.mesh.name, number, done, what)
        else:
            self.local.say_answer(asker, number, done, what)

    def answered(self, frm: str, body: Any) -> None:
        if frm in self.members:
            self.take(frm, *msgspec.convert(body, answer_of))

    def take(self, frm: str, number: int, done: bool, what: Any) -> None:
        asked = self.open.get(number)
        if asked is None or frm != asked.to:
            return
        if done:
            self.leader = frm
            return self.end(asked, True, what)
        self.leader = what if isinstance(what, str) and what in self.members and what != frm else ""
        if asked.timer is not None:
            asked.timer.cancel()
        rest = REST // 10 if self.leader else int(REST * (1 + self.rng.random()))
        asked.timer = self.deadlines.call_at(self.now() + rest, self.next, asked)

    def end(self, asked: Asked, done: bool, what: Any) -> None:
        if asked.timer is not None:
            asked.timer.cancel()
        self.open.pop(asked.number, None)
        asked.done(done, what)
