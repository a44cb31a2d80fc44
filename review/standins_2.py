"""Stand-ins and helpers that the cases 6 to 10 of the review share.

Everything runs in one asyncio loop of the case's own process: hosts, the counter, discovery and
clients. Gateways and control processes are started as processes of their own, with the `run` line
of `deploy/balancer.toml`. All addresses are on 127.0.0.1. Standard library only.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class SetupError(Exception):
    """The case could not run."""


def free_port():
    with socket.create_server((LOOPBACK, 0)) as sock:
        return sock.getsockname()[1]


class Record:
    """Writes `record.txt`: one line for each thing that was sent, answered, run or done."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.4f} {text}\n")
        self.file.flush()


# RESP, read as a sound server or client reads it.


async def read_value(reader):
    """Return one RESP value: bytes, int, list, None, or an error or status line as `Line`."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise ConnectionError("the connection ended")
    kind, text = line[:1], line[1:-2]
    if kind in b"+-":
        return Line(line[:-2].decode("latin-1"))
    if kind == b":":
        return int(text)
    if kind == b"$":
        size = int(text)
        if size < 0:
            return None
        return (await reader.readexactly(size + 2))[:-2]
    if kind == b"*":
        return [await read_value(reader) for _ in range(int(text))]
    raise ConnectionError(f"unreadable: {line!r}")


class Line(str):
    """A status or error line, with its first character."""


def encode(*words):
    parts = [word if isinstance(word, bytes) else str(word).encode() for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)


def fields_of(text):
    return dict(pair.split("=", 1) for pair in text.split(",") if "=" in pair)


class Server:
    """A listening socket on a free port; subclasses handle a connection."""

    def __init__(self):
        self.port = 0
        self.writers = set()
        self.server = None

    @property
    def address(self):
        return f"{LOOPBACK}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self._serve, LOOPBACK, self.port, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, OSError, ValueError):
            await self.serve(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Host(Server):
    """A sound host: begins a command when its last byte has come and answers in order.

    Attributes:
        ran: (time, id, fields) of each command that has come whole, which it runs.
        work_s: How long it works on a command.
    """

    def __init__(self, name, record, work_s=0.02):
        super().__init__()
        self.name = name
        self.record = record
        self.work_s = work_s
        self.ran = []

    def row(self, status="in_service"):
        return {
            "name": self.name, "address": self.address, "zone": "a", "type": "m", "group": 0,
            "status": status, "weight": 1.0, "since_ms": 0,
        }  # fmt: skip

    async def serve(self, reader, writer):
        answers = asyncio.Queue()
        sender = asyncio.create_task(self._send_answers(answers, writer))
        try:
            while True:
                words = await read_value(reader)
                answers.put_nowait(asyncio.create_task(self.answer(words)))
        finally:
            sender.cancel()

    async def _send_answers(self, answers, writer):
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(await (await answers.get()))
                await writer.drain()

    async def answer(self, words):
        verb = words[0].upper()
        if verb == b"PING":
            return b"+PONG\r\n"
        if verb not in (b"SVC.QUERY", b"SVC.SUBMIT"):
            return b"-ERR unknown\r\n"
        rpc, fields = words[2].decode(), fields_of(words[3].decode())
        self.ran.append((time.monotonic(), rpc, fields))
        self.record(f"host {self.name} begins {rpc} {words[3].decode()}")
        await asyncio.sleep(self.work_s)
        value = f"{rpc} by {self.name}".encode()
        self.record(f"host {self.name} answers {rpc}")
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


class Counter(Server):
    """The counter as the protocol page has it."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.totals = {}

    async def serve(self, reader, writer):
        while True:
            words = await read_value(reader)
            verb = words[0].upper()
            if verb == b"CNT.ADD" and len(words) == 4:
                total = self.add(*words[1:])
                text = b"%.7g" % total
                writer.write(b"$%d\r\n%b\r\n" % (len(text), text))
            elif verb == b"PING":
                writer.write(b"+PONG\r\n")
            elif verb in (b"CLIENT", b"SELECT"):
                writer.write(b"+OK\r\n")
            else:
                writer.write(b"-ERR no such call\r\n")
            await writer.drain()

    def add(self, name, amount, life_ms):
        now = time.monotonic()
        ends, total = self.totals.get(name, (0.0, 0.0))
        if ends <= now:
            ends, total = now + min(60.0, int(life_ms) / 1e3), 0.0
        total += float(amount)
        self.totals[name] = (ends, total)
        self.record(f"counter {name.decode()} {amount.decode()} gives {total:.7g}")
        return total


class Discovery(Server):
    """Discovery's agent: the whole list, and watches that are held as long as they ask."""

    def __init__(self, rows):
        super().__init__()
        self.rows = {row["name"]: row for row in rows}
        self.index = 1
        self.changed_at = dict.fromkeys(self.rows, 1)
        self.news = asyncio.Event()
        self.is_up = asyncio.Event()  # while it is down, it takes connections and is silent
        self.is_up.set()

    def change(self, row):
        self.index += 1
        self.rows[row["name"]] = row
        self.changed_at[row["name"]] = self.index
        news, self.news = self.news, asyncio.Event()
        news.set()

    async def serve(self, reader, writer):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            path = head.split(" ")[1]
            query = fields_of(path.partition("?")[2].replace("&", ","))
            since = int(query["from"]) if "from" in query else None
            if since is not None and since >= self.index:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.news.wait(), int(query.get("hold_ms", 0)) / 1e3)
            await self.is_up.wait()
            rows = [
                row
                for name, row in self.rows.items()
                if since is None or self.changed_at[name] > since
            ]
            body = json.dumps(
                {"index": self.index, "snapshot": since is None, "endpoints": rows}
            ).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
            )
            await writer.drain()


class Client:
    """One connection of a sound client, which reads its answers in order.

    Attributes:
        answers: (time, answer) by id of the request, once it has come.
    """

    opened = []

    def __init__(self, record, name="client"):
        self.record = record
        self.name = name
        self.answers = {}
        self.sent_at = {}
        self.waiting = asyncio.Queue()
        self.ended = False

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, port, limit=1 << 23)
        self.opened.append(self)
        self.task = asyncio.create_task(self._read())
        return self

    def send(self, verb, customer, rpc, fields, body=None):
        words = [verb, customer, rpc, fields] + ([] if body is None else [body])
        self.expect(rpc, f"{verb} {customer} {rpc} {fields}")
        self.writer.write(encode(*words))

    def expect(self, rpc, text):
        """Note that the request's last byte is being written."""
        self.sent_at[rpc] = time.monotonic()
        self.waiting.put_nowait(rpc)
        self.record(f"{self.name} sends {text}")

    async def _read(self):
        try:
            while True:
                answer = await read_value(self.reader)
                rpc = await self.waiting.get()
                self.answers[rpc] = (time.monotonic(), answer)
                self.record(f"{self.name} reads for {rpc}: {answer!r}")
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
            self.ended = True
            self.record(f"{self.name} finds its connection ended ({type(error).__name__})")

    async def answer_to(self, rpc, seconds):
        """Return the answer to a request, or None if none comes in so many seconds."""
        until = time.monotonic() + seconds
        while rpc not in self.answers and time.monotonic() < until and not self.ended:
            await asyncio.sleep(0.005)
        return self.answers[rpc][1] if rpc in self.answers else None

    def close(self):
        self.task.cancel()
        self.writer.close()


def is_served(answer):
    """Return whether an answer means that a host has served the request."""
    return isinstance(answer, bytes)


async def ping(port):
    """Return the answer to PING on a connection of its own; None if there is none within 1 s."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(encode("PING"))
            answer = await read_value(reader)
            writer.close()
            return answer
    except (OSError, ConnectionError, TimeoutError):
        return None


async def call(port, method, path):
    """Make a management call; return its status, or None if there is none within 1 s."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
            status = int((await reader.readline()).split()[1])
            writer.close()
            return status
    except (OSError, ConnectionError, TimeoutError, ValueError, IndexError):
        return None


async def until(condition, seconds, what):
    """Wait for a condition, which may be a coroutine function."""
    limit = time.monotonic() + seconds
    while True:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        if time.monotonic() > limit:
            raise SetupError(f"not within {seconds} s: {what}")
        await asyncio.sleep(0.02)


class Case:
    """The processes, the folder and the record of one run; ends all that it has started."""

    def __init__(self, script):
        self.folder = Path(script).resolve().parent
        self.record = Record(self.folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-case-"))
        self.processes = []
        self.servers = []
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        self.run_line = deploy["run"]

    async def serve(self, server):
        self.servers.append(await server.start())
        return server

    def gateway_config(self, name, port, discovery, counter, settings, hosts, **more):
        config = {
            "name": name,
            "listen": f"{LOOPBACK}:{port}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "counter": counter.address,
            "known": {"index": 1, "snapshot": True, "endpoints": [host.row() for host in hosts]},
            "settings": settings,
            **more,
        }
        path = self.temporary / f"{name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        return path

    def start(self, name, line, variables=None, descriptors=()):
        """Start a process by a line of /bin/sh, from the root."""
        environ = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        environ["TMPDIR"] = str(self.temporary)
        environ.update(variables or {})
        log = open(self.temporary / f"{name}.log", "ab")
        process = subprocess.Popen(
            ["/bin/sh", "-c", line], cwd=ROOT, env=environ, stdin=subprocess.DEVNULL,
            stdout=log, stderr=subprocess.STDOUT, pass_fds=descriptors,
        )  # fmt: skip
        log.close()
        self.processes.append((name, process))
        self.record(f"process {name} starts")
        return process

    def start_gateway(self, name, path, variables=None, descriptors=()):
        variables = {"PROXY_CONFIG": str(path), **(variables or {})}
        return self.start(name, self.run_line, variables, descriptors)

    def signal(self, name, process, number):
        self.record(f"{signal.Signals(number).name} to {name}")
        process.send_signal(number)

    def log_of(self, name):
        return (self.temporary / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    def close(self):
        for server in self.servers:
            server.stop()
        for _, process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for name, _ in self.processes:
            for line in self.log_of(name).splitlines():
                if '"event":"fault"' in line:
                    text = line.partition('"error":')[2].partition(',"trace"')[0]
                    self.record(f"log of {name}, the first fault: {text}")
                    break
        shutil.rmtree(self.temporary, ignore_errors=True)


def run(script, play):
    """Play a case: `play(case)` returns whether the rule held; exit as the review asks."""

    async def main():
        case = Case(script)
        try:
            async with asyncio.timeout(110):
                held = await play(case)
        except Exception as error:  # whatever it is, it says nothing of the rule
            case.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            for client in Client.opened:
                client.close()
            case.close()
            await asyncio.sleep(0.1)
        verdict = "the rule held" if held else "the rule was broken"
        case.record(verdict)
        print(verdict)
        return HELD if held else BROKEN

    sys.exit(asyncio.run(main()))


def settings(classes, contracts, gateways=1, **changes):
    """Return a settings object like that of the wire page, for a small deployment."""
    base = {
        "classes": classes,
        "clients": {"marksRetry": True},
        "contracts": contracts,
        "discovery": "push",
        "failureDomains": ["a"],
        "familyInfo": {"costAfter": False, "countFee": 0.005, "counterTimeout": 80000,
                       "mailPerS": 0.0, "maxUnits": 3, "mayCount": True, "metering": 0},
        "limits": {"connIdle": 30000000, "dialTimeout": 250000, "maxAttempts": 5,
                   "maxOpen": 20000, "maxRetryAfter": 500000, "mayCancel": True, "peers": False,
                   "probes": False, "retryAfter": True, "secondCopies": False,
                   "streamsPerConn": 32},
        "locality": "a",
        "models": ["m"],
        "obligations": {"answerSlack": 16000, "askEvery": 10000000, "cold": 17000000,
                        "coldFrom": 0.25, "overloadFor": 1500000, "stopSendingWithin": 500000,
                        "tipMultiple": 2.0},
        "prices": {"crossZone": 0.0},
        "replicasOfMe": gateways,
        "report": {"fields": [], "source": "none"},
        "slotNo": 0,
        "tick": 4000,
        "tier": 0,
        "weightKind": "none",
    }  # fmt: skip
    return base | changes


LOOKUP = {"effect": "pure", "giveUp": 4000000, "goalTime": 1000000, "keyScope": "all",
          "lateWorth": 0.2, "name": "rate-lookup", "streamed": False, "window": 0,
          "worth": 1.0}  # fmt: skip
