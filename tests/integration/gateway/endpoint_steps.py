"""Steps of endpoints: the commands that they receive, their answers and their failures."""

import contextlib
import re
import time

from petrellane.net import resp
from tests.integration.gateway.client_steps import ClientSteps
from tests.integration.gateway.configuration import as_options, required_times, unescape
from tests.integration.gateway.harness import PATIENCE_S
from tests.integration.gateway.sockets import Peer

SERVICE_TIME_S = 0.001  # what an answer takes by the scenario's clock
CHUNK = 1 << 16
DRIPS_PER_TURN = 5


class EndpointSteps(ClientSteps):
    """Check what reaches endpoints, and answer it."""

    def do_starts_reading(self) -> None:
        """The endpoint `deaf` reads from now on."""
        self.deaf_reads = True

    def endpoint_peers(self) -> list[Peer]:
        """Return the open connections of the gateway to endpoints."""
        others = ("counter", "discovery")
        return [peer for peer in self.peers if not peer.ended and not peer.role.startswith(others)]

    def receive(self, rpc: str) -> list[tuple[Peer, list[bytes]]]:
        """Take in complete commands at all endpoints and return those of an RPC."""
        for peer in self.endpoint_peers():
            while parsed := peer.parse(resp.parse_command, self.gateway.limits):
                (spans, _), data = parsed
                parts = [data[slice(*span)] for span in spans]
                self.received.setdefault(parts[2].decode(), []).append((peer, parts))
        return self.received.get(rpc, [])

    def endpoint_of(self, rpc: str) -> Peer:
        """Return the endpoint's connection on which the RPC came last."""
        return self.received[rpc][-1][0]

    def do_takes(self, rpc: str, *words: str) -> None:
        """Check that an endpoint has the command as the client worded it, but for the time left."""
        options = as_options(words)
        times = int(options.get("times", 1))
        self.until(f"{rpc} at an endpoint", lambda: len(self.receive(rpc)) >= times)
        peer, parts = self.received[rpc][times - 1]
        expected = [without_deadline(part) for part in self.sent[rpc]]
        assert [without_deadline(part) for part in parts] == expected, parts
        left_ms = int(re.search(rb"(?:^|,)d=(\d+)", parts[3])[1])
        assert left_ms <= int(options.get("max_ms", left_ms)), left_ms
        assert left_ms >= int(options.get("min_ms", 0)), left_ms
        assert options.get("on", peer.role) == peer.role, peer.role

    def do_untaken(self, rpc: str, times: str = "times=1") -> None:
        """Check that endpoints have fewer than so many commands for the RPC."""
        self.fence()
        assert len(self.receive(rpc)) < required_times(times), self.received[rpc]

    def do_answers(self, rpc: str, *text: str) -> None:
        """The endpoint answers: $VALUE with figures and a load report, or a line as it is."""
        self.now += SERVICE_TIME_S
        self.do_answers_again(rpc, *text)

    def do_answers_again(self, rpc: str, *text: str) -> None:
        """The endpoint answers at once, also a second time."""
        data = unescape(" ".join(text))
        if data.startswith(b"$"):
            value, *figures = data[1:].split(b" ")
            cost, load = (*figures, b"", b"")[:2]
            data = b"*3\r\n" + bulk(value) + (bulk(cost) if cost else b"$-1\r\n")
            data += bulk(load) if load else b"$-1\r\n"
        else:
            data += b"\r\n"
        self.endpoint_of(rpc).send_all(data)

    def do_begins(self, rpc: str, length: str) -> None:
        """The endpoint begins an answer with a value of so many bytes."""
        self.now += SERVICE_TIME_S
        self.endpoint_of(rpc).sock.sendall(b"*3\r\n$%d\r\n" % int(length))

    def do_sends_part(self, rpc: str, number: str) -> None:
        """The endpoint sends so many bytes of the value."""
        self.send_value(rpc, int(number))

    def send_value(self, rpc: str, number: int) -> None:
        """Send bytes of a value while the gateway takes them off."""
        peer = self.endpoint_of(rpc)
        limit = time.monotonic() + PATIENCE_S
        while number:
            assert time.monotonic() < limit, f"{number} bytes not taken"
            with contextlib.suppress(BlockingIOError):
                number -= peer.sock.send(b"x" * min(number, CHUNK))
            self.turn(0)

    def do_sends_bytewise(self, rpc: str, number: str) -> None:
        """The endpoint sends so many bytes of the value, one by one."""
        for index in range(int(number)):
            self.endpoint_of(rpc).sock.send(b"x")
            if index % DRIPS_PER_TURN == 0:
                self.turn(0)

    def do_ends(self, rpc: str, *parts: str) -> None:
        """The value is over; these parts follow."""
        data = b"".join(unescape(part) + b"\r\n" for part in parts)
        self.endpoint_of(rpc).sock.send(b"\r\n" + data)

    def do_breaks(self, rpc: str) -> None:
        """The endpoint breaks the connection."""
        self.endpoint_of(rpc).reset()

    def do_connection_ended(self, rpc: str) -> None:
        """Check that the gateway ended the connection of the RPC's first attempt."""
        peer = self.received[rpc][0][0]
        self.until(f"the end of the connection of {rpc}", lambda: peer.ended)

    def do_outcome(self, rpc: str, *expected: str) -> None:
        """Check the outcomes of the RPC's attempts that the decisions were given."""
        self.until(
            f"the outcome of {rpc}",
            lambda: len(self.outcomes.get(rpc, [])) >= max(len(expected), 1),
        )
        assert self.outcomes[rpc] == list(expected), self.outcomes[rpc]


def bulk(data: bytes) -> bytes:
    """Return a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(data), data)


def without_deadline(part: bytes) -> bytes:
    """Return a part of a command without the time that its client leaves."""
    return re.sub(rb"(^|,)d=\d+", b"", part)
