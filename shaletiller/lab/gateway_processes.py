"""Control of real gateway processes: configuration, start, signals, admin commands and resource usage."""

from __future__ import annotations

import asyncio
import json
import math
import os
import shutil
import signal
import sys
from pathlib import Path
from typing import Any, NamedTuple

from shaletiller.lab.errors import LabError
from shaletiller.lab.port_reservations import LOOPBACK, reserve_port
from shaletiller.lab.storage_nodes import now_ms

REPOSITORY_ROOT = Path(__file__).parent.parent.parent
# A process that is not ready by then counts as failed.  A larger value delays the error; a smaller value
# fails runs on a busy machine.
READY_TIMEOUT_S = 30.0
READY_POLL_INTERVAL_S = 0.02
# Timeout of an admin command, which usually takes milliseconds; a smaller value fails runs on a busy machine.
ADMIN_TIMEOUT_S = 3.0
# Approximate time for which a process accepts new connections after SIGTERM.
ACCEPTS_AFTER_SIGTERM_MS = 700.0
# A graceful shutdown takes less, because requests have timeouts of about a second.
SHUTDOWN_TIMEOUT_S = 8.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
LOG_TAIL_CHARACTERS = 500


class Downtime(NamedTuple):
    """An interval in which a process could not serve: it was killed, suspended, or starting."""

    begin_ms: float
    end_ms: float = math.inf


class GatewayProcess:
    """One gateway process; its folder, which contains its store, is kept across restarts.

    `config` is the content of the configuration file, `operator_path` the path of the operators' file.
    `ready_ms` contains the time at which the gateway became ready for each start, `down` the intervals
    in which it could not serve.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        config: dict[str, Any],
        operator: str = "",
        seed: int = 0,
    ) -> None:
        """Write the configuration of the process, without starting it.

        :param config: entries of the configuration file; name, addresses, socket limit and seed are added.
        :param operator: content of the operators' file; if empty, the process is started without one.
        """
        self.name, self.folder = name, folder
        folder.mkdir(parents=True, exist_ok=True)
        self.port, self.admin_port = reserve_port(), reserve_port()
        self.operator_path = folder / "operator.kdl"
        self.write_operator(operator)
        self._config_path = folder / "config.json"
        self._log_path = folder / "log.txt"
        self.config = {
            "name": name,
            "listen": f"{LOOPBACK}:{self.port}",
            "admin": f"{LOOPBACK}:{self.admin_port}",
            "limits": {"sockets": 1024},
            "seed": seed,
            **config,
        }
        self._write_config()
        self._process: asyncio.subprocess.Process | None = None
        self.paused = False
        self.ready_ms: list[float] = []
        self.down: list[Downtime] = []

    def write_operator(self, text: str) -> None:
        """Replace the operators' file."""
        self.operator_path.write_text(text)

    def _write_config(self) -> None:
        self._config_path.write_text(json.dumps(self.config))

    @property
    def pid(self) -> int:
        """The process id.

        :raises LabError: if the process was never started.
        """
        if self._process is None:
            raise LabError(f"gateway {self.name}: process was never started")
        return self._process.pid

    @property
    def alive(self) -> bool:
        """Whether the process exists; it may be suspended."""
        return self._process is not None and self._process.returncode is None

    async def start(self, known: dict[str, Any] | None = None) -> None:
        """Start the process, and wait until it is ready.

        :param known: the node list to start with; by default that of the last start.
        :raises LabError: if the process exits, or is not ready in time.
        """
        if known is not None:
            self.config["known"] = known
            self._write_config()
        begin_ms = now_ms()
        if not self.down or self.down[-1].end_ms != math.inf:
            self.down.append(Downtime(begin_ms))
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "shaletiller",
                cwd=REPOSITORY_ROOT,
                env=self._environment(),
                stdout=log,
                stderr=log,
            )
        self.paused = False
        await self._wait_until_ready()

    def _environment(self) -> dict[str, str]:
        environment = {
            "EDGE_CONFIG": str(self._config_path),
            "TMPDIR": str(self.folder),
            "PATH": os.environ.get("PATH", ""),
        }
        if self.operator_path.stat().st_size:
            environment["EDGE_OPERATOR"] = str(self.operator_path)
        return environment

    async def _wait_until_ready(self) -> None:
        end_ms = now_ms() + READY_TIMEOUT_S * 1000
        while now_ms() < end_ms:
            if not self.alive:
                raise LabError(
                    f"gateway {self.name}: process exited before it was ready; end of its log: "
                    f"{self._log_path.read_text()[-LOG_TAIL_CHARACTERS:]}"
                )
            if await self._is_ready():
                self.ready_ms.append(now_ms())
                self._end_downtime()
                return
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        raise LabError(f"gateway {self.name}: not ready within {READY_TIMEOUT_S:.0f} s of its start")

    async def _is_ready(self) -> bool:
        try:
            return (await self.call("READY"))[0].startswith("done")
        except (OSError, LabError):
            return False  # the admin port is not listening yet

    def _end_downtime(self) -> None:
        self.down[-1] = self.down[-1]._replace(end_ms=now_ms())

    async def call(self, line: str) -> list[str]:
        """Send a command to the admin port, and return the lines of the response.

        :raises LabError: if there is no response in time, or it is empty.
        """
        try:
            async with asyncio.timeout(ADMIN_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.admin_port)
                writer.write(line.encode() + b"\n")
                response = (await reader.read()).decode().splitlines()
                writer.close()
        except TimeoutError as error:
            raise LabError(
                f"gateway {self.name}: no response to admin command {line!r} within {ADMIN_TIMEOUT_S:.0f} s"
            ) from error
        if not response:
            raise LabError(f"gateway {self.name}: empty response to admin command {line!r}")
        return response

    async def stats(self) -> dict[str, int]:
        """Return the gateway's counters from the STATS command, by name."""
        lines = await self.call("STATS")
        return {name: int(value) for name, _, value in (line.partition("=") for line in lines) if value}

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal; does nothing if the process has ended."""
        if self.alive:
            os.kill(self.pid, signal_number)

    async def wait(self) -> int:
        """Wait until the process has ended, and return its exit code.

        :raises LabError: if the process was never started.
        """
        if self._process is None:
            raise LabError(f"gateway {self.name}: process was never started")
        return await self._process.wait()

    async def kill(self) -> None:
        """Send SIGKILL, and wait until the process has ended."""
        if not self.alive:
            return
        if not self.paused:
            self.down.append(Downtime(now_ms()))
        self.send_signal(signal.SIGKILL)
        assert self._process is not None
        await self._process.wait()

    def wipe(self) -> None:
        """Delete the store, as if the machine were lost with its disk; configuration and log are kept.

        :raises LabError: if the process is alive.
        """
        if self.alive:
            raise LabError(f"{self.name}: its folder can be wiped only while it is down")
        for path in self.folder.iterdir():
            if path not in (self._config_path, self.operator_path, self._log_path):
                shutil.rmtree(path) if path.is_dir() else path.unlink()

    def set_disk_faults(self, faults: dict[str, Any]) -> None:
        """Set the injected faults of the store's disk.

        They take effect only if the operators' file names `disk_faults_path` as the store's `drill` file.
        """
        self.disk_faults_path.write_text(json.dumps(faults))

    @property
    def disk_faults_path(self) -> Path:
        """The path of the file with the injected disk faults."""
        return self.folder / "drill.json"

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)
        self.paused = True
        self.down.append(Downtime(now_ms()))

    def resume(self) -> None:
        """Continue the process with SIGCONT."""
        self.send_signal(signal.SIGCONT)
        if self.paused:
            self.paused = False
            self._end_downtime()

    async def stop(self) -> None:
        """Shut the process down with SIGTERM, or with SIGKILL if it does not exit in time."""
        if not self.alive:
            return
        self.resume()
        self.down.append(Downtime(now_ms() + ACCEPTS_AFTER_SIGTERM_MS))
        self.send_signal(signal.SIGTERM)
        assert self._process is not None
        try:
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()

    def was_down(self, begin_ms: float, end_ms: float) -> bool:
        """Return whether the process could not serve at some time of an interval."""
        return any(downtime.begin_ms < end_ms and downtime.end_ms > begin_ms for downtime in self.down)

    def usage(self) -> tuple[float, float]:
        """Return the CPU seconds used, and the resident memory in megabytes."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        resident_pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
        return cpu_s, resident_pages * os.sysconf("SC_PAGE_SIZE") / 1e6
