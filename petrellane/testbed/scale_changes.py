"""Changes of settings in a scale run: proposed as staff does, and followed to their end."""

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypedDict

from petrellane.config_consensus import message_authentication, rpc_client
from petrellane.testbed.fake_server import LIMITS
from petrellane.testbed.fleet_spec import Settings

if TYPE_CHECKING:
    from petrellane.testbed.scale_process import ScaleProcess
    from petrellane.testbed.testbed import ScaleTestbed

ANSWER_TIMEOUT_S = 30.0  # of the control process
CHANGE_TIMEOUT_S = 60.0  # for a change to end
POLL_INTERVAL_S = 0.25
CUT_TIMEOUT_S = 10.0  # for all processes to cut their gateways off
CUT_CHECK_S = 0.01
HEAL_DELAY_S = 1.0  # between a change's end and the end of its cut
MAXIMUM_REASON = 200


class ProposedChange(TypedDict):
    """One change: Unix time of its proposal, its number, its outcome and the reason."""

    since: float
    number: int | None
    outcome: str | None
    why: str


class SettingsChanges:
    """The changes of one run, owned by its testbed.

    Attributes:
        proposed: The changes that have ended, in order.
    """

    def __init__(self, testbed: "ScaleTestbed", settings_of: Callable[[int], Settings]) -> None:
        """Plan changes; `settings_of` gives the settings after so many changes."""
        self.proposed: list[ProposedChange] = []
        self._testbed = testbed
        self._settings_of = settings_of

    def run(self) -> None:
        """Make all changes, one after the other, spread over the steady phase; in a greenlet."""
        parameters = self._testbed.parameters
        began = time.monotonic()
        for number in range(parameters.settings_changes):
            due = began + parameters.seconds * (number + 0.5) / parameters.settings_changes
            self._testbed.scheduler.wait(max(0.0, due - time.monotonic()))
            self._propose(number)

    def _propose(self, number: int) -> None:
        """Make one change, and follow it to its end."""
        testbed = self._testbed
        if testbed.parameters.cut:
            self._cut_off(number + 1)
        since = time.time()
        change = self._ask("propose", settings=self._settings_of(number + 1), by="rig")
        while change.get("outcome") == "preparing" and time.time() < since + CHANGE_TIMEOUT_S:
            testbed.scheduler.wait(POLL_INTERVAL_S)
            change = self._ask("change", number=change["number"]) or change
        self.proposed.append(
            {
                "since": since,
                "number": change.get("number"),
                "outcome": change.get("outcome", change.get("refused")),
                "why": str(change.get("why", ""))[:MAXIMUM_REASON],
            }
        )
        if testbed.parameters.cut:
            testbed.scheduler.wait(HEAL_DELAY_S)
            testbed.command_all("heal")

    def _cut_off(self, times: int) -> None:
        """Cut gateways off, and wait until each process has done so `times` times in all."""
        testbed = self._testbed
        testbed.command_all("cut")
        limit = time.time() + CUT_TIMEOUT_S
        for process in testbed.processes_of_role("hollow"):
            while _count_cuts(process) < times and time.time() < limit:
                testbed.scheduler.wait(CUT_CHECK_S)

    def _ask(self, command: str, **arguments: object) -> dict[str, Any]:
        """Call the control process as staff does; return its answer, or why there is none."""
        testbed = self._testbed
        client = rpc_client.RpcClient(testbed.scheduler, LIMITS, testbed.files.key)
        address = (testbed.addresses.ip, testbed.files.control_port)
        message = {"do": command, "to": "control", **arguments}
        path = message_authentication.STAFF_PATH
        try:
            answer: dict[str, Any] = client.call(address, path, message, ANSWER_TIMEOUT_S)
        except rpc_client.RpcError as error:
            return {"refused": "silent", "why": str(error)}
        return answer


def _count_cuts(process: "ScaleProcess") -> int:
    """Return how often a process has cut its gateways off."""
    return sum(event["event"] == "cut_off" for event in process.events)
