"""Who is to be a member: what the leader proposes, one change at a time.

Owns that reckoning, without I/O.  It must never propose what leaves the voters that are heard short of a
majority, or count a process as a member under an id that is not its own any more.
"""

from __future__ import annotations

from .core import Core
from .messages import Configuration

LATE = 64  # entries that a learner may lack to be promoted


def ident(name: str, life: str) -> str:
    """
    >>> ident("p0", "5c")
    'p0/5c'
    """
    return f"{name}/{life}"


def name_of(one: str) -> str:
    return one.rpartition("/")[0]


def next_config(core: Core, wanted: list[str], knocking: dict[str, str], now: int) -> Configuration | None:
    """The next step towards members of just these names; `knocking` are ids, by name, of processes that say
    they are no members.  None: nothing to change, or not now."""
    if not core.may_change_membership():
        return None
    config = core.configuration
    heard = {
        one for one, peer in core.progress.items() if now - peer.last_reply_at < core.election_timeout
    } | {core.replica_id}
    by_name = {name_of(one): one for one in config.voters}

    def without(one: str) -> Configuration | None:
        voters = tuple(other for other in config.voters if other != one)
        learners = tuple(other for other in config.learners if other != one)
        return Configuration(voters, learners) if core.has_majority(heard, voters) else None

    for one in config.learners:  # superseded or not wanted any more
        new = knocking.get(name_of(one), one)
        if new != one or name_of(one) not in wanted:
            return without(one)
    for one in config.learners:
        peer = core.progress.get(one)
        if peer is None or one not in heard or peer.match_index < core.commit_index - LATE:
            continue
        old = by_name.get(name_of(one))
        if old is not None:  # its own former life goes first
            step = without(old) if old != core.replica_id else None
        else:
            rest = tuple(other for other in config.learners if other != one)
            step = Configuration((*config.voters, one), rest)
        if step is not None:
            return step
    for name in wanted:
        new = knocking.get(name)
        if new is not None and new not in config.all_members():
            return Configuration(config.voters, (*config.learners, new))
    for one in config.voters:
        if name_of(one) not in wanted and len(config.voters) > 1 and all(n in by_name for n in wanted):
            step = without(one)
            if step is not None:
                return step
    return None
