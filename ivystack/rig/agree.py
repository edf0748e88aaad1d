"""Workload on the consensus group of a run, with a recorded history, and a Byzantine peer of the group.

The workload reaches the members over links of its own, as a proxy does.  An operation without an answer may
have been executed, and the history says so.
"""

from __future__ import annotations

from math import inf
from random import Random

from twisted.internet import defer

from ..consensus.client import Client
from ..mesh.keys import KeyRing
from ..mesh.mesh import Mesh
from ..net.deadlines import DeadlineQueue
from .linear import Operation

MESH_NAME, BYZANTINE_MESH_NAME = "rig", "liar"  # the second mesh has links only while its fault is active
OPERATION_TIMEOUT = 3_000_000  # microseconds
MAX_CONNECTIONS = 32
MAX_OPEN_OPERATIONS = 8  # at once: the check of a history with more concurrent operations takes long


class ConsensusWorkload:
    """Sends random reads and writes of table keys to the consensus group and records their history."""

    def __init__(
        self, reactor, now, rng: Random, keys: KeyRing, members: dict[str, tuple[str, int]], bind: str,
        rate: float, key_count: int,
    ):  # fmt: skip
        """Open links to the members of the group.

        Args:
            reactor: A Twisted reactor.
            now: Returns the present time in microseconds.
            rng: Source of all random choices.
            keys: The key ring of the fleet.
            members: Address of each member by its name.
            bind: IP address from which the links are opened.
            rate: Mean operations per second; 0 for none.
            key_count: Number of table keys that the operations use.
        """
        self.reactor, self.now, self.rng, self.rate, self.key_count = reactor, now, rng, rate, key_count
        deadlines = DeadlineQueue(reactor, now)
        self.mesh, self.byzantine_mesh = (
            Mesh(reactor, deadlines, now, rng, name, keys, MAX_CONNECTIONS, members, None, bind)
            for name in (MESH_NAME, BYZANTINE_MESH_NAME)
        )
        self.client = Client(deadlines, now, rng, self.mesh, [*members])
        self.history: list[tuple[str, Operation]] = []  # operations with their keys
        self.last_versions: dict[str, int] = {}  # version by key in the last answer
        self.open_operations: dict[int, tuple[str, int, tuple]] = {}  # key, start and arguments by number
        self.operation_count = 0
        self.stopped = False
        # Holders of the duties slot-order and node-trials, as the leader of the group announces them.
        self.slot_order_holder = self.node_trials_holder = ""
        self.mesh.handlers["duty"] = self.announcement_received
        self.mesh.start()

    def announcement_received(self, sender: str, body) -> None:
        """Store the holders of the duties from a lease announcement."""
        leases = body[2]
        self.slot_order_holder, self.node_trials_holder = (
            leases.get(duty, [""])[0].rpartition("/")[0] for duty in ("slot-order", "node-trials")
        )

    def set_members(self, members: dict[str, tuple[str, int]]) -> None:
        """Replace the members of the group and their addresses."""
        self.mesh.set_members(members)
        self.client.members = [*members]

    def has_leader(self) -> defer.Deferred:
        """Return a Deferred that fires with whether the group answers a query within one second."""
        done: defer.Deferred = defer.Deferred()
        self.client.query("table", "get", ["a"], lambda accepted, answer: done.callback(accepted), 1_000_000)
        return done

    def start(self) -> None:
        """Start operations at exponentially distributed intervals."""
        if self.rate and not self.stopped:
            self.start_operation()
            self.reactor.callLater(self.rng.expovariate(self.rate), self.start)

    def start_operation(self) -> None:
        """Read or write a random key, unless too many operations are open."""
        if len(self.open_operations) >= MAX_OPEN_OPERATIONS:
            return
        self.operation_count += 1
        number, key = self.operation_count, f"k{self.rng.randrange(self.key_count)}"
        if self.rng.random() < 0.4:
            args: tuple = ("get",)
            submit = self.client.query
            fields = [key]
        else:
            expected_version = self.last_versions.get(key, 0) if self.rng.random() < 0.5 else None
            args = ("set", b"%d" % number, expected_version)
            submit = self.client.execute
            fields = [key, args[1], expected_version]
        self.open_operations[number] = key, self.now(), args

        def finished(accepted: bool, answer) -> None:
            key, invoked_at, args = self.open_operations.pop(number)
            if accepted and answer:
                self.last_versions[key] = answer[1]
            self.history.append(
                (
                    key,
                    Operation(
                        invoked_at, self.now() if accepted else inf, args, answer if accepted else None
                    ),
                )
            )

        submit("table", args[0], fields, finished, OPERATION_TIMEOUT)

    byzantine = False

    def send_byzantine_messages(self) -> None:
        """Send false messages from a peer with a valid key, hundreds of times per second while `byzantine`.

        The messages claim duties in the names of other proxies and fencing tokens far ahead, announce and
        vote as if the peer were a member, set a slot order without any real server, or are malformed.
        """
        if not self.byzantine or self.stopped:
            return self.byzantine_mesh.stop()
        self.reactor.callLater(0.01, self.send_byzantine_messages)
        rng, ahead = self.rng, 1 << 40
        number = rng.randrange(1 << 20, ahead)
        victim, own_id = (
            self.slot_order_holder or "p0",
            f"{BYZANTINE_MESH_NAME}/{self.byzantine_mesh.incarnation}",
        )
        requests = [
            ("do", [own_id, number, "duty", "take", ["slot-order", f"{victim}/false"]]),
            ("do", [own_id, number, "duty", "free", ["slot-order", rng.randrange(5)]]),
            ("do", [own_id, number, "duty", "put", ["slot-order", ahead, b"xyzuvw"]]),
            ("do", [own_id, number, "duty", "take", ["all", own_id]]),
            ("do", [own_id, number, "table", "set", ["k", bytes(200_000), None]]),
            ("do", [f"{BYZANTINE_MESH_NAME}/{number}", number, "table", "set", ["k", b"", None]]),
            ("do", [f"{victim}/1", 1, "table", "set", ["k", b"", None]]),
            ("look", ["duty", "renew", ["slot-order", 1, f"{victim}/false", 0]]),
            ("do", [own_id, number, "nothing", "set", []]),
            ("do", [own_id, "one", None, 5, {}]),
        ]
        send = self.byzantine_mesh.send
        for peer in [*self.byzantine_mesh.peers]:
            send(peer, "duty", (ahead, ahead, {"slot-order": [own_id, ahead, ahead]}))
            send(peer, "knock", (f"{peer}/ffffffff", True))
            send(peer, "raft", (f"{victim}/0", f"{peer}/0", ["v", ahead, ahead, ahead, False, True]))
            send(peer, "ask", (rng.randrange(1 << 40), *rng.choice(requests)))

    def stop_sending(self) -> None:
        """Start no more operations; answers to open ones are still recorded."""
        self.stopped = True

    def stop(self) -> None:
        """Record open operations as possibly executed, and close the links."""
        self.stopped = True
        for key, invoked_at, args in self.open_operations.values():
            self.history.append((key, Operation(invoked_at, inf, args)))
        self.open_operations = {}
        self.mesh.stop()
