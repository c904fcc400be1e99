"""Request scheduling: node selection, admission control, queueing, retries, hedging and load shedding.

Implements cost-based admission control at a gateway, after Chen and Verma.  This package does no input or
output: the scheduler takes events (`shaletiller.messages.events`) and returns actions
(`shaletiller.messages.actions`); its state is in `shaletiller.state`.  docs/design.md describes which parts
of the paper are implemented, which are changed, and why.
"""

from shaletiller.policy.scheduler import Scheduler

__all__ = ["Scheduler"]
