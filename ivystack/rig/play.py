"""Plays a scenario: starts the processes, applies and reverts the faults, and gathers the record of the run.

This module ends every process that it has started.  The record is checked by verdict.py.  Two runs on one
machine share no files and no ports.
"""

from __future__ import annotations

import socket
import time
from pathlib import Path
from random import Random

import orjson
from twisted.internet import defer
from twisted.internet.protocol import ClientFactory
from twisted.web.client import Agent, readBody

from ..load.arrivals import draw_arrivals
from ..load.clients import Clients, in_time
from ..mesh.keys import read_key_file, write_key_file
from ..net.resp import RespProtocol, encode_command
from ..standin.discovery import Discovery
from ..standin.ledger import SERVING
from ..standin.node import Node
from ..standin.origin import Origin
from .check import DRAIN_GRACE_US
from .agree import ConsensusWorkload
from .faults import Faults
from .logs import parse_duty_logs
from .processes import Process
from .record import CLASSES, COLD_SHARE, DEFAULT_DEDUP_WINDOW_US, OVERLOAD_FACTOR, US, Record, dedup_window_us
from .relay import RelayHub
from .scenario import Scenario, process_names
from .verdict import find_breaches

READY_WITHIN_S = 60.0  # for the start of all processes
GROUP_WITHIN_S = 20.0  # for the first leader of the consensus group
END_WITHIN_S = 6.0  # after SIGTERM
CLOCK_STEP_US = 2_000  # smaller steps of the wall clock do not show in the logs
CHECK_INTERVAL_S = 0.05  # between checks of the processes and of the reactor's lag


def proxy_settings(scenario: Scenario, number: int) -> dict:
    """Return the `settings` of a proxy's configuration, with times in nanoseconds."""
    ns = 1000
    semantics = {"read": "pure", "put": "token", "pay": "side_effect"}
    methods = [
        {
            "name": request_class.name, "semantics": semantics[request_class.name],
            "latency_budget": request_class.latency_budget * ns, "give_up": request_class.timeout * ns,
            "criticality": scenario.load.worth.get(request_class.name, 1.0),
            "tardy_criticality": 0.3, "group": "all", "window": dedup_window_us(scenario) * ns,
        }
        for request_class in CLASSES
    ]  # fmt: skip
    limits = {
        "connect_timeout": 250_000 * ns, "conn_idle": 10 * US * ns, "streams_per_conn": 8,
        "most_write_outs": 3, "may_duplicate": True, "retry_after": True, "max_retry_after": 400_000 * ns,
        "peers": scenario.fleet.peers,
    }  # fmt: skip
    rules = {
        "cold": int(scenario.fleet.warm * US) * ns, "cold_share": COLD_SHARE,
        "overload_factor": OVERLOAD_FACTOR, "stop_sending_within": DRAIN_GRACE_US * ns,
    }  # fmt: skip
    return {
        "methods": methods, "limits": limits, "rules": rules, "n_instances": scenario.fleet.proxies,
        "slot_no": number,
    }  # fmt: skip


class Ports:
    """Free ports, each reserved by a bound socket until the process that will listen on it starts."""

    def __init__(self):
        self.sockets: list[socket.socket] = []

    def reserve(self, host: str, kind=socket.SOCK_STREAM) -> int:
        """Reserve a free port of this address and return it."""
        reserved = socket.socket(socket.AF_INET, kind)
        self.sockets.append(reserved)
        reserved.bind((host, 0))
        return reserved.getsockname()[1]

    def release(self) -> None:
        while self.sockets:
            self.sockets.pop().close()


class PingProtocol(RespProtocol):
    """Sends a PING and calls `done` with whether the answer is a PONG."""

    def __init__(self, done):
        super().__init__()
        self.done = done

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(encode_command(b"PING"))

    def value_received(self, value) -> None:
        self.done(value == "+PONG")
        self.transport.loseConnection()

    def fail_protocol(self, why: str) -> None:
        self.done(False)


class PingFactory(ClientFactory):
    noisy = False

    def __init__(self, done):
        self.done = done

    def buildProtocol(self, addr):  # noqa: N802
        return PingProtocol(self.done)

    def clientConnectionFailed(self, connector, reason) -> None:  # noqa: N802
        self.done(False)


class Rig:
    """One run of a scenario in `folder`.

    `report` is called with each line of progress.  `program` is the folder of the package that the processes
    run; None means the package of this module.
    """

    def __init__(self, scenario: Scenario, folder: Path, reactor, report=lambda line: None, program=None):
        self.scenario, self.folder, self.reactor, self.report = scenario, folder, reactor, report
        self.program = program
        self.rng = Random(scenario.seed)
        self.hub = RelayHub(reactor, Random(self.rng.getrandbits(64)))
        self.record = Record(scenario)
        self.ledger = self.record.ledger
        self.faults = Faults(self)
        self.finished = False
        self.ports = Ports()
        # (wall time, wall clock minus monotonic clock from then on): the wall clock may be set during a run.
        self.clock_offsets = [(0, time.time_ns() // 1000 - self.now())]
        self.mesh_addresses: dict[str, tuple[str, int]] = {}
        self.mesh_relays: dict[str, tuple[str, int]] = {}
        self.members: list[str] = []
        self.group_client: ConsensusWorkload | None = None
        self.replacements: list[Process] = []  # started beside a proxy, as in an upgrade
        self.last_check_at = self.now()
        self.build()

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    # Set-up.

    def build(self) -> None:
        """Create the servers, relays, processes and clients of the run, without starting the processes."""
        fleet, hub = self.scenario.fleet, self.hub
        proxies, servers = process_names(self.scenario)
        windows = {
            request_class.name: DEFAULT_DEDUP_WINDOW_US
            for request_class in CLASSES
            if request_class.sends_idempotency_key and request_class.retryable
        }
        self.origin = Origin(
            self.reactor, self.now, Random(self.rng.getrandbits(64)), self.ledger,
            service_time=fleet.origin_time, at_once=fleet.origin, windows=windows,
        )  # fmt: skip
        hosts = {name: hub.assign_host(name, 1, number) for number, name in enumerate(proxies)}
        self.servers = {}
        for number, name in enumerate(servers):
            server = self.servers[name] = Node(
                name, self.reactor, self.now, Random(self.rng.getrandbits(64)), self.ledger, self.origin,
                zone=f"z{number % fleet.zones}", cores=fleet.cores, service_time=fleet.service,
                warm_up=int(fleet.warm * US), memory=fleet.memory, names=hub.process_names,
            )  # fmt: skip
            server.listen(hub.assign_host(name, 2, number))
        self.discovery = Discovery(
            self.reactor, self.now, self.ledger, address_for=self.server_address, names=hub.process_names
        )
        self.discovery.listen(hub.assign_host("discovery", 3, 0))
        hub.assign_host("clients", 4, 0)
        self.server_relays = {
            (proxy, server): hub.relay_tcp(proxy, server, self.servers[server].address)
            for proxy in proxies for server in servers
        }  # fmt: skip
        self.discovery_relays = {
            proxy: hub.relay_tcp(proxy, "discovery", self.discovery.address) for proxy in proxies
        }
        self.discovery.change(SERVING, *self.servers.values())
        self.listen_addresses = {proxy: (hosts[proxy], self.ports.reserve(hosts[proxy])) for proxy in proxies}
        self.proxy_relays = {
            proxy: hub.relay_tcp("clients", proxy, self.listen_addresses[proxy]) for proxy in proxies
        }
        self.gossip_addresses, self.gossip_relays = {}, {}
        if fleet.peers:
            ports = {proxy: self.ports.reserve(hosts[proxy], socket.SOCK_DGRAM) for proxy in proxies}
            self.gossip_addresses = {proxy: (hosts[proxy], ports[proxy]) for proxy in proxies}
            self.gossip_relays = {
                proxy: hub.relay_udp(proxy, self.gossip_addresses[proxy]) for proxy in proxies
            }
        self.admin_addresses = {proxy: (hosts[proxy], self.ports.reserve(hosts[proxy])) for proxy in proxies}
        if fleet.group:
            self.write_fleet_files([*hosts][: fleet.group])
        self.processes = {
            proxy: Process(
                proxy, self.folder / proxy, self.reactor, self.now, environment=self.environment(proxy)
            )
            for proxy in proxies
        }
        for process in self.processes.values():
            process.program = self.program or process.program
            process.max_open_files = fleet.sockets
        self.record.processes = [*self.processes.values()]
        self.clients = Clients(
            self.reactor,
            self.now,
            Random(self.rng.getrandbits(64)),
            self.proxy_relays,
            CLASSES,
            self.hub.refused_callers,
            self.scenario.load.reuse == "oldest",
        )
        self.arrivals = draw_arrivals(
            Random(self.rng.getrandbits(64)), self.scenario.seconds, self.scenario.load.rate,
            self.scenario.load.shape, self.scenario.load.keys, self.scenario.load.skew,
            {cls.name: getattr(self.scenario.load, cls.name) for cls in CLASSES}, fleet.proxies,
        )  # fmt: skip

    def environment(self, name: str) -> dict[str, str]:
        return {"LB_FLEET": str(self.folder / f"{name}.fleet.toml")} if self.scenario.fleet.group else {}

    def write_fleet_files(self, members: list[str]) -> None:
        """Write each proxy's operators' file, with the address by which the proxy reaches each member."""
        for member in members:
            if member not in self.mesh_addresses:
                host = self.hub.hosts[member]
                self.mesh_addresses[member] = host, self.ports.reserve(host)
                # The relay listens on the address of its process, because that address identifies a member.
                self.mesh_relays[member] = self.hub.relay_tcp(None, member, self.mesh_addresses[member], host)
        if not (self.folder / "fleet.key").exists():
            write_key_file(self.folder / "fleet.key", "k1")
        self.members = members
        for name in self.listen_addresses:
            lines = ["version = 1", 'key_file = "fleet.key"', f'directory = "{self.folder}/{{name}}/state"']
            for member in members:
                host, port = (self.mesh_addresses if member == name else self.mesh_relays)[member]
                lines += ["[[group.member]]", f'name = "{member}"', f'address = "{host}:{port}"']
            (self.folder / f"{name}.fleet.toml").write_text("\n".join(lines) + "\n")

    def server_address(self, caller: str, server: Node) -> str:
        """Return the address of the relay by which this proxy reaches the cache server."""
        return "{}:{}".format(*self.server_relays[caller, server.name])

    def config(self, name: str) -> dict:
        """Return the configuration of a proxy."""
        number = [*self.processes].index(name)
        config = {
            "name": name, "listen": "{}:{}".format(*self.listen_addresses[name]),
            "discovery": "{}:{}".format(*self.discovery_relays[name]),
            "seed": f"{self.rng.getrandbits(32):08x}",
            "admin_addr": "{}:{}".format(*self.admin_addresses[name]),
            "settings": proxy_settings(self.scenario, number),
            "limits": {"sockets": self.scenario.fleet.sockets, "memory_mb": 192},
        }  # fmt: skip
        if self.gossip_relays:
            config["peer_listen"] = "{}:{}".format(*self.gossip_addresses[name])
            config["peers"] = ["{}:{}".format(*address) for address in self.gossip_relays.values()]
        return config

    # The run.

    async def play(self) -> Record:
        """Run the scenario and return its record with the breaches found.

        Raises RuntimeError if a process ends during startup, or processes or the group are not ready in time.
        """
        try:
            await self.start_processes()
            if self.scenario.fleet.group:
                await self.start_group()
            await self.run_load()
            await self.stop_processes()
        finally:
            self.shut_down()
        self.complete_record()
        return self.record

    def wait(self, seconds: float) -> defer.Deferred:
        done: defer.Deferred = defer.Deferred()
        self.reactor.callLater(seconds, done.callback, None)
        return done

    async def start_processes(self) -> None:
        """Start every proxy and wait until each answers a PING."""
        started_at = self.now()
        self.ports.release()
        for name, process in self.processes.items():
            process.start(self.config(name))
        self.check_processes()
        waiting = [*self.processes]
        while waiting:
            for name in [*waiting]:
                if await self.ping(name):
                    waiting.remove(name)
                elif not self.processes[name].is_running():
                    raise RuntimeError(
                        f"{name} ended during startup; its log is {self.processes[name].log_file}"
                    )
            if (self.now() - started_at) / US > READY_WITHIN_S:
                raise RuntimeError(f"not ready within {READY_WITHIN_S:g} s: {', '.join(waiting)}")
            await self.wait(0.05)
        self.record.startup_seconds = (self.now() - started_at) / US
        self.report(f"{len(self.processes)} processes ready in {self.record.startup_seconds:.1f} s")

    def ping(self, name: str) -> defer.Deferred:
        """Fire with whether the proxy answers a PING within two seconds."""
        done: defer.Deferred = defer.Deferred()

        def finish(answered: bool) -> None:
            if not done.called:
                done.callback(answered)

        self.reactor.connectTCP(*self.listen_addresses[name], PingFactory(finish), timeout=1)
        self.reactor.callLater(2, finish, False)
        return done

    async def start_group(self) -> None:
        """Connect to the consensus group and wait until it has a leader."""
        rng = Random(self.rng.getrandbits(64))
        addresses = {member: self.mesh_relays[member] for member in self.members}
        keys = read_key_file(self.folder / "fleet.key")
        self.group_client = ConsensusWorkload(
            self.reactor, self.now, rng, keys, addresses, self.hub.hosts["clients"],
            self.scenario.agree.rate, self.scenario.agree.keys,
        )  # fmt: skip
        began_at = self.now()
        while not await self.group_client.has_leader():
            if (self.now() - began_at) / US > GROUP_WITHIN_S:
                raise RuntimeError(f"consensus group: no leader elected within {GROUP_WITHIN_S:g} s")
        self.report(f"the consensus group is led by {self.group_client.client.leader}")

    async def run_load(self) -> None:
        """Send the load, apply the faults, and record the state of the fleet after the settling time."""
        record, scenario = self.record, self.scenario
        record.start = self.now()
        self.clients.play(self.arrivals)
        if self.group_client is not None:
            self.group_client.start()
        for number, fault in enumerate(scenario.fault):
            self.reactor.callLater(fault.at, self.faults.schedule, number, fault)
        for second in range(1, int(scenario.seconds) + 1):
            self.reactor.callLater(second, self.report_progress, second)
        await self.wait(scenario.seconds)
        self.faults.end_all()
        if self.group_client is not None:
            self.reactor.callLater(scenario.settle, self.group_client.stop_sending)
        await self.wait(scenario.settle + max(request_class.timeout for request_class in CLASSES) / US)
        record.end = self.now()
        if scenario.fleet.group:
            for name, process in self.processes.items():
                if process.is_running():
                    record.fleet_status[name] = await self.fleet_status(name)

    async def fleet_status(self, name: str) -> dict:
        """Return the fleet status from the proxy's admin port; empty without an answer within two seconds."""
        url = "http://{}:{}/_fleet".format(*self.admin_addresses[name]).encode()
        call = Agent(self.reactor, connectTimeout=2).request(b"GET", url).addCallback(readBody)
        try:
            return orjson.loads(await call.addTimeout(2, self.reactor))
        except (
            Exception
        ):  # refused, late or no JSON: the scenario's conditions decide whether this is a breach
            return {}

    def report_progress(self, second: int) -> None:
        requests = self.clients.requests
        due = [request for request in requests if request.due < self.now() - US // 2]
        served = sum(in_time(request) for request in due)
        down = [name for name, process in self.processes.items() if not process.is_running()]
        self.report(
            f"{second:4d} s  {len(due)} requests, {served} served in time"
            + (f"  down: {' '.join(down)}" if down else "")
        )

    async def stop_processes(self) -> None:
        """Send SIGTERM to every process and wait for their ends."""
        for process in (*self.processes.values(), *self.replacements):
            if process.is_running():
                process.terminate()
        for _ in range(int(END_WITHIN_S / CHECK_INTERVAL_S)):
            if not any(process.is_running() for process in (*self.processes.values(), *self.replacements)):
                break
            await self.wait(CHECK_INTERVAL_S)

    def shut_down(self) -> None:
        """End everything that the run has started, in whatever state it is."""
        self.finished = True
        for process in (*self.processes.values(), *self.replacements):
            process.run_fraction = 0.0
            if process.is_running():
                process.kill()
        self.clients.close()
        if self.group_client is not None:
            self.group_client.stop()
        self.hub.stop()
        for server in self.servers.values():
            server.crash()
        self.discovery.stop()

    def check_processes(self) -> None:
        """Record the reactor's lag, steps of the wall clock and ended processes, every CHECK_INTERVAL_S."""
        if self.finished:
            return
        now = self.now()
        if self.record.start:
            self.record.reactor_lag = max(
                self.record.reactor_lag, now - self.last_check_at - int(CHECK_INTERVAL_S * US)
            )
        self.last_check_at = now
        wall = time.time_ns() // 1000
        if abs(wall - now - self.clock_offsets[-1][1]) > CLOCK_STEP_US:
            self.clock_offsets.append((wall, wall - now))
        before = {*self.hub.down}
        for process in (*self.processes.values(), *self.replacements):
            process.poll()
        self.update_relays(before)
        self.reactor.callLater(CHECK_INTERVAL_S, self.check_processes)

    def update_relays(self, before: set[str] | None = None) -> None:
        """Make the relays refuse connections to processes that are down.

        Nothing is done if the set of these processes equals `before`.
        """
        for name, process in self.processes.items():
            (self.hub.down.discard if process.is_running() else self.hub.down.add)(name)
        if before != self.hub.down:
            self.hub.apply_changes()

    def complete_record(self) -> None:
        """Add the results of the clients and the logs to the record, and check it."""
        record, clients = self.record, self.clients
        record.requests, record.client_attempts, record.latencies = (
            clients.requests,
            clients.attempts,
            clients.times,
        )
        record.load_lag, record.members = clients.lag, self.members
        for fault in record.faults:
            fault.end = fault.end or record.end
        if self.group_client is not None:
            record.table_history = self.group_client.history
        kills = {
            process.name: [at for at, event in process.events if event == "kill"]
            for process in record.processes
        }
        record.duty_actions, leases = parse_duty_logs(self.folder, self.clock_offsets, kills)
        record.leases = [lease for lease in leases if lease[0] < record.end]
        record.breaches = find_breaches(record)


def save_record(record: Record, folder: Path) -> None:
    """Write the run's events to rig.log and the clients' attempts to tries.jsonl.

    The lines of rig.log have the form of the processes' logs, so that `rig logs` merges them.
    """
    offset = time.time_ns() // 1000 - time.monotonic_ns() // 1000
    events = [(fault.start, f"{fault.target}: {fault.description} begins") for fault in record.faults]
    events += [
        (fault.end or record.end, f"{fault.target}: {fault.description} ends") for fault in record.faults
    ]
    events += [
        (at, f"{process.name}: {event}") for process in record.processes for at, event in process.events
    ]
    events += [
        (breach.at, f"BREACH {breach.rule}: {breach.subject}: {breach.text}") for breach in record.breaches
    ]
    lines = []
    for at, text in sorted(events):
        seconds, us = divmod(at + offset, US)
        stamp = time.strftime("%H:%M:%S", time.localtime(seconds))
        lines.append(f"{stamp}.{us // 1000:03d} RIG {text}\n")
    (folder / "rig.log").write_text("".join(lines))
    with open(folder / "tries.jsonl", "wb") as file:
        for attempt in record.client_attempts:
            answers = [(at - record.start, kind, str(text[:60])) for at, kind, text in attempt.answers]
            row = {
                "req": attempt.number, "id": attempt.ident.decode(), "class": attempt.request_class,
                "mark": attempt.idempotency_key.decode(), "proxy": attempt.proxy,
                "at_us": attempt.at - record.start, "by_us": attempt.deadline - record.start,
                "answers": answers, "crossed": attempt.maybe_unread, "left": attempt.client_left_at,
            }  # fmt: skip
            file.write(orjson.dumps(row) + b"\n")
