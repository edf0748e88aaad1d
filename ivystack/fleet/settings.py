"""The operators' file of the fleet.

Owns its form, its checks and its defaults.  It must never open a socket, or stop at the first fault: all are
listed, one line each.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Annotated, Any

import msgspec
from loguru import logger
from msgspec import Meta, Struct

from ..mesh.exceptions import KeyFileError
from ..mesh.keys import KeyRing, read_key_file
from ..mesh.protocol import NAME_PATTERN, ProxyName
from ..settings import FaultError, address

VERSION = 1
SIZES = 3, 5, 7
LINKS = 256  # that a member of a small fleet may hold: some times what is there in an upgrade of all

Ms = Annotated[int, Meta(ge=1, le=3_600_000)]


class MemberSheet(Struct, forbid_unknown_fields=True):
    name: ProxyName
    address: str
    zone: str = ""


class GroupSheet(Struct, forbid_unknown_fields=True):
    member: list[MemberSheet]


class TimesSheet(Struct, forbid_unknown_fields=True):
    """Milliseconds."""

    beat: Ms = 150  # the leader says that it is there
    election: Ms = 600  # without that a member asks to be elected: up to twice as long, by chance
    lease: Ms = 3000  # of a duty
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.02  # by which two clocks may go apart


class Sheet(Struct, forbid_unknown_fields=True):
    version: int
    key_file: str
    directory: str
    group: GroupSheet
    links: Annotated[int, Meta(ge=16, le=10_000)] | None = None  # to other proxies that a member may hold
    times: TimesSheet = msgspec.field(default_factory=TimesSheet)


class Fleet:
    """The file as the parts need it."""

    def __init__(self, sheet: Sheet, name: str, keys: KeyRing):
        self.sheet, self.name, self.keys = sheet, name, keys
        self.members = {one.name: address(one.address, "address") for one in sheet.group.member}
        self.zones = {one.name: one.zone for one in sheet.group.member}
        self.directory = Path(sheet.directory.replace("{name}", name))
        self.listen = self.members.get(name)
        self.times = sheet.times
        # Who is no member has a link to each, and twice that in an upgrade or while members change.
        self.links = (sheet.links or LINKS) if self.listen else 4 * max(SIZES)

    def spare(self, sockets: int, proxies: int = 1) -> int:
        """Of so many descriptors those left to clients and nodes, in a fleet of so many proxies."""
        if self.listen and self.sheet.links is None:
            wanted = max(LINKS, proxies + max(SIZES) + proxies // 8)  # some have two for a while, in upgrades
            self.links = min(wanted, sockets // 2)
            if self.links < wanted:
                words = "fleet: links for {} of {} proxies, half of {} descriptors; raise `limits.sockets`"
                logger.warning(words, self.links, proxies, sockets)
        if 2 * self.links > sockets:
            raise FaultError(f"`links`: {self.links} of {sockets} descriptors, at most half may be for links")
        return sockets - self.links


def faults(text: str, base: Path) -> tuple[list[str], Sheet | None, KeyRing | None]:
    """All that is wrong with the file, a line each; and what could be read of it."""
    try:
        values: Any = tomllib.loads(text)
    except tomllib.TOMLDecodeError as fault:
        return [f"not TOML: {fault}"], None, None
    found, sheet, keys = [], None, None
    kept = dict(values)
    while sheet is None:  # one fault after the other: what is at fault is taken out and the rest looked at
        try:
            sheet = msgspec.convert(kept, Sheet)
        except msgspec.ValidationError as fault:
            line = str(fault).replace("$.", "").replace("at `$`", "at the top")
            if line in found or len(found) > 50:
                break
            found.append(line)
            if not mended(kept, str(fault)):
                break
    if sheet is not None:
        found += wrong(sheet)
    path = values.get("key_file")
    if isinstance(path, str):
        try:
            keys = read_key_file(base / path)
        except KeyFileError as fault:
            found.append(f"`key_file`: {fault}")
    return found, sheet, keys


def mended(values: dict, fault: str) -> bool:
    """Takes out the key that the fault names, or puts one that lacks, so that other faults are seen."""
    words = fault.split("`")
    path = next((word[2:] for word in words if word.startswith("$.")), "")
    if "unknown field" in fault or "missing required" in fault:
        key = words[1]
        place = reach(values, path)
        if isinstance(place, dict):
            if "unknown field" in fault:
                place.pop(key, None)
            else:
                place[key] = {"group": {"member": []}, "member": [], "version": VERSION}.get(key, "missing")
            return True
        return False
    parent, _, key = path.rpartition(".")
    place = reach(values, parent)
    if isinstance(place, dict) and key in place:
        sound = {"version": VERSION, "group": {"member": []}, "member": [], "times": {}}
        if parent == "times":
            del place[key]
        else:
            place[key] = sound.get(key, "missing")
        return True
    return False


def reach(values: Any, path: str) -> Any:
    """What stands at a path such as group.member[2]."""
    for part in path.replace("[", ".").replace("]", "").split(".") if path else []:
        try:
            values = values[int(part)] if part.isdigit() else values[part]
        except (KeyError, IndexError, TypeError):
            return None
    return values


def wrong(sheet: Sheet) -> list[str]:
    """What each value by itself does not show."""
    found = []
    if sheet.version != VERSION:
        found.append(f"`version`: {sheet.version}, this program reads {VERSION}")
    names = [one.name for one in sheet.group.member]
    if len(names) not in SIZES:
        found.append(f"`group.member`: {len(names)} of them, wanted 3, 5 or 7")
    for number, one in enumerate(sheet.group.member):
        key = f"group.member[{number}]"
        if names.index(one.name) != number:
            found.append(f"`{key}.name`: {one.name} is there twice")
        try:
            at = address(one.address, f"{key}.address")
        except FaultError as fault:
            found.append(str(fault))
            continue
        if any(one.address == other.address for other in sheet.group.member[:number]):
            found.append(f"`{key}.address`: {at[0]}:{at[1]} is there twice")
    times = sheet.times
    if times.election < 3 * times.beat:
        found.append(f"`times.election`: {times.election}, at least three beats of {times.beat} are wanted")
    if times.lease < 2 * times.election:
        found.append(f"`times.lease`: {times.lease}, at least two elections of {times.election} are wanted")
    return found


def load(path: str | Path, name: str) -> Fleet:
    """The file for the proxy of that name, or a FaultError: its first fault, how many more there are."""
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as fault:
        raise FaultError(f"{path}: {getattr(fault, 'strerror', None) or 'no plain text'}") from None
    found, sheet, keys = faults(text, Path(path).parent)
    if found or sheet is None or keys is None:
        more = f" (and {len(found) - 1} more, see check-config)" if len(found) > 1 else ""
        raise FaultError(f"{path}: {found[0]}{more}")
    if not re.match(NAME_PATTERN, name):
        raise FaultError(f"`name`: {name!r} can't be told to other proxies; wanted letters, digits and ._:-")
    return Fleet(sheet, name, keys)
