"""Scale runs: many hollow gateways beside some real ones, before the same stand-ins and the same control process.

    [scale]
    hollow = 30             # gateways without clients and hosts, hundreds in one process
    real = 0                # gateways as they are, a process each, without clients
    hosts = 50              # in the list that discovery serves
    methods = 4             # in the settings
    customers = 200         # that RPCs are drawn of
    rpcs = 0.0              # a second over all hollow gateways; needs `module`
    seconds = 10.0          # of the steady part
    list_changes = 0.0      # a second: a host drains, or comes back
    settings_changes = 0    # in the run, through the control process; needs `agreement`
    agreement = false       # a control process, and agents at the gateways
    module = true           # hollow gateways decide and lease; else they hold no host
    processes = 0           # for the hollow ones; 0: as needed
    seed = 1
    cut = 0.0               # share of the roster whose management listeners answer nobody during the changes of settings
    restart_at = 0.0        # all hollow gateways end at this second and begin anew at once, without a list; 0: never
    discovery_rate = 0.0    # calls that discovery serves a second, the rest get status 503; 0: no limit

What is out of form, or more than a machine's share, raises ScaleError with one line before anything is started. Who is
where: discovery and the counter have a process each, as have the control process and each real gateway; the rig alone has no
part in what is measured. Figures are those that each process tells of itself (`metered`), from the begin of the steady part
to its end; starts are told apart. A change is in force at a gateway when its host list has it, or when it knows the
generation to be in force without a doubt; by the gateway's own clock, which on one machine is everybody's.
"""

import os
import resource
import statistics
import time
import tomllib
from functools import partial

import msgspec
import orjson

from petrellane.testbed.fleet_spec import SettingsSpec, build_settings
from petrellane.testbed.testbed import ScaleRunError, ScaleTestbed

SHARE = 0.5  # of the machine's memory that a run may take
PROCESSES = 300  # and processes
SIDE = 50  # hollow gateways in one process, where the file names no number of them
SPARE = 200  # descriptors beside those for gateways
HELD = 14  # descriptors that a hollow gateway may hold: its watch, its listener, the counter's eight, callers
EMPTY_MB = 30.0  # of a process that holds nothing yet
HOLLOW_MB = 0.1  # of a hollow gateway
MEMBER_MB = 0.0004  # of a member of the roster, in each gateway that agrees
ASKED_MB = 0.0001  # of a member in the control process, for each gateway, as each names all
HOST_MB = 0.004  # of a host in a real gateway, in its module
ROW_MB = 0.002  # of a host in the stand-in, and in a process of hollow gateways
LIST_MB = 0.00015  # of a host in each hollow gateway that gets the list whole
METHOD_MB = 0.002  # of a method in a gateway that has agreed on settings of its own
TIME_MB = 0.00005  # of the time at which one gateway had one change of the list, kept by the rig
STOOD_STILL = 0.5  # seconds after which the rig's own times are no good
FENCE = 1.0  # seconds after which a hollow gateway that stood still asks what it may have missed
ROLES = ("hollow", "real", "control", "discovery", "counter")
WORDS = ("cpu_s", "messages_in", "messages_out", "bytes_in", "bytes_out")


class ScaleError(Exception):
    """A run that will not do; the text is one line."""


class Scale(msgspec.Struct, forbid_unknown_fields=True):
    """The section `scale`."""

    hollow: int = 30
    real: int = 0
    hosts: int = 50
    methods: int = 4
    customers: int = 200
    rpcs: float = 0.0
    seconds: float = 10.0
    list_changes: float = 0.0
    settings_changes: int = 0
    agreement: bool = False
    module: bool = True
    processes: int = 0
    seed: int = 1
    cut: float = 0.0
    restart_at: float = 0.0
    discovery_rate: float = 0.0


class File(msgspec.Struct, forbid_unknown_fields=True):
    """A whole file."""

    scale: Scale


RANGES = {
    "hollow": (0, 5000),
    "real": (0, 200),
    "hosts": (1, 50_000),
    "methods": (3, 10_000),
    "customers": (1, 200_000),
    "rpcs": (0, 100_000),
    "seconds": (1, 600),
    "list_changes": (0, 1000),
    "settings_changes": (0, 100),
    "processes": (0, 200),
    "seed": (0, 2**31),
    "cut": (0, 1),
    "restart_at": (0, 600),
    "discovery_rate": (0, 1e6),
}


def read(text: str, name: str = "run") -> Scale:
    """The run that a file's text holds. Raises ScaleError."""
    try:
        told = msgspec.convert(tomllib.loads(text), File).scale
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScaleError(f"{name}: {error}") from None
    check(told, name)
    return told


def load(path: str) -> Scale:
    """The run of a file. Raises ScaleError."""
    try:
        with open(path, encoding="utf-8") as file:
            return read(file.read(), path)
    except (OSError, UnicodeDecodeError) as error:
        raise ScaleError(f"{path}: expected a readable file: {error}") from None


def check(told: Scale, name: str = "run") -> None:
    """Raise ScaleError where a run is out of form."""

    def refuse(key, expected):
        raise ScaleError(f"{name}: scale.{key}: expected {expected}, found {getattr(told, key)}")

    for key, (least, most) in RANGES.items():
        if not least <= getattr(told, key) <= most:
            refuse(key, f"{least:g} to {most:g}")
    if not told.hollow + told.real:
        refuse("hollow", "at least one gateway, hollow or real")
    if told.rpcs and not (told.module and told.hollow):
        refuse("rpcs", "0 without hollow gateways that have their module")
    if told.settings_changes and not told.agreement:
        refuse("settings_changes", "0 without agreement")
    if told.cut and not told.settings_changes:
        refuse("cut", "0 without changes of settings")
    if told.restart_at >= told.seconds:
        refuse("restart_at", f"less than the {told.seconds:g} seconds of the run")
    if told.processes > told.hollow:
        refuse("processes", f"at most the {told.hollow} hollow gateways")


def crowds(told: Scale) -> list[range]:
    """The numbers of the hollow gateways, by process."""
    number = told.processes or -(-told.hollow // SIDE)
    ends = [told.hollow * at // number for at in range(number + 1)] if number else [0]
    return [range(*pair) for pair in zip(ends, ends[1:], strict=False)]


def estimate(told: Scale) -> float:
    """Megabytes of memory that a run will take, from what was measured of each part; on the high side."""
    parts, gateways = len(crowds(told)), told.hollow + told.real
    agreed = (METHOD_MB * told.methods + MEMBER_MB * gateways) * gateways + ASKED_MB * gateways**2
    return (
        EMPTY_MB * (parts + told.real + 4)
        + HOLLOW_MB * told.hollow
        + HOST_MB * told.hosts * told.real
        + ROW_MB * told.hosts * (parts + 2)
        + LIST_MB * told.hosts * told.hollow * bool(told.restart_at)
        + TIME_MB * told.list_changes * told.seconds * gateways
        + agreed * told.agreement
    )


def fits(
    told: Scale, name: str = "run", memory: float | None = None, descriptors: int | None = None
) -> None:
    """Raise ScaleError where a run would take more than its share of this machine: of its `memory` in megabytes, of
    processes, or of the `descriptors` that one process may hold."""
    if memory is None:
        memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**20
    if descriptors is None:
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    parts, gateways = crowds(told), told.hollow + told.real
    if (needed := len(parts) + told.real + 4) > PROCESSES:
        raise ScaleError(f"{name}: expected at most {PROCESSES} processes, found {needed}")
    if (needed := estimate(told)) > SHARE * memory:
        raise ScaleError(
            f"{name}: expected at most {SHARE * memory:.0f} MB, {SHARE:g} of the memory, found about "
            f"{needed:.0f}"
        )
    needed = SPARE + max([gateways, 8 * gateways, *(HELD * len(part) for part in parts)])
    if needed > descriptors:
        raise ScaleError(
            f"{name}: expected at most {descriptors} descriptors in a process (RLIMIT_NOFILE), found {needed}"
        )


def settings(told: Scale, change: int = 0) -> dict:
    """The settings of a run, after so many changes: customers' plan has a quota that they stay below, and the counter."""
    made = build_settings(
        SettingsSpec(
            max(1, told.hollow + told.real),
            extra_methods=[f"m{at}" for at in range(told.methods - 3)],
            quota=1000.0,
        )
    )
    made["classes"][0]["giveUp"] += change * 1000
    return made


def summed(parties, begin, end):
    """A role's figures over its processes."""
    rows = [one.usage(begin, end) for one in parties]
    up = [one for one in parties if one.meter_lines and one.process.is_running]
    role = {
        "number": sum(one.gateway_count for one in up),
        "rss_mb": sum(one.meter_lines[-1]["rss"] for one in up) / 2**20,
    }
    role |= {word: sum(row[0][at] for row in rows) for at, word in enumerate(WORDS)}
    kinds = sorted({kind for row in rows for kind in row[1]})
    role["by"] = {
        kind: {
            word: sum(row[1].get(kind, [0.0] * 4)[at] for row in rows)
            for at, word in enumerate(WORDS[1:])
        }
        for kind in kinds
    }
    return role


def spent_so_far(parties):
    """What a role's processes spent since they began, in all."""
    lines = [one.meter_lines[-1] for one in parties if one.meter_lines]
    rows = [row for line in lines for row in line["by"].values()]
    return dict(
        zip(
            WORDS,
            (
                sum(line["cpu"] for line in lines),
                *(sum(row[at] for row in rows) for at in range(4)),
            ),
            strict=True,
        )
    )


def median(values):
    return statistics.median(values) if values else None


def reach(changes):
    """Of some changes, each as (when it was made, when each gateway had it): seconds until the first, the middle and the
    last one had it; the median change's, but the longest for the last one."""
    delays = [sorted(one - since for one in times) for since, times in changes if times]
    return {
        "first_s": median([one[0] for one in delays]),
        "median_s": median([median(one) for one in delays]),
        "last_s": max((one[-1] for one in delays), default=None),
    }


def told_of(rig, begin, end):
    """The report of a run."""
    told, names = rig.parameters, rig.names
    roles = {role: summed(rig.of_role(role), begin, end) for role in ROLES}
    up = [one for one in rig.of_role("hollow") if one.process.is_running and one.meter_lines]
    if up:
        roles["hollow"]["rss_mb_each"] = (
            sum(one.meter_lines[-1]["rss"] - one.empty_rss for one in up) / 2**20 / told.hollow
        )
        roles["hollow"]["turn_s"] = max(
            line.get("turn", 0.0) for one in up for line in one.meter_lines if line["at"] >= begin
        )
    lists = [
        (at, rig.reports.list_arrivals.get(index, []))
        for index, at in sorted(rig.reports.list_changes.items())
    ]
    done = [one for one in rig.changes.proposed if one["outcome"] == "committed"]
    forces = [
        (one["since"], list(rig.reports.generations.get(one["number"], {}).values()))
        for one in done
    ]
    lasts = {
        role: [one.meter_lines[-1] for one in rig.of_role(role) if one.meter_lines]
        for role in roles
    }
    gateways = lasts["hollow"] + lasts["real"]

    def total(lines, kind, at):
        return sum(line["by"].get(kind, [0] * 4)[at] for line in lines)

    tally = {}
    for line in lasts["hollow"]:
        for word, number in line.get("tally", {}).items():
            tally[word] = tally.get(word, 0) + number
    sums = {
        "rpcs": sum(line.get("rpcs", 0) for line in lasts["hollow"]),
        "answers": sum(line.get("answers", 0) for line in lasts["hollow"]),
        "tally": tally,
        "adds": sum(line["adds"] for line in lasts["counter"]),
        "discovery_calls": sum(line["calls"] for line in lasts["discovery"]),
        "discovery_refused": sum(line["refused"] for line in lasts["discovery"]),
        "counter_bytes": {
            "gateways": [total(gateways, "counter", 2), total(gateways, "counter", 3)],
            "counter": [total(lasts["counter"], "adds", 3), total(lasts["counter"], "adds", 2)],
        },
        "discovery_bytes": {
            "gateways": [total(gateways, "discovery", 2), total(gateways, "discovery", 3)],
            "discovery": [
                total(lasts["discovery"], "discovery", 3),
                total(lasts["discovery"], "discovery", 2),
            ],
        },
    }
    troubles = list(rig.reports.faults)
    if rig.longest_turn_s > STOOD_STILL:
        troubles.append(
            f"the rig stood still for {rig.longest_turn_s:.2f} s: this machine is too busy"
        )
    if (turn := roles["hollow"].get("turn_s", 0.0)) > FENCE:
        troubles.append(
            f"a process of hollow gateways stood still for {turn:.2f} s: fewer in one would do"
        )
    ready = sorted(rig.reports.ready_after.values())
    report = {
        "scale": msgspec.to_builtins(told),
        "seconds": end - begin,
        "roles": roles,
        "list": {
            "changes": len(lists),
            "reached": sum(len(times) >= len(names) for _, times in lists),
            **reach(lists),
        },
        "settings": {
            "changes": len(rig.changes.proposed),
            "committed": len(done),
            "reached": sum(len(times) >= len(names) for _, times in forces),
            **reach(forces),
            "outcomes": [f"{one['outcome']}: {one['why']}"[:200] for one in rig.changes.proposed],
        },
        "ready_s": {"median": median(ready), "last": ready[-1] if ready else None},
        "sums": sums,
        "start": rig.started,
        "stood_still": sum(
            event["event"] == "stood_still" for one in rig.processes for event in one.events
        ),
        "void": "; ".join(troubles),
    }
    if told.restart_at:
        report["restart"] = {
            "listed": len(rig.reports.first_lists),
            "ready": len(ready),
            "list_median_s": median(rig.reports.first_lists),
            "list_last_s": max(rig.reports.first_lists, default=None),
        }
    return report


def play(told: Scale) -> dict:
    """Play a run, and tell its figures: a second, all processes of a role together, of the steady part. Raises ScaleError
    where it will not do, before anything is started, and ScaleRunError where it did not come about."""
    check(told)
    fits(told)
    rig, began = ScaleTestbed(told, crowds(told), partial(settings, told)), time.time()
    try:
        rig.start()
        rig.started = {
            "seconds": time.time() - began,
            **{role: spent_so_far(rig.of_role(role)) for role in ROLES},
        }
        begin, end = rig.run()
        rig.rest()
        return told_of(rig, begin, end)
    finally:
        rig.close()


def play_file(path: str) -> int:
    """Play the run of a file and tell it: a table by role, the times, and one JSON line last; gives the exit code. Raises
    ScaleError."""
    try:
        report = play(load(path))
    except ScaleRunError as error:
        print(error)
        return 1
    show(report)
    print(orjson.dumps(report).decode())
    return 1 if report["void"] else 0


def show(report):
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"a second, of {report['seconds']:.1f} s")
    for name in (
        "role",
        "number",
        "CPU s",
        "CPU ms each",
        "RSS MB",
        "messages in",
        "out",
        "kB in",
        "out",
        "B in each",
        "out each",
    ):
        table.add_column(name, justify="right")
    for name, role in report["roles"].items():
        each = max(1, role["number"])
        table.add_row(
            name,
            str(role["number"]),
            f"{role['cpu_s']:.3f}",
            f"{role['cpu_s'] / each * 1e3:.2f}",
            f"{role['rss_mb']:.0f}",
            f"{role['messages_in']:.0f}",
            f"{role['messages_out']:.0f}",
            f"{role['bytes_in'] / 1e3:.1f}",
            f"{role['bytes_out'] / 1e3:.1f}",
            f"{role['bytes_in'] / each:.0f}",
            f"{role['bytes_out'] / each:.0f}",
        )
    Console(width=125).print(table)
    hollow = report["roles"]["hollow"]
    if "rss_mb_each" in hollow:
        print(
            f"a hollow gateway holds {hollow['rss_mb_each']:.3f} MB; their longest turn took {hollow['turn_s']:.3f} s"
        )
    for what in ("list", "settings"):
        row = report[what]
        if row["changes"]:
            print(
                f"{row['changes']} changes of the {what}"
                + (f", {row['committed']} committed" if what == "settings" else "")
                + f", {row['reached']} in force at all; in force at the first, the median and the last one after "
                + ", ".join(seconds(row[key]) for key in ("first_s", "median_s", "last_s"))
            )
    for one in report["settings"]["outcomes"]:
        print(f"  {one}")
    print(
        "ready after "
        + ", ".join(f"{seconds(took)} at the {one}" for one, took in report["ready_s"].items())
    )
    if "restart" in report:
        row = report["restart"]
        print(
            f"begun anew: {row['listed']} have the list after {seconds(row['list_median_s'])} at the median, "
            f"{seconds(row['list_last_s'])} at the last"
        )
    if report["void"]:
        print(f"void: {report['void']}")


def seconds(value):
    return "never" if value is None else f"{value:.3f} s"
