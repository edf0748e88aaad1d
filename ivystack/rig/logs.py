"""The logs of a run: merged in order of time, and searched for the duties' leases and actions.

No line is dropped: a line without a time follows the line before it.
"""

from __future__ import annotations

import re
import time
from pathlib import Path

from .check import DutyAction

TIME = re.compile(r"\d\d:\d\d:\d\d\.\d\d\d ")


def merge_logs(folder: Path) -> list[str]:
    """Return the lines of all logs in the folder in order of time, each with the name of its process.

    The run must not cross midnight, because the times have no date.
    """
    entries = []
    for path in sorted([*folder.glob("*/log"), *folder.glob("rig.log")]):
        name = "rig" if path.name == "rig.log" else path.parent.name
        at = ""
        for number, line in enumerate(path.read_text(errors="replace").splitlines()):
            if TIME.match(line):
                at, line = line[:12], line[13:]
            entries.append((at, name, number, line))
    return [f"{at:12} {name:>4} {line}" for at, name, _, line in sorted(entries)]


ACTION = re.compile(r"duty: value adopted duty=(\S+) token=(\d+) version=(\d+)")
LEASE = re.compile(r"duty: lease (acquired|lost) duty=(\S+) token=(\d+)")
CLOCK_CHECK_US = 50_000  # interval in which the rig checks the wall clock for steps
START = re.compile(r"(proxy started name|fleet: started name)=")


def parse_duty_logs(
    folder: Path, clock_offsets: list[tuple[int, int]], kills: dict[str, list[int]]
) -> tuple[list[DutyAction], list[tuple[int, int, str, str, int]]]:
    """Return the accepted duty actions and the leases (start, end, duty, proxy, token) in the logs.

    Times are microseconds of the rig's clock.  `clock_offsets` lists (wall time, offset): how far the wall
    clock was ahead of the rig's clock from that wall time on, so that setting the wall clock during a run
    moves no event.  `kills` lists the times at which each proxy was killed; its leases end then.
    """
    midnight = time.localtime()
    day = int(time.mktime((*midnight[:3], 0, 0, 0, 0, 0, -1))) * 1_000_000
    actions, leases = [], []
    for path in sorted(folder.glob("*/log")):
        name, acquired_at, last = path.parent.name, {}, 0
        for line in path.read_text(errors="replace").splitlines():
            if not TIME.match(line):
                continue
            hours, minutes, seconds = line[:12].split(":")
            at = day + round((int(hours) * 3600 + int(minutes) * 60 + float(seconds)) * 1e6)
            at -= next(
                ahead for wall, ahead in reversed(clock_offsets) if at >= wall - CLOCK_CHECK_US or not wall
            )
            action, lease = ACTION.search(line), LEASE.search(line)
            if action:
                actions.append(DutyAction(at, action[1], "", int(action[2]), name, True))
            elif lease:
                key = lease[2], int(lease[3])
                if lease[1] == "acquired":
                    acquired_at[key] = at
                elif key in acquired_at:
                    leases.append((acquired_at.pop(key), at, key[0], name, key[1]))
            elif START.search(line):  # a new process: the leases of the one before ended with it
                end = max([last, *(killed_at for killed_at in kills.get(name, []) if killed_at <= at)])
                leases += [(start, end, duty, name, token) for (duty, token), start in acquired_at.items()]
                acquired_at = {}
            last = at
        end = max([last, *kills.get(name, [])])
        leases += [(start, end, duty, name, token) for (duty, token), start in acquired_at.items()]
    return actions, sorted(leases)
