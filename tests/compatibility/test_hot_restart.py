"""Hot restarts: leases are exported with the same bytes and imported to the same values."""

import json
import pathlib
import socket

import pytest

from tests.compatibility import build, files
from tests.compatibility.files import Json

LEASES: Json = files.load("handover/leases.json")
DIALOGUE: Json = files.load("handover/dialogue.json")
EXPORTED_AT: float = LEASES["given_at"]
PATIENCE_S = 5.0


def lease_rows(packets: list[str]) -> list[Json]:
    """Return the leases that packets hold."""
    messages = [json.loads(packet.partition("\n")[0]) for packet in packets]
    return [row for message in messages for row in message.get("leases", ())]


def import_recorded_leases() -> build.Leases:
    """Return a gateway that has imported the recorded leases when they were exported."""
    leases = build.Leases(LEASES["plans"], EXPORTED_AT)
    assert leases.import_state(EXPORTED_AT, lease_rows(LEASES["packets"])) == LEASES["taken"]
    return leases


def test_leases_are_exported_with_the_same_bytes() -> None:
    leases = build.Leases(LEASES["plans"], LEASES["started_at"])
    leases.play(LEASES["script"])
    messages = leases.export_state(EXPORTED_AT, LEASES["generation"])
    assert [build.encode_packet(message) for message in messages] == LEASES["packets"]


def test_leases_are_imported_to_the_same_values() -> None:
    assert import_recorded_leases().values() == LEASES["values"]


def test_imported_leases_are_exported_with_the_same_bytes() -> None:
    messages = import_recorded_leases().export_state(EXPORTED_AT)
    assert [build.encode_packet(message) for message in messages] == LEASES["given_again"]


@pytest.mark.parametrize("key", sorted(lease_rows(LEASES["packets"])[0]))
def test_a_row_without_a_key_is_not_imported(key: str) -> None:
    row = dict(lease_rows(LEASES["packets"])[0])
    del row[key]
    leases = build.Leases(LEASES["plans"], EXPORTED_AT)
    assert leases.import_state(EXPORTED_AT, [row]) == 0


def test_ended_rpcs_are_in_flight_no_more() -> None:
    leases = import_recorded_leases()
    released = [leases.release_in_flight(EXPORTED_AT, *release) for release in LEASES["settle"]]
    assert released == LEASES["settled"]


def test_socket_names() -> None:
    assert {name: build.socket_name(name) for name in DIALOGUE["names"]} == DIALOGUE["names"]


def test_predecessor_answers_the_same(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    assert build.predecessor_dialogue(tmp_path, DIALOGUE["predecessor"]) == DIALOGUE["given"]


def test_successor_takes_the_same(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listener:
        listener.bind(str(tmp_path / DIALOGUE["names"]["g1"]))
        listener.listen()
        listener.settimeout(PATIENCE_S)
        sent, events = build.successor_dialogue(listener, DIALOGUE["successor"])
    assert sent == DIALOGUE["said"]
    assert events == DIALOGUE["events"]
