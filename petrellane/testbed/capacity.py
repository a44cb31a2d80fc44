"""What the fleet of the operators' plan costs each role, worked out from measured slopes; free of I/O.

Goes in: the plan (sizes, budgets, estimates: benchmarks/capacity.toml), the slopes of the scale runs (benchmarks/scale.json)
and figures of single messages and steps (benchmarks/messages.json), as plain values. Comes out: tables, each a heading and
rows of text, and a page with these between its markers.

A `Figure` carries where it comes from through all arithmetic, so that each cell names its runs, and what was not measured
stays "not measured" whatever it is put together with. Nothing is tuned here, and no size, budget or estimate stands in this
file: what does are the program's own steps (which messages a change takes, what a gateway does with each), and what the
program is set to comes from its modules.

Units are those of the names: _ms, _s, _mb (10^6 bytes), bytes; rates are per second.
"""

import math
import statistics
from dataclasses import dataclass
from functools import partial

from petrellane.config_consensus.notifications import POLL_INTERVAL_S
from petrellane.decisions.endpoint_health import SAMPLE_LIFETIME
from petrellane.decisions.leases import HEADROOM, LEASE_AHEAD, WINDOW_FILLS
from petrellane.decisions.load_balancing import (
    SAMPLES_PER_ENDPOINT,
    SUBSET_MINIMUM,
    SUBSET_ROTATION,
)
from petrellane.net.limits import Limits
from petrellane.operation.backoff import SPREAD_DRAW_MINIMUM

DAY, HOUR, MS, MB, GB = 86_400.0, 3600.0, 1e3, 1e6, 1e9
MIB = 2**20 / MB  # the run tells of memory in 2^20 bytes
ABSENT = "not measured"
BUILD = "this"


class BadCapacity(Exception):
    """An input or a page that will not do; the text is one line."""


@dataclass(frozen=True)
class Figure:
    """A value, or None where something it rests on was not measured; and what it rests on, in order."""

    value: float | None
    sources: tuple = ()

    def _with(self, other, work):
        other = other if isinstance(other, Figure) else Figure(float(other))
        sources = tuple(dict.fromkeys((*self.sources, *other.sources)))
        known = self.value is not None and other.value is not None
        return Figure(work(self.value, other.value) if known else None, sources)

    def __add__(self, other):
        return self._with(other, lambda a, b: a + b)

    def __sub__(self, other):
        return self._with(other, lambda a, b: a - b)

    def __mul__(self, other):
        return self._with(other, lambda a, b: a * b)

    def __truediv__(self, other):
        return self._with(other, lambda a, b: a / b if b else math.nan)

    __radd__, __rmul__ = __add__, __mul__

    def most(self, limit):
        """This, or `limit` where that is less."""
        return self._with(limit, min)

    def least(self, limit):
        """This, or `limit` where that is more."""
        return self._with(limit, max)


def plain(value, unit=""):
    """A value with three digits that count and its unit; "not measured" where there is none."""
    if value is None or math.isnan(value):
        return ABSENT
    if value and abs(value) < 100:
        digits = max(0, 2 - math.floor(math.log10(abs(value))))
        text = f"{value:.{digits}f}"
        text = text.rstrip("0").rstrip(".") if "." in text else text
    else:
        size = 10 ** max(0, math.floor(math.log10(abs(value))) - 2) if value else 1
        text = f"{round(value / size) * size:,.0f}"
    return f"{text} {unit}".rstrip()


class Book:
    """All that the tables are worked out from. Raises BadCapacity where an input lacks a part."""

    def __init__(self, plan, scale, messages, run=None):
        for name, told, parts in (
            ("capacity.toml", plan, ("sizes", "budgets", "estimates", "rates", "shown")),
            ("scale.json", scale, ("slopes",)),
            ("messages.json", messages, ("figures",)),
        ):
            for part in parts:
                if not isinstance(told.get(part), dict):
                    raise BadCapacity(
                        f"{name}: {part}: expected a table, found {str(told.get(part))[:40]}"
                    )
        self.plan, self.scale, self.messages, self.run = plan, scale, messages, run or {}

    def size(self, name):
        """A size of the plan."""
        return Figure(float(self._of(self.plan["sizes"], "sizes", name)["value"]))

    def budget(self, name):
        """A budget: its value, unit and the words for it."""
        return self._of(self.plan["budgets"], "budgets", name)

    def estimate(self, name):
        """An estimate."""
        return Figure(
            float(self._of(self.plan["estimates"], "estimates", name)["value"]),
            (f"estimate {name}",),
        )

    def message(self, name):
        """A figure of benchmarks/messages.py."""
        found = self.messages["figures"].get(name)
        return Figure(found["value"] if found else None, (f"messages {name}",))

    def fit(self, size, figure, build=BUILD):
        """The slope of a figure by a size, as the scale runs have it; None where there is none."""
        return self.scale["slopes"].get(build, {}).get(size, {}).get(figure)

    def at(self, size, figure, value, build=BUILD):
        """A figure at a value of one size: the median of the runs where that value was run, else by the slope."""
        fit, source = self.fit(size, figure, build), f"scale {build}/{size} {figure}"
        if not fit:
            return Figure(None, (source,))
        for point in fit["points"]:
            if point[0] == value and point[1] is not None:
                return Figure(float(point[1]), (source,))
        if fit.get("slope") is None:
            return Figure(None, (source,))
        return Figure(
            fit["intercept"] + fit["slope"] * value,
            (f"{source}, by its slope" + ("" if fit.get("line", True) else " (no line)"),),
        )

    def played(self, *path):
        """A figure of the run at the whole size, by its path in the report."""
        found = self.run
        for key in path:
            found = found.get(key) if isinstance(found, dict) else None
        return Figure(found if isinstance(found, int | float) else None, (f"run {' '.join(path)}",))

    def each(self, role, figure):
        """The same for one of a role's processes, or one hollow gateway of a process."""
        return self.played("roles", role, figure) / self.played("roles", role, "number")

    def whole(self, figure, sizes, build=BUILD):
        """A figure where several sizes are large at once: that of the first, and what each of the others adds to its least
        point. The sizes were run one at a time, so this is a sum and says so."""
        first, *others = sizes
        told = self.at(first, figure, self.size(first).value, build)
        for size in others:
            fit = self.fit(size, figure, build)
            least = min((point[0] for point in fit["points"]), default=0.0) if fit else 0.0
            told = told + (
                self.at(size, figure, self.size(size).value, build)
                - self.at(size, figure, least, build)
            )
        return told

    @staticmethod
    def _of(table, part, name):
        if name not in table:
            raise BadCapacity(f"capacity.toml: {part}.{name}: missing, expected a figure")
        return table[name]


@dataclass(frozen=True)
class Row:
    """One line of what a role costs; `budget` names the budget it stands beside, or is empty."""

    role: str
    what: str
    figure: Figure
    unit: str
    budget: str = ""

    def factor(self, book):
        """How many times the budget it is; None where it has none or isn't measured."""
        if not self.budget or self.figure.value is None:
            return None
        return self.figure.value / book.budget(self.budget)["value"]

    def verdict(self, book):
        """Met or missed, and by what factor."""
        if not self.budget:
            return ""
        factor = self.factor(book)
        if factor is None:
            return ABSENT
        if factor > 1.0:
            return f"**missed**, {plain(factor)} times"
        return f"met, {plain(factor * 100)}% of it" if factor >= 0.001 else "met, under 0.1% of it"


# What the program does, in messages and steps.


def rpcs_each(book):
    return book.size("rpcs") / book.size("gateways")


def changes_each(book):
    """Changes of settings a second, the mean of a day."""
    return book.size("changes") / DAY


def news(book):
    """Changes of the host list a second, the mean of a day: machines that are hosts, each with its rows."""
    machines = book.size("hosts") + book.size("gateways")
    return (
        (book.size("replaced") + book.size("failed"))
        * (book.size("hosts") / machines)
        * book.estimate("rows")
        / DAY
    )


def calls_at_rest(book):
    """Watches of one gateway a second where there is no news: each hold is drawn from SPREAD_DRAW_MINIMUM of its longest time up."""
    return Figure(2 / ((1 + SPREAD_DRAW_MINIMUM) * Limits.watch_hold), ("backoff.py",))


def change_bytes(book):
    """What one change sends to and from one gateway: prepare and commit, and an answer to each."""
    return (
        book.message("prepare_bytes")
        + book.message("commit_bytes")
        + book.message("state_bytes_1200") * 2
    )


def written_bytes(book):
    """What one change writes to a gateway's disk: two generations once it is prepared, one once it is in force."""
    return book.message("remember_bytes") + book.message("remember_bytes") / 2


def delta_bytes(book):
    """The same where a changed row goes with digests, and answers name the roster by a digest."""
    return (
        book.message("delta_bytes")
        + book.message("commit_bytes")
        + book.message("state_bytes_digest") * 2
    )


def looks_bytes(book, answer="state_bytes_1200"):
    """Bytes a second of the looks of one control process at one gateway."""
    return (book.message("look_bytes") + book.message(answer)) / POLL_INTERVAL_S


def watch_bytes(book):
    return (book.message("watch_bytes") + book.message("no_news_bytes")) * calls_at_rest(book)


def news_bytes(book):
    return (book.message("watch_bytes") + book.message("news_bytes")) * news(book)


def add_bytes(book):
    return (book.message("add_bytes") + book.message("total_bytes")) * rpcs_each(book)


def change_ms(book):
    """Processor time of a gateway for one change: the prepare's seal and check, settings read to see whether they will do,
    the meet made and read while in doubt, the settings read once more when in force, and two states remembered."""
    return (
        book.message("prepare_ms")
        + book.message("seal_prepare_ms")
        + book.message("meet_ms")
        + settings_ms(book) * 3
        + book.message("remember_ms") * 2
    )


def in_use(book):
    """Hosts that a gateway uses: as many as its call-outs keep known."""
    return (rpcs_each(book) * SAMPLE_LIFETIME / SAMPLES_PER_ENDPOINT).least(SUBSET_MINIMUM)


def settings_ms(book):
    return book.at("methods", "settings_read_ms", book.size("methods").value)


def credit(book, spread):
    """Adds an RPC where a customer comes to so many gateways: a lease covers a part of a window's demand, with headroom, and
    one RPC at least; with customers whose RPCs are alike."""
    each = book.size("rpcs") / book.size("customers") / spread
    held = (each * book.estimate("window_s") * (WINDOW_FILLS * LEASE_AHEAD * HEADROOM)).least(1.0)
    return Figure(1.0) / held


def data_path(book):
    role = "gateway, data path"
    hosts = partial(book.at, "hosts", value=book.size("hosts").value)
    sizes = ("hosts", "customers", "methods")
    return [
        Row(role, "state: hosts", book.size("hosts"), "hosts"),
        Row(
            role,
            "state: customers seen in a window, at most",
            rpcs_each(book) * book.estimate("window_s"),
            "customers",
        ),
        Row(
            role,
            "decision, 99 in 100, all sizes at once (as a sum)",
            book.whole("decision_p99_ms", sizes),
            "ms",
            "added_ms",
        ),
        Row(
            role,
            "decision, 99 in 100, by hosts alone",
            hosts(figure="decision_p99_ms"),
            "ms",
            "decision_ms",
        ),
        Row(role, "decision, the median, by hosts alone", hosts(figure="decision_p50_ms"), "ms"),
        Row(role, "processor, at its RPCs", book.whole("cores", sizes), "cores"),
        Row(role, "RPCs", rpcs_each(book), "1/s"),
        Row(role, "hosts in use, by its own call-outs", in_use(book), "hosts"),
        Row(role, "whole host list taken over", hosts(figure="list_whole_ms"), "ms"),
        Row(role, "the longest turn of that", hosts(figure="list_turn_ms"), "ms", "turn_ms"),
        Row(role, "whole host list read (JSON)", book.message("list_read_ms"), "ms"),
        Row(
            role,
            "one change of the list taken over",
            hosts(figure="list_change_ms"),
            "ms",
            "list_change_ms",
        ),
        Row(role, "settings read", settings_ms(book), "ms", "settings_read_ms"),
        Row(
            role,
            "RPCs that come while a change of settings is taken over, and wait",
            change_ms(book) / MS * changes_each(book),
            "of 1",
            "late_share",
        ),
    ]


def control_part(book):
    role, each = "gateway, control part", changes_each(book)
    now = watch_bytes(book) + news_bytes(book) + looks_bytes(book) + change_bytes(book) * each
    then = (
        watch_bytes(book)
        + news_bytes(book)
        + looks_bytes(book, "state_bytes_digest")
        + delta_bytes(book) * each
    )
    core = (
        book.message("look_ms") / MS
        + change_ms(book) / MS * each
        + news(book) * book.at("hosts", "list_change_ms", book.size("hosts").value) / MS
    )
    return [
        Row(role, "state: settings, read", book.message("settings_mb"), "MB"),
        Row(role, "state: members of the roster", book.size("gateways"), "names"),
        Row(role, "watch of the host list, at rest", watch_bytes(book), "B/s", "control_bytes"),
        Row(role, "changes of the host list", news_bytes(book), "B/s", "control_bytes"),
        Row(role, "looks of one control process", looks_bytes(book), "B/s", "control_bytes"),
        Row(
            role,
            "settings, whole at each change",
            change_bytes(book) * each,
            "B/s",
            "control_bytes",
        ),
        Row(role, "all of these", now, "B/s", "control_bytes"),
        Row(role, "all of these, by deltas and digests (not built)", then, "B/s", "control_bytes"),
        Row(
            role,
            "adds on the counter, one an RPC (credit; not in the sum)",
            add_bytes(book),
            "B/s",
            "control_bytes",
        ),
        Row(
            role,
            "written to its disk in a day, for changes",
            written_bytes(book) * book.size("changes") / GB,
            "GB",
        ),
        Row(role, "processor for one change of settings", change_ms(book), "ms"),
        Row(
            role,
            "processor: looks, changes of settings and of the list",
            core,
            "cores",
            "control_core",
        ),
        Row(
            role,
            "processor of a hollow gateway, measured",
            book.each("hollow", "cpu_s"),
            "cores",
            "control_core",
        ),
        Row(
            role,
            "processor of a real gateway without RPCs, measured",
            book.each("real", "cpu_s"),
            "cores",
            "control_core",
        ),
        Row(
            role,
            "traffic of a real gateway without RPCs, measured",
            book.each("real", "bytes_in") + book.each("real", "bytes_out"),
            "B/s",
            "control_bytes",
        ),
        Row(
            role,
            "memory of a hollow gateway, measured",
            book.played("roles", "hollow", "rss_mb_each") * MIB,
            "MB",
            "control_mb",
        ),
        Row(
            role,
            "memory of a real gateway, all of it, measured",
            book.each("real", "rss_mb") * MIB,
            "MB",
            "control_mb",
        ),
        Row(
            role,
            "memory of the module with its lists, as a sum",
            book.whole("memory_mb", ("hosts", "customers", "methods")),
            "MB",
            "control_mb",
        ),
    ]


def control_process(book):
    role, gateways = "control process, one for all", book.size("gateways")
    number = f"{gateways.value:.0f}"
    change = change_bytes(book) * gateways
    work = (
        book.message(f"leader_change_ms_{number}")
        + book.message("prepare_write_ms") * gateways
        + book.message("look_ms") * gateways
    ) / MS
    rest = (
        book.message(f"leader_look_ms_{number}") / MS / POLL_INTERVAL_S
        + book.message("look_ms") / MS / POLL_INTERVAL_S * gateways
    )
    return [
        Row(
            role,
            "state: names of members, a list for each gateway heard",
            gateways * gateways,
            "names",
        ),
        Row(role, "looks at rest", gateways * 1.0, "1/s"),
        Row(role, "traffic at rest", looks_bytes(book) * gateways / MB, "MB/s"),
        Row(
            role,
            "processor at rest: rules and seals of the looks, without sockets",
            rest,
            "cores",
            "control_process_core",
        ),
        Row(
            role,
            "processor, measured",
            book.each("control", "cpu_s"),
            "cores",
            "control_process_core",
        ),
        Row(role, "memory, measured", book.each("control", "rss_mb") * MIB, "MB", "machine_mb"),
        Row(
            role,
            "messages for one change",
            book.message(f"leader_calls_{number}") * gateways,
            "calls",
        ),
        Row(role, "bytes for one change, whole settings", change / MB, "MB"),
        Row(
            role,
            "prepares in memory at once, at most",
            book.message("prepare_bytes") * gateways / MB,
            "MB",
        ),
        Row(
            role,
            "memory that stays, of a day's changes (the history keeps each one's settings)",
            book.message("settings_mb") * book.size("changes"),
            "MB",
            "machine_mb",
        ),
        Row(
            role,
            "journal written in a day, which none shortens",
            book.message("record_bytes") * book.size("changes") / GB,
            "GB",
        ),
        Row(
            role,
            "processor to write all prepares",
            book.message("prepare_write_ms") / MS * gateways,
            "s",
            "patience_s",
        ),
        Row(
            role,
            "one change on one card, whole settings",
            change / MB / book.estimate("link_mb"),
            "s",
            "in_force_s",
        ),
        Row(
            role,
            "bytes for one change, by deltas and digests (not built)",
            delta_bytes(book) * gateways / MB,
            "MB",
        ),
        Row(
            role,
            "rules for one change",
            book.message(f"leader_change_ms_{number}") / MS,
            "s",
            "give_up_s",
        ),
        Row(role, "processor for one change", work, "s", "in_force_s"),
        Row(
            role,
            "time of changes in a second, the day's mean",
            work * changes_each(book),
            "cores",
            "control_process_core",
        ),
        Row(
            role,
            "rules until it leads, after a start",
            book.message(f"leader_seek_ms_{number}") / MS,
            "s",
            "in_force_s",
        ),
        Row(
            role,
            "changes committed, of those proposed, measured",
            book.played("settings", "committed") / book.played("settings", "changes"),
            "of 1",
        ),
        Row(role, "gateways ready, the last one, measured", book.played("ready_s", "last"), "s"),
        Row(
            role,
            "settings in force at the last gateway, measured",
            book.played("settings", "last_s"),
            "s",
            "in_force_s",
        ),
    ]


def discovery(book):
    role, gateways = "discovery, as we use it", book.size("gateways")
    rest = gateways * calls_at_rest(book)
    return [
        Row(role, "state: watches held", gateways, "watches"),
        Row(role, "calls at rest", rest, "1/s"),
        Row(role, "traffic at rest", watch_bytes(book) * gateways / MB, "MB/s"),
        Row(role, "calls for the day's changes of the list", news(book) * gateways, "1/s"),
        Row(role, "traffic for these", news_bytes(book) * gateways / MB, "MB/s"),
        Row(
            role,
            "processor at rest, of what one core does",
            (rest + news(book) * gateways) / book.estimate("discovery_calls"),
            "cores",
        ),
        Row(role, "processor of the stand-in, measured", book.each("discovery", "cpu_s"), "cores"),
        Row(
            role,
            "calls, with one change of the list a second, measured",
            book.played("roles", "discovery", "messages_in"),
            "1/s",
        ),
        Row(role, "one whole list", book.message("list_bytes") / MB, "MB"),
        Row(
            role,
            "list in force at the last gateway, measured",
            book.played("list", "last_s"),
            "s",
            "in_force_s",
        ),
    ]


def counter(book):
    role, rpcs = "counter", book.size("rpcs")
    spreads = {
        "few": book.estimate("few"),
        "some": book.estimate("some"),
        "all": book.size("gateways"),
    }
    rows = [
        Row(role, f"adds an RPC, customers at {what} gateways", credit(book, spread), "adds")
        for what, spread in spreads.items()
    ]
    most = rpcs * credit(book, book.estimate("some"))
    return rows + [
        Row(
            role,
            "adds an RPC, measured with all customers at one gateway",
            book.at("customers", "adds_per_rpc", book.size("customers").value),
            "adds",
        ),
        Row(role, "adds on one counter, customers at some gateways", most, "1/s"),
        Row(role, "of what one core does", most / book.estimate("counter_adds"), "cores"),
        Row(role, "adds on the counter of one region", most / book.size("regions"), "1/s"),
        Row(
            role,
            "of what one core does, one counter a region",
            most / book.size("regions") / book.estimate("counter_adds"),
            "cores",
        ),
        Row(
            role,
            "processor of the stand-in at a few hundred adds a second, measured",
            book.each("counter", "cpu_s"),
            "cores",
        ),
        Row(role, "traffic on one counter", add_bytes(book) * book.size("gateways") / MB, "MB/s"),
        Row(
            role,
            "connections, at most",
            book.size("gateways") * Limits.counter_connections,
            "connections",
        ),
        Row(
            role,
            "state: counts, customers that are seen in two windows",
            book.size("customers") * 2,
            "counts",
        ),
    ]


def hosts(book):
    role, used = "hosts, as we load them", in_use(book)
    return [
        Row(role, "RPCs on a host", book.size("rpcs") / book.size("hosts"), "1/s"),
        Row(
            role,
            "gateways that have it in use",
            book.size("gateways") * used / book.size("hosts"),
            "gateways",
        ),
        Row(role, "RPCs from one gateway on one host in use", rpcs_each(book) / used, "1/s"),
        Row(
            role,
            "exchanges in the sets of all gateways",
            book.size("gateways") / SUBSET_ROTATION,
            "1/s",
        ),
    ]


ROLES = (data_path, control_part, control_process, discovery, counter, hosts)


def rows_of(book):
    """All rows of all roles, in order."""
    return [row for role in ROLES for row in role(book)]


# Tables.


@dataclass(frozen=True)
class Table:
    """A table of the page: its name, headings and rows of text."""

    name: str
    heads: tuple
    rows: tuple

    def text(self):
        """As the page has it."""
        lines = (self.heads, ("---",) * len(self.heads), *self.rows)
        return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)


def sources(figure):
    return ", ".join(figure.sources) or "plan"


def role_table(name, rows, book):
    return Table(
        name,
        ("what", "at that size", "budget", "verdict", "from"),
        tuple(
            (
                row.what,
                plain(row.figure.value, row.unit),
                limit(row, book),
                row.verdict(book),
                sources(row.figure),
            )
            for row in rows
        ),
    )


def limit(row, book):
    """The budget beside a row, as text."""
    return (
        plain(book.budget(row.budget)["value"], book.budget(row.budget)["unit"])
        if row.budget
        else ""
    )


def run_table(book):
    """Which runs the figures are of."""
    scale, machine = book.scale, book.scale.get("machine") or {}
    load = [plain(one) for one in scale.get("load") or () if one is not None]
    notes = book.plan.get("notes", {})
    return Table(
        "runs",
        ("file", "commit", "runs", "machine", "load before and after", "note"),
        (
            (
                "scale.json",
                str(scale.get("commit", ABSENT)),
                f"{len(scale.get('runs') or ())}",
                f"{machine.get('cores', '?')} cores, {machine.get('memory_gb', '?')} GB, Python {machine.get('python', '?')}",
                " and ".join(load) or ABSENT,
                notes.get("scale", ""),
            ),
            (
                "messages.json",
                str(book.messages.get("commit", ABSENT)),
                str(sum(one.get("runs", 1) for one in book.messages["figures"].values())),
                f"Python {book.messages.get('python', '?')}",
                plain(book.messages.get("load")),
                notes.get("messages", ""),
            ),
            (
                "scale-1200.txt",
                ABSENT,
                "1" if book.run else ABSENT,
                ABSENT,
                ABSENT,
                notes.get("run", ""),
            ),
        ),
    )


def size_table(book):
    return Table(
        "sizes",
        ("size", "value"),
        tuple((told["what"], f"{told['value']:,}") for told in book.plan["sizes"].values()),
    )


def budget_table(book):
    return Table(
        "budgets",
        ("budget", "value", "set by"),
        tuple(
            (told["what"], plain(told["value"], told["unit"]), told["by"])
            for told in book.plan["budgets"].values()
        ),
    )


def estimate_table(book):
    return Table(
        "estimates",
        ("estimate", "value", "basis"),
        tuple(
            (name, plain(told["value"], told["unit"]), told["basis"])
            for name, told in book.plan["estimates"].items()
        ),
    )


def message_table(book):
    return Table(
        "messages",
        ("figure", "value", "runs", "what"),
        tuple(
            (name, plain(told["value"], told["unit"]), str(told.get("runs", 1)), told["what"])
            for name, told in book.messages["figures"].items()
        ),
    )


def slope_table(book):
    """The slopes that the plan names as shown; the file has all."""
    rows = []
    for size, figures in book.plan["shown"].items():
        for figure in figures:
            fit = book.fit(size, figure)
            points = [point for point in fit["points"] if point[1] is not None] if fit else []
            if not points:
                rows.append((size, figure, "", *[ABSENT] * 4, "", ""))
                continue
            least, most = fit.get("spread") or (None, None)
            rows.append(
                (
                    size,
                    figure,
                    fit.get("unit", ""),
                    plain(fit["intercept"]),
                    number(fit["slope"]),
                    f"{number(least)} to {number(most)}",
                    "yes" if fit.get("line") else "no",
                    told_points(points),
                    fit.get("note") or "",
                )
            )
    heads = (
        "by",
        "figure",
        "unit",
        "at none",
        "for each more",
        "spread",
        "a line",
        "points",
        "note",
    )
    return Table("slopes", heads, tuple(rows))


def number(value):
    return ABSENT if value is None else f"{value:.3g}"


def told_points(points):
    return "; ".join(f"{point[0]:,g}: {plain(point[1])}" for point in points)


def compared_table(book):
    """The build before and this one, at the least and the largest point."""
    rows = []
    for size, figures in book.plan["shown"].items():
        for figure in figures:
            fit, ours = book.fit(size, figure, "base"), book.fit(size, figure)
            if not fit or not ours or not fit["points"] or not ours["points"]:
                continue
            for before in (fit["points"][0], fit["points"][-1]):
                after = [point for point in ours["points"] if point[0] == before[0]]
                if after and before[1] is not None and after[0][1] is not None:
                    rows.append(
                        (
                            size,
                            f"{before[0]:,g}",
                            figure,
                            plain(before[1], fit.get("unit", "")),
                            plain(after[0][1], fit.get("unit", "")),
                            plain(before[1] / after[0][1]) if after[0][1] else ABSENT,
                        )
                    )
    return Table(
        "before", ("size", "at", "figure", "before", "this build", "before over this"), tuple(rows)
    )


def prediction_table(book):
    return Table(
        "predictions",
        ("by", "at", "figure", "stated", "found", "off", "within"),
        tuple(
            (
                one["size"],
                f"{one['value']:,g}",
                one["figure"],
                plain(one["stated"]),
                plain(middle(one["found"])),
                ABSENT if one.get("off") is None else f"{one['off'] * 100:+.0f}%",
                {True: "yes", False: "no"}.get(one.get("within"), ABSENT),
            )
            for one in book.scale.get("predictions", ())
            if one["figure"] in book.plan["shown"].get(one["size"], ())
        ),
    )


def middle(found):
    """The median of some runs; None of none."""
    if isinstance(found, list):
        return statistics.median(found) if found else None
    return found


def case_table(book):
    """Hard cases and the evenness of hosts in use, as the scale runs have them."""
    rows = [*(book.scale.get("hard") or ()), *(book.scale.get("sets") or ())]
    return Table(
        "cases",
        ("case", "build", "figures"),
        tuple(
            (
                row["case"],
                row["build"],
                "; ".join(f"{name} {plain(value)}" for name, value in row["figures"].items()),
            )
            for row in rows
        ),
    )


def settings_ways(book):
    """Ways to tell a change to all: what the busiest sender does for one, and what a gateway hears a second."""
    gateways, zones, regions = (book.size(name) for name in ("gateways", "zones", "regions"))
    whole, delta = change_bytes(book), delta_bytes(book)

    def row(way, told, one, members):
        rules = book.message(f"leader_change_ms_{members}") / MS
        return (
            way,
            plain(told.value),
            plain((one * told / MB).value, "MB"),
            plain(rules.value, "s"),
            plain((one * changes_each(book)).value, "B/s"),
            sources(one),
        )

    number = f"{gateways.value:.0f}"
    of_zone, of_region = gateways / zones, gateways / regions
    return Table(
        "settings-ways",
        (
            "way",
            "gateways that the busiest tells",
            "its bytes for a change",
            "its rules",
            "at a gateway",
            "from",
        ),
        (
            row("whole, one for all (as it is)", gateways, whole, number),
            row("whole, a tree: one a zone passes on", of_zone, whole, f"{of_zone.value:.0f}"),
            row("whole, one control process a region", of_region, whole, f"{of_region.value:.0f}"),
            row("deltas by digest, one for all", gateways, delta, number),
            row(
                "deltas by digest, one control process a region",
                of_region,
                delta,
                f"{of_region.value:.0f}",
            ),
        ),
    )


def counter_ways(book):
    """Ways to divide the shared count."""
    adds, regions = book.size("rpcs") * credit(book, book.estimate("some")), book.size("regions")
    rows = (
        ("one counter for all (as it is)", adds),
        ("one a region, customers at home in one", adds / regions),
        ("by key over some in each region", adds / regions / book.estimate("counters")),
    )
    return Table(
        "counter-ways",
        ("way", "adds on each", "of what one core does", "from"),
        tuple(
            (
                way,
                plain(each.value, "1/s"),
                plain((each / book.estimate("counter_adds")).value, "cores"),
                sources(each),
            )
            for way, each in rows
        ),
    )


def list_ways(book):
    """Ways to know of hosts: all of them, or those of a region or a service."""
    hosts_, row = book.size("hosts"), book.message("list_bytes") / book.size("hosts")
    rows = (
        ("all hosts (as it is)", hosts_),
        ("those of its region", hosts_ / book.size("regions")),
        ("those of some services", hosts_ / book.size("services") * book.estimate("served")),
    )
    return Table(
        "list-ways",
        ("a gateway knows", "hosts", "a whole list", "changes, the day's mean", "from"),
        tuple(
            (
                way,
                plain(number_.value),
                plain((row * number_ / MB).value, "MB"),
                plain((news(book) * number_ / hosts_).value, "1/s"),
                sources(row * number_),
            )
            for way, number_ in rows
        ),
    )


def region_table(book):
    """What one region has of each central role, where each region has its own, beside one for all."""
    regions, gateways = book.size("regions"), book.size("gateways")
    adds = book.size("rpcs") * credit(book, book.estimate("some"))
    number = f"{(gateways / regions).value:.0f}"
    rows = (
        ("gateways that one control process tells", gateways, gateways / regions, "gateways"),
        (
            "bytes for one change, whole settings",
            change_bytes(book) * gateways / MB,
            change_bytes(book) * gateways / regions / MB,
            "MB",
        ),
        (
            "rules for one change",
            book.message(f"leader_change_ms_{gateways.value:.0f}") / MS,
            book.message(f"leader_change_ms_{number}") / MS,
            "s",
        ),
        ("looks at rest", gateways * 1.0, gateways / regions, "1/s"),
        (
            "calls at discovery, at rest",
            gateways * calls_at_rest(book),
            gateways / regions * calls_at_rest(book),
            "1/s",
        ),
        ("adds on the counter, customers at some gateways", adds, adds / regions, "1/s"),
        ("hosts in the list", book.size("hosts"), book.size("hosts") / regions, "hosts"),
        (
            "a whole list",
            book.message("list_bytes") / MB,
            book.message("list_bytes") / regions / MB,
            "MB",
        ),
    )
    return Table(
        "regions",
        ("what", "one for all", "one of each region", "from"),
        tuple(
            (what, plain(all_.value, unit), plain(one.value, unit), sources(all_))
            for what, all_, one, unit in rows
        ),
    )


def failure_table(book):
    """Failures at their stated rates: how often, and what one costs."""
    rates = {name: told["often"] for name, told in book.plan["rates"].items()}
    machine, rack_, zone_, restart, cut = (
        rates[name] for name in ("machine", "rack", "zone", "restart", "cut")
    )
    gateways, hosts_, regions, zones = (
        book.size(name) for name in ("gateways", "hosts", "regions", "zones")
    )
    row, per_host = book.message("list_row_bytes"), book.estimate("rows")
    told = (book.message("news_bytes") + book.message("watch_bytes")) * gateways
    zone, rack = hosts_ / zones, book.estimate("rack")
    half = gateways / 2
    start_state = half * (book.message("look_bytes") + book.message("state_bytes_1200"))
    region = gateways / regions
    lists = region * book.message("list_bytes") / MB
    content = region * book.message("content_bytes") / MB
    starts = (book.size("replaced") + book.size("failed")) * (gateways / (hosts_ + gateways))

    def gone(what, rate, machines, seconds=None):
        news_ = machines * per_host
        return [
            (what, rate, "rows of the list to each gateway", news_, "rows"),
            (what, rate, "bytes to each gateway", news_ * row / 1e3, "kB"),
            (
                what,
                rate,
                "bytes from discovery, if each row goes alone",
                machines * per_host * told / MB,
                "MB",
            ),
            *(
                [
                    (
                        what,
                        rate,
                        "the same a second, by its length",
                        machines * per_host * told / MB / seconds,
                        "MB/s",
                    ),
                    (
                        what,
                        rate,
                        "processor of a gateway for it, by its length",
                        news_ / seconds * book.at("hosts", "list_change_ms", hosts_.value) / MS,
                        "cores",
                    ),
                ]
                if seconds
                else []
            ),
        ]

    out = [
        *gone("a machine is replaced", machine, Figure(1.0)),
        ("a gateway starts", machine, "starts, by their share of all machines", starts, "a day"),
        ("a gateway starts", machine, "whole list read", book.message("list_bytes") / MB, "MB"),
        ("a gateway starts", machine, "calls to other gateways until it knows", half, "calls"),
        ("a gateway starts", machine, "bytes of these calls", start_state / MB, "MB"),
        (
            "a gateway starts",
            machine,
            "its processor for these and the list",
            (half * book.message("look_ms") + book.message("list_read_ms")) / MS,
            "s",
        ),
        *gone("a rack", rack_, rack),
        *gone("a zone", zone_, zone, book.estimate("zone_s")),
        ("a zone", zone_, "hosts that come back cold", zone, "hosts"),
        ("a region's gateways restart at once", restart, "whole lists from discovery", lists, "MB"),
        (
            "a region's gateways restart at once",
            restart,
            "these on one card",
            lists / book.estimate("link_mb"),
            "s",
        ),
        (
            "a region's gateways restart at once",
            restart,
            "settings, where they lost them",
            content,
            "MB",
        ),
        (
            "a region's gateways restart at once",
            restart,
            "calls to other gateways",
            region * half,
            "calls",
        ),
        (
            "a region's gateways restart at once",
            restart,
            "calls that each gateway answers",
            region * half / gateways,
            "calls",
        ),
        (
            "a region's gateways restart at once",
            restart,
            "bytes of these",
            region * start_state / MB,
            "MB",
        ),
        (
            "a region is cut off for an hour",
            cut,
            "changes of settings that fall into it",
            changes_each(book) * HOUR,
            "changes",
        ),
        ("a region is cut off for an hour", cut, "gateways there", region, "gateways"),
        (
            "a region is cut off for an hour",
            cut,
            "gateways there that start meanwhile and can't serve",
            starts / regions * (HOUR / DAY),
            "gateways",
        ),
        (
            "a region is cut off for an hour",
            cut,
            "others that a start has to hear, and has",
            half - region,
            "too few",
        ),
        (
            "a region is cut off for an hour",
            cut,
            "RPCs there in the hour, in millions",
            book.size("rpcs") / regions * HOUR / MB,
            "million",
        ),
    ]
    return Table(
        "failures",
        ("failure", "how often", "what", "cost", "from"),
        tuple(
            (what, rate, cost, plain(figure.value, unit), sources(figure))
            for what, rate, cost, figure, unit in out
        ),
    )


def missed_table(book):
    """What misses its budget, the worst first; and what stands open for want of a measurement."""
    rows = [row for row in rows_of(book) if row.budget]
    missed = sorted(
        (row for row in rows if (row.factor(book) or 0.0) > 1.0), key=lambda row: -row.factor(book)
    )
    open_ = [row for row in rows if row.figure.value is None]
    return Table(
        "missed",
        ("role", "what", "at that size", "budget", "set by", "times"),
        tuple(
            (
                row.role,
                row.what,
                plain(row.figure.value, row.unit),
                limit(row, book),
                book.budget(row.budget)["by"],
                plain(row.factor(book)),
            )
            for row in (*missed, *open_)
        ),
    )


def tables(plan, scale, messages, run=None):
    """All tables of the page, in its order. Raises BadCapacity."""
    book = Book(plan, scale, messages, run)
    roles = [
        role_table(name, role(book), book)
        for name, role in zip(
            ("data-path", "control-part", "control-process", "discovery", "counter", "hosts"),
            ROLES,
            strict=True,
        )
    ]
    return [
        run_table(book),
        size_table(book),
        budget_table(book),
        *roles,
        settings_ways(book),
        counter_ways(book),
        list_ways(book),
        region_table(book),
        failure_table(book),
        missed_table(book),
        compared_table(book),
        slope_table(book),
        prediction_table(book),
        case_table(book),
        message_table(book),
        estimate_table(book),
    ]


# The page.


def marks(name):
    return f"<!-- table {name} -->", f"<!-- end {name} -->"


def span(page, name):
    """Where a table lies in a page, between its markers. Raises BadCapacity."""
    first, last = marks(name)
    for mark in (first, last):
        if page.count(mark) != 1:
            raise BadCapacity(
                f"page: {mark}: expected this marker once, found it {page.count(mark)} times"
            )
    start, end = page.index(first) + len(first), page.index(last)
    if end < start:
        raise BadCapacity(f"page: {last}: expected after {first}, found before")
    return start, end


def written(page, found):
    """The page with these tables in it. Raises BadCapacity."""
    for table in found:
        start, end = span(page, table.name)
        page = page[:start] + "\n" + table.text() + "\n" + page[end:]
    return page


def differs(page, found):
    """One line that names the first table that the page has otherwise, and the line where; None where all agree. Raises
    BadCapacity."""
    for table in found:
        start, end = span(page, table.name)
        theirs, ours = page[start:end].strip("\n").split("\n"), table.text().split("\n")
        if theirs != ours:
            at = next(
                (
                    at
                    for at, (one, other) in enumerate(zip(theirs, ours, strict=False))
                    if one != other
                ),
                min(len(theirs), len(ours)),
            )
            expected, has = (
                lines[at][:120] if at < len(lines) else "nothing" for lines in (ours, theirs)
            )
            return f"table {table.name}, line {at + 1}: expected {expected}, found {has}"
    return None
