"""Who makes room for a new client where descriptors are short: rules free of I/O."""

import itertools


def spare(now, limits, silent, once, halves, clients):
    """The clients that may be let go, in the order in which they are asked whether they are owed anything: those that have
    said nothing for a while, those that said one thing, those in the midst of a command for too long, those that come back
    without an RPC, and the rest, the longest idle first. One just come and one whose RPC was answered just now stay: whoever
    comes then is shut instead.

    All but `now` (seconds) are in the order in which they came to be there; `halves` says since when."""
    settled, ripe, rested = (
        now - limits.client_settle,
        now - limits.command_timeout_crowded,
        now - limits.client_rested,
    )
    yield from itertools.takewhile(lambda client: client.came <= settled, silent)
    yield from (client for client in once if not client.asked or client.since <= rested)
    yield from (client for client, since in halves.items() if since <= ripe)
    yield from (client for client in clients if client not in silent and not client.asked)
    yield from (
        client
        for client in clients
        if client not in silent and client.asked and client.since <= rested
    )
