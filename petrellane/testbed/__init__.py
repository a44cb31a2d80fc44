"""Loopback fleets: real gateways, fakes of their peers, and the invariant checker.

A fleet (`fleet`) starts each gateway and each control process as a separate process. Everything
else runs in the testbed's process, on one scheduler and one clock:

    clients -- relay -- gateways -- relay -- fakes (hosts, counter, discovery)
    observations of every party -- `records` -- invariants

`run_file` parses a run file, `runner` executes its steps and `command` prints the results. Tests
and benchmarks use `fleet.LoopbackFleet` directly.

A scale run starts hollow gateways, real gateways and fakes in separate processes: `scale` defines
the run, `testbed` manages the processes, and each process reports its resource usage through
`metered`. `slopes` fits lines to the results of scale runs, and `capacity` computes the capacity
page from them.
"""
