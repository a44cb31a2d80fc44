"""Writes a participant's state to the disk without blocking the gateway's scheduler.

Flushing a file may take long, and greenlets share one thread, so each write runs in a thread of its
own. Writes do not overlap: the participant service makes one at a time.
"""

import select
import socket
import threading

import greenlet

from petrellane.config_consensus.participant import ParticipantState
from petrellane.config_consensus.state_store import StateStore
from petrellane.net.scheduler import Scheduler

DONE = b"."  # what the writing thread sends once it is done


class StateWriter:
    """Saves states in a store. A participant service owns it for as long as the gateway runs.

    During a write it owns a thread and a pair of sockets by which the thread wakes the scheduler.
    """

    def __init__(self, scheduler: Scheduler, store: StateStore) -> None:
        self._scheduler = scheduler
        self._store = store

    def save(self, state: ParticipantState) -> OSError | None:
        """Wait until the state is on the disk; return the error where it can't be written."""
        wake_receiver, wake_sender = socket.socketpair()
        results: list[OSError | None] = []
        waiting_greenlet = greenlet.getcurrent()

        def write() -> None:
            try:
                self._store.save(state)
                results.append(None)
            except OSError as error:
                results.append(error)
            wake_sender.send(DONE)

        def wake(_events: int) -> None:
            waiting_greenlet.switch()

        self._scheduler.register(wake_receiver.fileno(), select.POLLIN, wake)
        threading.Thread(target=write, daemon=True).start()
        try:
            while not results:
                self._scheduler.wait()
        finally:
            self._scheduler.unregister(wake_receiver.fileno())
            wake_receiver.close()
            wake_sender.close()
        return results[0]
