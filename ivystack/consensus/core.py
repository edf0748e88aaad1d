"""One member of a consensus group: Raft without I/O.

Owns term, vote, log, and what is committed.  The caller passes clock and random source in, carries messages
and writes what `take` gives it to disk; it tells `saved` when that is done.  It must never let a message out
before what it promises is on disk, count an acknowledgement that is not, or tell anything committed that a
majority of the voters does not hold.

Source: D. Ongaro, "Consensus: bridging theory and practice" (2014), by its sections; and his correction of
2015 on changes of members.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from .messages import (
    AppendEntries,
    AppendEntriesReply,
    Configuration,
    DataLossDetected,
    Entry,
    EntryKind,
    InstallSnapshot,
    Message,
    RequestVote,
    Snapshot,
    TimeoutNow,
    VoteReply,
    decode_configuration,
    encode,
)
from .records import WriteBatch

FOLLOWER, CANDIDATE, LEADER = "follower", "candidate", "leader"
ENTRIES, BYTES = 256, 65_536  # in one message
AHEAD = 1024  # entries sent to a follower beyond what it has acknowledged
WAITING = 8192  # entries that are not committed yet
KEPT = 128  # entries before a snapshot that stay, for followers that are a little behind


@dataclass
class Out:
    save: WriteBatch | None = None
    messages: list[tuple[str, Message]] = field(default_factory=list)
    restore: Snapshot | None = None  # the state is this, before what is applied
    applied: list[tuple[int, Entry]] = field(default_factory=list)
    reads: list[object] = field(default_factory=list)  # may be answered from the state after `applied`
    lost_reads: list[object] = field(default_factory=list)  # must be asked again
    withdrawn: bool = False


@dataclass
class Peer:
    next: int
    match: int = 0
    acked_at: int = 0
    acked: int = 0  # the greatest round that it has answered
    matched: int = 0  # our round when `match` rose last
    probing: bool = True  # one message at a time until it answers
    told: int = -1  # what it was last told to be committed


class Core:
    def __init__(
        self, ident: str, now: int, rng: Random, beat: int, election: int, *,
        term: int = 0, voted: str = "", snapshot: Snapshot, entries: list[Entry],
    ):  # fmt: skip
        """Times are microseconds.  The rest is what was on disk: `entries` follow the snapshot's."""
        self.ident, self.rng, self.beat, self.election = ident, rng, beat, election
        self.term, self.voted, self.snapshot = term, voted, snapshot
        self.base, self.base_term = snapshot.index, snapshot.term  # what lies before the first entry kept
        self.entries = list(entries)
        self.configs: list[tuple[int, Configuration]] = [(snapshot.index, snapshot.configuration)]
        for at, entry in enumerate(self.entries, self.base + 1):
            if entry.kind == EntryKind.CONFIGURATION:
                self.configs.append((at, decode_configuration(entry.data)))
        self.commit = self.applied = snapshot.index
        self.stable = self.last()
        self.role, self.leader = FOLLOWER, ""
        self.heard = now - election  # from a leader; at the start nobody is held up by it
        self.due = now + self.patience()
        self.votes: set[str] = set()
        self.pre = False
        self.peers: dict[str, Peer] = {}
        self.round = 0
        self.reads: list[tuple[int, int, object]] = []  # round, index, token
        self.early_reads: list[object] = []  # until an entry of our term is committed
        self.handing = 0  # until then we take nothing new: leadership is being handed on
        self.number = 0  # of the batch being gathered
        self.writing: tuple[int, int] | None = None  # number and last index of the one on its way to disk
        self.dirty = False
        self.first_dirty: int | None = None
        self.new_snapshot: Snapshot | None = None
        self.held: list[tuple[int, str, Message]] = []  # wait for that batch
        self.ready: list[tuple[str, Message]] = []
        self.restore: Snapshot | None = None
        self.done_reads: list[object] = []
        self.lost_reads: list[object] = []
        self.withdrawn = False
        self.flush = False
        self.each = ENTRIES

    # The log.

    def last(self) -> int:
        return self.base + len(self.entries)

    def term_at(self, index: int) -> int | None:
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last():
            return self.entries[index - self.base - 1].term
        return None

    def entry(self, index: int) -> Entry:
        return self.entries[index - self.base - 1]

    @property
    def config(self) -> Configuration:
        return self.configs[-1][1]

    def majority(self, ids, voters: tuple[str, ...] | None = None) -> bool:
        voters = self.config.voters if voters is None else voters
        return 2 * sum(one in ids for one in voters) > len(voters)

    def append(self, *entries: Entry) -> None:
        """Puts them behind all others."""
        first = self.last() + 1
        self.entries += entries
        for at, entry in enumerate(entries, first):
            if entry.kind == EntryKind.CONFIGURATION:
                self.configs.append((at, decode_configuration(entry.data)))
        self.mark(first)

    def cut(self, index: int) -> None:
        """What is there from `index` on goes: another leader's entries come instead."""
        if index <= self.commit:  # guards what was acknowledged against whatever fault brought us here
            raise RuntimeError(f"entry {index} is committed and can't be replaced")
        del self.entries[index - self.base - 1 :]
        while self.configs[-1][0] >= index:
            self.configs.pop()
        self.stable = min(self.stable, index - 1)
        self.mark(index)

    def mark(self, first: int | None = None) -> None:
        """Something has to be written, from that entry on."""
        self.dirty = True
        if first is not None:
            self.first_dirty = first if self.first_dirty is None else min(first, self.first_dirty)

    # Time.

    def patience(self) -> int:
        return self.election + self.rng.randrange(self.election)

    def wakes(self) -> int:
        return self.due

    def tick(self, now: int) -> None:
        if self.withdrawn or now < self.due:
            return
        if self.role == LEADER:
            self.due = now + self.beat
            heard = {one for one, peer in self.peers.items() if now - peer.acked_at < 2 * self.election}
            if not self.majority(heard | {self.ident}):  # 6.2: cut off, we would keep clients waiting
                return self.follow(now, "")
            if self.handing and now > self.handing:
                self.handing = 0
            self.round += 1
            for one in self.peers:
                self.send(one, now, True)
        else:
            self.due = now + self.patience()
            if self.ident in self.config.voters:
                self.campaign(now, True)
            else:
                self.leader = ""  # it may have been taken out while it was away, and is told nothing more

    def campaign(self, now: int, pre: bool, handed: bool = False) -> None:
        """Asks for votes; first whether there would be any (9.6), so that one cut off raises no term."""
        self.role, self.pre, self.leader = CANDIDATE, pre, ""
        self.votes = {self.ident}
        self.due = now + self.patience()
        if not pre:
            self.term += 1
            self.voted = self.ident
            self.mark()
        term = self.term + 1 if pre else self.term
        asked = RequestVote(term, self.last(), self.term_at(self.last()), pre, handed)
        for one in self.config.voters:
            if one != self.ident:
                self.say(one, asked, not pre)
        self.count_votes(now)

    def count_votes(self, now: int) -> None:
        if not self.majority(self.votes):
            return
        if self.pre:
            return self.campaign(now, False)
        if self.on_disk():
            self.lead(now)

    def on_disk(self) -> bool:
        """Our own vote counts as others' do: once it is written."""
        return not self.dirty and self.writing is None

    def lead(self, now: int) -> None:
        self.role, self.leader, self.handing = LEADER, self.ident, 0
        self.peers = {}
        self.round = 0
        self.meet(now)
        self.append(Entry(self.term, EntryKind.NO_OP))
        self.due = now
        self.flush = True

    def meet(self, now: int) -> None:
        """Followers as the configuration has them."""
        wanted = [one for one in self.config.all_members() if one != self.ident]
        for one in wanted:
            self.peers.setdefault(one, Peer(self.last() + 1, acked_at=now))
        for one in [*self.peers]:
            if one not in wanted:
                del self.peers[one]

    def follow(self, now: int, leader: str) -> None:
        if self.role == LEADER:
            self.lost_reads += [token for *_, token in self.reads] + self.early_reads
            self.reads, self.early_reads, self.handing = [], [], 0
        self.role, self.leader = FOLLOWER, leader
        self.due = now + self.patience()

    def raise_term(self, term: int, now: int) -> None:
        self.term, self.voted = term, ""
        self.mark()
        self.follow(now, "")

    # What is said.

    def say(self, to: str, message: Message, promise: bool = True) -> None:
        """A promise goes out when all that it rests on is on disk."""
        if promise and (self.dirty or self.writing):
            self.held.append((self.number + 1 if self.dirty else self.writing[0], to, message))
        else:
            self.ready.append((to, message))

    def send(self, to: str, now: int, beat: bool = False) -> None:
        """What that follower lacks, or a beat."""
        peer = self.peers[to]
        if peer.next <= self.base and self.term_at(peer.next - 1) is None:
            if beat or not peer.probing:
                peer.probing = True
                self.say(to, InstallSnapshot(self.term, self.snapshot, self.round), False)
            return
        before = peer.next - 1
        most = [] if peer.probing and not beat else self.entries[before - self.base :][: self.each]
        if before - peer.match >= AHEAD:
            most = []
        size = chosen = 0
        for entry in most:
            size += len(entry.data) + 16
            if chosen and size > BYTES:
                break
            chosen += 1
        if not chosen and not beat:
            return
        entries = tuple(most[:chosen])
        commit = min(self.commit, before + chosen)
        self.say(
            to, AppendEntries(self.term, before, self.term_at(before), entries, commit, self.round), False
        )
        if not peer.probing:
            peer.next += chosen

    # What is heard.

    def receive(self, now: int, frm: str, message: Message) -> None:
        if self.withdrawn:
            return
        if isinstance(message, RequestVote):
            return self.asked(now, frm, message)
        if isinstance(message, VoteReply):
            if message.term > self.term and not (message.pre_vote and message.granted):
                return self.raise_term(message.term, now)
            wanted = self.term + 1 if self.pre else self.term
            right = self.role == CANDIDATE and message.pre_vote == self.pre and message.term == wanted
            if right and message.granted:
                self.votes.add(frm)
                self.count_votes(now)
            return
        if message.term > self.term:
            self.raise_term(message.term, now)
        if isinstance(message, AppendEntries | InstallSnapshot):
            return self.told(now, frm, message)
        if message.term < self.term:
            return
        if isinstance(message, AppendEntriesReply):
            self.answered(now, frm, message)
        elif isinstance(message, TimeoutNow):
            if self.ident in self.config.voters and self.role != LEADER:
                self.campaign(now, False, True)
        elif isinstance(message, DataLossDetected) and frm == self.leader:
            self.withdrawn = True

    def asked(self, now: int, frm: str, message: RequestVote) -> None:
        led = self.role == LEADER or now - self.heard < self.election
        if led and not message.leadership_transfer:  # 4.2.3: one that was removed or cut off unseats nobody
            return
        if message.term < self.term:
            return self.say(frm, VoteReply(self.term, False, message.pre_vote))
        mine = (self.term_at(self.last()), self.last())
        good = (message.last_log_term, message.last_log_index) >= mine
        if message.pre_vote:
            yes = good and message.term > self.term
            return self.say(frm, VoteReply(message.term if yes else self.term, yes, True))
        if message.term > self.term:
            self.raise_term(message.term, now)
        yes = good and self.voted in ("", frm)
        if yes:
            if self.voted != frm:
                self.voted = frm
                self.mark()
            self.due = now + self.patience()
        self.say(frm, VoteReply(self.term, yes))

    def told(self, now: int, frm: str, message: AppendEntries | InstallSnapshot) -> None:
        """A leader's entries or snapshot."""
        if message.term < self.term:
            return self.say(frm, AppendEntriesReply(self.term, False, 0, message.round, self.last()))
        if self.role != FOLLOWER or self.leader != frm:
            self.follow(now, frm)
        self.heard = now
        self.due = now + self.patience()
        if isinstance(message, InstallSnapshot):
            return self.install(frm, message)
        before = self.term_at(message.prev_log_index)
        if message.prev_log_index < self.base:  # what is before our snapshot is committed, and so alike
            skip = self.base - message.prev_log_index
            message = AppendEntries(
                message.term,
                self.base,
                self.base_term,
                message.entries[skip:],
                message.leader_commit,
                message.round,
            )
            before = self.base_term
        if before != message.prev_log_term:
            hint = min(message.prev_log_index - 1, self.last())
            if before is not None:  # the whole of a term that differs is left out
                while hint > self.commit and self.term_at(hint) == before:
                    hint -= 1
            return self.say(frm, AppendEntriesReply(self.term, False, hint, message.round, self.last()))
        for at, entry in enumerate(message.entries, message.prev_log_index + 1):
            if self.term_at(at) != entry.term:
                if at <= self.last():
                    self.cut(at)
                self.append(*message.entries[at - message.prev_log_index - 1 :])
                break
        upto = message.prev_log_index + len(message.entries)
        self.commit = max(self.commit, min(message.leader_commit, upto))
        self.say(frm, AppendEntriesReply(self.term, True, upto, message.round, self.last()))

    def install(self, frm: str, message: InstallSnapshot) -> None:
        snapshot = message.snapshot
        if snapshot.index > self.commit:
            if self.term_at(snapshot.index) != snapshot.term:
                self.entries = []
                self.configs = []
            else:
                self.entries = self.entries[snapshot.index - self.base :]
                self.configs = [one for one in self.configs if one[0] > snapshot.index]
            self.configs.insert(0, (snapshot.index, snapshot.configuration))
            self.base, self.base_term = snapshot.index, snapshot.term
            self.snapshot = self.new_snapshot = self.restore = snapshot
            self.commit = self.applied = snapshot.index
            self.stable = max(snapshot.index, min(self.stable, self.last()))
            self.mark(self.base + 1)
        self.say(frm, AppendEntriesReply(self.term, True, max(snapshot.index, 0), message.round, self.last()))

    def answered(self, now: int, frm: str, message: AppendEntriesReply) -> None:
        peer = self.peers.get(frm)
        if self.role != LEADER or peer is None:
            return
        peer.acked_at = now
        peer.acked = max(peer.acked, message.round)
        if message.success:
            if message.match_index > peer.match:
                peer.match, peer.matched = message.match_index, self.round
            peer.next = max(peer.next, peer.match + 1)
            peer.probing = False
            self.advance(now)
            self.send(frm, now)
        elif message.last_log_index < peer.match and message.round > peer.matched:
            # It answers what was said after it had acknowledged more: that is gone from its disk.
            self.say(frm, DataLossDetected(self.term), False)
            del self.peers[frm]
            return
        elif message.match_index < peer.next - 1:
            peer.next = max(peer.match, message.match_index) + 1
            peer.probing = True
            self.send(frm, now, True)
        self.answer_reads()

    def advance(self, now: int) -> None:
        """Committed is what a majority of the voters holds on disk, if it is of our own term (3.6.2)."""
        held = sorted(
            (self.stable if one == self.ident else self.peers[one].match if one in self.peers else 0)
            for one in self.config.voters
        )
        index = held[(len(held) - 1) // 2] if held else 0
        if index <= self.commit or self.term_at(index) != self.term:
            return
        self.commit = index
        self.flush = True
        self.round += bool(self.early_reads)
        for token in self.early_reads:
            self.reads.append((self.round, self.commit, token))
        self.early_reads = []
        if self.configs[-1][0] <= index and self.ident not in self.config.voters:
            self.follow(now, "")  # 4.2.2: removed, we led until it was so

    # What the caller wants.

    def propose(self, data: bytes, kind: str = EntryKind.DATA) -> tuple[int, int] | None:
        """The index and term of a new entry; None where we do not lead."""
        if self.role != LEADER or self.handing or self.withdrawn:
            return None
        if (
            self.last() - self.commit >= WAITING and kind == EntryKind.DATA
        ):  # guards the memory of one that is cut off
            return None
        self.append(Entry(self.term, kind, data))
        self.flush = True
        return self.last(), self.term

    def may_change(self) -> bool:
        """One change at a time, and none before an entry of our own term is committed (the correction)."""
        settled = self.configs[-1][0] <= self.commit and self.term_at(self.commit) == self.term
        return self.role == LEADER and settled and not self.handing

    def change(self, config: Configuration, now: int) -> bool:
        """Another configuration, if it differs by one voter at most and the last one is settled."""
        differ = {*config.voters} ^ {*self.config.voters}
        if not self.may_change() or len(differ) > 1 or not config.voters:
            return False
        self.propose(encode(config), EntryKind.CONFIGURATION)
        self.meet(now)
        return True

    def read(self, token: object) -> bool:
        """The token comes back by `take` once the state shows all that was committed before (6.4)."""
        if self.role != LEADER:
            return False
        if self.term_at(self.commit) != self.term:
            self.early_reads.append(token)
        else:
            self.round += 1
            self.reads.append((self.round, self.commit, token))
            self.flush = True
        return True

    def answer_reads(self) -> None:
        """A majority has answered a round begun after the read came: nobody else led then."""
        while self.reads:
            number, _, token = self.reads[0]
            sure = {one for one, peer in self.peers.items() if peer.acked >= number} | {self.ident}
            if not self.majority(sure):
                return
            self.reads.pop(0)
            self.done_reads.append(token)

    def hand_on(self, now: int) -> bool:
        """Asks the follower that has most to be elected at once; nothing new is taken meanwhile."""
        able = [one for one in self.config.voters if one in self.peers]
        if self.role != LEADER or not able:
            return False
        to = max(able, key=lambda one: self.peers[one].match)
        if self.peers[to].match < self.last():
            return False
        self.handing = now + 2 * self.election
        self.say(to, TimeoutNow(self.term), False)
        return True

    def compact(self, index: int, data: bytes) -> None:
        """The caller's state after the applied entry at `index`: entries before it go, but for a few."""
        config = next(config for at, config in reversed(self.configs) if at <= index)
        self.snapshot = self.new_snapshot = Snapshot(index, self.term_at(index), config, data)
        base = max(self.base, index - KEPT)
        self.base_term = self.term_at(base)
        self.entries = self.entries[base - self.base :]
        self.base = base
        late = [one for one in self.configs if one[0] > base]
        early = [one for one in self.configs if one[0] <= base][-1:]
        self.configs = early + late
        self.mark()

    # Disk.

    def saved(self, number: int, now: int) -> None:
        """That batch is on disk."""
        if self.writing is None or self.writing[0] != number:
            return
        last, self.writing = self.writing[1], None
        clean = self.last() if self.first_dirty is None else self.first_dirty - 1
        self.stable = max(self.stable, min(last, clean))
        due = [(to, message) for held, to, message in self.held if held <= number]
        self.held = [one for one in self.held if one[0] > number]
        self.ready += due
        if self.role == LEADER:
            self.advance(now)
        elif self.role == CANDIDATE:
            self.count_votes(now)

    def take(self, now: int) -> Out:
        """What there is to be done now; to be called after each call above."""
        out = Out(withdrawn=self.withdrawn)
        if self.withdrawn:
            self.held, self.ready = [], []
            return out
        if self.flush and self.role == LEADER:
            self.flush = False
            for one in self.peers:
                self.send(one, now, bool(self.reads) or self.peers[one].told != self.commit)
                if one in self.peers:
                    self.peers[one].told = self.commit
        if self.dirty and self.writing is None:
            self.number += 1
            first = max(self.first_dirty or self.last() + 1, self.base + 1)
            out.save = WriteBatch(
                self.number, self.term, self.voted, first, self.entries[first - self.base - 1 :],
                self.new_snapshot, self.base + 1,
            )  # fmt: skip
            self.writing = self.number, self.last()
            self.dirty, self.first_dirty, self.new_snapshot = False, None, None
        if self.role == LEADER and self.reads:
            self.answer_reads()
        out.messages, self.ready = self.ready, []
        out.restore, self.restore = self.restore, None
        while self.applied < self.commit:
            self.applied += 1
            out.applied.append((self.applied, self.entry(self.applied)))
        out.reads, self.done_reads = self.done_reads, []
        out.lost_reads, self.lost_reads = self.lost_reads, []
        return out
