"""Addresses as the configuration writes them: `host:port`, with brackets around an IPv6 host."""

from __future__ import annotations

from shaletiller.config.errors import ConfigError

PORT_END = 1 << 16  # ports are 16-bit numbers


def read_address(text: str, key: str) -> tuple[str, int]:
    """Read an address.

    :param key: of the address, for the error.
    :returns: host and port.
    :raises ConfigError: where the text is not `host:port`.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < PORT_END:
        raise ConfigError(f"{key}: expected host:port, got {text!r}")
    return host.strip("[]"), int(port)
