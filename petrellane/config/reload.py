"""Rules for a reload: which values may change, and which objects the new settings reuse.

The rules perform no I/O. They compare the configuration in force with the new one.
"""

from dataclasses import fields, replace
from operator import attrgetter
from typing import TypeVar

from petrellane.config.section import ConfigError, JsonObject, abbreviate
from petrellane.config.settings import Settings
from petrellane.decisions.types import Method, Plan

ROW_NAME = "name"  # the key by which the rows of a list are told apart

RowT = TypeVar("RowT", Method, Plan)

_COMPARED_FIELDS = {
    kind: attrgetter(*(field.name for field in fields(kind) if field.name != "identity"))
    for kind in (Method, Plan)
}


def check_no_key_removed(current: JsonObject, new: JsonObject, path: str = "") -> None:
    """Reject an object that lacks a key of the object in force, at any depth.

    Without this check, a file that was truncated or edited by mistake and is still valid would
    silently reset the missing keys to their defaults. A key whose value is null counts as missing.
    The rows of a list may come, go and change places: a row is compared with the row in force that
    has the same name.

    Args:
        current: The object in force.
        new: The object that replaces it.
        path: The path of the object in the configuration; empty for the root.

    Raises:
        ConfigError: A key is missing; the error names the first one.
    """
    missing = _missing_key(current, new)
    if missing is not None:
        key_path = f"{path}.{missing}".lstrip(".")
        raise ConfigError.missing(key_path, "a value, as in the configuration in force")


def _missing_key(current: JsonObject, new: JsonObject) -> str | None:
    """Return the path of the first key that only the current object has, or None."""
    for key, value in current.items():
        if value is None:
            continue
        new_value = new.get(key)
        if new_value is None:
            return key
        missing = _missing_in_value(value, new_value)
        if missing is not None:
            return f"{key}{missing}"
    return None


def _missing_in_value(value: object, new_value: object) -> str | None:
    """Return the path of the first missing key within a value, as a suffix to the value's path."""
    if isinstance(value, dict):
        missing = _missing_key(value, new_value if isinstance(new_value, dict) else {})
        return None if missing is None else f".{missing}"
    if isinstance(value, list) and isinstance(new_value, list):
        return _missing_in_rows(value, new_value)
    return None


def _missing_in_rows(rows: list[object], new_rows: list[object]) -> str | None:
    """Return the path of the first missing key in a row that both lists have, as a suffix.

    Where a name stands more than once, its rows are compared in their order.
    """
    rows_by_name = _rows_by_name(rows)
    for name, named_rows in _rows_by_name(new_rows).items():
        for row, new_row in zip(rows_by_name.get(name, ()), named_rows, strict=False):
            missing = _missing_key(row, new_row)
            if missing is not None:
                row_label = abbreviate(name).strip('"')
                return f"[{row_label}].{missing}"
    return None


def _rows_by_name(rows: list[object]) -> dict[str, list[JsonObject]]:
    """Return the objects with a name, by their names, also those in nested lists."""
    by_name: dict[str, list[JsonObject]] = {}
    for row in rows:
        if isinstance(row, list):
            for name, nested_rows in _rows_by_name(row).items():
                by_name.setdefault(name, []).extend(nested_rows)
        elif isinstance(row, dict) and isinstance(row.get(ROW_NAME), str):
            by_name.setdefault(row[ROW_NAME], []).append(row)
    return by_name


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
