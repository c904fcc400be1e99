"""Admit: a call is put before the decision module."""

from __future__ import annotations

from collections.abc import Callable

from shaletiller.core.model import Exchange
from shaletiller.messages.events import Event, Request


class Admit:
    def __init__(self, decide: Callable[[Event], None]) -> None:
        self._decide = decide

    def __call__(self, exchange: Exchange, left_ms: float | None = None) -> None:
        """`left_ms`: what is left of its time, where it has waited."""
        call = exchange.call
        self._decide(
            Request(
                request=call.id,
                shard=call.shard,
                object_key=call.key,
                plan=call.plan,
                request_class=call.request_class,
                volume=call.volume,
                units=call.units,
                deadline_in_ms=call.timeout_ms if left_ms is None else left_ms,
                volume_gateways=call.volume_gateways,
                is_retry=call.is_retry,
                write=call.write,
            )
        )
