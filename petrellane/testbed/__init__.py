"""A rig of many processes on loopback: real gateways, stand-ins for all that they talk to, relays that inject faults
between any two, clients in an open loop, and the invariant checker over what everybody saw.

    fleet (processes) -- relay -- standins (hosts, counter, discovery)
    clients -- relay -- fleet            records -- checker

    hollow gateways, real ones (processes) -- services (a process each): `scale` plays it, `rig` holds the processes, each of
    which tells through `metered` what it spends

Of the first, everything but the gateways and control processes runs in one process, on one scheduler and one clock. `run`
plays a file, `command` tells it; tests and benchmarks use `Lab` directly.
"""
