"""A scale run from its file to its report."""

from __future__ import annotations

import time
from functools import partial
from typing import Any

import orjson

from petrellane.testbed.fleet_spec import SettingsSpec, build_settings
from petrellane.testbed.scale.config import ScaleConfig, gateways_by_process, load, validate
from petrellane.testbed.scale.observations import ROLES, collect, meter_lines_of
from petrellane.testbed.scale.report import Report, make_report, total_usage
from petrellane.testbed.scale.resources import check_resources
from petrellane.testbed.testbed import ScaleRunError, ScaleTestbed

FIXED_METHODS = 3  # that the settings of every fleet have
UNREACHED_QUOTA = 1000.0  # of customers' plan, in units a second
DEADLINE_STEP_US = 1000  # by which each change moves the first method's deadline
EXIT_OK = 0
EXIT_VOID = 1


def make_settings(config: ScaleConfig, change: int = 0) -> dict[str, Any]:
    """Return the settings of a run after so many changes, as the settings file has them."""
    settings: dict[str, Any] = build_settings(
        SettingsSpec(
            max(1, config.gateway_count),
            extra_methods=[f"m{number}" for number in range(config.methods - FIXED_METHODS)],
            quota=UNREACHED_QUOTA,
        )
    )
    settings["classes"][0]["giveUp"] += change * DEADLINE_STEP_US
    return settings


def play(config: ScaleConfig) -> Report:
    """Play a run and return its report.

    Raises:
        ScaleError: The run cannot be played; nothing was started.
        ScaleRunError: The run did not come about.
    """
    validate(config)
    check_resources(config)
    testbed = ScaleTestbed(config, gateways_by_process(config), partial(make_settings, config))
    began = time.time()
    try:
        testbed.start()
        start: dict[str, Any] = {"seconds": time.time() - began}
        for role in ROLES:
            start[role] = total_usage(meter_lines_of(testbed, role))
        begin, end = testbed.run()
        testbed.finish_load()
        return make_report(config, collect(testbed, start, begin, end))
    finally:
        testbed.close()


def play_file(path: str) -> int:
    """Play the run of a file, and print its report, as a JSON line last.

    Returns:
        The exit code: 1 where the run did not come about or proves nothing.

    Raises:
        ScaleError: The file is malformed, or the run cannot be played.
    """
    try:
        report = play(load(path))
    except ScaleRunError as error:
        print(error)
        return EXIT_VOID
    from petrellane.testbed.scale.output import print_report  # rich is an extra

    print_report(report)
    print(orjson.dumps(report).decode())
    return EXIT_VOID if report["void"] else EXIT_OK
