"""Rules for a reload: which values may change, and which objects the new settings reuse.

The rules perform no I/O. They compare the configuration in force with the new one.
"""

from dataclasses import fields, replace
from operator import attrgetter
from typing import TypeVar

from petrellane.config.section import ConfigError, JsonObject
from petrellane.config.settings import Settings
from petrellane.decisions.types import Method, Plan

RowT = TypeVar("RowT", Method, Plan)

_COMPARED_FIELDS = {
    kind: attrgetter(*(field.name for field in fields(kind) if field.name != "identity"))
    for kind in (Method, Plan)
}


def check_no_key_removed(current: JsonObject, new: JsonObject, path: str = "") -> None:
    """Reject an object that lacks a key of the object in force.

    Without this check, a file that was truncated and is still valid JSON would silently reset the
    missing keys to their defaults. List elements may be added and removed.

    Args:
        current: The object in force.
        new: The object that replaces it.
        path: The path of the object in the configuration; empty for the root.

    Raises:
        ConfigError: A key is missing; the error names the first one.
    """
    for key, value in current.items():
        key_path = f"{path}.{key}".lstrip(".")
        if value is not None and new.get(key) is None:
            raise ConfigError.missing(key_path, "a value, as in the configuration in force")
        if isinstance(value, dict) and isinstance(new[key], dict):
            check_no_key_removed(value, new[key], key_path)


def reload_settings(current: Settings, new: Settings) -> Settings:
    """Return the new settings, which reuse the objects of unchanged methods and plans.

    A changed method keeps its identity, because the load balancing stores its observations of a
    method under that identity.

    Raises:
        ConfigError: A value that is fixed for the lifetime of a process differs.
    """
    _check_unchanged("familyInfo.mayCount", current.uses_counter, new.uses_counter)
    _check_unchanged("discovery", current.must_watch, new.must_watch)
    methods = {
        name: _reuse_method(current.methods.get(name), method)
        for name, method in new.methods.items()
    }
    plans = {name: _reuse(current.plans.get(name), plan) for name, plan in new.plans.items()}
    identities = {method.identity for method in methods.values()}
    options = new.controller_options.copy()
    options["method_identities"] = identities
    return new._replace(methods=methods, plans=plans, controller_options=options)


def _check_unchanged(key: str, current: bool, new: bool) -> None:
    if current != new:
        raise ConfigError(
            f"settings.{key}", "the value that the process started with", "another value"
        )


def _reuse(current: RowT | None, new: RowT) -> RowT:
    """Return the current object if it equals the new one, else the new one."""
    if current is None:
        return new
    compared_fields = _COMPARED_FIELDS[type(new)]
    return current if compared_fields(current) == compared_fields(new) else new


def _reuse_method(current: Method | None, new: Method) -> Method:
    """Return the current method if it equals the new one, else the new one with its identity."""
    method = _reuse(current, new)
    if current is None or method is current:
        return method
    return replace(method, identity=current.identity)
