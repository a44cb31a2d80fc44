"""What a run takes of the machine: memory, processes and descriptors.

The estimate is on the high side, from what was measured of each part. A run that would take more
than its fraction of the machine is refused before anything is started.
"""

import os
import resource

from petrellane.testbed.scale.config import ScaleConfig, ScaleError, gateways_by_process

MEMORY_FRACTION = 0.5  # of the machine's memory that a run may take
MAX_PROCESSES = 300
SERVICE_PROCESSES = 4  # discovery, the counter, the control process and the testbed itself
BYTES_PER_MIB = 2**20

RESERVED_DESCRIPTORS = 200  # beside those for gateways
DESCRIPTORS_PER_GATEWAY = 8  # that a process which serves all gateways may hold
DESCRIPTORS_PER_HOLLOW = 14  # its watch, its listener, the counter's eight, callers

EMPTY_PROCESS_MB = 30.0
HOLLOW_GATEWAY_MB = 0.1
ROSTER_MEMBER_MB = 0.0004  # of a member of the roster, in each gateway that agrees
POLLED_MEMBER_MB = 0.0001  # of a member in the control process, for each gateway, as each names all
REAL_HOST_MB = 0.004  # of a host in a real gateway, in its module
HOST_ROW_MB = 0.002  # of a host in discovery, and in a process of hollow gateways
LISTED_HOST_MB = 0.00015  # of a host in each hollow gateway that gets a complete list
METHOD_MB = 0.002  # of a method in a gateway that has agreed on settings of its own
ARRIVAL_MB = 0.00005  # of the time at which one gateway had one change of the list


def estimate_memory_mb(config: ScaleConfig) -> float:
    """Return the megabytes of memory that a run takes at most."""
    process_count = len(gateways_by_process(config))
    gateways = config.gateway_count
    roster = (METHOD_MB * config.methods + ROSTER_MEMBER_MB * gateways) * gateways
    agreed = roster + POLLED_MEMBER_MB * gateways**2
    return (
        EMPTY_PROCESS_MB * (process_count + config.real + SERVICE_PROCESSES)
        + HOLLOW_GATEWAY_MB * config.hollow
        + REAL_HOST_MB * config.hosts * config.real
        + HOST_ROW_MB * config.hosts * (process_count + 2)
        + LISTED_HOST_MB * config.hosts * config.hollow * bool(config.restart_at)
        + ARRIVAL_MB * config.list_changes * config.seconds * gateways
        + agreed * config.agreement
    )


def machine_memory_mb() -> float:
    """Return the memory of this machine in megabytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / BYTES_PER_MIB


def check_resources(
    config: ScaleConfig,
    name: str = "run",
    memory_mb: float | None = None,
    descriptors: int | None = None,
) -> None:
    """Check that a run takes no more than its fraction of a machine.

    Args:
        config: The run.
        name: The run's name, for messages.
        memory_mb: The machine's memory; None for that of this one.
        descriptors: The descriptors that one process may hold; None for this process's limit.

    Raises:
        ScaleError: The run would take more.
    """
    if memory_mb is None:
        memory_mb = machine_memory_mb()
    if descriptors is None:
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    process_count = len(gateways_by_process(config)) + config.real + SERVICE_PROCESSES
    if process_count > MAX_PROCESSES:
        raise ScaleError(
            f"{name}: expected at most {MAX_PROCESSES} processes, found {process_count}"
        )
    needed_mb = estimate_memory_mb(config)
    if needed_mb > MEMORY_FRACTION * memory_mb:
        raise ScaleError(
            f"{name}: expected at most {MEMORY_FRACTION * memory_mb:.0f} MB, "
            f"{MEMORY_FRACTION:g} of the memory, found about {needed_mb:.0f}"
        )
    needed_descriptors = _descriptors_needed(config)
    if needed_descriptors > descriptors:
        raise ScaleError(
            f"{name}: expected at most {descriptors} descriptors in a process (RLIMIT_NOFILE), "
            f"found {needed_descriptors}"
        )


def _descriptors_needed(config: ScaleConfig) -> int:
    """Return the descriptors of the process that needs the largest number."""
    hollow = [DESCRIPTORS_PER_HOLLOW * len(numbers) for numbers in gateways_by_process(config)]
    services = DESCRIPTORS_PER_GATEWAY * config.gateway_count
    return RESERVED_DESCRIPTORS + max([services, *hollow])
