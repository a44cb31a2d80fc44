"""The gateway on real sockets: clients, hosts, counter and discovery round the decisions.

Embed it with `Node(config).run()`, or hand a scheduler of your own to Node; petrellane.cli is one user of it.
"""
