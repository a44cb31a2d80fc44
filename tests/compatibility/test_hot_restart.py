"""Hand-overs: leases are given with the same bytes and taken to the same values as before."""

import json
import pathlib
import socket
from typing import Any

import pytest

from tests.compatibility import build, files

RECORDED: dict[str, Any] = files.load("handover/leases.json")
DIALOGUE: dict[str, Any] = files.load("handover/dialogue.json")


def rows_of(packets: list[str]) -> list[Any]:
    """The leases that packets hold."""
    messages = [json.loads(packet.partition("\n")[0]) for packet in packets]
    return [row for message in messages for row in message.get("leases", ())]


def taken_up() -> build.Leases:
    """A gateway that has taken the recorded leases up, at the time at which they were given."""
    leases = build.Leases(RECORDED["plans"], RECORDED["given_at"])
    assert leases.taken(RECORDED["given_at"], rows_of(RECORDED["packets"])) == RECORDED["taken"]
    return leases


def test_given_with_the_same_bytes() -> None:
    leases = build.Leases(RECORDED["plans"], RECORDED["started_at"])
    leases.play(RECORDED["script"])
    given = leases.given(RECORDED["given_at"], RECORDED["generation"])
    assert [build.packet(message) for message in given] == RECORDED["packets"]


def test_taken_to_the_same_values() -> None:
    assert taken_up().values() == RECORDED["values"]


def test_given_again_with_the_same_bytes() -> None:
    given = taken_up().given(RECORDED["given_at"])
    assert [build.packet(message) for message in given] == RECORDED["given_again"]


@pytest.mark.parametrize("key", sorted(RECORDED["packets"] and rows_of(RECORDED["packets"])[0]))
def test_a_row_without_a_key_is_held_by_nobody(key: str) -> None:
    row = dict(rows_of(RECORDED["packets"])[0])
    del row[key]
    leases = build.Leases(RECORDED["plans"], RECORDED["given_at"])
    assert leases.taken(RECORDED["given_at"], [row]) == 0


def test_ended_rpcs_are_out_no_more() -> None:
    leases = taken_up()
    settled = [leases.settled(RECORDED["given_at"], *words) for words in RECORDED["settle"]]
    assert settled == RECORDED["settled"]


def test_socket_name() -> None:
    assert {name: build.socket_name(name) for name in DIALOGUE["names"]} == DIALOGUE["names"]


def test_predecessor_says_the_same(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    assert build.predecessor_dialogue(tmp_path, DIALOGUE["predecessor"]) == DIALOGUE["given"]


def test_successor_takes_the_same(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listener:
        listener.bind(str(tmp_path / DIALOGUE["names"]["g1"]))
        listener.listen()
        listener.settimeout(5.0)
        said, events = build.successor_dialogue(listener, DIALOGUE["successor"])
    assert said == DIALOGUE["said"]
    assert events == DIALOGUE["events"]
