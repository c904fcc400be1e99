"""Passes ordered requests on in the order of their arrival at this machine, not in that of reading."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from operator import attrgetter

from shaletiller.core.model import Exchange

_arrived_ns = attrgetter("arrived_ns")


class ArrivalOrder:
    """Holds ordered requests until everything that arrived before them has been read.

    After the process was held up, and while many connections are new, requests are read in another order than
    they arrived in.  Other requests do not wait.

    :param when_input_is_read: calls its argument once all input that has arrived by now has been read.
    :param pass_on: called with each request, in the order of arrival; not with those that have ended.
    """

    def __init__(
        self,
        when_input_is_read: Callable[[Callable[[], None]], None],
        pass_on: Callable[[Exchange], None],
    ) -> None:
        self._when_input_is_read = when_input_is_read
        self._pass_on = pass_on
        self._waiting: list[Exchange] = []  # in the order in which they were read
        self._callbacks: list[Callable[[], None]] = []
        self._reading = False

    def add(self, exchange: Exchange) -> None:
        """Add a request that has just been read."""
        self._waiting.append(exchange)
        self._read_input()

    def when_passed_on(self, callback: Callable[[], None]) -> None:
        """Call `callback` once all requests that have arrived by now have been passed on."""
        self._callbacks.append(callback)
        self._read_input()

    def _read_input(self) -> None:
        if self._reading or not (self._waiting or self._callbacks):
            return
        self._reading = True
        callbacks, self._callbacks = self._callbacks, []
        self._when_input_is_read(partial(self._on_input_read, len(self._waiting), callbacks))

    def _on_input_read(self, count: int, callbacks: list[Callable[[], None]]) -> None:
        """Pass requests on, then call the callbacks.

        :param count: how many requests were waiting when the reading of the input began.
        """
        self._reading = False
        # Callbacks wait for all that has been read; what they do takes care of its order.
        due = self._waiting if callbacks else self._waiting[:count]
        latest_ns = max(map(_arrived_ns, due), default=0)
        ready = [exchange for exchange in self._waiting if exchange.arrived_ns <= latest_ns]
        self._waiting = [exchange for exchange in self._waiting if exchange.arrived_ns > latest_ns]
        for exchange in sorted(ready, key=_arrived_ns):
            if not exchange.ended:
                self._pass_on(exchange)
        for callback in callbacks:
            callback()
        self._read_input()
