"""Stand-ins and helpers that the cases of this review share.

Standard library only, one asyncio loop. Everything listens on 127.0.0.1 at ports that the kernel
gave. What is sent, answered and run goes into a `Record`, which is written to `record.txt`.
"""

import asyncio
import contextlib
import ctypes
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"


class Record:
    """The record of a case: one line an event, in the order of one clock."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.begin = time.monotonic()
        self.file = open(self.path, "w", encoding="utf-8")

    def now(self):
        """Return the seconds since the case began."""
        return time.monotonic() - self.begin

    def add(self, text):
        """Write one line and return its time."""
        at = self.now()
        self.file.write(f"{at:8.3f} {text}\n")
        self.file.flush()
        return at


_given_ports = set()


def free_port():
    """Return a loopback port that nobody listens at, each one once.

    It lies below the ports that the kernel gives to dialing sockets, so that it stays refused while
    its owner is down.
    """
    while True:
        port = random.randrange(12_000, 32_000)
        if port in _given_ports:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            _given_ports.add(port)
            return port


# RESP2.


def command(*parts):
    """Return a command as an array of bulk strings."""
    parts = [part if isinstance(part, bytes) else str(part).encode() for part in parts]
    head = b"*%d\r\n" % len(parts)
    return head + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


async def read_reply(reader):
    """Return one reply: bytes of a line with its type, of a bulk string, None, or a list."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    if line[:1] == b"$":
        length = int(line[1:])
        if length < 0:
            return None
        return (await reader.readexactly(length + 2))[:-2]
    if line[:1] == b"*":
        return [await read_reply(reader) for _ in range(int(line[1:]))]
    return line


def value_reply(value):
    """Return a host's answer: the value, no figures on use, no load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


def fields_of(text):
    """Return the names and values of a request's list."""
    return dict(part.split("=", 1) for part in text.decode().split(",") if "=" in part)


# Servers.


class Server:
    """A listening socket whose connections a coroutine serves."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        """Listen at a port, a free one by default."""
        self.server = await asyncio.start_server(
            self._handle, HOST, port or free_port(), limit=1 << 23
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        """The address as HOST:PORT."""
        return f"{HOST}:{self.port}"

    async def _handle(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        """Serve one connection."""
        raise NotImplementedError


class Discovery(Server):
    """The agent of discovery: the complete list, and a watch that waits for changes."""

    def __init__(self, hosts):
        super().__init__()
        self.index = 1
        self.entries = [
            {
                "name": host.name,
                "address": host.address,
                "zone": "a",
                "type": "std",
                "group": 0,
                "status": "in_service",
                "weight": 1.0,
                "since_ms": 0,
            }
            for host in hosts
        ]

    def listing(self, *, full=True):
        """Return the body of an answer: the complete list, or no changes."""
        entries = self.entries if full else []
        return {"index": self.index, "snapshot": full, "endpoints": entries}

    async def serve(self, reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ")[1].decode()
            query = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
            is_watch = "from" in query
            if is_watch:
                await asyncio.sleep(int(query.get("hold_ms", "0")) / 1e3)
            body = json.dumps(self.listing(full=not is_watch)).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
            )
            await writer.drain()


class Counter(Server):
    """The shared counter: it adds amounts to named totals that expire."""

    def __init__(self):
        super().__init__()
        self.totals = {}

    async def serve(self, reader, writer):
        while True:
            parts = await read_reply(reader)
            if parts[0] != b"CNT.ADD":
                writer.write(b"+PONG\r\n" if parts[0] == b"PING" else b"-ERR no such call\r\n")
                continue
            _, name, amount, life_ms = parts
            now = time.monotonic()
            until, total = self.totals.get(name, (0.0, 0.0))
            if until <= now:
                until, total = now + min(60.0, int(life_ms) / 1e3), 0.0
            total += float(amount)
            self.totals[name] = (until, total)
            text = b"%.7g" % total
            writer.write(b"$%d\r\n%b\r\n" % (len(text), text))


class Host(Server):
    """A sound host: on a connection it runs requests in order and answers each with a value.

    Attributes:
        runs: The (time, id, class, key) of each request that has been run.
    """

    def __init__(self, record, name, work_s=0.02):
        super().__init__()
        self.record = record
        self.name = name
        self.work_s = work_s
        self.runs = []

    def value(self, parts):
        """Return the value made for a request: it names the request."""
        return b"value of " + parts[2]

    async def serve(self, reader, writer):
        while True:
            parts = await read_reply(reader)
            if parts[0] == b"PING":
                writer.write(b"+PONG\r\n")
                continue
            if parts[0] not in (b"SVC.QUERY", b"SVC.SUBMIT"):
                writer.write(b"-ERR\r\n")
                continue
            await self.run(parts, reader, writer)

    async def run(self, parts, reader, writer):
        """Run one request and answer it."""
        fields = fields_of(parts[3])
        at = self.record.add(f"{self.name} runs {parts[2].decode()} of class {fields['c']}")
        self.runs.append((at, parts[2], fields["c"], fields.get("k")))
        await asyncio.sleep(self.work_s)
        writer.write(value_reply(self.value(parts)))
        await writer.drain()


class Relay(Server):
    """A proxy between two zones.

    While `is_cut`, it says nothing: connections stay open and silent, and no byte passes. `lose`
    drops what it holds, as happens when the machine that sent it is gone before the cut heals.
    """

    def __init__(self, target_port):
        super().__init__()
        self.target_port = target_port
        self.is_cut = False
        self.tasks = set()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self._forward(reader, writer)
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)

    def lose(self):
        """Drop all connections with the bytes that they hold."""
        for task in list(self.tasks):
            task.cancel()

    async def _forward(self, reader, writer):
        while self.is_cut:
            await asyncio.sleep(0.01)
        up_reader, up_writer = await asyncio.open_connection(HOST, self.target_port)
        try:
            await asyncio.gather(self._copy(reader, up_writer), self._copy(up_reader, writer))
        finally:
            up_writer.close()

    async def _copy(self, reader, writer):
        while True:
            data = await reader.read(1 << 16)
            while self.is_cut:
                await asyncio.sleep(0.01)
            if not data:
                break
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()


# Clients.


class Client:
    """One connection of a client."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, port, receive_buffer=None):
        """Connect to a gateway."""
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        limit = receive_buffer or 1 << 23
        return cls(*await asyncio.open_connection(sock=sock, limit=limit))

    async def send(self, data):
        """Write bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def reply(self, timeout=10.0):
        """Return the next reply."""
        return await asyncio.wait_for(read_reply(self.reader), timeout)

    async def ask(self, data, timeout=10.0):
        """Send one command and return its reply."""
        await self.send(data)
        return await self.reply(timeout)

    def close(self):
        """Close the connection."""
        self.writer.close()


def is_served(reply):
    """Return whether a client takes a reply as served: a bulk string, or an array with one."""
    if isinstance(reply, list):
        return bool(reply) and isinstance(reply[0], bytes)
    return isinstance(reply, bytes) and reply[:1] not in (b"-", b"+", b":")


async def ready(port, timeout=30.0):
    """Wait until a gateway answers PING, as the front does."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            client = await Client.connect(port)
            try:
                if await client.ask(b"*1\r\n$4\r\nPING\r\n", 1.0) == b"+PONG":
                    return
            finally:
                client.close()
        await asyncio.sleep(0.05)
    raise RuntimeError(f"no gateway was ready at port {port} within {timeout} s")


async def http(port, method, path, timeout=1.0):
    """Call a gateway's management address; return the status."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
        head = await asyncio.wait_for(reader.readuntil(b"\r\n"), timeout)
        return int(head.split(b" ")[1])
    finally:
        writer.close()


# The project's processes.


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1  # of linux/prctl.h


def end_with_parent():
    """Have the system kill this process when the case ends, however it ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def run_line():
    """Return the line of the deploy file that starts one gateway."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return tomllib.load(file)["run"]


class Processes:
    """The project's processes that a case has started; all end with `end`."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = Path(folder)
        self.started = []

    def _start(self, name, line, environ, descriptors=()):
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen(
            ["/bin/sh", "-c", line],
            cwd=ROOT,
            env={**os.environ, **environ},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            pass_fds=descriptors,
            preexec_fn=end_with_parent,
        )
        log.close()
        self.started.append(process)
        self.record.add(f"started {name}")
        return process

    def gateway(self, name, config, environ=None, descriptors=(), log=None):
        """Start a gateway by the `run` line of the deploy file."""
        path = self.folder / f"{log or name}.json"
        path.write_text(json.dumps(config))
        extra = {"PROXY_CONFIG": str(path), "TMPDIR": str(self.folder), **(environ or {})}
        return self._start(log or name, run_line(), extra, descriptors)

    def control(self, name, path):
        """Start a control process."""
        return self._start(name, f"exec .venv/bin/python -m petrellane control {path}", {})

    def kill(self, process, name, number=signal.SIGKILL):
        """Send a signal to a process that this case started."""
        self.record.add(f"{signal.Signals(number).name} to {name}")
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()

    def end(self):
        """End all processes."""
        for process in self.started:
            if process.poll() is None:
                process.kill()
        for process in self.started:
            process.wait()


async def staff(record, path, *arguments, timeout=30.0):
    """Run `petrellane settings ...`; return its exit code and output."""
    process = await asyncio.create_subprocess_exec(
        str(ROOT / ".venv/bin/python"),
        "-m",
        "petrellane",
        "settings",
        *arguments,
        cwd=ROOT,
        env={**os.environ, "PETRELLANE_CONTROL": str(path)},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        preexec_fn=end_with_parent,
    )
    output, _ = await asyncio.wait_for(process.communicate(), timeout)
    text = output.decode().strip()
    shown = " ".join(Path(str(word)).name for word in arguments[:2])
    record.add(f"settings {shown}: exit {process.returncode}")
    for line in text.splitlines():
        record.add(f"    {line}")
    return process.returncode, text


# The settings of a small deployment.


def method(name, effect, window_s=0.0, deadline_s=6.0, objective_s=2.0, worth=1.0):
    """Return a class of the settings."""
    return {
        "name": name,
        "effect": effect,
        "keyScope": "all",
        "window": int(window_s * 1e6),
        "goalTime": int(objective_s * 1e6),
        "giveUp": int(deadline_s * 1e6),
        "worth": worth,
        "lateWorth": 0.2,
        "streamed": False,
    }


def plan(name, rate=0.0, store=0.0, ceiling_rate=0.0, ceiling_burst=0.0, ceiling_slack=0.0):
    """Return a plan of the settings."""
    return {
        "name": name,
        "quotaRate": rate,
        "storeSize": store,
        "ceilingRate": ceiling_rate,
        "ceilingBurst": ceiling_burst,
        "ceilingSlack": ceiling_slack,
        "maxOut": 0,
        "pays": 1.0,
        "extraWorth": 0.0,
        "overrunCost": 0.6,
    }


def settings(classes, contracts, replicas, *, may_count=False, attempts=5, streams=32):
    """Return a settings object with the figures of the site."""
    return {
        "classes": classes,
        "contracts": contracts,
        "discovery": "ask",
        "familyInfo": {"mayCount": may_count, "counterTimeout": 80_000, "maxUnits": 4},
        "limits": {
            "maxAttempts": attempts,
            "dialTimeout": 250_000,
            "connIdle": 30_000_000,
            "streamsPerConn": streams,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfter": 500_000,
        },
        "locality": "a",
        "obligations": {"cold": 17_000_000, "coldFrom": 0.25},
        "prices": {"crossZone": 0.0},
        "replicasOfMe": replicas,
        "report": {"fields": [], "source": "none"},
    }


def gateway_config(name, listen, discovery, settings_object, **extra):
    """Return the configuration file of a gateway."""
    return {
        "name": name,
        "listen": f"{HOST}:{listen}",
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.listing(),
        "settings": settings_object,
        **extra,
    }


def request(verb, number, method_name, plan_name, deadline_ms, body=None, key=None, spread=1):
    """Return the bytes of a request, and its id."""
    rpc = f"{number:016x}"
    fields = f"c={method_name},t={plan_name},d={deadline_ms}"
    if key:
        fields += f",k={key}"
    fields += f",units=1,spread={spread},first=0"
    parts = [verb, f"{0x1000 + number % 7:016x}", rpc, fields]
    if body is not None:
        parts.append(body)
    return command(*parts), rpc


# Running a case.


def run_case(folder, play, limit_s=110.0):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    Args:
        folder: The folder of the case.
        play: A coroutine function (record, processes, temporary folder, whether the disruption is
            wanted) that returns the violations found, one line each.
        limit_s: The seconds after which the case counts as not run.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"case {Path(folder).name}, TROUBLE={int(has_trouble)}")
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        processes = Processes(record, temporary)

        async def limited():
            return await asyncio.wait_for(
                play(record, processes, Path(temporary), has_trouble), limit_s
            )

        try:
            violations = asyncio.run(limited())
            for line in violations:
                record.add(f"BROKEN {line}")
            code = 1 if violations else 0
        except Exception as error:
            record.add(f"not run: {type(error).__name__}: {error}")
        finally:
            processes.end()
            for path in sorted(Path(temporary).glob("*.log")):
                record.file.write(f"--- log of {path.stem}, last lines\n")
                for line in path.read_text(errors="replace").splitlines()[-12:]:
                    record.file.write(f"    {line[:400]}\n")
    record.add(f"exit {code}")
    record.file.close()
    print(f"case {Path(folder).name}: exit {code}, see {record.path}")
    raise SystemExit(code)
