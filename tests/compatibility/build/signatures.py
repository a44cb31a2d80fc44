"""Signed messages between gateways, control processes and staff's commands."""

from typing import Any

from petrellane.config_consensus import message_authentication
from petrellane.net import http

Json = Any


def seal_question(key: bytes, message: Json) -> tuple[bytes, bytes]:
    """A question's body and seal."""
    return message_authentication.sign_request(key, message)


def understand_question(key: bytes, name: str, sealed: bytes, body: bytes) -> Json:
    """The message of a sealed question to us, or the kind of its refusal as text."""
    try:
        return message_authentication.verify_request(key, name, sealed, body)
    except message_authentication.AuthenticationError:
        return "unsealed"
    except ValueError:
        return "out of form"


def seal_answer(key: bytes, asked: bytes, told: Json) -> tuple[bytes, bytes]:
    """An answer's body and seal, to the question of that seal."""
    return message_authentication.sign_response(key, asked, told)


def understand_answer(key: bytes, asked: bytes, sealed: bytes, body: bytes) -> Json:
    """What was answered to a question, or the kind of its refusal as text."""
    try:
        return message_authentication.verify_response(key, asked, sealed, body)
    except message_authentication.AuthenticationError:
        return "unsealed"
    except ValueError:
        return "out of form"


def sealed_call(path: str, host: str, sealed: bytes, body: bytes) -> bytes:
    """The bytes of a sealed question over HTTP."""
    field = message_authentication.SIGNATURE_FIELD.decode()
    return http.post(path, host, {field: sealed.decode()}, body)


def agreement_paths() -> list[str]:
    """Where participants and control processes are asked."""
    paths = (message_authentication.PARTICIPANT_PATH, message_authentication.STAFF_PATH)
    return [path.decode() for path in paths]
