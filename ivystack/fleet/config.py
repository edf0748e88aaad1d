"""The fleet's configuration file: its sections, defaults and checks.

The checks open no socket and list all faults of a file, one per line.
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

VERSION = 1  # version of the file format
GROUP_SIZES = 3, 5, 7  # allowed numbers of members
DEFAULT_LINKS = 256  # links of a member; several times the need of a small fleet that hot restarts at once
# Links of a proxy outside the group, per member: one, a second one during a hot restart or while the members
# change, and spare ones.
LINKS_PER_MEMBER = 4
PROXIES_PER_SPARE_LINK = 8  # proxies per spare link of a member; hot restarts need second links for a while
MIN_HEARTBEATS_PER_ELECTION = 3
MIN_ELECTIONS_PER_LEASE = 2
MAX_FAULTS = 50  # maximum number of faults listed per file

Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]


class MemberSection(Struct, forbid_unknown_fields=True):
    """A member of the consensus group."""

    name: ProxyName
    address: str
    zone: str = ""


class GroupSection(Struct, forbid_unknown_fields=True):
    """The consensus group and its members."""

    members: list[MemberSection] = msgspec.field(name="member")


class TimesSection(Struct, forbid_unknown_fields=True):
    """Durations of consensus and leases, in milliseconds."""

    heartbeat: Milliseconds = msgspec.field(default=150, name="beat")  # interval of the leader's heartbeats
    # A member stands for election after a random time of one to two timeouts without a heartbeat.
    election_timeout: Milliseconds = msgspec.field(default=600, name="election")
    lease: Milliseconds = 3000  # duration of a duty's lease
    # Largest relative difference between the rates of two clocks.
    clock_drift: Annotated[float, Meta(ge=0, le=0.2)] = msgspec.field(default=0.02, name="drift")


class FleetFile(Struct, forbid_unknown_fields=True):
    """The whole configuration file of a fleet."""

    version: int
    key_file: str  # path relative to the directory of this file
    directory: str  # directory of the group's stored state; `{name}` is replaced by the proxy's name
    group: GroupSection
    links: Annotated[int, Meta(ge=16, le=10_000)] | None = None  # maximum links of a member to other proxies
    times: TimesSection = msgspec.field(default_factory=TimesSection)


@dataclass(frozen=True)
class FileCheck:
    """All faults of a file, one line each, and the parts of it that could be decoded."""

    faults: list[str]
    file: FleetFile | None = None
    keys: KeyRing | None = None


class FleetConfig:
    """The fleet's configuration from the view of one proxy."""

    def __init__(self, file: FleetFile, name: str, keys: KeyRing) -> None:
        self.file, self.name, self.keys = file, name, keys
        self.members = {
            member.name: parse_address(member.address, "address") for member in file.group.members
        }
        self.zones = {member.name: member.zone for member in file.group.members}
        self.directory = Path(file.directory.replace("{name}", name))
        self.listen_address = self.members.get(name)
        self.times = file.times
        is_member = self.listen_address is not None
        self.max_links = (file.links or DEFAULT_LINKS) if is_member else LINKS_PER_MEMBER * max(GROUP_SIZES)

    def reserve_links(self, descriptors: int, proxies: int = 1) -> int:
        """Reserve descriptors for links; return the number left for clients and servers.

        :param descriptors: number of descriptors that the process may open.
        :param proxies: number of proxies in the fleet.
        :raises ConfigurationError: the file reserves more than half of the descriptors for links.
        """
        if self.listen_address and self.file.links is None:
            wanted = max(DEFAULT_LINKS, proxies + max(GROUP_SIZES) + proxies // PROXIES_PER_SPARE_LINK)
            self.max_links = min(wanted, descriptors // 2)
            if self.max_links < wanted:
                message = (
                    "fleet: only {} links for {} proxies, half of {} descriptors; raise `limits.sockets`"
                )
                logger.warning(message, self.max_links, proxies, descriptors)
        if 2 * self.max_links > descriptors:
            raise ConfigurationError(
                f"`links`: {self.max_links} of {descriptors} descriptors; links may use at most half"
            )
        return descriptors - self.max_links


def load_config(path: str | Path, name: str) -> FleetConfig:
    """Read the configuration file for the proxy of the given name.

    :raises ConfigurationError: the file is faulty; the message has its first fault and the number of others.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"{path}: {getattr(error, 'strerror', None) or 'not a text file'}") from None
    check = check_file(text, Path(path).parent)
    if check.faults or check.file is None or check.keys is None:
        more = f" (and {len(check.faults) - 1} more, see check-config)" if len(check.faults) > 1 else ""
        raise ConfigurationError(f"{path}: {check.faults[0]}{more}")
    if not re.match(NAME_PATTERN, name):
        raise ConfigurationError(
            f"`name`: {name!r} is not allowed in a fleet; wanted letters, digits and ._:-"
        )
    return FleetConfig(check.file, name, check.keys)


def check_file(text: str, directory: Path) -> FileCheck:
    """Decode and check the text of a configuration file.

    :param directory: directory of the file, to which `key_file` is relative.
    """
    try:
        values: Any = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return FileCheck([f"not TOML: {error}"])
    faults, file = _decode(values)
    if file is not None:
        faults += _semantic_faults(file)
    keys = None
    path = values.get("key_file")
    if isinstance(path, str):
        try:
            keys = read_key_file(directory / path)
        except KeyFileError as error:
            faults.append(f"`key_file`: {error}")
    return FileCheck(faults, file, keys)


def _decode(values: dict[str, Any]) -> tuple[list[str], FleetFile | None]:
    """Decode the file's values; repair each faulty value to find the faults of the others."""
    faults: list[str] = []
    repaired = dict(values)
    while True:
        try:
            return faults, msgspec.convert(repaired, FleetFile)
        except msgspec.ValidationError as error:
            line = str(error).replace("$.", "").replace("at `$`", "at the top level")
            if line in faults or len(faults) > MAX_FAULTS:
                return faults, None
            faults.append(line)
            if not _repair(repaired, str(error)):
                return faults, None


def _repair(values: dict[str, Any], error: str) -> bool:
    """Replace or remove the value named by a validation error; return whether that was possible.

    :param error: the message of the validation error.
    """
    quoted = error.split("`")
    path = next((part[2:] for part in quoted if part.startswith("$.")), "")
    unknown, missing = "unknown field" in error, "missing required" in error
    if unknown or missing:
        section, key = _value_at(values, path), quoted[1]
    else:
        parent, _, key = path.rpartition(".")
        section = _value_at(values, parent)
        if isinstance(section, dict) and key not in section:
            return False
    if not isinstance(section, dict):
        return False
    if unknown or (not missing and parent == "times"):  # every key of `times` has a default
        section.pop(key, None)
    else:
        section[key] = _valid_value(key)
    return True


def _valid_value(key: str) -> Any:
    """Return a value of the correct type for a key of the file."""
    valid = {"version": VERSION, "group": {"member": []}, "member": [], "times": {}}
    return deepcopy(valid.get(key, "missing"))


def _value_at(values: Any, path: str) -> Any:
    """Return the value at a path such as `group.member[2]`, or None if there is none."""
    for part in path.replace("[", ".").replace("]", "").split(".") if path else []:
        try:
            values = values[int(part)] if part.isdigit() else values[part]
        except (KeyError, IndexError, TypeError):
            return None
    return values


def _semantic_faults(file: FleetFile) -> Iterator[str]:
    """Yield the faults of a file whose values all have the correct type and range."""
    if file.version != VERSION:
        yield f"`version`: {file.version}, this program reads {VERSION}"
    yield from _group_faults(file.group)
    yield from _times_faults(file.times)


def _group_faults(group: GroupSection) -> Iterator[str]:
    """Yield the faults of the group: its size, and names or addresses that are used twice."""
    names = [member.name for member in group.members]
    if len(names) not in GROUP_SIZES:
        yield f"`group.member`: {len(names)} members, wanted 3, 5 or 7"
    for index, member in enumerate(group.members):
        key = f"group.member[{index}]"
        if names.index(member.name) != index:
            yield f"`{key}.name`: {member.name} is used twice"
        try:
            host, port = parse_address(member.address, f"{key}.address")
        except ConfigurationError as error:
            yield str(error)
            continue
        if any(member.address == other.address for other in group.members[:index]):
            yield f"`{key}.address`: {host}:{port} is used twice"


def _times_faults(times: TimesSection) -> Iterator[str]:
    """Yield the faults of the durations relative to each other."""
    heartbeat, election, lease = times.heartbeat, times.election_timeout, times.lease
    if election < MIN_HEARTBEATS_PER_ELECTION * heartbeat:
        yield f"`times.election`: {election} ms, wanted at least three heartbeats of {heartbeat} ms"
    if lease < MIN_ELECTIONS_PER_LEASE * election:
        yield f"`times.lease`: {lease} ms, wanted at least two election timeouts of {election} ms"
