"""Numbers of agreement: who speaks (an epoch), which generation, and how many gateways make a quorum."""

from typing import Any, NamedTuple


class Epoch(NamedTuple):
    """The right to change settings: of two, the higher one's word goes. `control` keeps two processes apart that took
    the same number."""

    number: int
    control: str


NO_EPOCH = Epoch(0, "")


class Ballot(NamedTuple):
    """The name of one proposed generation. Of two, the later one supersedes the other."""

    number: int
    epoch: Epoch


class Generation(NamedTuple):
    """Settings under a number. `roster` are the gateways, by name, that have to agree on the next one."""

    ballot: Ballot
    digest: str
    content: dict
    roster: tuple = ()

    @property
    def number(self):
        return self.ballot.number

    def identity_to_dict(self) -> dict[str, Any]:
        """What names it, as JSON."""
        return {"number": self.number, "epoch": list(self.ballot.epoch), "digest": self.digest}

    def to_dict(self) -> dict[str, Any]:
        """All of it, as JSON."""
        return self.identity_to_dict() | {"content": self.content, "members": list(self.roster)}


def parse_epoch(told) -> Epoch:
    """An epoch from JSON. Raises ValueError where it is none."""
    if (
        isinstance(told, (list, tuple))
        and len(told) == 2
        and type(told[0]) is int
        and 0 <= told[0] < 2**53
        and isinstance(told[1], str)
        and len(told[1]) <= 64
    ):
        return Epoch(*told)
    raise ValueError(f"epoch: expected a number and a name, found {str(told)[:40]}")


def parse_ballot(told) -> Ballot:
    """What names a generation, from JSON. Raises ValueError."""
    number = told.get("number") if isinstance(told, dict) else None
    if type(number) is not int or not 0 <= number < 2**53:
        raise ValueError(f"number: expected a whole number from 0, found {str(number)[:40]}")
    return Ballot(number, parse_epoch(told.get("epoch")))


def parse_generation(told, digest) -> Generation:
    """A generation from JSON, checked against its digest by `digest` (settings to text). Raises ValueError."""
    ballot, content, members = parse_ballot(told), told.get("content"), told.get("members", [])
    if not isinstance(content, dict):
        raise ValueError(f"content: expected an object, found {str(content)[:40]}")
    if not isinstance(members, list) or not all(isinstance(name, str) for name in members):
        raise ValueError("members: expected a list of names")
    try:
        found = digest(content)
    except (TypeError, ValueError, AttributeError):
        raise ValueError("content: expected settings in canonical JSON") from None
    if found != told.get("digest"):
        raise ValueError(
            f"digest: expected {found}, that of the content, found {str(told.get('digest'))[:40]}"
        )
    return Generation(ballot, found, content, tuple(members))


def majority(members) -> int:
    """How many of so many members make a majority."""
    return len(members) // 2 + 1


def intersects_every_majority(members, responders, remembers) -> bool:
    """Whether a gateway that starts has heard of enough others to meet every majority of the members: of each at least
    one has spoken, or is the gateway itself where it remembers what it said. One that is alone has nobody to ask."""
    others = len(members) - majority(members) + (0 if remembers else 1)
    return len(set(responders) & set(members)) >= min(others, len(members) - 1)
