"""The gateway's configuration: its model, defaults, reading and validation.

The model and the reader of the operator file are imported only if such a file is configured: they load the
fleet's modules, which other gateways do not need.
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
