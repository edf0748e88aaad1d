"""Clients that send many commands at once: each is answered with what was made for it, and nodes get what was sent."""

import asyncio
import hashlib
import random
import sys
from collections import deque
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import lab

NODES, CLIENTS, SECONDS = 3, 8, 55
REQUESTS_PER_S = 320  # of all clients together; the pages: 200 to 320 requests a second come to a proxy
BATCH = 100  # commands that a client sends at once; the pages: clients send many commands at once
WRITES = 8  # of them; the pages: sign-submit is 7.9% of the traffic
VALUES = [1_000, 1_000, 12_000, 60_000]  # bytes of a write's value; the pages: values hold at most 64 KiB
WORK = {b"OBJ.GET": (0.038, 0.068), b"OBJ.SET": (0.110, 0.190)}  # seconds; doc-view and sign-submit of the site
LEAST_SERVED = 1000  # fewer answers show nothing


class Node(lab.CacheNode):
    """Compares each command with what the client sent."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.sent, self.breaks, self.random = {}, [], random.Random(self.name)

    async def run(self, words):
        ident = words[2].decode("latin-1")
        value = hashlib.blake2b(words[4]).hexdigest() if len(words) > 4 else None
        if self.sent.get(ident) != (words[0], words[1], lab.fields_of(words).get(b"c"), value):
            self.breaks.append(f"id={ident}: node {self.name} got a command that no client sent: "
                               f"{b' '.join(words[:4])!r:.90}")
        self.service = self.random.uniform(*WORK[words[0]])
        return await super().run(words)


class Connection:
    """A client's connection: commands that are sent on it, and their answers in the order of the commands."""

    def __init__(self, sock, client):
        self.sock, self.client = sock, client
        self.waiting, self.more, self.ended, self.last = deque(), asyncio.Event(), False, None
        self.written = set()  # ids of the commands whose last byte is written: only these are taken
        self.reading = asyncio.ensure_future(self.read())

    async def send(self, commands):
        """Write one command after the other, without waiting for answers."""
        self.client.record("sent", f"{commands[0][0]} to {commands[-1][0]}")
        may_cross = not self.waiting  # the connection rests, and the proxy may be closing it
        try:
            for ident, key, data in commands:
                self.waiting.append((ident, key, data, may_cross))
                may_cross = False
                self.more.set()
                await asyncio.get_running_loop().sock_sendall(self.sock, data)
                self.written.add(ident)
                await asyncio.sleep(0)
        except OSError:
            pass  # the reader reports it

    async def read(self):
        stream, breaks = lab.Stream(self.sock), self.client.breaks
        while not self.ended:
            while not self.waiting:
                self.more.clear()
                await self.more.wait()
            ident, key, _, may_cross = self.waiting[0]
            try:
                answer = await asyncio.wait_for(stream.value(), 10)
            except (OSError, asyncio.TimeoutError) as error:
                if may_cross and not any(one[0] in node.begun for one in self.waiting for node in self.client.nodes):
                    # The close crossed commands that the proxy has not read: they are sent once more.
                    self.client.record("crossed", f"{ident} and {len(self.waiting) - 1} more")
                    self.client.crossed.append([one[:3] for one in self.waiting])
                    break
                taken = [one[0] for one in self.waiting if one[0] in self.written]
                if taken:
                    breaks.append(f"id={taken[0]} and {len(taken) - 1} more on its connection have no answer: "
                                  f"{type(error).__name__}; the answer before: {self.last!r:.40}")
                break
            self.waiting.popleft()
            self.last, kind = answer, lab.classify(answer)
            self.client.counts[kind] = self.client.counts.get(kind, 0) + 1
            self.client.record("answer", f"id={ident} {kind} {answer!r:.60}")
            if kind == "served" and answer != f"made-for:{ident}:{key}".encode():
                breaks.append(f"id={ident} was served with {answer!r}, which no cache node made for it")
                break
        self.ended = True
        self.sock.close()

    async def finish(self):
        """Wait for the last answers, and close."""
        while self.waiting and not self.ended:
            await asyncio.sleep(0.05)
        self.ended = True
        self.reading.cancel()
        self.sock.close()


class Client:
    def __init__(self, number, proxy, record, nodes, counts):
        self.number, self.proxy, self.record, self.nodes, self.counts = number, proxy, record, nodes, counts
        self.random, self.count, self.breaks, self.connections = random.Random(number), 0, [], []
        self.crossed = []  # commands to be sent once more, on a new connection

    def commands(self):
        batch, writes = [], self.random.sample(range(BATCH), WRITES)
        for place in range(BATCH):
            self.count += 1
            ident, key = f"c{self.number}-{self.count}", f"{self.random.getrandbits(52):013x}"
            words = [b"OBJ.GET", key.encode(), ident.encode(), b"c=doc-view,d=1500"]
            if place in writes:
                mark = self.random.getrandbits(60)
                words = [b"OBJ.SET", key.encode(), ident.encode(), b"c=sign-submit,d=2500,k=%016x" % mark,
                         (b"%016x" % mark) * (self.random.choice(VALUES) // 16)]
            value = hashlib.blake2b(words[4]).hexdigest() if len(words) > 4 else None
            for node in self.nodes:
                node.sent[ident] = words[0], words[1], lab.fields_of(words)[b"c"], value
            batch.append((ident, key, lab.command(*words)))
        return batch

    async def connection(self, may_wait):
        """Return a connection; if `may_wait` is false, one on which no command waits for its answer."""
        self.connections = [other for other in self.connections if not other.ended]
        for other in self.connections:
            if may_wait or not other.waiting:
                return other
        self.connections.append(Connection(await self.proxy.connect(), self))
        return self.connections[-1]

    async def send_crossed(self):
        """Send once more, on new connections, what crossed the end of a connection."""
        while True:
            while self.crossed:
                commands = self.crossed.pop()
                self.connections.append(Connection(await self.proxy.connect(), self))
                await self.connections[-1].send(commands)
            await asyncio.sleep(0.005)

    async def run(self, until):
        resending = asyncio.ensure_future(self.send_crossed())
        interval = BATCH * CLIENTS / REQUESTS_PER_S
        due = self.record.now() + interval * self.random.random()
        while due < until:
            await asyncio.sleep(max(0.0, due - self.record.now()))
            batch = self.commands()
            if lab.TROUBLE:
                await (await self.connection(may_wait=True)).send(batch)
            else:  # the same commands at an even pace, each alone on its connection
                for place, one in enumerate(batch):
                    await asyncio.sleep(max(0.0, due + place * interval / BATCH - self.record.now()))
                    await (await self.connection(may_wait=False)).send([one])
            due += interval
        await asyncio.sleep(1)
        resending.cancel()
        for connection in self.connections:
            await connection.finish()


async def case(record, folder, ends):
    nodes = [Node(f"s-{number}", record).start() for number in range(NODES)]
    discovery = await lab.Discovery(nodes, record).start()
    proxy = lab.Proxy(folder, record, discovery, lab.settings())
    ends.append(proxy.end)
    await proxy.ready()
    counts = {}
    clients = [Client(number, proxy, record, nodes, counts) for number in range(CLIENTS)]
    until = record.now() + SECONDS
    await asyncio.gather(*(client.run(until) for client in clients))
    record("totals", f"{counts}")
    if counts.get("served", 0) < LEAST_SERVED:
        raise lab.CannotRun("too few requests were served")
    return [text for part in (*clients, *nodes) for text in part.breaks]


lab.main(case, Path(__file__).parent)
