"""Many long values at once through one process with little memory."""

import os
import socket
import time
import unittest

from tests.integration.operation.world import PATIENCE, World, answer, commands

SIZE, MANY = 4 * 1024 * 1024, 32


class Longs(unittest.TestCase):
    def test_clients_that_stop_reading(self):
        """Thirty-two values of 4 MiB to clients that read nothing for a while, 64 MB of memory, and fast clients beside
        them: all get what the host gave, and memory stays within the limit."""
        world = World("limits.memory_mb=64")
        self.addCleanup(world.close)

        def host(sock):
            for parts in commands(sock):
                size = SIZE if parts[2].startswith(b"long") else 5
                sock.sendall(b"*3\r\n$%d\r\n" % size + b"x" * size + b"\r\n$-1\r\n$-1\r\n")

        world.rows[0]["address"] = world.serve(host)
        world.write(world.told)
        process = world.start()
        world.ready(process)
        clients = []
        for number in range(MANY):
            sock = socket.socket()
            self.addCleanup(sock.close)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            sock.settimeout(PATIENCE)
            sock.connect(world.address)
            for again in range(50):  # one host alone pushes some back at first
                world.send(sock, b"long%d.%d" % (number, again), who=number + 2)
                if sock.recv(1, socket.MSG_PEEK) == b"$":
                    break
                answer(sock)
                time.sleep(0.05)
            clients.append(sock)
        took, answers, most = [], [], 0
        for number in range(20):
            began, fast = time.monotonic(), world.client()
            world.send(fast, b"fast%d" % number)
            answers.append(answer(fast)[:1])
            took.append(time.monotonic() - began)
            time.sleep(0.05)
            with open(f"/proc/{process.pid}/status") as status:
                most = max(
                    most, next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))
                )
        self.assertLess(max(took), 1.0)
        self.assertGreater(answers.count(b"$"), 10)
        self.assertLess(most / 1024, 64)
        self.assertLess(len(os.listdir(f"/proc/{process.pid}/fd")), 256)
        head = b"$%d\r\n" % SIZE
        for sock in clients:
            got, first = 0, b""
            while got < len(head) + SIZE + 2:
                data = sock.recv(1 << 20)
                self.assertTrue(data, got)
                first, got = first or data, got + len(data)
            self.assertTrue(first.startswith(head))
