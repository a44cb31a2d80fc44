"""A client's request and its reply, which the client side and the endpoint side share.

The client side creates a `ClientRequest` from the bytes of a command and passes it on; the request
notifies it when the reply is ready. The endpoint side encodes the request again, with the remaining
time in place of the client's timeout. This module checks the syntax of the fields only;
`action_executor` checks them against the settings.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple, Protocol

from petrellane.net.buffers import MAX_HEAP_SIZE

if TYPE_CHECKING:
    from petrellane.decisions.types import Rpc
    from petrellane.gateway.response_relay import ResponseRelay
    from petrellane.net.buffers import HeldBytes, ReceiveBuffer

QUERY = b"SVC.QUERY"
SUBMIT = b"SVC.SUBMIT"
RPC_COMMANDS = frozenset({QUERY, SUBMIT})

# Names of the fields that the gateway reads. `TIMEOUT_PATTERN` contains that of the timeout, `d`.
METHOD_FIELD = "c"
PLAN_FIELD = "t"
CLIENT_RETRY_FIELD = "r"
IDEMPOTENCY_KEY_FIELD = "k"
FIRST_GATEWAY_FIELD = "first"
GATEWAY_COUNT_FIELD = "spread"
UNITS_FIELD = "units"
FLAG_SET = "1"
FIELD_PATTERNS = tuple(
    (name, b",%b=" % name.encode())
    for name in (
        METHOD_FIELD,
        PLAN_FIELD,
        CLIENT_RETRY_FIELD,
        IDEMPOTENCY_KEY_FIELD,
        FIRST_GATEWAY_FIELD,
        GATEWAY_COUNT_FIELD,
        UNITS_FIELD,
    )
)

TIMEOUT_PATTERN = re.compile(rb"(?:^|,)d=(\d+)(?=,|$)")
CUSTOMER_PATTERN = re.compile(rb"0{7}[01][0-9a-fA-F]{8}")
MINIMUM_PARTS = 4  # command, customer, id, fields
MAXIMUM_PARTS = 5  # and a body
MAXIMUM_TIMEOUT_DIGITS = 9
MAXIMUM_INTEGER_DIGITS = 9

Span = tuple[int, int]
"""The start and end offsets of a part of a command, in the buffer that holds the command."""


def find_timeout(fields: bytes) -> float | None:
    """Return the client's timeout that the fields of a command name, in seconds; None if none."""
    timeout = TIMEOUT_PATTERN.search(fields)
    if not timeout or len(timeout[1]) > MAXIMUM_TIMEOUT_DIGITS:
        return None
    return int(timeout[1]) / 1e3


class Command(NamedTuple):
    """The position of a complete command in the buffer that holds it.

    Attributes:
        start: The offset of the command.
        spans: The spans of its parts.
        end: The offset just past the command.
    """

    start: int
    spans: list[Span]
    end: int


class RequestOwner(Protocol):
    """The connection that a request arrived on."""

    def on_reply_ready(self) -> None:
        """Write the reply that is now ready, or the next part of a long one."""

    def on_request_finished(self, request: ClientRequest) -> None:
        """Write the reply of a request, or keep it until the replies before it are ready."""

    def may_have_hidden_close(self) -> bool:
        """Return whether the client may have disconnected behind bytes that are not read yet."""

    def is_client_disconnected(self) -> bool:
        """Return whether the client has disconnected, according to its socket."""


class InvalidFieldError(Exception):
    """A well-formed command has a part or field with an invalid value."""


class Reply:
    """One reply in the queue of pending replies of a connection.

    Owned by the client's connection until it is written.

    Attributes:
        buffers: The encoded reply, or the head of a long response; None while it is pending.
        relay: The relay that supplies a long response after its head; None for other replies.
    """

    __slots__ = ("buffers", "relay")

    def __init__(self, *buffers: HeldBytes) -> None:
        self.buffers: tuple[HeldBytes, ...] | None = buffers or None
        self.relay: ResponseRelay | None = None


class ClientRequest(Reply):
    """One RPC as its client sent it.

    Created and owned by the client's connection; the executor refers to it until it has replied.

    Attributes:
        customer: The customer name, 16 hexadecimal digits.
        fields: The fields that the gateway reads, by name, as text; the last one of each name.
        fields_after_timeout: The bytes of the command from the end of the value of the timeout.
        fields_before_timeout: The bytes of the fields before the value of the timeout.
        fields_size: The size of the fields without the value of the timeout, in bytes.
        head: The bytes of the command before the fields.
        id: The id of the RPC, which the client chooses.
        is_query: Whether the command is `QUERY`.
        owner: The connection that the request arrived on.
        rpc: The RPC as the controller knows it; None until the executor accepts the request.
        size: The size of the command, in bytes.
        timeout: The client's timeout, in seconds.
    """

    __slots__ = (
        "customer",
        "fields",
        "fields_after_timeout",
        "fields_before_timeout",
        "fields_size",
        "head",
        "id",
        "is_query",
        "owner",
        "rpc",
        "size",
        "timeout",
    )

    def __init__(
        self, buffer: ReceiveBuffer, command: Command, owner: RequestOwner, *, is_query: bool
    ) -> None:
        """Parse the parts of a complete command.

        Args:
            buffer: The bytes that hold the command; the request copies what it needs.
            command: The position of the command in the buffer.
            owner: The connection that the command arrived on.
            is_query: Whether the command is `QUERY`.

        Raises:
            InvalidFieldError: The number of parts, the customer, the id or the timeout is invalid.
        """
        super().__init__()
        start, spans, end = command
        if not MINIMUM_PARTS <= len(spans) <= MAXIMUM_PARTS:
            raise InvalidFieldError(f"expected 4 or 5 parts, found {len(spans)}")
        _, customer, rpc_id, fields = spans[:MINIMUM_PARTS]
        self.is_query = is_query
        self.id = bytes(buffer[slice(*rpc_id)])
        self.customer = bytes(buffer[slice(*customer)])
        if not CUSTOMER_PATTERN.fullmatch(self.customer):
            raise InvalidFieldError("customer: expected 16 hex digits, a number below 2^33")
        if not self.id:
            raise InvalidFieldError("id: expected text")
        timeout_start, timeout_end = self._parse_fields(bytes(buffer[slice(*fields)]))
        # The endpoint receives all bytes but the timeout unchanged.
        first = fields[0]
        self.head = buffer.hold(start, rpc_id[1] + 2)
        self.fields_before_timeout = buffer.hold(first, first + timeout_start)
        self.fields_after_timeout = buffer.hold(first + timeout_end, end)
        self.fields_size = fields[1] - first - (timeout_end - timeout_start)
        self.size = end - start
        self.owner = owner
        self.rpc: Rpc | None = None

    def _parse_fields(self, text: bytes) -> Span:
        """Parse the comma-separated `name=value` pairs; return the span of the timeout's value."""
        timeout = TIMEOUT_PATTERN.search(text)
        if not timeout or len(timeout[1]) > MAXIMUM_TIMEOUT_DIGITS:
            raise InvalidFieldError("d: expected milliseconds")
        self.fields: dict[str, str] = {}
        enclosed = b",%b," % text
        for name, pattern in FIELD_PATTERNS:
            start = enclosed.rfind(pattern)
            if start >= 0:
                start += len(pattern)
                value = enclosed[start : enclosed.index(b",", start)]
                self.fields[name] = value.decode("latin-1")
        self.timeout = int(timeout[1]) / 1e3
        return timeout.span(1)

    def require_field(self, name: str) -> str:
        """Return the text of a field.

        Raises:
            InvalidFieldError: The field is missing.
        """
        value = self.fields.get(name)
        if value is None:
            raise InvalidFieldError(f"{name}: missing")
        return value

    @property
    def is_client_retry(self) -> bool:
        """Whether the client marks the RPC as its own retry."""
        return self.fields.get(CLIENT_RETRY_FIELD) == FLAG_SET

    def require_idempotency_key(self) -> None:
        """Raise InvalidFieldError if the RPC has no idempotency key."""
        self.require_field(IDEMPOTENCY_KEY_FIELD)

    def integer_field(self, name: str, default: int, minimum: int, maximum: int) -> int:
        """Return the value of an integer field.

        Args:
            name: The name of the field.
            default: The value if the field is missing.
            minimum: The smallest valid value.
            maximum: The largest valid value.

        Raises:
            InvalidFieldError: The field is present and is not an integer within these bounds.
        """
        value = self.fields.get(name)
        if value is None:
            return default
        if not (
            value.isascii()
            and value.isdigit()
            and len(value) <= MAXIMUM_INTEGER_DIGITS
            and minimum <= int(value) <= maximum
        ):
            raise InvalidFieldError(f"{name}: expected a whole number from {minimum} to {maximum}")
        return int(value)

    def units(self, maximum: float) -> float:
        """Return the quota units that the RPC consumes; 1 if the field is missing.

        Args:
            maximum: The largest valid number of units.

        Raises:
            InvalidFieldError: The field is not a number above 0 and at most `maximum`.
        """
        try:
            units = float(self.fields.get(UNITS_FIELD, "1"))
        except ValueError:
            units = -1.0
        if not 0 < units <= maximum:
            raise InvalidFieldError(
                f"{UNITS_FIELD}: expected a number above 0, at most {maximum:g}"
            )
        return units

    def encode(self, time_left_s: float) -> tuple[HeldBytes, ...]:
        """Return the buffers of the command for an endpoint, with the remaining time as timeout.

        Args:
            time_left_s: The remaining time, in seconds; the endpoint receives at least 1 ms.
        """
        timeout_ms = b"%d" % max(1, int(time_left_s * 1e3))
        fields_head = b"$%d\r\n" % (self.fields_size + len(timeout_ms))
        pieces = (
            self.head,
            fields_head,
            self.fields_before_timeout,
            timeout_ms,
            self.fields_after_timeout,
        )
        if sum(map(len, pieces)) <= MAX_HEAP_SIZE:
            return (b"".join(pieces),)
        return pieces

    def finish(self, *buffers: HeldBytes) -> None:
        """Set the reply and notify the owner; has no effect if the RPC has a reply already."""
        if self.buffers is None:
            self.buffers = buffers
            self.owner.on_request_finished(self)
