"""Applies configuration changes to a running gateway.

The settings change when the gateway reloads its configuration file or, under settings consensus,
when its participant applies a generation. `petrellane.config` validates a configuration; this
module hands the validated values to the running services.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from petrellane.config import ConfigError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from petrellane.config import Config, Settings
    from petrellane.gateway.process import GatewayProcess


class ConfigurationChanges:
    """Applies new settings and new addresses.

    `GatewayProcess` owns it. It replaces the `config` and `limits` of that process.
    """

    def __init__(self, process: GatewayProcess) -> None:
        self.process = process

    def reload(self, load: Callable[[Config], Config]) -> None:
        """Reload the configuration and apply it.

        The gateway applies the settings and the addresses of discovery and the counter. Agreed
        settings take precedence over those of the file. Everything else keeps its value from the
        start of the process. An invalid configuration is logged and changes nothing.

        Args:
            load: Reads the new configuration, given the one in force. Raises ConfigError if the
                configuration is invalid.
        """
        process = self.process
        before = process.config
        try:
            config = load(before)
        except ConfigError as error:
            process.log.event("reload_rejected", error=str(error))
            return
        counter = config.counter or before.counter  # a reload cannot remove the counter
        changed_addresses = _changed_addresses(before, config)
        settings = config.settings
        file_settings = config.raw["settings"]
        if process.participant and not process.participant.accept_file_settings(file_settings):
            settings = before.settings
        process.config = before._replace(
            discovery=config.discovery, counter=counter, raw=config.raw
        )
        self._apply_settings(settings)
        if "counter" in changed_addresses and counter and process.counter_client:
            process.counter_client.change_address(counter)
        if "discovery" in changed_addresses:
            process.restart_watch()
        self._log_settings("reloaded", before.settings, settings, moved=changed_addresses)

    def validate_agreed_settings(self, content: Mapping[str, Any]) -> str | None:
        """Return why this gateway cannot apply agreed settings, in one line; None if it can."""
        try:
            self._with_agreed_settings(content)
        except ConfigError as error:
            return str(error)
        return None

    def apply_agreed_settings(self, content: Mapping[str, Any]) -> None:
        """Apply agreed settings that `validate_agreed_settings` has accepted."""
        before = self.process.config.settings
        settings = self._with_agreed_settings(content).settings
        self._apply_settings(settings)
        self._log_settings("settings", before, settings)

    def _with_agreed_settings(self, content: Mapping[str, Any]) -> Config:
        """Return the configuration with agreed settings merged with the local ones of this gateway.

        Raises:
            ConfigError: The gateway cannot apply the settings.
        """
        # Imported lazily: a gateway without consensus starts faster without it.
        from petrellane.config_consensus import canonical_settings

        config = self.process.config
        merged = {**canonical_settings.local_settings(config.raw["settings"]), **content}
        return config.with_settings(merged)

    def _apply_settings(self, settings: Settings) -> None:
        process = self.process
        process.config = process.config._replace(settings=settings)
        process.limits = process.limits.with_settings_of(process.config)
        for service in process.services_with_limits():
            service.limits = process.limits
        process.executor.reconfigure(settings, process.limits)

    def _log_settings(self, event: str, before: Settings, now: Settings, **figures: object) -> None:
        self.process.log.event(
            event,
            **figures,
            methods=_changed_names(before.methods, now.methods),
            plans=_changed_names(before.plans, now.plans),
        )


def _changed_addresses(before: Config, now: Config) -> list[str]:
    """Return the names of the addresses that a reload changes.

    An address that the new configuration removes does not count as changed.
    """
    changed_addresses = []
    if before.discovery and before.discovery != now.discovery:
        changed_addresses.append("discovery")
    if before.counter and before.counter != (now.counter or before.counter):
        changed_addresses.append("counter")
    return changed_addresses


def _changed_names(before: Mapping[str, object], now: Mapping[str, object]) -> list[str]:
    """Return the sorted names that were added, removed or given another value."""
    names = before.keys() | now.keys()
    return sorted(name for name in names if before.get(name) is not now.get(name))
