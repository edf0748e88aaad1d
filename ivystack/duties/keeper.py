"""What a proxy holds, and what it does to hold it: takes, renews, lets go.

Owns the holder's side of each lease.  No I/O: the clock is passed in, the group is asked through two calls.
It must never say that a duty is held past the time that it counted from before it asked.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b

PART = 3  # a lease is renewed when one in so many parts of it has passed
SPREAD = 600_000  # microseconds: the last in line comes forward so much later than the first
UNABLE = 1_000_000  # then a holder that can't do its duty lets go
SHY = 10_000_000  # and does not come forward for so long: guards against wandering on a link that flaps
WITHIN = 2_000_000  # for an answer of the group


@dataclass
class Hand:
    """One duty, as this proxy stands to it."""

    duty: str
    able: Callable[[], bool]
    token: int = 0  # ours; 0: not held
    until: int = 0
    renew_at: int = 0
    asking: bool = False
    unable_since: int | None = None
    shy_until: int = 0
    free_since: int | None = None
    heard: int | None = None  # when we asked what was answered last: proof that we hear, not only say
    left: int = 0  # the token that we let go: it is not ours again, though the group may not know yet
    told_at: int = 0  # when it was last told so


class Keeper:
    def __init__(self, who: str, lease: int, drift: float, do, look, lost: Callable[[str, int, str], None],
                 won: Callable[[str, int], None]):  # fmt: skip
        """`do` and `look` ask the group, as Client has them; `won` and `lost` are told of each change."""
        self.who, self.do, self.look, self.lost, self.won = who, do, look, lost, won
        self.lease = int(lease * (1 - drift))
        self.hands: dict[str, Hand] = {}
        self.ending = False

    def duty(self, name: str, able: Callable[[], bool]) -> None:
        """This proxy comes forward for it, where `able` says so."""
        self.hands[name] = Hand(name, able)

    def held(self, duty: str, now: int) -> int:
        """Its token, to be asked for right before each act; 0: it is not ours now."""
        hand = self.hands[duty]
        if hand.token and now >= hand.until:
            self.end(hand, "ran-out")
        return hand.token

    def turn(self, duty: str) -> int:
        """How long this proxy waits before it comes forward: by rank, so that duties spread over proxies."""
        name = self.who.rpartition("/")[0]
        rank = blake2b(f"{duty} {name}".encode(), digest_size=2).digest()
        return int.from_bytes(rank, "big") * SPREAD // 65_536

    def tick(self, rows: dict[str, list] | None, now: int) -> None:
        """Several times a second; `rows` are what the group tells, None if that is stale."""
        for hand in self.hands.values():
            able = hand.able()
            hand.unable_since = None if able else hand.unable_since or now
            if self.held(hand.duty, now):
                if not able and now - hand.unable_since >= UNABLE:
                    hand.shy_until = now + SHY
                    self.let_go(hand, "unable", now)
                elif now >= hand.renew_at and not hand.asking:
                    self.renew(hand, hand.token, now)
            elif rows is not None and not hand.asking and not self.ending:
                self.come_forward(hand, rows.get(hand.duty, ["", 0, 0]), able, now)

    def come_forward(self, hand: Hand, row: list, able: bool, now: int) -> None:
        holder, token = row[0], row[1]
        if holder == self.who:  # ours, though we did not hear so: the answer was lost
            if token != hand.left:
                return self.renew(hand, token, now)
            if now - hand.told_at > WITHIN:
                self.free(hand, now)
            return
        if holder or not able or now < hand.shy_until:
            hand.free_since = None
            return
        hand.free_since = hand.free_since or now
        if now - hand.free_since < self.turn(hand.duty):
            return
        hand.free_since = None
        hand.asking = True

        def taken(good: bool, what) -> None:
            hand.asking = False
            hand.heard = now if good else hand.heard
            if good and what and what[0] == self.who and not self.ending:
                self.begin(hand, what[1], now)

        if not self.do("duty", "take", [hand.duty, self.who], taken, WITHIN):
            hand.asking = False

    def renew(self, hand: Hand, token: int, now: int) -> None:
        """Counted from now, before it is asked."""
        hand.asking = True

        def renewed(good: bool, what) -> None:
            hand.asking = False
            hand.heard = now if good else hand.heard
            if good and what is True and not self.ending and token != hand.left:
                self.begin(hand, token, now)
            elif good and what is False and hand.token == token:
                self.end(hand, "taken-away")

        since = None if hand.heard is None else now - hand.heard
        if not self.look("duty", "renew", [hand.duty, token, self.who, since], renewed, WITHIN):
            hand.asking = False

    def begin(self, hand: Hand, token: int, asked: int) -> None:
        new = hand.token != token
        if new and hand.token:
            self.end(hand, "taken-away")
        hand.token, hand.until = token, asked + self.lease
        hand.renew_at = asked + self.lease // PART
        if new:
            self.won(hand.duty, token)

    def end(self, hand: Hand, code: str) -> None:
        token, hand.token, hand.until = hand.token, 0, 0
        self.lost(hand.duty, token, code)

    def let_go(self, hand: Hand, code: str, now: int) -> None:
        hand.left = hand.token
        self.end(hand, code)
        self.free(hand, now)

    def free(self, hand: Hand, now: int) -> None:
        hand.told_at = now
        self.do("duty", "free", [hand.duty, hand.left], lambda good, what: None, WITHIN)

    def hand_on(self, now: int) -> None:
        """A planned end: what is held is free at once."""
        self.ending = True
        for hand in self.hands.values():
            if hand.token:
                self.let_go(hand, "handed-on", now)
