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
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import orjson

from benchmarks import capacity as capacity_page
from petrellane import invariants
from petrellane.config_consensus import (
    ballots,
    control_service,
    journal,
    message_authentication,
    messages,
    participant,
    safe_settings,
    state_store,
)
from petrellane.config_consensus.errors import MessageRejected
from petrellane.decisions import actions, leases, types
from petrellane.decisions.controller import AdmissionController
from petrellane.net import http
from petrellane.net.limits import Limits
from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Closed
from petrellane.operation import (
    hot_restart,
    hot_restart_link,
    hot_restart_messages,
    hot_restart_transport,
)
from petrellane.operation.lifecycle import Lifecycle
from petrellane.operation.management_api import ManagementServer
from petrellane.simulation import fleet, scenario_generation
from petrellane.testbed import capacity, scale

Json = Any

SETTINGS = {
    "zone": "z1",
    "counter_timeout": 0.05,
    "may_cancel": True,
    "max_retry_after": 0.5,
    "slow_start": 10.0,
    "slow_start_minimum": 0.25,
    "cross_zone_price": 0.0,
}
LIMITS = Limits(256, 1.0, 1.0, 1, 1.0, take_back=0.05)

# What a lease is made of: the key in a hand-over, and the attribute that holds it here.
LEASE_KEYS = leases.STORED_FIELDS

# The figures of a plan: the key in a recording, and the field that holds it here.
PLAN_FIELDS = {
    "rate": "rate",
    "store": "burst",
    "ceiling_rate": "hard_limit_rate",
    "ceiling_burst": "hard_limit_burst",
    "ceiling_slack": "hard_limit_slack",
}

# The step of a management case that the recording names, and the method that takes it here.
LIFECYCLE_STEPS = {
    "begin": "start",
    "drain": "drain",
    "emptied": "complete_drain",
    "end": "begin_shutdown",
}

# The label of each kind of record in the digests of the fleet model.
RECORD_LABELS = {
    invariants.Taken: "taken",
    invariants.Sent: "sent",
    invariants.Ended: "ended",
    invariants.Received: "received",
    invariants.Ran: "ran",
    invariants.Answered: "answered",
    invariants.Left: "left",
    invariants.Told: "told",
    invariants.Life: "life",
    invariants.Up: "up",
    invariants.Remains: "remains",
    invariants.Admitted: "admitted",
    invariants.Decided: "decided",
}

# Words that records hold here, and those that stand in the recorded digests, where they differ.
RECORD_WORDS: dict[str, str] = {}


# Leases.


class Leases:
    """The decisions of one gateway, told of RPCs and counts as a script says."""

    def __init__(self, plans: dict[str, dict[str, float]], now: float) -> None:
        self.controller = AdmissionController(
            seed=0x5EED, uses_counter=True, must_watch=False, **SETTINGS
        )
        self.plans = {
            name: types.Plan(name, **{PLAN_FIELDS[key]: told[key] for key in told})
            for name, told in plans.items()
        }
        self.method = types.Method("look", 1.0, 4.0, types.IDEMPOTENT)
        self.customers: dict[str, types.Customer] = {}
        self.ledger: dict[int, float] = {}
        self.adds: list[actions.CounterAdd] = []
        self.rpcs: list[types.Rpc] = []
        self._take(self.controller.start(now))
        endpoints = [types.Endpoint(f"127.0.0.1:{port}") for port in (1, 2)]
        rows = [
            types.EndpointEvent(endpoint, "z1", "std", 0, types.READY, 1.0, 0.0)
            for endpoint in endpoints
        ]
        self._take(self.controller.on_endpoint_events(now, True, rows))

    def _take(self, steps: list[Any]) -> None:
        self.adds += [step for step in steps if isinstance(step, actions.CounterAdd)]

    def customer(self, name: str, plan: str, first: int, spread: int) -> types.Customer | None:
        """The customer of that name; None where its plan is unknown."""
        if plan not in self.plans:
            return None
        if name not in self.customers:
            self.customers[name] = types.Customer(name, self.plans[plan], first, spread)
        return self.customers[name]

    def play(self, script: list[Json]) -> None:
        """Carry out steps.

        These are ["rpc", at, name, plan, first, spread, units], ["count", at, outcome] and
        ["end", at, index].
        """
        for what, now, *words in script:
            if what == "rpc":
                *named, units = words
                customer = self.customer(*named)
                rpc = types.Rpc(self.method, customer, units, now + 4.0, now)
                self.rpcs.append(rpc)
                self._take(self.controller.admit(now, rpc))
            elif what == "count":
                self._count(now, words[0])
            elif what == "end":
                attempt = self.rpcs[words[0]].attempts[-1]
                self._take(
                    self.controller.on_attempt_ended(
                        now, attempt, types.OK, over=True, took=0.1, units=0.0
                    )
                )

    def _count(self, now: float, outcome: str) -> None:
        adds, self.adds = self.adds, []
        for add in adds:
            total = self.ledger.get(add.name, 0.0) + (add.amount if outcome == "ok" else 0.0)
            self.ledger[add.name] = total
            answered = total if outcome == "ok" else 0.0
            self._take(self.controller.on_counter_reply(now, add, outcome, answered))

    def given(self, now: float, generation: Json = None) -> list[Json]:
        """The messages that give all leases up."""
        exported = hot_restart.export_leases(self.controller, now, generation)
        return [hot_restart_messages.encode(message) for message in exported]

    def taken(self, now: float, rows: list[Json]) -> int:
        """Take leases over; how many."""
        return hot_restart.import_leases(self.controller, now, rows, self.customer)

    def settled(self, now: float, name: str, number: int) -> int:
        """RPCs of a customer that were out at the process before have ended; how many its lease had."""
        return hot_restart.release_in_flight(self.controller, now, self.customers[name], number)

    def values(self) -> dict[str, Json]:
        """What each lease is: the stored keys and their values, and its recent demand."""
        found = {}
        for customer, lease in self.controller.lease_manager.leases.items():
            told = {key: getattr(lease, name) for key, name in LEASE_KEYS.items()}
            told["demand"] = [list(pair) for pair in lease.demand]
            found[customer.name] = {
                "plan": customer.plan.name,
                "first": customer.first_gateway,
                "spread": customer.gateway_count,
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
    return hot_restart_transport.socket_name(gateway)


class Turns:
    """A scheduler and its clock, which each turn moves on by 5 ms, however long the turn takes."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.faults: list[Exception] = []
        self.scheduler = Scheduler(monotonic=lambda: self.now)
        self.scheduler.fault = self.faults.append

    def take(self, number: int = 8) -> None:
        """Let the scheduler do what is due, for some turns; what fails there fails here."""
        for _ in range(number):
            self.scheduler.turn(5)
            self.now += 0.005
        if self.faults:
            raise self.faults[0]


def typed(told: Json) -> hot_restart_messages.Message:
    """A message of a hot restart from its JSON object."""
    message = hot_restart_messages.decode(told)
    if message is None:
        raise ValueError(f"expected a message of a hot restart, found {told}")
    return message


def never(*words: Any) -> Any:
    """Stand for what the other end of a hot restart is asked for."""
    raise AssertionError(f"expected no call at this end, found one with {words}")


class Predecessor:
    """The present build's end that gives, found under TMPDIR; `give` gives its messages."""

    def __init__(self, gateway: str, give: Callable[[], list[Json]]) -> None:
        self.events: list[Json] = []
        self.turns = Turns()
        self.transport = hot_restart_transport.HotRestartTransport(
            self.turns.scheduler,
            LIMITS,
            _Log(),
            gateway,
            hot_restart_transport.HotRestartHandlers(
                export_state=lambda: [typed(told) for told in give()],
                on_successor=lambda heir: self.events.append(["followed", heir is not None]),
                import_leases=never,
                adopt_connection=never,
                release_in_flight=never,
                on_predecessor_still_running=never,
            ),
        )
        self.transport.listen()

    def turn(self) -> None:
        """Do what is due."""
        self.turns.take()

    def pass_on(self, sock: socket.socket, data: bytes, asked: bool) -> None:
        """Offer a connection; what becomes of it is an event."""
        self.transport.offer_connection(
            sock, data, asked, lambda passed: self.events.append(["passed", passed])
        )

    def ended(self, customer: str) -> None:
        """An RPC of a customer has ended here."""
        self.transport.report_request_ended(customer)

    def close(self) -> None:
        """Be found no more."""
        self.transport.close()
        for link in list(self.transport.links):
            link.close()


class Successor:
    """The present build's end that takes; what it is told shows as events, in order."""

    def __init__(self, gateway: str) -> None:
        self.events: list[Json] = []
        self.adopted: list[socket.socket] = []
        self.turns = Turns()
        self.transport = hot_restart_transport.HotRestartTransport(
            self.turns.scheduler,
            LIMITS,
            _Log(),
            gateway,
            hot_restart_transport.HotRestartHandlers(
                export_state=never,
                on_successor=never,
                import_leases=self._taken,
                adopt_connection=self._adopt,
                release_in_flight=lambda *ended: self.events.append(["ended", *ended]),
                on_predecessor_still_running=lambda: self.events.append(["beside"]),
            ),
        )

    def _taken(self, rows: list[Json]) -> int:
        self.events.append(["leases", rows])
        return len(rows)

    def _adopt(self, sock: socket.socket, data: bytes, asked: bool) -> None:
        self.adopted.append(sock)
        self.events.append(["connection", data.decode("latin-1"), asked])

    def ask(self) -> None:
        """Ask the process before."""
        self.transport.request_transfer(
            lambda: self.events.append(["begins", self.transport.generation])
        )

    def turn(self) -> None:
        """Do what is due."""
        self.turns.take()

    def close(self) -> None:
        """Let go of all; the process before has closed its end by now."""
        self.transport.close()
        for sock in self.adopted:
            sock.close()


def serve_command() -> list[str]:
    """What starts a real gateway process, from the repository's root."""
    return [sys.executable, "-m", "petrellane", "serve"]


# Agreement.


def digest(settings: Json) -> str:
    """The digest of settings that are agreed on."""
    return safe_settings.digest(settings)


def state_of(told: Json) -> participant.ParticipantState:
    """What a participant remembers, from the form in which it is stored."""
    with tempfile.TemporaryDirectory() as folder:
        store = state_store.StateStore(folder, "any")
        content = {
            "version": state_store.VERSION,
            "gateway": "any",
            "turn": 1,
            "check": state_store.checksum(told),
            "remembers": told,
        }
        pathlib.Path(store.paths[0]).write_bytes(orjson.dumps(content))
        state, fault = store.load()
    if state is None:
        raise ValueError(f"expected a stored state: {fault}")
    return state


def stored(state: participant.ParticipantState) -> Json:
    """The form in which what a participant remembers is stored."""
    with tempfile.TemporaryDirectory() as folder:
        state_store.StateStore(folder, "any").save(state)
        (path,) = pathlib.Path(folder).iterdir()
        return orjson.loads(path.read_bytes())["remembers"]


def participant_answer(remembered: Json, message: Json, wrong: str | None) -> Json:
    """A participant's answer to a message.

    That is the text that is sent, its status, and what it remembers and admits then.
    """
    state, status = state_of(remembered), 200
    try:
        state, answer = participant.handle_message(state, message, lambda content: wrong)
        told = answer.to_dict()
    except MessageRejected as rejection:
        status, told = rejection.status, rejection.to_dict()
    return {
        "status": status,
        "answer": orjson.dumps(told).decode(),
        "after": stored(state),
        "admits": participant.admissible_settings(state),
    }


def participant_learns(remembered: Json, told: Json, fetched: list[Json]) -> Json:
    """What a participant looks for and remembers after another one told what it remembers."""
    state, peer = state_of(remembered), messages.PeerState.from_dict(told)
    missing = [
        {"number": ballot.number, "epoch": list(ballot.epoch)}
        for ballot in participant.missing_ballots(state, peer)
    ]
    got = [ballots.parse_generation(one, safe_settings.digest) for one in fetched]
    after = participant.merge_peer_state(state, peer, got, lambda content: None)
    return {"missing": missing, "after": stored(after)}


class ControlProcess:
    """A control process with its journal, without its calls; time is what the test says."""

    def __init__(self, path: str, name: str, members: list[str], key: bytes, now: float) -> None:
        self.now = now
        scheduler = Scheduler(monotonic=lambda: self.now)
        scheduler.offset = 0.0
        config = SimpleNamespace(
            name=name,
            journal=path,
            members=dict.fromkeys(members, ()),
            key=key,
            listen=("127.0.0.1", 0),
        )
        self.devnull = os.open(os.devnull, os.O_WRONLY)
        self.control = control_service.ControlService(config, self.devnull, scheduler)
        self.sent: dict[str, messages.Request] = {}
        self.calls = 0

    def message(self, name: str, now: float) -> str | None:
        """The message that a participant is due, as the text that is sent; None where it is due none."""
        self.now = now
        request, _ = self.control.coordinator.next_message(name, now)
        if request is None:
            return None
        text = orjson.dumps(request.to_dict()).decode()
        self.sent[text] = request
        return text

    def heard(self, name: str, message: str, answer: str, now: float) -> None:
        """A participant's answer to a message."""
        self.now = now
        request = self.sent[message]
        found = messages.decode_answer(request, orjson.loads(answer))
        self.control.coordinator.handle_answer(name, request, found, now)

    def refused(self, name: str, message: str, now: float) -> None:
        """Nobody listens at a participant's addresses."""
        self.now = now
        self.control.coordinator.handle_connection_refused(name, self.sent[message], now)

    def silent(self, name: str, message: str, now: float) -> None:
        """A participant gave no answer."""
        self.now = now
        self.control.coordinator.handle_no_answer(name, self.sent[message], now)

    def judge(self, now: float) -> None:
        """What time alone brings."""
        self.now = now
        self.control.coordinator.try_to_decide(now)

    def staff(self, message: Json, now: float) -> Json:
        """What staff are answered: the status and the text; each call is a new one."""
        self.now = now
        self.calls += 1
        call = {**message, "nonce": str(self.calls), "at": now}
        status, told = self.control._staff_calls.handle(call)
        return [status, orjson.dumps(told).decode()]

    def close(self) -> None:
        """Let go of the journal and the listener."""
        self.control._management.close()
        self.control.journal.close()
        os.close(self.devnull)


def seal_question(key: bytes, message: Json) -> tuple[bytes, bytes]:
    """A question's body and seal."""
    return message_authentication.sign_request(key, message)


def understand_question(key: bytes, name: str, sealed: bytes, body: bytes) -> Json:
    """The message of a sealed question to us, or the kind of its refusal as text."""
    try:
        return message_authentication.verify_request(key, name, sealed, body)
    except message_authentication.AuthenticationError:
        return "unsealed"
    except ValueError:
        return "out of form"


def seal_answer(key: bytes, asked: bytes, told: Json) -> tuple[bytes, bytes]:
    """An answer's body and seal, to the question of that seal."""
    return message_authentication.sign_response(key, asked, told)


def understand_answer(key: bytes, asked: bytes, sealed: bytes, body: bytes) -> Json:
    """What was answered to a question, or the kind of its refusal as text."""
    try:
        return message_authentication.verify_response(key, asked, sealed, body)
    except message_authentication.AuthenticationError:
        return "unsealed"
    except ValueError:
        return "out of form"


def sealed_call(path: str, host: str, sealed: bytes, body: bytes) -> bytes:
    """The bytes of a sealed question over HTTP."""
    field = message_authentication.SIGNATURE_FIELD.decode()
    return http.post(path, host, {field: sealed.decode()}, body)


def agreement_paths() -> list[str]:
    """Where participants and control processes are asked."""
    paths = (message_authentication.PARTICIPANT_PATH, message_authentication.STAFF_PATH)
    return [path.decode() for path in paths]


def state_files(gateway: str) -> list[str]:
    """The names of a participant's files."""
    return [os.path.basename(path) for path in state_store.StateStore("", gateway).paths]


def load_state(folder: str, gateway: str) -> Json:
    """What a participant's files hold, in stored form; and whether that is surely the last that it said."""
    state, fault = state_store.StateStore(folder, gateway).load()
    return [None if state is None else stored(state), fault is None]


def save_states(folder: str, gateway: str, states: list[Json]) -> None:
    """Remember these, one after the other."""
    store = state_store.StateStore(folder, gateway)
    store.load()
    for told in states:
        store.save(state_of(told))


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
            kept.append({key: told for key, told in record.items() if key != "at"}, record["at"])
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
    lifecycle = Lifecycle(0.5, 1.8)
    for step, *words in steps:
        if step == "followed":
            lifecycle.has_successor = True
        else:
            getattr(lifecycle, LIFECYCLE_STEPS[step])(*words)
    changes: list[None] = []
    scheduler = Scheduler(monotonic=lambda: now)
    scheduler.offset = 0.0
    server = ManagementServer(
        scheduler, LIMITS, lifecycle, lambda: changes.append(None), lambda error: False
    )
    server.handlers[b"/-/agreement"] = lambda fields, body: (
        200,
        body[::-1],
        {"petrellane-seal": fields.get(b"petrellane-seal", b"none").decode()},
    )
    answer = server._answer(_CallStream(call, False), now + 1.0)
    return {
        "answer": answer.decode("latin-1"),
        "state": lifecycle.reported_state,
        "changed": len(changes),
    }


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
    drawn = scenario_generation.draw(int(seed))
    if kind == "followed":
        return scenario_generation.followed(drawn, int(seed))
    if kind == "neighbour":
        return scenario_generation.mutate(drawn, int(seed))
    return drawn


# The event methods of the decisions, each of which answers with actions.
ENTRIES = (
    "start",
    "on_endpoint_events",
    "admit",
    "on_attempt_ended",
    "on_client_disconnected",
    "on_response_started",
    "on_counter_reply",
    "on_timer",
)


def step_values(step: Any) -> list[Any]:
    """A step that the decisions answer with, as a label and its figures."""
    if isinstance(step, actions.SendAttempt):
        figures = [step.endpoint.address, step.number, step.sent_at, step.timeout, step.send_by]
        return ["attempt", *figures]
    if isinstance(step, actions.CounterAdd):
        return ["add", step.name, step.amount, step.ttl, step.window]
    if isinstance(step, actions.SetTimer):
        return ["timer", step.delay]
    if isinstance(step, actions.Reject):
        return ["reject", step.retry_after]
    others = {
        actions.Abort: "abort",
        actions.CancelAttempt: "cancel",
        actions.WatchEndpoints: "ask",
    }
    return [others.get(type(step), "log")]


def noted_decisions(log: list[list[Any]]) -> Any:
    """The decisions, with all steps that they answer to each event noted in a log."""
    depth = [0]

    def noted(entry: str) -> Any:
        inner = getattr(AdmissionController, entry)

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

    return type(
        "NotedDecisions", (AdmissionController,), {entry: noted(entry) for entry in ENTRIES}
    )


def played(name: str) -> tuple[list[tuple[str, list[Any]]], list[Any], list[list[Any]]]:
    """A scenario's records, each as a label and plain values; what the rules say: counts and distances; all decisions."""
    log: list[list[Any]] = []
    run = fleet.Fleet(scenario(name), noted_decisions(log), keep=True).play()
    records = [(RECORD_LABELS[type(one)], [plain(value) for value in one]) for one in run.records]
    verdict = [
        [run.verdict.counts.get(rule, 0), run.verdict.nearest[rule]] for rule in invariants.RULES
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
    link = hot_restart_link.MessageLink(Scheduler(), LIMITS, ours, never, lambda link: None)
    with theirs:
        theirs.settimeout(5.0)
        link.send(typed(message))
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
    old = Predecessor("g1", lambda: script[0])
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
            old.turns.take(20)
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
