"""What a thousand nodes and a thousand peers cost one proxy: memory, a whole list, a balancer, a slot order.

    PYTHONPATH=. .venv-ci/bin/python benchmarks/thousand.py

Each figure is the median of some calls in this process, nothing else beside them; no sockets are opened.
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


def timed(call, times: int) -> str:
    spans = []
    for turn in range(times):
        began = time.perf_counter()
        call(turn)
        spans.append((time.perf_counter() - began) * 1e3)
    return f"median {statistics.median(spans):.3f} ms, most {max(spans):.3f} ms"


def main() -> None:
    rng = Random(1)
    for count in (64, 256, 1024):
        run = make_process_configuration(peers=True)
        sheet = {"limits": {"peers": True, "most_write_outs": 3}, "n_instances": count, "slot_no": 0,
                 "methods": [{"name": "read", "semantics": "pure", "latency_budget": 10**9, "give_up": 10**9,
                              "criticality": 1.0}]}  # fmt: skip
        run.settings = type(run.settings)(1, msgspec.convert(sheet, type(run.settings.settings)))
        run.peers = [("127.0.0.1", 2000 + number) for number in range(count)]
        made = make_proxy(0, run=run)
        list_ = make_entries(count)
        method = made.settings.request_classes["read"]
        print(f"{count} nodes, {count} peers")
        print(
            "  a whole list      ",
            timed(lambda _, made=made, list_=list_: made.endpoints.update(list_, True), 9),
        )
        print(
            "  one node's news   ",
            timed(lambda n, made=made, list_=list_: made.endpoints.update(list_[n : n + 1], False), 50),
        )

        def choose(turn: int, made=made, method=method) -> None:
            now = made.now() + turn
            request = Request(method, now, now + 10**6, rng.getrandbits(60))
            made.balancer.route(request, now)
            made.balancer.record_outcome(request.attempts[0], Outcome.SUCCEEDED, now + 5)

        print("  a balancer, new key ", timed(choose, 400))
        slots = made.balancer.placement.slots
        print("  an order, written ", timed(lambda _, slots=slots: encode_slot_order(slots), 50))
        parts = encode_slot_order(slots)
        print(
            "  and put together  ",
            timed(lambda _, parts=parts: [decode_slot_order_part(one, {}) for one in parts], 50),
        )
        marks = [*map(server_hash, slots)]
        nodes = [*made.balancer.servers.values()]
        print(
            "  and taken up      ",
            timed(
                # fmt: skip
                lambda _, made=made, marks=marks, nodes=nodes: made.balancer.placement.adopt_order(
                    marks, nodes, 0
                ),
                20,
            ),
        )
        print("  a hand-over's word", timed(lambda _, made=made: msgspec.json.encode(made.export_state()), 9),
              f"{len(msgspec.json.encode(made.export_state())) >> 10} KB")  # fmt: skip
    print(f"memory at the end: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss >> 10} MB")


if __name__ == "__main__":
    main()
