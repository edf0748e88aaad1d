"""Which servers hold a key.

The placement is that of Schwarz, Corderí, Long, Pâris, "Simple, Exact Placement of Data in Containers" ("the
paper"), sections III to V.

A slot is a server's place in the order of first start, not a range of keys; a replica of a key is a server
that answers for it.  A key's hash is expanded into one digit a slot, and the digits fix the key's k replicas.
docs/design.md says what differs from the paper.
"""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b

from ..model import Server, ServerState
from .concurrency_limit import INITIAL_LIMIT
from .gossip_codec import server_hash

REPLICAS = 2  # of a key; each more leaves a server less memory for keys of its own
MAX_LOCATIONS = 3  # of a key with few replicas, its spare included
CACHED_LOCATIONS = 4_000  # keys' servers that are kept: about 1 MB
CRASHED_SLOT_US = 40_000_000  # a server that left without draining keeps its slot: longer than most outages
# Of a digit, where sizes differ widely: whole ones give a far smaller slot one replica's keys or none.
DIGIT_PARTS = 64
# Digits that one hash block of 512 bits gives: 32 use up under 400 bits while slots stay below 4096, 16 in 64
# parts under 300, so each digit is even to within 2^-100.
DIGITS_PER_BLOCK = 32
DIGITS_PER_BLOCK_IN_PARTS = 16


def factorial_digits(number: int, count: int, first_radix: int = 1, parts: int = 1) -> list[int]:
    """Return digits x_0 .. x_(count-1) of a number's factorial expansion, x_l in 0..l in `parts` parts each.

    A short expansion ends in zeros, and zeros are digits (paper, section III).
    """
    digits = []
    for radix in range(first_radix, first_radix + count):
        number, digit = divmod(number, radix * parts)
        digits.append(digit)
    return digits


def key_digits(key: int, count: int, parts: int = 1) -> list[int]:
    """Return a whole number in 0..l for each slot l, in `parts` parts each, from the key's hash.

    The hash is the same in every process, which Python's own is not.
    """
    digits: list[int] = []
    step = DIGITS_PER_BLOCK if parts == 1 else DIGITS_PER_BLOCK_IN_PARTS
    for block in range(0, count, step):
        number = int.from_bytes(blake2b(b"%d/%d" % (key, block)).digest(), "little")
        digits += factorial_digits(number, min(step, count - block), block + 1, parts)
    return digits


def replica_slots(digits: list[int], k: int) -> list[int]:
    """Return the slots of replicas 0 .. k-1, then one spare, for the digits x_0 .. x_(N-1) of N slots.

    Replica r is at the highest slot l >= k whose digit is r, else at slot r (paper, section IV B): so walk
    down from the last slot and stop when all are found.  The spare follows the next digit value, k, over
    slots without a replica.
    """
    k = min(k, len(digits))
    slot_of_digit: dict[int, int] = {}
    for slot in range(len(digits) - 1, k - 1, -1):
        if digits[slot] <= k:
            slot_of_digit.setdefault(digits[slot], slot)
            if len(slot_of_digit) > k:
                break
    taken = [slot_of_digit.get(replica, replica) for replica in range(k)]
    free = (slot for slot in range(k, -1, -1) if slot < len(digits) and slot not in taken)
    spare = slot_of_digit.get(k, next(free, None))
    return taken if spare is None else [*taken, spare]


def first_started(server: Server) -> tuple[int, str]:
    """Return the key by which servers are ordered into slots."""
    return server.started_at, server.name


class Placement:
    """The slots, and each key's replicas among them."""

    def __init__(self, weighted: bool, live_weights: bool = False) -> None:
        """:param weighted: keys are spread by the servers' weights, else evenly.

        :param live_weights: the listed weights fall with load; implies `weighted`.
        """
        self.weighted, self.live_weights = weighted or live_weights, live_weights
        self.parts = DIGIT_PARTS if live_weights else 1
        self.slots: list[Server] = []
        self.location_cache: OrderedDict[tuple[int, int], list[Server]] = (
            OrderedDict()
        )  # by key and k, oldest first

    def update(self, servers: list[Server], now: int) -> None:
        """Follow the endpoint list: the last slot's server takes a freed slot, new servers go last."""
        before = list(self.slots)
        ready = {server for server in servers if server.state is ServerState.READY}
        self._free_slots(ready, now)
        self._fill_placeholders(ready)
        self.slots += sorted(ready - {*self.slots}, key=first_started)
        if self.slots != before:
            self.location_cache.clear()

    def _free_slots(self, ready: set[Server], now: int) -> None:
        for slot in range(len(self.slots) - 1, -1, -1):
            server = self.slots[slot]
            crashed_lately = (
                server.state is ServerState.GONE
                and not server.was_draining
                and now - server.gone_at < CRASHED_SLOT_US
            )
            if server not in ready and not crashed_lately:
                last = self.slots.pop()
                if slot < len(self.slots):
                    self.slots[slot] = last

    def _fill_placeholders(self, ready: set[Server]) -> None:
        awaited = {server.name: slot for slot, server in enumerate(self.slots) if server.is_placeholder}
        if not awaited:
            return
        for server in ready:
            slot = awaited.get(server_hash(server).hex())
            if slot is not None:
                self.slots[slot] = server

    def adopt_order(self, hashes: list[bytes], servers: list[Server], now: int) -> None:
        """Take another process's slot order; a server that is not listed here is awaited as after a crash.

        :param hashes: the servers' hashes in order of slots.
        """
        by_hash: dict[bytes, list[Server]] = {}  # two of a thousand may share a hash: the older comes first
        for server in sorted(servers, key=first_started, reverse=True):
            by_hash.setdefault(server_hash(server), []).append(server)
        mean_weight = sum(server.weight for server in servers) / max(1, len(servers))

        def placeholder(name: str) -> Server:
            return Server(
                name,
                weight=mean_weight,
                state=ServerState.GONE,
                gone_at=now,
                concurrency_limit=INITIAL_LIMIT,
                is_placeholder=True,
            )

        self.slots = [by_hash[one].pop() if by_hash.get(one) else placeholder(one.hex()) for one in hashes]
        self.location_cache.clear()
        self.update(servers, now)

    def replicas(self, key: int, k: int) -> list[Server]:
        """Return the key's k replicas in order, fewer where there are fewer slots.

        A greater k leaves the first ones where they are, but for those on the first k slots.
        """
        return self.replicas_and_spares(key, k)[:k]

    def spares(self, key: int, k: int) -> list[Server]:
        """Return the servers that stand in while none of the key's k replicas can; none where k is large."""
        return self.replicas_and_spares(key, k)[k:]

    def replicas_and_spares(self, key: int, k: int) -> list[Server]:
        """Return the key's k replicas in order, then its spares."""
        servers = self.location_cache.get((key, k))
        if servers is None:
            digits = key_digits(key, len(self.slots), self.parts)
            if self.weighted:
                digits = self.weighted_digits(digits)
            servers = [self.slots[slot] for slot in replica_slots(digits, k)[: max(k, MAX_LOCATIONS)]]
            self.location_cache[key, k] = servers
            if len(self.location_cache) > CACHED_LOCATIONS:
                self.location_cache.popitem(last=False)
        return servers

    def weighted_digits(self, digits: list[int]) -> list[int]:
        """Return quasi-digits: slot l takes [0, k p_l) of its digit, in k equal parts, one a replica.

        Paper, section V; p_l is the slot's part of the weight of slots 0..l.  The paper's [0, p_l) would move
        k times too few keys.  A slot due more than every key once (k p_l > 1) takes one replica of every key.
        The next p_l names the spare.
        """
        quasi_digits, total = [], 0.0
        for slot, digit in enumerate(digits):
            weight = self.slots[slot].weight
            total += weight
            share = weight / total if total else 1 / (slot + 1)
            replica_share = min(share, 1 / REPLICAS)
            uniform = (digit + 0.5) / (self.parts * (slot + 1))
            quasi_digits.append(int(uniform / replica_share) if replica_share else REPLICAS + 1)
        return quasi_digits
