"""Mutations of the Raft core that the tests must detect; each replaces a part of the source text.

Mutations are applied to copies of the core's modules, which only the simulation uses. The imported modules of
the program stay unchanged.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType

from . import errors, messages, records

CORE_MODULES = (  # in the order in which they import each other
    "log",
    "write_tracker",
    "read_queue",
    "replica_state",
    "replication",
    "election",
    "core",
)
SHARED_MODULES = (errors, messages, records)
MUTANT_PACKAGE = "ivystack.consensus.mutant"


@dataclass(frozen=True)
class Mutation:
    """Replaces the text ``before``, which must occur once in ``module`` of the core, by ``after``."""

    module: str
    before: str
    after: str


# Detected by randomly drawn schedules.
MUTATIONS = {
    "grants a vote to a shorter log": Mutation(
        "election",
        "up_to_date = (message.last_log_term, message.last_log_index) >= own_last_entry",
        "up_to_date = True",
    ),
    "grants two votes in a term": Mutation(
        "election", 'granted = up_to_date and self.voted_for in ("", sender)', "granted = up_to_date"
    ),
    "sends messages before the state that they report is durable": Mutation(
        "write_tracker", "if self.is_durable():\n            self.send", "if True:\n            self.send"
    ),
    "counts half of the voters as a majority": Mutation(
        "replica_state",
        "return 2 * sum(voter in ids for voter in voters) > len(voters)",
        "return 2 * sum(voter in ids for voter in voters) >= len(voters)",
    ),
    "commits entries that only one voter has stored": Mutation(
        "replication",
        "index = match_indexes[(len(match_indexes) - 1) // 2] if match_indexes else 0",
        "index = match_indexes[-1] if match_indexes else 0",
    ),
    "commits entries of earlier terms by counting replicas": Mutation(
        "replication",
        "if index <= self.commit_index or self.log.term_at(index) != self.term:",
        "if index <= self.commit_index:",
    ),
    "counts its own entries before they are durable": Mutation(
        "replication", "return self.durable_index", "return self.log.last_index"
    ),
    "keeps entries that conflict with the leader's": Mutation(
        "replication", "if self.log.term_at(index) != entry.term:", "if index > self.log.last_index:"
    ),
    "appends entries without a check of the entry before": Mutation(
        "replication", "if own_term != message.prev_log_term:", "if own_term is None:"
    ),
    "answers reads without a majority": Mutation(
        "replication",
        "if not self.has_majority(confirming | {self.replica_id}):\n                return",
        "if False:\n                return",
    ),
    "answers reads before an entry of its own term": Mutation(
        "core",
        "if self.log.term_at(self.commit_index) != self.term:\n            self.reads",
        "if False:\n            self.reads",
    ),
    "changes members before the last change is committed": Mutation(
        "core",
        "settled = self.log.configuration_index <= self.commit_index and own_term_committed",
        "settled = True",
    ),
    "keeps its vote in a new term": Mutation(
        "replica_state", 'self.term, self.voted_for = term, ""\n', "self.term = term\n"
    ),
    "counts learners towards a majority": Mutation(
        "replica_state",
        "voters = self.configuration.voters if voters is None else voters",
        "voters = self.configuration.all_members()",
    ),
    "applies entries again that a snapshot covers": Mutation(
        "replication",
        "self.commit_index = self.applied_index = snapshot.index\n",
        "self.commit_index = snapshot.index\n",
    ),
    "never probes further back in a follower's log": Mutation(
        "replication",
        "            progress.next_index = max(progress.match_index, message.match_index) + 1\n",
        "",
    ),
}

# Rarely detected by random schedules; tests run a scripted schedule for each.
SCRIPTED_MUTATIONS = {
    "keeps the configuration of truncated entries": Mutation(
        "log", "            self.configurations.pop()\n", "            break\n"
    ),
    "installs a snapshot that is older than its state": Mutation(
        "replication", "if snapshot.index > self.commit_index:", "if True:"
    ),
    "does not save a vote": Mutation(
        "election",
        "                self.voted_for = sender\n                self.writes.mark_dirty()",
        "                self.voted_for = sender",
    ),
    "keeps a log that conflicts with a snapshot": Mutation(
        "log", "if self.term_at(snapshot.index) != snapshot.term:", "if False:"
    ),
    "compacts to a wrong term": Mutation(
        "core",
        "        self.log.compact(max(self.log.base_index, index - RETAINED_ENTRIES))\n",
        "        self.log.compact(max(self.log.base_index, index - RETAINED_ENTRIES))\n"
        "        self.log.base_term = self.term\n",
    ),
}


def mutated_core(mutation: Mutation) -> ModuleType:
    """Build the core from its source with a mutation applied.

    :returns: the mutated counterpart of the module ``core``.
    :raises ValueError: the text to be replaced does not occur exactly once in its module.
    """
    package = ModuleType(MUTANT_PACKAGE)
    package.__path__ = []
    sys.modules[MUTANT_PACKAGE] = package
    for shared in SHARED_MODULES:
        sys.modules[f"{MUTANT_PACKAGE}.{shared.__name__.rpartition('.')[2]}"] = shared
    for name in CORE_MODULES:
        source = Path(__file__).with_name(f"{name}.py").read_text()
        if name == mutation.module:
            source = _replaced_once(source, mutation)
        module = ModuleType(f"{MUTANT_PACKAGE}.{name}")
        module.__package__ = MUTANT_PACKAGE
        sys.modules[module.__name__] = module
        exec(compile(source, f"mutant {name}", "exec"), module.__dict__)
    return sys.modules[f"{MUTANT_PACKAGE}.core"]


def _replaced_once(source: str, mutation: Mutation) -> str:
    count = source.count(mutation.before)
    if count != 1:
        text = f"text occurs {count} times in {mutation.module}, expected once: {mutation.before!r}"
        raise ValueError(text)
    return source.replace(mutation.before, mutation.after)
