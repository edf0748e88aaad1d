"""The command line: `python -m ivystack COMMAND`.

Without a command the program runs the proxy and does not load this module or its imports.
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
EXIT_FAULT = 2  # a configuration, file or argument is invalid
STATUS_TIMEOUT_S = 5
HTTP_OK = 200


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A sidecar proxy that spreads keys over cache servers.

    Without a command, serve clients with the configuration file that LB_CONFIG names.

    Exit codes: 0 success; 1 a violation, or an address in use; 2 an invalid configuration, file or argument.
    """


@main.command()
@click.option("--config", type=click.Path(), help="Configuration file (default: LB_CONFIG).")
@click.option("--fleet", type=click.Path(), help="Fleet file of the operators (default: LB_FLEET).")
@click.pass_obj
def serve(start: Callable[[], int], config: str | None, fleet: str | None) -> None:
    """Serve clients (the default without a command)."""
    if config:
        os.environ["LB_CONFIG"] = config
    if fleet:
        os.environ["LB_FLEET"] = fleet
    sys.exit(start())


@main.command("check-config")
@click.argument("config", type=click.Path(), required=False)
@click.option(
    "--fleet",
    type=click.Path(),
    help="Also check this fleet file; without CONFIG and LB_CONFIG, check it alone.",
)
def check_config(config: str | None, fleet: str | None) -> None:
    """Check the file CONFIG (default: LB_CONFIG) and print what is wrong with it."""
    from .configuration.process import load

    fleet_is_faulty = fleet is not None and not check_fleet(fleet)
    fleet_code = EXIT_FAULT if fleet_is_faulty else 0
    if fleet is not None and not config and not os.environ.get("LB_CONFIG"):
        sys.exit(fleet_code)
    try:
        configuration = load({**os.environ, **({"LB_CONFIG": config} if config else {})})
    except ConfigurationError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_FAULT)
    classes = len(configuration.settings.request_classes)
    click.echo(
        f"configuration is valid: name={configuration.name}"
        f" listen={configuration.listen[0]}:{configuration.listen[1]} classes={classes}"
    )
    sys.exit(fleet_code)


def check_fleet(path: str) -> bool:
    """Return whether the fleet file is valid; print its errors, one per line."""
    from .fleet.config import check_file

    try:
        check = check_file(Path(path).read_text(), Path(path).parent)
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"{path}: {getattr(error, 'strerror', None) or 'not a UTF-8 text file'}", err=True)
        return False
    for line in check.faults:
        click.echo(f"{path}: {line}", err=True)
    if check.file is not None and not check.faults:
        click.echo(f"fleet file is valid: a group of {len(check.file.group.members)} members")
    return not check.faults


@main.group()
def fleet() -> None:
    """Key files and state of a fleet of proxies."""


@fleet.command("key")
@click.argument("path", type=click.Path())
@click.option("--id", "ident", default="k1", show_default=True, help="Name of the key in logs.")
def key(path: str, ident: str) -> None:
    """Write a new key file to PATH; never overwrite an existing file."""
    from .mesh.keys import write_key_file

    try:
        write_key_file(path, ident)
    except OSError as error:
        click.echo(f"{path}: {error.strerror}", err=True)
        sys.exit(EXIT_FAULT)


@fleet.command("status")
@click.argument("admin")
def status(admin: str) -> None:
    """Print the fleet state as JSON, read from the proxy with the admin address ADMIN."""
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
        click.echo(f"{admin}: {response.status}: this proxy runs no fleet services", err=True)
        sys.exit(EXIT_FAILURE)
    click.echo(json.dumps(json.loads(text), indent=1))


main.add_command(rig)
