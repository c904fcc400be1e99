"""Passes accepted requests to the scheduler."""

from __future__ import annotations

from collections.abc import Callable

from shaletiller.core.model import Exchange
from shaletiller.messages.events import Event, Request


class RequestAdmitter:
    """Notifies the scheduler of accepted requests.

    :param notify: called with the event of each request.
    """

    def __init__(self, notify: Callable[[Event], None]) -> None:
        self._notify = notify

    def __call__(self, exchange: Exchange, remaining_ms: float | None = None) -> None:
        """Pass a request to the scheduler.

        :param remaining_ms: the remaining time of a request that has already waited; None for its full
            timeout.
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
                arrived_ns=exchange.arrived_ns,
            )
        )
