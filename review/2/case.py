"""Commands sent at once on one connection, the first a long read whose node's connection is reset midway."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import lab

ROUNDS, LONG = 24, 1 << 20
RESET = 3  # of the connections with a long answer, one in so many is reset midway; the pages name no share
# The settings of a day may give a class another effect than the site does.
METHODS = [*lab.METHODS[:2], lab.method("sign-submit", "side_effect", 1200, 2500, 10.0)]


class Node(lab.CacheNode):
    async def run(self, words):
        if not words[2].startswith(b"long"):
            return await super().run(words)
        await asyncio.sleep(self.service)
        value = (b"made-for:%b:%b " % (words[2], words[1])).ljust(LONG, b"x")
        return b"*3\r\n" + lab.bulk(value) + lab.bulk(b"hit") + b"$-1\r\n"

    async def write(self, sock, answers):
        loop = asyncio.get_running_loop()
        try:
            while True:
                words, work = await answers.get()
                answer = await work
                if words and words[2].startswith(b"long") and lab.TROUBLE and int(words[2][4:]) % RESET == 0:
                    await loop.sock_sendall(sock, answer[: LONG // 3])
                    await asyncio.sleep(0.1)
                    lab.reset(sock)
                    self.record("trouble", f"node={self.name} connection reset within the answer to {words[2].decode()}")
                    return
                await loop.sock_sendall(sock, answer)
        except OSError:
            pass


async def round_(number, proxy, record, breaks, nodes):
    loop, sock = asyncio.get_running_loop(), await proxy.connect()
    draw = random.Random(number)
    idents = [f"long{number}", f"pay{number}", f"read{number}"]
    keys = [f"{draw.getrandbits(52):013x}".encode() for _ in idents]
    commands = [
        lab.command(b"OBJ.GET", keys[0], idents[0].encode(), b"c=doc-view,d=1500"),
        lab.command(b"OBJ.SET", keys[1], idents[1].encode(), b"c=sign-submit,d=2500", b"signed"),
        lab.command(b"OBJ.GET", keys[2], idents[2].encode(), b"c=doc-view,d=1500"),
    ]
    record("sent", f"at once: {' '.join(idents)}")
    await loop.sock_sendall(sock, b"".join(commands))
    stream, answered = lab.Stream(sock), 0
    try:
        for ident in idents:
            answer = await asyncio.wait_for(stream.value(), 8)
            answered += 1
            record("answer", f"id={ident} {lab.classify(answer)} {answer!r:.60}")
    except (OSError, asyncio.TimeoutError) as error:
        record("ended", f"connection ended after {answered} whole answers, {len(stream.data)} bytes of the next: "
               f"{type(error).__name__}")
        for ident in idents[max(1, answered) :]:
            begun = [node.name for node in nodes if ident in node.begun]
            if begun:
                breaks.append(f"id={ident} was read and sent to {begun}, and its connection was closed with no answer")
    sock.close()


async def case(record, folder, ends):
    nodes = [Node(f"s-{number}", record).start() for number in range(4)]
    discovery = await lab.Discovery(nodes, record).start()
    proxy = lab.Proxy(folder, record, discovery, lab.settings(METHODS))
    ends.append(proxy.end)
    await proxy.ready()
    breaks = []
    for number in range(ROUNDS):
        await round_(number, proxy, record, breaks, nodes)
        await asyncio.sleep(0.3)
    return breaks


lab.main(case, Path(__file__).parent)
