"""Gives each open request its final answer after an unforeseen exception.

The controller returns the actions of one event as a list, in which the answers of several RPCs may
follow each other. If the controller or one action raises an exception, the rest must not be lost:
the controller may count an RPC as finished, or an attempt as sent, although no action was executed.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from petrellane.decisions.actions import CounterAdd, SendAttempt, SetTimer
from petrellane.decisions.types import NEVER_SENT

if TYPE_CHECKING:
    from petrellane.decisions.actions import Action
    from petrellane.gateway.action_executor import ActionExecutor


class FaultRecovery:
    """Logs exceptions of decisions and actions, and settles the requests that they concern.

    Owned by the executor. The check of the open requests runs at the end of the turn, when no list
    of actions is being executed, and once for all exceptions of the turn.
    """

    def __init__(self, executor: ActionExecutor) -> None:
        self._executor = executor
        self._is_check_pending = False

    def on_decision_failed(self, error: Exception) -> None:
        """Handle an exception that the controller raised instead of returning actions."""
        self._executor.log.fault(error)
        self._request_check()

    def on_action_failed(self, action: Action, error: Exception) -> None:
        """Handle an exception that was raised while an action was executed."""
        self._executor.log.fault(error)
        self._request_check()
        if isinstance(action, SendAttempt):
            self._executor.endpoint_pools.withdraw(action)
        elif isinstance(action, CounterAdd):
            on_reply = self._executor.on_counter_reply
            self._executor.scheduler.call_soon(on_reply, action, NEVER_SENT, 0.0)
        elif isinstance(action, SetTimer):
            on_timer = partial(self._executor.on_timer, action.subject)
            interval = self._executor.limits.check_interval
            self._executor.scheduler.call_later(interval, on_timer)

    def _request_check(self) -> None:
        if not self._is_check_pending:
            self._is_check_pending = True
            self._executor.scheduler.call_soon(self._check_open_requests)

    def _check_open_requests(self) -> None:
        """Answer RPCs that count as finished, and report attempts that were not started."""
        self._is_check_pending = False
        executor = self._executor
        pending_attempts = executor.endpoint_pools.pending_attempts
        for rpc in list(executor.requests):
            if rpc not in executor.requests:
                continue  # answered since this check began
            if rpc.is_finished:
                executor.answer_with_fault(rpc)
            elif rpc.attempts and rpc.attempts[-1] not in pending_attempts:
                executor.on_attempt_not_started(rpc.attempts[-1])
