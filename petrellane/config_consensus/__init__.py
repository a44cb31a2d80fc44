"""Changes of settings that commit at all gateways or at none, as in Paxos Commit.

A coordinator, which runs in a control process, proposes settings; each gateway is a participant
that votes on them.

Rules, without I/O:
    ballots: Epochs, ballots, generations and majorities.
    messages: The protocol and its JSON form; `state_keys` has the keys of a participant's state.
    participant: The rules of one gateway.
    coordinator: The rules of one control process. It consists of `leadership` (its epoch),
        `ledger` (its changes), `changes` (votes and journal records) and `notifications` (the
        messages that are due to each participant).
    canonical_settings: The canonical form and the digest of settings.
    safe_settings: The settings that two versions both allow.
    settings_diff: The differences between two versions, as text for staff.
    errors: The errors of the rules.

Services:
    At a gateway: `participant_service` and `peer_polling`.
    In a control process: `control_service`, `staff_calls` and `participant_notifier`.
    For staff, the operators: `commands` and `staff_messages`.
    For all of these: `message_authentication` and `rpc_client` send and verify messages;
        `state_store`, `state_writer` and `journal` keep durable state.
"""
