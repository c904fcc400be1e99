"""The decisions of shaletiller: which node, admit or shed, queue, retry, hedge, give up.

Cost-based admission control at a gateway after Chen and Verma.  No input or output happens here: the
scheduler takes events (`shaletiller.messages.events`) and returns actions (`shaletiller.messages.actions`);
what it knows is in `shaletiller.state`.  What is kept of the paper, what is changed and why: docs/design.md.
"""

from shaletiller.policy.scheduler import Scheduler

__all__ = ["Scheduler"]
