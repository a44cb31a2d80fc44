"""What each figure of a gateway and of its fleet grows by when one size does: slopes over at least four points each.

    python benchmarks/scale.py [--sizes all|none|hosts,customers,...] [--runs 5] [--out benchmarks/scale.json]
        [--base FOLDER] [--predict SIZE=VALUE]... [--points SIZE=V,V,V,V]... [--hard] [--sets]

One size varies at a time, all others stay at what MODULE and HOLLOW say. Every run is a process of its own
(`scale_play.py`), and all runs of all points, sizes and builds come in one order drawn from `--seed`: first those of the
decisions and the configuration (hosts, customers, methods, rpcs; three side by side, timed in CPU time), then of 120 hollow
gateways (by the second: list_changes, settings_changes, fleet_rpcs; two side by side, as each takes a core), then of more
and more of them (gateways; one at a time, as each takes the machine). Figures of a role are of all its processes together,
by the second. `--base` plays another checkout's decisions in the same order, for a cost before and after. Lines, spreads and
what counts as a line: `petrellane/testbed/slopes.py`.

`--predict` states what each line gives at a size that no run had, writes it to the file, and only then runs that. `--hard`
plays hard cases (CASES below) of a gateway at the size to design for, `--sets` how evenly the hosts in use of many gateways
lie. With `--sizes none` these go into the file that is there, beside what it has. A table, and the file's name last; exit
code 2 for words that make no sense, 1 where a run failed or a prediction is off by more than it may be.
"""

import argparse
import concurrent.futures
import json
import os
import platform
import subprocess
import sys
import time
from collections import defaultdict
from typing import NamedTuple

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, ROOT)

from petrellane.testbed import slopes  # noqa: E402

PLAY = os.path.join(ROOT, "benchmarks", "scale_play.py")
VERSION = 1
PATIENCE = 150.0  # seconds in which a run must have ended
MOST_JOBS = 3
MODULE = {
    "kind": "module",
    "hosts": 52,
    "customers": 200,
    "methods": 40,
    "rpcs": 78.0,
    "seconds": 20.0,
    "budget": 4.0,
}
HOLLOW = {
    "kind": "hollow",
    "hollow": 120,
    "hosts": 50,
    "methods": 4,
    "customers": 200,
    "seconds": 4.0,
}
UNITS = (
    ("_ms", "ms"),
    ("_mb", "MB"),
    ("_mb_each", "MB"),
    ("_cpu_s", "cores"),
    ("_s", "s"),
    ("cores", "cores"),
    ("adds_per_rpc", "adds an RPC"),
    ("_messages_in", "messages a second"),
    ("_messages_out", "messages a second"),
    ("_bytes_in", "bytes a second"),
    ("_bytes_out", "bytes a second"),
)
COUNTS = (
    "rpcs_measured",
    "_number",
    "_changes",
    "_committed",
    "_reached",
)  # what a run had, which no line goes through


class Size(NamedTuple):
    """One size: its name in what is played, what is played beside it, its points, the most runs a point, and how many runs
    of such sizes are played side by side."""

    key: str
    rest: dict
    points: tuple
    runs: int = 5
    together: int = MOST_JOBS


SIZES = {
    "hosts": Size("hosts", MODULE, (50, 400, 1_600, 6_500, 13_000)),
    "customers": Size("customers", MODULE | {"seconds": 30.0}, (200, 2_000, 12_000, 47_000)),
    "methods": Size("methods", MODULE, (40, 400, 1_600, 4_100)),
    "rpcs": Size("rpcs", MODULE | {"hosts": 1_300}, (20, 78, 150, 300)),
    "gateways": Size(
        "hollow",
        HOLLOW | {"agreement": True, "list_changes": 1.0, "settings_rate": 0.25},
        (30, 120, 400, 1_200),
        5,
        1,
    ),
    "list_changes": Size("list_changes", HOLLOW | {"seconds": 3.0}, (1, 4, 16, 50), 5, 2),
    "settings_changes": Size(
        "settings_rate", HOLLOW | {"agreement": True}, (0.25, 0.5, 1, 1.5), 5, 2
    ),
    "fleet_rpcs": Size("rpcs", HOLLOW | {"seconds": 3.0}, (100, 300, 600, 1_000), 5, 2),
}
LARGE = MODULE | {"hosts": 13_000, "methods": 4_100, "budget": 25.0}
SPREAD = {"kind": "spread", "hosts": 12, "rpcs": 900.0, "seconds": 20.0, "budget": 25.0}
CASES = {
    "half of 13,000 hosts replaced in a minute": LARGE | {"kind": "replaced"},
    "a zone of twelve gone and back cold": LARGE | {"kind": "zone"},
    "47,000 customers each seen once a minute": MODULE
    | {"kind": "seen_once", "customers": 47_000, "budget": 30.0},
    "list changes fifty times a second": LARGE | {"kind": "fifty"},
    "a customer at 3 gateways": SPREAD | {"gateways": 3},
    "a customer at 1,200 gateways": SPREAD | {"gateways": 1_200},
}
SETS = {"kind": "sets", "gateways": 120, "hosts": 1_300, "rpcs": 78.0, "each": 100}


class Words(argparse.ArgumentParser):
    """A command line whose mistakes take one line."""

    def error(self, message):
        self.exit(2, f"scale: {message}\n")


class Failed(Exception):
    """A run did not give its figures; the text is one line that says why."""


def play(told, folder=ROOT):
    """The figures of one run, in a process of its own, with the build in `folder`. Raises Failed."""
    try:
        ended = subprocess.run(
            [sys.executable, PLAY, json.dumps(told)],
            capture_output=True,
            text=True,
            timeout=PATIENCE,
            cwd=folder,
            env=os.environ | {"PYTHONPATH": folder},
        )
    except subprocess.TimeoutExpired:
        raise Failed(f"expected an end within {PATIENCE:g} s, found none") from None
    if ended.returncode:
        raise Failed((ended.stderr.strip().splitlines() or [f"exit code {ended.returncode}"])[-1])
    found = json.loads(ended.stdout.strip().splitlines()[-1])
    if void := found.pop("void", ""):
        raise Failed(f"void: {void}")
    return found


def unit(figure):
    """What a figure is counted in, by its name."""
    return next((named for end, named in UNITS if figure.endswith(end)), "")


def fitted(figure):
    return not figure.endswith(COUNTS)


def jobs_of(told, sizes, together):
    """All runs of those of the sizes that have so many side by side, in the order in which they are played."""
    jobs = []
    for name in sizes:
        if SIZES[name].together == together:
            builds = told.builds if SIZES[name].rest["kind"] == "module" else {"this": ROOT}
            jobs += [
                (build, name, value, run)
                for build in builds
                for value in told.points[name]
                for run in range(1, runs_of(told, name) + 1)
            ]
    return slopes.shuffled(jobs, told.seed)


def runs_of(told, name):
    return min(told.runs, SIZES[name].runs)


class Report:
    """What was run so far, and the file that holds it."""

    def __init__(self, told, play):
        self.told, self.play, self.failed = told, play, []
        self.body = {
            "version": VERSION,
            "commit": commit(ROOT),
            "machine": machine(),
            "load": [load(), None],
            "runs": [],
            "slopes": {},
            "predictions": [],
        }
        if told.base:
            self.body["base_commit"] = commit(told.base)
        if told.sizes == [] and os.path.exists(told.out):
            with open(told.out) as file:
                self.body = json.load(file)

    def write(self):
        """Write the file whole, or leave the one before."""
        if self.told.sizes:
            self.body["load"][1] = load()
        beside = f"{self.told.out}.{os.getpid()}"
        with open(beside, "w") as file:
            file.write(text_of(self.body))
        os.replace(beside, self.told.out)

    def played(self, job, order):
        """One run of a size; its row."""
        build, name, value, run = job
        size = SIZES[name]
        row = {
            "id": f"{name}-{value:g}-{run}",
            "build": build,
            "size": name,
            "value": value,
            "run": run,
            "order": order,
        }
        told = size.rest | self.told.less | {size.key: value, "seed": self.told.seed * 1000 + run}
        return row | {"figures": rounded(self.play(told, self.told.builds[build]))}

    def run(self, jobs, side_by_side):
        """Play runs in their order, so many at a time; their rows. What fails is told, and no row."""
        rows, first = [], len(self.body["runs"]) + len(self.failed) + 1
        with concurrent.futures.ThreadPoolExecutor(side_by_side) as pool:
            running = {
                pool.submit(self.played, job, order): job for order, job in enumerate(jobs, first)
            }
            for future in concurrent.futures.as_completed(running):
                build, name, value, run = running[future]
                try:
                    rows.append(future.result())
                except Failed as trouble:
                    self.failed.append(f"{name}-{value:g}-{run} ({build}): {trouble}")
                    print(f"failed: {self.failed[-1]}", flush=True)
        return sorted(rows, key=lambda row: row["order"])

    def fit(self):
        """Lines through all runs so far; by build, size and figure."""
        found = defaultdict(list)
        for row in self.body["runs"]:
            for figure, value in row["figures"].items():
                if fitted(figure):
                    found[row["build"], row["size"], figure].append(
                        (row["value"], row["run"], value)
                    )
        lines = {}
        for (build, name, figure), runs in found.items():
            if len({value for value, _, _ in runs}) < slopes.MINIMUM_POINTS:
                continue  # what failed was told
            lines[build, name, figure] = line = slopes.fit(runs)
            self.body["slopes"].setdefault(build, {}).setdefault(name, {})[figure] = {
                "unit": unit(figure),
                "intercept": slopes.round_to_significant(line.intercept),
                "slope": slopes.round_to_significant(line.slope),
                "spread": [slopes.round_to_significant(one) for one in line.spread],
                "line": line.is_line,
                "note": line.note,
                "points": [
                    [point.value, *map(slopes.round_to_significant, point[1:4]), point.runs]
                    for point in line.points
                ],
            }
        return lines

    def predict(self, lines):
        """State what the lines give at sizes that no run had; then run these, and say how far off that was."""
        for name, value in self.told.predict:
            stated = {
                figure: slopes.round_to_significant(line.predict(value))
                for (build, size, figure), line in lines.items()
                if (build, size) == ("this", name) and line.is_line
            }
            rows = [
                {
                    "size": name,
                    "value": value,
                    "figure": figure,
                    "stated": one,
                    "found": [],
                    "off": None,
                    "within": None,
                }
                for figure, one in stated.items()
            ]
            self.body["predictions"] += rows
            self.write()  # before it is run
            for row in rows:
                print(
                    f"stated: {name} {value:g}: {row['figure']} {row['stated']:g} {unit(row['figure'])}",
                    flush=True,
                )
            if not rows:
                self.failed.append(
                    f"prediction at {name} {value:g}: expected a figure with a line, found none"
                )
                continue
            jobs = [("this", name, value, run) for run in range(1, runs_of(self.told, name) + 1)]
            runs = self.run(
                jobs, min(self.told.jobs, SIZES[name].together)
            )  # apart from those that lines go through
            for row in rows:
                row["found"] = [
                    one["figures"][row["figure"]] for one in runs if row["figure"] in one["figures"]
                ]
                if row["found"]:
                    off, row["within"] = slopes.prediction_error(row["stated"], row["found"])
                    row["off"] = (
                        slopes.round_to_significant(off) if abs(off) < float("inf") else 1.0
                    )  # what was not to be is there
                print(
                    f"found:  {name} {value:g}: {row['figure']} {row['found']}: "
                    + (
                        "not run"
                        if row["within"] is None
                        else f"off by {row['off']:.0%}, "
                        f"{'within' if row['within'] else 'beyond'} {slopes.TOLERANCE:.0%}"
                    ),
                    flush=True,
                )

    def cases(self, which, cases):
        """Play cases of their own, each by all builds; their rows go under `which`, in place of those that are there."""
        jobs = slopes.shuffled(
            [(build, case) for build in self.told.builds for case in cases], self.told.seed
        )
        rows = []

        def played(build, case):
            told = cases[case] | self.told.less | {"seed": self.told.seed}
            return {
                "case": case,
                "build": build,
                "commit": commit(self.told.builds[build]),
                "figures": rounded(self.play(told, self.told.builds[build])),
            }

        with concurrent.futures.ThreadPoolExecutor(self.told.jobs) as pool:
            for job, future in [(job, pool.submit(played, *job)) for job in jobs]:
                try:
                    rows.append(future.result())
                except Failed as trouble:
                    self.failed.append(f"{job[1]} ({job[0]}): {trouble}")
                    print(f"failed: {self.failed[-1]}", flush=True)
        self.body[which] = sorted(
            rows, key=lambda row: (list(cases).index(row["case"]), row["build"])
        )


def rounded(found):
    return {figure: slopes.round_to_significant(value) for figure, value in found.items()}


def text_of(body):
    """The file: a line for each run, fit and case, so that two files can be compared."""

    def rows(values, indent):
        return "[" + ",".join(f"\n{indent}{json.dumps(value)}" for value in values) + "]"

    def table(value, depth, indent):
        if not depth:
            return json.dumps(value)
        return (
            "{"
            + ",".join(
                f"\n{indent}{json.dumps(key)}: {table(one, depth - 1, indent + ' ')}"
                for key, one in value.items()
            )
            + "}"
        )

    parts = [
        f"{json.dumps(key)}: "
        + (
            rows(value, "  ")
            if isinstance(value, list) and key != "load"
            else table(value, 3, "  ")
            if key == "slopes"
            else json.dumps(value)
        )
        for key, value in body.items()
    ]
    return "{\n " + ",\n ".join(parts) + "\n}\n"


def commit(folder):
    """The commit that a folder's files are of, with `+` where they differ from it."""

    def git(*words):
        return subprocess.run(
            ["git", "-C", folder, *words], capture_output=True, text=True
        ).stdout.strip()

    return git("rev-parse", "--short", "HEAD") + "+" * bool(
        git("status", "--porcelain", "--", "petrellane")
    )


def machine():
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 1e9
    return {
        "cores": os.cpu_count(),
        "memory_gb": round(memory, 1),
        "python": platform.python_version(),
    }


def load():
    return round(os.getloadavg()[0], 2)


def print_slopes(found):
    print(
        f"\n{'build':5} {'size':16} {'figure':28} {'intercept':>10} {'slope':>10} {'least':>10} {'most':>10}  "
        "unit; what the points say"
    )
    for build, sizes in found.items():
        for name, figures in sizes.items():
            for figure, row in figures.items():
                if not any(point[3] for point in row["points"]):
                    continue  # nothing of the kind was ever there
                print(
                    f"{build:5} {name:16} {figure:28} {row['intercept']:>10.4g} {row['slope']:>10.4g} "
                    f"{row['spread'][0]:>10.4g} {row['spread'][1]:>10.4g}  {row['unit']}; {row['note'] or 'line'}; "
                    + ", ".join(
                        f"{value:g}: {middle:g}" + f" ({runs})"
                        for value, middle, _, _, runs in row["points"]
                    )
                )


def print_cases(rows):
    for row in rows:
        print(f"\n{row['case']} ({row['build']}, {row['commit']})")
        print("  " + ", ".join(f"{figure} {value:g}" for figure, value in row["figures"].items()))


def number(text, path):
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value < 1e9:
        raise ValueError(f"{path}: expected a number above 0, found {text}")
    return int(value) if value == int(value) else value


def sized(text, path):
    """SIZE=REST, with a size that there is."""
    name, _, rest = text.partition("=")
    if name not in SIZES:
        raise ValueError(f"{path}: expected SIZE=... with one of {', '.join(SIZES)}, found {text}")
    return name, rest


def checked(told):
    """The command line's words, looked at and made into values. Raises ValueError with one line."""
    told.sizes = (
        []
        if told.sizes == "none"
        else list(SIZES)
        if told.sizes == "all"
        else told.sizes.split(",")
    )
    if unknown := [name for name in told.sizes if name not in SIZES]:
        raise ValueError(
            f"--sizes: expected all, none or some of {', '.join(SIZES)}, found {unknown[0]}"
        )
    if not 1 <= told.runs <= 50:
        raise ValueError(f"--runs: expected 1 to 50, found {told.runs}")
    if not 1 <= told.jobs <= MOST_JOBS:
        raise ValueError(f"--jobs: expected 1 to {MOST_JOBS}, found {told.jobs}")
    if not os.path.isdir(os.path.dirname(os.path.abspath(told.out))):
        raise ValueError(f"--out: expected a file in a folder that is there, found {told.out}")
    told.builds = {"this": ROOT}
    if told.base:
        told.base = os.path.abspath(told.base)
        if not os.path.isfile(os.path.join(told.base, "petrellane", "__main__.py")):
            raise ValueError(
                f"--base: expected a checkout with petrellane/decisions/controller.py, found {told.base}"
            )
        told.builds["base"] = told.base
    points = {name: size.points for name, size in SIZES.items()}
    for text in told.points:
        name, rest = sized(text, "--points")
        points[name] = tuple(
            sorted({number(value, f"--points {name}") for value in rest.split(",")})
        )
        if len(points[name]) < slopes.MINIMUM_POINTS:
            raise ValueError(
                f"--points {name}: expected {slopes.MINIMUM_POINTS} points or more, found {len(points[name])}"
            )
    told.points = points
    for at, text in enumerate(told.predict):
        name, rest = sized(text, "--predict")
        value = number(rest, f"--predict {name}")
        if name not in told.sizes:
            raise ValueError(f"--predict: expected a size that is run, found {name}")
        if value in points[name]:
            raise ValueError(f"--predict {name}: expected a value that no run has, found {value:g}")
        told.predict[at] = name, value
    if told.seconds is not None and not 0 < told.seconds <= 60:
        raise ValueError(f"--seconds: expected above 0 and at most 60, found {told.seconds:g}")
    told.less = {"seconds": told.seconds} if told.seconds else {}
    if not (told.sizes or told.hard or told.sets):
        raise ValueError("--sizes none: expected --hard or --sets with it, found neither")
    return told


def parser():
    """The command line."""
    parser = Words(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", default="all", help=f"all, none, or some of {','.join(SIZES)}")
    parser.add_argument("--runs", type=int, default=5, help="runs a point")
    parser.add_argument("--out", default=os.path.join(ROOT, "benchmarks", "scale.json"))
    parser.add_argument(
        "--base", default="", help="another checkout, whose decisions are played as well"
    )
    parser.add_argument("--predict", action="append", default=[], metavar="SIZE=VALUE")
    parser.add_argument("--points", action="append", default=[], metavar="SIZE=V,V,V,V")
    parser.add_argument(
        "--seconds",
        type=float,
        help="length of every run on its own clock, in place of the usual one",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=MOST_JOBS, help="runs side by side at most")
    parser.add_argument("--hard", action="store_true")
    parser.add_argument("--sets", action="store_true")
    return parser


def main(words=None, play=play):
    line = parser()
    told = line.parse_args(words)
    try:
        checked(told)
    except ValueError as trouble:
        line.error(str(trouble))
    report = Report(told, play)
    for together in sorted({SIZES[name].together for name in told.sizes}, reverse=True):
        began, jobs = time.monotonic(), jobs_of(told, told.sizes, together)
        report.body["runs"] += report.run(jobs, min(told.jobs, together))
        print(
            f"{len(jobs)} runs, {min(told.jobs, together)} side by side, in {time.monotonic() - began:.0f} s",
            flush=True,
        )
    if told.sizes:
        lines = report.fit()
        print_slopes(report.body["slopes"])
        report.predict(lines)
    for wanted, which, cases in (
        (told.hard, "hard", CASES),
        (told.sets, "sets", {"hosts in use over gateways": SETS}),
    ):
        if wanted:
            report.cases(which, cases)
            print_cases(report.body[which])
    report.write()
    print(
        f"\n{len(report.failed)} failed; load {report.body['load'][0]} to {report.body['load'][1]}; {told.out}"
    )
    return (
        1
        if report.failed or any(row["within"] is False for row in report.body["predictions"])
        else 0
    )


if __name__ == "__main__":
    sys.exit(main())
