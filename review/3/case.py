"""The old process of a hot restart admits requests under settings that are no longer in force."""

import asyncio
import copy
import json
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (
    HOST,
    Client,
    Discovery,
    Host,
    command,
    free_port,
    gateway_config,
    http,
    is_served,
    method,
    plan,
    ready,
    request,
    run_case,
    settings,
    staff,
)

NAMES = ("g1", "g2", "g3")
PIECE = 16 * 1024  # bytes that a slow client writes at a time
BODY_SIZE = 3_900_000  # of at most 4 MiB
MEMORY_MB = 48  # of 32 to 192; the room for long bodies is an eighth of it
PIECE_EVERY_S = 0.2
NEW_CLASS_AFTER_S = 1.2  # clients use a new class so long after the change
OLD, NEW = "lodge-old", "lodge-new"


async def hold_room(client, record, changed):
    """Write most of a long command, then go on slowly and end it once the change is in force."""
    data = long_command(1)
    record.add(f"client 1 begins {1:016x} of class {OLD}, a body of {BODY_SIZE} bytes, in pieces")
    sent = len(data) - 400 * 1024
    await client.send(data[:sent])
    try:
        while not changed.is_set():
            await asyncio.sleep(PIECE_EVERY_S)
            await client.send(data[sent : sent + 1024])
            sent += 1024
        await client.send(data[sent:])
        record.add(f"client 1 ends {1:016x}: {await client.reply()!r}")
    except (OSError, EOFError):
        record.add("client 1 finds its connection closed")


async def upload(client, record, settled):
    """Write a long command slowly; when the change has settled, end it with two short ones behind.

    Returns:
        The three replies.
    """
    data = long_command(2)
    record.add(f"client 2 begins {2:016x} of class {OLD}, a body of {BODY_SIZE} bytes, in pieces")
    sent = len(data) - 800 * 1024
    sending = asyncio.create_task(client.send(data[:sent]))
    while not settled.is_set():
        await asyncio.sleep(PIECE_EVERY_S)
        if sending.done() and sent < len(data) - 2 * PIECE:
            sending = asyncio.create_task(client.send(data[sent : sent + PIECE]))
            sent += PIECE
    await sending
    # Two commands follow whose first byte is sent after the change.
    last_old, old_rpc = request("SVC.SUBMIT", 3, OLD, "national-chain", 3000, b"sale")
    last_new, new_rpc = request("SVC.SUBMIT", 4, NEW, "national-chain", 3000, b"sale")
    while len(data) - sent > PIECE:
        await client.send(data[sent : sent + PIECE])
        sent += PIECE
        await asyncio.sleep(0.01)
    await client.send(data[sent:] + last_old + last_new)
    record.add(f"client 2 ends {2:016x}, sends {old_rpc} of class {OLD}, {new_rpc} of class {NEW}")
    return [await client.reply() for _ in range(3)]


def long_command(number):
    """Return a command with a long body."""
    customer = f"{0x1000 + number:016x}"
    return command("SVC.SUBMIT", customer, f"{number:016x}", fields_text(OLD, 6000), bytes(BODY_SIZE))


def fields_text(method_name, deadline_ms):
    """Return the list of names and values of a request."""
    return f"c={method_name},t=national-chain,d={deadline_ms},units=1,spread=1,first=0"


async def play(record, processes, folder, has_trouble):
    """Play the case."""
    host = await Host(record, "host-1").start()
    discovery = await Discovery([host]).start()
    before = settings(
        [method("rate-lookup", "pure"), method(OLD, "side_effect")],
        [plan("national-chain")],
        len(NAMES),
    )
    after = copy.deepcopy(before)
    after["classes"][1] = method(NEW, "side_effect")
    (folder / "after.json").write_text(json.dumps(after))
    (folder / "key").write_text("0123456789abcdef0123456789abcdef\n")
    listen = {name: free_port() for name in NAMES}
    management = {name: free_port() for name in (*NAMES, "g1-next")}
    members = {name: f"{HOST}:{management[name]}" for name in NAMES}
    members["g1"] = [members["g1"], f"{HOST}:{management['g1-next']}"]
    held = socket.socket()
    held.bind((HOST, listen["g1"]))
    held.listen(1024)
    held.set_inheritable(True)

    def start(name, log):
        state = folder / f"state-{name}"
        state.mkdir(exist_ok=True)
        agreement = {"key_file": str(folder / "key"), "state": str(state), "members": members}
        address = f"{HOST}:{management[log]}"
        config = gateway_config(
            name, listen[name], discovery, before, management=address, agreement=agreement
        )
        environ = {"PROXY_LISTEN_FD": str(held.fileno())} if name == "g1" else {}
        descriptors = (held.fileno(),) if name == "g1" else ()
        config["limits"]["memory_mb"] = MEMORY_MB
        return processes.gateway(name, config, environ, descriptors, log)

    old = start("g1", "g1")
    for name in ("g2", "g3"):
        start(name, name)
    for name in NAMES:
        await ready(listen[name])
    rows = "".join(f"{name} = {json.dumps(address)}\n" for name, address in members.items())
    control = folder / "control.toml"
    control.write_text(
        f'name = "control-a"\nlisten = "{HOST}:{free_port()}"\njournal = "control.db"\n'
        f'key_file = "key"\n\n[gateways]\n{rows}'
    )
    processes.control("control", control)
    for _ in range(20):
        if "leading" in (await staff(record, control, "status"))[1]:
            break
        await asyncio.sleep(0.3)

    first = await Client.connect(listen["g1"])
    changed = asyncio.Event()
    holding = asyncio.create_task(hold_room(first, record, changed))
    await asyncio.sleep(0.3)
    client = await Client.connect(listen["g1"])
    settled = asyncio.Event()
    uploading = asyncio.create_task(upload(client, record, settled))
    await asyncio.sleep(0.3)
    if has_trouble:
        start("g1", "g1-next")
        for _ in range(120):
            try:
                if await http(management["g1-next"], "GET", "/-/ready") == 200:
                    break
            except OSError:
                pass
            await asyncio.sleep(0.05)
        else:
            raise RuntimeError("the next process was not ready within 6 s")
        record.add("the next process of g1 is ready")
    code, _ = await staff(record, control, "propose", str(folder / "after.json"))
    if code:
        raise RuntimeError("the change was not made")
    changed_at = record.add("the change is reported as in force at every gateway")
    changed.set()
    await staff(record, control, "status")
    await asyncio.sleep(max(0.0, changed_at + NEW_CLASS_AFTER_S - record.now()))
    settled.set()
    replies = await uploading
    await holding
    for number, reply in enumerate(replies, 2):
        record.add(f"reply {number}: {reply!r}")
    if has_trouble:
        processes.kill(old, "the old process of g1", signal.SIGTERM)
    await asyncio.sleep(0.5)
    runs = [(round(at, 3), rpc.decode(), name) for at, rpc, name, _ in host.runs]
    record.add(f"run by the host: {runs}")
    violations = []
    if is_served(replies[1]):
        violations.append(f"{OLD} was admitted {NEW_CLASS_AFTER_S} s after it was gone")
    if replies[2] == b"-ERR c: no such method":
        violations.append(f"{NEW} is not known to a process that serves, though in force")
    return violations


run_case(Path(__file__).resolve().parent, play)
