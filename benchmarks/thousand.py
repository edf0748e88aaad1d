"""Cost of large fleets for one proxy: memory, endpoint lists, routing and slot orders, up to 1024 servers.

    PYTHONPATH=. .venv-ci/bin/python benchmarks/thousand.py

Each figure is the median of several calls in this process, which does nothing else and opens no sockets.
"""

from __future__ import annotations

import resource
import statistics
import sys
import time
from random import Random

import msgspec

sys.path.insert(0, "tests")

from helpers import make_entries, make_proxy, make_process_configuration  # noqa: E402

from ivystack.model import Outcome, Request
from ivystack.balancing.gossip_codec import (  # noqa: E402
    decode_slot_order_part,
    encode_slot_order,
    server_hash,
)


def measure(call, repetitions: int) -> str:
    """Call `call` with the number of each repetition; return the median and the maximum time as text."""
    durations_ms = []
    for repetition in range(repetitions):
        started = time.perf_counter()
        call(repetition)
        durations_ms.append((time.perf_counter() - started) * 1e3)
    return f"median {statistics.median(durations_ms):.3f} ms, maximum {max(durations_ms):.3f} ms"


def main() -> None:
    rng = Random(1)
    for count in (64, 256, 1024):
        process_configuration = make_process_configuration(peers=True)
        settings = {"limits": {"peers": True, "most_write_outs": 3}, "n_instances": count, "slot_no": 0,
                    "methods": [{"name": "read", "semantics": "pure", "latency_budget": 10**9,
                                 "give_up": 10**9, "criticality": 1.0}]}  # fmt: skip
        process_configuration.settings = type(process_configuration.settings)(
            1, msgspec.convert(settings, type(process_configuration.settings.settings))
        )
        process_configuration.peers = [("127.0.0.1", 2000 + number) for number in range(count)]
        proxy = make_proxy(0, run=process_configuration)
        entries = make_entries(count)
        request_class = proxy.settings.request_classes["read"]
        print(f"{count} servers, {count} peers")
        print(
            "  update of the whole endpoint list ",
            measure(lambda _, proxy=proxy, entries=entries: proxy.endpoints.update(entries, True), 9),
        )
        print(
            "  update of one endpoint            ",
            measure(
                lambda n, proxy=proxy, entries=entries: proxy.endpoints.update(entries[n : n + 1], False), 50
            ),
        )

        def route(repetition: int, proxy=proxy, request_class=request_class) -> None:
            now = proxy.now() + repetition
            request = Request(request_class, now, now + 10**6, rng.getrandbits(60))
            proxy.balancer.route(request, now)
            proxy.balancer.record_outcome(request.attempts[0], Outcome.SUCCEEDED, now + 5)

        print("  routing of a request, new key     ", measure(route, 400))
        slots = proxy.balancer.placement.slots
        print(
            "  encoding of a slot order          ",
            measure(lambda _, slots=slots: encode_slot_order(slots), 50),
        )
        parts = encode_slot_order(slots)
        print(
            "  decoding of a slot order          ",
            measure(lambda _, parts=parts: [decode_slot_order_part(part, {}) for part in parts], 50),
        )
        hashes = [*map(server_hash, slots)]
        servers = [*proxy.balancer.servers.values()]
        print(
            "  adoption of a slot order          ",
            measure(
                # fmt: skip
                lambda _, proxy=proxy, hashes=hashes, servers=servers: proxy.balancer.placement.adopt_order(
                    hashes, servers, 0
                ),
                20,
            ),
        )
        print("  encoding of the hot-restart state ",
              measure(lambda _, proxy=proxy: msgspec.json.encode(proxy.export_state()), 9),
              f"{len(msgspec.json.encode(proxy.export_state())) >> 10} KB")  # fmt: skip
    print(f"maximum resident memory: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss >> 10} MB")


if __name__ == "__main__":
    main()
