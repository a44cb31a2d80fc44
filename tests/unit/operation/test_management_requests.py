"""Tests of the parsing of management requests, and of the status for each malformed request."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from petrellane.operation import management_requests


def verdict(head: bytes) -> tuple[bytes | None, int]:
    """Return the path of a request and 0, or None and the status of the rejection."""
    try:
        return management_requests.parse_path(head), 0
    except management_requests.RequestError as error:
        return None, error.status


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"GET /-/ready HTTP/1.1\r\nHost: x", 0),
        (b"GET /-/ready?a HTTP/1.0", 0),
        (b"POST /-/ready HTTP/1.1", 405),
        (b"GET /-/drain HTTP/1.1", 405),
        (b"GET / HTTP/1.1", 404),
        (b"GET /-/ready", 400),
        (b"GET /-/ready RESP/2", 400),
        (b"", 400),
        (b"GET /-/ready HTTP/1.1\r\nno colon", 400),
        (b"*1\r\n$4\r\nPING", 400),
    ],
)
def test_status_of_a_request(head: bytes, status: int) -> None:
    """The parser returns the path of a valid request, and the expected status for another."""
    path, refused_with = verdict(head)
    assert (bool(path), refused_with) == (not status, status)


@given(st.binary(max_size=200))
def test_any_bytes_have_a_verdict(head: bytes) -> None:
    """Any input is parsed as a known path or rejected with a status that has a reason phrase."""
    path, status = verdict(head)
    if path:
        assert path in management_requests.METHODS
    else:
        assert status in management_requests.REASONS
