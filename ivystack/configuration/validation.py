"""Checks of a configuration beyond the types of its keys.

Each check raises ConfigurationError with one line that names the key at fault; nothing is changed.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from .errors import ConfigurationError
from .schema import ConfigurationFile, InstanceSettings, LimitSettings, RequestClassSettings

START_ONLY_KEYS = ("known", "seed")  # a file that is read again need not have them
TIME_KEYS = ("latency_budget", "give_up")
CONNECTION_TIME_KEYS = ("conn_idle", "connect_timeout")


def check_settings(settings: InstanceSettings) -> None:
    """Check that each request class says what may be done with its requests, and no time is 0.

    A class without its effect could not be retried safely, and for a time of 0 a default would stand in.
    """
    check_connection_times(settings.limits)
    names: set[str] = set()
    for place, request_class in enumerate(settings.methods or []):
        key = f"settings.methods[{place}]"
        check_name(request_class, names, key)
        check_times(request_class, key)
        names.add(request_class.name)


def check_connection_times(limits: LimitSettings | None) -> None:
    """Check that the stated connection times are positive."""
    for name in CONNECTION_TIME_KEYS:
        if limits and getattr(limits, name) == 0:
            raise ConfigurationError(f"`settings.limits.{name}`: wanted a positive number, got 0")


def check_name(request_class: RequestClassSettings, names: set[str], key: str) -> None:
    """Check that the class has a name of its own and states its effect."""
    if not request_class.name:
        raise ConfigurationError(f"`{key}.name`: wanted a name, got none")
    if request_class.name in names:
        raise ConfigurationError(f"`{key}.name`: {request_class.name!r} is named twice")
    if request_class.semantics is None:
        raise ConfigurationError(f"`{key}.semantics`: missing")


def check_times(request_class: RequestClassSettings, key: str) -> None:
    """Check that the class states a positive time."""
    for name in TIME_KEYS:
        if getattr(request_class, name) == 0:
            raise ConfigurationError(f"`{key}.{name}`: wanted a positive number, got 0")
    if not (request_class.latency_budget or request_class.give_up):
        raise ConfigurationError(f"`{key}.latency_budget`: missing, and `give_up` is too")


def check_reload(running: ConfigurationFile, new: ConfigurationFile) -> None:
    """Check that a file read again states all that the running one does: it may be broken or half written."""
    check_nothing_missing(running, new, "")
    old_classes = running.settings.methods or []
    # Only the keys that all classes state: a deduplication window is stated by some classes alone.
    keys = RequestClassSettings.__struct_fields__ if old_classes else ()
    stated = [name for name in keys if all(getattr(one, name) is not None for one in old_classes)]
    for place, request_class in enumerate(new.settings.methods or []):
        key = f"settings.methods[{place}]"
        for name in stated:
            if getattr(request_class, name) is None:
                raise ConfigurationError(
                    f"`{key}.{name}`: missing; all classes of the running configuration have it"
                )


def check_nothing_missing(running: Any, new: Any, path: str) -> None:
    """Check, struct by struct, that no key which the running configuration states is missing."""
    for name in running.__struct_fields__:
        before, now, key = getattr(running, name), getattr(new, name), f"{path}.{name}".lstrip(".")
        if before is None or key in START_ONLY_KEYS:
            continue
        if now is None or (before and now == []):
            raise ConfigurationError(f"`{key}`: missing; the running configuration has it")
        if isinstance(before, Struct):
            check_nothing_missing(before, now, key)
