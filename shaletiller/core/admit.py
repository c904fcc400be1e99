"""Admit: an accepted request is put before the scheduler."""

from __future__ import annotations

from collections.abc import Callable

from shaletiller.core.model import Exchange
from shaletiller.messages.events import Event, Request


class AdmitRequest:
    """Turns an exchange into the scheduler's event."""

    def __init__(self, notify: Callable[[Event], None]) -> None:
        self._notify = notify

    def __call__(self, exchange: Exchange, remaining_ms: float | None = None) -> None:
        """Put a request before the scheduler.

        :param remaining_ms: what is left of its timeout, where it has waited; None: all of it.
        """
        call = exchange.call
        self._notify(
            Request(
                request=call.id,
                shard=call.shard,
                object_key=call.key,
                plan=call.plan,
                request_class=call.request_class,
                volume=call.volume,
                units=call.units,
                deadline_in_ms=call.timeout_ms if remaining_ms is None else remaining_ms,
                volume_gateways=call.volume_gateways,
                is_retry=call.is_retry,
                write=call.write,
            )
        )
