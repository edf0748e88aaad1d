"""Each command and each benchmark runs at a small size without a programming error.

Guards against a rename that misses a use: `rig swarm` once passed a keyword argument that its class no longer
had, and no test ran that command.
"""

import subprocess
import sys
from pathlib import Path

import click
import pytest
from ivystack.cli import main

ROOT = Path(__file__).parent.parent
NO_FILE = "no-such-file"
COMMANDS = {  # command: its arguments and the expected exit code
    "serve": (["--config", NO_FILE], 2),
    "check-config": ([NO_FILE], 2),
    "fleet key": (["{folder}/fleet.key"], 0),
    "fleet status": (["127.0.0.1:1"], 1),
    "rig list": ([], 0),
    "rig play": (["first", "--seconds", "4", "--quiet", "--keep", "{folder}"], 0),
    "rig random": (["--seed", "1", "--show"], 0),
    "rig soak": (["--seed", "1", "--show"], 0),
    "rig swarm": (["--proxies", "2", "--nodes", "2", "--seconds", "2", "--fault", "slow", "--aside"], 0),
    "rig logs": (["{folder}"], 0),
    "rig schedules": (["--count", "2"], 0),
}
BENCHMARKS = {"agreement.py": ["--seconds", "0.2"], "thousand.py": []}


def commands(group, prefix=()):
    """Yield the full name of each command below `group`."""
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from commands(command, (*prefix, name))
        else:
            yield " ".join((*prefix, name))


def run(*arguments):
    """Run Python with `arguments` in the root directory; return the exit code and the error output."""
    completed = subprocess.run(
        [sys.executable, "-B", *arguments],
        cwd=ROOT,
        env={"PYTHONPATH": "."},
        capture_output=True,
        text=True,
        timeout=60,
    )
    return completed.returncode, completed.stderr


def test_each_command_has_a_case():
    assert {*commands(main)} == {*COMMANDS}


@pytest.mark.parametrize("command", COMMANDS)
def test_each_command_runs(command, tmp_path):
    arguments, expected = COMMANDS[command]
    formatted = [argument.format(folder=tmp_path) for argument in arguments]
    code, errors = run("-m", "ivystack", *command.split(), *formatted)
    assert "Traceback" not in errors
    assert code == expected, errors


def test_each_benchmark_has_a_case():
    assert {path.name for path in (ROOT / "benchmarks").glob("*.py")} == {*BENCHMARKS}


@pytest.mark.parametrize("name", BENCHMARKS)
def test_each_benchmark_runs(name):
    code, errors = run(f"benchmarks/{name}", *BENCHMARKS[name])
    assert "Traceback" not in errors
    assert code == 0, errors
