"""Throughput and latency of log entries in a consensus group of three proxies, compared with the disk.

    PYTHONPATH=. .venv-ci/bin/python benchmarks/agreement.py [--seconds 5]

The group consists of three processes on loopback that store their logs in the temporary folder. One client in
this process issues the commands, and every message passes through a relay. For comparison, the benchmark
prints the entries per second that the same disk accepts in synced transactions of the same average size.
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

PAYLOAD_BYTES = 100


def measure_disk(folder: Path, batch_size: int, seconds: float) -> float:
    """Return the entries per second that the storage writes with `batch_size` entries per sync."""
    storage = Storage(folder, lambda call, *arguments: None, print)
    storage.open()
    database = connect(folder / DATABASE_FILE)
    storage.write_batch(database, WriteBatch(0, 1, "", 2, [], Snapshot(1, 1, Configuration(("a",))), 1))
    index, end = 2, time.monotonic() + seconds
    started = time.monotonic()
    while time.monotonic() < end:
        entries = [Entry(1, EntryKind.DATA, bytes(PAYLOAD_BYTES))] * batch_size
        database.execute("BEGIN IMMEDIATE")
        storage.write_batch(database, WriteBatch(0, 1, "", index, entries, None, 1))
        database.execute("COMMIT")
        index += batch_size
    elapsed = time.monotonic() - started
    database.close()
    storage.close()
    return (index - 2) / elapsed


async def measure_group(folder: Path, seconds: float, concurrency: int) -> tuple[list[float], float, dict]:
    """Measure a consensus group with this number of concurrent commands.

    Return the latencies in seconds, the elapsed seconds, and the leader's state of the group.
    """
    scenario = parse_scenario({"version": 1, "seconds": 1, "fleet": {"proxies": 3, "group": 3}}, "bench")
    rig = Rig(scenario, folder, reactor)
    latencies: list[float] = []
    try:
        await rig.start_processes()
        await rig.start_group()
        client, end, done = rig.group_client.client, time.monotonic() + seconds, defer.Deferred()
        in_flight = 0

        def issue_command() -> None:
            nonlocal in_flight
            in_flight += 1
            started = time.monotonic()

            def command_finished(succeeded, result) -> None:
                nonlocal in_flight
                in_flight -= 1
                if succeeded:
                    latencies.append(time.monotonic() - started)
                if time.monotonic() < end:
                    issue_command()
                elif not in_flight and not done.called:
                    done.callback(None)

            number = len(latencies) % 200
            client.execute(
                "table", "set", [f"k{number}", bytes(PAYLOAD_BYTES), None], command_finished, 3_000_000
            )

        started = time.monotonic()
        for _ in range(concurrency):
            issue_command()
        await done
        elapsed = time.monotonic() - started
        states = [(await rig.fleet_status(name))["group"] for name in rig.processes]
        leader = next(state for state in states if state["role"] == "leader")
        return latencies, elapsed, leader
    finally:
        rig.shut_down()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seconds", type=float, default=5)
    seconds = parser.parse_args().seconds
    logger.remove()
    print(f"sqlite {sqlite3.sqlite_version}, {PAYLOAD_BYTES} bytes per entry")

    async def run() -> None:
        import ivystack.consensus.client as consensus_client

        try:
            for concurrency in (1, 4, 64):
                consensus_client.COMMAND_WINDOW, consensus_client.MAX_PENDING = (
                    max(4, concurrency),
                    max(64, concurrency),
                )
                with tempfile.TemporaryDirectory() as folder:
                    latencies, elapsed, leader = await measure_group(Path(folder), seconds, concurrency)
                batch_size = max(1, round(len(latencies) / max(1, leader["syncs"])))
                with tempfile.TemporaryDirectory() as folder:
                    disk_rate = measure_disk(Path(folder) / "one", batch_size, 1.0)
                print(
                    f"{concurrency:3d} concurrent: {len(latencies) / elapsed:7.0f} entries per second, "
                    f"median {1000 * statistics.median(latencies):.2f} ms; {batch_size} entries per sync, "
                    f"at which the disk alone writes {disk_rate:.0f} entries per second "
                    f"({1000 * batch_size / disk_rate:.2f} ms per sync)"
                )
        finally:
            reactor.stop()  # type: ignore[misc]  # zope interfaces declare methods without self

    reactor.callWhenRunning(lambda: defer.ensureDeferred(run()).addErrback(lambda f: f.printTraceback()))
    reactor.run()  # type: ignore[misc]  # zope interfaces declare methods without self


if __name__ == "__main__":
    main()
