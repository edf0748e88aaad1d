"""Builds the state that a test needs."""

from random import Random

from twisted.internet.testing import MemoryReactorClock, StringTransport

from ivystack.balancing.balancer import Balancer
from ivystack.balancing.components import Components
from ivystack.balancing.connection_budget import ConnectionBudget
from ivystack.balancing.gossip import OutcomeGossip
from ivystack.balancing.load_shedding import LoadShedder
from ivystack.balancing.parameters import BalancerParameters
from ivystack.balancing.placement import Placement
from ivystack.balancing.server_load import LoadEstimator
from ivystack.balancing.slot_order import SlotOrderExchange
from ivystack.balancing.slow_start import SlowStart
from ivystack.balancing.tenant_quotas import TenantQuotas
from ivystack.model import (
    DedupGroup,
    Idempotency,
    Outcome,
    Request,
    RequestClass,
    SendGossip,
    Server,
)
from ivystack.net.proxy import Proxy
from ivystack.net.resp import encode_bulk, encode_command
from ivystack.configuration.process import ProcessConfiguration
from ivystack.configuration.schema import ConfigurationFile, convert

S = 1_000_000


def make_servers(count, **more):
    """So many cache servers, n00, n01, .."""
    return [Server(f"n{i:02}", **more) for i in range(count)]


def make_balancer(
    listed=(),
    *,
    tenants=(),
    initial_fraction=1.0,
    warm_up_time=0,
    overload_factor=4.0,
    weighted=False,
    live_weights=False,
    now=0,
    process_count=1,
    own_number=0,
    gossip=False,
    **parameters,
):
    """A balancer of its own, told of the listed servers.  `live_weights`: these fall with load."""
    rng = Random(1 + own_number)
    components = Components(
        placement=Placement(weighted, live_weights),
        slow_start=SlowStart(initial_fraction, warm_up_time, overload_factor),
        shedder=LoadShedder(rng, TenantQuotas(list(tenants), process_count), 0.1),
        connections=ConnectionBudget(60 * S, process_count),
        load=LoadEstimator(live_weights),
    )
    given = {"max_attempts": 3, "hedging_enabled": True} | parameters
    made = Balancer(
        rng,
        BalancerParameters(**given),
        components,
        OutcomeGossip(rng, own_number, process_count) if gossip else None,
        SlotOrderExchange(rng, own_number, process_count) if gossip else None,
    )
    made.update_endpoints(list(listed), True, now)
    return made


def make_request(
    idempotency=Idempotency.IDEMPOTENT,
    *,
    key=7,
    arrived_at=0,
    latency_objective=S,
    time_to_deadline=2 * S,
    dedup_group="all",
    dedup_window=0,
    **more,
):
    """A request of a class of its own."""
    request_class = RequestClass(
        "m",
        idempotency,
        latency_objective,
        dedup_group=DedupGroup(dedup_group),
        dedup_window=dedup_window,
    )
    return Request(request_class, arrived_at, arrived_at + time_to_deadline, key, **more)


def make_weighted_servers(*weights, kind=0):
    """A cache server of each weight."""
    return [Server(f"n{i:02}", kind, weight) for i, weight in enumerate(weights)]


def make_balancer_with_origin(**more):
    """A balancer whose cache servers answer misses at once, and the origin behind them."""
    listed = [*make_servers(3), Server("origin", kind=4)]
    balancer = make_balancer(listed, origin_kind=4, hedging_enabled=False, max_attempts=2, **more)
    return balancer, balancer.servers["origin"]


def route_after_miss(balancer, now, **more):
    """A read that a cache server has just missed, and the next decision of it."""
    request = make_request(arrived_at=now, time_to_deadline=more.pop("time_to_deadline", 3 * S), **more)
    balancer.route(request, now)
    balancer.record_outcome(request.attempts[0], Outcome.CACHE_MISS, now)
    balancer.next_wakeup(now)
    return request, balancer.route(request, now)


def make_ranked_request(now):
    """A request of middle rank that warming servers take too."""
    request = make_request(arrived_at=now)
    request.is_ranked, request.limit_fraction, request.warm_up_draw = True, 0.5, 0.1
    return request


def make_fleet(count, servers_each=4):
    """The balancers of so many processes that know the same servers, with a seed of its own each."""
    balancers = [
        make_balancer(make_servers(servers_each), process_count=count, gossip=True, own_number=me)
        for me in range(count)
    ]
    for one in balancers:
        one.slot_order.settled_at = one.slot_order.next_at = -1  # they have run for long
        one.next_wakeup(0)
    return balancers


def deliver_gossip(balancers, now):
    """Deliver the datagrams that are due; return how many they were, and of how many bytes."""
    sent = [
        (r.peer, r.datagram)
        for one in balancers
        for r in one.next_wakeup(now).due
        if isinstance(r, SendGossip)
    ]
    for peer, datagram in sent:
        balancers[peer].receive_gossip(datagram, now)
    return len(sent), sum(len(datagram) for _, datagram in sent)


class FakeTransport(StringTransport):
    """Keeps what is written, as sockets would pass it on."""

    def setTcpNoDelay(self, on):  # noqa: N802
        self.no_delay = on

    def fileno(self):
        return -1  # there is no socket

    dataBuffer, offset, _tempDataLen = b"", 0, 0  # noqa: N815  all that is written has gone out

    def read_now(self):
        """Nothing has come that was not given to the protocol."""

    def look_for_end(self):
        return True

    def doRead(self):  # noqa: N802
        self.read_now()

    def doWrite(self):  # noqa: N802
        """Nothing waits in our own buffer."""

    def take_output(self):
        """What has been written since this was asked last."""
        text = self.value()
        self.clear()
        return text


class FakeListeningPort:
    """A listening socket at which nobody waits."""

    open = True

    def stopReading(self):  # noqa: N802
        pass

    def accept_waiting(self, most):
        pass

    def connectionLost(self, reason):  # noqa: N802
        self.open = False


class FakeReactor(MemoryReactorClock):
    pass


def fake_listen(reactor, host, port, factory, backlog):
    return FakeListeningPort()


def make_entries(count, state="SERVING", **more):
    return [
        {"instanceId": f"n{i}", "hostPort": f"127.0.0.9:{7000 + i}", "lifecycle": state, "weight": 1.0} | more
        for i in range(count)
    ]


def make_process_configuration(reporting=None, methods=None, **limits):
    """What a proxy is told, with two classes where no others are given."""
    methods = methods or [
        {"name": name, "semantics": semantics, "latency_budget": 10**9, "give_up": 10**9, "criticality": 1.0}
        for name, semantics in (("read", "pure"), ("pay", "side_effect"))
    ]
    limits = {"connect_timeout": 250_000_000, "conn_idle": 10 * 10**9, "most_write_outs": 3} | limits
    config = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "ff"}
    config["settings"] = {"methods": methods, "limits": limits, "parties": [{"name": "t"}]}
    config["settings"]["reporting"] = reporting
    return ProcessConfiguration(convert(config, ConfigurationFile))


def make_proxy(count=1, reporting=None, run=None, **limits):
    """A proxy on a reactor that only keeps what it is asked for, told of so many cache nodes."""
    reactor = FakeReactor()
    reactor.advance(1000)
    made = Proxy(
        run or make_process_configuration(reporting, **limits), reactor, lambda: round(reactor.seconds() * S)
    )
    made.listen = fake_listen
    made.endpoints.update(make_entries(count), True)
    return made


def connect_client(of):
    made = of.client_server.buildProtocol(None)
    made.makeConnection(FakeTransport())
    return made


def open_server_connection(of, number=-1):
    """The connection that the proxy asked for, come up."""
    made = of.reactor.tcpClients[number][2].buildProtocol(None)
    made.makeConnection(FakeTransport())
    return made


def encode_get(ident=b"1", key=b"7f", fields=b"c=read,t=t,d=500"):
    return encode_command(b"OBJ.GET", key, ident, fields)


def encode_hit(text=b"v", report=None):
    return (
        b"*3\r\n"
        + encode_bulk(text)
        + encode_bulk(b"hit")
        + (b"$-1\r\n" if report is None else encode_bulk(report))
    )
