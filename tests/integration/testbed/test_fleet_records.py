"""What sockets report in the wrong order breaks no rule; what parties did wrong does.

Two sockets may report in any order within one long turn of the testbed's scheduler.
"""

from collections.abc import Callable

import pytest

from petrellane import invariants
from petrellane.testbed.records import ArrivedAttempt, HostAttempt, ReceivedRpc, Records

RPC = "r"
PATIENCE_S = 2.0  # of the client


class ManualClock:
    """A clock that tests set, and the calls that are scheduled by it."""

    def __init__(self) -> None:
        self.now = 0.0
        self.scheduled: list[tuple[float, Callable[[], None]]] = []

    def read(self) -> float:
        """Return the time."""
        return self.now

    def schedule(self, delay: float, call: Callable[[], None]) -> None:
        """Take note of a call after some seconds."""
        self.scheduled.append((self.now + delay, call))


@pytest.fixture
def clock() -> ManualClock:
    """A clock at 0."""
    return ManualClock()


def receive(records: Records, method: str) -> None:
    """Record that a gateway received the RPC."""
    records.on_received(ReceivedRpc(RPC, "g0", "c", "free", method, 1.0, PATIENCE_S))


def arrive(records: Records, host: str = "a", read_at: float | None = None) -> HostAttempt:
    """Record that an attempt of the RPC has reached a host."""
    return records.on_attempt_arrived(ArrivedAttempt(RPC, host, 0.1, read_at=read_at))


@pytest.mark.parametrize(
    ("turns", "violations"),
    [
        pytest.param(0, {}, id="in-a-long-turn"),
        pytest.param(1, {}, id="a-turn-later"),
        pytest.param(2, {invariants.DUPLICATED: 1}, id="two-turns-later"),
    ],
)
def test_the_end_of_an_attempt_is_read_after_the_next_one(
    clock: ManualClock, turns: int, violations: dict[str, int]
) -> None:
    methods = {"post": invariants.MethodRule("deduplicated", "all", 9.0)}
    terms = invariants.RuleParameters(methods, {}, {"a": (1, "z"), "b": (1, "z")})
    records = Records(terms, clock.read)
    receive(records, "post")
    first = arrive(records, "a")
    for _ in range(5):
        records.turns += 1
        clock.now += 0.1
    arrive(records, "b")
    records.turns += turns
    clock.now += 0.2  # the turn takes its time
    records.on_gateway_killed("other")
    records.on_attempt_ended(first, "late")
    assert records.close().counts == violations


@pytest.mark.parametrize(
    ("has_stalled", "violations"),
    [
        pytest.param(True, {}, id="after-a-stall"),
        pytest.param(False, {invariants.LOST: 1}, id="without-a-stall"),
    ],
)
def test_an_answer_is_read_before_the_attempt_that_led_to_it(
    clock: ManualClock, has_stalled: bool, violations: dict[str, int]
) -> None:
    methods = {"look": invariants.MethodRule("idempotent")}
    records = Records(invariants.RuleParameters(methods, {}, {}), clock.read)
    records.turns = 10
    receive(records, "look")
    if has_stalled:
        records.last_stall_turn = records.turns
    records.on_answered(RPC, invariants.REJECTED, "look")
    records.on_attempt_ended(arrive(records), "late")
    assert records.close().counts == violations


@pytest.mark.parametrize(
    ("left_at", "delay", "read_at", "violations"),
    [
        pytest.param(1.98, 0.03, None, {}, id="crosses-a-client-that-leaves"),
        pytest.param(1.98, 0.09, None, {}, id="no-answer-owed-at-the-deadline"),
        pytest.param(1.0, 0.15, None, {invariants.LOST: 1}, id="begins-long-after-its-client-left"),
        pytest.param(1.0, 0.15, 1.05, {}, id="began-in-time-and-was-held-up"),
    ],
)
def test_an_attempt_arrives_after_its_client_left(
    clock: ManualClock,
    left_at: float,
    delay: float,
    read_at: float | None,
    violations: dict[str, int],
) -> None:
    methods = {"look": invariants.MethodRule("idempotent")}
    terms = invariants.RuleParameters(methods, {}, {}, answer_slack=0.0)
    records = Records(terms, clock.read, clock.schedule)
    receive(records, "look")
    clock.now = left_at
    records.on_client_disconnected(RPC)
    (due_at, record_disconnect) = clock.scheduled[0]
    arrives_at = left_at + delay
    clock.now = arrives_at
    if arrives_at < due_at:
        records.on_attempt_ended(arrive(records, read_at=read_at), "late")
    records.turns = 10
    clock.now = max(due_at, arrives_at)
    record_disconnect()
    if arrives_at >= due_at:
        records.on_attempt_ended(arrive(records, read_at=read_at), "late")
    assert records.close().counts == violations
