"""The command line: `python -m shaletiller` runs a gateway, `python -m shaletiller store` the store tool."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from typing import Any

import uvloop

from shaletiller.allocator import return_freed_memory
from shaletiller.config import Config, ConfigError, read_config, read_config_again
from shaletiller.gateway import Gateway
from shaletiller.log import configure_logging

logger = logging.getLogger("shaletiller")  # `__name__` is `__main__` here

EXIT_USAGE = 2  # invalid configuration, or a missing library


async def serve(config: Config) -> None:
    """Run one gateway until SIGTERM or SIGINT; SIGHUP reads the configuration again."""
    shutdown = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, shutdown.set)
    loop.set_exception_handler(log_loop_exception)
    gateway = Gateway(config)
    # Without a handler, SIGHUP would end the process and all requests in flight would be lost.
    loop.add_signal_handler(signal.SIGHUP, gateway.handle_sighup, read_config_again)
    await gateway.start()
    # The objects created by the start exist as long as the process.  Without the freeze, each full garbage
    # collection would visit them and delay all requests by 50 ms.
    gc.collect()
    gc.freeze()
    logger.info(
        "running on %s, %d objects exempt from garbage collection",
        type(loop).__module__,
        gc.get_freeze_count(),
    )
    gateway.limit_memory()
    await shutdown.wait()
    await gateway.stop()


def log_loop_exception(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an exception that no task or callback has handled; the event loop continues."""
    logger.error("event loop: %s: %r", context.get("message"), context.get("exception"))


def run_store_tool(arguments: list[str]) -> int:
    """Run the tool for the store's files.

    :returns: the exit code.
    """
    try:
        from shaletiller.store.cli import main as store_main  # needs libraries that a gateway does not need
    except ModuleNotFoundError as error:
        print(f"shaletiller: store: {error.name} is not installed; install it by `make lab`", file=sys.stderr)
        return EXIT_USAGE
    return store_main(arguments)


def main() -> int:
    """Run the program.

    :returns: the exit code.
    """
    if sys.argv[1:2] == ["store"]:
        return run_store_tool(sys.argv[2:])
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # ignored until the gateway can reload
    configure_logging()
    try:
        config = read_config()
    except ConfigError as error:
        print(f"shaletiller: {error}", file=sys.stderr)
        return EXIT_USAGE
    return_freed_memory()
    # asyncio's own event loop wakes up twice as late as uvloop when gateways share a core.
    uvloop.run(serve(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
