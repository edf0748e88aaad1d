"""Compiles every module that the proxy imports, for the build (deploy/balancer.toml).

`python -OO` drops docstrings and assertions, which take some MB, but the installer compiles nothing for it.
The compiled files go to the folder named by `-X pycache_prefix`, and the proxy is started with the same
options.
"""

from __future__ import annotations

import importlib
import py_compile
import sys

from . import process_memory

PROGRAM_MODULES = ("ivystack.__main__", "ivystack.net.proxy", "twisted.internet.reactor")


def main() -> None:
    """Import the proxy's modules and compile each of them."""
    process_memory.leave_out_unused_modules()
    for name in PROGRAM_MODULES:
        importlib.import_module(name)
    for module in [*sys.modules.values()]:
        source = getattr(module, "__file__", None)
        if source and source.endswith(".py"):
            py_compile.compile(source, doraise=True)


if __name__ == "__main__":
    main()
