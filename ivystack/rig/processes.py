"""Real processes of the program, which can be killed, stopped, slowed, and restarted with another directory.

This module signals only processes that it has started, by their ids.
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
# Each process loads this folder's module, which sets its wall clock and makes system calls fail.
SHIM = Path(__file__).parent / "shim"
THROTTLE_PERIOD_S = 0.1  # a throttled process runs and stops once in this time
FULL_DIRECTORY_BYTES = 4096  # maximum size of a file where a full directory is simulated


class Process:
    """One process of a proxy, with its folder.  `events` lists (time in microseconds, event)."""

    def __init__(self, name: str, folder: Path, reactor, now, arguments=(), environment=None):
        self.name, self.folder, self.reactor, self.now = name, folder, reactor, now
        self.arguments, self.environment = [*arguments], environment or {}
        self.state = folder / "state"
        if (folder / "config.json").exists():  # from an earlier run, whose state must not be used
            shutil.rmtree(folder)
        for path in (folder, self.state, folder / "tmp"):
            path.mkdir(parents=True, exist_ok=True)
        self.clock_file = folder / "clock"
        self.clock_file.write_bytes(bytes(8))
        self.calls_file = folder / "calls"
        self.calls_file.write_bytes(bytes(CALL_FAULT.size * len(SYSTEM_CALLS)))
        self.max_open_files: int | None = None  # None: the limit of the rig itself
        self.log_file = folder / "log"
        self.program = PROGRAM
        self.child: subprocess.Popen | None = None
        self.should_run = False  # while it is set, an end of the process is a crash
        self.events: list[tuple[int, str]] = []
        self.crashes: list[int] = []  # exit codes
        self.stopped = False
        self.run_fraction = 0.0  # fraction of time in which a throttled process runs; 0: not throttled
        self.max_rss = 0  # bytes, the maximum over all polls
        self.cpu_seconds = 0.0  # as of the last poll; kept after the process has ended

    def record_event(self, event: str) -> None:
        self.events.append((self.now(), event))

    def start(self, config: dict, directory: str = "kept") -> None:
        """Start the process; `directory` is one of the values of Fault.directory."""
        self.prepare_directory(directory)
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        environment = os.environ | {
            "LB_CONFIG": str(path), "LB_NAME": self.name, "TMPDIR": str(self.folder / "tmp"),
            "IVYSTACK_RIG_CLOCK": str(self.clock_file), "IVYSTACK_RIG_CALLS": str(self.calls_file),
            "PYTHONPATH": f"{SHIM}{os.pathsep}{self.program}",
        } | self.environment  # fmt: skip
        for key in ("LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN_ADDR", "LB_FD"):
            environment.pop(key, None)
        with open(self.log_file, "ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-B", "-m", "ivystack", *self.arguments],
                env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=self.folder,
            )  # fmt: skip
        if directory == "full":
            resource.prlimit(
                self.child.pid, resource.RLIMIT_FSIZE, (FULL_DIRECTORY_BYTES, FULL_DIRECTORY_BYTES)
            )
        if self.max_open_files is not None:
            resource.prlimit(
                self.child.pid, resource.RLIMIT_NOFILE, (self.max_open_files, self.max_open_files)
            )
        self.should_run, self.stopped, self.run_fraction = True, False, 0.0
        self.record_event("start" if directory == "kept" else f"start directory={directory}")

    def prepare_directory(self, how: str) -> None:
        """Keep, remove, replace or block the process's state directory (see Fault.directory)."""
        old = self.folder / "state.old"
        if how in ("gone", "old", "unwritable"):
            if self.state.is_dir():
                shutil.rmtree(self.state)
            else:
                self.state.unlink(missing_ok=True)
        if how == "old" and old.is_dir():
            shutil.copytree(old, self.state)
        elif how == "unwritable":  # a file in its place: even root cannot write into it
            self.state.write_bytes(b"")
        elif not self.state.is_dir():
            self.state.unlink(missing_ok=True)
            self.state.mkdir()

    def save_directory_copy(self) -> None:
        """Copy the state directory, for a later start with an old one."""
        old = self.folder / "state.old"
        shutil.rmtree(old, ignore_errors=True)
        if self.state.is_dir():
            shutil.copytree(self.state, old)

    def set_clock_offset(self, hours: float) -> None:
        """Move the wall clock of this process by that many hours; its monotonic clock is unaffected."""
        with open(self.clock_file, "r+b") as file:
            file.write(struct.pack("<q", int(hours * 3_600_000_000_000)))
        self.record_event(f"clock {hours:+g} h")

    def fail_call(self, call: str, error: str, fraction: float) -> None:
        """Make this fraction of the named system calls fail with the named error; 0 ends the failures."""
        number = getattr(errno, error) if fraction else 0
        with open(self.calls_file, "r+b") as file:
            file.seek(CALL_FAULT.size * SYSTEM_CALLS.index(call))
            file.write(CALL_FAULT.pack(number, round(fraction * 1_000_000)))
        self.record_event(f"{call} {error} {fraction:g}")

    def signal(self, number: int) -> bool:
        """Send the signal; return False if the process has ended."""
        if self.child is None or self.child.poll() is not None:
            return False
        self.child.send_signal(number)
        return True

    def kill(self) -> None:
        self.poll()
        self.should_run = False
        if self.signal(signal.SIGKILL):
            self.child.wait()
        self.record_event("kill")

    def terminate(self) -> None:
        self.should_run = False
        self.signal(signal.SIGTERM)
        self.record_event("term")

    def suspend(self) -> None:
        if self.signal(signal.SIGSTOP):
            self.stopped = True
            self.record_event("stop")

    def resume(self) -> None:
        self.run_fraction = 0.0
        if self.signal(signal.SIGCONT) and self.stopped:
            self.stopped = False
            self.record_event("continue")

    def throttle(self, fraction: float) -> None:
        """Let the process run for this fraction of the time, by stopping and resuming it."""
        self.run_fraction = fraction
        self.record_event(f"slow {fraction:g}")
        self.set_throttled_phase(False)

    def set_throttled_phase(self, runs: bool) -> None:
        """Resume or stop the throttled process, and schedule the opposite phase."""
        if not self.run_fraction:
            return
        self.signal(signal.SIGCONT if runs else signal.SIGSTOP)
        self.reactor.callLater(
            THROTTLE_PERIOD_S * (self.run_fraction if runs else 1 - self.run_fraction),
            self.set_throttled_phase,
            not runs,
        )

    def is_running(self) -> bool:
        return self.child is not None and self.child.poll() is None

    def poll(self) -> None:
        """Record an end of the process, or else its memory and CPU time."""
        if self.child is None:
            return
        code = self.child.poll()
        if code is not None:
            if self.should_run:
                self.crashes.append(code)
                self.record_event(f"ended by itself code={code}")
            else:
                self.record_event(f"ended code={code}")
            self.child = None
            return
        try:
            with open(f"/proc/{self.child.pid}/statm") as file:
                rss = int(file.read().split()[1]) * resource.getpagesize()
            with open(f"/proc/{self.child.pid}/stat") as file:
                fields = file.read().rpartition(")")[2].split()
            self.max_rss = max(self.max_rss, rss)
            self.cpu_seconds = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        except (OSError, IndexError):  # the process is ending
            pass
