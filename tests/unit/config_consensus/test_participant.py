"""The answers and the state of a participant, and the times at which it may admit."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from petrellane.config_consensus import canonical_settings, errors, participant, safe_settings
from petrellane.config_consensus.ballots import (
    MAX_NAME_LENGTH,
    Ballot,
    Epoch,
    Generation,
    claimant,
)
from petrellane.config_consensus.messages import JsonObject, PeerState
from petrellane.config_consensus.participant import ParticipantState
from tests.unit.config_consensus.participant_states import (
    EPOCH,
    GENERATIONS,
    ROSTER,
    state_with_prepared,
)
from tests.unit.config_consensus.settings_examples import NEW_SETTINGS, OTHER_SETTINGS, accept

BASE = Ballot(0, EPOCH)
# Without a roster, as if its coordinator had none.
PROPOSED = Generation(Ballot(1, EPOCH), canonical_settings.digest(NEW_SETTINGS), NEW_SETTINGS)

NUMBERS = st.integers(0, 5)
FIELDS = ["do", "epoch_of", "number", "epoch", "digest", "content", "base"]
KINDS = ["prepare", "commit", "deny", "promise", "content", "state"]
VALUES = st.one_of(
    st.none(),
    NUMBERS,
    st.text(max_size=3),
    st.lists(NUMBERS, max_size=2),
    st.sampled_from(KINDS),
)


def request(kind: str, generation: Generation, **fields: object) -> dict[str, Any]:
    """Return a request about a generation as JSON, with some fields replaced."""
    body = {
        "do": kind,
        "epoch_of": list(EPOCH),
        "base": BASE.to_dict(),
        **generation.to_dict(),
    }
    return body | fields


def handle(state: ParticipantState, message: JsonObject) -> ParticipantState:
    """Return the state of a participant after a request."""
    after, _ = participant.handle_message(state, message, accept)
    return after


def test_a_late_commit_changes_nothing() -> None:
    """A commit of an earlier generation does not replace the one in force."""
    state = handle(state_with_prepared(1, 2), request("commit", GENERATIONS[2]))
    assert handle(state, request("commit", GENERATIONS[1])).in_force == GENERATIONS[2]


def test_a_later_generation_stays_prepared() -> None:
    """A commit leaves later generations prepared; the gateway admits what all of them allow."""
    state = handle(state_with_prepared(1, 2), request("commit", GENERATIONS[1]))
    assert (state.in_force, state.prepared) == (GENERATIONS[1], (GENERATIONS[2],))
    met = safe_settings.meet(NEW_SETTINGS, OTHER_SETTINGS)
    assert participant.admissible_settings(state) == met


@pytest.mark.parametrize(
    ("cause", "fields"),
    [
        pytest.param("epoch", {"epoch_of": [0, "a"]}, id="lower-epoch"),
        pytest.param("form", {"digest": "00"}, id="other-digest"),
        pytest.param("form", {"number": -1}, id="negative-number"),
        pytest.param("form", {"content": 3}, id="content-that-is-no-object"),
        pytest.param("behind", {"base": {"number": 1, "epoch": [1, "a"]}}, id="unknown-base"),
        pytest.param("form", {"do": "else"}, id="unknown-kind"),
        pytest.param("form", {"epoch_of": ["x"]}, id="malformed-epoch"),
    ],
)
def test_a_request_that_is_rejected(cause: str, fields: dict[str, object]) -> None:
    """A rejection has the cause that is sent on the wire."""
    state = state_with_prepared()
    with pytest.raises(errors.MessageRejected) as rejection:
        handle(state, request("prepare", PROPOSED, **fields))
    assert rejection.value.cause == cause


def test_an_aborted_generation_is_rejected() -> None:
    """A generation cannot be prepared after its abort."""
    state = handle(state_with_prepared(), request("deny", GENERATIONS[1]))
    with pytest.raises(errors.MessageRejected) as rejection:
        handle(state, request("prepare", PROPOSED))
    assert rejection.value.cause == "past"


def test_settings_that_are_not_valid_are_rejected() -> None:
    """The rejection contains the reason from the validator."""
    reason = "settings.classes: wrong"
    with pytest.raises(errors.MessageRejected) as rejection:
        participant.handle_message(
            state_with_prepared(), request("prepare", PROPOSED), lambda _settings: reason
        )
    assert (rejection.value.status, rejection.value.text) == (422, reason)


@given(st.dictionaries(st.sampled_from(FIELDS), VALUES))
def test_any_message_has_an_answer(message: dict[str, Any]) -> None:
    """A malformed message is rejected; no other error is raised."""
    state = state_with_prepared(1)
    try:
        after, answer = participant.handle_message(state, message, accept)
    except errors.MessageRejected as rejection:
        assert rejection.status in (400, 404, 409, 422)
    else:
        assert after.promised >= state.promised
        assert "refused" not in answer.to_dict()


def test_a_gateway_that_stalled_polls_its_peers_again() -> None:
    """After a stall, a gateway admits only once a peer answers, as it may have missed a change."""
    status = participant.ParticipantStatus("g0", ROSTER, True, 0.0)
    assert not status.may_admit(0.1)
    status.on_peer_answered("g1", 0)
    assert status.may_admit(0.1)
    after_stall = 0.1 + participant.STALL_LIMIT_S
    assert not status.may_admit(after_stall)  # even before `check_stall` detects the stall
    assert status.check_stall(after_stall)
    assert not status.knows_in_force
    status.on_peer_answered("g1", 0)  # an answer to a query sent before the stall
    assert not status.knows_in_force
    status.on_peer_answered("g1", status.stall_count)
    assert status.knows_in_force
    status.set_roster(("g1", "g2"))
    status.on_peer_answered("g2", status.stall_count)
    assert not status.knows_in_force  # coordinators do not notify gateways outside the roster


CONFLICTING = Generation(PROPOSED.ballot, canonical_settings.digest(OTHER_SETTINGS), OTHER_SETTINGS)


@pytest.mark.parametrize("kind", ["prepare", "commit"])
@pytest.mark.parametrize("is_in_force", [False, True])
def test_another_content_under_a_known_ballot_is_rejected(kind: str, is_in_force: bool) -> None:
    """Guards against two contents under one ballot: one was put in force that nobody decided."""
    known = state_with_prepared(1)
    if is_in_force:
        known = participant.put_in_force(known, known.prepared[0])
    with pytest.raises(errors.MessageRejected) as rejected:
        handle(known, request(kind, CONFLICTING))
    assert rejected.value.cause is errors.RejectionCause.CONFLICTING_CONTENT
    assert CONFLICTING.digest in rejected.value.text


def test_the_content_in_force_at_a_peer_replaces_another_one_of_its_ballot() -> None:
    """A gateway that prepared other settings under a ballot takes those that are in force."""
    report = PeerState(CONFLICTING.ballot, CONFLICTING.digest, (), (), ROSTER)
    known = state_with_prepared(1)
    assert participant.missing_ballots(known, report) == [CONFLICTING.ballot]
    after = participant.merge_peer_state(known, report, [CONFLICTING], accept)
    assert after.in_force == CONFLICTING
    assert not after.prepared


def test_epochs_of_the_build_before_are_ordered_among_those_of_this_one() -> None:
    """In a mixed fleet, two processes of one name and number have different epochs too."""
    before = Epoch(1, "control-a")
    after = Epoch(1, claimant("control-a", "0123456789abcdef"))
    assert before < after < Epoch(2, "control-a")
    promised = handle(state_with_prepared(), request("promise", PROPOSED, epoch_of=list(after)))
    assert promised.promised == after
    with pytest.raises(errors.MessageRejected) as rejected:
        handle(promised, request("promise", PROPOSED, epoch_of=list(before)))
    assert rejected.value.cause is errors.RejectionCause.STALE_EPOCH


def test_the_identity_of_a_control_process_fits_into_an_epoch() -> None:
    """The longest name is cut, the incarnation stays complete."""
    identity = claimant("n" * MAX_NAME_LENGTH, "0123456789abcdef")
    assert len(identity) == MAX_NAME_LENGTH
    assert identity.endswith("#0123456789abcdef")
