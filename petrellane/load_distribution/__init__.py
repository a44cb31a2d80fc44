"""How evenly a fleet's load is distributed over endpoints.

- `trace`: the input of the figures, and its division into windows and slots. Performs no I/O.
- `numeric`: mean, variance and autocorrelation.
- `figures`: the definition and computation of each figure. Performs no I/O.
- `sources`: reads traces from record files and gateway logs, and writes record files.
- `commands`: the output of `petrellane load-distribution`.
"""
