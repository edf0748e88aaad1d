"""Builds the state that a test needs."""

from random import Random

from ivystack.choice import Choice, Cold, Health, Hearsay, Links, Placement, Room, Shares
from ivystack.model import RETRYABLE, Method, Node, Req

S = 1_000_000


def nodes(count, **more):
    return [Node(f"n{i:02}", **more) for i in range(count)]


def choice(
    listed=(), *, tenants=(), cold_share=1.0, cold=0, sized=False, now=0, proxies=1, peers=False, **more
):
    rng = Random(1)
    given = dict(
        origin=-1, most_write_outs=3, may_duplicate=True, come_back=0, tick=0, ask_within=0
    )
    made = Choice(
        rng,
        Placement(sized),
        Health(),
        Cold(cold_share, cold),
        Room(),
        Shares(rng, list(tenants), 0.1, proxies),
        Links(60 * S, proxies),
        Hearsay(rng, 0, proxies) if peers else None,
        **(given | more),
    )
    made.listed(list(listed), True, now)
    return made


def req(semantics=RETRYABLE, *, key=7, arrived=0, budget=S, give_up=2 * S, **more):
    method = Method("m", semantics, budget, window=more.pop("window", 0), group=more.pop("group", "all"))
    return Req(method, arrived, arrived + give_up, key, **more)
