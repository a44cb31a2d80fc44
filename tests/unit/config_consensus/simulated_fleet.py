"""A simulated fleet that runs the rules: participants, control processes and a faulty network.

Every event is an explicit step, so that tests can execute the steps in any order. `exploration`
executes them; `convergence` ends the faults and checks the resulting state.
"""

import copy
import hashlib
from collections.abc import Callable, Iterable, Sequence
from typing import Self

from petrellane.config_consensus import changes, messages, notifications
from petrellane.config_consensus.ballots import claimant
from petrellane.config_consensus.coordinator import Coordinator, CoordinatorState
from tests.unit.config_consensus.fleet_steps import (
    NETWORK_FAULTS,
    Budget,
    DelayedMessage,
    Step,
    StepKind,
)
from tests.unit.config_consensus.settings_examples import ALL_SETTINGS
from tests.unit.config_consensus.simulated_processes import (
    CrashInWriteError,
    CrashPoint,
    SimulatedJournal,
    SimulatedParticipant,
    coordinator_key,
    copy_coordinator,
)

STATE_DIGEST_BYTES = 16
INCARNATIONS = ("m", "c", "t")  # so that a later process may come before or after an earlier one
PROPOSED_SETTINGS = ALL_SETTINGS[1:]  # the first ones are in force at the start


class SimulatedFleet:
    """Participants and control processes, and the steps that are possible in their state.

    Attributes:
        participants: The gateways, by name.
        journals: The journals of the control processes, by name.
        coordinators: The coordinators of the control processes, by name; None for a process that is
            down.
        delayed_requests: The requests that may still arrive.
        refusals: The refused connections of which the control process has not learned yet.
        now: The time, in seconds.
        budget: The events that may still happen.
        shared_name: The name under which all control processes run, each with a journal of its own,
            as where one replaces another that may still run; None if each has its own name.
        proposal_count: The number of proposals so far.
        start_count: The number of starts of control processes so far.
    """

    def __init__(
        self,
        participant_count: int,
        controls: Sequence[str],
        budget: Budget | None = None,
        shared_name: str | None = None,
    ) -> None:
        roster = tuple(f"g{number}" for number in range(participant_count))
        self.participants = {name: SimulatedParticipant(name, roster) for name in roster}
        self.journals = {control: SimulatedJournal() for control in controls}
        self.coordinators: dict[str, Coordinator | None] = dict.fromkeys(controls)
        self.delayed_requests: list[DelayedMessage] = []
        self.refusals: list[DelayedMessage] = []
        self.now = 0.0
        self.budget = budget or Budget()
        self.shared_name = shared_name
        self.proposal_count = 0
        self.start_count = 0

    def coordinator(self, control: str) -> Coordinator:
        """Return the coordinator of a running control process."""
        coordinator = self.coordinators[control]
        assert coordinator is not None
        return coordinator

    # Possible steps.

    def available_steps(self) -> list[Step]:
        """Return all possible next steps; the results of seeded runs depend on their order."""
        steps: list[Step] = []
        for control, coordinator in self.coordinators.items():
            if coordinator is None:
                steps.append(Step(StepKind.START_COORDINATOR, control))
            else:
                steps += self._coordinator_steps(control, coordinator)
        for name, participant in self.participants.items():
            steps += self._participant_steps(name, participant)
        steps += [
            Step(StepKind.DELIVER_REQUEST, delayed.control, delayed.participant, number)
            for number, delayed in enumerate(self.delayed_requests)
        ]
        steps += [
            Step(StepKind.DELIVER_REFUSAL, refusal.control, refusal.participant, number)
            for number, refusal in enumerate(self.refusals)
        ]
        return steps

    def _coordinator_steps(self, control: str, coordinator: Coordinator) -> Iterable[Step]:
        pending = [
            name
            for name in self.participants
            if coordinator.pending_message(name, self.now) is not None
        ]
        for name in pending:
            yield Step(StepKind.EXCHANGE, control, name)
        is_leading = coordinator.state == CoordinatorState.LEADING
        if is_leading and not coordinator.change and self.budget.proposals:
            yield Step(StepKind.PROPOSE, control)
        if coordinator.change:
            yield Step(StepKind.TIME_OUT_CHANGE, control)
        if self.budget.crashes:
            yield Step(StepKind.CRASH_COORDINATOR, control)
            if coordinator.change:
                yield Step(StepKind.CRASH_BEFORE_WRITE, control)
                yield Step(StepKind.CRASH_AFTER_WRITE, control)
        if self.budget.faults:
            yield from self._fault_steps(control, pending)

    def _fault_steps(self, control: str, pending: Sequence[str]) -> Iterable[Step]:
        for name in pending:
            if not self.participants[name].is_running:
                yield Step(StepKind.DELAY_REFUSAL, control, name)
        for name in pending:
            for kind in NETWORK_FAULTS:
                yield Step(kind, control, name)

    def _participant_steps(self, name: str, participant: SimulatedParticipant) -> Iterable[Step]:
        if not participant.is_running:
            yield Step(StepKind.START_PARTICIPANT, name)
            return
        if self.budget.crashes:
            yield Step(StepKind.CRASH_PARTICIPANT, name)
        is_in_doubt = bool(participant.state.prepared)
        if participant.status.knows_in_force and not is_in_doubt:
            return
        for peer_name, peer in self.participants.items():
            if peer_name == name or not peer.is_running:
                continue
            if is_in_doubt or peer_name not in participant.status.responders:
                yield Step(StepKind.POLL_PEER, name, peer_name)

    # Steps of processes.

    def take(self, step: Step) -> None:
        """Execute one step."""
        try:
            HANDLERS[step.kind](self, step)
        except CrashInWriteError:
            self.crash_coordinator(step.process)

    def crash_coordinator(self, control: str) -> None:
        """End a control process and drop the refusals that it has not learned of."""
        self.coordinators[control] = None
        self.refusals = [refusal for refusal in self.refusals if refusal.control != control]

    def _spend_crash(self) -> None:
        self.budget = self.budget._replace(crashes=self.budget.crashes - 1)

    def _spend_fault(self) -> None:
        self.budget = self.budget._replace(faults=self.budget.faults - 1)

    def _start_coordinator(self, step: Step) -> None:
        journal = self.journals[step.process]
        journal.crash_point = CrashPoint.NONE
        if self.budget.journal_losses and len(journal.records) > 1:
            self.budget = self.budget._replace(journal_losses=0)
            journal.records = []
        incarnation = INCARNATIONS[self.start_count % len(INCARNATIONS)] + str(self.start_count)
        self.coordinators[step.process] = Coordinator(
            claimant(self.shared_name or step.process, incarnation),
            tuple(self.participants),
            journal,
            self.now,
            list(journal.records),
        )
        self.start_count += 1

    def _crash_coordinator(self, step: Step) -> None:
        self._spend_crash()
        self.crash_coordinator(step.process)

    def _crash_before_write(self, step: Step) -> None:
        self._spend_crash()
        self.journals[step.process].crash_point = CrashPoint.BEFORE_WRITE

    def _crash_after_write(self, step: Step) -> None:
        self._spend_crash()
        self.journals[step.process].crash_point = CrashPoint.AFTER_WRITE

    def _propose(self, step: Step) -> None:
        self.budget = self.budget._replace(proposals=self.budget.proposals - 1)
        first = list(self.coordinators).index(step.process) + self.proposal_count
        settings = PROPOSED_SETTINGS[first % len(PROPOSED_SETTINGS)]
        self.proposal_count += 1
        self.coordinator(step.process).propose(settings, (), "staff", self.now)

    def _time_out_change(self, step: Step) -> None:
        self.coordinator(step.process).try_to_decide(self.now + changes.CHANGE_TIMEOUT_S)

    def _crash_participant(self, step: Step) -> None:
        self.participants[step.process].crash()
        self._spend_crash()

    def _start_participant(self, step: Step) -> None:
        self.participants[step.process].start()

    def _poll_peer(self, step: Step) -> None:
        self.participants[step.process].poll_peer(self.participants[step.peer])

    # Steps of the network. Steps that deliver a request spend the budget only after the coordinator
    # has handled the result, so a fault costs nothing if the coordinator crashes in a write.

    def _next_request(self, step: Step) -> DelayedMessage:
        request = self.coordinator(step.process).build_message(step.peer, self.now)
        assert request is not None
        return DelayedMessage(step.process, step.peer, request)

    def _deliver(self, message: DelayedMessage) -> messages.Answer:
        """Deliver a request to the participant, and return its answer."""
        request = message.request
        answer = self.participants[message.participant].handle(request.to_dict())
        return messages.decode_answer(request, answer)

    def _exchange(self, step: Step) -> None:
        message = self._next_request(step)
        coordinator = self.coordinator(step.process)
        if self.participants[step.peer].is_running:
            answer = self._deliver(message)
            coordinator.handle_answer(step.peer, message.request, answer, self.now)
        else:
            coordinator.handle_connection_refused(step.peer, message.request, self.now)

    def _delay_request(self, step: Step) -> None:
        message = self._next_request(step)
        self._spend_fault()
        self.delayed_requests.append(message)
        coordinator = self.coordinator(step.process)
        coordinator.handle_no_answer(step.peer, message.request, self.now)

    def _lose_answer(self, step: Step) -> None:
        if not self.participants[step.peer].is_running:
            self._delay_request(step)
            return
        message = self._next_request(step)
        self._deliver(message)
        coordinator = self.coordinator(step.process)
        coordinator.handle_no_answer(step.peer, message.request, self.now)
        self._spend_fault()

    def _duplicate_request(self, step: Step) -> None:
        if not self.participants[step.peer].is_running:
            self._delay_request(step)
            return
        message = self._next_request(step)
        answer = self._deliver(message)
        self.delayed_requests.append(message)
        coordinator = self.coordinator(step.process)
        coordinator.handle_answer(step.peer, message.request, answer, self.now)
        self._spend_fault()

    def _delay_refusal(self, step: Step) -> None:
        message = self._next_request(step)
        self._spend_fault()
        self.refusals.append(message)

    def _deliver_request(self, step: Step) -> None:
        message = self.delayed_requests.pop(step.number)
        participant = self.participants[message.participant]
        if participant.is_running:
            participant.handle(message.request.to_dict())

    def _deliver_refusal(self, step: Step) -> None:
        refusal = self.refusals.pop(step.number)
        coordinator = self.coordinator(refusal.control)
        coordinator.handle_connection_refused(refusal.participant, refusal.request, self.now)

    def run_round(self, control: str) -> None:
        """Advance the time by half a poll interval, and send each participant its due request."""
        self.now += notifications.POLL_INTERVAL_S / 2
        for name in self.participants:
            if self.coordinator(control).pending_message(name, self.now) is not None:
                self.take(Step(StepKind.EXCHANGE, control, name))
        self.coordinator(control).try_to_decide(self.now)

    # The guarantee, and the identity of a state.

    def violation(self) -> str | None:
        """Return what violates the guarantee now, in one line; None if nothing does.

        The guarantee is that one generation allows everything that any gateway admits.
        """
        admitting = {
            name: ballots
            for name, participant in self.participants.items()
            if (ballots := participant.admits_under()) is not None
        }
        if not admitting or set.intersection(*admitting.values()):
            return self._conflicting_commit()
        return "no generation allows everything that is admitted: " + "; ".join(
            f"{name} {sorted(ballots)}" for name, ballots in admitting.items()
        )

    def _conflicting_commit(self) -> str | None:
        """Return which generation number two control processes committed with two contents."""
        digests: dict[int, str] = {}
        for coordinator in filter(None, self.coordinators.values()):
            for ballot, change in coordinator.history.items():
                if change.outcome != changes.ChangeOutcome.COMMITTED:
                    continue
                digest = digests.setdefault(ballot.number, change.generation.digest)
                if digest != change.generation.digest:
                    return f"generation {ballot.number} was committed with two contents"
        return None

    def key(self) -> tuple[object, ...]:
        """Return a key that is equal for states with the same possible future."""
        return (
            [participant.key() for participant in self.participants.values()],
            [
                coordinator and coordinator_key(coordinator)
                for coordinator in self.coordinators.values()
            ],
            [_request_key(message) for message in self.delayed_requests],
            [self._refusal_key(refusal) for refusal in self.refusals],
            tuple(self.budget),
            [(len(journal.records), journal.crash_point) for journal in self.journals.values()],
        )

    def _refusal_key(self, refusal: DelayedMessage) -> tuple[str, bool]:
        """Return the participant of a refusal and whether it would confirm an absence.

        `Change.record_absent` has the rule.
        """
        change = self.coordinator(refusal.control).change
        confirms = (
            change is not None and refusal.request.sequence > change.last_sequence_when_prepared
        )
        return refusal.participant, confirms

    def state_digest(self) -> bytes:
        """Return a digest of the key, short enough to keep millions of them in memory."""
        return hashlib.blake2b(repr(self.key()).encode(), digest_size=STATE_DIGEST_BYTES).digest()

    def copy(self) -> Self:
        """Return a copy of the fleet, which shares immutable parts with the original."""
        fleet = copy.copy(self)
        fleet.delayed_requests = list(self.delayed_requests)
        fleet.refusals = list(self.refusals)
        fleet.participants = {
            name: participant.copy() for name, participant in self.participants.items()
        }
        fleet.journals = {name: journal.copy() for name, journal in self.journals.items()}
        fleet.coordinators = {
            name: coordinator and copy_coordinator(coordinator, fleet.journals[name])
            for name, coordinator in self.coordinators.items()
        }
        return fleet


def _request_key(message: DelayedMessage) -> tuple[object, ...]:
    request = message.request
    number = request.to_dict().get("number")
    return message.participant, request.kind, number, request.epoch


HANDLERS: dict[StepKind, Callable[[SimulatedFleet, Step], None]] = {
    StepKind.START_COORDINATOR: SimulatedFleet._start_coordinator,
    StepKind.CRASH_COORDINATOR: SimulatedFleet._crash_coordinator,
    StepKind.CRASH_BEFORE_WRITE: SimulatedFleet._crash_before_write,
    StepKind.CRASH_AFTER_WRITE: SimulatedFleet._crash_after_write,
    StepKind.PROPOSE: SimulatedFleet._propose,
    StepKind.TIME_OUT_CHANGE: SimulatedFleet._time_out_change,
    StepKind.EXCHANGE: SimulatedFleet._exchange,
    StepKind.DELAY_REQUEST: SimulatedFleet._delay_request,
    StepKind.LOSE_ANSWER: SimulatedFleet._lose_answer,
    StepKind.DUPLICATE_REQUEST: SimulatedFleet._duplicate_request,
    StepKind.DELAY_REFUSAL: SimulatedFleet._delay_refusal,
    StepKind.CRASH_PARTICIPANT: SimulatedFleet._crash_participant,
    StepKind.START_PARTICIPANT: SimulatedFleet._start_participant,
    StepKind.POLL_PEER: SimulatedFleet._poll_peer,
    StepKind.DELIVER_REQUEST: SimulatedFleet._deliver_request,
    StepKind.DELIVER_REFUSAL: SimulatedFleet._deliver_refusal,
}
