"""The handler of calls from staff (operators) to a control process: proposals and queries.

The handler validates settings before it proposes them; the coordinator decides whether it accepts
the proposal now. The caller has already been authenticated with the shared key. The control process
accepts each call only once.
"""

from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any

from petrellane.config import ConfigError, Section, check_no_key_removed, parse_settings
from petrellane.config_consensus import canonical_settings, safe_settings
from petrellane.config_consensus.ballots import Generation
from petrellane.config_consensus.changes import Change, ChangeOutcome
from petrellane.config_consensus.coordinator import Coordinator
from petrellane.config_consensus.errors import ProposalRejected, shorten
from petrellane.config_consensus.leadership import CoordinatorState
from petrellane.config_consensus.message_authentication import (
    AuthenticationError,
    CallResult,
)
from petrellane.config_consensus.messages import JsonObject
from petrellane.config_consensus.staff_messages import StaffCall, StaffRejection, reject_call

MAX_CALL_AGE_S = 60.0  # maximum difference between a call's time stamp and the local clock
MAX_AUTHOR_CHARACTERS = 64

Clock = Callable[[], float]  # returns the Unix time, in seconds


class ReplayGuard:
    """Accepts each call of staff once, and only if its time stamp is recent; owned by `StaffCalls`.

    It prevents an attacker from recording a call and sending it again. It stores each nonce for
    twice MAX_CALL_AGE_S, because the caller's clock may be ahead by as much as MAX_CALL_AGE_S.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._nonces: dict[str, float] = {}  # nonce -> Unix time at which it expires

    def check(self, message: JsonObject) -> None:
        """Accept a call and store its nonce.

        Raises:
            AuthenticationError: The call is a replay, or its time stamp is invalid or too far from
                the local time.
        """
        now = self._clock()
        sent_at = message.get("at")
        nonce = str(message.get("nonce"))
        if not _is_recent(sent_at, now) or nonce in self._nonces:
            raise AuthenticationError(
                f"at: expected a new call of the last {MAX_CALL_AGE_S:g} s, by a clock that is "
                "about right"
            )
        self._nonces = {kept: until for kept, until in self._nonces.items() if until > now}
        self._nonces[nonce] = now + 2 * MAX_CALL_AGE_S


def _is_recent(sent_at: object, now: float) -> bool:
    return isinstance(sent_at, (int, float)) and abs(now - sent_at) <= MAX_CALL_AGE_S


class StaffCalls:
    """Answers the calls of staff; owned by the control service."""

    def __init__(
        self,
        name: str,
        coordinator: Coordinator,
        clock: Clock,
        on_proposed: Callable[[], None],
        call_counts: Mapping[str, int],
    ) -> None:
        """Create a handler of calls.

        Args:
            name: The name of the control process.
            coordinator: The coordinator, which receives the proposals.
            clock: The clock, which returns the Unix time in seconds.
            on_proposed: The function to call after a proposal has been accepted.
            call_counts: The number of messages sent to participants, by kind, for the status.
        """
        self._name = name
        self._coordinator = coordinator
        self._clock = clock
        self._on_proposed = on_proposed
        self._call_counts = call_counts
        self._replay_guard = ReplayGuard(clock)
        self._handlers: dict[StaffCall, Callable[[JsonObject], CallResult]] = {
            StaffCall.STATUS: self._answer_status,
            StaffCall.HISTORY: self._answer_history,
            StaffCall.SHOW: self._answer_show,
            StaffCall.BACK: self._propose_again,
            StaffCall.PROPOSE: self._answer_propose,
            StaffCall.CHANGE: self._answer_change,
        }

    def handle(self, message: JsonObject) -> CallResult:
        """Answer an authenticated message.

        Raises:
            AuthenticationError: The message is a replay, or its time stamp is not recent.
        """
        self._replay_guard.check(message)
        kind: Any = message.get("do")
        try:
            call = StaffCall(kind)
        except ValueError:
            return _reject_kind(message)
        return self._handlers[call](message)

    # Proposals.

    def _answer_propose(self, message: JsonObject) -> CallResult:
        proposed = message.get("settings")
        if not isinstance(proposed, dict):
            return _reject_kind(message)
        return self._propose(proposed, message)

    def _propose_again(self, message: JsonObject) -> CallResult:
        """Propose the settings of an earlier generation."""
        generation = self._find_generation(message.get("number"))
        if not generation:
            return _reject_generation(message)
        return self._propose(generation.content, message)

    def _propose(self, proposed: JsonObject, message: JsonObject) -> CallResult:
        """Validate settings and propose them."""
        content = canonical_settings.shared_settings(proposed)
        without = message.get("without", [])
        if not isinstance(without, list) or not all(isinstance(name, str) for name in without):
            return reject_call(StaffRejection.MALFORMED, "without: expected a list of names")
        try:
            self._validate(content, allow_missing_keys=bool(message.get("less")))
        except (ConfigError, ValueError, TypeError, AttributeError, KeyError) as error:
            return reject_call(StaffRejection.SETTINGS, str(error))
        author = str(message.get("by", ""))[:MAX_AUTHOR_CHARACTERS]
        try:
            change = self._coordinator.propose(content, tuple(without), author, self._clock())
        except ProposalRejected as error:
            return reject_call(StaffRejection.NOT_NOW, str(error))
        except OSError as error:
            return reject_call(StaffRejection.JOURNAL, str(error))
        self._on_proposed()
        return CallResult(HTTPStatus.OK, self._describe_progress(change))

    def _validate(self, content: JsonObject, allow_missing_keys: bool) -> None:
        """Check settings alone, and in combination with those in force.

        The combination permits only what both permit. Gateways use it to admit RPCs while the
        outcome of the change is in doubt.

        Args:
            content: The proposed settings.
            allow_missing_keys: Whether keys of the settings in force may be missing.

        Raises:
            ConfigError: A gateway would reject the settings. Malformed values may also raise
                ValueError, TypeError, AttributeError or KeyError.
        """
        parse_settings(Section(content, "settings"))
        in_force = self._coordinator.in_force
        if not in_force:
            return
        if not allow_missing_keys:
            check_no_key_removed(in_force.content, content, "settings")
        parse_settings(Section(safe_settings.meet(in_force.content, content), "settings"))

    # Queries.

    def _answer_status(self, _message: JsonObject) -> CallResult:
        """Return the settings in force, the change in progress and each participant's state."""
        coordinator = self._coordinator
        in_force = coordinator.in_force
        change = coordinator.change
        is_leading = coordinator.state == CoordinatorState.LEADING
        return CallResult(
            HTTPStatus.OK,
            {
                "control": self._name,
                "state": coordinator.state,
                "why": coordinator.reason,
                "epoch": list(coordinator.epoch),
                "in_force": in_force.identity_to_dict() if in_force else None,
                "under_way": self._describe_progress(change) if change else None,
                "calls": dict(self._call_counts),
                "settled": is_leading and not change and not coordinator.in_doubt,
                "seeking": coordinator.state == CoordinatorState.SEEKING,
                "gateways": {
                    name: self._describe_participant(name)
                    for name in coordinator.all_participants()
                },
            },
        )

    def _describe_participant(self, name: str) -> JsonObject:
        return self._coordinator.describe_participant(name)._asdict()

    def _answer_history(self, _message: JsonObject) -> CallResult:
        history = sorted(self._coordinator.history.items())
        return CallResult(HTTPStatus.OK, {"history": [change.to_dict() for _, change in history]})

    def _answer_show(self, message: JsonObject) -> CallResult:
        generation = self._find_generation(message.get("number"))
        if not generation:
            return _reject_generation(message)
        return CallResult(HTTPStatus.OK, generation.to_dict())

    def _answer_change(self, message: JsonObject) -> CallResult:
        number = message.get("number")
        for ballot, change in self._coordinator.history.items():
            if ballot.number == number:
                return CallResult(HTTPStatus.OK, self._describe_progress(change))
        return reject_call(StaffRejection.UNKNOWN, f"no change {number}")

    def _find_generation(self, number: Any) -> Generation | None:  # noqa: ANN401 - a JSON value
        """Return the committed generation with a number, else the latest proposed one, if any."""
        in_force = self._coordinator.in_force
        if in_force and in_force.number == number:
            return in_force
        history = sorted(self._coordinator.history.items())
        changes = [change for ballot, change in history if ballot.number == number]
        committed = [change for change in changes if change.outcome == ChangeOutcome.COMMITTED]
        candidates = committed or changes
        return candidates[-1].generation if candidates else None

    def _describe_progress(self, change: Change) -> JsonObject:
        """Return the outcome of a change and the participants that have its settings in force."""
        coordinator = self._coordinator
        ballot = change.generation.ballot
        states = coordinator.participant_states
        participants = coordinator.all_participants()
        reached = [
            name for name in participants if name in states and states[name].in_force >= ballot
        ]
        pending = [
            name
            for name in change.participants
            if name not in reached and name not in change.confirmed_absent
        ]
        return change.to_dict() | {
            "reached": len(reached),
            "of": len(participants),
            "owed": sorted(pending),
            "control": coordinator.state,
        }


def _reject_kind(message: JsonObject) -> CallResult:
    found = shorten(message.get("do"))
    return reject_call(StaffRejection.MALFORMED, f"do: expected a known word, found {found}")


def _reject_generation(message: JsonObject) -> CallResult:
    number = message.get("number")
    return reject_call(StaffRejection.UNKNOWN, f"generation {number}: expected one of the history")
