"""Keys of a participant's state: in its report on the wire, and in the file that keeps it.

Both have the same words, which stay as they are; the program's terms are on the left.
"""

from typing import Final

PROMISED: Final = "promised"
IN_FORCE: Final = "in_force"
PREPARED: Final = "possible"
ABORTED: Final = "denied"
ROSTER: Final = "members"
