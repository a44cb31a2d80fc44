"""Runs the command line with one guard taken out: the tests of fleets have to notice.

The environment variable PETRELLANE_PLANTED_FAULT names a function of `FAULTS`, which is called
before the command line. Each imports what it changes, so that no process starts with more than it
needs.
"""

from __future__ import annotations

import errno
import math
import os
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any

from petrellane.config_consensus import ballots, coordinator, participant

if TYPE_CHECKING:
    from petrellane.config import EndpointListUpdate
    from petrellane.config_consensus.journal import Journal, Record
    from petrellane.config_consensus.messages import Request
    from petrellane.config_consensus.participant import ParticipantState
    from petrellane.config_consensus.state_store import StateStore
    from petrellane.decisions.endpoint_list import Scope
    from petrellane.decisions.load_balancing import LoadBalancer
    from petrellane.decisions.types import Endpoint, EndpointEvent, Rpc
    from petrellane.gateway.configuration_changes import ConfigurationChanges
    from petrellane.gateway.process import GatewayProcess

FAULT_VARIABLE = "PETRELLANE_PLANTED_FAULT"
STEP_VARIABLE = "PETRELLANE_PLANTED_STEP"
EXIT_CODE = 9  # of a process that ends at its step
KNOWN_METHODS = 4  # as many as the settings of an older build may have


def exit_at_step(moment: str, write: Callable[[], None], is_due: bool) -> None:
    """Write, and end this process before or after that ("before", "after") where it is due."""
    if moment == "after":
        write()
    if is_due:
        os._exit(EXIT_CODE)
    if moment == "before":
        write()


def ends_at_journal_write() -> None:
    """A control process that ends before or after a kind of record is in its journal."""
    from petrellane.config_consensus.journal import Journal

    kind, moment = os.environ[STEP_VARIABLE].split()
    append = Journal.append

    def planted(self: Journal, record: Record, at: float) -> None:
        exit_at_step(moment, lambda: append(self, record, at), record["kind"] == kind)

    Journal.append = planted


def ends_at_state_write() -> None:
    """A gateway that ends before or after the n-th write of its consensus state."""
    from petrellane.config_consensus.state_store import StateStore

    number, moment = os.environ[STEP_VARIABLE].split()
    save = StateStore.save
    writes: list[ParticipantState] = []

    def planted(self: StateStore, state: ParticipantState) -> None:
        writes.append(state)
        exit_at_step(moment, lambda: save(self, state), len(writes) == int(number))

    StateStore.save = planted


def disk_is_full() -> None:
    """A gateway whose disk is full."""
    from petrellane.config_consensus.state_store import StateStore

    def planted(_self: StateStore, _state: ParticipantState) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    StateStore.save = planted


def serves_before_peers_answer() -> None:
    """A gateway that starts serves by its own file."""
    participant.intersects_every_majority = lambda _roster, _responders, _remembers: True


def stall_is_ignored() -> None:
    """A gateway that was stopped goes on as if nothing had been."""
    participant.STALL_LIMIT_S = 1e9


def doubt_is_ignored() -> None:
    """A gateway in doubt admits by what was in force before."""
    participant.admissible_settings = lambda state: state.in_force.content


def no_answer_is_absence() -> None:
    """A gateway that does not answer counts as down."""

    def planted(
        self: coordinator.Coordinator, name: str, message: Request, now: float, _reason: str = ""
    ) -> None:
        self.handle_connection_refused(name, message, now)

    coordinator.Coordinator.handle_no_answer = planted


def majority_commits() -> None:
    """A change is decided once a majority has prepared it."""
    try_to_decide = coordinator.Coordinator.try_to_decide

    def planted(self: coordinator.Coordinator, now: float) -> None:
        change = self.change
        if change and len(change.prepared_names()) >= ballots.majority(change.participants):
            self.decide(coordinator.ChangeOutcome.COMMITTED, "", now)
        else:
            try_to_decide(self, now)

    coordinator.Coordinator.try_to_decide = planted


def rejects_many_methods() -> None:
    """A gateway of an older build, which does not know what it is sent."""
    from petrellane.gateway.configuration_changes import ConfigurationChanges

    validate_agreed_settings = ConfigurationChanges.validate_agreed_settings

    def planted(self: ConfigurationChanges, content: Mapping[str, Any]) -> str | None:
        if len(content["classes"]) > KNOWN_METHODS:
            return "settings.classes: expected three at most"
        return validate_agreed_settings(self, content)

    ConfigurationChanges.validate_agreed_settings = planted


def file_is_adopted() -> None:
    """SIGHUP puts in force whatever the file says."""
    from petrellane.config_consensus.participant_service import ParticipantService

    ParticipantService.accept_file_settings = lambda _self, _settings: True


def draining_is_ignored() -> None:
    """A gateway that goes on forwarding to hosts that drain."""
    from petrellane.decisions.load_balancing import LoadBalancer
    from petrellane.decisions.types import READY

    on_endpoint_events = LoadBalancer.on_endpoint_events

    def planted(
        self: LoadBalancer, now: float, is_full: bool, events: Iterable[EndpointEvent]
    ) -> None:
        ready = [event._replace(state=READY) for event in events]
        on_endpoint_events(self, now, is_full, ready)

    LoadBalancer.on_endpoint_events = planted


def newest_host_first() -> None:
    """A gateway that fills the host that started last, as it looks empty."""
    from petrellane.decisions.load_balancing import LoadBalancer

    pick_endpoint = LoadBalancer.pick_endpoint

    def planted(self: LoadBalancer, now: float, rpc: Rpc, scope: Scope) -> Endpoint | None:
        newest = max(self.endpoints, key=lambda endpoint: endpoint.started_at)
        fits = newest.started_at and (scope is None or scope.includes(newest))
        return newest if fits else pick_endpoint(self, now, rpc, scope)

    LoadBalancer.pick_endpoint = planted


def waits_for_discovery() -> None:
    """A gateway that serves once discovery has sent it a list."""
    from petrellane.gateway.process import GatewayProcess

    on_endpoint_list = GatewayProcess.on_endpoint_list
    begin_serving = GatewayProcess.begin_serving

    def planted(self: GatewayProcess, endpoint_list: EndpointListUpdate | None) -> None:
        on_endpoint_list(self, endpoint_list)
        if endpoint_list:
            begin_serving(self)

    GatewayProcess.begin_serving = lambda _self: None
    GatewayProcess.on_endpoint_list = planted


def every_method_is_retried() -> None:
    """A gateway to which every method may run again."""
    from petrellane.decisions import retries

    retries.retry_targets = lambda _now, _rpc: retries.RetryTargets(None, math.inf)


FAULTS: dict[str, Callable[[], None]] = {
    plant.__name__: plant
    for plant in (
        ends_at_journal_write,
        ends_at_state_write,
        disk_is_full,
        serves_before_peers_answer,
        stall_is_ignored,
        doubt_is_ignored,
        no_answer_is_absence,
        majority_commits,
        rejects_many_methods,
        file_is_adopted,
        draining_is_ignored,
        newest_host_first,
        waits_for_discovery,
        every_method_is_retried,
    )
}


if __name__ == "__main__":
    if FAULT_VARIABLE in os.environ:
        FAULTS[os.environ[FAULT_VARIABLE]]()
    from petrellane.cli import app

    app()
