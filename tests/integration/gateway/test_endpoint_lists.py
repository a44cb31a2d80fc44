"""Long endpoint lists, by the operations and turns that they cost and never by time."""

import contextlib
import json
from collections.abc import Iterator
from typing import Any, NoReturn

import pytest

from petrellane.decisions import types as api
from tests.integration.gateway.endpoint_list_play import CLIENT, MANY, SHARE, EndpointListPlay

IN_SERVICE = "in_service"
IDLE_S = "17"  # after which the gateway has let go of idle connections


@pytest.fixture
def play(monkeypatch: pytest.MonkeyPatch) -> Iterator[EndpointListPlay]:
    """A gateway with endpoints a and b that handles eight rows in a turn."""
    made = EndpointListPlay(monkeypatch)
    with contextlib.closing(made.scenario):
        made.start()
        yield made


def send_many_then_both(play: EndpointListPlay) -> None:
    """Send a long complete list that ends with a and b in service."""
    play.send_full(*play.many(), play.row("a", IN_SERVICE), play.row("b", IN_SERVICE))


def test_rpcs_are_answered_while_a_long_list_is_handled(play: EndpointListPlay) -> None:
    """RPCs are served while rows are checked and while they are applied, a share in each turn."""
    play.send_full(play.row("a", IN_SERVICE), *play.many(), play.row("b", IN_SERVICE))
    play.until(lambda: play.checked)
    play.serve("r1")
    assert play.applied == []
    assert play.gateway.endpoint_watch.index == 1
    assert play.scenario.pending_watch is None
    play.until(lambda: len(play.applied) > 2)
    play.serve("r2")
    assert play.executor.applying_endpoint_list
    assert play.gateway.endpoint_watch.index == 1
    assert play.scenario.pending_watch is None
    assert play.list_lines() == []
    play.until_in_force()
    assert (play.maximum_applied(), play.maximum_checked()) == (SHARE, SHARE)
    (line,) = play.list_lines()
    expected = {"full": True, "changed": MANY + 2, "known": MANY + 2, "ready": 2}
    assert expected.items() <= json.loads(line).items()
    play.scenario.do_watch("from=2&")


def test_endpoints_that_a_list_leaves_out_go_last(play: EndpointListPlay) -> None:
    """They are given to the decisions after the rows of the list, a share in each turn too."""
    send_many_then_both(play)
    play.until_in_force()
    play.applied.clear()
    play.send_full(play.row("b", IN_SERVICE))
    play.until_in_force()
    assert play.maximum_applied() == SHARE
    states = [row.state for row in play.applied_rows()]
    assert states == [api.READY] + [api.GONE] * (MANY + 1)
    assert list(play.executor.endpoints) == ["b"]
    assert len(play.executor.ready_endpoints) == 1
    play.serve("r1")


def test_a_short_list_is_applied_in_the_turn_of_its_check(play: EndpointListPlay) -> None:
    """One call of the decisions gets all rows, and those that the list leaves out."""
    play.send_full(play.row("a", IN_SERVICE), play.row("y"))
    play.until_in_force()
    assert {turn for turn, _ in play.applied} == set(play.checked)
    assert len(play.applied) == 1
    rows = [(row.state, row.endpoint.address.endswith(":1")) for row in play.applied_rows()]
    assert rows == [(api.READY, False), (api.DRAINING, True), (api.GONE, False)]


def test_a_list_whose_last_row_is_invalid_changes_nothing(play: EndpointListPlay) -> None:
    """The error names the row, nothing is applied, and the list is asked for anew."""
    before = dict(play.executor.endpoints)
    play.send_full(*play.many(), play.row("a", weight=-1))
    play.until(lambda: play.scenario.log_lines("discovery_unreachable"))
    (line,) = play.scenario.log_lines("discovery_unreachable")
    error = f"list.endpoints[{MANY}].weight: expected a number from 0, found -1"
    assert json.loads(line)["error"] == error
    assert play.applied == []
    assert play.executor.endpoints == before
    assert play.maximum_checked() == SHARE
    play.scenario.do_watch("from=1&")
    play.serve("r1")


def test_a_change_right_behind_a_long_list_comes_after_it(play: EndpointListPlay) -> None:
    """A change that does not wait for the next watch is applied after the list."""
    send_many_then_both(play)
    change = play.answer(False, play.row("a"))
    play.scenario.peers[-1].sock.send(change.encode())
    play.until_in_force()
    last = [("a", api.READY), ("b", api.READY), ("a", api.DRAINING)]
    assert play.applied_states()[-3:] == last
    assert len(play.executor.ready_endpoints) == 1
    for rpc in ("r1", "r2", "r3"):
        play.serve(rpc)
        assert play.scenario.endpoint_of(rpc).role == "b"


def test_a_list_of_an_abandoned_discovery_is_dropped(play: EndpointListPlay) -> None:
    """A list whose discovery is replaced while its rows are checked is not applied."""
    play.send_full(*play.many())
    play.until(lambda: len(play.checked) > 2 * SHARE)
    play.scenario.do_change_addresses("discovery")
    play.scenario.do_discovery_updates("complete", "a")
    assert list(play.executor.endpoints) == ["a"]
    assert [len(rows) for _, rows in play.applied] == [2]
    assert len(play.checked) < MANY
    play.serve("r1")


def test_a_list_that_is_applied_is_in_force_before_the_next(play: EndpointListPlay) -> None:
    """The list of the next discovery follows it; one in between, which waited, is dropped."""
    play.send_full(*play.many(), play.row("a", IN_SERVICE))
    play.until(lambda: len(play.applied) > 2)
    first_watch = play.gateway.endpoint_watch
    play.scenario.do_change_addresses("discovery")
    play.checked.clear()
    play.send_full(play.row("w"))
    play.until(lambda: play.checked)  # it has its one row, and waits
    play.scenario.do_change_addresses("discovery")
    play.send_full(play.row("b", IN_SERVICE))
    play.until_in_force()
    assert first_watch.is_ended
    assert first_watch.index == 2
    states = play.applied_states()
    new_address = play.scenario.address_of("b")
    expected = [("a", api.READY), ("b", api.GONE), (new_address, api.READY)]
    assert states[MANY : MANY + 3] == expected
    assert [state for _, state in states[MANY + 3 :]] == [api.GONE] * (MANY + 1)
    assert list(play.executor.endpoints) == ["b"]
    play.serve("r1")


def fail_walk(*_args: object) -> NoReturn:
    """Fail, as a walk over all endpoints is not allowed."""
    raise AssertionError("walked")


class UnwalkedTable(dict[str, Any]):
    """A table that nobody may walk."""

    __iter__ = fail_walk
    keys = fail_walk
    values = fail_walk
    items = fail_walk


class UnwalkedSet(set[Any]):
    """A set that nobody may walk."""

    __iter__ = fail_walk


def test_a_change_costs_what_it_names(play: EndpointListPlay) -> None:
    """A change of some endpoints walks over no others."""
    send_many_then_both(play)
    play.until_in_force()
    executor = play.executor
    executor.endpoints = UnwalkedTable(executor.endpoints)
    executor.ready_endpoints = UnwalkedSet(executor.ready_endpoints)
    play.send_changes(play.row("a"), play.row("x7", "terminated"), play.row("x8", IN_SERVICE))
    play.until_in_force()
    line = json.loads(play.list_lines()[-1])
    assert {"known": MANY + 1, "ready": 2}.items() <= line.items()


def test_endpoints_have_a_pool_while_it_holds_anything(play: EndpointListPlay) -> None:
    """An endpoint's pool begins with its first attempt and ends with its last connection."""
    play.send_full(*play.many(), play.row("a", IN_SERVICE))
    play.until_in_force()
    pools = play.gateway.endpoint_pools.pools
    assert pools == {}
    play.serve("r1")
    address = play.scenario.listeners["a"].getsockname()
    assert [pool.address for pool in pools.values()] == [address]
    play.scenario.do_wait(IDLE_S)
    play.scenario.clients.pop(CLIENT).sock.close()  # idle for so long, it was let go
    assert pools == {}
    play.scenario.do_connect(CLIENT)
    play.serve("r2")
