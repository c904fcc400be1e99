"""The gateway's configuration: this package alone reads it, checks it and gives it its defaults.

The operator file's model and reader are imported where such a file is configured: they load the fleet's
modules, which an ordinary gateway does without.
"""

from shaletiller.config.address import read_address
from shaletiller.config.errors import ConfigError, OperatorFileError
from shaletiller.config.model import Config, Limits, ServerList, ServerRow, TelemetryConfig
from shaletiller.config.nvme import NvmeConfig, NvmeNamespace, NvmeTargetConfig, NvmeUpstreamConfig
from shaletiller.config.reader import read_config, read_config_again

__all__ = [
    "Config",
    "ConfigError",
    "Limits",
    "NvmeConfig",
    "NvmeNamespace",
    "NvmeTargetConfig",
    "NvmeUpstreamConfig",
    "OperatorFileError",
    "ServerList",
    "ServerRow",
    "TelemetryConfig",
    "read_address",
    "read_config",
    "read_config_again",
]
