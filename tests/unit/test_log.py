"""Unit tests of the log event for an unhandled exception."""

import builtins
import errno
import json
import linecache
import os
import tokenize
from collections.abc import Iterator

import pytest

from petrellane.net.log import Logger


class LoggedLines:
    """A logger that writes to a pipe, and the reader of the pipe."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        self.logger = Logger(self.writer, "gateway", lambda: 0.0, 9)

    def event(self) -> dict[str, object]:
        """Return the only event in the pipe."""
        event: dict[str, object] = json.loads(os.read(self.reader, 1 << 16))
        return event


@pytest.fixture
def lines() -> Iterator[LoggedLines]:
    logged = LoggedLines()
    yield logged
    os.close(logged.reader)
    os.close(logged.writer)


def raised_error() -> Exception:
    leases: dict[str, float] = {}
    with pytest.raises(KeyError) as caught:
        leases["lease"]
    return caught.value


def test_fault_has_the_end_of_its_traceback(lines: LoggedLines) -> None:
    lines.logger.fault(raised_error())
    event = lines.event()
    assert (event["event"], event["error"]) == ("fault", "KeyError: 'lease'")
    trace = str(event["trace"])
    assert "in raised_error\n" in trace
    assert trace.endswith("KeyError: 'lease'\n")


def test_fault_is_logged_where_no_descriptor_is_left(
    lines: LoggedLines, monkeypatch: pytest.MonkeyPatch
) -> None:
    def open_without_descriptors(*_arguments: object, **_named: object) -> None:
        raise OSError(errno.EMFILE, "Too many open files")

    error = raised_error()
    linecache.clearcache()  # formatting the traceback then has to read the source files
    monkeypatch.setattr(builtins, "open", open_without_descriptors)
    monkeypatch.setattr(tokenize, "open", open_without_descriptors)
    lines.logger.fault(error)
    event = lines.event()
    assert event["error"] == "KeyError: 'lease'"
    trace = str(event["trace"])
    assert "in raised_error\n" in trace
    assert trace.endswith("KeyError: 'lease'\n")
