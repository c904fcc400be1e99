"""A short soak of answers in lumps; a long one: `python -m shaletiller.lab answers --runs 50`."""

from __future__ import annotations

import asyncio

from shaletiller.lab.answer_soak import soak

SEEDS = range(1, 7)


def test_each_sound_answer_in_lumps_comes_whole_beside_disturbances() -> None:
    """Guards against begun answers that hold-ups, operators' calls, reloads or the end of a process end."""
    outcome = asyncio.run(soak(SEEDS, print))
    assert outcome.kept, "\n".join(outcome.lines())
