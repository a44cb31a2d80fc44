"""How large the messages of the control parts are at the sizes to design for, and what single steps of them cost.

    python -m benchmarks.messages [--out FILE] [--members 100,300,600,1200] [--gateways 3,6,12]

Sizes are of the bytes that the program's own writers make of made-up content (names of the usual length, drawn from a seed),
with the heads of HTTP. Times are processor time of one step alone, the median of five. `leader_change` is all that the
rules of a control process do for one change, free of I/O, by the number of members: once where it takes over five seconds.
`control` runs real gateways and one control process on loopback and counts its calls.

Prints a table and one JSON line last, which `--out` writes to a file: `docs/CAPACITY.md` is worked out from it.
"""

import json
import os
import platform
import statistics
import subprocess
import time
import tracemalloc
from typing import Annotated

import orjson
import typer

from petrellane.config import Section, parse_endpoint_list
from petrellane.config_consensus import (
    ballots,
    coordinator,
    message_authentication,
    participant,
    safe_settings,
    state_store,
)
from petrellane.config_consensus import messages as protocol
from petrellane.net import http, resp
from petrellane.testbed import fleet, fleet_spec

VERSION = 1
METHODS, PLANS, MEMBERS, HOSTS = 4100, 300, 1200, 13_000
KEY, HOST, MICRO = b"0123456789abcdef", "10.23.145.67:18800", 1_000_000
FIELD = message_authentication.SIGNATURE_FIELD.decode()
REPEATS, LONG = 5, 5.0


def settings(methods, plans=PLANS, turn=0):
    """Made-up settings; `turn` changes one row."""
    effects = ("pure", "token", "side_effect")
    rows = [
        {
            "name": f"service{at % 250}.resource{at}.{'get list put drop'.split()[at % 4]}",
            "effect": effects[at % 3],
            "keyScope": ("none", "zone", "all")[at % 3],
            "window": 4 * MICRO,
            "goalTime": (50 + at % 200) * 1000,
            "giveUp": (400 + at % 600) * 1000,
            "worth": 1 + at % 5,
            "lateWorth": 0.5,
        }
        for at in range(methods)
    ]
    if turn:
        rows[0]["giveUp"] += turn
    sold = [
        {
            "name": f"plan-{at}",
            "quotaRate": 2 + at,
            "storeSize": 10 + 5 * at,
            "pays": 1 + at % 3,
            "ceilingRate": 20 + at,
            "ceilingBurst": 40 + at,
            "ceilingSlack": 8,
        }
        for at in range(plans)
    ]
    return {
        "classes": rows,
        "contracts": sold,
        "familyInfo": {"mayCount": True, "counterTimeout": 80_000},
        "limits": {
            "maxAttempts": 4,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfter": 500_000,
        },
        "replicasOfMe": MEMBERS,
    }


def members(number):
    return tuple(f"gateway-{at // 100}-{at:04}" for at in range(number))


def row(at, index=0):
    """A row of a host list."""
    return {
        "name": f"host-{at % 250}-{at:05}",
        "address": f"10.{at >> 12 & 255}.{at >> 4 & 255}.{at % 16 + 10}:18800",
        "zone": f"zone-{at % 12}",
        "type": "standard",
        "group": at % 52,
        "status": "ready",
        "weight": 1.0,
        "since_ms": 1_780_000_000_000 + at,
    }


def answered(body, sealing=True):
    """Bytes of an answer with this body, as the management listener and discovery write it."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n" % len(
        body
    )
    return len(head) + (len(FIELD) + 2 + 64 + 2 if sealing else 0) + 2 + len(body)


def asked(message):
    """Bytes of a question under the key."""
    body, sign = message_authentication.sign_request(KEY, message)
    return len(
        http.post(
            message_authentication.PARTICIPANT_PATH.decode(), HOST, {FIELD: sign.decode()}, body
        )
    )


def timed(step, repeats=REPEATS):
    """Milliseconds of processor time of one step: the median, and how often it was run."""
    spent = []
    for _ in range(repeats):
        began = time.process_time()
        step()
        spent.append((time.process_time() - began) * 1e3)
        if spent[-1] > LONG * 1e3:
            break
    return statistics.median(spent), len(spent)


class Notes:
    """A journal that keeps nothing: the rules' own cost is asked for."""

    def append(self, record, now):
        """Nothing."""


class Roster:
    """A control process's rules with members that answer as the rules of a gateway do, without content to speak of."""

    def __init__(self, number):
        self.now, self.content = 0.0, settings(1, 1)
        self.leader = coordinator.Coordinator("control", members(number), Notes(), 0.0)
        first = ballots.Generation(
            participant.INITIAL_BALLOT,
            safe_settings.digest(self.content),
            self.content,
            members(number),
        )
        self.states = dict.fromkeys(members(number), participant.ParticipantState(first))
        self.sought = 0.0  # seconds of the rules until it leads
        while self.leader.state != coordinator.CoordinatorState.LEADING:
            self.sought += self.around()[1]

    def around(self):
        """Whatever each member is due, once; how many messages that were, and the rules' own processor time in seconds."""
        sent, spent = 0, 0.0
        for name in self.states:
            began = time.process_time()
            message = self.leader.build_message(name, self.now)
            wire = message and message.to_dict()
            spent += time.process_time() - began
            if message is None:
                continue
            sent += 1
            self.states[name], answer = participant.handle_message(
                self.states[name], wire, lambda content: None
            )
            told = answer.to_dict()
            began = time.process_time()
            answer = protocol.decode_answer(message, told)
            self.leader.handle_answer(name, message, answer, self.now)
            spent += time.process_time() - began
        return sent, spent

    def change(self, turn):
        """Milliseconds of the rules for one change until all have it, and the messages a member."""
        self.now += 0.5  # looks are every second, and none is due again
        change = self.leader.propose(settings(1, 1, turn), (), "staff", self.now)
        sent = spent = 0
        while True:
            more, took = self.around()
            sent, spent = sent + more, spent + took
            if not more:
                break
        if change.outcome != coordinator.ChangeOutcome.COMMITTED:
            raise AssertionError(
                f"change: expected it committed, found {change.outcome}: {change.reason}"
            )
        return spent * 1e3, sent / len(self.states)

    def looks(self):
        """Milliseconds of the rules for one look at each."""
        self.now += 2.0
        return self.around()[1] * 1e3


def commit():
    """The commit that the program's files are of, with `+` where they differ from it."""

    def git(*words):
        return subprocess.run(["git", *words], capture_output=True, text=True).stdout.strip()

    return git("rev-parse", "--short", "HEAD") + "+" * bool(
        git("status", "--porcelain", "--", "petrellane")
    )


class Told:
    """Figures by name, each printed as it comes."""

    def __init__(self):
        self.figures = {}

    def add(self, name, value, unit, what, runs=1):
        self.figures[name] = {"value": round(value, 4), "unit": unit, "what": what, "runs": runs}
        print(f"{name:32} {value:14,.3f} {unit:6}  {what}", flush=True)


def sizes(told):
    """Bytes of each message."""
    for methods in (40, 400, METHODS):
        content = safe_settings.canonical_bytes(settings(methods))
        told.add(
            f"settings_bytes_{methods}",
            len(content),
            "bytes",
            f"settings of {methods} methods and {PLANS} plans, canonical",
        )
    content, epoch = settings(METHODS), ballots.Epoch(7, "control")
    one = safe_settings.canonical_bytes({"classes": content["classes"][:1]})
    told.add(
        "delta_bytes",
        asked(
            {
                "do": "prepare",
                "to": "gateway-1-0100",
                "base": {"number": 7, "epoch": list(epoch)},
                "rows": json.loads(one),
                "epoch_of": list(epoch),
                "order": 1234567,
                "digest": safe_settings.digest(content),
            }
        ),
        "bytes",
        "one changed row with the digests of before and after, as a question (not built: made up in this form)",
    )
    for number in (12, 300, MEMBERS):
        generation = ballots.Generation(
            ballots.Ballot(12345, epoch), safe_settings.digest(content), content, members(number)
        )
        state = participant.ParticipantState(generation, epoch)
        told.add(
            f"state_bytes_{number}",
            answered(orjson.dumps(state.to_dict())),
            "bytes",
            f"what a gateway answers to a look, prepare or commit, {number} members",
        )
    told.add(
        "state_bytes_digest",
        answered(orjson.dumps(state.to_dict() | {"members": generation.digest})),
        "bytes",
        "the same with a digest in place of the members' names (not built)",
    )
    order = {"to": "gateway-1-0100", "epoch_of": list(epoch), "order": 1234567}
    told.add(
        "look_bytes", asked({"do": "promise"} | order), "bytes", "a look (promise), as a question"
    )
    told.add(
        "prepare_bytes",
        asked(
            {"do": "prepare", "base": {"number": 12344, "epoch": list(epoch)}}
            | generation.to_dict()
            | order
        ),
        "bytes",
        f"prepare, with {METHODS} methods and {MEMBERS} members, as a question",
    )
    told.add(
        "commit_bytes",
        asked({"do": "commit"} | generation.identity_to_dict() | order),
        "bytes",
        "commit to one that prepared, as a question",
    )
    told.add(
        "content_bytes",
        asked({"do": "commit"} | generation.to_dict() | order),
        "bytes",
        "commit to one that did not, whole, as a question",
    )
    record = {"kind": "proposed", "generation": generation.to_dict(), "by": "staff"}
    told.add(
        "record_bytes",
        len(orjson.dumps(record)),
        "bytes",
        "a proposal in the journal of a control process",
    )
    told.add(
        "remember_bytes",
        len(orjson.dumps(told_of(state._replace(prepared=(generation,))))),
        "bytes",
        "what a gateway writes to its disk while in doubt",
    )
    told.add(
        "settings_mb",
        held(orjson.dumps(content)),
        "MB",
        f"memory of settings of {METHODS} methods, read",
    )
    whole = orjson.dumps(
        {"index": 123456, "snapshot": True, "endpoints": [row(at) for at in range(HOSTS)]}
    )
    told.add("list_bytes", answered(whole, False), "bytes", f"a whole list of {HOSTS:,} hosts")
    changed = orjson.dumps({"index": 123456, "snapshot": False, "endpoints": [row(12_345)]})
    told.add("list_row_bytes", len(orjson.dumps(row(12_345))) + 1, "bytes", "one row of a list")
    told.add("news_bytes", answered(changed, False), "bytes", "a watch's answer with one change")
    told.add(
        "no_news_bytes",
        answered(orjson.dumps({"index": 123456, "snapshot": False, "endpoints": []}), False),
        "bytes",
        "a watch's answer without any",
    )
    told.add(
        "watch_bytes",
        len(http.get("/registry/instances?from=123456&hold_ms=3456", HOST)),
        "bytes",
        "a watch, as a question",
    )
    told.add(
        "add_bytes",
        len(resp.words(b"CNT.ADD", b"%d" % 1234567890123456789, b"12", b"20000")),
        "bytes",
        "an add on the counter, as a question",
    )
    told.add(
        "total_bytes", len(b"$5\r\n12345\r\n"), "bytes", "its answer, with a total of five digits"
    )
    return content, generation, whole


def steps(told, content, generation, whole):
    """Processor time of single steps at a gateway and at a control process."""
    state = participant.ParticipantState(generation, ballots.Epoch(7, "control"))
    later = settings(METHODS, turn=1)
    message = {
        "do": "prepare",
        "epoch_of": [7, "control"],
        "base": generation.identity_to_dict(),
    } | ballots.Generation(
        ballots.Ballot(12346, ballots.Epoch(7, "control")),
        safe_settings.digest(later),
        later,
        generation.roster,
    ).to_dict()
    body = orjson.dumps(message)
    after = participant.handle_message(state, message, lambda content: None)[0]
    for name, what, step in (
        (
            "prepare_ms",
            "a prepare read and checked at a gateway, without the reading of settings",
            lambda: participant.handle_message(state, orjson.loads(body), lambda content: None),
        ),
        (
            "meet_ms",
            "the meet of two settings, while in doubt",
            lambda: participant.admissible_settings(after),
        ),
        (
            "prepare_write_ms",
            "a prepare written at a control process: JSON and seal, once a gateway",
            lambda: message_authentication.sign_request(KEY, message),
        ),
        (
            "seal_prepare_ms",
            "a prepare's seal, written or checked",
            lambda: message_authentication.compute_signature(KEY, b"question", body),
        ),
        (
            "remember_ms",
            "what is remembered while in doubt, as JSON and with its check, without the disk",
            lambda: (state_store.checksum(told_of(after)), orjson.dumps(told_of(after))),
        ),
        (
            "look_ms",
            "an answer to a look made and sealed, and read and checked: the gateway's and control's halves",
            lambda: protocol.PeerState.from_dict(
                message_authentication.verify_response(
                    KEY,
                    b"s",
                    *reversed(message_authentication.sign_response(KEY, b"s", state.to_dict())),
                )
            ),
        ),
        (
            "list_read_ms",
            f"a whole list of {HOSTS:,} hosts read and checked",
            lambda: parse_endpoint_list(Section(orjson.loads(whole), "list")),
        ),
    ):
        value, runs = timed(step)
        told.add(name, value, "ms", what, runs)


def held(body):
    """Megabytes (10^6 bytes) that a JSON value takes once read."""
    tracemalloc.start()
    kept = orjson.loads(body)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / 1e6 if kept else 0.0


def told_of(state):
    """What a gateway writes of its state."""
    return {
        "in_force": state.in_force.to_dict(),
        "promised": list(state.promised),
        "possible": [one.to_dict() for one in state.prepared],
        "denied": [],
    }


def rules(told, numbers):
    """The rules of a control process, by the number of members."""
    for number in numbers:
        roster, spent = Roster(number), []
        told.add(
            f"leader_seek_ms_{number}",
            roster.sought * 1e3,
            "ms",
            f"the rules of a control process that takes over, until it leads, {number} members",
        )
        while len(spent) < REPEATS and (not spent or spent[-1][0] < LONG * 1e3):
            spent.append(roster.change(len(spent) + 1))
        told.add(
            f"leader_change_ms_{number}",
            statistics.median(ms for ms, _ in spent),
            "ms",
            f"one change in the rules of a control process, {number} members",
            len(spent),
        )
        told.add(
            f"leader_calls_{number}",
            spent[-1][1],
            "calls",
            f"messages a gateway for one change, {number} members",
        )
        looks = [roster.looks() for _ in range(REPEATS)]
        told.add(
            f"leader_look_ms_{number}",
            statistics.median(looks),
            "ms",
            f"a look at each of {number} members in the rules",
            REPEATS,
        )


def control(told, numbers, changes=10, seconds=5.0):
    """Calls of a control process on sockets."""
    for number in numbers:
        with fleet.LoopbackFleet(
            fleet_spec.FleetSpec(gateways=number, agreement=True, relays=(), hosts=2)
        ) as lab:
            lab.start()
            desk = lab.controls["control"]
            lab.run_for(1.0)
            calls = desk.ask("status")["calls"]
            lab.run_for(seconds)
            idle = desk.ask("status")["calls"]
            looks = sum(idle.values()) - sum(calls.values())
            told.add(
                f"control_looks_{number}",
                looks / seconds / number,
                "1/s",
                f"looks a second and gateway, {number} gateways",
            )
            for turn in range(changes):
                outcome = lab.change_settings(
                    fleet_spec.build_settings(
                        fleet_spec.SettingsSpec(
                            number, attempts=2 + turn % 2, quota=float(turn + 1)
                        )
                    ),
                    patience=30,
                )
                assert outcome["outcome"] == "committed", outcome
            after = desk.ask("status")["calls"]
            found = sum(after.get(do, 0) - idle.get(do, 0) for do in ("prepare", "commit", "deny"))
            told.add(
                f"control_calls_{number}",
                found / changes / number,
                "calls",
                f"prepare, commit and deny a change and gateway, {number} gateways",
                changes,
            )


def main(
    out: Annotated[str, typer.Option(help="file for the JSON")] = "",
    members: Annotated[str, typer.Option(help="rosters of the rules")] = "100,300,600,1200",
    gateways: Annotated[str, typer.Option(help="fleets on sockets; none where empty")] = "3,6,12",
) -> None:
    told, load = Told(), os.getloadavg()[0]
    steps(told, *sizes(told))
    rules(told, [int(word) for word in members.split(",") if word])
    control(told, [int(word) for word in gateways.split(",") if word])
    found = {
        "version": VERSION,
        "command": "python -m benchmarks.messages",
        "python": platform.python_version(),
        "commit": commit(),
        "load": round(load, 2),
        "figures": told.figures,
    }
    if out:
        with open(out, "w") as file:
            json.dump(found, file, indent=1)
            file.write("\n")
    print(json.dumps(found))


if __name__ == "__main__":
    typer.run(main)
