"""The real gateway: `python -m shaletiller`."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys

import uvloop

from shaletiller.config import Config, ConfigError, read_config, read_config_again
from shaletiller.gateway import Gateway
from shaletiller.log import configure_logging

logger = logging.getLogger("shaletiller")  # `__name__` is `__main__` here


async def serve(config: Config) -> None:
    """Run until SIGTERM or SIGINT; SIGHUP reads the configuration anew."""
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, told.set)
    loop.set_exception_handler(
        lambda _, what: logger.warning(f"{what.get('message')}: {what.get('exception')!r}")
    )
    gateway = Gateway(config)

    # Without a handler SIGHUP ends the process, and all requests that it holds are lost.
    loop.add_signal_handler(signal.SIGHUP, gateway.hup, read_config_again)
    await gateway.start()
    # What is there by now stays: looked through by each whole collection, it holds up all requests for 50 ms.
    gc.collect()
    gc.freeze()
    logger.warning(f"runs on {type(loop).__module__}, {gc.get_freeze_count()} objects set aside")
    await told.wait()
    await gateway.stop()


def main() -> int:
    if sys.argv[1:2] == ["store"]:
        try:
            from shaletiller.store.cli import main as store  # its libraries are not those of a gateway
        except ModuleNotFoundError as error:
            print(f"shaletiller: store: {error.name} is not installed: make lab", file=sys.stderr)
            return 2
        return store(sys.argv[2:])
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    configure_logging()
    try:
        config = read_config()
    except ConfigError as error:
        print(f"shaletiller: {error}", file=sys.stderr)
        return 2
    # asyncio's own loop comes to its work twice as late where gateways share a core.
    uvloop.run(serve(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
