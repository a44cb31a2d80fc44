"""The simulated fleet: its scenarios, records and decisions."""

from collections.abc import Callable, Sequence
from typing import TypeAlias

from petrellane import invariants
from petrellane.decisions import actions
from petrellane.decisions.controller import AdmissionController
from petrellane.simulation import fleet, scenario_generation
from petrellane.simulation.scenario import Scenario
from tests.compatibility.build.values import Json, plain

Entry: TypeAlias = Callable[..., Sequence[actions.Action]]  # an event method of the decisions

# The label of each kind of record in the recorded digests.
RECORD_LABELS = {
    invariants.RpcReceived: "taken",
    invariants.AttemptSent: "sent",
    invariants.AttemptEnded: "ended",
    invariants.AttemptArrived: "received",
    invariants.RpcExecuted: "ran",
    invariants.RpcAnswered: "answered",
    invariants.ClientDisconnected: "left",
    invariants.EndpointNotified: "told",
    invariants.GatewayLifecycle: "life",
    invariants.EndpointStarted: "up",
    invariants.StateRetained: "remains",
    invariants.RpcAdmitted: "admitted",
    invariants.GenerationDecided: "decided",
}

# The event methods of the decisions, each of which answers with actions.
ENTRIES = (
    "start",
    "on_endpoint_events",
    "on_watch_failed",
    "admit",
    "on_attempt_ended",
    "on_client_disconnected",
    "on_response_started",
    "on_counter_reply",
    "on_timer",
)


def scenario(name: str) -> Scenario:
    """A scenario by its name: "draw 17", "followed 17" or "neighbour 17"."""
    kind, seed = name.split()
    drawn = scenario_generation.generate_scenario(int(seed))
    if kind == "followed":
        return scenario_generation.with_hot_restarts(drawn, int(seed))
    if kind == "neighbour":
        return scenario_generation.mutate(drawn, int(seed))
    return drawn


def step_values(step: actions.Action) -> list[Json]:
    """A step that the decisions answer with, as a label and its figures."""
    if isinstance(step, actions.SendAttempt):
        figures = [step.endpoint.address, step.number, step.sent_at, step.timeout, step.send_by]
        return ["attempt", *figures]
    if isinstance(step, actions.CounterAdd):
        window = step.purpose.window if step.purpose else 0
        return ["add", step.name, step.amount, step.ttl, window]
    if isinstance(step, actions.SetTimer):
        return ["timer", step.delay]
    if isinstance(step, actions.Reject):
        return ["reject", step.retry_after]
    others = {
        actions.Abort: "abort",
        actions.CancelAttempt: "cancel",
        actions.WatchEndpoints: "ask",
    }
    return [others.get(type(step), "log")]


def noted_decisions(log: list[list[Json]]) -> type[AdmissionController]:
    """The decisions, with all steps that they answer to each event noted in a log."""
    depth = 0

    def noted(entry: str) -> Entry:
        inner: Entry = getattr(AdmissionController, entry)

        def call(
            controller: AdmissionController, *arguments: object, **named: object
        ) -> Sequence[actions.Action]:
            nonlocal depth
            depth += 1
            try:
                steps = inner(controller, *arguments, **named)
            finally:
                depth -= 1
            if not depth:  # what an entry calls itself is part of its own answer
                log.extend(step_values(step) for step in steps)
            return steps

        return call

    return type(
        "NotedDecisions", (AdmissionController,), {entry: noted(entry) for entry in ENTRIES}
    )


def played(name: str) -> tuple[list[tuple[str, list[Json]]], list[Json], list[list[Json]]]:
    """Play a scenario.

    Returns:
        Its records, each as a label and plain values; what the rules say: counts and distances;
        and all steps that were decided.
    """
    log: list[list[Json]] = []
    run = fleet.FleetSimulation(scenario(name), noted_decisions(log), keep_records=True).play()
    records = [(RECORD_LABELS[type(one)], [plain(value) for value in one]) for one in run.records]
    verdict = [
        [run.verdict.counts.get(rule, 0), run.verdict.nearest[rule]] for rule in invariants.RULES
    ]
    return records, verdict, log
