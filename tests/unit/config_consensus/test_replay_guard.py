"""Protection against replays: a call of staff has no effect when it is sent again."""

import pytest

from petrellane.config_consensus.message_authentication import AuthenticationError
from petrellane.config_consensus.staff_calls import MAX_CALL_AGE_S, ReplayGuard

NOW = 1000.0


def test_a_call_of_staff_counts_once() -> None:
    """A nonce is accepted once."""
    guard = ReplayGuard(lambda: NOW)
    guard.check({"at": NOW, "nonce": "a"})
    with pytest.raises(AuthenticationError):
        guard.check({"at": NOW, "nonce": "a"})
    guard.check({"at": NOW, "nonce": "b"})


@pytest.mark.parametrize("sent_at", [NOW - MAX_CALL_AGE_S - 1, 1061.0, None, "1000", [1]])
def test_a_call_of_staff_is_new(sent_at: object) -> None:
    """A call is rejected if its time is too old, in the future, missing or not a number."""
    with pytest.raises(AuthenticationError, match="at: expected a new call of the last 60 s"):
        ReplayGuard(lambda: NOW).check({"at": sent_at, "nonce": "a"})


def test_a_nonce_is_remembered_as_long_as_its_call_could_be_new() -> None:
    """A replay is rejected as long as its time is valid, even if the sender's clock is ahead."""
    times = iter([NOW, NOW + 2 * MAX_CALL_AGE_S])
    guard = ReplayGuard(lambda: next(times))
    sent_at = NOW + MAX_CALL_AGE_S
    guard.check({"at": sent_at, "nonce": "a"})
    with pytest.raises(AuthenticationError):
        guard.check({"at": sent_at, "nonce": "a"})
