"""Real gateways with faults of endpoints in turn, for `load_balancing_comparison.py`."""

import statistics
import time
from collections import Counter
from typing import Any, NamedTuple

from benchmarks.process_usage import ProcessUsage, read_usage
from petrellane.load_distribution import sources
from petrellane.load_distribution.figures import Figures, compute_figures
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import FleetSpec

WARM_UP_S = 5.0
SLOTS = 2
QUEUE = 64
PARTS = 5  # of a run: without a fault, and with each of four
SLOWDOWN = 10.0
QUIET_S = 10.0
SHOWN_VIOLATIONS = 3

Row = dict[str, Any]  # one part of the run in the JSON line


class ProcessRun(NamedTuple):
    """What the run is made of; `load` is a share of what all endpoints can do."""

    gateways: int
    hosts: int
    load: float
    rate: float
    seconds: float

    @property
    def work(self) -> float:
        """Core seconds of an RPC."""
        return self.load * self.hosts * SLOTS / self.rate


def read_usages(lab: LoopbackFleet) -> list[ProcessUsage]:
    """Return what each gateway's process uses."""
    processes = [gateway.process for gateway in lab.gateways]
    return [read_usage(process.popen.pid) for process in processes if process is not None]


def count_answers(lab: LoopbackFleet) -> Counter[str]:
    """Return the RPCs so far by their answer."""
    answers: Counter[str] = Counter()
    for (_, answer), number in lab.records.counts.items():
        answers[answer] += number
    return answers


class ProcessRunner:
    """Plays the parts of the run on a started testbed; lives as long as that."""

    def __init__(self, lab: LoopbackFleet, options: ProcessRun) -> None:
        self.lab = lab
        self.options = options
        self.rows: list[Row] = []

    def measure(self, name: str) -> Row:
        """Play a part of the run, and print and keep its figures."""
        lab = self.lab
        since = lab.records.now()
        first_wait = len(lab.clients.waits)
        answers_before = count_answers(lab)
        lab.run_for(self.options.seconds / PARTS)
        evenness = compute_figures(
            sources.trace_from_records(lab.records.history, since, lab.records.now())
        )
        waits = lab.clients.waits[first_wait:]
        durations = sorted(duration for duration, answer in waits if answer == "ok")
        answers = count_answers(lab)
        answers.subtract(answers_before)
        work = self.options.work
        row = {
            "part": name,
            "answers": dict(answers),
            "p50": durations[len(durations) // 2] / work,
            "p99": durations[int(len(durations) * 0.99)] / work,
            "spans": [span._asdict() for span in evenness.spans],
            "excess": {span.seconds: span.excess for span in evenness.spans},
            "herd": evenness.herd,
            "herd_by_chance": evenness.herd_by_chance,
            "idle": [idle._asdict() for idle in evenness.idle],
        }
        self.rows.append(row)
        print_part(row, evenness)
        return row

    def play_parts(self) -> None:
        """Play the part without a fault and one for each fault."""
        self.measure("no fault")
        back, slow, failing, silent = self.lab.hosts[:4]
        self._play_return(back)
        slow.slowdown = SLOWDOWN
        self.measure("one ten times as slow")
        slow.slowdown = 1.0
        failing.error_rate = 1.0
        failing.slowdown = 1 / SLOWDOWN
        self.measure("one answers errors at once")
        failing.error_rate = 0.0
        failing.slowdown = 1.0
        silent.silent = True
        self.measure("one is silent")
        silent.silent = False
        silent.run_waiting()

    def _play_return(self, host: Any) -> None:  # noqa: ANN401 - the testbed's fake endpoint
        """Let an endpoint go away and come back empty."""
        lab = self.lab
        host.crash()
        lab.discovery.put(host.name, host.host_port, "terminated")
        lab.run_for(1.0)
        host.start()
        lab.discovery.put(host.name, host.host_port, since=host.started_at)
        ran_before = host.ran
        all_before = sum(host.ran for host in lab.hosts)
        row = self.measure("one comes back")
        ran_by_all = sum(host.ran for host in lab.hosts) - all_before
        row["back_over_its_part"] = (
            (host.ran - ran_before) * self.options.hosts / max(1, ran_by_all)
        )


def print_part(row: Row, evenness: Figures) -> None:
    """Print the row of one part."""
    excess = ", ".join(f"{span.seconds:g} s {span.excess:.2f}" for span in evenness.spans)
    print(
        f"{row['part']:26} p50 {row['p50']:.2f} p99 {row['p99']:.2f}  excess {excess}  "
        f"herd {evenness.herd:.2f} ({evenness.herd_by_chance:.2f})  "
        f"idle {len(evenness.idle)}  {row['answers']}",
        flush=True,
    )


def describe_machine(
    lab: LoopbackFleet,
    options: ProcessRun,
    start_s: float,
    cpu_before: float,
    usages: list[ProcessUsage],
) -> Row:
    """Return what the run took of the machine, and whether it proves anything."""
    verdict = lab.verdict()
    sizes = [usage.resident_bytes for usage in usages]
    cpu_s = sum(usage.cpu_s for usage in usages) - cpu_before
    machine = {
        "up_s": round(start_s, 1),
        "mb_each": round(statistics.median(sizes) / 2**20, 1),
        "mb_all": round(sum(sizes) / 2**20),
        "cores": round(cpu_s / options.seconds, 2),
        "rig_stood_still_s": round(lab.longest_stall_s, 3),
        "broken": verdict.counts,
        "crashes": len(lab.crashes),
        "void": lab.void,
    }
    print(machine)
    for violation in verdict.violations[:SHOWN_VIOLATIONS]:
        lines = [line for rpc in violation.rpcs for line in lab.records.describe(rpc)]
        print(violation.text, *lines, sep="\n  ")
    print(*(f"{at:8.3f} {text}" for at, text in lab.records.timeline if "still" in text), sep="\n")
    return machine


def play_processes(options: ProcessRun) -> tuple[list[Row], Row]:
    """Play the run; return the figures of its parts and what it took of the machine."""
    spec = FleetSpec(
        gateways=options.gateways,
        hosts=options.hosts,
        relays=(),
        rate=options.rate,
        work=options.work,
        slots=SLOTS,
        queue=QUEUE,
    )
    with LoopbackFleet(spec) as lab:
        started = time.monotonic()
        lab.records.keep_all()
        lab.start()
        start_s = time.monotonic() - started
        lab.clients.start()
        lab.run_for(WARM_UP_S)
        cpu_before = sum(usage.cpu_s for usage in read_usages(lab))
        runner = ProcessRunner(lab, options)
        runner.play_parts()
        usages = read_usages(lab)
        lab.finish_load(QUIET_S)
        machine = describe_machine(lab, options, start_s, cpu_before, usages)
    return runner.rows, machine
