"""Records the leases that a hot restart hands over, and both ends' part of its dialogue."""

import os
import pathlib
import socket
import tempfile

from tests.compatibility import build, files
from tests.compatibility.files import Json

# Plans, scripts and packets are in the words of the recording.
PLANS = {
    "basic": {"rate": 2.0, "store": 10.0},
    "capped": {
        "rate": 20.0,
        "store": 40.0,
        "ceiling_rate": 40.0,
        "ceiling_burst": 80.0,
        "ceiling_slack": 8.0,
    },
    "open": {},
}
STARTED_AT = 1000.0
EXPORTED_AT = 1002.75
LEASE_SCRIPT = [
    ["rpc", 1000.25, "ann", "basic", 1, 2, 1.0],
    ["rpc", 1000.5, "bob", "capped", 0, 2, 3.0],
    ["count", 1000.53125, "ok"],
    ["rpc", 1000.75, "eve", "open", 0, 1, 1.0],
    ["rpc", 1001.0, "bob", "capped", 0, 2, 1.0],
    ["count", 1001.03125, "ok"],
    ["rpc", 1001.5, "ann", "basic", 1, 2, 2.0],
    ["count", 1001.53125, "ok"],
    ["end", 1001.625, 0],
    ["rpc", 1002.0, "bob", "capped", 0, 2, 2.5],
    ["count", 1002.015625, "ok"],
    ["rpc", 1002.5, "ann", "basic", 1, 2, 3.0],
    ["count", 1002.53125, "error"],
    ["rpc", 1002.625, "dan", "basic", 0, 1, 1.0],
]
GENERATION = {
    "promised": [3, "c1"],
    "in_force": {"number": 2, "epoch": [3, "c1"], "digest": "d2"},
    "possible": [],
    "denied": [],
    "members": ["g1", "g2"],
}
RELEASES: list[Json] = [["bob", 1], ["ann", 9], ["eve", 0]]  # customers, and RPCs that ended
GATEWAY_NAMES = ("g1", "gateway-17", "a b/c")
HALF_COMMAND = "*4\r\n$9\r\nSVC.QU"

# What is done to a process that hands over, after the messages that it exports.
PREDECESSOR_STEPS: list[Json] = [
    ["say", "old", '{"ask":99}\n'],
    ["say", "odd", "nonsense"],
    ["say", "new", '{"ask":1}\n'],
    ["say", "third", '{"ask":1}\n'],
    ["pass", HALF_COMMAND, True],
    ["say", "new", '{"got":1}\n'],
    ["pass", "", False],
    ["wait"],
    ["say", "new", '{"got":2}\n'],
    ["say", "new", '{"got":9}\n'],
    ["ended", "ann"],
    ["say", "third", '{"got":1}\n'],
]
# What a process that takes over is sent after the leases, and whether with a descriptor.
SUCCESSOR_PACKETS: list[Json] = [
    ['{"client":1,"asked":true}\n' + HALF_COMMAND, True],
    ['{"yours":1}\n', False],
    ['{"client":2,"asked":false}\n', True],
    ['{"kept":2}\n', False],
    ['{"ended":"bob"}\n', False],
    ['{"ended":"nobody"}\n', False],
    ['{"client":3,"asked":false}\n', True],
]


def record_handover(_checkout: pathlib.Path) -> None:
    """Record leases and dialogues."""
    leases = build.Leases(PLANS, STARTED_AT)
    leases.play(LEASE_SCRIPT)
    messages = leases.export_state(EXPORTED_AT, GENERATION)
    packets = [build.encode_packet(message) for message in messages]
    rows = [row for message in messages for row in message.get("leases", ())]
    _record_leases(packets, rows)
    _record_dialogues(messages, packets)


def _record_leases(packets: list[str], rows: list[Json]) -> None:
    successor = build.Leases(PLANS, EXPORTED_AT)
    imported = successor.import_state(EXPORTED_AT, rows)
    values = successor.values()
    exported_again = successor.export_state(EXPORTED_AT)
    other = build.Leases(PLANS, EXPORTED_AT)
    other.import_state(EXPORTED_AT, rows)
    content = {
        "plans": PLANS,
        "script": LEASE_SCRIPT,
        "started_at": STARTED_AT,
        "given_at": EXPORTED_AT,
        "generation": GENERATION,
        "packets": packets,
        "taken": imported,
        "values": values,
        "given_again": [build.encode_packet(message) for message in exported_again],
        "settle": RELEASES,
        "settled": [other.release_in_flight(EXPORTED_AT, *release) for release in RELEASES],
    }
    files.save("handover/leases.json", content)


def _record_dialogues(messages: list[Json], packets: list[str]) -> None:
    names = {name: build.socket_name(name) for name in GATEWAY_NAMES}
    predecessor = [messages, *PREDECESSOR_STEPS]
    successor = [*([packet, False] for packet in packets), *SUCCESSOR_PACKETS]
    with tempfile.TemporaryDirectory() as folder:
        os.environ["TMPDIR"] = folder
        predecessor_dialogue = build.predecessor_dialogue(pathlib.Path(folder), predecessor)
    with tempfile.TemporaryDirectory(dir="/tmp") as folder:
        os.environ["TMPDIR"] = folder
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listener:
            listener.bind(str(pathlib.Path(folder) / names["g1"]))
            listener.listen()
            sent, events = build.successor_dialogue(listener, successor)
    content = {
        "names": names,
        "predecessor": predecessor,
        "given": predecessor_dialogue,
        "successor": successor,
        "said": sent,
        "events": events,
    }
    files.save("handover/dialogue.json", content)
