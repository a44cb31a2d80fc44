"""`petrellane load-distribution`: the figures of a source as a table, JSON object and plot."""

import json
import pathlib

import pytest

from petrellane.load_distribution import sources
from petrellane.load_distribution.commands import LoadDistributionOptions, print_figures
from tests.unit.load_distribution.files import HEADER, attempt_row, write_lines


@pytest.fixture
def records(tmp_path: pathlib.Path) -> str:
    """Write 20 seconds of records, in which 400 attempts go to three hosts in turn."""
    path = write_lines(
        tmp_path / "run.ndjson",
        HEADER,
        *({"at": 0.0, "by": "g0", "told": f"h{host}", "state": "ready"} for host in range(3)),
        *(attempt_row(number / 20, f"h{number % 3}") for number in range(400)),
        {"end": 20.0},
    )
    return str(path)


def test_a_table_begins_with_what_was_counted(
    records: str, capsys: pytest.CaptureFixture[str]
) -> None:
    print_figures(LoadDistributionOptions(records))
    table = capsys.readouterr().out
    assert table.startswith("400 attempts of 1 gateways at 3 endpoints"), table


def test_json_is_one_object_in_one_line(records: str, capsys: pytest.CaptureFixture[str]) -> None:
    print_figures(LoadDistributionOptions(records, as_json=True))
    (line,) = capsys.readouterr().out.splitlines()
    figures = json.loads(line)
    assert (figures["call_outs"], figures["idle"]) == (400, [])
    assert [span["windows"] for span in figures["spans"]] == [20, 4]


def test_a_plot_is_an_svg_file(records: str, tmp_path: pathlib.Path) -> None:
    plot = tmp_path / "run.svg"
    print_figures(LoadDistributionOptions(records, svg=str(plot)))
    assert "<svg" in plot.read_text()[:2000]


def test_a_time_without_attempts_is_rejected(records: str) -> None:
    with pytest.raises(sources.LoadSourceError, match="expected attempts between 30 s"):
        print_figures(LoadDistributionOptions(records, 30.0))
