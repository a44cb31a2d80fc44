"""The cost of a coordinator's rules by the number of participants, in interpreter operations."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from petrellane.config_consensus import canonical_settings, messages, participant
from petrellane.config_consensus.ballots import Generation
from petrellane.config_consensus.changes import Change
from petrellane.config_consensus.coordinator import ChangeOutcome, Coordinator, CoordinatorState
from petrellane.config_consensus.messages import JsonObject, Request
from tests.unit.config_consensus.settings_examples import accept
from tests.unit.decisions.operations import operations

Function = Callable[..., Any]

INITIAL_SETTINGS: JsonObject = {"classes": []}
ROUND_INTERVAL_S = 0.1  # between two rounds, in which each participant is sent its due requests


class CountedName(str):
    """A name whose comparisons and hashes run interpreter operations, so that they are counted."""

    __slots__ = ()

    def __eq__(self, other: object) -> bool:
        return str.__eq__(self, other)

    def __hash__(self) -> int:
        return str.__hash__(self)


class NullJournal:
    """A journal that discards its records."""

    def append(self, record: dict[str, Any], at: float, /) -> None:
        """Discard a record."""


def json_round_trip(message: JsonObject) -> JsonObject:
    """Return a copy of a message, encoded and decoded, which shares no object with it."""
    received: JsonObject = json.loads(json.dumps(message))
    return received


def without_counting(function: Function) -> Function:
    """Return the function itself, so that its operations are not counted."""
    return function


class SimulatedRoster:
    """A coordinator and its participants, which answer immediately and in the order of the roster.

    Attributes:
        names: The names of the participants.
        states: The state of each participant.
        coordinator: The coordinator.
        now: The time, in seconds.
        refusing: The participants whose machine refuses connections.
        unreachable: The participants that no request reaches.
    """

    def __init__(self, size: int, wrap: Callable[[Function], Function] = without_counting) -> None:
        """Create a roster.

        Args:
            size: The number of participants.
            wrap: A function that wraps the functions of the coordinator's process, to count their
                operations.
        """
        self.names = tuple(CountedName(f"g{number}") for number in range(size))
        digest = canonical_settings.digest(INITIAL_SETTINGS)
        initial = Generation(participant.INITIAL_BALLOT, digest, INITIAL_SETTINGS, self.names)
        self.states = dict.fromkeys(self.names, participant.ParticipantState(initial))
        self.coordinator = Coordinator("c", self.names, NullJournal(), 0.0)
        self.now = 0.0
        self._next_message = wrap(self.coordinator.next_message)
        self._handle_answer = wrap(self.coordinator.handle_answer)
        self._encode = wrap(Request.to_dict)
        self._decode = wrap(messages.decode_answer)
        self.refusing: set[CountedName] = set()
        self.unreachable: set[CountedName] = set()

    def exchange_all(self) -> int:
        """Send requests until none is due; return the number of requests sent."""
        sent_count = 0
        for name in self.names:
            while request := self._next_message(name, self.now)[0]:
                sent_count += 1
                self._exchange(name, request)
        return sent_count

    def _exchange(self, name: CountedName, request: Request) -> None:
        if name in self.refusing:
            self.coordinator.handle_connection_refused(name, request, self.now)
            return
        if name in self.unreachable:
            self.coordinator.handle_no_answer(name, request, self.now)
            return
        received = json_round_trip(self._encode(request))
        self.states[name], report = participant.handle_message(self.states[name], received, accept)
        answer = self._decode(request, json_round_trip(report.to_dict()))
        self._handle_answer(name, request, answer, self.now)

    def run_rounds(self, count: int) -> None:
        """Advance the time in rounds, and send the due requests in each."""
        for _ in range(count):
            self.now += ROUND_INTERVAL_S
            self.exchange_all()

    def seek(self) -> None:
        """Send requests until the coordinator leads."""
        while self.coordinator.state != CoordinatorState.LEADING and self.exchange_all():
            pass

    def propose(self, method: str) -> Change:
        """Propose settings with one method."""
        settings = {"classes": [{"name": method}]}
        return self.coordinator.propose(settings, (), "", self.now)

    def commit_change(self) -> Change:
        """Propose a change, and send requests until none is due."""
        change = self.propose("m")
        while self.exchange_all():
            pass
        return change

    def in_force_numbers(self) -> set[int]:
        """Return the numbers of the generations in force at the participants."""
        return {state.in_force.number for state in self.states.values()}


class OperationCounter:
    """Counts the interpreter operations of the functions that it wraps.

    Attributes:
        total: The number of operations counted so far.
    """

    def __init__(self) -> None:
        self.total = 0

    def wrap(self, function: Function) -> Function:
        """Return a function that calls the given one and counts its operations."""

        def counted(*arguments: object) -> object:
            results: list[object] = []
            self.total += operations(lambda: results.append(function(*arguments)))
            return results[0]

        return counted


class Cost(NamedTuple):
    """The cost of a coordinator, without that of its participants.

    Attributes:
        per_participant: The operations per participant until the coordinator leads, and those for a
            change.
        roster: The roster after the change.
        change: The change.
    """

    per_participant: tuple[float, float]
    roster: SimulatedRoster
    change: Change


def measure(size: int) -> Cost:
    """Return the cost of a coordinator with a roster of the given size."""
    counter = OperationCounter()
    roster = SimulatedRoster(size, counter.wrap)
    roster.seek()
    until_leading = counter.total
    change = roster.commit_change()
    for_change = counter.total - until_leading
    return Cost((until_leading / size, for_change / size), roster, change)


def test_cost_for_a_participant_is_linear_in_the_roster() -> None:
    """With four times the participants, each costs at most about four times as much."""
    small = measure(40)
    large = measure(160)
    assert large.roster.coordinator.state == CoordinatorState.LEADING
    assert large.change.outcome == ChangeOutcome.COMMITTED
    assert large.roster.in_force_numbers() == {1}
    for cost_in_small, cost_in_large in zip(
        small.per_participant, large.per_participant, strict=True
    ):
        assert cost_in_large < 4.4 * cost_in_small


def test_a_partition_holds_a_change_up_until_it_ends() -> None:
    """A change aborts during a partition, and the next one commits after it.

    One tenth of the roster is down throughout; one quarter is unreachable at first.
    """
    roster = SimulatedRoster(240)
    roster.seek()
    roster.refusing = set(roster.names[::10])
    roster.unreachable = set(roster.names[180:]) - roster.refusing
    change = roster.propose("m")
    for _ in range(40):
        roster.run_rounds(1)
        roster.coordinator.try_to_decide(roster.now)
    assert change.outcome == ChangeOutcome.ABORTED
    assert roster.in_force_numbers() == {0}
    roster.unreachable = set()
    roster.run_rounds(20)
    change = roster.propose("n")
    roster.run_rounds(40)
    assert change.outcome == ChangeOutcome.COMMITTED
    assert change.confirmed_absent == roster.refusing
    running = set(roster.names) - roster.refusing
    in_force = {roster.states[name].in_force.ballot for name in running}
    assert in_force == {change.ballot}
