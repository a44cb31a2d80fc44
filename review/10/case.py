"""Case 10: the process of a gateway is replaced while discovery is down; a host has gone before."""

import asyncio
import signal
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
RATE = 20  # requests a second
GRACE_S = 0.5  # "Drains kept: nothing new ... later than 500 ms after"
SOCKET_SLACK_S = 0.05  # "every time limit is 50 ms longer"
BINDS_AFTER_S = 2.0  # "What discovery tells binds 2 s after the yes"
OUTAGE_S = 8.0  # "discovery is down for 8 s, into the start of a release"


async def play(case):
    hosts = [await case.serve(s.Host(f"s-{number}", case.record)) for number in range(4)]
    leaving = hosts[0]
    counter = await case.serve(s.Counter(case.record))
    discovery = await case.serve(s.Discovery([host.row() for host in hosts]))
    managements = [s.free_port(), s.free_port()]
    listener = socket.create_server((s.LOOPBACK, 0), backlog=128)
    port = listener.getsockname()[1]
    settings = s.settings([s.LOOKUP], [PLAN])
    path = case.gateway_config("g0", port, discovery, counter, settings, hosts)

    def start(name, management):
        variables = {
            "PROXY_LISTEN_FD": str(listener.fileno()),
            "PROXY_MANAGEMENT": f"{s.LOOPBACK}:{management}",
        }
        return case.start_gateway(name, path, variables, (listener.fileno(),))

    async def is_ready(management):
        return await s.call(management, "GET", "/-/ready") == 200

    old = start("g0-old", managements[0])
    await s.until(lambda: is_ready(managements[0]), 30, "the old process says yes")
    traffic = asyncio.create_task(send(case, port))
    await asyncio.sleep(2.0)
    if not leaving.ran:
        raise s.SetupError("the host got nothing before it was gone")

    case.record(f"discovery tells that {leaving.name} is gone; it still answers")
    discovery.change(leaving.row("terminated"))
    told_at = time.monotonic()
    await asyncio.sleep(2.0)
    by_old = [at for at, _, _ in leaving.ran if at > told_at + GRACE_S + SOCKET_SLACK_S]

    if s.TROUBLE:
        discovery.is_up.clear()
        case.record("discovery is down")
    down_at = time.monotonic()
    await asyncio.sleep(0.5)
    start("g0-new", managements[1])
    await s.until(lambda: is_ready(managements[1]), 6, "the new process says yes")
    yes_at = time.monotonic()
    case.record("the new process says yes")
    case.signal("g0-old", old, signal.SIGTERM)
    await asyncio.sleep(max(0.0, down_at + OUTAGE_S - time.monotonic()))
    up_at = time.monotonic()
    discovery.is_up.set()
    case.record("discovery is up")
    await asyncio.sleep(0.5)
    traffic.cancel()
    bound_at = yes_at + BINDS_AFTER_S + GRACE_S + SOCKET_SLACK_S
    by_new = [at for at, _, _ in leaving.ran if bound_at < at < up_at]
    since_yes = [at for at, _, _ in leaving.ran if yes_at < at]
    case.record(
        f"{leaving.name} got {len(by_old)} too late before the restart, {len(since_yes)} since the "
        f"yes, {len(by_new)} of them later than the bound and before discovery was up again"
    )
    print(f"sent to the host that is gone: {len(by_old)} before, {len(since_yes)} since the yes, {len(by_new)} too late")
    return not by_old and not by_new


async def send(case, port):
    """Send requests on one connection after the other, as those that rest may be closed."""
    client = None
    for number in range(10_000):
        if client is None or client.ended:
            client = await s.Client(case.record).connect(port)
        rpc = f"{0xC000000000000000 + number:016x}"
        fields = "c=rate-lookup,t=city-chain,d=4000,units=1,spread=1,first=0"
        client.send("SVC.QUERY", CUSTOMER, rpc, fields)
        await asyncio.sleep(1 / RATE)


s.run(__file__, play)
