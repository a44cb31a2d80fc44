"""Case 9: a new configuration lacks keys, among them those of a plan's hard ceiling."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as s  # noqa: E402

# The plan of the wire page's example.
PLAN = {"name": "national-chain", "quotaRate": 20.0, "storeSize": 51.0, "ceilingRate": 45.0,
        "ceilingBurst": 117.0, "ceilingSlack": 12.0, "maxOut": 0, "pays": 1.8,
        "extraWorth": 0.0, "overrunCost": 0.6}  # fmt: skip
LACKING = ("quotaRate", "storeSize", "ceilingRate", "ceilingBurst", "ceilingSlack")
CUSTOMER = "00000000b4d65521"
UNITS = 3  # "maxUnits": 3
RATE = 50  # requests a second, that is 150 units: 7.5 times the quota
SECONDS = 10
SOCKET_SLACK_S = 0.15  # "its slack is wider by what the ceiling's rate gives in 150 ms"


async def play(case):
    hosts = [await case.serve(s.Host(f"s-{number}", case.record)) for number in range(9)]
    counter = await case.serve(s.Counter(case.record))
    discovery = await case.serve(s.Discovery([host.row() for host in hosts]))
    port = s.free_port()
    settings = s.settings([s.LOOKUP], [PLAN])
    path = case.gateway_config("g0", port, discovery, counter, settings, hosts)
    gateway = case.start_gateway("g0", path)
    await s.until(lambda: s.ping(port), 30, "the gateway answers PING")
    await asyncio.sleep(4.0)  # "That signal never comes in its first second"

    if s.TROUBLE:
        config = json.loads(path.read_text(encoding="utf-8"))
        plan = config["settings"]["contracts"][0]
        for key in LACKING:
            del plan[key]
        new = path.with_suffix(".new")
        new.write_text(json.dumps(config), encoding="utf-8")
        new.rename(path)
        case.record(f"the file is replaced; its plan {PLAN['name']} lacks {', '.join(LACKING)}")
    case.signal("g0", gateway, signal.SIGHUP)
    await asyncio.sleep(2.0)

    clients = [await s.Client(case.record, f"client {n}").connect(port) for n in range(10)]
    for number in range(RATE * SECONDS):
        client = clients[number % len(clients)]
        fields = f"c=rate-lookup,t=national-chain,d=4000,units={UNITS},spread=1,first=0"
        client.send("SVC.QUERY", CUSTOMER, f"{0xE000000000000000 + number:016x}", fields)
        await asyncio.sleep(1 / RATE)
    await asyncio.sleep(1.0)

    # The store of the ceiling: full at first, filled at its rate, one draw for each request's
    # first attempt.
    attempts = sorted(attempt for host in hosts for attempt in host.ran)
    store, filled_at, lowest, seen = PLAN["ceilingBurst"], None, PLAN["ceilingBurst"], set()
    for at, rpc, fields in attempts:
        if rpc in seen:
            continue
        seen.add(rpc)
        if filled_at is not None:
            store = min(PLAN["ceilingBurst"], store + (at - filled_at) * PLAN["ceilingRate"])
        filled_at = at
        store -= float(fields["units"])
        lowest = min(lowest, store)
    slack = PLAN["ceilingSlack"] + SOCKET_SLACK_S * PLAN["ceilingRate"]
    case.record(
        f"{RATE * SECONDS} requests, {len(seen)} sent on, {len(seen) * UNITS} units; the store's lowest "
        f"level was {lowest:.1f}, allowed is {-slack:.2f}"
    )
    print(f"{len(seen)} of {RATE * SECONDS} sent on; lowest level of the ceiling {lowest:.1f}, allowed {-slack:.2f}")
    return lowest >= -slack


s.run(__file__, play)
