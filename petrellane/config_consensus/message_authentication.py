"""Authentication of messages between gateways, control processes and staff's commands.

All of them hold one shared key. A signature is HMAC-SHA256 (RFC 2104) in hexadecimal, carried in a
header field. That of a request covers its body, which names its recipient, the time and a nonce;
that of a response covers the request's signature too, so that a response to one request can't be
passed off as one to another.

Replays are the recipient's business: a participant's answers are idempotent, and a control process
accepts each call of staff once.
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

PARTICIPANT_PATH = b"/-/agreement"  # of a participant's calls, on a gateway's management listener
STAFF_PATH = b"/-/settings"  # of staff's calls, on a control process's listener
SIGNATURE_FIELD = b"petrellane-seal"  # header field, in lower case as parsers give it
REASON_FIELD = "Petrellane-Why"  # header field that says why a request is not authentic
NONCE_BYTES = 8

# What a signature is for is its first part, so that none of one kind passes for the other.
REQUEST_CONTEXT = b"question"
RESPONSE_CONTEXT = b"answer"


class AuthenticationError(ConsensusError):
    """Bytes that no holder of the key has sent, or that were sent to another recipient."""


class SignedMessage(NamedTuple):
    """A message as it is sent: its JSON body and the signature of it."""

    body: bytes
    signature: bytes


class CallResult(NamedTuple):
    """What a handler answers an authentic message with, before it is signed."""

    status: int
    message: JsonObject


def compute_signature(key: bytes, *parts: bytes) -> bytes:
    """Return the signature of some parts, each of which is counted in with its length."""
    signed_bytes = b"".join(b"%d:%b" % (len(part), part) for part in parts)
    return hmac.new(key, signed_bytes, hashlib.sha256).hexdigest().encode()


def sign_request(key: bytes, message: JsonObject) -> SignedMessage:
    """Encode and sign a request; its key `to` names the recipient."""
    body = orjson.dumps(
        message | {"nonce": secrets.token_hex(NONCE_BYTES), "at": time.time()},
    )
    return SignedMessage(body, compute_signature(key, REQUEST_CONTEXT, body))


def verify_request(key: bytes, recipient: str, signature: bytes, body: bytes) -> JsonObject:
    """Return the message of a request that a holder of the key sent to this recipient.

    Raises:
        AuthenticationError: The signature is another one, or the request is for somebody else.
        ValueError: The body is no JSON object.
    """
    _verify_signature(compute_signature(key, REQUEST_CONTEXT, body), signature)
    message = _decode_object(body)
    if message.get("to") != recipient:
        found = shorten(message.get("to"))
        raise AuthenticationError(f"to: expected {recipient}, found {found}")
    return message


def sign_response(key: bytes, request_signature: bytes, message: JsonObject) -> SignedMessage:
    """Encode and sign a response to the request that has this signature."""
    body = orjson.dumps(message)
    return SignedMessage(body, compute_signature(key, RESPONSE_CONTEXT, request_signature, body))


def verify_response(
    key: bytes, request_signature: bytes, signature: bytes, body: bytes
) -> JsonObject:
    """Return the message of a response to the request that has this signature.

    Raises:
        AuthenticationError: The signature is another one.
        ValueError: The body is no JSON object.
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
    """Verify a request, have it handled and sign the answer.

    Args:
        key: The shared key.
        recipient: The name that requests to this process carry.
        handler: Answers the message. It may raise AuthenticationError, for a replay for instance,
            and ValueError for a message that it can't parse.
        fields: The request's header fields, with names in lower case.
        body: The request's body.
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
        raise ValueError("expected an object")  # noqa: TRY004 - malformed input, as bad JSON is
    return message
