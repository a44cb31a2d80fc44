"""Signatures of requests and responses: only a holder of the key makes them."""

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
QUESTION = {"do": "state", "to": "g0"}


@pytest.fixture
def request_to_g0() -> SignedMessage:
    """Return a signed request."""
    return sign_request(KEY, QUESTION)


def test_a_holder_of_the_key_is_understood(request_to_g0: SignedMessage) -> None:
    """The signature of a request is accepted by its recipient."""
    message = verify_request(KEY, "g0", request_to_g0.signature, request_to_g0.body)
    assert message["do"] == "state"


@pytest.mark.parametrize(
    ("key", "recipient"), [(OTHER_KEY, "g0"), (KEY, "g1")], ids=["other-key", "other-recipient"]
)
def test_a_request_of_another_key_or_for_another_recipient(
    request_to_g0: SignedMessage, key: bytes, recipient: str
) -> None:
    """Neither is authentic."""
    with pytest.raises(AuthenticationError):
        verify_request(key, recipient, request_to_g0.signature, request_to_g0.body)


def test_a_request_without_a_signature(request_to_g0: SignedMessage) -> None:
    """It is not authentic."""
    with pytest.raises(AuthenticationError):
        verify_request(KEY, "g0", b"", request_to_g0.body)


def test_a_request_whose_body_was_changed(request_to_g0: SignedMessage) -> None:
    """A space in the body is enough for its signature not to fit."""
    changed = request_to_g0.body[:-1] + b" }"
    with pytest.raises(AuthenticationError):
        verify_request(KEY, "g0", request_to_g0.signature, changed)


def test_a_response_belongs_to_its_request(request_to_g0: SignedMessage) -> None:
    """The response to an equal request, sent apart, is not authentic."""
    response = sign_response(KEY, request_to_g0.signature, {"a": 1})
    message = verify_response(KEY, request_to_g0.signature, response.signature, response.body)
    assert message == {"a": 1}
    other_request = sign_request(KEY, QUESTION)
    with pytest.raises(AuthenticationError):
        verify_response(KEY, other_request.signature, response.signature, response.body)
