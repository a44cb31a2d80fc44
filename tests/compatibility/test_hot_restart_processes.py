"""A real process of the present build before and after a peer of the build before."""

import json
import pathlib
import shutil
import socket
import tempfile
import time
from collections.abc import Iterator
from typing import Any

import pytest

from tests.compatibility import files, played
from tests.compatibility.neighbours import Neighbours, Process

RECORDED: dict[str, Any] = files.load("processes/handover.json")


@pytest.fixture
def world() -> Iterator[Neighbours]:
    """What a gateway talks to; the folder's path is short, as paths of sockets have to be."""
    folder = tempfile.mkdtemp(prefix="pl-", dir="/tmp")
    neighbours = Neighbours(pathlib.Path(folder))
    yield neighbours
    neighbours.close()
    shutil.rmtree(folder, ignore_errors=True)


def recorded_packets() -> list[bytes]:
    """The packets of the build before, as if they had been recorded now."""
    return [played.moved(one, time.time() - RECORDED["at"]) for one in RECORDED["packets"]]


def started_after(world: Neighbours) -> tuple[Process, list[str], socket.socket]:
    """A process that the recorded predecessor hands over to, and what was said; its client."""
    listener = world.bind(RECORDED["name"])
    process = world.start()
    said, client = played.hand_over(world, process, listener, recorded_packets())
    return process, said, client


def key_order(packets: list[str]) -> list[Any]:
    """The keys of messages, rows and leases, in order."""
    found: list[Any] = []
    for packet in packets:
        message = json.loads(packet.partition("\n")[0])
        found.append(list(message))
        found += [[list(row), list(row["lease"])] for row in message.get("leases", ())]
    return found


def test_takes_over_from_the_build_before(world: Neighbours) -> None:
    _, said, _ = started_after(world)
    assert said == RECORDED["said"]


def test_hands_over_to_the_build_before(world: Neighbours) -> None:
    process, _, client = started_after(world)
    found = played.take_over(world, process, world.connect(RECORDED["name"]), client)
    assert found["passed"] == RECORDED["passed"]
    assert key_order(found["packets"]) == key_order(RECORDED["packets"])
    (row,) = json.loads(found["packets"][0])["leases"]
    (before,) = json.loads(RECORDED["packets"][0])["leases"]
    assert {key: row[key] for key in row if key != "lease"} == {
        key: before[key] for key in before if key != "lease"
    }
    # Of the six units that were handed over all are spent; 0.01 a second have been filled in since.
    assert 0.0 <= row["lease"]["ceiling"] < 0.5
    assert row["lease"]["out"] == 0


def test_refuses_another_version(world: Neighbours) -> None:
    started_after(world)
    link = world.connect(RECORDED["name"])
    link.send(b'{"ask":99}\n')
    assert link.recv(4096) == b'{"refused":1}\n'
