"""Case 10: commands behind a long answer whose cache server's connection is reset."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from trial import TROUBLE, Discovery, Node, Proxy, RespReader, command, main  # noqa: E402

ROUNDS = 20
LONG = 400_000  # bytes of the long value; over 64 KiB a value is long
SENT_BEFORE_RESET = 200_000
LONG_TIME, SHORT_TIME = 0.020, 0.005  # seconds that a cache server works on a request
DEADLINE = 1.5  # seconds
SLACK = 0.55  # STANDING.md: half a second after its time; PROTOCOL.md: each time limit is 50 ms longer


class ResettingNode(Node):
    resets = 0
    executed = set()  # ids, for all servers

    async def serve(self, slot):
        is_long = slot.arguments[2].startswith(b"long")
        await asyncio.sleep(LONG_TIME if is_long else SHORT_TIME)
        self.executed.add(slot.arguments[2])
        size = LONG if is_long else 0
        answer = self.served((b"value of " + slot.arguments[2] + b" ").ljust(size, b"."))
        if not is_long or not TROUBLE:
            slot.connection.reply(slot, answer)
            return
        writer = slot.connection.writer
        writer.write(answer[:SENT_BEFORE_RESET])
        while writer.transport.get_write_buffer_size() and not writer.is_closing():
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.010)  # the first half is on its way to the client
        ResettingNode.resets += 1
        self.trial.log(f"{self.name} resets the connection within the answer to {slot.arguments[2].decode()}")
        writer.transport.abort()


async def rounds(trial, proxy, number, state):
    """Send a long read, a write and a short read at once on one connection, and read the answers."""
    reader, writer = await asyncio.open_connection(*proxy.listen, limit=1 << 19)
    names = [b"long-%d" % number, b"write-%d" % number, b"short-%d" % number]
    d = b"%d" % (DEADLINE * 1000)
    trial.log("client sends " + ", ".join(name.decode() for name in names) + " at once")
    writer.write(
        command(b"OBJ.GET", b"10%014x" % number, names[0], b"c=read,d=" + d)
        + command(b"OBJ.SET", b"20%014x" % number, names[1], b"c=put,d=" + d, b"x" * 64)
        + command(b"OBJ.GET", b"30%014x" % number, names[2], b"c=read,d=" + d)
    )
    resp, answered = RespReader(reader), []
    try:
        async with asyncio.timeout(DEADLINE + SLACK):
            for name in names:
                answer = await resp.read()
                answered.append(name)
                trial.log(f"client got {str(answer)[:32]} ({len(answer or '')} bytes) to {name.decode()}")
                state["answered"] += 1
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        trial.log(f"the connection ended ({type(error).__name__}), {len(answered)} of 3 answered")
    except asyncio.TimeoutError:
        trial.log(f"no further answer after {DEADLINE + SLACK} s, {len(answered)} of 3 answered")
    writer.close()
    await asyncio.sleep(0.1)
    for name in names[1:]:  # the long one has failed, and its client can tell that it is not whole
        if name not in answered and name in ResettingNode.executed:
            state["lost"].append(name)
            trial.log(f"BROKEN: {name.decode()} was read, forwarded and executed, and has no answer")
    if names[0] not in answered:
        state["cut"] += 1


async def case(trial):
    discovery = Discovery(trial)
    for name in ("s-1", "s-2", "s-3"):
        node = ResettingNode(trial, name)
        discovery.change(name, await node.start())
    proxy = Proxy(trial, discovery, await discovery.start())
    await proxy.start()
    state = {"answered": 0, "cut": 0, "lost": []}
    for number in range(ROUNDS):
        await rounds(trial, proxy, number, state)
    proxy.keep_log()
    writes = sum(name.startswith(b"write") for name in state["lost"])
    trial.say(
        f"{3 * ROUNDS} requests, {state['answered']} answered; {ResettingNode.resets} resets, {state['cut']} long "
        f"values not whole; executed and never answered: {len(state['lost'])}, of them writes: {writes}"
    )
    return not state["lost"]


main(__file__, case)
