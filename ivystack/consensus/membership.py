"""Membership changes without I/O: the leader's next change of one replica towards the configured members."""

from __future__ import annotations

from .core import Core
from .messages import Configuration

MAX_PROMOTION_LAG = 64  # entries that a learner may lack to become a voter


def replica_id(name: str, incarnation: str) -> str:
    """Return the id of a proxy's replica; a replica whose storage was lost gets a new incarnation.

    >>> replica_id("p0", "5c")
    'p0/5c'
    """
    return f"{name}/{incarnation}"


def proxy_name(identity: str) -> str:
    """Return the proxy's name from the `name/incarnation` of a replica or process.

    >>> proxy_name("p1/00ff")
    'p1'
    """
    return identity.rpartition("/")[0]


def next_configuration(
    core: Core, wanted: list[str], announced: dict[str, str], now: int
) -> Configuration | None:
    """Return the next configuration on the way to a group of exactly the wanted proxies.

    A replica is removed only if a majority of the remaining voters has replied to the leader within one
    election timeout.

    :param wanted: names of the proxies that should be members.
    :param announced: ids, by proxy name, of replicas that have announced that they are not members.
    :param now: time in microseconds.
    :returns: None if no change is needed or none is possible now.
    """
    if not core.may_change_membership():
        return None
    step = _MembershipStep(core, wanted, announced, now)
    stale = step.stale_learner()
    if stale is not None:
        return step.without(stale)
    return step.promotion() or step.addition() or step.removal()


class _MembershipStep:
    def __init__(self, core: Core, wanted: list[str], announced: dict[str, str], now: int) -> None:
        self.core, self.wanted, self.announced = core, wanted, announced
        self.configuration = core.configuration
        self.reachable = {core.replica_id} | {
            follower
            for follower, progress in core.progress.items()
            if now - progress.last_reply_at < core.election_timeout
        }
        self.voter_by_name = {proxy_name(voter): voter for voter in self.configuration.voters}

    def without(self, replica: str) -> Configuration | None:
        """Return the configuration without ``replica``; None if no majority of its voters is reachable."""
        voters = tuple(voter for voter in self.configuration.voters if voter != replica)
        learners = tuple(other for other in self.configuration.learners if other != replica)
        return Configuration(voters, learners) if self.core.has_majority(self.reachable, voters) else None

    def stale_learner(self) -> str | None:
        """Return a learner that a new incarnation has replaced, or whose proxy is no longer wanted."""
        for learner in self.configuration.learners:
            name = proxy_name(learner)
            if self.announced.get(name, learner) != learner or name not in self.wanted:
                return learner
        return None

    def promotion(self) -> Configuration | None:
        """Promote a learner that has caught up to a voter.

        If an earlier incarnation of the same proxy is a voter, remove that voter first.
        """
        for learner in self.configuration.learners:
            if not self._has_caught_up(learner):
                continue
            former = self.voter_by_name.get(proxy_name(learner))
            if former is None:
                learners = tuple(other for other in self.configuration.learners if other != learner)
                return Configuration((*self.configuration.voters, learner), learners)
            step = self.without(former) if former != self.core.replica_id else None
            if step is not None:
                return step
        return None

    def _has_caught_up(self, learner: str) -> bool:
        progress = self.core.progress.get(learner)
        if progress is None or learner not in self.reachable:
            return False
        return progress.match_index >= self.core.commit_index - MAX_PROMOTION_LAG

    def addition(self) -> Configuration | None:
        """Add an announced replica of a wanted proxy, as a learner."""
        for name in self.wanted:
            announced_id = self.announced.get(name)
            if announced_id is not None and announced_id not in self.configuration.all_members():
                return Configuration(self.configuration.voters, (*self.configuration.learners, announced_id))
        return None

    def removal(self) -> Configuration | None:
        """Remove a voter that is not wanted, after every wanted proxy has a voter."""
        voters = self.configuration.voters
        if len(voters) <= 1 or any(name not in self.voter_by_name for name in self.wanted):
            return None
        for voter in voters:
            if proxy_name(voter) not in self.wanted:
                step = self.without(voter)
                if step is not None:
                    return step
        return None
