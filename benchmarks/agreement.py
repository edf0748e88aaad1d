"""Entries a second that three real proxies agree on, and how long one takes, beside what the disk permits.

    .venv-ci/bin/python benchmarks/agreement.py [--seconds 5]

Three processes on loopback, their directories on the disk of the temporary folder, commands by one client in
this process, every message through a relay. Printed beside it: entries a second that the same disk takes in
synced transactions of as many as the members put into one on average.
"""

from __future__ import annotations

import argparse
import sqlite3
import statistics
import tempfile
import time
from pathlib import Path

from loguru import logger
from twisted.internet import defer, reactor

from ivystack.consensus.messages import Configuration, Entry, EntryKind, Snapshot
from ivystack.consensus.records import WriteBatch
from ivystack.consensus.storage import Storage
from ivystack.consensus.storage_files import DATABASE_FILE, connect
from ivystack.rig.play import Rig
from ivystack.rig.scenario import parse_scenario

PAYLOAD = 100  # bytes


def disk(folder: Path, each: int, seconds: float) -> float:
    """Entries a second that the store writes, so many to a sync."""
    store = Storage(folder, lambda call, *values: None, print)
    store.open()
    base = connect(folder / DATABASE_FILE)
    store.write_batch(base, WriteBatch(0, 1, "", 2, [], Snapshot(1, 1, Configuration(("a",))), 1))
    at, end = 2, time.monotonic() + seconds
    began = time.monotonic()
    while time.monotonic() < end:
        entries = [Entry(1, EntryKind.DATA, bytes(PAYLOAD))] * each
        base.execute("BEGIN IMMEDIATE")
        store.write_batch(base, WriteBatch(0, 1, "", at, entries, None, 1))
        base.execute("COMMIT")
        at += each
    spent = time.monotonic() - began
    base.close()
    store.close()
    return (at - 2) / spent


async def measure(folder: Path, seconds: float, flying: int) -> tuple[list[float], float, dict]:
    scene = parse_scenario({"version": 1, "seconds": 1, "fleet": {"proxies": 3, "group": 3}}, "bench")
    rig = Rig(scene, folder, reactor)
    times: list[float] = []
    try:
        await rig.start_processes()
        await rig.start_group()
        client, end, done = rig.group_client.client, time.monotonic() + seconds, defer.Deferred()
        out = 0

        def ask() -> None:
            nonlocal out
            out += 1
            began = time.monotonic()

            def answered(good, what) -> None:
                nonlocal out
                out -= 1
                if good:
                    times.append(time.monotonic() - began)
                if time.monotonic() < end:
                    ask()
                elif not out and not done.called:
                    done.callback(None)

            number = len(times) % 200
            client.execute("table", "set", [f"k{number}", bytes(PAYLOAD), None], answered, 3_000_000)

        began = time.monotonic()
        for _ in range(flying):
            ask()
        await done
        spent = time.monotonic() - began
        states = [(await rig.fleet_status(name))["group"] for name in rig.processes]
        leader = next(one for one in states if one["role"] == "leader")
        return times, spent, leader
    finally:
        rig.shut_down()


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    words.add_argument("--seconds", type=float, default=5)
    seconds = words.parse_args().seconds
    logger.remove()
    print(f"sqlite {sqlite3.sqlite_version}, {PAYLOAD} bytes an entry")

    async def run() -> None:
        import ivystack.consensus.client as clients

        try:
            for flying in (1, 4, 64):
                clients.COMMAND_WINDOW, clients.MAX_PENDING = max(4, flying), max(64, flying)
                with tempfile.TemporaryDirectory() as folder:
                    times, spent, leader = await measure(Path(folder), seconds, flying)
                each = max(1, round(len(times) / max(1, leader["syncs"])))
                with tempfile.TemporaryDirectory() as folder:
                    alone = disk(Path(folder) / "one", each, 1.0)
                print(
                    f"{flying:3d} at once: {len(times) / spent:7.0f} entries a second, median "
                    f"{1000 * statistics.median(times):.2f} ms; {each} to a sync, of which the disk alone "
                    f"does {alone:.0f} a second ({1000 * each / alone:.2f} ms a sync)"
                )
        finally:
            reactor.stop()  # type: ignore[misc]  # zope interfaces declare methods without self

    reactor.callWhenRunning(lambda: defer.ensureDeferred(run()).addErrback(lambda f: f.printTraceback()))
    reactor.run()  # type: ignore[misc]  # zope interfaces declare methods without self


if __name__ == "__main__":
    main()
