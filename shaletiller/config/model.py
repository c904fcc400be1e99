"""The configuration as the gateway uses it, and the endpoint list in the form of discovery."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from shaletiller.config.nvme import NvmeConfig
from shaletiller.settings.model import Settings

if TYPE_CHECKING:
    from shaletiller.config.operator_model import OperatorFile

# Of the socket limit, kept free for listeners, discovery, peers, the telemetry, the interpreter's own files,
# and connections that are closed while the kernel still has their descriptor: so many, and one in so many
# more, for a larger process has more of the last kind.
RESERVED_SOCKETS = 32
RESERVED_DIVISOR = 32
MAX_RESERVED_DIVISOR = 4  # one in so many at most: a small limit must leave sockets for requests


class ServerRow(msgspec.Struct, frozen=True):
    """A storage node as discovery writes it; the fields are the keys of its JSON.

    `cell` is the node's shard, `addr` its `host:port`, `started_ms` the start of its present incarnation in
    milliseconds since the Unix epoch.
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
    """The endpoint list as discovery writes it: all of it (`full`), or the entries that changed."""

    version: int = 0
    full: bool = False
    servers: tuple[ServerRow, ...] = ()


class Limits(msgspec.Struct, frozen=True):
    """What the platform allows the process: CPU cores, memory and open sockets."""

    cores: float = 1.0
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 192.0
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024


class TelemetryConfig(msgspec.Struct, frozen=True):
    """The export over OTLP/HTTP; nothing is exported where `endpoint`, a URL, is empty.

    `sample_ratio` is the part of the requests that is traced.
    """

    endpoint: str = ""
    interval_ms: Annotated[float, msgspec.Meta(gt=0)] = 5000.0
    sample_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.05


class Config(msgspec.Struct, frozen=True):
    """The complete configuration of one gateway; addresses are pairs of host and port.

    `known` is the endpoint list at the process's start.  `admin` is where operators' calls are served.
    `operator` is the operator file.  `state_dir` is shared by processes of this gateway that follow one
    another.
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
        """Sockets for HTTP clients: half of the limit.

        A third of the limit may wait for responses at a time, and beside those there are idle clients.
        """
        return self.limits.sockets // 2

    @property
    def upstream_sockets(self) -> int:
        """Sockets for connections to storage nodes."""
        return self.limits.sockets - self.client_sockets - self._reserved_sockets

    @property
    def _reserved_sockets(self) -> int:
        nvme_hosts = self.nvme.target.max_connections if self.nvme.target.listen else 0
        wanted = RESERVED_SOCKETS + self.limits.sockets // RESERVED_DIVISOR + nvme_hosts
        return min(wanted, self.limits.sockets // MAX_RESERVED_DIVISOR)
