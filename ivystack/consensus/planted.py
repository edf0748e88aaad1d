"""Slips that the simulation must find: each a piece of the core's text and what would stand there instead.

Owns the list.  Nothing here runs but in a copy that the simulation makes for itself.
"""

PLANTED = {
    "a vote for a shorter log": ("good = (message.last_log_term, message.last_log_index) >= mine", "good = True"),
    "two votes in a term": ('yes = good and self.voted in ("", frm)', "yes = good"),
    "promises before they are on disk": ("if promise and (self.dirty or self.writing):", "if False:"),
    "half of the voters for a majority": (
        "return 2 * sum(one in ids for one in voters) > len(voters)",
        "return 2 * sum(one in ids for one in voters) >= len(voters)",
    ),
    "commits what most, not a majority, hold": (
        "index = held[(len(held) - 1) // 2] if held else 0", "index = held[-1] if held else 0"
    ),
    "commits entries of earlier terms by counting": (
        "if index <= self.commit or self.term_at(index) != self.term:", "if index <= self.commit:"
    ),
    "counts its own unwritten entries": (
        "(self.stable if one == self.ident", "(self.last() if one == self.ident"
    ),
    "keeps what differs from the leader's": ("if self.term_at(at) != entry.term:", "if at > self.last():"),
    "takes entries without looking at what is before": ("if before != message.prev_log_term:", "if before is None:"),
    "reads without asking a majority": (
        "if not self.majority(sure):\n                return", "if False:\n                return"
    ),
    "reads before an entry of its own term": (
        "if self.term_at(self.commit) != self.term:\n            self.early",
        "if False:\n            self.early",
    ),
    "a change of members before the last is settled": (
        "settled = self.configs[-1][0] <= self.commit and self.term_at(self.commit) == self.term",
        "settled = True",
    ),
    "a term that does not rise for a leader's": (
        "        self.term, self.voted = term, \"\"\n", "        self.term = term\n"
    ),
    "learners count for a majority": (
        "voters = self.config.voters if voters is None else voters", "voters = self.config.all_members()"
    ),
    "applies again what a snapshot holds": (
        "self.commit = self.applied = snapshot.index\n            self.stable",
        "self.commit = snapshot.index\n            self.stable",
    ),
    "never looks further back in a follower's log": (
        "            peer.next = max(peer.match, message.match_index) + 1\n", ""
    ),
}  # fmt: skip

# Too seldom in schedules drawn by chance; the tests write their schedules out.
SCRIPTED = {
    "keeps the configuration of entries that were cut": (
        "            self.configs.pop()\n", "            break\n"
    ),
    "a snapshot over entries that it does not cover": ("if snapshot.index > self.commit:", "if True:"),
    "a vote that is not written": (
        "                self.voted = frm\n                self.mark()", "                self.voted = frm"
    ),
    "a snapshot beside a log that does not fit it": (
        "if self.term_at(snapshot.index) != snapshot.term:", "if False:"
    ),
    "another term for what lies before the log": (
        "self.base_term = self.term_at(base)", "self.base_term = self.term"
    ),
}  # fmt: skip
