"""One proxy: ties clients, nodes, discovery and peers to the decisions.

Owns the table of requests in hand, the deadlines, and every call to the decisions.  It must never decide
anything, answer a request twice, or let a failure of the decisions end more than the request it was asked
for.
"""

from __future__ import annotations

from collections import deque

import orjson
from loguru import logger
from twisted.internet.error import CannotListenError, ConnectionDone
from twisted.python.failure import Failure

from ..configuration.process import ProcessConfiguration
from ..configuration.schema import parse_address
from ..model import (
    Attempt,
    CloseIdleConnections,
    Decision,
    Done,
    Fail,
    Outcome,
    OutcomeDecision,
    Reject,
    Request,
    Send,
    SendGossip,
    Server,
    ServerState,
    Wait,
    Wakeup,
    usable_figures,
)
from .admin import AdminResponse, AdminServer
from .client_drain import ClientDrain
from .client_server import ClientRequest, ClientServer, RequestCallbacks
from .clock import WallAnchoredClock
from .deadlines import Deadline, DeadlineQueue
from .endpoint_watch import EndpointWatch, UpdateResult
from .gossip_socket import GossipSocket
from .hot_restart import HotRestart, adopt_listening_socket
from .hot_restart_state import ProcessState, export_state, import_state
from .in_flight_attempt import InFlightAttempt
from .listener import ClientListener, listen
from .reply import Failed, Rejected, Reply, Value
from .request_frame import RequestFrame
from .resp import MAX_ARGUMENT
from .server_pool import PoolSettings
from .server_pools import ServerPools
from .slot_table import SlotTable
from .streams import RequestStream, ResponseStream
from .trace import trace

STATES = {"SERVING": ServerState.READY, "DRAINING": ServerState.DRAINING, "DELETED": ServerState.GONE}
BROKEN_PAUSE = 50_000  # before decisions that failed are asked again


class Held:
    """A request in hand: what came, and how to answer."""

    __slots__ = (
        "request",
        "frame",
        "upload",
        "wait",
        "reply",
        "is_connected",
        "slot",
        "last_call",
        "place_by",
    )

    def __init__(
        self,
        request: Request,
        frame: RequestFrame,
        reply,
        upload: RequestStream | None,
        wait: int,
        is_connected,
    ):
        self.is_connected = is_connected
        self.request, self.frame, self.reply, self.slot = request, frame, reply, -1
        self.upload, self.wait = upload, wait
        self.last_call: Deadline | None = None
        self.place_by: Deadline | None = None  # a long write's deadline for going anywhere


class Proxy:
    COMING = 60_000_000  # a long write may take so long to come; its own time counts from its last byte
    LAST = 2_000  # after its end a request is answered whatever the decisions do; they come first
    BACKLOG = 1024  # clients that the kernel keeps for us until we accept them
    listen = staticmethod(listen)
    LOOK_AGAIN = 20_000  # so much later it is asked again whether a request's client is there
    LET_GO = 100_000  # before the parse_address for datagrams is tried again
    STAY = 500_000  # served on after SIGTERM: new connections go on coming for part of it
    # Then for commands that are still coming.  From 0.7 s on nothing is taken: SIGKILL comes that long after
    # the longest deadline, and what it finds is lost.
    HALVES = 200_000
    # SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as 3 s at most, and 0.7 s.
    # What is taken near the end of that time is answered before it, also where we are held up for 0.15 s.
    LONGEST, UNTIL_KILL, HELD_UP = 3_000_000, 700_000, 150_000

    def __init__(self, run: ProcessConfiguration, reactor, now=None):
        self.run, self.reactor, self.now = run, reactor, now or WallAnchoredClock()
        self.settings, self.balancer = run.settings, run.settings.balancer
        self.deadlines = DeadlineQueue(reactor, self.now)
        self.requests: SlotTable[Held] = SlotTable()
        self.held: dict[Request, Held] = {}
        self.in_flight: dict[Attempt, InFlightAttempt] = {}
        self.ends: deque[tuple[Attempt, Outcome, dict, bool]] = deque()  # outcomes still to be told
        self.settling = False
        self.alarm: Deadline | None = None
        self.useless: deque[int] = deque(maxlen=64)  # the list's entries that can't be used and were told
        self.server_pools = ServerPools(
            reactor, self.deadlines, self.now, self.pool_settings(run), run.descriptors,
            run.memory_bytes // ClientServer.VALUE_MEMORY_DIVISOR, self.ended, self.wanted,
        )  # fmt: skip
        most = run.descriptors - self.server_pools.max_connections - ClientServer.RESERVED_DESCRIPTORS
        self.client_server = ClientServer(
            reactor,
            self.deadlines,
            self.now,
            RequestCallbacks(
                admit=self.admit,
                begin=self.begin_on,
                abandon=self.gone,
                abort_upload=self.cut,
                is_ready=self.ready,
            ),
            self.settings.request_classes,
            self.settings.tenants,
            most,
            run.memory_bytes,
        )
        self.endpoint_watch = EndpointWatch(
            reactor, self.deadlines, self.now, self.settings.poll_backoff, run.discovery, self.listed,
        )  # fmt: skip
        self.gossip = GossipSocket(run.peers, self.told)
        self.hot_restart = HotRestart(
            reactor, self.deadlines, self.now, run.restart_folder, run.listen, self.state, self.two
        )  # fmt: skip
        self.admin = AdminServer(self.deadlines, self.now, self.serves, self.drain, self.back)
        self.limits = run.descriptors, run.memory_bytes  # the start's
        self.port = None
        self.started = self.ending = False
        self.last_answer_at = 0  # once ending: by when all that is still taken has to be answered

    # Start and end.

    def warn(self, run: ProcessConfiguration) -> None:
        for line in run.warnings():
            logger.warning("configuration: {}", line)

    def start(self) -> None:
        self.warn(self.run)
        if self.run.known_endpoints:
            try:
                self.endpoint_watch.load_known(self.run.known_endpoints)
            except Exception as fault:  # guards the start: the watch will bring a list
                logger.error("known: a list that can't be used: {}: {}", type(fault).__name__, fault)
        if self.run.admin:  # first: it answers no until we serve
            self.reactor.listenTCP(self.run.admin[1], self.admin, backlog=64, interface=self.run.admin[0])
        if self.run.inherited_descriptor is not None:
            self.hot_restart.request_state(self.begin)
        else:
            self.begin(None)

    def begin(self, state: ProcessState | None) -> None:
        """Serves, going on from what an old process has told."""
        if self.ending:  # guards against a port that nobody would close: SIGTERM came while we asked
            return
        try:
            self.go_on(state)
            self.open()
        except Exception as fault:
            logger.error("could not start: {}", fault)
            self.reactor.stop()

    def go_on(self, state: ProcessState | None) -> None:
        if state is None:
            return
        try:
            if state.generation >= self.endpoint_watch.generation:
                listing = dict(generation=state.generation, reset=True, instances=state.instances)
                self.endpoint_watch.load_known(listing)
            import_state(state, self.balancer, self.settings.request_classes, self.now())
        except Exception as fault:  # guards the start against whatever an old process may tell
            logger.error("hot restart: the state could not be imported: {}: {}", type(fault).__name__, fault)
        else:
            generation, slots = state.generation, len(state.slots)
            logger.info("hot restart state imported generation={} slots={}", generation, slots)

    def open(self) -> None:
        if self.run.peer_listen:
            self.talk(*self.run.peer_listen)
        if self.run.inherited_descriptor is not None:
            self.port = adopt_listening_socket(
                self.reactor, self.run.inherited_descriptor, self.client_server
            )
            self.hot_restart.listen()
        else:
            self.port = self.listen(self.reactor, *self.run.listen, self.client_server, self.BACKLOG)
        self.endpoint_watch.request_watch()
        logger.info("start name={} nodes={}", self.run.name, len(self.balancer.servers))
        self.started = True
        self.settle()

    # In an upgrade.

    def state(self) -> ProcessState:
        """What the next process is told."""
        kinds = {place: name for name, place in self.settings.kinds.items()}
        listed = {ServerState.READY: "SERVING", ServerState.DRAINING: "DRAINING"}
        pools = self.server_pools.pools
        instances = [
            {
                "instanceId": node.name, "hostPort": "{}:{}".format(*pools[node.name].address),
                "zone": node.zone, "machineType": kinds.get(node.kind), "cell": node.cell,
                "lifecycle": listed[node.state], "startedAtMs": node.started_at // 1000,
                # Live ones are no sizes: the list tells them anew each second.
                "weight": None if self.balancer.load.enabled else node.weight,
            }
            for node in self.balancer.servers.values()
            if node.state in listed and node.name in pools
        ]  # fmt: skip
        classes, generation = self.settings.request_classes, self.endpoint_watch.generation
        return export_state(self.balancer, classes, generation, instances)

    def two(self, two: bool) -> None:
        """Another process is there, or has gone: together they keep within the bounds of one."""
        logger.info("hot restart other_process={}", two)
        sockets, memory = (of // 2 if two else of for of in self.limits)
        self.server_pools.set_limits(sockets, memory // ClientServer.VALUE_MEMORY_DIVISOR)
        self.client_server.set_limits(
            max(
                ClientServer.EVICTION_BATCH,
                sockets - self.server_pools.max_connections - ClientServer.RESERVED_DESCRIPTORS,
            ),
            memory,
        )

    def talk(self, host: str, port: int) -> None:
        """Takes the parse_address for datagrams.  In an upgrade the old process has it until it is told to
        end: no
        word between proxies is needed, so we serve without and try again."""
        if self.ending:
            return
        try:
            self.reactor.listenUDP(port, self.gossip, interface=host)
        except CannotListenError:
            if self.run.inherited_descriptor is None:
                raise
            self.deadlines.call_at(self.now() + self.LET_GO, self.talk, host, port)

    def reload(self, run: ProcessConfiguration) -> None:
        """A new configuration: all of its settings, discovery and the peers count at once, the rest with a
        start.  It has been checked whole: nothing here can be refused half-way."""
        for key in self.run.changed_fixed_keys(run):
            logger.warning("configuration: a new `{}` counts from the next start on", key)
        self.warn(run)
        former = self.settings.apply(run.settings)
        run.settings, self.run = self.settings, run
        self.client_server.set_names(self.settings.request_classes, self.settings.tenants)
        self.server_pools.configure(self.pool_settings(run))
        logger.info(
            "configuration taken discovery={}:{} classes={} changed={}", *run.discovery,
            len(self.settings.request_classes), len(former),
        )  # fmt: skip
        if former:
            last = max((held.request.deadline for held in self.held.values()), default=0)
            over = max(last, self.now()) + 2 * self.LAST  # by then none of their requests is left
            self.deadlines.call_at(over, self.settings.discard, former)
        self.gossip.set_peers(run.peers)
        self.endpoint_watch.change_address(run.discovery)
        self.settle()

    def pool_settings(self, run: ProcessConfiguration) -> PoolSettings:
        max_in_flight = self.settings.streams_per_connection if self.settings.hedging_enabled else 1
        cache_aside = self.balancer.parameters.origin_kind >= 0
        return PoolSettings(run.idle_timeout_us, run.connect_timeout_us, max_in_flight, cache_aside)

    def terminate(self) -> None:
        """A planned end: serve a little longer, then finish what is held."""
        if self.ending:
            return
        self.ending = True
        rest = min(self.LONGEST, self.settings.longest_wait()) + self.UNTIL_KILL - self.HELD_UP
        self.last_answer_at = self.now() + rest
        inherited = self.run.inherited_descriptor is not None  # another process accepts there, or will
        logger.info("stop asked requests={}", len(self.requests))
        self.client_server.drain.start("stopping", self.STAY, self.HALVES, refuses_pings=not inherited)
        if inherited:
            self.gossip.close()
        self.deadlines.call_at(self.now() + (0 if inherited else self.STAY), self.stop_taking)

    def stop_taking(self) -> None:
        if self.port is not None:
            self.close_port()
        self.finish()

    def close_port(self) -> None:
        """Guards what the kernel has accepted and we have not: a closed listening socket resets it.  What is
        at an inherited one is the other process's to take."""
        self.port.stopReading()
        if self.run.inherited_descriptor is None:
            self.port.accept_waiting(
                max(ClientListener.ACCEPTS_PER_TURN, self.client_server.available_capacity())
            )
        self.port.connectionLost(Failure(ConnectionDone()))  # in this turn: later, more would have come

    def finish(self) -> None:
        if self.requests or self.client_server.connections:
            self.deadlines.call_at(self.now() + 10_000, self.finish)
        else:
            logger.info("stop")
            self.endpoint_watch.stop()
            self.server_pools.mark_stopping()
            self.reactor.stop()

    # The operators' calls.

    def serves(self) -> AdminResponse:
        if self.ending or self.client_server.drain.code:
            return AdminResponse(503, "draining")
        if self.started and self.ready():
            return AdminResponse(200, "ready")
        return AdminResponse(503, "no cache node is ready")

    def drain(self) -> AdminResponse:
        if not self.ending and not self.client_server.drain.code:
            logger.info(
                "drain clients={} requests={}", len(self.client_server.connections), len(self.requests)
            )
            self.client_server.drain.start("drained", ClientDrain.SPREAD, ClientDrain.PARTIAL_COMMAND_GRACE)
        return AdminResponse(200, "draining")

    def back(self) -> AdminResponse:
        if self.ending:
            return AdminResponse(409, "stopping: there is no way back")
        if self.client_server.drain.code:
            logger.info("drain over clients={}", len(self.client_server.connections))
            self.client_server.drain.stop()
        return AdminResponse(200, "serving")

    def ready(self) -> bool:
        return any(node.state == ServerState.READY for node in self.balancer.servers.values())

    # Clients.

    def admit(self, client_request: ClientRequest) -> int:
        now, upload, wait = self.now(), client_request.upload, client_request.timeout
        if self.ending:
            wait = max(0, min(wait, self.last_answer_at - now))
        arrives = now if upload is None else now + self.COMING
        request = Request(
            client_request.request_class, arrives, arrives + wait, client_request.key, client_request.tenant,
            client_request.is_write, client_request.is_client_retry,
        )  # fmt: skip
        held = Held(
            request, client_request.frame, client_request.reply, upload, wait, client_request.is_connected
        )
        if upload is not None:
            upload.request, upload.on_sent = request, self.through
            upload.server_timeout_ms = max(
                1, (self.balancer.retry_policy.answer_deadline(request) - arrives) // 1000
            )
        held.slot = self.requests.add(held)
        self.held[request] = held
        # Guards against a request that failing decisions have lost: its client gets an answer all the same.
        held.last_call = self.deadlines.call_at(request.deadline + self.LAST, self.last_answer, request)
        return held.slot

    def begin_on(self, slot: int) -> None:
        """Decides on a request that was admitted; whatever fails here, it keeps its last call."""
        request = self.requests[slot].request
        try:
            self.ask(request, request.arrived_at if self.requests[slot].upload is None else self.now())
            self.settle()
        except Exception:  # guards the client's connection and what else is asked on it
            logger.exception("a request could not be begun")
            self.answer(request, Failed())

    def through(self, upload: RequestStream) -> None:
        """A long write's last byte has gone out: it is taken now, and the node can begin."""
        held = self.held.get(upload.request)
        if held is None:
            return
        request, now = held.request, self.now()
        request.arrived_at, request.deadline = now, now + held.wait
        attempt = request.attempts[-1]
        attempt.sent_at, attempt.timeout_at = now, self.balancer.retry_policy.answer_deadline(request)
        self.server_pools.restart_timeout(self.in_flight[attempt], attempt.timeout_at)
        if held.last_call is not None:
            held.last_call.cancel()
        held.last_call = self.deadlines.call_at(request.deadline + self.LAST, self.last_answer, request)

    def cut(self, upload: RequestStream) -> None:
        """A long write will never come whole."""
        self.answer(upload.request, Failed())
        self.call_off(upload.request.outstanding())

    def gone(self, slots: list[int]) -> None:
        """A client has left, and these were its requests.  All are closed first: calling one's attempts off
        settles what is due, and nothing of the others may be sent on by then."""
        left = [self.requests[slot] for slot in slots]
        for held in left:
            self.close(held)
        for request in (held.request for held in left if held.request.attempts):
            try:
                off = self.balancer.client_gone(request)
            except Exception:
                logger.exception("decisions failed: a client went away")
                off = request.outstanding()
            self.call_off(off)
        self.settle()

    def close(self, held: Held) -> None:
        held.request.concluded = True
        if held.last_call is not None:
            held.last_call.cancel()
        if held.place_by is not None:
            held.place_by.cancel()
        del self.held[held.request]
        self.requests.remove(held.slot)

    def answer(self, request: Request, reply: Reply) -> None:
        """The request's one final answer."""
        held = self.held.get(request)
        if held is not None:
            if trace.enabled:
                self.trace_answer(held, reply)
            self.close(held)
            held.reply(reply)

    def last_answer(self, request: Request) -> None:
        """Its time is over and it has no answer: nor may it be sent on, where decisions failed."""
        self.answer(request, Failed())
        self.call_off([attempt for attempt in request.attempts if attempt in self.in_flight])

    def trace_answer(self, held: Held, reply: Reply) -> None:
        """Logs a request's final answer, and for a refusal or failure what had become of its attempts."""
        attempts = held.request.attempts
        ends = ",".join(str(attempt.outcome or "in-flight") for attempt in attempts) or "none"
        fields: dict[str, object] = {
            "answer": type(reply).__name__.lower(),
            "after_ms": (self.now() - held.request.arrived_at) // 1000,
            "attempts": ends,
        }
        if isinstance(reply, Rejected):
            fields["retry_after_ms"] = reply.retry_after_ms
        trace.step(held.frame.request_id, "answered", **fields)

    # Decisions.

    def act(self, action: Request | SendGossip | CloseIdleConnections, now: int) -> None:
        """Does what is due, or decides on a request."""
        match action:
            case SendGossip(peer, datagram):
                self.gossip.send(peer, datagram)
            case CloseIdleConnections(server):
                self.server_pools.release(server.name)
            case request:
                self.ask(request, now)

    def ask(self, request: Request, now: int) -> None:
        decision: Decision
        try:
            decision = self.balancer.route(request, now)
        except Exception:  # the request ends; it is unknown whether it ran, so it is not rejected
            logger.exception("decisions failed: route")
            decision = Fail()
        self.carry(request, decision)

    def carry(self, request: Request, decision: Decision) -> None:
        match decision:
            case Send() if not self.wanted(request):
                self.ends.append((request.attempts[-1], Outcome.NOT_SENT, {}, False))
                self.settle()
            case Send(server, timeout_at):
                self.send(request, server, timeout_at)
            case Wait():
                self.seek(self.held.get(request))
            case Reject(retry_after):
                self.answer(request, Rejected(-(-retry_after // 1000)))
            case Fail():
                self.answer(request, Failed())
            case Done() if request in self.held:
                logger.error("decisions failed: a request was let go without an answer")
                self.answer(request, Failed())

    def send(self, request: Request, server: Server, timeout_at: int) -> None:
        attempt, held = request.attempts[-1], self.held[request]
        if held.place_by is not None:
            held.place_by.cancel()
        in_flight = self.in_flight[attempt] = InFlightAttempt(attempt, held.frame, held.upload)
        if trace.enabled:
            number, left = len(request.attempts), (timeout_at - self.now()) // 1000
            trace.step(held.frame.request_id, "attempt", number=number, server=server.name, left_ms=left)
        self.server_pools.send(in_flight, server.name, timeout_at)

    def wanted(self, request: Request) -> bool:
        """Whether the request's client is still there.  Asked before what goes out later than in the turn
        that read the request: after a hold-up the client's end may lie unread behind what is acted on."""
        if len(request.attempts) <= 1 and self.now() - request.arrived_at < self.LOOK_AGAIN:
            return True
        held = self.held.get(request)
        return held is not None and held.is_connected() and request in self.held

    def seek(self, held: Held | None) -> None:
        """A long write's time has not begun: what the decisions give one to find a place is given here."""
        if held is None or held.upload is None or held.upload.sent or held.request.partly_sent:
            return
        if held.place_by is None or not held.place_by.is_pending:
            held.place_by = self.deadlines.call_at(self.now() + held.wait // 8, self.no_place, held)

    def no_place(self, held: Held) -> None:
        if all(attempt.outcome for attempt in held.request.attempts):
            self.answer(held.request, Rejected(-(-self.balancer.parameters.retry_after // 1000)))

    def ended(
        self, in_flight: InFlightAttempt, outcome: Outcome, value: bytes | ResponseStream | None
    ) -> None:
        """An attempt has ended; the client of a satisfied one gets its answer before all else."""
        del self.in_flight[in_flight.attempt]
        if outcome == Outcome.SUCCEEDED:
            self.answer(in_flight.attempt.request, Value(value))
        load = self.load(in_flight.load_report)
        self.ends.append((in_flight.attempt, outcome, load, in_flight.cache_hit))
        self.settle()

    def load(self, report) -> dict[str, float]:
        """The figures of use in a node's load report; one that can't be read tells nothing, nor does harm."""
        if not self.settings.columns or not isinstance(report, bytes) or len(report) > MAX_ARGUMENT:
            return {}
        try:
            return usable_figures(orjson.loads(report), self.settings.columns)
        except (ValueError, AttributeError):  # no JSON, no object
            return {}

    def record_outcome(self, attempt: Attempt, outcome: Outcome, load: dict[str, float], hit: bool) -> None:
        request = attempt.request
        try:
            follow_up = self.balancer.record_outcome(attempt, outcome, self.now(), load, hit)
        except Exception:
            logger.exception("decisions failed: record_outcome")
            follow_up = OutcomeDecision(Fail(), [w for w in request.attempts if w in self.in_flight])
        self.call_off(follow_up.cancel)
        if not request.concluded and follow_up.decision != Done():
            self.carry(request, follow_up.decision)

    def call_off(self, attempts: list[Attempt]) -> None:
        for attempt in attempts:
            if attempt in self.in_flight:
                self.server_pools.cancel(self.in_flight[attempt])

    def settle(self) -> None:
        """Tells the decisions what has ended and asks them for all that is due, until there is nothing."""
        if self.settling:
            return
        self.settling = True
        try:
            while True:
                while self.ends:
                    self.record_outcome(*self.ends.popleft())
                now = self.now()
                try:
                    wakeup = self.balancer.next_wakeup(now)
                except Exception:
                    logger.exception("decisions failed: next_wakeup")
                    wakeup = Wakeup(BROKEN_PAUSE, [])
                if not wakeup.due:
                    break
                for action in wakeup.due:
                    self.act(action, now)
        finally:
            self.settling = False
        if wakeup.delay is not None:
            at = now + max(wakeup.delay, 1)
            if self.alarm is None or not self.alarm.is_pending or at < self.alarm.due_at:
                if self.alarm is not None:
                    self.alarm.cancel()
                self.alarm = self.deadlines.call_at(at, self.wake)

    def wake(self) -> None:
        self.alarm = None
        self.settle()

    # News.

    def listed(self, entries: list[dict], whole: bool) -> UpdateResult:
        """Takes the news.  Whether all of it could be used, and whether what could not is new to us."""
        nodes, useless, new = [], False, False
        settling, self.settling = self.settling, True  # what ends by the news is decided by all of it
        try:
            for entry in entries:
                try:
                    nodes.append(self.entry(entry))
                except (ValueError, TypeError, KeyError, AttributeError) as fault:  # guards the rest
                    useless = True
                    if (told := hash(repr(entry))) not in self.useless:  # each is told once
                        new = True
                        self.useless.append(told)
                        logger.error("list: an entry that can't be used: {}: {}", type(fault).__name__, fault)
            self.balancer.update_endpoints(nodes, whole, self.now())
            for node in self.balancer.servers.values():
                self.server_pools.set_ready(node.name, node.state == ServerState.READY)
        finally:
            self.settling = settling
        self.server_pools.forget_unlisted(self.balancer.servers)
        self.settle()
        return UpdateResult(not useless, new)

    def entry(self, entry: dict) -> Server:
        name, where = entry["instanceId"], entry.get("hostPort")
        if not isinstance(name, str):
            raise TypeError(f"instanceId: wanted a name, got {name!r}")
        node = Server(
            name,
            self.settings.kinds.get(entry.get("machineType"), -2),
            float(entry.get("weight") or 0),  # null tells nothing
            entry.get("zone") or "",
            entry.get("cell") or 0,
            STATES.get(
                entry.get("lifecycle"), ServerState.DRAINING
            ),  # an unknown word: nothing new goes there
            int(entry.get("startedAtMs") or 0) * 1000,
        )
        if (
            node.state == ServerState.READY
        ):  # one that leaves needs no parse_address: guards its drain against a spoilt one
            known = self.balancer.servers.get(name)
            restarted = known is not None and node.started_at > known.started_at
            self.server_pools.update_address(name, parse_address(where, "hostPort"), restarted)
        return node

    def told(self, words: bytes) -> None:
        try:
            self.balancer.receive_gossip(words, self.now())
        except Exception:  # guards against whatever another proxy, or a stranger in its place, may send
            logger.exception("decisions failed: a peer's words")
        self.settle()
