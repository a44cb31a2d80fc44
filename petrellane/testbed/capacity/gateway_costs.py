"""What a gateway costs: its data path, and its part in control traffic."""

from functools import partial

from petrellane.testbed.capacity import workload
from petrellane.testbed.capacity.costs import Cost
from petrellane.testbed.capacity.figures import GIGABYTE, MEGABYTES_PER_MIB, MS_PER_S, Figure
from petrellane.testbed.capacity.measurements import Measurements

DATA_PATH = "gateway, data path"
CONTROL_PART = "gateway, control part"
SIZES = ("hosts", "customers", "methods")  # those that a gateway's own figures grow by


def data_path_costs(inputs: Measurements) -> list[Cost]:
    """Return what requests cost a gateway."""
    return [
        *_state_and_decision_costs(inputs),
        *_endpoint_list_costs(inputs),
        *_settings_costs(inputs),
    ]


def _state_and_decision_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, DATA_PATH)
    hosts = inputs.size_value("hosts")
    rpcs = workload.rpcs_per_gateway(inputs)
    return [
        cost("state: endpoints", inputs.size("hosts"), "endpoints"),
        cost(
            "state: customers seen in a window, at most",
            rpcs * inputs.estimate("window_s"),
            "customers",
        ),
        cost(
            "decision, 99 in 100, all sizes at once (as a sum)",
            inputs.combined_figure("decision_p99_ms", SIZES),
            "ms",
            "added_ms",
        ),
        cost(
            "decision, 99 in 100, by endpoints alone",
            inputs.figure_at("hosts", "decision_p99_ms", hosts),
            "ms",
            "decision_ms",
        ),
        cost(
            "decision, the median, by endpoints alone",
            inputs.figure_at("hosts", "decision_p50_ms", hosts),
            "ms",
        ),
        cost("processor, at its RPCs", inputs.combined_figure("cores", SIZES), "cores"),
        cost("RPCs", rpcs, "1/s"),
        cost("subset, by its own attempts", workload.subset_size(inputs), "endpoints"),
    ]


def _endpoint_list_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, DATA_PATH)
    hosts = inputs.size_value("hosts")
    return [
        cost(
            "complete endpoint list applied",
            inputs.figure_at("hosts", "list_whole_ms", hosts),
            "ms",
        ),
        cost(
            "the longest turn of that",
            inputs.figure_at("hosts", "list_turn_ms", hosts),
            "ms",
            "turn_ms",
        ),
        cost("complete endpoint list read (JSON)", inputs.message("list_read_ms"), "ms"),
        cost(
            "one change of the list applied",
            workload.list_change_ms(inputs),
            "ms",
            "list_change_ms",
        ),
    ]


def _settings_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, DATA_PATH)
    busy = workload.settings_change_ms(inputs) / MS_PER_S
    return [
        cost("settings read", workload.settings_read_ms(inputs), "ms", "settings_read_ms"),
        cost(
            "RPCs that come while a change of settings is applied, and wait",
            busy * workload.settings_changes_per_second(inputs),
            "of 1",
            "late_share",
        ),
    ]


def control_part_costs(inputs: Measurements) -> list[Cost]:
    """Return what control traffic costs a gateway."""
    return [
        *_control_traffic_costs(inputs),
        *_control_processor_costs(inputs),
        *_measured_process_costs(inputs),
        *_memory_costs(inputs),
    ]


def _control_traffic(inputs: Measurements) -> Figure:
    """Return the bytes a second of all control traffic, as it is."""
    return (
        workload.idle_watch_bytes_per_second(inputs)
        + workload.list_change_bytes_per_second(inputs)
        + workload.poll_bytes_per_second(inputs)
        + workload.settings_change_bytes(inputs) * workload.settings_changes_per_second(inputs)
    )


def _control_traffic_by_deltas(inputs: Measurements) -> Figure:
    """Return the bytes a second of all control traffic, by deltas and digests (not built)."""
    return (
        workload.idle_watch_bytes_per_second(inputs)
        + workload.list_change_bytes_per_second(inputs)
        + workload.poll_bytes_per_second(inputs, workload.DIGEST_ANSWER)
        + workload.settings_delta_bytes(inputs) * workload.settings_changes_per_second(inputs)
    )


def _control_traffic_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, CONTROL_PART)
    traffic = partial(Cost, CONTROL_PART, unit="B/s", budget="control_bytes")
    changes = workload.settings_changes_per_second(inputs)
    change_bytes = workload.settings_change_bytes(inputs) * changes
    adds = workload.counter_add_bytes_per_second(inputs)
    stored = workload.stored_bytes_per_change(inputs) * inputs.size("changes") / GIGABYTE
    return [
        cost("state: settings, read", inputs.message("settings_mb"), "MB"),
        cost("state: participants of the roster", inputs.size("gateways"), "names"),
        traffic(
            "watch of the endpoint list, at rest", workload.idle_watch_bytes_per_second(inputs)
        ),
        traffic("changes of the endpoint list", workload.list_change_bytes_per_second(inputs)),
        traffic("polls of one control process", workload.poll_bytes_per_second(inputs)),
        traffic("settings, complete at each change", change_bytes),
        traffic("all of these", _control_traffic(inputs)),
        traffic(
            "all of these, by deltas and digests (not built)",
            _control_traffic_by_deltas(inputs),
        ),
        traffic("adds on the counter, one an RPC (credit; not in the sum)", adds),
        cost("written to its disk in a day, for changes", stored, "GB"),
    ]


def _control_processor_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, CONTROL_PART)
    change = workload.settings_change_ms(inputs)
    changes = workload.settings_changes_per_second(inputs)
    list_changes = workload.list_changes_per_second(inputs)
    cores = (
        inputs.message("look_ms") / MS_PER_S
        + change / MS_PER_S * changes
        + list_changes * workload.list_change_ms(inputs) / MS_PER_S
    )
    return [
        cost("processor for one change of settings", change, "ms"),
        cost(
            "processor: polls, changes of settings and of the list",
            cores,
            "cores",
            "control_core",
        ),
    ]


def _measured_process_costs(inputs: Measurements) -> list[Cost]:
    cost = partial(Cost, CONTROL_PART)
    per_process = inputs.run_figure_per_process
    return [
        cost(
            "processor of a hollow gateway, measured",
            per_process("hollow", "cpu_s"),
            "cores",
            "control_core",
        ),
        cost(
            "processor of a real gateway without RPCs, measured",
            per_process("real", "cpu_s"),
            "cores",
            "control_core",
        ),
        cost(
            "traffic of a real gateway without RPCs, measured",
            per_process("real", "bytes_in") + per_process("real", "bytes_out"),
            "B/s",
            "control_bytes",
        ),
    ]


def _memory_costs(inputs: Measurements) -> list[Cost]:
    memory = partial(Cost, CONTROL_PART, unit="MB", budget="control_mb")
    hollow = inputs.run_figure("roles", "hollow", "rss_mb_each")
    real = inputs.run_figure_per_process("real", "rss_mb")
    return [
        memory("memory of a hollow gateway, measured", hollow * MEGABYTES_PER_MIB),
        memory("memory of a real gateway, all of it, measured", real * MEGABYTES_PER_MIB),
        memory(
            "memory of the decisions with their lists, as a sum",
            inputs.combined_figure("memory_mb", SIZES),
        ),
    ]
