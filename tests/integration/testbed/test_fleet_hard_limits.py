"""Hard limits hold while settings change and the counter is away."""

from petrellane import invariants
from petrellane.testbed.clients import Customer
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import (
    HARD_LIMIT_SLACK_S,
    FleetSpec,
    Settings,
    SettingsSpec,
    build_settings,
)
from tests.integration.testbed.fleets import check_run, count_answers

OLD_LIMIT = 60.0  # units a second
NEW_LIMIT = 20.0
SLACK = 2.0  # a tenth of the new limit, as the settings say
MAXIMUM_SERVED = 22.0  # RPCs a second under the new limit
CUSTOMER = Customer(7, "sold", gateway_count=3)


def settings_with(hard_limit: float) -> Settings:
    """Return settings whose plan `sold` has this hard limit."""
    return build_settings(SettingsSpec(3, quota=400.0, hard_limit=hard_limit))


def expect_new_limit(fleet: LoopbackFleet) -> None:
    """Have the invariant checker hold the run to the new limit from now on."""
    checker = fleet.records.checker
    slack = SLACK + HARD_LIMIT_SLACK_S * NEW_LIMIT
    checker.parameters.hard_limits["sold"] = invariants.HardLimit(NEW_LIMIT, NEW_LIMIT, slack)
    bucket = checker.hard_limits.buckets[CUSTOMER.key]
    lowered = bucket._replace(level=min(bucket.level, NEW_LIMIT))
    checker.hard_limits.buckets[CUSTOMER.key] = lowered


def test_a_hard_limit_is_lowered_everywhere_with_the_counter_down() -> None:
    spec = FleetSpec(
        gateways=3,
        agreement=True,
        rate=150.0,
        settings=settings_with(OLD_LIMIT),
        work=0.002,
        customers=[CUSTOMER],
    )
    with LoopbackFleet(spec) as fleet:
        fleet.start()
        fleet.clients.start()
        fleet.run_for(1.5)
        fleet.counter.unresponsive = True
        fleet.run_for(0.5)
        assert fleet.change_settings(settings_with(NEW_LIMIT))["outcome"] == "committed"
        fleet.run_for(1.0)
        expect_new_limit(fleet)
        began, served = fleet.records.now(), count_answers(fleet, invariants.OK)
        fleet.run_for(3.0)
        served = count_answers(fleet, invariants.OK) - served
        seconds = fleet.records.now() - began
        check_run(fleet)
        assert served / seconds < MAXIMUM_SERVED
