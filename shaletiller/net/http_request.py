"""Parser for the request head of a client.

Each field must match the format of the protocol completely: the gateway and a node could interpret an
ambiguous head (a duplicate header, a number with an exponent) as two different requests.  The texts of
`BadRequestError` are sent to the client.
"""

from __future__ import annotations

import math
import re

from aiohttp.http import RawRequestMessage

from shaletiller.core.errors import BadRequestError
from shaletiller.core.model import ClientCall
from shaletiller.net.errors import RequestExpiredError

VOLUME_PATTERN = re.compile(r"[0-9a-f]{16}", re.IGNORECASE | re.ASCII)
REQUEST_ID_PATTERN = re.compile(r"[!-~]{1,128}", re.ASCII)
# Visible characters; spaces only between them, because the key may be a quoted string.
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[!-~](?:[ -~]{0,254}[!-~])?", re.ASCII)
TARGET_PATTERN = re.compile(r"/api\?(?:[!-~]*&)?key=([0-9a-f]{16})(?:&[!-~]*)?", re.IGNORECASE | re.ASCII)
KEY_PARAMETER_PATTERN = re.compile(r"[?&]key=", re.ASCII)
NUMBER_PATTERN = re.compile(r"\d{1,9}(?:\.\d{1,9})?", re.ASCII)  # no sign, no exponent, no inf or nan
INTEGER_PATTERN = re.compile(r"-?\d{1,9}", re.ASCII)
REQUEST_CLASS_LINE = re.compile(rb"\r\nRequest-Class:[ \t]*([!-~]{1,64})", re.IGNORECASE)


def _parse_number(text: str, name: str) -> float:
    if not NUMBER_PATTERN.fullmatch(text):
        raise BadRequestError(f"{name}: not a number that it may have")
    return float(text)


def _parse_integer(text: str, name: str) -> int:
    if not INTEGER_PATTERN.fullmatch(text):
        raise BadRequestError(f"{name}: not a whole number that it may have")
    return int(text)


def _get_single_header(head: RawRequestMessage, name: str) -> str:
    """Return a header that must occur exactly once: another parser might select the other duplicate."""
    values = head.headers.getall(name, ())
    if len(values) != 1:
        raise BadRequestError(f"{name}: wanted once, found {len(values)} times")
    return values[0]


def _parse_idempotency_key(head: RawRequestMessage) -> str:
    """Return the key; it is forwarded to the node even if the request class does not require one."""
    if "Idempotency-Key" not in head.headers:
        return ""
    key = _get_single_header(head, "Idempotency-Key")
    if not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        raise BadRequestError("Idempotency-Key: malformed")
    return key


def parse_timeout_ms(head: RawRequestMessage) -> float:
    """Return the timeout that a request's head names.

    :raises BadRequestError: it is missing or malformed.
    """
    return _parse_number(_get_single_header(head, "Request-Timeout-Ms"), "Request-Timeout-Ms")


def parse_request(
    head: RawRequestMessage,
    body: bytes,
    queued_ms: float = 0.0,
    max_timeout_ms: float = math.inf,
) -> ClientCall:
    """Parse the head of a request into a call.

    :param queued_ms: time for which the request has waited behind others; it is subtracted from its timeout.
    :param max_timeout_ms: upper limit of the call's timeout.
    :raises BadRequestError: a field is missing or malformed; the text names it.
    :raises RequestExpiredError: the request's timeout expired while it waited.
    """
    target = TARGET_PATTERN.fullmatch(head.path)
    if target is None or "#" in head.path or len(KEY_PARAMETER_PATTERN.findall(head.path)) != 1:
        raise BadRequestError("target: wants one key of 16 hex digits")
    io_info = dict(
        field.strip().partition("=")[::2] for field in _get_single_header(head, "IO-Info").split(",")
    )
    if not VOLUME_PATTERN.fullmatch(io_info.get("volume", "")):
        raise BadRequestError("IO-Info volume: wants 16 hex digits")
    request_id = _get_single_header(head, "Request-Id")
    if not REQUEST_ID_PATTERN.fullmatch(request_id):
        raise BadRequestError("Request-Id: malformed")
    if head.method not in ("GET", "PUT") or (head.method == "GET" and body):
        raise BadRequestError("method: wants GET without a body, or PUT")
    timeout_ms = parse_timeout_ms(head)
    if 0 < timeout_ms <= queued_ms:
        raise RequestExpiredError
    return ClientCall(
        id=request_id,
        request_class=_get_single_header(head, "Request-Class"),
        plan=_get_single_header(head, "Tier"),
        volume=io_info["volume"],
        key=target[1],
        units=_parse_number(io_info.get("units", ""), "IO-Info units"),
        shard=_parse_integer(io_info.get("shard", ""), "IO-Info shard"),
        volume_gateways=_parse_integer(io_info.get("hosts", ""), "IO-Info hosts"),
        timeout_ms=min(max_timeout_ms, timeout_ms - queued_ms),
        write=head.method == "PUT",
        method=head.method,
        target=head.path,
        body=body,
        is_retry=head.headers.get("Client-Retry") == "1",
        idempotency_key=_parse_idempotency_key(head),
        accepts_stream=True,
    )


def find_request_class(head: bytes) -> str:
    """Return the request class from the first bytes of an unparsed request; empty if they contain none."""
    found = REQUEST_CLASS_LINE.search(head)
    return found[1].decode() if found else ""
