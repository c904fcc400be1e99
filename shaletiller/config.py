"""The one place where configuration is read, checked and given its defaults.

Sources: the JSON file named by EDGE_CONFIG, the variables EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY (they
win over the file), the OTLP variables of OpenTelemetry, deploy/nvme.toml, and the operators' file that
EDGE_OPERATOR names.  A faulty key is named in a ConfigError.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import msgspec

from shaletiller.settings.decoder import read_settings
from shaletiller.settings.model import Settings

if TYPE_CHECKING:
    from shaletiller.operator_file import OperatorFile

NVME_FILE = Path(__file__).parent.parent / "deploy" / "nvme.toml"
# Listeners, discovery, peers, export, the interpreter's own files, and connections between their end and
# their descriptor's; a part of a large limit more, a quarter of a small one at the most.
RESERVED_SOCKETS, RESERVED_PART, RESERVED_MOST = 32, 32, 4
MOST_NAME = 200  # of a gateway: with what is added a file's name stays within 255 bytes
MOST_TIMEOUT_MS = 999_999_999  # nine digits, as over HTTP; a class's own limit is the site's to say
NVME_TRANSFER = 65536  # data of one NVMe command
NVME_MEMORY_PART = 0.5  # of the limit: what NVMe hosts that do not read may hold up at the most


class ConfigError(Exception):
    """Something is wrong with the configuration; the message starts with the key."""


class ServerRow(msgspec.Struct, frozen=True):
    """A storage node as discovery writes it."""

    id: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "active"
    weight: float | None = None
    started_ms: float | None = None


class ServerList(msgspec.Struct, frozen=True):
    """Discovery's whole list, or what changed in it."""

    version: int = 0
    full: bool = False
    servers: tuple[ServerRow, ...] = ()


class Limits(msgspec.Struct, frozen=True):
    cores: float = 1.0
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 192.0
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024


class Identity(msgspec.Struct, frozen=True):
    """The configuration file, its settings still as the site wrote them."""

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


class NvmeNamespace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A namespace that the NVMe front offers: block b is the object of key `first_key` + b."""

    nsid: Annotated[int, msgspec.Meta(ge=1, le=1024)]
    blocks: Annotated[int, msgspec.Meta(ge=1)]
    read_class: str
    write_class: str
    plan: str
    volume: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{16}$")]
    shard: Annotated[int, msgspec.Meta(ge=0)]
    first_key: Annotated[int, msgspec.Meta(ge=0)] = 0
    units: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    hosts: Annotated[int, msgspec.Meta(ge=1)] = 1
    block_bytes: Annotated[int, msgspec.Meta(ge=4096, le=65536)] = 4096
    read_timeout_ms: Annotated[float, msgspec.Meta(gt=0, le=MOST_TIMEOUT_MS)] = 750.0
    write_timeout_ms: Annotated[float, msgspec.Meta(gt=0, le=MOST_TIMEOUT_MS)] = 1200.0


class NvmeBox(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A node that speaks NVMe: the object of key k is block k - `first_key` of its namespace."""

    node: str
    subsystem: str
    nsid: Annotated[int, msgspec.Meta(ge=1)] = 1
    first_key: Annotated[int, msgspec.Meta(ge=0)] = 0
    block_bytes: Annotated[int, msgspec.Meta(ge=4096, le=65536)] = 4096


class NvmeFront(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    listen: str = ""  # empty: the front is off
    subsystem: str = "nqn.2026-12.example.shaletiller:gateway"
    queue_depth: Annotated[int, msgspec.Meta(ge=2, le=1024)] = 32
    connections: Annotated[int, msgspec.Meta(ge=1, le=256)] = 32
    namespace: tuple[NvmeNamespace, ...] = ()


class NvmeConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    front: NvmeFront = NvmeFront()
    box: tuple[NvmeBox, ...] = ()


class Telemetry(msgspec.Struct, frozen=True):
    endpoint: str = ""  # empty: nothing is exported
    interval_ms: Annotated[float, msgspec.Meta(gt=0)] = 5000.0
    sample: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.05


class Config(msgspec.Struct, frozen=True):
    """All that the gateway is told."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: Limits
    peer_listen: tuple[str, int] | None
    peers: tuple[tuple[str, int], ...]
    peers_all: tuple[str, int] | None
    known: ServerList
    settings: Settings
    nvme: NvmeConfig
    telemetry: Telemetry
    admin: tuple[str, int] | None = None  # the door for operators
    operator: OperatorFile | None = None  # what is switched on beyond the platform
    state_dir: str = "/tmp"  # what processes of the gateway that follow each other share: $TMPDIR

    @property
    def front_sockets(self) -> int:
        """What clients may hold: half of the limit, for a third of it may wait for answers at a time, and
        beside those there are clients that ask for nothing."""
        return self.limits.sockets // 2

    @property
    def back_sockets(self) -> int:
        return self.limits.sockets - self.front_sockets - self._reserved

    @property
    def _reserved(self) -> int:
        hosts = self.nvme.front.connections if self.nvme.front.listen else 0
        wanted = RESERVED_SOCKETS + self.limits.sockets // RESERVED_PART + hosts
        return min(wanted, self.limits.sockets // RESERVED_MOST)


def read_address(text: str, key: str) -> tuple[str, int]:
    """host:port; ValueErrors become a ConfigError that names the key."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{key}: wants host:port, got {text!r}")
    return host.strip("[]"), int(port)


def _check_name(name: str) -> str:
    """It is a part of a file's name, and stands on one line of the log."""
    if "/" in name or not name.isprintable() or len(name.encode()) > MOST_NAME:
        raise ConfigError(f"EDGE_NAME: wants {MOST_NAME} printable bytes at most, no '/', got {name[:64]!r}")
    return name


def _seed(value: str | int) -> int:
    try:
        return value if isinstance(value, int) else int(value, 16)
    except ValueError as error:
        raise ConfigError(f"seed: wants hex digits, got {value!r}") from error


def _faulty(error: msgspec.MsgspecError) -> str:
    """msgspec's message with the key first."""
    message, _, path = str(error).partition(" - at `$")
    return f"{path.rstrip('`').lstrip('.')}: {message}" if path else message


def read_nvme(path: Path) -> NvmeConfig:
    """The NVMe file; absent, both its front and its boxes are off."""
    if not path.exists():
        return NvmeConfig()
    try:
        found = msgspec.toml.decode(path.read_bytes(), type=NvmeConfig)
    except msgspec.MsgspecError as error:
        raise ConfigError(f"{path.name}: {_faulty(error)}") from error
    if found.front.listen:
        read_address(found.front.listen, f"{path.name}: front.listen")
    blocks = [space.block_bytes for space in found.front.namespace] + [box.block_bytes for box in found.box]
    for at, block in enumerate(blocks):
        if block & (block - 1):
            raise ConfigError(f"{path.name}: block_bytes: wants a power of two, got {block} (entry {at})")
    for what, names in (
        ("front.namespace.nsid", [each.nsid for each in found.front.namespace]),
        ("box.node", [each.node for each in found.box]),
    ):
        if len(set(names)) < len(names):
            raise ConfigError(f"{path.name}: {what}: the same value stands twice")
    return found


def _check_nvme(nvme: NvmeConfig, settings: Settings, limits: Limits) -> None:
    classes = {spec.name: spec for spec in settings.classes}
    plans = {plan.name for plan in settings.plans}
    if not nvme.front.listen:
        return
    held_mb = nvme.front.connections * nvme.front.queue_depth * NVME_TRANSFER / (1 << 20)
    if held_mb > limits.memory_mb * NVME_MEMORY_PART:
        raise ConfigError(
            f"nvme.toml: front.connections: with queue_depth they may hold {held_mb:.0f} MB, "
            f"at most {limits.memory_mb * NVME_MEMORY_PART:.0f} are allowed"
        )
    for at, space in enumerate(nvme.front.namespace):
        key = f"nvme.toml: front.namespace[{at}]"
        for name, value in (("read_class", space.read_class), ("write_class", space.write_class)):
            if value not in classes:
                raise ConfigError(f"{key}.{name}: unknown class {value!r}")
        if space.plan not in plans:
            raise ConfigError(f"{key}.plan: unknown plan {space.plan!r}")
        if space.units > settings.max_units:
            raise ConfigError(f"{key}.units: at most {settings.max_units}, got {space.units}")


def _telemetry(env: Mapping[str, str]) -> Telemetry:
    raw = {
        "endpoint": env.get("OTEL_EXPORTER_OTLP_ENDPOINT", ""),
        "interval_ms": env.get("OTEL_METRIC_EXPORT_INTERVAL", "5000"),
        "sample": env.get("OTEL_TRACES_SAMPLER_ARG", "0.05"),
    }
    try:
        return msgspec.convert(raw, Telemetry, strict=False)
    except msgspec.ValidationError as error:
        names = {"interval_ms": "OTEL_METRIC_EXPORT_INTERVAL", "sample": "OTEL_TRACES_SAMPLER_ARG"}
        key, _, message = _faulty(error).partition(":")
        raise ConfigError(f"{names.get(key, key)}:{message}") from error


def _operator(env: Mapping[str, str], name: str) -> OperatorFile | None:
    path = env.get("EDGE_OPERATOR", "")
    if not path:
        return None
    from shaletiller.operator_file import OperatorFileError, read  # only where there is such a file

    try:
        found = read(Path(path))
    except OperatorFileError as error:
        raise ConfigError(f"EDGE_OPERATOR: {error}") from error
    fleet = found.fleet
    me = fleet.me or name
    if fleet.member and me not in [member.name for member in fleet.member]:
        raise ConfigError(f"EDGE_OPERATOR: {Path(path).name}: fleet.me: no member {me!r}")
    return found


def read_config(env: Mapping[str, str] = os.environ, nvme_file: Path = NVME_FILE) -> Config:
    """All configuration, checked; ConfigError names the faulty key."""
    path = env.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG: not set")
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG: cannot read {path!r}: {error.strerror}") from error
    try:
        told = msgspec.json.decode(raw, type=Identity)
    except msgspec.MsgspecError as error:
        raise ConfigError(f"EDGE_CONFIG: {_faulty(error)}") from error
    try:
        settings = read_settings(told.settings)
    except ValueError as error:
        raise ConfigError(f"settings.{error}") from error
    nvme = read_nvme(nvme_file)
    _check_nvme(nvme, settings, told.limits)
    admin = env.get("EDGE_ADMIN") or told.admin
    name = _check_name(env.get("EDGE_NAME") or told.name)
    return Config(
        name=name,
        operator=_operator(env, name),
        listen=read_address(env.get("EDGE_LISTEN") or told.listen, "EDGE_LISTEN"),
        discovery=read_address(env.get("EDGE_DISCOVERY") or told.discovery, "EDGE_DISCOVERY"),
        seed=_seed(told.seed),
        limits=told.limits,
        peer_listen=read_address(told.peer_listen, "peer_listen") if told.peer_listen else None,
        peers=tuple(read_address(each, f"peers[{at}]") for at, each in enumerate(told.peers or ())),
        peers_all=read_address(told.peers_all, "peers_all") if told.peers_all else None,
        known=told.known or ServerList(),
        settings=settings,
        nvme=nvme,
        telemetry=_telemetry(env),
        admin=read_address(admin, "EDGE_ADMIN") if admin else None,
        state_dir=env.get("TMPDIR") or "/tmp",
    )


def read_config_again(env: Mapping[str, str] = os.environ, nvme_file: Path = NVME_FILE) -> Config:
    """The configuration after SIGHUP.

    EDGE_DISCOVERY is as old as the process: it wins at the start; from then on the file does."""
    rest = {name: value for name, value in env.items() if name != "EDGE_DISCOVERY"}
    return read_config(rest, nvme_file)
