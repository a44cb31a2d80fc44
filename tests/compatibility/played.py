"""Both ends of a hand-over, played against a real process with recorded packets."""

import json
import socket
import time
from typing import Any

from tests.compatibility.neighbours import Neighbours, Process, answer, rpc

TIMES = ("ends", "dry_until", "single_at", "since", "filled", "pool_at")
NAME = "petrellane-%s.sock"


def moved(packet: str, seconds: float) -> bytes:
    """A packet with the times of its leases moved; those that are 0 stand for none."""
    text, _, data = packet.partition("\n")
    message = json.loads(text)
    for row in message.get("leases", ()):
        lease = row["lease"]
        lease.update({key: lease[key] + seconds for key in TIMES if lease[key]})
        lease["demand"] = [[at + seconds, units] for at, units in lease["demand"]]
    return json.dumps(message, separators=(",", ":")).encode() + b"\n" + data.encode("latin-1")


def served(sock: socket.socket, number: int) -> str:
    """How so many RPCs of the customer are answered: s for served, b for rejected."""
    said = ""
    for index in range(number):
        sock.sendall(rpc(b"rpc%d" % index))
        said += {b"$": "s", b"-": "b"}.get(answer(sock)[:1], "?")
    return said


def hand_over(
    world: Neighbours, process: Process, listener: socket.socket, packets: list[bytes]
) -> tuple[list[str], socket.socket]:
    """Be the process before a new one.

    Gives it leases, a connection with half a command, and one that is kept.

    Returns:
        What the process and the clients received, and the client of the first connection.
    """
    said = []
    link, _ = listener.accept()
    link.settimeout(20.0)
    world.stack.callback(link.close)
    clients, sides = [], []
    for _ in range(2):
        clients.append(world.client())
        sides.append(world.listener.accept()[0])
    said.append(link.recv(1 << 18).decode())
    for packet in packets:
        link.send(packet)
    process.wait_for(200, "serving")
    half = rpc(b"half")
    socket.send_fds(link, [b'{"client":1,"asked":true}\n' + half[:15]], [sides[0].fileno()])
    said.append(link.recv(1 << 18).decode())
    link.send(b'{"yours":1}\n')
    socket.send_fds(link, [b'{"client":2,"asked":false}\n'], [sides[1].fileno()])
    said.append(link.recv(1 << 18).decode())
    link.send(b'{"kept":2}\n')
    sides[0].close()
    clients[0].sendall(half[15:])
    said.append(answer(clients[0]).decode())
    said.append(served(clients[0], 8))
    sides[1].sendall(b"still ours")
    said.append(clients[1].recv(64).decode())
    return said, clients[0]


def take_over(
    world: Neighbours, process: Process, link: socket.socket, client: socket.socket
) -> Any:
    """Be the process after one: take all packets, then the client's connection."""
    link.send(b'{"ask":1}\n')
    packets: list[str] = []
    while not packets or "given" not in json.loads(packets[-1]):
        packets.append(link.recv(1 << 18).decode("latin-1"))
    at = time.time()
    process.wait_for(503, "followed")
    data, fds, _, _ = socket.recv_fds(link, 1 << 18, 1)
    text, _, read = data.partition(b"\n")
    ours = socket.socket(fileno=fds[0])
    world.stack.callback(ours.close)
    link.send(b'{"got":%d}\n' % json.loads(text)["client"])
    yours = link.recv(1 << 18).decode()
    client.sendall(b"PING\r\n")
    ours.settimeout(20.0)
    passed = [text.decode(), read.decode(), yours, ours.recv(64).decode()]
    return {"packets": packets, "at": at, "passed": passed}
