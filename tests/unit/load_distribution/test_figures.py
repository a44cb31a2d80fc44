"""Figures of synthetic runs: independent draws show no herd or swing, injected faults do."""

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from petrellane.load_distribution.figures import (
    compute_figures,
    find_idle_periods,
    measure_herd,
    measure_span,
    measure_swing,
)
from petrellane.load_distribution.trace import LoadTrace, ReadyPeriod, SentAttempts, windows
from tests.unit.load_distribution.drawn_traces import HOSTS, drawn_trace

# Independent draws show no more than chance.


def test_even_draws_show_no_herd_no_swing_no_excess() -> None:
    herds = 0
    for seed in range(12):
        figures = compute_figures(drawn_trace(seed))
        for span in figures.spans[:2]:
            assert span.excess == pytest.approx(1.0, rel=0.0, abs=0.12)
        herds += figures.herd > figures.herd_by_chance
        assert (figures.idle, figures.period) == ((), None)
    assert herds <= 3  # one in twenty by chance


def test_draws_in_step_with_capacity_are_even() -> None:
    capacities = {"h0": 10.0, "h1": 0.5}
    weights = [capacities.get(host, 1.0) for host in HOSTS]

    def pick(generator: random.Random, _gateway: str, _now: float) -> str:
        return generator.choices(HOSTS, weights)[0]

    span = measure_span(drawn_trace(pick=pick, capacities=capacities), 30.0)
    assert span.peak == pytest.approx(span.chance_peak, rel=0.0, abs=0.12)


def test_even_draws_are_uneven_where_capacities_differ() -> None:
    # A host with a capacity of 0.5 receives as many attempts as one with a capacity of 1.
    trace = drawn_trace(capacities={"h0": 10.0, "h1": 0.5})
    assert measure_span(trace, 30.0).peak > 3.0


def test_round_robin_is_more_even_than_chance() -> None:
    hosts = itertools.cycle(HOSTS)
    span = measure_span(drawn_trace(pick=lambda *_: next(hosts)), 5.0)
    assert span.excess < 0.9
    assert span.trough > 0.95


# Gateways that change their choice of hosts together.


def test_gateways_that_all_leave_and_all_come_are_a_herd() -> None:
    def pick(generator: random.Random, _gateway: str, now: float) -> str:
        if generator.random() < 0.3:
            return f"h{int(now) % 10}"
        return f"h{generator.randrange(10)}"

    herd, by_chance = measure_herd(drawn_trace(pick=pick))
    assert herd > 5 * max(by_chance, 0.1)


def test_gateways_that_each_move_by_themselves_are_no_herd() -> None:
    def pick(generator: random.Random, gateway: str, now: float) -> str:
        """Pick as unevenly as in a herd, but at a different time for each gateway."""
        if generator.random() < 0.3:
            return f"h{(int(now) + int(gateway[1:]) * 7) % 10}"
        return f"h{generator.randrange(10)}"

    herd, _ = measure_herd(drawn_trace(pick=pick))
    assert herd < 0.6


def test_a_load_that_goes_up_and_down_is_no_herd() -> None:
    trace = drawn_trace(rate=400.0)
    trace.sent = [
        sent for sent in trace.sent if int(sent.at) % 4 < 2 or random.Random(sent.at).random() < 0.2
    ]
    herd, by_chance = measure_herd(trace)
    assert herd < by_chance + 0.05


# Swings.


def test_a_swing_has_its_period_and_amplitude() -> None:
    def pick(generator: random.Random, _gateway: str, now: float) -> str:
        share_of_first_half = 0.5 + (0.3 if now % 6 < 3 else -0.3)
        is_first_half = generator.random() < share_of_first_half
        number = generator.randrange(5)
        return f"h{number if is_first_half else number + 5}"

    period, amplitude = measure_swing(drawn_trace(rate=1000.0, pick=pick))
    assert period == 6.0
    assert amplitude == pytest.approx(0.6 * 1.4, rel=0.0, abs=0.4)


# Idle hosts.


def pick_all_but_the_last(generator: random.Random, _gateway: str, _now: float) -> str:
    """Pick any host except h9."""
    return f"h{generator.randrange(9)}"


def test_an_idle_host_is_found_with_its_begin_and_length() -> None:
    def pick(generator: random.Random, _gateway: str, now: float) -> str:
        is_last_in_use = now < 10 or now > 22
        return f"h{generator.randrange(10 if is_last_in_use else 9)}"

    periods = find_idle_periods(drawn_trace(pick=pick))
    assert [period.host for period in periods] == ["h9"]
    assert periods[0].since == pytest.approx(10.0, rel=0.0, abs=0.5)
    assert periods[0].seconds == pytest.approx(12.0, rel=0.0, abs=0.5)
    assert periods[0].due == pytest.approx(12 * 20, rel=0.0, abs=60)


def test_a_host_that_is_not_ready_is_not_idle() -> None:
    trace = drawn_trace(pick=pick_all_but_the_last)
    trace.ready["h9"] = [ReadyPeriod(0.0, 4.0, 1.0), ReadyPeriod(27.0, 30.0, 1.0)]
    assert find_idle_periods(trace) == []


def test_a_host_to_which_little_was_due_is_not_idle() -> None:
    assert find_idle_periods(drawn_trace(rate=5.0, pick=pick_all_but_the_last)) == []


# Windows, and runs of any shape.


def test_windows_hold_hosts_that_were_ready_in_all_of_them() -> None:
    trace = drawn_trace()
    trace.ready["h0"] = [ReadyPeriod(0.0, 12.0, 1.0), ReadyPeriod(18.0, 30.0, 1.0)]
    loads = [load for _, load in windows(trace, 5.0)]
    assert ["h0" in load for load in loads] == [True, True, False, False, True, True]
    for load in loads:
        sent = sum(host.sent for host in load.values())
        due = sum(host.due for host in load.values())
        assert sent == pytest.approx(due, rel=0.0, abs=0.5e-7)


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.builds(
            SentAttempts,
            st.floats(0, 20),
            st.sampled_from("abc"),
            st.sampled_from("xyz"),
            st.integers(0, 3),
        )
    ),
    st.dictionaries(
        st.sampled_from("xyz"),
        st.builds(ReadyPeriod, st.floats(0, 10), st.floats(10, 20), st.floats(0, 5)),
    ),
)
def test_figures_of_any_run_can_be_computed(
    sent: list[SentAttempts], ready: dict[str, ReadyPeriod]
) -> None:
    periods = {host: [period] for host, period in ready.items()}
    figures = compute_figures(LoadTrace(0.0, 20.0, sent, periods))
    assert figures.amplitude >= 0.0
    for span in figures.spans:
        assert span.peak >= 1.0 - 1e-9
        assert span.trough <= 1.0 + 1e-9
