"""Both ends of a hot restart, played against a real process with recorded packets."""

import json
import socket
import time
from typing import NamedTuple

from tests.compatibility.files import Json
from tests.compatibility.peers import (
    PATIENCE_S,
    GatewayPeers,
    GatewayProcess,
    encode_rpc,
    read_answer,
)

PACKET_SIZE = 1 << 18
LEASE_TIMES = ("ends", "dry_until", "single_at", "since", "filled", "pool_at")
SPLIT_AT = 15  # bytes of a command that the process before has read
RPCS_AFTER_HANDOFF = 8

SERVED = "s"
REJECTED = "b"
OTHERWISE = "?"
OUTCOMES = {b"$": SERVED, b"-": REJECTED}


class PredecessorPlay(NamedTuple):
    """What came of a play of the process before.

    Attributes:
        received: What the process and the clients sent, in order.
        client: The client of the connection that the process took over.
    """

    received: list[str]
    client: socket.socket


def shift_lease_times(packet: str, seconds: float) -> bytes:
    """Return a packet with the times of its leases moved; those that are 0 stand for none."""
    text, _, data = packet.partition("\n")
    message = json.loads(text)
    for row in message.get("leases", ()):
        lease = row["lease"]
        lease.update({key: lease[key] + seconds for key in LEASE_TIMES if lease[key]})
        lease["demand"] = [[at + seconds, units] for at, units in lease["demand"]]
    return json.dumps(message, separators=(",", ":")).encode() + b"\n" + data.encode("latin-1")


def send_rpcs(client: socket.socket, count: int) -> str:
    """Send RPCs of the customer one after the other; return a letter for each one's outcome."""
    outcomes = ""
    for index in range(count):
        client.sendall(encode_rpc(b"rpc%d" % index))
        outcomes += OUTCOMES.get(read_answer(client)[:1], OTHERWISE)
    return outcomes


def receive_text(sock: socket.socket) -> str:
    """Return the next packet, without its descriptors."""
    return sock.recv(PACKET_SIZE).decode()


def play_predecessor(
    peers: GatewayPeers,
    process: GatewayProcess,
    listener: socket.socket,
    packets: list[bytes],
) -> PredecessorPlay:
    """Be the process before a new one.

    Gives it leases, a connection with half a command, and one that is released back.
    """
    link, _ = listener.accept()
    link.settimeout(PATIENCE_S)
    peers.resources.callback(link.close)
    handed_client, handed = peers.connect_client(), peers.listener.accept()[0]
    kept_client, kept = peers.connect_client(), peers.listener.accept()[0]
    received = [receive_text(link)]
    for packet in packets:
        link.send(packet)
    process.wait_for(200, "serving")
    command = encode_rpc(b"half")
    offer = b'{"client":1,"asked":true}\n' + command[:SPLIT_AT]
    socket.send_fds(link, [offer], [handed.fileno()])
    received.append(receive_text(link))
    link.send(b'{"yours":1}\n')
    socket.send_fds(link, [b'{"client":2,"asked":false}\n'], [kept.fileno()])
    received.append(receive_text(link))
    link.send(b'{"kept":2}\n')
    handed.close()
    handed_client.sendall(command[SPLIT_AT:])
    received.append(read_answer(handed_client).decode())
    received.append(send_rpcs(handed_client, RPCS_AFTER_HANDOFF))
    kept.sendall(b"still ours")
    received.append(kept_client.recv(64).decode())
    return PredecessorPlay(received, handed_client)


def play_successor(
    peers: GatewayPeers, process: GatewayProcess, link: socket.socket, client: socket.socket
) -> Json:
    """Be the process after one: take all packets, then the client's connection.

    Returns:
        The packets, the time of the last one, and what was said about the connection; the keys are
        those of the recording.
    """
    link.send(b'{"ask":1}\n')
    packets: list[str] = []
    while not packets or "given" not in json.loads(packets[-1]):
        packets.append(link.recv(PACKET_SIZE).decode("latin-1"))
    received_at = time.time()
    process.wait_for(503, "followed")
    data, descriptors, _, _ = socket.recv_fds(link, PACKET_SIZE, 1)
    text, _, unread = data.partition(b"\n")
    connection = socket.socket(fileno=descriptors[0])
    peers.resources.callback(connection.close)
    link.send(b'{"got":%d}\n' % json.loads(text)["client"])
    release = receive_text(link)
    client.sendall(b"PING\r\n")
    connection.settimeout(PATIENCE_S)
    passed = [text.decode(), unread.decode(), release, connection.recv(64).decode()]
    return {"packets": packets, "at": received_at, "passed": passed}
