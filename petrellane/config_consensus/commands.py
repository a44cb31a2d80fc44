"""What `petrellane settings` does: calls a control process, and words for a person or JSON for a program.

Exit codes: 0 done (a change: in force at every gateway that serves), 2 for what the user gave, 3 refused (by whom and which
key is told), 4 aborted, 5 in doubt: nobody here can tell what came of it.
"""

import getpass
import json
import sys
import time

import greenlet

from petrellane.config import settings_file
from petrellane.config_consensus import message_authentication, rpc_client, safe_settings
from petrellane.net.limits import Limits
from petrellane.net.scheduler import Scheduler

DONE, GIVEN, REFUSED, ABORTED, DOUBT = 0, 2, 3, 4, 5
PAUSE = 0.1  # seconds between looks at a change


class Control:
    """The control process as a caller sees it."""

    def __init__(self, config, patience=3.0):
        self.config, self.patience = config, patience
        self.limits = Limits(64, patience, 1.0, 1, patience)

    def ask(self, do, **words):
        """One call's answer. Raises post.Nobody or post.Silent."""
        scheduler, found = Scheduler(), []

        def call():
            try:
                found.append(
                    rpc_client.ask(
                        scheduler,
                        self.limits,
                        self.config.key,
                        self.config.listen,
                        message_authentication.STAFF,
                        {"do": do, "to": "control", **words},
                        self.patience,
                    )
                )
            except (rpc_client.Nobody, rpc_client.Silent) as error:
                found.append(error)
            scheduler.stop()

        scheduler.soon(greenlet.greenlet(call, scheduler.hub).switch)
        scheduler.run()
        if isinstance(found[0], Exception):
            raise found[0]
        return found[0]


def say(told, as_json, line):
    print(json.dumps(told) if as_json else line)


def called(control, as_json, do, **words):
    """A call's answer, or an exit code where there is none to work with, told."""
    try:
        told = control.ask(do, **words)
    except rpc_client.Nobody:
        say(
            {"outcome": "no control process"},
            as_json,
            "nobody listens at %s:%d: is the control process up?" % (control.config.listen),
        )
        return None, DOUBT
    except rpc_client.Silent as error:
        say(
            {"outcome": "no answer", "why": str(error)},
            as_json,
            f"no answer from the control process: {error}",
        )
        return None, DOUBT
    if "refused" in told:
        say({"outcome": "refused", **told}, as_json, f"refused: {told['why']}")
        return None, GIVEN if told["refused"] in ("settings", "unknown", "form") else REFUSED
    return told, DONE


def change(control, wait, as_json, do, **words):
    """Propose, and follow the change to its end for at most `wait` seconds; gives the exit code."""
    told, code = called(control, as_json, do, by=getpass.getuser(), **words)
    if told is None:
        return code
    number, until, line = told["number"], time.monotonic() + wait, ""
    while not ended(told) and time.monotonic() < until:
        if (now := progress(told)) != line and not as_json and sys.stderr.isatty():
            line = now
            print(f"\r{line:78}", end="", file=sys.stderr, flush=True)
        time.sleep(PAUSE)
        try:
            told = control.ask("change", number=number)
        except (rpc_client.Nobody, rpc_client.Silent):
            told = told | {
                "outcome": "unknown",
                "why": "the control process does not answer any more",
            }
    if line:
        print(file=sys.stderr)
    say(told, as_json, progress(told))
    if told["outcome"] == "committed":
        return DONE if not told["owed"] else DOUBT
    if told["outcome"] == "aborted":
        return REFUSED if told["why"].startswith("refused by") else ABORTED
    return DOUBT


def ended(told):
    return (
        told["outcome"] in ("aborted", "superseded")
        or told["outcome"] == "committed"
        and not told["owed"]
    )


def progress(told):
    """A change in one line."""
    number, outcome = told["number"], told["outcome"]
    if outcome == "preparing":
        return f"generation {number}: prepared at {len(told['prepared'])}"
    if outcome == "committed":
        owed = f", not yet at {', '.join(told['owed'])}" if told["owed"] else ""
        absent = (
            f"; down, to have it when they start: {', '.join(told['absent'])}"
            if told["absent"]
            else ""
        )
        return f"generation {number}: in force at {told['reached']} of {told['of']}{owed}{absent}"
    return f"generation {number}: {outcome}: {told['why']}"


def propose(control, path, without, wait, less, as_json):
    return change(
        control, wait, as_json, "propose", settings=settings_file(path), without=without, less=less
    )


def back(control, number, without, wait, as_json):
    return change(control, wait, as_json, "back", number=number, without=without, less=True)


def status(control, as_json):
    told, code = called(control, as_json, "status")
    if told is None:
        return code
    if as_json:
        print(json.dumps(told))
        return DONE
    force = told["in_force"]
    why = f" ({told['why']})" if told["why"] else ""
    print(f"control {told['control']}: {told['state']}, epoch {told['epoch'][0]}{why}")
    print(
        f"in force: {'not known yet' if not force else 'generation %d, %s' % (force['number'], force['digest'])}"
    )
    if told["under_way"]:
        print(f"under way: {progress(told['under_way'])}")
    for name, at in told["gateways"].items():
        print(
            f"  {name:20} {at['state']}"
            + ("" if at["number"] is None else f" (generation {at['number']})")
        )
    return DONE


def history(control, as_json):
    told, code = called(control, as_json, "history")
    if told is None:
        return code
    say(
        told,
        as_json,
        "\n".join(
            f"{one['number']:5} {one['outcome']:10} {one['by']:12} {one['why']}"
            for one in told["history"]
        )
        or "no change yet",
    )
    return DONE


def show(control, number, as_json):
    told, code = called(control, as_json, "show", number=number)
    if told is not None:
        print(
            json.dumps(told) if as_json else json.dumps(told["content"], indent=1, sort_keys=True)
        )
    return code


def diff(control, one, other, as_json):
    """What changes for whom from one generation to another, or to the settings of a file."""
    found = []
    for which in (one, other):
        if which.isdecimal():
            told, code = called(control, as_json, "show", number=int(which))
            if told is None:
                return code
            found.append(told["content"])
        else:
            found.append(settings_file(which))
    lines = safe_settings.describe_changes(*found)
    say({"lines": lines}, as_json, "\n".join(lines) or "they say the same")
    return DONE
