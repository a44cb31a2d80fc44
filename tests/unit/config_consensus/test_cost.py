"""What a control process's rules cost by the number of participants, in operations counted."""

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
TURN_S = 0.1  # between two turns in which each participant is sent what it is due


class Name(str):
    """A name of which each comparison and each hash takes operations that are counted."""

    __slots__ = ()

    def __eq__(self, other: object) -> bool:
        return str.__eq__(self, other)

    def __hash__(self) -> int:
        return str.__hash__(self)


class NullJournal:
    """A journal without records."""

    def append(self, record: dict[str, Any], at: float, /) -> None:
        """Ignore a record."""


def copy_by_wire(message: JsonObject) -> JsonObject:
    """Return a message as it arrives: none of its parts is the sender's object."""
    received: JsonObject = json.loads(json.dumps(message))
    return received


def unchanged(function: Function) -> Function:
    """Return a function whose cost is not counted."""
    return function


class SimulatedRoster:
    """Participants that all answer at once, in the order of the roster, and their coordinator.

    Attributes:
        refusing: Participants where nobody listens.
        unreachable: Participants that no request reaches.
    """

    def __init__(self, size: int, wrap: Callable[[Function], Function] = unchanged) -> None:
        """Make a roster.

        Args:
            size: The number of participants.
            wrap: Wraps what the coordinator's process calls, to count its cost.
        """
        self.names = tuple(Name(f"g{number}") for number in range(size))
        digest = canonical_settings.digest(INITIAL_SETTINGS)
        initial = Generation(participant.INITIAL_BALLOT, digest, INITIAL_SETTINGS, self.names)
        self.states = dict.fromkeys(self.names, participant.ParticipantState(initial))
        self.coordinator = Coordinator("c", self.names, NullJournal(), 0.0)
        self.now = 0.0
        self._next_message = wrap(self.coordinator.next_message)
        self._handle_answer = wrap(self.coordinator.handle_answer)
        self._encode = wrap(Request.to_dict)
        self._decode = wrap(messages.decode_answer)
        self.refusing: set[Name] = set()
        self.unreachable: set[Name] = set()

    def exchange_all(self) -> int:
        """Exchange requests and answers until none is due; return how many were sent."""
        sent_count = 0
        for name in self.names:
            while request := self._next_message(name, self.now)[0]:
                sent_count += 1
                self._exchange(name, request)
        return sent_count

    def _exchange(self, name: Name, request: Request) -> None:
        if name in self.refusing:
            self.coordinator.handle_connection_refused(name, request, self.now)
            return
        if name in self.unreachable:
            self.coordinator.handle_no_answer(name, request, self.now)
            return
        received = copy_by_wire(self._encode(request))
        self.states[name], report = participant.handle_message(self.states[name], received, accept)
        answer = self._decode(request, copy_by_wire(report.to_dict()))
        self._handle_answer(name, request, answer, self.now)

    def take_turns(self, count: int) -> None:
        """Let time pass, and exchange what is due meanwhile."""
        for _ in range(count):
            self.now += TURN_S
            self.exchange_all()

    def seek(self) -> None:
        """Have the coordinator lead."""
        while self.coordinator.state != CoordinatorState.LEADING and self.exchange_all():
            pass

    def propose(self, method: str) -> Change:
        """Propose settings of one method."""
        settings = {"classes": [{"name": method}]}
        return self.coordinator.propose(settings, (), "", self.now)

    def commit_change(self) -> Change:
        """Propose a change and have it notified to all."""
        change = self.propose("m")
        while self.exchange_all():
            pass
        return change

    def in_force_numbers(self) -> set[int]:
        """Return the numbers of the generations in force."""
        return {state.in_force.number for state in self.states.values()}


class OperationCounter:
    """Counts the interpreter's operations in the functions that it wraps."""

    def __init__(self) -> None:
        self.total = 0

    def wrap(self, function: Function) -> Function:
        """Return the function, whose operations are counted from now on."""

        def counted(*arguments: object) -> object:
            results: list[object] = []
            self.total += operations(lambda: results.append(function(*arguments)))
            return results[0]

        return counted


class Cost(NamedTuple):
    """Operations of the coordinator alone for each participant, and what it came to.

    Attributes:
        per_participant: Those until it leads, and those for a change.
        roster: The roster afterwards.
        change: The change.
    """

    per_participant: tuple[float, float]
    roster: SimulatedRoster
    change: Change


def measure(size: int) -> Cost:
    """Measure what a roster of a size costs its coordinator."""
    counter = OperationCounter()
    roster = SimulatedRoster(size, counter.wrap)
    roster.seek()
    until_leading = counter.total
    change = roster.commit_change()
    for_change = counter.total - until_leading
    return Cost((until_leading / size, for_change / size), roster, change)


def test_cost_for_a_participant_is_linear_in_the_roster() -> None:
    """Four times the participants cost up to four times as much for each."""
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
    """A tenth of the roster is down, and a quarter of it is partitioned off for a while."""
    roster = SimulatedRoster(240)
    roster.seek()
    roster.refusing = set(roster.names[::10])
    roster.unreachable = set(roster.names[180:]) - roster.refusing
    change = roster.propose("m")
    for _ in range(40):
        roster.take_turns(1)
        roster.coordinator.try_to_decide(roster.now)
    assert change.outcome == ChangeOutcome.ABORTED
    assert roster.in_force_numbers() == {0}
    roster.unreachable = set()
    roster.take_turns(20)
    change = roster.propose("n")
    roster.take_turns(40)
    assert change.outcome == ChangeOutcome.COMMITTED
    assert change.confirmed_absent == roster.refusing
    running = set(roster.names) - roster.refusing
    in_force = {roster.states[name].in_force.ballot for name in running}
    assert in_force == {change.ballot}
