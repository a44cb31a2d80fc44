"""What may change while a gateway serves, and what stays of the settings when they change.

Rules free of I/O: they compare what is in force with what shall follow it.
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
    """Refuse an object that lacks a key of the one in force.

    A file that was cut short and closed again would read as one that leaves things at their
    defaults. Elements of a list may come and go.

    Raises:
        ConfigError: A key is missing; the first such key.
    """
    for key, value in current.items():
        key_path = f"{path}.{key}".lstrip(".")
        if value is not None and new.get(key) is None:
            raise ConfigError.missing(key_path, "it as in the file in force")
        if isinstance(value, dict) and isinstance(new[key], dict):
            check_no_key_removed(value, new[key], key_path)


def reload_settings(current: Settings, new: Settings) -> Settings:
    """The new settings, with the objects of the current ones where nothing changed.

    A method that changed keeps its identity, under which the decisions know what they learned
    about it.

    Raises:
        ConfigError: Something differs that is fixed from the start to the end of a process.
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
        raise ConfigError(f"settings.{key}", "what it was at the start", "another")


def _reuse(current: RowT | None, new: RowT) -> RowT:
    """The current object where it equals the new one, which has the same name."""
    if current is None:
        return new
    compared_fields = _COMPARED_FIELDS[type(new)]
    return current if compared_fields(current) == compared_fields(new) else new


def _reuse_method(current: Method | None, new: Method) -> Method:
    """The same for a method, which keeps its identity where it changed."""
    method = _reuse(current, new)
    if current is None or method is current:
        return method
    return replace(method, identity=current.identity)
