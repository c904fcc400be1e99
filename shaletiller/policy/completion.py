"""Completion of requests: the scheduler's final answer, and the removal of their state."""

from __future__ import annotations

from dataclasses import dataclass

from shaletiller.messages.actions import Fail, GiveUpReason, Reject
from shaletiller.policy.key_ordering import KeyOrdering
from shaletiller.policy.retries import client_may_retry
from shaletiller.state.records import PendingRequest
from shaletiller.state.runtime import PolicyState


@dataclass(slots=True, eq=False)
class RequestCompletion:
    """Completes requests; each pending request is finished exactly once."""

    state: PolicyState
    ordering: KeyOrdering

    def give_up(self, pending: PendingRequest, reason: GiveUpReason) -> None:
        """Answer a request that will not be served: reject it if a client may safely retry, else fail it."""
        if client_may_retry(pending):
            self.state.actions.append(Reject(pending.id, self._retry_after_ms(), reason))
        else:
            self.state.actions.append(Fail(pending.id, reason))
        self.finish(pending)

    def _retry_after_ms(self) -> float:
        """Return the Retry-After time in milliseconds: the time to the next round, plus one timer tick.

        The next round reallocates the node's capacity; an earlier retry would be rejected again.  The round's
        timer may expire one tick late; without the additional tick, half of the clients would retry just
        before it.
        """
        settings = self.state.site.settings
        if not settings.retry_after_allowed:
            return 0.0
        wait_ms = max(0.0, self.state.next_round_ms - self.state.now_ms) + settings.tick_ms
        return min(wait_ms, settings.max_retry_after_ms or wait_ms)

    def finish(self, pending: PendingRequest) -> None:
        """Remove a request that needs no further answer; attempts in flight still report their outcomes."""
        if self.state.pending.pop(pending.id, None) is None:
            return
        pending.return_tokens()
        if pending.queued:
            pending.queue.requests.remove(pending)
            pending.queued = False
        self.ordering.remove(pending)

    def handle_client_disconnected(self, request_id: str) -> None:
        """Remove the request of a client that disconnected."""
        if pending := self.state.pending.get(request_id):
            self.finish(pending)

    def give_up_expiring(self) -> None:
        """Give up requests that would exceed their deadline before the next round.

        The round's timer may expire up to one tick late.
        """
        next_round_latest_ms = self.state.next_round_ms + self.state.site.settings.tick_ms
        for pending in list(self.state.pending.values()):
            is_waiting = not pending.attempts_in_flight and not pending.response_started
            if is_waiting and pending.deadline_ms <= next_round_latest_ms:
                self.give_up(pending, GiveUpReason.DEADLINE)
