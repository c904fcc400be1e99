"""Writes that must not run twice: an intent is made before one goes out, and its outcome before it is told.

    claim ── kept ──► GO ── served ──► outcome made ──► TELL it
      │ found                └ nothing ran ──► the key is free again (beside the answer)
      │                      └ else ──► "failed" is written down (beside the answer)
      ├ an outcome ──► TELL it, no node is asked
      ├ an intent whose gateway may still answer ──► REFUSE: come back
      ├ an intent whose gateway has not ──► FAIL: it may have run
      └ nothing certain in time ──► REFUSE: nothing was sent

A refusal says that nothing was sent for this request; a failure promises nothing.  Free of time and I/O:
calls give decisions, which are data.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from shaletiller.replication.core import ReplicationNode
from shaletiller.replication.proposer import Done, Expect, Held
from shaletiller.replication.rows import Intent, Outcome, pack, read_says

CLAIM_MS = 400.0  # beyond which nothing is sent
CLAIM_PART = 0.4  # and no more of the request's time than this
BESIDE_MS = 30_000.0  # how long what goes on beside the answers is tried
MARGIN_MS = 2_000.0  # how much longer than promised a record stays: clocks differ
LEAST_COME_BACK_MS = 20.0
NO_MAJORITY_MS = 500.0  # when to come back to a group that has none

What = Literal["go", "served", "failed", "refused"]


@dataclass(slots=True, frozen=True)
class Decision:
    """For the write of this number: GO to the nodes, or the answer to its client."""

    number: int
    what: What
    body: bytes = b""
    retry_after_ms: float = 0.0
    why: str = ""


@dataclass(slots=True)
class _Write:
    number: int
    key: str
    mark: int
    ends_ms: float
    phase: Literal["claim", "out", "settle"] = "claim"
    op: int = 0  # the one that it waits for
    held: Held | None = None
    intent: bytes = b""
    body: bytes = b""


class Writes:
    """A gateway's writes under way.  `keep_ms` is how long an outcome is promised to be known."""

    def __init__(self, promises: ReplicationNode, process: int, keep_ms: float) -> None:
        self._promises, self._process, self._keep_ms = promises, process, keep_ms
        self._writes: dict[int, _Write] = {}
        self._ops: dict[int, int] = {}  # by op: the write that waits for it
        self.decisions: list[Decision] = []
        self.counts = dict.fromkeys(
            ("claimed", "made", "repeated", "in_progress", "may_have_run", "no_majority", "unmade"), 0
        )

    @property
    def under_way(self) -> int:
        return len(self._writes)

    def _until(self, now_ms: float) -> float:
        return now_ms + self._keep_ms + MARGIN_MS

    # ---- from the gateway

    def begin(self, number: int, key: str, mark: int, deadline_ms: float, now_ms: float) -> None:
        """A write wants to go out; `mark` is a hash of what it asks, `deadline_ms` when it must be
        answered."""
        intent = pack(Intent(self._promises.me, self._process, number, mark, int(now_ms), int(deadline_ms)))
        write = self._writes[number] = _Write(number, key, mark, deadline_ms, intent=intent)
        last_ms = now_ms + min(CLAIM_MS, CLAIM_PART * (deadline_ms - now_ms))
        self._wait(write, self._promises.ask(key, Expect.FREE, intent, self._until(now_ms), last_ms, now_ms))

    def end(self, number: int, what: What, body: bytes, now_ms: float) -> None:
        """What has become of a write that went out: `served` with the node's answer, which is told to the
        client once it is made; `refused`, nothing ran; `failed`, it may have run.  The latter two have been
        told already."""
        write = self._writes.get(number)
        if write is None or write.phase == "settle":
            return
        if write.phase == "claim":  # answered before it went out: what was asked for may still be made
            self._drop(write)
            self._free(write, now_ms)
        elif what == "served":
            write.phase, write.body = "settle", body
            value = pack(Outcome(True, body, write.mark, int(now_ms)))
            self._wait(write, self._put(write, value, write.ends_ms, now_ms))
        else:
            self._drop(write)
            value = b"" if what == "refused" else pack(Outcome(False, b"", write.mark, int(now_ms)))
            self._put(write, value, now_ms + BESIDE_MS, now_ms)

    def _put(self, write: _Write, value: bytes, deadline_ms: float, now_ms: float) -> int:
        """In the place of the intent, a step on where nobody has asked since."""
        held, write.held = write.held, None  # for one write only: two under one step would be two values
        return self._promises.ask(
            write.key, Expect.THIS, value, self._until(now_ms), deadline_ms, now_ms, write.intent, held
        )

    def _free(self, write: _Write, now_ms: float) -> None:
        """Nothing was sent: if the intent is made after all, it is taken back."""
        self._promises.ask(
            write.key,
            Expect.THIS,
            b"",
            self._until(now_ms),
            now_ms + BESIDE_MS,
            now_ms,
            write.intent,
            write.held,
        )

    def _wait(self, write: _Write, op: int) -> None:
        write.op = op
        self._ops[op] = write.number

    def _drop(self, write: _Write) -> None:
        self._writes.pop(write.number, None)
        self._ops.pop(write.op, None)

    # ---- from the copies

    def done(self, done: Done, now_ms: float) -> bool:
        """An op has ended; False where it is none of a write that waits."""
        number = self._ops.pop(done.op, None)
        write = self._writes.get(number) if number is not None else None
        if write is None:
            return False
        if write.phase == "settle":
            self._writes.pop(write.number)
            # What could not be made is not told: a repeat would not get the same.
            self._count("made" if done.kept else "unmade")
            self._decide(write, "served" if done.kept else "failed", write.body if done.kept else b"")
        elif done.kept:
            write.phase, write.held = "out", done.held
            self._count("claimed")
            self._decide(write, "go")
        else:
            self._writes.pop(write.number)
            self._found(write, done, now_ms)
        return True

    def _found(self, write: _Write, done: Done, now_ms: float) -> None:
        says = read_says(done.value)
        if done.unknown or says is None:
            self._free(write, now_ms)
            self._count("no_majority")
            self._decide(write, "refused", retry_after_ms=NO_MAJORITY_MS, why="no majority of its copies")
        elif isinstance(says, Intent | Outcome) and says.mark != write.mark:
            self._decide(write, "failed", why="its key was used for another request")
        elif isinstance(says, Outcome):
            self._count("repeated" if says.served else "may_have_run")
            self._decide(write, "served" if says.served else "failed", says.body)
        elif isinstance(says, Intent) and now_ms < says.ends:
            self._count("in_progress")
            self._decide(
                write,
                "refused",
                retry_after_ms=max(LEAST_COME_BACK_MS, says.ends - now_ms),
                why="another request of its key is under way",
            )
        else:
            self._count("may_have_run")
            self._decide(write, "failed", why="it may have run before")

    def _count(self, name: str) -> None:
        self.counts[name] += 1

    def _decide(
        self,
        write: _Write,
        what: What,
        body: bytes = b"",
        retry_after_ms: float = 0.0,
        why: str = "",
    ) -> None:
        self.decisions.append(Decision(write.number, what, body, retry_after_ms, why))

    def take_decisions(self) -> list[Decision]:
        found, self.decisions = self.decisions, []
        return found
