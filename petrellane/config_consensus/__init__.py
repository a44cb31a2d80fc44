"""A change of settings commits at all gateways or at none.

Rules, free of I/O: `safe_settings` (what of the settings is agreed on, and what two versions
allow together), `ballots` (epochs, ballots, quorums), `participant` (one gateway), `coordinator`
(one control process).

Services: `participant_service` and `peer_polling` at a gateway; `control_service`, `staff_calls`
and `participant_notifier` in a control process; `commands` and `staff_messages` for staff. They
stand on `message_authentication` and `rpc_client` (who sends what to whom), and on `state_store`,
`state_writer` and `journal` (what outlives a crash).
"""
