"""The commands `testbed run` and `testbed demo`, which show a run live and print its verdict."""

from __future__ import annotations

from collections.abc import Sequence

from petrellane.invariants import Verdict
from petrellane.load_distribution import sources
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import FleetSpec
from petrellane.testbed.run_display import RunDisplay, format_answers
from petrellane.testbed.run_file import LabSection, RunFile, Step, fleet_spec_of, load_run_file
from petrellane.testbed.runner import StepRunner

DEMO = RunFile(
    lab=LabSection(gateways=3, hosts=6, seconds=20.0, rate=120.0),
    step=[Step(at=10.0, do="kill", who=["h2"])],
)
MAX_TIMELINE = 200
MAX_FAULTS = 3
EXIT_OK = 0
EXIT_FAILED = 1


def run_from_file(path: str, records: str = "") -> int:
    """Carry out the run of a file.

    Args:
        path: The path of the run file.
        records: The path of the file for the records of the run; empty to write none.

    Returns:
        The exit code.

    Raises:
        RunFileError: The file cannot be read or is malformed.
    """
    return execute_run(load_run_file(path), records=records)


def demo() -> int:
    """Run three gateways and six hosts for 20 s, and kill one host after 10 s.

    Returns:
        The exit code.
    """
    print(
        "three gateways, six hosts, a counter and discovery, on loopback; "
        "host h2 is killed half way"
    )
    return execute_run(DEMO, FleetSpec(rate=DEMO.lab.rate))


def execute_run(run: RunFile, spec: FleetSpec | None = None, records: str = "") -> int:
    """Carry out a run, and print its timeline and its verdict.

    Args:
        run: The run.
        spec: The description of the fleet; None to derive it from the run.
        records: The path of the file for the records of the run; empty to write none.

    Returns:
        The exit code.
    """
    with LoopbackFleet(spec or fleet_spec_of(run)) as lab:
        if records:
            lab.records.keep_all()
        lab.start()
        lab.records.note(f"load begins: {run.lab.rate:g} RPCs a second")
        StepRunner(lab, run).begin()
        lab.clients.start()
        with RunDisplay(lab, run.lab.seconds):
            lab.run_for(run.lab.seconds)
            lab.finish_load()
        verdict = lab.verdict()
        if records:
            sources.write(records, lab.records.history, lab.records.now())
        print(lab.timeline(MAX_TIMELINE))
        print_result(lab, verdict)
        return exit_code_of(lab, verdict, run.expect.broken)


def exit_code_of(lab: LoopbackFleet, verdict: Verdict, expected: Sequence[str]) -> int:
    """Print the broken rules, and return the exit code.

    The exit code is 1 if the broken rules differ from the expected ones, if a process crashed, if
    the testbed had a fault, or if the run is void.

    Args:
        lab: The fleet of the run.
        verdict: The verdict of the invariant checker.
        expected: The names of the rules that the run has to break.
    """
    is_expected = sorted(verdict.counts) == sorted(expected)
    text = "no rule broken"
    if verdict.counts:
        suffix = ", as expected" if is_expected else ""
        text = f"broken: {', '.join(sorted(verdict.counts))}{suffix}"
    print(text)
    if is_expected and not lab.crashes and not lab.faults and not lab.void:
        return EXIT_OK
    return EXIT_FAILED


def print_result(lab: LoopbackFleet, verdict: Verdict) -> None:
    """Print the answers, the violations, the crashes, and the faults of the testbed."""
    no_gateway = ""
    if lab.clients.unrouted_count:
        no_gateway = f", {lab.clients.unrouted_count} found no gateway"
    print(format_answers(lab) + no_gateway)
    if lab.clients.waits:
        print(_latency_text(lab))
    for violation in verdict.violations:
        print(f"{violation.at:8.3f} rule {violation.rule} is broken: {violation.text}")
        for rpc in violation.rpcs:
            for line in lab.records.describe(rpc):
                print(f"      {line}")
    for name, code, output in lab.crashes:
        print(f"{name} crashed ({code}): {output}")
    for fault in lab.faults[:MAX_FAULTS]:
        print(f"a fault of the testbed: {fault}")
    if lab.void:
        print(f"void: {lab.void}")


def _latency_text(lab: LoopbackFleet) -> str:
    latencies = sorted(seconds for seconds, _ in lab.clients.waits)
    median = latencies[int(len(latencies) * 0.5)]
    p99 = latencies[int(len(latencies) * 0.99)]
    return (
        f"answers after {median:.3f} s at the median, {p99:.3f} s for 99 of 100, "
        "from intended times"
    )
