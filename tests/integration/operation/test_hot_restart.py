"""One process of a gateway follows another: whole processes, and a listening socket that the test holds."""

import contextlib
import copy
import os
import signal
import socket
import threading
import time
import unittest

import orjson

from tests.integration.operation.world import BIG, PATIENCE, World, answer


class Upgrades(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.addCleanup(self.world.close)
        self.old = self.world.start()
        self.world.ready(self.old)

    def ask(self, client, rpc, wanted=None, **more):
        self.world.send(client, rpc, **more)
        wanted = wanted or b"$" + rpc
        self.assertEqual(answer(client)[: len(wanted)], wanted)

    def test_connections_go_over_with_what_is_owed_on_them(self):
        """Nothing is lost, no connection ends, and what the old process has taken it answers."""
        world, busy, idle = self.world, self.world.client(), [self.world.client() for _ in range(5)]
        for client in idle:
            self.ask(client, b"before")
        world.gates["held"] = threading.Event()
        world.send(busy, b"held", b"post")
        half = world.client()
        half.sendall(b"*4\r\n$9\r\nSVC.QU")
        time.sleep(0.1)
        new = world.start()
        self.assertLess(world.ready(new), 5.0)
        self.assertEqual(
            (world.call(self.old, "GET", "/-/ready"), world.call(self.old, "POST", "/-/resume")),
            (503, 409),
        )
        self.ask(world.client(), b"new")
        for client in idle:
            self.ask(client, b"after")
        half.sendall(
            b"ERY\r\n$16\r\n%016x\r\n$4\r\nhalf\r\n$26\r\nc=look,t=basic,d=900,r=1,x\r\n" % 1
        )
        self.assertEqual(answer(half), b"$half")
        self.old.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        self.assertIsNone(self.old.poll())  # it owes an answer
        world.gates["held"].set()
        self.assertEqual(answer(busy), b"$held")
        self.assertEqual(self.old.wait(PATIENCE), 0)
        for client in [busy, *idle]:
            self.ask(client, b"last")
        self.assertEqual(world.ran.count("held"), 1)

    def test_a_long_value_half_out(self):
        """Its connection stays with the old process until it is whole, and goes over after that."""
        world, client = self.world, self.world.client()
        world.gates["big"] = threading.Event()
        world.send(client, b"big", left=900)
        got = bytearray(client.recv(1 << 16))
        new = world.start()
        world.ready(new)
        self.old.send_signal(signal.SIGTERM)
        time.sleep(1.0)  # past the RPC's deadline: what has begun to come is not cut off
        self.assertIsNone(self.old.poll())
        world.gates["big"].set()
        head = b"$%d\r\n" % BIG
        while len(got) < len(head) + BIG + 2:
            self.assertTrue(data := client.recv(1 << 20))
            got += data
        self.assertTrue(got.startswith(head) and got.endswith(b"x\r\n"))
        self.ask(client, b"after")
        self.assertEqual(self.old.wait(PATIENCE), 0)

    def test_the_file_is_replaced_twice_within_a_moment(self):
        """The last one is in force, whatever the signals fall together to."""
        for _ in range(3):
            for name in ("first", "second"):
                told = copy.deepcopy(self.world.told)
                told["settings"]["classes"][0]["name"] = name
                self.world.write(told)
                self.old.send_signal(signal.SIGHUP)
            time.sleep(0.3)
            client = self.world.client()
            self.ask(
                client, b"one", method=b"first", verb=b"SVC.QUERY", wanted=b"-ERR c: no such method"
            )
            self.ask(client, b"two", method=b"second", verb=b"SVC.QUERY")
            told["settings"]["classes"][0]["name"] = "look"
            self.world.write(told)
            self.old.send_signal(signal.SIGHUP)
            time.sleep(0.2)

    def test_the_old_process_dies_in_the_midst(self):
        """Wherever that is, and whatever file it leaves: the new one takes clients, and nothing is held twice."""
        old = self.old
        for late in (0.0, 0.1, 0.2, 0.3):
            clients = [self.world.client() for _ in range(5)]
            for client in clients:
                self.ask(client, b"before")
            new = self.world.start()
            time.sleep(late)
            old.kill()
            old.wait()
            self.assertLess(self.world.ready(new), 5.0)
            self.ask(self.world.client(), b"after")
            for client in clients:  # it went over, or its end is seen at once
                with contextlib.suppress(OSError):
                    self.world.send(client, b"rest")
                    self.assertIn(answer(client), (b"$rest", b""))
            old = new

    def test_a_keyed_rpc_out_at_the_old_process(self):
        """Its client tries again at the new one, by the same key: each gets its answer, from its process."""
        world, first = self.world, self.world.client()
        world.gates["held"] = threading.Event()
        world.send(first, b"held", b"lodge", more=b",k=77")
        time.sleep(0.1)
        new = world.start()
        world.ready(new)
        self.ask(world.client(), b"again", method=b"lodge", more=b",k=77,r=1")
        world.gates["held"].set()
        self.assertEqual(answer(first), b"$held")
        self.assertEqual(world.ran.count("held") + world.ran.count("again"), 2)

    def test_a_host_that_drains_is_told_to_the_new_process_alone(self):
        """The new one sends it nothing; what the old one has there ends as it was."""
        world, client = self.world, self.world.client()
        world.gates["held"] = threading.Event()
        world.send(client, b"held", b"post")
        time.sleep(0.1)
        world.rows[0]["status"] = "terminating"
        new = world.start()
        world.ready(new)
        self.ask(world.client(), b"new", wanted=b"-BUSY")
        world.gates["held"].set()
        self.assertEqual(answer(client), b"$held")
        self.ask(client, b"next", wanted=b"-BUSY")  # on a connection that has gone over
        self.assertEqual(world.ran, ["held"])

    def test_twice_in_a_row(self):
        client, processes = self.world.client(), [self.old]
        for number in range(3):
            self.ask(client, b"rpc%d" % number)
            processes.append(self.world.start())
            self.world.ready(processes[-1])
            processes[-2].send_signal(signal.SIGTERM)
            self.assertEqual(processes[-2].wait(PATIENCE), 0)
        self.ask(client, b"end")

    def test_the_new_process_is_killed_after_its_yes(self):
        """What it had is lost with it; the old one takes clients again, and a third follows it."""
        new = self.world.start()
        self.world.ready(new)
        new.kill()
        new.wait()
        self.ask(self.world.client(), b"again")
        self.assertEqual(self.world.call(self.old, "GET", "/-/ready"), 200)
        third = self.world.start()
        self.world.ready(third)
        self.old.send_signal(signal.SIGTERM)
        self.assertEqual(self.old.wait(PATIENCE), 0)
        self.ask(self.world.client(), b"third")

    def test_the_old_process_stands_still(self):
        """The new one does not wait for it without end; once it runs again, both serve and nothing is lost."""
        client = self.world.client()
        self.ask(client, b"one")
        self.ask(client, b"more")  # one that comes back is not let go of meanwhile
        self.old.send_signal(signal.SIGSTOP)
        new = self.world.start()
        self.assertLess(self.world.ready(new), 5.0)
        self.ask(self.world.client(), b"two")
        self.old.send_signal(signal.SIGCONT)
        time.sleep(0.5)  # what comes while it wakes may be pushed back, as its patience may be over
        self.ask(client, b"three")
        self.old.send_signal(signal.SIGTERM)
        self.assertEqual(self.old.wait(PATIENCE), 0)

    def test_the_old_process_stands_still_for_a_second(self):
        """It gives all the same, and its connections go over."""
        client = self.world.client()
        self.ask(client, b"one")
        self.old.send_signal(signal.SIGSTOP)
        new = self.world.start()
        time.sleep(1.3)
        self.old.send_signal(signal.SIGCONT)
        self.world.ready(new)
        self.assertEqual(self.world.call(self.old, "GET", "/-/ready"), 503)  # it is followed
        self.old.send_signal(signal.SIGTERM)
        self.assertEqual(self.old.wait(PATIENCE), 0)
        self.ask(client, b"two")

    def test_one_of_another_version_is_refused(self):
        """And whoever says what means nothing ends its own link only."""
        for said, answered in (
            (orjson.dumps({"ask": 99}) + b"\n", b'{"refused":1}\n'),
            (b"nonsense", b""),
            (b"[]\n", b""),
            (b'{"got":7}\n', None),
        ):
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
                sock.connect(self.world.socket())
                sock.settimeout(PATIENCE)
                sock.send(said)
                if answered is not None:
                    self.assertEqual(sock.recv(4096), answered)
        self.ask(self.world.client(), b"fine")

    def test_a_customer_near_its_ceiling_gets_no_second_one(self):
        """Ten units of ceiling, hardly any more with time: both processes together let ten RPCs through."""
        world = World(
            "settings.contracts.0.ceilingRate=0.01",
            "settings.contracts.0.ceilingBurst=10",
            "settings.contracts.0.quotaRate=0",
        )
        self.addCleanup(world.close)
        old = world.start()
        world.ready(old)
        time.sleep(0.1)
        old.send_signal(0)
        client = world.client()
        said = []
        for number in range(30):
            if number == 5:
                new = world.start()
                world.ready(new)
            world.send(client, b"rpc%d" % number)
            said.append(answer(client)[:1])
        self.assertLessEqual(said.count(b"$"), 10)

    def test_no_listening_socket(self):
        """Exit code 2 and what was found."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            os.set_inheritable(other.fileno(), True)
            for text, found in (("three", "three"), ("99", "Bad file"), ("-1", "-1")):
                process = self.world.start(PROXY_LISTEN_FD=text)
                self.assertEqual(process.wait(PATIENCE), 2)
                said = process.stderr.read().decode()
                self.assertIn(
                    "PROXY_LISTEN_FD: expected the descriptor of a listening TCP socket", said
                )
                self.assertIn(found, said)

    def test_the_new_process_dies_before_its_yes(self):
        """One that asks, and one that got all leases, are gone at once: the old one serves on and can be followed."""
        client = self.world.client()
        self.ask(client, b"one")
        for reads in (0, 1):
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
                sock.connect(self.world.socket())
                sock.settimeout(PATIENCE)
                sock.send(b'{"ask":1}\n')
                for _ in range(reads):
                    self.assertIn(b"leases", sock.recv(1 << 18))
            time.sleep(0.1)
            self.ask(client, b"two%d" % reads)
            self.ask(self.world.client(), b"three%d" % reads)
        new = self.world.start()
        self.world.ready(new)
        self.ask(client, b"four")

    def test_one_that_asks_and_then_stands_still(self):
        """Connections that it does not get in time stay here, and nothing that comes on them is lost."""
        clients = [self.world.client() for _ in range(4)]
        for client in clients:
            self.ask(client, b"before")
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            sock.connect(self.world.socket())
            sock.send(b'{"ask":1}\n')
            for client in clients:
                self.ask(client, b"after")
        self.ask(self.world.client(), b"new")

    def test_those_who_say_nothing_keep_nobody_out(self):
        silent = []
        for _ in range(30):
            silent.append(socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET))
            self.addCleanup(silent[-1].close)
            silent[-1].connect(self.world.socket())
            time.sleep(0.01)
        self.assertLess(len(os.listdir(f"/proc/{self.old.pid}/fd")), 40)
        client = self.world.client()
        self.ask(client, b"one")
        new = self.world.start()
        self.world.ready(new)
        self.ask(client, b"two")
        self.old.send_signal(signal.SIGTERM)
        self.assertEqual(self.old.wait(PATIENCE), 0)
        self.ask(client, b"three")

    def test_two_gateways_share_a_folder(self):
        """Neither follows the other."""
        other = World()
        self.addCleanup(other.close)
        other.folder = self.world.folder
        other.told["name"] = "g2"
        other.write(other.told)
        process = other.start()
        other.ready(process)
        client = self.world.client()
        self.ask(client, b"one")
        new = self.world.start()
        self.world.ready(new)
        self.ask(client, b"two")
        other.send(client := other.client(), b"three")
        self.assertEqual(answer(client), b"$three")

    def test_signals_in_the_midst(self):
        """SIGHUP to both in the midst of it, a counter that says nothing, a folder with a long name."""
        self.world.end(self.old)
        self.world.folder = os.path.join(self.world.folder, "x" * 150)
        os.mkdir(self.world.folder)
        old = self.world.start()
        self.world.ready(old)
        client = self.world.client()
        self.ask(client, b"one")
        self.world.quiet.set()
        new = self.world.start()
        for _ in range(5):
            old.send_signal(signal.SIGHUP)
            time.sleep(0.05)
        self.world.ready(new)
        new.send_signal(signal.SIGHUP)
        self.world.send(
            client, b"two"
        )  # credit that was handed over, or a push-back: an answer in any case
        self.assertIn(answer(client)[:5], (b"$two", b"-BUSY"))
        self.world.quiet.clear()
        old.send_signal(signal.SIGTERM)
        self.assertEqual(old.wait(PATIENCE), 0)
        self.ask(client, b"three")

    def test_drain_belongs_to_the_process_that_was_told(self):
        world = self.world
        self.assertEqual(world.call(self.old, "POST", "/-/drain"), 200)
        new = world.start()
        world.ready(new)
        self.assertEqual(world.call(self.old, "GET", "/-/ready"), 503)
        self.ask(world.client(), b"new")

    def test_memory_and_descriptors_of_both(self):
        """Two processes together stay within what one may hold."""
        clients = [self.world.client() for _ in range(40)]
        for client in clients:
            self.ask(client, b"x")
        new = self.world.start()
        self.world.ready(new)
        for client in clients:
            self.ask(client, b"y")
        held, memory = 0, 0
        for process in (self.old, new):
            held += len(os.listdir(f"/proc/{process.pid}/fd"))
            with open(f"/proc/{process.pid}/status") as status:
                memory += next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))
        self.assertLess(held, self.world.told["limits"]["sockets"])
        self.assertLess(memory / 1024, 80)
