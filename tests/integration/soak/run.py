"""One seeded run: sound clients beside faults, signals in series, and a kill at the earliest time.

    python -m tests.integration.soak.run FIRST LAST

plays the seeds from FIRST to LAST and prints the findings of each.
"""

import random
import signal
import socket
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from petrellane.net import resp
from tests.integration.operation.deployment import read_answer
from tests.integration.resources import commands
from tests.integration.resources.crowd import Crowd, Pace
from tests.integration.resources.gateway import LimitedGateway

LIMITS = [(32, 256), (32, 1024), (64, 384), (64, 1024), (192, 1024)]
METHODS = [(b"look", b"SVC.QUERY"), (b"post", b"SVC.SUBMIT"), (b"lodge", b"SVC.SUBMIT")]
NON_IDEMPOTENT = b"post"
CLIENTS = 4
SERVED_S = 6.0  # before SIGTERM
KILL_S = 3.7  # from SIGTERM to SIGKILL, at the earliest
UNANSWERED_SLACK_S = 0.7  # after SIGTERM, in which requests need no answer before the kill
ANSWER_SLACK_S = 0.5
CLOSE_SLACK_S = 0.1
MAX_CROWD = 400
NEW_WAVE_SHARE = 0.5  # of the times at which a crowd may leave and come again
FAULT_SHARES = [0.0, 0.01, 0.05]
CLOCK_STEPS_S = [0.0, 3600.0, -3600.0, 5.0, -5.0]
LEAVING_SHARE = 0.05  # of RPCs whose client closes early
DIAL_TIMEOUT_S = 0.5
GATEWAY_COUNTS = [1, 2]  # of a customer, as its client states it
UNCHANGED_PLAN_SHARE = 0.3  # of SIGHUPs
QUOTAS = [
    {"quotaRate": rate, "storeSize": size}
    for rate, size in ((0, 0), (0, 0), (4, 4), (100_000, 100_000), (20, 0))
]
HARD_LIMITS = [
    {"ceilingRate": rate, "ceilingBurst": burst, "ceilingSlack": slack}
    for rate, burst, slack in ((0, 0, 0), (4, 8, 2), (45, 117, 12), (0, 8, 2))
]


@dataclass
class Findings:
    """What a run found; all lists are empty where no rule was broken."""

    unanswered: list[str] = field(default_factory=list)
    begun_after_close: list[str] = field(default_factory=list)
    repeated: list[str] = field(default_factory=list)
    process: list[str] = field(default_factory=list)
    calls: int = 0

    def problems(self) -> list[str]:
        """Return all problems."""
        return self.unanswered + self.begun_after_close + self.repeated + self.process


class SoakClient:
    """A client that uses its connection until it ends, and then dials again while it may."""

    def __init__(self, run: "SoakRun", number: int) -> None:
        self.run = run
        self.number = number
        self.random = random.Random(f"{run.seed} {number}")
        self.gateway_count = random.Random(f"{run.seed} {number} gateways").choice(GATEWAY_COUNTS)
        self.sock: socket.socket | None = None
        self.calls = 0

    def play(self) -> None:
        """Send RPCs one after the other until the run ends."""
        while not self.run.is_over.is_set():
            if self.sock is None and not self._dial():
                time.sleep(0.05)
                continue
            self._call()
            time.sleep(self.random.uniform(0, 0.1))

    def _dial(self) -> bool:
        if self.run.terminated_at is not None:
            return False
        try:
            self.sock = socket.create_connection(self.run.gateway.address, DIAL_TIMEOUT_S)
        except OSError:
            return False
        return True

    def _call(self) -> None:
        assert self.sock is not None
        method, verb = self.random.choice(METHODS)
        timeout_s = self.random.choice([0.3, 1.0, 2.0])
        rpc = b"s%d.%d" % (self.number, self.calls)
        self.calls += 1
        self.run.methods[rpc] = method
        key = b",k=%b" % rpc if method == b"lodge" else b""
        fields = b"c=%b,t=basic,d=%d,units=1,spread=%d,first=0%b" % (
            method,
            timeout_s * 1e3,
            self.gateway_count,
            key,
        )
        body = [b"x" * self.random.choice([10, 3000, 60_000])] if verb == b"SVC.SUBMIT" else []
        command = resp.encode_command(verb, b"%016x" % (self.number + 1), rpc, fields, *body)
        is_leaving = self.random.random() < LEAVING_SHARE
        try:
            self.sock.settimeout(timeout_s + ANSWER_SLACK_S)
            self.sock.sendall(command)
            sent_at = time.monotonic()
            if is_leaving:
                self._leave(rpc)
                return
            answer = read_answer(self.sock)
        except TimeoutError:
            self.run.on_unanswered(rpc, sent_at, "no answer in time")
            answer = b""
        except OSError:
            answer = b""
        if not answer:
            self.run.on_closed(rpc, time.monotonic())
            self.sock.close()
            self.sock = None

    def _leave(self, rpc: bytes) -> None:
        assert self.sock is not None
        time.sleep(self.random.uniform(0, 0.05))
        self.sock.close()
        self.sock = None
        self.run.left[rpc] = time.monotonic()


class SoakRun:
    """One run.

    Attributes:
        seed: The seed of all that is drawn.
        gateway: The process under test and its peers.
        terminated_at: The monotonic time of SIGTERM; None before it.
        is_over: Whether the process has been killed.
        left: When clients left, by the id of their RPC.
        closed: The RPCs whose connection ended without an answer.
        methods: The method of each RPC, by its id.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.plan_random = random.Random(f"{seed} plans")
        self.memory_mb, sockets = self.random.choice(LIMITS)
        faults = {
            "FAULTY_CALLS_SEED": str(seed),
            "FAULTY_CALLS_SHARE": str(self.random.choice(FAULT_SHARES)),
            "CLOCK_STEP_S": str(self.random.choice(CLOCK_STEPS_S)),
            "CLOCK_STEP_AT_S": str(self.random.uniform(1.0, 4.0)),
        }
        self.description = f"{self.memory_mb} MB, {sockets} descriptors, {faults}"
        self.gateway = LimitedGateway(self.memory_mb, sockets, faults=faults)
        self.terminated_at: float | None = None
        self.is_over = threading.Event()
        self.left: dict[bytes, float] = {}
        self.closed: list[bytes] = []
        self.methods: dict[bytes, bytes] = {}
        self.findings = Findings()

    def on_unanswered(self, rpc: bytes, sent_at: float, text: str) -> None:
        """Record an RPC without an answer, unless the kill comes too soon after it."""
        killed_at = (self.terminated_at or sent_at) + KILL_S
        is_owed = self.terminated_at is None or time.monotonic() < killed_at
        is_late = self.terminated_at is not None and sent_at > (
            self.terminated_at + UNANSWERED_SLACK_S
        )
        if is_owed or is_late:
            self.findings.unanswered.append(f"{rpc.decode()}: {text}")

    def on_closed(self, rpc: bytes, at: float) -> None:
        """Record a connection that ended with no answer to an RPC."""
        if self.terminated_at is None or at < self.terminated_at + KILL_S:
            self.closed.append(rpc)

    def play(self) -> Findings:
        """Play the run and return what it found."""
        clients = [SoakClient(self, number) for number in range(CLIENTS)]
        threads = [threading.Thread(target=client.play, daemon=True) for client in clients]
        crowd = self._crowd()
        with self.gateway:
            for thread in threads:
                thread.start()
            time.sleep(0.3)
            self._play_signals(crowd)
            for thread in threads:
                thread.join()
            self._judge()
        self.findings.calls = sum(client.calls for client in clients)
        return self.findings

    def _crowd(self) -> Crowd:
        count = self.random.choice([0, 0, 100, MAX_CROWD])
        messages = self.random.choice(
            [
                [commands.IDLE] * count,
                [commands.stopped_body(n, 60_000, 500) for n in range(count)],
                [commands.stopped_body(n, 1_000_000, 500) for n in range(count)],
                [commands.many_fields(n, 30_000) for n in range(count)],
                [commands.many_parts(16, 60_000)] * count,
                [commands.stopped_body(n, 5_000 + 300 * n, 500) for n in range(count)],
                [commands.PING * 20_000] * (count // 4),
            ]
        )
        pace = self.random.choice([Pace(), Pace(write_size=3000, interval_s=0.1)])
        return Crowd(self.gateway.address, messages, pace)

    def _play_signals(self, crowd: Crowd) -> None:
        """Send SIGHUP at random times, then SIGTERM, more signals, and the kill.

        The crowd leaves and comes again now and then, until SIGTERM.
        """
        process = self.gateway.process
        deadline = time.monotonic() + SERVED_S
        while (now := time.monotonic()) < deadline:
            crowd.run(min(deadline - now, self.random.uniform(0.2, 1.0)))
            if self.random.random() < NEW_WAVE_SHARE:
                crowd.close()
                crowd = crowd.copy()
            if self.random.random() < 0.5:
                self._change_plan()
                process.send_signal(signal.SIGHUP)
        self._check_process()
        self.gateway.memory.sample()
        process.send_signal(signal.SIGTERM)
        self.terminated_at = time.monotonic()
        for number in (signal.SIGHUP, signal.SIGTERM):
            crowd.run(self.random.uniform(0.0, 0.5))
            if self.random.random() < 0.5 and process.poll() is None:
                process.send_signal(number)
        crowd.run(max(0.0, self.terminated_at + KILL_S - time.monotonic()))
        if process.poll() is None:
            process.kill()
        elif process.returncode:
            self.findings.process.append(f"exit code {process.returncode}")
        self.is_over.set()
        crowd.close()

    def _change_plan(self) -> None:
        """Give the plan in the configuration file other limits, or keep it as it is."""
        if self.plan_random.random() < UNCHANGED_PLAN_SHARE:
            return
        quota = self.plan_random.choice(QUOTAS)
        hard_limit = self.plan_random.choice(HARD_LIMITS)
        deployment = self.gateway.deployment
        row = {"name": "basic", "pays": 1.0} | quota | hard_limit
        deployment.config["settings"]["contracts"] = [row]
        deployment.write(deployment.config)

    def _check_process(self) -> None:
        if self.gateway.process.poll() is not None:
            self.findings.process.append("ended by itself")
        self.findings.process += [str(line) for line in self.gateway.events("fault")]

    def _judge(self) -> None:
        if self.gateway.memory.peak_mib > self.memory_mb:
            self.findings.process.append(f"peak of {self.gateway.memory.peak_mib:.1f} MiB")
        begun = self.gateway.endpoints.begun
        counts = Counter(attempt.rpc for attempt in begun)
        self.findings.unanswered += [
            f"{rpc.decode()}: begun, and its connection closed"
            for rpc in self.closed
            if counts[rpc]
        ]
        self.findings.repeated += [
            f"{rpc.decode()}: begun {count} times"
            for rpc, count in counts.items()
            if count > 1 and self.methods.get(rpc) == NON_IDEMPOTENT
        ]
        for attempt in begun:
            closed_at = self.left.get(attempt.rpc)
            if closed_at is not None and attempt.at > closed_at + CLOSE_SLACK_S:
                late_s = attempt.at - closed_at
                self.findings.begun_after_close.append(f"{attempt.rpc.decode()}: {late_s:.2f} s")


def main(first: int, last: int) -> int:
    """Play seeds, print what each found, and return how many found anything."""
    bad = 0
    for seed in range(first, last + 1):
        run = SoakRun(seed)
        findings = run.play()
        problems = findings.problems()
        bad += bool(problems)
        result = problems or "clean"
        print(f"seed {seed}: {findings.calls} calls, {run.description}: {result}", flush=True)
    return bad


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]))))
