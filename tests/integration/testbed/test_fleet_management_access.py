"""Who calls a gateway or the control process without a valid signature changes nothing."""

import time
from collections.abc import Iterator

import pytest

from petrellane.config_consensus import message_authentication
from petrellane.testbed.fleet import LoopbackFleet
from tests.integration.testbed.fleets import CONTROL, running_fleet
from tests.integration.testbed.management_calls import response_status

PROMISE = b'{"do":"promise","epoch_of":[9,"x"],"to":"g0"}'
WRONG_SIGNATURE = b"0" * 64


@pytest.fixture(scope="module")
def fleet() -> Iterator[LoopbackFleet]:
    """One gateway and a control process, which these tests leave as they are."""
    with running_fleet(1) as fleet:
        yield fleet


def signed_post(path: bytes, body: bytes, signature: bytes) -> bytes:
    """Return a request with a signature in its header."""
    head = b"POST %b HTTP/1.1\r\nContent-Length: %d\r\nPetrellane-Seal: %b\r\n\r\n"
    return head % (path, len(body), signature) + body


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        pytest.param(
            signed_post(b"/-/agreement", PROMISE, WRONG_SIGNATURE), 401, id="wrong-signature"
        ),
        pytest.param(signed_post(b"/-/agreement", b"{", b""), 401, id="empty-signature"),
        pytest.param(b"POST /-/agreement HTTP/1.1\r\n\r\n", 411, id="no-length"),
        pytest.param(
            b"POST /-/agreement HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n", 413, id="too-long"
        ),
        pytest.param(b"GET /-/agreement HTTP/1.1\r\n\r\n", 405, id="wrong-method"),
    ],
)
def test_a_gateway_rejects_who_has_no_key(
    fleet: LoopbackFleet, request_bytes: bytes, status: int
) -> None:
    port = fleet.gateways[0].management_port
    assert response_status(fleet, port, request_bytes) == status
    gateways = fleet.controls[CONTROL].ask("status")["gateways"]
    assert gateways["g0"]["state"] == "in force"


@pytest.mark.parametrize(
    ("age_s", "statuses"),
    [pytest.param(0.0, [200, 401], id="new"), pytest.param(100.0, [401, 401], id="old")],
)
def test_a_call_of_staff_counts_once_and_while_it_is_new(
    fleet: LoopbackFleet, monkeypatch: pytest.MonkeyPatch, age_s: float, statuses: list[int]
) -> None:
    signed_at = time.time() - age_s
    with monkeypatch.context() as patch:
        patch.setattr(time, "time", lambda: signed_at)
        message = {"do": "history", "to": "control"}
        body, signature = message_authentication.sign_request(fleet.key, message)
    call = signed_post(b"/-/settings", body, signature)
    port = fleet.controls[CONTROL].port
    assert [response_status(fleet, port, call) for _ in statuses] == statuses
