"""Capsules: PDUs that carry a command or a completion."""

from __future__ import annotations

import struct

from shaletiller.net.nvme.commands import (
    CONNECT_DATA_BYTES,
    CONNECT_DISABLES_FLOW_CONTROL,
    Completion,
    FabricsCommand,
    decode_completion,
    encode_completion,
    encode_fabrics_command,
)
from shaletiller.net.nvme.pdu import Pdu, PduType, encode_pdu


def command_capsule(entry: bytes, data: bytes = b"") -> bytes:
    """A submission queue entry with the data that comes in its capsule."""
    return encode_pdu(PduType.COMMAND_CAPSULE, entry, data)


def connect_capsule(
    command_id: int,
    queue_id: int,
    queue_size: int,
    keep_alive_ms: int,
    controller_id: int,
    subsystem: str,
    host: str,
) -> bytes:
    """Connect with its data; submission queue flow control is disabled.

    :param keep_alive_ms: the keep alive timeout (KATO), 0 for none.
    :param subsystem: its NQN.
    :param host: the host's NQN.
    """
    tail = struct.pack("<HHHBxI", 0, queue_id, queue_size - 1, CONNECT_DISABLES_FLOW_CONTROL, keep_alive_ms)
    entry = encode_fabrics_command(FabricsCommand.CONNECT, command_id, tail, CONNECT_DATA_BYTES)
    host_id = b"\0" * 16
    data = struct.pack("<16sH238x256s256s256x", host_id, controller_id, subsystem.encode(), host.encode())
    return command_capsule(entry, data)


def response_capsule(
    command_id: int,
    status: int,
    *,
    result: int = 0,
    sq_head: int = 0,
    sq_id: int = 0,
    retry_delay: int = 0,
    do_not_retry: bool = False,
) -> bytes:
    """A completion queue entry as a PDU.

    :param retry_delay: the number of the command retry delay, 0 for none.
    """
    entry = encode_completion(
        command_id,
        status,
        result=result,
        sq_head=sq_head,
        sq_id=sq_id,
        retry_delay=retry_delay,
        do_not_retry=do_not_retry,
    )
    return encode_pdu(PduType.RESPONSE_CAPSULE, entry)


def read_completion(pdu: Pdu) -> Completion:
    """The completion in a response capsule."""
    return decode_completion(pdu.header)
