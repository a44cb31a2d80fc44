"""Fleets on loopback: real gateways, test doubles of all that they talk to, and the invariants.

A fleet (`fleet`) has gateways and control processes as processes of their own; the rest runs in
one process, on one scheduler and one clock:

    clients -- relay -- gateways -- relay -- test doubles (hosts, counter, discovery)
    what every party saw -- `records` -- invariants

`run_file` reads a run, `runner` carries out its steps, `command` shows it; tests and benchmarks use
`fleet.LoopbackFleet` directly.

A scale run has hollow gateways, real ones and the test doubles in processes of their own: `scale`
says what is run, `testbed` holds the processes, and each reports through `metered` what it spends.
`slopes` fits lines to such runs, and `capacity` works out the page of capacity from them.
"""
