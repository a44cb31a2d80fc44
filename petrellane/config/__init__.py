"""Parsing, validation and defaults of all configuration.

`section` reads typed values and reports errors by key. `settings`, `endpoints` and `consensus`
parse the parts of the configuration, and `process` assembles them for one gateway. `reload` defines
which settings may change while a gateway runs. Other packages use the names exported here. They
import the names of `consensus` from that module, so that a gateway without agreement on settings
starts without loading it.
"""

from petrellane.config.endpoints import (
    EndpointEntry,
    EndpointListUpdate,
    StartTime,
    encode_endpoint_entry,
    iter_endpoint_entries,
    parse_endpoint_entry,
    parse_endpoint_list,
    parse_index,
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
    "StartTime",
    "check_no_key_removed",
    "encode_endpoint_entry",
    "iter_endpoint_entries",
    "load",
    "load_settings_file",
    "parse_config",
    "parse_endpoint_entry",
    "parse_endpoint_list",
    "parse_index",
    "parse_settings",
    "reload_settings",
]
