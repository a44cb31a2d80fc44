"""What a run of the model is made of, and the file that holds it: one JSON object a line, `#` begins a comment.

The first object is the world; plans, methods, customers and faults follow, and at most one `expect`. A line out of form
raises a ScenarioError that names file, line, what was expected and what was found. Times are seconds of the run, which
begins at 0; units are those of the plans.
"""

import math

import msgspec

from petrellane.simulation import VERSION


class ScenarioError(Exception):
    """A scenario that is out of form or of another version; the text is one line with file and line."""


class Part(
    msgspec.Struct, tag_field="kind", forbid_unknown_fields=True, omit_defaults=True, frozen=True
):
    """One line of a scenario file."""


class World(Part, tag="world"):
    """Sizes and figures of the fleet; `seed` is all the chance there is."""

    model: int
    seed: int
    length: float = 10.0
    gateways: int = 3
    hosts: int = 6
    zones: int = 2
    pod: int = 3  # hosts of a zone that share a memory of keys
    cores: float = 2.0  # of each host; work is core seconds
    slots: int = 8  # RPCs that a host works on at once
    queue: int = 16  # and that wait there
    cancel: bool = False  # whether given-up work stops
    latency: float = 0.001  # one way within a zone, and twice that across
    jitter: float = 0.5  # a message takes up to so much longer, as a share
    standing: float = 0.7  # share of call-outs that find a connection that stands
    skew: float = 0.0  # clocks of gateways differ by up to this
    notice: float = 1.0  # the front and discovery notice a death up to so late
    exponential: bool = False  # work is drawn so, not evenly around its mean
    retries: int = 1  # of a client
    patience: float = 1.0  # share of the deadline that a client waits for one try
    counter_parts: int = 1
    counter_per_s: float = 1500.0
    counter_timeout: float = 0.05
    cold: float = 6.0
    cold_from: float = 0.3
    multiple: float = 2.0
    overload_for: float = 1.5
    drain_grace: float = 1.0
    max_call_outs: int = 4
    may_cancel: bool = True
    max_wait: float = 0.5


class Plan(Part, tag="plan"):
    """One plan; a ceiling_rate of 0 means no ceiling."""

    name: str
    rate: float
    store: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    max_out: int = 0
    price: float = 1.0


class Method(Part, tag="method"):
    """One method: its share of the RPCs and the mean work, in core seconds."""

    name: str
    effect: str
    share: float = 1.0
    work: float = 0.05
    soft_deadline: float = 0.5
    deadline: float = 2.0
    scope: str = ""
    window: float = 0.0
    utility: float = 1.0
    late_utility: float = 0.0


class Customer(Part, tag="customer"):
    """One customer: RPCs a second, and how they come in at the `spread` gateways from `first` on."""

    name: str
    plan: str
    rate: float
    first: int = 0
    spread: int = 1
    units: int = 1  # the most units of an RPC
    skew: float = 0.0  # 0: evenly, 1: all at one gateway
    moves: float = 0.0  # seconds until that is another one; 0: never


class Fault(Part, tag="fault"):
    """Something that goes wrong from `at` on, for `length`. What `whom` and `size` mean is told beside each in `FAULTS`."""

    what: str
    at: float
    length: float = 0.0
    whom: int = 0
    size: float = 0.0


class Expect(Part, tag="expect"):
    """What a replay is to show: the rules that are broken, none when empty."""

    broken: list[str] = []


FAULTS = {  # name: (what `whom` counts, what `size` is, least and most length)
    "gateway killed": ("gateways", "", (0.0, 4.0)),
    "gateway paused": ("gateways", "", (0.2, 10.0)),
    "gateway twice": ("gateways", "", (0.3, 2.0)),
    "gateway followed": ("gateways", "where it is cut", (0.1, 2.0)),
    "gateways killed": ("", "share that is killed", (0.0, 2.0)),
    "host killed": ("hosts", "", (0.3, 4.0)),
    "host vanished": ("hosts", "", (0.5, 5.0)),
    "host hangs": ("hosts", "", (0.5, 5.0)),
    "host slow": ("hosts", "times", (1.0, 6.0)),
    "host fails": ("hosts", "share", (1.0, 6.0)),
    "host drains": ("hosts", "", (0.5, 4.0)),
    "hosts drain": ("", "share that drains", (0.5, 4.0)),
    "zone restarts": ("zones", "", (0.3, 3.0)),
    "answers lost": ("", "share", (0.5, 5.0)),
    "messages late": ("", "seconds, at most", (0.5, 5.0)),
    "zone cut": ("zones", "", (0.5, 8.0)),
    "zone deaf": ("zones", "", (0.5, 5.0)),
    "zone mute": ("zones", "", (0.5, 5.0)),
    "counter cut": ("zones", "", (0.5, 8.0)),
    "counter slow": ("", "times", (0.5, 5.0)),
    "counter silent": ("", "", (0.3, 6.0)),
    "counter refuses": ("", "", (0.3, 5.0)),
    "counter forgets": ("", "share", (0.0, 4.0)),
    "counter replaced": ("", "", (0.0, 4.0)),
    "counter rolled back": ("", "seconds", (0.0, 4.0)),
    "counter split": ("", "", (0.5, 6.0)),
    "list late": ("", "seconds more", (1.0, 6.0)),
    "flood": ("customers", "times its rate", (0.5, 5.0)),
    "discovery refused": ("", "", (3.0, 25.0)),
    "discovery silent": ("", "", (3.0, 25.0)),
    "discovery turned away": ("", "calls a second that are served", (3.0, 25.0)),
}

Line = World | Plan | Method | Customer | Fault | Expect


class Scenario(msgspec.Struct, frozen=True):
    """A whole run, ready to be played."""

    world: World
    plans: tuple[Plan, ...]
    methods: tuple[Method, ...]
    customers: tuple[Customer, ...]
    faults: tuple[Fault, ...] = ()
    expect: Expect | None = None

    def mean_work(self) -> float:
        """Core seconds of an RPC, over all that clients ask: by methods' shares, and by units (1 to a customer's most)."""
        shares = sum(method.share for method in self.methods)
        rates = sum(customer.rate for customer in self.customers) or 1.0
        units = (
            sum(customer.rate * (1 + max(1, customer.units)) / 2 for customer in self.customers)
            / rates
        )
        return (
            sum(method.share * method.work for method in self.methods) / shares * (0.5 + units / 2)
        )

    def but(self, **changes) -> "Scenario":
        """The same with some of its parts changed."""
        return msgspec.structs.replace(self, **changes)


def finite(line):
    """The first field whose number is none that a run can use, or None."""
    for name in line.__struct_fields__:
        value = getattr(line, name)
        if isinstance(value, (int, float)) and not (math.isfinite(value) and value >= 0):
            return name
    return None


def check(line, names):
    """What is wrong with one line, given the names that stand before it; None when nothing is."""
    if wrong := finite(line):
        return f"{wrong}: expected a number from 0, found {getattr(line, wrong)}"
    if isinstance(line, World) and not (
        line.gateways and line.hosts and line.zones and line.cores and line.pod
    ):
        return "gateways, hosts, zones, pod and cores: expected a number from 1, found 0"
    if isinstance(line, Plan) and bool(line.ceiling_rate) != bool(line.ceiling_burst):
        return f"ceiling_rate and ceiling_burst: expected both or none, found {line.ceiling_rate} and {line.ceiling_burst}"
    if isinstance(line, Method) and line.effect not in (
        "idempotent",
        "deduplicated",
        "non-idempotent",
    ):
        return f"effect: expected idempotent, deduplicated or non-idempotent, found {line.effect}"
    if isinstance(line, Customer) and line.plan not in names:
        return f"plan: expected one that stands before it, found {line.plan}"
    if isinstance(line, Customer) and not line.spread:
        return "spread: expected a number from 1, found 0"
    if isinstance(line, Fault) and line.what not in FAULTS:
        return f"what: expected one of {', '.join(FAULTS)}, found {line.what}"
    return None


def read(text: str, name: str = "scenario") -> Scenario:
    """The scenario that a file's text holds; raises ScenarioError."""
    lines, names = [], set()
    for number, words in enumerate(text.splitlines(), 1):
        if not words.strip() or words.lstrip().startswith("#"):
            continue
        try:
            line = msgspec.json.decode(words, type=Line)
            wrong = check(line, names)
        except msgspec.MsgspecError as error:
            wrong = str(error)
        if wrong:
            raise ScenarioError(f"{name}:{number}: {wrong}")
        if isinstance(line, World) != (not lines):
            raise ScenarioError(f"{name}:{number}: expected one world, as the first object")
        if isinstance(line, World) and line.model != VERSION:
            raise ScenarioError(
                f"{name}:{number}: model: expected version {VERSION}, found {line.model}: "
                "a run of another version would be another run"
            )
        if isinstance(line, Plan):
            names.add(line.name)
        lines.append(line)
    if not lines:
        raise ScenarioError(f"{name}:1: expected a world, found nothing")

    def of(kind):
        return tuple(line for line in lines if isinstance(line, kind))

    for kind, word in ((Plan, "plan"), (Method, "method"), (Customer, "customer")):
        if not of(kind):
            raise ScenarioError(
                f"{name}:{len(text.splitlines())}: expected at least one {word}, found none"
            )
    return Scenario(
        lines[0], of(Plan), of(Method), of(Customer), of(Fault), (of(Expect) or (None,))[0]
    )


def write(scenario: Scenario, comment: str = "") -> str:
    """The text of a file that `read` takes, with a comment before it."""
    lines = [f"# {line}".rstrip() for line in comment.splitlines()]
    parts = [
        scenario.world,
        *scenario.plans,
        *scenario.methods,
        *scenario.customers,
        *scenario.faults,
    ]
    parts += [scenario.expect] if scenario.expect else []
    return "\n".join(lines + [msgspec.json.encode(part).decode() for part in parts]) + "\n"
