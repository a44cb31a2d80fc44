"""How the processes of one gateway divide the limits of memory and of descriptors.

In a hot restart two processes serve one gateway, and more of them if one is replaced again before
its predecessor has ended. The limits hold for all of them together. A process may hold what it
holds already and an equal part of what no process holds. So what one gives up is there for the
others as soon as it is measured, and two that grow at the same time stay within the limit.
"""

from typing import NamedTuple

RESERVED_DESCRIPTOR_DIVISOR = 6
"""A process leaves 1/6 of all descriptors to a successor, and may hold as many beside any peers."""


class PeerUsage(NamedTuple):
    """What the other running processes of the gateway hold together, as measured.

    Attributes:
        processes: Their number.
        resident: Their resident memory, in bytes.
        descriptors: Their open descriptors.
    """

    processes: int = 0
    resident: int = 0
    descriptors: int = 0


NO_PEERS = PeerUsage()


class OwnMemory(NamedTuple):
    """The resident memory of this process, in bytes.

    Attributes:
        resident: What is resident now.
        baseline: What it needed before it served clients.
    """

    resident: int
    baseline: int


def resident_limit(usable: int, own: OwnMemory, peers: PeerUsage, *, is_replaceable: bool) -> int:
    """Return how much resident memory this process may have, in bytes.

    Args:
        usable: The resident memory that all processes together may have, in bytes.
        own: The memory of this process.
        peers: What the other processes hold.
        is_replaceable: Whether a successor may start at any time. It needs its baseline before
            others know of it, so that is kept free.
    """
    reserve = own.baseline if is_replaceable else 0
    available = usable - max(peers.resident, reserve * max(1, peers.processes))
    unused = max(0, available - own.resident)
    return min(available, own.resident + unused // (1 + peers.processes))


def available_descriptors(limit: int, peers: PeerUsage, *, is_replaceable: bool) -> int:
    """Return how many descriptors this process may hold.

    Args:
        limit: The descriptors that all processes together may hold.
        peers: What the other processes hold.
        is_replaceable: Whether a successor may start at any time.
    """
    if not is_replaceable:
        return limit
    reserved = limit // RESERVED_DESCRIPTOR_DIVISOR
    return max(reserved, limit - max(reserved, peers.descriptors))


class ObjectCost(NamedTuple):
    """The most memory that one object holds, in bytes.

    Attributes:
        resident: In the process.
        kernel: In the kernel's queues, which the resident memory of the process does not show.
    """

    resident: int
    kernel: int


def object_capacity(free: int, measured: int, cost: ObjectCost) -> int:
    """Return how many objects of a kind there may be, by what those that there are hold.

    Args:
        free: The bytes that may become resident.
        measured: The number of objects when resident memory was measured.
        cost: The most that an object holds. Those that were measured count with what they hold in
            the process, and others at this cost.
    """
    free_beside_kernel = free - measured * cost.kernel
    return measured + max(0, free_beside_kernel) // sum(cost)
