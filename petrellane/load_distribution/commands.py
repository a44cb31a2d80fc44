"""What `petrellane spread` prints: a table, one JSON object, or a plot."""

import sys

import orjson

from petrellane.load_distribution import sources
from petrellane.load_distribution.figures import Figures, Told, figures, windows


def table(found: Figures) -> str:
    """The figures as lines for a person."""
    lines = [
        f"{found.call_outs} call-outs of {found.gateways} gateways at {found.hosts} hosts",
        f"{'over':>6} {'peak':>6} {'by chance':>9} {'excess':>6} {'worst':>6} {'trough':>6} {'by chance':>9} "
        f"{'worst':>6}   of what was due, the mean of windows",
    ]
    for one in found.spans:
        lines.append(
            f"{one.seconds:4g} s {one.peak:6.2f} {one.chance_peak:9.2f} {one.excess:6.2f} {one.worst_peak:6.2f} "
            f"{one.trough:6.2f} {one.chance_trough:9.2f} {one.worst_trough:6.2f}   {one.windows} windows"
        )
    lines.append(
        f"idle: {len(found.idle) or 'none'}"
        + "".join(
            f"\n  {one.host} got nothing for {one.seconds:.1f} s from {one.since:.1f} s, {one.due:.1f} were due"
            for one in found.idle[:10]
        )
    )
    told = (
        "gateways move together"
        if found.herd > found.herd_by_chance
        else "gateways move by themselves"
    )
    lines.append(f"herd: {found.herd:.2f}, up to {found.herd_by_chance:.2f} by chance: {told}")
    lines.append(
        "swing: none"
        if found.period is None
        else f"swing: a period of {found.period:g} s, {found.amplitude:.2f} of what is due up and down"
    )
    return "\n".join(lines)


def as_json(found: Figures, read: sources.Read) -> bytes:
    """The same as one JSON object, with what could not be read."""
    told = found._asdict() | {
        "spans": [one._asdict() | {"excess": one.excess} for one in found.spans],
        "idle": [one._asdict() for one in found.idle],
        "lines": read.lines,
        "left_out": read.left_out,
        "notes": read.notes,
    }
    return orjson.dumps(told)


def plot(told: Told, path: str, seconds: float = 1.0) -> None:
    """A heat map of hosts over time, each second's call-outs over what was due, as an SVG file."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "petrellane"  # the same picture, the same file
    from matplotlib import pyplot

    rows = list(windows(told, seconds))
    hosts = sorted(told.ready, key=str)
    cells = [
        [row[host][0] / row[host][1] if host in row else float("nan") for _, row in rows]
        for host in hosts
    ]
    figure, axes = pyplot.subplots(figsize=(10, max(2.5, min(12.0, 0.16 * len(hosts) + 1.5))))
    first, last = (rows[0][0], rows[-1][0] + seconds) if rows else (0.0, 1.0)
    shown = axes.imshow(
        cells or [[0.0]],
        aspect="auto",
        interpolation="nearest",
        cmap="RdBu_r",
        vmin=0.0,
        vmax=2.0,
        extent=(first, last, len(hosts) or 1, 0),
    )
    axes.set_xlabel("seconds")
    axes.set_ylabel("hosts")
    if len(hosts) <= 60:
        axes.set_yticks(
            [at + 0.5 for at in range(len(hosts))], [str(host) for host in hosts], fontsize=6
        )
    figure.colorbar(shown, label="call-outs over due")
    axes.set_title(f"call-outs by host and {seconds:g} s")
    figure.tight_layout()
    figure.savefig(path, format="svg", metadata={"Date": None})
    pyplot.close(figure)


def tell(path: str, since: float, until: float | None, json: bool, svg: str, seed: int) -> None:
    """Read, and print what was found. Raises sources.SpreadError."""
    read = sources.read(path, since, until)
    if read.told.until <= read.told.since or not read.told.sent:
        raise sources.SpreadError(
            f"{path}: expected call-outs between {since:g} s and {read.told.until:g} s, found none"
        )
    found = figures(read.told, seed)
    if svg:
        try:
            plot(read.told, svg)
        except ImportError:
            raise sources.SpreadError(
                "--svg: expected matplotlib (pip install petrellane[plot]), found none"
            ) from None
        except OSError as error:
            raise sources.SpreadError(
                f"--svg: expected a file that can be written at {svg}: {error.strerror}"
            ) from None
    for note in read.notes:
        print(note, file=sys.stderr)
    if read.left_out:
        print(
            f"{read.left_out} of {read.lines + read.left_out} lines were left out", file=sys.stderr
        )
    print(as_json(found, read).decode() if json else table(found))
