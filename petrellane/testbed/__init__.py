"""Fleets of real and hollow gateways on loopback, and the page of capacity.

A testbed of real gateways, fakes of all that they talk to, relays that inject faults between any
two, clients in an open loop, and the invariant checker over what everybody saw:

    fleet (processes) -- relay -- fakes (hosts, counter, discovery)
    clients -- relay -- fleet            records -- checker

A scale run of hollow gateways beside some real ones, each process with a meter on its streams:

    hollow gateways, real ones (processes) -- services (a process each)

In the first, everything but the gateways and control processes runs in one process, on one
scheduler and one clock. `runner` plays a run file and `command` reports it; tests and benchmarks
use `fleet` directly. A scale run is played by `scale`, and `testbed` holds its processes.
`capacity` works out the page of capacity from measured slopes, which `slopes` fits.
"""
