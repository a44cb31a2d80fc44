"""Client of gateways and control processes: one signed request over HTTP/1.1, a connection a call.

A call ends by its timeout. What an answer means, and whether a call is repeated, is the caller's
business.
"""

from dataclasses import dataclass

from petrellane.config_consensus.errors import ConsensusError
from petrellane.config_consensus.message_authentication import (
    SIGNATURE_FIELD,
    AuthenticationError,
    SignedMessage,
    sign_request,
    verify_response,
)
from petrellane.config_consensus.messages import JsonObject
from petrellane.net import http
from petrellane.net.limits import Limits
from petrellane.net.resp import Malformed
from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Address, Closed, Stream

SHOWN_BYTES = 100  # of an answer that is not authentic


IDLE_TIMEOUT_S = 1.0  # of connections; there are none between two calls
STREAMS_PER_CONNECTION = 1


def call_limits(descriptors: int, timeout_s: float) -> Limits:
    """Return the bounds of the network code of a process that makes calls and serves no RPCs."""
    return Limits(
        sockets=descriptors,
        dial_timeout=timeout_s,
        endpoint_idle_timeout=IDLE_TIMEOUT_S,
        attempts_per_connection=STREAMS_PER_CONNECTION,
        counter_timeout=timeout_s,
    )


class RpcError(ConsensusError):
    """A call without an answer that can be used; the text is one line.

    Attributes:
        address: whom the call went to.
    """

    def __init__(self, address: Address, reason: str) -> None:
        super().__init__(reason)
        self.address = address


class NotListeningError(RpcError):
    """The peer's machine refused the connection: no process listens there."""


class NoAnswerError(RpcError):
    """No answer that can be read; whether the request arrived is not known."""


class UnauthenticatedAnswerError(NoAnswerError):
    """The process that answers there does not hold our key, or is not the one that was called."""


@dataclass(frozen=True)
class RpcClient:
    """Makes calls from greenlets of one scheduler; it holds no connection between two calls."""

    scheduler: Scheduler
    limits: Limits
    key: bytes

    def call(
        self, address: Address, path: bytes, message: JsonObject, timeout_s: float
    ) -> JsonObject:
        """Send a message and wait for the answer to it.

        Args:
            address: The peer's IP address and port.
            path: The path of the HTTP request.
            message: The message; its key `to` names the recipient.
            timeout_s: Seconds that connecting may take, and that the whole call may take.

        Raises:
            NotListeningError: Nobody listens at the address.
            NoAnswerError: No authentic answer came in time.
        """
        deadline = self.scheduler.now() + timeout_s
        stream = self._connect(address, timeout_s)
        try:
            request = sign_request(self.key, message)
            stream.write(_encode_request(address, path, request))
            return self._read_answer(stream, request.signature, deadline)
        except AuthenticationError as error:
            raise UnauthenticatedAnswerError(address, str(error)) from None
        except (OSError, Closed, Malformed, ValueError) as error:
            raise NoAnswerError(address, str(error) or type(error).__name__) from None
        finally:
            stream.close()

    def _connect(self, address: Address, timeout_s: float) -> Stream:
        try:
            return Stream.dial(self.scheduler, self.limits, address, timeout_s)
        except ConnectionRefusedError as error:
            raise NotListeningError(address, str(error)) from None
        except OSError as error:
            raise NoAnswerError(address, f"no connection: {error}") from None

    def _read_answer(self, stream: Stream, request_signature: bytes, deadline: float) -> JsonObject:
        while not (response := http.parse_response_head(stream.buffer, self.limits)):
            http.read_more(stream, deadline)
        status, fields, head_length = response
        del stream.buffer[:head_length]
        body = http.read_body(stream, fields, self.limits, deadline)
        if SIGNATURE_FIELD not in fields:
            shown = body[:SHOWN_BYTES].decode("latin-1").strip()
            raise AuthenticationError(f"status {status} without a seal: {shown}")
        return verify_response(self.key, request_signature, fields[SIGNATURE_FIELD], body)


def _encode_request(address: Address, path: bytes, request: SignedMessage) -> bytes:
    host, port = address
    fields = {SIGNATURE_FIELD.decode(): request.signature.decode()}
    return http.encode_post(path.decode(), f"{host}:{port}", fields, request.body)
