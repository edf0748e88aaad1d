"""`ivystack rig`: list, play, random, logs.

Owns these commands' words and exit codes: 0 it holds, 1 a breach, 2 a file or a word that can't be used.
"""

from __future__ import annotations

import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path

import click
from loguru import logger

from . import draw, scenario
from .swarm import FAULTS
from .scenario import Scenario, ScenarioError


@click.group()
def rig() -> None:
    """Several real processes of the program on loopback, and faults between them."""


@rig.command("list")
def names() -> None:
    """The scenarios that come with the program."""
    for name in scenario.own():
        made = scenario.load(name)
        click.echo(f"{name:22} {made.fleet.proxies:3d} proxies {made.seconds:5g} s  {made.about}")


def options(command):
    for option in (
        click.option("--keep", type=click.Path(path_type=Path), help="Keep logs and records in this folder."),
        click.option("--plot", "picture", type=click.Path(path_type=Path), help="Draw the run to this PNG."),
        click.option(
            "--program",
            type=click.Path(exists=True, file_okay=False, path_type=Path),
            help="The folder that holds the package to run, another version for instance.",
        ),
        click.option("--quiet", is_flag=True, help="The verdict alone."),
    ):
        command = option(command)
    return command


@rig.command("play")
@click.argument("name")
@click.option("--seed", type=int, help="Another order of chances than the file's.")
@click.option("--seconds", type=float, help="Another length of the load.")
@options
def play(name, seed, seconds, **how) -> None:
    """Play the scenario NAME, one of `rig list` or a file."""
    try:
        made = scenario.load(name)
    except ScenarioError as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
    if seed is not None:
        made.seed = seed
    if seconds is not None:
        made.seconds = seconds
    sys.exit(played([made], **how))


@rig.command("random")
@click.option("--seed", type=int, required=True, help="The first scenario's seed.")
@click.option("--seconds", type=click.FloatRange(4, 600), default=10.0, show_default=True)
@click.option("--proxies", type=click.IntRange(2, scenario.MOST), default=4, show_default=True)
@click.option("--nodes", type=click.IntRange(2, scenario.MOST), default=5, show_default=True)
@click.option("--group", type=click.Choice(["0", "3", "5", "7"]), default="0", show_default=True)
@click.option("--runs", type=click.IntRange(1, 1000), default=1, show_default=True, help="Seeds from it on.")
@click.option("--show", is_flag=True, help="Print the drawn scenario as a file instead of playing it.")
@options
def random(seed, seconds, proxies, nodes, group, runs, show, **how) -> None:
    """Play scenarios whose faults are drawn by chance."""
    made = [draw.scenario(seed + n, seconds, proxies, nodes, int(group)) for n in range(runs)]
    if show:
        click.echo("\n".join(map(scenario.written, made)), nl=False)
        return
    sys.exit(played(made, **how))


@rig.command("swarm")
@click.option("--proxies", type=click.IntRange(1, 2048), default=40, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 2048), default=24, show_default=True)
@click.option("--load", type=click.FloatRange(0.01, 10), default=0.8, show_default=True,
              help="Of what the nodes' cores can do.")  # fmt: skip
@click.option("--seconds", type=click.IntRange(2, 600), default=8, show_default=True, help="Of virtual time.")
@click.option("--table", type=click.IntRange(1), help="Connections that a node holds; any number by default.")
@click.option("--hurried", type=click.FloatRange(0, 1), default=0.0, help="Part of clients who hardly wait.")
@click.option("--fault", "faults", multiple=True, type=click.Choice([*FAULTS]), help="At 2 s; more than one.")
@click.option("--aside", is_flag=True, help="Caches tell a miss, proxies ask the origin; `sign` is a write.")
@click.option("--worths", default="5,3,10", show_default=True, help="Of the classes view, check and sign.")
@click.option("--seed", type=int, default=1, show_default=True)
def swarm(proxies, nodes, load, seconds, table, hurried, faults, aside, worths, seed) -> None:
    """Play the decisions of a whole fleet in virtual time: each class's part served in time, by seconds."""
    from random import Random

    from .swarm import MICROSECONDS_PER_SECOND, MIX, Swarm, World, mean_work_seconds

    try:
        given = [float(worth) for worth in worths.split(",")]
        loads = [replace(one, priority_weight=worth) for one, worth in zip(MIX, given, strict=True)]
    except ValueError:
        click.echo(f"--worths: wanted {len(MIX)} numbers, got {worths!r}", err=True)
        sys.exit(2)
    loads = [replace(one, is_write=aside and one.name == "sign") for one in loads]
    world = World(nodes, proxies, 0.0, impatient_share=hurried, cache_aside=aside)
    world.requests_per_second = nodes * world.cores_per_server * load / mean_work_seconds(loads)
    world.max_connections = table or world.max_connections
    made = Swarm(Random(seed), loads, world)
    for fault in faults:
        made.schedule(made.now + 2 * MICROSECONDS_PER_SECOND, FAULTS[fault], made)
    click.echo("second   " + "".join(f"{one.name:>8}" for one in loads))
    for second in range(seconds):
        made.run(MICROSECONDS_PER_SECOND)
        if second:  # what came in the last one has not ended yet
            served = made.served_shares(second - 1, second)
            click.echo(f"{second - 1:6d}   " + "".join(f"{served[one.name]:8.3f}" for one in loads))
    served = made.served_shares(0, seconds - 1)
    click.echo("all      " + "".join(f"{served[one.name]:8.3f}" for one in loads))


@rig.command("logs")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def logs(folder) -> None:
    """Every log of a kept run, in the order of time."""
    from .logs import merged

    for line in merged(folder):
        click.echo(line)


@rig.command("schedules")
@click.option("--seed", type=int, default=0, show_default=True, help="The first schedule's seed.")
@click.option("--count", type=click.IntRange(1), default=300, show_default=True, help="Schedules from it on.")
@click.option("--planted", is_flag=True, help="Which of the planted faults they find, instead.")
def schedules(seed, count, planted) -> None:
    """Play the consensus group in virtual time, on all cores; exit code 1 where a property does not hold."""
    from concurrent.futures import ProcessPoolExecutor

    from ..consensus.mutations import MUTATIONS
    from ..consensus.simulation import first_failing_seed, run_schedule

    began, bad = time.monotonic(), 0
    seeds = range(seed, seed + count)
    with ProcessPoolExecutor() as pool:
        if planted:
            finds = pool.map(first_failing_seed, MUTATIONS.values(), [seeds] * len(MUTATIONS))
            for name, at in zip(MUTATIONS, finds, strict=True):
                click.echo(f"{'not found' if at is None else f'seed {at}':>12}  {name}")
                bad += at is None
        else:
            for told in pool.map(run_schedule, seeds, chunksize=8):
                if told:
                    click.echo(f"BREACH {told}")
                    bad += 1
    click.echo(f"{'BREACH' if bad else 'HOLDS'} {count} schedules ({time.monotonic() - began:.0f} s)")
    sys.exit(1 if bad else 0)


def played(
    scenarios: list[Scenario], keep: Path | None, picture: Path | None, program: Path | None, quiet: bool
) -> int:
    """Plays one after the other on the reactor; the exit code."""
    from twisted.internet import defer, reactor
    from twisted.python.log import startLoggingWithObserver

    from .account import account, plot
    from .play import Rig, kept

    code = 0
    troubles: list[str] = []

    def trouble(event: dict) -> None:
        if event.get("isError"):
            failure = event.get("failure")
            troubles.append(failure.getTraceback() if failure else str(event.get("message")))

    startLoggingWithObserver(trouble, setStdout=False)
    logger.remove()  # the rig's own links to members log too
    logger.add(lambda line: troubles.append(str(line)), level="ERROR")

    async def one(made: Scenario, folder: Path) -> None:
        nonlocal code
        began = time.monotonic()
        rig = Rig(made, folder, reactor, (lambda line: None) if quiet else click.echo, program)
        record = await rig.play()
        kept(record, folder)
        (folder / "scenario.toml").write_text(scenario.written(made))
        if not quiet or record.breaches:
            click.echo(account(record))
        if picture is not None:
            plot(record, picture)
        verdict = "HOLDS" if not record.breaches else "BREACH"
        click.echo(f"{verdict} {made.name} seed {made.seed} ({time.monotonic() - began:.0f} s)")
        code = max(code, 1 if record.breaches else 0)

    async def every() -> None:
        nonlocal code
        try:
            for made in scenarios:
                if keep is not None:
                    folder = keep if len(scenarios) == 1 else keep / f"{made.name}"
                    folder.mkdir(parents=True, exist_ok=True)
                    await one(made, folder)
                else:
                    with tempfile.TemporaryDirectory(prefix="ivystack-rig-") as folder:
                        await one(made, Path(folder))
        except (RuntimeError, OSError) as fault:
            click.echo(f"the rig could not play: {fault}", err=True)
            code = 2
        finally:
            reactor.stop()  # type: ignore[misc]  # zope interfaces declare methods without self

    reactor.callWhenRunning(lambda: defer.ensureDeferred(every()).addErrback(lambda f: f.printTraceback()))
    reactor.run()  # type: ignore[misc]  # zope interfaces declare methods without self
    if troubles:  # the rig's own: no verdict can be trusted
        click.echo(f"the rig failed {len(troubles)} times, first:\n{troubles[0]}", err=True)
        return 2
    return code
