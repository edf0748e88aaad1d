"""Second copies of good answers, some milliseconds late, on connections on which nothing else waits."""

import asyncio
import itertools
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import lab

WAY = 0.012  # seconds one way between the proxy and the cache nodes; the pages: 10 to 20 ms
LATENESS = 0.008  # seconds from an answer to its second copy; the pages: some milliseconds
SHARE = 0.05  # of the answers that come with a second copy
SECONDS, CLIENTS = 20, 2


class DoublingNode(lab.CacheNode):
    """Sends some answers twice; the second copy only while no other command waits on the connection."""

    def __init__(self, *arguments, seed):
        super().__init__(*arguments)
        self.random, self.doubled = random.Random(seed), 0

    async def answered(self, sock, answers, words, answer):
        if lab.TROUBLE and self.random.random() < SHARE:
            self.spawn(self.second_copy(sock, words, answer))

    async def second_copy(self, sock, words, answer):
        await asyncio.sleep(LATENESS)
        if self.latest.get(sock) is words:
            self.doubled += 1
            self.record("copy", f"node={self.name} second copy of the answer to id={words[2].decode()}")
            await asyncio.get_running_loop().sock_sendall(sock, answer)


async def client(number, proxy, record, breaks, counts, until):
    loop, sock = asyncio.get_running_loop(), await proxy.connect()
    stream = lab.Stream(sock)
    for count in itertools.count():
        if record.now() > until:
            break
        ident, key = f"c{number}-{count}", f"{random.Random(number * 100_000 + count).getrandbits(52):013x}"
        is_write = count % 13 == 12  # sign-submit is 7.9% of the traffic
        record("sent", f"id={ident} {'OBJ.SET' if is_write else 'OBJ.GET'} key={key}")
        if is_write:
            words = b"OBJ.SET", key.encode(), ident.encode(), b"c=sign-submit,d=2500,k=%016x" % (number * 100_000 + count), b"signed"
        else:
            words = b"OBJ.GET", key.encode(), ident.encode(), b"c=doc-view,d=1500"
        await loop.sock_sendall(sock, lab.command(*words))
        answer = await asyncio.wait_for(stream.value(), 5)
        kind = lab.classify(answer)
        counts[kind] = counts.get(kind, 0) + 1
        record("answer", f"id={ident} {kind} {answer!r:.80}")
        made = f"made-for:{ident}:{key}".encode()
        if kind == "served" and answer != made:
            breaks.append(f"id={ident} was served with {answer!r}, which no cache node made for it")
    sock.close()


async def case(record, folder, ends):
    nodes = [DoublingNode(f"s-{number}", record, seed=number).start() for number in range(3)]
    for node in nodes:
        await lab.Relay(node, WAY).start()
    discovery = await lab.Discovery(nodes, record).start()
    proxy = lab.Proxy(folder, record, discovery, lab.settings())
    ends.append(proxy.end)
    await proxy.ready()
    breaks, counts, until = [], {}, record.now() + SECONDS
    await asyncio.gather(*(client(number, proxy, record, breaks, counts, until) for number in range(CLIENTS)))
    record("totals", f"{counts} second copies={sum(node.doubled for node in nodes)} wrong={len(breaks)}")
    if not counts.get("served"):
        raise lab.CannotRun("nothing was served")
    return breaks


lab.main(case, Path(__file__).parent)
