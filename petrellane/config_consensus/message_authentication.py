"""Authentication of messages between gateways, control processes and staff's commands.

All of them hold one shared key. A signature is an HMAC-SHA256 (RFC 2104) in hexadecimal, which a
header field carries. The signature of a request covers its body, which names the recipient, the
time and a nonce. The signature of a response also covers the signature of the request, so that it
is not valid as a response to another request.

This module does not detect replays. A participant may handle a request twice, because requests to
it are idempotent; a control process accepts each call of staff once.
"""

import hashlib
import hmac
import secrets
import time
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import NamedTuple

import orjson

from petrellane.config_consensus.errors import ConsensusError, shorten
from petrellane.config_consensus.messages import JsonObject
from petrellane.operation.management_requests import HttpResponse

PARTICIPANT_PATH = b"/-/agreement"  # calls to a participant, on a gateway's management listener
STAFF_PATH = b"/-/settings"  # calls of staff, on a control process's listener
SIGNATURE_FIELD = b"petrellane-seal"  # header field, in lower case as parsers return it
REASON_FIELD = "Petrellane-Why"  # header field that says why a request is not authentic
NONCE_BYTES = 8

# The signed data starts with one of these, so that the signature of a request is not valid for a
# response, and vice versa.
REQUEST_CONTEXT = b"question"
RESPONSE_CONTEXT = b"answer"


class AuthenticationError(ConsensusError):
    """The message was not sent by a holder of the key, or has another recipient."""


class SignedMessage(NamedTuple):
    """The JSON body of a message and its signature, as they are sent."""

    body: bytes
    signature: bytes


class CallResult(NamedTuple):
    """The HTTP status and the unsigned message with which a handler answers a call."""

    status: int
    message: JsonObject


def compute_signature(key: bytes, *parts: bytes) -> bytes:
    """Return the signature of some parts.

    The signed data contains the length of each part, so that different lists of parts never have
    the same data.
    """
    signed_bytes = b"".join(b"%d:%b" % (len(part), part) for part in parts)
    return hmac.new(key, signed_bytes, hashlib.sha256).hexdigest().encode()


def sign_request(key: bytes, message: JsonObject) -> SignedMessage:
    """Encode and sign a request, whose key `to` names the recipient."""
    body = orjson.dumps(
        message | {"nonce": secrets.token_hex(NONCE_BYTES), "at": time.time()},
    )
    return SignedMessage(body, compute_signature(key, REQUEST_CONTEXT, body))


def verify_request(key: bytes, recipient: str, signature: bytes, body: bytes) -> JsonObject:
    """Return the message of a request after checking its signature and its recipient.

    Args:
        key: The shared key.
        recipient: The name of this process as a recipient of requests.
        signature: The signature of the request.
        body: The body of the request.

    Raises:
        AuthenticationError: The signature is not valid, or the request has another recipient.
        ValueError: The body is not a JSON object.
    """
    _verify_signature(compute_signature(key, REQUEST_CONTEXT, body), signature)
    message = _decode_object(body)
    if message.get("to") != recipient:
        found = shorten(message.get("to"))
        raise AuthenticationError(f"to: expected {recipient}, found {found}")
    return message


def sign_response(key: bytes, request_signature: bytes, message: JsonObject) -> SignedMessage:
    """Encode and sign a response to the request with this signature."""
    body = orjson.dumps(message)
    return SignedMessage(body, compute_signature(key, RESPONSE_CONTEXT, request_signature, body))


def verify_response(
    key: bytes, request_signature: bytes, signature: bytes, body: bytes
) -> JsonObject:
    """Return the message of a response after checking its signature.

    Args:
        key: The shared key.
        request_signature: The signature of the request that the response answers.
        signature: The signature of the response.
        body: The body of the response.

    Raises:
        AuthenticationError: The signature is not valid for a response to this request.
        ValueError: The body is not a JSON object.
    """
    expected = compute_signature(key, RESPONSE_CONTEXT, request_signature, body)
    _verify_signature(expected, signature)
    return _decode_object(body)


def answer_signed_request(
    key: bytes,
    recipient: str,
    handler: Callable[[JsonObject], CallResult],
    fields: Mapping[bytes, bytes],
    body: bytes,
) -> HttpResponse:
    """Verify a request, call its handler and sign the handler's answer.

    Args:
        key: The shared key.
        recipient: The name of this process as a recipient of requests.
        handler: A function that answers the message. It may raise AuthenticationError, for example
            for a replay, and ValueError for a message that it cannot parse.
        fields: The request's header fields, with names in lower case.
        body: The request's body.

    Returns:
        The signed answer with the handler's status; an unsigned answer with status 401 for an
        AuthenticationError, or 400 for a ValueError.
    """
    request_signature = fields.get(SIGNATURE_FIELD, b"")
    try:
        status, message = handler(verify_request(key, recipient, request_signature, body))
    except AuthenticationError as error:
        return HttpResponse(
            HTTPStatus.UNAUTHORIZED, b'{"refused":"seal"}', {REASON_FIELD: str(error)}
        )
    except ValueError:
        return HttpResponse(HTTPStatus.BAD_REQUEST, b'{"refused":"form"}', {})
    response = sign_response(key, request_signature, message)
    return HttpResponse(
        status, response.body, {SIGNATURE_FIELD.decode(): response.signature.decode()}
    )


def _verify_signature(expected: bytes, found: bytes) -> None:
    if not hmac.compare_digest(expected, found or b""):
        raise AuthenticationError("seal: expected one under the shared key")


def _decode_object(body: bytes) -> JsonObject:
    message = orjson.loads(body)
    if not isinstance(message, dict):
        raise ValueError(  # noqa: TRY004 - malformed input, like invalid JSON
            f"expected a JSON object, found {shorten(message)}"
        )
    return message
