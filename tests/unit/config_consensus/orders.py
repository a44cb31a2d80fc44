"""Explores all orders of events for a fleet of a given size, without a time limit.

    python -m tests.unit.config_consensus.orders GATEWAYS CONTROLS

Optional further arguments are CRASHES, FAULTS, PROPOSALS (1 each by default) and MAX_STATES. With
`--shared-name` the control processes have one name and a journal each. The command prints the
number of states and the first violation with its steps. The exit code is 1 if there is a violation.
"""

from typing import Annotated

import typer

from tests.unit.config_consensus.exploration import SHARED_NAME, UNLIMITED_DEPTH, explore
from tests.unit.config_consensus.fleet_steps import Budget
from tests.unit.config_consensus.simulated_fleet import SimulatedFleet

CONTROLS = ("a", "b", "c")


def main(  # noqa: PLR0913 - the arguments of the command
    gateways: Annotated[int, typer.Argument()],
    controls: Annotated[int, typer.Argument(max=len(CONTROLS))],
    crashes: Annotated[int, typer.Argument()] = 1,
    faults: Annotated[int, typer.Argument()] = 1,
    proposals: Annotated[int, typer.Argument()] = 1,
    max_states: Annotated[int, typer.Argument()] = 1_000_000,
    shared_name: Annotated[
        bool, typer.Option(help="Run all control processes as one name")
    ] = False,
) -> None:
    """Explore all orders of events for a fleet, and print the result."""
    budget = Budget(proposals, crashes, faults)
    name = SHARED_NAME if shared_name else None
    fleet = SimulatedFleet(gateways, CONTROLS[:controls], budget, name)
    state_count, violation = explore(fleet, UNLIMITED_DEPTH, max_states)
    is_complete = state_count < max_states
    extent = "all" if is_complete else "incomplete: MAX_STATES reached"
    print(f"{state_count} states, {extent}")
    if violation:
        print(violation.text, *violation.steps, sep="\n  ")
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
