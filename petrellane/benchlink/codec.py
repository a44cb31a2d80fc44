"""Read batches of events, hand each event to its instance's door, print one reply per batch."""

import traceback

from petrellane.benchlink.instance import Door

TEXT_FIELDS = (" settings=", " reasonText=")


class Malformed(Exception):
    """A line that is not of the wire."""


def parse(line):
    """The verb of a line and its fields; a text field runs to the end of the line."""
    text = {}
    for mark in TEXT_FIELDS:
        head, found, tail = line.partition(mark)
        if found:
            line, text = head, {mark[1:-1]: tail}
            break
    verb, *pairs = line.split(" ")
    try:
        fields = dict(pair.split("=", 1) for pair in pairs)
    except ValueError as error:
        raise Malformed(f"malformed line: {line[:80]!r}") from error
    return verb, {**fields, **text}


def batches(lines):
    """Each batch of the input as its clock time and its list of (verb, fields, rows)."""
    lines = (line.rstrip("\n") for line in lines)
    for line in lines:
        if not line:
            continue
        verb, fields = parse(line)
        if verb != "BATCH":
            raise Malformed(f"expected BATCH, read {line[:80]!r}")
        events = []
        for line in lines:
            if line == "EOF_BATCH":
                break
            if not line:
                continue
            verb, row = parse(line)
            if verb != "ENTRY":
                events.append((verb, row, []))
            elif events:
                events[-1][2].append(row)
            else:
                raise Malformed("ENTRY outside a list")
        else:
            return
        yield int(fields["t"]) / 1e6, events


def play(now, event, doors):
    """The lines that answer one event."""
    verb, fields, rows = event
    number = int(fields["gateway"])
    if verb == "OPEN_INSTANCE":
        doors[number] = Door(number, int(fields.get("randomSeed", 0)), fields["settings"])
        return doors[number].start(now)
    if verb == "DETACH":
        doors.pop(number, None)
    return doors[number].event(now, verb, fields, rows) if number in doors else []


def serve(stdin, stdout, stderr):
    """Answer batches until the input ends; an exception ends in GIVE_IN with one plain line."""
    doors, event = {}, None
    try:
        for now, events in batches(stdin):
            reply = []
            for event in events:
                reply += play(now, event, doors)
            stdout.write("\n".join(reply + ["EOR\n"]))
            stdout.flush()
    except Exception as error:  # the wire wants a plain word in place of a half reply
        traceback.print_exc(file=stderr)
        number = event[1].get("gateway", "0") if event else "0"
        cause = " ".join(f"{type(error).__name__}: {error}".split())[:200]
        stdout.write(f"GIVE_IN gateway={number} reasonText={cause}\nEOR\n")
        stdout.flush()
        return 1
    return 0
