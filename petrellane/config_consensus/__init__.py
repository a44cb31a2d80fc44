"""Settings that commit at all gateways or at none, as in Paxos Commit.

Rules, free of I/O: `ballots` (epochs, ballots, generations, majorities), `messages` (the protocol
and its JSON form), `participant` (one gateway), `coordinator` (one control process) with
`leadership` (its epoch), `ledger` (its changes), `changes` (votes, and records of the journal) and
`notifications` (who is due what), `safe_settings` (canonical form, digest, meet and comparison of
settings), `errors`.

Services: `participant_service` and `control_service` with `state_store` and `journal` (what
outlives a crash), `rpc_client`, `message_authentication` and `commands` (the command line).
"""
