"""Dispatches each action of the controller to the method that executes it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from petrellane.decisions.actions import (
    Abort,
    Action,
    CancelAttempt,
    CounterAdd,
    Reject,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
    WriteLog,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class ActionDispatcher(ABC):
    """Base class for executors of actions, with one abstract method for each action type.

    The gateway's executor performs the actions on sockets; the simulation's executor performs them
    in simulated time.
    """

    def __init__(self) -> None:
        self._handlers: dict[type[Action], Callable[[Any], None]] = {
            SendAttempt: self._send_attempt,
            Reject: self._reject,
            Abort: self._abort,
            CancelAttempt: self._cancel_attempt,
            CounterAdd: self._add_to_counter,
            SetTimer: self._set_timer,
            WriteLog: self._write_log,
            WatchEndpoints: self._watch_endpoints,
        }

    def execute(self, actions: Iterable[Action]) -> None:
        """Execute the controller's actions in the given order."""
        for action in actions:
            self._handlers[type(action)](action)

    @abstractmethod
    def _send_attempt(self, action: SendAttempt) -> None: ...

    @abstractmethod
    def _reject(self, action: Reject) -> None: ...

    @abstractmethod
    def _abort(self, action: Abort) -> None: ...

    @abstractmethod
    def _cancel_attempt(self, action: CancelAttempt) -> None: ...

    @abstractmethod
    def _add_to_counter(self, action: CounterAdd) -> None: ...

    @abstractmethod
    def _set_timer(self, action: SetTimer) -> None: ...

    @abstractmethod
    def _write_log(self, action: WriteLog) -> None: ...

    @abstractmethod
    def _watch_endpoints(self, action: WatchEndpoints) -> None: ...
