"""Runs the program and reports when it reached each stage of its start, for `start_up_time.py`.

It imports as little as the program itself before that. Once the program listens on the port that
READY_LISTENS names, it writes a log event `stages` with a mark for each stage: the time, and the
seconds for which the process ran and waited for a core until then (Linux: schedstat).
"""

import os
import sys
import time

LISTEN_VARIABLE = "READY_LISTENS"
SCHEDULER_STATISTICS = "/proc/self/schedstat"


def run_with_marks() -> None:
    """Run the program with an audit hook that sees what it opens and binds."""
    marks: dict[str, tuple[float, ...]] = {}
    port = int(os.environ[LISTEN_VARIABLE])

    def mark(name: str) -> None:
        if name in marks:
            return
        marks[name] = ()  # the hook sees what is opened here as well
        with open(SCHEDULER_STATISTICS) as file:  # noqa: PTH123 - pathlib would slow down the start
            ran, waited = file.read().split()[:2]
        marks[name] = time.time(), int(ran) / 1e9, int(waited) / 1e9

    def on_audit_event(event: str, arguments: tuple[object, ...]) -> None:
        if event == "open" and arguments[0] == os.environ["PROXY_CONFIG"]:
            mark("imports")
        elif event == "socket.__new__" and "imports" in marks:
            mark("configuration")
        elif event == "socket.bind" and _port_of(arguments[1]) == port:
            mark("listening")
            import orjson

            os.write(1, orjson.dumps({"event": "stages", "marks": marks}) + b"\n")

    mark("interpreter")
    sys.addaudithook(on_audit_event)
    import runpy

    runpy.run_module("petrellane", run_name="__main__", alter_sys=True)


def _port_of(address: object) -> object:
    return address[1] if isinstance(address, tuple) else None


if __name__ == "__main__":
    run_with_marks()
