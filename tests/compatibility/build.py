"""The one file of these tests that knows the program: its modules, classes and functions.

Tests hand in and compare plain values (JSON, bytes, files) alone. Where a part of the program gets another name, this
file follows; where a word that stands in a recording gets another name inside the program, a table here translates it.
Nothing here changes a value beyond that.
"""

import dataclasses
import enum
import os
import pathlib
import socket
import sys
import tempfile
import tomllib
import types
from collections.abc import Callable
from typing import Any

import orjson

from benchmarks import capacity as capacity_page
from petrellane import interface, referee
from petrellane.agreement import ballots, control, journal, member, policy, seal, store
from petrellane.choice import HANDED, Gateway
from petrellane.lab import capacity, scale
from petrellane.model import draw, fleet
from petrellane.net import http
from petrellane.net.limits import Limits
from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Closed
from petrellane.operation import handover, succession
from petrellane.operation.management import Management
from petrellane.operation.states import Service

Json = Any

SETTINGS = {
    "zone": "z1",
    "counter_timeout": 0.05,
    "may_cancel": True,
    "max_wait": 0.5,
    "cold": 10.0,
    "cold_from": 0.25,
    "cross_zone": 0.0,
}
LIMITS = Limits(256, 1.0, 1.0, 1, 1.0, take_back=0.05)

# What a lease is made of: the key in a hand-over, and the attribute that holds it here.
LEASE_KEYS = {key: key for key in HANDED}

# The label of each kind of record in the digests of the fleet model.
RECORD_LABELS = {
    referee.Taken: "taken",
    referee.Sent: "sent",
    referee.Ended: "ended",
    referee.Received: "received",
    referee.Ran: "ran",
    referee.Answered: "answered",
    referee.Left: "left",
    referee.Told: "told",
    referee.Life: "life",
    referee.Up: "up",
    referee.Remains: "remains",
    referee.Admitted: "admitted",
    referee.Decided: "decided",
}

# Words that records hold here, and those that stand in the recorded digests, where they differ.
RECORD_WORDS: dict[str, str] = {}


# Leases.


class Leases:
    """The decisions of one gateway, told of RPCs and counts as a script says."""

    def __init__(self, plans: dict[str, dict[str, float]], now: float) -> None:
        self.gateway = Gateway(seed=0x5EED, counter=True, must_ask=False, **SETTINGS)
        self.plans = {name: interface.Plan(name, **told) for name, told in plans.items()}
        self.method = interface.Method("look", 1.0, 4.0, interface.IDEMPOTENT)
        self.customers: dict[str, interface.Customer] = {}
        self.ledger: dict[int, float] = {}
        self.adds: list[interface.Add] = []
        self.rpcs: list[interface.Rpc] = []
        self._take(self.gateway.started(now))
        hosts = [interface.Host(f"127.0.0.1:{port}") for port in (1, 2)]
        rows = [
            interface.Listing(host, "z1", "std", 0, interface.READY, 1.0, 0.0) for host in hosts
        ]
        self._take(self.gateway.listed(now, True, rows))

    def _take(self, steps: list[Any]) -> None:
        self.adds += [step for step in steps if isinstance(step, interface.Add)]

    def customer(self, name: str, plan: str, first: int, spread: int) -> interface.Customer | None:
        """The customer of that name; None where its plan is unknown."""
        if plan not in self.plans:
            return None
        if name not in self.customers:
            self.customers[name] = interface.Customer(name, self.plans[plan], first, spread)
        return self.customers[name]

    def play(self, script: list[Json]) -> None:
        """Carry out steps: ["rpc", at, name, plan, first, spread, units], ["count", at, outcome], ["end", at, index]."""
        for what, now, *words in script:
            if what == "rpc":
                *named, units = words
                customer = self.customer(*named)
                rpc = interface.Rpc(self.method, customer, units, now + 4.0, now)
                self.rpcs.append(rpc)
                self._take(self.gateway.place(now, rpc))
            elif what == "count":
                self._count(now, words[0])
            elif what == "end":
                call_out = self.rpcs[words[0]].call_outs[-1]
                self._take(
                    self.gateway.again(now, call_out, interface.OK, over=True, took=0.1, units=0.0)
                )

    def _count(self, now: float, outcome: str) -> None:
        adds, self.adds = self.adds, []
        for add in adds:
            total = self.ledger.get(add.name, 0.0) + (add.amount if outcome == "ok" else 0.0)
            self.ledger[add.name] = total
            answered = total if outcome == "ok" else 0.0
            self._take(self.gateway.counted(now, add, outcome, answered))

    def given(self, now: float, generation: Json = None) -> list[Json]:
        """The messages that give all leases up."""
        return list(succession.given(self.gateway, now, generation))

    def taken(self, now: float, rows: list[Json]) -> int:
        """Take leases over; how many."""
        return succession.taken(self.gateway, now, rows, self.customer)

    def settled(self, now: float, name: str, number: int) -> int:
        """RPCs of a customer that were out at the process before have ended; how many its lease had."""
        return succession.settled(self.gateway, now, self.customers[name], number)

    def values(self) -> dict[str, Json]:
        """What each lease is: the stored keys and their values, and its recent demand."""
        found = {}
        for customer, lease in self.gateway.leases.leases.items():
            told = {key: getattr(lease, name) for key, name in LEASE_KEYS.items()}
            told["demand"] = [list(pair) for pair in lease.demand]
            found[customer.name] = {
                "plan": customer.plan.name,
                "first": customer.first,
                "spread": customer.spread,
                "lease": told,
            }
        return found


# Hot restart.


class _Log:
    """A log that keeps nothing."""

    def event(self, name: str, **figures: Json) -> None:
        """Pass an event over."""


def socket_name(gateway: str) -> str:
    """The file name of a gateway's hand-over socket."""
    return handover.file_name(gateway)


def turns(scheduler: Scheduler, number: int = 8) -> None:
    """Let a scheduler do what is due, for some ten milliseconds; what fails there fails here."""
    faults: list[Exception] = []
    scheduler.fault = faults.append
    for _ in range(number):
        scheduler.turn(5)
    if faults:
        raise faults[0]


class Predecessor:
    """The present build's end that gives, found under TMPDIR; `give` gives its messages."""

    def __init__(self, gateway: str, give: Callable[[], list[Json]]) -> None:
        self.events: list[Json] = []
        self.scheduler = Scheduler()
        self.handover = handover.Handover(
            self.scheduler,
            LIMITS,
            _Log(),
            gateway,
            give,
            lambda heir: self.events.append(["followed", heir is not None]),
            None,
            None,
            None,
            None,
        )
        self.handover.offer()

    def turn(self) -> None:
        """Do what is due."""
        turns(self.scheduler)

    def pass_on(self, sock: socket.socket, data: bytes, asked: bool) -> None:
        """Offer a connection; what becomes of it is an event."""
        self.handover.pass_on(
            sock, data, asked, lambda passed: self.events.append(["passed", passed])
        )

    def ended(self, customer: str) -> None:
        """An RPC of a customer has ended here."""
        self.handover.owed(customer)

    def close(self) -> None:
        """Be found no more."""
        self.handover.close()
        for link in list(self.handover.links):
            link.close()


class Successor:
    """The present build's end that takes; what it is told shows as events, in order."""

    def __init__(self, gateway: str) -> None:
        self.events: list[Json] = []
        self.adopted: list[socket.socket] = []
        self.scheduler = Scheduler()
        self.handover = handover.Handover(
            self.scheduler,
            LIMITS,
            _Log(),
            gateway,
            None,
            None,
            self._taken,
            self._adopt,
            lambda name, number: self.events.append(["ended", name, number]),
            lambda: self.events.append(["beside"]),
        )

    def _taken(self, rows: list[Json]) -> int:
        self.events.append(["leases", rows])
        return len(rows)

    def _adopt(self, sock: socket.socket, data: bytes, asked: bool) -> None:
        self.adopted.append(sock)
        self.events.append(["connection", data.decode("latin-1"), asked])

    def ask(self) -> None:
        """Ask the process before."""
        self.handover.ask(lambda: self.events.append(["begins", self.handover.generation]))

    def turn(self) -> None:
        """Do what is due."""
        turns(self.scheduler)

    def close(self) -> None:
        """Let go of all."""
        if self.handover.link:
            self.handover.link.close()
        self.handover.close()
        for sock in self.adopted:
            sock.close()


def serve_command() -> list[str]:
    """What starts a real gateway process, from the repository's root."""
    return [sys.executable, "-m", "petrellane", "serve"]


# Agreement.


def digest(settings: Json) -> str:
    """The digest of settings that are agreed on."""
    return policy.digest(settings)


def state_of(stored: Json) -> member.State:
    """What a participant remembers, from the form in which it is stored."""
    return store.Store.state_of(stored)


def stored(state: member.State) -> Json:
    """The form in which what a participant remembers is stored."""
    with tempfile.TemporaryDirectory() as folder:
        store.Store(folder, "any").save(state)
        (path,) = pathlib.Path(folder).iterdir()
        return orjson.loads(path.read_bytes())["remembers"]


def participant_answer(remembered: Json, message: Json, wrong: str | None) -> Json:
    """A participant's answer to a message, as text that is sent, its status, and what it remembers and admits then."""
    state, status = state_of(remembered), 200
    try:
        state, told = member.heard(state, message, lambda content: wrong)
    except member.Refusal as refusal:
        status, told = refusal.status, refusal.told()
    return {
        "status": status,
        "answer": orjson.dumps(told).decode(),
        "after": stored(state),
        "admits": member.admitted(state),
    }


def participant_learns(remembered: Json, told: Json, fetched: list[Json]) -> Json:
    """What a participant looks for and remembers after another one told what it remembers."""
    state, learnt = state_of(remembered), member.learnt_of(told)
    missing = [
        {"number": one.number, "epoch": list(one.epoch)} for one in member.missing(state, learnt)
    ]
    got = [ballots.generation_of(one, policy.digest) for one in fetched]
    after = member.learn(state, learnt, got, lambda content: None)
    return {"missing": missing, "after": stored(after)}


class ControlProcess:
    """A control process with its journal, without its listener's calls; time is what the test says."""

    def __init__(self, path: str, name: str, members: list[str], key: bytes, now: float) -> None:
        self.now = now
        scheduler = Scheduler(monotonic=lambda: self.now)
        scheduler.offset = 0.0
        config = types.SimpleNamespace(
            name=name,
            journal=path,
            members=dict.fromkeys(members, ()),
            key=key,
            listen=("127.0.0.1", 0),
        )
        self.devnull = os.open(os.devnull, os.O_WRONLY)
        self.control = control.Control(config, self.devnull, scheduler)

    def message(self, name: str, now: float) -> str | None:
        """The message that a participant is due, as the text that is sent; None where it is due none."""
        self.now = now
        message, _ = self.control.leader.next(name, now)
        return None if message is None else orjson.dumps(message).decode()

    def heard(self, name: str, message: str, answer: str, now: float) -> None:
        """A participant's answer to a message."""
        self.now = now
        self.control.leader.heard(name, orjson.loads(message), orjson.loads(answer), now)

    def refused(self, name: str, message: str, now: float) -> None:
        """Nobody listens at a participant's addresses."""
        self.now = now
        self.control.leader.refused(name, orjson.loads(message), now)

    def silent(self, name: str, message: str, now: float) -> None:
        """A participant gave no answer."""
        self.now = now
        self.control.leader.silent(name, orjson.loads(message), now)

    def judge(self, now: float) -> None:
        """What time alone brings."""
        self.now = now
        self.control.leader.judge(now)

    def staff(self, message: Json, now: float) -> Json:
        """What staff are answered: the status and the text."""
        self.now = now
        status, told = self.control.obeyed(message)
        return [status, orjson.dumps(told).decode()]

    def close(self) -> None:
        """Let go of the journal and the listener."""
        self.control.desk.end()
        self.control.journal.close()
        os.close(self.devnull)


def seal_question(key: bytes, message: Json) -> tuple[bytes, bytes]:
    """A question's body and seal."""
    return seal.question(key, message)


def understand_question(key: bytes, name: str, sealed: bytes, body: bytes) -> Json:
    """The message of a sealed question to us, or the kind of its refusal as text."""
    try:
        return seal.understood(key, name, sealed, body)
    except seal.Unsealed:
        return "unsealed"
    except ValueError:
        return "out of form"


def seal_answer(key: bytes, asked: bytes, told: Json) -> tuple[bytes, bytes]:
    """An answer's body and seal, to the question of that seal."""
    return seal.answer(key, asked, told)


def understand_answer(key: bytes, asked: bytes, sealed: bytes, body: bytes) -> Json:
    """What was answered to a question, or the kind of its refusal as text."""
    try:
        return seal.answered(key, asked, sealed, body)
    except seal.Unsealed:
        return "unsealed"
    except ValueError:
        return "out of form"


def sealed_call(path: str, host: str, sealed: bytes, body: bytes) -> bytes:
    """The bytes of a sealed question over HTTP."""
    return http.post(path, host, {seal.FIELD.decode(): sealed.decode()}, body)


def agreement_paths() -> list[str]:
    """Where participants and control processes are asked."""
    return [seal.PATH.decode(), seal.STAFF.decode()]


def state_files(gateway: str) -> list[str]:
    """The names of a participant's files."""
    return [os.path.basename(path) for path in store.Store("", gateway).paths]


def load_state(folder: str, gateway: str) -> Json:
    """What a participant's files hold, in stored form; and whether that is surely the last that it said."""
    state, why = store.Store(folder, gateway).load()
    return [None if state is None else stored(state), why is None]


def save_states(folder: str, gateway: str, states: list[Json]) -> None:
    """Remember these, one after the other."""
    keeper = store.Store(folder, gateway)
    keeper.load()
    for told in states:
        keeper.save(state_of(told))


def journal_records(path: str) -> list[Json]:
    """The records of a journal."""
    kept = journal.Journal(path)
    try:
        return list(kept.records())
    finally:
        kept.close()


def write_journal(path: str, records: list[Json]) -> None:
    """A new journal with these records, each with its time under `at`."""
    kept = journal.Journal(path)
    try:
        for record in records:
            kept.note({key: told for key, told in record.items() if key != "at"}, record["at"])
    finally:
        kept.close()


# Management.


class _CallStream:
    """A caller that sends some bytes and then nothing, or its end."""

    def __init__(self, data: bytes, ends: bool) -> None:
        self.buffer, self.ends = bytearray(data), ends

    def fill(self, seconds: float) -> None:
        """Nothing more comes."""
        if self.ends:
            raise Closed("the end")
        raise TimeoutError


def management_call(steps: list[Json], call: bytes, now: float) -> Json:
    """The bytes that answer a call, in the state that some steps lead to; the state then, and whether it changed."""
    service = Service(0.5, 1.8)
    for step, *words in steps:
        if step == "followed":
            service.followed = True
        else:
            getattr(service, step)(*words)
    changes: list[None] = []
    scheduler = Scheduler(monotonic=lambda: now)
    scheduler.offset = 0.0
    desk = Management(
        scheduler, LIMITS, service, lambda: changes.append(None), lambda trouble: False
    )
    desk.handlers[b"/-/agreement"] = lambda fields, body: (
        200,
        body[::-1],
        {"petrellane-seal": fields.get(b"petrellane-seal", b"none").decode()},
    )
    answer = desk.heard(_CallStream(call, False), now + 1.0)
    return {"answer": answer.decode("latin-1"), "state": service.told, "changed": len(changes)}


# Files that CI reads.


def scale_run(path: pathlib.Path) -> Json:
    """A scale run as the reader of its file understands it."""
    told = scale.load(str(path))
    return {name: getattr(told, name) for name in told.__struct_fields__}


def capacity_inputs(folder: pathlib.Path) -> tuple[Json, Json, Json, Json]:
    """The plan, the slopes, the figures of messages, and the run, read as the capacity page reads them."""
    return (
        capacity_page.read(folder / "capacity.toml", lambda text: tomllib.loads(text.decode())),
        capacity_page.read(folder / "scale.json", orjson.loads),
        capacity_page.read(folder / "messages.json", orjson.loads),
        capacity_page.read(capacity_page.RUN, capacity_page.last),
    )


def capacity_tables(folder: pathlib.Path) -> Json:
    """The tables of the capacity page, from the files of a folder: heading and cells."""
    return plain(capacity.tables(*capacity_inputs(folder)))


# The fleet model.


def scenario(name: str) -> Any:
    """A scenario by its name: "draw 17", "followed 17" or "neighbour 17"."""
    kind, seed = name.split()
    drawn = draw.draw(int(seed))
    if kind == "followed":
        return draw.followed(drawn, int(seed))
    if kind == "neighbour":
        return draw.mutate(drawn, int(seed))
    return drawn


ENTRIES = ("started", "listed", "place", "again", "left", "streaming", "counted", "woken")


def step_values(step: Any) -> list[Any]:
    """A step that the decisions answer with, as a label and its figures."""
    if isinstance(step, interface.CallOut):
        figures = [step.host.address, step.number, step.sent, step.timeout, step.by]
        return ["attempt", *figures]
    if isinstance(step, interface.Add):
        return ["add", step.name, step.amount, step.ttl, step.window]
    if isinstance(step, interface.Wake):
        return ["timer", step.after]
    if isinstance(step, interface.PushBack):
        return ["reject", step.wait]
    others = {interface.Abort: "abort", interface.Cancel: "cancel", interface.Subscribe: "ask"}
    return [others.get(type(step), "log")]


def noted_decisions(log: list[list[Any]]) -> Any:
    """The decisions, with all steps that they answer to each event noted in a log."""
    depth = [0]

    def noted(entry: str) -> Any:
        inner = getattr(Gateway, entry)

        def call(self: Any, *words: Any, **more: Any) -> Any:
            depth[0] += 1
            try:
                steps = inner(self, *words, **more)
            finally:
                depth[0] -= 1
            if not depth[0]:
                log.extend(step_values(step) for step in steps)
            return steps

        return call

    return type("NotedDecisions", (Gateway,), {entry: noted(entry) for entry in ENTRIES})


def played(name: str) -> tuple[list[tuple[str, list[Any]]], list[Any], list[list[Any]]]:
    """A scenario's records, each as a label and plain values; what the rules say: counts and distances; all decisions."""
    log: list[list[Any]] = []
    run = fleet.Fleet(scenario(name), noted_decisions(log), keep=True).play()
    records = [(RECORD_LABELS[type(one)], [plain(value) for value in one]) for one in run.records]
    verdict = [
        [run.verdict.counts.get(rule, 0), run.verdict.nearest[rule]] for rule in referee.RULES
    ]
    return records, verdict, log


def plain(value: Any) -> Any:
    """A value without any type of the program."""
    if isinstance(value, enum.Enum):
        return plain(value.value)
    if isinstance(value, str):
        return RECORD_WORDS.get(value, str(value))
    if value is None or isinstance(value, (bool, int, float)):
        return value
    if isinstance(value, dict):
        return {key: plain(one) for key, one in value.items()}
    if isinstance(value, (list, tuple)):
        return [plain(one) for one in value]
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    raise TypeError(f"expected plain values in a record, found {type(value).__name__}")


# Hot restart, played.


def packet(message: Json) -> str:
    """The packet that a message is sent as, without data."""
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    link = handover.Link(Scheduler(), LIMITS, ours, None, lambda link: None)
    with theirs:
        theirs.settimeout(5.0)
        link.send(message)
        sent = theirs.recv(LIMITS.packet)
        link.close()
    return sent.decode("latin-1")


def _received(sock: socket.socket) -> list[Json]:
    """All packets that have come: text, and whether a descriptor came along."""
    found: list[Json] = []
    sock.setblocking(False)
    while True:
        try:
            data, descriptors, _, _ = socket.recv_fds(sock, LIMITS.packet, 1)
        except BlockingIOError:
            return found
        for descriptor in descriptors:
            os.close(descriptor)
        found.append([data.decode("latin-1"), bool(descriptors)])
        if not data:
            return found


def predecessor_dialogue(folder: pathlib.Path, script: list[Json]) -> list[Json]:
    """What the end that gives says and does at each step: ["say", who, packet], ["pass", data, asked], ["ended", name]."""
    messages = script[0]
    old = Predecessor("g1", lambda: messages)
    peers: dict[str, socket.socket] = {}
    passed: list[socket.socket] = []
    found: list[Json] = []
    for what, *words in script[1:]:
        if what == "say":
            who, text = words
            if who not in peers:
                peers[who] = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
                peers[who].connect(str(folder / socket_name("g1")))
            peers[who].send(text.encode("latin-1"))
        elif what == "pass":
            pair = socket.socketpair()
            passed += pair
            old.pass_on(pair[0], words[0].encode(), words[1])
        elif what == "ended":
            old.ended(words[0])
        elif what == "wait":
            turns(old.scheduler, 20)
        old.turn()
        heard = {who: _received(sock) for who, sock in peers.items()}
        found.append([what, heard, old.events])
        old.events = []
        peers = {who: sock for who, sock in peers.items() if ["", False] not in heard[who]}
    for sock in (*peers.values(), *passed):
        sock.close()
    old.close()
    return found


def successor_dialogue(listener: socket.socket, script: list[Json]) -> tuple[list[Json], Json]:
    """What the end that takes says to each packet [text, with a descriptor], and what it is told in all."""
    new = Successor("g1")
    new.ask()
    link, _ = listener.accept()
    new.turn()
    said = [_received(link)]
    kept: list[socket.socket] = []
    for text, descriptor in script:
        fds = []
        if descriptor:
            kept += socket.socketpair()
            fds = [kept[-1].fileno()]
        socket.send_fds(link, [text.encode("latin-1")], fds)
        new.turn()
        said.append(_received(link))
    link.close()
    new.turn()
    for sock in kept:
        sock.close()
    new.close()
    return said, new.events


# Agreement, played.


class ControlPlay:
    """A control process that is led through a script, step by step; answers are those of the script."""

    def __init__(self, path: str, members: list[str]) -> None:
        self.path, self.members = path, members
        self.leads: ControlProcess | None = None
        self.last: dict[str, str] = {}

    def take(self, step: Json) -> Json:
        """Take one step; what is said to it."""
        what, now, *words = step
        if what == "start":
            self.leads = ControlProcess(self.path, words[0], self.members, b"k" * 16, now)
            return None
        if self.leads is None:
            raise ValueError("expected a start first")
        if what == "message":
            said = self.leads.message(words[0], now)
            self.last[words[0]] = said or ""
            return said
        if what == "staff":
            return self.leads.staff(words[0], now)
        if what == "heard":
            self.leads.heard(words[0], self.last[words[0]], words[1], now)
        elif what == "refused":
            self.leads.refused(words[0], self.last[words[0]], now)
        elif what == "silent":
            self.leads.silent(words[0], self.last[words[0]], now)
        elif what == "judge":
            self.leads.judge(now)
        elif what == "end":
            self.leads.close()
            self.leads = None
        return None


def control_play(path: str, members: list[str], script: list[Json]) -> list[Json]:
    """What a control process says at each step of a script."""
    play = ControlPlay(path, members)
    return [play.take(step) for step in script]
