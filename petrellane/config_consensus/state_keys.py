"""Keys of a participant's state, in its report on the wire and in its state file.

The keys are part of both formats and do not change. The constants are named by the terms that the
code uses.
"""

from typing import Final

PROMISED: Final = "promised"
IN_FORCE: Final = "in_force"
PREPARED: Final = "possible"
ABORTED: Final = "denied"
ROSTER: Final = "members"
