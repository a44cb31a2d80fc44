"""Hollow gateways, hundreds in one process on one scheduler: gateways without clients and hosts.

Each is a `GatewayProcess` as `serve` runs it: the watch of the endpoint list, the connections to
the counter, the management listener, the participant, and the executor with the decisions. It
differs in three ways: it listens for no clients, requests are generated here and handed to its
executor as a client's bytes would be; attempts use no socket but end ok after a random time; and
its module knows a part of the endpoint list alone, while the list comes and is read completely.
Without its module it knows no endpoint, and no request comes.

A process of 300 gateways is not 300 machines: they share one core and one poll over all their
descriptors, whose cost grows with their number; where that is busy, all of them are late. The
process reports how long a turn took.

    parameters    the file that the testbed writes for a process
    gateway       one hollow gateway
    load          the requests that come to them
    group         all hollow gateways of a process, and what they report
    process       the process itself
"""
