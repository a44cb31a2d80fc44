"""Tests of reloaded settings in the admission controller and in the configuration parser."""

import copy
from typing import Any

import pytest

from petrellane import config
from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController
from tests.integration.gateway.configuration import BASE_CONFIG
from tests.unit.controller_settings import CONTROLLER_SETTINGS

OLD_PLAN = api.Plan("p", rate=5.0, burst=10.0, hard_limit_rate=2.0, hard_limit_burst=8.0)
SLOWER_PLAN = api.Plan("p", rate=1.0, burst=10.0, hard_limit_rate=1.0, hard_limit_burst=8.0)
SMALLER_PLAN = api.Plan("p", rate=1.0, burst=10.0, hard_limit_rate=1.0, hard_limit_burst=1.0)


def test_a_lease_goes_on_under_another_plan() -> None:
    """A lease keeps its hard limit and its attempts in flight when the customer's plan changes.

    The current window keeps its end and gets the allowance that the new plan's rate gives in the
    length of that window. The next window has the length and allowance of the new plan.
    """
    customer = api.Customer("c", OLD_PLAN)
    controller = AdmissionController(**CONTROLLER_SETTINGS, seed=1)
    controller.start(100.0)
    leases = controller.lease_manager
    lease = leases.lease_of(customer, 101.0)
    hard_limit = lease.refill_hard_limit(101.0)
    lease.in_flight = 3
    lease.available = 4.0
    customer.plan = SLOWER_PLAN
    assert leases.lease_of(customer, 101.0) is lease
    assert lease.in_flight == 3
    assert lease.refill_hard_limit(101.0) == hard_limit
    assert (lease.allowance, lease.available) == (2.0, 0.8)
    window_end = lease.window_end
    assert window_end <= 103.0
    leases.lease_of(customer, window_end)
    assert (lease.allowance, lease.available, lease.window_length) == (10.0, 0.0, 10.0)
    customer.plan = SMALLER_PLAN
    assert leases.lease_of(customer, 101.0).refill_hard_limit(101.0) == 1.0


def parse_settings(settings: dict[str, Any]) -> config.Settings:
    """Return settings as the gateway parses them."""
    return config.parse_settings(config.Section(settings, "settings"))


def test_knowledge_of_a_method_outlives_its_change_and_not_its_end() -> None:
    """A changed method keeps its latency samples; a removed method loses them."""
    before = parse_settings(BASE_CONFIG["settings"])
    changed = copy.deepcopy(BASE_CONFIG["settings"])
    changed["classes"][0]["effect"] = "side_effect"
    del changed["classes"][1]
    now = config.reload_settings(before, parse_settings(changed))
    controller = AdmissionController(
        seed=1, uses_counter=True, must_watch=False, **before.controller_options
    )
    endpoint = api.Endpoint("h")
    controller.start(0.0)
    event = api.EndpointEvent(endpoint, "", "", 0, api.READY, 1.0, 0.0)
    controller.on_endpoint_events(0.0, True, [event])
    customer = api.Customer("c", before.plans["basic"])
    for name in ("look", "lodge"):
        rpc = api.Rpc(before.methods[name], customer, 1.0, 9.0, 1.0)
        attempt = actions.SendAttempt(rpc, endpoint, 0, 1.0, 8.0)
        controller.load_balancer.on_attempt_started(attempt)
        controller.on_attempt_ended(1.1, attempt, api.OK, is_final=True, duration=0.07)
    controller.reconfigure(**now.controller_options)
    look = now.methods["look"]
    assert look is not before.methods["look"]
    assert now.methods["post"] is before.methods["post"]
    assert now.plans["basic"] is before.plans["basic"]
    balancer = controller.load_balancer
    assert balancer.typical_time(look) == pytest.approx(0.07, rel=0, abs=1e-8)
    assert before.methods["lodge"].identity not in balancer.answer_times


@pytest.mark.parametrize(
    "path",
    [
        ("name",),
        ("settings", "limits"),
        ("settings", "limits", "maxAttempts"),
        ("limits", "sockets"),
    ],
    ids=".".join,
)
def test_a_file_without_a_key_in_force_is_refused(path: tuple[str, ...]) -> None:
    """A reloaded file must contain every key of the active configuration."""
    before = config.parse_config(copy.deepcopy(BASE_CONFIG))
    changed = copy.deepcopy(BASE_CONFIG)
    place = changed
    for step in path[:-1]:
        place = place[step]
    del place[path[-1]]
    with pytest.raises(config.ConfigError, match="^" + ".".join(path) + ": missing"):
        config.parse_config(changed, None, before)


def test_a_file_without_the_last_endpoint_list_is_accepted() -> None:
    """A reloaded file may lack the last endpoint list, which is not a setting."""
    before = config.parse_config(copy.deepcopy(BASE_CONFIG))
    changed = copy.deepcopy(BASE_CONFIG)
    del changed["known"]
    config.parse_config(changed, None, before)
