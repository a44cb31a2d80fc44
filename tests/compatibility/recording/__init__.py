"""What each part of the recordings is made of; `record.py` says from which checkout."""

import json
import os
import pathlib
import shutil
import socket
import tempfile
import time
from collections.abc import Callable
from typing import Any

from tests.compatibility import build, digests, files, neighbours, played


def simulation(checkout: pathlib.Path) -> None:
    """The digests of the fleet model's scenarios."""
    found = {name: digests.of_scenario(name) for name in digests.NAMES}
    files.save("simulation/digests.json", found)
    files.save("simulation/digest.json", digests.of_parts(found))


Json = Any

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
    successor_leases = build.Leases(PLANS, GIVEN)
    number = successor_leases.taken(GIVEN, rows)
    values = successor_leases.values()
    again = [build.packet(message) for message in successor_leases.given(GIVEN)]
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
        given_dialogue = build.predecessor_dialogue(pathlib.Path(folder), predecessor)
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
            "given": given_dialogue,
            "successor": successor,
            "said": said,
            "events": events,
        },
    )


OLD = {
    "classes": [
        {"name": "look", "effect": "pure", "goalTime": 1000000, "giveUp": 4000000, "worth": 1}
    ],
    "contracts": [{"name": "basic", "quotaRate": 50, "storeSize": 100, "pays": 1}],
    "discovery": "push",
    "familyInfo": {"counterTimeout": 80000, "mayCount": True},
    "limits": {
        "connIdle": 30000000,
        "dialTimeout": 250000,
        "mayCancel": True,
        "maxAttempts": 4,
        "maxRetryAfter": 500000,
        "retryAfter": True,
        "streamsPerConn": 4,
    },
    "obligations": {"cold": 0, "coldFrom": 1},
}
NEW = {**OLD, "contracts": [{"name": "basic", "quotaRate": 20, "storeSize": 120, "pays": 2}]}
MEMBERS = ["g1", "g2", "g3"]
KEY = "0123456789abcdef0123456789abcdef"


def generation(number: int, content: Json, epoch: Json = (1, "c1")) -> Json:
    """A generation, whole."""
    return {
        "number": number,
        "epoch": list(epoch),
        "digest": build.digest(content),
        "content": content,
        "members": MEMBERS,
    }


def state(
    number: int = 2, promised: Json = (3, "c1"), possible: Json = (), denied: Json = ()
) -> Json:
    """What a participant remembers, in stored form."""
    return {
        "in_force": generation(number, OLD),
        "promised": list(promised),
        "possible": list(possible),
        "denied": list(denied),
    }


def messages() -> list[Json]:
    """Messages to participants: name, state, message, and why settings are not valid there."""
    three, denied = generation(3, NEW, (3, "c1")), {"number": 3, "epoch": [3, "c1"]}
    named = {key: three[key] for key in ("number", "epoch", "digest")}
    speaks = {"epoch_of": [3, "c1"], "to": "g1", "order": 7}
    base = {"base": {"number": 2, "epoch": [1, "c1"]}}
    prepare = {"do": "prepare", **base, **three, **speaks}
    commit = {"do": "commit", **speaks}
    held, crowd = state(possible=[three]), [generation(n, NEW, (3, "c1")) for n in range(4, 12)]
    many = [{"number": n, "epoch": [2, "c2"]} for n in range(3, 19)]
    return [
        ["state", held, {"do": "state", "to": "g1"}, None],
        ["content", held, {"do": "content", "to": "g1", **named}, None],
        ["content unknown", state(), {"do": "content", **named}, None],
        ["no such word", state(), {"do": "sing", **speaks}, None],
        ["no word", state(), {}, None],
        ["promise", state(), {"do": "promise", "epoch_of": [4, "c2"]}, None],
        ["promise the same", state(), {"do": "promise", **speaks}, None],
        ["promise lower", state(), {"do": "promise", "epoch_of": [2, "c9"]}, None],
        ["promise lower name", state(), {"do": "promise", "epoch_of": [3, "c0"]}, None],
        ["promise no epoch", state(), {"do": "promise", "epoch_of": "x"}, None],
        ["prepare", state(), prepare, None],
        ["prepare again", held, prepare, None],
        ["prepare past", state(5), prepare, None],
        ["prepare given up", state(denied=[denied]), prepare, None],
        ["prepare behind", state(1), prepare, None],
        ["prepare settings", state(), prepare, "classes: expected one"],
        ["prepare crowded", state(possible=crowd), prepare, None],
        ["prepare digest", state(), {**prepare, "digest": "0"}, None],
        ["prepare content", state(), {**prepare, "content": []}, None],
        ["prepare members", state(), {**prepare, "members": [1]}, None],
        ["prepare number", state(), {**prepare, "number": -1}, None],
        ["prepare no base", state(), {**prepare, "base": None}, None],
        ["prepare lower epoch", state(promised=(9, "c2")), prepare, None],
        ["commit", held, {**commit, **named}, None],
        ["commit whole", state(), {**commit, **three}, None],
        ["commit unknown", state(), {**commit, **named}, None],
        ["commit settings", state(), {**commit, **three}, "contracts: expected one"],
        ["commit past", state(5), {**commit, **named}, None],
        ["commit keeps later", state(possible=[three, *crowd[:2]]), {**commit, **named}, None],
        ["deny", held, {"do": "deny", **denied, **speaks}, None],
        ["deny again", state(denied=[denied]), {"do": "deny", **denied, **speaks}, None],
        ["deny past", state(5), {"do": "deny", **denied, **speaks}, None],
        ["deny of the same number", state(3), {"do": "deny", **denied, **speaks}, None],
        ["deny many", state(denied=many), {"do": "deny", **denied, **speaks}, None],
    ]


def control_script(folder: str, name: str, what: str) -> Json:
    """The script of a control process, with the answers of participants that follow the rules."""
    now, play = 100.0, build.ControlPlay(str(pathlib.Path(folder) / f"{name}-live"), MEMBERS)
    remembers = {one: state() for one in MEMBERS}
    script: list[Json] = [["start", now, "c1"]]
    proposes: Json = {"do": "propose", "settings": NEW, "by": "staff"}
    down = {"g3"} if what in ("absent", "silent") else set()
    status: list[Json] = [{"do": "status"}, {"do": "history"}]
    play.take(script[0])
    if what == "deposed":
        remembers["g2"]["promised"] = [7, "c9"]
    for turn in range(60):
        now = 100.0 + turn / 8
        if turn == 8:
            calls = [*status, proposes, {"do": "change", "number": 3}, status[0]]
            for call in calls:
                script.append(["staff", now, call])
                play.take(script[-1])
        if turn == 9 and what == "deposed late":
            remembers["g1"]["promised"] = [9, "c9"]
        for one in MEMBERS:
            message = play.take(["message", now, one])
            script.append(["message", now, one])
            if message is None:
                continue
            if one in down and turn >= 8:
                script.append([{"absent": "refused", "silent": "silent"}[what], now, one])
            else:
                wrong = "no" if what == "aborted" and one == "g2" and "prepare" in message else None
                found = build.participant_answer(remembers[one], json.loads(message), wrong)
                remembers[one] = found["after"]
                script.append(["heard", now, one, found["answer"]])
            play.take(script[-1])
        script.append(["judge", now])
        play.take(script[-1])
    play.take(["end", now])
    script += [["staff", now, one] for one in status]
    for number in (2, 3, 4, 99):
        script += [["staff", now, {"do": do, "number": number}] for do in ("show", "change")]
    script += [
        ["staff", now, {"do": "back", "number": 99}],
        ["staff", now, {"do": "sing"}],
        ["staff", now, {"do": "propose", "settings": {"classes": 7}}],
        ["staff", now, {"do": "propose", "settings": NEW, "without": 7}],
        ["staff", now, {"do": "propose", "settings": NEW, "without": ["g9"]}],
        ["end", now],
        ["start", now + 10.0, "c1"],
        ["staff", now + 10.0, status[0]],
        ["staff", now + 10.0, status[1]],
        ["end", now + 10.0],
    ]
    return script


def agreement(checkout: pathlib.Path) -> None:
    """Messages and answers of participants and control processes, signatures and stored state."""
    three = generation(3, NEW, (3, "c1"))
    four = generation(4, OLD, (4, "c2"))
    report = {
        "promised": [4, "c2"],
        "in_force": {key: three[key] for key in ("number", "epoch", "digest")},
        "possible": [{key: four[key] for key in ("number", "epoch", "digest")}],
        "denied": [{"number": 3, "epoch": [2, "c2"]}],
        "members": MEMBERS,
    }
    stray = generation(3, OLD, (2, "c2"))
    learns = [
        ["in force and possible", state(), report, [three, four]],
        ["nothing fetched", state(), report, []],
        ["denied", state(possible=[stray]), report, [three]],
        ["nothing new", state(3, possible=[four]), report, []],
    ]
    files.save(
        "agreement/participant.json",
        {
            "messages": [
                {
                    "name": name,
                    "remembers": before,
                    "message": message,
                    "wrong": wrong,
                    "found": build.participant_answer(before, message, wrong),
                }
                for name, before, message, wrong in messages()
            ],
            "learns": [
                {
                    "name": name,
                    "remembers": before,
                    "told": said,
                    "fetched": fetched,
                    "found": build.participant_learns(before, said, fetched),
                }
                for name, before, said, fetched in learns
            ],
        },
    )
    plays = []
    with tempfile.TemporaryDirectory() as folder:
        for what in ("committed", "aborted", "absent", "silent", "deposed", "deposed late"):
            script = control_script(folder, what, what)
            path = pathlib.Path(folder) / what
            found = build.control_play(str(path), MEMBERS, script)
            rows = files.journal_rows(path)
            plays.append({"name": what, "script": script, "found": found, "rows": rows})
            if what == "committed":
                kept = files.RECORDED / "agreement/journal.sqlite"
                kept.unlink(missing_ok=True)
                shutil.copy(path, kept)
                records = build.journal_records(str(path))
    files.save("agreement/control.json", {"members": MEMBERS, "plays": plays})
    states = [state(), state(possible=[three]), state(denied=[{"number": 3, "epoch": [3, "c1"]}])]
    for name in build.state_files("g1"):
        (files.RECORDED / "agreement" / name).unlink(missing_ok=True)
    build.save_states(str(files.RECORDED / "agreement"), "g1", states)
    files.save(
        "agreement/stored.json",
        {
            "records": records,
            "names": build.state_files("g1"),
            "states": states,
            "last": len(states) % 2,
        },
    )
    message = {"do": "promise", "to": "g1", "epoch_of": [3, "c1"], "order": 1}
    body, signature = build.sign_request(KEY.encode(), message)
    answer = {"promised": [3, "c1"], "possible": []}
    answer_body, answer_signature = build.sign_response(KEY.encode(), signature, answer)
    paths = build.agreement_paths()
    files.save(
        "agreement/seals.json",
        {
            "key": KEY,
            "question": {"message": message, "body": body.decode(), "seal": signature.decode()},
            "answer": {
                "told": answer,
                "body": answer_body.decode(),
                "seal": answer_signature.decode(),
            },
            "paths": paths,
            "call": build.signed_call(paths[0], "127.0.0.1:7", signature, body).decode(),
        },
    )


STATES: dict[str, list[Json]] = {
    "starting": [],
    "serving": [["begin"]],
    "draining": [["begin"], ["drain", 50.0]],
    "drained": [["begin"], ["drain", 50.0], ["emptied", 0]],
    "ending": [["begin"], ["end", 50.0]],
    "followed": [["begin"], ["followed"]],
}
HEADS = {
    "ready": "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n",
    "ready with a query": "GET /-/ready?x=1 HTTP/1.0\r\n\r\n",
    "drain": "POST /-/drain HTTP/1.1\r\nHost: x\r\n\r\n",
    "resume": "POST /-/resume HTTP/1.1\r\nHost: x\r\n\r\n",
}
ODD_HEADS = {
    "another method": "GET /-/drain HTTP/1.1\r\n\r\n",
    "post to ready": "POST /-/ready HTTP/1.1\r\n\r\n",
    "another path": "GET /-/nothing HTTP/1.1\r\n\r\n",
    "no form": "hello\r\n\r\n",
    "no version": "GET /-/ready FTP/1\r\n\r\n",
    "no path": "GET ready HTTP/1.1\r\n\r\n",
    "bad field": "GET /-/ready HTTP/1.1\r\nx\r\n\r\n",
    "folded field": "GET /-/ready HTTP/1.1\r\nx: 1\r\n y: 2\r\n\r\n",
    "half": "GET /-/ready HTTP/1.1\r\nHost:",
    "nothing": "",
    "too long": "GET /-/ready HTTP/1.1\r\nx: " + "y" * 9000,
    "body": "POST /-/agreement HTTP/1.1\r\nContent-Length: 5\r\nPetrellane-Seal: 7\r\n\r\nabcde",
    "half a body": "POST /-/agreement HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc",
    "body without length": "POST /-/agreement HTTP/1.1\r\n\r\n",
    "body in chunks": "POST /-/agreement HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "body too long": "POST /-/agreement HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
    "get of a body": "GET /-/agreement HTTP/1.1\r\n\r\n",
}


def management(checkout: pathlib.Path) -> None:
    """Calls of staff in each state, and calls out of form."""
    calls = [(f"{name} {state}", state, head) for state in STATES for name, head in HEADS.items()]
    calls += [(name, "serving", head) for name, head in ODD_HEADS.items()]
    cases = [
        {
            "name": name,
            "steps": STATES[state],
            "call": call,
            "at": 50.25,
            "found": build.management_call(STATES[state], call.encode("latin-1"), 50.25),
        }
        for name, state, call in calls
    ]
    files.save("management/calls.json", cases)


def measured(checkout: pathlib.Path) -> None:
    """Keys and readings of the measured files, copies of the scale runs."""
    runs = {}
    (files.RECORDED / "measured").mkdir(parents=True, exist_ok=True)
    for path in sorted((checkout / "docs" / "runs").glob("*.toml")):
        shutil.copy(path, files.RECORDED / "measured" / path.name)
        runs[path.name] = build.scale_run(path)
    benchmarks = checkout / "benchmarks"
    files.save(
        "measured/readings.json",
        {
            "runs": runs,
            "keys": {
                name: files.key_set(json.loads((benchmarks / name).read_text()))
                for name in ("scale.json", "messages.json")
            },
            "inputs": [files.key_set(one) for one in build.capacity_inputs(benchmarks)],
            "tables": [
                [str(table[0]), len(table[2])] for table in build.capacity_tables(benchmarks)
            ],
        },
    )


def processes(checkout: pathlib.Path) -> None:
    """What a real process says as the successor and as the predecessor of one that is played."""
    lease = {
        **{"window": None, "ends": 0.0, "shares": True, "held": 0.0, "got": 0.0, "added": 0.0},
        **{"owed": 0.0, "total": 0.0, "carry": None, "part": 0.0, "dry_until": 0.0},
        **{"single_at": 0.0, "since": 0.0, "ceiling": 10.0, "filled": time.time(), "pooled": 0.0},
        **{"pool_at": 0.0, "busy": False, "out": 0, "demand": []},
    }
    row = {"customer": "%016x" % 1, "plan": "basic", "first": 0, "spread": 1, "lease": lease}
    packets = [json.dumps(one) + "\n" for one in ({"leases": [row]}, {"given": 1})]
    name = build.socket_name("g1")
    with tempfile.TemporaryDirectory(dir="/tmp") as folder:
        world = neighbours.Neighbours(pathlib.Path(folder))
        listener = world.bind(name)
        process = world.start(checkout)
        link, _ = listener.accept()
        link.recv(4096)
        for packet in packets:
            link.send(packet.encode())
        process.wait_for(200, "serving")
        client = world.client()
        first = played.served(client, 4)
        found = played.take_over(world, process, world.connect(name), client)
        world.close()
    with tempfile.TemporaryDirectory(dir="/tmp") as folder:
        world = neighbours.Neighbours(pathlib.Path(folder))
        listener = world.bind(name)
        process = world.start(checkout)
        moved = [played.moved(one, time.time() - found["at"]) for one in found["packets"]]
        said, _ = played.hand_over(world, process, listener, moved)
        world.close()
    recorded = {"name": name, "first": first, **found, "said": said}
    files.save("processes/handover.json", recorded)


PARTS: dict[str, Callable[[pathlib.Path], None]] = {
    "simulation": simulation,
    "handover": handover,
    "agreement": agreement,
    "management": management,
    "measured": measured,
    "processes": processes,
}
