"""Relay: the one final answer of a call goes back to its client."""

from __future__ import annotations

import logging
from collections.abc import Callable

from shaletiller.core.metrics import tally
from shaletiller.core.model import Exchange, FinalResponse, FinalResult

logger = logging.getLogger(__name__)


class Responder:
    def __init__(self, table: dict[str, Exchange], counts: dict[str, int]) -> None:
        self._table = table
        self._counts = counts
        self.seen: Callable[[Exchange], None] = lambda exchange: None

    def __call__(self, exchange: Exchange, answer: FinalResponse, settled: bool = False) -> None:
        """`settled`: the answer of one who keeps the call's outcome, which needs no further word of it."""
        if exchange.answered or (exchange.settling and not settled):
            return
        keeps = None if settled else exchange.keeps
        if keeps is not None and answer.verdict is FinalResult.SERVED:
            exchange.settling = True  # told only when it is kept
            keeps(answer)
            return
        exchange.final = answer.verdict
        self.forget(exchange)
        self._counts[answer.verdict.value] = self._counts.get(answer.verdict.value, 0) + 1
        tally(self._counts, exchange.call.request_class, answer.verdict)
        try:
            exchange.answer(answer)
        except Exception as error:  # a broken front must not take the other requests with it
            logger.warning(f"answer not delivered: {error!r}")
        if keeps is not None:
            keeps(answer)

    def left(self, exchange: Exchange) -> None:
        exchange.left = True
        self.forget(exchange)
        self._counts["left"] = self._counts.get("left", 0) + 1
        if exchange.keeps is not None:
            exchange.keeps(None)

    def forget(self, exchange: Exchange) -> None:
        if exchange.guard is not None:
            exchange.guard.cancel()
        self.seen(exchange)
        self._table.pop(exchange.call.id, None)

    def give_up(self, exchange: Exchange) -> None:
        """The module kept silent: refuse only where a repeat does no harm."""
        refused = exchange.safe or exchange.harmless
        self(
            exchange,
            FinalResponse(FinalResult.REFUSED if refused else FinalResult.FAILED),
            settled=exchange.settling,
        )
