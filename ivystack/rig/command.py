"""The commands of `ivystack rig`: list, play, random, swarm, logs and schedules.

Exit codes: 0 if all conditions hold, 1 after a breach, 2 for a file or an argument that can't be used.
"""

from __future__ import annotations

import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path

import click
from loguru import logger

from . import draw, scenario, soak
from .swarm import FAULTS
from .scenario import Scenario, ScenarioError


@click.group()
def rig() -> None:
    """Run several real processes of the program on loopback, with faults between them."""


@rig.command("list")
def list_scenarios() -> None:
    """List the scenarios that come with the program."""
    for name in scenario.bundled_scenarios():
        loaded = scenario.load_scenario(name)
        click.echo(f"{name:22} {loaded.fleet.proxies:3d} proxies {loaded.seconds:5g} s  {loaded.about}")


def run_options(command):
    for option in (
        click.option("--keep", type=click.Path(path_type=Path), help="Keep logs and records in this folder."),
        click.option("--plot", "picture", type=click.Path(path_type=Path), help="Draw the run to this PNG."),
        click.option(
            "--program",
            type=click.Path(exists=True, file_okay=False, path_type=Path),
            help="The folder with the package to run, for instance another version.",
        ),
        click.option("--quiet", is_flag=True, help="Print only the verdict, and breaches."),
    ):
        command = option(command)
    return command


@rig.command("play")
@click.argument("name")
@click.option("--seed", type=int, help="Use this random seed instead of the file's.")
@click.option("--seconds", type=float, help="Duration of the load, instead of the file's.")
@run_options
def play(name, seed, seconds, **options) -> None:
    """Play the scenario NAME, one of `rig list` or a file."""
    try:
        loaded = scenario.load_scenario(name)
    except ScenarioError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if seed is not None:
        loaded.seed = seed
    if seconds is not None:
        loaded.seconds = seconds
    sys.exit(play_scenarios([loaded], **options))


@rig.command("random")
@click.option("--seed", type=int, required=True, help="The first scenario's seed.")
@click.option("--seconds", type=click.FloatRange(4, 600), default=10.0, show_default=True)
@click.option("--proxies", type=click.IntRange(2, scenario.MAX_PROCESSES), default=4, show_default=True)
@click.option("--nodes", type=click.IntRange(2, scenario.MAX_PROCESSES), default=5, show_default=True)
@click.option("--group", type=click.Choice(["0", "3", "5", "7"]), default="0", show_default=True)
@click.option(
    "--runs", type=click.IntRange(1, 1000), default=1, show_default=True, help="Number of consecutive seeds."
)
@click.option("--show", is_flag=True, help="Print the drawn scenario as a file instead of playing it.")
@run_options
def random(seed, seconds, proxies, nodes, group, runs, show, **options) -> None:
    """Play scenarios with random faults."""
    scenarios = [draw.random_scenario(seed + n, seconds, proxies, nodes, int(group)) for n in range(runs)]
    show_or_play(scenarios, show, **options)


def show_or_play(scenarios: list[Scenario], show: bool, **options) -> None:
    """Print the scenarios as files, or play them and exit with the code of that."""
    if show:
        click.echo("\n".join(map(scenario.to_toml, scenarios)), nl=False)
        return
    sys.exit(play_scenarios(scenarios, **options))


@rig.command("soak")
@click.option("--seed", type=int, required=True, help="The first scenario's seed.")
@click.option("--seconds", type=click.FloatRange(8, 600), default=20.0, show_default=True)
@click.option(
    "--runs", type=click.IntRange(1, 1000), default=1, show_default=True, help="Number of consecutive seeds."
)
@click.option(
    "--late",
    "late_ms",
    type=click.FloatRange(0, 10_000),
    default=0.0,
    help="Discovery answers calls up to so many milliseconds late.",
)
@click.option(
    "--rate",
    type=click.FloatRange(1, 1000),
    default=soak.REQUESTS_PER_SECOND,
    show_default=True,
    help="Requests per second; fewer beside other work, so that the rig itself is not late.",
)
@click.option("--show", is_flag=True, help="Print the drawn scenario as a file instead of playing it.")
@run_options
def play_soak(seed, seconds, runs, late_ms, rate, show, **options) -> None:
    """Play scenarios in which endpoint lists are out of date."""
    scenarios = [soak.soak_scenario(seed + n, seconds, late_ms, rate) for n in range(runs)]
    show_or_play(scenarios, show, **options)


@rig.command("swarm")
@click.option("--proxies", type=click.IntRange(1, 2048), default=40, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 2048), default=24, show_default=True)
@click.option("--load", type=click.FloatRange(0.01, 10), default=0.8, show_default=True,
              help="Load as a multiple of the servers' capacity.")  # fmt: skip
@click.option(
    "--seconds", type=click.IntRange(2, 600), default=8, show_default=True, help="Duration in virtual time."
)
@click.option(
    "--table", type=click.IntRange(1), help="Connections that a server accepts; unlimited by default."
)
@click.option(
    "--hurried", type=click.FloatRange(0, 1), default=0.0, help="Fraction of clients with a short timeout."
)
@click.option(
    "--fault", "faults", multiple=True, type=click.Choice([*FAULTS]), help="A fault at 2 s; may be repeated."
)
@click.option(
    "--aside", is_flag=True, help="Cache servers report misses, proxies ask the origin; `sign` is a write."
)
@click.option(
    "--worths",
    default="5,3,10",
    show_default=True,
    help="Priority weights of the classes view, check and sign.",
)
@click.option("--seed", type=int, default=1, show_default=True)
def swarm(proxies, nodes, load, seconds, table, hurried, faults, aside, worths, seed) -> None:
    """Simulate a fleet in virtual time; print the fraction of each class served in time per second."""
    from random import Random

    from .swarm import MICROSECONDS_PER_SECOND, MIX, Swarm, World, mean_work_seconds

    try:
        weights = [float(worth) for worth in worths.split(",")]
        loads = [replace(load, priority_weight=weight) for load, weight in zip(MIX, weights, strict=True)]
    except ValueError:
        click.echo(f"--worths: wanted {len(MIX)} numbers, got {worths!r}", err=True)
        sys.exit(2)
    loads = [replace(item, is_write=aside and item.name == "sign") for item in loads]
    world = World(nodes, proxies, 0.0, impatient_share=hurried, cache_aside=aside)
    world.requests_per_second = nodes * world.cores_per_server * load / mean_work_seconds(loads)
    world.max_connections = table or world.max_connections
    simulation = Swarm(Random(seed), loads, world)
    for fault in faults:
        simulation.schedule(simulation.now + 2 * MICROSECONDS_PER_SECOND, FAULTS[fault], simulation)
    click.echo("second   " + "".join(f"{item.name:>8}" for item in loads))
    for second in range(seconds):
        simulation.run(MICROSECONDS_PER_SECOND)
        if second:  # requests of the last second have not ended yet
            served = simulation.served_shares(second - 1, second)
            click.echo(f"{second - 1:6d}   " + "".join(f"{served[item.name]:8.3f}" for item in loads))
    served = simulation.served_shares(0, seconds - 1)
    click.echo("all      " + "".join(f"{served[item.name]:8.3f}" for item in loads))


@rig.command("logs")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def logs(folder) -> None:
    """Print the lines of all logs of a run in FOLDER, in order of time."""
    from .logs import merge_logs

    for line in merge_logs(folder):
        click.echo(line)


@rig.command("schedules")
@click.option("--seed", type=int, default=0, show_default=True, help="The first schedule's seed.")
@click.option(
    "--count", type=click.IntRange(1), default=300, show_default=True, help="Number of consecutive seeds."
)
@click.option("--planted", is_flag=True, help="Instead, print which planted faults the schedules find.")
def schedules(seed, count, planted) -> None:
    """Simulate the consensus group in virtual time, on all cores; exit code 1 if a property is violated."""
    from concurrent.futures import ProcessPoolExecutor

    from ..consensus.mutations import MUTATIONS
    from ..consensus.simulation import first_failing_seed, run_schedule

    began_at, failures = time.monotonic(), 0
    seeds = range(seed, seed + count)
    with ProcessPoolExecutor() as pool:
        if planted:
            found = pool.map(first_failing_seed, MUTATIONS.values(), [seeds] * len(MUTATIONS))
            for name, failing_seed in zip(MUTATIONS, found, strict=True):
                click.echo(f"{'not found' if failing_seed is None else f'seed {failing_seed}':>12}  {name}")
                failures += failing_seed is None
        else:
            for violation in pool.map(run_schedule, seeds, chunksize=8):
                if violation:
                    click.echo(f"BREACH {violation}")
                    failures += 1
    click.echo(f"{'BREACH' if failures else 'HOLDS'} {count} schedules ({time.monotonic() - began_at:.0f} s)")
    sys.exit(1 if failures else 0)


def play_scenarios(
    scenarios: list[Scenario], keep: Path | None, picture: Path | None, program: Path | None, quiet: bool
) -> int:
    """Play the scenarios one after another on the reactor; return the exit code."""
    from twisted.internet import defer, reactor
    from twisted.python.log import startLoggingWithObserver

    from .account import plot_run, summarize
    from .play import Rig, save_record

    code = 0
    errors: list[str] = []

    def record_error(event: dict) -> None:
        if event.get("isError"):
            failure = event.get("failure")
            errors.append(failure.getTraceback() if failure else str(event.get("message")))

    startLoggingWithObserver(record_error, setStdout=False)
    logger.remove()  # the rig's own mesh links log too
    logger.add(lambda line: errors.append(str(line)), level="ERROR")

    async def play_one(played: Scenario, folder: Path) -> None:
        nonlocal code
        began_at = time.monotonic()
        rig = Rig(played, folder, reactor, (lambda line: None) if quiet else click.echo, program)
        record = await rig.play()
        save_record(record, folder)
        (folder / "scenario.toml").write_text(scenario.to_toml(played))
        if not quiet or record.breaches:
            click.echo(summarize(record))
        if picture is not None:
            plot_run(record, picture)
        verdict = "HOLDS" if not record.breaches else "BREACH"
        click.echo(f"{verdict} {played.name} seed {played.seed} ({time.monotonic() - began_at:.0f} s)")
        code = max(code, 1 if record.breaches else 0)

    async def play_all() -> None:
        nonlocal code
        try:
            for played in scenarios:
                if keep is not None:
                    folder = keep if len(scenarios) == 1 else keep / f"{played.name}"
                    folder.mkdir(parents=True, exist_ok=True)
                    await play_one(played, folder)
                else:
                    with tempfile.TemporaryDirectory(prefix="ivystack-rig-") as folder:
                        await play_one(played, Path(folder))
        except (RuntimeError, OSError) as error:
            click.echo(f"the scenario could not be played: {error}", err=True)
            code = 2
        finally:
            reactor.stop()  # type: ignore[misc]  # zope interfaces declare methods without self

    reactor.callWhenRunning(lambda: defer.ensureDeferred(play_all()).addErrback(lambda f: f.printTraceback()))
    reactor.run()  # type: ignore[misc]  # zope interfaces declare methods without self
    if errors:  # of the rig itself, so that no verdict can be trusted
        click.echo(f"the rig itself failed {len(errors)} times; the first error:\n{errors[0]}", err=True)
        return 2
    return code
