"""What `petrellane lab run` and `petrellane lab demo` do: a live table, a time line, the verdict."""

import time

from rich.console import Console
from rich.live import Live
from rich.table import Table

from petrellane.invariants import OK, REJECTED
from petrellane.load_distribution import sources
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import FleetSpec
from petrellane.testbed.run_file import LabSection, RunFile, Step, fleet_spec_of, load_run_file
from petrellane.testbed.runner import StepRunner

DEMO = RunFile(
    lab=LabSection(gateways=3, hosts=6, seconds=20.0, rate=120.0),
    step=[Step(at=10.0, do="kill", who=["h2"])],
)


class Watch:
    """A live table of what the gateways and hosts do; on no terminal, a line every five seconds."""

    def __init__(self, lab, seconds):
        self.lab, self.seconds, self.console = lab, seconds, Console()
        self.began, self.before, self.next = time.monotonic(), {}, 5.0
        self.live = (
            Live(console=self.console, auto_refresh=False) if self.console.is_terminal else None
        )

    def __enter__(self):
        if self.live:
            self.live.start()
        self.show()
        return self

    def __exit__(self, *error):
        if self.live:
            self.live.update(self.table(), refresh=True)
            self.live.stop()

    def show(self):
        self.lab.scheduler.after(0.5, self.show)
        passed = time.monotonic() - self.began
        if self.live:
            self.live.update(self.table(), refresh=True)
        elif passed >= self.next:
            self.next += 5.0
            print(f"{passed:5.1f} s of {self.seconds:g}: {answers(self.lab)}", flush=True)

    def table(self):
        table = Table(
            title=f"{time.monotonic() - self.began:.1f} s of {self.seconds:g}   {answers(self.lab)}"
        )
        for name in (
            "gateway",
            "state",
            "RPCs/s",
            "call-outs/s",
            "clients",
            "host",
            "up",
            "at work",
            "RPCs run",
        ):
            table.add_column(name, justify="right")
        rows = max(len(self.lab.gateways), len(self.lab.hosts))
        for at in range(rows):
            left = right = ["", "", "", "", ""]
            if at < len(self.lab.gateways):
                one = self.lab.gateways[at]
                told = one.last_event("figures") or {}
                state = (
                    "serves"
                    if one.ready
                    else "starts"
                    if one.process and one.process.is_running
                    else "down"
                )
                left = [
                    one.name,
                    state,
                    *(str(told.get(name, 0)) for name in ("rpcs", "call_outs", "clients")),
                ]
            if at < len(self.lab.hosts):
                host = self.lab.hosts[at]
                right = [host.name, "yes" if host.listener else "no", str(host.busy), str(host.ran)]
            table.add_row(*left, *right[:4])
        return table


def answers(lab):
    """What became of the RPCs so far, in a line."""
    counts = {}
    for (_, answer), number in lab.records.counts.items():
        counts[answer] = counts.get(answer, 0) + number
    total = sum(counts.values())
    rest = total - counts.get(OK, 0) - counts.get(REJECTED, 0)
    return f"{total} RPCs answered, {counts.get(OK, 0)} ok, {counts.get(REJECTED, 0)} pushed back, {rest} otherwise"


def run(play, shape=None, records=""):
    """Play a run and tell it, and write its records to a file where one is named; gives the exit code."""
    with LoopbackFleet(shape or fleet_spec_of(play)) as lab:
        if records:
            lab.records.keep_all()
        lab.start()
        lab.records.tell(f"load begins: {play.lab.rate:g} RPCs a second")
        StepRunner(lab, play).begin()
        lab.clients.start()
        with Watch(lab, play.lab.seconds):
            lab.run_for(play.lab.seconds)
            lab.finish_load()
        verdict = lab.verdict()
        if records:
            sources.write(records, lab.records.kept, lab.records.now())
        print(lab.timeline(200))
        return told(lab, verdict, play.expect.broken)


def told(lab, verdict, expected):
    """The verdict in words; the exit code, 1 where a rule broke that was not to, or a process crashed."""
    print(
        answers(lab)
        + (f", {lab.clients.turned_back} found no gateway" if lab.clients.turned_back else "")
    )
    if lab.clients.waits:
        waits = sorted(took for took, _ in lab.clients.waits)
        p50, p99 = (waits[int(len(waits) * part)] for part in (0.5, 0.99))
        print(
            f"answers after {p50:.3f} s at the median, {p99:.3f} s for 99 of 100, from intended times"
        )
    for broken in verdict.violations:
        print(f"{broken.at:8.3f} rule {broken.rule} is broken: {broken.text}")
        for line in [line for rpc in broken.rpcs for line in lab.records.about(rpc)]:
            print(f"      {line}")
    for name, code, said in lab.crashes:
        print(f"{name} crashed ({code}): {said}")
    for fault in lab.faults[:3]:
        print(f"a fault of the lab: {fault}")
    if lab.void:
        print(f"void: {lab.void}")
    as_expected = sorted(verdict.counts) == sorted(expected)
    print(
        "no rule broken"
        if not verdict.counts
        else f"broken: {', '.join(sorted(verdict.counts))}"
        + (", as expected" if as_expected else "")
    )
    return 0 if as_expected and not lab.crashes and not lab.faults and not lab.void else 1


def play_file(path, records=""):
    """Play a run file; gives the exit code. Raises RunFileError."""
    return run(load_run_file(path), records=records)


def demo():
    """Three gateways, six hosts, 20 s of load, one host killed half way; gives the exit code."""
    print(
        "three gateways, six hosts, a counter and discovery, on loopback; host h2 is killed half way"
    )
    return run(DEMO, FleetSpec(rate=DEMO.lab.rate))
