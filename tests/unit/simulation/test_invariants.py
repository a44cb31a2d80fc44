"""Tests of the invariant checker with handwritten records on both sides of the rules' limits."""

import dataclasses
from collections.abc import Hashable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from petrellane.invariants import (
    AttemptArrived,
    AttemptEnded,
    AttemptSent,
    ClientDisconnected,
    EndpointNotified,
    EndpointStarted,
    GatewayLifecycle,
    HardLimit,
    InvariantChecker,
    MethodRule,
    Record,
    RpcAnswered,
    RpcReceived,
    RuleParameters,
    Verdict,
)

TERMS = RuleParameters(
    methods={
        "look": MethodRule("idempotent"),
        "post": MethodRule("non-idempotent"),
        "lodge": MethodRule("deduplicated", "zone", 1.0),
    },
    hard_limits={"chain": HardLimit(10.0, 20.0, 2.0)},
    groups={"a": (0, 0), "b": (1, 0), "c": (2, 1)},
)


def check_records(*records: Record, terms: RuleParameters = TERMS) -> Verdict:
    """Return the verdict on a run that has these records."""
    checker = InvariantChecker(terms)
    for record in records:
        checker.observe(record)
    return checker.close(100.0)


def received(
    method: str = "look",
    at: float = 1.0,
    plan: str = "",
    units: float = 1.0,
    rpc: Hashable = "r",
) -> RpcReceived:
    """Return the record of an RPC with a deadline of two seconds."""
    return RpcReceived(at, "g", rpc, "who", plan, method, units, at + 2.0)


# Each RPC receives its final answer in time.


def test_a_missing_answer_is_lost() -> None:
    assert check_records(received()).counts == {"lost": 1}


def test_an_answer_within_the_slack_is_in_time() -> None:
    verdict = check_records(received(), RpcAnswered(3.04, "g", "r", "aborted"))
    assert verdict.counts == {}
    assert verdict.nearest["lost"] > 0.99


def test_an_answer_after_the_slack_is_lost() -> None:
    assert check_records(received(), RpcAnswered(3.06, "g", "r", "aborted")).counts == {"lost": 1}


@pytest.mark.parametrize(
    ("record", "counts"),
    [
        (GatewayLifecycle(2.0, "g", "killed"), {}),
        (ClientDisconnected(2.0, "g", "r"), {}),
        (ClientDisconnected(3.06, "g", "r"), {"lost": 1}),
    ],
    ids=["gateway-killed", "client-left-early", "client-left-late"],
)
def test_no_answer_is_due_of_a_killed_gateway_or_to_a_client_that_left_early(
    record: Record, counts: dict[str, int]
) -> None:
    assert check_records(received(), record).counts == counts


# No RPC takes effect twice.


@pytest.mark.parametrize(
    ("sent_at", "ended_at", "host", "counts"),
    [
        (1.9, 2.1, "b", {}),
        (1.9, 2.2, "c", {"twice": 1}),
        (2.1, 2.2, "b", {"twice": 1}),
    ],
    ids=["within", "other-zone", "after-the-window"],
)
def test_an_idempotency_key_holds_in_its_zone_and_window(
    sent_at: float, ended_at: float, host: str, counts: dict[str, int]
) -> None:
    verdict = check_records(
        received("lodge"),
        AttemptSent(1.0, "g", "r", 0, "a"),
        AttemptEnded(1.5, "g", "r", 0, "late"),
        AttemptSent(sent_at, "g", "r", 1, host),
        AttemptEnded(ended_at, "g", "r", 1, "ok"),
        RpcAnswered(ended_at, "g", "r", "ok"),
    )
    assert verdict.counts == counts


def test_attempts_that_overlap_are_effects_twice() -> None:
    verdict = check_records(
        received(),
        AttemptSent(1.0, "g", "r", 0, "a"),
        AttemptSent(1.1, "g", "r", 1, "b"),
        RpcAnswered(1.2, "g", "r", "ok"),
    )
    assert verdict.counts["twice"] == 1


# Cold hosts are not overloaded.


@pytest.mark.parametrize(
    ("number", "of_notified", "counts"),
    [(18, 18, {}), (19, 19, {"cold": 1}), (19, 13, {"cold": 1}), (19, 12, {})],
)
def test_a_cold_host_bears_its_budget_and_twice_its_root_and_two(
    number: int, of_notified: int, counts: dict[str, int]
) -> None:
    """The capacity allows 10 RPCs here, so the limit is 10 + 2 sqrt(10) + 2 = 18.3.

    An overload is a violation only if at least two thirds of the work come from gateways that were
    notified of the start.
    """
    gateways = ["not"] * (number - of_notified) + ["knows"] * of_notified
    verdict = check_records(
        EndpointStarted(1.0, "a", 1.0),
        EndpointNotified(1.0, "knows", "a", "ready", 1.0),
        EndpointNotified(1.0, "not", "a", "ready", 0.0),
        *(AttemptArrived(1.0, gateway, rpc, 0, "a", 0.075) for rpc, gateway in enumerate(gateways)),
        terms=dataclasses.replace(TERMS, mean_work=0.075),
    )
    assert verdict.counts == counts


# Hard limits.


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.floats(0, 3), st.integers(1, 6)), min_size=1, max_size=40))
def test_a_hard_limit_holds_for_every_span(draws: list[tuple[float, int]]) -> None:
    """No span of time may admit more than the burst, the slack and the rate times the span."""
    checker = InvariantChecker(TERMS)
    now = 0.0
    admitted: list[tuple[float, int]] = []
    is_broken = False
    for number, (pause, units) in enumerate(draws):
        now += pause
        admitted.append((now, units))
        checker.observe(received(at=now, plan="chain", units=float(units), rpc=number))
        checker.observe(AttemptSent(now, "g", number, 0, "a"))
        for first, (begin, _) in enumerate(admitted):
            total = sum(units for _, units in admitted[first:])
            is_broken = is_broken or total > 22.0 + 10.0 * (now - begin) + 1e-6
    assert ("ceilings" in checker.log.counts) == is_broken
