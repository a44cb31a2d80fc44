"""Records what a real process sends as the successor and as the predecessor of a played one."""

import json
import pathlib
import tempfile
import time

from tests.compatibility import build, files
from tests.compatibility.files import Json
from tests.compatibility.hot_restart_play import (
    play_predecessor,
    play_successor,
    send_rpcs,
    shift_lease_times,
)
from tests.compatibility.peers import GatewayPeers

GATEWAY = "g1"
HELLO_SIZE = 4096
RPCS_BEFORE = 4  # of the ten units of the hard limit, before the process hands over


def record_processes(checkout: pathlib.Path) -> None:
    """Record a process of a checkout at both ends of a hot restart."""
    name = build.socket_name(GATEWAY)
    as_predecessor = _record_predecessor(checkout, name)
    as_successor = _record_successor(checkout, name, as_predecessor)
    content = {"name": name, **as_predecessor, "said": as_successor}
    files.save("processes/handover.json", content)


def _record_predecessor(checkout: pathlib.Path, name: str) -> Json:
    """Give a process a full hard limit, have it spend a part, and take over from it."""
    with tempfile.TemporaryDirectory(dir="/tmp") as folder:
        peers = GatewayPeers(pathlib.Path(folder))
        listener = peers.listen_as_predecessor(name)
        process = peers.start(checkout)
        link, _ = listener.accept()
        link.recv(HELLO_SIZE)
        for message in ({"leases": [_full_lease_row()]}, {"given": 1}):
            link.send((json.dumps(message) + "\n").encode())
        process.wait_for(200, "serving")
        client = peers.connect_client()
        outcomes = send_rpcs(client, RPCS_BEFORE)
        link = peers.connect_to_predecessor(name)
        received = play_successor(peers, process, link, client)
        peers.close()
    return {"first": outcomes, **received}


def _record_successor(checkout: pathlib.Path, name: str, recorded: Json) -> list[str]:
    """Hand over to a process what another one has handed over."""
    with tempfile.TemporaryDirectory(dir="/tmp") as folder:
        peers = GatewayPeers(pathlib.Path(folder))
        listener = peers.listen_as_predecessor(name)
        process = peers.start(checkout)
        age = time.time() - recorded["at"]
        packets = [shift_lease_times(packet, age) for packet in recorded["packets"]]
        play = play_predecessor(peers, process, listener, packets)
        peers.close()
    return play.received


def _full_lease_row() -> Json:
    """Return the row of customer 1, whose lease has all of the hard limit; keys as on the wire."""
    lease = {
        **{"window": None, "ends": 0.0, "shares": True, "held": 0.0, "got": 0.0, "added": 0.0},
        **{"owed": 0.0, "total": 0.0, "carry": None, "part": 0.0, "dry_until": 0.0},
        **{"single_at": 0.0, "since": 0.0, "ceiling": 10.0, "filled": time.time(), "pooled": 0.0},
        **{"pool_at": 0.0, "busy": False, "out": 0, "demand": []},
    }
    return {"customer": f"{1:016x}", "plan": "basic", "first": 0, "spread": 1, "lease": lease}
