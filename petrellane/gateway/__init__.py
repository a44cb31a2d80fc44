"""The gateway process: socket I/O with clients, endpoints, the counter and discovery.

To embed a gateway, call `GatewayProcess(config).run()`; the constructor also accepts a scheduler.
`petrellane.cli` is one user of this package.
"""
