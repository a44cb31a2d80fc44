"""Play the scenarios of tests/integration/gateway/scenarios: a whole gateway on loopback sockets, with its clients, hosts, counter and
discovery in the scenario's hands and a clock that only the scenario moves. The notation is in tests/README.md."""

import copy
import errno
import io
import json
import os
import random
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from types import SimpleNamespace

from benchmarks import fleet_log_counts
from petrellane import config
from petrellane.gateway.endpoint_watch import EndpointWatch
from petrellane.gateway.process import GatewayProcess
from petrellane.net import resp
from petrellane.net.limits import Limits
from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Stream, listening
from petrellane.operation.hot_restart_transport import HotRestartHandlers, HotRestartTransport

PATIENCE = 20.0  # seconds of real time after which what is expected counts as never coming
TOLD = {
    "name": "g1",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "counter": "127.0.0.1:1",
    "seed": "5eed",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
    "known": {"index": 1, "snapshot": True, "endpoints": []},
    "settings": {
        "classes": [
            {
                "name": "look",
                "effect": "pure",
                "goalTime": 1000000,
                "giveUp": 4000000,
                "worth": 1.0,
                "lateWorth": 0.5,
            },
            {
                "name": "lodge",
                "effect": "token",
                "keyScope": "all",
                "window": 4000000,
                "goalTime": 1000000,
                "giveUp": 4000000,
                "worth": 1.0,
                "lateWorth": 0.5,
            },
            {
                "name": "post",
                "effect": "side_effect",
                "goalTime": 1000000,
                "giveUp": 4000000,
                "worth": 1.0,
            },
        ],
        "contracts": [{"name": "basic", "quotaRate": 50, "storeSize": 100, "pays": 1.0}],
        "familyInfo": {"mayCount": True, "counterTimeout": 80000},
        "limits": {
            "connIdle": 30000000,
            "dialTimeout": 250000,
            "maxAttempts": 4,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfter": 500000,
            "streamsPerConn": 4,
        },
        "obligations": {"cold": 0, "coldFrom": 1.0},
        "discovery": "push",
    },
}


def unescape(text):
    """\\r, \\n and \\s in a scenario, and {N} for so many letters x."""
    text = text.replace("\\r", "\r").replace("\\n", "\n").replace("\\s", " ")
    return re.sub(r"\{(\d+)\}", lambda found: "x" * int(found[1]), text).encode("latin-1")


def changed(told, words):
    """The configuration with KEY.KEY=JSON words applied."""
    told = copy.deepcopy(told)
    for word in words:
        path, value = word.split("=", 1)
        *steps, last = [int(step) if step.isdigit() else step for step in path.split(".")]
        place = told
        for step in steps:
            place = place[step]
        place[last] = json.loads(value)
    return told


class Peer:
    """One socket in the scenario's hands, and what came on it."""

    def __init__(self, sock, at=None):
        sock.setblocking(False)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )  # what a scenario sends comes at once
        self.sock, self.at, self.buffer, self.ended, self.broke = sock, at, bytearray(), False, None

    def read(self):
        try:
            while not self.ended and (data := self.sock.recv(1 << 20)):
                self.buffer += data
            self.ended = True
        except BlockingIOError:
            pass
        except OSError as error:
            self.ended, self.broke = True, error

    def parse(self, parser, limits):
        """The next command or answer, if it is all there, as its parsed form over bytes of its own."""
        if self.buffer and (found := parser(self.buffer, 0, limits)):
            taken = bytes(self.buffer[: found[-1]])
            del self.buffer[: found[-1]]
            return found, taken
        return None

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()
        self.buffer.clear()
        self.ended = True


class Crossed:
    """A socket of the gateway's on which bytes come in the instant in which it is shut down or closed."""

    def __init__(self, sock, come):
        self.sock, self.come = sock, come

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def shutdown(self, how):
        self.meet()
        self.sock.shutdown(how)

    def close(self):
        self.meet()
        self.sock.close()

    def meet(self):
        come, self.come = self.come, lambda: None
        come()


class Poll:
    """A poll that tells what is ready in one turn in the order that a scenario says: as it was registered, or backward."""

    def __init__(self, poll):
        self.real, self.backward = poll, False
        self.register, self.modify, self.unregister = poll.register, poll.modify, poll.unregister

    def poll(self, most):
        ready = self.real.poll(most)
        return ready[::-1] if self.backward else ready


class Net:
    """One scenario: a gateway, and all that it talks to."""

    def __init__(self, seed):
        self.time, self.seed, self.node = 1000.0, seed, None
        self.listeners, self.peers, self.clients, self.taken, self.outcomes = {}, [], {}, {}, {}
        self.counter, self.totals, self.watch, self.index, self.ended = "on", {}, None, 1, False
        self.told, self.callers, self.unread, self.hears = None, [], set(), False
        self.turned = self.most_read = 0  # turns so far; reads of a peer that floods in one of them
        self.most = None  # descriptors, where the scenario has few left
        self.fill = []  # connections that stand in the way at the host `full`
        self.bound = {}  # of those that are down, bound sockets: nobody else gets their ports meanwhile
        self.log, self.sent, self.added, self.limits = tempfile.TemporaryFile(), {}, [], {}

    def close(self):
        self.do_plenty()
        peers = [*self.peers, *self.clients.values(), *self.callers]
        for sock in [
            *self.fill,
            *self.bound.values(),
            *self.listeners.values(),
            *(peer.sock for peer in peers),
        ]:
            sock.close()
        if self.node:
            self.node.management.close()
            if self.node.client_listener.listener:
                self.node.client_listener.listener.close()
        self.log.close()

    def listen(self, name, backlog=64):
        sock = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        sock.setblocking(False)
        if name == "deaf":  # it reads nothing before `hears`, and its machine takes little
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listeners[name] = sock
        for _ in range(
            2 if name == "full" else 0
        ):  # nobody takes these: further ones never come up
            self.fill.append(socket.socket())
            self.fill[-1].setblocking(False)
            self.fill[-1].connect_ex(sock.getsockname())
        return "127.0.0.1:%d" % sock.getsockname()[1]

    def until(self, what, holds):
        """Let everybody have their turn until something holds."""
        limit = time.monotonic() + PATIENCE
        while not (found := holds()):
            assert time.monotonic() < limit, f"never came: {what}"
            self.turn()
        return found

    def turn(self, most=1):
        self.turned += 1
        self.node.scheduler.turn(most)
        for name, listener in self.listeners.items():
            try:
                while name != "full":
                    self.peers.append(Peer(listener.accept()[0], name))
            except OSError:
                pass
        for peer in self.peers:
            if peer.at != "deaf" or self.hears:
                peer.read()
            if peer.at.startswith("counter"):
                self.count(peer)
            elif peer.at == "discovery" and b"\r\n\r\n" in peer.buffer:
                self.watch, peer.asked = peer, bytes(peer.buffer)
                peer.buffer.clear()
        for client in [
            *(client for name, client in self.clients.items() if name not in self.unread),
            *self.callers,
        ]:
            client.read()
        if "fence" in self.clients and self.clients["fence"].ended:
            self.clients["fence"].sock.close()  # as clients do

    def count(self, peer):
        while self.counter != "hold" and (found := peer.parse(resp.command, self.node.limits)):
            spans, taken = found[0][0], found[1]
            _, name, amount, life = [taken[slice(*span)] for span in spans]
            assert int(life) >= 1, life
            if self.counter.startswith("once "):  # added all the same
                self.totals[name] = self.totals.get(name, 0.0) + float(amount)
                peer.sock.send(unescape(self.counter[5:]) + b"\r\n")
                self.counter = "on"
            elif self.counter == "on":
                total = self.totals[name] = self.totals.get(name, 0.0) + float(amount)
                answer = b"%g" % total
                peer.sock.send(b"$%d\r\n%b\r\n" % (len(answer), answer))
            elif self.counter == "breaks":
                peer.reset()
                return
            elif self.counter != "silent":
                peer.sock.send(unescape(self.counter) + b"\r\n")

    def do_config(self, *words):
        self.told = changed(TOLD, words)

    def do_refused(self, *words):
        try:
            config.parse_config(self.told)
        except config.ConfigError as error:
            assert " ".join(words) in str(error) and "\n" not in str(error), error
            return
        raise AssertionError("it was taken")

    def do_command(self, name, code, *words):
        """The command line, with the configuration of the last `config` and these PROXY_* variables."""
        given = dict(
            word.split("=", 1) for word in words if word.startswith("PROXY_") and "=" in word
        )
        words = [word for word in words if word.partition("=")[0] not in given]
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(self.told, file)
            file.flush()
            ended = subprocess.run(
                [sys.executable, "-m", "petrellane", *name.split("+")],
                capture_output=True,
                text=True,
                env={**os.environ, "PROXY_CONFIG": file.name, **given},
                timeout=60,
            )
        said = ended.stdout + ended.stderr
        assert ended.returncode == int(code) and " ".join(words) in said, (ended.returncode, said)

    def do_limits(self, *words):
        self.limits = {
            name: float(value) if "." in value else int(value)
            for name, value in (word.split("=") for word in words)
        }

    def do_world(self, *words):
        hosts = [word for word in words if "=" not in word] or ["a", "b"]
        told = changed(TOLD, [word for word in words if "=" in word])
        told["counter"], told["discovery"] = self.listen("counter"), self.listen("discovery")
        told["known"]["endpoints"] = [
            self.entry(name, self.listen(name, 0 if name == "full" else 64)) for name in hosts
        ]
        told["seed"] = f"{self.seed:x}"
        self.told = told
        told = config.parse_config(told)
        limits = Limits.of(told)
        self.node = GatewayProcess(
            told,
            self.log.fileno(),
            Limits(**{**vars(limits), **self.limits}),
            Scheduler(lambda: self.time),
        )
        self.node.scheduler.poll = Poll(self.node.scheduler.poll)
        self.node.start()
        self.node.endpoint_pools.on_attempt_ended = self.heard
        self.node.executor.counter_client.on_reply = self.counted
        self.address = self.node.client_listener.listener.getsockname()
        self.until("a watch", lambda: self.watch)

    def entry(self, name, address, state="in_service"):
        return {
            "name": name,
            "address": address,
            "zone": "z",
            "type": "k",
            "group": 1,
            "status": state,
            "weight": 1.0,
            "since_ms": 0,
        }

    def do_connect(self, *names):
        for name in names:
            sock = socket.create_connection(self.address)
            self.clients[name] = Peer(sock)
            self.do_raw(name, "*1\\r\\n$4\\r\\nPING\\r\\n")
            self.do_reads(name, "+PONG")

    def do_connect_drained(self, name):
        """A client comes although it is not wanted."""
        self.clients[name] = Peer(socket.create_connection(self.address))
        self.turn()

    def do_narrow(self, name):
        """A client whose machine takes few bytes that it has not read."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(self.address)
        self.clients[name] = Peer(sock)

    def do_silent(self, name):
        self.clients[name] = Peer(socket.create_connection(self.address))

    def do_burst(self, name, number):
        """So many commands at once."""
        self.clients[name].sock.send(resp.words(b"SELECT", b"0") * int(number))

    def do_behind(self, name):
        """Not all of the burst has been answered yet, and all of it will be."""
        assert 0 < (found := self.clients[name].buffer.count(b"+OK")) < 200, found
        self.until("all answers", lambda: self.clients[name].buffer.count(b"+OK") == 200)
        self.clients[name].buffer.clear()

    def do_starve_call(self, status):
        """Staff call while there is no descriptor left: idle connections make way, and the call is answered."""
        management = self.node.management
        listener = management.listener

        class Starved:
            fileno, close, getsockname, times = (
                listener.fileno,
                listener.close,
                listener.getsockname,
                0,
            )

            def accept(self):
                self.times += 1
                if self.times == 1:
                    raise OSError(errno.EMFILE, "no descriptor")
                return listener.accept()

        management.listener = starved = Starved()
        before = len(self.node.client_listener.clients)
        self.do_call("GET", "/-/ready", status)
        assert starved.times > 1 and len(self.node.client_listener.clients) < before, (
            starved.times,
            before,
        )
        management.listener = listener

    def do_short(self, left=0):
        """The kernel gives this process so many descriptors more."""
        spare = [os.dup(0) for _ in range(int(left) + 1)]
        self.most = self.most or resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(spare), self.most[1]))
        for descriptor in spare:
            os.close(descriptor)

    def do_plenty(self):
        """And as many as before."""
        if self.most:
            resource.setrlimit(resource.RLIMIT_NOFILE, self.most)
            self.most = None

    def do_follows(self):
        """The gateway asks for what a process before has, goes on, and offers what it has to one that follows."""
        begun, nothing = [], lambda *words: None
        self.handover = HotRestartTransport(
            self.node.scheduler,
            self.node.limits,
            self.node.log,
            f"short-{os.getpid()}",
            HotRestartHandlers(
                export_state=lambda: [],
                on_successor=nothing,
                import_leases=nothing,
                adopt_connection=nothing,
                release_in_flight=nothing,
                on_predecessor_still_running=nothing,
            ),
        )
        self.handover.request_transfer(lambda: begun.append(True))
        self.until("the begin", lambda: begun)

    def do_followed(self):
        """A process that follows calls while no descriptor is left, and is heard once there is one."""
        self.handover.listen()
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            path = self.handover.socket_path()
            self.do_short()
            sock.connect(path)
            self.do_turns_most(40)
            self.do_plenty()
            self.do_wait(0.1)
            self.until("a link", lambda: self.handover.links)
            os.unlink(path)
            self.handover.close()
        self.until("its end", lambda: not self.handover.links)

    def do_rereads(self, wanted):
        """SIGHUP has the configuration read from a file, which is logged as this."""
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(self.told, file)
            file.flush()
            if wanted == "reload_refused":
                self.do_short()
            self.node.reload(lambda before: config.load({"PROXY_CONFIG": file.name}, before))
            self.do_plenty()
        self.do_logged(wanted)

    def do_turns_most(self, number):
        """In a tenth of a second nothing turns more often than so."""
        until, turns = time.monotonic() + 0.1, 0
        while time.monotonic() < until:
            self.turn(20)
            turns += 1
        assert turns <= int(number), turns

    def do_starve(self, name):
        """A client comes while there is no descriptor left, and is served once there is."""
        listener = self.node.client_listener.listener

        class Starved:
            fileno = listener.fileno
            times = 0

            def accept(self):
                self.times += 1
                raise OSError(errno.EMFILE, "no descriptor")

        starved = self.node.client_listener.listener = Starved()
        self.clients[name] = Peer(socket.create_connection(self.address))
        self.do_logged("no_descriptor")
        self.do_wait(0.2)
        assert 2 <= starved.times <= 20, starved.times  # neither given up nor tried without a pause
        self.node.client_listener.listener = listener
        self.do_wait(0.05)

    def do_fault(self, name):
        """The module's next call of this name raises."""
        gateway, call = self.node.executor.controller, getattr(self.node.executor.controller, name)

        def raises(*words, **more):
            setattr(gateway, name, call)
            raise ZeroDivisionError("a fault of ours")

        setattr(gateway, name, raises)

    def do_raw(self, name, *text):
        self.clients[name].sock.send(unescape(" ".join(text)))

    def do_query(self, name, rpc, method, *words):
        self.do_send(name, rpc, method, *words, verb=b"SVC.QUERY")

    def do_submit(self, name, rpc, method, *words):
        self.do_send(name, rpc, method, *words, verb=b"SVC.SUBMIT")

    def do_send(self, name, rpc, method, *words, verb=None):
        """One RPC; `split` sends it byte by byte, `body` gives it a body of so many bytes."""
        given = dict(word.partition("=")[::2] for word in words)
        split, body, who = "split" in given, int(given.pop("body", 0)), int(given.pop("who", 1))
        stands = float(given.pop("stands", 0))
        fields = f"c={method},t=basic,d={given.pop('d', 2000)}"
        given.pop("split", None)
        unread = given.pop("unread", None) is not None
        fields += "".join(
            f",{key}={value}"
            for key, value in {"units": 1, "spread": 1, "first": 0, **given}.items()
        )
        parts = [
            verb or (b"SVC.QUERY" if method == "look" else b"SVC.SUBMIT"),
            b"%016x" % who,
            rpc.encode(),
            fields.encode(),
        ] + [b"x" * body] * bool(body)
        self.sent[rpc] = parts
        data, client = resp.words(*parts), self.clients[name]
        for at in range(len(data)) if split else ():
            client.sock.send(data[at : at + 1])
            self.turn()
        if not split:
            client.sock.setblocking(True)
            client.sock.sendall(data)
            client.sock.setblocking(False)
        self.time += stands  # it comes while the process stands still
        for _ in range(0 if unread else 3):  # it is read before the clock moves
            self.turn()

    def do_many(self, number, name, method):
        """So many RPCs that are served."""
        for each in range(int(number)):
            for step in (
                ("send", name, f"many{each}", method),
                ("takes", f"many{each}"),
                ("answers", f"many{each}", "$served"),
                ("reads", name, "$served"),
            ):
                getattr(self, "do_" + step[0])(*step[1:])

    def do_reads(self, name, *text):
        """The next answer: a line by its beginning, or $VALUE."""
        client, wanted = self.clients[name], unescape(" ".join(text))
        found, taken = self.until(
            f"an answer at {name}, {text}", lambda: client.parse(resp.answer, self.node.limits)
        )
        if wanted.startswith(b"$"):
            assert found[0] == 0x24 and found[1], taken
            assert taken[slice(*found[1])] == wanted[1:], taken[:200]
        else:
            assert taken.startswith(wanted), taken[:200]

    def do_closed(self, *names):
        for name in names:
            client = self.clients[name]
            self.until(f"the end of {name}", lambda client=client: client.ended)
            assert not client.buffer and not client.broke, (client.buffer, client.broke)
            client.sock.close()  # as clients do

    def do_open(self, *names):
        for name in names:
            self.do_raw(name, "*1\\r\\n$4\\r\\nPING\\r\\n")
            self.do_reads(name, "+PONG")

    def do_leave(self, name):
        self.clients[name].sock.close()
        self.until(
            f"{name} being gone", lambda: len(self.node.client_listener.clients) < len(self.clients)
        )
        del self.clients[name]

    def do_goes(self, name):
        """The client closes its connection, which nobody has had a turn to see."""
        self.clients.pop(name).sock.close()

    def server_client(self, name):
        here = self.clients[name].sock.getsockname()
        self.turn()  # whose peer has closed as well is forgotten
        (client,) = [
            one
            for one in self.node.client_listener.clients
            if one.stream.sock.getpeername() == here
        ]
        return client

    def do_crosses(self, name, rpc):
        """A query of the client comes in the instant in which the gateway ends the connection, and has come then."""
        stream, peer = self.server_client(name).stream, self.clients[name]
        data = resp.words(
            b"SVC.QUERY",
            b"%016x" % 8,
            rpc.encode(),
            b"c=look,t=basic,d=2000,units=1,spread=1,first=0",
        )
        stream.sock = Crossed(stream.sock, lambda: peer.sock.send(data))

    def do_floods(self, name, most, *text):
        """From now on a read of this client, or of the last caller of staff (`staff`), always brings more, as of one that sends
        as fast as it is read, these bytes or x alone; in one turn it is read so often at most."""
        stream = (
            next(reversed(self.node.management.callers))
            if name == "staff"
            else self.server_client(name).stream
        )
        sock, net = stream.sock, self

        class Flood:
            turn = times = 0

            def __getattr__(self, name):
                return getattr(sock, name)

            def recv(self, size, flags=0):
                self.turn, self.times = net.turned, self.times + 1 if self.turn == net.turned else 1
                net.most_read = max(net.most_read, self.times)
                if self.times > int(most):
                    raise OSError("read for too long")
                return unescape(" ".join(text)) or b"x" * size

        stream.sock = Flood()
        (self.callers[-1] if name == "staff" else self.clients[name]).sock.send(b"x")

    def do_read_within(self, most):
        """No flooding peer was read more often in one turn."""
        assert 0 < self.most_read <= int(most), self.most_read

    def do_pauses(self, name):
        """The client reads nothing for a while."""
        self.unread.add(name)

    def do_reads_on(self, name):
        self.unread.discard(name)

    def do_host_crosses(self, name, *text):
        """The same of a host's bytes, on each connection to it that is idle."""
        ends = {peer.sock.getpeername(): peer.sock for peer in self.host_peers() if peer.at == name}
        for pool in self.node.endpoint_pools.pools.values():
            for stream in [
                connection.stream
                for connection in pool.idle
                if connection.stream.sock.getsockname() in ends
            ]:
                peer = ends[stream.sock.getsockname()]
                stream.sock = Crossed(
                    stream.sock, lambda peer=peer: peer.send(unescape(" ".join(text)))
                )

    def do_no_reset(self, name):
        """Some connections to this peer have ended, none by a reset."""
        ended = [peer for peer in self.peers if peer.at == name and peer.ended]
        assert ended and not any(peer.broke for peer in ended), [peer.broke for peer in ended]

    def do_at_once(self):
        """Nowhere does the gateway's system hold back a small write."""
        streams = [
            one.__self__
            for one in self.node.scheduler.calls.values()
            if isinstance(one.__self__, Stream)
        ]
        off = [
            one.sock
            for one in streams
            if not one.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        ]
        assert len(streams) > 3 and not off, (streams, off)

    def do_clients(self, number):
        """So many clients are still connected."""
        self.until(
            f"{number} clients", lambda: len(self.node.client_listener.clients) == int(number)
        )

    def do_amid(self, name, seconds):
        """In the turn in which the next RPC is read, and before it is looked at, this client goes and so much time passes."""
        executor, on_request = self.node.executor, self.node.client_listener.on_request

        def amid(request):
            self.node.client_listener.on_request = on_request
            self.do_goes(name)
            self.time += float(seconds)
            executor.on_request(request)

        self.node.client_listener.on_request = amid

    def do_owed(self, name, number):
        """The gateway has read so much of this client that it owes it so many answers."""
        client = self.server_client(name)
        self.until(
            f"{number} answers owed to {name}", lambda: len(client.pending_replies) == int(number)
        )

    def do_turns(self, number, order="forward"):
        """So many turns, each of which takes what is ready as it came to be watched, or backward."""
        self.node.scheduler.poll.backward = order == "backward"
        for _ in range(int(number)):
            self.turn()
        self.node.scheduler.poll.backward = False

    def do_stands(self, seconds):
        """The process stands still for so long."""
        self.time += float(seconds)

    def do_swarm(self, name, number):
        """So many RPCs at once, all with credit."""
        row = b"c=look,t=basic,d=2000,units=0.1,spread=1,first=0"
        self.clients[name].sock.send(
            b"".join(
                resp.words(b"SVC.QUERY", b"%016x" % 9, b"%s-%d" % (name.encode(), each), row)
                for each in range(int(number))
            )
        )

    def do_sent_on(self, name, most):
        """At most so many RPCs of a swarm have reached hosts."""
        self.fence()
        number = sum(rpc.startswith(name + "-") for rpc in self.received())
        assert number <= int(most), number

    def do_hears(self):
        """The host `deaf` reads from now on."""
        self.hears = True

    def host_peers(self):
        return [
            peer
            for peer in self.peers
            if not peer.ended and not peer.at.startswith(("counter", "discovery"))
        ]

    def received(self):
        """Take in the commands that hosts have whole."""
        for peer in self.host_peers():
            while found := peer.parse(resp.command, self.node.limits):
                parts = [found[1][slice(*span)] for span in found[0][0]]
                self.taken.setdefault(parts[2].decode(), []).append((peer, parts))
        return self.taken

    def do_takes(self, rpc, *words):
        """A host has the command whole, as the client worded it but for the time left."""
        given = dict(word.split("=") for word in words)
        times = int(given.get("times", 1))
        peer, parts = self.until(
            f"{rpc} at a host",
            lambda: len(self.received().get(rpc, ())) >= times and self.taken[rpc][times - 1],
        )
        wanted = [re.sub(rb"(^|,)d=\d+", b"", part) for part in self.sent[rpc]]
        assert [re.sub(rb"(^|,)d=\d+", b"", part) for part in parts] == wanted, parts
        left = int(re.search(rb"(?:^|,)d=(\d+)", parts[3])[1])
        assert left <= int(given.get("most", left)) and left >= int(given.get("least", 0)), left
        assert given.get("at", peer.at) == peer.at, peer.at

    def do_untaken(self, rpc, times="times=1"):
        """No host has it so many times, after everybody has had a turn."""
        self.fence()
        assert len(self.received().get(rpc, ())) < int(times.partition("=")[2]), self.taken[rpc]

    def fence(self):
        for _ in range(5):
            self.turn()
        if self.node.is_ending or not self.node.service.passes_health_check:  # nobody new stays
            return
        if "fence" not in self.clients:
            self.do_connect("fence")
        self.do_open("fence")

    def do_answers(self, rpc, *text):
        """Its host answers: $VALUE with figures and a load report, or a line as it is."""
        self.time += 0.001
        self.do_again(rpc, *text)

    def do_again(self, rpc, *text):
        """The same, at once, also a second time."""
        peer, data = self.taken[rpc][-1][0], unescape(" ".join(text))
        if data.startswith(b"$"):
            value, *figures = data[1:].split(b" ")
            figures = (figures + [None, None])[:2]
            data = b"*3\r\n$%d\r\n%b\r\n" % (len(value), value) + b"".join(
                b"$%d\r\n%b\r\n" % (len(part), part) if part else b"$-1\r\n" for part in figures
            )
        else:
            data += b"\r\n"
        peer.sock.setblocking(True)
        peer.sock.sendall(data)
        peer.sock.setblocking(False)

    def host_of(self, rpc):
        return self.taken[rpc][-1][0]

    def do_begins(self, rpc, length):
        """Its host begins an answer with a value of so many bytes."""
        self.time += 0.001
        self.host_of(rpc).sock.sendall(b"*3\r\n$%d\r\n" % int(length))

    def do_gives(self, rpc, number):
        """It gives so many bytes of the value."""
        left, peer = int(number), self.host_of(rpc)
        limit = time.monotonic() + PATIENCE
        while left:
            assert time.monotonic() < limit, f"{left} bytes not taken"
            try:
                left -= peer.sock.send(b"x" * min(left, 1 << 16))
            except BlockingIOError:
                pass
            self.turn(0)

    def do_drips(self, rpc, number):
        for at in range(int(number)):
            self.host_of(rpc).sock.send(b"x")
            if at % 5 == 0:
                self.turn(0)

    def do_deafens(self, name):
        """This client reads nothing from now on; RPCs of its are served until the gateway keeps what it doesn't take."""
        self.unread.add(name)
        for each in range(90):
            rpc = f"deaf{each}"
            self.do_send(name, rpc, "look", f"who={each}")
            self.do_takes(rpc)
            self.do_answers(rpc, "${60000}")
            self.until("its end", lambda: not self.node.executor.requests)
            if any(client.stream.unsent for client in self.node.client_listener.clients):
                return
        raise AssertionError("the kernel takes it all")

    def do_stalls(self, rpc, name, most):
        """Its host gives what it can of four million bytes; the kernel has at most so many of them for the client, who
        does not read."""
        self.unread.add(name)
        peer, last, given = self.host_of(rpc), time.monotonic(), 0
        while time.monotonic() - last < 0.3 and given < 3900000:
            try:
                given += peer.sock.send(b"x" * 4096)
                last = time.monotonic()
            except BlockingIOError:
                pass
            self.turn(0)
        self.given = given
        (stalled,) = self.node.endpoint_pools.buffer_budget.relays
        assert stalled.stream.sent < int(most), stalled.stream.sent

    def do_drains(self, rpc):
        """Its host gives all that is left of four million bytes, and ends the answer."""
        self.do_gives(rpc, 4000000 - self.given)
        self.do_ends(rpc, "$-1", "$-1")

    def do_waits_within(self, number):
        """Of all long values, at most so many bytes wait here."""
        waits = sum(
            relay.waiting + (relay.stream.queued - relay.stream.sent if relay.stream else 0)
            for relay in self.node.endpoint_pools.buffer_budget.relays
        )
        assert waits <= int(number) and bool(waits) == bool(int(number)), waits

    def do_ends(self, rpc, *parts):
        """Its value is over; these parts follow."""
        self.host_of(rpc).sock.send(
            b"".join([b"\r\n"] + [unescape(part) + b"\r\n" for part in parts])
        )

    def do_partly(self, name, number):
        """The client has so many bytes of an answer, which is not whole."""
        client = self.clients[name]
        self.until(f"{number} bytes at {name}", lambda: len(client.buffer) >= int(number))
        assert not client.ended

    def do_open_half(self, name):
        """The client is still connected, in the midst of an answer."""
        self.turn()
        assert not self.clients[name].ended

    def do_reads_long(self, name, number):
        client, wanted = self.clients[name], b"$%d\r\n" % int(number) + b"x" * int(number) + b"\r\n"
        self.until(f"{number} bytes at {name}", lambda: len(client.buffer) >= len(wanted))
        assert client.buffer[: len(wanted)] == wanted, client.buffer[:40]
        del client.buffer[: len(wanted)]

    def do_ended_short(self, name):
        """The client's connection ends within an answer."""
        client = self.clients.pop(name)
        self.unread.discard(name)

        def over():
            client.read()
            return client.ended

        self.until(f"the end of {name}", over)
        head, _, value = bytes(client.buffer).partition(b"\r\n")
        assert head.startswith(b"$") and len(value) < int(head[1:]) + 2, (head, len(value))

    def do_begin(self, name, size):
        """Half of a command with a body of so many bytes, called `begun`."""
        size, client = int(size), self.clients[name]
        parts = [
            b"SVC.SUBMIT",
            b"%016x" % 7,
            b"begun",
            b"c=post,t=basic,d=3000,units=1,spread=1,first=0",
            b"x" * size,
        ]
        self.sent["begun"], data = parts, resp.words(*parts)
        self.left = data[size // 2 :]
        self.feed(client, data[: size // 2])

    def feed(self, client, data):
        while data:
            try:
                data = data[client.sock.send(data) :]
            except BlockingIOError:
                pass
            self.turn()
        for _ in range(5):
            self.turn()

    def do_rest(self, name):
        self.feed(self.clients[name], self.left)

    def do_kept(self, low, high):
        """So many bytes of bodies are kept."""
        assert int(low) <= self.node.endpoint_pools.buffer_budget.reserved <= int(high), (
            self.node.endpoint_pools.buffer_budget.reserved
        )

    def do_breaks(self, rpc):
        self.taken[rpc][-1][0].reset()

    def do_given_up(self, rpc):
        peer = self.taken[rpc][0][0]
        self.until(f"the end of the connection of {rpc}", lambda: peer.ended)

    def do_outcome(self, rpc, *wanted):
        found = self.until(
            f"the outcome of {rpc}",
            lambda: self.outcomes.get(rpc, [])[len(wanted) - 1 :] and self.outcomes[rpc],
        )
        assert found == list(wanted), found

    def heard(self, attempt, outcome, *words):
        rpc = attempt.request.head.split(b"\r\n")[-2].decode()
        self.outcomes.setdefault(rpc, []).append(outcome)
        self.node.executor.on_attempt_ended(attempt, outcome, *words)

    def counted(self, add, outcome, total):
        self.added.append(outcome)
        self.node.executor.on_counter_reply(add, outcome, total)

    def do_added(self, *wanted):
        """The outcomes of the adds since the last such line."""
        self.until(f"adds that end {wanted}", lambda: len(self.added) >= len(wanted))
        assert self.added == list(wanted), self.added
        self.added.clear()

    def do_counter(self, *mode):
        self.counter = " ".join(mode)

    def do_down(self, name):
        """A host, the counter or discovery dies: its connections are reset, new ones refused."""
        address = self.listeners[name].getsockname()
        self.listeners.pop(name).close()
        if name in self.bound:
            self.bound.pop(name).close()
        self.bound[name] = listening(address, None)
        for peer in [peer for peer in self.peers if peer.at == name and not peer.ended]:
            peer.reset()
        self.fence()

    def do_up(self, name):
        """It listens again, where it did."""
        for sock in self.fill:
            sock.close()
        self.fill.clear()
        self.listeners[name] = (
            self.listeners.pop("full") if "full" in self.listeners else self.bound.pop(name)
        )
        self.listeners[name].listen(64)

    def do_fills(self, name):
        """Connections to it never come up any more."""
        self.do_down(name)
        self.listeners["full"] = self.bound.pop(name)
        self.listeners["full"].listen(0)
        for _ in range(2):
            self.fill.append(socket.socket())
            self.fill[-1].setblocking(False)
            self.fill[-1].connect_ex(self.listeners["full"].getsockname())

    def do_resets(self, name):
        """What is connected to it is reset, after it has said what it had to say."""
        self.turn()
        for peer in [peer for peer in self.peers if peer.at == name and not peer.ended]:
            peer.reset()

    def live(self):
        """The watch that is out, once there is one: after a failure it comes with the clock."""
        for _ in range(50):
            if self.watch and not self.watch.ended:
                break
            self.do_wait(0.02)
        return self.until("a watch", lambda: self.watch)

    def do_tells(self, state, *names):
        """Discovery answers the watch that is out with a change."""
        self.live()
        self.index += 1
        rows = [
            self.entry(
                name,
                "127.0.0.1:%d" % self.listeners[name].getsockname()[1]
                if name in self.listeners
                else "127.0.0.1:1",
                "in_service" if state == "whole" else state,
            )
            for name in names
        ]
        body = json.dumps(
            {"index": self.index, "snapshot": state == "whole", "endpoints": rows}
        ).encode()
        self.do_says(
            "HTTP/1.1 200 OK\\r\\nContent-Length:\\s%d\\r\\n\\r\\n%s" % (len(body), body.decode())
        )
        self.until("the change", lambda: self.node.endpoint_watch.index == self.index)

    def do_says(self, *text):
        """Discovery answers the watch that is out with these bytes."""
        watch, self.watch = self.live(), None
        watch.sock.send(unescape(" ".join(text)))
        if "Connection: close" in " ".join(text):
            watch.sock.close()
            watch.ended = True

    def do_trickles(self, seconds, *text):
        """Discovery answers the watch that is out a byte each tenth of a second, for so long."""
        watch, self.watch = self.live(), None
        data = unescape(" ".join(text))
        for at in range(int(float(seconds) * 10)):
            try:
                watch.sock.send(data[at : at + 1])
            except OSError:  # its caller has gone
                break
            self.do_wait(0.1)

    def do_asked(self, seconds):
        """Discovery is called within so many seconds, if no call is out."""
        end = self.time + float(seconds)
        while not self.watch or self.watch.ended:
            assert self.time < end, f"no call in {seconds} s"
            self.do_wait(0.02)

    def do_watch(self, *text):
        assert " ".join(text).encode() in self.live().asked, self.watch.asked

    def do_counts(self, *wanted):
        """What the count over a fleet makes of this gateway's log: NAME=NUMBER in all, since the start."""
        self.node.log.flush()
        self.log.seek(0)
        with tempfile.TemporaryDirectory() as folder:
            with open(os.path.join(folder, "g1.log"), "wb") as copy:
                copy.write(b"0.1 " + self.log.read() + b"{no event\n")
            counts, stands, waits = fleet_log_counts.count(fleet_log_counts.events(folder))
        total = sum(counts.values(), Counter())
        for word in wanted:
            name, number = word.split("=")
            assert total[name.replace("_", " ")] == int(number), (name, total)
        assert stands and len(waits) == 1, (stands, waits)

    def do_still(self):
        """Nothing is ready that nobody takes: a poll with nothing to do waits."""
        for _ in range(20):
            self.turn(0)
        assert not self.node.scheduler.poll.poll(0), "a descriptor is ready at every poll"

    def do_refuses(self, number, seconds, most):
        """So many gateways' watches are all turned away for some seconds: in any one second but the first at most
        so many ask again."""
        scheduler, calls, end = self.node.scheduler, [], self.time + float(seconds)
        nobody = SimpleNamespace(
            on_endpoint_list=lambda endpoint_list: None, is_applying_endpoint_list=lambda: False
        )
        for seed in range(int(number)):
            crowd = EndpointWatch(
                self.node.runtime,
                self.node.config.discovery,
                1,
                nobody,
                random.Random(seed).random,
            )
            scheduler.spawn(crowd.run)
        while self.time < end:
            self.do_wait(0.02)
            for peer in [peer for peer in self.peers if peer.at == "discovery" and not peer.ended]:
                if getattr(peer, "asked", b"") and peer is not self.watch:
                    calls.append(self.time)
                    peer.sock.send(
                        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                    )
                    peer.sock.close()
                    peer.ended = True
        seconds = Counter(int(at - calls[0]) for at in calls)
        assert max(seconds[one] for one in seconds if one) <= int(most), seconds
        assert len(seconds) > 3, seconds  # and they go on asking

    def do_says_half(self, name, state):
        """Discovery begins to tell of a host, and its connection is reset within that."""
        self.do_says(
            'HTTP/1.1 200 OK\\r\\nContent-Length:\\s400\\r\\n\\r\\n{"endpoints":[{"name":"%s","status":"%s"'
            % (name, state)
        )
        self.turn()
        for peer in self.peers:
            if peer.at == "discovery" and not peer.ended:
                peer.reset()

    def do_hangs_up(self):
        watch, self.watch = self.until("a watch", lambda: self.watch), None
        watch.reset()

    def do_wait(self, seconds):
        """Move the clock, a step at a time."""
        end = self.time + float(seconds)
        while self.time < end:
            self.time = min(end, self.time + 0.02)
            self.turn(0)
            self.turn(0)

    def do_connections(self, at, low, high):
        """How many connections stand at a peer, once all is still."""
        self.fence()
        number = self.until(
            f"{low} to {high} connections at {at}",
            lambda: [
                count
                for count in [sum(peer.at == at and not peer.ended for peer in self.peers)]
                if int(low) <= count <= int(high)
            ],
        )
        assert number

    def lines(self, event):
        self.node.log.flush()
        self.log.seek(0)
        return [
            line.decode()
            for line in io.BytesIO(self.log.read())
            if json.loads(line)["event"] == event
        ]

    def do_logged(self, event, times="times=1"):
        self.until(
            f"a line {event}", lambda: len(self.lines(event)) >= int(times.partition("=")[2])
        )

    def do_unlogged(self, event, times="times=1"):
        """There are fewer such lines."""
        assert len(self.lines(event)) < int(times.partition("=")[2]), self.lines(event)

    def do_refusals(self, number, *texts):
        """So many configurations were refused, one line each, and these texts are among them."""
        lines = self.lines("reload_refused")
        assert len(lines) == int(number), lines
        for text in texts:
            assert any(unescape(text).decode() in line for line in lines), (text, lines)

    def do_moves(self, *names):
        """The configuration names new addresses of these; the old ones take no new connection. Then SIGHUP."""
        for name in names:
            if name in self.listeners:  # it may be down
                self.listeners.pop(name).close()
            for peer in [peer for peer in self.peers if peer.at == name]:
                peer.at += "-old"
            self.watch = None if name == "discovery" else self.watch
            self.told[name] = self.listen(name)
        self.node.reload(
            lambda before: config.parse_config(
                self.told, {"PROXY_DISCOVERY": "127.0.0.1:1"}, before
            )
        )

    def do_breaks_counter(self):
        for peer in [peer for peer in self.peers if peer.at == "counter-old"]:
            peer.reset()

    def do_call(self, method, path, status, state=""):
        """A call of staff is answered with this status, and tells this state."""
        caller = self.caller(method, path)
        answer = self.until(f"an answer to {path}", lambda: caller.ended and bytes(caller.buffer))
        assert answer.startswith(b"HTTP/1.1 %b " % status.encode()) and state.encode() in answer, (
            answer
        )

    def caller(self, method, path, end="\r\n\r\n"):
        """Somebody who calls; "" as the end is half a call."""
        sock = socket.create_connection(self.node.management.listener.getsockname())
        sock.send(f"{method} {path} HTTP/1.1\r\nHost: here{end}".encode())
        self.callers.append(Peer(sock))
        return self.callers[-1]

    def do_half_calls(self, number):
        """So many callers who never finish."""
        for _ in range(int(number)):
            self.caller("GET", "/-/ready", "")
            self.turn()

    def do_stays(self, number, most):
        """So many callers have their answers and don't go; the gateway keeps at most so many of them."""
        before = len(self.node.scheduler.calls)
        for _ in range(int(number)):
            caller = self.caller("GET", "/-/ready")
            self.until("an answer", lambda caller=caller: caller.buffer)
        assert len(self.node.scheduler.calls) - before <= int(most), (
            before,
            len(self.node.scheduler.calls),
        )

    def do_callers(self, number):
        """So many of them are still connected."""
        self.until(
            f"{number} callers",
            lambda: sum(not caller.ended for caller in self.callers) == int(number),
        )

    def do_rehost(self, name):
        """A host is listed at another address; the old one goes on with what it has."""
        self.listeners.pop(name).close()
        for peer in [peer for peer in self.peers if peer.at == name]:
            peer.at += "-old"
        self.listen(name)
        self.do_tells("in_service", name)

    def do_spoils(self, word):
        """A configuration that is wrong, then SIGHUP."""
        self.node.reload(
            lambda before: config.parse_config(changed(self.told, [word]), None, before)
        )

    def do_settings(self, *words):
        """SIGHUP with these keys changed, and the file left so."""
        self.told = changed(self.told, words)
        self.node.reload(lambda before: config.parse_config(self.told, None, before))

    def do_hup(self):
        """A whole process: SIGHUP, also with a file that is wrong, then SIGTERM at once."""
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(self.told, file)
            file.flush()
            process = subprocess.Popen(
                [sys.executable, "-m", "petrellane", "serve"],
                stdout=subprocess.PIPE,
                env={**os.environ, "PROXY_CONFIG": file.name},
            )
            for wanted in ("started", "reloaded", "reload_refused", "reloaded", "ended"):
                while json.loads(process.stdout.readline())["event"] != wanted:
                    pass
                file.seek(0)
                file.write("not JSON" if wanted == "reloaded" else json.dumps(self.told))
                file.truncate()
                file.flush()
                if wanted != "ended":
                    process.send_signal(signal.SIGHUP)
                if wanted == "reload_refused":
                    process.send_signal(signal.SIGTERM)
            assert process.wait(PATIENCE) == 0

    def do_early(self, number):
        """A whole process gets this signal while it still reads its configuration, and SIGTERM once it has heard that."""
        with tempfile.TemporaryDirectory() as folder:
            path, told = os.path.join(folder, "config.json"), json.dumps(self.told).encode()
            os.mkfifo(path)
            process = subprocess.Popen(
                [sys.executable, "-m", "petrellane", "serve"],
                stdout=subprocess.PIPE,
                env={**os.environ, "PROXY_CONFIG": path},
            )

            try:
                with open(path, "wb") as pipe:  # it is open once the process reads it
                    with open(path + ".new", "wb") as file:  # what is read anew
                        file.write(told)
                    os.rename(path + ".new", path)
                    process.send_signal(getattr(signal, number))
                    pipe.write(told)
                limit = threading.Timer(PATIENCE, process.kill)
                limit.start()
                while (
                    number == "SIGHUP"
                    and json.loads(process.stdout.readline())["event"] != "reloaded"
                ):
                    pass
                process.send_signal(signal.SIGTERM)
                lines = [json.loads(line)["event"] for line in process.stdout]
                assert process.wait(PATIENCE) == 0 and lines[-1] == "ended", (
                    process.returncode,
                    lines,
                )
                limit.cancel()
            finally:
                process.kill()
                process.wait()

    def do_term(self):
        self.node.scheduler.running = True
        self.node.end()

    def do_ended(self):
        self.until("the end", lambda: not self.node.scheduler.running)
