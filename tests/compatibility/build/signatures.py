"""Signed messages between gateways, control processes and staff's commands."""

from typing import Any

from petrellane.config_consensus import message_authentication
from petrellane.net import http

Json = Any


def sign_request(key: bytes, message: Json) -> tuple[bytes, bytes]:
    """A request's body and signature."""
    return message_authentication.sign_request(key, message)


def verify_request(key: bytes, name: str, signature: bytes, body: bytes) -> Json:
    """The message of a signed request to us, or the kind of its refusal as text."""
    try:
        return message_authentication.verify_request(key, name, signature, body)
    except message_authentication.AuthenticationError:
        return "unsealed"
    except ValueError:
        return "out of form"


def sign_response(key: bytes, request_signature: bytes, message: Json) -> tuple[bytes, bytes]:
    """A response's body and signature, to the request of that signature."""
    return message_authentication.sign_response(key, request_signature, message)


def verify_response(key: bytes, request_signature: bytes, signature: bytes, body: bytes) -> Json:
    """The message of a response, or the kind of its refusal as text."""
    try:
        return message_authentication.verify_response(key, request_signature, signature, body)
    except message_authentication.AuthenticationError:
        return "unsealed"
    except ValueError:
        return "out of form"


def signed_call(path: str, host: str, signature: bytes, body: bytes) -> bytes:
    """The bytes of a signed request over HTTP."""
    field = message_authentication.SIGNATURE_FIELD.decode()
    return http.encode_post(path, host, {field: signature.decode()}, body)


def consensus_paths() -> list[str]:
    """Where participants and control processes are asked."""
    paths = (message_authentication.PARTICIPANT_PATH, message_authentication.STAFF_PATH)
    return [path.decode() for path in paths]
