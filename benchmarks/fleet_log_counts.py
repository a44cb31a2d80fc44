"""Counts events over a fleet from the logs of its gateways.

    python benchmarks/fleet_log_counts.py FOLDER

Question: what did the fleet do in each second, and how long did its gateways take from a start to
the first successful RPC?

FOLDER holds one log per gateway (`*.log`) with one JSON event a line, with or without a word
before it. The `figures` events are added up by second since the first event of all logs. Values
that describe a state (connections, overload) are shown as their mean and maximum over gateways.

Columns: one for each counter that was ever above zero, then one for each state. A line with the
times from a start to the first figures with a successful RPC follows, and one JSON line is last.
Exit codes: 0; 2 where the folder has no events or the arguments make no sense.
"""

import json
import pathlib
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

Event = dict[str, Any]

# Figures that describe a state at one time; all other figures are counts.
STATE_FIGURES = ("connections", "busy", "clients", "pressure", "crowded", "turn")
IGNORED_FIELDS = ("at", "gateway", "event", "cpu")
REQUIRED_FIELDS = {"at", "gateway", "event"}
COLUMNS = (
    "rpcs",
    "out ok",
    "pushed pressed",
    "pushed credit",
    "pushed ceiling",
    "pushed host",
    "pushed given up",
    "aborted",
    "call_outs",
    "out full",
    "out unreachable",
    "out late",
    "dials",
    "dials failed",
    "adds",
    "adds failed",
    "discovery_unreachable",
    "discovery_recovered",
    "hosts",
    "started",
)


class FleetCounts(NamedTuple):
    """What the logs of a fleet add up to."""

    counts: dict[int, Counter[str]]  # by second
    states: dict[int, dict[str, list[float]]]  # by second and figure, one value per gateway
    first_ok_delays: list[float]  # sorted seconds from a start to the first successful RPC


def events(folder: str | pathlib.Path) -> Iterator[Event]:
    """Yield every event in the folder's logs; lines that hold no event are skipped."""
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            event = _parse_line(line)
            if event.keys() >= REQUIRED_FIELDS:
                yield event


def _parse_line(line: str) -> Event:
    """Return the JSON object of a log line; it is empty where the line has none."""
    start = line.find("{")
    if start < 0:
        return {}
    try:
        value = json.loads(line[start:])
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def _add_figures(event: Event, counter: Counter[str], states: dict[str, list[float]]) -> None:
    """Add one `figures` event to the counts and states of its second."""
    for name, value in event.items():
        if name in STATE_FIGURES:
            states[name].append(value)
        elif name not in IGNORED_FIELDS:
            counter[name] += value
            if name.startswith("add "):
                counter["adds" if name == "add ok" else "adds failed"] += value


def count(unsorted_events: Iterable[Event]) -> FleetCounts:
    """Add events up by second since the first of them."""
    ordered = sorted(unsorted_events, key=lambda event: event["at"])
    counts: dict[int, Counter[str]] = defaultdict(Counter)
    states: dict[int, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    first_ok_delays: list[float] = []
    started_at: dict[str, float] = {}
    for event in ordered:
        second = int(event["at"] - ordered[0]["at"])
        kind = event["event"]
        if kind != "figures":
            counts[second][kind] += 1
            if kind == "started":
                started_at[event["gateway"]] = event["at"]
            continue
        _add_figures(event, counts[second], states[second])
        if event.get("out ok") and event["gateway"] in started_at:
            first_ok_delays.append(event["at"] - started_at.pop(event["gateway"]))
    return FleetCounts(counts, states, sorted(first_ok_delays))


def print_table(fleet: FleetCounts) -> None:
    """Print one row for each second."""
    counts = fleet.counts
    shown = [name for name in COLUMNS if any(counts[second][name] for second in counts)]
    state_titles = [f"{name} (mean, most)" for name in STATE_FIGURES]
    print("second  " + "  ".join(shown) + "  " + "  ".join(state_titles))
    for second in sorted(counts):
        row = [f"{counts[second][name]:>{len(name)}}" for name in shown]
        for name in STATE_FIGURES:
            values = fleet.states[second][name] or [0.0]
            mean_and_maximum = f"{sum(values) / len(values):.2f}, {max(values):.2f}"
            row.append(mean_and_maximum.rjust(len(name) + 13))
        print(f"{second:>6}  " + "  ".join(row))


def main(folder: str) -> int:
    """Print the counts of a folder of logs and return the exit code."""
    fleet = count(events(folder))
    if not fleet.counts:
        print(f"{folder}: expected logs (*.log) with events, found none", file=sys.stderr)
        return 2
    print_table(fleet)
    delays = fleet.first_ok_delays
    if delays:
        median = delays[len(delays) // 2]
        print(
            "start to the figures with the first ok: "
            f"median {median:.2f} s, most {delays[-1]:.2f} s"
        )
    total = sum(fleet.counts.values(), Counter())
    print(json.dumps({"totals": dict(sorted(total.items())), "starts": len(delays)}))
    return 0


if __name__ == "__main__":
    if len(sys.argv) != 2 or sys.argv[1].startswith("-"):
        print(__doc__)
        raise SystemExit(0 if "--help" in sys.argv else 2)
    raise SystemExit(main(sys.argv[1]))
