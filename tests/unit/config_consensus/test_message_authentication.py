"""Signatures of requests and responses, which only a holder of the key can create."""

import pytest

from petrellane.config_consensus.message_authentication import (
    AuthenticationError,
    SignedMessage,
    sign_request,
    sign_response,
    verify_request,
    verify_response,
)

KEY = b"k" * 16
OTHER_KEY = b"j" * 16
QUERY = {"do": "state", "to": "g0"}


@pytest.fixture
def request_to_g0() -> SignedMessage:
    """Return a signed request."""
    return sign_request(KEY, QUERY)


def test_a_holder_of_the_key_is_understood(request_to_g0: SignedMessage) -> None:
    """The recipient of a request accepts its signature."""
    message = verify_request(KEY, "g0", request_to_g0.signature, request_to_g0.body)
    assert message["do"] == "state"


@pytest.mark.parametrize(
    ("key", "recipient"), [(OTHER_KEY, "g0"), (KEY, "g1")], ids=["other-key", "other-recipient"]
)
def test_a_request_of_another_key_or_for_another_recipient(
    request_to_g0: SignedMessage, key: bytes, recipient: str
) -> None:
    """Verification fails with another key, and at another recipient."""
    with pytest.raises(AuthenticationError):
        verify_request(key, recipient, request_to_g0.signature, request_to_g0.body)


def test_a_request_without_a_signature(request_to_g0: SignedMessage) -> None:
    """Verification fails without a signature."""
    with pytest.raises(AuthenticationError):
        verify_request(KEY, "g0", b"", request_to_g0.body)


def test_a_request_whose_body_was_changed(request_to_g0: SignedMessage) -> None:
    """Verification fails even if the body differs from the signed one by a space only."""
    changed = request_to_g0.body[:-1] + b" }"
    with pytest.raises(AuthenticationError):
        verify_request(KEY, "g0", request_to_g0.signature, changed)


def test_a_response_belongs_to_its_request(request_to_g0: SignedMessage) -> None:
    """A response to one request fails verification for another request with the same body."""
    response = sign_response(KEY, request_to_g0.signature, {"a": 1})
    message = verify_response(KEY, request_to_g0.signature, response.signature, response.body)
    assert message == {"a": 1}
    other_request = sign_request(KEY, QUERY)
    with pytest.raises(AuthenticationError):
        verify_response(KEY, other_request.signature, response.signature, response.body)
