"""Client for calls to gateways and control processes.

A call sends one signed request over HTTP/1.1, on a new connection, and has a timeout. The
client does not retry calls and does not interpret the answers.
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

MAX_SHOWN_BYTES = 100  # maximum bytes of an unsigned answer that an error text quotes
IDLE_TIMEOUT_S = 1.0  # required by `Limits`; no connection stays open after its call
ATTEMPTS_PER_CONNECTION = 1


def call_limits(descriptors: int, timeout_s: float) -> Limits:
    """Return the limits of the network code for a process that makes calls and serves no RPCs.

    Args:
        descriptors: The maximum number of open file descriptors.
        timeout_s: The timeout of calls, in seconds.
    """
    return Limits(
        sockets=descriptors,
        dial_timeout=timeout_s,
        endpoint_idle_timeout=IDLE_TIMEOUT_S,
        attempts_per_connection=ATTEMPTS_PER_CONNECTION,
        counter_timeout=timeout_s,
    )


class RpcError(ConsensusError):
    """A call failed; the text gives the reason in one line.

    Attributes:
        address: The address of the peer.
    """

    def __init__(self, address: Address, reason: str) -> None:
        super().__init__(reason)
        self.address = address


class NotListeningError(RpcError):
    """The peer's host refused the connection, because no process listens at the address."""


class NoAnswerError(RpcError):
    """No usable answer arrived; it is not known whether the peer received the request."""


class UnauthenticatedAnswerError(NoAnswerError):
    """The answer has no valid signature for the request.

    The process at the address has another key, or is not the one that the call is for.
    """


@dataclass(frozen=True)
class RpcClient:
    """Makes calls from greenlets of one scheduler; it keeps no connections between calls."""

    scheduler: Scheduler
    limits: Limits
    key: bytes

    def call(
        self, address: Address, path: bytes, message: JsonObject, timeout_s: float
    ) -> JsonObject:
        """Send a message and return the answer; the calling greenlet waits for it.

        Args:
            address: The peer's IP address and port.
            path: The path of the HTTP request.
            message: The message, whose key `to` names the recipient.
            timeout_s: The timeout in seconds, for connecting and for the whole call.

        Raises:
            NotListeningError: No process listens at the address.
            NoAnswerError: No authentic answer arrived before the timeout.
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
        stream.buffer.consume(head_length)
        body = http.read_body(stream, fields, self.limits, deadline)
        if SIGNATURE_FIELD not in fields:
            shown = body[:MAX_SHOWN_BYTES].decode("latin-1").strip()
            raise AuthenticationError(
                f"expected the header field {SIGNATURE_FIELD.decode()}, found status {status} "
                f"without it: {shown}"
            )
        return verify_response(self.key, request_signature, fields[SIGNATURE_FIELD], body)


def _encode_request(address: Address, path: bytes, request: SignedMessage) -> bytes:
    host, port = address
    fields = {SIGNATURE_FIELD.decode(): request.signature.decode()}
    return http.encode_post(path.decode(), f"{host}:{port}", fields, request.body)
