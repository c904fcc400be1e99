"""The validated configuration of a gateway, and the endpoint list in the format of discovery."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from shaletiller.config.nvme import NvmeConfig
from shaletiller.settings.model import Settings

if TYPE_CHECKING:
    from shaletiller.config.operator_model import OperatorFile

# Sockets of the limit that are reserved for listeners, discovery, peers, telemetry, the interpreter's own
# files, and closed connections whose descriptors the kernel has not released yet.  A larger process has more
# of the latter, therefore the reserve is RESERVED_SOCKETS plus limit / RESERVED_DIVISOR.  The maximum number
# of connections of NVMe hosts is added to it.
RESERVED_SOCKETS = 32
RESERVED_DIVISOR = 32
# The reserve is at most limit / MAX_RESERVED_DIVISOR, so that a small limit leaves sockets for requests.
MAX_RESERVED_DIVISOR = 4


class ServerRow(msgspec.Struct, frozen=True):
    """A storage node in the JSON format of discovery; the fields are the keys of the JSON object.

    `cell` is the node's shard, `addr` its `host:port`, and `started_ms` the start of its present incarnation
    in milliseconds since the Unix epoch.
    """

    id: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "active"
    weight: float | None = None
    started_ms: float | None = None


class ServerList(msgspec.Struct, frozen=True):
    """The endpoint list in the JSON format of discovery, complete (`full`) or only the changed entries."""

    version: int = 0
    full: bool = False
    servers: tuple[ServerRow, ...] = ()


class Limits(msgspec.Struct, frozen=True):
    """The platform's limits on the process: CPU cores, memory and open sockets."""

    cores: float = 1.0
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 192.0
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024


class TelemetryConfig(msgspec.Struct, frozen=True):
    """The export over OTLP/HTTP to the URL `endpoint`; nothing is exported if it is empty.

    `sample_ratio` is the fraction of requests that are traced.
    """

    endpoint: str = ""
    interval_ms: Annotated[float, msgspec.Meta(gt=0)] = 5000.0
    sample_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.05


class Config(msgspec.Struct, frozen=True):
    """The complete configuration of one gateway; addresses are pairs of host and port.

    `peer_listen` is the address for datagrams from other gateways.  `peers` are the addresses of all gateways
    in the order of their numbers, and `peers_all` is an address that reaches all of them.  `known` is the
    endpoint list at the start of the process.  `admin` is the address for operators' calls.  `operator` is
    the operator file.  `state_dir` is shared by successive processes of this gateway.
    """

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
    telemetry: TelemetryConfig
    admin: tuple[str, int] | None = None
    operator: OperatorFile | None = None
    state_dir: str = "/tmp"

    @property
    def client_sockets(self) -> int:
        """The maximum number of sockets for HTTP clients: half of the limit.

        Up to a third of the limit may wait for responses at the same time; the remainder is for idle clients.
        """
        return self.limits.sockets // 2

    @property
    def upstream_sockets(self) -> int:
        """The maximum number of sockets for connections to storage nodes."""
        return self.limits.sockets - self.client_sockets - self._reserved_sockets

    @property
    def _reserved_sockets(self) -> int:
        nvme_hosts = self.nvme.target.max_connections if self.nvme.target.listen else 0
        reserved = RESERVED_SOCKETS + self.limits.sockets // RESERVED_DIVISOR + nvme_hosts
        return min(reserved, self.limits.sockets // MAX_RESERVED_DIVISOR)
