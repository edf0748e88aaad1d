"""What must hold, read out of what was recorded: the four rules, histories of duties.

Owns the verdicts.  It does no I/O and must never call a run good for want of a record, or excuse what no
fault of the scenario explains.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from math import inf

from ..load.clients import REJECTED, SERVED, LoadClass, ClientAttempt
from ..standin.ledger import SERVING, Ledger, ReceivedCommand
from .linear import Op, linearizable

GRACE = 1_000_000  # after it was told, nothing new goes to a node that drains or is gone
WINDOW = 1_000_000  # over which a cold node's reqs are counted
GONE, FEW = 300_000, 0.25  # so long after its client has left a req is not sent on; the part that may be
BEGUN, CHANCE = 100_000, 2  # no attempt, first or further, begins later after that; so many may


@dataclass(frozen=True, slots=True)
class Breach:
    rule: str
    at: int
    who: str  # the req, node or duty that it is about
    text: str


@dataclass(frozen=True, slots=True)
class Excuse:
    """From `frm` to `to` that proxy (None: each) may leave clients without answers, since a fault keeps it
    from them; or, where `node` is named, its word and news to and from there may be late."""

    frm: int
    to: int
    proxy: str | None = None
    node: str | None = None


@dataclass(frozen=True, slots=True)
class Terms:
    """What the rules go by.  Times are microseconds; `cold`: reqs that a cold node may get in a second."""

    classes: dict[str, LoadClass]
    slack: int  # on the time of a final answer
    late: int = 50_000  # on all else: what the rig itself may lag
    lag: int = 0  # how late the rig was: for so long bytes may have lain in its own relays
    grace: int = GRACE
    cold: float | None = None
    end: int | None = None  # tries that are due later are not judged
    windows: dict[str, int] = field(default_factory=dict)  # of deduplicated classes


def rules(tries: list[ClientAttempt], ledger: Ledger, excuses: list[Excuse], terms: Terms) -> list[Breach]:
    """Every breach of the four rules, and of reqs sent on for nobody, in the order of their times."""
    found = [
        *one_answer(tries, ledger, excuses, terms),
        *one_effect(tries, ledger, terms),
        *in_its_window(ledger, excuses, terms),
        *nothing_new(ledger, excuses, terms),
        *cold_nodes(ledger, terms),
        *for_nobody(tries, ledger, terms),
        *begun_for_nobody(tries, ledger, excuses, terms),
        *sent_after_its_answer(tries, ledger, excuses, terms),
    ]
    return sorted(found, key=lambda breach: breach.at)


def excused(excuses: list[Excuse], proxy: str, frm: int, to: int) -> bool:
    return any(
        one.node is None and one.proxy in (None, proxy) and one.frm <= to and frm <= one.to for one in excuses
    )


def one_answer(
    tries: list[ClientAttempt], ledger: Ledger, excuses: list[Excuse], terms: Terms
) -> list[Breach]:
    """Rule 1: each accepted req gets exactly one final answer in time, nothing after it.

    One that crossed the end of a kept connection was not accepted, unless a node had it from that proxy.  It
    did not cross the end if it had lain there for longer than `late`: the proxy had that time to read it.  On
    a new connection nothing crosses but what the rig itself held back.
    """
    found, reached = [], {(taken.proxy, taken.ident) for taken in ledger.commands}
    for one in tries:
        name, late = one.ident.decode(), one.deadline + terms.slack
        if one.client_left_at is not None or (terms.end is not None and one.deadline > terms.end):
            continue
        if len(one.answers) > 1:
            when, _, text = one.answers[1]
            found.append(Breach("one answer", when, name, f"{one.proxy} answered again: {text[:40]!r}"))
        crossed = one.connection_lost_at is not None and one.connection_lost_at - one.at <= (
            terms.late if one.maybe_unread else terms.lag
        )
        unread = crossed and (one.proxy, one.ident) not in reached
        if not one.answers and not unread and not excused(excuses, one.proxy, one.at, late):
            how = "never came"
            if one.connection_lost_at is not None:
                how = f"its connection ended after {(one.connection_lost_at - one.at) // 1000} ms"
            found.append(
                Breach("one answer", one.connection_lost_at or late, name, f"{one.proxy}: no answer, {how}")
            )
        for when, kind, text in one.answers[:1]:
            if when > late and not excused(excuses, one.proxy, one.at, when):
                found.append(
                    Breach("one answer", when, name, f"{one.proxy}: {(when - one.deadline) // 1000} ms late")
                )
            if kind == SERVED and one.ident not in text:
                words = f"{one.proxy}: another's answer, {text[:40]!r}"
                found.append(Breach("one answer", when, name, words))
    return found


def one_effect(tries: list[ClientAttempt], ledger: Ledger, terms: Terms) -> list[Breach]:
    """Rule 2: no effect twice; nothing nacked that may have run."""
    found, runs, outs = [], defaultdict(list), defaultdict(list)
    by_mark = defaultdict(list)
    for effect in ledger.effects:
        runs[effect.ident].append(effect)
        if effect.idempotency_key:
            by_mark[effect.request_class, effect.idempotency_key].append(effect)
    for taken in ledger.commands:
        if not taken.busy:
            outs[taken.ident].append(taken)
    for (_, mark), effects in by_mark.items():
        if len(effects) > 1:
            text = f"carried out {len(effects)} times, at {', '.join(e.node for e in effects)}"
            found.append(Breach("no effect twice", effects[1].at, mark.decode(), text))
    sent = defaultdict(list)
    for one in tries:
        sent[one.ident].append(one)
    for ident, of in sent.items():
        one, name = of[0], ident.decode()
        method = terms.classes[one.request_class]
        if method.retryable:
            continue
        if len(outs[ident]) > 1:
            text = f"written out {len(outs[ident])} times, to {', '.join(t.node for t in outs[ident])}"
            found.append(Breach("no effect twice", outs[ident][1].at, name, text))
        nacks = [when for answered in of for when, kind, _ in answered.answers if kind == REJECTED]
        if nacks and outs[ident]:
            text = f"nacked by {one.proxy}, though {outs[ident][0].node} had taken it"
            found.append(Breach("no effect twice", nacks[0], name, text))
        if len(runs[ident]) > 1 and len(outs[ident]) < 2:
            found.append(Breach("no effect twice", runs[ident][1].at, name, "carried out twice"))
    return found


def in_its_window(ledger: Ledger, excuses: list[Excuse], terms: Terms) -> list[Breach]:
    """Rule 2, as a node sees it that drops repeats just as long as stated: what may have run comes again
    within the window of the first that may have."""
    found, first = [], {}
    for taken in sorted(ledger.commands, key=lambda one: one.at):
        window = terms.windows.get(taken.request_class)
        if window is None or taken.busy:
            continue
        before = first.setdefault(taken.ident, taken.at)
        if taken.at > before + window + terms.late and not held_up(excuses, taken, before):
            text = f"sent to {taken.node} {(taken.at - before) // 1000} ms after the first"
            found.append(Breach("no effect twice", taken.at, taken.ident.decode(), text))
    return found


def held_up(excuses: list[Excuse], taken: ReceivedCommand, frm: int) -> bool:
    """A fault of the link may have kept it on its way: when it went out is not known."""
    return any(
        one.node in (None, taken.node) and one.proxy in (None, taken.proxy)
        and one.frm <= taken.at and frm <= one.to for one in excuses
    )  # fmt: skip


def nothing_new(ledger: Ledger, excuses: list[Excuse], terms: Terms) -> list[Breach]:
    """Rule 3: nothing new to a node that drains or is gone, after the grace."""
    found, states = [], defaultdict(list)
    for told in ledger.state_updates:
        states[told.proxy, told.node].append(told)
    for taken in ledger.commands:
        last = None
        for told in states[taken.proxy, taken.node]:
            if told.at <= taken.at:
                last = told if told.state != SERVING and (last is None or last.state == SERVING) else last
                last = None if told.state == SERVING else last
        if last is None or taken.at <= last.at + terms.grace + terms.late:
            continue
        late = any(
            one.frm <= taken.at and last.at <= one.to and one.proxy in (None, taken.proxy)
            and one.node in (None, taken.node, "discovery") for one in excuses
        )  # fmt: skip
        if not late:
            ms = (taken.at - last.at) // 1000
            text = f"{taken.proxy} sent there {ms} ms after it was told {last.state}"
            found.append(Breach("nothing new to a draining node", taken.at, taken.node, text))
    return found


def cold_nodes(ledger: Ledger, terms: Terms) -> list[Breach]:
    """Rule 4: a cold node is never pushed over."""
    if terms.cold is None:
        return []
    found, by_node = [], defaultdict(list)
    for taken in ledger.commands:
        if taken.cold and not taken.busy:
            by_node[taken.node].append(taken.at)
    for node, times in by_node.items():
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - WINDOW:
                first += 1
            if last - first + 1 > terms.cold:
                text = f"{last - first + 1} reqs within a second while cold, {terms.cold:.0f} are its bound"
                found.append(Breach("a cold node is not pushed over", at, node, text))
                break
    return found


def for_nobody(tries: list[ClientAttempt], ledger: Ledger, terms: Terms) -> list[Breach]:
    """A req whose client has left while it waited is not sent on; counted against all that waited."""
    taken, waited, sent = defaultdict(list), 0, []
    for went in ledger.commands:
        taken[went.proxy, went.ident].append(went.at)
    for one in tries:
        at = taken[one.proxy, one.ident]
        if one.client_left_at is None or (at and min(at) <= one.client_left_at):
            continue
        waited += 1
        sent += [(when, one) for when in at[:1] if when > one.client_left_at + GONE + terms.late]
    if len(sent) <= FEW * waited:
        return []
    when, one = min(sent, key=lambda found: found[0])
    text = f"{len(sent)} of {waited} whose client had left while they waited; {one.proxy} sent this one on"
    text += f" {(when - one.client_left_at) // 1000} ms after"
    return [Breach("nothing is sent on for nobody", when, one.ident.decode(), text)]


def begun_for_nobody(
    tries: list[ClientAttempt], ledger: Ledger, excuses: list[Excuse], terms: Terms
) -> list[Breach]:
    """No attempt begins once the client has gone, but for what crosses its end; the third is a breach."""
    taken, late = defaultdict(list), []
    for went in ledger.commands:
        taken[went.proxy, went.ident].append(went)
    for one in tries:
        for went in taken[one.proxy, one.ident] if one.client_left_at is not None else ():
            if went.at > one.client_left_at + BEGUN + terms.late and not held_up(
                excuses, went, one.client_left_at
            ):
                late.append((went.at, one))
    if len(late) <= CHANCE:
        return []
    when, one = sorted(late, key=lambda found: found[0])[CHANCE]
    text = f"{len(late)} attempts begun for nobody; {one.proxy} began this one"
    text += f" {(when - one.client_left_at) // 1000} ms after its client had left"
    return [Breach("nothing is begun for nobody", when, one.ident.decode(), text)]


def sent_after_its_answer(
    tries: list[ClientAttempt], ledger: Ledger, excuses: list[Excuse], terms: Terms
) -> list[Breach]:
    """No attempt reaches a node once the proxy has ended its request: with an answer, or its connection."""
    taken, found = defaultdict(list), []
    for went in ledger.commands:
        taken[went.proxy, went.ident].append(went)
    for one in tries:
        ended = one.answers[0][0] if one.answers else one.connection_lost_at
        for went in taken[one.proxy, one.ident] if ended is not None else ():
            if went.at > ended + terms.late and not held_up(excuses, went, ended):
                text = f"{went.node} had it {(went.at - ended) // 1000} ms after {one.proxy} had ended it"
                found.append(Breach("nothing is sent after its end", went.at, one.ident.decode(), text))
    return found


# --- The agreed state ---


def table_step(state: tuple[bytes, int], args: tuple) -> tuple[tuple[bytes, int], list]:
    """What a key's value and version become, and the answer: ("get",) or ("set", value, wanted version)."""
    value, version = state
    if args[0] == "get":
        return state, [value, version]
    if args[2] not in (None, version):
        return state, [False, version]
    return (args[1], version + 1), [True, version + 1]


def agreed(history: list[tuple[str, Op]]) -> list[Breach]:
    """Each key's operations by themselves must be linearizable."""
    found, by_key = [], defaultdict(list)
    for key, op in history:
        by_key[key].append(op)
    for key, ops in by_key.items():
        for part, state in windows(ops):
            if not linearizable(part, state, table_step):
                text = f"{len(part)} operations that no order explains"
                found.append(Breach("linearizable", int(part[0].called), key, text))
                break
    return found


def windows(ops: list[Op]) -> list[tuple[list[Op], tuple[bytes, int]]]:
    """A key's history cut where nothing is under way and a look tells the state, so that each part is small.

    Operations without an answer may take effect later, so after one there is no further cut.
    """
    ops = sorted(ops, key=lambda op: op.called)
    parts, state, first, latest = [], (b"", 0), 0, 0.0
    for at, op in enumerate(ops):
        alone = op.called > latest and (at + 1 == len(ops) or ops[at + 1].called > op.returned)
        if alone and op.args[0] == "get" and op.returned != inf and at > first:
            parts.append((ops[first : at + 1], state))
            state, first = tuple(op.result), at  # it is looked at again as the first of the next part
        latest = max(latest, op.returned)
    parts.append((ops[first:], state))
    return parts


# --- Duties ---


@dataclass(frozen=True, slots=True)
class Act:
    """A receiver was asked to take an act under a duty's token, and took it or not."""

    at: int
    duty: str
    holder: str
    token: int
    receiver: str
    taken: bool


LATE = 500_000  # microseconds: a process that was not stopped may log so late that it holds no more


def overlapping(
    held: list[tuple[int, int, str, str, int]], stops: list[tuple[str, int, int]]
) -> list[Breach]:
    """No duty is held by two at once: (from, to, duty, proxy, token).

    One that did not run (`stops`: proxy, from, to) holds by its own word until it runs again, and then an
    older token than its successor's, under which it may do nothing.
    """
    found, held = [], sorted(held, key=lambda one: (one[2], one[4]))
    for one, other in zip(held, held[1:], strict=False):
        until = one[1] - LATE
        ran = not any(proxy == one[3] and frm <= one[1] and other[0] <= to + LATE for proxy, frm, to in stops)
        both = one[2] == other[2] and one[4] == other[4] and one[3] != other[3]
        if both or (one[2] == other[2] and other[0] < until and one[3] != other[3] and ran):
            text = f"{one[3]} and {other[3]} hold it, tokens {one[4]} and {other[4]}"
            found.append(Breach("one holder", other[0], one[2], text))
    return found


def duties(acts: list[Act]) -> list[Breach]:
    """No token has two holders, and no receiver takes an act of an older token than it has taken before."""
    found: list[Breach] = []
    holders: dict[tuple[str, int], str] = {}
    highest: dict[tuple[str, str], int] = {}
    for act in sorted(acts, key=lambda act: act.at):
        if not act.taken:
            continue
        holder = holders.setdefault((act.duty, act.token), act.holder)
        if act.holder and holder != act.holder:
            text = f"{act.holder} and {holder} both act under token {act.token}"
            found.append(Breach("one holder", act.at, act.duty, text))
        before = highest.get((act.duty, act.receiver), 0)
        if act.token < before:
            text = f"{act.receiver} took an act of token {act.token} by {act.holder} after one of {before}"
            found.append(Breach("fencing", act.at, act.duty, text))
        highest[act.duty, act.receiver] = max(before, act.token)
    return found
