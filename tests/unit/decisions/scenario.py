"""The steps of the decision logic's scenario files, with one method `do_VERB` for each.

`tests/README.md` describes the notation. `scenario_setup` has the steps that set up a scenario, and
`scenario_traffic` has those that send and answer requests. This module has the checks.
"""

from petrellane.decisions import actions
from petrellane.decisions import types as api
from tests.unit.decisions.scenario_setup import as_options
from tests.unit.decisions.scenario_traffic import TrafficSteps

EXPECTED_ACTIONS = {
    "sent": actions.SendAttempt,
    "rejected": actions.Reject,
    "aborted": actions.Abort,
    "cancelled": actions.CancelAttempt,
}
NO_ACTION = ("waiting", "nothing")


class DecisionScenario(TrafficSteps):
    """One run of a scenario against `AdmissionController`, with checks of its actions."""

    def close(self) -> None:
        """Do nothing, because no resource is open."""

    def do_expect(self, what: str, *words: str) -> None:
        """Check the last action for an RPC since the previous check, or a line of the log."""
        if what == "log":
            text = " ".join(words)
            assert any(text in line for line in self.log), self.log
            return
        rpc = self.rpcs[words[0]]
        found = [type(action) for about, action in self.actions if about is rpc]
        if what in NO_ACTION:
            assert found == [], found
            return
        assert found, what
        assert found[-1] is EXPECTED_ACTIONS[what], found
        addresses = as_options(words[1:]).get("on")
        if addresses is not None:
            address = rpc.attempts[-1].endpoint.address
            assert address in addresses.split(","), address
        self.actions = [entry for entry in self.actions if entry[0] is not rpc]

    def do_tally(self, kind: str, low: str, high: str) -> None:
        """Check the number of actions since `clear`."""
        number = self._tally(kind)
        assert float(low) <= number <= float(high), f"{number} of {kind}"

    def _tally(self, kind: str) -> float:
        attempts = [action for _, action in self.actions if isinstance(action, actions.SendAttempt)]
        if kind == "requested":
            return sum(
                action.amount
                for _, action in self.actions
                if isinstance(action, actions.CounterAdd)
            )
        if kind.startswith("on:"):
            addresses = kind.removeprefix("on:").split(",")
            return sum(attempt.endpoint.address in addresses for attempt in attempts)
        if kind == "hosts":
            return len({attempt.endpoint for attempt in attempts})
        if kind == "units":
            return sum(attempt.rpc.units for attempt in attempts if attempt.number == 0)
        return sum(type(action).__name__ == kind for _, action in self.actions)

    def do_leases(self, low: str, high: str) -> None:
        """Check the number of customers with a lease in the controller's memory."""
        number = len(self.controller.lease_manager.leases)
        assert int(low) <= number <= int(high), number

    def do_forgets_gone(self) -> None:
        """Check that the subset has no endpoint that is gone."""
        subset = self.controller.load_balancer.subset
        gone = [endpoint.address for endpoint, _ in subset if endpoint.state == api.GONE]
        assert not gone, gone

    def do_clear(self) -> None:
        """Discard the recorded actions."""
        self.actions = []
