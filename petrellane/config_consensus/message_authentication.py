"""Who says it: messages between gateways and control processes carry a seal under a key that all of them hold.

A seal is HMAC-SHA256 (RFC 2104) in hex. That of a question covers its body, which says whom it is for, when it was asked,
and a nonce; that of an answer covers the question's seal, so that an answer to one can't be passed off as one to another. A
question to a gateway that is said again has the same result; a control process takes one of staff once.
"""

import hashlib
import hmac
import secrets
import time

import orjson

PATH = b"/-/agreement"
STAFF = b"/-/settings"
FIELD = b"petrellane-seal"
LEAST = 16  # bytes of a key


class Unsealed(Exception):
    """Bytes that nobody with our key has said, or that were said to somebody else."""


def sealed(key, *parts):
    """The seal of some parts, each counted with its length."""
    return (
        hmac.new(key, b"".join(b"%d:%b" % (len(part), part) for part in parts), hashlib.sha256)
        .hexdigest()
        .encode()
    )


def question(key, message):
    """A message's body and seal; its `to` says whom it is for."""
    body = orjson.dumps(message | {"nonce": secrets.token_hex(8), "at": time.time()})
    return body, sealed(key, b"question", body)


def understood(key, name, seal, body):
    """A question that somebody with the key asked of us, by the name that we go by. Raises Unsealed, or ValueError where
    it is out of form."""
    if not hmac.compare_digest(sealed(key, b"question", body), seal or b""):
        raise Unsealed("seal: expected one under the shared key")
    message = orjson.loads(body)
    if not isinstance(message, dict):
        raise ValueError("expected an object")
    if message.get("to") != name:
        raise Unsealed(f"to: expected {name}, found {str(message.get('to'))[:40]}")
    return message


def answer(key, seal, told):
    """An answer's body and seal, to the question of that seal."""
    body = orjson.dumps(told)
    return body, sealed(key, b"answer", seal, body)


def answered(key, asked, seal, body):
    """What was answered to the question of the seal `asked`. Raises Unsealed or ValueError."""
    if not hmac.compare_digest(sealed(key, b"answer", asked, body), seal or b""):
        raise Unsealed("seal: expected one under the shared key")
    told = orjson.loads(body)
    if not isinstance(told, dict):
        raise ValueError("expected an object")
    return told


def served(key, name, obey, fields, body):
    """A call under the key: what `obey` answers to the message (a status and what is told), sealed; the status, body and
    fields of the whole. `obey` may raise Unsealed as well."""
    asked = fields.get(FIELD, b"")
    try:
        status, told = obey(understood(key, name, asked, body))
    except Unsealed as error:
        return 401, b'{"refused":"seal"}', {"Petrellane-Why": str(error)}
    except ValueError:
        return 400, b'{"refused":"form"}', {}
    body, own = answer(key, asked, told)
    return status, body, {FIELD.decode(): own.decode()}
