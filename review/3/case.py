"""Long writes while one of five cache nodes is silent: each has to get its final answer in its time."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import lab

NODES, SILENT = 5, 1  # the pages: up to 20% of the cache nodes go silent, for 9.7 to 27 s
READS, WRITES = 30, 30
VALUE = 4 << 20  # bytes; the pages: up to 4 MiB
WAIT_MS = 2500  # the deadline of the class sign-submit
LATE = 0.5 + 0.05  # seconds after its time from which a request without an answer is lost
LONGEST = 25  # seconds for which the test waits for an answer


async def write(number, proxy, record, results, value):
    loop, ident = asyncio.get_running_loop(), f"w{number}"
    key = f"{random.Random(number).getrandbits(52):013x}"
    sock = await proxy.connect()
    fields = b"c=sign-submit,t=,d=%d,k=%016x" % (WAIT_MS, number)
    record("sending", f"id={ident} OBJ.SET key={key} bytes={len(value)}")
    reading = asyncio.ensure_future(lab.Stream(sock).value())
    await loop.sock_sendall(sock, lab.command(b"OBJ.SET", key.encode(), ident.encode(), fields, value))
    record("written", f"id={ident} last byte written, {lab.unacknowledged(sock)} bytes not acknowledged")
    written = record.now()
    while lab.unacknowledged(sock) and record.now() - written < LONGEST and not reading.done():
        await asyncio.sleep(0.005)
    taken = record.now()
    record("taken", f"id={ident} unacknowledged={lab.unacknowledged(sock)}")
    try:
        answer = await asyncio.wait_for(reading, LONGEST)
    except (asyncio.TimeoutError, OSError) as error:
        answer = type(error).__name__
    answered = record.now()
    results[ident] = written, taken, answered, answer
    record("answer", f"id={ident} {lab.classify(answer)} {answered - written:.3f} s after its last byte {answer!r:.60}")
    sock.close()


async def read(number, proxy, record):
    """One read; many of them at once open connections to all nodes, as everyday traffic does."""
    sock, ident = await proxy.connect(), f"r{number}"
    key = f"{random.Random(1000 + number).getrandbits(52):013x}"
    data = lab.command(b"OBJ.GET", key.encode(), ident.encode(), b"c=doc-view,d=1500")
    await asyncio.get_running_loop().sock_sendall(sock, data)
    answer = await asyncio.wait_for(lab.Stream(sock).value(), 5)
    record("answer", f"id={ident} {lab.classify(answer)}")
    sock.close()


async def case(record, folder, ends):
    nodes = [lab.CacheNode(f"s-{number}", record).start() for number in range(NODES)]
    discovery = await lab.Discovery(nodes, record).start()
    proxy = lab.Proxy(folder, record, discovery, lab.settings())
    ends.append(proxy.end)
    await proxy.ready()
    for node in nodes:
        node.service = 0.05
    await asyncio.gather(*(read(number, proxy, record) for number in range(READS)))
    for node in nodes:
        node.service = 0.005
    if lab.TROUBLE:
        for node in nodes[:SILENT]:
            node.awake.clear()
            record("trouble", f"node={node.name} goes silent")
    results, value = {}, bytes(VALUE)
    writes = []
    for number in range(WRITES):
        writes.append(asyncio.ensure_future(write(number, proxy, record, results, value)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*writes)
    return [
        f"id={ident}: last byte written at {written:.3f}, taken by the proxy's machine at {taken:.3f}, time over at "
        f"{taken + WAIT_MS / 1000:.3f}, answered only at {answered:.3f}: {answer!r:.60}"
        for ident, (written, taken, answered, answer) in results.items()
        if answered - taken > WAIT_MS / 1000 + LATE
    ]


lab.main(case, Path(__file__).parent)
