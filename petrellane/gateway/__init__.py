"""The gateway on real sockets: clients, endpoints, counter and discovery around the decisions.

Embed it with `GatewayProcess(config).run()`, or give the process a scheduler of your own;
`petrellane.cli` is one user of it.
"""
