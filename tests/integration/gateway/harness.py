"""The state that all steps of a scenario share: the gateway, its peers, the clock and the turns.

Everything runs in one thread. A turn lets the gateway handle its ready sockets, then reads what has
arrived on the sockets of the scenario. Only steps move the clock.
"""

import contextlib
import io
import json
import resource
import socket
import tempfile
import time
from collections.abc import Callable
from typing import TypeVar

from petrellane.decisions.actions import CounterAdd
from petrellane.decisions.types import Outcome
from petrellane.gateway.client_connection import ClientConnection
from petrellane.gateway.endpoint_connection import PendingAttempt
from petrellane.gateway.process import GatewayProcess
from petrellane.net import resp
from petrellane.operation.hot_restart_transport import HotRestartTransport
from tests.integration.gateway.configuration import Config, unescape
from tests.integration.gateway.sockets import (
    SMALL_BUFFER,
    FloodingSocket,
    Peer,
    occupy_backlog,
)
from tests.loopback import address_text, free_address

STEP_TIMEOUT_S = 20.0  # real time after which an expected event counts as missing
BACKLOG = 64
FULL_LISTENER = "full"  # its backlog is full, so connections to it are never established
DEAF_LISTENER = "deaf"  # has a small buffer and reads nothing before the step `starts-reading`
BLOCKERS = 2  # the number of connections that fill a backlog of zero
FENCE = "fence"  # the client whose PING shows that the gateway has handled all earlier input

Found = TypeVar("Found")


class Harness:
    """A gateway and all its peers, created for one run of a scenario and then closed."""

    gateway: GatewayProcess
    hot_restart: HotRestartTransport
    address: tuple[str, int]

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.now = 1000.0  # the gateway's clock, in seconds
        self.is_started = False
        self.turn_count = 0
        self.config: Config = {}
        self.limits: dict[str, float] = {}
        self._init_peers()
        self._init_records()
        resources = contextlib.ExitStack()
        log = tempfile.TemporaryFile()  # noqa: SIM115  # `close` closes it
        self.log = resources.enter_context(log)
        self.resources = resources
        self.descriptor_limit: tuple[int, int] | None = None  # the limit to restore

    def _init_peers(self) -> None:
        self.listeners: dict[str, socket.socket] = {}
        self.unused_addresses: dict[str, int] = {}  # numbers of addresses that nobody listens on
        self.bound_sockets: dict[str, socket.socket] = {}  # hold the ports of peers that are down
        self.blockers: list[socket.socket] = []  # fill the backlog of the full listener
        self.peers: list[Peer] = []
        self.clients: dict[str, Peer] = {}
        self.callers: list[Peer] = []  # of the management API
        self.paused_clients: set[str] = set()
        self.deaf_is_reading = False
        self.counter_mode = "on"
        self.counter_totals: dict[bytes, float] = {}
        self.pending_watch: Peer | None = None
        self.endpoint_list_index = 1

    def _init_records(self) -> None:
        self.sent: dict[str, list[bytes]] = {}  # the parts of each command, by the id of its RPC
        self.received: dict[str, list[tuple[Peer, list[bytes]]]] = {}
        self.outcomes: dict[str, list[str]] = {}
        self.counter_outcomes: list[str] = []
        self.floods: list[FloodingSocket] = []

    def close(self) -> None:
        """Restore the descriptor limit and close all sockets."""
        self.restore_descriptors()
        peers = [*self.peers, *self.clients.values(), *self.callers]
        sockets = [*self.blockers, *self.bound_sockets.values(), *self.listeners.values()]
        for sock in [*sockets, *(peer.sock for peer in peers)]:
            sock.close()
        if self.is_started:
            self.gateway.management.close()
            if self.gateway.client_listener.listener:
                self.gateway.client_listener.listener.close()
        self.resources.close()

    def restore_descriptors(self) -> None:
        """Restore the descriptor limit of the process."""
        if self.descriptor_limit:
            resource.setrlimit(resource.RLIMIT_NOFILE, self.descriptor_limit)
            self.descriptor_limit = None

    def listen(self, name: str, backlog: int = BACKLOG) -> str:
        """Open the listener of a peer and return its address."""
        sock = socket.create_server(free_address(), backlog=backlog)
        sock.setblocking(False)
        if name == DEAF_LISTENER:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.listeners[name] = sock
        if name == FULL_LISTENER:
            self.blockers += occupy_backlog(sock.getsockname(), BLOCKERS)
        return address_text(sock.getsockname())

    def until(self, description: str, condition: Callable[[], Found]) -> Found:
        """Run turns until a condition holds, and return its value."""
        deadline = time.monotonic() + STEP_TIMEOUT_S
        while not (found := condition()):
            assert time.monotonic() < deadline, (
                f"not observed within {STEP_TIMEOUT_S} s: {description}"
            )
            self.turn()
        return found

    def turn(self, timeout_ms: int = 1) -> None:
        """Let the gateway handle its ready sockets, then read the sockets of all peers."""
        self.turn_count += 1
        self.gateway.scheduler.run_once(timeout_ms)
        self._accept()
        for peer in self.peers:
            if peer.role != DEAF_LISTENER or self.deaf_is_reading:
                peer.read()
            if peer.role.startswith("counter"):
                self._serve_counter(peer)
            elif peer.role == "discovery" and b"\r\n\r\n" in peer.buffer:
                self.pending_watch = peer
                peer.watch_request = bytes(peer.buffer)
                peer.buffer.clear()
        for name, client in self.clients.items():
            if name not in self.paused_clients:
                client.read()
        for caller in self.callers:
            caller.read()
        if FENCE in self.clients and self.clients[FENCE].ended:
            self.clients[FENCE].sock.close()

    def _accept(self) -> None:
        for name, listener in self.listeners.items():
            with contextlib.suppress(OSError):
                while name != FULL_LISTENER:
                    self.peers.append(Peer(listener.accept()[0], name))

    def _serve_counter(self, peer: Peer) -> None:
        while self.counter_mode != "hold":
            parsed = peer.parse(resp.parse_command, self.gateway.limits)
            if not parsed:
                return
            (spans, _), data = parsed
            _, name, amount, lifetime = [data[slice(*span)] for span in spans]
            assert int(lifetime) >= 1, lifetime
            if self.counter_mode == "breaks":
                peer.reset()
                return
            self._answer_counter(peer, name, float(amount))

    def _answer_counter(self, peer: Peer, name: bytes, amount: float) -> None:
        if self.counter_mode.startswith(
            "once "
        ):  # adds the amount, but replies with a literal line
            self.counter_totals[name] = self.counter_totals.get(name, 0.0) + amount
            peer.sock.send(unescape(self.counter_mode[len("once ") :]) + b"\r\n")
            self.counter_mode = "on"
        elif self.counter_mode == "on":
            total = self.counter_totals.get(name, 0.0) + amount
            self.counter_totals[name] = total
            answer = b"%g" % total
            peer.sock.send(b"$%d\r\n%b\r\n" % (len(answer), answer))
        elif self.counter_mode != "silent":
            peer.sock.send(unescape(self.counter_mode) + b"\r\n")

    def on_attempt_ended(
        self, attempt: PendingAttempt, outcome: Outcome, value: bytes, report: bytes
    ) -> None:
        """Record the outcome of an attempt, then pass it on to the gateway."""
        rpc = attempt.request.head.split(b"\r\n")[-2].decode()
        self.outcomes.setdefault(rpc, []).append(outcome)
        self.gateway.executor.on_attempt_ended(attempt, outcome, value, report)

    def on_counter_reply(self, add: CounterAdd, outcome: Outcome, total: float) -> None:
        """Record the outcome of an addition, then pass it on to the gateway."""
        self.counter_outcomes.append(outcome)
        self.gateway.executor.on_counter_reply(add, outcome, total)

    def connections_to(self, name: str) -> list[Peer]:
        """Return the open connections from the gateway to a peer."""
        return [peer for peer in self.peers if peer.role == name and not peer.ended]

    def log_lines(self, event: str) -> list[str]:
        """Return the log lines of an event."""
        self.gateway.log.flush()
        self.log.seek(0)
        return [
            line.decode()
            for line in io.BytesIO(self.log.read())
            if json.loads(line)["event"] == event
        ]

    def server_client(self, name: str) -> ClientConnection:
        """Return the gateway's end of the connection of a client."""
        address = self.clients[name].sock.getsockname()
        self.turn()  # the gateway drops connections that both ends have closed
        (client,) = [
            client
            for client in self.gateway.client_listener.clients
            if client.stream.sock.getpeername() == address
        ]
        return client
