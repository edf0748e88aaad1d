"""The configuration of one process, read from the file named by LB_CONFIG and from the environment."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from ..model import Idempotency
from .errors import ConfigurationError
from .instance import InstanceConfiguration
from .schema import ConfigurationFile, MachineLimits, convert, parse_address
from .validation import START_ONLY_KEYS, check_reload, check_settings

DEFAULT_IDLE_TIMEOUT_US = 60_000_000
DEFAULT_CONNECT_TIMEOUT_US = 1_000_000
DEFAULT_DESCRIPTORS = 1024  # the usual limit of open files per process
DEFAULT_MEMORY_MB = 192
BYTES_PER_MB = 2**20
MAX_DESCRIPTOR_DIGITS = 6

# Keys for which an environment variable (LB_NAME and so on) takes precedence over the file.
ENVIRONMENT_KEYS = ("name", "listen", "discovery", "admin_addr")


class ProcessConfiguration:
    """The complete configuration of a proxy on sockets, validated before the first socket is opened.

    :raises ConfigurationError: a value is invalid; the message names its key or variable.
    """

    FIXED_KEYS = ("name", "listen", "admin_addr", "limits", "peer_listen")  # take effect only at a start

    def __init__(
        self,
        file: ConfigurationFile,
        environ: Mapping[str, str] | None = None,
        stated: frozenset[str] = frozenset(),
    ) -> None:
        """Build the configuration from a decoded file.

        :param stated: the top-level keys that the file itself has.
        """
        environ = environ or {}
        self.file = file
        self.stated = stated
        self.inherited_descriptor = parse_descriptor(
            environ.get("LB_FD")
        )  # a socket that listens at `listen`
        self.restart_folder = environ.get("TMPDIR")  # directory shared by both processes of a hot restart
        self.name = file.name or "proxy"
        self.listen = parse_address(file.listen, "listen")
        self.discovery = parse_address(file.discovery, "discovery")
        self.admin = parse_address(file.admin_addr, "admin_addr") if file.admin_addr else None
        self.peer_listen = parse_address(file.peer_listen, "peer_listen") if file.peer_listen else None
        self.peers = [parse_address(text, f"peers[{index}]") for index, text in enumerate(file.peers or [])]
        self.seed = parse_seed(file.seed)
        self.known_endpoints = file.known
        limits = file.limits or MachineLimits()
        self.descriptors = limits.sockets or DEFAULT_DESCRIPTORS
        self.memory_bytes = int((limits.memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB)
        self.settings = InstanceConfiguration(self.seed, file.settings)
        self.idle_timeout_us = self.settings.idle_timeout or DEFAULT_IDLE_TIMEOUT_US
        self.connect_timeout_us = self.settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT_US

    def changed_fixed_keys(self, other: ProcessConfiguration) -> list[str]:
        """Return the keys of FIXED_KEYS whose values differ between the two configurations."""
        return [key for key in self.FIXED_KEYS if getattr(self.file, key) != getattr(other.file, key)]

    def warnings(self) -> list[str]:
        """Return one line for each value that is valid but probably a mistake; the line names its key."""
        lines = []
        settings = self.settings
        clock_margin = settings.balancer.parameters.clock_margin
        for index, request_class in enumerate(settings.request_classes.values()):
            window, key = request_class.dedup_window, f"settings.methods[{index}].window"
            if request_class.idempotency is not Idempotency.KEYED:
                continue
            if window <= clock_margin:
                lines.append(f"`{key}`: {window} us; no request of {request_class.name} is ever sent again")
            elif window <= self.connect_timeout_us:
                lines.append(f"`{key}`: {window} us, no longer than `settings.limits.connect_timeout`")
        return lines


def parse_descriptor(text: str | None) -> int | None:
    """Return the number of the inherited descriptor given by LB_FD, or None if there is none.

    :raises ConfigurationError: the text is not the number of a descriptor.
    """
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DESCRIPTOR_DIGITS):
        raise ConfigurationError(f"`LB_FD`: wanted the number of a descriptor, got {text!r}")
    return int(text)


def parse_seed(seed: str | int | None) -> int:
    """Return the seed of the random number generators; a text is read as a hexadecimal number.

    :raises ConfigurationError: the text is not a hexadecimal number.
    """
    try:
        return int(seed, 16) if isinstance(seed, str) else seed or 0
    except ValueError:
        raise ConfigurationError(f"`seed`: wanted a hexadecimal number, got {seed!r}") from None


def load(environ: Mapping[str, str], running: ProcessConfiguration | None = None) -> ProcessConfiguration:
    """Read the file named by LB_CONFIG; the other LB_ variables take precedence over its keys.

    If `running` is given, the file is being reloaded.  In that case its `discovery` takes precedence over
    LB_DISCOVERY, because only the file can have changed since the start.

    :raises ConfigurationError: the message names the key or the variable at fault; `running` is unchanged.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigurationError("`LB_CONFIG`: not set; it names the configuration's file")
    values = read_json(path)
    stated: frozenset[str] = frozenset()
    if isinstance(values, dict):
        stated = frozenset(key for key in values if values[key] is not None)
        apply_environment(values, environ, reloading=running is not None)
    file = convert(values, ConfigurationFile)
    check_settings(file.settings)
    if running:
        for key in sorted(
            running.stated & {*ConfigurationFile.__struct_fields__} - stated - {*START_ONLY_KEYS}
        ):
            raise ConfigurationError(f"`{key}`: missing; the running configuration has it")
        check_reload(running.file, file)
    return ProcessConfiguration(file, environ, stated)


def read_json(path: str) -> Any:
    """Return the decoded content of a JSON file.

    :raises ConfigurationError: the file can't be read or is not JSON; the message names LB_CONFIG.
    """
    try:
        return msgspec.json.decode(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError(f"`LB_CONFIG`: {error.strerror}: {path}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"`LB_CONFIG`: not JSON: {error}") from None


def apply_environment(values: dict[str, Any], environ: Mapping[str, str], reloading: bool) -> None:
    """Override keys of the file with the values of the LB_ variables.

    :param reloading: whether the file is being reloaded; its `discovery` then overrides LB_DISCOVERY.
    """
    for key in ENVIRONMENT_KEYS:
        from_environment, from_file = environ.get(f"LB_{key.upper()}"), values.get(key)
        if reloading and key == "discovery":
            values[key] = from_file or from_environment
        else:
            values[key] = from_environment or from_file
