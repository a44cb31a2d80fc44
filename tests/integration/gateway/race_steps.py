"""Steps that force races to happen, and steps that move the clock."""

import math

from petrellane.decisions import actions
from petrellane.gateway.client_request import ClientRequest
from petrellane.net import resp
from tests.integration.gateway.configuration import unescape
from tests.integration.gateway.endpoint_steps import EndpointSteps
from tests.integration.gateway.sockets import CrossingSocket

CLOCK_STEP_S = 0.02


class RaceSteps(EndpointSteps):
    """Makes events coincide in one turn or at one point in time."""

    def do_wait(self, seconds: str) -> None:
        """Advance the clock by some seconds, in small steps."""
        self.wait(float(seconds))

    def wait(self, seconds: float) -> None:
        """Advance the clock in small steps, with two turns after each."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + CLOCK_STEP_S)
            self.turn(0)
            self.turn(0)

    def do_stall(self, seconds: str) -> None:
        """Stall the process: advance the clock without a turn."""
        self.now += float(seconds)

    def do_turns(self, number: str, order: str = "forward") -> None:
        """Run some turns that handle ready sockets in the order `forward` or `backward`."""
        self.gateway.scheduler.poll.backward = order == "backward"
        for _ in range(int(number)):
            self.turn()
        self.gateway.scheduler.poll.backward = False

    def do_disconnect_in_turn(self, name: str, seconds: str) -> None:
        """Disconnect a client and advance the clock in the turn that reads the next RPC."""
        listener = self.gateway.client_listener
        executor = self.gateway.executor
        on_request = listener.on_request

        def on_next_request(request: ClientRequest) -> None:
            listener.on_request = on_request
            self.do_disconnect_unseen(name)
            self.now += float(seconds)
            executor.on_request(request)

        listener.on_request = on_next_request

    def do_query_at_close(self, name: str, rpc: str) -> None:
        """Let a query arrive at the moment at which the gateway closes the client's connection."""
        stream = self.server_client(name).stream
        peer = self.clients[name]
        fields = b"c=look,t=basic,d=2000,units=1,spread=1,first=0"
        data = resp.encode_command(b"SVC.QUERY", b"%016x" % 8, rpc.encode(), fields)
        stream.sock = CrossingSocket(stream.sock, lambda: peer.sock.send(data))

    def do_host_bytes_at_close(self, name: str, *text: str) -> None:
        """Let bytes of an endpoint arrive when the gateway closes its idle connections."""
        data = unescape(" ".join(text))
        peers = {peer.sock.getpeername(): peer for peer in self.connections_to(name)}
        for pool in self.gateway.endpoint_pools.pools.values():
            for connection in pool.idle:
                stream = connection.stream
                peer = peers.get(stream.sock.getsockname())
                if peer is not None:
                    stream.sock = CrossingSocket(
                        stream.sock, lambda peer=peer: peer.sock.send(data)
                    )

    def do_fault(self, name: str) -> None:
        """Let the next call of this method of the controller raise an error."""
        controller = self.gateway.executor.controller
        call = getattr(controller, name)

        def fail(*_args: object, **_kwargs: object) -> None:
            setattr(controller, name, call)
            raise ZeroDivisionError(f"injected by the scenario into the controller's {name}")

        setattr(controller, name, fail)

    def do_fault_action(self, name: str) -> None:
        """Let the next action of this type raise an error when it is executed."""
        handlers = self.gateway.executor._handlers
        kind = getattr(actions, name)
        handler = handlers[kind]

        def fail(_action: object) -> None:
            handlers[kind] = handler
            raise ZeroDivisionError(f"injected by the scenario into the execution of {name}")

        handlers[kind] = fail

    def do_adds_unwritable(self) -> None:
        """Let the decisions ask for an addition that no command can express."""
        self.gateway.executor.execute([actions.CounterAdd(7, 1.0, math.inf)])
