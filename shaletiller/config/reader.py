"""Reads the configuration from its sources and checks it.

The sources are the JSON file named by EDGE_CONFIG, the variables EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and
EDGE_ADMIN (which override the file), the OTLP variables of OpenTelemetry, deploy/nvme.toml, and the operator
file named by EDGE_OPERATOR.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from shaletiller.config.address import read_address
from shaletiller.config.errors import ConfigError, OperatorFileError, describe_error
from shaletiller.config.model import Config, Limits, ServerList, TelemetryConfig
from shaletiller.config.nvme import check_nvme, read_nvme
from shaletiller.settings.decoder import read_settings
from shaletiller.settings.model import Settings

if TYPE_CHECKING:
    from shaletiller.config.operator_model import OperatorFile

NVME_FILE = Path(__file__).parent.parent.parent / "deploy" / "nvme.toml"
# Maximum bytes of a gateway's name.  File systems allow file names of 255 bytes, and a file named after the
# gateway has a prefix and a suffix.
MAX_NAME_BYTES = 200
MAX_ECHOED_NAME_CHARS = 64  # maximum characters of an invalid name in the error message
# The environment variable and the default of each field of `TelemetryConfig`.
TELEMETRY_VARIABLES = {
    "endpoint": ("OTEL_EXPORTER_OTLP_ENDPOINT", ""),
    "interval_ms": ("OTEL_METRIC_EXPORT_INTERVAL", "5000"),
    "sample_ratio": ("OTEL_TRACES_SAMPLER_ARG", "0.05"),
}


class ConfigFile(msgspec.Struct, frozen=True):
    """The keys of the configuration file; `settings` is decoded by `settings/decoder.py`."""

    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: Limits = Limits()
    peer_listen: str | None = None
    peers: tuple[str, ...] | None = None
    peers_all: str | None = None
    known: ServerList | None = None
    admin: str | None = None


def read_config(env: Mapping[str, str] = os.environ, nvme_file: Path = NVME_FILE) -> Config:
    """Read the complete configuration.

    :param env: the environment variables.
    :raises ConfigError: if the configuration is invalid; the message names the faulty key.
    """
    file = _read_file(env)
    settings = _read_settings(file)
    nvme = read_nvme(nvme_file)
    check_nvme(nvme, settings, file.limits.memory_mb)
    name = _check_name(env.get("EDGE_NAME") or file.name)
    admin = env.get("EDGE_ADMIN") or file.admin
    return Config(
        name=name,
        operator=_read_operator_file(env, name),
        listen=read_address(env.get("EDGE_LISTEN") or file.listen, "EDGE_LISTEN"),
        discovery=read_address(env.get("EDGE_DISCOVERY") or file.discovery, "EDGE_DISCOVERY"),
        seed=_read_seed(file.seed),
        limits=file.limits,
        peer_listen=_read_optional_address(file.peer_listen, "peer_listen"),
        peers=tuple(read_address(peer, f"peers[{index}]") for index, peer in enumerate(file.peers or ())),
        peers_all=_read_optional_address(file.peers_all, "peers_all"),
        known=file.known or ServerList(),
        settings=settings,
        nvme=nvme,
        telemetry=_read_telemetry(env),
        admin=_read_optional_address(admin, "EDGE_ADMIN"),
        state_dir=env.get("TMPDIR") or "/tmp",
    )


def read_config_again(env: Mapping[str, str] = os.environ, nvme_file: Path = NVME_FILE) -> Config:
    """Read the configuration again after SIGHUP.

    EDGE_DISCOVERY cannot change while the process runs: it overrides the file at the start only.

    :raises ConfigError: if the configuration is invalid; the message names the faulty key.
    """
    without_discovery = {name: value for name, value in env.items() if name != "EDGE_DISCOVERY"}
    return read_config(without_discovery, nvme_file)


def _read_file(env: Mapping[str, str]) -> ConfigFile:
    path = env.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG: not set, expected the path of the configuration file")
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG: cannot read {path!r}: {error.strerror}") from error
    try:
        return msgspec.json.decode(raw, type=ConfigFile)
    except msgspec.MsgspecError as error:
        raise ConfigError(f"EDGE_CONFIG: {describe_error(error)}") from error


def _read_settings(file: ConfigFile) -> Settings:
    try:
        return read_settings(file.settings)
    except ValueError as error:
        raise ConfigError(f"settings.{error}") from error


def _read_optional_address(text: str | None, key: str) -> tuple[str, int] | None:
    return read_address(text, key) if text else None


def _check_name(name: str) -> str:
    """Check a gateway's name, which is part of a file name and must fit on one line of the log."""
    if "/" in name or not name.isprintable() or len(name.encode()) > MAX_NAME_BYTES:
        raise ConfigError(
            f"EDGE_NAME: expected at most {MAX_NAME_BYTES} printable bytes, no '/', "
            f"got {name[:MAX_ECHOED_NAME_CHARS]!r}"
        )
    return name


def _read_seed(value: str | int) -> int:
    try:
        return value if isinstance(value, int) else int(value, 16)
    except ValueError as error:
        raise ConfigError(f"seed: expected hex digits, got {value!r}") from error


def _read_telemetry(env: Mapping[str, str]) -> TelemetryConfig:
    raw = {field: env.get(name, default) for field, (name, default) in TELEMETRY_VARIABLES.items()}
    try:
        return msgspec.convert(raw, TelemetryConfig, strict=False)
    except msgspec.ValidationError as error:
        field, _, message = describe_error(error).partition(":")
        key = TELEMETRY_VARIABLES[field][0] if field in TELEMETRY_VARIABLES else field
        raise ConfigError(f"{key}:{message}") from error


def _read_operator_file(env: Mapping[str, str], gateway_name: str) -> OperatorFile | None:
    path = env.get("EDGE_OPERATOR", "")
    if not path:
        return None
    from shaletiller.config.operator_reader import read_operator_file  # loads the fleet's modules

    try:
        file = read_operator_file(Path(path))
    except OperatorFileError as error:
        raise ConfigError(f"EDGE_OPERATOR: {error}") from error
    me = file.fleet.me or gateway_name
    if file.fleet.member and me not in [member.name for member in file.fleet.member]:
        raise ConfigError(f"EDGE_OPERATOR: {Path(path).name}: fleet.me: no member {me!r}")
    return file
