"""Settings, generations and states of participants, in the form in which they are stored."""

from tests.compatibility import build
from tests.compatibility.files import Json

OLD_SETTINGS: Json = {
    "classes": [
        {"name": "look", "effect": "pure", "goalTime": 1000000, "giveUp": 4000000, "worth": 1}
    ],
    "contracts": [{"name": "basic", "quotaRate": 50, "storeSize": 100, "pays": 1}],
    "discovery": "push",
    "familyInfo": {"counterTimeout": 80000, "mayCount": True},
    "limits": {
        "connIdle": 30000000,
        "dialTimeout": 250000,
        "mayCancel": True,
        "maxAttempts": 4,
        "maxRetryAfter": 500000,
        "retryAfter": True,
        "streamsPerConn": 4,
    },
    "obligations": {"cold": 0, "coldFrom": 1},
}
NEW_SETTINGS: Json = {
    **OLD_SETTINGS,
    "contracts": [{"name": "basic", "quotaRate": 20, "storeSize": 120, "pays": 2}],
}
PARTICIPANTS = ["g1", "g2", "g3"]

Epoch = tuple[int, str]

FIRST_EPOCH: Epoch = (1, "c1")
OTHER_EPOCH: Epoch = (2, "c2")
EPOCH: Epoch = (3, "c1")  # of the control process that speaks
LATER_EPOCH: Epoch = (4, "c2")


def generation(number: int, settings: Json, epoch: Epoch = FIRST_EPOCH) -> Json:
    """Return a complete generation."""
    return {
        "number": number,
        "epoch": list(epoch),
        "digest": build.digest(settings),
        "content": settings,
        "members": PARTICIPANTS,
    }


def identity(full_generation: Json) -> Json:
    """Return what names a generation, without its settings."""
    return {key: full_generation[key] for key in ("number", "epoch", "digest")}


def ballot(number: int, epoch: Epoch) -> Json:
    """Return a ballot."""
    return {"number": number, "epoch": list(epoch)}


def participant_state(
    number: int = 2,
    promised: Epoch = EPOCH,
    prepared: list[Json] | None = None,
    aborted: list[Json] | None = None,
) -> Json:
    """Return what a participant remembers; generation `number` is in force."""
    return {
        "in_force": generation(number, OLD_SETTINGS),
        "promised": list(promised),
        "possible": prepared or [],
        "denied": aborted or [],
    }
