"""All logs of a run, in one order.

Owns the merging.  It must never drop a line: one without a time goes behind the line before it.
"""

from __future__ import annotations

import re
from pathlib import Path

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
