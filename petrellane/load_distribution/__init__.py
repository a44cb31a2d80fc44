"""How evenly a fleet's load is distributed over endpoints.

- `trace`: what the figures are computed from, and its windows and slots. Free of I/O.
- `numeric`: mean, variance and autocorrelation.
- `figures`: the figures, each defined there and nowhere else. Free of I/O.
- `sources`: reads traces from files of records and from gateways' logs, and writes records.
- `commands`: what `petrellane load-distribution` prints.
"""
