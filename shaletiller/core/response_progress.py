"""The progress of an attempt's response, shared by the client of its node and the owner of the attempt.

    AWAITED --head--> HELD --pass_on--> PASSED_ON
                       `-----abandon--> ABANDONED

The body may become whole, or break off, in any state; either ends the attempt.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto


class ResponseState(Enum):
    """How far a response has come."""

    AWAITED = auto()
    """Its head has not come."""
    HELD = auto()
    """Its head has come; its body is held back, so that a retry remains possible."""
    PASSED_ON = auto()
    """It goes to its client as far as it has come, and as it comes from then on."""
    ABANDONED = auto()
    """It is given up for a retry."""


class ResponseProgress:
    """The progress of the response of one attempt.

    :param on_held: called once if the body is not whole some time after the head; its argument is whether the
        response can be passed on before it is whole.
    :param on_stalled: called once if a held body has not gone on for some time.
    """

    __slots__ = ("_can_pass_on", "_expired", "_on_held", "_on_stalled", "_release", "state")

    def __init__(self, on_held: Callable[[bool], None], on_stalled: Callable[[], None]) -> None:
        self.state = ResponseState.AWAITED
        self._on_held = on_held
        self._on_stalled = on_stalled
        self._release: Callable[[], None] | None = None
        self._can_pass_on = False
        self._expired = False

    @property
    def has_begun(self) -> bool:
        """Whether its head has come, of a response that can be passed on."""
        return self._can_pass_on and self.state in (ResponseState.HELD, ResponseState.PASSED_ON)

    def hold(self, release: Callable[[], None], can_pass_on: bool) -> None:
        """Hold a response whose head has come; it is passed on at once if its attempt has no time left.

        :param release: ends the wait for the body.
        :param can_pass_on: whether it is of use to the client before it is whole.
        """
        self.state, self._release, self._can_pass_on = ResponseState.HELD, release, can_pass_on
        if self._expired:
            self.pass_on()

    def report_held(self) -> None:
        """Report that the body is not whole, to be told until when it is held."""
        if self.state is ResponseState.HELD:
            self._on_held(self._can_pass_on)

    def report_stalled(self) -> None:
        """Report that the body does not go on."""
        if self.state is ResponseState.HELD:
            self._on_stalled()

    def pass_on(self) -> bool:
        """Pass a held response on to its client from now on.

        :returns: whether it is passed on, by this call or an earlier one.
        """
        if self._can_pass_on:
            self._end(ResponseState.PASSED_ON)
        return self.state is ResponseState.PASSED_ON

    def abandon(self) -> None:
        """Give a held response up for a retry; does nothing if it is passed on."""
        self._end(ResponseState.ABANDONED)

    def finish(self) -> None:
        """Stop waiting for the body, which has its result."""
        self._release = None

    def expire(self) -> bool:
        """End the time of the attempt: its response is passed on, now or as its head is read.

        :returns: whether it is passed on now.
        """
        self._expired = True
        return self.pass_on()

    def _end(self, state: ResponseState) -> None:
        if self.state is ResponseState.HELD and self._release is not None:
            self.state = state
            self._release()
