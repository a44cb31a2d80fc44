"""Steps of endpoints: the commands that they receive, their replies and their failures."""

import contextlib
import re
import time

from petrellane.net import resp
from tests.integration.gateway.client_steps import ClientSteps
from tests.integration.gateway.configuration import as_options, required_times, unescape
from tests.integration.gateway.harness import STEP_TIMEOUT_S
from tests.integration.gateway.sockets import Peer

SERVICE_TIME_S = 0.001  # the time that a reply takes, on the clock of the scenario
CHUNK = 1 << 16
BYTES_PER_TURN = 5


class EndpointSteps(ClientSteps):
    """Checks what endpoints receive, and sends their replies."""

    def do_starts_reading(self) -> None:
        """Let the endpoint `deaf` read from now on."""
        self.deaf_is_reading = True

    def endpoint_peers(self) -> list[Peer]:
        """Return the connections from the gateway to endpoints, also those that have ended."""
        others = ("counter", "discovery")
        return [peer for peer in self.peers if not peer.role.startswith(others)]

    def receive(self, rpc: str) -> list[tuple[Peer, list[bytes]]]:
        """Parse the complete commands at all endpoints; return those of one RPC.

        A command counts also if the gateway has closed the connection behind it.
        """
        for peer in self.endpoint_peers():
            while parsed := peer.parse(resp.parse_command, self.gateway.limits):
                (spans, _), data = parsed
                parts = [data[slice(*span)] for span in spans]
                self.received.setdefault(parts[2].decode(), []).append((peer, parts))
        return self.received.get(rpc, [])

    def endpoint_of(self, rpc: str) -> Peer:
        """Return the connection on which an endpoint last received the RPC."""
        return self.received[rpc][-1][0]

    def do_takes(self, rpc: str, *words: str) -> None:
        """Check that an endpoint receives the command as the client sent it.

        The deadline field may differ.

        Args:
            rpc: The id of the RPC.
            words: Options: `times` for the number of the attempt, `on` for the endpoint, `min_ms`
                and `max_ms` for the bounds of the deadline in the command, in milliseconds.
        """
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
        """Check that endpoints have received the RPC fewer times than this."""
        self.fence()
        assert len(self.receive(rpc)) < required_times(times), self.received[rpc]

    def do_answers(self, rpc: str, *text: str) -> None:
        """Let the endpoint reply: $VALUE with a cost and a load report, or a literal line."""
        self.now += SERVICE_TIME_S
        self.do_answers_again(rpc, *text)

    def do_answers_again(self, rpc: str, *text: str) -> None:
        """Let the endpoint reply without moving the clock; it may be a second reply to the RPC."""
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
        """Let the endpoint send the head of a reply with a value of this length, in bytes."""
        self.now += SERVICE_TIME_S
        self.endpoint_of(rpc).sock.sendall(b"*3\r\n$%d\r\n" % int(length))

    def do_sends_part(self, rpc: str, number: str) -> None:
        """Let the endpoint send this many bytes of the value."""
        self.send_value(rpc, int(number))

    def send_value(self, rpc: str, number: int) -> None:
        """Send bytes of a value, and run turns in which the gateway reads them."""
        peer = self.endpoint_of(rpc)
        deadline = time.monotonic() + STEP_TIMEOUT_S
        while number:
            assert time.monotonic() < deadline, (
                f"{number} bytes of the value were not read within {STEP_TIMEOUT_S} s"
            )
            with contextlib.suppress(BlockingIOError):
                number -= peer.sock.send(b"x" * min(number, CHUNK))
            self.turn(0)

    def do_sends_bytewise(self, rpc: str, number: str) -> None:
        """Let the endpoint send this many bytes of the value, one at a time."""
        for index in range(int(number)):
            self.endpoint_of(rpc).sock.send(b"x")
            if index % BYTES_PER_TURN == 0:
                self.turn(0)

    def do_ends(self, rpc: str, *parts: str) -> None:
        """Let the endpoint end the value and send the remaining parts of the reply."""
        data = b"".join(unescape(part) + b"\r\n" for part in parts)
        self.endpoint_of(rpc).sock.send(b"\r\n" + data)

    def do_breaks(self, rpc: str) -> None:
        """Let the endpoint reset the connection."""
        self.endpoint_of(rpc).reset()

    def do_connection_ended(self, rpc: str) -> None:
        """Check that the gateway closed the connection of the first attempt of the RPC."""
        peer = self.received[rpc][0][0]
        self.until(f"the end of the connection of {rpc}", lambda: peer.ended)

    def do_outcome(self, rpc: str, *expected: str) -> None:
        """Check the outcomes of the RPC's attempts that were reported to the controller."""
        self.until(
            f"the outcome of {rpc}",
            lambda: len(self.outcomes.get(rpc, [])) >= max(len(expected), 1),
        )
        assert self.outcomes[rpc] == list(expected), self.outcomes[rpc]


def bulk(data: bytes) -> bytes:
    """Return a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(data), data)


def without_deadline(part: bytes) -> bytes:
    """Return a part of a command without its deadline field."""
    return re.sub(rb"(^|,)d=\d+", b"", part)
