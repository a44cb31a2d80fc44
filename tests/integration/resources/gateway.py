"""A gateway process with the limits of a test, and what the kernel says of its memory."""

import resource
import threading
import time
from collections.abc import Iterable, Mapping
from pathlib import Path
from types import TracebackType
from typing import Self

import orjson

from tests.integration.gateway.configuration import endpoint_row
from tests.integration.operation.deployment import (
    WAIT_TIMEOUT_S,
    Deployment,
    GatewayProcess,
)
from tests.integration.resources.endpoints import EndpointServer
from tests.integration.resources.socket_memory import kernel_memory
from tests.loopback import Address, address_text, free_address, parse_address

MIB = 1 << 20
KIB_PER_MIB = 1024
SAMPLE_INTERVAL_S = 0.05
OPEN_FILES = 4096  # descriptors that the test process may need for a crowd
GENEROUS_QUOTA = (
    'settings.contracts=[{"name": "basic", "quotaRate": 100000, "storeSize": 100000, "pays": 1.0}]'
)
ENDPOINTS = 8
FAULTY_PROGRAM = "tests.integration.soak.faulty_calls"


class MemorySampler:
    """Samples the memory of a process in a thread of the test process.

    Attributes:
        peak_mib: The highest sum of the peak of resident memory so far, as the kernel records it,
            and of what the kernel holds for the process's sockets at that time, in MiB.
        peak_kernel_mib: The most that the kernel held for the sockets, in MiB.
    """

    def __init__(self, pid: int, address: Address, endpoints: Iterable[Address]) -> None:
        """Begin to sample.

        Args:
            pid: The process.
            address: The address that it listens on for clients.
            endpoints: The addresses that it connects to.
        """
        self.pid = pid
        self.address = address
        self.endpoints = frozenset(endpoints)
        self.peak_mib = 0.0
        self.peak_kernel_mib = 0.0
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._is_stopped.wait(SAMPLE_INTERVAL_S):
            try:
                self.sample()
            except OSError:
                return

    def sample(self) -> None:
        """Take the process's memory into the peaks."""
        kernel_mib = kernel_memory(self._is_counted) / MIB
        self.peak_kernel_mib = max(self.peak_kernel_mib, kernel_mib)
        self.peak_mib = max(self.peak_mib, self.peak_resident_mib() + kernel_mib)

    def _is_counted(self, local: Address, remote: Address) -> bool:
        return local == self.address or remote in self.endpoints

    def peak_resident_mib(self) -> float:
        """Return the peak of resident memory since the start of the process, in MiB.

        Raises:
            ProcessLookupError: The process has ended.
        """
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / KIB_PER_MIB
        raise ProcessLookupError(f"process {self.pid} has no memory")

    def stop(self) -> None:
        """Stop the samples."""
        self._is_stopped.set()
        self._thread.join()


class LimitedGateway:
    """A gateway process with limits of memory and descriptors, its peers, and its log.

    Attributes:
        deployment: The other peers and the configuration.
        endpoints: The server that plays all endpoints.
        process: The gateway process.
        address: The address for clients.
        memory: The samples of the process's memory.
    """

    def __init__(
        self, memory_mb: int, sockets: int, *changes: str, faults: Mapping[str, str] | None = None
    ) -> None:
        """Start the process and wait until it is ready.

        Args:
            memory_mb: Its limit of memory, in MiB.
            sockets: Its limit of descriptors.
            changes: Changes of the configuration, as KEY.KEY=JSON.
            faults: The variables of `soak.faulty_calls`; None to run the program itself.
        """
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(OPEN_FILES, hard)), hard))
        self.deployment = Deployment(
            f"limits.memory_mb={memory_mb}",
            f"limits.sockets={sockets}",
            GENEROUS_QUOTA,
            *changes,
        )
        self.endpoints = EndpointServer(ENDPOINTS)
        self.deployment.rows[:] = [
            endpoint_row(f"a{index}", address)
            for index, address in enumerate(self.endpoints.addresses)
        ]
        self.deployment.write(self.deployment.config)
        self.address: Address = free_address()
        self.log: list[dict[str, object]] = []
        self.faults = faults
        self.process = self._start(sockets)
        endpoints = map(parse_address, self.endpoints.addresses)
        self.memory = MemorySampler(self.process.pid, self.address, endpoints)

    def _start(self, sockets: int) -> GatewayProcess:
        variables = {"PROXY_LISTEN_FD": "", "PROXY_LISTEN": address_text(self.address)}
        process = (
            self.deployment.start(**variables)
            if self.faults is None
            else self.deployment.start(FAULTY_PROGRAM, **variables, **self.faults)
        )
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        threading.Thread(target=self._read_log, args=(process,), daemon=True).start()
        process.wait_until_ready()
        return process

    def _read_log(self, process: GatewayProcess) -> None:
        assert process.stdout is not None
        for line in process.stdout:
            self.log.append(orjson.loads(line))

    def events(self, name: str) -> list[dict[str, object]]:
        """Return the log lines of an event so far."""
        return [line for line in self.log if line["event"] == name]

    def cpu_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        words = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(words[11]) + int(words[12])) / 100

    def wait_for_event(self, name: str) -> dict[str, object]:
        """Return the first log line of an event, once it is there."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not (lines := self.events(name)):
            assert time.monotonic() < deadline, f"no event {name} in the log"
            time.sleep(SAMPLE_INTERVAL_S)
        return lines[0]

    def assert_running(self) -> None:
        """Check that the process has neither ended nor logged a fault."""
        assert self.process.poll() is None, "the gateway ended by itself"
        assert not self.events("fault"), self.events("fault")

    def close(self) -> None:
        """Stop the process and its peers."""
        self.memory.stop()
        self.deployment.close()
        self.endpoints.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()
