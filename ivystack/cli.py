"""The command line: `python -m ivystack COMMAND`.  Without a command the program is the proxy, without this.

Owns the commands' names.  It must never be imported by what serves.
"""

from __future__ import annotations

import os
import sys

import click

from .rig.command import rig
from .configuration.errors import ConfigurationError


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A sidecar that spreads keys over cache servers.  Without a command it serves, as LB_CONFIG says.

    Exit codes: 0 as asked, 1 a breach or an address that is taken, 2 a configuration, file or word at fault.
    """


@main.command()
@click.option("--config", type=click.Path(), help="The configuration; LB_CONFIG where it is not given.")
@click.option("--fleet", type=click.Path(), help="The operators' file of the fleet; LB_FLEET if not given.")
@click.pass_obj
def serve(start, config, fleet) -> None:
    """Serve clients, as without a command."""
    if config:
        os.environ["LB_CONFIG"] = config
    if fleet:
        os.environ["LB_FLEET"] = fleet
    sys.exit(start())


@main.command("check-config")
@click.argument("config", type=click.Path(), required=False)
@click.option("--fleet", type=click.Path(), help="The operators' file of the fleet, checked too, or alone.")
def check_config(config, fleet) -> None:
    """Read the configuration (default: what LB_CONFIG names) and say what is wrong with it."""
    from .configuration.process import load

    bad = fleet is not None and not check_fleet(fleet)
    if fleet is not None and not config and not os.environ.get("LB_CONFIG"):
        sys.exit(2 if bad else 0)
    try:
        run = load({**os.environ, **({"LB_CONFIG": config} if config else {})})
    except ConfigurationError as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
    classes = len(run.settings.request_classes)
    click.echo(f"good: name={run.name} listen={run.listen[0]}:{run.listen[1]} classes={classes}")
    sys.exit(2 if bad else 0)


def check_fleet(path: str) -> bool:
    """Whether the operators' file can be used; all its faults are told, a line each."""
    from pathlib import Path

    from .fleet.config import check_file

    try:
        check = check_file(Path(path).read_text(), Path(path).parent)
    except (OSError, UnicodeDecodeError) as fault:
        click.echo(f"{path}: {getattr(fault, 'strerror', None) or 'no plain text'}", err=True)
        return False
    for line in check.faults:
        click.echo(f"{path}: {line}", err=True)
    if not check.faults:
        click.echo(f"good: a group of {len(check.file.group.members)}")
    return not check.faults


@main.group()
def fleet() -> None:
    """What the proxies of a fleet do together."""


@fleet.command("key")
@click.argument("path", type=click.Path())
@click.option("--id", "ident", default="k1", show_default=True, help="Its name in logs.")
def key(path, ident) -> None:
    """Write a new key file; never over one that is there."""
    from .mesh.keys import write_key_file

    try:
        write_key_file(path, ident)
    except OSError as fault:
        click.echo(f"{path}: {fault.strerror}", err=True)
        sys.exit(2)


@fleet.command("status")
@click.argument("admin")
def status(admin) -> None:
    """How things stand at the proxy whose operators' address is ADMIN, as JSON."""
    import json
    from http.client import HTTPConnection, HTTPException

    try:
        caller = HTTPConnection(admin, timeout=5)
        caller.request("GET", "/_fleet")
        answer = caller.getresponse()
        text = answer.read()
    except (OSError, HTTPException) as fault:
        click.echo(f"{admin}: {fault}", err=True)
        sys.exit(1)
    if answer.status != 200:
        click.echo(f"{admin}: {answer.status}: the fleet's parts are off there", err=True)
        sys.exit(1)
    click.echo(json.dumps(json.loads(text), indent=1))


main.add_command(rig)
