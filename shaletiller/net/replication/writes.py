"""Replicated client writes: connects the engine's requests to their intents and outcomes on the replicas."""

from __future__ import annotations

import logging
from functools import partial

import xxhash

from shaletiller.clock import Clock
from shaletiller.core.engine import Engine
from shaletiller.core.model import ClientCall, Exchange, FinalResponse, FinalResult
from shaletiller.net.replication.port import PortListener, ReplicationPort
from shaletiller.replication.effects import OperationResult
from shaletiller.replication.records import MAX_KEY_CHARS
from shaletiller.replication.writes import (
    NO_MAJORITY_RETRY_AFTER_MS,
    ReplicatedWrites,
    WriteDecision,
    WriteVerdict,
)

logger = logging.getLogger(__name__)

_FINAL_RESULTS = {
    WriteVerdict.SERVED: FinalResult.SERVED,
    WriteVerdict.FAILED: FinalResult.FAILED,
    WriteVerdict.REJECTED: FinalResult.REJECTED,
}


class WriteReplicator(PortListener):
    """Delays replicated writes until the intent is committed, and their responses until the outcome is."""

    def __init__(
        self,
        port: ReplicationPort,
        writes: ReplicatedWrites,
        engine: Engine,
        clock: Clock,
        replicated_classes: frozenset[str],
    ) -> None:
        """Create a replicator.

        :param replicated_classes: the request classes whose writes are replicated.
        """
        self._port, self._writes, self._engine, self._clock = port, writes, engine, clock
        self._replicated_classes = replicated_classes
        self._exchanges: dict[int, Exchange] = {}
        self._last_number = 0
        port.subscribe(self)

    def replicate_intent(self, exchange: Exchange) -> bool:
        """Commit the intent of a write that is replicated, and then admit its request.

        :returns: False for a request that is not replicated, which the engine admits itself.
        """
        call = exchange.call
        if call.request_class not in self._replicated_classes or not call.write:
            return False
        key = register_key(call)
        if not self._port.group_has_majority(key):
            self._writes.counts["no_majority"] += 1
            self._engine.respond(
                exchange, FinalResponse(FinalResult.REJECTED, retry_after_ms=NO_MAJORITY_RETRY_AFTER_MS)
            )
            return True
        self._last_number += 1
        number = self._last_number
        self._exchanges[number] = exchange
        exchange.on_result = partial(self._on_response, number)
        request = f"{call.method} {call.target}\n".encode() + call.body
        request_hash = xxhash.xxh3_64_intdigest(request)
        now_ms = self._clock.now_ms()
        self._port.call_node(
            lambda: self._writes.begin(number, key, request_hash, exchange.deadline_ms, now_ms)
        )
        return True

    def _on_response(self, number: int, response: FinalResponse | None) -> None:
        """Handle the engine's response to a replicated write, or None if its client has disconnected."""
        exchange = self._exchanges[number]
        if response is not None and response.result is FinalResult.SERVED:
            verdict = WriteVerdict.SERVED
        else:
            self._exchanges.pop(number, None)
            # A rejection does not prove that nothing ran; `never_ran` does, and only that is recorded.
            verdict = WriteVerdict.REJECTED if exchange.never_ran else WriteVerdict.FAILED
        body = response.body if response is not None else b""
        self._port.call_node(lambda: self._writes.end(number, verdict, body, self._clock.now_ms()))

    def on_operation_finished(self, result: OperationResult, now_ms: float) -> bool:
        """Handle the result of an operation; see `PortListener`."""
        return self._writes.on_operation_finished(result, now_ms)

    def on_effects_executed(self) -> None:
        """Execute the decisions that result from the effects."""
        for decision in self._writes.take_decisions():
            self._execute_decision(decision)

    def _execute_decision(self, decision: WriteDecision) -> None:
        exchange = self._exchanges.get(decision.number)
        if exchange is None:
            return
        if decision.verdict is WriteVerdict.FORWARD:
            remaining_ms = exchange.deadline_ms - self._clock.now_ms()
            if remaining_ms > 0:
                self._engine.admit(exchange, remaining_ms)
            return  # Past its deadline the engine responds to the request, and the claim is released.
        self._exchanges.pop(decision.number, None)
        if decision.reason:
            logger.warning(
                "request %s: replicated write %s: %s", exchange.call.id, decision.verdict, decision.reason
            )
        retry_after_ms = min(decision.retry_after_ms, NO_MAJORITY_RETRY_AFTER_MS)
        response = FinalResponse(_FINAL_RESULTS[decision.verdict], decision.body, retry_after_ms)
        self._engine.respond(exchange, response, replicated=True)


def register_key(call: ClientCall) -> str:
    """Return the register key of a write, which all its retries share.

    The key consists of the class, the volume and the idempotency key, or the request id if there is none. A
    key that would be too long is replaced by a hash.
    """
    key = f"w:{call.request_class}:{call.volume}:{call.idempotency_key or call.id}"
    return key if len(key) <= MAX_KEY_CHARS else f"w:{xxhash.xxh3_128_hexdigest(key.encode())}"
