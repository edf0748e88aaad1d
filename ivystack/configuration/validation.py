"""Checks of a configuration beyond the types of its keys.

Each check raises ConfigurationError with a message of one line that names the key at fault.  The checks
change nothing.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from .errors import ConfigurationError
from .schema import ConfigurationFile, InstanceSettings, LimitSettings, RequestClassSettings

START_ONLY_KEYS = ("known", "seed")  # a reloaded file may omit these keys
TIME_KEYS = ("latency_budget", "give_up")
CONNECTION_TIME_KEYS = ("conn_idle", "connect_timeout")


def check_settings(settings: InstanceSettings) -> None:
    """Check that every request class states its idempotency and that no time is 0.

    Requests of a class without idempotency could not be retried safely, and a time of 0 would silently be
    replaced by a default.
    """
    check_connection_times(settings.limits)
    names: set[str] = set()
    for index, request_class in enumerate(settings.methods or []):
        key = f"settings.methods[{index}]"
        check_name(request_class, names, key)
        check_times(request_class, key)
        names.add(request_class.name)


def check_connection_times(limits: LimitSettings | None) -> None:
    """Check that the connection times, where given, are positive."""
    for name in CONNECTION_TIME_KEYS:
        if limits and getattr(limits, name) == 0:
            raise ConfigurationError(f"`settings.limits.{name}`: wanted a positive number, got 0")


def check_name(request_class: RequestClassSettings, names: set[str], key: str) -> None:
    """Check that the class has a unique name and states its idempotency."""
    if not request_class.name:
        raise ConfigurationError(f"`{key}.name`: wanted a name, got none")
    if request_class.name in names:
        raise ConfigurationError(f"`{key}.name`: {request_class.name!r} is named twice")
    if request_class.semantics is None:
        raise ConfigurationError(f"`{key}.semantics`: missing")


def check_times(request_class: RequestClassSettings, key: str) -> None:
    """Check that the class has a latency objective or a longest deadline, and that neither is 0."""
    for name in TIME_KEYS:
        if getattr(request_class, name) == 0:
            raise ConfigurationError(f"`{key}.{name}`: wanted a positive number, got 0")
    if not (request_class.latency_budget or request_class.give_up):
        raise ConfigurationError(f"`{key}.latency_budget`: missing, and `give_up` is too")


def check_reload(running: ConfigurationFile, new: ConfigurationFile) -> None:
    """Check that a reloaded file has every key of the running configuration.

    A missing key indicates that the file is damaged or only half written.
    """
    check_nothing_missing(running, new, "")
    old_classes = running.settings.methods or []
    # Only keys that all running classes have, because some keys, such as `window`, are optional per class.
    keys = RequestClassSettings.__struct_fields__ if old_classes else ()
    common_keys = [name for name in keys if all(getattr(old, name) is not None for old in old_classes)]
    for index, request_class in enumerate(new.settings.methods or []):
        key = f"settings.methods[{index}]"
        for name in common_keys:
            if getattr(request_class, name) is None:
                raise ConfigurationError(
                    f"`{key}.{name}`: missing; all classes of the running configuration have it"
                )


def check_nothing_missing(running: Any, new: Any, path: str) -> None:
    """Check recursively that every key of the running configuration is in the new one.

    :param path: path of the structs within the configuration.
    """
    for name in running.__struct_fields__:
        old_value, new_value, key = getattr(running, name), getattr(new, name), f"{path}.{name}".lstrip(".")
        if old_value is None or key in START_ONLY_KEYS:
            continue
        if new_value is None or (old_value and new_value == []):
            raise ConfigurationError(f"`{key}`: missing; the running configuration has it")
        if isinstance(old_value, Struct):
            check_nothing_missing(old_value, new_value, key)
