"""Case 7: a customer on a plan with a hard ceiling and no quota presses against its ceiling."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as s  # noqa: E402

# The figures of the ceiling are those of the example of the wire page.
PLAN = {"name": "national-chain", "quotaRate": 0, "storeSize": 0, "ceilingRate": 45.0,
        "ceilingBurst": 117.0, "ceilingSlack": 12.0, "maxOut": 0, "pays": 1.8,
        "extraWorth": 0.0, "overrunCost": 0.6}  # fmt: skip
CUSTOMER = "00000000b4d65521"
GATEWAYS = 2  # of which the customer uses both; the requests of this case come through one
DEADLINE_S = 2.0
ANSWER_SLACK_S = 0.5  # "Up to half a second after its time it only earns nothing"
SECONDS = 12.0


async def play(case):
    hosts = [await case.serve(s.Host(f"s-{number}", case.record)) for number in range(4)]
    counter = await case.serve(s.Counter(case.record))
    discovery = await case.serve(s.Discovery([host.row() for host in hosts]))
    settings = s.settings([s.LOOKUP], [PLAN], GATEWAYS)
    ports = []
    for number in range(GATEWAYS):
        port = s.free_port()
        own = settings | {"slotNo": number}
        path = case.gateway_config(f"g{number}", port, discovery, counter, own, hosts)
        case.start_gateway(f"g{number}", path)
        ports.append(port)
    for port in ports:
        await s.until(lambda port=port: s.ping(port), 30, "the gateway answers PING")

    await asyncio.sleep(5.0)  # a gateway's part of the ceiling is empty at its start, and fills

    # The customer's share here refills with 22.5 units a second. Inside it, or two times beyond.
    rate = 30.0 if s.TROUBLE else 8.0
    client = await s.Client(case.record).connect(ports[0])
    sent = []
    for number in range(int(SECONDS * rate)):
        rpc = f"{0xA000000000000000 + number:016x}"
        fields = f"c=rate-lookup,t=national-chain,d={int(DEADLINE_S * 1e3)},units=2,spread=2,first=0"
        connection = client
        if number % 10 == 9:  # many connections, so that one answer does not wait for another
            client = await s.Client(case.record).connect(ports[0])
        connection.send("SVC.QUERY", CUSTOMER, rpc, fields)
        sent.append((connection, rpc))
        await asyncio.sleep(1 / rate)
    await asyncio.sleep(DEADLINE_S + ANSWER_SLACK_S + 1.0)

    # On a connection, answers come in order: of each connection only the first that has none is
    # counted, as those behind it may wait for it.
    lost, late, counted = [], [], set()
    for connection, rpc in sent:
        if rpc in connection.answers:
            if connection.answers[rpc][0] - connection.sent_at[rpc] > DEADLINE_S + ANSWER_SLACK_S:
                late.append(rpc)
        elif connection not in counted:
            counted.add(connection)
            lost.append(rpc)
    served = sum(s.is_served(c.answers[r][1]) for c, r in sent if r in c.answers)
    case.record(f"{len(sent)} sent, {served} served, never answered: {len(lost)} {lost[:5]}, late: {len(late)}")
    print(f"{len(sent)} requests, {served} served, {len(lost)} never answered, {len(late)} late")
    return not lost and not late


s.run(__file__, play)
