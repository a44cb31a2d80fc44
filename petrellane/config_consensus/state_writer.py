"""Writes a participant's state to the disk without blocking the gateway's scheduler.

A flush to the disk may take long, and all greenlets share one thread, so each write runs in a
separate thread. The participant service makes one write at a time.
"""

import select
import socket
import threading

import greenlet

from petrellane.config_consensus.participant import ParticipantState
from petrellane.config_consensus.state_store import StateStore
from petrellane.net.scheduler import Scheduler

WAKE_BYTE = b"."  # sent by the writing thread after the write


class StateWriter:
    """Saves states in a store; a participant service owns it while the gateway runs.

    During a write it owns a thread and a socket pair with which the thread wakes the scheduler.
    """

    def __init__(self, scheduler: Scheduler, store: StateStore) -> None:
        self._scheduler = scheduler
        self._store = store

    def save(self, state: ParticipantState) -> OSError | None:
        """Write a state while other greenlets run; return the error if it cannot be written.

        An error of any kind, also of the thread or of the sockets, means that it is not written.
        """
        try:
            wake_receiver, wake_sender = socket.socketpair()
        except OSError as error:
            return error
        with wake_receiver, wake_sender:
            return self._save_in_thread(state, wake_receiver, wake_sender)

    def _save_in_thread(
        self, state: ParticipantState, wake_receiver: socket.socket, wake_sender: socket.socket
    ) -> OSError | None:
        results: list[OSError | None] = []
        waiting_greenlet = greenlet.getcurrent()

        def write() -> None:
            try:
                self._store.save(state)
                results.append(None)
            except OSError as error:
                results.append(error)
            except Exception as error:  # the caller would wait for ever
                results.append(OSError(f"{type(error).__name__}: {error}"))
            wake_sender.send(WAKE_BYTE)

        def wake(_events: int) -> None:
            waiting_greenlet.switch()

        try:
            threading.Thread(target=write, daemon=True).start()
        except RuntimeError as error:  # the system has no thread for it
            return OSError(str(error))
        self._scheduler.register(wake_receiver.fileno(), select.POLLIN, wake)
        try:
            while not results:
                self._scheduler.wait()
        finally:
            self._scheduler.unregister(wake_receiver.fileno())
        return results[0]
