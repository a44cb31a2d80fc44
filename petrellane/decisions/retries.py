"""Retries: when an RPC may be sent again, where it may go, and how it ends otherwise.

A retry must never run a method twice if the settings forbid that. All retries together stay within
a budget, so that they do not add load to failing endpoints.
"""

from collections import deque
from math import inf
from typing import NamedTuple

from petrellane.decisions.actions import SendAttempt
from petrellane.decisions.endpoint_list import PodScope, Scope, ZoneScope
from petrellane.decisions.outcomes import PROVEN_NOT_RUN
from petrellane.decisions.types import DEDUPLICATED, IDEMPOTENT, KeyScope, Rpc

RETRY_BUDGET = 0.2  # maximum share of retries among the last attempts
BUDGET_ATTEMPTS = 100  # number of last attempts that the budget counts
KEY_WINDOW_MARGIN = 0.1  # minimum seconds between sending a retry and the key's expiry


class RetryTargets(NamedTuple):
    """The endpoints that a retry may go to, and its deadline.

    Attributes:
        scope: The endpoints that the retry may go to.
        send_by: The deadline for sending it.
    """

    scope: Scope
    send_by: float


class RetryBudget:
    """Limits retries to a share of the last attempts; owned by the controller."""

    def __init__(self) -> None:
        self._retries: deque[int] = deque(maxlen=BUDGET_ATTEMPTS)  # 1 for a retry, else 0

    def record(self, *, is_retry: bool) -> None:
        """Record an attempt that was sent."""
        self._retries.append(int(is_retry))

    def allows(self) -> bool:
        """Return whether one more retry stays within the budget."""
        return sum(self._retries) < RETRY_BUDGET * len(self._retries)


def attempts_that_may_have_run(rpc: Rpc) -> list[SendAttempt]:
    """Return the attempts, oldest first, whose outcome does not prove that they never ran."""
    return [attempt for attempt in rpc.attempts if attempt.outcome not in PROVEN_NOT_RUN]


def retry_targets(now: float, rpc: Rpc) -> RetryTargets | None:
    """Return the scope and the send deadline of a retry, or None if a retry is not safe."""
    may_have_run = attempts_that_may_have_run(rpc)
    method = rpc.method
    if not may_have_run or method.effect == IDEMPOTENT:
        return RetryTargets(None, inf)
    first = may_have_run[0]
    send_by = first.sent_at + method.key_window - KEY_WINDOW_MARGIN
    if method.effect != DEDUPLICATED or now > send_by:
        return None
    if method.key_scope is KeyScope.ALL:
        return RetryTargets(None, send_by)
    if method.key_scope is KeyScope.ZONE:
        return RetryTargets(ZoneScope(first.endpoint.zone), send_by)
    return RetryTargets(PodScope(first.endpoint.pod), send_by)


def is_safe_to_reject(rpc: Rpc) -> bool:
    """Return whether the client may safely send a failed RPC again, to any endpoint."""
    effect = rpc.method.effect
    scope = rpc.method.key_scope
    repeats_anywhere = effect == DEDUPLICATED and scope is KeyScope.ALL
    return effect == IDEMPOTENT or repeats_anywhere or not attempts_that_may_have_run(rpc)
