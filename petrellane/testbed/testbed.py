"""The processes of a scale run: started, told what to do, heard, and surely ended. What is played, and what the figures
mean, is in `scale`."""

import contextlib
import os
import random
import shutil
import socket
import tempfile
import time

import orjson

from petrellane.config_consensus import message_authentication, rpc_client
from petrellane.net.scheduler import Scheduler
from petrellane.testbed.fake_server import LIMITS
from petrellane.testbed.processes import Build, Process, ProcessSpec

WAIT = 120.0  # seconds for all to be ready
ANSWER = 30.0  # and for the control process to answer staff
CHANGE = 60.0  # and for a change of settings to end
WATCHED = 5000  # events kept of one process


class RigError(Exception):
    """A run that did not come about; the text is one line."""


class Party:
    """One process of a run: what it is, and what it has told."""

    def __init__(self, rig, role, name, words, told=None, environ=None, number=1):
        self.role, self.name, self.number, self.meters, self.empty = role, name, number, [], None
        self.events, self.began, self.words = [], time.time(), None
        ours = {"discovery": {"else": "discovery"}, "counter": {"else": "adds"}}.get(
            role, {"ports": rig.ports}
        )
        descriptors = ()
        if told is not None:
            theirs, self.words = os.pipe()
            descriptors = (theirs,)
            path = os.path.join(rig.folder, f"{name}.{len(rig.parties)}.json")
            with open(path, "wb") as file:
                file.write(orjson.dumps(told | {"words": theirs}))
            words = [*words, path]
        self.process = Process(
            rig.scheduler,
            ProcessSpec(
                name,
                words,
                rig.folder,
                {"LAB_METER": orjson.dumps(ours).decode(), **(environ or {})},
                Build(module="petrellane.testbed.metered"),
                descriptors=descriptors,
            ),
            lambda process, event: rig.heard(self, event),
            lambda process: rig.ended(self),
        )
        if descriptors:
            os.close(theirs)
        rig.parties.append(self)

    def say(self, word):
        if self.words is not None and self.process.is_running:
            with contextlib.suppress(BrokenPipeError):
                os.write(self.words, word.encode() + b"\n")

    def close(self):
        self.process.close()
        if self.words is not None:
            os.close(self.words)
            self.words = None

    def spent(self, begin, end):
        """What it spent a second from one time to another, as five numbers; and by what its streams are for."""
        lines = [line for line in self.meters if begin - 0.5 <= line["at"] <= end + 0.1]
        if not lines:
            return [0.0] * 5, {}
        last = lines[-1]
        first = (
            lines[0]
            if lines[0]["at"] < begin + 0.3
            else {"cpu": 0.0, "by": {}, "at": last["at"] - (end - begin)}
        )
        seconds = max(last["at"] - first["at"], 1e-3) if last["at"] > end - 0.6 else end - begin
        by = {
            kind: [
                (one - before) / seconds
                for one, before in zip(row, first["by"].get(kind, [0] * 4), strict=True)
            ]
            for kind, row in last["by"].items()
        }
        return [
            (last["cpu"] - first["cpu"]) / seconds,
            *(sum(row[at] for row in by.values()) for at in range(4)),
        ], by


class Rig:
    """All processes of a run, and what they told. `crowds` are the numbers of the hollow gateways by process, `settings`
    gives those of the start and of each change by its number."""

    def __init__(self, told, crowds, settings):
        self.told, self.crowds, self.settings_of = told, crowds, settings
        self.scheduler, self.parties, self.started = Scheduler(), [], {}
        self.scheduler.fault = lambda error: self.troubles.append(f"a fault of the rig: {error!r}")
        memory_disk = "/dev/shm"  # a thousand gateways have no disk in common
        self.folder = tempfile.mkdtemp(
            prefix=f"petrellane-scale-{os.getpid()}-",
            dir=memory_disk if os.path.isdir(memory_disk) else None,
        )
        self.ip = "127.%d.%d.%d" % tuple(random.SystemRandom().randint(1, 250) for _ in range(3))
        self.last_port, self.troubles, self.longest = 9999, [], 0.0
        self.changed, self.arrivals, self.last_index = (
            {},
            {},
            {},
        )  # index -> when; index -> times; real gateway -> index
        self.ready, self.firsts, self.generations = (
            {},
            [],
            {},
        )  # name -> seconds; times; number -> name -> when
        self.proposed = []

    # Addresses and files.

    def port(self):
        """A port of our own address below those that the kernel gives away by itself."""
        while True:
            self.last_port += 1
            with contextlib.suppress(OSError), socket.create_server((self.ip, self.last_port)):
                return self.last_port

    def prepare(self):
        """Write all files."""
        told = self.told
        self.ports = {}
        self.discovery_port, self.counter_port, self.control_port = (
            self.port(),
            self.port(),
            self.port(),
        )
        self.ports = {str(self.discovery_port): "discovery", str(self.counter_port): "counter"}
        self.names = [f"g{number}" for number in range(told.hollow)] + [
            f"r{number}" for number in range(told.real)
        ]
        self.members = (
            {name: f"{self.ip}:{self.port()}" for name in self.names} if told.agreement else {}
        )
        self.key, self.key_file = b"key of one run only", os.path.join(self.folder, "key")
        with open(self.key_file, "wb") as file:
            file.write(self.key)
        self.rows = [
            {
                "name": f"h{at}",
                "address": f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}:7000",
                "zone": f"z{at % 12}",
                "type": "k",
                "group": at % 250,
                "status": "in_service",
                "weight": 1.0,
                "since_ms": 0,
            }
            for at in range(told.hosts)
        ]
        self.settings = self.settings_of(0)

    def write(self, name, told):
        path = os.path.join(self.folder, name)
        with open(path, "wb") as file:
            file.write(orjson.dumps(told))
        return path

    def config(self, name, known):
        """A gateway's configuration; `known`: it has the list of before."""
        told = {
            "name": name,
            "listen": f"{self.ip}:{self.port() if name[0] == 'r' else 1}",
            "discovery": f"{self.ip}:{self.discovery_port}",
            "counter": f"{self.ip}:{self.counter_port}",
            "seed": "%016x" % (self.told.seed * 100_000 + int(name[1:])),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {
                "index": self.told.hosts if known else 0,
                "snapshot": True,
                "endpoints": self.rows if known else [],
            },
            "settings": {**self.settings, "locality": "z0"},
        }
        if self.told.agreement:
            state = os.path.join(self.folder, "state", name)
            os.makedirs(state, exist_ok=True)
            told |= {
                "management": self.members[name],
                "agreement": {"key_file": self.key_file, "state": state, "members": self.members},
            }
        return told

    # Processes.

    def services(self):
        told = self.told
        Party(
            self,
            "discovery",
            "discovery",
            ["discovery"],
            {
                "ip": self.ip,
                "port": self.discovery_port,
                "rows": self.rows,
                "rate": told.discovery_rate,
                "changes": told.list_changes,
                "seed": told.seed,
            },
        )
        Party(self, "counter", "counter", ["counter"], {"ip": self.ip, "port": self.counter_port})
        self.until(
            lambda: all(
                one.events and one.events[-1]["event"] == "started" for one in self.parties
            ),
            "the stand-ins",
            20.0,
        )

    def hollow(self, fresh=True):
        """Start all hollow gateways, a process at a time; `fresh`: as of a fleet that has been at rest, with its list."""
        told, base = self.told, "g0"
        file = self.write(f"hollow-{fresh}.json", self.config(base, fresh)) if told.hollow else ""
        for at, numbers in enumerate(self.crowds):
            Party(
                self,
                "hollow",
                f"hollow{at}",
                ["hollow"],
                {
                    "file": file,
                    "numbers": list(numbers),
                    "folder": os.path.join(self.folder, "state"),
                    "hosts": told.hosts,
                    "module": told.module,
                    "fresh": fresh,
                    "cut": round(told.cut * told.hollow),
                    "customers": told.customers,
                    "rpcs": told.rpcs * len(numbers) / told.hollow,
                    "seed": told.seed,
                    "gateways": told.hollow,
                    "methods": self.settings["classes"],
                },
                number=len(numbers),
            )
            yield

    def real(self):
        for name in self.names[self.told.hollow :]:
            file = self.write(f"{name}.json", self.config(name, True))
            Party(
                self, "real", name, ["serve"], environ={"PROXY_CONFIG": file, "TMPDIR": self.folder}
            )
            self.turn()

    def control(self):
        file = os.path.join(self.folder, "control.toml")
        with open(file, "w") as out:
            out.write(
                f'name = "control"\nlisten = "{self.ip}:{self.control_port}"\njournal = "journal.db"\n'
                'key_file = "key"\n\n[gateways]\n'
            )
            out.writelines(f'{name} = "{address}"\n' for name, address in self.members.items())
        return Party(self, "control", "control", ["control", file])

    def of(self, role):
        return [one for one in self.parties if one.role == role]

    def tell_all(self, word):
        for one in self.parties:
            one.say(word)

    # What they tell.

    def heard(self, party, event):
        kind, at = event["event"], event.get("at", 0.0)
        if kind == "meter":
            party.meters.append(event)
        elif kind == "heard":
            self.arrivals.setdefault(event["index"], []).extend(
                event["since"] + one for one in event["times"]
            )
        elif kind == "hosts":
            before = self.last_index.get(party.name, self.told.hosts)
            self.last_index[party.name] = event["index"]
            for index in range(before + 1, event["index"] + 1):
                self.arrivals.setdefault(index, []).append(at)
        elif kind == "changed":
            self.changed[event["index"]] = at
        elif kind == "started" and "gateway" in event and event["gateway"] in self.known_names:
            self.ready[event["gateway"]] = at - party.began
        elif kind == "generation" and not event["possible"]:
            self.generations.setdefault(event["number"], {}).setdefault(event["gateway"], at)
        elif kind == "listed":
            self.firsts += [event["since"] + one - party.began for one in event["times"]]
        elif kind == "empty":
            party.empty = event["rss"]
        elif kind == "fault" and len(self.troubles) < 20:
            self.troubles.append(
                f"{party.name}: fault {event.get('error')} {event.get('trace', '')[-400:]}"
            )
        if (
            kind in ("started", "leading", "stood_still", "discovery_away")
            and len(party.events) < WATCHED
        ):
            party.events.append(event)

    def ended(self, party):
        if not party.process.expected:
            self.troubles.append(
                f"{party.name} ended: exit code {party.process.popen.returncode}: {party.process.stderr_tail()}"
            )

    # Running.

    def turn(self):
        began = time.monotonic()
        pause = self.scheduler.pause()
        self.scheduler.turn(10 if pause is None else min(10, pause))
        self.longest = max(self.longest, time.monotonic() - began)

    def play(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.turn()

    def until(self, holds, what, patience):
        limit = time.monotonic() + patience
        while not holds():
            if time.monotonic() > limit or self.troubles:
                raise RigError(
                    f"never came: {what}" + "".join(f"; {one}" for one in self.troubles[:3])
                )
            self.turn()

    def ask(self, do, **words):
        """Ask the control process something as staff would, in a greenlet; {} where there is no answer."""
        try:
            return rpc_client.RpcClient(self.scheduler, LIMITS, self.key).call(
                (self.ip, self.control_port),
                message_authentication.STAFF_PATH,
                {"do": do, "to": "control", **words},
                ANSWER,
            )
        except rpc_client.RpcError as error:
            return {"refused": "silent", "why": str(error)}

    def propose(self, number):
        """One change of settings, followed to its end; in a greenlet."""
        if self.told.cut:
            self.tell_all("cut")
        since = time.time()
        change = self.ask("propose", settings=self.settings_of(number + 1), by="rig")
        while change.get("outcome") == "preparing" and time.time() < since + CHANGE:
            self.scheduler.wait(0.25)
            change = self.ask("change", number=change["number"]) or change
        self.proposed.append(
            {
                "since": since,
                "number": change.get("number"),
                "outcome": change.get("outcome", change.get("refused")),
                "why": str(change.get("why", ""))[:200],
            }
        )
        if self.told.cut:
            self.scheduler.wait(1.0)
            self.tell_all("heal")

    def changes(self):
        """All changes of settings, spread over the steady part, one after the other; in a greenlet."""
        number, began = self.told.settings_changes, time.monotonic()
        for at in range(number):
            due = began + self.told.seconds * (at + 0.5) / number
            self.scheduler.wait(max(0.0, due - time.monotonic()))
            self.propose(at)

    def restart(self):
        """All hollow gateways end, and begin anew with nothing but their folders."""
        for one in self.of("hollow"):  # in a greenlet, others have their turn meanwhile
            one.process.kill()
        for name in self.names[: self.told.hollow]:
            self.ready.pop(name, None)
        self.firsts.clear()
        for _ in self.hollow(fresh=False):
            self.parties[-1].say("begin")
            self.scheduler.wait(0)

    def start(self):
        """Start all, and wait until all are ready."""
        self.prepare()
        self.known_names = set(self.names)
        self.services()
        for _ in self.hollow():
            self.turn()
        self.until(lambda: len(self.ready) >= self.told.hollow, "all hollow gateways ready", WAIT)
        self.real()
        self.until(lambda: len(self.ready) >= len(self.names), "all real gateways ready", WAIT)
        if self.told.agreement:
            control = self.control()
            self.until(
                lambda: any(one["event"] == "leading" for one in control.events),
                "control leads",
                WAIT,
            )
        self.play(1.0)

    def run(self):
        """The steady part; its begin and its end."""
        begin = time.time()
        self.longest = 0.0
        self.tell_all("begin")
        if self.told.settings_changes:
            self.scheduler.spawn(self.changes)
        if self.told.restart_at:
            self.scheduler.after(self.told.restart_at, lambda: self.scheduler.spawn(self.restart))
        self.play(self.told.seconds)
        return begin, time.time()

    def rest(self):
        """No more load: what is under way ends, and is told."""
        self.tell_all("quiet")
        limit = time.monotonic() + CHANGE
        while len(self.proposed) < self.told.settings_changes and time.monotonic() < limit:
            self.turn()
        self.play(1.6)

    def close(self):
        """End all, by id; nothing of the run is left."""
        for one in self.parties:
            one.close()
        shutil.rmtree(self.folder, ignore_errors=True)
