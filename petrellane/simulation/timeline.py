"""A run as a person reads it: who knew what, when, around what was broken."""

from petrellane.invariants import (
    AttemptArrived,
    AttemptEnded,
    AttemptSent,
    ClientDisconnected,
    EndpointNotified,
    EndpointStarted,
    GatewayLifecycle,
    RpcAnswered,
    RpcExecuted,
    RpcReceived,
    StateRetained,
)
from petrellane.simulation.fleet import Run

SPAN = 2.0  # seconds before the first break that are told in full
MOST = 120  # lines told; what is left out is counted


def words(record) -> str:
    """One record in words, without its time and its party."""
    if isinstance(record, RpcReceived):
        return (
            f"takes {record.rpc} ({record.method}, {record.units:g} units of {record.customer}, "
            f"until {record.deadline:.3f})"
        )
    if isinstance(record, AttemptSent):
        return f"sends {record.rpc} to {record.host}, call-out {record.number}"
    if isinstance(record, AttemptEnded):
        return f"sees call-out {record.number} of {record.rpc} end: {record.outcome}"
    if isinstance(record, AttemptArrived):
        return f"has call-out {record.number} of {record.rpc}, {record.work:.3f} core seconds"
    if isinstance(record, RpcExecuted):
        return f"has run {record.rpc}"
    if isinstance(record, RpcAnswered):
        return f"answers {record.rpc}: {record.answer}"
    if isinstance(record, ClientDisconnected):
        return f"sees the client of {record.rpc} leave"
    if isinstance(record, EndpointNotified):
        return f"is told that {record.host} is {record.state}" + (
            f", up since {record.up_since:.3f}" if record.up_since else ""
        )
    if isinstance(record, EndpointStarted):
        return "starts cold"
    if isinstance(record, StateRetained):
        return f"still holds {record.count} {record.kind} that are over"
    return record.event if isinstance(record, GatewayLifecycle) else str(record)


def concerns(record, rpcs, hosts, customers) -> bool:
    """Whether a record has to do with these RPCs, hosts or customers."""
    if isinstance(record, GatewayLifecycle):
        return True
    if isinstance(record, (EndpointNotified, EndpointStarted)):
        return record.host in hosts
    if isinstance(record, AttemptArrived):
        return record.rpc in rpcs or record.host in hosts
    if isinstance(record, AttemptSent):
        return record.rpc in rpcs or record.rpc in customers and record.number == 0
    return getattr(record, "rpc", None) in rpcs


def timeline(run: Run) -> list[str]:
    """The lines: faults and changes of mode all along, and what concerns the first break of each rule in full."""
    broken = {one.rule: one for one in reversed(run.verdict.violations)}  # the first of each
    rpcs = {rpc for one in broken.values() for rpc in one.rpcs}
    records = run.records or []
    hosts = {
        record.host for record in records if isinstance(record, AttemptSent) and record.rpc in rpcs
    }
    mine = {
        record.customer
        for record in records
        if isinstance(record, RpcReceived) and record.rpc in rpcs
    }
    customers = {
        record.rpc
        for record in records
        if isinstance(record, RpcReceived) and record.customer in mine
    }
    start = min((one.at for one in broken.values()), default=0.0) - SPAN
    told = [
        (at, who, text)
        for at, who, text in run.trace or []
        if "asked for" not in text
        or (at >= start and any(f" of {customer} " in text for customer in mine))
    ]
    for record in records:
        if (
            isinstance(record, (GatewayLifecycle, EndpointStarted))
            or start <= record.at
            and concerns(record, rpcs, hosts, customers)
        ):
            who = (
                getattr(record, "gateway", None)
                if not isinstance(record, (AttemptArrived, RpcExecuted, EndpointStarted))
                else record.host
            )
            told.append((record.at, who, words(record)))
    told += [(one.at, "REFEREE", f"{one.rule}: {one.text}") for one in broken.values()]
    told.sort(key=lambda entry: entry[0])
    left = len(told) - MOST
    if left > 0:  # the last ones tell how it came about
        told = told[-MOST:]
    lines = [f"{at:9.3f}  {who or '':8}  {text}" for at, who, text in told]
    return ([f"{'':9}  ({left} earlier lines left out)"] if left > 0 else []) + lines


def verdict(run: Run) -> str:
    """One line: what was broken, or how near the run came to each rule."""
    if run.verdict.counts:
        return "broken: " + ", ".join(
            f"{rule} {count} times" for rule, count in sorted(run.verdict.counts.items())
        )
    near = ", ".join(f"{rule} {distance:.2f}" for rule, distance in run.verdict.nearest.items())
    return f"no rule broken; nearest (1 is at the rule): {near}"
