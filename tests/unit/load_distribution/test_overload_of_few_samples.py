"""The overload that a gateway estimates from few samples."""

from collections.abc import Sequence

from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController

START = 100.0
METHOD = api.Method("m", 1.0, 4.0)  # a latency objective of one second
CUSTOMER = api.Customer("c", api.Plan("p"))


def start_controller() -> AdmissionController:
    """Return the controller of a gateway without a shared counter, with 20 endpoints."""
    controller = AdmissionController(
        seed=1,
        uses_counter=False,
        must_watch=False,
        zone="z",
        counter_timeout=0.05,
        may_cancel=True,
        max_retry_after=0.5,
        slow_start=0.0,
        slow_start_minimum=1.0,
        cross_zone_price=0.0,
    )
    controller.start(START)
    endpoints = [
        api.EndpointEvent(api.Endpoint(f"h{number}"), "z", "", 0, api.READY, 1.0, 0.0)
        for number in range(20)
    ]
    controller.on_endpoint_events(START, True, endpoints)
    return controller


def overload_after(durations: Sequence[float], interval: float = 0.15) -> float:
    """Return the overload after consecutive RPCs with the given durations in seconds.

    Args:
        durations: The durations of the RPCs, in ascending order.
        interval: The minimum number of seconds between the starts of two RPCs.
    """
    controller = start_controller()
    now = START
    for duration in durations:
        now += max(interval, duration)  # the previous RPC has ended
        rpc = api.Rpc(METHOD, CUSTOMER, 1.0, now + 4.0, now)
        attempt = next(
            action
            for action in controller.admit(now, rpc)
            if isinstance(action, actions.SendAttempt)
        )
        controller.on_attempt_ended(
            now + duration, attempt, api.OK, is_final=True, duration=duration
        )
    return controller.load_balancer.overload(now + durations[-1])


def test_a_run_of_long_rpcs_among_few_is_chance_and_no_overload() -> None:
    assert overload_after(48 * [0.1] + 16 * [0.27], interval=0.15) == 0.0


def test_long_rpcs_alone_are_overload() -> None:
    assert overload_after(64 * [0.4]) > 0.2


def test_a_busy_gateway_notices_overload_within_a_second() -> None:
    assert overload_after(300 * [0.02] + 40 * [0.45], interval=0.005) > 0.05
