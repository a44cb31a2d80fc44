"""One start of a gateway for `start_up_time.py`, watched stage by stage."""

import os
import time
from collections.abc import Sequence

from petrellane.net import resp
from petrellane.net.stream import Closed, Stream
from petrellane.testbed.fake_server import LIMITS
from petrellane.testbed.fleet_gateway import FleetGateway

PATIENCE_S = 60.0
DIAL_INTERVAL_S = 0.02
RPC_INTERVAL_S = 0.1
ANSWER_PATIENCE_S = 2.5
VALUE_TYPE = 0x24  # "$": an RPC that was answered with a value
PING = "PING"
READY = "/-/ready"
FIRST_ANSWER = "answer"
FIRST_OK = "ok"


class GatewayStart:
    """One start of a gateway, from its begin to its first successful RPC.

    Attributes:
        at: Seconds from its begin to each stage that was seen from outside.
    """

    def __init__(self, gateway: FleetGateway, cores: set[int] | None) -> None:
        """Start the gateway, on these cores alone where there are any."""
        self.gateway = gateway
        self.fleet = gateway.fleet
        self.at: dict[str, float] = {}
        self.began = time.time()
        self.first_event = len(gateway.events)
        gateway.start()
        restrict_cores(gateway, cores)

    def watch(self, began: float) -> None:
        """Look at it from now on; it began then."""
        self.began = began
        gateway = self.gateway
        ready_request = b"GET /-/ready HTTP/1.1\r\n\r\n"
        spawn = self.fleet.scheduler.spawn
        spawn(self._ask, PING, gateway.port, b"*1\r\n$4\r\nPING\r\n", b"+PONG")
        spawn(self._ask, READY, gateway.management_port, ready_request, b"HTTP/1.1 200")
        spawn(self._ask_rpcs)

    @property
    def is_over(self) -> bool:
        """Whether it reached all stages, or patience is over."""
        has_all = all(stage in self.at for stage in (FIRST_OK, PING, READY))
        return has_all or time.time() > self.began + PATIENCE_S

    def stages(self) -> dict[str, float]:
        """Return the seconds to each stage that it came to, and its CPU and waiting seconds."""
        stages = dict(self.at)
        for event in self.gateway.events[self.first_event :]:
            if event["event"] == "stages":
                marks = event["marks"]
                stages |= {name: mark[0] - self.began for name, mark in marks.items()}
                stages["cpu"], stages["waited"] = marks["listening"][1:]
            elif event["event"] == "started":
                stages.setdefault("started", event["at"] - self.began)
        return stages

    def _wait_listening(self) -> None:
        """Wait for its log: asking it would take the cores from those that start."""
        while not self.gateway.ready:
            self.fleet.scheduler.wait(0.01)

    def _dial(self, port: int) -> Stream | None:
        address = (self.fleet.addresses.ip, port)
        try:
            return Stream.dial(self.fleet.scheduler, LIMITS, address, 1.0)
        except OSError:
            self.fleet.scheduler.wait(DIAL_INTERVAL_S)
            return None

    def _ask(self, stage: str, port: int, question: bytes, answer: bytes) -> None:
        """Ask until this is the answer."""
        self._wait_listening()
        while stage not in self.at and time.time() < self.began + PATIENCE_S:
            stream = self._dial(port)
            if stream is None:
                continue
            try:
                stream.write(question)
                stream.fill(1.0)
                if stream.buffer[: len(answer)] == answer:
                    self.at[stage] = time.time() - self.began
            except (Closed, TimeoutError):
                pass
            finally:
                stream.close()

    def _ask_rpcs(self) -> None:
        """Ask RPCs one after another until one is successful."""
        self._wait_listening()
        number = 0
        while FIRST_OK not in self.at and time.time() < self.began + PATIENCE_S:
            stream = self._dial(self.gateway.port)
            if stream is None:
                continue
            try:
                while FIRST_OK not in self.at:
                    number += 1
                    retry_after_s = self._ask_rpc(stream, number)
                    # As clients do: the testbed is not to be overloaded by this.
                    self.fleet.scheduler.wait(max(RPC_INTERVAL_S, retry_after_s))
            except (Closed, resp.Malformed, TimeoutError):
                self.fleet.scheduler.wait(0.05)
            finally:
                stream.close()

    def _ask_rpc(self, stream: Stream, number: int) -> float:
        """Ask one RPC; return the seconds after which the next one may come."""
        gateway_number = self.gateway.number
        name = b"ready-%x-%x-%x" % (gateway_number, int(self.began * 1e3), number)
        stream.write(
            resp.encode_command(
                b"SVC.QUERY",
                b"%016x" % (9000 + gateway_number),
                name,
                b"c=look,t=sold,d=2000,units=1,spread=1,first=0",
            )
        )
        while not (answer := resp.parse_reply(stream.buffer, 0, LIMITS)):
            stream.fill(ANSWER_PATIENCE_S)
        kind, span, end = answer
        self.at.setdefault(FIRST_ANSWER, time.time() - self.began)
        words = bytes(stream.buffer[slice(*span)]).split() if span else []
        if kind == VALUE_TYPE:
            self.at[FIRST_OK] = time.time() - self.began
        stream.buffer.consume(end)
        is_busy = words[:1] == [b"BUSY"] and len(words) > 1
        return int(words[1]) / 1e3 if is_busy else 0.0


def restrict_cores(gateway: FleetGateway, cores: set[int] | None) -> None:
    """Let a gateway's process run on these cores alone, where there are any."""
    if cores and gateway.process is not None:
        os.sched_setaffinity(gateway.process.popen.pid, cores)


def percentiles(values: Sequence[float]) -> list[float | None]:
    """Return the median, the 90th percentile and the maximum; None where there are no values."""
    ordered = sorted(values)
    if not ordered:
        return [None, None, None]
    return [
        round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 2)
        for share in (0.5, 0.9, 1.0)
    ]
