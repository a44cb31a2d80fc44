"""Epochs, ballots, generations and majorities, with the JSON form of each.

The terms are those of Paxos: an epoch is the term of one coordinator, a ballot identifies one
proposal made in an epoch, and a generation is the settings proposed under a ballot. All three are
immutable values, and epochs and ballots are totally ordered. The modules `participant` and
`coordinator` decide whether a ballot commits.
"""

from collections.abc import Callable, Collection
from typing import Any, NamedTuple, TypeGuard

from petrellane.config_consensus.errors import shorten

MAX_NUMBER = 2**53  # exclusive: JSON readers that use doubles keep smaller integers exact
MAX_NAME_LENGTH = 64  # characters
INCARNATION_SEPARATOR = "#"


class Epoch(NamedTuple):
    """The term of a coordinator: a participant that promised an epoch rejects every lower one.

    Attributes:
        number: The number of the epoch. Epochs are ordered by it first.
        control: The process that runs the coordinator, as `claimant` returns it. It orders epochs
            of the same number, which two processes may claim.
    """

    number: int
    control: str


NO_EPOCH = Epoch(0, "")


def claimant(name: str, incarnation: str) -> str:
    """Return the identity under which a control process claims epochs.

    Two processes may run under one name, for example if one replaces the other without its journal.
    Their incarnations differ, so they never claim the same epoch.

    Args:
        name: The name of the control process, of which the identity contains as much as fits.
        incarnation: The random identity of the process.
    """
    suffix = INCARNATION_SEPARATOR + incarnation
    return name[: MAX_NAME_LENGTH - len(suffix)] + suffix


class Ballot(NamedTuple):
    """The identity of one proposal; a higher ballot supersedes a lower one."""

    number: int
    epoch: Epoch

    def to_dict(self) -> dict[str, Any]:
        """Return the ballot as JSON."""
        return {"number": self.number, "epoch": list(self.epoch)}


class Generation(NamedTuple):
    """Settings proposed under a ballot.

    Attributes:
        ballot: The identity of the proposal.
        digest: The digest of the settings, which identifies their content.
        content: The settings, as a JSON object.
        roster: The names of the participants. While this generation is in force, a majority of them
            has to prepare the next one.
    """

    ballot: Ballot
    digest: str
    content: dict[str, Any]
    roster: tuple[str, ...] = ()

    @property
    def number(self) -> int:
        """The number of the ballot."""
        return self.ballot.number

    def identity_to_dict(self) -> dict[str, Any]:
        """Return the ballot and the digest as JSON, without the content."""
        return {**self.ballot.to_dict(), "digest": self.digest}

    def to_dict(self) -> dict[str, Any]:
        """Return the whole generation as JSON."""
        return {
            **self.identity_to_dict(),
            "content": self.content,
            "members": list(self.roster),
        }


def _is_valid_number(value: object) -> TypeGuard[int]:
    """Return whether a JSON value is an integer in range; `True` and `False` are not."""
    return type(value) is int and 0 <= value < MAX_NUMBER


def parse_epoch(value: object) -> Epoch:
    """Return the epoch that a JSON list of number and name represents.

    Raises:
        ValueError: `value` is not a valid epoch.
    """
    if isinstance(value, (list, tuple)) and len(value) == 2:
        number, control = value
        is_name = isinstance(control, str) and len(control) <= MAX_NAME_LENGTH
        if _is_valid_number(number) and is_name:
            return Epoch(number, control)
    raise ValueError(f"epoch: expected a number and a name, found {shorten(value)}")


def parse_ballot(value: object) -> Ballot:
    """Return the ballot that the fields `number` and `epoch` of a JSON object represent.

    Raises:
        ValueError: `value` is not an object with a valid ballot.
    """
    fields = value if isinstance(value, dict) else {}
    number = fields.get("number")
    if not _is_valid_number(number):
        raise ValueError(f"number: expected a whole number from 0, found {shorten(number)}")
    return Ballot(number, parse_epoch(fields.get("epoch")))


def parse_generation(value: object, digest: Callable[[dict[str, Any]], str]) -> Generation:
    """Return the generation that a JSON object represents, verified against its digest.

    Args:
        value: The JSON object.
        digest: A function that computes the digest of settings.

    Raises:
        ValueError: `value` is not a valid generation, or its digest does not match its content.
    """
    ballot = parse_ballot(value)
    fields: dict[str, Any] = value if isinstance(value, dict) else {}
    content = fields.get("content")
    roster = fields.get("members", [])
    if not isinstance(content, dict):  # malformed input raises ValueError, whatever its type
        raise ValueError(  # noqa: TRY004
            f"content: expected an object, found {shorten(content)}"
        )
    if not isinstance(roster, list) or not all(isinstance(name, str) for name in roster):
        raise ValueError("members: expected a list of names")
    try:
        expected = digest(content)
    except (TypeError, ValueError, AttributeError):
        raise ValueError("content: expected settings in canonical JSON") from None
    found = fields.get("digest")
    if expected != found:
        raise ValueError(
            f"digest: expected {expected}, that of the content, found {shorten(found)}"
        )
    return Generation(ballot, expected, content, tuple(roster))


def majority(roster: Collection[str]) -> int:
    """Return the size of the smallest majority of a roster."""
    return len(roster) // 2 + 1


def intersects_every_majority(
    roster: Collection[str], responders: Collection[str], has_durable_state: bool
) -> bool:
    """Return whether every majority of the roster includes a participant that has responded.

    A participant that starts checks this: once it holds, no generation can have committed without
    the knowledge of a responder.

    Args:
        roster: The names of all participants.
        responders: The names of the other participants that have answered the starting participant.
        has_durable_state: Whether the starting participant still has its own durable state, and so
            counts as a responder itself.

    Returns:
        True once every majority includes a responder. A participant that is alone on its roster
        has no peer to ask, so the result is True without any responder.
    """
    others = len(roster) - majority(roster) + (0 if has_durable_state else 1)
    return len(set(responders) & set(roster)) >= min(others, len(roster) - 1)
