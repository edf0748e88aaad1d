"""Modules and functions stay short; what has not been taken up yet stands in pyproject.toml alone."""

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
MAX_MODULE_LINES = 400
MAX_FUNCTION_LINES = 50


def not_taken_up() -> set[Path]:
    """The modules that the linter's stricter rules pass over."""
    config = tomllib.loads((ROOT / "pyproject.toml").read_text())
    patterns = config["tool"]["ruff"]["lint"]["per-file-ignores"]
    return {path for pattern in patterns for path in ROOT.glob(pattern.replace("/*", "/**/*.py"))}


MODULES = sorted({*(ROOT / "ivystack").rglob("*.py")} - not_taken_up())


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(ROOT)))
def test_modules_and_functions_are_short(path):
    text = path.read_text()
    assert text.count("\n") <= MAX_MODULE_LINES
    functions = [node for node in ast.walk(ast.parse(text)) if isinstance(node, ast.FunctionDef)]
    long = [one.name for one in functions if one.end_lineno - one.lineno >= MAX_FUNCTION_LINES]
    assert not long
