"""Reads an instance's settings from the wire and hands each part of the decisions its own few."""

from __future__ import annotations

from random import Random

from ..choice import Choice, Cold, Health, Hearsay, Links, Placement, Room, Shares
from ..model import DEDUPLICATED, NON_RETRYABLE, RETRYABLE, Method, Tenant

SEMANTICS = {"pure": RETRYABLE, "token": DEDUPLICATED, "side_effect": NON_RETRYABLE}


def us(ns: int | None) -> int:
    """Nanoseconds to whole microseconds, down."""
    return (ns or 0) // 1000


class Settings:
    """One instance's decisions, with the names that the wire uses for its methods, tenants and kinds."""

    def __init__(self, seed: int, config: dict):
        rng = Random(seed)
        limits, rules = config.get("limits") or {}, config.get("rules") or {}
        specifics = config.get("specifics") or {}
        self.kinds = {name: place for place, name in enumerate(config.get("kinds") or [])}
        self.methods = {m["name"]: method(m) for m in config.get("methods") or []}
        self.tenants = {
            t["name"]: Tenant(t["name"], t.get("allowance_per_s") or 0.0) for t in config.get("parties") or []
        }
        origin = specifics.get("origin_kind")
        asks = config.get("discovery") == "ask"
        proxies = config.get("n_instances") or 1
        excess = config.get("excess_criticality")
        self.choice = Choice(
            rng,
            Placement(config.get("weight_source") in ("nominal", "rough")),
            Health(),
            Cold(rules.get("cold_share") or 1.0, us(rules.get("cold"))),
            Room(),
            Shares(
                rng,
                list(self.tenants.values()),
                1.0 if excess is None else excess,
                proxies,
            ),
            Links(us(limits.get("conn_idle")), proxies),
            Hearsay(rng, config.get("slot_no") or 0, proxies) if limits.get("peers") else None,
            origin=-1 if origin is None else origin,
            most_write_outs=limits.get("most_write_outs") or 1,
            may_duplicate=bool(limits.get("may_duplicate")),
            come_back=us(limits.get("max_retry_after")) if limits.get("retry_after") else 0,
            tick=us(config.get("granularity")),
            ask_within=us(rules.get("ask_within")) if asks else 0,
        )


def method(m: dict) -> Method:
    return Method(
        m["name"],
        SEMANTICS[m.get("semantics") or "side_effect"],
        us(m.get("latency_budget") or m.get("give_up")),
        m.get("criticality") or 0.0,
        m.get("group") or "cell",
        us(m.get("window")),
        m.get("tardy_criticality") or 0.0,
    )
