"""Asks one gateway or control process one thing, over HTTP/1.1, a call a connection."""

import orjson

from petrellane.config_consensus import message_authentication
from petrellane.net import http
from petrellane.net.resp import Malformed
from petrellane.net.stream import Closed, Stream


class Nobody(Exception):
    """The machine refused the connection: nobody listens there."""


class Silent(Exception):
    """No answer that can be read; whether the question arrived is not known."""


class Impostor(Silent):
    """Who answers there doesn't have our key, or is somebody else."""


def ask(scheduler, limits, key, address, path, message, patience):
    """The answer to a message, within so many seconds. Raises Nobody or Silent."""
    until, body_seal = scheduler.now() + patience, None
    try:
        stream = Stream.dial(scheduler, limits, address, patience)
    except ConnectionRefusedError as error:
        raise Nobody(str(error)) from None
    except OSError as error:
        raise Silent(f"no connection: {error}") from None
    try:
        body, body_seal = message_authentication.question(key, message)
        stream.write(
            http.post(
                path.decode(),
                "%s:%d" % address,
                {message_authentication.FIELD.decode(): body_seal.decode()},
                body,
            )
        )
        while not (found := http.head(stream.buffer, limits)):
            http.more(stream, until)
        status, fields, end = found
        del stream.buffer[:end]
        told = http.body(stream, fields, limits, until)
        if message_authentication.FIELD not in fields:
            raise Impostor(
                f"status {status} without a seal: {told[:100].decode('latin-1').strip()}"
            )
        return message_authentication.answered(
            key, body_seal, fields.get(message_authentication.FIELD), told
        )
    except message_authentication.Unsealed as error:
        raise Impostor(str(error)) from None
    except (OSError, Closed, Malformed, ValueError, orjson.JSONDecodeError) as error:
        raise Silent(str(error) or type(error).__name__) from None
    finally:
        stream.close()
