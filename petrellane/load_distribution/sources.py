"""What the figures of evenness are read from: records of the lab and the model, and the logs of a fleet.

A file of records is one JSON object a line. The first names the version, the last says that it is whole; times are seconds
of the run, in any order:

    {"records": 1}
    {"host": "h0", "capacity": 2.0}                              # where hosts are unlike; 1 for the others
    {"at": 0.1, "by": "g0", "sent": "h0"}
    {"at": 0.2, "by": "g0", "told": "h0", "state": "ready"}      # a gateway has heard of a host's state
    {"at": 0.3, "killed": "g0"}
    {"end": 12.0}

Logs are a folder with one file a gateway (*.log), in which `figures` events have `to`, the call-outs by host since the
one before (`"figures": {"hosts": true}` in the gateways' files). A log tells of a host only what was sent there: it counts
as ready from the first call-out of the fleet to the last.

What can't be read is left out and told, with file and line; a file of another version, and one that holds nothing, raise
SpreadError, one line.
"""

import pathlib
from dataclasses import dataclass, field

import orjson

from petrellane import invariants
from petrellane.load_distribution.figures import Told

VERSION = 1
MOST = 5  # troubles told by line; the rest is counted
STATES = {"ready", "draining", "gone"}


class SpreadError(Exception):
    """Nothing can be told of this path; the text is one line."""


@dataclass
class Read:
    """What was read: what the figures need, the lines read and left out, and what is to be said of them, a line each."""

    told: Told
    lines: int = 0
    left_out: int = 0
    notes: list[str] = field(default_factory=list)

    def trouble(self, where: str, text: str) -> None:
        """Leave one line out."""
        self.left_out += 1
        if self.left_out <= MOST:
            self.notes.append(f"{where}: {text}")


def write(path: str, records, end: float, capacities: dict | None = None) -> None:
    """Write a run's records where `read` finds them; other kinds of record are passed over. Raises OSError."""
    rows = [
        {"records": VERSION},
        *({"host": host, "capacity": size} for host, size in (capacities or {}).items()),
    ]
    for one in records:
        if type(one) is invariants.AttemptSent:
            rows.append({"at": round(one.at, 6), "by": one.gateway, "sent": one.host})
        elif type(one) is invariants.EndpointNotified:
            rows.append(
                {"at": round(one.at, 6), "by": one.gateway, "told": one.host, "state": one.state}
            )
        elif type(one) is invariants.GatewayLifecycle and one.event == "killed":
            rows.append({"at": round(one.at, 6), "killed": one.gateway})
    pathlib.Path(path).write_bytes(b"\n".join(map(orjson.dumps, [*rows, {"end": end}])) + b"\n")


def of_records(records, since: float, until: float, capacity=lambda host: 1.0) -> Told:
    """What the figures need, from records in the order of time. A host is ready while every gateway that has heard of it
    has it as ready."""
    found, knows, begun = Told(since, until), {}, {}
    for one in records:
        if type(one) is invariants.AttemptSent:
            if since <= one.at < until:
                found.sent.append((one.at, one.gateway, one.host, 1))
        elif type(one) is invariants.EndpointNotified:
            states = knows.setdefault(one.host, {})
            states[one.gateway] = one.state == invariants.READY
            if all(states.values()):
                begun.setdefault(one.host, one.at)
            elif one.host in begun:
                found.ready.setdefault(one.host, []).append(
                    (begun.pop(one.host), one.at, capacity(one.host))
                )
        elif type(one) is invariants.GatewayLifecycle and one.event == "killed":
            for states in knows.values():
                states.pop(one.gateway, None)
    for host, at in begun.items():
        found.ready.setdefault(host, []).append((at, until, capacity(host)))
    return found


def read(path: str, since: float = 0.0, until: float | None = None) -> Read:
    """What a file of records or a folder of logs tells of a time, in seconds from its begin. Raises SpreadError."""
    place = pathlib.Path(path)
    try:
        return logs(place, since, until) if place.is_dir() else record_file(place, since, until)
    except OSError as error:
        raise SpreadError(
            f"{path}: expected a file of records or a folder of logs: {error.strerror}"
        ) from None


def objects(read, path):
    """Each line of a file that holds a JSON object, with its number."""
    with open(path, "rb") as file:
        for number, line in enumerate(file, 1):
            if not line.strip():
                continue
            try:
                found = orjson.loads(line[max(0, line.find(b"{")) :])
            except ValueError:
                found = None
            if not isinstance(found, dict):
                short = "" if line.endswith(b"\n") else ", the file is cut short there"
                read.trouble(
                    f"{path}:{number}", f"expected a JSON object, found {brief(line)}{short}"
                )
                continue
            yield number, found


def brief(value) -> str:
    text = (
        value.decode("utf-8", "replace").strip()
        if isinstance(value, bytes)
        else orjson.dumps(value).decode()
    )
    return text[:40] + ("..." if len(text) > 40 else "")


def number_in(row, key, least=0.0):
    value = row.get(key)
    return (
        float(value)
        if isinstance(value, (int, float)) and not isinstance(value, bool) and value >= least
        else None
    )


def record_of(row):
    """The record of a line, or None where it is none."""
    at = number_in(row, "at")
    if at is None:
        return None
    if isinstance(row.get("killed"), str):
        return invariants.GatewayLifecycle(at, row["killed"], "killed")
    if not isinstance(row.get("by"), str):
        return None
    if isinstance(row.get("sent"), str):
        return invariants.AttemptSent(at, row["by"], None, 0, row["sent"])
    if isinstance(row.get("told"), str) and row.get("state") in STATES:
        return invariants.EndpointNotified(at, row["by"], row["told"], row["state"], 0.0)
    return None


def record_file(path, since, until) -> Read:
    """A file of records."""
    found, records, sizes = Read(Told(since, since)), [], {}
    end, latest, back = None, 0.0, 0
    for number, row in objects(found, path):
        if number == 1 or found.lines == 0 and "records" in row:
            if row.get("records") != VERSION:
                raise SpreadError(
                    f'{path}:{number}: expected {{"records": {VERSION}}}, found {brief(row)}'
                )
            found.lines += 1
            continue
        found.lines += 1
        if (size := number_in(row, "capacity")) is not None and isinstance(row.get("host"), str):
            sizes[row["host"]] = size
        elif (last := number_in(row, "end")) is not None:
            end = last
        elif record := record_of(row):
            back += record.at < latest
            latest = max(latest, record.at)
            records.append(record)
        else:
            found.trouble(f"{path}:{number}", f"expected a record, found {brief(row)}")
    if not records:
        raise SpreadError(f"{path}: expected records, found none")
    if end is None:
        found.notes.append(
            f'{path}: expected {{"end": SECONDS}} last, found none: cut short, and told up to {latest:g} s'
        )
    if back:
        found.notes.append(
            f"{path}: {back} of {len(records)} records come out of order; they are told in the order of time"
        )
    records.sort(key=lambda one: one.at)
    found.told = of_records(
        records, since, until or end or latest, lambda host: sizes.get(host, 1.0)
    )
    return found


def logs(folder, since, until) -> Read:
    """The logs of a fleet; times are from the first event of all, by each gateway's own clock."""
    found, sent, clocks = Read(Told(since, since)), [], {}
    for path in sorted(folder.glob("*.log")):
        latest = None
        for number, row in objects(found, path):
            found.lines += 1
            at = number_in(row, "at")
            if (
                at is None
                or not isinstance(row.get("gateway"), str)
                or not isinstance(row.get("event"), str)
            ):
                found.trouble(
                    f"{path}:{number}",
                    f"expected an event with at, gateway and event, found {brief(row)}",
                )
                continue
            if latest is not None and at < latest - 0.5:
                found.notes.append(
                    f"{path}:{number}: the clock of {row['gateway']} went back by {latest - at:.1f} s"
                )
            latest = at
            clocks.setdefault(row["gateway"], [at, at])[1] = at
            if row["event"] == "figures" and isinstance(row.get("to"), dict):
                sent += [
                    (at, row["gateway"], host, count)
                    for host, count in row["to"].items()
                    if isinstance(count, int)
                ]
    if not clocks:
        raise SpreadError(f"{folder}: expected logs (*.log) with events, found none")
    if not sent:
        raise SpreadError(
            f'{folder}: expected `figures` events with `to` ("figures": {{"hosts": true}} in the '
            "gateways' files), found none"
        )
    begin = min(first for first, _ in clocks.values())
    last = max(until for _, until in clocks.values()) - begin
    for name, (first, until_) in clocks.items():
        if first - begin > last / 2 or begin + last - until_ > last / 2:
            found.notes.append(
                f"{name}: its log is of {first - begin:.1f} to {until_ - begin:.1f} s of {last:.1f}: it ran "
                "for less, or its clock differs"
            )
    told, end = found.told, until or last
    for at, gateway, host, count in sorted(sent):
        when = at - begin - 0.5  # the middle of the second that the line tells of
        first = told.ready.get(host, [(when, when, 1.0)])[0][0]
        told.ready[host] = [(min(first, when), when, 1.0)]
        if since <= when < end:
            told.sent.append((when, gateway, host, count))
    told.until = end
    told.ready = {
        host: [(first - 0.5, last + 0.5, size)]
        for host, [(first, last, size)] in told.ready.items()
    }
    return found
