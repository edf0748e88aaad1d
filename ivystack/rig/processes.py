"""Real processes of the program: started, killed, stopped, slowed, started again with another directory.

Owns the processes that it has started, by their ids, and their folders.  It must never signal any other.
"""

from __future__ import annotations

import errno
import json
import os
import resource
import shutil
import signal
import struct
import subprocess
import sys
from pathlib import Path

import ivystack

from .shim.sitecustomize import CALL_FAULT, SYSTEM_CALLS

PROGRAM = Path(ivystack.__file__).parent.parent  # the folder that holds the package
SHIM = Path(__file__).parent / "shim"  # loaded by each process: its wall clock, system calls that fail
PERIOD = 0.1  # seconds: of a slow process's stops
FULL = 4096  # bytes that a file may have where the directory is full


class Process:
    """One proxy.  `events` holds what happened to it: (microseconds, word)."""

    def __init__(self, name: str, folder: Path, reactor, now, arguments=(), environ=None):
        self.name, self.folder, self.reactor, self.now = name, folder, reactor, now
        self.arguments, self.environ = [*arguments], environ or {}
        self.state = folder / "state"
        if (folder / "config.json").exists():  # an earlier run's, kept there: what it held is not this one's
            shutil.rmtree(folder)
        for one in (folder, self.state, folder / "tmp"):
            one.mkdir(parents=True, exist_ok=True)
        self.clock = folder / "clock"
        self.clock.write_bytes(bytes(8))
        self.calls = folder / "calls"
        self.calls.write_bytes(bytes(CALL_FAULT.size * len(SYSTEM_CALLS)))
        self.sockets: int | None = None  # file descriptors that it may hold; None: as many as we may
        self.log = folder / "log"
        self.program = PROGRAM
        self.running: subprocess.Popen | None = None
        self.wanted = False  # it is to run: an end is a crash
        self.events: list[tuple[int, str]] = []
        self.crashes: list[int] = []
        self.stopped = False
        self.duty = 0.0
        self.most_rss = 0  # bytes, as last looked at
        self.cpu = 0.0  # seconds, of processes that have ended too

    def note(self, word: str) -> None:
        self.events.append((self.now(), word))

    def start(self, config: dict, directory: str = "kept") -> None:
        self.directory(directory)
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        environ = os.environ | {
            "LB_CONFIG": str(path), "LB_NAME": self.name, "TMPDIR": str(self.folder / "tmp"),
            "IVYSTACK_RIG_CLOCK": str(self.clock), "IVYSTACK_RIG_CALLS": str(self.calls),
            "PYTHONPATH": f"{SHIM}{os.pathsep}{self.program}",
        } | self.environ  # fmt: skip
        for key in ("LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN_ADDR", "LB_FD"):
            environ.pop(key, None)
        with open(self.log, "ab") as log:
            self.running = subprocess.Popen(
                [sys.executable, "-B", "-m", "ivystack", *self.arguments],
                env=environ, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=self.folder,
            )  # fmt: skip
        if directory == "full":
            resource.prlimit(self.running.pid, resource.RLIMIT_FSIZE, (FULL, FULL))
        if self.sockets is not None:
            resource.prlimit(self.running.pid, resource.RLIMIT_NOFILE, (self.sockets, self.sockets))
        self.wanted, self.stopped, self.duty = True, False, 0.0
        self.note("start" if directory == "kept" else f"start directory={directory}")

    def directory(self, how: str) -> None:
        old = self.folder / "state.old"
        if how in ("gone", "old", "unwritable"):
            if self.state.is_dir():
                shutil.rmtree(self.state)
            else:
                self.state.unlink(missing_ok=True)
        if how == "old" and old.is_dir():
            shutil.copytree(old, self.state)
        elif how == "unwritable":  # nobody can write into what is no directory, whatever his rights
            self.state.write_bytes(b"")
        elif not self.state.is_dir():
            self.state.unlink(missing_ok=True)
            self.state.mkdir()

    def copy(self) -> None:
        """Keeps a copy of the directory as it is, for a later start with an old one."""
        old = self.folder / "state.old"
        shutil.rmtree(old, ignore_errors=True)
        if self.state.is_dir():
            shutil.copytree(self.state, old)

    def step(self, hours: float) -> None:
        """The process's wall clock, and only that, is so many hours off from now on."""
        with open(self.clock, "r+b") as file:
            file.write(struct.pack("<q", int(hours * 3_600_000_000_000)))
        self.note(f"clock {hours:+g} h")

    def fail_call(self, call: str, error: str, part: float) -> None:
        """That part of such calls fails with that error from now on; none does where `part` is 0."""
        number = getattr(errno, error) if part else 0
        with open(self.calls, "r+b") as file:
            file.seek(CALL_FAULT.size * SYSTEM_CALLS.index(call))
            file.write(CALL_FAULT.pack(number, round(part * 1_000_000)))
        self.note(f"{call} {error} {part:g}")

    def signal(self, number: int) -> bool:
        if self.running is None or self.running.poll() is not None:
            return False
        self.running.send_signal(number)
        return True

    def kill(self) -> None:
        self.look()
        self.wanted = False
        if self.signal(signal.SIGKILL):
            self.running.wait()
        self.note("kill")

    def end(self) -> None:
        """A planned end."""
        self.wanted = False
        self.signal(signal.SIGTERM)
        self.note("term")

    def stop(self) -> None:
        if self.signal(signal.SIGSTOP):
            self.stopped = True
            self.note("stop")

    def go_on(self) -> None:
        self.duty = 0.0
        if self.signal(signal.SIGCONT) and self.stopped:
            self.stopped = False
            self.note("continue")

    def slow(self, duty: float) -> None:
        """It runs for that part of the time from now on."""
        self.duty = duty
        self.note(f"slow {duty:g}")
        self.turn(False)

    def turn(self, runs: bool) -> None:
        if not self.duty:
            return
        self.signal(signal.SIGCONT if runs else signal.SIGSTOP)
        self.reactor.callLater(PERIOD * (self.duty if runs else 1 - self.duty), self.turn, not runs)

    def up(self) -> bool:
        return self.running is not None and self.running.poll() is None

    def look(self) -> None:
        """Sees to it that an end is noticed; keeps what memory it holds and CPU it used."""
        if self.running is None:
            return
        code = self.running.poll()
        if code is not None:
            if self.wanted:
                self.crashes.append(code)
                self.note(f"ended by itself code={code}")
            else:
                self.note(f"ended code={code}")
            self.running = None
            return
        try:
            with open(f"/proc/{self.running.pid}/statm") as file:
                rss = int(file.read().split()[1]) * resource.getpagesize()
            with open(f"/proc/{self.running.pid}/stat") as file:
                parts = file.read().rpartition(")")[2].split()
            self.most_rss = max(self.most_rss, rss)
            self.cpu = (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")
        except (OSError, IndexError):  # it ends just now
            pass
