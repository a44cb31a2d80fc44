"""Creates the test doubles of a fleet's hosts."""

from petrellane.net.scheduler import Scheduler
from petrellane.testbed.addresses import AddressPool
from petrellane.testbed.fake_host import FakeHost, HostSpec
from petrellane.testbed.fleet_spec import MICROSECONDS, FleetSpec, Settings
from petrellane.testbed.records import Records


def make_hosts(
    scheduler: Scheduler,
    records: Records,
    pool: AddressPool,
    spec: FleetSpec,
    settings: Settings,
) -> list[FakeHost]:
    """Return the hosts of a fleet, which already listen.

    The hosts share the idempotency keys that have been executed.
    """
    mean_work_s = {method.name: spec.work for method in spec.methods}
    slow_start = settings["obligations"]
    executed_keys: dict[str | None, None] = {}
    hosts = []
    for number in range(spec.hosts):
        host_spec = HostSpec(
            f"h{number}",
            mean_work_s,
            spec.slots,
            spec.queue,
            slow_start["cold"] / MICROSECONDS,
            slow_start["coldFrom"],
            spec.seed,
        )
        host = FakeHost(scheduler, records, host_spec, executed_keys, pool.next_address())
        hosts.append(host)
    return hosts
