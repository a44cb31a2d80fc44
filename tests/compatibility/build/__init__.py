"""All that these tests know of the program: its modules, classes and functions.

Tests hand in and compare plain values (JSON, bytes, files) alone. Where a part of the program gets
another name, this package follows; where a word that stands in a recording has another name inside
the program, a table here translates it. Nothing here changes a value beyond that.
"""

from tests.compatibility.build.control_process import (
    ControlPlay,
    control_play,
    journal_records,
    without_incarnations,
    write_journal,
)
from tests.compatibility.build.hot_restart import (
    encode_packet,
    predecessor_dialogue,
    serve_command,
    socket_name,
    successor_dialogue,
)
from tests.compatibility.build.leases import Leases
from tests.compatibility.build.management import management_call
from tests.compatibility.build.measured import capacity_inputs, capacity_tables, scale_run
from tests.compatibility.build.participant import (
    digest,
    load_state,
    participant_answer,
    participant_learns,
    save_states,
    state_files,
)
from tests.compatibility.build.signatures import (
    consensus_paths,
    sign_request,
    sign_response,
    signed_call,
    verify_request,
    verify_response,
)
from tests.compatibility.build.simulation import played

__all__ = [
    "ControlPlay",
    "Leases",
    "capacity_inputs",
    "capacity_tables",
    "consensus_paths",
    "control_play",
    "digest",
    "encode_packet",
    "journal_records",
    "load_state",
    "management_call",
    "participant_answer",
    "participant_learns",
    "played",
    "predecessor_dialogue",
    "save_states",
    "scale_run",
    "serve_command",
    "sign_request",
    "sign_response",
    "signed_call",
    "socket_name",
    "state_files",
    "successor_dialogue",
    "verify_request",
    "verify_response",
    "without_incarnations",
    "write_journal",
]
