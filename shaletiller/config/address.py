"""Addresses in the configuration: `host:port`, with an IPv6 address in brackets."""

from __future__ import annotations

from shaletiller.config.errors import ConfigError

PORT_COUNT = 1 << 16  # ports are 16-bit numbers


def read_address(text: str, key: str) -> tuple[str, int]:
    """Read an address.

    :param key: the key of the address, for the error message.
    :returns: the host and the port.
    :raises ConfigError: if the text is not `host:port`.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < PORT_COUNT:
        raise ConfigError(f"{key}: expected host:port, got {text!r}")
    return host.strip("[]"), int(port)
