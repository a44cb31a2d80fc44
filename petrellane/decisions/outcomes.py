"""What the outcome of an attempt, or of an addition to the counter, proves."""

from petrellane.decisions.types import FULL, NEVER_SENT, UNREACHABLE

# Outcomes that prove that the recipient never executed the request; no other outcome does.
PROVEN_NOT_RUN = (FULL, UNREACHABLE, NEVER_SENT)
