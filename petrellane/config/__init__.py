"""Configuration: the one place where it is read, checked and given defaults.

`section` reads typed values and names the key in its errors; `settings`, `endpoints` and
`consensus` know the parts; `process` puts them together for one gateway; `reload` decides what may
change in service. The names below are what other packages use; those of `consensus` are imported
from there, as a gateway that does not agree on settings starts without it.
"""

from petrellane.config.endpoints import (
    EndpointEntry,
    EndpointListUpdate,
    iter_endpoint_entries,
    parse_endpoint_entry,
    parse_endpoint_list,
)
from petrellane.config.process import Config, load, load_settings_file, parse_config
from petrellane.config.reload import check_no_key_removed, reload_settings
from petrellane.config.section import Address, ConfigError, JsonObject, Section
from petrellane.config.settings import Settings, parse_settings

__all__ = [
    "Address",
    "Config",
    "ConfigError",
    "EndpointEntry",
    "EndpointListUpdate",
    "JsonObject",
    "Section",
    "Settings",
    "check_no_key_removed",
    "iter_endpoint_entries",
    "load",
    "load_settings_file",
    "parse_config",
    "parse_endpoint_entry",
    "parse_endpoint_list",
    "parse_settings",
    "reload_settings",
]
