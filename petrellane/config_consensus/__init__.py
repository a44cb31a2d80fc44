"""Settings that commit at all gateways or at none, as in Paxos Commit.

Rules, free of I/O: `ballots` (epochs, ballots, generations, majorities), `messages` (the protocol
and its JSON form) with `state_keys`, `participant` (one gateway), `coordinator` (one control
process) with `leadership` (its epoch), `ledger` (its changes), `changes` (votes, and records of the
journal) and `notifications` (who is due what), `canonical_settings` (canonical form and digest),
`safe_settings` (what two versions both allow), `settings_diff` (what a change changes, for staff),
`errors`.

Services: `participant_service` and `peer_polling` at a gateway; `control_service`, `staff_calls`
and `participant_notifier` in a control process; `commands` and `staff_messages` for staff. They
stand on `message_authentication` and `rpc_client` (who sends what to whom), and on `state_store`,
`state_writer` and `journal` (what outlives a crash).
"""
