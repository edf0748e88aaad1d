"""The command that migrates an operator's configuration from the old deployment shape to the new one.

The old shape has many requests a connection, static weights or none, and no load reports; the new one has one
request a connection, weights that follow the load, and load reports with answers.  The source is never
changed, no file is overwritten, and nothing is written that the proxy would reject.  Exit codes: 0 everything
was carried over; 1 done, but the keys listed were not carried over; 2 nothing was written, one line says why.
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

# The schema of each object of the file, by the path of its keys.
SCHEMAS: dict[tuple[str, ...], type[msgspec.Struct]] = {
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

EXIT_COMPLETE = 0
EXIT_INCOMPLETE = 1
EXIT_FAULT = 2

DESCRIPTION = (
    "Reads a configuration for the old shape (many requests a connection, static weights or none, no load"
    " reports) and writes its counterpart for the new one (one request a connection, weights that follow the"
    " load, load reports with answers). Exit codes: 0 all carried over; 1 done, but what is listed was not"
    " carried over; 2 a file is missing, no JSON or faulty, and nothing was written."
)


def known_keys(path: tuple[str, ...]) -> set[str] | None:
    """Return the keys that the program reads in the object at that path; None: any key is data."""
    schema = SCHEMAS.get(path)
    return {field.encode_name for field in msgspec.structs.fields(schema)} if schema else None


def keep_known_keys(value: Any, path: tuple[str, ...], dropped: list[str], label: str = "") -> Any:
    """Return the value with only the keys that the program reads.

    :param dropped: gets a line for each other key.
    :param label: the value's place in the file, as those lines call it.
    """
    names = known_keys(path)
    if isinstance(value, list) and names:
        return [
            keep_known_keys(entry, path, dropped, f"{label}[{index}]") for index, entry in enumerate(value)
        ]
    if names is None or not isinstance(value, dict):
        return value
    kept = {}
    for key, entry in value.items():
        entry_label = f"{label}.{key}" if label else key
        if key in names:
            kept[key] = keep_known_keys(entry, (*path, key), dropped, entry_label)
        else:
            dropped.append(f"`{entry_label}`: the program knows no such key")
    return kept


def rename_zones(
    names: list[Any], zones: Mapping[str, str], dropped: list[str], label: str
) -> Iterator[tuple[int, Any]]:
    """Yield the index and the new name of each zone that is mapped or is a new name already.

    Without a mapping all zones stay as they are.
    """
    for index, zone in enumerate(names):
        if not zones or zone in zones or zone in zones.values():
            yield index, zones.get(zone, zone)
        else:
            dropped.append(f"`{label}`: [{index}]: the location {zone!r} is mapped to none")


def migrate(
    old: dict[str, Any], zones: Mapping[str, str], columns: list[str]
) -> tuple[dict[str, Any], list[str]]:
    """Return the configuration for the new shape, and a line for each thing that was not carried over.

    :param zones: new names of zones, by their old ones.
    :param columns: the figures that servers report of their load.
    """
    dropped: list[str] = []
    new = keep_known_keys(old, (), dropped)
    settings = new["settings"] = dict(new.get("settings") or {})
    migrate_discovery(settings, dropped)
    migrate_shape(settings, columns)
    migrate_settings_zones(settings, zones, dropped)
    migrate_known_endpoints(new, zones, dropped)
    return new, dropped


def migrate_discovery(settings: dict[str, Any], dropped: list[str]) -> None:
    """Have endpoint lists pushed."""
    rules = settings.get("rules")
    if isinstance(rules, dict) and rules.get("ask_within") is not None:
        settings["rules"] = {key: value for key, value in rules.items() if key != "ask_within"}
        dropped.append("`settings.rules.ask_within`: lists are pushed now")
    if settings.get("discovery") == "ask":
        dropped.append("`settings.discovery`: lists are pushed now; nothing asks for one any more")
    settings["discovery"] = "push"


def migrate_shape(settings: dict[str, Any], columns: list[str]) -> None:
    """Set what makes the new shape; load reports that the file already sets up stay as they are."""
    settings["weight_source"] = "live"
    settings["limits"] = dict(settings.get("limits") or {}) | {"streams_per_conn": 1}
    reporting = dict(settings.get("reporting") or {})
    if reporting.get("how") in (None, "none"):
        reporting = {"how": "answers", "columns": columns}
    settings["reporting"] = reporting


def migrate_settings_zones(settings: dict[str, Any], zones: Mapping[str, str], dropped: list[str]) -> None:
    """Rename the instance's own zone and the list of all zones."""
    if settings.get("zone") is not None:
        renamed = rename_zones([settings["zone"]], zones, dropped, "settings.zone")
        settings["zone"] = next((name for _, name in renamed), None)
    if "zones" in settings:
        renamed = rename_zones(settings["zones"] or [], zones, dropped, "settings.zones")
        settings["zones"] = [name for _, name in renamed]


def migrate_known_endpoints(new: dict[str, Any], zones: Mapping[str, str], dropped: list[str]) -> None:
    """Rename the zones of the endpoints in the file, and leave out those of zones that are not mapped."""
    known = new.get("known")
    if not isinstance(known, dict) or not isinstance(known.get("instances"), list):
        return
    endpoints = [entry if isinstance(entry, dict) else {} for entry in known["instances"]]
    renamed = rename_zones([entry.get("zone") for entry in endpoints], zones, dropped, "known.instances")
    kept = [endpoints[index] | ({"zone": name} if zones else {}) for index, name in renamed]
    new["known"] = known | {"instances": kept}


def read(path: Path) -> dict[str, Any]:
    """Return the object that the old file holds.

    :raises ConfigurationError: it can't be read or holds no JSON object.
    """
    try:
        values = json.loads(path.read_bytes())
    except OSError as error:
        raise ConfigurationError(f"`OLD`: {error.strerror}: {path}") from None
    except ValueError as error:
        raise ConfigurationError(f"`OLD`: not JSON: {error}") from None
    if not isinstance(values, dict):
        raise ConfigurationError("`OLD`: wanted an object")
    return values


def write(path: Path, text: str) -> None:
    """Write a new file completely or not at all.

    :raises ConfigurationError: it can't be written, or there is such a file.
    """
    part = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        with open(part, "x") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.link(part, path)  # unlike a rename, this fails where there is a file
    except OSError as error:
        raise ConfigurationError(f"`NEW`: {error.strerror}: {path}") from None
    finally:
        part.unlink(missing_ok=True)


def zone_mapping(text: str) -> tuple[str, str]:
    """Return the old and the new name of a `--zone` option."""
    old, sign, new = text.partition("=")
    if not (old and sign and new):
        raise argparse.ArgumentTypeError(f"wanted OLD=NEW, got {text!r}")
    return old, new


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command's arguments."""
    parser = argparse.ArgumentParser(prog="python -m ivystack.migrate", description=DESCRIPTION)
    parser.add_argument("old", metavar="OLD", type=Path, help="the configuration's file; never changed")
    parser.add_argument("new", metavar="NEW", type=Path, help="the file to write; must not exist yet")
    parser.add_argument("--dry-run", action="store_true", help="list and check all, write nothing")
    parser.add_argument(
        "--zone",
        metavar="OLD=NEW",
        type=zone_mapping,
        action="append",
        default=[],
        help="a zone's new name; servers of zones that are neither named nor a new name are left out",
    )
    parser.add_argument(
        "--columns",
        metavar="NAMES",
        default="active,waiting",
        help="what the servers report of their load, by the wire's names (active, waiting, cpu, avg_ms, rps)",
    )
    return parser


def check(values: dict[str, Any]) -> None:
    """Check a whole configuration.

    :raises ConfigurationError: names the key at fault.
    """
    ProcessConfiguration(convert(values, ConfigurationFile))


def main(arguments: list[str] | None = None) -> int:
    """Run the command; return its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        old = read(options.old)
        check(old)  # first, so that a fault is reported by its key in the old file
        columns = [name for name in options.columns.split(",") if name]
        new, dropped = migrate(old, dict(options.zone), columns)
        check(new)
        if options.new.exists():
            raise ConfigurationError(f"`NEW`: File exists: {options.new}")
        if not options.dry_run:
            write(options.new, json.dumps(new, indent=1) + "\n")
    except ConfigurationError as error:
        print(error, file=sys.stderr)
        return EXIT_FAULT
    for line in dropped:
        print("not carried over:", line)
    return EXIT_INCOMPLETE if dropped else EXIT_COMPLETE


if __name__ == "__main__":
    sys.exit(main())
