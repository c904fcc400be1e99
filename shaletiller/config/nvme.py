"""The configuration of NVMe over TCP: model, reading and validation of the file `deploy/nvme.toml`.

The encoded names of the fields are the keys of the file; docs/nvme.md documents them.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from shaletiller.config.address import read_address
from shaletiller.config.errors import ConfigError, describe_error
from shaletiller.settings.model import Settings

# The same maximum as over HTTP: nine digits of milliseconds.  The deadline of a class does not limit it.
MAX_TIMEOUT_MS = 999_999_999
MAX_TRANSFER_BYTES = 65536  # maximum data of one NVMe command, which limits the memory of the command
# Maximum fraction of the memory limit for completions that their hosts have not read.  A larger value allows
# more or deeper queues; a smaller value leaves more memory to the interpreter and to HTTP requests.
MAX_MEMORY_FRACTION = 0.5
BYTES_PER_MB = 1 << 20

PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
BlockBytes = Annotated[int, msgspec.Meta(ge=4096, le=MAX_TRANSFER_BYTES)]
TimeoutMs = Annotated[float, msgspec.Meta(gt=0, le=MAX_TIMEOUT_MS)]


class NvmeNamespace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A namespace that the gateway offers to hosts: block b is the object with the key `first_key` + b.

    Each block of a Read or Write becomes a client request of `read_class` or `write_class` with the same
    `plan`, `volume`, `shard` and `units`.  `volume_gateways` is the number of gateways through which the
    volume's requests arrive.
    """

    nsid: Annotated[int, msgspec.Meta(ge=1, le=1024)]
    blocks: PositiveInt
    read_class: str
    write_class: str
    plan: str
    volume: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{16}$")]
    shard: NonNegativeInt
    first_key: NonNegativeInt = 0
    units: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    volume_gateways: PositiveInt = msgspec.field(default=1, name="hosts")
    block_bytes: BlockBytes = 4096
    read_timeout_ms: TimeoutMs = 750.0
    write_timeout_ms: TimeoutMs = 1200.0


class NvmeUpstreamConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A storage node that uses NVMe: the object with the key k is block k - `first_key` of its namespace."""

    node: str
    subsystem: str
    nsid: PositiveInt = 1
    first_key: NonNegativeInt = 0
    block_bytes: BlockBytes = 4096


class NvmeTargetConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The NVMe target that the gateway offers to hosts; disabled if `listen` is empty."""

    listen: str = ""
    subsystem: str = "nqn.2026-12.example.shaletiller:gateway"
    queue_depth: Annotated[int, msgspec.Meta(ge=2, le=1024)] = 32
    max_connections: Annotated[int, msgspec.Meta(ge=1, le=256)] = msgspec.field(
        default=32, name="connections"
    )
    namespaces: tuple[NvmeNamespace, ...] = msgspec.field(default=(), name="namespace")


class NvmeConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete file: the target for hosts and the storage nodes that use NVMe."""

    target: NvmeTargetConfig = msgspec.field(default=NvmeTargetConfig(), name="front")
    upstreams: tuple[NvmeUpstreamConfig, ...] = msgspec.field(default=(), name="box")


def read_nvme(path: Path) -> NvmeConfig:
    """Read the NVMe file; if it does not exist, NVMe is disabled for hosts and storage nodes.

    :raises ConfigError: if the file is invalid; the message names the file and the faulty key.
    """
    if not path.exists():
        return NvmeConfig()
    try:
        nvme = msgspec.toml.decode(path.read_bytes(), type=NvmeConfig)
    except msgspec.MsgspecError as error:
        raise ConfigError(f"{path.name}: {describe_error(error)}") from error
    if nvme.target.listen:
        read_address(nvme.target.listen, f"{path.name}: front.listen")
    _check_block_bytes(nvme, path.name)
    _check_unique(
        [namespace.nsid for namespace in nvme.target.namespaces], f"{path.name}: front.namespace.nsid"
    )
    _check_unique([upstream.node for upstream in nvme.upstreams], f"{path.name}: box.node")
    return nvme


def _check_block_bytes(nvme: NvmeConfig, file_name: str) -> None:
    sizes = [entry.block_bytes for entry in nvme.target.namespaces]
    sizes += [entry.block_bytes for entry in nvme.upstreams]
    for index, size in enumerate(sizes):
        if size & (size - 1):
            raise ConfigError(
                f"{file_name}: block_bytes: expected a power of two, got {size} (entry {index})"
            )


def _check_unique(values: list[int] | list[str], key: str) -> None:
    if len(set(values)) < len(values):
        raise ConfigError(f"{key}: the same value occurs twice")


def check_nvme(nvme: NvmeConfig, settings: Settings, memory_mb: float) -> None:
    """Check the target against the settings and the memory limit.

    :raises ConfigError: if it names an unknown class or plan, or could use too much memory.
    """
    target = nvme.target
    if not target.listen:
        return
    used_mb = target.max_connections * target.queue_depth * MAX_TRANSFER_BYTES / BYTES_PER_MB
    allowed_mb = memory_mb * MAX_MEMORY_FRACTION
    if used_mb > allowed_mb:
        raise ConfigError(
            f"nvme.toml: front.connections: connections of this queue_depth may use {used_mb:.0f} MB, "
            f"expected at most {allowed_mb:.0f} MB"
        )
    for index, namespace in enumerate(target.namespaces):
        _check_namespace(namespace, settings, f"nvme.toml: front.namespace[{index}]")


def _check_namespace(namespace: NvmeNamespace, settings: Settings, key: str) -> None:
    classes = {spec.name for spec in settings.classes}
    for name, value in (("read_class", namespace.read_class), ("write_class", namespace.write_class)):
        if value not in classes:
            raise ConfigError(f"{key}.{name}: unknown class {value!r}")
    if namespace.plan not in {plan.name for plan in settings.plans}:
        raise ConfigError(f"{key}.plan: unknown plan {namespace.plan!r}")
    if namespace.units > settings.max_units:
        raise ConfigError(f"{key}.units: expected at most {settings.max_units}, got {namespace.units}")
