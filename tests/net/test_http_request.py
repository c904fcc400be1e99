"""Tests of request head parsing that the scenarios do not cover."""

from __future__ import annotations

import unittest.mock

import pytest

from shaletiller.net.errors import RequestExpiredError
from shaletiller.net.http_request import find_request_class, parse_request


def test_a_request_that_waited_past_its_timeout_is_expired() -> None:
    """A pipelined request whose timeout expires behind another request must not be sent to a node."""
    head = unittest.mock.Mock(path="/api?key=0000000000000005", method="GET")
    values = {
        "IO-Info": "volume=00000003b4d60021,units=2,shard=1,hosts=1",
        "Request-Id": "a",
        "Request-Timeout-Ms": "300",
        "Request-Class": "read",
        "Tier": "basic",
    }
    head.headers = unittest.mock.MagicMock()
    head.headers.getall = lambda name, default: [values[name]]
    head.headers.__contains__ = lambda headers, name: name in values
    head.headers.get = values.get
    assert parse_request(head, b"", 299.0).timeout_ms == 1.0
    assert parse_request(head, b"", 0.0, 100.0).timeout_ms == 100.0
    with pytest.raises(RequestExpiredError):
        parse_request(head, b"", 300.0)


def test_the_class_of_an_unparsed_request_is_found_in_its_first_bytes() -> None:
    """A rejection is counted for the class of the request, if the request contains one."""
    assert find_request_class(b"GET / HTTP/1.1\r\nrequest-class:  read\r\n") == "read"
    assert find_request_class(b"GET / HTTP/1.1\r\nRequest-Cl") == ""
