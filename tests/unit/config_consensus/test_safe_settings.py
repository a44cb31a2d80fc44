"""The meet of settings, their digest, and the description of a change."""

import random

from hypothesis import given
from hypothesis import strategies as st

from petrellane.config_consensus import canonical_settings, safe_settings, settings_diff
from petrellane.config_consensus.canonical_settings import Settings

NUMBERS = st.integers(0, 5)
METHODS = st.fixed_dictionaries(
    {
        "name": st.sampled_from("abc"),
        "effect": st.sampled_from(["pure", "token", "side_effect"]),
    },
    optional={
        "goalTime": NUMBERS,
        "giveUp": NUMBERS,
        "keyScope": st.sampled_from(["cell", "zone", "all", ""]),
        "window": NUMBERS,
        "worth": NUMBERS,
        "streamed": st.booleans(),
    },
)
PLAN_LIMITS = (
    "quotaRate",
    "storeSize",
    "ceilingRate",
    "ceilingBurst",
    "ceilingSlack",
    "maxOut",
    "pays",
)
PLANS = st.fixed_dictionaries(
    {"name": st.sampled_from("pqr")}, optional=dict.fromkeys(PLAN_LIMITS, NUMBERS)
)
SETTINGS = st.fixed_dictionaries(
    {
        "classes": st.lists(METHODS, max_size=3, unique_by=lambda row: row["name"]),
        "contracts": st.lists(PLANS, max_size=3, unique_by=lambda row: row["name"]),
    },
    optional={
        "limits": st.fixed_dictionaries(
            {}, optional={"maxAttempts": NUMBERS, "mayCancel": st.booleans()}
        ),
        "replicasOfMe": NUMBERS,
        "newer": NUMBERS,
        "report": st.fixed_dictionaries({"fields": st.lists(st.sampled_from("xyz"), unique=True)}),
    },
)


@given(SETTINGS, SETTINGS, SETTINGS)
def test_the_meet_is_a_greatest_lower_bound(
    left: Settings, right: Settings, third: Settings
) -> None:
    """It is commutative, associative and idempotent, and both settings allow it."""
    met = safe_settings.meet(left, right)
    assert met == safe_settings.meet(right, left)
    assert safe_settings.meet(left, left) == canonical_settings.with_defaults(left)
    regrouped = safe_settings.meet(left, safe_settings.meet(right, third))
    assert safe_settings.meet(met, third) == regrouped
    assert safe_settings.allows(left, met)
    assert safe_settings.allows(right, met)


@given(SETTINGS, SETTINGS)
def test_the_meet_allows_nothing_that_either_forbids(left: Settings, right: Settings) -> None:
    """Each method, plan and limit of the meet is within those of both."""
    met = safe_settings.meet(left, right)
    for settings in (
        canonical_settings.with_defaults(left),
        canonical_settings.with_defaults(right),
    ):
        methods = {row["name"]: row for row in settings["classes"]}
        for row in met["classes"]:
            check_method_is_narrower(row, methods[row["name"]])
        plans = {row["name"]: row for row in settings["contracts"]}
        for row in met["contracts"]:
            check_plan_is_narrower(row, plans[row["name"]])
        assert met["limits"]["maxAttempts"] <= settings["limits"]["maxAttempts"]


def check_method_is_narrower(met: Settings, method: Settings) -> None:
    """Check that a method of the meet does nothing that the method of one version forbids."""
    uses_same_command = (met["effect"] == "pure") == (method["effect"] == "pure")
    assert uses_same_command
    lacks_expected_key = met["effect"] == "side_effect" and method["effect"] == "token"
    assert not lacks_expected_key
    assert met["giveUp"] <= method["giveUp"]
    if method["effect"] == "side_effect":  # no retry of what the host may have executed
        assert (met["keyScope"], met["window"]) == ("none", 0)


def check_plan_is_narrower(met: Settings, plan: Settings) -> None:
    """Check that no limit of the meet is above that of one version, where 0 means no limit."""
    for limit in ("quotaRate", "ceilingRate", "maxOut"):
        if plan[limit]:
            assert 0 < met[limit] <= plan[limit]


@given(SETTINGS, st.randoms())
def test_equal_settings_have_one_digest(settings: Settings, chance: random.Random) -> None:
    """Order, a gateway's own keys and absent values make no difference."""
    shuffled = dict(chance.sample(list(settings.items()), len(settings)))
    shuffled["classes"] = chance.sample(settings["classes"], len(settings["classes"]))
    shuffled = {"locality": "own", **shuffled, "unsaid": None}
    assert canonical_settings.digest(settings) == canonical_settings.digest(shuffled)
    assert settings_diff.describe_changes(settings, shuffled) == []


@given(SETTINGS, SETTINGS)
def test_changes_are_described_where_settings_differ(left: Settings, right: Settings) -> None:
    """There is a description where settings differ, and none where they do not."""
    is_equal = canonical_settings.with_defaults(left) == canonical_settings.with_defaults(right)
    assert (not settings_diff.describe_changes(left, right)) == is_equal


def test_description_of_changes() -> None:
    """The description names removed, added and changed rows, with old and new values."""
    before = {
        "classes": [{"name": "look", "effect": "pure", "giveUp": 4_000_000}],
        "contracts": [{"name": "sold", "ceilingRate": 40}],
    }
    after = {
        "classes": [{"name": "post", "effect": "side_effect"}],
        "contracts": [{"name": "sold", "ceilingRate": 20}],
        "limits": {"maxAttempts": 2},
    }
    assert settings_diff.describe_changes(before, after) == [
        "method look: gone",
        "method post: new, effect non-idempotent",
        "plan sold: ceiling 40 to 20",
        "all: attempts 1 to 2",
    ]
