"""The command line: `python -m ivystack COMMAND`.  Without a command the program is the proxy, without this.

Owns the commands' names.  It must never be imported by what serves.
"""

from __future__ import annotations

import os
import sys

import click

from .rig.command import rig
from .settings import FaultError


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A sidecar that spreads keys over cache servers.  Without a command it serves, as LB_CONFIG says.

    Exit codes: 0 as asked, 1 a breach or an address that is taken, 2 a configuration, file or word at fault.
    """


@main.command()
@click.option("--config", type=click.Path(), help="The configuration; LB_CONFIG where it is not given.")
def serve(config) -> None:
    """Serve clients, as without a command."""
    from .__main__ import main as serves

    if config:
        os.environ["LB_CONFIG"] = config
    sys.exit(serves())


@main.command("check-config")
@click.argument("config", type=click.Path(), required=False)
def check_config(config) -> None:
    """Read the configuration (default: what LB_CONFIG names) and say what is wrong with it."""
    from .settings import load

    try:
        run = load({**os.environ, **({"LB_CONFIG": config} if config else {})})
    except FaultError as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
    classes = len(run.settings.methods)
    click.echo(f"good: name={run.name} listen={run.listen[0]}:{run.listen[1]} classes={classes}")


main.add_command(rig)
