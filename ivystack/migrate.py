"""Turns an operator's configuration for the old shape of a deployment into one for the new shape.

Owns which keys are carried over, and how.  It must never change its source or write over a file, guess a
location, or write what `settings.py` does not take.  Exit codes: 0 all carried over; 1 done, but something,
listed, was not; 2 nothing written, one line says why.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec

from .configuration.errors import ConfigurationError
from .configuration.process import ProcessConfiguration
from .configuration.schema import (
    ConfigurationFile,
    InstanceSettings,
    LimitSettings,
    LoadReportSettings,
    MachineLimits,
    ObjectiveSettings,
    OriginSettings,
    RequestClassSettings,
    RuleSettings,
    TenantSettings,
    convert,
)

# Where something is known by its key's place: the sheet that names all keys there.
SHEETS = {
    (): ConfigurationFile,
    ("limits",): MachineLimits,
    ("settings",): InstanceSettings,
    ("settings", "limits"): LimitSettings,
    ("settings", "rules"): RuleSettings,
    ("settings", "specifics"): OriginSettings,
    ("settings", "reporting"): LoadReportSettings,
    ("settings", "blend"): ObjectiveSettings,
    ("settings", "methods"): RequestClassSettings,
    ("settings", "parties"): TenantSettings,
}


def known(path: tuple[str, ...]) -> set[str] | None:
    sheet = SHEETS.get(path)
    return {field.encode_name for field in msgspec.structs.fields(sheet)} if sheet else None


def kept(value: Any, path: tuple[str, ...], lost: list[str], label: str = "") -> Any:
    """The value with those keys alone that the program reads; of each other one a line in `lost`."""
    if isinstance(value, list) and known(path):
        return [kept(one, path, lost, f"{label}[{i}]") for i, one in enumerate(value)]
    names = known(path)
    if names is None or not isinstance(value, dict):
        return value
    found = {}
    for key, one in value.items():
        place = f"{label}.{key}" if label else key
        if key in names:
            found[key] = kept(one, (*path, key), lost, place)
        else:
            lost.append(f"`{place}`: the program knows no such key")
    return found


def located(names: list, zones: Mapping[str, str], lost: list[str], place: str) -> Iterator[tuple[int, str]]:
    """Which of the locations there still are, and their new names; where none is mapped, all as they are."""
    for i, zone in enumerate(names):
        if not zones or zone in zones or zone in zones.values():
            yield i, zones.get(zone, zone)
        else:
            lost.append(f"`{place}`: [{i}]: the location {zone!r} is mapped to none")


def migrated(old: dict, zones: Mapping[str, str], columns: list[str]) -> tuple[dict, list[str]]:
    """The configuration for the new shape, and a line for each thing that it could not take along."""
    lost: list[str] = []
    new = kept(old, (), lost)
    settings = new["settings"] = dict(new.get("settings") or {})
    rules = settings.get("rules")
    if isinstance(rules, dict) and rules.get("ask_within") is not None:
        settings["rules"] = {key: value for key, value in rules.items() if key != "ask_within"}
        lost.append("`settings.rules.ask_within`: lists are pushed now")
    if settings.get("discovery") == "ask":
        lost.append("`settings.discovery`: lists are pushed now; nothing asks for one any more")
    settings["discovery"] = "push"
    # What makes the new shape; what such a file says already stays.
    settings["weight_source"] = "live"
    settings["limits"] = dict(settings.get("limits") or {}) | {"streams_per_conn": 1}
    reporting = dict(settings.get("reporting") or {})
    if reporting.get("how") in (None, "none"):
        reporting = {"how": "answers", "columns": columns}
    settings["reporting"] = reporting
    for key, names in (("zone", [settings.get("zone")]), ("zones", settings.get("zones") or [])):
        if names != [None] and key in settings:
            found = [name for _, name in located(names, zones, lost, f"settings.{key}")]
            settings[key] = found if key == "zones" else found[0] if found else None
    listing = new.get("known")
    if isinstance(listing, dict) and isinstance(listing.get("instances"), list):
        nodes = [node if isinstance(node, dict) else {} for node in listing["instances"]]
        found = located([node.get("zone") for node in nodes], zones, lost, "known.instances")
        kept_nodes = [nodes[i] | ({"zone": name} if zones else {}) for i, name in found]
        new["known"] = listing | {"instances": kept_nodes}
    return new, lost


def read(path: Path) -> dict:
    try:
        values = json.loads(path.read_bytes())
    except OSError as fault:
        raise ConfigurationError(f"`OLD`: {fault.strerror}: {path}") from None
    except ValueError as fault:
        raise ConfigurationError(f"`OLD`: not JSON: {fault}") from None
    if not isinstance(values, dict):
        raise ConfigurationError("`OLD`: wanted an object")
    return values


def write(path: Path, text: str) -> None:
    """Whole or not at all, and never over a file: a link to a finished file fails where there is one."""
    part = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        with open(part, "x") as out:
            out.write(text)
            out.flush()
            os.fsync(out.fileno())
        os.link(part, path)
    except OSError as fault:
        raise ConfigurationError(f"`NEW`: {fault.strerror}: {path}") from None
    finally:
        part.unlink(missing_ok=True)


def location(text: str) -> tuple[str, str]:
    old, sign, new = text.partition("=")
    if not (old and sign and new):
        raise argparse.ArgumentTypeError(f"wanted OLD=NEW, got {text!r}")
    return old, new


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m ivystack.migrate",
        description="Reads a configuration for the old shape (many reqs a connection, weights that are sizes"
        " or none, no load reports) and writes its counterpart for the new one (one req a connection, weights"
        " that move with load, load reports with answers). Exit codes: 0 all carried over; 1 done, but what"
        " is listed was not carried over; 2 a file is missing, no JSON or faulty, and nothing was written.",
    )
    parser.add_argument("old", metavar="OLD", type=Path, help="the configuration's file; never changed")
    parser.add_argument("new", metavar="NEW", type=Path, help="the file to write; must not exist yet")
    parser.add_argument("--dry-run", action="store_true", help="list and check all, write nothing")
    parser.add_argument(
        "--zone", metavar="OLD=NEW", type=location, action="append", default=[],
        help="a location's new name; nodes of locations that are neither named nor a new name are left out",
    )  # fmt: skip
    parser.add_argument(
        "--columns", metavar="NAMES", default="active,waiting",
        help="what the nodes report of their load, by the wire's names (active, waiting, cpu, avg_ms, rps)",
    )  # fmt: skip
    asked = parser.parse_args(arguments)
    try:
        old = read(asked.old)
        ProcessConfiguration(
            convert(old, ConfigurationFile)
        )  # a fault is the old file's, and told of its key
        new, lost = migrated(old, dict(asked.zone), [name for name in asked.columns.split(",") if name])
        ProcessConfiguration(convert(new, ConfigurationFile))
        if asked.new.exists():
            raise ConfigurationError(f"`NEW`: File exists: {asked.new}")
        if not asked.dry_run:
            write(asked.new, json.dumps(new, indent=1) + "\n")
    except ConfigurationError as fault:
        print(fault, file=sys.stderr)
        return 2
    for line in lost:
        print("not carried over:", line)
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())
