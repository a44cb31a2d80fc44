"""What the central roles cost: the control process, discovery, the counter and the hosts."""

from functools import partial

from petrellane.config_consensus.notifications import POLL_INTERVAL_S
from petrellane.decisions.load_balancing import SUBSET_ROTATION
from petrellane.net.limits import Limits
from petrellane.testbed.capacity import workload
from petrellane.testbed.capacity.costs import Cost
from petrellane.testbed.capacity.figures import (
    GIGABYTE,
    MEGABYTE,
    MEGABYTES_PER_MIB,
    MS_PER_S,
    Figure,
)
from petrellane.testbed.capacity.measurements import Measurements

CONTROL_PROCESS = "control process, one for all"
DISCOVERY = "discovery, as gateways use it"
COUNTER = "counter"
HOSTS = "endpoints, as gateways load them"


def control_process_costs(inputs: Measurements) -> list[Cost]:
    """Return what one control process costs that coordinates all gateways."""
    return [
        *_control_idle_costs(inputs),
        *_control_memory_costs(inputs),
        *_control_change_costs(inputs),
        *_control_rule_costs(inputs),
        *_control_measured_costs(inputs),
    ]


def _control_idle_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, CONTROL_PROCESS)
    gateways = inputs.size("gateways")
    rules = inputs.message(f"leader_look_ms_{workload.count_text(gateways)}")
    idle_cores = (
        rules / MS_PER_S / POLL_INTERVAL_S
        + inputs.message("look_ms") / MS_PER_S / POLL_INTERVAL_S * gateways
    )
    return [
        cost(
            "state: names of participants, a list for each gateway heard",
            gateways * gateways,
            "names",
        ),
        cost("polls at rest", gateways * 1.0, "1/s"),
        cost(
            "traffic at rest",
            workload.poll_bytes_per_second(inputs) * gateways / MEGABYTE,
            "MB/s",
        ),
        cost(
            "processor at rest: rules and signatures of the polls, without sockets",
            idle_cores,
            "cores",
            "control_process_core",
        ),
        cost(
            "processor, measured",
            inputs.run_figure_per_process("control", "cpu_s"),
            "cores",
            "control_process_core",
        ),
        cost(
            "memory, measured",
            inputs.run_figure_per_process("control", "rss_mb") * MEGABYTES_PER_MIB,
            "MB",
            "machine_mb",
        ),
    ]


def _control_memory_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, CONTROL_PROCESS)
    gateways = inputs.size("gateways")
    changes = inputs.size("changes")
    calls = inputs.message(f"leader_calls_{workload.count_text(gateways)}")
    return [
        cost("messages for one change", calls * gateways, "calls"),
        cost(
            "bytes for one change, complete settings",
            workload.settings_change_bytes(inputs) * gateways / MEGABYTE,
            "MB",
        ),
        cost(
            "prepares in memory at once, at most",
            inputs.message("prepare_bytes") * gateways / MEGABYTE,
            "MB",
        ),
        cost(
            "memory that stays, of a day's changes (the history keeps each one's settings)",
            inputs.message("settings_mb") * changes,
            "MB",
            "machine_mb",
        ),
        cost(
            "journal written in a day, which none shortens",
            inputs.message("record_bytes") * changes / GIGABYTE,
            "GB",
        ),
    ]


def _control_change_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, CONTROL_PROCESS)
    gateways = inputs.size("gateways")
    change_mb = workload.settings_change_bytes(inputs) * gateways / MEGABYTE
    return [
        cost(
            "processor to write all prepares",
            inputs.message("prepare_write_ms") / MS_PER_S * gateways,
            "s",
            "patience_s",
        ),
        cost(
            "one change on one card, complete settings",
            change_mb / inputs.estimate("link_mb"),
            "s",
            "in_force_s",
        ),
        cost(
            "bytes for one change, by deltas and digests (not built)",
            workload.settings_delta_bytes(inputs) * gateways / MEGABYTE,
            "MB",
        ),
    ]


def _control_rule_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, CONTROL_PROCESS)
    gateways = inputs.size("gateways")
    participants = workload.count_text(gateways)
    change_seconds = (
        inputs.message(f"leader_change_ms_{participants}")
        + inputs.message("prepare_write_ms") * gateways
        + inputs.message("look_ms") * gateways
    ) / MS_PER_S
    return [
        cost(
            "rules for one change",
            workload.coordinator_change_seconds(inputs, participants),
            "s",
            "give_up_s",
        ),
        cost("processor for one change", change_seconds, "s", "in_force_s"),
        cost(
            "time of changes in a second, the day's mean",
            change_seconds * workload.settings_changes_per_second(inputs),
            "cores",
            "control_process_core",
        ),
        cost(
            "rules until it leads, after a start",
            inputs.message(f"leader_seek_ms_{participants}") / MS_PER_S,
            "s",
            "in_force_s",
        ),
    ]


def _control_measured_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, CONTROL_PROCESS)
    committed = inputs.run_figure("settings", "committed")
    return [
        cost(
            "changes committed, of those proposed, measured",
            committed / inputs.run_figure("settings", "changes"),
            "of 1",
        ),
        cost("gateways ready, the last one, measured", inputs.run_figure("ready_s", "last"), "s"),
        cost(
            "settings in force at the last gateway, measured",
            inputs.run_figure("settings", "last_s"),
            "s",
            "in_force_s",
        ),
    ]


def discovery_costs(inputs: Measurements) -> list[Cost]:
    """Return what our gateways cost the discovery service."""
    return [*_discovery_call_costs(inputs), *_discovery_measured_costs(inputs)]


def _discovery_call_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, DISCOVERY)
    gateways = inputs.size("gateways")
    idle_calls = gateways * workload.idle_watch_calls_per_second()
    list_changes = workload.list_changes_per_second(inputs)
    idle_traffic = workload.idle_watch_bytes_per_second(inputs) * gateways / MEGABYTE
    change_traffic = workload.list_change_bytes_per_second(inputs) * gateways / MEGABYTE
    return [
        cost("state: watches held", gateways, "watches"),
        cost("calls at rest", idle_calls, "1/s"),
        cost("traffic at rest", idle_traffic, "MB/s"),
        cost("calls for the day's changes of the list", list_changes * gateways, "1/s"),
        cost("traffic for these", change_traffic, "MB/s"),
        cost(
            "processor at rest, of what one core does",
            (idle_calls + list_changes * gateways) / inputs.estimate("discovery_calls"),
            "cores",
        ),
    ]


def _discovery_measured_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, DISCOVERY)
    return [
        cost(
            "processor of the fake, measured",
            inputs.run_figure_per_process("discovery", "cpu_s"),
            "cores",
        ),
        cost(
            "calls, with one change of the list a second, measured",
            inputs.run_figure("roles", "discovery", "messages_in"),
            "1/s",
        ),
        cost("one complete list", inputs.message("list_bytes") / MEGABYTE, "MB"),
        cost(
            "list in force at the last gateway, measured",
            inputs.run_figure("list", "last_s"),
            "s",
            "in_force_s",
        ),
    ]


def counter_costs(inputs: Measurements) -> list[Cost]:
    """Return what our gateways cost the shared counter."""
    return [
        *_counter_add_costs(inputs),
        *_counter_load_costs(inputs),
        *_counter_connection_costs(inputs),
    ]


def counter_adds_per_second(inputs: Measurements) -> Figure:
    """Return the adds a second on one counter, with customers at some gateways."""
    adds_per_rpc = workload.counter_adds_per_rpc(inputs, inputs.estimate("some"))
    return inputs.size("rpcs") * adds_per_rpc


def _counter_add_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, COUNTER)
    gateway_counts = {
        "few": inputs.estimate("few"),
        "some": inputs.estimate("some"),
        "all": inputs.size("gateways"),
    }
    costs = [
        cost(
            f"adds an RPC, customers at {name} gateways",
            workload.counter_adds_per_rpc(inputs, gateway_count),
            "adds",
        )
        for name, gateway_count in gateway_counts.items()
    ]
    measured = inputs.figure_at("customers", "adds_per_rpc", inputs.size_value("customers"))
    costs.append(cost("adds an RPC, measured with all customers at one gateway", measured, "adds"))
    return costs


def _counter_load_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, COUNTER)
    adds = counter_adds_per_second(inputs)
    regions = inputs.size("regions")
    adds_per_core = inputs.estimate("counter_adds")
    return [
        cost("adds on one counter, customers at some gateways", adds, "1/s"),
        cost("of what one core does", adds / adds_per_core, "cores"),
        cost("adds on the counter of one region", adds / regions, "1/s"),
        cost(
            "of what one core does, one counter a region",
            adds / regions / adds_per_core,
            "cores",
        ),
        cost(
            "processor of the fake at a few hundred adds a second, measured",
            inputs.run_figure_per_process("counter", "cpu_s"),
            "cores",
        ),
    ]


def _counter_connection_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, COUNTER)
    gateways = inputs.size("gateways")
    return [
        cost(
            "traffic on one counter",
            workload.counter_add_bytes_per_second(inputs) * gateways / MEGABYTE,
            "MB/s",
        ),
        cost(
            "connections, at most",
            gateways * Limits.counter_connections,
            "connections",
        ),
        cost(
            "state: counts, customers that are seen in two windows",
            inputs.size("customers") * 2,
            "counts",
        ),
    ]


def host_costs(inputs: Measurements) -> list[Cost]:
    """Return the load that our gateways put on hosts."""
    cost = partial(Cost, HOSTS)
    subset = workload.subset_size(inputs)
    gateways = inputs.size("gateways")
    return [
        cost("RPCs on an endpoint", inputs.size("rpcs") / inputs.size("hosts"), "1/s"),
        cost(
            "gateways that have it in their subsets",
            gateways * subset / inputs.size("hosts"),
            "gateways",
        ),
        cost(
            "RPCs from one gateway on one endpoint of its subset",
            workload.rpcs_per_gateway(inputs) / subset,
            "1/s",
        ),
        cost("exchanges in the subsets of all gateways", gateways / SUBSET_ROTATION, "1/s"),
    ]
