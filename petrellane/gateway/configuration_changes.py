"""What of the configuration changes while the gateway serves, and how it is put in force.

Settings change by a reload of the file or, where gateways agree on them, by a committed change.
Checks are `petrellane.config`'s; here the checked values are handed to the running services.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from petrellane.config import ConfigError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from petrellane.config import Config, Settings
    from petrellane.gateway.process import GatewayProcess


class ConfigurationChanges:
    """Puts other settings and addresses in force.

    Owned by `GatewayProcess`, whose `config` and `limits` it replaces.
    """

    def __init__(self, process: GatewayProcess) -> None:
        self.process = process

    def reload(self, load: Callable[[Config], Config]) -> None:
        """Apply a configuration that is read anew.

        Settings and the addresses of discovery and the counter are applied; all else stays as at
        the start. A wrong configuration changes nothing and is logged.

        Args:
            load: Reads the configuration, given the one in force; raises ConfigError.
        """
        process = self.process
        before = process.config
        try:
            config = load(before)
        except ConfigError as error:
            process.log.event("reload_rejected", error=str(error))
            return
        counter = config.counter or before.counter  # it cannot be removed in service
        moved = _moved_addresses(before, config)
        settings = config.settings
        file_settings = config.raw["settings"]
        if process.participant and not process.participant.accept_file_settings(file_settings):
            settings = before.settings
        process.config = before._replace(
            discovery=config.discovery, counter=counter, raw=config.raw
        )
        self._apply(settings)
        if "counter" in moved and counter and process.counter_client:
            process.counter_client.move(counter)
        if "discovery" in moved:
            process.restart_watch()
        self._log_settings("reloaded", before.settings, settings, moved=moved)

    def validate_agreed_settings(self, content: Mapping[str, Any]) -> str | None:
        """Return why agreed settings will not do here, in one line; None where they do."""
        try:
            self._with_agreed(content)
        except ConfigError as error:
            return str(error)
        return None

    def adopt_agreed(self, content: Mapping[str, Any]) -> None:
        """Put agreed settings in force, which `validate_agreed_settings` has accepted."""
        before = self.process.config.settings
        settings = self._with_agreed(content).settings
        self._apply(settings)
        self._log_settings("settings", before, settings)

    def _with_agreed(self, content: Mapping[str, Any]) -> Config:
        """Return the configuration with agreed settings and what of them is this gateway's own.

        Raises:
            ConfigError: The settings will not do here.
        """
        # Imported where it is needed: a gateway alone starts without it.
        from petrellane.config_consensus import canonical_settings

        config = self.process.config
        merged = {**canonical_settings.local_settings(config.raw["settings"]), **content}
        return config.with_settings(merged)

    def _apply(self, settings: Settings) -> None:
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


def _moved_addresses(before: Config, now: Config) -> list[str]:
    """Return which of the addresses that may change have done so; one cannot be removed."""
    moved = []
    if before.discovery and before.discovery != now.discovery:
        moved.append("discovery")
    if before.counter and before.counter != (now.counter or before.counter):
        moved.append("counter")
    return moved


def _changed_names(before: Mapping[str, object], now: Mapping[str, object]) -> list[str]:
    """Return the names that came, went or stand for something else."""
    names = before.keys() | now.keys()
    return sorted(name for name in names if before.get(name) is not now.get(name))
