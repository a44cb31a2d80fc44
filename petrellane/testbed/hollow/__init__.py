"""Hollow gateways: gateways without clients and hosts, hundreds of them in one process.

A hollow gateway is the same `GatewayProcess` that `serve` runs: the watch of the endpoint list, the
connections to the counter, the management listener, the participant, and the executor with the
decisions. It differs in three ways. It has no listener for clients: the load generator passes
requests to its executor in the form of a client's bytes. Its attempts use no socket and succeed
after a random time. Its decision module knows only a part of the endpoint list, although the
gateway receives and parses the complete list. Without the decision module a gateway knows no
endpoint and gets no requests.

Three hundred gateways in a process do not perform like 300 machines: they share one core and one
poll over all their descriptors, whose cost grows with the number of descriptors. If the process is
busy, all its gateways are late. The process therefore reports its longest scheduler turn.

    parameters    the file that the testbed writes for a process
    gateway       one hollow gateway
    load          the generated requests
    group         all hollow gateways of a process, and their reports
    process       the main function of the process
"""
