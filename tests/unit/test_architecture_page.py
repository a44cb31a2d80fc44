"""The page of the architecture names modules, classes and functions that exist."""

import importlib
import pathlib
import re

import pytest

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "ARCHITECTURE.md"
NAME = re.compile(r"`(petrellane(?:\.\w+)+)`")


def names() -> list[str]:
    """Every dotted name of the program that the page gives in code style, once each."""
    return sorted(set(NAME.findall(PAGE.read_text())))


def resolve(name: str) -> object:
    """The module, class, function or method of a dotted name.

    Raises:
        ModuleNotFoundError: no leading part of the name is a module.
        AttributeError: a module or class does not have the next part.
    """
    parts = name.split(".")
    for count in range(len(parts), 0, -1):
        try:
            found: object = importlib.import_module(".".join(parts[:count]))
        except ModuleNotFoundError:
            continue
        for part in parts[count:]:
            found = getattr(found, part)
        return found
    raise ModuleNotFoundError(name)


def test_the_page_names_each_step() -> None:
    assert len(names()) >= 40


@pytest.mark.parametrize("name", names())
def test_what_the_page_names_exists(name: str) -> None:
    resolve(name)
