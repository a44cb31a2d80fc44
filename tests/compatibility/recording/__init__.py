"""What each part of the recordings is made of; `record.py` says from which checkout."""

import pathlib
from collections.abc import Callable

from tests.compatibility.recording.agreement import record_agreement
from tests.compatibility.recording.handover import record_handover
from tests.compatibility.recording.management import record_management
from tests.compatibility.recording.measured import record_measured_files
from tests.compatibility.recording.processes import record_processes
from tests.compatibility.recording.simulation import record_simulation

PARTS: dict[str, Callable[[pathlib.Path], None]] = {
    "simulation": record_simulation,
    "handover": record_handover,
    "agreement": record_agreement,
    "management": record_management,
    "measured": record_measured_files,
    "processes": record_processes,
}
