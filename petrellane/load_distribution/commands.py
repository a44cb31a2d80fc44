"""The output of `petrellane load-distribution`: a table or a JSON object, and optionally a plot.

The keys of the JSON object are a stable output format; `format_json` maps the figures to them.
"""

import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from petrellane.load_distribution import sources
from petrellane.load_distribution.figures import Figures, IdlePeriod, Span, compute_figures
from petrellane.load_distribution.trace import Id, LoadTrace, windows

if TYPE_CHECKING:
    from matplotlib.axes import Axes
    from matplotlib.image import AxesImage

MAXIMUM_IDLE_ROWS = 10  # idle periods listed in the table; the total is printed above them
MAXIMUM_LABELS = 60  # a plot with more endpoints has no room for their names


@dataclass(frozen=True)
class LoadDistributionOptions:
    """The options of `petrellane load-distribution`.

    Times are in seconds from the start of the run. `until` is None to read to its end; `svg` is
    the path of the plot, or "" for no plot.
    """

    path: str
    since: float = 0.0
    until: float | None = None
    as_json: bool = False
    svg: str = ""
    seed: int = 0


def print_figures(options: LoadDistributionOptions) -> None:
    """Read a source and print its figures.

    Raises:
        sources.LoadSourceError: The path yields no figures, or the plot cannot be written.
    """
    reading = sources.read(options.path, options.since, options.until)
    trace = reading.trace
    if trace.until <= trace.since or not trace.sent:
        raise sources.LoadSourceError(
            f"{options.path}: expected attempts between {options.since:g} s and "
            f"{trace.until:g} s, found none"
        )
    figures = compute_figures(trace, options.seed)
    if options.svg:
        _write_plot(trace, options.svg)
    for note in reading.notes:
        print(note, file=sys.stderr)
    if reading.left_out:
        print(
            f"{reading.left_out} of {reading.lines + reading.left_out} lines were left out",
            file=sys.stderr,
        )
    print(format_json(figures, reading).decode() if options.as_json else format_table(figures))


def format_table(figures: Figures) -> str:
    """Return the figures as a human-readable table."""
    lines = [
        f"{figures.attempts} attempts of {figures.gateways} gateways at {figures.hosts} endpoints",
        f"{'over':>6} {'peak':>6} {'by chance':>9} {'excess':>6} {'worst':>6} {'trough':>6} "
        f"{'by chance':>9} {'worst':>6}   of what was due, the mean of windows",
    ]
    lines += map(_format_span, figures.spans)
    lines.append(f"idle: {len(figures.idle) or 'none'}")
    lines += map(_format_idle, figures.idle[:MAXIMUM_IDLE_ROWS])
    if figures.herd > figures.herd_by_chance:
        movement = "gateways move together"
    else:
        movement = "gateways move by themselves"
    lines.append(
        f"herd: {figures.herd:.2f}, up to {figures.herd_by_chance:.2f} by chance: {movement}"
    )
    if figures.period is None:
        lines.append("swing: none")
    else:
        lines.append(
            f"swing: a period of {figures.period:g} s, {figures.amplitude:.2f} of what is due up "
            "and down"
        )
    return "\n".join(lines)


def _format_span(span: Span) -> str:
    return (
        f"{span.seconds:4g} s {span.peak:6.2f} {span.chance_peak:9.2f} {span.excess:6.2f} "
        f"{span.worst_peak:6.2f} {span.trough:6.2f} {span.chance_trough:9.2f} "
        f"{span.worst_trough:6.2f}   {span.windows} windows"
    )


def _format_idle(period: IdlePeriod) -> str:
    return (
        f"  {period.host} got nothing for {period.seconds:.1f} s from {period.since:.1f} s, "
        f"{period.due:.1f} were due"
    )


def format_json(figures: Figures, reading: sources.Reading) -> bytes:
    """Return one JSON object with the figures, the line counts and the notes of the reader."""
    row: dict[str, Any] = {
        "call_outs": figures.attempts,
        "gateways": figures.gateways,
        "hosts": figures.hosts,
        "spans": [span._asdict() | {"excess": span.excess} for span in figures.spans],
        "idle": [period._asdict() for period in figures.idle],
        "herd": figures.herd,
        "herd_by_chance": figures.herd_by_chance,
        "period": figures.period,
        "amplitude": figures.amplitude,
        "lines": reading.lines,
        "left_out": reading.left_out,
        "notes": reading.notes,
    }
    return orjson.dumps(row)


def _write_plot(trace: LoadTrace, path: str) -> None:
    try:
        write_plot(trace, path)
    except ImportError:
        raise sources.LoadSourceError(
            "--svg: expected matplotlib (pip install petrellane[plot]), found none"
        ) from None
    except OSError as error:
        raise sources.LoadSourceError(
            f"--svg: expected a file that can be written at {path}: {error.strerror}"
        ) from None


def write_plot(trace: LoadTrace, path: str, seconds: float = 1.0) -> None:
    """Write a heat map of endpoints over time as an SVG file.

    The value of a cell is the attempts sent to an endpoint in a window of `seconds`, divided by
    the attempts due to it.

    Raises:
        ImportError: matplotlib is not installed.
        OSError: The file cannot be written.
    """
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "petrellane"  # the same trace gives the same bytes
    from matplotlib import pyplot

    hosts = sorted(trace.ready, key=str)
    height = max(2.5, min(12.0, 0.16 * len(hosts) + 1.5))
    figure, axes = pyplot.subplots(figsize=(10, height))
    image = _draw_cells(axes, trace, hosts, seconds)
    axes.set_xlabel("seconds")
    axes.set_ylabel("endpoints")
    if len(hosts) <= MAXIMUM_LABELS:
        ticks = [index + 0.5 for index in range(len(hosts))]
        axes.set_yticks(ticks, [str(host) for host in hosts], fontsize=6)
    figure.colorbar(image, label="attempts over due")
    axes.set_title(f"attempts by endpoint and {seconds:g} s")
    figure.tight_layout()
    figure.savefig(path, format="svg", metadata={"Date": None})
    pyplot.close(figure)


def _draw_cells(axes: "Axes", trace: LoadTrace, hosts: list[Id], seconds: float) -> "AxesImage":
    """Draw the cells of the heat map and return their image."""
    rows = list(windows(trace, seconds))
    cells = [
        [load[host].sent / load[host].due if host in load else float("nan") for _, load in rows]
        for host in hosts
    ]
    first = 0.0
    last = 1.0
    if rows:
        first = rows[0][0]
        last = rows[-1][0] + seconds
    image: AxesImage = axes.imshow(
        cells or [[0.0]],
        aspect="auto",
        interpolation="nearest",
        cmap="RdBu_r",
        vmin=0.0,
        vmax=2.0,
        extent=(first, last, len(hosts) or 1, 0),
    )
    return image
