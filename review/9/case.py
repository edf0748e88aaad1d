"""Case 9: clients that take seconds to read, on a proxy with the memory that the pages give it."""

import asyncio
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from trial import TROUBLE, CannotRunError, Discovery, Node, Proxy, RespReader, command, main  # noqa: E402

MEMORY_MB, SOCKETS = 192, 1024
CLIENTS, COMMANDS = 100, 100  # commands that a client sends at once
SIZE = 64_000  # bytes of a value; no value is over 64 KiB
STARTS_WITHIN = 8.0  # seconds over which the clients come
# What the system itself may hold of a connection that is not read; more would hide what the proxy holds.
MOST_IN_SYSTEM = 4 << 20  # bytes, Linux's usual bound
READS_AFTER = 9.0 if TROUBLE else 0.0  # seconds that a client takes before it reads its answers


class LargeNode(Node):
    service_time = 0.002

    def value(self, slot):
        return (b"value of " + slot.arguments[2] + b" ").ljust(SIZE, b".")


def resident_mb(pid):
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS:")), 0.0)


async def platform(trial, proxy, state):
    """Kill the proxy when it holds more memory than its configuration allows, as the platform does."""
    looks = 0
    while proxy.process.returncode is None:
        held = resident_mb(proxy.process.pid)
        state["peak"] = max(state["peak"], held)
        if looks % 25 == 0:
            trial.log(f"the proxy holds {held:.0f} MB; answers so far {state['answers']}")
        looks += 1
        if held > MEMORY_MB:
            trial.say(f"the proxy holds {held:.0f} MB, over `memory_mb` = {MEMORY_MB}: the platform kills it")
            state["killed"] = True
            proxy.signal(signal.SIGKILL)
            return
        await asyncio.sleep(0.02)


async def client(trial, proxy, number, state):
    await asyncio.sleep(STARTS_WITHIN * number / CLIENTS)
    try:
        plain = socket.socket()
        plain.setblocking(False)
        await asyncio.get_running_loop().sock_connect(plain, proxy.listen)
        commands = b"".join(
            command(b"OBJ.GET", b"%016x" % (7919 * (1000 * number + n)), b"c%d-%d" % (number, n), b"c=read,d=1400")
            for n in range(COMMANDS)
        )
        await asyncio.get_running_loop().sock_sendall(plain, commands)
        trial.log(f"client {number} has sent {COMMANDS} commands")
        await asyncio.sleep(READS_AFTER)  # nobody reads from the socket meanwhile
        reader, writer = await asyncio.open_connection(sock=plain, limit=1 << 18)
        resp = RespReader(reader)
        for _ in range(COMMANDS):
            answer = await asyncio.wait_for(resp.read(), 20)
            kind = "served" if isinstance(answer, bytes) else str(answer)
            state["answers"][kind] = state["answers"].get(kind, 0) + 1
            trial.log(f"client {number} got {str(answer)[:24]} ({len(answer or '')} bytes)")
        writer.close()
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        state["lost"] += 1
        trial.log(f"client {number}: {type(error).__name__}")


async def case(trial):
    in_system = int(Path("/proc/sys/net/ipv4/tcp_wmem").read_text().split()[2])
    if in_system > MOST_IN_SYSTEM:
        raise CannotRunError(f"this system may hold {in_system} bytes of a connection, over {MOST_IN_SYSTEM}")
    discovery = Discovery(trial)
    for number in range(8):
        node = LargeNode(trial, f"s-{number}")
        discovery.change(node.name, await node.start())
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    proxy = Proxy(trial, discovery, await discovery.start(), limits=limits)
    await proxy.start()
    state = {"peak": 0.0, "killed": False, "answers": {}, "lost": 0}
    trial.say(f"the proxy holds {resident_mb(proxy.process.pid):.0f} MB before the first client")
    trial.spawn(platform(trial, proxy, state))
    clients = [trial.spawn(client(trial, proxy, number, state)) for number in range(CLIENTS)]
    waiting = {*clients}
    while waiting and not state["killed"]:
        _, waiting = await asyncio.wait(waiting, timeout=0.1)
    if state["killed"]:
        await proxy.process.wait()
        state["lost"] += len(waiting)
    proxy.keep_log(30)
    trial.say(
        f"peak {state['peak']:.0f} MB of {MEMORY_MB}; answers read {state['answers']}; "
        f"connections without all answers: {state['lost']}"
    )
    return not state["killed"]


main(__file__, case)
