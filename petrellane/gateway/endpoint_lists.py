"""The endpoints that a gateway knows, and the lists that change them.

A list is applied in chunks, so that a long one takes no long turn. What counts where lists disagree
is decided by `petrellane.decisions.endpoint_versions`.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from petrellane.decisions.endpoint_versions import NumberingMonitor
from petrellane.decisions.types import GONE, READY
from petrellane.gateway.endpoint_updates import KnownEndpoints, endpoint_updates

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from petrellane.config import EndpointListUpdate
    from petrellane.decisions.types import Endpoint
    from petrellane.gateway.action_executor import ActionExecutor
    from petrellane.gateway.endpoint_updates import EndpointUpdate


class EndpointLists:
    """Applies endpoint lists, and reports each change to the controller and the pools.

    Owned by the action executor for the life of the process.

    Attributes:
        known: The known endpoints.
        ready: Those of them that accept attempts.
        is_applying: Whether a list is being applied; the next one has to wait.
    """

    def __init__(self, executor: ActionExecutor) -> None:
        self._executor = executor
        self._numbering = NumberingMonitor()
        self.known = KnownEndpoints()
        self.ready: set[Endpoint] = set()
        self.is_applying = False

    def start(self, known: EndpointListUpdate, inherited: Iterable[EndpointListUpdate]) -> None:
        """Apply the lists that are known before any other; see `ActionExecutor.start`."""
        for endpoint_list in inherited:  # no requests yet: no need to yield
            self._apply(endpoint_list)
        if known.entries and self.known.versions.is_news(known.index):
            self._apply(replace(known, full=True))
        if self.known:
            self._log(self.known.versions.complete_index, is_full=True, changed=len(self.known))

    def apply(
        self,
        endpoint_list: EndpointListUpdate,
        yield_turn: Callable[[], object] | None = None,
    ) -> None:
        """Apply a complete endpoint list, or changes to the last one, in chunks.

        The rows of the list are applied first. Then, if the list is complete, the endpoints that it
        omits are removed. The caller must not pass another list while `is_applying` is set.

        Args:
            endpoint_list: The list or the changes.
            yield_turn: Called between chunks to let other greenlets run; None applies all chunks
                without a pause.
        """
        has_changes = bool(endpoint_list.entries or (endpoint_list.full and self.known))
        self._apply(endpoint_list, yield_turn)
        if has_changes:
            self._log(endpoint_list.index, endpoint_list.full, len(endpoint_list.entries))

    def _apply(
        self,
        endpoint_list: EndpointListUpdate,
        yield_turn: Callable[[], object] | None = None,
    ) -> None:
        scheduler = self._executor.scheduler
        self.is_applying = True
        chunk: list[EndpointUpdate] = []
        try:
            self.known.start_times.on_clock_read(scheduler.wall_clock_step())
            for update in endpoint_updates(endpoint_list, self.known, scheduler.now()):
                chunk.append(update)
                if yield_turn and len(chunk) == self._executor.limits.list_rows_per_turn:
                    self._apply_updates(chunk)
                    chunk = []
                    yield_turn()
            self._apply_updates(chunk)
        finally:
            self.is_applying = False

    def _apply_updates(self, updates: list[EndpointUpdate]) -> None:
        """Report updates to the controller, then the resulting endpoint states to the pools."""
        if not updates:
            return
        executor = self._executor
        events = [update.event for update in updates]
        executor.execute(executor.controller.on_endpoint_events(executor.now(), False, events))
        for name, address, event in updates:
            endpoint = event.endpoint
            if endpoint.state == READY:
                self.ready.add(endpoint)
            else:
                self.ready.discard(endpoint)
            if endpoint.state != GONE:
                executor.endpoint_pools.on_endpoint_changed(endpoint, address)
            elif self.known.forget(name):
                executor.endpoint_pools.on_endpoint_removed(endpoint)

    def _log(self, index: int | None, is_full: bool, changed: int) -> None:
        self._executor.log.event(
            "hosts",
            index=index,
            full=is_full,
            changed=changed,
            known=len(self.known),
            ready=len(self.ready),
        )

    def has_numbering_restarted(self, index: int) -> bool:
        """Handle the version of a list of discovery, before the list is applied.

        Args:
            index: The version.

        Returns:
            Whether discovery numbers its lists anew. The versions that were known are forgotten
            then, and a complete list has to be requested.
        """
        versions = self.known.versions
        known_index = versions.complete_index
        was_behind = self._numbering.is_behind
        has_restarted = self._numbering.has_restarted(index, versions, self._executor.now())
        if self._numbering.is_behind and not was_behind:
            self._executor.log.event("discovery_behind", known=known_index, index=index)
        if has_restarted:
            self._executor.log.event("discovery_restarted", before=known_index, index=index)
            versions.reset()
        return has_restarted
