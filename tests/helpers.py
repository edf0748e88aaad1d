"""Builds the state that a test needs."""

from random import Random

from twisted.internet.testing import MemoryReactorClock, StringTransport

from ivystack.choice import Balancer, Cold, Health, Hearsay, Links, Live, Order, Placement, Room, Shares
from ivystack.model import DedupGroup, Idempotency, Request, RequestClass, Server
from ivystack.net.proxy import Proxy
from ivystack.net.resp import encode_bulk, encode_command
from ivystack.settings import Config, Run, checked

S = 1_000_000


def nodes(count, **more):
    return [Server(f"n{i:02}", **more) for i in range(count)]


def choice(
    listed=(),
    *,
    tenants=(),
    cold_share=1.0,
    cold=0,
    sized=False,
    now=0,
    proxies=1,
    peers=False,
    me=0,
    live=False,
    fall=4.0,
    **more,
):
    rng = Random(1 + me)
    given = dict(origin=-1, most_write_outs=3, may_duplicate=True, come_back=0, tick=0)
    made = Balancer(
        rng,
        Placement(sized, live),
        Health(),
        Cold(cold_share, cold, fall),
        Room(),
        Shares(rng, list(tenants), 0.1, proxies),
        Links(60 * S, proxies),
        Hearsay(rng, me, proxies) if peers else None,
        Order(rng, me, proxies) if peers else None,
        Live() if live else None,
        **(given | more),
    )
    made.update_endpoints(list(listed), True, now)
    return made


def req(idempotency=Idempotency.IDEMPOTENT, *, key=7, arrived=0, budget=S, give_up=2 * S, **more):
    group = DedupGroup(more.pop("group", "all"))
    request_class = RequestClass(
        "m", idempotency, budget, dedup_group=group, dedup_window=more.pop("window", 0)
    )
    return Request(request_class, arrived, arrived + give_up, key, **more)


class Transport(StringTransport):
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

    def took(self):
        """What has been written since this was asked last."""
        text = self.value()
        self.clear()
        return text


class Door:
    """A listening socket at which nobody waits."""

    open = True

    def stopReading(self):  # noqa: N802
        pass

    def accept_waiting(self, most):
        pass

    def connectionLost(self, reason):  # noqa: N802
        self.open = False


class Reactor(MemoryReactorClock):
    pass


def listen(reactor, host, port, factory, backlog):
    return Door()


def entries(count, state="SERVING", **more):
    return [
        {"instanceId": f"n{i}", "hostPort": f"127.0.0.9:{7000 + i}", "lifecycle": state, "weight": 1.0} | more
        for i in range(count)
    ]


def told(reporting=None, methods=None, **limits):
    """What a proxy is told, with two classes where no others are given."""
    methods = methods or [
        {"name": name, "semantics": semantics, "latency_budget": 10**9, "give_up": 10**9, "criticality": 1.0}
        for name, semantics in (("read", "pure"), ("pay", "side_effect"))
    ]
    limits = {"connect_timeout": 250_000_000, "conn_idle": 10 * 10**9, "most_write_outs": 3} | limits
    config = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "ff"}
    config["settings"] = {"methods": methods, "limits": limits, "parties": [{"name": "t"}]}
    config["settings"]["reporting"] = reporting
    return Run(checked(config, Config))


def proxy(count=1, reporting=None, run=None, **limits):
    """A proxy on a reactor that only keeps what it is asked for, told of so many cache nodes."""
    reactor = Reactor()
    reactor.advance(1000)
    made = Proxy(run or told(reporting, **limits), reactor, lambda: round(reactor.seconds() * S))
    made.listen = listen
    made.listed(entries(count), True)
    return made


def client(of):
    made = of.client_server.buildProtocol(None)
    made.makeConnection(Transport())
    return made


def link(of, number=-1):
    """The connection that the proxy asked for, come up."""
    made = of.reactor.tcpClients[number][2].buildProtocol(None)
    made.makeConnection(Transport())
    return made


def get(ident=b"1", key=b"7f", fields=b"c=read,t=t,d=500"):
    return encode_command(b"OBJ.GET", key, ident, fields)


def hit(text=b"v", report=None):
    return (
        b"*3\r\n"
        + encode_bulk(text)
        + encode_bulk(b"hit")
        + (b"$-1\r\n" if report is None else encode_bulk(report))
    )
