"""Each fault of a relay does what its name says, seen from both ends of a connection."""

import time
from collections.abc import Callable, Iterator
from typing import NamedTuple, TypeVar

import pytest

from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Closed, Stream
from petrellane.testbed.fake_server import LIMITS, FakeServer
from petrellane.testbed.relay import Relay

Result = TypeVar("Result")

HELLO = b"hello"
DIAL_TIMEOUT_S = 0.3
ANSWER_TIMEOUT_S = 0.3
TURN_MS = 10
PATIENCE_S = 5.0
DELAY_S = 0.1  # of a late relay, each way


class Answer(NamedTuple):
    """What came back on a connection, and what ended the wait for more."""

    data: bytes
    error: type[Exception] | None = None


ANSWERED = Answer(HELLO)
UNANSWERED = Answer(b"", TimeoutError)


class EchoServer(FakeServer):
    """Sends back all that comes."""

    def serve(self, stream: Stream) -> None:
        """Echo on a connection until it ends."""
        while True:
            stream.fill()
            stream.write(bytes(stream.buffer))
            stream.buffer.clear()


class RelayedEcho:
    """An echo server behind a relay, and a client that reaches it through that."""

    def __init__(self) -> None:
        self.scheduler = Scheduler()
        self.server = EchoServer(self.scheduler)
        self.relay = Relay(self.scheduler, self.server.address)

    def run(self, call: Callable[[], Result]) -> Result:
        """Run a call in a greenlet of the scheduler; return its result."""
        results: list[Result] = []
        self.scheduler.spawn(lambda: results.append(call()))
        limit = time.monotonic() + PATIENCE_S
        while not results and time.monotonic() < limit:
            self.scheduler.run_once(TURN_MS)
        return results[0]

    def dial(self) -> Stream:
        """Connect to the relay.

        Raises:
            OSError: The connection did not come up.
        """
        stream = self.run(self._dial)
        if isinstance(stream, OSError):
            raise stream
        return stream

    def _dial(self) -> Stream | OSError:
        try:
            return Stream.dial(self.scheduler, LIMITS, self.relay.address, DIAL_TIMEOUT_S)
        except OSError as error:
            return error

    def ask(
        self, stream: Stream, text: bytes = HELLO, timeout_s: float = ANSWER_TIMEOUT_S
    ) -> Answer:
        """Send a text, and wait for `HELLO` or until the connection ends."""
        return self.run(lambda: exchange(stream, text, timeout_s))

    def close(self) -> None:
        """End the relay and the server."""
        self.relay.close()
        self.server.close()


def exchange(stream: Stream, text: bytes, timeout_s: float) -> Answer:
    """Send a text on a connection; runs in a greenlet."""
    stream.write(text)
    try:
        while len(stream.buffer) < len(HELLO):
            stream.fill(timeout_s)
    except (Closed, TimeoutError) as error:
        return Answer(bytes(stream.buffer), type(error))
    answer = Answer(bytes(stream.buffer))
    stream.buffer.clear()
    return answer


@pytest.fixture
def echo() -> Iterator[RelayedEcho]:
    """An echo that answers before a test and, once the relay is healed, after it."""
    echo = RelayedEcho()
    try:
        assert echo.ask(echo.dial()) == ANSWERED
        yield echo
        echo.relay.heal()
        assert echo.ask(echo.dial()) == ANSWERED
    finally:
        echo.close()


def test_cut_holds_bytes_until_it_is_healed(echo: RelayedEcho) -> None:
    stream = echo.dial()
    echo.relay.fault("cut")
    assert echo.ask(stream) == UNANSWERED
    echo.relay.heal()
    assert echo.ask(stream, b"") == ANSWERED  # they were held, not lost


def test_late_delays_both_ways(echo: RelayedEcho) -> None:
    stream = echo.dial()
    echo.relay.fault("late", DELAY_S)

    def timed_exchange() -> tuple[Answer, float]:
        began = echo.scheduler.monotonic()
        answer = exchange(stream, HELLO, 1.0)
        return answer, echo.scheduler.monotonic() - began

    answer, seconds = echo.run(timed_exchange)
    assert answer == ANSWERED
    assert seconds > 2 * DELAY_S


def test_half_passes_some_bytes_of_an_answer(echo: RelayedEcho) -> None:
    stream = echo.dial()
    echo.relay.fault("half", 3)
    assert echo.ask(stream) == Answer(HELLO[:3], TimeoutError)


def test_reset_ends_connections(echo: RelayedEcho) -> None:
    stream = echo.dial()
    assert echo.ask(stream) == ANSWERED
    echo.relay.fault("reset")
    assert echo.ask(stream).error is Closed


@pytest.mark.parametrize("fault", ["mute", "deaf"])
def test_lost_bytes_end_the_connection_with_the_fault(echo: RelayedEcho, fault: str) -> None:
    stream = echo.dial()
    echo.relay.fault(fault)
    assert echo.ask(stream) == UNANSWERED
    echo.relay.heal()
    assert echo.ask(stream).error is Closed


@pytest.mark.parametrize(
    ("fault", "error"), [("refuse", ConnectionRefusedError), ("hang", TimeoutError)]
)
def test_no_connection_comes_up(echo: RelayedEcho, fault: str, error: type[OSError]) -> None:
    echo.relay.fault(fault)
    with pytest.raises(error) as raised:
        echo.dial()
    assert raised.type is error


def test_lossy_accepts_connections_that_lead_nowhere(echo: RelayedEcho) -> None:
    echo.relay.fault("lossy", 1.0)
    assert echo.ask(echo.dial()) == UNANSWERED
