"""Tests of the PDU codec against byte strings written by hand from the specification."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shaletiller.net.nvme import capsules, commands, identify, pdu
from shaletiller.net.nvme.errors import FatalErrorStatus, PduError
from shaletiller.net.nvme.status import Status


def decode_available(decoder: pdu.PduDecoder, raw: bytes) -> list[pdu.Pdu]:
    """Feed bytes to a decoder and return the PDUs that are complete."""
    decoder.feed(raw)
    return list(iter(decoder.next_pdu, None))


def decode(raw: bytes, allowed: frozenset[pdu.PduType] = pdu.FROM_HOST) -> list[pdu.Pdu]:
    """Decode the complete PDUs in a byte string."""
    return decode_available(pdu.PduDecoder(allowed), raw)


def test_ic_req_is_128_bytes_with_version_0_and_no_digests() -> None:
    assert pdu.ic_req() == bytes.fromhex("00 00 80 00 80000000 0000 00 00 00000000") + bytes(112)


def test_ic_resp_states_how_much_data_a_pdu_may_carry() -> None:
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


def test_a_completion_carries_retry_delay_and_do_not_retry() -> None:
    raw = capsules.response_capsule(
        9, Status.WRITE_FAULT, sq_head=3, sq_id=1, retry_delay=2, do_not_retry=True
    )
    assert raw == bytes.fromhex("05 00 18 00 18000000 0000000000000000 0300 0100 0900 00a5")
    (response,) = decode(raw, pdu.FROM_CONTROLLER)
    assert capsules.read_completion(response) == commands.Completion(9, Status.WRITE_FAULT, 0, 2, True)


def test_r2t_and_data_pdus() -> None:
    expected = "09 00 18 00 18000000 0500 0600 00100000 00020000 00000000"
    assert pdu.r2t(5, 6, 4096, 512) == bytes.fromhex(expected)
    raw = pdu.data_pdu(pdu.PduType.H2C_DATA, 5, 6, 0, b"ab")
    assert raw == bytes.fromhex("06 04 18 18 1a000000 0500 0600 00000000 02000000 00000000") + b"ab"


def test_padding_before_data_is_skipped() -> None:
    raw = bytearray(pdu.data_pdu(pdu.PduType.H2C_DATA, 5, 6, 0, b"\0\0\0\0data"))
    raw[3] = 28
    assert decode(bytes(raw))[0].data == b"data"


def test_a_digest_that_was_declined_is_an_error() -> None:
    raw = bytearray(capsules.command_capsule(b""))
    raw[1] = 1
    with pytest.raises(PduError) as caught:
        decode(bytes(raw))
    assert (caught.value.status, caught.value.offset) == (FatalErrorStatus.INVALID_HEADER_FIELD, 1)


@settings(derandomize=True, deadline=None)  # the same examples in every run
@given(st.lists(st.binary(max_size=300), max_size=6))
def test_any_bytes_are_pdus_or_an_error_and_are_never_buffered_without_bound(chunks: list[bytes]) -> None:
    """A faulty or hostile host sends arbitrary bytes.

    The decoder returns PDUs or raises an error that fits in one TermReq.  It never buffers more than the
    largest PDU and one read.
    """
    decoder = pdu.PduDecoder(pdu.FROM_HOST)
    buffered = 0
    failure: PduError | None = None
    try:
        for chunk in chunks:
            decoded = decode_available(decoder, chunk)
            buffered += len(chunk) - sum(8 + len(found.header) + len(found.data) for found in decoded)
            assert buffered <= 72 + 128 + pdu.MAX_H2C_DATA + 300
    except PduError as error:
        failure = error
    if failure is not None:
        assert len(pdu.term_req(pdu.PduType.C2H_TERM_REQ, failure)) <= 24 + pdu.MAX_TERM_REQ_DATA


@settings(derandomize=True, deadline=None)  # the same examples in every run
@given(st.binary(min_size=1, max_size=4096), st.integers(1, 50))
def test_fragmented_pdus_are_decoded_completely(data: bytes, step: int) -> None:
    """Two PDUs that arrive in fragments of any size are both decoded, with all their data."""
    raw = pdu.ic_req() + pdu.data_pdu(pdu.PduType.H2C_DATA, 1, 2, 0, data)
    decoder = pdu.PduDecoder(pdu.FROM_HOST)
    decoded = [
        found
        for start in range(0, len(raw), step)
        for found in decode_available(decoder, raw[start : start + step])
    ]
    assert [found.type for found in decoded] == [pdu.PduType.IC_REQ, pdu.PduType.H2C_DATA]
    assert decoded[1].data == data


@pytest.mark.parametrize(("retry_after_ms", "number"), [(0, 0), (100, 1), (101, 2), (1000, 3), (5000, 3)])
def test_retry_delay_is_the_first_that_is_long_enough(retry_after_ms: float, number: int) -> None:
    assert identify.retry_delay_number(retry_after_ms) == number
