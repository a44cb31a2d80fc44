"""Runs the command line with a guard taken out, named by LAB_PLANT: each test of many processes is seen to fail then."""

import os

from petrellane.config_consensus import ballots, coordinator, participant


def steps():
    """End in the write to the journal that LAB_STEP names (kind, and before or after it lasts)."""
    from petrellane.config_consensus.journal import Journal

    kind, when = os.environ["LAB_STEP"].split()
    note = Journal.append

    def planted(self, record, at):
        if when == "after":
            note(self, record, at)
        if record["kind"] == kind:
            os._exit(9)
        if when == "before":
            note(self, record, at)

    Journal.append = planted


def saved():
    """A gateway that ends in the n-th write of its memory (LAB_STEP: number, and before or after it lasts)."""
    from petrellane.config_consensus.state_store import StateStore

    number, when = os.environ["LAB_STEP"].split()
    save, count = StateStore.save, []

    def planted(self, state):
        count.append(None)
        if when == "after":
            save(self, state)
        if len(count) == int(number):
            os._exit(9)
        if when == "before":
            save(self, state)

    StateStore.save = planted


def unwritable():
    """A gateway whose disk is full."""
    from petrellane.config_consensus.state_store import StateStore

    def planted(self, state):
        raise OSError(28, "No space left on device")

    StateStore.save = planted


def knows_at_once():
    """A gateway that starts serves by its own file."""
    participant.intersects_every_majority = lambda members, heard, self_known: True


def never_stood_still():
    """A gateway that was stopped goes on as if nothing had been."""
    participant.STALL_LIMIT_S = 1e9


def no_meet():
    """A gateway in doubt admits by what was in force before."""
    participant.admissible_settings = lambda state: state.in_force.content


def silent_is_absent():
    """A gateway that says nothing counts as down."""
    coordinator.Coordinator.handle_no_answer = lambda self, name, message, now, why="": (
        self.handle_connection_refused(name, message, now)
    )


def majority_is_enough():
    """A change is decided once a majority has prepared it."""
    judge = coordinator.Coordinator.try_to_decide

    def planted(self, now):
        change = self.change
        if change and sum(said == "prepared" for said in change.votes.values()) >= ballots.majority(
            change.participants
        ):
            self.decide(coordinator.ChangeOutcome.COMMITTED, "", now)
        else:
            judge(self, now)

    coordinator.Coordinator.try_to_decide = planted


def refuses():
    """A gateway of an older build, which does not know what it is told."""
    from petrellane.gateway.configuration_changes import ConfigurationChanges

    takes = ConfigurationChanges.check_agreed

    def planted(self, content):
        return (
            "settings.classes: expected three at most"
            if len(content["classes"]) > 4
            else takes(self, content)
        )

    ConfigurationChanges.check_agreed = planted


def takes_the_file():
    """SIGHUP puts in force whatever the file says."""
    from petrellane.config_consensus.participant_service import ParticipantService

    ParticipantService.accept_file_settings = lambda self, settings: True


def goes_on_to_drained():
    """A gateway that sends on to hosts that drain."""
    from petrellane.decisions.load_balancing import LoadBalancer
    from petrellane.decisions.types import READY

    on_endpoint_events = LoadBalancer.on_endpoint_events

    def planted(self, now, is_full, events):
        drained = [event._replace(state=READY) for event in events]
        on_endpoint_events(self, now, is_full, drained)

    LoadBalancer.on_endpoint_events = planted


def emptiest_first():
    """A gateway that fills the host that started last, as it looks empty."""
    from petrellane.decisions.load_balancing import LoadBalancer

    pick_endpoint = LoadBalancer.pick_endpoint

    def planted(self, now, rpc, scope):
        newest = max(self.endpoints, key=lambda host: host.started_at)
        fits = newest.started_at and (scope is None or scope.includes(newest))
        return newest if fits else pick_endpoint(self, now, rpc, scope)

    LoadBalancer.pick_endpoint = planted


def waits_for_discovery():
    """A gateway that serves once discovery has told it of a list."""
    from petrellane.gateway.process import GatewayProcess

    listed, settle = GatewayProcess.on_endpoint_list, GatewayProcess.begin_serving
    GatewayProcess.begin_serving = lambda self: None

    def planted(self, told):
        listed(self, told)
        if told:
            settle(self)

    GatewayProcess.on_endpoint_list = planted


def runs_twice():
    """A gateway to which every method may run again."""
    from petrellane.decisions import retries

    retries.retry_targets = lambda now, rpc: (None, float("inf"))


if __name__ == "__main__":
    if os.environ.get("LAB_PLANT"):
        globals()[os.environ["LAB_PLANT"]]()
    from petrellane.cli import app

    app()
