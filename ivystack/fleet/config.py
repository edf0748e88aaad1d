"""The fleet's configuration file: its sections, defaults and checks.

No socket is opened here, and all faults of a file are listed, a line each.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator
from copy import deepcopy
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec
from loguru import logger
from msgspec import Meta, Struct

from ..configuration.errors import ConfigurationError
from ..configuration.schema import parse_address
from ..mesh.exceptions import KeyFileError
from ..mesh.keys import KeyRing, read_key_file
from ..mesh.protocol import NAME_PATTERN, ProxyName

VERSION = 1  # of the file
GROUP_SIZES = 3, 5, 7
DEFAULT_LINKS = 256  # of a member: several times what a small fleet needs while all of it hot restarts
LINKS_PER_MEMBER = 4  # of a proxy outside the group: one, two in a hot restart or while members change, spare
PROXIES_PER_SPARE_LINK = 8  # one more link for so many proxies: some have two for a while in hot restarts
MIN_HEARTBEATS_PER_ELECTION = 3
MIN_ELECTIONS_PER_LEASE = 2
MAX_FAULTS = 50  # listed of one file

Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]


class MemberSection(Struct, forbid_unknown_fields=True):
    """A member of the consensus group."""

    name: ProxyName
    address: str
    zone: str = ""


class GroupSection(Struct, forbid_unknown_fields=True):
    """The consensus group."""

    members: list[MemberSection] = msgspec.field(name="member")


class TimesSection(Struct, forbid_unknown_fields=True):
    """Durations of consensus and leases."""

    heartbeat: Milliseconds = msgspec.field(default=150, name="beat")  # between the leader's heartbeats
    # Without a heartbeat for so long, and up to twice that at random, a member stands for election.
    election_timeout: Milliseconds = msgspec.field(default=600, name="election")
    lease: Milliseconds = 3000  # of a duty
    # The largest relative difference between the rates of two clocks.
    clock_drift: Annotated[float, Meta(ge=0, le=0.2)] = msgspec.field(default=0.02, name="drift")


class FleetFile(Struct, forbid_unknown_fields=True):
    """The whole file."""

    version: int
    key_file: str  # relative to the file's own directory
    directory: str  # of the group's stored state; `{name}` stands for the proxy's name
    group: GroupSection
    links: Annotated[int, Meta(ge=16, le=10_000)] | None = None  # to other proxies that a member may hold
    times: TimesSection = msgspec.field(default_factory=TimesSection)


@dataclass(frozen=True)
class FileCheck:
    """All faults of a file, a line each, and what could be read of it."""

    faults: list[str]
    file: FleetFile | None = None
    keys: KeyRing | None = None


class FleetConfig:
    """The configuration as one proxy's services need it."""

    def __init__(self, file: FleetFile, name: str, keys: KeyRing) -> None:
        self.file, self.name, self.keys = file, name, keys
        self.members = {one.name: parse_address(one.address, "address") for one in file.group.members}
        self.zones = {one.name: one.zone for one in file.group.members}
        self.directory = Path(file.directory.replace("{name}", name))
        self.listen_address = self.members.get(name)
        self.times = file.times
        is_member = self.listen_address is not None
        self.max_links = (file.links or DEFAULT_LINKS) if is_member else LINKS_PER_MEMBER * max(GROUP_SIZES)

    def reserve_links(self, descriptors: int, proxies: int = 1) -> int:
        """Set aside descriptors for links; return how many are left to clients and servers.

        :param descriptors: that the process may open.
        :param proxies: in the fleet.
        :raises ConfigurationError: the file wants more than half of them for links.
        """
        if self.listen_address and self.file.links is None:
            wanted = max(DEFAULT_LINKS, proxies + max(GROUP_SIZES) + proxies // PROXIES_PER_SPARE_LINK)
            self.max_links = min(wanted, descriptors // 2)
            if self.max_links < wanted:
                message = "fleet: links for {} of {} proxies, half of {} descriptors; raise `limits.sockets`"
                logger.warning(message, self.max_links, proxies, descriptors)
        if 2 * self.max_links > descriptors:
            raise ConfigurationError(
                f"`links`: {self.max_links} of {descriptors} descriptors, at most half may be for links"
            )
        return descriptors - self.max_links


def load_config(path: str | Path, name: str) -> FleetConfig:
    """Read the file for the proxy of that name.

    :raises ConfigurationError: with the first fault of the file, and how many more there are.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as fault:
        raise ConfigurationError(f"{path}: {getattr(fault, 'strerror', None) or 'no plain text'}") from None
    check = check_file(text, Path(path).parent)
    if check.faults or check.file is None or check.keys is None:
        more = f" (and {len(check.faults) - 1} more, see check-config)" if len(check.faults) > 1 else ""
        raise ConfigurationError(f"{path}: {check.faults[0]}{more}")
    if not re.match(NAME_PATTERN, name):
        raise ConfigurationError(
            f"`name`: {name!r} can't be told to other proxies; wanted letters, digits and ._:-"
        )
    return FleetConfig(check.file, name, check.keys)


def check_file(text: str, directory: Path) -> FileCheck:
    """Check the text of a file that stands in `directory`."""
    try:
        values: Any = tomllib.loads(text)
    except tomllib.TOMLDecodeError as fault:
        return FileCheck([f"not TOML: {fault}"])
    faults, file = _decode(values)
    if file is not None:
        faults += _semantic_faults(file)
    keys = None
    path = values.get("key_file")
    if isinstance(path, str):
        try:
            keys = read_key_file(directory / path)
        except KeyFileError as fault:
            faults.append(f"`key_file`: {fault}")
    return FileCheck(faults, file, keys)


def _decode(values: dict[str, Any]) -> tuple[list[str], FleetFile | None]:
    """Decode the file's values; where one is at fault, repair it and look at the rest."""
    faults: list[str] = []
    repaired = dict(values)
    while True:
        try:
            return faults, msgspec.convert(repaired, FleetFile)
        except msgspec.ValidationError as fault:
            line = str(fault).replace("$.", "").replace("at `$`", "at the top")
            if line in faults or len(faults) > MAX_FAULTS:
                return faults, None
            faults.append(line)
            if not _repair(repaired, str(fault)):
                return faults, None


def _repair(values: dict[str, Any], fault: str) -> bool:
    """Replace or remove the value that a validation error names; return whether that was possible."""
    quoted = fault.split("`")
    path = next((word[2:] for word in quoted if word.startswith("$.")), "")
    unknown, missing = "unknown field" in fault, "missing required" in fault
    if unknown or missing:
        section, key = _value_at(values, path), quoted[1]
    else:
        parent, _, key = path.rpartition(".")
        section = _value_at(values, parent)
        if isinstance(section, dict) and key not in section:
            return False
    if not isinstance(section, dict):
        return False
    if unknown or (not missing and parent == "times"):  # each of the times has a default
        section.pop(key, None)
    else:
        section[key] = _valid_value(key)
    return True


def _valid_value(key: str) -> Any:
    """Return a value of the right type for a key of the file."""
    valid = {"version": VERSION, "group": {"member": []}, "member": [], "times": {}}
    return deepcopy(valid.get(key, "missing"))


def _value_at(values: Any, path: str) -> Any:
    """Return the value at a path such as `group.member[2]`, None if there is none."""
    for part in path.replace("[", ".").replace("]", "").split(".") if path else []:
        try:
            values = values[int(part)] if part.isdigit() else values[part]
        except (KeyError, IndexError, TypeError):
            return None
    return values


def _semantic_faults(file: FleetFile) -> Iterator[str]:
    """Yield what is wrong with a file whose values are each of the right type and range."""
    if file.version != VERSION:
        yield f"`version`: {file.version}, this program reads {VERSION}"
    yield from _group_faults(file.group)
    yield from _times_faults(file.times)


def _group_faults(group: GroupSection) -> Iterator[str]:
    """Yield what is wrong with the members together."""
    names = [one.name for one in group.members]
    if len(names) not in GROUP_SIZES:
        yield f"`group.member`: {len(names)} of them, wanted 3, 5 or 7"
    for number, one in enumerate(group.members):
        key = f"group.member[{number}]"
        if names.index(one.name) != number:
            yield f"`{key}.name`: {one.name} is there twice"
        try:
            host, port = parse_address(one.address, f"{key}.address")
        except ConfigurationError as fault:
            yield str(fault)
            continue
        if any(one.address == other.address for other in group.members[:number]):
            yield f"`{key}.address`: {host}:{port} is there twice"


def _times_faults(times: TimesSection) -> Iterator[str]:
    """Yield what is wrong with the times together."""
    heartbeat, election, lease = times.heartbeat, times.election_timeout, times.lease
    if election < MIN_HEARTBEATS_PER_ELECTION * heartbeat:
        yield f"`times.election`: {election}, at least three beats of {heartbeat} are wanted"
    if lease < MIN_ELECTIONS_PER_LEASE * election:
        yield f"`times.lease`: {lease}, at least two elections of {election} are wanted"
