"""Case 10: a client sends two commands at once and takes seconds to read each long answer."""

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as s  # noqa: E402

PLAN = {"name": "city-chain", "quotaRate": 100.0, "storeSize": 300.0, "ceilingRate": 0.0,
        "ceilingBurst": 0.0, "ceilingSlack": 0.0, "maxOut": 0, "pays": 1.3, "extraWorth": 0.0,
        "overrunCost": 0.6}  # fmt: skip
CUSTOMER = "00000000b4d65521"
REQUESTS = 2
VALUE = 4 * 1024 * 1024  # bytes; "Some values are long, up to 4 MiB"
PIECE = 64 * 1024  # bytes that the client reads at once
READ_S = 13.0 if s.TROUBLE else 1.0  # in which the client reads one answer


class LongHost(s.Host):
    """A sound host whose values have 4 MiB and begin with the id of the request."""

    async def answer(self, words):
        if words[0].upper() != b"SVC.QUERY":
            return await super().answer(words)
        rpc = words[2].decode()
        self.record(f"host {self.name} begins {rpc}")
        await asyncio.sleep(self.work_s)
        value = f"{rpc} by {self.name} ".encode().ljust(VALUE, b".")
        self.record(f"host {self.name} answers {rpc}")
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


async def play(case):
    hosts = [await case.serve(LongHost(f"s-{number}", case.record)) for number in range(4)]
    counter = await case.serve(s.Counter(case.record))
    discovery = await case.serve(s.Discovery([host.row() for host in hosts]))
    port = s.free_port()
    settings = s.settings([s.LOOKUP], [PLAN])
    path = case.gateway_config("g0", port, discovery, counter, settings, hosts)
    case.start_gateway("g0", path)
    await s.until(lambda: s.ping(port), 30, "the gateway answers PING")

    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        sock.setblocking(False)
        await loop.sock_connect(sock, (s.LOOPBACK, port))
        sent = [f"{0xF000000000000000 + number:016x}" for number in range(REQUESTS)]
        fields = "c=rate-lookup,t=city-chain,d=4000,units=1,spread=1,first=0"
        await loop.sock_sendall(
            sock, b"".join(s.encode("SVC.QUERY", CUSTOMER, rpc, fields) for rpc in sent)
        )
        began = time.monotonic()
        case.record(f"client sends {', '.join(sent)}")
        head = b"$%d\r\n" % VALUE
        whole = len(head) + VALUE + 2
        received, ended = 0, "it has all"
        first = bytearray()
        while received < REQUESTS * whole:
            try:
                data = await asyncio.wait_for(loop.sock_recv(sock, PIECE), 5.0)
            except TimeoutError:
                ended = "nothing came for 5 s"
                break
            except ConnectionError as error:
                ended = f"the gateway ended the connection ({type(error).__name__})"
                break
            if not data:
                ended = "the gateway ended the connection"
                break
            received += len(data)
            first += data[: max(0, 64 - len(first))]
            if received // (1 << 20) != (received - len(data)) // (1 << 20):
                case.record(f"client has read {received} bytes")
            due = began + READ_S * received / whole
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        took = time.monotonic() - began
    if not first.startswith(head):
        raise s.SetupError(f"no long answer: {bytes(first)!r}")
    answers = received // whole
    case.record(f"client has {answers} whole answers, {received} bytes in {took:.1f} s; {ended}")
    print(f"{answers} of {REQUESTS} answers, {received} of {REQUESTS * whole} bytes in {took:.1f} s, {ended}")
    return answers == REQUESTS


s.run(__file__, play)
