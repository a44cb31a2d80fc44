"""Tables that compare ways to divide the work of the central roles."""

from __future__ import annotations

from typing import NamedTuple

from petrellane.testbed.capacity import workload
from petrellane.testbed.capacity.figures import MEGABYTE, Figure, format_sources, format_value
from petrellane.testbed.capacity.measurements import Measurements
from petrellane.testbed.capacity.service_costs import counter_adds_per_second
from petrellane.testbed.capacity.tables import Cells, Table

SETTINGS_HEADINGS = (
    "way",
    "gateways that the busiest notifies",
    "its bytes for a change",
    "its rules",
    "at a gateway",
    "from",
)


class SettingsDistribution(NamedTuple):
    """A way to distribute a change: recipients of the busiest sender, and bytes to each."""

    name: str
    recipients: Figure
    message_bytes: Figure
    participants: Figure

    def cells(self, inputs: Measurements) -> Cells:
        """Return the row of the table."""
        participants = workload.count_text(self.participants)
        rules = workload.coordinator_change_seconds(inputs, participants)
        sent_mb = self.message_bytes * self.recipients / MEGABYTE
        received = self.message_bytes * workload.settings_changes_per_second(inputs)
        return (
            self.name,
            format_value(self.recipients.value),
            format_value(sent_mb.value, "MB"),
            format_value(rules.value, "s"),
            format_value(received.value, "B/s"),
            format_sources(self.message_bytes),
        )


def settings_distribution_table(inputs: Measurements) -> Table:
    """Return the table of ways to distribute a change of settings to all gateways."""
    gateways = inputs.size("gateways")
    zone = gateways / inputs.size("zones")
    region = gateways / inputs.size("regions")
    complete = workload.settings_change_bytes(inputs)
    delta = workload.settings_delta_bytes(inputs)
    ways = (
        SettingsDistribution("complete, one for all (as it is)", gateways, complete, gateways),
        SettingsDistribution("complete, a tree: one a zone passes on", zone, complete, zone),
        SettingsDistribution("complete, one control process a region", region, complete, region),
        SettingsDistribution("deltas by digest, one for all", gateways, delta, gateways),
        SettingsDistribution(
            "deltas by digest, one control process a region", region, delta, region
        ),
    )
    rows = tuple(way.cells(inputs) for way in ways)
    return Table("settings-ways", SETTINGS_HEADINGS, rows)


def counter_partition_table(inputs: Measurements) -> Table:
    """Return the table of ways to divide the shared counter."""
    adds = counter_adds_per_second(inputs)
    regions = inputs.size("regions")
    adds_per_core = inputs.estimate("counter_adds")
    ways = (
        ("one counter for all (as it is)", adds),
        ("one a region, customers at home in one", adds / regions),
        ("by key over some in each region", adds / regions / inputs.estimate("counters")),
    )
    return Table(
        "counter-ways",
        ("way", "adds on each", "of what one core does", "from"),
        tuple(
            (
                name,
                format_value(adds_on_each.value, "1/s"),
                format_value((adds_on_each / adds_per_core).value, "cores"),
                format_sources(adds_on_each),
            )
            for name, adds_on_each in ways
        ),
    )


def list_partition_table(inputs: Measurements) -> Table:
    """Return the table of the endpoints that a gateway may watch: all, or a part of them."""
    hosts = inputs.size("hosts")
    row_bytes = inputs.message("list_bytes") / hosts
    list_changes = workload.list_changes_per_second(inputs)
    ways = (
        ("all endpoints (as it is)", hosts),
        ("those of its region", hosts / inputs.size("regions")),
        ("those of some services", hosts / inputs.size("services") * inputs.estimate("served")),
    )
    return Table(
        "list-ways",
        ("a gateway knows", "endpoints", "a complete list", "changes, the day's mean", "from"),
        tuple(
            (
                name,
                format_value(watched.value),
                format_value((row_bytes * watched / MEGABYTE).value, "MB"),
                format_value((list_changes * watched / hosts).value, "1/s"),
                format_sources(row_bytes * watched),
            )
            for name, watched in ways
        ),
    )


class RegionComparison(NamedTuple):
    """A central role's figure where one serves all, and where each region has its own."""

    description: str
    one_for_all: Figure
    one_per_region: Figure
    unit: str

    def cells(self) -> Cells:
        """Return the row of the table."""
        return (
            self.description,
            format_value(self.one_for_all.value, self.unit),
            format_value(self.one_per_region.value, self.unit),
            format_sources(self.one_for_all),
        )


def region_table(inputs: Measurements) -> Table:
    """Return the table of central roles, one for all beside one of each region."""
    rows = (*_region_settings_rows(inputs), *_region_service_rows(inputs))
    return Table(
        "regions",
        ("what", "one for all", "one of each region", "from"),
        tuple(row.cells() for row in rows),
    )


def _region_settings_rows(inputs: Measurements) -> list[RegionComparison]:
    gateways = inputs.size("gateways")
    regions = inputs.size("regions")
    region = gateways / regions
    change_mb = workload.settings_change_bytes(inputs) * gateways / MEGABYTE
    change_mb_per_region = workload.settings_change_bytes(inputs) * gateways / regions / MEGABYTE
    return [
        RegionComparison(
            "gateways that one control process notifies", gateways, region, "gateways"
        ),
        RegionComparison(
            "bytes for one change, complete settings", change_mb, change_mb_per_region, "MB"
        ),
        RegionComparison(
            "rules for one change",
            workload.coordinator_change_seconds(inputs, workload.count_text(gateways)),
            workload.coordinator_change_seconds(inputs, workload.count_text(region)),
            "s",
        ),
        RegionComparison("polls at rest", gateways * 1.0, gateways / regions, "1/s"),
    ]


def _region_service_rows(inputs: Measurements) -> list[RegionComparison]:
    gateways = inputs.size("gateways")
    hosts = inputs.size("hosts")
    regions = inputs.size("regions")
    watch_calls = workload.idle_watch_calls_per_second()
    adds = counter_adds_per_second(inputs)
    list_bytes = inputs.message("list_bytes")
    return [
        RegionComparison(
            "calls at discovery, at rest",
            gateways * watch_calls,
            gateways / regions * watch_calls,
            "1/s",
        ),
        RegionComparison(
            "adds on the counter, customers at some gateways", adds, adds / regions, "1/s"
        ),
        RegionComparison("endpoints in the list", hosts, hosts / regions, "endpoints"),
        RegionComparison(
            "a complete list", list_bytes / MEGABYTE, list_bytes / regions / MEGABYTE, "MB"
        ),
    ]
