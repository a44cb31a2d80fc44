"""What the outcome of an attempt, or of an add to the counter, proves."""

from petrellane.decisions.types import FULL, NEVER_SENT, UNREACHABLE

# Outcomes that prove that the other end never ran it; no other outcome does.
PROVEN_NOT_RUN = (FULL, UNREACHABLE, NEVER_SENT)
