"""The command that migrates an operator's configuration from the old deployment shape to the new one.

The old shape has many requests per connection, static weights or none, and no load reports.  The new one has
one request per connection, weights that follow the load, and load reports with answers.  The source is never
changed, no file is overwritten, and a configuration that the proxy would reject is not written.  Exit codes:
0 everything was carried over; 1 the keys and zones that are listed were left out; 2 nothing was written, and
one line gives the reason.
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

# The schema of each object in the file, by its key path.
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
    "Reads a configuration for the old shape (many requests per connection, static weights or none, no load"
    " reports) and writes its equivalent for the new one (one request per connection, weights that follow the"
    " load, load reports with answers). Exit codes: 0 everything was carried over; 1 what is listed was not"
    " carried over; 2 nothing was written, as a file is missing, not JSON or invalid."
)


def known_keys(path: tuple[str, ...]) -> set[str] | None:
    """Return the keys that the proxy reads in the object at a key path; None if any key is data."""
    schema = SCHEMAS.get(path)
    return {field.encode_name for field in msgspec.structs.fields(schema)} if schema else None


def keep_known_keys(value: Any, path: tuple[str, ...], dropped: list[str], label: str = "") -> Any:
    """Return the value with only the keys that the proxy reads.

    :param dropped: a line is appended for each other key.
    :param label: the position of the value in the file, as shown in those lines.
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
            dropped.append(f"`{entry_label}`: unknown key")
    return kept


def rename_zones(
    names: list[Any], zones: Mapping[str, str], dropped: list[str], label: str
) -> Iterator[tuple[int, Any]]:
    """Yield the index and the new name of each zone that has a mapping or is already a new name.

    With an empty mapping, yield all zones unchanged.
    """
    for index, zone in enumerate(names):
        if not zones or zone in zones or zone in zones.values():
            yield index, zones.get(zone, zone)
        else:
            dropped.append(f"`{label}`: [{index}]: no new name is given for the zone {zone!r}")


def migrate(
    old: dict[str, Any], zones: Mapping[str, str], columns: list[str]
) -> tuple[dict[str, Any], list[str]]:
    """Return the configuration for the new shape, and a line for each key or zone not carried over.

    :param zones: new zone names, by old name.
    :param columns: the names of the figures in the servers' load reports.
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
    """Replace polling of the endpoint list by push."""
    rules = settings.get("rules")
    if isinstance(rules, dict) and rules.get("ask_within") is not None:
        settings["rules"] = {key: value for key, value in rules.items() if key != "ask_within"}
        dropped.append("`settings.rules.ask_within`: endpoint lists are pushed, so no poll interval applies")
    if settings.get("discovery") == "ask":
        dropped.append("`settings.discovery`: endpoint lists are pushed instead of polled")
    settings["discovery"] = "push"


def migrate_shape(settings: dict[str, Any], columns: list[str]) -> None:
    """Set the keys of the new shape; load reports that are already configured stay unchanged."""
    settings["weight_source"] = "live"
    settings["limits"] = dict(settings.get("limits") or {}) | {"streams_per_conn": 1}
    reporting = dict(settings.get("reporting") or {})
    if reporting.get("how") in (None, "none"):
        reporting = {"how": "answers", "columns": columns}
    settings["reporting"] = reporting


def migrate_settings_zones(settings: dict[str, Any], zones: Mapping[str, str], dropped: list[str]) -> None:
    """Rename the zone of the instance and the zones in the list of all zones."""
    if settings.get("zone") is not None:
        renamed = rename_zones([settings["zone"]], zones, dropped, "settings.zone")
        settings["zone"] = next((name for _, name in renamed), None)
    if "zones" in settings:
        renamed = rename_zones(settings["zones"] or [], zones, dropped, "settings.zones")
        settings["zones"] = [name for _, name in renamed]


def migrate_known_endpoints(new: dict[str, Any], zones: Mapping[str, str], dropped: list[str]) -> None:
    """Rename the zones of the known endpoints; leave out endpoints whose zone has no new name."""
    known = new.get("known")
    if not isinstance(known, dict) or not isinstance(known.get("instances"), list):
        return
    endpoints = [entry if isinstance(entry, dict) else {} for entry in known["instances"]]
    renamed = rename_zones([entry.get("zone") for entry in endpoints], zones, dropped, "known.instances")
    kept = [endpoints[index] | ({"zone": name} if zones else {}) for index, name in renamed]
    new["known"] = known | {"instances": kept}


def read(path: Path) -> dict[str, Any]:
    """Return the JSON object in the old file.

    :raises ConfigurationError: if the file can't be read or does not contain a JSON object.
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

    :raises ConfigurationError: if the file can't be written or already exists.
    """
    part = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        with open(part, "x") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.link(part, path)  # unlike a rename, a link fails if the file exists
    except OSError as error:
        raise ConfigurationError(f"`NEW`: {error.strerror}: {path}") from None
    finally:
        part.unlink(missing_ok=True)


def zone_mapping(text: str) -> tuple[str, str]:
    """Parse a `--zone` option; return the old and the new name."""
    old, sign, new = text.partition("=")
    if not (old and sign and new):
        raise argparse.ArgumentTypeError(f"wanted OLD=NEW, got {text!r}")
    return old, new


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser of the command."""
    parser = argparse.ArgumentParser(prog="python -m ivystack.migrate", description=DESCRIPTION)
    parser.add_argument("old", metavar="OLD", type=Path, help="the configuration file to read; never changed")
    parser.add_argument("new", metavar="NEW", type=Path, help="the file to write; must not exist yet")
    parser.add_argument("--dry-run", action="store_true", help="check and list everything, but write nothing")
    parser.add_argument(
        "--zone",
        metavar="OLD=NEW",
        type=zone_mapping,
        action="append",
        default=[],
        help="the new name of a zone; servers in zones that are no OLD or NEW of such an option are left out",
    )
    parser.add_argument(
        "--columns",
        metavar="NAMES",
        default="active,waiting",
        help="the fields of the servers' load reports (active, waiting, cpu, avg_ms, rps)",
    )
    return parser


def check(values: dict[str, Any]) -> None:
    """Validate a complete configuration.

    :raises ConfigurationError: if it is invalid; the message names the key.
    """
    ProcessConfiguration(convert(values, ConfigurationFile))


def main(arguments: list[str] | None = None) -> int:
    """Run the command and return its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        old = read(options.old)
        check(old)  # checked first, so that an error names the key in the old file
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
