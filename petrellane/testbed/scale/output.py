"""The report of a scale run as text: a table by role, the times, and what went wrong."""

from rich.console import Console
from rich.table import Table

from petrellane.testbed.scale.report import Report

CONSOLE_WIDTH = 125
HEADINGS = (
    "role",
    "number",
    "CPU s",
    "CPU ms each",
    "RSS MB",
    "messages in",
    "out",
    "kB in",
    "out",
    "B in each",
    "out each",
)


def print_report(report: Report) -> None:
    """Print a report."""
    Console(width=CONSOLE_WIDTH).print(_role_table(report))
    hollow = report["roles"]["hollow"]
    if "rss_mb_each" in hollow:
        print(
            f"a hollow gateway holds {hollow['rss_mb_each']:.3f} MB; "
            f"their longest turn took {hollow['turn_s']:.3f} s"
        )
    for kind in ("list", "settings"):
        if report[kind]["changes"]:
            print(_changes_text(kind, report[kind]))
    for outcome in report["settings"]["outcomes"]:
        print(f"  {outcome}")
    ready = [
        f"{format_seconds(seconds)} at the {name}" for name, seconds in report["ready_s"].items()
    ]
    print("ready after " + ", ".join(ready))
    if "restart" in report:
        print(_restart_text(report["restart"]))
    if report["void"]:
        print(f"void: {report['void']}")


def format_seconds(value: float | None) -> str:
    """Format a time; None is "never"."""
    return "never" if value is None else f"{value:.3f} s"


def _role_table(report: Report) -> Table:
    table = Table(title=f"a second, of {report['seconds']:.1f} s")
    for heading in HEADINGS:
        table.add_column(heading, justify="right")
    for name, role in report["roles"].items():
        table.add_row(*_role_cells(name, role))
    return table


def _role_cells(name: str, role: Report) -> list[str]:
    process_count = max(1, role["number"])
    return [
        name,
        str(role["number"]),
        f"{role['cpu_s']:.3f}",
        f"{role['cpu_s'] / process_count * 1e3:.2f}",
        f"{role['rss_mb']:.0f}",
        f"{role['messages_in']:.0f}",
        f"{role['messages_out']:.0f}",
        f"{role['bytes_in'] / 1e3:.1f}",
        f"{role['bytes_out'] / 1e3:.1f}",
        f"{role['bytes_in'] / process_count:.0f}",
        f"{role['bytes_out'] / process_count:.0f}",
    ]


def _changes_text(kind: str, figures: Report) -> str:
    committed = f", {figures['committed']} committed" if kind == "settings" else ""
    times = [format_seconds(figures[key]) for key in ("first_s", "median_s", "last_s")]
    return (
        f"{figures['changes']} changes of the {kind}{committed}"
        f", {figures['reached']} in force at all; "
        f"in force at the first, the median and the last one after {', '.join(times)}"
    )


def _restart_text(figures: Report) -> str:
    return (
        f"begun anew: {figures['listed']} have the list "
        f"after {format_seconds(figures['list_median_s'])} at the median, "
        f"{format_seconds(figures['list_last_s'])} at the last"
    )
