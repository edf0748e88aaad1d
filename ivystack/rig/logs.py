"""All logs of a run, in one order.

Owns the merging.  It must never drop a line: one without a time goes behind the line before it.
"""

from __future__ import annotations

import re
import time
from pathlib import Path

from .check import Act

TIME = re.compile(r"\d\d:\d\d:\d\d\.\d\d\d ")


def merged(folder: Path) -> list[str]:
    """Every line of every log there, each behind its process's name.  Runs do not pass midnight."""
    found = []
    for path in sorted([*folder.glob("*/log"), *folder.glob("rig.log")]):
        name = "rig" if path.name == "rig.log" else path.parent.name
        at = ""
        for number, line in enumerate(path.read_text(errors="replace").splitlines()):
            if TIME.match(line):
                at, line = line[:12], line[13:]
            found.append((at, name, number, line))
    return [f"{at:12} {name:>4} {line}" for at, name, _, line in sorted(found)]


ACT = re.compile(r"duty: value adopted duty=(\S+) token=(\d+) version=(\d+)")
HELD = re.compile(r"duty: lease (acquired|lost) duty=(\S+) token=(\d+)")
SEEN = 50_000  # microseconds: the rig looks at the wall clock so often
START = re.compile(r"(proxy started name|fleet: started name)=")


def logged(
    folder: Path, steps: list[tuple[int, int]], kills: dict[str, list[int]]
) -> tuple[list[Act], list[tuple[int, int, str, str, int]]]:
    """What the processes' logs say of duties: acts that were taken, and who held what from when to when.

    Times are the rig's; `steps` tells by how many microseconds the wall clock was ahead of it, each from that
    time of the wall clock on: one that is set in the middle of a run must move no event.  Who was killed
    (`kills`, by proxy) holds until then.
    """
    midnight = time.localtime()
    day = int(time.mktime((*midnight[:3], 0, 0, 0, 0, 0, -1))) * 1_000_000
    acts, held = [], []
    for path in sorted(folder.glob("*/log")):
        name, open_at, last = path.parent.name, {}, 0
        for line in path.read_text(errors="replace").splitlines():
            if not TIME.match(line):
                continue
            hours, minutes, seconds = line[:12].split(":")
            at = day + round((int(hours) * 3600 + int(minutes) * 60 + float(seconds)) * 1e6)
            at -= next(ahead for wall, ahead in reversed(steps) if at >= wall - SEEN or not wall)
            found, holding = ACT.search(line), HELD.search(line)
            if found:
                acts.append(Act(at, found[1], "", int(found[2]), name, True))
            elif holding:
                key = holding[2], int(holding[3])
                if holding[1] == "acquired":
                    open_at[key] = at
                elif key in open_at:
                    held.append((open_at.pop(key), at, key[0], name, key[1]))
            elif START.search(line):  # another process: what the one before held ended with it
                end = max([last, *(one for one in kills.get(name, []) if one <= at)])
                held += [(frm, end, duty, name, token) for (duty, token), frm in open_at.items()]
                open_at = {}
            last = at
        end = max([last, *kills.get(name, [])])
        held += [(frm, end, duty, name, token) for (duty, token), frm in open_at.items()]
    return acts, sorted(held)
