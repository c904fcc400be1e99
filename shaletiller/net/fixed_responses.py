"""Responses that need no request to be parsed; each closes its connection."""

from __future__ import annotations

REJECT_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n"
UNAVAILABLE_RESPONSE = REJECT_RESPONSE % b""
REQUEST_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
