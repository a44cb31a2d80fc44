"""Goes through all orders of events for a fleet of a size, for as long as it takes:

    python -m tests.unit.config_consensus.orders GATEWAYS CONTROLS [CRASHES [FAULTS [PROPOSALS [STATES]]]]

prints the states seen and the first break with its steps; exit code 1 where there is one.
"""

import sys

from tests.unit.config_consensus.world import Fleet, explore


def main(words):
    numbers = [int(word) for word in words] + [1, 1, 1, 1_000_000][len(words) - 2 :]
    gateways, controls, crashes, faults, proposals, most = numbers
    fleet = Fleet(
        gateways, ("a", "b", "c")[:controls], proposals=proposals, crashes=crashes, faults=faults
    )
    states, found = explore(fleet, 999, most)
    print(
        f"{states} states" + (", no end: more than were asked for" if states >= most else ", all")
    )
    if found:
        print(found[0], *found[1], sep="\n  ")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
