"""Both ends of a hot restart, played by themselves and against scripted packets."""

import os
import pathlib
import socket
import sys
from collections.abc import Callable
from typing import Any, NoReturn

from petrellane.net.limits import Limits
from petrellane.net.scheduler import Scheduler
from petrellane.operation import (
    hot_restart_link,
    hot_restart_messages,
    hot_restart_transport,
)

Json = Any

LIMITS = Limits(256, 1.0, 1.0, 1, 1.0, handoff_timeout=0.05)


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
        self.scheduler.exception_handler = self.faults.append

    def take(self, number: int = 8) -> None:
        """Let the scheduler do what is due, for some turns; what fails there fails here."""
        for _ in range(number):
            self.scheduler.run_once(5)
            self.now += 0.005
        if self.faults:
            raise self.faults[0]


def typed(fields: Json) -> hot_restart_messages.Message:
    """A message of a hot restart from its JSON object."""
    message = hot_restart_messages.decode(fields)
    if message is None:
        raise ValueError(f"expected a message of a hot restart, found {fields}")
    return message


def never(*arguments: object) -> NoReturn:
    """Stand for what the other end of a hot restart is asked for."""
    raise AssertionError(f"expected no call at this end, found one with {arguments}")


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
                export_state=lambda: [typed(fields) for fields in give()],
                on_successor=lambda successor: self.events.append(
                    ["followed", successor is not None]
                ),
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
    """The present build's end that takes; what it is notified of shows as events, in order."""

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
            lambda: self.events.append(["begins", self.transport.consensus_state])
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


def encode_packet(message: Json) -> str:
    """The packet that a message is sent as, without data."""
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    link = hot_restart_link.MessageLink(Scheduler(), LIMITS, ours, never, lambda _link: None)
    with theirs:
        theirs.settimeout(5.0)
        link.send(typed(message))
        sent = theirs.recv(LIMITS.max_packet_size)
        link.close()
    return sent.decode("latin-1")


def _received(sock: socket.socket) -> list[Json]:
    """All packets that have come: text, and whether a descriptor came along."""
    found: list[Json] = []
    sock.setblocking(False)
    while True:
        try:
            data, descriptors, _, _ = socket.recv_fds(sock, LIMITS.max_packet_size, 1)
        except BlockingIOError:
            return found
        for descriptor in descriptors:
            os.close(descriptor)
        found.append([data.decode("latin-1"), bool(descriptors)])
        if not data:
            return found


def predecessor_dialogue(folder: pathlib.Path, script: list[Json]) -> list[Json]:
    """What the end that gives says and does at each step.

    Steps are ["say", who, packet], ["pass", data, asked], ["ended", name] and ["wait"].
    """
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
        received = {who: _received(sock) for who, sock in peers.items()}
        found.append([what, received, old.events])
        old.events = []
        peers = {who: sock for who, sock in peers.items() if ["", False] not in received[who]}
    for sock in (*peers.values(), *passed):
        sock.close()
    old.close()
    return found


def successor_dialogue(listener: socket.socket, script: list[Json]) -> tuple[list[Json], Json]:
    """What the end that takes says to each packet [text, with a descriptor], and all its events."""
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
