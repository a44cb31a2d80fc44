"""One client's request and the answer that it gets, as the client and the endpoint side share them.

The client side makes a `ClientRequest` from the bytes of a command, hands it over and is called
when its answer is there. The endpoint side writes it out again, with the time that is left in place
of the client's timeout. Fields are checked for their form alone; what they mean is for
`action_executor`.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from petrellane.decisions.types import Rpc
    from petrellane.gateway.response_relay import ResponseRelay

QUERY = b"SVC.QUERY"
SUBMIT = b"SVC.SUBMIT"
RPC_COMMANDS = frozenset({QUERY, SUBMIT})

# Names of the fields that the gateway reads; the timeout's is in the pattern below.
METHOD_FIELD = "c"
PLAN_FIELD = "t"
CLIENT_RETRY_FIELD = "r"
IDEMPOTENCY_KEY_FIELD = "k"
FIRST_GATEWAY_FIELD = "first"
GATEWAY_COUNT_FIELD = "spread"
UNITS_FIELD = "units"
YES = "1"

TIMEOUT_FIELD = re.compile(rb"(?:^|,)d=(\d+)(?=,|$)")
CUSTOMER = re.compile(rb"0{7}[01][0-9a-fA-F]{8}")
MINIMUM_PARTS = 4  # command, customer, id, fields
MAXIMUM_PARTS = 5  # and a body
MAXIMUM_TIMEOUT_DIGITS = 9
MAXIMUM_INTEGER_DIGITS = 9

Span = tuple[int, int]
"""Start and end of a part of a command, within the buffer that it was read into."""


class Command(NamedTuple):
    """Where a complete command is in the buffer that it was read into."""

    start: int
    spans: list[Span]
    end: int


class RequestOwner(Protocol):
    """The connection that a request came on."""

    def on_reply_ready(self) -> None:
        """Write the answer, as it is there, or more of a long one."""

    def is_client_disconnected(self) -> bool:
        """Return whether the client has left, by its socket."""


class InvalidFieldError(Exception):
    """A command that is well formed and has a field out of its range."""


class Reply:
    """A place in the order of a connection's answers.

    Owned by the client's connection until it is written. `answer` has the buffers of the answer,
    None while it is not known. A long response follows its answer through `relay`.
    """

    __slots__ = ("answer", "relay")

    def __init__(self, *answer: bytes) -> None:
        self.answer: tuple[bytes, ...] | None = answer or None
        self.relay: ResponseRelay | None = None


class ClientRequest(Reply):
    """One RPC as its client worded it.

    Made and owned by the client's connection; the executor refers to it until it has its answer.
    `rpc` is set once the executor has taken it in.
    """

    __slots__ = (
        "customer",
        "fields",
        "fields_after_timeout",
        "fields_before_timeout",
        "head",
        "id",
        "is_query",
        "owner",
        "rpc",
        "tail",
        "timeout",
    )

    def __init__(
        self, buffer: bytearray, command: Command, owner: RequestOwner, *, is_query: bool
    ) -> None:
        """Read the parts of a complete command.

        Args:
            buffer: The bytes that hold the command; they are copied.
            command: Where it is in the buffer.
            owner: The connection that it came on.
            is_query: Whether it is the command for reads.

        Raises:
            InvalidFieldError: A part does not have its form.
        """
        super().__init__()
        start, spans, end = command
        if not MINIMUM_PARTS <= len(spans) <= MAXIMUM_PARTS:
            raise InvalidFieldError(f"expected 4 or 5 parts, found {len(spans)}")
        _, customer, rpc_id, fields = spans[:MINIMUM_PARTS]
        self.is_query = is_query
        self.id = bytes(buffer[slice(*rpc_id)])
        self.customer = bytes(buffer[slice(*customer)])
        if not CUSTOMER.fullmatch(self.customer):
            raise InvalidFieldError("customer: expected 16 hex digits, a number below 2^33")
        if not self.id:
            raise InvalidFieldError("id: expected text")
        self._read_fields(bytes(buffer[slice(*fields)]))
        # Both are passed on to the endpoint as they came.
        self.head = bytes(buffer[start : rpc_id[1] + 2])
        self.tail = bytes(buffer[fields[1] : end])
        self.owner = owner
        self.rpc: Rpc | None = None

    def _read_fields(self, text: bytes) -> None:
        """Read `name=value` pairs with commas between, and the timeout among them."""
        timeout = TIMEOUT_FIELD.search(text)
        if not timeout or len(timeout[1]) > MAXIMUM_TIMEOUT_DIGITS:
            raise InvalidFieldError("d: expected milliseconds")
        self.fields: dict[str, str] = {}
        for part in text.decode("latin-1").split(","):
            name, _, value = part.partition("=")
            self.fields[name] = value
        self.timeout = int(timeout[1]) / 1e3
        self.fields_before_timeout = text[: timeout.start(1)]
        self.fields_after_timeout = text[timeout.end(1) :]

    def text(self, name: str) -> str:
        """Return a field's text; raise InvalidFieldError where it is missing."""
        value = self.fields.get(name)
        if value is None:
            raise InvalidFieldError(f"{name}: missing")
        return value

    @property
    def is_client_retry(self) -> bool:
        """Whether the client says that it sends the RPC again."""
        return self.fields.get(CLIENT_RETRY_FIELD) == YES

    def require_idempotency_key(self) -> None:
        """Raise InvalidFieldError where the RPC has no idempotency key."""
        self.text(IDEMPOTENCY_KEY_FIELD)

    def integer(self, name: str, default: int, minimum: int, maximum: int) -> int:
        """Return a field that is an integer within these bounds.

        Raises:
            InvalidFieldError: It is there and is no such integer.
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
        """Return how many units of its quota the RPC takes: above 0, at most `maximum`.

        Raises:
            InvalidFieldError: The field is there and is no such number.
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

    def encode(self, time_left_s: float) -> tuple[bytes, bytes, bytes]:
        """Return the buffers of the command for an endpoint, with the time that it has."""
        timeout_ms = max(1, int(time_left_s * 1e3))
        fields = b"%b%d%b" % (self.fields_before_timeout, timeout_ms, self.fields_after_timeout)
        return self.head, b"$%d\r\n%b" % (len(fields), fields), self.tail

    def finish(self, *answer: bytes) -> None:
        """Give the RPC its one answer; a second one is dropped."""
        if self.answer is None:
            self.answer = answer
            self.owner.on_reply_ready()
