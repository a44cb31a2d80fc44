"""What each part of the recordings is made of; `record.py` says from which checkout."""

import os
import pathlib
import socket
import tempfile
from collections.abc import Callable

from tests.compatibility import build, digests, files


def simulation(checkout: pathlib.Path) -> None:
    """The digests of the fleet model's scenarios."""
    found = {name: digests.of_scenario(name) for name in digests.NAMES}
    files.save("simulation/digests.json", found)
    files.save("simulation/digest.json", digests.whole(found))


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
STARTED, GIVEN = 1000.0, 1002.75
SCRIPT = [
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


def handover(checkout: pathlib.Path) -> None:
    """Leases as they are given and taken, and both ends' part of a whole hand-over."""
    leases = build.Leases(PLANS, STARTED)
    leases.play(SCRIPT)
    given = leases.given(GIVEN, GENERATION)
    rows = [row for message in given for row in message.get("leases", ())]
    heir = build.Leases(PLANS, GIVEN)
    number = heir.taken(GIVEN, rows)
    values = heir.values()
    again = [build.packet(message) for message in heir.given(GIVEN)]
    other = build.Leases(PLANS, GIVEN)
    other.taken(GIVEN, rows)
    settle = [["bob", 1], ["ann", 9], ["eve", 0]]
    packets = [build.packet(message) for message in given]
    files.save(
        "handover/leases.json",
        {
            "plans": PLANS,
            "script": SCRIPT,
            "started_at": STARTED,
            "given_at": GIVEN,
            "generation": GENERATION,
            "packets": packets,
            "taken": number,
            "values": values,
            "given_again": again,
            "settle": settle,
            "settled": [other.settled(GIVEN, *words) for words in settle],
        },
    )
    predecessor = [
        given,
        ["say", "old", '{"ask":99}\n'],
        ["say", "odd", "nonsense"],
        ["say", "new", '{"ask":1}\n'],
        ["say", "third", '{"ask":1}\n'],
        ["pass", "*4\r\n$9\r\nSVC.QU", True],
        ["say", "new", '{"got":1}\n'],
        ["pass", "", False],
        ["wait"],
        ["say", "new", '{"got":2}\n'],
        ["say", "new", '{"got":9}\n'],
        ["ended", "ann"],
        ["say", "third", '{"got":1}\n'],
    ]
    successor = [
        *([text, False] for text in packets),
        ['{"client":1,"asked":true}\n*4\r\n$9\r\nSVC.QU', True],
        ['{"yours":1}\n', False],
        ['{"client":2,"asked":false}\n', True],
        ['{"kept":2}\n', False],
        ['{"ended":"bob"}\n', False],
        ['{"ended":"nobody"}\n', False],
        ['{"client":3,"asked":false}\n', True],
    ]
    names = {name: build.socket_name(name) for name in ("g1", "gateway-17", "a b/c")}
    with tempfile.TemporaryDirectory() as folder:
        os.environ["TMPDIR"] = folder
        told = build.predecessor_dialogue(pathlib.Path(folder), predecessor)
    with tempfile.TemporaryDirectory(dir="/tmp") as folder:
        os.environ["TMPDIR"] = folder
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listener:
            listener.bind(str(pathlib.Path(folder) / names["g1"]))
            listener.listen()
            said, events = build.successor_dialogue(listener, successor)
    files.save(
        "handover/dialogue.json",
        {
            "names": names,
            "predecessor": predecessor,
            "given": told,
            "successor": successor,
            "said": said,
            "events": events,
        },
    )


PARTS: dict[str, Callable[[pathlib.Path], None]] = {
    "simulation": simulation,
    "handover": handover,
}
