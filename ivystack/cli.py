"""The command line: `python -m ivystack COMMAND`.

Without a command the program is the proxy, and this module with its imports is not loaded.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from pathlib import Path

import click

from .configuration.errors import ConfigurationError
from .rig.command import rig

EXIT_FAILURE = 1
EXIT_FAULT = 2  # a configuration, file or argument is at fault
STATUS_TIMEOUT_S = 5
HTTP_OK = 200


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A sidecar proxy that spreads keys over cache servers.  Without a command it serves, as LB_CONFIG says.

    Exit codes: 0 success, 1 a violation or an address in use, 2 a configuration, file or argument at fault.
    """


@main.command()
@click.option("--config", type=click.Path(), help="The configuration; LB_CONFIG where it is not given.")
@click.option("--fleet", type=click.Path(), help="The operators' file of the fleet; LB_FLEET if not given.")
@click.pass_obj
def serve(start: Callable[[], int], config: str | None, fleet: str | None) -> None:
    """Serve clients, as without a command."""
    if config:
        os.environ["LB_CONFIG"] = config
    if fleet:
        os.environ["LB_FLEET"] = fleet
    sys.exit(start())


@main.command("check-config")
@click.argument("config", type=click.Path(), required=False)
@click.option("--fleet", type=click.Path(), help="The operators' file of the fleet, checked too, or alone.")
def check_config(config: str | None, fleet: str | None) -> None:
    """Read the configuration (default: what LB_CONFIG names) and say what is wrong with it."""
    from .configuration.process import load

    fleet_is_faulty = fleet is not None and not check_fleet(fleet)
    fleet_code = EXIT_FAULT if fleet_is_faulty else 0
    if fleet is not None and not config and not os.environ.get("LB_CONFIG"):
        sys.exit(fleet_code)
    try:
        run = load({**os.environ, **({"LB_CONFIG": config} if config else {})})
    except ConfigurationError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_FAULT)
    classes = len(run.settings.request_classes)
    click.echo(f"good: name={run.name} listen={run.listen[0]}:{run.listen[1]} classes={classes}")
    sys.exit(fleet_code)


def check_fleet(path: str) -> bool:
    """Return whether the operators' file can be used; print each of its faults on a line."""
    from .fleet.config import check_file

    try:
        check = check_file(Path(path).read_text(), Path(path).parent)
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"{path}: {getattr(error, 'strerror', None) or 'no plain text'}", err=True)
        return False
    for line in check.faults:
        click.echo(f"{path}: {line}", err=True)
    if check.file is not None and not check.faults:
        click.echo(f"good: a group of {len(check.file.group.members)}")
    return not check.faults


@main.group()
def fleet() -> None:
    """What the proxies of a fleet do together."""


@fleet.command("key")
@click.argument("path", type=click.Path())
@click.option("--id", "ident", default="k1", show_default=True, help="Its name in logs.")
def key(path: str, ident: str) -> None:
    """Write a new key file; an existing file is never overwritten."""
    from .mesh.keys import write_key_file

    try:
        write_key_file(path, ident)
    except OSError as error:
        click.echo(f"{path}: {error.strerror}", err=True)
        sys.exit(EXIT_FAULT)


@fleet.command("status")
@click.argument("admin")
def status(admin: str) -> None:
    """Print the fleet's state, as JSON, from the proxy whose admin address is ADMIN."""
    from http.client import HTTPConnection, HTTPException

    try:
        connection = HTTPConnection(admin, timeout=STATUS_TIMEOUT_S)
        connection.request("GET", "/_fleet")
        response = connection.getresponse()
        text = response.read()
    except (OSError, HTTPException) as error:
        click.echo(f"{admin}: {error}", err=True)
        sys.exit(EXIT_FAILURE)
    if response.status != HTTP_OK:
        click.echo(f"{admin}: {response.status}: the fleet's parts are off there", err=True)
        sys.exit(EXIT_FAILURE)
    click.echo(json.dumps(json.loads(text), indent=1))


main.add_command(rig)
