"""Encodes and decodes capsules: the PDUs that carry a command or a completion."""

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
    """Encode a command capsule from a submission queue entry and its in-capsule data."""
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
    """Encode a Connect command with its data.  It disables submission queue flow control.

    :param queue_size: the number of entries.
    :param keep_alive_ms: the keep alive timeout (KATO); 0 disables it.
    :param subsystem: the NQN of the subsystem.
    :param host: the NQN of the host.
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
    """Encode a completion queue entry as a response capsule.

    :param retry_delay: the command retry delay (CRD) field: 1 to 3 select CRDT1 to CRDT3, 0 is no delay.
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
    """Decode the completion in a response capsule."""
    return decode_completion(pdu.header)
