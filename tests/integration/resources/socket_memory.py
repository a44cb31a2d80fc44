"""The memory that the kernel holds for TCP sockets, as its socket diagnosis interface tells it.

The interface is netlink's NETLINK_SOCK_DIAG with the extension INET_DIAG_SKMEMINFO; see
sock_diag(7). `ss -m` shows the same numbers.
"""

import socket
import struct
from collections.abc import Callable, Iterator

from tests.loopback import Address

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 0x1
NLM_F_DUMP = 0x300
NLMSG_DONE = 3
INET_DIAG_SKMEMINFO = 7
ALL_STATES_BUT_LISTENING = 0xFFF & ~(1 << 10)
RECEIVE_SIZE = 1 << 17

MESSAGE_HEADER = struct.Struct("=IHHII")  # length, type, flags, sequence number, port
REQUEST = struct.Struct("=BBBxI48x")  # family, protocol, extensions, states, any address
ADDRESSES = struct.Struct("!HH4s12x4s12x")  # the two ports, then the two IPv4 addresses
ADDRESSES_OFFSET = 4  # within a reply
REPLY_SIZE = 72  # before its attributes
ATTRIBUTE_HEADER = struct.Struct("=HH")  # length, type
# Bytes: received, receive limit, sent, send limit, allocated ahead, queued for sending, options,
# backlog.
SOCKET_MEMORY = struct.Struct("=8I")
ALIGNMENT = 4


def kernel_memory(is_counted: Callable[[Address, Address], bool]) -> int:
    """Return the bytes that the kernel holds for the connections that are counted.

    Args:
        is_counted: Tells by its local and its remote address whether a connection is counted.
    """
    total = 0
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as sock:
        request = REQUEST.pack(
            socket.AF_INET,
            socket.IPPROTO_TCP,
            1 << (INET_DIAG_SKMEMINFO - 1),
            ALL_STATES_BUT_LISTENING,
        )
        size = MESSAGE_HEADER.size + len(request)
        flags = NLM_F_REQUEST | NLM_F_DUMP
        sock.send(MESSAGE_HEADER.pack(size, SOCK_DIAG_BY_FAMILY, flags, 1, 0) + request)
        for message in _replies(sock):
            if is_counted(*_addresses(message)):
                total += _socket_memory(message)
    return total


def _replies(sock: socket.socket) -> Iterator[memoryview]:
    """Yield the content of each reply until the last one."""
    while True:
        data = memoryview(sock.recv(RECEIVE_SIZE))
        while data:
            length, kind, *_ = MESSAGE_HEADER.unpack_from(data)
            if kind == NLMSG_DONE:
                return
            if kind != SOCK_DIAG_BY_FAMILY:
                raise OSError(f"unexpected netlink message of type {kind}")
            yield data[MESSAGE_HEADER.size : length]
            data = data[_aligned(length) :]


def _addresses(message: memoryview) -> tuple[Address, Address]:
    """Return the local and the remote address of one socket."""
    fields = ADDRESSES.unpack_from(message, ADDRESSES_OFFSET)
    local_port, remote_port, local_ip, remote_ip = fields
    return (socket.inet_ntoa(local_ip), local_port), (socket.inet_ntoa(remote_ip), remote_port)


def _socket_memory(message: memoryview) -> int:
    """Return the bytes of one socket: receive queue, send queue, allocated ahead, and backlog."""
    attributes = message[REPLY_SIZE:]
    while attributes:
        length, kind = ATTRIBUTE_HEADER.unpack_from(attributes)
        if kind == INET_DIAG_SKMEMINFO:
            numbers = SOCKET_MEMORY.unpack_from(attributes, ATTRIBUTE_HEADER.size)
            received, _, _, _, allocated_ahead, queued, _, backlog = numbers
            return int(received + allocated_ahead + queued + backlog)
        attributes = attributes[_aligned(length) :]
    return 0


def _aligned(size: int) -> int:
    return (size + ALIGNMENT - 1) // ALIGNMENT * ALIGNMENT
