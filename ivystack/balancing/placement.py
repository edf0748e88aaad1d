"""Placement of keys on cache servers.

The placement is that of Schwarz, Corderí, Long, Pâris, "Simple, Exact Placement of Data in Containers" ("the
paper"), sections III to V.

A slot is a server's position in the order of first start, not a range of keys.  A replica of a key is a
server that caches the key and answers requests for it.  A key's hash is expanded into one digit per slot, and
the digits determine the key's k replicas.  docs/design.md describes the differences from the paper.
"""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b

from ..model import Server, ServerState
from .concurrency_limit import INITIAL_LIMIT
from .gossip_codec import server_hash

REPLICAS = 2  # per key; each additional replica leaves servers less memory for other keys
MAX_LOCATIONS = 3  # replicas plus spare; a key with this many replicas or more has no spare
CACHED_LOCATIONS = 4_000  # cached server lists, one per key and k; about 1 MB
CRASHED_SLOT_US = 40_000_000  # slot reservation after a crash, longer than most outages
# Parts into which each digit is divided if servers have widely different sizes.  With whole digits, the slot
# of a far smaller server would hold either a whole replica's share of the keys or none.
DIGIT_PARTS = 64
# Digits taken from one hash block of 512 bits.  With fewer than 4096 slots, 32 digits use under 400 bits, and
# 16 digits in 64 parts use under 300 bits, so each digit is uniform to within 2^-100.
DIGITS_PER_BLOCK = 32
DIGITS_PER_BLOCK_IN_PARTS = 16


def factorial_digits(number: int, count: int, first_radix: int = 1, parts: int = 1) -> list[int]:
    """Return digits of a number's factorial expansion (paper, section III).

    :param count: the number of digits; a shorter expansion is padded with zeros, which count as digits.
    :param first_radix: the radix of the first digit; each further digit has the next higher radix.
    :param parts: digits are returned in units of 1 / `parts`; a digit of radix r is in 0..r*parts-1.
    """
    digits = []
    for radix in range(first_radix, first_radix + count):
        number, digit = divmod(number, radix * parts)
        digits.append(digit)
    return digits


def key_digits(key: int, count: int, parts: int = 1) -> list[int]:
    """Return the key's digit in 0..l for each of `count` slots l, in units of 1 / `parts`.

    The digits come from BLAKE2b and not from `hash`, which differs between processes.
    """
    digits: list[int] = []
    digits_per_block = DIGITS_PER_BLOCK if parts == 1 else DIGITS_PER_BLOCK_IN_PARTS
    for block in range(0, count, digits_per_block):
        number = int.from_bytes(blake2b(b"%d/%d" % (key, block)).digest(), "little")
        digits += factorial_digits(number, min(digits_per_block, count - block), block + 1, parts)
    return digits


def replica_slots(digits: list[int], k: int) -> list[int]:
    """Return the slots of replicas 0 .. k-1, then of one spare, for the digits x_0 .. x_(N-1) of N slots.

    Replica r is at the highest slot l >= k whose digit is r, else at slot r (paper, section IV B).  So the
    search starts at the last slot and stops once all digits are found.  The spare is at the highest slot
    l >= k whose digit is k, else at the highest slot l <= k that has no replica.
    """
    k = min(k, len(digits))
    slot_of_digit: dict[int, int] = {}
    for slot in range(len(digits) - 1, k - 1, -1):
        if digits[slot] <= k:
            slot_of_digit.setdefault(digits[slot], slot)
            if len(slot_of_digit) > k:
                break
    chosen_slots = [slot_of_digit.get(replica, replica) for replica in range(k)]
    free_slots = (slot for slot in range(k, -1, -1) if slot < len(digits) and slot not in chosen_slots)
    spare = slot_of_digit.get(k, next(free_slots, None))
    return chosen_slots if spare is None else [*chosen_slots, spare]


def slot_sort_key(server: Server) -> tuple[int, str]:
    """Return the sort key that orders servers into slots."""
    return server.started_at, server.name


class Placement:
    """The slots, and each key's replicas among them."""

    def __init__(self, weighted: bool, live_weights: bool = False) -> None:
        """Create a placement without slots.

        :param weighted: whether keys are spread in proportion to the servers' weights, or evenly.
        :param live_weights: whether the listed weights fall with load, so that only the sizes derived from
            them are used; implies `weighted`.
        """
        self.weighted, self.live_weights = weighted or live_weights, live_weights
        self.parts = DIGIT_PARTS if live_weights else 1
        self.slots: list[Server] = []
        # Replicas and spares by key and k, oldest entry first.
        self.location_cache: OrderedDict[tuple[int, int], list[Server]] = OrderedDict()

    def update(self, servers: list[Server], now: int) -> None:
        """Apply the endpoint list: the last slot's server fills a freed slot, new servers get new slots."""
        previous_slots = list(self.slots)
        ready = {server for server in servers if server.state is ServerState.READY}
        self._free_slots(ready, now)
        self._fill_placeholders(ready)
        self.slots += sorted(ready - {*self.slots}, key=slot_sort_key)
        if self.slots != previous_slots:
            self.location_cache.clear()

    def _free_slots(self, ready: set[Server], now: int) -> None:
        for slot in range(len(self.slots) - 1, -1, -1):
            server = self.slots[slot]
            crashed_recently = (
                server.state is ServerState.GONE
                and not server.was_draining
                and now - server.gone_at < CRASHED_SLOT_US
            )
            if server not in ready and not crashed_recently:
                last = self.slots.pop()
                if slot < len(self.slots):
                    self.slots[slot] = last

    def _fill_placeholders(self, ready: set[Server]) -> None:
        placeholder_slots = {
            server.name: slot for slot, server in enumerate(self.slots) if server.is_placeholder
        }
        if not placeholder_slots:
            return
        for server in ready:
            slot = placeholder_slots.get(server_hash(server).hex())
            if slot is not None:
                self.slots[slot] = server

    def adopt_order(self, hashes: list[bytes], servers: list[Server], now: int) -> None:
        """Replace the slot order by that of another process.

        If no listed server has a slot's hash, a placeholder reserves the slot as after a crash.

        :param hashes: the servers' hashes in slot order.
        """
        # Among a thousand servers two may have the same hash; the one that started first gets the first slot.
        by_hash: dict[bytes, list[Server]] = {}
        for server in sorted(servers, key=slot_sort_key, reverse=True):
            by_hash.setdefault(server_hash(server), []).append(server)
        mean_weight = sum(server.weight for server in servers) / max(1, len(servers))

        def make_placeholder(name: str) -> Server:
            return Server(
                name,
                weight=mean_weight,
                state=ServerState.GONE,
                gone_at=now,
                concurrency_limit=INITIAL_LIMIT,
                is_placeholder=True,
            )

        self.slots = [
            by_hash[hash_].pop() if by_hash.get(hash_) else make_placeholder(hash_.hex()) for hash_ in hashes
        ]
        self.location_cache.clear()
        self.update(servers, now)

    def replicas(self, key: int, k: int) -> list[Server]:
        """Return the key's k replicas in order, or fewer if there are fewer slots.

        If k grows, replicas stay where they are, except those on the first k slots.
        """
        return self.replicas_and_spares(key, k)[:k]

    def spares(self, key: int, k: int) -> list[Server]:
        """Return the servers to use while none of the key's k replicas is available; empty if k is large."""
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
        """Return quasi-digits, which give each slot a share of the keys in proportion to its weight.

        The method is that of the paper, section V, where p_l is the weight of slot l over that of slots 0..l.
        Slot l takes the part [0, k p_l) of the range of its digit, in k equal parts, one per replica.  The
        paper's [0, p_l) would move k times too few keys.  If k p_l > 1, the slot holds one replica of every
        key.  The next part of length p_l selects the spare.
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
