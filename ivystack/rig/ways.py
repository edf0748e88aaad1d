"""What happens to bytes and datagrams on their way from one process to another.

Owns the state of each direction of each link.  It must never hold more than its bound, reorder a connection's
bytes, or let bytes that were swallowed leave a hole in a connection that goes on.
"""

from __future__ import annotations

from collections import deque
from random import Random

HELD = 262_144  # bytes of a connection on their way; beyond it its sender is not read


class Way:
    """One direction of a link."""

    def __init__(self, frm: str, to: str, rng: Random):
        self.frm, self.to, self.rng = frm, to, rng
        self.cut = self.hole = self.frozen = False
        self.delay = self.jitter = 0.0  # seconds
        self.rate = 0  # bytes a second; 0: no bound
        self.loss = self.twice = 0.0  # parts of the datagrams
        self.reset_after: int | None = None  # bytes, then the connection is reset in the middle
        self.faults: dict[str, list] = {}  # by what they set: those of now, the first what it is without any

    def begin(self, name: str, value) -> None:
        """A fault sets that; where several do, the last one counts."""
        self.faults.setdefault(name, [getattr(self, name)]).append(value)
        setattr(self, name, value)

    def end(self, name: str, value) -> None:
        """That fault is over, the others go on.  Guards the healing: each used to put back what it had found,
        which another's beginning had set."""
        values = self.faults[name]
        del values[len(values) - 1 - values[::-1].index(value)]
        setattr(self, name, values[-1])

    def wait(self, size: int) -> float:
        """Seconds that so many bytes need."""
        spent = self.delay + (self.rng.random() * self.jitter if self.jitter else 0.0)
        return spent + (size / self.rate if self.rate else 0.0)

    def plain(self) -> bool:
        return not (self.cut or self.hole or self.frozen or self.delay or self.jitter or self.rate)

    def datagrams(self) -> list[float]:
        """Seconds after which each copy of one datagram arrives; none if it is lost."""
        if self.cut or self.hole or self.frozen or (self.loss and self.rng.random() < self.loss):
            return []
        copies = 2 if self.twice and self.rng.random() < self.twice else 1
        return [self.wait(0) for _ in range(copies)]


class Stream:
    """The bytes of one connection in one direction, on their way."""

    def __init__(self, way: Way, reactor, deliver, end, reset, pause, resume):
        """`deliver` takes bytes at the other side, `end` closes it, `reset` ends both sides at once, `pause`
        and `resume` stop and go on with reading at this one."""
        self.way, self.reactor = way, reactor
        self.deliver, self.end, self.reset, self.pause, self.resume = deliver, end, reset, pause, resume
        self.queue: deque[tuple[float, bytes | None]] = deque()  # None: the end
        self.size = 0
        self.last = 0.0  # when the last of the queue is due
        self.timer = None
        self.paused = self.dirty = self.over = False

    def put(self, data: bytes | None) -> None:
        """Bytes came; None: the sender has closed."""
        way = self.way
        if self.over:
            return
        if way.hole or way.cut:
            self.dirty = True
            return
        if way.reset_after is not None and data:
            part = data[: way.reset_after]
            way.reset_after -= len(part)
            if len(part) < len(data):
                way.reset_after = None
                if not self.queue:  # else it would pass what is on its way
                    self.deliver(part)
                return self.reset()
        if way.plain() and not self.queue:
            return self.end() if data is None else self.deliver(data)
        now = self.reactor.seconds()
        self.last = max(self.last, now + way.wait(len(data or b"")))
        self.queue.append((self.last, data))
        self.size += len(data or b"")
        if self.size > HELD and not self.paused:
            self.paused = True
            self.pause()
        self.arm()

    def arm(self) -> None:
        if self.timer is None and self.queue and not self.way.frozen:
            self.timer = self.reactor.callLater(max(0, self.queue[0][0] - self.reactor.seconds()), self.go)

    def go(self) -> None:
        self.timer = None
        now = self.reactor.seconds()
        while self.queue and self.queue[0][0] <= now and not self.way.frozen and not self.over:
            data = self.queue.popleft()[1]
            if self.way.hole or self.way.cut:
                self.dirty = True
                continue
            self.size -= len(data or b"")
            if data is None:
                self.end()
            else:
                self.deliver(data)
        if self.paused and self.size <= HELD // 2:
            self.paused = False
            self.resume()
        self.arm()

    def stop(self) -> None:
        self.over = True
        self.queue.clear()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
