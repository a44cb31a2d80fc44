"""Proposals that the control process rejects because of their settings."""

from types import SimpleNamespace
from typing import Any, NoReturn

import pytest

from petrellane.config_consensus.ballots import Ballot, Epoch, Generation
from petrellane.config_consensus.canonical_settings import digest
from petrellane.config_consensus.errors import ProposalRejected
from petrellane.config_consensus.message_authentication import CallResult
from petrellane.config_consensus.staff_calls import StaffCalls

NOW = 1000.0
METHOD = {"name": "look", "effect": "pure", "goalTime": 1, "giveUp": 4}
METHOD |= {"keyScope": "all", "streamed": True}
PLAN = {"name": "gold", "ceilingRate": 45, "ceilingBurst": 117, "ceilingSlack": 12}
IN_FORCE = {"classes": [METHOD], "contracts": [PLAN, {"name": "free"}]}


def reject(*_arguments: object) -> NoReturn:
    """Reject what has passed the check of its settings."""
    raise ProposalRejected("settings passed")


def propose(number: int, settings: dict[str, Any], *, less: bool = False) -> CallResult:
    """Propose settings while those above are in force under a number."""
    ballot = Ballot(number, Epoch(1, "a"))
    in_force = Generation(ballot, digest(IN_FORCE), IN_FORCE, ("g0",))
    coordinator: Any = SimpleNamespace(in_force=in_force, propose=reject)
    calls = StaffCalls("a", coordinator, lambda: NOW, lambda: None, {})
    message = {"do": "propose", "settings": settings, "less": less, "at": NOW, "nonce": "n"}
    return calls.handle(message)


@pytest.mark.parametrize("number", [0, 1])
@pytest.mark.parametrize("key", ["ceilingRate", "ceilingBurst", "ceilingSlack"])
def test_a_proposal_that_lacks_a_key_of_a_row_is_rejected(number: int, key: str) -> None:
    """Guards against a hard limit that a proposal drops by leaving its keys out.

    Also where the settings in force are those of the gateways' files, as before the first change.
    """
    plan = {name: value for name, value in PLAN.items() if name != key}
    lacking = IN_FORCE | {"contracts": [{"name": "free"}, plan]}
    text = f"settings.contracts[gold].{key}: missing, expected a value, as in"
    assert text in str(propose(number, lacking).message)
    assert "settings passed" in str(propose(number, lacking, less=True).message)


@pytest.mark.parametrize("number", [0, 1])
@pytest.mark.parametrize(
    ("rows", "text"),
    [
        ({"contracts": [PLAN | {"ceilingRate": None}]}, "contracts[0].ceilingRate: expected a num"),
        ({"classes": [METHOD | {"keyScope": None}]}, "classes[look].keyScope: missing"),
        ({"classes": [METHOD | {"streamed": None}]}, "classes[look].streamed: missing"),
    ],
)
def test_a_proposal_with_null_in_a_row_is_rejected(
    number: int, rows: dict[str, Any], text: str
) -> None:
    """Guards against a key that a proposal resets to its default by null."""
    assert f"settings.{text}" in str(propose(number, IN_FORCE | rows).message)


@pytest.mark.parametrize("number", [0, 1])
def test_rows_may_come_and_go_in_a_proposal(number: int) -> None:
    """The control: other rows, other values, another order."""
    raised = PLAN | {"ceilingRate": 90}
    for contracts in ([raised], [{"name": "new"}, {"name": "free"}, raised], []):
        result = propose(number, IN_FORCE | {"contracts": contracts})
        assert "settings passed" in str(result.message)
