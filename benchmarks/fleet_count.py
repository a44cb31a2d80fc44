"""Count over a fleet from the logs of its gateways: `python benchmarks/fleet_count.py FOLDER`.

FOLDER holds one log a gateway (*.log), one JSON line an event, with or without a word before it. The `figures` events
are added up by second from the first event of all; what stands at one time (connections, pressure) is told as the mean
and the most over gateways. Prints a table, then times from a start to the first ok, and one JSON line last.
"""

import json
import pathlib
import sys
from collections import Counter, defaultdict

STANDING = (
    "connections",
    "busy",
    "clients",
    "pressure",
    "crowded",
    "turn",
)  # read at one time; all else is counted
LEFT_OUT = ("at", "gateway", "event", "cpu")
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


def events(folder):
    """Every event in the folder's logs; lines that are no event are passed over."""
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            at = line.find("{")
            try:
                event = json.loads(line[at:]) if at >= 0 else None
            except ValueError:
                continue
            if isinstance(event, dict) and {"at", "gateway", "event"} <= event.keys():
                yield event


def count(told):
    """Counts by second, what stands by second, and each start's seconds to the first ok."""
    told = sorted(told, key=lambda event: event["at"])
    counts, stands, waits, since = (
        defaultdict(Counter),
        defaultdict(lambda: defaultdict(list)),
        [],
        {},
    )
    for event in told:
        second, kind = int(event["at"] - told[0]["at"]), event["event"]
        if kind != "figures":
            counts[second][kind] += 1
            if kind == "started":
                since[event["gateway"]] = event["at"]
            continue
        for name, value in event.items():
            if name in STANDING:
                stands[second][name].append(value)
            elif name not in LEFT_OUT:
                counts[second][name] += value
                if name.startswith("add "):
                    counts[second]["adds" if name == "add ok" else "adds failed"] += value
        if event.get("out ok") and event["gateway"] in since:
            waits.append(event["at"] - since.pop(event["gateway"]))
    return counts, stands, sorted(waits)


def main(folder):
    counts, stands, waits = count(events(folder))
    if not counts:
        print(f"{folder}: expected logs (*.log) with events, found none", file=sys.stderr)
        return 2
    shown = [name for name in COLUMNS if any(counts[second][name] for second in counts)]
    print(
        "second  "
        + "  ".join(shown)
        + "  "
        + "  ".join(f"{name} (mean, most)" for name in STANDING)
    )
    for second in sorted(counts):
        row = [f"{counts[second][name]:>{len(name)}}" for name in shown]
        for name in STANDING:
            values = stands[second][name] or [0.0]
            row.append(f"{sum(values) / len(values):.2f}, {max(values):.2f}".rjust(len(name) + 13))
        print(f"{second:>6}  " + "  ".join(row))
    total = sum(counts.values(), Counter())
    if waits:
        print(
            f"start to the figures with the first ok: median {waits[len(waits) // 2]:.2f} s, most {waits[-1]:.2f} s"
        )
    print(json.dumps({"totals": dict(sorted(total.items())), "starts": len(waits)}))
    return 0


if __name__ == "__main__":
    if len(sys.argv) != 2 or sys.argv[1].startswith("-"):
        print(__doc__)
        raise SystemExit(0 if "--help" in sys.argv else 2)
    raise SystemExit(main(sys.argv[1]))
