"""Parsing of the settings object: methods, plans and the options of the site.

The configuration file and the simulator's protocol carry the same object. This module validates it,
fills in defaults and converts times from microseconds to seconds. `reload` defines which settings
may change while a gateway runs.
"""

from collections.abc import Iterable
from typing import NamedTuple

from petrellane.config.section import REQUIRED, ConfigError, Section, abbreviate
from petrellane.decisions.types import (
    DEDUPLICATED,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    ControllerSettings,
    KeyScope,
    Method,
    Plan,
)

EFFECTS = {
    "pure": IDEMPOTENT,
    "token": DEDUPLICATED,
    "side_effect": NON_IDEMPOTENT,
}
"""The effect of a method, by its value in the settings."""

_DEFAULT_DIAL_TIMEOUT_US = 1_000_000
_DEFAULT_CONN_IDLE_US = 30_000_000
_DEFAULT_MAX_UNITS = 1e9
_DEFAULT_GATEWAY_COUNT = 1_000_000
_MICROSECONDS = 1e6


class Settings(NamedTuple):
    """Validated settings; a change replaces the whole object.

    Attributes:
        methods: The methods by name.
        plans: The plans by name.
        uses_counter: Whether gateways lease quota from a shared counter.
        must_watch: Whether discovery sends the endpoint list only on request.
        controller_options: The keyword arguments of the admission controller.
        report_fields: The names of the metrics in an endpoint's load report, in order.
        counter_timeout: The time limit of a request to the counter, in seconds.
        dial_timeout: The time limit for establishing a connection, in seconds.
        conn_idle: The idle time after which an endpoint closes a connection, in seconds.
        streams: The maximum number of concurrent attempts on one connection to an endpoint.
        max_units: The maximum number of units of work that an RPC may declare.
        gateway_count: The number of gateways of the site.
    """

    methods: dict[str, Method]
    plans: dict[str, Plan]
    uses_counter: bool
    must_watch: bool
    controller_options: ControllerSettings
    report_fields: list[str]
    counter_timeout: float
    dial_timeout: float
    conn_idle: float
    streams: int
    max_units: float
    gateway_count: int


def parse_settings(section: Section) -> Settings:
    """Parse a settings object.

    Raises:
        ConfigError: A value is missing or invalid; the error names the first such key.
    """
    family = section.section("familyInfo", {})
    limits = section.section("limits", {})
    obligations = section.section("obligations", {})
    report = section.section("report", {})
    max_attempts = limits.integer("maxAttempts", 1, 1)
    methods = [_parse_method(row, max_attempts) for row in section.sections("classes")]
    plans = [_parse_plan(row) for row in section.sections("contracts")]
    _check_names_unique(methods, "settings.classes")
    _check_names_unique(plans, "settings.contracts")
    uses_counter = family.flag("mayCount")
    counter_timeout = family.seconds("counterTimeout")
    return Settings(
        methods={method.name: method for method in methods},
        plans={plan.name: plan for plan in plans},
        report_fields=report.get("fields", (list,), "a list of names", []),
        uses_counter=uses_counter,
        must_watch=section.text("discovery", "push") == "ask",
        counter_timeout=counter_timeout,
        dial_timeout=limits.seconds("dialTimeout", _DEFAULT_DIAL_TIMEOUT_US),
        conn_idle=limits.seconds("connIdle", _DEFAULT_CONN_IDLE_US),
        streams=limits.integer("streamsPerConn", 1, 1),
        max_units=family.number("maxUnits", _DEFAULT_MAX_UNITS),
        gateway_count=section.integer("replicasOfMe", _DEFAULT_GATEWAY_COUNT, 1),
        controller_options=ControllerSettings(
            zone=section.text("locality", ""),
            counter_timeout=counter_timeout,
            may_cancel=limits.flag("mayCancel"),
            max_retry_after=_parse_max_retry_after(limits),
            slow_start=obligations.seconds("cold"),
            slow_start_minimum=obligations.number("coldFrom", 1.0),
            cross_zone_price=section.section("prices", {}).number("crossZone", 0.0),
            method_identities={method.identity for method in methods},
        ),
    )


def _parse_max_retry_after(limits: Section) -> float:
    """Return the maximum Retry-After in seconds; 0 where the site does not allow Retry-After."""
    if not limits.flag("retryAfter"):
        return 0.0
    return limits.seconds("maxRetryAfter")


def _check_names_unique(rows: Iterable[Method | Plan], path: str) -> None:
    seen = set()
    for row in rows:
        if row.name in seen:
            raise ConfigError(path, "each name once", f"{abbreviate(row.name)} twice")
        seen.add(row.name)


def _parse_method(row: Section, max_attempts: int) -> Method:
    effect = row.text("effect")
    if effect not in EFFECTS:
        raise ConfigError(row.path_of("effect"), f"one of {', '.join(EFFECTS)}", abbreviate(effect))
    return Method(
        name=row.text("name"),
        effect=EFFECTS[effect],
        latency_objective=row.seconds("goalTime", REQUIRED),
        deadline=row.number("giveUp", is_exclusive=True) / _MICROSECONDS,
        key_scope=KeyScope.parse(row.text("keyScope", "")),
        key_window=row.seconds("window"),
        priority_weight=row.number("worth", 0.0),
        late_priority_weight=row.number("lateWorth", 0.0),
        is_streaming=row.flag("streamed"),
        max_attempts=max_attempts,
    )


def _parse_plan(row: Section) -> Plan:
    return Plan(
        name=row.text("name"),
        rate=row.number("quotaRate", 0.0),
        burst=row.number("storeSize", 0.0),
        hard_limit_rate=row.number("ceilingRate", 0.0),
        hard_limit_burst=row.number("ceilingBurst", 0.0),
        hard_limit_slack=row.number("ceilingSlack", 0.0),
        max_in_flight=row.integer("maxOut", 0),
        price=row.number("pays", 0.0),
        over_quota_weight=row.number("extraWorth", 0.0),
        over_quota_cost=row.number("overrunCost", 0.0),
    )
