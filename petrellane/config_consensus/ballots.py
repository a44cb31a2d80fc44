"""Epochs, ballots, generations and majorities, with the JSON form of each.

As in Paxos: an epoch is one coordinator's term, a ballot names one proposal made in an epoch, and
a generation is the settings that were proposed under a ballot. All of these are immutable values
with a total order. Whether a ballot commits is decided in `participant` and `coordinator`.
"""

from collections.abc import Callable, Collection
from typing import Any, NamedTuple, TypeGuard

from petrellane.config_consensus.errors import shorten

MAX_NUMBER = 2**53  # numbers stay below this, so that every JSON reader keeps them exact
MAX_NAME_LENGTH = 64


class Epoch(NamedTuple):
    """A coordinator's term: participants that promised an epoch reject every lower one.

    `control` is the name of the control process; it orders two processes that took one number.
    """

    number: int
    control: str


NO_EPOCH = Epoch(0, "")


class Ballot(NamedTuple):
    """The identity of one proposal; a later ballot supersedes an earlier one."""

    number: int
    epoch: Epoch

    def to_dict(self) -> dict[str, Any]:
        """The ballot as JSON."""
        return {"number": self.number, "epoch": list(self.epoch)}


class Generation(NamedTuple):
    """Settings proposed under a ballot.

    `roster` names the participants whose majority has to prepare the next generation.
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
        """Ballot and digest as JSON, without the content."""
        return {**self.ballot.to_dict(), "digest": self.digest}

    def to_dict(self) -> dict[str, Any]:
        """The whole generation as JSON."""
        return {
            **self.identity_to_dict(),
            "content": self.content,
            "members": list(self.roster),
        }


def _is_number(value: object) -> TypeGuard[int]:
    """Whether a JSON value is a whole number in range; `True` is none."""
    return type(value) is int and 0 <= value < MAX_NUMBER


def parse_epoch(value: object) -> Epoch:
    """An epoch from JSON: a list of number and name.

    Raises:
        ValueError: `value` is no epoch.
    """
    if isinstance(value, (list, tuple)) and len(value) == 2:
        number, control = value
        is_name = isinstance(control, str) and len(control) <= MAX_NAME_LENGTH
        if _is_number(number) and is_name:
            return Epoch(number, control)
    raise ValueError(f"epoch: expected a number and a name, found {shorten(value)}")


def parse_ballot(value: object) -> Ballot:
    """A ballot from a JSON object that has its number and epoch.

    Raises:
        ValueError: `value` holds no ballot.
    """
    fields = value if isinstance(value, dict) else {}
    number = fields.get("number")
    if not _is_number(number):
        raise ValueError(f"number: expected a whole number from 0, found {shorten(number)}")
    return Ballot(number, parse_epoch(fields.get("epoch")))


def parse_generation(value: object, digest: Callable[[dict[str, Any]], str]) -> Generation:
    """A generation from JSON, checked against its digest.

    Args:
        value: the JSON object.
        digest: computes the digest of settings.

    Raises:
        ValueError: `value` is no generation, or its digest is not that of its content.
    """
    ballot = parse_ballot(value)
    fields: dict[str, Any] = value if isinstance(value, dict) else {}
    content = fields.get("content")
    roster = fields.get("members", [])
    if not isinstance(content, dict):  # malformed input is a ValueError, whatever its type
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
    """The size of the smallest majority of a roster."""
    return len(roster) // 2 + 1


def intersects_every_majority(
    roster: Collection[str], responders: Collection[str], remembers: bool
) -> bool:
    """Whether the participants that answered have a member in every majority of the roster.

    Args:
        roster: all participants.
        responders: the others that have answered a participant that starts.
        remembers: whether that participant still has its own state, and so counts itself.

    Returns:
        True once no majority can have committed without a responder knowing. A participant that
        is alone on its roster has nobody to ask.
    """
    others = len(roster) - majority(roster) + (0 if remembers else 1)
    return len(set(responders) & set(roster)) >= min(others, len(roster) - 1)
