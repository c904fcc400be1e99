"""The NVMe/TCP codec against bytes laid out by hand after the specifications."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shaletiller.net.nvme import capsules, commands, identify, pdu
from shaletiller.net.nvme.errors import FatalErrorStatus, PduError
from shaletiller.net.nvme.status import Status


def taken(decoder: pdu.PduDecoder, raw: bytes) -> list[pdu.Pdu]:
    decoder.feed(raw)
    return list(iter(decoder.next_pdu, None))


def units(raw: bytes, allowed: frozenset[pdu.PduType] = pdu.FROM_HOST) -> list[pdu.Pdu]:
    return taken(pdu.PduDecoder(allowed), raw)


def test_ic_req_is_128_bytes_with_version_0_and_no_digests() -> None:
    assert pdu.ic_req() == bytes.fromhex("00 00 80 00 80000000 0000 00 00 00000000") + bytes(112)


def test_ic_resp_tells_how_much_data_a_unit_may_carry() -> None:
    assert pdu.ic_resp()[:16] == bytes.fromhex("01 00 80 00 80000000 0000 00 00 00000100")


def test_read_command_capsule() -> None:
    raw = capsules.command_capsule(
        commands.encode_io_command(commands.IoOpcode.READ, 0x1234, 1, 0x55, 2, 8192, False)
    )
    assert raw[:8] == bytes.fromhex("04 00 48 00 48000000")
    assert raw[8:16] == bytes.fromhex("02 40 3412 01000000")
    assert raw[32:48] == bytes.fromhex("0000000000000000 00200000 000000 5a")
    assert raw[48:60] == bytes.fromhex("5500000000000000 0100 0000")


def test_connect_capsule_carries_1024_bytes_of_data() -> None:
    raw = capsules.connect_capsule(7, 1, 32, 0, 0x0102, "nqn.a", "nqn.b")
    assert raw[:8] == bytes.fromhex("04 00 48 48 48040000")
    assert raw[8:13] == bytes.fromhex("7f 40 0700 01")
    assert raw[40:48] == bytes.fromhex("00040000 000000 01")
    assert raw[48:60] == bytes.fromhex("0000 0100 1f00 04 00 00000000")
    data = raw[72:]
    assert len(data) == 1024
    assert data[16:18] == bytes.fromhex("0201")
    assert (data[256:261], data[512:517]) == (b"nqn.a", b"nqn.b")


def test_completion_holds_retry_delay_and_do_not_retry() -> None:
    raw = capsules.response_capsule(
        9, Status.WRITE_FAULT, sq_head=3, sq_id=1, retry_delay=2, do_not_retry=True
    )
    assert raw == bytes.fromhex("05 00 18 00 18000000 0000000000000000 0300 0100 0900 00a5")
    (unit,) = units(raw, pdu.FROM_CONTROLLER)
    assert capsules.read_completion(unit) == commands.Completion(9, Status.WRITE_FAULT, 0, 2, True)


def test_r2t_and_data_units() -> None:
    wanted = "09 00 18 00 18000000 0500 0600 00100000 00020000 00000000"
    assert pdu.r2t(5, 6, 4096, 512) == bytes.fromhex(wanted)
    raw = pdu.data_pdu(pdu.PduType.H2C_DATA, 5, 6, 0, b"ab")
    assert raw == bytes.fromhex("06 04 18 18 1a000000 0500 0600 00000000 02000000 00000000") + b"ab"


def test_padding_before_data_is_skipped() -> None:
    raw = bytearray(pdu.data_pdu(pdu.PduType.H2C_DATA, 5, 6, 0, b"\0\0\0\0data"))
    raw[3] = 28
    assert units(bytes(raw))[0].data == b"data"


def test_a_digest_that_was_declined_is_an_error() -> None:
    """A host sends a command capsule with a header digest, which the ICResp has declined."""
    raw = bytearray(capsules.command_capsule(b""))
    raw[1] = 1
    with pytest.raises(PduError) as caught:
        units(bytes(raw))
    assert (caught.value.status, caught.value.offset) == (FatalErrorStatus.INVALID_HEADER_FIELD, 1)


@settings(derandomize=True, deadline=None)  # the same verdict every time
@given(st.lists(st.binary(max_size=300), max_size=6))
def test_any_bytes_are_units_or_an_error_and_never_held_without_bound(parts: list[bytes]) -> None:
    """A host sends arbitrary bytes in pieces.

    They are PDUs or end with an error, the decoder buffers no more than the largest PDU and one piece, and
    the TermReq for the error is bounded too.
    """
    decoder = pdu.PduDecoder(pdu.FROM_HOST)
    buffered = 0
    fault: PduError | None = None
    try:
        for part in parts:
            buffered += len(part) - sum(8 + len(u.header) + len(u.data) for u in taken(decoder, part))
            assert buffered <= 72 + 128 + pdu.MAX_H2C_DATA + 300
    except PduError as error:
        fault = error
    if fault is not None:
        assert len(pdu.term_req(pdu.PduType.C2H_TERM_REQ, fault)) <= 24 + pdu.MAX_TERM_REQ_DATA


@settings(derandomize=True, deadline=None)  # the same verdict every time
@given(st.binary(min_size=1, max_size=4096), st.integers(1, 50))
def test_units_cut_anywhere_come_out_whole(data: bytes, step: int) -> None:
    """Two PDUs arrive in pieces of any length: the decoder returns both, complete and in order."""
    raw = pdu.ic_req() + pdu.data_pdu(pdu.PduType.H2C_DATA, 1, 2, 0, data)
    decoder = pdu.PduDecoder(pdu.FROM_HOST)
    found = [unit for at in range(0, len(raw), step) for unit in taken(decoder, raw[at : at + step])]
    assert [unit.type for unit in found] == [pdu.PduType.IC_REQ, pdu.PduType.H2C_DATA]
    assert found[1].data == data


@pytest.mark.parametrize(("wait_ms", "number"), [(0, 0), (100, 1), (101, 2), (1000, 3), (5000, 3)])
def test_retry_delay_is_the_first_that_is_long_enough(wait_ms: float, number: int) -> None:
    assert identify.retry_delay_number(wait_ms) == number
