"""A fleet on loopback: gateways, a control process where it is asked for, stand-ins and relays, put together.

`Lab` is a context: whatever happens within, all its processes have ended after it. Work with it from the outside through
`until` and `play`, which run the scheduler; or as greenlets of its scheduler.
"""

import contextlib
import os
import random
import shutil
import signal
import socket
import tempfile
import time
from dataclasses import dataclass, field

import orjson

from petrellane import invariants
from petrellane.net.scheduler import Scheduler
from petrellane.testbed.clients import Clients, Customer, Front, Method
from petrellane.testbed.fakes import Counter, Discovery, Host
from petrellane.testbed.processes import Process
from petrellane.testbed.records import SETTLE_S, Records
from petrellane.testbed.relay import Relay

MICRO = 1_000_000
EFFECTS = {"idempotent": "pure", "deduplicated": "token", "non-idempotent": "side_effect"}


def settings(
    gateways, more=(), without=(), attempts=4, quota=0.0, ceiling=0.0, cold=0.0, cold_from=1.0
):
    """Settings of a run: three methods, and those of `more` (idempotent); two plans, of which `sold` has the quota and the
    ceiling, in units a second; a host is `cold` for so many seconds, and has the share `cold_from` when it starts."""
    methods = [
        {
            "name": "look",
            "effect": "pure",
            "goalTime": MICRO,
            "giveUp": 2 * MICRO,
            "worth": 1,
            "lateWorth": 0.5,
        },
        {
            "name": "lodge",
            "effect": "token",
            "keyScope": "all",
            "window": 4 * MICRO,
            "goalTime": MICRO,
            "giveUp": 2 * MICRO,
            "worth": 2,
            "lateWorth": 0.5,
        },
        {
            "name": "post",
            "effect": "side_effect",
            "goalTime": MICRO,
            "giveUp": 2 * MICRO,
            "worth": 3,
        },
    ]
    methods += [
        {"name": name, "effect": "pure", "goalTime": MICRO, "giveUp": 2 * MICRO, "worth": 1}
        for name in more
    ]
    sold = {"name": "sold", "quotaRate": quota, "storeSize": 2 * quota, "pays": 1}
    if ceiling:
        sold |= {"ceilingRate": ceiling, "ceilingBurst": ceiling, "ceilingSlack": ceiling / 10}
    return {
        "classes": [row for row in methods if row["name"] not in without],
        "contracts": [{"name": "free", "pays": 1}, sold],
        "familyInfo": {"mayCount": True, "counterTimeout": 80_000},
        "limits": {
            "connIdle": 30 * MICRO,
            "dialTimeout": 250_000,
            "maxAttempts": attempts,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfter": 500_000,
            "streamsPerConn": 4,
        },
        "obligations": {"cold": int(cold * MICRO), "coldFrom": cold_from},
        "discovery": "push",
        "replicasOfMe": gateways,
    }


@dataclass
class Shape:
    """What a lab is made of. `relays`: between which kinds of party faults can be put, of "clients", "counter",
    "discovery", "hosts" (one for each gateway and host), "agents" (control processes and gateways to gateways),
    "agents-of-control" (control processes alone)."""

    gateways: int = 3
    hosts: int = 6
    seed: int = 1
    agreement: bool = False
    relays: tuple = ("clients", "counter", "discovery", "agents")
    settings: dict | None = None
    work: float = 0.02
    slots: int = 8
    queue: int = 32
    rate: float = 100.0
    methods: list = field(
        default_factory=lambda: [
            Method("look", 0.6),
            Method("lodge", 0.25, "deduplicated"),
            Method("post", 0.15, "non-idempotent"),
        ]
    )
    customers: list | None = None
    proves: dict = field(default_factory=dict)
    follow: bool = False  # the lab holds the clients' listening sockets, so that processes can follow each other


class Gateway:
    """One gateway of the fleet: its addresses, its file, its process."""

    def __init__(self, lab, number):
        self.name, self.lab, self.number = f"g{number}", lab, number
        self.listen, self.management = lab.port(), lab.port()
        self.folder = os.path.join(lab.folder, self.name)
        os.makedirs(os.path.join(self.folder, "state"))
        self.file = os.path.join(self.folder, "config.json")
        self.events, self.process, self.ready, self.skew = [], None, False, 0.0
        self.build = {}  # what is run in place of this build: python, cwd, module
        self.environ, self.before = {}, []  # of the next process; processes that were followed
        self.listener = None
        if lab.shape.follow:
            self.listener = socket.create_server((lab.ip, self.listen), backlog=256)
            self.other = lab.port()  # where the process that follows has its management

    def told(self):
        """Its configuration."""
        lab = self.lab
        told = {
            "name": self.name,
            "listen": "%s:%d" % (lab.ip, self.listen),
            "management": "%s:%d" % (lab.ip, self.management),
            "discovery": lab.way(("discovery", self.name)),
            "counter": lab.way(("counter", self.name)),
            "seed": "%016x" % (lab.shape.seed * 1000 + self.number),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"index": 1, "snapshot": True, "endpoints": lab.discovery.seen(self.name)},
            "figures": {"hosts": True},
            "settings": {**lab.settings, "locality": "z"},
        }
        if lab.shape.agreement:
            told["agreement"] = {
                "key_file": lab.key_file,
                "state": os.path.join(self.folder, "state"),
                "members": {other.name: other.managed(self.name) for other in lab.gateways},
            }
        return told

    def managed(self, of):
        """Where another party reaches its management: an address, or those of two processes that follow each other."""
        way = self.lab.way(("agent", of, self.name))
        return [way, "%s:%d" % (self.lab.ip, self.other)] if self.listener else way

    def write(self, told=None):
        beside = self.file + ".new"
        with open(beside, "wb") as file:
            file.write(orjson.dumps(told or self.told()))
        os.rename(beside, self.file)

    def start(self):
        assert not (self.process and self.process.up), f"{self.name} runs"
        if self.process:
            self.process.close()
        self.ready = False
        self.lab.records.note(f"{self.name} starts")
        for relay in self.ways():
            relay.follow()
        self.process = self.run()

    def ways(self):
        """The relays that lead to it."""
        return self.lab.between("client", "agent", to=[self.name])

    def run(self, **environ):
        environ = {"PROXY_CONFIG": self.file, "TMPDIR": self.folder, **self.environ, **environ}
        descriptors = ()
        if self.listener:
            descriptors = (self.listener.fileno(),)
            environ["PROXY_LISTEN_FD"] = str(self.listener.fileno())
        return Process(
            self.lab.scheduler,
            self.name,
            ["serve"],
            environ,
            self.heard,
            self.ended,
            self.lab.folder,
            self.skew,
            descriptors=descriptors,
            **self.build,
        )

    def replace(self):
        """Start another process beside the one that runs, which follows it; the old one is told to end once it has."""
        self.lab.records.note(f"{self.name} is replaced")
        began = len(self.events)
        old, self.process = (
            self.process,
            self.run(PROXY_MANAGEMENT="%s:%d" % (self.lab.ip, self.other)),
        )
        self.before.append(old)
        self.lab.until(
            lambda: any(one["event"] == "started" for one in self.events[began:]),
            f"{self.name} follows itself",
        )
        old.expected = True
        old.signal(signal.SIGTERM)

    def heard(self, process, event):
        self.events.append(event)
        self.lab.heard(self, event)
        if event["event"] == "started":
            self.ready = True

    def ended(self, process):
        self.ready = self.ready and process is not self.process
        if process is self.process:
            for relay in self.ways():
                relay.follow()
        if not process.expected and process.process.returncode:
            self.lab.discovery.forget(self.name)
            self.lab.records.on_gateway_killed(self.name)
            self.lab.crashed(self.name, process)

    def kill(self):
        """Kill it outright: what it had taken is nobody's to answer."""
        self.lab.records.note(f"{self.name} is killed")
        self.ready = False
        self.process.kill()
        self.process.process.wait()
        for relay in self.ways():
            relay.follow()
        self.lab.discovery.forget(self.name)
        self.lab.records.on_gateway_killed(self.name)

    def stop(self):
        self.lab.records.note(f"{self.name} is stopped")
        self.process.stop()
        self.lab.records.add(
            invariants.GatewayLifecycle(self.lab.records.now(), self.name, "paused")
        )

    def go_on(self):
        self.lab.records.note(f"{self.name} goes on")
        self.process.go_on()
        self.lab.records.add(
            invariants.GatewayLifecycle(self.lab.records.now(), self.name, "resumed")
        )

    def last(self, name):
        """The last event of this name, or None."""
        return next((event for event in reversed(self.events) if event["event"] == name), None)


class Control:
    """A control process: its file, and its process."""

    def __init__(self, lab, name, journal=None, listen=None):
        self.name, self.lab, self.listen = name, lab, listen or lab.port()
        self.folder = os.path.join(lab.folder, name)
        os.makedirs(self.folder, exist_ok=True)
        self.file = os.path.join(self.folder, "control.toml")
        self.journal = journal or os.path.join(self.folder, "journal.db")
        self.events, self.process, self.roster = [], None, None
        self.environ, self.build, self.before = {}, {}, ()

    def write(self):
        roster = self.roster or {one.name: one.managed(self.name) for one in self.lab.gateways}
        with open(self.file, "w") as file:
            file.write(
                f'name = "{self.name}"\nlisten = "{self.lab.ip}:{self.listen}"\njournal = "{self.journal}"\n'
                f'key_file = "{self.lab.key_file}"\n\n[gateways]\n'
            )
            file.writelines(
                f"{name} = {orjson.dumps(address).decode()}\n" for name, address in roster.items()
            )

    def start(self):
        if self.process:
            self.process.close()
        self.write()
        self.lab.records.note(f"{self.name} starts")
        self.events.append({"event": "begins"})
        self.process = Process(
            self.lab.scheduler,
            self.name,
            ["control", self.file],
            self.environ,
            self.heard,
            self.ended,
            self.lab.folder,
            **self.build,
        )

    def heard(self, process, event):
        self.events.append(event)
        self.lab.heard(self, event)

    def ended(self, process):
        if not process.expected and process.process.returncode:
            self.lab.crashed(self.name, process)

    def kill(self):
        self.lab.records.note(f"{self.name} is killed")
        self.process.kill()
        self.process.process.wait()

    def ask(self, do, **words):
        """Ask it something as staff would; the answer, {} where there is none."""
        from petrellane.config_consensus import message_authentication, rpc_client
        from petrellane.testbed.fakes import LIMITS

        client, found = rpc_client.RpcClient(self.lab.scheduler, LIMITS, self.lab.key), []

        def call():
            try:
                found.append(
                    client.call(
                        (self.lab.ip, self.listen),
                        message_authentication.STAFF_PATH,
                        {"do": do, "to": "control", **words},
                        3.0,
                    )
                )
            except rpc_client.RpcError as error:
                found.append({"none": str(error)})

        self.lab.scheduler.spawn(call)
        self.lab.until(lambda: found, "an answer of the control process", 6.0)
        return found[0]


class Lab:
    """A fleet of a shape."""

    def __init__(self, shape):
        self.shape, self.scheduler = shape, Scheduler()
        self.scheduler.fault = self.fault
        self.last_port, self.turned = 2000, time.monotonic()
        self.longest = 0.0  # seconds that the rig stood still at most, under load
        self.ip = "127.%d.%d.%d" % tuple(random.SystemRandom().randint(1, 250) for _ in range(3))
        memory_disk = "/dev/shm"  # a flush to a shared disk takes as long as it likes, which is not what is played
        self.folder = tempfile.mkdtemp(
            prefix="petrellane-lab-", dir=memory_disk if os.path.isdir(memory_disk) else None
        )
        self.faults, self.crashes, self.relays, self.gateways, self.controls = [], [], {}, [], {}
        self.settings = shape.settings or settings(shape.gateways)
        self.records = Records(self.terms(), self.scheduler.now, self.scheduler.after)
        self.records.generation_by_method = shape.proves
        self.key, self.key_file = b"key of one run only", os.path.join(self.folder, "key")
        with open(self.key_file, "wb") as file:
            file.write(self.key)
        self.counter, self.discovery = (
            Counter(self.scheduler, self.place()),
            Discovery(self.scheduler, self.records, self.row),
        )
        memory, obliged = {}, self.settings["obligations"]
        works = dict.fromkeys([one.name for one in shape.methods], shape.work)
        self.hosts = [
            Host(
                self.scheduler,
                f"h{number}",
                works,
                self.records,
                shape.seed,
                memory,
                slots=shape.slots,
                queue=shape.queue,
                cold=obliged["cold"] / MICRO,
                cold_from=obliged["coldFrom"],
                address=self.place(),
            )
            for number in range(shape.hosts)
        ]
        for host in self.hosts:
            host.moved = lambda host=host: [
                relay.follow() for relay in self.between("host", to=[host.name])
            ]
            self.discovery.put(host.name, host.text)
            self.records.checker.terms.groups[host.name] = 1, "z"
        for number in range(shape.gateways):
            self.gateways.append(Gateway(self, number))
        self.fronts = []
        for one in self.gateways:
            one.write()
            self.fronts.append(Front(one.name, self.address(("client", one.name))))
        customers = shape.customers or [
            Customer(number + 1, "free", first=number % shape.gateways, spread=shape.gateways)
            for number in range(8)
        ]
        self.clients = Clients(
            self.scheduler,
            self.records,
            self.fronts,
            shape.methods,
            customers,
            shape.rate,
            shape.seed,
        )

    def terms(self):
        rules = {row["name"]: row for row in self.settings["classes"]}
        back = {word: effect for effect, word in EFFECTS.items()}
        methods = {one.name: invariants.MethodRule(one.effect) for one in self.shape.methods}
        methods |= {
            name: invariants.MethodRule(
                back[row["effect"]], row.get("keyScope", ""), row.get("window", 0) / MICRO
            )
            for name, row in rules.items()
        }
        ceilings = {
            row["name"]: invariants.HardLimit(
                row["ceilingRate"],
                row["ceilingBurst"],
                row["ceilingSlack"] + 0.15 * row["ceilingRate"],
            )
            for row in self.settings["contracts"]
            if row.get("ceilingRate")
        }
        return invariants.Terms(
            methods,
            ceilings,
            {},
            answer_slack=0.15,
            drain_grace=1.5,
            cold=self.settings["obligations"]["cold"] / MICRO,
            cold_from=self.settings["obligations"]["coldFrom"],
            mean_work=self.shape.work,
        )

    def fault(self, error):
        """An exception in a stand-in is a fault of the lab's, told at its end."""
        import traceback

        self.faults.append("".join(traceback.format_exception(error)[-3:]))

    def crashed(self, name, process):
        self.crashes.append((name, process.process.returncode, process.said()))
        self.records.note(
            f"{name} crashed: exit code {process.process.returncode}: {process.said()[-200:]}"
        )

    def heard(self, who, event):
        name = event["event"]
        if name in (
            "fault",
            "generation",
            "stood_still",
            "agreement_refused",
            "drift",
            "not_on_roster",
            "leading",
            "deposed",
            "reload_refused",
            "agreed",
        ):
            figures = {
                key: value
                for key, value in event.items()
                if key not in ("at", "gateway", "event", "trace", "digest")
            }
            self.records.note(f"{who.name}: {name} {orjson.dumps(figures).decode()[:160]}")
        if name == "fault":
            self.crashes.append((who.name, "fault", event.get("trace", event.get("error"))))

    # Addresses.

    def port(self):
        """A port of our own loopback address that the kernel gives to nobody: one of those could meet itself, when it is
        dialed while nobody listens there, and then is in use."""
        while True:
            self.last_port += 1
            with contextlib.suppress(OSError), socket.create_server((self.ip, self.last_port)):
                return self.last_port

    def place(self):
        return self.ip, self.port()

    def target(self, way):
        kind, *names = way
        if kind == "counter":
            return self.counter.address
        if kind == "discovery":
            return self.discovery.door(names[0], self.place()).address
        if kind == "host":
            return next(one.address for one in self.hosts if one.name == names[-1])
        one = next(one for one in self.gateways if one.name == names[-1])
        return self.ip, one.listen if kind == "client" else one.management

    def address(self, way):
        """Where a party reaches another: through a relay of its own, where the shape asks for these."""
        kinds = {
            "client": "clients",
            "agent": "agents",
            "counter": "counter",
            "discovery": "discovery",
            "host": "hosts",
        }
        of_control = way[0] == "agent" and way[1] not in {one.name for one in self.gateways}
        if kinds[way[0]] not in self.shape.relays and not (
            of_control and "agents-of-control" in self.shape.relays
        ):
            return self.target(way)
        if way not in self.relays:
            self.relays[way] = Relay(
                self.scheduler, self.target(way), self.shape.seed, " ".join(way), self.place()
            )
            if way[0] == "host":
                host = next(one for one in self.hosts if one.name == way[-1])
                self.relays[way].hung_up, self.relays[way].carried = (
                    host.hung_up,
                    host.carried.__setitem__,
                )
        return self.relays[way].address

    def row(self, gateway, row):
        """A host of the list as a gateway is to see it: behind the relay between the two, where there is one."""
        return (
            {**row, "address": self.way(("host", gateway, row["name"]))}
            if "hosts" in self.shape.relays
            else row
        )

    def way(self, way):
        return "%s:%d" % self.address(way)

    def between(self, *kinds, to=None, of=None):
        """Relays of these kinds, to these gateways, of these parties."""
        return [
            relay
            for way, relay in self.relays.items()
            if way[0] in kinds and (to is None or way[-1] in to) and (of is None or way[1] in of)
        ]

    def cut(self, names):
        """Cut a set of gateways from the control processes and from the other gateways, both ways."""
        self.records.note(f"cut: {', '.join(names)} from the rest")
        for way, relay in self.relays.items():
            if way[0] == "agent" and (way[1] in names) != (way[2] in names):
                relay.fault("cut")

    def heal(self):
        self.records.note("all relays healed")
        for relay in self.relays.values():
            relay.heal()

    # Running.

    def turn(self):
        away = (
            time.monotonic() - self.turned
        )  # whoever plays the lab did something else: to start a process takes time
        if away > SETTLE_S:
            self.records.last_stall = self.records.turns
        self.scheduler.turn(
            min(10, self.scheduler.pause() or 0) if self.scheduler.pause() is not None else 10
        )
        self.records.turns += 1
        still, self.scheduler.longest, self.turned = (
            away + self.scheduler.longest,
            0.0,
            time.monotonic(),
        )
        if still > SETTLE_S and (self.clients.on or self.clients.out):
            self.records.note(f"the rig stood still for {still:.3f} s")
            self.longest, self.records.last_stall = max(self.longest, still), self.records.turns

    def play(self, seconds):
        """Let so much time go by."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.turn()

    def until(self, holds, what, patience=20.0):
        """Run until something holds; AssertionError where it does not in time."""
        limit = time.monotonic() + patience
        while not (found := holds()):
            assert time.monotonic() < limit, f"never came: {what}\n" + self.timeline()
            self.turn()
        return found

    def start(self, controls=("control",), ready=True):
        """Start the gateways, and control processes, and wait until all are ready."""
        for one in self.gateways:
            one.start()
        for name in controls if self.shape.agreement else ():
            self.controls[name] = Control(self, name)
            self.controls[name].start()
        if ready:
            self.until(
                lambda: (
                    all(one.ready for one in self.gateways)
                    and all(relay.listener for relay in self.relays.values())
                ),
                "all gateways ready",
                20 + len(self.gateways) / 5,
            )
            for control in self.controls.values():
                self.until(
                    lambda control=control: any(
                        one["event"] == "leading" for one in control.events
                    ),
                    f"{control.name} leads",
                    20 + len(self.gateways) / 5,
                )

    def change(self, told, patience=15.0, **words):
        """Propose settings to the first control process; the change at its end, everywhere where it can be."""
        control = next(iter(self.controls.values()))
        change = control.ask("propose", settings=told, **words)
        if "refused" in change:
            return change
        return self.until(
            lambda: self.ended(control, change["number"]),
            f"an end of change {change['number']}",
            patience,
        )

    @staticmethod
    def ended(control, number):
        """A change as it stands, once it has ended and is told to all that serve; None before."""
        told = control.ask("change", number=number)
        over = (
            told.get("outcome") in ("aborted", "superseded")
            or told.get("outcome") == "committed"
            and not told["owed"]
        )
        return told if over else None

    def agreed(self, names=None):
        """The number that these gateways, or all, have in force without a doubt; None where they differ."""
        found = set()
        for one in self.gateways:
            if names is None or one.name in names:
                told = one.last("generation")
                found.add(None if told is None or told["possible"] else told["number"])
        return found.pop() if len(found) == 1 else None

    def quiet(self, patience=5.0):
        """End the load, and wait for what is out."""
        self.clients.stop()
        self.until(lambda: not self.clients.out, "all answers", patience)

    STOOD_STILL = (
        0.5  # seconds after which what the rig saw came in no sure order, and the run is void
    )

    @property
    def void(self):
        """Why the run proves nothing, or ""."""
        longest = self.longest
        return (
            f"the rig stood still for {longest:.2f} s: this machine is too busy"
            if longest > self.STOOD_STILL
            else ""
        )

    def verdict(self):
        """The invariant checker's verdict; crashes and faults of the rig itself are told with it."""
        for control in self.controls.values():
            if control.process and control.process.up:
                for one in control.ask("history").get("history", ()):
                    self.records.add(
                        invariants.GenerationDecided(
                            self.records.now(), one["number"], one["outcome"] != "aborted"
                        )
                    )
        return self.records.close()

    def timeline(self, most=60):
        """What happened, a line each."""
        return "\n".join(f"{at:8.3f} {text}" for at, text in self.records.timeline[-most:])

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.close()

    def close(self):
        """End all, by id; nothing of the run is left."""
        for one in (*self.gateways, *self.controls.values()):
            for process in filter(None, (one.process, *one.before)):
                process.close()
        for one in self.gateways:
            if one.listener:
                one.listener.close()
        for host in self.hosts:
            host.moved = lambda: None
        for party in (*self.relays.values(), *self.hosts, self.counter, self.discovery):
            party.close()
        shutil.rmtree(self.folder, ignore_errors=True)
