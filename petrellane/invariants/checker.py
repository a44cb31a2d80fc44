"""The checker, which receives the records of a run and applies the rules to them."""

from collections.abc import Callable
from typing import Any

from petrellane.invariants.cold_starts import ColdStarts
from petrellane.invariants.draining import Draining
from petrellane.invariants.effects import Effects
from petrellane.invariants.endpoint_views import EndpointViews
from petrellane.invariants.final_answers import FinalAnswers
from petrellane.invariants.generations import Generations
from petrellane.invariants.hard_limits import HardLimits
from petrellane.invariants.open_rpcs import ObservedAttempt, OpenRpc, OpenRpcs
from petrellane.invariants.parameters import RuleParameters
from petrellane.invariants.records import (
    KILLED,
    PAUSED,
    REJECTED,
    RESUMED,
    AttemptArrived,
    AttemptEnded,
    AttemptSent,
    ClientDisconnected,
    EndpointNotified,
    EndpointStarted,
    GatewayLifecycle,
    GenerationDecided,
    Id,
    Record,
    RpcAdmitted,
    RpcAnswered,
    RpcExecuted,
    RpcReceived,
    StateRetained,
)
from petrellane.invariants.verdict import RETAINED, Verdict, ViolationLog


class InvariantChecker:
    """Checks the records of one run, which its owner passes in order of time.

    It processes records in the order of the calls, even if the time of a record is earlier than
    that of its predecessor.

    Attributes:
        parameters: The parameters of the rules.
        log: The violations so far.
        open_rpcs: The RPCs that are not settled.
        hard_limits: The rule on hard limits, with the customers' token buckets.
    """

    def __init__(self, parameters: RuleParameters) -> None:
        """Create a checker for a run that has no records yet."""
        self.parameters = parameters
        self.log = ViolationLog(parameters.max_violations)
        self.open_rpcs = OpenRpcs()
        self.hard_limits = HardLimits(parameters, self.log)
        self._views = EndpointViews()
        self._final_answers = FinalAnswers(self.log)
        self._effects = Effects(parameters, self.log)
        self._draining = Draining(parameters, self._views, self.log)
        self._cold_starts = ColdStarts(parameters, self._views, self.log)
        self._generations = Generations(parameters, self.log)
        self._paused: set[Id] = set()
        self._handlers: dict[type, Callable[[Any], None]] = {
            RpcReceived: self._on_received,
            AttemptSent: self._on_sent,
            AttemptEnded: self._on_attempt_ended,
            AttemptArrived: self._cold_starts.check_arrival,
            RpcExecuted: self._effects.check_execution,
            RpcAnswered: self._on_answered,
            ClientDisconnected: self._on_client_disconnected,
            EndpointNotified: self._views.update,
            GatewayLifecycle: self._on_lifecycle,
            EndpointStarted: self._cold_starts.track_start,
            StateRetained: self._on_state_retained,
            RpcAdmitted: self._generations.check_admission,
            GenerationDecided: self._generations.record_decision,
        }

    def observe(self, record: Record) -> None:
        """Apply the rules to one record."""
        self._handlers[type(record)](record)

    def close(self, at: float) -> Verdict:
        """Return the verdict; `at` is the time up to which the records are complete."""
        for rpc in list(self.open_rpcs.by_id.values()):
            self._final_answers.check_unanswered(rpc, at, self._paused)
        self._generations.check_uncommitted()
        return self.log.verdict()

    def _on_received(self, record: RpcReceived) -> None:
        if record.rpc in self.open_rpcs.by_id:
            self._final_answers.report_repeated_receipt(record)
            return
        self.open_rpcs.add(OpenRpc(record, record.deadline + self.parameters.answer_slack))
        self._effects.track(record.rpc, record.method)

    def _on_sent(self, record: AttemptSent) -> None:
        self._draining.check_attempt(record)
        rpc = self.open_rpcs.by_id.get(record.rpc)
        if rpc is None or rpc.is_over:
            self._final_answers.report_late_attempt(record)
            return
        if record.number == 0:
            self.hard_limits.consume(rpc.received, record.at)
        else:
            self._effects.check_retry(rpc, record)
        rpc.attempts[record.number] = ObservedAttempt(record.at, record.host)

    def _on_attempt_ended(self, record: AttemptEnded) -> None:
        rpc = self.open_rpcs.by_id.get(record.rpc)
        if rpc is not None and record.number in rpc.attempts:
            rpc.attempts[record.number].outcome = record.outcome
            self.open_rpcs.remove_if_settled(rpc)

    def _on_answered(self, record: RpcAnswered) -> None:
        rpc = self.open_rpcs.by_id.get(record.rpc)
        if rpc is None or rpc.is_answered:
            self._final_answers.report_repeated_answer(record)
            return
        rpc.is_answered = True
        rpc.is_over = True
        self._final_answers.check_answer(rpc, record)
        if record.answer == REJECTED:
            self._effects.check_rejection(rpc, record)
        self.open_rpcs.remove_if_settled(rpc)

    def _on_client_disconnected(self, record: ClientDisconnected) -> None:
        rpc = self.open_rpcs.by_id.get(record.rpc)
        if rpc is None:
            return
        rpc.is_over = True
        rpc.needs_answer = rpc.needs_answer and record.at >= rpc.received.deadline
        if not rpc.needs_answer:
            self.open_rpcs.remove_if_settled(rpc)

    def _on_lifecycle(self, record: GatewayLifecycle) -> None:
        if record.event == PAUSED:
            self._paused.add(record.gateway)
        elif record.event == RESUMED:
            self._paused.discard(record.gateway)
            for rpc in self.open_rpcs.of_gateway(record.gateway):
                rpc.needs_answer = rpc.needs_answer and rpc.received.deadline > record.at
                rpc.answer_due_at = max(rpc.answer_due_at, record.at + self.parameters.answer_slack)
        elif record.event == KILLED:
            self._paused.discard(record.gateway)
            self.open_rpcs.remove_gateway(record.gateway)
            self._views.remove_gateway(record.gateway)

    def _on_state_retained(self, record: StateRetained) -> None:
        if record.count:
            text = f"{record.gateway} still holds {record.count} {record.kind} that are over"
            self.log.add_violation(RETAINED, record.at, text)
