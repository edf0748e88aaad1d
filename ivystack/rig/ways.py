"""Network faults on links between processes: delay, jitter, rate limits, loss and cuts.

This module keeps the state of each direction of each link.  A stream queues a bounded number of bytes, keeps
the order of the bytes of a connection, and records when bytes were dropped, because a connection that has
lost bytes must not go on.
"""

from __future__ import annotations

from collections import deque
from random import Random

MAX_QUEUED_BYTES = 262_144  # in transit on a stream; above this the sender's connection is not read


class LinkDirection:
    """One direction of a link, with its present faults."""

    def __init__(self, sender: str, receiver: str, rng: Random):
        self.sender, self.receiver, self.rng = sender, receiver, rng
        self.cut = self.hole = self.frozen = False
        self.delay = self.jitter = 0.0  # seconds
        self.rate = 0  # bytes per second; 0 for no limit
        self.loss = self.twice = 0.0  # share of the datagrams that are lost or duplicated
        self.reset_after: int | None = None  # bytes until a connection is reset in the middle of a message
        self.values: dict[str, list] = {}  # by attribute: its value without faults, then one per active fault

    def begin_fault(self, name: str, value) -> None:
        """Set an attribute; of several active faults with the same attribute, the last one applies."""
        self.values.setdefault(name, [getattr(self, name)]).append(value)
        setattr(self, name, value)

    def end_fault(self, name: str, value) -> None:
        """End one fault; other active faults with the same attribute still apply.

        A fault must not restore the value that it found at its beginning, because another fault, which may
        have ended since then, may have set that value.
        """
        values = self.values[name]
        del values[len(values) - 1 - values[::-1].index(value)]
        setattr(self, name, values[-1])

    def transit_time(self, size: int) -> float:
        """Return the seconds that this number of bytes needs, with a random jitter."""
        latency = self.delay + (self.rng.random() * self.jitter if self.jitter else 0.0)
        return latency + (size / self.rate if self.rate else 0.0)

    def is_transparent(self) -> bool:
        """Return whether no fault affects the bytes of a stream; `reset_after` does not count."""
        return not (self.cut or self.hole or self.frozen or self.delay or self.jitter or self.rate)

    def datagram_delays(self) -> list[float]:
        """Return the delay in seconds of each copy of one datagram; an empty list if it is lost."""
        if self.cut or self.hole or self.frozen or (self.loss and self.rng.random() < self.loss):
            return []
        copies = 2 if self.twice and self.rng.random() < self.twice else 1
        return [self.transit_time(0) for _ in range(copies)]


class Stream:
    """The bytes of one connection in one direction, from the relay's receiving end to its sending end."""

    def __init__(self, direction: LinkDirection, reactor, deliver, close, reset, pause, resume):
        """Create a stream.

        Args:
            direction: The state of the link.
            reactor: A Twisted reactor or clock.
            deliver: Called with bytes that have reached the other end.
            close: Called to close the other end.
            reset: Called to reset both ends at once.
            pause: Called to stop reading at the receiving end.
            resume: Called to read again at the receiving end.
        """
        self.direction, self.reactor = direction, reactor
        self.deliver, self.close, self.reset, self.pause, self.resume = deliver, close, reset, pause, resume
        self.queue: deque[tuple[float, bytes | None]] = deque()  # due time and bytes; None for the close
        self.queued_bytes = 0
        self.last_due = 0.0  # due time of the last entry of the queue
        self.timer = None
        self.paused = self.lost_bytes = self.stopped = False

    def put(self, data: bytes | None) -> None:
        """Accept bytes from the sender, or its close if `data` is None."""
        direction = self.direction
        if self.stopped:
            return
        if direction.hole or direction.cut:
            self.lost_bytes = True
            return
        if direction.reset_after is not None and data:
            part = data[: direction.reset_after]
            direction.reset_after -= len(part)
            if len(part) < len(data):
                direction.reset_after = None
                if not self.queue:  # otherwise these bytes would overtake the queued ones
                    self.deliver(part)
                return self.reset()
        if direction.is_transparent() and not self.queue:
            return self.close() if data is None else self.deliver(data)
        now = self.reactor.seconds()
        self.last_due = max(self.last_due, now + direction.transit_time(len(data or b"")))
        self.queue.append((self.last_due, data))
        self.queued_bytes += len(data or b"")
        if self.queued_bytes > MAX_QUEUED_BYTES and not self.paused:
            self.paused = True
            self.pause()
        self.start_timer()

    def start_timer(self) -> None:
        """Schedule the delivery of the first entry of the queue, unless the link is frozen."""
        if self.timer is None and self.queue and not self.direction.frozen:
            self.timer = self.reactor.callLater(
                max(0, self.queue[0][0] - self.reactor.seconds()), self.deliver_due
            )

    def deliver_due(self) -> None:
        """Deliver the entries that are due, and resume reading when half of the queue is free."""
        self.timer = None
        now = self.reactor.seconds()
        while self.queue and self.queue[0][0] <= now and not self.direction.frozen and not self.stopped:
            data = self.queue.popleft()[1]
            if self.direction.hole or self.direction.cut:
                self.lost_bytes = True
                continue
            self.queued_bytes -= len(data or b"")
            if data is None:
                self.close()
            else:
                self.deliver(data)
        if self.paused and self.queued_bytes <= MAX_QUEUED_BYTES // 2:
            self.paused = False
            self.resume()
        self.start_timer()

    def stop(self) -> None:
        """Drop the queue; the stream delivers nothing more."""
        self.stopped = True
        self.queue.clear()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
