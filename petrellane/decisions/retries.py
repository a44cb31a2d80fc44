"""Retries: when an RPC may be sent again, where to, and how it ends when it may not.

A retry must never run a method twice that its settings forbid to run twice, and all retries
together stay within a budget, so that they add no load to endpoints in trouble.
"""

from collections import deque
from math import inf
from typing import NamedTuple

from petrellane.decisions.actions import SendAttempt
from petrellane.decisions.endpoint_list import PodScope, Scope, ZoneScope
from petrellane.decisions.outcomes import PROVEN_NOT_RUN
from petrellane.decisions.types import DEDUPLICATED, IDEMPOTENT, KeyScope, Rpc

RETRY_BUDGET = 0.2  # retries, as a share of the last attempts
BUDGET_ATTEMPTS = 100  # the last attempts that the budget counts
KEY_WINDOW_MARGIN = 0.1  # seconds before a key is forgotten from which a retry is too late


class RetryTargets(NamedTuple):
    """Where a retry may go.

    Attributes:
        scope: The endpoints that it may go to.
        send_by: The time from which it may not be sent any more.
    """

    scope: Scope
    send_by: float


class RetryBudget:
    """Keeps retries to a share of the last attempts; owned by the controller."""

    def __init__(self) -> None:
        self._retries: deque[int] = deque(maxlen=BUDGET_ATTEMPTS)  # 1 for a retry, else 0

    def record(self, *, is_retry: bool) -> None:
        """Count an attempt that was sent."""
        self._retries.append(int(is_retry))

    def allows(self) -> bool:
        """Whether one more retry stays within the budget."""
        return sum(self._retries) < RETRY_BUDGET * len(self._retries)


def attempts_that_may_have_run(rpc: Rpc) -> list[SendAttempt]:
    """The attempts, oldest first, whose outcome does not prove that they never ran."""
    return [attempt for attempt in rpc.attempts if attempt.outcome not in PROVEN_NOT_RUN]


def retry_targets(now: float, rpc: Rpc) -> RetryTargets | None:
    """Where an RPC may be sent again; None where running it again is not safe."""
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
    """Whether the client may send an RPC that has failed again, wherever that goes."""
    effect = rpc.method.effect
    scope = rpc.method.key_scope
    repeats_anywhere = effect == DEDUPLICATED and scope is KeyScope.ALL
    return effect == IDEMPOTENT or repeats_anywhere or not attempts_that_may_have_run(rpc)
