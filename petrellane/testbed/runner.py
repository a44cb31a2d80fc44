"""A run as a file, in TOML: what the lab is made of, what happens when, and what is expected.

    [lab]                      # sizes and figures; all have defaults
    gateways = 3
    hosts = 6
    seconds = 10.0
    rate = 100.0               # RPCs a second
    seed = 1
    agreement = false          # a control process, and agents at the gateways
    quota = 0.0                # units a second of plan `sold`, and its ceiling; 0: none
    ceiling = 0.0
    cold = 0.0                 # seconds for which a host that has started is cold, and the share it begins with
    cold_from = 1.0
    relays = ["clients", "counter", "discovery", "agents"]    # where faults can be put; "hosts" too

    [[step]]
    at = 4.0                   # seconds after the load began
    do = "kill"                # one of STEPS
    who = ["h1"]               # gateways g0.., hosts h0.., control processes, or none where the step needs none
    for = 2.0                  # undone after so long; 0: never
    size = 1.0                 # what it means is told beside each step
    between = ["agents"]       # of relays: clients, counter, discovery, agents, hosts (those to `who`, or of it)

    [expect]
    broken = []                # rules of the invariant checker

What is out of form raises PlayError, one line with the file and the key. The same file and seed bring the same faults at the
same times; processes are real, so which RPC meets which fault may differ.
"""

import tomllib

import msgspec

from petrellane.invariants import RULES
from petrellane.testbed.clients import Customer
from petrellane.testbed.fleet import Lab, Shape, settings

RELAY = ("cut", "mute", "deaf", "late", "lossy", "half", "hang", "refuse", "reset")
STEPS = {  # name: (whom it is done to, what `size` is)
    "kill": ("gateways, hosts, controls", ""),
    "start": ("gateways, hosts, controls", ""),
    "stop": ("gateways", ""),
    "old file": ("gateways", ""),
    "term": ("gateways", ""),
    "slow": ("hosts", "times"),
    "fail": ("hosts", "share of what it takes"),
    "silent": ("hosts", ""),
    "drain": ("hosts", ""),
    "counter quiet": ("", ""),
    "counter refuses": ("", ""),
    "counter forgets": ("", ""),
    "discovery away": ("", ""),
    "rate": ("", "RPCs a second"),
    "propose": ("", "attempts that the new settings give"),
    "split": ("gateways", ""),
    **{
        name: (
            "gateways, hosts",
            {"late": "seconds", "lossy": "share", "half": "bytes"}.get(name, ""),
        )
        for name in RELAY
    },
}
BETWEEN = {
    "clients": "client",
    "counter": "counter",
    "discovery": "discovery",
    "agents": "agent",
    "hosts": "host",
}


class PlayError(Exception):
    """A run file that will not do; the text is one line."""


class Figures(msgspec.Struct, forbid_unknown_fields=True):
    """The section `lab`."""

    gateways: int = 3
    hosts: int = 6
    seconds: float = 10.0
    rate: float = 100.0
    seed: int = 1
    agreement: bool = False
    quota: float = 0.0
    ceiling: float = 0.0
    cold: float = 0.0
    cold_from: float = 1.0
    work: float = 0.02
    relays: tuple[str, ...] = ("clients", "counter", "discovery", "agents")


class Step(msgspec.Struct, forbid_unknown_fields=True, rename={"length": "for"}):
    """Something that is done."""

    at: float
    do: str
    who: list[str] = []
    length: float = 0.0
    size: float = 1.0
    between: tuple[str, ...] = ("agents",)


class Expect(msgspec.Struct, forbid_unknown_fields=True):
    broken: list[str] = []


class Play(msgspec.Struct, forbid_unknown_fields=True):
    """A whole run."""

    lab: Figures = msgspec.field(default_factory=Figures)
    step: list[Step] = []
    expect: Expect = msgspec.field(default_factory=Expect)


def read(text: str, name: str = "run") -> Play:
    """The run that a file's text holds. Raises PlayError."""
    try:
        play = msgspec.convert(tomllib.loads(text), Play)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise PlayError(f"{name}: {error}") from None
    lab = play.lab
    for key, least, most in (
        ("gateways", 1, 300),
        ("hosts", 1, 400),
        ("seconds", 0.1, 3600),
        ("rate", 0.1, 20000),
    ):
        if not least <= getattr(lab, key) <= most:
            raise PlayError(
                f"{name}: lab.{key}: expected {least} to {most}, found {getattr(lab, key)}"
            )
    if lab.cold < 0 or not 0 < lab.cold_from <= 1:
        raise PlayError(
            f"{name}: lab.cold: expected seconds from 0 and a share over 0 up to 1, "
            f"found {lab.cold:g}, {lab.cold_from:g}"
        )
    if wrong := [kind for kind in lab.relays if kind not in BETWEEN]:
        raise PlayError(
            f"{name}: lab.relays: expected some of {', '.join(BETWEEN)}, found {wrong[0]}"
        )
    if unknown := [
        rule for rule in play.expect.broken if rule not in (*RULES, "agreed", "forgotten")
    ]:
        raise PlayError(f"{name}: expect.broken: expected rules of the referee, found {unknown[0]}")
    for at, step in enumerate(play.step):
        path = f"{name}: step[{at}]"
        if step.do not in STEPS:
            raise PlayError(f"{path}.do: expected one of {', '.join(STEPS)}, found {step.do}")
        if not 0 <= step.at <= lab.seconds or step.length < 0:
            raise PlayError(
                f"{path}.at: expected 0 to {lab.seconds:g} and a length from 0, "
                f"found {step.at:g}, {step.length:g}"
            )
        known = {f"g{number}" for number in range(lab.gateways)} | {
            f"h{number}" for number in range(lab.hosts)
        }
        known |= {"control"} if lab.agreement else set()
        if wrong := [who for who in step.who if who not in known]:
            raise PlayError(
                f"{path}.who: expected g0 to g{lab.gateways - 1}, h0 to h{lab.hosts - 1} or control, "
                f"found {wrong[0]}"
            )
        if wrong := [kind for kind in step.between if kind not in BETWEEN]:
            raise PlayError(
                f"{path}.between: expected some of {', '.join(BETWEEN)}, found {wrong[0]}"
            )
        if step.do in RELAY and (
            wrong := [kind for kind in step.between if kind not in lab.relays]
        ):
            raise PlayError(
                f"{path}.between: expected some of lab.relays ({', '.join(lab.relays)}), found {wrong[0]}"
            )
    return play


def load(path: str) -> Play:
    """The run of a file. Raises PlayError."""
    try:
        with open(path, encoding="utf-8") as file:
            return read(file.read(), path)
    except (OSError, UnicodeDecodeError) as error:
        raise PlayError(f"{path}: expected a readable file: {error}") from None


def shape_of(play: Play) -> Shape:
    lab = play.lab
    told = settings(
        lab.gateways, quota=lab.quota, ceiling=lab.ceiling, cold=lab.cold, cold_from=lab.cold_from
    )
    customers = [
        Customer(
            number + 1,
            "sold" if number % 2 and (lab.quota or lab.ceiling) else "free",
            first=number % lab.gateways,
            spread=lab.gateways,
        )
        for number in range(8)
    ]
    return Shape(
        gateways=lab.gateways,
        hosts=lab.hosts,
        seed=lab.seed,
        agreement=lab.agreement,
        relays=lab.relays,
        settings=told,
        rate=lab.rate,
        work=lab.work,
        customers=customers,
    )


class Stage:
    """Carries out the steps of a run in a lab."""

    def __init__(self, lab: Lab, play: Play):
        self.lab, self.play = lab, play

    def begin(self) -> None:
        """Set every step for its time."""
        for step in self.play.step:
            self.lab.scheduler.after(
                step.at, lambda step=step: self.lab.scheduler.spawn(self.take, step)
            )

    def take(self, step: Step) -> None:
        undo = self.done(step)
        if step.length and undo:

            def over():
                self.lab.records.note(f"{step.do} is over: {', '.join(step.who)}")
                undo()

            self.lab.scheduler.after(step.length, lambda: self.lab.scheduler.spawn(over))

    def parties(self, step):
        lab = self.lab
        named = {one.name: one for one in (*lab.gateways, *lab.hosts)} | lab.controls
        return [named[name] for name in step.who if name in named]

    def done(self, step):
        """Do one step; what undoes it, or None."""
        lab, parties = self.lab, self.parties(step)
        lab.records.note(
            " ".join([step.do, *step.who, *(step.between if step.do in RELAY else ())])
        )
        if step.do in RELAY:
            kinds = [BETWEEN[kind] for kind in step.between]
            relays = lab.between(*kinds, to=step.who or None)
            relays += lab.between(*({"host"} & set(kinds)), of=step.who) if step.who else []
            for relay in relays:
                relay.fault(step.do, step.size)
            return lambda: [relay.heal() for relay in relays]
        if step.do == "split":
            lab.cut(step.who)
            return lab.heal
        if step.do == "rate":
            before, lab.clients.rate = lab.clients.rate, step.size
            return lambda: setattr(lab.clients, "rate", before)
        if step.do == "propose":
            figures = self.play.lab
            told = settings(
                figures.gateways,
                attempts=int(step.size),
                quota=figures.quota,
                ceiling=figures.ceiling,
                cold=figures.cold,
                cold_from=figures.cold_from,
            )
            lab.controls["control"].ask("propose", settings=told)
            return None
        if step.do.startswith(("counter", "discovery")):
            return self.service(step.do)
        undone = [self.party(step, one) for one in parties]
        return lambda: [undo() for undo in undone if undo]

    def service(self, what):
        lab = self.lab
        if what == "counter forgets":
            lab.counter.forget()
            return None
        party, flag = {
            "counter quiet": (lab.counter, "quiet"),
            "counter refuses": (lab.counter, "refuses"),
            "discovery away": (lab.discovery, "away"),
        }[what]
        setattr(party, flag, True)

        def undo():
            setattr(party, flag, False)
            if party is lab.discovery:
                lab.discovery.tell()

        return undo

    def party(self, step, one):
        """One step at one gateway, host or control process; what undoes it."""
        lab = self.lab
        if one in lab.hosts:
            return self.host(step, one)
        if step.do == "kill":
            one.kill()
            return one.start
        if step.do == "term":
            one.process.signal(15)
            return lambda: one.start() if not one.process.up else None
        if step.do == "stop":
            one.stop()
            return one.go_on
        if step.do == "old file":  # as at the first start of the run, whatever was agreed since
            one.kill()
            one.write()
            one.start()
        elif step.do == "start" and not one.process.up:
            one.start()
        return None

    def host(self, step, one):
        lab = self.lab
        if step.do == "kill":
            one.down()
            lab.scheduler.after(
                lab.discovery.notice, lambda: lab.discovery.put(one.name, one.text, "terminated")
            )

            def again():
                one.start()
                lab.discovery.put(one.name, one.text, since=one.started)

            return again
        if step.do == "start":
            one.start()
            lab.discovery.put(one.name, one.text, since=one.started)
            return None
        if step.do == "drain":
            lab.discovery.put(one.name, one.text, "terminating")
            return lambda: lab.discovery.put(one.name, one.text)
        field, value = {
            "slow": ("slow", step.size),
            "fail": ("share", step.size),
            "silent": ("silent", True),
        }[step.do]
        before = getattr(one, field)
        setattr(one, field, value)

        def undo():
            setattr(one, field, before)
            one.work()

        return undo
