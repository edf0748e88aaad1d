"""Checks of a recorded run: the rules that proxies must follow, the replicated table, and the duties.

These functions do no I/O.  A missing record never counts as a good one, and a breach is passed over only if a
fault of the scenario explains it (see Exemption).
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from math import inf

from ..load.clients import REJECTED, SERVED, LoadClass, ClientAttempt
from ..standin.ledger import SERVING, Ledger, ReceivedCommand
from .linear import Operation, linearizable

DRAIN_GRACE_US = 1_000_000  # after a proxy was informed that a server drains or is gone
COLD_WINDOW_US = 1_000_000  # in which the requests to a cold server are counted
# A waiting request must not be sent to a server later than this after its client left, but for this fraction.
SENT_AFTER_LEFT_US, MAX_SENT_FRACTION = 300_000, 0.25
# No attempt, first or further, may begin later than this after its client left, but for this number.
BEGUN_AFTER_LEFT_US, MAX_BEGUN = 100_000, 2


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that was broken at the time `at`, in microseconds."""

    rule: str
    at: int
    subject: str  # the request, server or duty concerned
    text: str


@dataclass(frozen=True, slots=True)
class Exemption:
    """A time from `start` to `end` in which a fault excuses a proxy (None: every proxy).

    Without `server`, the proxy may leave clients without answers, and its messages may be late.  With
    `server`, only messages between the proxy and that server (or discovery) may be late.
    """

    start: int
    end: int
    proxy: str | None = None
    server: str | None = None


@dataclass(frozen=True, slots=True)
class RuleLimits:
    """Limits that the rules are checked against.  Times are microseconds."""

    classes: dict[str, LoadClass]
    answer_slack: int  # added to the time limit of a final answer
    tolerance: int = 50_000  # added to all other time limits, for the lag of the rig itself
    relay_lag: int = 0  # the rig's lag: for this long its own relays may have held bytes back
    drain_grace: int = DRAIN_GRACE_US
    cold: float | None = None  # requests that a cold server may receive in COLD_WINDOW_US
    end: int | None = None  # client attempts that are due later are not checked
    dedup_windows: dict[str, int] = field(default_factory=dict)  # by request class


def check_rules(
    attempts: list[ClientAttempt], ledger: Ledger, exemptions: list[Exemption], limits: RuleLimits
) -> list[Breach]:
    """Return all breaches of the four rules and of the rules on clients that left, in order of time."""
    breaches = [
        *check_one_answer(attempts, ledger, exemptions, limits),
        *check_no_double_effect(attempts, ledger, limits),
        *check_dedup_windows(ledger, exemptions, limits),
        *check_draining_servers(ledger, exemptions, limits),
        *check_cold_servers(ledger, limits),
        *check_sent_after_client_left(attempts, ledger, limits),
        *check_begun_after_client_left(attempts, ledger, exemptions, limits),
        *check_sent_after_end(attempts, ledger, exemptions, limits),
    ]
    return sorted(breaches, key=lambda breach: breach.at)


def is_exempt(exemptions: list[Exemption], proxy: str, start: int, end: int) -> bool:
    """Return whether the proxy may leave clients without answers at some time from `start` to `end`."""
    return any(
        exemption.server is None
        and exemption.proxy in (None, proxy)
        and exemption.start <= end
        and start <= exemption.end
        for exemption in exemptions
    )


def check_one_answer(
    attempts: list[ClientAttempt], ledger: Ledger, exemptions: list[Exemption], limits: RuleLimits
) -> list[Breach]:
    """Rule 1: each accepted request gets exactly one final answer in time, and nothing after it.

    A request that crossed the end of a reused connection was not accepted, unless a server received it from
    that proxy.  A request that had arrived more than `tolerance` before the end did not cross it, because the
    proxy had that time to read it.  On a new connection a request crosses the end only within the time for
    which the rig itself may have held it back.
    """
    breaches, received = [], {(taken.proxy, taken.ident) for taken in ledger.commands}
    for attempt in attempts:
        name, latest = attempt.ident.decode(), attempt.deadline + limits.answer_slack
        if attempt.client_left_at is not None or (limits.end is not None and attempt.deadline > limits.end):
            continue
        if len(attempt.answers) > 1:
            when, _, text = attempt.answers[1]
            breaches.append(
                Breach("one answer", when, name, f"{attempt.proxy} answered again: {text[:40]!r}")
            )
        crossed = attempt.connection_lost_at is not None and attempt.connection_lost_at - attempt.at <= (
            limits.tolerance if attempt.maybe_unread else limits.relay_lag
        )
        unread = crossed and (attempt.proxy, attempt.ident) not in received
        if (
            not attempt.answers
            and not unread
            and not is_exempt(exemptions, attempt.proxy, attempt.at, latest)
        ):
            how = "none came in time"
            if attempt.connection_lost_at is not None:
                how = f"its connection ended after {(attempt.connection_lost_at - attempt.at) // 1000} ms"
            breaches.append(
                Breach(
                    "one answer",
                    attempt.connection_lost_at or latest,
                    name,
                    f"{attempt.proxy}: no answer, {how}",
                )
            )
        for when, kind, text in attempt.answers[:1]:
            if when > latest and not is_exempt(exemptions, attempt.proxy, attempt.at, when):
                breaches.append(
                    Breach(
                        "one answer",
                        when,
                        name,
                        f"{attempt.proxy}: {(when - attempt.deadline) // 1000} ms late",
                    )
                )
            if kind == SERVED and attempt.ident not in text:
                message = f"{attempt.proxy}: answer to another request, {text[:40]!r}"
                breaches.append(Breach("one answer", when, name, message))
    return breaches


def check_no_double_effect(attempts: list[ClientAttempt], ledger: Ledger, limits: RuleLimits) -> list[Breach]:
    """Rule 2: no effect happens twice, and no request that may have run is nacked."""
    breaches, runs, sends = [], defaultdict(list), defaultdict(list)
    by_token = defaultdict(list)
    for effect in ledger.effects:
        runs[effect.ident].append(effect)
        if effect.idempotency_key:
            by_token[effect.request_class, effect.idempotency_key].append(effect)
    for taken in ledger.commands:
        if not taken.busy:
            sends[taken.ident].append(taken)
    for (_, token), effects in by_token.items():
        if len(effects) > 1:
            text = f"carried out {len(effects)} times, at {', '.join(e.node for e in effects)}"
            breaches.append(Breach("no effect twice", effects[1].at, token.decode(), text))
    by_ident = defaultdict(list)
    for attempt in attempts:
        by_ident[attempt.ident].append(attempt)
    for ident, same in by_ident.items():
        first, name = same[0], ident.decode()
        request_class = limits.classes[first.request_class]
        if request_class.retryable:
            continue
        if len(sends[ident]) > 1:
            text = f"sent {len(sends[ident])} times, to {', '.join(t.node for t in sends[ident])}"
            breaches.append(Breach("no effect twice", sends[ident][1].at, name, text))
        nacks = [when for attempt in same for when, kind, _ in attempt.answers if kind == REJECTED]
        if nacks and sends[ident]:
            text = f"nacked by {first.proxy}, though {sends[ident][0].node} had accepted it"
            breaches.append(Breach("no effect twice", nacks[0], name, text))
        if len(runs[ident]) > 1 and len(sends[ident]) < 2:
            breaches.append(Breach("no effect twice", runs[ident][1].at, name, "carried out twice"))
    return breaches


def check_dedup_windows(ledger: Ledger, exemptions: list[Exemption], limits: RuleLimits) -> list[Breach]:
    """Rule 2 for a server that drops repeats for exactly the configured deduplication window.

    A repeat of a request that may have run must arrive within the window of the first attempt that may have.
    """
    breaches, first = [], {}
    for taken in sorted(ledger.commands, key=lambda taken: taken.at):
        window = limits.dedup_windows.get(taken.request_class)
        if window is None or taken.busy:
            continue
        before = first.setdefault(taken.ident, taken.at)
        if taken.at > before + window + limits.tolerance and not may_be_delayed(exemptions, taken, before):
            text = f"sent to {taken.node} {(taken.at - before) // 1000} ms after the first"
            breaches.append(Breach("no effect twice", taken.at, taken.ident.decode(), text))
    return breaches


def may_be_delayed(exemptions: list[Exemption], taken: ReceivedCommand, start: int) -> bool:
    """Return whether a fault of the link after `start` may have delayed the request.

    The time at which the proxy sent the request is then unknown.
    """
    return any(
        exemption.server in (None, taken.node) and exemption.proxy in (None, taken.proxy)
        and exemption.start <= taken.at and start <= exemption.end for exemption in exemptions
    )  # fmt: skip


def check_draining_servers(ledger: Ledger, exemptions: list[Exemption], limits: RuleLimits) -> list[Breach]:
    """Rule 3: a server that drains or is gone gets no new requests after the grace."""
    breaches, states = [], defaultdict(list)
    for update in ledger.state_updates:
        states[update.proxy, update.node].append(update)
    for taken in ledger.commands:
        last = None
        for update in states[taken.proxy, taken.node]:
            if update.at <= taken.at:
                last = update if update.state != SERVING and (last is None or last.state == SERVING) else last
                last = None if update.state == SERVING else last
        if last is None or taken.at <= last.at + limits.drain_grace + limits.tolerance:
            continue
        delayed = any(
            exemption.start <= taken.at and last.at <= exemption.end
            and exemption.proxy in (None, taken.proxy)
            and exemption.server in (None, taken.node, "discovery") for exemption in exemptions
        )  # fmt: skip
        if not delayed:
            ms = (taken.at - last.at) // 1000
            text = f"{taken.proxy} sent a request {ms} ms after it was informed of the state {last.state}"
            breaches.append(Breach("nothing new to a draining node", taken.at, taken.node, text))
    return breaches


def check_cold_servers(ledger: Ledger, limits: RuleLimits) -> list[Breach]:
    """Rule 4: a cold server is never overloaded."""
    if limits.cold is None:
        return []
    breaches, by_server = [], defaultdict(list)
    for taken in ledger.commands:
        if taken.cold and not taken.busy:
            by_server[taken.node].append(taken.at)
    for server, times in by_server.items():
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - COLD_WINDOW_US:
                first += 1
            if last - first + 1 > limits.cold:
                text = (
                    f"{last - first + 1} requests within a second while cold, the bound is {limits.cold:.0f}"
                )
                breaches.append(Breach("a cold node is not pushed over", at, server, text))
                break
    return breaches


def check_sent_after_client_left(
    attempts: list[ClientAttempt], ledger: Ledger, limits: RuleLimits
) -> list[Breach]:
    """A request whose client left while it waited is not sent to a server.

    A breach if the fraction of these requests that were sent exceeds MAX_SENT_FRACTION.
    """
    times, waited, sent = defaultdict(list), 0, []
    for taken in ledger.commands:
        times[taken.proxy, taken.ident].append(taken.at)
    for attempt in attempts:
        at = times[attempt.proxy, attempt.ident]
        if attempt.client_left_at is None or (at and min(at) <= attempt.client_left_at):
            continue
        waited += 1
        sent += [
            (when, attempt)
            for when in at[:1]
            if when > attempt.client_left_at + SENT_AFTER_LEFT_US + limits.tolerance
        ]
    if len(sent) <= MAX_SENT_FRACTION * waited:
        return []
    when, attempt = min(sent, key=lambda item: item[0])
    text = (
        f"{len(sent)} of {waited} requests sent though their clients had left; {attempt.proxy} sent this one"
    )
    text += f" {(when - attempt.client_left_at) // 1000} ms after"
    return [Breach("nothing is sent on for nobody", when, attempt.ident.decode(), text)]


def check_begun_after_client_left(
    attempts: list[ClientAttempt], ledger: Ledger, exemptions: list[Exemption], limits: RuleLimits
) -> list[Breach]:
    """No attempt begins after the client has left.

    An attempt may cross the end of its client's connection by chance, so the third is a breach (MAX_BEGUN).
    """
    by_request, late = defaultdict(list), []
    for taken in ledger.commands:
        by_request[taken.proxy, taken.ident].append(taken)
    for attempt in attempts:
        for taken in by_request[attempt.proxy, attempt.ident] if attempt.client_left_at is not None else ():
            if (
                taken.at > attempt.client_left_at + BEGUN_AFTER_LEFT_US + limits.tolerance
                and not may_be_delayed(exemptions, taken, attempt.client_left_at)
            ):
                late.append((taken.at, attempt))
    if len(late) <= MAX_BEGUN:
        return []
    when, attempt = sorted(late, key=lambda item: item[0])[MAX_BEGUN]
    text = f"{len(late)} attempts begun after their clients had left; {attempt.proxy} began this one"
    text += f" {(when - attempt.client_left_at) // 1000} ms after its client had left"
    return [Breach("nothing is begun for nobody", when, attempt.ident.decode(), text)]


def check_sent_after_end(
    attempts: list[ClientAttempt], ledger: Ledger, exemptions: list[Exemption], limits: RuleLimits
) -> list[Breach]:
    """No attempt reaches a server after the proxy has ended its request.

    A proxy ends a request by an answer, or by closing the client's connection.
    """
    by_request, breaches = defaultdict(list), []
    for taken in ledger.commands:
        by_request[taken.proxy, taken.ident].append(taken)
    for attempt in attempts:
        ended = attempt.answers[0][0] if attempt.answers else attempt.connection_lost_at
        for taken in by_request[attempt.proxy, attempt.ident] if ended is not None else ():
            if taken.at > ended + limits.tolerance and not may_be_delayed(exemptions, taken, ended):
                text = (
                    f"{taken.node} got it {(taken.at - ended) // 1000} ms after {attempt.proxy} had ended it"
                )
                breaches.append(
                    Breach("nothing is sent after its end", taken.at, attempt.ident.decode(), text)
                )
    return breaches


# --- The replicated table ---


def apply_table_operation(state: tuple[bytes, int], args: tuple) -> tuple[tuple[bytes, int], list]:
    """Apply an operation to a key's (value, version); return the new state and the answer.

    `args` is ("get",) or ("set", value, expected version).
    """
    value, version = state
    if args[0] == "get":
        return state, [value, version]
    if args[2] not in (None, version):
        return state, [False, version]
    return (args[1], version + 1), [True, version + 1]


def check_table_history(history: list[tuple[str, Operation]]) -> list[Breach]:
    """Check that the operations on each key are linearizable."""
    breaches, by_key = [], defaultdict(list)
    for key, op in history:
        by_key[key].append(op)
    for key, ops in by_key.items():
        for part, state in split_history(ops):
            if not linearizable(part, state, apply_table_operation):
                text = f"{len(part)} operations that no order explains"
                breaches.append(Breach("linearizable", int(part[0].invoked_at), key, text))
                break
    return breaches


def split_history(ops: list[Operation]) -> list[tuple[list[Operation], tuple[bytes, int]]]:
    """Split a key's history where a "get" without concurrent operations shows the state, into small parts.

    Return each part with the state before it.  An operation without an answer may take effect later, so that
    the history is not split after it.
    """
    ops = sorted(ops, key=lambda op: op.invoked_at)
    parts, state, first, latest = [], (b"", 0), 0, 0.0
    for at, op in enumerate(ops):
        alone = op.invoked_at > latest and (at + 1 == len(ops) or ops[at + 1].invoked_at > op.returned_at)
        if alone and op.args[0] == "get" and op.returned_at != inf and at > first:
            parts.append((ops[first : at + 1], state))
            state, first = tuple(op.result), at  # this "get" is also the first operation of the next part
        latest = max(latest, op.returned_at)
    parts.append((ops[first:], state))
    return parts


# --- Duties ---


@dataclass(frozen=True, slots=True)
class DutyAction:
    """An action under a duty's fencing token, which the receiver accepted or rejected."""

    at: int
    duty: str
    holder: str
    token: int
    receiver: str
    accepted: bool


LOG_DELAY_US = 500_000  # a running process may log the end of its lease this late


def check_overlapping_leases(
    leases: list[tuple[int, int, str, str, int]], stops: list[tuple[str, int, int]]
) -> list[Breach]:
    """Check that no duty has two holders at once.

    `leases` are (start, end, duty, proxy, token), `stops` are (proxy, start, end).  A stopped process
    believes that it holds the duty until it runs again; then its token is older than its successor's, and it
    cannot act under it.
    """
    breaches, leases = [], sorted(leases, key=lambda lease: (lease[2], lease[4]))
    for lease, other in zip(leases, leases[1:], strict=False):
        until = lease[1] - LOG_DELAY_US
        ran = not any(
            proxy == lease[3] and start <= lease[1] and other[0] <= end + LOG_DELAY_US
            for proxy, start, end in stops
        )
        same_token = lease[2] == other[2] and lease[4] == other[4] and lease[3] != other[3]
        if same_token or (lease[2] == other[2] and other[0] < until and lease[3] != other[3] and ran):
            text = f"{lease[3]} and {other[3]} hold it, tokens {lease[4]} and {other[4]}"
            breaches.append(Breach("one holder", other[0], lease[2], text))
    return breaches


def check_duty_actions(actions: list[DutyAction]) -> list[Breach]:
    """Check that no token has two holders, and that no receiver accepts a token after a newer one."""
    breaches: list[Breach] = []
    holders: dict[tuple[str, int], str] = {}
    highest: dict[tuple[str, str], int] = {}
    for action in sorted(actions, key=lambda action: action.at):
        if not action.accepted:
            continue
        holder = holders.setdefault((action.duty, action.token), action.holder)
        if action.holder and holder != action.holder:
            text = f"{action.holder} and {holder} both act under token {action.token}"
            breaches.append(Breach("one holder", action.at, action.duty, text))
        before = highest.get((action.duty, action.receiver), 0)
        if action.token < before:
            text = f"{action.receiver} accepted token {action.token} of {action.holder} after token {before}"
            breaches.append(Breach("fencing", action.at, action.duty, text))
        highest[action.duty, action.receiver] = max(before, action.token)
    return breaches
